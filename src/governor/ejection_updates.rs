//! Sends ejections to proxies.

use super::Governor;
use super::replica_state::ReplicaState;
use super::send_queue::Purpose;
use super::update_costs::total_cost;
use crate::types::{Decision, ReplicaId};

/// Fraction of the send queue that ejections may fill: a tenth more than its limit.
pub(super) const EJECT_QUEUE_FRACTION: f64 = 1.1;

impl Governor {
    /// The replicas that proxies must stop sending to, and were not told so yet.
    pub(super) fn unsent_ejections(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.values().filter(|replica| replica.awaits_ejection())
    }

    /// Sends as many ejections as fit into the send queue, those of draining and gone replicas first. The
    /// others are sent later.
    pub(super) fn send_ejections(&mut self) {
        let (ready, not_ready): (Vec<ReplicaId>, Vec<ReplicaId>) = self
            .replica_ids(ReplicaState::awaits_ejection)
            .into_iter()
            .partition(|id| self.replicas[id].ready);
        let unsent = [not_ready, ready].concat();
        let costs = self.update_costs(&unsent);
        let useful_count = unsent.len().min(self.parameters.message_overhead_entries as usize);
        let count = self.fitting_updates(&costs, EJECT_QUEUE_FRACTION, self.send_queue.entries);
        if count < useful_count && self.send_queue.entries > 0.0 {
            return;
        }
        self.add_update_cost(&costs, count, Purpose::Ejection);
        for id in unsent.into_iter().take(count) {
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.ejection_sent = true;
            }
            self.pending.push_back(Decision::SetEjected { replica: id, ejected: true });
        }
    }

    /// Whether the channel takes the ejections of all draining replicas now.
    pub(super) fn unsent_drains_fit(&self) -> bool {
        let drains = self.replica_ids(|replica| replica.awaits_ejection() && !replica.ready);
        let cost = total_cost(&self.update_costs(&drains), drains.len());
        self.send_queue.fits(cost.entries, EJECT_QUEUE_FRACTION, &self.parameters)
    }
}
