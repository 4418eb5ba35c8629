//! One governor on the platform's protocol, as a state machine without I/O or clock.
//!
//! Inputs are events of connections and of discovery, each with its time. They are passed to the decision module, and
//! its decisions are returned as [`Action`]s for the host. This crate makes no decisions of its own.
//!
//! The host calls an input method for each event, then [`PlatformGovernor::advance`], then
//! [`PlatformGovernor::next_action`] until it returns `None`. It calls `advance` again no later than
//! [`PlatformGovernor::next_deadline`]. The host numbers connections in the order of accepting, and the governor
//! numbers watchers of discovery in the order of starting. Input from a replaced connection or watcher is recognised by
//! its number, never by the order of arrival.
//!
//! All times are durations since the origin of the host's clock.

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
