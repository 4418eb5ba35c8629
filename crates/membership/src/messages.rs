//! What governors say to each other: each message is a datagram, sealed with the fleet's key, and none is
//! longer than [`MAX_DATAGRAM_BYTES`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wrenthread_core::ownership::{ProofError, SigningKey, seal, unseal};

/// What a datagram may have and still cross common networks in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// No governor's name is longer.
pub const MAX_NAME_BYTES: usize = 64;

/// How a governor stands, as others see it. Of two words of one incarnation the later in this order holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    /// It did not answer: it is dead unless it says otherwise in time.
    Suspect,
    Dead,
    /// It said that it stops.
    Left,
}

/// What a governor says of itself, besides being there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GovernorLoad {
    /// Grows with each change, within an incarnation.
    pub version: u64,
    /// Proxies joined there, and those on their way.
    pub connected_proxies: u32,
    /// It hands its proxies over, and wants none.
    pub draining: bool,
}

/// A word about a governor, its own or another's.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub name: String,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub state: MemberState,
    pub load: GovernorLoad,
}

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Are you there?
    Ping { number: u64 },
    /// Ask another for me whether it is there.
    PingRequest { number: u64, target: String },
    /// `of` is there: the sender itself, or whom it asked.
    Ack { number: u64, of: String },
    /// A part of what is known of a proxy that is to change hands.
    Offer { number: u64, proxy: String, part: u16, parts: u16, bytes: Vec<u8> },
    /// The proxy may come.
    Accept { number: u64, proxy: String },
    /// It may not, now.
    Decline { number: u64, proxy: String },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's word of itself.
    pub from: MemberUpdate,
    /// Whom it is meant for: an address may be another's by now.
    pub to: String,
    pub body: MessageBody,
    /// Words about others, as many as fit.
    pub updates: Vec<MemberUpdate>,
}

/// Why a datagram tells nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    #[error("it is not proven: {0}")]
    Unauthenticated(#[from] ProofError),
    #[error("it is longer than any that is sent")]
    TooLong,
    #[error("it is no message")]
    Malformed,
}

/// A message as a datagram.
pub fn write(key: &SigningKey, message: &Message) -> Vec<u8> {
    // Only a type that can't be written could fail, and none of these is one.
    seal(key, &postcard::to_allocvec(message).unwrap_or_default())
}

/// What a datagram says.
///
/// Errors: as [`DatagramError`]; nothing is known from it.
pub fn read(keys: &[SigningKey], datagram: &[u8]) -> Result<Message, DatagramError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong);
    }
    let body = unseal(keys, datagram)?;
    let message: Message = postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)?;
    let names = message.updates.iter().map(|word| &word.name).chain([&message.from.name]);
    let fits = |name: &String| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if names.into_iter().all(fits) { Ok(message) } else { Err(DatagramError::Malformed) }
}

/// The bytes that a word takes in a message.
pub fn length(word: &MemberUpdate) -> usize {
    postcard::to_allocvec(word).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn message() -> Message {
        let word = |name: &str| MemberUpdate {
            name: name.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: u64::MAX,
            state: MemberState::Suspect,
            load: GovernorLoad { version: 3, connected_proxies: 70_000, draining: true },
        };
        let body =
            MessageBody::Offer { number: 1, proxy: "p".into(), part: 1, parts: 2, bytes: vec![7; 300] };
        Message { from: word("g0"), to: "g1".into(), body, updates: vec![word("g2"), word("g3")] }
    }

    #[test]
    fn a_message_is_read_as_it_was_written_and_a_long_or_nameless_one_not_at_all() {
        let key = SigningKey::new("k", &[1; 32]).unwrap();
        let keys = [key.clone()];
        assert_eq!(read(&keys, &write(&key, &message())), Ok(message()));
        let mut long = message();
        long.body =
            MessageBody::Offer { number: 1, proxy: "p".into(), part: 0, parts: 1, bytes: vec![0; 1300] };
        assert_eq!(read(&keys, &write(&key, &long)), Err(DatagramError::TooLong));
        let mut nameless = message();
        nameless.updates[0].name.clear();
        assert_eq!(read(&keys, &write(&key, &nameless)), Err(DatagramError::Malformed));
        assert!(length(&message().updates[0]) < 40);
    }

    proptest! {
        #[test]
        fn bytes_of_any_kind_are_heard_without_harm(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let key = SigningKey::new("k", &[1; 32]).unwrap();
            prop_assert!(read(std::slice::from_ref(&key), &bytes).is_err());
            // Even one with the key may be wrong in itself.
            let _ = read(std::slice::from_ref(&key), &seal(&key, &bytes));
        }
    }
}
