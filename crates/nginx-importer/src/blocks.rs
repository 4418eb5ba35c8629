//! Exports the tables of a proxy as upstream blocks for an nginx to include.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::syntax::{self, MAX_DIRECTIVES, SyntaxError};

/// Maximum sum of the weights of an upstream. nginx accepts and adds up all integers up to it.
const MAX_WEIGHT_SUM: f64 = 1_000_000.0;
/// Server of an upstream without table entries. nginx rejects an empty upstream, and answers at once if all
/// servers are down.
const PLACEHOLDER_SERVER: &str = "127.0.0.1:1";

/// The servers and the admission fraction of a traffic class.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamTable {
    /// Addresses and weights of the routable replicas.
    pub servers: Vec<(String, f64)>,
    /// The fraction of requests to admit.
    pub admission_fraction: f64,
}

/// The tables by traffic class.
pub type Tables = BTreeMap<String, UpstreamTable>;

/// Why a generated file is invalid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ExportError {
    /// nginx could not parse it.
    #[error("the generated file has invalid syntax: {0}")]
    Syntax(String),
    /// The servers of a class differ from its table.
    #[error("the generated servers of group `{0}` differ from its table")]
    ServerMismatch(String),
    /// An address that nginx does not accept.
    #[error("`{0}` is not a server address that nginx accepts")]
    InvalidAddress(String),
}

impl From<SyntaxError> for ExportError {
    fn from(fault: SyntaxError) -> Self {
        ExportError::Syntax(fault.to_string())
    }
}

/// The name of a class's upstream; its variable is `$NAME_blocked`. Bytes other than letters and digits are
/// written in hexadecimal, so that different classes have different names.
pub fn upstream_name(class: &str) -> String {
    let mut name = String::from("wrenthread_");
    for byte in class.bytes() {
        match byte {
            byte if byte.is_ascii_alphanumeric() => name.push(char::from(byte)),
            byte => drop(write!(name, "_{byte:02x}")),
        }
    }
    name
}

/// Converts weights to integers of at least 1, with an error in the proportions of at most a millionth of the
/// sum.
pub fn integer_weights(servers: &[(String, f64)]) -> Vec<u64> {
    let is_valid = |weight: f64| weight.is_finite() && weight > 0.0;
    let sum: f64 = servers.iter().map(|(_, weight)| *weight).filter(|weight| is_valid(*weight)).sum();
    let to_integer = |weight: f64| {
        if is_valid(weight) { (weight / sum * MAX_WEIGHT_SUM).floor().max(1.0) as u64 } else { 1 }
    };
    let integers: Vec<u64> = servers.iter().map(|(_, weight)| to_integer(*weight)).collect();
    let divisor = integers.iter().copied().fold(0, greatest_common_divisor).max(1);
    integers.into_iter().map(|weight| weight / divisor).collect()
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}

/// Writes the file. `header_comment`: the text of its first line.
///
/// Uses nginx's `random` method, which picks by weight and chance as other proxies do. The default round
/// robin restarts in each worker process with every reload, so that all of them would send their first
/// requests to the server with the highest weight.
///
/// Errors: the file would not be read back as the same tables and must not be used.
pub fn write(tables: &Tables, header_comment: &str) -> Result<String, ExportError> {
    let header_comment: String = header_comment
        .chars()
        .map(|character| if character.is_control() { ' ' } else { character })
        .collect();
    let mut text = format!(
        "# {header_comment}\n# Written by wrenthread, and replaced whole: changes here do not last.\n"
    );
    for (class, table) in tables {
        let name = upstream_name(class);
        let _ = writeln!(text, "upstream {name} {{\n    random;");
        if table.servers.is_empty() {
            let _ = writeln!(text, "    server {PLACEHOLDER_SERVER} down;");
        }
        for ((address, _), weight) in table.servers.iter().zip(integer_weights(&table.servers)) {
            if !matches!(
                crate::values::parse_target(address, 80),
                Some(crate::values::Target::Address(_) | crate::values::Target::Name(_))
            ) {
                return Err(ExportError::InvalidAddress(address.clone()));
            }
            let _ = writeln!(text, "    server {address} weight={weight};");
        }
        text += "}\n";
        let admission_fraction =
            if table.admission_fraction.is_finite() { table.admission_fraction.clamp(0.0, 1.0) } else { 1.0 };
        let blocked = ((1.0 - admission_fraction) * 10_000.0).round() / 100.0;
        let blocked_entry = match blocked {
            0.0 => String::new(),
            100.0 => "* 1; ".to_string(),
            blocked => format!("{blocked}% 1; "),
        };
        let default_entry = if blocked == 100.0 { "" } else { "* \"\"; " };
        let _ =
            writeln!(text, "split_clients $request_id ${name}_blocked {{ {blocked_entry}{default_entry}}}");
    }
    check(&text, tables)?;
    Ok(text)
}

/// Reads the file back and compares it with the tables.
fn check(text: &str, tables: &Tables) -> Result<(), ExportError> {
    let parsed = read(text)?;
    for (class, table) in tables {
        let expected = table
            .servers
            .iter()
            .zip(integer_weights(&table.servers))
            .map(|((address, _), weight)| (address.clone(), weight as f64));
        let expected: Vec<(String, f64)> = expected.collect();
        if parsed.get(&upstream_name(class)).is_none_or(|(servers, _)| *servers != expected) {
            return Err(ExportError::ServerMismatch(class.clone()));
        }
    }
    Ok(())
}

/// By upstream: active servers with weights, and the fraction of requests that is rejected.
pub type ParsedUpstreams = BTreeMap<String, (Vec<(String, f64)>, f64)>;

/// Reads a file of upstream blocks.
///
/// Errors: invalid syntax.
pub fn read(text: &str) -> Result<ParsedUpstreams, SyntaxError> {
    let mut parsed: ParsedUpstreams = BTreeMap::new();
    for directive in syntax::parse(text.as_bytes(), 0, MAX_DIRECTIVES)? {
        if directive.is("upstream") {
            let servers = directive.block().iter().filter(|child| child.is("server"));
            let active = servers.filter(|server| !server.words.iter().any(|word| word.is("down")));
            let server_entry = |server: &syntax::Directive| {
                let weight =
                    server.words.iter().find_map(|word| word.text().strip_prefix("weight=")?.parse().ok());
                Some((server.word(0)?.into_owned(), weight.unwrap_or(1.0)))
            };
            parsed.entry(directive.word(0).unwrap_or_default().into_owned()).or_default().0 =
                active.filter_map(server_entry).collect();
        } else if directive.is("split_clients") {
            let variable = directive.word(1).unwrap_or_default();
            let Some(name) = variable.strip_prefix('$').and_then(|name| name.strip_suffix("_blocked")) else {
                continue;
            };
            let fraction = |entry: &syntax::Directive| match entry.is("*") {
                true => Some(1.0),
                false => crate::values::parse_percentage(&entry.name.text()),
            };
            let blocked = directive.block().iter().find(|entry| entry.word(0).as_deref() == Some("1"));
            parsed.entry(name.to_string()).or_default().1 = blocked.and_then(fraction).unwrap_or(0.0);
        }
    }
    Ok(parsed)
}

#[cfg(test)]
mod tests;
