//! The long-poll front: a second way for proxies to follow a governor, on the same engine and under the same rules.
//!
//! A proxy joins once, then polls again and again for what differs from the version that it holds; the poll itself
//! says which version that is, and so acknowledges it. The answer is a delta from there, or complete tables where
//! that version is not retained; a poll waits for as long as it says if there is nothing new.
//!
//! [`sessions::Sessions`] is the state behind that, without I/O; [`messages`] are what crosses the wire, [`conversion`]
//! turns them into the core's types, [`service`] holds the HTTP handlers.

#![warn(missing_docs)]

pub mod conversion;
pub mod messages;
pub mod service;
pub mod sessions;
