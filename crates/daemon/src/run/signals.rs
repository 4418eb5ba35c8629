//! The signals that a governor heeds.

use anyhow::{Context, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that wait from when this is made: one that comes before the event loop runs is handled by it.
pub struct Signals {
    /// Read the settings again.
    pub hangup: Signal,
    /// Stop.
    pub terminate: Signal,
    /// Stop, from a terminal.
    pub interrupt: Signal,
}

impl Signals {
    /// Listens for them.
    ///
    /// # Errors
    /// The system does not let them be had.
    pub fn listen() -> Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup()).context("signals")?,
            terminate: signal(SignalKind::terminate()).context("signals")?,
            interrupt: signal(SignalKind::interrupt()).context("signals")?,
        })
    }
}
