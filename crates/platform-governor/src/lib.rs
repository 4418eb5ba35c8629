//! One governor on the platform's protocol, as a state machine without I/O or clock.
//!
//! What connections and discovery bring goes in with its time, the decision module is pulled, and what the host is to
//! do comes out as [`Action`]s. Nothing is decided here.
//!
//! A host calls the inputs as things happen, then [`PlatformGovernor::advance`], then
//! [`PlatformGovernor::next_action`] until it gives `None`, and advances again no later than
//! [`PlatformGovernor::next_deadline`]. Connections carry the number that the host gave them in the order of accepting,
//! watchers of discovery the number that the governor gave them in the order of starting: input of a replaced one is
//! recognised by its number, never by the order of arrival.
//!
//! All times are durations since the zero of the host's clock.

#![warn(missing_docs)]

mod discard;
mod disconnect;
pub mod endpoint_list;
mod governor;
mod silence;
mod watch;

pub use discard::DiscardReason;
pub use disconnect::DisconnectReason;
pub use governor::{Action, ConnectionId, PlatformGovernor};
pub use watch::WatcherId;
