//! Tracks what was sent on each stream, and encodes the decisions of one pull as at most one message to each proxy. A
//! pull takes all decisions that the decision module has made so far.
//!
//! A proxy keeps its set of ejected replicas when a stream ends, including those that other governors ejected. While it
//! uses this governor's tables, it ignores ejections by others. A stream is therefore sent the state of each replica in
//! its tables once, whether the replica is ejected or restored, and only changes after that.

mod builder;
mod stream;
#[cfg(test)]
mod tests;
mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wrenthread::types::{ClassSet, Decision, ProxyId, ReplicaId, RetryPolicy, TableEntry, TableId};

use builder::MessageBuilder;
use stream::{Admission, Stream};
use wire::encode;

/// The number of classes that a [`ClassSet`] has bits for.
const MAX_CLASSES: usize = ClassSet::BITS as usize;

type TableEntries = BTreeMap<ReplicaId, f64>;

/// The streams of one governor, and the decisions in force for them.
pub struct Outbox {
    class_names: Vec<String>,
    default_admission: Admission,
    tables: BTreeMap<TableId, TableEntries>,
    ejected: BTreeSet<ReplicaId>,
    /// By class; `None` if no admission was decided.
    admissions: Vec<Option<Admission>>,
    streams: BTreeMap<ProxyId, Stream>,
    pending: PendingChanges,
}

/// The changes of the current pull.
#[derive(Default)]
struct PendingChanges {
    entries: BTreeMap<TableId, TableEntries>,
    /// Replicas that were ejected or restored.
    ejections: BTreeSet<ReplicaId>,
    admission_changed: bool,
    nonce: Option<u16>,
    /// Whether there was any decision, even one that affects no stream.
    any_decision: bool,
}

impl Outbox {
    /// Creates an outbox without streams. Proxies admit all requests and retry by `default_retry_policy` until they are
    /// sent another admission.
    pub fn new(class_names: Vec<String>, default_retry_policy: RetryPolicy) -> Self {
        Outbox {
            admissions: vec![None; class_names.len()],
            class_names,
            default_admission: Admission { fraction: 1.0, retry_policy: default_retry_policy },
            tables: BTreeMap::new(),
            ejected: BTreeSet::new(),
            streams: BTreeMap::new(),
            pending: PendingChanges::default(),
        }
    }

    /// Starts a stream for the proxy, and discards the state of an earlier one.
    pub fn proxy_connected(&mut self, proxy: ProxyId) {
        self.streams.insert(proxy, Stream::new(self.class_names.len()));
    }

    /// Removes the proxy's stream, which has ended.
    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
    }

    /// Handles an acknowledgement. Returns whether the nonce was outstanding and the claimed latency is no longer than
    /// the time since it was sent. Each acknowledgement counts only once.
    pub fn acknowledge(&mut self, now: Duration, proxy: ProxyId, nonce: u16, latency: Duration) -> bool {
        self.streams.get_mut(&proxy).is_some_and(|stream| stream.acknowledge(now, nonce, latency))
    }

    /// When the oldest nonce was sent that the proxy has not acknowledged, among those sent after `last_received`.
    pub fn outstanding_since(&self, proxy: ProxyId, last_received: Duration) -> Option<Duration> {
        self.streams.get(&proxy)?.outstanding_since(last_received)
    }

    /// Discards the state of replicas that are no longer `known`.
    pub fn retain_replicas(&mut self, known: impl Fn(&ReplicaId) -> bool) {
        self.ejected.retain(&known);
        for stream in self.streams.values_mut() {
            stream.ejections.retain(|replica, _| known(replica));
        }
        for entries in self.tables.values_mut() {
            entries.retain(|replica, _| known(replica));
        }
    }

    /// Records one decision of a pull. Decisions that are not sent to proxies are returned.
    pub fn record(&mut self, decision: Decision) -> Option<Decision> {
        self.pending.any_decision = true;
        match decision {
            Decision::ScheduleTick(_) | Decision::CheckHealth(_) => return Some(decision),
            Decision::SetEjected { replica, ejected } => self.set_ejected(replica, ejected),
            Decision::UpdateTable { table, entries } => self.update_table(table, entries),
            Decision::AssignTable { proxy, table, classes } => {
                let classes = self.existing_classes(classes);
                self.streams.get_mut(&proxy)?.assign(table, classes);
            }
            Decision::SetAdmission { classes, fraction, retry_policy } => {
                self.set_admission(classes, Admission { fraction, retry_policy });
            }
            Decision::RequestAcknowledgement(nonce) => self.pending.nonce = Some(nonce),
        }
        None
    }

    fn set_ejected(&mut self, replica: ReplicaId, ejected: bool) {
        if ejected {
            self.ejected.insert(replica.clone());
        } else {
            self.ejected.remove(&replica);
        }
        self.pending.ejections.insert(replica);
    }

    fn update_table(&mut self, table: TableId, entries: Vec<TableEntry>) {
        let current = self.tables.entry(table).or_default();
        let changed = self.pending.entries.entry(table).or_default();
        for TableEntry { replica, weight } in entries {
            current.insert(replica.clone(), weight);
            changed.insert(replica, weight);
        }
        current.retain(|_, weight| *weight > 0.0);
    }

    fn set_admission(&mut self, classes: ClassSet, admission: Admission) {
        let classes = self.existing_classes(classes);
        for (class, current) in self.admissions.iter_mut().enumerate() {
            if contains_class(classes, class) {
                *current = Some(admission);
            }
        }
        self.pending.admission_changed = true;
    }

    /// The classes of the set that exist; the empty set means all classes.
    fn existing_classes(&self, classes: ClassSet) -> ClassSet {
        let all = all_classes(self.class_names.len());
        if classes == 0 { all } else { classes & all }
    }

    /// Ends a pull: calls `send` with the encoded message for each proxy that has changes.
    pub fn flush(&mut self, now: Duration, mut send: impl FnMut(ProxyId, Vec<u8>)) {
        let pending = std::mem::take(&mut self.pending);
        if !pending.any_decision {
            return;
        }
        let builder = MessageBuilder {
            class_names: &self.class_names,
            default_admission: self.default_admission,
            tables: &self.tables,
            ejected: &self.ejected,
            admissions: &self.admissions,
            pending: &pending,
        };
        for (proxy, stream) in &mut self.streams {
            let mut parts = builder.build(stream);
            if parts.is_empty() {
                continue;
            }
            if let Some(nonce) = pending.nonce {
                stream.await_acknowledgement(nonce, now);
            }
            send(*proxy, encode(&mut parts, pending.nonce));
        }
    }
}

/// Whether the set contains the class with this index. Classes beyond the last bit share it.
fn contains_class(classes: ClassSet, class: usize) -> bool {
    classes >> class.min(MAX_CLASSES - 1) & 1 == 1
}

/// The set of all classes. Only the first 64 have bits of their own.
fn all_classes(class_count: usize) -> ClassSet {
    if class_count >= MAX_CLASSES { ClassSet::MAX } else { (1 << class_count) - 1 }
}
