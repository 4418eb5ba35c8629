//! Why a proxy's stream is closed.

use thiserror::Error;

/// Why a proxy's stream is closed. The text is what the host logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DisconnectReason {
    /// The connection has ended; there is nothing left to close.
    #[error("connection ended")]
    Ended,
    /// Acknowledgements or reports have been missing for too long.
    #[error("silent")]
    Silent,
    /// The proxy does not read from the connection.
    #[error("send buffer full")]
    SendBufferFull,
    /// The proxy connected on a newer stream.
    #[error("replaced by a newer stream")]
    Replaced,
    /// The proxy's current stream was accepted after this one.
    #[error("older than the current stream")]
    StaleConnection,
}
