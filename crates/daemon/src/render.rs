//! What operators read: plain tables for people, JSON for programs.

use std::fmt::Write;

use anyhow::{Context, Result, bail};
use serde_json::Value;
use wrenthread_settings::Settings;

/// No answer is larger: a recording of a thousand proxies is some ten million bytes.
const LARGEST: u64 = 512 << 20;

/// Asks a running governor's HTTP port.
///
/// Errors: nobody answers there, or says that there is no such thing.
pub fn fetch(at: &str, path: &str, body: Option<&Value>) -> Result<Value> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(std::time::Duration::from_secs(5)))
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{at}{path}");
    let answer = match body {
        None => agent.get(&url).call(),
        Some(body) => agent.post(&url).header("content-type", "application/json").send(body.to_string()),
    };
    let mut answer = answer.with_context(|| format!("no governor answers at {at}"))?;
    let body = answer.body_mut().with_config().limit(LARGEST);
    let text = body.read_to_string().with_context(|| format!("the answer of {url}"))?;
    let value: Value =
        serde_json::from_str(&text).with_context(|| format!("{url} answered: {}", text.trim()))?;
    match value.get("error").and_then(Value::as_str) {
        Some(error) => bail!("{error}"),
        None => Ok(value),
    }
}

fn cell(value: &Value) -> String {
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

/// Rows under heads, each column as wide as it needs.
pub fn columns(heads: &[&str], rows: &[Vec<String>]) -> String {
    let width = |at: usize| rows.iter().map(|row| row[at].chars().count()).fold(heads[at].len(), usize::max);
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let heads: Vec<String> = heads.iter().map(|head| head.to_uppercase()).collect();
    let mut text = String::new();
    for row in std::iter::once(&heads).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let _ = writeln!(text, "{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
    text
}

fn listed(value: &Value, heads: &[&str]) -> String {
    let rows = value.as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> =
        rows.map(|row| heads.iter().map(|head| cell(&row[*head])).collect()).collect();
    columns(heads, &rows)
}

pub fn status(status: &Value) -> String {
    let governor = &status["governor"];
    let mut text = format!(
        "governor {} up {} s, version {}, {} joined ({} waiting to be let in), {} lines waiting{}\n\n",
        cell(&governor["epoch"]),
        cell(&governor["up_s"]),
        cell(&governor["version"]),
        cell(&governor["joined"]),
        cell(&governor["lobby"]),
        cell(&governor["lines_waiting"]),
        if governor["roster_doubted"] == true { "; THE ROSTER IS EMPTY and not believed yet" } else { "" },
    );
    if let Some(alarms) = status["guard"]["alarms"].as_u64().filter(|alarms| *alarms > 0) {
        let _ = writeln!(text, "ALARM: {alarms} refusals of the guard last (see `why`, and the log)\n");
    }
    text += &listed(&status["groups"], &["name", "level", "tries"]);
    text.push('\n');
    let heads = ["name", "zone", "kind", "newest", "sent", "acked", "lag_s", "nacked"];
    text += &listed(&status["proxies"], &heads);
    text.push('\n');
    if status["holds"].as_array().is_some_and(|holds| !holds.is_empty()) {
        text += "held by operators:\n";
        text += &listed(&status["holds"], &["proxy", "group", "version", "left_s", "why"]);
        text.push('\n');
    }
    if status["overrides"].as_array().is_some_and(|overrides| !overrides.is_empty()) {
        text += "overridden by operators (a weight of 0: excluded):\n";
        text += &listed(&status["overrides"], &["replica", "weight", "left_s", "why"]);
        text.push('\n');
    }
    text += &listed(&status["replicas"], &["id", "zone", "address", "weight", "state", "up_s", "why"]);
    text
}

pub fn tables(tables: &Value) -> String {
    let mut text = format!(
        "{}: {} tables, sent {}, acknowledged {}\n",
        cell(&tables["name"]),
        cell(&tables["kind"]),
        cell(&tables["sent"]),
        cell(&tables["acked"])
    );
    for group in tables["groups"].as_array().into_iter().flatten() {
        let name = cell(&group["group"]);
        if group["lines"].is_null() {
            let _ = writeln!(
                text,
                "\n{name}: its standing table\n{}",
                listed(&tables["standing"], &["replica", "weight"])
            );
        } else {
            let (version, level) = (cell(&group["version"]), cell(&group["level"]));
            let lines = listed(&group["lines"], &["replica", "address", "zone", "weight", "open"]);
            let _ = writeln!(text, "\n{name}: version {version}, level {level}\n{lines}");
        }
    }
    text
}

pub fn settings(settings: &Settings) -> Result<String> {
    let value = serde_json::to_value(settings)?;
    let groups = listed(
        &value["groups"],
        &["name", "effect", "latency_budget", "expiry", "utility", "own_zone", "route"],
    );
    let others = value.as_object().into_iter().flatten().filter(|(name, _)| *name != "groups");
    let rows: Vec<Vec<String>> = others.map(|(name, value)| vec![name.clone(), cell(value)]).collect();
    Ok(format!("{groups}\n{}", columns(&["setting", "value"], &rows)))
}

pub fn history(history: &Value) -> String {
    listed(&history["versions"], &["version", "age_s", "lines", "digest", "acked"])
}

pub fn diff(diff: &Value) -> String {
    let mut text =
        format!("{}: from {} to {}\n", cell(&diff["name"]), cell(&diff["from"]), cell(&diff["to"]));
    for (group, change) in diff["groups"].as_object().into_iter().flatten() {
        let _ =
            writeln!(text, "\n{group}: level {}, tries {}", cell(&change["level"]), cell(&change["tries"]));
        if change["standing"] == true {
            let _ = writeln!(text, "  back on its standing table");
        }
        for line in change["lines"].as_array().into_iter().flatten() {
            let _ = writeln!(text, "  + {} {}", cell(&line["replica"]), cell(&line["weight"]));
        }
        for replica in change["removed"].as_array().into_iter().flatten() {
            let _ = writeln!(text, "  - {}", cell(replica));
        }
    }
    text
}

pub fn rolled(rolled: &Value) -> String {
    let mut text = format!("{} tables are held", cell(&rolled["held"]));
    if rolled["bare"] != 0 {
        let _ = write!(text, "; of {} nothing would be left, they are not", cell(&rolled["bare"]));
    }
    text.push('\n');
    let without = rolled["without"].as_array().map_or(0, Vec::len);
    if without > 0 {
        let _ = writeln!(text, "{without} proxies have no table of so old a version: {}", rolled["without"]);
    }
    let left_out = &rolled["left_out"];
    if left_out.as_array().is_some_and(|all| !all.is_empty()) {
        text += "left out:\n";
        text += &listed(left_out, &["proxy", "group", "replica", "why"]);
    }
    text
}

pub fn governors(seen: &Value) -> String {
    let most = if seen["others"].as_array().is_some_and(|others| others.is_empty()) {
        String::new()
    } else {
        format!(" (at most {} as things stand)", cell(&seen["most"]))
    };
    let draining = if seen["draining"] == true { ", DRAINING" } else { "" };
    let mut text = format!(
        "{}{draining}: {} joined{most}, {} on their way out, {} sent on, {} came with what others knew\n",
        cell(&seen["name"]),
        cell(&seen["joined"]),
        cell(&seen["on_way"]),
        cell(&seen["moved"]),
        cell(&seen["came"]),
    );
    text += &listed(&seen["others"], &["name", "standing", "joined", "draining", "since_s", "heard_s", "at"]);
    text
}

/// Has a governor hand its proxies over, and waits until it has none; or (undo) has it take proxies again.
///
/// Errors: no governor answers there; proxies are left after the time.
pub fn drain(at: &str, wait: f64, undo: bool) -> Result<()> {
    let began = std::time::Instant::now();
    let mut seen = fetch(at, "/drain", Some(&serde_json::json!({"draining": !undo})))?;
    if undo {
        println!("governor {} takes proxies again", cell(&seen["name"]));
        return Ok(());
    }
    let had = cell(&seen["joined"]);
    while seen["joined"] != 0 {
        if began.elapsed().as_secs_f64() > wait {
            bail!("{} of {had} proxies are still there after {wait} s; the drain goes on", seen["joined"]);
        }
        std::thread::sleep(std::time::Duration::from_millis(200));
        seen = fetch(at, "/governors", None)?;
    }
    let took = began.elapsed().as_secs_f64();
    println!("governor {} has handed over {had} proxies in {took:.1} s", cell(&seen["name"]));
    Ok(())
}

pub fn why(why: &Value) -> String {
    let mut text = cell(&why["name"]);
    if let Some(sent) = why["sent_per_s"].as_f64() {
        let _ = write!(text, ": sent {sent:.1} flows a second by the account of proxies here");
    }
    if let Some(out) = why["out"].as_str() {
        let _ = write!(text, ", held back by the module: {out}");
    }
    text.push('\n');
    if why["refusals"].as_array().is_some_and(|refusals| refusals.is_empty()) {
        return text + "nothing about it was refused lately\n";
    }
    let heads = ["age_s", "lasts_s", "proxy", "group", "replica", "asked", "allowed", "done", "why"];
    text + &listed(&why["refusals"], &heads)
}

pub fn would(would: &Value) -> String {
    if would["refused"].as_array().is_some_and(|refused| refused.is_empty()) {
        let (tried, against) = (cell(&would["tried"]), cell(&would["against"]));
        return format!("{tried} tables against what {against} holds: nothing would be refused\n");
    }
    let heads = ["proxy", "group", "replica", "asked", "allowed", "done", "why"];
    let mut text = listed(&would["refused"], &heads);
    for told in would["told"].as_array().into_iter().flatten() {
        let lines = listed(&told["lines"], &["replica", "weight"]);
        let (proxy, group, level) = (cell(&told["proxy"]), cell(&told["group"]), cell(&told["level"]));
        let _ = writeln!(text, "\n{proxy} would be told for {group}, at level {level}:\n{lines}");
    }
    text
}
