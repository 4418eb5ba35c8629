//! The messages between governors and their encoding: one datagram each, sealed with the fleet's key, of at most
//! [`MAX_DATAGRAM_BYTES`].
//!
//! The encoding is postcard's, which is positional: the order of fields and of variants is part of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wrenthread_core::ownership::{ProofError, SigningKey, seal, unseal};

use crate::ServiceMode;

/// Size limit of a datagram, in bytes: it crosses common networks without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Size limit of a governor's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A governor's state as others see it. Of two updates of the same incarnation the one that is later in this order
/// takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it is declared dead unless it refutes that before the suspicion timeout.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it stops.
    Left,
}

impl MemberState {
    /// The name that status pages and logs show.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// What a governor reports of its own load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GovernorLoad {
    /// Grows with each change, within an incarnation.
    pub version: u64,
    /// Proxies connected there.
    pub connected_proxies: u32,
    /// It hands its proxies over and admits none.
    pub draining: bool,
}

impl GovernorLoad {
    /// Whether the governor serves proxies or drains.
    pub fn mode(&self) -> ServiceMode {
        if self.draining { ServiceMode::Draining } else { ServiceMode::Serving }
    }
}

/// What is known of one governor, as gossip carries it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The governor's name.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Raised by the governor itself, to refute what is said of it.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// Its load, by its own account.
    pub load: GovernorLoad,
}

/// A part of an offer to hand a proxy over, with a part of what is known of the proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OfferPart {
    /// Identifies the offer among all of the same sender.
    pub offer_id: u64,
    /// The proxy's name.
    pub proxy: String,
    /// Place of this part, from 0.
    pub part_index: u16,
    /// Number of parts in the offer.
    pub part_count: u16,
    /// This part of the encoded state.
    pub bytes: Vec<u8>,
}

/// What a message asks for or answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// A probe; answered by [`MessageBody::Ack`].
    Ping {
        /// Returned in the answer.
        sequence: u64,
    },
    /// Asks the receiver to probe another governor (SWIM's ping-req).
    PingRequest {
        /// Returned in the answer.
        sequence: u64,
        /// The governor to probe.
        target: String,
    },
    /// The answer to a probe.
    Ack {
        /// That of the probe.
        sequence: u64,
        /// The governor that answered: the sender, or the target of an indirect probe.
        governor: String,
    },
    /// A part of an offer to hand a proxy over.
    Offer(OfferPart),
    /// The offered proxy may come.
    Accept {
        /// The offer's.
        offer_id: u64,
        /// The proxy's name.
        proxy: String,
    },
    /// The offered proxy may not come now.
    Decline {
        /// The offer's.
        offer_id: u64,
        /// The proxy's name.
        proxy: String,
    },
}

/// One message between two governors.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's update about itself.
    pub from: MemberUpdate,
    /// The receiver's name: an address may belong to another governor by now.
    pub to: String,
    /// What is asked or answered.
    pub body: MessageBody,
    /// Updates about other governors, as many as fit.
    pub updates: Vec<MemberUpdate>,
}

/// Why a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It is not sealed with a live key.
    #[error("it is not proven: {0}")]
    Unauthenticated(#[from] ProofError),
    /// It exceeds [`MAX_DATAGRAM_BYTES`].
    #[error("it is longer than any that is sent")]
    TooLong,
    /// It does not decode to a message with valid names.
    #[error("it is no message")]
    Malformed,
}

/// Encodes and seals a message.
pub fn encode(key: &SigningKey, message: &Message) -> Vec<u8> {
    // Postcard fails only on types that it can't represent; none of these is one.
    let body = postcard::to_allocvec(message).unwrap_or_default();
    seal(key, &body)
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// It is too long, not sealed with one of `keys`, or not a valid message.
pub fn decode(keys: &[SigningKey], datagram: &[u8]) -> Result<Message, DatagramError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong);
    }
    let body = unseal(keys, datagram)?;
    let message: Message = postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)?;
    let updates_are_valid = message.updates.iter().all(|update| is_valid_name(&update.name));
    if updates_are_valid && is_valid_name(&message.from.name) {
        Ok(message)
    } else {
        Err(DatagramError::Malformed)
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// The bytes that an update takes in a message.
pub fn encoded_length(update: &MemberUpdate) -> usize {
    postcard::to_allocvec(update).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

#[cfg(test)]
mod tests;
