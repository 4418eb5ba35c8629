//! Decides what tables a service's plain proxies hold.
//!
//! A host (the bench's adapter today, a daemon later) feeds one [`rules::Governor`] what one governor hears
//! and carries out what it decides. The governor reads no clock, opens no socket and shares nothing.

pub mod rules;
pub mod types;
