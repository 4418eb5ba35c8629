//! How governors share a fleet's proxies: which governors are live, which one has which proxy, and how a proxy moves
//! from one to another. No I/O, no clock.
//!
//! [`Membership`] is one governor's part. Its owner passes in each datagram and each proxy that connects or disconnects,
//! pulls [`Membership::next_action`] until `None`, carries out each action, and comes back at
//! [`Membership::next_deadline`] at the latest.
//!
//! Nothing here decides a table, and governors reach no agreement: see `docs/design/takeover.md` for the conflicts that
//! this allows, and why they do no harm.
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

/// A governor by its name and address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The governor's name.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

/// Settings of one governor.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// This governor.
    pub local: Peer,
    /// The governors to contact first; all others are learnt from gossip.
    pub peers: Vec<Peer>,
    /// The first seals datagrams; all are accepted. Without any, nothing is sent.
    pub keys: Vec<SigningKey>,
    /// Limit of the proxies moved per second.
    pub moves_per_second: f64,
}

/// Whether a governor serves proxies or hands them over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceMode {
    /// It keeps its proxies and admits others.
    Serving,
    /// It hands all its proxies over and admits none.
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
    /// Collect what is known of the proxy, for [`Membership::offer_proxy`].
    CollectState {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The governor that it will be offered to.
        to: String,
    },
    /// End the proxy's stream and redirect it.
    MoveProxy {
        /// The proxy's name.
        proxy: Arc<str>,
        /// The destination's name; none if this governor drains and knows of no other.
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
    /// This governor did nothing for a while.
    Stalled {
        /// How late its timer was.
        late: Duration,
    },
    /// An offer was never answered.
    OfferUnanswered {
        /// The proxy's name.
        proxy: String,
        /// The governor that it was offered to.
        to: String,
    },
    /// All proxies are handed over.
    Drained,
}

/// Counts for status pages and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipStatistics {
    /// Proxies that were redirected to other governors.
    pub proxies_moved: u64,
    /// Proxies that came with state from another governor.
    pub proxies_received: u64,
    /// Datagrams that were rejected.
    pub datagrams_rejected: u64,
    /// Proxies with an open offer to another governor.
    pub proxies_migrating: usize,
}
