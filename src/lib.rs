//! Computes the routing tables of a service's proxies.
//!
//! A host (the simulator's adapter, the daemon's engine, the platform's governor) passes the events that one
//! governor process receives to a [`governor::Governor`] and carries out its decisions. The governor reads no
//! clock, opens no socket and shares no state.

#![warn(missing_docs)]

pub mod governor;
pub mod token_bucket;
pub mod types;
