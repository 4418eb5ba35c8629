//! What operators read: a governor's JSON answers as plain tables.

use std::fmt::Write;

use anyhow::Result;
use serde_json::Value;
use wrenthread_settings::Settings;

/// One cell of a table.
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

/// Rows under column heads, each column as wide as it needs.
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

/// Whether a value is a list without items.
pub fn is_empty_list(value: &Value) -> bool {
    value.as_array().is_some_and(Vec::is_empty)
}

fn is_filled_list(value: &Value) -> bool {
    value.as_array().is_some_and(|items| !items.is_empty())
}

/// The items of a list; none where it is no list.
fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// A list of objects as a table of these fields.
fn table(list: &Value, fields: &[&str]) -> String {
    let mut rows = Vec::new();
    for item in items(list) {
        rows.push(fields.iter().map(|field| cell(&item[*field])).collect());
    }
    columns(fields, &rows)
}

/// A governor with its proxies, replicas and what operators asked for.
pub fn status(status: &Value) -> String {
    let mut text = status_heading(&status["governor"]);
    if let Some(alarms) = status["guard"]["alarms"].as_u64().filter(|alarms| *alarms > 0) {
        let _ = writeln!(text, "ALARM: {alarms} refusals of the guard last (see `why`, and the log)\n");
    }
    text += &table(&status["groups"], &["name", "level", "tries"]);
    text.push('\n');
    let fields = ["name", "zone", "kind", "newest", "sent", "acked", "lag_s", "nacked"];
    text += &table(&status["proxies"], &fields);
    text.push('\n');
    if is_filled_list(&status["holds"]) {
        text += "held by operators:\n";
        text += &table(&status["holds"], &["proxy", "group", "version", "left_s", "why"]);
        text.push('\n');
    }
    if is_filled_list(&status["overrides"]) {
        text += "overridden by operators (a weight of 0: excluded):\n";
        text += &table(&status["overrides"], &["replica", "weight", "left_s", "why"]);
        text.push('\n');
    }
    text += &table(&status["replicas"], &["id", "zone", "address", "weight", "state", "up_s", "why"]);
    text
}

fn status_heading(governor: &Value) -> String {
    let doubted = match governor["roster_doubted"] == true {
        true => "; THE ROSTER IS EMPTY and not believed yet",
        false => "",
    };
    format!(
        "governor {} up {} s, version {}, {} joined ({} waiting to be let in), {} lines waiting{doubted}\n\n",
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
            let _ = writeln!(text, "\n{name}: its standing table\n{entries}");
        } else {
            let (version, level) = (cell(&class["version"]), cell(&class["level"]));
            let entries = table(&class["lines"], &["replica", "address", "zone", "weight", "open"]);
            let _ = writeln!(text, "\n{name}: version {version}, level {level}\n{entries}");
        }
    }
    text
}

/// Settings: the traffic classes, then all others.
///
/// # Errors
/// Settings that can't be written as JSON.
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

/// What differs between two versions of a proxy's tables.
pub fn diff(diff: &Value) -> String {
    let (name, from, to) = (cell(&diff["name"]), cell(&diff["from"]), cell(&diff["to"]));
    let mut text = format!("{name}: from {from} to {to}\n");
    for (class, change) in diff["groups"].as_object().into_iter().flatten() {
        let (level, tries) = (cell(&change["level"]), cell(&change["tries"]));
        let _ = writeln!(text, "\n{class}: level {level}, tries {tries}");
        if change["standing"] == true {
            let _ = writeln!(text, "  back on its standing table");
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

/// What a rollback came to.
pub fn rollback(outcome: &Value) -> String {
    let mut text = format!("{} tables are held", cell(&outcome["held"]));
    if outcome["bare"] != 0 {
        let _ = write!(text, "; of {} nothing would be left, they are not", cell(&outcome["bare"]));
    }
    text.push('\n');
    let without = items(&outcome["without"]).count();
    if without > 0 {
        let names = &outcome["without"];
        let _ = writeln!(text, "{without} proxies have no table of so old a version: {names}");
    }
    if is_filled_list(&outcome["left_out"]) {
        text += "left out:\n";
        text += &table(&outcome["left_out"], &["proxy", "group", "replica", "why"]);
    }
    text
}

/// The governors as one of them sees them.
pub fn governors(governors: &Value) -> String {
    let max_joined = match is_empty_list(&governors["others"]) {
        true => String::new(),
        false => format!(" (at most {} as things stand)", cell(&governors["most"])),
    };
    let draining = if governors["draining"] == true { ", DRAINING" } else { "" };
    let heading = format!(
        "{}{draining}: {} joined{max_joined}, {} on their way out, {} sent on, {} came with what others knew\n",
        cell(&governors["name"]),
        cell(&governors["joined"]),
        cell(&governors["on_way"]),
        cell(&governors["moved"]),
        cell(&governors["came"]),
    );
    let fields = ["name", "standing", "joined", "draining", "since_s", "heard_s", "at"];
    heading + &table(&governors["others"], &fields)
}

/// What was refused about a proxy or a replica.
pub fn refusals(refusals: &Value) -> String {
    let mut text = cell(&refusals["name"]);
    if let Some(sent) = refusals["sent_per_s"].as_f64() {
        let _ = write!(text, ": sent {sent:.1} flows a second by the account of proxies here");
    }
    if let Some(reason) = refusals["out"].as_str() {
        let _ = write!(text, ", held back by the module: {reason}");
    }
    text.push('\n');
    if is_empty_list(&refusals["refusals"]) {
        return text + "nothing about it was refused lately\n";
    }
    let fields = ["age_s", "lasts_s", "proxy", "group", "replica", "asked", "allowed", "done", "why"];
    text + &table(&refusals["refusals"], &fields)
}

/// What the guard would refuse of tables in a file.
pub fn dry_run(outcome: &Value) -> String {
    if is_empty_list(&outcome["refused"]) {
        let (tried, against) = (cell(&outcome["tried"]), cell(&outcome["against"]));
        return format!("{tried} tables against what {against} holds: nothing would be refused\n");
    }
    let fields = ["proxy", "group", "replica", "asked", "allowed", "done", "why"];
    let mut text = table(&outcome["refused"], &fields);
    for published in items(&outcome["told"]) {
        let entries = table(&published["lines"], &["replica", "weight"]);
        let proxy = cell(&published["proxy"]);
        let (class, level) = (cell(&published["group"]), cell(&published["level"]));
        let _ = writeln!(text, "\n{proxy} would be told for {class}, at level {level}:\n{entries}");
    }
    text
}
