//! Watches the platform's list of replicas over HTTP/1.1.
//!
//! [`watch_endpoints`] fetches a snapshot where one is needed, and watches for changes from its version on. What is in
//! the events is the receiver's to read: it answers each with the version that it has then.

#![warn(missing_docs)]

mod http;
mod watch;

pub use watch::{EventSender, WatchError, WatchEvent, watch_endpoints};
