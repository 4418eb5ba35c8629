//! The other way: a proxy's tables as upstream blocks that an nginx includes.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::syntax::{self, MAX_DIRECTIVES, SyntaxError};

/// The weights of an upstream come to this together at the most: every whole number up to it is one that
/// nginx takes and adds up.
const MAX_WEIGHT_SUM: f64 = 1_000_000.0;
/// Where a group has no line: nginx takes no empty upstream, and answers at once where all are down.
const PLACEHOLDER_SERVER: &str = "127.0.0.1:1";

/// What a proxy is to do with the flows of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamTable {
    /// Addresses and weights of open lines.
    pub servers: Vec<(String, f64)>,
    /// The share of flows to let in.
    pub admission_fraction: f64,
}

/// All groups' lines, by name.
pub type Tables = BTreeMap<String, UpstreamTable>;

/// What is wrong with what was written.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ExportError {
    /// nginx could not read it.
    #[error("it can't be read: {0}")]
    Syntax(String),
    /// A class would have other servers than it should.
    #[error("group `{0}` would have other lines than it should")]
    ServerMismatch(String),
    /// An address that nginx does not take.
    #[error("`{0}` is no address that an nginx takes")]
    InvalidAddress(String),
}

impl From<SyntaxError> for ExportError {
    fn from(fault: SyntaxError) -> Self {
        ExportError::Syntax(fault.to_string())
    }
}

/// The name of a group's upstream, and of its variable without `$` and `_blocked`. Different groups have
/// different ones: what is no letter or digit is spelt by its number.
pub fn upstream(class: &str) -> String {
    let mut name = String::from("wrenthread_");
    for byte in class.bytes() {
        match byte {
            byte if byte.is_ascii_alphanumeric() => name.push(char::from(byte)),
            byte => drop(write!(name, "_{byte:02x}")),
        }
    }
    name
}

/// Weights as whole numbers of at least 1, in the same proportions to within a millionth of all.
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

/// The file. `says`: what stands in its first line, for people.
///
/// Picks are by weight and chance (`random`), as other proxies do: nginx's usual round begins anew in each
/// of its processes with every reload, and all of them would send their first flows to the heaviest line.
///
/// Errors: what was written would not be read as what it should say; it is not to be used.
pub fn write(tables: &Tables, header_comment: &str) -> Result<String, ExportError> {
    let header_comment: String = header_comment
        .chars()
        .map(|character| if character.is_control() { ' ' } else { character })
        .collect();
    let mut text = format!(
        "# {header_comment}\n# Written by wrenthread, and replaced whole: changes here do not last.\n"
    );
    for (class, table) in tables {
        let name = upstream(class);
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

/// Reads what was written as nginx would, and compares.
fn check(text: &str, tables: &Tables) -> Result<(), ExportError> {
    let parsed = read(text)?;
    for (class, table) in tables {
        let expected = table
            .servers
            .iter()
            .zip(integer_weights(&table.servers))
            .map(|((address, _), weight)| (address.clone(), weight as f64));
        let expected: Vec<(String, f64)> = expected.collect();
        if parsed.get(&upstream(class)).is_none_or(|(servers, _)| *servers != expected) {
            return Err(ExportError::ServerMismatch(class.clone()));
        }
    }
    Ok(())
}

/// Open lines, and the share that is blocked.
pub type ParsedUpstreams = BTreeMap<String, (Vec<(String, f64)>, f64)>;

/// What a file of upstream blocks says, by upstream.
///
/// Errors: its syntax.
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
