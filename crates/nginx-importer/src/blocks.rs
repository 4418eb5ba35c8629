//! The other way: a proxy's tables as upstream blocks that an nginx includes.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::syntax::{self, MOST, SyntaxError};

/// The weights of an upstream come to this together at the most: every whole number up to it is one that
/// nginx takes and adds up.
const WEIGHTS: f64 = 1_000_000.0;
/// Where a group has no line: nginx takes no empty upstream, and answers at once where all are down.
const NOWHERE: &str = "127.0.0.1:1";

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
    Lines(String),
    /// An address that nginx does not take.
    #[error("`{0}` is no address that an nginx takes")]
    Address(String),
}

impl From<SyntaxError> for ExportError {
    fn from(fault: SyntaxError) -> Self {
        ExportError::Syntax(fault.to_string())
    }
}

/// The name of a group's upstream, and of its variable without `$` and `_blocked`. Different groups have
/// different ones: what is no letter or digit is spelt by its number.
pub fn upstream(group: &str) -> String {
    let mut name = String::from("wrenthread_");
    for byte in group.bytes() {
        match byte {
            byte if byte.is_ascii_alphanumeric() => name.push(char::from(byte)),
            byte => drop(write!(name, "_{byte:02x}")),
        }
    }
    name
}

/// Weights as whole numbers of at least 1, in the same proportions to within a millionth of all.
pub fn weights(lines: &[(String, f64)]) -> Vec<u64> {
    let sound = |weight: f64| weight.is_finite() && weight > 0.0;
    let sum: f64 = lines.iter().map(|(_, weight)| *weight).filter(|weight| sound(*weight)).sum();
    let whole =
        |weight: f64| if sound(weight) { (weight / sum * WEIGHTS).floor().max(1.0) as u64 } else { 1 };
    let all: Vec<u64> = lines.iter().map(|(_, weight)| whole(*weight)).collect();
    let common = all.iter().copied().fold(0, divisor).max(1);
    all.into_iter().map(|weight| weight / common).collect()
}

fn divisor(one: u64, other: u64) -> u64 {
    if other == 0 { one } else { divisor(other, one % other) }
}

/// The file. `says`: what stands in its first line, for people.
///
/// Picks are by weight and chance (`random`), as other proxies do: nginx's usual round begins anew in each
/// of its processes with every reload, and all of them would send their first flows to the heaviest line.
///
/// Errors: what was written would not be read as what it should say; it is not to be used.
pub fn write(tables: &Tables, says: &str) -> Result<String, ExportError> {
    let says: String = says.chars().map(|letter| if letter.is_control() { ' ' } else { letter }).collect();
    let mut text =
        format!("# {says}\n# Written by wrenthread, and replaced whole: changes here do not last.\n");
    for (group, table) in tables {
        let name = upstream(group);
        let _ = writeln!(text, "upstream {name} {{\n    random;");
        if table.servers.is_empty() {
            let _ = writeln!(text, "    server {NOWHERE} down;");
        }
        for ((address, _), weight) in table.servers.iter().zip(weights(&table.servers)) {
            if !matches!(
                crate::values::target(address, 80),
                Some(crate::values::Target::Address(_) | crate::values::Target::Name(_))
            ) {
                return Err(ExportError::Address(address.clone()));
            }
            let _ = writeln!(text, "    server {address} weight={weight};");
        }
        text += "}\n";
        let level =
            if table.admission_fraction.is_finite() { table.admission_fraction.clamp(0.0, 1.0) } else { 1.0 };
        let blocked = ((1.0 - level) * 10_000.0).round() / 100.0;
        let entries = match blocked {
            0.0 => String::new(),
            100.0 => "* 1; ".to_string(),
            blocked => format!("{blocked}% 1; "),
        };
        let rest = if blocked == 100.0 { "" } else { "* \"\"; " };
        let _ = writeln!(text, "split_clients $request_id ${name}_blocked {{ {entries}{rest}}}");
    }
    check(&text, tables)?;
    Ok(text)
}

/// Reads what was written as nginx would, and compares.
fn check(text: &str, tables: &Tables) -> Result<(), ExportError> {
    let said = read(text)?;
    for (group, table) in tables {
        let wanted = table
            .servers
            .iter()
            .zip(weights(&table.servers))
            .map(|((at, _), weight)| (at.clone(), weight as f64));
        let wanted: Vec<(String, f64)> = wanted.collect();
        if said.get(&upstream(group)).is_none_or(|(lines, _)| *lines != wanted) {
            return Err(ExportError::Lines(group.clone()));
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
    let mut said: ParsedUpstreams = BTreeMap::new();
    for directive in syntax::parse(text.as_bytes(), 0, MOST)? {
        if directive.is("upstream") {
            let servers = directive.block().iter().filter(|one| one.is("server"));
            let open = servers.filter(|one| !one.words.iter().any(|word| word.is("down")));
            let line = |server: &syntax::Directive| {
                let weight =
                    server.words.iter().find_map(|word| word.text().strip_prefix("weight=")?.parse().ok());
                Some((server.word(0)?.into_owned(), weight.unwrap_or(1.0)))
            };
            said.entry(directive.word(0).unwrap_or_default().into_owned()).or_default().0 =
                open.filter_map(line).collect();
        } else if directive.is("split_clients") {
            let variable = directive.word(1).unwrap_or_default();
            let Some(name) = variable.strip_prefix('$').and_then(|name| name.strip_suffix("_blocked")) else {
                continue;
            };
            let part = |entry: &syntax::Directive| match entry.is("*") {
                true => Some(1.0),
                false => crate::values::share(&entry.name.text()),
            };
            let blocked = directive.block().iter().find(|entry| entry.word(0).as_deref() == Some("1"));
            said.entry(name.to_string()).or_default().1 = blocked.and_then(part).unwrap_or(0.0);
        }
    }
    Ok(said)
}

#[cfg(test)]
mod tests;
