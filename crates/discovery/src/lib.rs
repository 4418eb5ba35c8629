//! Watches the platform's list of replicas over HTTP/1.1.
//!
//! [`watch_endpoints`] fetches a snapshot if the receiver needs one, then watches for changes after its version. Events
//! are not parsed here: the receiver reads each one and answers with the version that it has afterwards.

#![warn(missing_docs)]

mod http;
mod watch;

pub use watch::{EventSender, WatchError, WatchEvent, watch_endpoints};
