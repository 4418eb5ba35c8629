//! What is wrong with a line, in the words that standard error shows.

use thiserror::Error;
use wrenthread_deployment_config::FieldError;

/// Why a line is left out.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is JSON, but no object.
    #[error("not an object")]
    NotAnObject,
    /// The object has no key, or more than one.
    #[error("a message has one name, and this has none or several")]
    NotOneName,
    /// The message's fields are no object.
    #[error("`{name}` holds no object")]
    NoFields {
        /// The message's name.
        name: String,
    },
    /// A batch begins inside another.
    #[error("a batch begins before the last one's `go`")]
    BatchNotEnded,
    /// The message came before a batch began.
    #[error("`{name}` outside a batch")]
    OutsideBatch {
        /// The message's name.
        name: String,
    },
    /// There is no governor of this number.
    #[error("no instance {0}")]
    UnknownGovernor(u64),
    /// No replica list of this number was defined.
    #[error("no list {0}")]
    UnknownList(u64),
    /// A replica list's entry is no object.
    #[error("a list's entry is no object")]
    EntryNotAnObject,
    /// A replica is in a phase of this number.
    #[error("no such phase: {0}")]
    UnknownPhase(u64),
    /// A roster changes in a way of this number.
    #[error("no such kind of update: {0}")]
    UnknownUpdateKind(u64),
    /// No message has this name.
    #[error("no such event: `{name}`")]
    UnknownEvent {
        /// The message's name.
        name: String,
    },
    /// A field is missing, or of another type.
    #[error(transparent)]
    Field(#[from] FieldError),
}
