//! The platform's list of replicas, followed over HTTP/1.1.

pub mod watch;
