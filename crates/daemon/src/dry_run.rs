//! `wrenthread tables check`: checks the tables in a file with the guard, against the state of a running governor or of
//! a recording.

use std::path::Path;

use anyhow::{Context, Result, bail};
use serde::Serialize;
use serde_json::Value;
use wrenthread_core::recording::{CandidateTable, DryRun, Recording};

use crate::{admin_client, labels};

/// What the guard would refuse, and what would be published instead.
#[derive(Debug, Serialize)]
struct Outcome {
    /// The number of tables that were checked.
    #[serde(rename = "tried")]
    checked: usize,
    /// The name of the governor that they were checked against.
    against: String,
    refused: Vec<RefusedChange>,
    /// What would be published in place of the tables with a refused change.
    #[serde(rename = "told")]
    published: Vec<PublishedTable>,
}

#[derive(Debug, Serialize)]
struct RefusedChange {
    proxy: Option<String>,
    #[serde(rename = "group")]
    class: Option<String>,
    replica: Option<String>,
    #[serde(rename = "why")]
    reason: String,
    asked: f64,
    allowed: f64,
    #[serde(rename = "done")]
    outcome: &'static str,
}

#[derive(Debug, Serialize)]
struct PublishedTable {
    proxy: String,
    #[serde(rename = "group")]
    class: Option<String>,
    #[serde(rename = "level")]
    admission_fraction: f64,
    #[serde(rename = "lines")]
    entries: Vec<PublishedEntry>,
}

#[derive(Debug, Serialize)]
struct PublishedEntry {
    replica: String,
    weight: f64,
}

/// Returns as JSON what the guard would refuse of the tables in a file, and what would be published instead. `proxy`
/// overrides the proxy name in the file. `against` is a governor's HTTP port or the file of a recording.
///
/// # Errors
/// The file or the recording can't be read, or the recording lacks a proxy or class that the tables name.
pub fn check(file: &Path, proxy: Option<&str>, against: &str) -> Result<Value> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| name.clone())?;
    let tables: Value = serde_json::from_str(&text).with_context(|| name.clone())?;
    let recording = recording(against)?;
    let candidates = candidates(&recording, &tables, proxy).with_context(|| name.clone())?;
    let dry_run =
        recording.check_candidates(&candidates).with_context(|| format!("the recording of {against}"))?;
    let dry_run = dry_run.with_context(|| name)?;
    Ok(serde_json::to_value(outcome(&recording, &candidates, &dry_run))?)
}

/// Reads a recording from a file, or requests one from the governor at an address.
///
/// # Errors
/// There is no such file and no governor answers, or the content is not a recording; the error gives the position.
pub fn recording(against: &str) -> Result<Recording> {
    if Path::new(against).exists() {
        let text =
            std::fs::read_to_string(against).with_context(|| format!("reading the recording {against}"))?;
        return serde_json::from_str(&text).with_context(|| format!("{against} is not a recording"));
    }
    let answer = admin_client::get(against, "/recording").with_context(|| {
        format!("`{against}` is neither a file nor the address of a governor that answers")
    })?;
    serde_json::from_value(answer).with_context(|| format!("the response of {against} is not a recording"))
}

/// The tables in a file, in the format of `tables PROXY --output json`: those of one proxy, or a list of proxies.
fn candidates(recording: &Recording, file: &Value, proxy: Option<&str>) -> Result<Vec<CandidateTable>> {
    let proxies = match file {
        Value::Array(proxies) => proxies.iter().collect(),
        proxy => vec![proxy],
    };
    if proxy.is_some() && proxies.len() != 1 {
        bail!("the file has tables of {} proxies; a proxy name needs a file with one", proxies.len());
    }
    let mut candidates = Vec::new();
    for tables in proxies {
        let name = proxy.or(tables["name"].as_str()).context("tables without the `name` of their proxy")?;
        let classes = tables["groups"].as_array();
        let classes = classes.with_context(|| format!("`groups` of `{name}` is not a list"))?;
        for class in classes.iter().filter(|class| !class["lines"].is_null()) {
            candidates.push(candidate(recording, name, class)?);
        }
    }
    Ok(candidates)
}

/// A proxy's table for one traffic class.
fn candidate(recording: &Recording, proxy: &str, table: &Value) -> Result<CandidateTable> {
    let name = table["group"].as_str();
    let name = name.with_context(|| format!("a table of `{proxy}` has no `group`"))?;
    let class = recording.groups.iter().position(|known| known == name);
    let class = class.with_context(|| format!("the recording has no group `{name}`"))?;
    let lines = table["lines"].as_array();
    let lines = lines.with_context(|| format!("`lines` of `{proxy}` for `{name}` is not a list"))?;
    let mut entries = Vec::new();
    for line in lines {
        let replica = line["replica"].as_str();
        let replica = replica
            .with_context(|| format!("an entry in `lines` of `{proxy}` for `{name}` has no `replica`"))?;
        entries.push((replica.into(), line["weight"].as_f64().unwrap_or(f64::NAN)));
    }
    let admission_fraction = table["level"].as_f64().unwrap_or(1.0);
    Ok(CandidateTable { proxy: proxy.into(), class, entries, admission_fraction })
}

fn outcome(recording: &Recording, candidates: &[CandidateTable], dry_run: &DryRun) -> Outcome {
    let class_name = |class: usize| recording.groups.get(class).cloned();
    let mut refused = Vec::new();
    for refused_table in &dry_run.refusals {
        refused.push(RefusedChange {
            proxy: refused_table.proxy.as_ref().map(ToString::to_string),
            class: class_name(refused_table.refusal.class),
            replica: refused_table.refusal.replica.as_ref().map(ToString::to_string),
            reason: refused_table.refusal.reason.to_string(),
            asked: refused_table.refusal.asked,
            allowed: refused_table.refusal.allowed,
            outcome: labels::refusal_outcome(refused_table.refusal.outcome),
        });
    }
    let mut published = Vec::new();
    for (candidate, table) in candidates.iter().zip(&dry_run.tables) {
        if !has_refusal(dry_run, candidate) {
            continue;
        }
        let routable = table.entries.iter().filter(|entry| entry.routable);
        let entries =
            routable.map(|entry| PublishedEntry { replica: entry.replica.to_string(), weight: entry.weight });
        published.push(PublishedTable {
            proxy: candidate.proxy.to_string(),
            class: class_name(candidate.class),
            admission_fraction: table.admission_fraction,
            entries: entries.collect(),
        });
    }
    Outcome { checked: candidates.len(), against: recording.governor.clone(), refused, published }
}

/// Whether any change to a table was refused.
fn has_refusal(dry_run: &DryRun, candidate: &CandidateTable) -> bool {
    dry_run.refusals.iter().any(|refused_table| {
        let of_proxy = refused_table.proxy.as_ref().is_none_or(|proxy| *proxy == candidate.proxy);
        of_proxy && refused_table.refusal.class == candidate.class
    })
}
