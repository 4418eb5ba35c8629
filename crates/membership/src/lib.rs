//! Membership of governors and distribution of proxies among them: which governors are live, which governor each proxy
//! is assigned to, and how a proxy migrates from one governor to another. Performs no I/O and reads no clock.
//!
//! [`Membership`] is the state machine of one governor. Its owner passes in each datagram and each proxy that connects
//! or disconnects, calls [`Membership::next_action`] until it returns `None`, carries out each action, and calls again
//! at [`Membership::next_deadline`] at the latest.
//!
//! This crate does not compute routing tables, and governors do not run a consensus protocol. The conflicts that this
//! allows, and why they are harmless, are described in `docs/design/takeover.md`.
//!
//! ```
//! use std::net::SocketAddr;
//! use std::time::Duration;
//! use wrenthread_core::ownership::SigningKey;
//! use wrenthread_membership::{Action, Membership, MembershipSettings, Peer};
//!
//! let key = SigningKey::new("k", &[7; 32]).unwrap();
//! let peer = |name: &str, port: u16| Peer {
//!     name: name.into(),
//!     address: SocketAddr::from(([127, 0, 0, 1], port)),
//! };
//! let settings = |local: Peer, other: Peer| MembershipSettings {
//!     local,
//!     peers: vec![other],
//!     keys: vec![key.clone()],
//!     moves_per_second: 10.0,
//! };
//! let now = Duration::from_secs(100);
//! let mut first = Membership::new(settings(peer("g0", 1), peer("g1", 2)), 1, now);
//! let mut second = Membership::new(settings(peer("g1", 2), peer("g0", 1)), 1, now);
//! while let Some(Action::Send { datagram, .. }) = first.next_action(now) {
//!     second.handle_datagram(now, &datagram).unwrap();
//! }
//! assert!(second.members().get("g0").unwrap().is_live());
//! ```
#![warn(missing_docs)]

pub mod assignment;
pub mod members;
mod membership;
pub mod messages;
pub mod migration;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wrenthread_core::ownership::SigningKey;

pub use membership::Membership;
use messages::MemberState;

/// The name and address of a governor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The governor's name.
    pub name: String,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
}

/// Membership settings of one governor.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// This governor.
    pub local: Peer,
    /// The governors to contact at start; others are discovered through gossip.
    pub peers: Vec<Peer>,
    /// The first key seals outgoing datagrams; incoming ones may use any of the keys. Without keys nothing is sent.
    pub keys: Vec<SigningKey>,
    /// Maximum number of proxies moved per second.
    pub moves_per_second: f64,
}

/// Whether a governor serves proxies or drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceMode {
    /// It keeps its proxies and admits new ones.
    Serving,
    /// It moves all its proxies to other governors and admits none.
    Draining,
}

/// What the owner of a [`Membership`] has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        address: SocketAddr,
        /// The sealed datagram.
        datagram: Vec<u8>,
    },
    /// Collect the state of the proxy and pass it to [`Membership::offer_proxy`].
    CollectState {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The governor to offer the proxy to.
        to: String,
    },
    /// End the proxy's stream and redirect the proxy.
    MoveProxy {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The name of the destination; `None` if this governor drains and knows no other governor.
        to: Option<String>,
    },
    /// Log an event.
    Event(MembershipEvent),
}

/// An event for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// Another governor's state changed.
    MemberStateChanged {
        /// The governor's name.
        governor: String,
        /// Its new state.
        state: MemberState,
    },
    /// This governor was not running for a while.
    Stalled {
        /// Delay of its timer.
        late: Duration,
    },
    /// The other governor did not answer an offer, despite retries.
    OfferUnanswered {
        /// The proxy's name.
        proxy: String,
        /// The governor that the proxy was offered to.
        to: String,
    },
    /// The drain is complete: no proxy is connected any more.
    Drained,
}

/// Counters for status pages and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipStatistics {
    /// Proxies redirected to other governors.
    pub proxies_moved: u64,
    /// Proxies whose state was received from another governor before they connected.
    pub proxies_received: u64,
    /// Datagrams rejected as invalid.
    pub datagrams_rejected: u64,
    /// Proxies with an open offer to another governor.
    pub proxies_migrating: usize,
}
