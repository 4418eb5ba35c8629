//! `wrenthread import nginx`: converts an nginx configuration to settings and rosters, and reports how each directive
//! was handled.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use wrenthread_nginx::difference::{self, ComparableFleet};
use wrenthread_nginx::directive_support::{self, Outcome};
use wrenthread_nginx::files::{self, Configuration, LocalFiles};
use wrenthread_nginx::fleet::{self, ImportResult, ImportedFleet, ZoneAssignment};
use wrenthread_nginx::write::{self, DeploymentTerms};
use wrenthread_settings::{PathRoute, Route};

use crate::{dry_run, render};

/// An imported configuration and the result of the import.
pub struct Import {
    configuration: Configuration,
    imported: ImportResult,
    terms: DeploymentTerms,
}

/// Reads and imports a configuration.
///
/// Errors: the configuration can't be read (with file, line and column), or the generated settings are invalid.
pub fn import(file: &Path, zones: ZoneAssignment, terms: DeploymentTerms) -> Result<Import> {
    let configuration = files::read(&LocalFiles, file)?;
    let imported = fleet::import(&configuration, zones);
    for (index, fleet) in imported.fleets.iter().enumerate() {
        let script = write::settings(fleet, index, &terms);
        wrenthread_settings::parse(&format!("{}/settings.star", fleet.name), &script)
            .with_context(|| format!("the settings generated for fleet `{}` are invalid", fleet.name))?;
    }
    Ok(Import { configuration, imported, terms })
}

/// Replaces a file atomically.
fn replace_file(path: &Path, text: &str) -> Result<()> {
    let temporary = path.with_extension("new~");
    std::fs::write(&temporary, text).with_context(|| temporary.display().to_string())?;
    std::fs::rename(&temporary, path).with_context(|| path.display().to_string())
}

impl Import {
    /// The number of directives that affect routing and are not carried over.
    pub fn routing_losses(&self) -> usize {
        self.imported.report.routing_losses()
    }

    /// Writes a folder for each fleet, and returns the written files. Settings that were edited after an earlier import
    /// are kept; the new ones are then written to `settings.imported.star`.
    ///
    /// Errors: a file or folder can't be written.
    pub fn write(&self, folder: &Path) -> Result<Vec<PathBuf>> {
        let mut written = Vec::new();
        for (index, fleet) in self.imported.fleets.iter().enumerate() {
            let folder = folder.join(&fleet.name);
            std::fs::create_dir_all(&folder).with_context(|| folder.display().to_string())?;
            let roster = folder.join("roster.json");
            replace_file(&roster, &write::roster(fleet))?;
            let script = write::with_checksum(&write::settings(fleet, index, &self.terms));
            let mut settings = folder.join("settings.star");
            let is_edited = std::fs::read_to_string(&settings).is_ok_and(|text| !write::is_unedited(&text));
            if is_edited {
                settings = folder.join("settings.imported.star");
            }
            replace_file(&settings, &script)?;
            written.extend([settings, roster]);
        }
        Ok(written)
    }

    pub fn report(&self) -> Value {
        let ImportResult { fleets, report } = &self.imported;
        let count = |outcome| report.outcome_counts().get(&outcome).copied().unwrap_or(0);
        json!({
            "fleets": fleets,
            "directives": report.entries(&self.configuration),
            "carried": count(Outcome::Supported), "differs": count(Outcome::Partial),
            "left": count(Outcome::Unsupported),
            "losses": report.routing_losses(),
        })
    }

    /// A summary as text: the fleets, and the directives that affect routing and are not fully carried over.
    pub fn summary(&self) -> String {
        let ImportResult { fleets, report } = &self.imported;
        let rows: Vec<Vec<String>> = fleets
            .iter()
            .map(|fleet| {
                let ready = fleet
                    .replicas
                    .iter()
                    .filter(|replica| replica.phase == "ready" && !replica.backup)
                    .count();
                vec![
                    fleet.name.clone(),
                    fleet.classes.iter().map(|class| class.name.as_str()).collect::<Vec<_>>().join(" "),
                    format!("{ready} of {}", fleet.replicas.len()),
                    fleet.zones.join(" "),
                    fleet.origin.clone(),
                ]
            })
            .collect();
        let mut text = render::columns(&["fleet", "groups", "ready", "zones", "from"], &rows);
        let entries = report.entries(&self.configuration);
        let rows: Vec<Vec<String>> = entries
            .iter()
            .filter(|entry| entry.support.affects_routing && entry.support.outcome != Outcome::Supported)
            .map(|entry| {
                let outcome = match entry.support.outcome {
                    Outcome::Unsupported => "NOT CARRIED OVER",
                    _ => "differs",
                };
                let separator = if entry.support.advice.is_empty() { "" } else { "; " };
                let reason = format!("{}{separator}{}", entry.support.reason, entry.support.advice);
                vec![
                    format!("{}:{}", entry.at, entry.column),
                    entry.directive.clone(),
                    outcome.to_string(),
                    reason,
                ]
            })
            .collect();
        if !rows.is_empty() {
            text += &format!("\n{}", render::columns(&["at", "directive", "outcome", "why"], &rows));
        }
        let counts = report.outcome_counts();
        let count = |outcome| counts.get(&outcome).copied().unwrap_or(0);
        let unrelated = entries
            .iter()
            .filter(|entry| entry.support.outcome == Outcome::Unsupported && !entry.support.affects_routing)
            .count();
        text += &format!(
            "\ndirectives: {} carried over, {} carried over with a difference, {} not carried over ({} of these affect \
             routing, {unrelated} do not)\n",
            count(Outcome::Supported),
            count(Outcome::Partial),
            count(Outcome::Unsupported),
            report.routing_losses(),
        );
        text
    }

    /// The differences from the folder of an earlier import, or from the governor at an address.
    ///
    /// Errors: the folder or the governor's recording can't be read, or no fleet was imported.
    pub fn differences(&self, against: &str) -> Result<Value> {
        let folder = Path::new(against);
        let mut fleets = Vec::new();
        if !folder.is_dir() {
            let recording = dry_run::recording(against)?;
            let earlier = recorded_fleet(&recording);
            // A governor runs a single fleet: compares the one that shares most groups and replicas with it.
            let shared = |fleet: &&ImportedFleet| {
                let later = ComparableFleet::from(*fleet);
                let classes = later.classes.keys().filter(|name| earlier.classes.contains_key(*name)).count();
                classes + later.replicas.keys().filter(|name| earlier.replicas.contains_key(*name)).count()
            };
            let fleet = self.imported.fleets.iter().max_by_key(shared).context("no fleet was imported")?;
            let mut later = ComparableFleet::from(fleet);
            // A governor does not keep replicas in phase `gone` or unused backups.
            let is_kept = |attributes: &BTreeMap<_, String>| {
                attributes["phase"] != "gone" && attributes["backup"] != "true"
            };
            later.replicas.retain(|id, attributes| earlier.replicas.contains_key(id) || is_kept(attributes));
            fleets.push((fleet.name.clone(), difference::compare(&earlier, &later)));
        } else {
            for fleet in &self.imported.fleets {
                let earlier = imported_fleet(&folder.join(&fleet.name))?;
                fleets.push((fleet.name.clone(), difference::compare(&earlier, &fleet.into())));
            }
            for entry in std::fs::read_dir(folder).with_context(|| against.to_string())? {
                let entry = entry.with_context(|| against.to_string())?;
                let name = entry.file_name().to_string_lossy().into_owned();
                let is_fleet = entry.path().join("roster.json").exists();
                if is_fleet && self.imported.fleets.iter().all(|fleet| fleet.name != name) {
                    fleets.push((
                        name,
                        difference::compare(&imported_fleet(&entry.path())?, &ComparableFleet::default()),
                    ));
                }
            }
        }
        type Row = (String, Vec<difference::Difference>);
        let row = |(fleet, differences): &Row| json!({"fleet": fleet, "differences": differences});
        Ok(json!({"against": against, "fleets": fleets.iter().map(row).collect::<Vec<_>>()}))
    }
}

/// The fleet in a running governor's recording, for comparison.
fn recorded_fleet(recording: &wrenthread_core::recording::Recording) -> ComparableFleet {
    let replica = |recorded: &wrenthread_core::recording::RecordedReplica| {
        let zone = recording.zones.get(recorded.zone).cloned().unwrap_or_default();
        let phase = crate::labels::replica_phase(recorded.phase).to_string();
        let attributes = [
            ("address", recorded.address.to_string()),
            ("zone", zone),
            ("weight", recorded.weight.to_string()),
            ("phase", phase),
        ];
        (recorded.id.to_string(), attributes.into())
    };
    let classes = recording.groups.iter().map(|name| (name.clone(), BTreeMap::new()));
    ComparableFleet { replicas: recording.replicas.iter().map(replica).collect(), classes: classes.collect() }
}

/// The fleet in the folder of an earlier import, for comparison; empty if there are no files.
fn imported_fleet(folder: &Path) -> Result<ComparableFleet> {
    let mut fleet = ComparableFleet::default();
    let settings = folder.join("settings.star");
    if settings.exists() {
        for class in crate::run::load_settings(&settings)?.groups {
            let path = |path: &PathRoute| match path {
                PathRoute::Prefix(path) => path.clone(),
                PathRoute::Exact(path) => format!("= {path}"),
                PathRoute::PriorityPrefix(path) => format!("^~ {path}"),
                PathRoute::Pattern(path) => format!("~ {path}"),
                PathRoute::CaseInsensitivePattern(path) => format!("~* {path}"),
            };
            let routes = match &class.route {
                Route::Prefix(prefix) => prefix.clone(),
                Route::Header(name, value) => format!("{name}: {value}"),
                Route::Paths(paths) => paths.iter().map(path).collect::<Vec<_>>().join(", "),
            };
            let attributes = [
                ("effect", class.idempotency),
                ("latency_budget", class.latency_objective.to_string()),
                ("expiry", class.request_deadline.to_string()),
                ("routes", routes),
            ];
            fleet.classes.insert(class.name, attributes.into());
        }
    }
    let roster = folder.join("roster.json");
    if roster.exists() {
        let name = roster.display().to_string();
        let text = std::fs::read_to_string(&roster).with_context(|| name.clone())?;
        let list: Value = serde_json::from_str(&text).with_context(|| name.clone())?;
        for replica in list["replicas"].as_array().with_context(|| format!("{name} has no `replicas`"))? {
            let id = replica["id"].as_str().with_context(|| format!("{name}: a replica has no `id`"))?;
            let text = |field: &str, default: &str| replica[field].as_str().unwrap_or(default).to_string();
            let attributes = [
                ("address", text("address", "")),
                ("zone", text("zone", "")),
                ("weight", replica["weight"].as_f64().unwrap_or(1.0).to_string()),
                ("phase", text("phase", "ready")),
                ("backup", replica["backup"].as_bool().unwrap_or(false).to_string()),
            ];
            fleet.replicas.insert(id.to_string(), attributes.into());
        }
    }
    Ok(fleet)
}

/// Formats the differences as text.
pub fn format_differences(value: &Value) -> String {
    let mut rows = Vec::new();
    for fleet in value["fleets"].as_array().into_iter().flatten() {
        for difference in fleet["differences"].as_array().into_iter().flatten() {
            let (what, from, to) = match &difference["what"]["changed"] {
                Value::Array(changed) => {
                    let text =
                        |index: usize| changed.get(index).and_then(Value::as_str).unwrap_or("").to_string();
                    (text(0), text(1), text(2))
                }
                _ => (difference["what"].as_str().unwrap_or("").to_string(), String::new(), String::new()),
            };
            let text = |value: &Value| value.as_str().unwrap_or("").to_string();
            rows.push(vec![
                text(&fleet["fleet"]),
                text(&difference["kind"]),
                text(&difference["name"]),
                what,
                from,
                to,
            ]);
        }
    }
    match rows.is_empty() {
        true => "nothing differs\n".to_string(),
        false => render::columns(&["fleet", "kind", "name", "what", "from", "to"], &rows),
    }
}

/// Explains how a directive is handled, as JSON and as text.
///
/// Errors: the directive is unknown.
pub fn explain(name: &str) -> Result<(Value, String)> {
    let Some(rule) = directive_support::explain(name) else {
        bail!("unknown directive `{name}`: it would not be carried over");
    };
    let outcome = match (rule.outcome, rule.affects_routing) {
        (Outcome::Supported, _) => "carried over",
        (Outcome::Partial, _) => "carried over, with a difference",
        (Outcome::Unsupported, true) => "not carried over, although it affects routing",
        (Outcome::Unsupported, false) => "not carried over",
    };
    let advice = if rule.advice.is_empty() { String::new() } else { format!("\nadvice: {}", rule.advice) };
    Ok((serde_json::to_value(rule)?, format!("{name}: {outcome}: {}{advice}\n", rule.reason)))
}

/// Whether there are any differences.
pub fn has_differences(value: &Value) -> bool {
    let fleets = value["fleets"].as_array().into_iter().flatten();
    fleets.flat_map(|fleet| fleet["differences"].as_array()).any(|differences| !differences.is_empty())
}
