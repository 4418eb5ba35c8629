//! Sends ejections and readmissions to proxies, and drops the state of replicas that are long gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::proxy_state::{DefaultTableSample, ProxyState};
use super::replica_state::ReplicaState;
use super::send_queue::Purpose;
use crate::types::{Decision, ReplicaId};

/// How long the state of gone replicas is kept: a proxy may connect with a default table of this age.
const GONE_REPLICA_RETENTION: Duration = Duration::from_secs(120);
/// Fraction of the send queue that ejections may fill: a tenth more than its limit.
pub(super) const EJECT_QUEUE_FRACTION: f64 = 1.1;
/// Fraction of the send queue that readmissions may fill; they are less urgent.
const READMIT_QUEUE_FRACTION: f64 = 0.5;
/// The number of proxies whose table contains a replica is assumed to be this many times the average.
const OCCURRENCE_MARGIN: f64 = 2.0;

/// The kind of ejection update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionChange {
    /// Proxies must stop sending to the replica.
    Eject,
    /// Proxies may send to the replica again.
    Readmit,
}

/// A replica whose ejection changed. Draining and gone replicas sort before faulty ones.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ChangedReplica {
    ready: bool,
    id: ReplicaId,
}

/// What a number of ejections, or readmissions, takes of the channel.
#[derive(Clone, Copy)]
struct EjectionCost {
    entries: f64,
    messages: f64,
}

impl Governor {
    /// The replicas that proxies must stop sending to, and were not told so yet.
    pub(super) fn unsent_ejections(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.values().filter(|replica| replica.is_unavailable() && !replica.ejection_sent)
    }

    /// The available replicas that proxies were told to avoid, and not yet to use again.
    pub(super) fn unsent_readmissions(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.values().filter(|replica| !replica.is_unavailable() && replica.ejection_sent)
    }

    /// Sends as many changes as fit into the send queue. The others are sent later.
    pub(super) fn send_ejections(&mut self, change: EjectionChange) {
        let ejected = change == EjectionChange::Eject;
        let queue_fraction = if ejected { EJECT_QUEUE_FRACTION } else { READMIT_QUEUE_FRACTION };
        let capacity = queue_fraction * self.parameters.max_queued_entries - self.send_queue.entries;
        let changed = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.is_unavailable() == ejected && replica.ejection_sent != ejected);
        let changed: BTreeSet<ChangedReplica> =
            changed.map(|(id, replica)| ChangedReplica { ready: replica.ready, id: id.clone() }).collect();
        let fitting_count =
            (1..=changed.len()).take_while(|count| self.ejection_cost(*count).entries <= capacity).count();
        let purpose = if ejected { Purpose::Ejection } else { Purpose::Readmission };
        let useful_count = changed.len().min(self.parameters.message_overhead_entries as usize);
        if fitting_count < useful_count && self.send_queue.entries > 0.0 {
            return;
        }
        let cost = self.ejection_cost(fitting_count);
        self.send_queue.add(cost.entries, cost.messages, purpose);
        for ChangedReplica { id, .. } in changed.into_iter().take(fitting_count) {
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.ejection_sent = ejected;
            }
            self.pending.push_back(Decision::SetEjected { replica: id, ejected });
        }
    }

    /// Whether the channel takes the ejections of this many replicas now.
    pub(super) fn ejections_fit(&self, replicas: usize) -> bool {
        let cost = self.ejection_cost(replicas);
        self.send_queue.fits(cost.entries, EJECT_QUEUE_FRACTION, &self.parameters)
    }

    /// Entries that this many changes take in the send queue. Each change is sent to all proxies whose tables
    /// are not known, and to those whose tables contain the replica.
    fn ejection_cost(&self, replicas: usize) -> EjectionCost {
        let entries = self.parameters.default_table_size as f64;
        let containing_fraction = (OCCURRENCE_MARGIN * ratio(entries, self.ready_replicas())).min(1.0);
        let entries = |proxy: &ProxyState| {
            let unknown = proxy.unsynchronised || proxy.follows_default_table();
            replicas as f64 * if unknown { 1.0 } else { containing_fraction }
        };
        let cost = |proxy: &ProxyState| {
            let entries = entries(proxy);
            entries + entries.min(1.0) * self.parameters.message_overhead_entries
        };
        EjectionCost {
            entries: self.proxies.values().map(cost).sum(),
            messages: self.proxies.values().map(|proxy| entries(proxy).min(1.0)).sum(),
        }
    }

    /// Drops the state of gone replicas, which would otherwise accumulate as new replicas get new names. A
    /// replica is kept ejected while a table may contain it, as proxies would otherwise send to it again, and
    /// for [`GONE_REPLICA_RETENTION`] after it is gone.
    pub(super) fn forget_gone_replicas(&mut self, now: Duration) {
        let expired_at =
            |replica: &ReplicaState| replica.gone_since.filter(|gone| *gone + GONE_REPLICA_RETENTION < now);
        let expired = self.replicas.values().filter(|replica| expired_at(replica).is_some()).count();
        if expired == 0 {
            return;
        }
        let cost = self.ejection_cost(expired);
        if !self.send_queue.fits(cost.entries, READMIT_QUEUE_FRACTION, &self.parameters) {
            return;
        }
        let tables = self.sent_tables.values().chain(self.critical_set.tables.values());
        let in_tables: BTreeSet<&ReplicaId> = tables.flat_map(BTreeMap::keys).collect();
        let samples: BTreeSet<DefaultTableSample> =
            self.proxies.values().filter_map(|proxy| proxy.default_table).collect();
        let sampled = |zone: usize, gone: Duration| {
            samples
                .iter()
                .any(|sample| sample.zone == zone && sample.roster_at < gone + GONE_REPLICA_RETENTION)
        };
        let forgotten = self.replicas.extract_if(.., |id, replica| {
            let forgettable = expired_at(replica).is_some_and(|gone| !sampled(replica.zone, gone));
            !in_tables.contains(id) && forgettable
        });
        let ejected: Vec<ReplicaId> =
            forgotten.filter(|(_, replica)| replica.ejection_sent).map(|(id, _)| id).collect();
        let cost = self.ejection_cost(ejected.len());
        self.send_queue.add(cost.entries, cost.messages, Purpose::Readmission);
        let readmitted = ejected.into_iter().map(|id| Decision::SetEjected { replica: id, ejected: false });
        self.pending.extend(readmitted);
    }
}
