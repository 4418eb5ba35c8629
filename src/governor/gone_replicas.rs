//! Drops the state of replicas that are long gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::proxy_state::{DefaultTableSample, ProxyState};
use super::readmissions::READMIT_QUEUE_FRACTION;
use super::replica_state::ReplicaState;
use super::send_queue::Purpose;
use super::update_costs::total_cost;
use crate::types::{Decision, ReplicaId};

/// How long the state of gone replicas is kept: a proxy may connect with a default table of this age.
pub(super) const GONE_REPLICA_RETENTION: Duration = Duration::from_secs(120);

impl Governor {
    /// Drops the state of gone replicas, which would otherwise accumulate as new replicas get new names. A
    /// replica is kept ejected while a table may contain it, as proxies would otherwise send to it again, and
    /// for [`GONE_REPLICA_RETENTION`] after it is gone.
    pub(super) fn forget_gone_replicas(&mut self, now: Duration) {
        let expired_at =
            |replica: &ReplicaState| replica.gone_since.filter(|gone| *gone + GONE_REPLICA_RETENTION < now);
        let expired = self.replica_ids(|replica| expired_at(replica).is_some());
        if expired.is_empty() {
            return;
        }
        let cost = total_cost(&self.update_costs(&expired), expired.len());
        if !self.send_queue.fits(cost.entries, READMIT_QUEUE_FRACTION, &self.parameters) {
            return;
        }
        let tables = self.sent_tables.values().chain(self.critical_set.tables.values());
        let in_tables: BTreeSet<&ReplicaId> = tables.flat_map(BTreeMap::keys).collect();
        let samples: BTreeSet<DefaultTableSample> =
            self.proxies.values().filter_map(ProxyState::default_sample).collect();
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
        let costs = self.update_costs(&ejected);
        self.add_update_cost(&costs, ejected.len(), Purpose::Readmission);
        let readmitted = ejected.into_iter().map(|id| Decision::SetEjected { replica: id, ejected: false });
        self.pending.extend(readmitted);
    }
}
