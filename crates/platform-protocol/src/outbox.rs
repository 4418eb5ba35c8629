//! What each stream was told and is owed: decisions of one pull become at most one message to each proxy.
//!
//! A proxy keeps over streams, and from other governors, which replicas it was to shut out; one that follows
//! our tables is to heed nobody's withdrawals but ours. So a stream is told of each replica that its tables
//! name, once, whether it is shut out or let back, and of what changes from then on.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::Serialize;
use wrenthread::types::{ClassSet, Decision, ProxyId, ReplicaId, RetryPolicy, TableId};

/// Lines in a part at most, so that none comes near the size that a message may have.
const MAX_LINES_PER_PART: usize = 2000;
/// Parts of one message at most.
const MAX_PARTS_PER_MESSAGE: usize = 64;
/// Nonces that may be unanswered on a stream; older ones are forgotten.
const MAX_OUTSTANDING_NONCES: usize = 64;
/// How much sooner than a nonce was sent the proxy may claim to have heard of it, by rounding.
const LATENCY_TOLERANCE: Duration = Duration::from_millis(100);

type Lines = BTreeMap<ReplicaId, f64>;
type Level = (f64, RetryPolicy);

#[derive(Default)]
struct Stream {
    follows: BTreeMap<TableId, ClassSet>,
    /// Whether a replica was last said to be shut out (true) or let back; of others nothing is known.
    said: BTreeMap<ReplicaId, bool>,
    /// By group, as the proxy holds it; none where it may hold one that it brought.
    levels: Vec<Option<Level>>,
    nonces: VecDeque<(u16, Duration)>,
    /// Tables that this pull had it follow.
    bound: BTreeSet<TableId>,
}

/// All of one governor's streams, and what is decided for them.
pub struct Outbox {
    classes: Vec<String>,
    usual: Level,
    tables: BTreeMap<TableId, Lines>,
    out: BTreeSet<ReplicaId>,
    levels: Vec<Option<Level>>,
    streams: BTreeMap<ProxyId, Stream>,
    pending: PendingChanges,
}

/// What one pull changes.
#[derive(Default)]
struct PendingChanges {
    lines: BTreeMap<TableId, Lines>,
    out: BTreeSet<ReplicaId>,
    levels: bool,
    nonce: Option<u16>,
    any: bool,
}

/// One part of a message, as the platform spells it.
#[derive(Default, Serialize)]
struct Part<'a> {
    #[serde(rename = "@type")]
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    classes: Option<Vec<&'a str>>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    whole: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    lines: Vec<(&'a str, f64)>,
    #[serde(skip_serializing_if = "Option::is_none")]
    level: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry: Option<u8>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    out: Vec<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    back: Vec<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<u16>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    more: bool,
}

fn retry(retry_policy: RetryPolicy) -> u8 {
    match retry_policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::OnAnyFailure => 2,
    }
}

impl Outbox {
    /// `usual`: what proxies do about further retry_policy until told otherwise.
    pub fn new(classes: Vec<String>, usual: RetryPolicy) -> Self {
        Outbox {
            levels: vec![None; classes.len()],
            classes,
            usual: (1.0, usual),
            tables: BTreeMap::new(),
            out: BTreeSet::new(),
            streams: BTreeMap::new(),
            pending: PendingChanges::default(),
        }
    }

    /// A stream of the proxy begins; what was known of an earlier one ends.
    pub fn proxy_connected(&mut self, proxy: ProxyId) {
        let levels = vec![None; self.classes.len()];
        self.streams.insert(proxy, Stream { levels, ..Stream::default() });
    }

    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
    }

    /// Whether the stream owes this answer; it counts once.
    pub fn acknowledge(&mut self, now: Duration, proxy: ProxyId, nonce: u16, took: Duration) -> bool {
        let Some(stream) = self.streams.get_mut(&proxy) else { return false };
        let Some(at) = stream.nonces.iter().position(|(owed, _)| *owed == nonce) else { return false };
        if took > now.saturating_sub(stream.nonces[at].1) + LATENCY_TOLERANCE {
            return false;
        }
        stream.nonces.drain(..=at);
        true
    }

    /// When the oldest nonce was sent that the stream owes an answer to, of those sent after `heard`.
    pub fn outstanding_since(&self, proxy: ProxyId, heard: Duration) -> Option<Duration> {
        let nonces = self.streams.get(&proxy).map(|stream| &stream.nonces)?;
        nonces.iter().map(|(_, sent)| *sent).find(|sent| *sent > heard)
    }

    /// Forgets replicas that the rules no longer know.
    pub fn retain_replicas(&mut self, known: impl Fn(&ReplicaId) -> bool) {
        self.out.retain(&known);
        self.streams.values_mut().for_each(|stream| stream.said.retain(|id, _| known(id)));
        self.tables.values_mut().for_each(|lines| lines.retain(|id, _| known(id)));
    }

    /// Takes in one decision of a pull; those that concern no proxy's message are given back.
    pub fn record(&mut self, decision: Decision) -> Option<Decision> {
        self.pending.any = true;
        match decision {
            Decision::ScheduleTick(_) | Decision::CheckHealth(_) => return Some(decision),
            Decision::SetEjected { replica: id, ejected: out } => {
                if out {
                    self.out.insert(id.clone());
                } else {
                    self.out.remove(&id);
                }
                self.pending.out.insert(id);
            }
            Decision::UpdateTable { table, entries } => {
                let held = self.tables.entry(table).or_default();
                let entries = entries.into_iter().map(|entry| (entry.replica, entry.weight));
                let lines: Vec<_> = entries.collect();
                held.extend(lines.iter().cloned());
                held.retain(|_, weight| *weight > 0.0);
                self.pending.lines.entry(table).or_default().extend(lines);
            }
            Decision::AssignTable { proxy, table, classes } => {
                let stream = self.streams.get_mut(&proxy)?;
                let all = all_classes(self.classes.len());
                let classes = if classes == 0 { all } else { classes & all };
                stream.follows.values_mut().for_each(|held| *held &= !classes);
                *stream.follows.entry(table).or_default() |= classes;
                stream.follows.retain(|_, held| *held != 0);
                stream.bound.insert(table);
            }
            Decision::SetAdmission { classes, fraction: level, retry_policy } => {
                let all = all_classes(self.classes.len());
                let classes = if classes == 0 { all } else { classes & all };
                for (place, held) in self.levels.iter_mut().enumerate() {
                    if classes >> place & 1 == 1 {
                        *held = Some((level, retry_policy));
                    }
                }
                self.pending.levels = true;
            }
            Decision::RequestAcknowledgement(nonce) => self.pending.nonce = Some(nonce),
        }
        None
    }

    /// Ends a pending: the bytes that each proxy concerned is to be sent, as one message.
    pub fn flush(&mut self, now: Duration, mut send: impl FnMut(ProxyId, Vec<u8>)) {
        let pending = std::mem::take(&mut self.pending);
        if !pending.any {
            return;
        }
        let builder = MessageBuilder {
            classes: &self.classes,
            usual: self.usual,
            tables: &self.tables,
            out: &self.out,
            levels: &self.levels,
            pending: &pending,
        };
        for (proxy, stream) in &mut self.streams {
            let mut parts = builder.parts(stream);
            if parts.is_empty() {
                continue;
            }
            if let Some(nonce) = pending.nonce {
                stream.nonces.push_back((nonce, now));
                if stream.nonces.len() > MAX_OUTSTANDING_NONCES {
                    stream.nonces.pop_front();
                }
            }
            send(*proxy, encode(&mut parts, pending.nonce));
        }
    }
}

fn all_classes(classes: usize) -> ClassSet {
    if classes >= 64 { ClassSet::MAX } else { (1 << classes) - 1 }
}

fn encode(parts: &mut [Part], nonce: Option<u16>) -> Vec<u8> {
    let last = parts.len() - 1;
    parts[last].ticket = nonce;
    let mut bytes = Vec::new();
    for (at, part) in parts.iter_mut().enumerate() {
        part.kind = "CONFIG";
        part.more = at < last && (at + 1) % MAX_PARTS_PER_MESSAGE != 0;
        // Writing numbers and texts into memory does not fail.
        if serde_json::to_writer(&mut bytes, part).is_ok() {
            bytes.push(b'\n');
        }
    }
    bytes
}

/// What is decided, as one pull ends.
struct MessageBuilder<'a> {
    classes: &'a [String],
    usual: Level,
    tables: &'a BTreeMap<TableId, Lines>,
    out: &'a BTreeSet<ReplicaId>,
    levels: &'a [Option<Level>],
    pending: &'a PendingChanges,
}

impl<'a> MessageBuilder<'a> {
    fn parts(&self, stream: &mut Stream) -> Vec<Part<'a>> {
        let mut parts: Vec<Part> = Vec::new();
        let bound = std::mem::take(&mut stream.bound);
        let (shut, back) = self.said(stream, &bound);
        for names in shut.chunks(MAX_LINES_PER_PART) {
            parts.push(Part { out: names.to_vec(), ..Part::default() });
        }
        for (table, classes) in &stream.follows {
            let held = self.tables.get(table);
            let lines: Vec<(&str, f64)> = if bound.contains(table) {
                for (place, level) in stream.levels.iter_mut().enumerate() {
                    *level = if classes >> place & 1 == 1 { Some(self.usual) } else { *level };
                }
                held.into_iter().flatten().map(|(id, weight)| (&**id, *weight)).collect()
            } else {
                let moved = self.pending.lines.get(table);
                moved.into_iter().flatten().map(|(id, weight)| (&**id, *weight)).collect()
            };
            let mut whole = bound.contains(table);
            if lines.is_empty() && whole {
                parts.push(Part { classes: self.classes(*classes), whole, ..Part::default() });
            }
            for lines in lines.chunks(MAX_LINES_PER_PART) {
                let lines = lines.to_vec();
                parts.push(Part { classes: self.classes(*classes), whole, lines, ..Part::default() });
                whole = false;
            }
        }
        for names in back.chunks(MAX_LINES_PER_PART) {
            match parts.last_mut().filter(|part| part.back.is_empty()) {
                Some(part) => part.back = names.to_vec(),
                None => parts.push(Part { back: names.to_vec(), ..Part::default() }),
            }
        }
        if !parts.is_empty() || self.pending.levels {
            self.bring_levels(stream, &mut parts);
        }
        parts
    }

    /// Levels travel with each message: those in force that the proxy does not hold.
    fn bring_levels(&self, stream: &mut Stream, parts: &mut Vec<Part<'a>>) {
        let mut due: Vec<(Level, ClassSet)> = Vec::new();
        for (place, (held, wanted)) in stream.levels.iter_mut().zip(self.levels).enumerate().take(64) {
            let Some(wanted) = wanted.filter(|wanted| *held != Some(*wanted)) else { continue };
            *held = Some(wanted);
            match due.iter_mut().find(|(level, _)| *level == wanted) {
                Some((_, classes)) => *classes |= 1 << place,
                None => due.push((wanted, 1 << place)),
            }
        }
        for ((level, retry_policy), classes) in due {
            let (level, retry) = (Some(level), Some(retry(retry_policy)));
            parts.push(Part { classes: self.classes(classes), level, retry, ..Part::default() });
        }
    }

    /// Replicas that the stream is to be told to shut out, and to let back.
    fn said(&self, stream: &mut Stream, bound: &BTreeSet<TableId>) -> (Vec<&'a str>, Vec<&'a str>) {
        let (mut shut, mut back) = (Vec::new(), Vec::new());
        let follows = std::mem::take(&mut stream.follows);
        let mut say = |id: &'a ReplicaId| {
            let out = self.out.contains(id);
            if stream.said.get(id) != Some(&out) {
                stream.said.insert(id.clone(), out);
                if out {
                    shut.push(&**id)
                } else {
                    back.push(&**id)
                };
            }
        };
        for table in follows.keys() {
            let Some(held) = self.tables.get(table) else { continue };
            if bound.contains(table) {
                held.keys().for_each(&mut say);
                continue;
            }
            let moved = self.pending.lines.get(table).into_iter().flat_map(BTreeMap::keys);
            moved.filter(|id| held.contains_key(*id)).for_each(&mut say);
            self.pending.out.iter().filter(|id| held.contains_key(*id)).for_each(&mut say);
        }
        // Of tables that are not ours nobody knows what they name.
        if follows.values().fold(0, |all, classes| all | classes) != all_classes(self.classes.len()) {
            self.pending.out.iter().for_each(&mut say);
        }
        stream.follows = follows;
        (shut, back)
    }

    fn classes(&self, classes: ClassSet) -> Option<Vec<&'a str>> {
        let named = self.classes.iter().enumerate().filter(|(place, _)| classes >> (*place).min(63) & 1 == 1);
        (classes != all_classes(self.classes.len())).then(|| named.map(|(_, name)| name.as_str()).collect())
    }
}
