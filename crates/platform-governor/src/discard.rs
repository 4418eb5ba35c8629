//! Why an input was discarded.

use thiserror::Error;

/// Why an input was discarded. The text is what the host logs, with a count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DiscardReason {
    /// A proxy connected on a stream that is older than the one it has.
    #[error("stale: a proxy connected on an older stream")]
    StaleConnection,
    /// A message came on a stream that has ended or was replaced.
    #[error("stale: a message on a stream that ended or was replaced")]
    StaleMessage,
    /// An acknowledgement names no outstanding nonce, or claims more time than has passed.
    #[error("invalid: an acknowledgement that is not outstanding")]
    UnexpectedAcknowledgement,
}
