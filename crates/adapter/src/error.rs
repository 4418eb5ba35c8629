//! Errors in an input line, as reported on standard error.

use thiserror::Error;
use wrenthread_deployment_config::FieldError;

/// The reason why a line is skipped.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// The object has no key, or more than one.
    #[error("a message must have exactly one key, its name")]
    NotSingleKey,
    /// The value under the message's name is not an object.
    #[error("the value of `{name}` is not an object")]
    ValueNotAnObject {
        /// The message's name.
        name: String,
    },
    /// A batch begins inside another.
    #[error("`begin_batch` before the previous batch's `go`")]
    BatchNotEnded,
    /// The message is not part of a batch.
    #[error("`{name}` outside a batch")]
    OutsideBatch {
        /// The message's name.
        name: String,
    },
    /// No governor has this number.
    #[error("unknown `governor_id` {0}")]
    UnknownGovernor(u64),
    /// No replica list with this number was defined.
    #[error("undefined `list` {0}")]
    UnknownList(u64),
    /// An entry of a replica list is not an object.
    #[error("an entry of `elements` is not an object")]
    EntryNotAnObject,
    /// A replica's phase number is unknown.
    #[error("unknown `phase` {0}")]
    UnknownPhase(u64),
    /// The kind number of a roster update is unknown.
    #[error("unknown `kind` of roster update {0}")]
    UnknownUpdateKind(u64),
    /// The message's name is unknown.
    #[error("unknown message `{name}`")]
    UnknownEvent {
        /// The message's name.
        name: String,
    },
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
}
