//! `wrenthread tables check`: tables in a file, tried against what a governor holds or a recording of one.

use std::path::Path;

use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use wrenthread_core::recording::{CandidateTable, DryRun, Recording};

use crate::{labels, render};

/// A recording of a file, or of the governor that answers at an address.
///
/// Errors: neither is there, or it is none; with the place of what is wrong.
pub fn recording(against: &str) -> Result<Recording> {
    if Path::new(against).exists() {
        let text = std::fs::read_to_string(against).with_context(|| format!("the recording {against}"))?;
        return serde_json::from_str(&text).with_context(|| format!("{against} is no recording"));
    }
    let told = render::fetch(against, "/recording", None)
        .with_context(|| format!("no file `{against}` is there to try against, nor a governor"))?;
    serde_json::from_value(told).with_context(|| format!("what {against} tells is no recording"))
}

/// Tables as `tables PROXY --output json` tells them: one proxy's, or a list of such. `proxy`: whose they
/// are, whatever the file says.
fn wanted(recording: &Recording, file: &Value, proxy: Option<&str>) -> Result<Vec<CandidateTable>> {
    let all = match file {
        Value::Array(all) => all.iter().collect(),
        one => vec![one],
    };
    if proxy.is_some() && all.len() != 1 {
        bail!("tables of {} proxies, and not of one", all.len());
    }
    let mut wanted = Vec::new();
    for one in all {
        let name = proxy.or(one["name"].as_str()).context("tables without their proxy's `name`")?;
        let groups = one["groups"].as_array();
        let groups = groups.with_context(|| format!("`groups` of `{name}` is not a list"))?;
        for said in groups.iter().filter(|said| !said["lines"].is_null()) {
            let group =
                said["group"].as_str().with_context(|| format!("a group of `{name}` has no `group`"))?;
            let place = recording.groups.iter().position(|known| known == group);
            let place = place.with_context(|| format!("no group `{group}` is there"))?;
            let lines = said["lines"].as_array();
            let lines = lines.with_context(|| format!("`lines` of `{name}` for `{group}` is not a list"))?;
            let line = |line: &Value| {
                let replica = line["replica"].as_str();
                let replica = replica
                    .with_context(|| format!("a line of `{name}` for `{group}` without its `replica`"))?;
                Ok((replica.into(), line["weight"].as_f64().unwrap_or(f64::NAN)))
            };
            let lines = lines.iter().map(line).collect::<Result<_>>()?;
            let level = said["level"].as_f64().unwrap_or(1.0);
            wanted.push(CandidateTable { proxy: name.into(), group: place, lines, level });
        }
    }
    Ok(wanted)
}

/// What would be refused of the tables in a file, and what would be told instead of those.
///
/// Errors: a file or a recording that can't be meant.
pub fn tried(file: &Path, proxy: Option<&str>, against: &str) -> Result<Value> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| name.clone())?;
    let asked: Value = serde_json::from_str(&text).with_context(|| name.clone())?;
    let recording = recording(against)?;
    let wanted = wanted(&recording, &asked, proxy).with_context(|| name.clone())?;
    let would = recording.would(&wanted).with_context(|| format!("what is told by {against}"))?;
    let DryRun { tables, refusals } = would.with_context(|| name)?;
    let group = |place: usize| recording.groups.get(place);
    let refused: Vec<Value> = refusals
        .iter()
        .map(|one| {
            json!({
                "proxy": one.proxy, "group": group(one.refusal.class), "replica": one.refusal.replica,
                "why": one.refusal.reason.to_string(), "asked": one.refusal.asked,
                "allowed": one.refusal.allowed, "done": labels::refusal_outcome(one.refusal.outcome),
            })
        })
        .collect();
    let concerned = |wanted: &CandidateTable| {
        refusals.iter().any(|one| {
            one.proxy.as_ref().is_none_or(|name| *name == wanted.proxy) && one.refusal.class == wanted.group
        })
    };
    let told = wanted.iter().zip(&tables).filter(|(wanted, _)| concerned(wanted)).map(|(wanted, table)| {
        let lines = table.entries.iter().filter(|line| line.routable);
        let lines = lines.map(|line| json!({"replica": &*line.replica, "weight": line.weight}));
        json!({
            "proxy": &*wanted.proxy, "group": group(wanted.group), "level": table.admission_fraction,
            "lines": lines.collect::<Vec<_>>(),
        })
    });
    Ok(json!({
        "tried": wanted.len(), "against": recording.governor, "refused": refused,
        "told": told.collect::<Vec<_>>(),
    }))
}
