//! The platform's protocol at a governor's address, without I/O or clock: bytes are cut into frames
//! ([`frames`]), frames become calls on the rules ([`decode`]), and what the rules decide becomes the
//! messages that each stream is owed ([`outbox`]).

pub mod decode;
pub mod frames;
pub mod outbox;
