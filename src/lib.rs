//! Decides what tables a service's plain proxies hold.
//!
//! A host (the simulator's adapter, the daemon's engine, the platform's governor) feeds one
//! [`governor::Governor`] the events that one governor process sees and carries out what it decides. The governor
//! reads no clock, opens no socket and shares nothing.

#![warn(missing_docs)]

pub mod governor;
pub mod types;
