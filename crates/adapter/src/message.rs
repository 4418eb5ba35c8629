//! The form of a line: a JSON object whose only key names the message and holds its fields.

use serde_json::{Map, Value};
use wrenthread_deployment_config::Fields;

use crate::error::MessageError;

/// What a line is about, by its name on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A batch begins.
    BeginBatch,
    /// A batch ends and is to be answered.
    EndBatch,
    /// A replica list is given a number.
    DefineList,
    /// A governor starts.
    StartGovernor,
    /// A governor's process is killed.
    KillGovernor,
    /// Something happens that a governor sees; or an unknown name.
    GovernorEvent,
}

/// One line, whose fields are not read yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    name: String,
    fields: Map<String, Value>,
}

impl Message {
    /// Reads a line's form.
    ///
    /// # Errors
    ///
    /// If the line is not a JSON object with one key that holds an object.
    pub fn parse(line: &[u8]) -> Result<Self, MessageError> {
        let Value::Object(object) = serde_json::from_slice(line)? else {
            return Err(MessageError::NotAnObject);
        };
        let mut entries = object.into_iter();
        match (entries.next(), entries.next()) {
            (Some((name, Value::Object(fields))), None) => Ok(Message { name, fields }),
            (Some((name, _)), None) => Err(MessageError::NoFields { name }),
            _ => Err(MessageError::NotOneName),
        }
    }

    /// Its name on the wire.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What it is about.
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

    /// Its fields.
    pub fn fields(&self) -> Fields<'_> {
        Fields::new(&self.fields)
    }
}
