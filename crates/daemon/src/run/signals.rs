//! The signals that a governor handles.

use anyhow::{Context, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signal listeners. Signals that arrive before the event loop runs are queued for it.
pub struct Signals {
    /// SIGHUP: reload the settings.
    pub hangup: Signal,
    /// SIGTERM: stop.
    pub terminate: Signal,
    /// SIGINT: stop, from a terminal.
    pub interrupt: Signal,
}

impl Signals {
    /// Starts to listen for the signals.
    ///
    /// # Errors
    /// A signal handler can't be installed.
    pub fn listen() -> Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup()).context("installing signal handlers")?,
            terminate: signal(SignalKind::terminate()).context("installing signal handlers")?,
            interrupt: signal(SignalKind::interrupt()).context("installing signal handlers")?,
        })
    }
}
