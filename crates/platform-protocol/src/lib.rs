//! The platform's protocol between a governor and its peers, without I/O or clock.
//!
//! Received bytes are split into frames ([`frames`]), frames are decoded into validated messages ([`decode`]), and the
//! decision module's decisions are encoded as one message per stream ([`outbox`]). Only the modules `decode::wire` and
//! `outbox::wire` contain the platform's names of messages and fields.

#![warn(missing_docs)]

pub mod decode;
pub mod frames;
pub mod outbox;
