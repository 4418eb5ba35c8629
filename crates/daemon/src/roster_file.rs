//! The roster as a watched file: JSON, replaced whole. What can't be taken is refused with its place and
//! cause, and the last good list stays.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::mpsc;
use wrenthread::types::Phase;
use wrenthread_core::roster::RosterEntry;

use crate::clock::Clock;

/// More replicas than any fleet has: a file larger than this is not read.
const MOST_BYTES: u64 = 64 << 20;

#[derive(Debug, thiserror::Error)]
pub enum Unfit {
    #[error("{path}: {error}")]
    Unread { path: PathBuf, error: std::io::Error },
    #[error("{path}: {bytes} bytes; {MOST_BYTES} are allowed")]
    TooLarge { path: PathBuf, bytes: u64 },
    #[error("{path}:{line}:{column}: {why}")]
    Placed { path: PathBuf, line: usize, column: usize, why: String },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Whole {
    replicas: Vec<Raw>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    id: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default = "ready")]
    phase: String,
    #[serde(default)]
    started: Option<f64>,
    #[serde(default)]
    backup: bool,
    /// Where it comes from, for people.
    #[serde(default)]
    #[allow(dead_code)]
    origin: Option<String>,
}

fn one() -> f64 {
    1.0
}

fn ready() -> String {
    "ready".into()
}

/// What is wrong with one entry, if anything is.
fn unfit(raw: &Raw) -> Option<String> {
    let Raw { id, address, weight, phase, .. } = raw;
    let host_port = address.rsplit_once(':').filter(|(host, _)| !host.is_empty());
    if id.is_empty() || id.len() > 256 {
        Some("a replica's `id` has 1 to 256 bytes".into())
    } else if host_port.is_none_or(|(_, port)| port.parse::<u16>().is_err()) {
        Some(format!("`address` of `{id}` is \"{address}\"; it takes \"host:port\""))
    } else if !(weight.is_finite() && *weight > 0.0) {
        Some(format!("`weight` of `{id}` is {weight}; it takes a number above 0"))
    } else if !["ready", "draining", "gone"].contains(&phase.as_str()) {
        Some(format!("`phase` of `{id}` is \"{phase}\"; it takes ready, draining or gone"))
    } else {
        None
    }
}

/// Reads a list from a file's text.
///
/// Errors: what is wrong, with line and column.
pub fn parse(path: &Path, text: &str, zones: &[String], clock: &Clock) -> Result<Vec<RosterEntry>, Unfit> {
    let placed = |line, column, why| Unfit::Placed { path: path.to_path_buf(), line, column, why };
    let whole: Whole = serde_json::from_str(text)
        .map_err(|error| placed(error.line(), error.column(), error.to_string()))?;
    let line_of = |id: &str| {
        let at = text.find(&format!("\"{id}\"")).unwrap_or(0);
        text[..at].matches('\n').count() + 1
    };
    let mut entries: Vec<RosterEntry> = Vec::with_capacity(whole.replicas.len());
    let (mut ids, mut addresses) = (std::collections::BTreeSet::new(), std::collections::BTreeMap::new());
    for raw in whole.replicas {
        let fault = |why| placed(line_of(&raw.id), 1, why);
        if let Some(why) = unfit(&raw) {
            return Err(fault(why));
        }
        let phase = match raw.phase.as_str() {
            "draining" => Phase::Draining,
            "gone" => Phase::Gone,
            _ => Phase::Ready,
        };
        let zone = zones.iter().position(|zone| *zone == raw.zone);
        let zone = zone.or((raw.zone.is_empty() && zones.len() == 1).then_some(0)).ok_or_else(|| {
            fault(format!(
                "`zone` of `{}` is \"{}\"; the settings know {}",
                raw.id,
                raw.zone,
                zones.join(", ")
            ))
        })?;
        if !ids.insert(raw.id.clone()) {
            return Err(fault(format!("`{}` is listed twice", raw.id)));
        }
        // Two at one address would share their reports, and each be judged by the other's.
        if phase != Phase::Gone
            && let Some(other) = addresses.insert(raw.address.clone(), raw.id.clone())
        {
            return Err(fault(format!("`{}` and `{other}` have the same address {}", raw.id, raw.address)));
        }
        if phase == Phase::Gone {
            continue;
        }
        entries.push(RosterEntry {
            id: raw.id.as_str().into(),
            address: raw.address.as_str().into(),
            zone,
            weight: raw.weight,
            phase,
            started_at: raw.started.and_then(|at| clock.at(at)),
            backup: raw.backup,
        });
    }
    Ok(entries)
}

async fn read(path: &Path) -> Result<String, Unfit> {
    let unread = |error| Unfit::Unread { path: path.to_path_buf(), error };
    let bytes = tokio::fs::metadata(path).await.map_err(unread)?.len();
    if bytes > MOST_BYTES {
        return Err(Unfit::TooLarge { path: path.to_path_buf(), bytes });
    }
    tokio::fs::read_to_string(path).await.map_err(unread)
}

/// Looks at the file every so often, and passes lists on when its text differs and can be taken.
pub async fn watch(
    path: PathBuf,
    every: Duration,
    zones: Vec<String>,
    clock: Clock,
    lists: mpsc::Sender<Vec<RosterEntry>>,
) {
    let (mut last, mut complained) = (None, String::new());
    let mut ticks = tokio::time::interval(every);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !lists.is_closed() {
        ticks.tick().await;
        let text = read(&path).await;
        let taken = match &text {
            Ok(text) if last.as_ref() == Some(text) => continue,
            Ok(text) => parse(&path, text, &zones, &clock),
            Err(_) => text.as_ref().map(|_| Vec::new()).map_err(|error| Unfit::Unread {
                path: path.clone(),
                error: std::io::Error::other(error.to_string()),
            }),
        };
        match taken {
            Ok(entries) => {
                if lists.send(entries).await.is_err() {
                    return;
                }
                complained.clear();
            }
            // Said once, not at every look.
            Err(error) if complained != error.to_string() => {
                complained = error.to_string();
                metrics::counter!("wrenthread_roster_refused_total").increment(1);
                tracing::warn!(%error, "the roster is not taken; the last one stays");
            }
            Err(_) => {}
        }
        last = text.ok().or(last);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn why(text: &str) -> String {
        let zones = ["north".to_string(), "south".to_string()];
        parse(Path::new("r.json"), text, &zones, &Clock::start()).unwrap_err().to_string()
    }

    #[test]
    fn a_file_is_taken_whole_or_refused_with_its_place() {
        let good = r#"{"replicas": [
  {"id": "a", "address": "10.0.0.1:80", "zone": "north"},
  {"id": "b", "address": "10.0.0.2:80", "zone": "south", "weight": 2, "phase": "draining", "started": 5}
]}"#;
        let zones = ["north".to_string(), "south".to_string()];
        let entries = parse(Path::new("r.json"), good, &zones, &Clock::start()).unwrap();
        assert_eq!((entries[1].zone, entries[1].weight, entries[1].phase), (1, 2.0, Phase::Draining));
        assert_eq!(entries[1].started_at, None, "long ago");
        for cut in 1..good.len() - 1 {
            assert!(why(&good[..cut]).starts_with("r.json:"), "half written, at {cut}");
        }
        assert!(why(&good.replace("south", "west")).contains("r.json:3:1: `zone` of `b`"));
        assert!(why(&good.replace("\"b\"", "\"a\"")).contains("`a` is listed twice"));
        assert!(why(&good.replace("0.2:80", "0.1:80")).contains("the same address"));
        let negative = why(&good.replace("\"weight\": 2", "\"weight\": -2"));
        assert!(negative.starts_with("r.json:3:"), "{negative}");
        assert!(why(&good.replace("draining", "asleep")).contains("ready, draining or gone"));
        assert!(why(&good.replace("weight", "wieght")).contains("wieght"));
    }
}
