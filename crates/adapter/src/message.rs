//! Parses input lines. A line is a JSON object whose only key is the message's name; its value is an object
//! with the message's fields.

use serde_json::{Map, Value};
use wrenthread_deployment_config::Fields;

use crate::error::MessageError;

/// The kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A batch begins.
    BeginBatch,
    /// A batch ends and must be answered.
    EndBatch,
    /// Defines a replica list with a number.
    DefineList,
    /// A governor starts.
    StartGovernor,
    /// A governor's process is killed.
    KillGovernor,
    /// An event for a governor, or a message with an unknown name.
    GovernorEvent,
}

/// A parsed line whose fields have not been decoded.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    name: String,
    fields: Map<String, Value>,
}

impl Message {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not a JSON object with exactly one key whose value is an object.
    pub fn parse(line: &[u8]) -> Result<Self, MessageError> {
        let Value::Object(object) = serde_json::from_slice(line)? else {
            return Err(MessageError::NotAnObject);
        };
        let mut entries = object.into_iter();
        match (entries.next(), entries.next()) {
            (Some((name, Value::Object(fields))), None) => Ok(Message { name, fields }),
            (Some((name, _)), None) => Err(MessageError::ValueNotAnObject { name }),
            _ => Err(MessageError::NotSingleKey),
        }
    }

    /// The message's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The message's kind.
    pub fn kind(&self) -> MessageKind {
        match self.name.as_str() {
            "begin_batch" => MessageKind::BeginBatch,
            "go" => MessageKind::EndBatch,
            "define_list" => MessageKind::DefineList,
            "init" => MessageKind::StartGovernor,
            "crash_now" => MessageKind::KillGovernor,
            _ => MessageKind::GovernorEvent,
        }
    }

    /// The message's fields.
    pub fn fields(&self) -> Fields<'_> {
        Fields::new(&self.fields)
    }
}
