//! The platform's protocol at a governor's address, without I/O or clock.
//!
//! Bytes are cut into frames ([`frames`]), frames become checked messages ([`decode`]), and what the decision module
//! decides becomes the message that each stream is sent ([`outbox`]). The platform's own names of fields and messages
//! stand in the modules `decode::wire` and `outbox::wire`, and nowhere else.

#![warn(missing_docs)]

pub mod decode;
pub mod frames;
pub mod outbox;
