//! Changes to entries, and their encoding as a journal or snapshot record.

use crate::Entries;

/// Stored instead of a content length to mark a removal. No content can have this length.
const REMOVAL_MARKER: u32 = u32::MAX;

/// A change to one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The entry's name.
    pub name: String,
    /// The new content, or `None` to remove the entry.
    pub content: Option<Vec<u8>>,
}

impl Change {
    /// Sets an entry's content.
    pub fn put(name: impl Into<String>, content: impl Into<Vec<u8>>) -> Self {
        Change { name: name.into(), content: Some(content.into()) }
    }

    /// Removes an entry.
    pub fn remove(name: impl Into<String>) -> Self {
        Change { name: name.into(), content: None }
    }
}

/// Encodes changes as one record. Each name and each content is prefixed with its length.
pub(crate) fn encode(changes: &[Change]) -> Vec<u8> {
    let mut record = Vec::new();
    for Change { name, content } in changes {
        record.extend((name.len() as u32).to_le_bytes());
        record.extend(name.as_bytes());
        let length = content.as_ref().map_or(REMOVAL_MARKER, |content| content.len() as u32);
        record.extend(length.to_le_bytes());
        record.extend(content.iter().flatten());
    }
    record
}

/// Decodes a record made by [`encode`]. Returns `None` if it is malformed.
pub(crate) fn decode(mut record: &[u8]) -> Option<Vec<Change>> {
    let mut changes = Vec::new();
    while !record.is_empty() {
        let name_length = take_u32(&mut record)? as usize;
        let name = String::from_utf8(take(&mut record, name_length)?.to_vec()).ok()?;
        let content = match take_u32(&mut record)? {
            REMOVAL_MARKER => None,
            length => Some(take(&mut record, length as usize)?.to_vec()),
        };
        changes.push(Change { name, content });
    }
    Some(changes)
}

fn take<'a>(record: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (taken, rest) = record.split_at_checked(length)?;
    *record = rest;
    Some(taken)
}

fn take_u32(record: &mut &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(take(record, 4)?.try_into().ok()?))
}

/// Applies changes to entries.
pub(crate) fn apply(entries: &mut Entries, changes: Vec<Change>) {
    for Change { name, content } in changes {
        match content {
            Some(content) => drop(entries.insert(name, content)),
            None => drop(entries.remove(&name)),
        }
    }
}
