//! The platform's configuration message to a proxy, which has one or more parts, each a JSON object on its own line.

use serde::Serialize;
use wrenthread::types::RetryPolicy;

/// The maximum number of parts in a message.
pub(super) const MAX_PARTS_PER_MESSAGE: usize = 64;

/// One part of a message, under the platform's field names. Fields are written in the order of declaration.
#[derive(Default, Serialize)]
#[serde(tag = "@type", rename = "CONFIG")]
pub(super) struct ConfigPart<'a> {
    /// The classes to which the part applies; `None` for all of them.
    #[serde(rename = "classes", skip_serializing_if = "Option::is_none")]
    pub class_names: Option<Vec<&'a str>>,
    /// The entries are the complete table, and the proxy discards its admission fractions.
    #[serde(rename = "whole", skip_serializing_if = "std::ops::Not::not")]
    pub is_complete: bool,
    /// Replicas with their weights; a weight of 0 removes the replica.
    #[serde(rename = "lines", skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<(&'a str, f64)>,
    #[serde(rename = "level", skip_serializing_if = "Option::is_none")]
    pub admission_fraction: Option<f64>,
    #[serde(rename = "retry", skip_serializing_if = "Option::is_none")]
    pub retry_policy: Option<u8>,
    #[serde(rename = "out", skip_serializing_if = "Vec::is_empty")]
    pub ejected: Vec<&'a str>,
    #[serde(rename = "back", skip_serializing_if = "Vec::is_empty")]
    pub restored: Vec<&'a str>,
    /// The number by which the proxy has to acknowledge the message.
    #[serde(rename = "ticket", skip_serializing_if = "Option::is_none")]
    pub nonce: Option<u16>,
    /// Another part of the same message follows.
    #[serde(rename = "more", skip_serializing_if = "std::ops::Not::not")]
    pub has_more: bool,
}

/// The platform's number for a retry policy.
pub(super) fn retry_policy_number(retry_policy: RetryPolicy) -> u8 {
    match retry_policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::OnAnyFailure => 2,
    }
}

/// Encodes one message, or several if there are too many parts for one. The last part contains the nonce.
pub(super) fn encode(parts: &mut [ConfigPart], nonce: Option<u16>) -> Vec<u8> {
    let last = parts.len() - 1;
    parts[last].nonce = nonce;
    let mut bytes = Vec::new();
    for (index, part) in parts.iter_mut().enumerate() {
        let ends_message = index == last || (index + 1) % MAX_PARTS_PER_MESSAGE == 0;
        part.has_more = !ends_message;
        // Serializing numbers and strings into memory does not fail.
        if serde_json::to_writer(&mut bytes, part).is_ok() {
            bytes.push(b'\n');
        }
    }
    bytes
}
