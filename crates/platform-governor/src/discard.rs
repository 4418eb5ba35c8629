//! Why an input was discarded.

use thiserror::Error;

/// Why an input was discarded. The text is what the host logs, with a count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DiscardReason {
    /// A proxy connected on a stream that is older than its current one.
    #[error("stale: a proxy connected on an older stream")]
    StaleConnection,
    /// A message was received on a stream that has ended or was replaced.
    #[error("stale: a message on a stream that ended or was replaced")]
    StaleMessage,
    /// The nonce of an acknowledgement is not outstanding, or its latency exceeds the time that has passed.
    #[error("invalid: an acknowledgement with an unexpected nonce or latency")]
    UnexpectedAcknowledgement,
}
