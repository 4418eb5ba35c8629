//! What one proxy's stream was sent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::types::{ClassSet, ReplicaId, RetryPolicy, TableId};

/// Nonces that may be outstanding on a stream; older ones are forgotten.
const MAX_OUTSTANDING_NONCES: usize = 64;
/// By how much a proxy's latency may exceed the time since the nonce was sent, for rounding.
const LATENCY_TOLERANCE: Duration = Duration::from_millis(100);

/// What proxies admit of a class, and how they retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Admission {
    pub fraction: f64,
    pub retry_policy: RetryPolicy,
}

/// Whether a proxy is to send to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ejection {
    Ejected,
    Restored,
}

/// A nonce that the proxy is to acknowledge.
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
    /// What was last sent of a replica; of others nothing is known.
    pub ejections: BTreeMap<ReplicaId, Ejection>,
    /// By class, as the proxy holds it; none where it may hold one that it brought.
    pub admissions: Vec<Option<Admission>>,
    outstanding: VecDeque<OutstandingNonce>,
}

impl Stream {
    /// A stream that nothing was sent on.
    pub fn new(class_count: usize) -> Self {
        Stream { admissions: vec![None; class_count], ..Stream::default() }
    }

    /// Assigns a table to these classes, in place of the tables that they had.
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

    /// A nonce was sent.
    pub fn await_acknowledgement(&mut self, nonce: u16, sent_at: Duration) {
        self.outstanding.push_back(OutstandingNonce { nonce, sent_at });
        if self.outstanding.len() > MAX_OUTSTANDING_NONCES {
            self.outstanding.pop_front();
        }
    }

    /// Whether an acknowledgement is outstanding and plausible; it counts once, and for all earlier ones.
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

    /// When the oldest of the outstanding nonces was sent that were sent after `last_received`.
    pub fn outstanding_since(&self, last_received: Duration) -> Option<Duration> {
        let mut sent = self.outstanding.iter().map(|outstanding| outstanding.sent_at);
        sent.find(|sent_at| *sent_at > last_received)
    }
}
