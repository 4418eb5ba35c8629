//! The state of one proxy's stream: what it was sent, and which acknowledgements are outstanding.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::types::{ClassSet, ReplicaId, RetryPolicy, TableId};

/// The maximum number of outstanding nonces on a stream; older ones are discarded.
const MAX_OUTSTANDING_NONCES: usize = 64;
/// How far the latency claimed by a proxy may exceed the time since the nonce was sent, to allow for rounding.
const LATENCY_TOLERANCE: Duration = Duration::from_millis(100);

/// Which fraction of a class's requests proxies admit, and how they retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Admission {
    pub fraction: f64,
    pub retry_policy: RetryPolicy,
}

/// Whether a proxy may send requests to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ejection {
    Ejected,
    Restored,
}

/// A nonce that the proxy has not acknowledged yet.
#[derive(Debug, Clone, Copy)]
struct OutstandingNonce {
    nonce: u16,
    sent_at: Duration,
}

/// The state of one stream.
#[derive(Default)]
pub(super) struct Stream {
    pub assigned_tables: BTreeMap<TableId, ClassSet>,
    /// Tables that were assigned since the last flush.
    pub newly_assigned: BTreeSet<TableId>,
    /// The state last sent for each replica. The proxy's state of any other replica is unknown.
    pub ejections: BTreeMap<ReplicaId, Ejection>,
    /// By class, as last set at the proxy; `None` where the proxy may still have one from before this stream.
    pub admissions: Vec<Option<Admission>>,
    outstanding: VecDeque<OutstandingNonce>,
}

impl Stream {
    /// Creates a stream on which nothing was sent.
    pub fn new(class_count: usize) -> Self {
        Stream { admissions: vec![None; class_count], ..Stream::default() }
    }

    /// Assigns a table to these classes, replacing the tables that they had.
    pub fn assign(&mut self, table: TableId, classes: ClassSet) {
        for assigned in self.assigned_tables.values_mut() {
            *assigned &= !classes;
        }
        *self.assigned_tables.entry(table).or_default() |= classes;
        self.assigned_tables.retain(|_, assigned| *assigned != 0);
        self.newly_assigned.insert(table);
    }

    /// The classes that have a table of this governor.
    pub fn assigned_classes(&self) -> ClassSet {
        self.assigned_tables.values().fold(0, |all, classes| all | classes)
    }

    /// Records that a nonce was sent.
    pub fn await_acknowledgement(&mut self, nonce: u16, sent_at: Duration) {
        self.outstanding.push_back(OutstandingNonce { nonce, sent_at });
        if self.outstanding.len() > MAX_OUTSTANDING_NONCES {
            self.outstanding.pop_front();
        }
    }

    /// Handles an acknowledgement. Returns whether the nonce was outstanding and the latency is plausible. If so, it and
    /// all earlier nonces are no longer outstanding.
    pub fn acknowledge(&mut self, now: Duration, nonce: u16, latency: Duration) -> bool {
        let Some(index) = self.outstanding.iter().position(|outstanding| outstanding.nonce == nonce) else {
            return false;
        };
        let elapsed = now.saturating_sub(self.outstanding[index].sent_at);
        if latency > elapsed + LATENCY_TOLERANCE {
            return false;
        }
        self.outstanding.drain(..=index);
        true
    }

    /// When the oldest outstanding nonce was sent, among those sent after `last_received`.
    pub fn outstanding_since(&self, last_received: Duration) -> Option<Duration> {
        let mut sent = self.outstanding.iter().map(|outstanding| outstanding.sent_at);
        sent.find(|sent_at| *sent_at > last_received)
    }
}
