//! The long-poll HTTP interface, an alternative to gRPC streams for proxies that follow a governor. Both use the same
//! engine and the same rules.
//!
//! A proxy joins once and then polls repeatedly. Each poll names the version that the proxy holds and so acknowledges
//! it. The response is a delta from that version, or complete tables if that version is no longer retained. If there is
//! nothing new, the poll waits for up to the time that it asks for.
//!
//! [`sessions::Sessions`] keeps the session state without I/O, [`messages`] defines the wire messages, [`conversion`]
//! translates between them and the core's types, and [`service`] has the HTTP handlers.

#![warn(missing_docs)]

pub mod conversion;
pub mod messages;
pub mod service;
pub mod sessions;
