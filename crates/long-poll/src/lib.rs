//! The long-poll front: a second way for proxies on the same engine and under the same rules.
//!
//! A proxy joins once, then asks again and again for what differs from the version that it holds; the
//! question itself says which version that is, and so acknowledges it. An answer is a delta from there, or
//! the whole where that version is not kept; a question waits for as long as it says if there is nothing to
//! tell.
//!
//! [`sessions::Polls`] is what is behind that, without I/O; [`messages`] are the messages, [`service`] the
//! handlers.

pub mod messages;
pub mod service;
pub mod sessions;
