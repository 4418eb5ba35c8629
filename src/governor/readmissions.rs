//! Sends readmissions: replicas that proxies were told to avoid, and may use again.
//!
//! Which replicas a flush readmits is settled before its tables are composed, as a table must not consist of
//! replicas that proxies avoid. They are announced after the tables, so that the reduced weight of a replica
//! that is warming up arrives before it is used.

use std::time::Duration;

use super::Governor;
use super::ejection_updates::EJECT_QUEUE_FRACTION;
use super::replica_state::ReplicaState;
use super::update_costs::{UpdateCost, total_cost};
use crate::types::Decision;

/// Fraction of the send queue that readmissions may fill; they are less urgent than ejections.
pub(super) const READMIT_QUEUE_FRACTION: f64 = 0.5;

impl Governor {
    /// The available replicas that proxies were told to avoid, and not yet to use again.
    pub(super) fn unsent_readmissions(&self) -> impl Iterator<Item = &ReplicaState> {
        self.replicas.values().filter(|replica| replica.awaits_readmission())
    }

    /// Decides which replicas a flush would readmit now, as far as they fit into the send queue, and returns
    /// their cost. Tables are composed of these and of replicas that are not ejected.
    pub(super) fn plan_readmissions(&mut self, now: Duration) -> UpdateCost {
        let unsent = self.replica_ids(ReplicaState::awaits_readmission);
        if unsent.is_empty() {
            return UpdateCost::default();
        }
        let costs = self.update_costs(&unsent);
        let count = self.fitting_readmissions(&costs, now);
        for (index, id) in unsent.iter().enumerate() {
            if let Some(replica) = self.replicas.get_mut(id) {
                replica.readmission_due = index < count;
            }
        }
        total_cost(&costs, count)
    }

    fn fitting_readmissions(&self, costs: &[UpdateCost], now: Duration) -> usize {
        let queued = self.send_queue.entries;
        let urgent = queued <= 0.0 || self.readmission_is_urgent(now);
        let queue_fraction = if urgent { EJECT_QUEUE_FRACTION } else { READMIT_QUEUE_FRACTION };
        // Few of many wait, as each message has an overhead, but for no more than an empty queue would take.
        let useful_count = costs
            .len()
            .min(self.parameters.message_overhead_entries as usize)
            .min(self.fitting_updates(costs, queue_fraction, 0.0));
        let count = self.fitting_updates(costs, queue_fraction, queued);
        if count < useful_count && !urgent { 0 } else { count }
    }

    /// Discards the plan of a flush that is not sent.
    pub(super) fn discard_planned_readmissions(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.readmission_due = false;
        }
    }

    /// Sends the planned readmissions, whose cost is already counted. The weights of the replicas must have
    /// been sent before.
    pub(super) fn send_readmissions(&mut self) {
        for (id, replica) in &mut self.replicas {
            if std::mem::take(&mut replica.readmission_due) {
                replica.ejection_sent = false;
                self.pending.push_back(Decision::SetEjected { replica: id.clone(), ejected: false });
            }
        }
    }

    /// Whether proxies avoid all usable replicas of the fleet, or of a zone with zone-bound requests.
    pub(super) fn readmission_is_urgent(&self, now: Duration) -> bool {
        if self.unsent_readmissions().next().is_none() {
            return false;
        }
        let usable = self.max_by_zone(|replica| self.usable_fraction(replica, now));
        let not_avoided = |replica: &ReplicaState| {
            if replica.ejection_sent { 0.0 } else { self.usable_fraction(replica, now) }
        };
        let sent_requests = self.max_by_zone(not_avoided);
        let is_avoided = |zone: &usize| usable[zone] > 0.0 && sent_requests[zone] <= 0.0;
        if self.parameters.has_zone_bound_classes() {
            usable.keys().any(is_avoided)
        } else {
            sent_requests.values().all(|fraction| *fraction <= 0.0) && usable.keys().any(is_avoided)
        }
    }
}
