//! Writes fleets as settings scripts and rosters, with the origin of each part. The output is deterministic.

use std::fmt::Write;

use serde_json::{Value, json};

use crate::fleet::{ImportedFleet, ImportedReplica, Routes};

/// Deployment parameters that a proxy configuration does not contain.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentTerms {
    /// Number of proxies of all governors together.
    pub proxies: u64,
    /// Number of governors that share the fleet.
    pub governors: u64,
    /// Ports of the first fleet (gRPC, HTTP, long-poll); those of each further fleet are 10 higher.
    pub ports: (u16, u16, u16),
}

impl Default for DeploymentTerms {
    fn default() -> Self {
        DeploymentTerms { proxies: 16, governors: 1, ports: (15010, 15011, 15012) }
    }
}

/// A text as a Starlark string literal.
fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => out.extend(['\\', character]),
            '\n' => out += "\\n",
            '\r' => out += "\\r",
            '\t' => out += "\\t",
            character if character.is_control() => {}
            character => out.push(character),
        }
    }
    out.push('"');
    out
}

/// A text as one line for a comment.
fn comment_text(text: &str) -> String {
    text.chars().map(|character| if character.is_control() { ' ' } else { character }).collect()
}

fn format_number(value: f64) -> String {
    let rounded = (value * 1000.0).round() / 1000.0;
    format!("{rounded}")
}

/// The settings script. `index`: the fleet's index in the import.
pub fn settings(fleet: &ImportedFleet, index: usize, terms: &DeploymentTerms) -> String {
    let mut text = String::new();
    let zones: Vec<String> = fleet.zones.iter().map(|zone| quoted(zone)).collect();
    let ready = |replica: &&ImportedReplica| replica.phase == "ready" && !replica.backup;
    let ready = fleet.replicas.iter().filter(ready).count();
    let lines = ready.clamp(1, 12);
    let _ = writeln!(text, "# From {}.", comment_text(&fleet.origin));
    let _ = writeln!(text, "# Latency budgets are nginx's timeouts: say what clients really have.");
    let _ = writeln!(text, "# Groups are non-retriable unless nginx says that repeats do no harm.");
    let governors = match terms.governors {
        1 => String::new(),
        governors => format!(", governors = {governors}"),
    };
    let _ = writeln!(
        text,
        "fleet(\n    zones = [{}],\n    proxies = {}{governors},\n    standing_lines = {lines},\n    \
         tries = {},\n)",
        zones.join(", "),
        terms.proxies,
        quoted(fleet.retry_policy.name()),
    );
    if terms.governors > 1 {
        let _ = writeln!(text, "governor(name = {})", quoted(&fleet.name));
    }
    if let Some(warm_after) = fleet.slow_start_seconds {
        // nginx starts at weight 0. The governor needs a share above 0 to observe that the replica works.
        let _ = writeln!(text, "# slow_start");
        let _ = writeln!(text, "replicas(cold_share = 0.05, warm_after = {})", format_number(warm_after));
    }
    let _ = writeln!(text, "roster(file = \"roster.json\")");
    let port = |base: u16| base.saturating_add((index as u16).saturating_mul(10));
    let (grpc, http, poll) = terms.ports;
    let _ = writeln!(
        text,
        "listen(grpc = \"127.0.0.1:{}\", http = \"127.0.0.1:{}\", poll = \"127.0.0.1:{}\")",
        port(grpc),
        port(http),
        port(poll)
    );
    for class in &fleet.classes {
        text.push('\n');
        for origin in &class.origins {
            let _ = writeln!(text, "# {}", comment_text(origin));
        }
        let routes = match &class.routes {
            Routes::Header(header) => format!("header = {}", quoted(header)),
            Routes::Paths(paths) => {
                let paths: Vec<String> = paths.iter().map(|path| quoted(path)).collect();
                format!("paths = [{}]", paths.join(", "))
            }
        };
        let effect = if class.idempotent { "retriable" } else { "non-retriable" };
        let _ = writeln!(
            text,
            "group(\n    {},\n    effect = \"{effect}\",\n    latency_budget = {},\n    expiry = {},\n    \
             {routes},\n)",
            quoted(&class.name),
            format_number(class.latency_objective),
            format_number(class.request_deadline),
        );
    }
    text
}

/// The roster file.
pub fn roster(fleet: &ImportedFleet) -> String {
    let entry = |replica: &ImportedReplica| -> Value {
        let mut entry = json!({
            "id": replica.id, "address": replica.address, "zone": replica.zone, "weight": replica.weight,
            "phase": replica.phase, "origin": replica.origin,
        });
        if replica.backup {
            entry["backup"] = true.into();
        }
        entry
    };
    let lines: Vec<String> = fleet.replicas.iter().map(|replica| format!("  {}", entry(replica))).collect();
    format!("{{\"replicas\": [\n{}\n]}}\n", lines.join(",\n"))
}

const CHECKSUM_PREFIX: &str = "# wrenthread import nginx ";

/// Adds a first line with a checksum, which shows later whether the script was edited.
pub fn with_checksum(script: &str) -> String {
    format!("{CHECKSUM_PREFIX}{}\n{script}", &blake3::hash(script.as_bytes()).to_hex()[..16])
}

/// Whether a file has a checksum line and was not edited since.
pub fn is_unedited(file: &str) -> bool {
    let parts = file.strip_prefix(CHECKSUM_PREFIX).and_then(|rest| rest.split_once('\n'));
    parts.is_some_and(|(checksum, script)| checksum == &blake3::hash(script.as_bytes()).to_hex()[..16])
}
