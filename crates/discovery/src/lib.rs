//! The platform's list of replicas: [`list`] reads it entry by entry and keeps it, [`watch`] follows it over
//! HTTP/1.1.

pub mod list;
pub mod watch;
