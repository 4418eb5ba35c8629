//! Messages between governors and their encoding. Each message is one datagram of at most [`MAX_DATAGRAM_BYTES`],
//! sealed with the fleet's key.
//!
//! Messages are encoded with postcard, which is positional: the order of fields and of variants is part of the
//! protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wrenthread_core::ownership::{ProofError, SigningKey, seal, unseal};

use crate::ServiceMode;

/// Maximum size of a datagram, in bytes, so that it is not fragmented on common networks.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum length of a governor's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A governor's state as seen by others. Of two updates of the same incarnation, the one whose state is later in this
/// order takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a probe. It is declared dead unless it refutes the suspicion before the suspicion timeout.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it is stopping.
    Left,
}

impl MemberState {
    /// Returns the name shown in status pages and logs.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// The load that a governor reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GovernorLoad {
    /// Incremented on each change within an incarnation.
    pub version: u64,
    /// Proxies connected to it.
    pub connected_proxies: u32,
    /// Whether it drains: moves its proxies to other governors and admits none.
    pub draining: bool,
}

impl GovernorLoad {
    /// Whether the governor serves proxies or drains.
    pub fn mode(&self) -> ServiceMode {
        if self.draining { ServiceMode::Draining } else { ServiceMode::Serving }
    }
}

/// The gossiped information about one governor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The governor's name.
    pub name: String,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// Raised by the governor itself to refute updates that say it is not alive.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// Its load, as it last reported.
    pub load: GovernorLoad,
}

/// One part of an offer to move a proxy to the receiver, with a part of the proxy's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OfferPart {
    /// Identifies the offer among those of the same sender.
    pub offer_id: u64,
    /// The proxy's name.
    pub proxy: String,
    /// Index of this part, from 0.
    pub part_index: u16,
    /// Number of parts in the offer.
    pub part_count: u16,
    /// This part of the encoded state.
    pub bytes: Vec<u8>,
}

/// The request or answer in a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// A probe; answered by [`MessageBody::Ack`].
    Ping {
        /// The sequence number, repeated in the answer.
        sequence: u64,
    },
    /// Asks the receiver to probe another governor (SWIM's ping-req).
    PingRequest {
        /// The sequence number, repeated in the answer.
        sequence: u64,
        /// The governor to probe.
        target: String,
    },
    /// The answer to a probe.
    Ack {
        /// The sequence number of the probe.
        sequence: u64,
        /// The governor that answered: the sender, or the target of an indirect probe.
        governor: String,
    },
    /// One part of an offer to move a proxy to the receiver.
    Offer(OfferPart),
    /// Accepts the offered proxy.
    Accept {
        /// The id of the offer.
        offer_id: u64,
        /// The proxy's name.
        proxy: String,
    },
    /// Declines the offered proxy for now.
    Decline {
        /// The id of the offer.
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
    /// The receiver's name, since the address may have been reassigned to another governor.
    pub to: String,
    /// The request or answer.
    pub body: MessageBody,
    /// Updates about other governors, as many as fit.
    pub updates: Vec<MemberUpdate>,
}

/// Why a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is not sealed with one of the accepted keys.
    #[error("datagram failed authentication: {0}")]
    Unauthenticated(#[from] ProofError),
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    #[error("datagram exceeds the maximum size")]
    TooLong,
    /// The datagram can't be decoded, or a governor's name in it is invalid.
    #[error("malformed message")]
    Malformed,
}

/// Encodes and seals a message.
pub fn encode(key: &SigningKey, message: &Message) -> Vec<u8> {
    // Postcard fails only on types that it can't represent, and this message has none.
    let body = postcard::to_allocvec(message).unwrap_or_default();
    seal(key, &body)
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// The datagram is too long, is not sealed with one of `keys`, or is not a valid message.
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

/// Returns the encoded size of an update, in bytes.
pub fn encoded_length(update: &MemberUpdate) -> usize {
    postcard::to_allocvec(update).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

#[cfg(test)]
mod tests;
