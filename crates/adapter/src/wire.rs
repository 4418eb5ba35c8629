//! Turns the wire's batches into calls on governors, and what they decide into the wire's replies.
//!
//! A line that can't be understood is named on standard error and left out; what the rest of the batch says
//! still counts. A batch without its end is never answered.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Map, Value, json};
use wrenthread::governor::Governor;
use wrenthread::types::{
    Decision, DemandStatistics, Phase, ProxyConnection, ReplicaEntry, ReplicaId, ReplicaStatistics,
    RetryPolicy, RosterScope, TableEntry,
};
use wrenthread_deployment_config::Fields;

/// The table number that stands for all joined proxies in `admit`.
const EVERY_TABLE: u64 = 65535;

/// Serves batches until the end of input. Errors are those of the streams, or a batch cut short.
pub fn serve(input: impl BufRead, output: &mut impl Write, errors: &mut impl Write) -> io::Result<()> {
    let mut host = Host::default();
    let mut open = false;
    for (at, line) in input.split(b'\n').enumerate() {
        let line = line?;
        if line.trim_ascii().is_empty() {
            continue;
        }
        let told = read(&line).and_then(|(name, fields)| match name.as_str() {
            "begin_batch" => {
                if open {
                    return Err("a batch begins before the last one's `go`".into());
                }
                host.now = Fields::new(&fields).micros("ts_us")?;
                open = true;
                Ok(None)
            }
            "go" if open => {
                open = false;
                Ok(Some(()))
            }
            _ if !open => Err(format!("`{name}` outside a batch")),
            _ => host.event(&name, &fields).map(|()| None),
        });
        match told {
            Ok(None) => {}
            Ok(Some(())) => host.reply(output)?,
            Err(why) => writeln!(errors, "wrenthread-adapter: line {}: {why}", at + 1)?,
        }
    }
    if open {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the input ends inside a batch"));
    }
    Ok(())
}

fn read(line: &[u8]) -> Result<(String, Map<String, Value>), String> {
    let Value::Object(whole) = serde_json::from_slice(line).map_err(|error| format!("not JSON: {error}"))?
    else {
        return Err("not an object".into());
    };
    let mut whole = whole.into_iter();
    match (whole.next(), whole.next()) {
        (Some((name, Value::Object(fields))), None) => Ok((name, fields)),
        (Some((name, _)), None) => Err(format!("`{name}` holds no object")),
        _ => Err("a message has one name, and this has none or several".into()),
    }
}

#[derive(Default)]
struct Host {
    now: Duration,
    governors: BTreeMap<u64, Governor>,
    /// Instances with an event in the batch: only these may act.
    touched: BTreeSet<u64>,
    lists: BTreeMap<u64, Vec<ReplicaEntry>>,
    /// Instances whose list comes only to those who subscribe, and those that are to do so now.
    asking: BTreeSet<u64>,
    unsubscribed: BTreeSet<u64>,
    /// One copy of each name, shared by all that hold it.
    names: BTreeSet<ReplicaId>,
}

impl Host {
    fn event(&mut self, name: &str, fields: &Map<String, Value>) -> Result<(), String> {
        let fields = Fields::new(fields);
        let now = self.now;
        if name == "define_list" {
            let number = fields.count("list")?;
            let entries = fields.array_or_empty("elements").iter().map(|entry| self.entry(entry));
            let entries = entries.collect::<Result<Vec<_>, _>>()?;
            self.lists.insert(number, entries);
            return Ok(());
        }
        let id = fields.count("governor_id")?;
        if name == "init" {
            let info = fields.object_or_empty("info");
            self.governors
                .insert(id, Governor::new(wrenthread_deployment_config::read(&info)?.settings, now));
            self.touched.insert(id);
            self.unsubscribed.remove(&id);
            if info.text_or_empty("membership_mode") == "subscribe" {
                self.asking.insert(id);
                self.unsubscribed.insert(id);
            }
            return Ok(());
        }
        if name == "crash_now" {
            self.touched.remove(&id);
            return self.governors.remove(&id).map(drop).ok_or_else(|| format!("no instance {id}"));
        }
        let replica = fields.text("replica").ok().map(|name| self.name(name));
        let replica = || replica.ok_or_else(|| "`replica` is not a text".to_string());
        let governor = self.governors.get_mut(&id).ok_or_else(|| format!("no instance {id}"))?;
        match name {
            "directory_update" => match fields.count("kind")? {
                3 => {
                    if self.asking.contains(&id) {
                        self.unsubscribed.insert(id);
                    }
                }
                kind @ 0..=2 => {
                    let number = fields.count("list")?;
                    let list = self.lists.get(&number).ok_or_else(|| format!("no list {number}"))?;
                    let scope = if kind == 0 { RosterScope::Changes } else { RosterScope::Complete };
                    governor.update_replicas(now, list, scope);
                }
                kind => return Err(format!("no such kind of update: {kind}")),
            },
            "subscribed" => governor.proxy_connected(
                now,
                ProxyConnection {
                    proxy: fields.integer("forwarder")?,
                    zone: fields.integer("hall")?,
                    requests_per_second: fields.number_or("weight", 0.0),
                    holds_default_table: fields.is_true("set"),
                },
            ),
            "left" => governor.proxy_disconnected(fields.integer("forwarder")?),
            "tally" => governor.record_replica_statistics(
                now,
                ReplicaStatistics {
                    zone: fields.integer("hall")?,
                    replica: replica()?,
                    attempts: fields.count("total")?,
                    failed: fields.count("errors").unwrap_or(0),
                    mean_latency: fields.micros("took_us").ok().filter(|mean| !mean.is_zero()),
                    interval: fields.micros("elapsed_us")?,
                    load: load(&fields),
                },
            ),
            "demand" => governor.record_demand(
                now,
                DemandStatistics {
                    proxy: fields.integer("forwarder")?,
                    class: fields.integer("cls")?,
                    requests: fields.count("total")?,
                    failed: fields.count("errors").unwrap_or(0),
                    interval: fields.micros("elapsed_us")?,
                },
            ),
            "health_result" => {
                let took = fields.micros("took_us")?;
                governor.record_health_check(
                    now,
                    &replica()?,
                    (fields.count("how")? == 1).then_some(took),
                    &load(&fields),
                );
            }
            "deadline_hit" => governor.tick(),
            "acked" => governor.acknowledged(fields.micros("took_us")?),
            // Governors tell each other nothing, and slices are not served yet.
            "message" | "custody" | "on_record" | "key_load" => {}
            _ => return Err(format!("no such event: `{name}`")),
        }
        self.touched.insert(id);
        Ok(())
    }

    fn name(&mut self, name: &str) -> ReplicaId {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        let new: ReplicaId = Arc::from(name);
        self.names.insert(new.clone());
        new
    }

    fn entry(&mut self, entry: &Value) -> Result<ReplicaEntry, String> {
        let fields = Fields::new(entry.as_object().ok_or("a list's entry is no object")?);
        Ok(ReplicaEntry {
            id: self.name(fields.text("replica")?),
            phase: match fields.count("phase").unwrap_or(0) {
                0 => Phase::Gone,
                1 => Phase::Ready,
                2 => Phase::Draining,
                phase => return Err(format!("no such phase: {phase}")),
            },
            zone: fields.integer("hall").unwrap_or(0),
            weight: fields.number_or("weight", 1.0),
            started_at: fields.micros("started_at_us").ok().filter(|at| !at.is_zero()),
        })
    }

    fn reply(&mut self, output: &mut impl Write) -> io::Result<()> {
        for id in std::mem::take(&mut self.touched) {
            let Some(governor) = self.governors.get_mut(&id) else { continue };
            if self.unsubscribed.remove(&id) {
                let watch = json!({"watch": {"governor_id": id, "set": true}});
                writeln!(output, "{watch}")?;
            }
            while let Some(decision) = governor.next_decision(self.now) {
                encode(id, decision, output)?;
            }
        }
        output.write_all(b"{\"ok\":{}}\n")?;
        output.flush()
    }
}

fn load(fields: &Fields) -> Vec<f64> {
    fields.array_or_empty("load").iter().filter_map(Value::as_f64).collect()
}

fn encode(id: u64, decision: Decision, output: &mut impl Write) -> io::Result<()> {
    let mut put = |line: Value| -> io::Result<()> {
        serde_json::to_writer(&mut *output, &line)?;
        output.write_all(b"\n")
    };
    match decision {
        Decision::ScheduleTick(after) => {
            put(json!({"schedule": {"governor_id": id, "handle": 0, "wait_us": after.as_micros() as u64}}))
        }
        Decision::SetEjected { replica, ejected: out } => {
            put(json!({"hold_back": {"governor_id": id, "replica": &*replica, "set": out}}))
        }
        Decision::UpdateTable { table, entries } => entries.into_iter().try_for_each(|TableEntry { replica, weight }| {
            put(json!({"assign": {"governor_id": id, "tbl": table, "replica": &*replica, "weight": weight}}))
        }),
        Decision::AssignTable { proxy, table, classes: groups } => put(json!({"bind": {
            "governor_id": id, "forwarder": proxy, "tbl": table, "class_bits": groups}})),
        Decision::SetAdmission { classes: groups, fraction: level, retry_policy: tries } => {
            let tries = match tries {
                RetryPolicy::Never => 0,
                RetryPolicy::IfNotExecuted => 1,
                RetryPolicy::OnAnyFailure => 2,
            };
            put(json!({"admit": {"governor_id": id, "tbl": EVERY_TABLE, "class_bits": groups,
                "let_in": level, "on_failure": tries}}))
        }
        Decision::RequestAcknowledgement(number) => put(json!({"seal": {"governor_id": id, "version": number, "set": false}})),
        Decision::CheckHealth(replica) => put(json!({"touch": {"governor_id": id, "replica": &*replica}})),
    }
}
