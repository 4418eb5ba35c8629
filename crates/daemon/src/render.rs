//! Formats a governor's JSON responses as text tables for operators.

use std::fmt::Write;

use anyhow::Result;
use serde_json::Value;
use wrenthread_settings::Settings;

/// A value as the text of a table cell.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if !number.is_u64() => format!("{float:.2}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

/// Rows under column headings, with each column as wide as its longest cell.
pub fn columns(heads: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.fold(heads[column].len(), usize::max)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let heads: Vec<String> = heads.iter().map(|head| head.to_uppercase()).collect();
    let mut text = String::new();
    for row in std::iter::once(&heads).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let _ = writeln!(text, "{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
    text
}

/// Whether a value is an empty list.
pub fn is_empty_list(value: &Value) -> bool {
    value.as_array().is_some_and(Vec::is_empty)
}

fn is_filled_list(value: &Value) -> bool {
    value.as_array().is_some_and(|items| !items.is_empty())
}

/// The items of a list; empty if the value is not a list.
fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Formats a list of objects as a table with these fields as columns.
fn table(list: &Value, fields: &[&str]) -> String {
    let mut rows = Vec::new();
    for item in items(list) {
        rows.push(fields.iter().map(|field| cell(&item[*field])).collect());
    }
    columns(fields, &rows)
}

/// The status of a governor, with its proxies, replicas, frozen tables and overrides.
pub fn status(status: &Value) -> String {
    let mut text = status_heading(&status["governor"]);
    if let Some(alarms) = status["guard"]["alarms"].as_u64().filter(|alarms| *alarms > 0) {
        let _ = writeln!(text, "ALARM: {alarms} refusals of the guard persist (see `why` and the log)\n");
    }
    text += &table(&status["groups"], &["name", "level", "tries"]);
    text.push('\n');
    let fields = ["name", "zone", "kind", "newest", "sent", "acked", "lag_s", "nacked"];
    text += &table(&status["proxies"], &fields);
    text.push('\n');
    if is_filled_list(&status["holds"]) {
        text += "tables frozen by operators:\n";
        text += &table(&status["holds"], &["proxy", "group", "version", "left_s", "why"]);
        text.push('\n');
    }
    if is_filled_list(&status["overrides"]) {
        text += "replicas overridden by operators (weight 0: excluded):\n";
        text += &table(&status["overrides"], &["replica", "weight", "left_s", "why"]);
        text.push('\n');
    }
    text += &table(&status["replicas"], &["id", "zone", "address", "weight", "state", "up_s", "why"]);
    text
}

fn status_heading(governor: &Value) -> String {
    let doubted = match governor["roster_doubted"] == true {
        true => "; THE ROSTER IS EMPTY, waiting for confirmation",
        false => "",
    };
    format!(
        "governor {} up {} s, version {}, {} joined ({} joins queued), {} lines waiting{doubted}\n\n",
        cell(&governor["epoch"]),
        cell(&governor["up_s"]),
        cell(&governor["version"]),
        cell(&governor["joined"]),
        cell(&governor["lobby"]),
        cell(&governor["lines_waiting"]),
    )
}

/// One proxy's tables.
pub fn tables(tables: &Value) -> String {
    let mut text = format!(
        "{}: {} tables, sent {}, acknowledged {}\n",
        cell(&tables["name"]),
        cell(&tables["kind"]),
        cell(&tables["sent"]),
        cell(&tables["acked"])
    );
    for class in items(&tables["groups"]) {
        let name = cell(&class["group"]);
        if class["lines"].is_null() {
            let entries = table(&tables["standing"], &["replica", "weight"]);
            let _ = writeln!(text, "\n{name}: default (standing) table\n{entries}");
        } else {
            let (version, level) = (cell(&class["version"]), cell(&class["level"]));
            let entries = table(&class["lines"], &["replica", "address", "zone", "weight", "open"]);
            let _ = writeln!(text, "\n{name}: version {version}, level {level}\n{entries}");
        }
    }
    text
}

/// Settings: a table of the traffic classes, then one of all others.
///
/// # Errors
/// The settings can't be converted to JSON.
pub fn settings(settings: &Settings) -> Result<String> {
    let value = serde_json::to_value(settings)?;
    let fields = ["name", "effect", "latency_budget", "expiry", "utility", "own_zone", "route"];
    let classes = table(&value["groups"], &fields);
    let others = value.as_object().into_iter().flatten().filter(|(name, _)| *name != "groups");
    let rows: Vec<Vec<String>> = others.map(|(name, value)| vec![name.clone(), cell(value)]).collect();
    Ok(format!("{classes}\n{}", columns(&["setting", "value"], &rows)))
}

/// The retained versions of a proxy's tables.
pub fn history(history: &Value) -> String {
    table(&history["versions"], &["version", "age_s", "lines", "digest", "acked"])
}

/// The differences between two versions of a proxy's tables.
pub fn diff(diff: &Value) -> String {
    let (name, from, to) = (cell(&diff["name"]), cell(&diff["from"]), cell(&diff["to"]));
    let mut text = format!("{name}: from {from} to {to}\n");
    for (class, change) in diff["groups"].as_object().into_iter().flatten() {
        let (level, tries) = (cell(&change["level"]), cell(&change["tries"]));
        let _ = writeln!(text, "\n{class}: level {level}, tries {tries}");
        if change["standing"] == true {
            let _ = writeln!(text, "  uses its default (standing) table again");
        }
        for entry in items(&change["lines"]) {
            let _ = writeln!(text, "  + {} {}", cell(&entry["replica"]), cell(&entry["weight"]));
        }
        for replica in items(&change["removed"]) {
            let _ = writeln!(text, "  - {}", cell(replica));
        }
    }
    text
}

/// The outcome of a rollback.
pub fn rollback(outcome: &Value) -> String {
    let mut text = format!("{} tables frozen", cell(&outcome["held"]));
    if outcome["bare"] != 0 {
        let _ = write!(text, "; {} not frozen because no entry would be left", cell(&outcome["bare"]));
    }
    text.push('\n');
    let without = items(&outcome["without"]).count();
    if without > 0 {
        let names = &outcome["without"];
        let _ = writeln!(text, "{without} proxies have no retained table of that version: {names}");
    }
    if is_filled_list(&outcome["left_out"]) {
        text += "omitted entries:\n";
        text += &table(&outcome["left_out"], &["proxy", "group", "replica", "why"]);
    }
    text
}

/// The governors as seen by one of them.
pub fn governors(governors: &Value) -> String {
    let max_joined = match is_empty_list(&governors["others"]) {
        true => String::new(),
        false => format!(" (at most {} at present)", cell(&governors["most"])),
    };
    let draining = if governors["draining"] == true { ", DRAINING" } else { "" };
    let heading = format!(
        "{}{draining}: {} joined{max_joined}, {} migrating away, {} migrated away, {} received with their tables\n",
        cell(&governors["name"]),
        cell(&governors["joined"]),
        cell(&governors["on_way"]),
        cell(&governors["moved"]),
        cell(&governors["came"]),
    );
    let fields = ["name", "standing", "joined", "draining", "since_s", "heard_s", "at"];
    heading + &table(&governors["others"], &fields)
}

/// The guard's refusals that concern a proxy or a replica.
pub fn refusals(refusals: &Value) -> String {
    let mut text = cell(&refusals["name"]);
    if let Some(sent) = refusals["sent_per_s"].as_f64() {
        let _ = write!(text, ": receives {sent:.1} requests/s as reported by proxies of this governor");
    }
    if let Some(reason) = refusals["out"].as_str() {
        let _ = write!(text, ", restricted by the module: {reason}");
    }
    text.push('\n');
    if is_empty_list(&refusals["refusals"]) {
        return text + "no recent refusals\n";
    }
    let fields = ["age_s", "lasts_s", "proxy", "group", "replica", "asked", "allowed", "done", "why"];
    text + &table(&refusals["refusals"], &fields)
}

/// The outcome of checking tables in a file with the guard.
pub fn dry_run(outcome: &Value) -> String {
    if is_empty_list(&outcome["refused"]) {
        let (tried, against) = (cell(&outcome["tried"]), cell(&outcome["against"]));
        return format!("{tried} tables checked against {against}: nothing would be refused\n");
    }
    let fields = ["proxy", "group", "replica", "asked", "allowed", "done", "why"];
    let mut text = table(&outcome["refused"], &fields);
    for published in items(&outcome["told"]) {
        let entries = table(&published["lines"], &["replica", "weight"]);
        let proxy = cell(&published["proxy"]);
        let (class, level) = (cell(&published["group"]), cell(&published["level"]));
        let _ = writeln!(text, "\n{proxy} would be sent for {class}, at level {level}:\n{entries}");
    }
    text
}
