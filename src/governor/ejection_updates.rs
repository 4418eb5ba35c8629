//! Sends ejections and readmissions to proxies, and drops the state of replicas that are long gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Governor;
use super::proxy_state::{DefaultTableSample, ProxyState};
use super::replica_state::ReplicaState;
use super::send_queue::Purpose;
use crate::types::{Decision, ProxyId, ReplicaId};

/// How long the state of gone replicas is kept: a proxy may connect with a default table of this age.
const GONE_REPLICA_RETENTION: Duration = Duration::from_secs(120);
/// Fraction of the send queue that ejections may fill: a tenth more than its limit.
pub(super) const EJECT_QUEUE_FRACTION: f64 = 1.1;
/// Fraction of the send queue that readmissions may fill; they are less urgent.
const READMIT_QUEUE_FRACTION: f64 = 0.5;
/// What ejections, or readmissions, take of the channel.
#[derive(Clone, Copy, Default)]
pub(super) struct UpdateCost {
    pub(super) entries: f64,
    pub(super) messages: f64,
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

    /// Sends as many ejections as fit into the send queue, those of draining and gone replicas first. The
    /// others are sent later.
    pub(super) fn send_ejections(&mut self) {
        let mut unsent: Vec<ReplicaId> = Vec::new();
        for is_ready in [false, true] {
            let is_unsent = |replica: &ReplicaState| replica.is_unavailable() && !replica.ejection_sent;
            let replicas = self.replicas.iter();
            let selected = replicas.filter(|(_, replica)| is_unsent(replica) && replica.ready == is_ready);
            unsent.extend(selected.map(|(id, _)| id.clone()));
        }
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

    /// Decides which replicas a flush would readmit now, as far as they fit into the send queue, and returns
    /// their cost. Tables are composed of these and of replicas that are not ejected.
    pub(super) fn plan_readmissions(&mut self, now: Duration) -> UpdateCost {
        let is_unsent = |replica: &ReplicaState| !replica.is_unavailable() && replica.ejection_sent;
        let replicas = self.replicas.iter().filter(|(_, replica)| is_unsent(replica));
        let unsent: Vec<ReplicaId> = replicas.map(|(id, _)| id.clone()).collect();
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
        let sent_requests =
            self.max_by_zone(
                |replica| {
                    if replica.ejection_sent { 0.0 } else { self.usable_fraction(replica, now) }
                },
            );
        let is_avoided = |zone: &usize| usable[zone] > 0.0 && sent_requests[zone] <= 0.0;
        if self.parameters.has_zone_bound_classes() {
            usable.keys().any(is_avoided)
        } else {
            sent_requests.values().all(|fraction| *fraction <= 0.0) && usable.keys().any(is_avoided)
        }
    }

    /// The number of updates with these cumulative costs that fit into a fraction of the send queue with this
    /// many queued entries.
    fn fitting_updates(&self, costs: &[UpdateCost], queue_fraction: f64, queued: f64) -> usize {
        let capacity = queue_fraction * self.parameters.max_queued_entries - queued;
        costs.iter().take_while(|cost| cost.entries <= capacity).count()
    }

    fn add_update_cost(&mut self, costs: &[UpdateCost], count: usize, purpose: Purpose) {
        let cost = total_cost(costs, count);
        self.send_queue.add(cost.entries, cost.messages, purpose);
    }

    /// Whether the channel takes the ejections of all draining replicas now.
    pub(super) fn unsent_drains_fit(&self) -> bool {
        let is_unsent_drain = |replica: &ReplicaState| !replica.ready && !replica.ejection_sent;
        let drains = self.replicas.iter().filter(|(_, replica)| is_unsent_drain(replica));
        let drains: Vec<ReplicaId> = drains.map(|(id, _)| id.clone()).collect();
        let cost = total_cost(&self.update_costs(&drains), drains.len());
        self.send_queue.fits(cost.entries, EJECT_QUEUE_FRACTION, &self.parameters)
    }

    /// What the first of these ejections, or readmissions, takes, the first two, and so on. Each is sent to
    /// all proxies whose tables are not known, and to those whose tables contain the replica.
    fn update_costs(&self, replicas: &[ReplicaId]) -> Vec<UpdateCost> {
        let unknown = |proxy: &ProxyState| proxy.unsynchronised || proxy.follows_default_table();
        let unknown_count = self.proxies.values().filter(|proxy| unknown(proxy)).count() as f64;
        let holders = self.holders(replicas);
        let mut recipients = BTreeSet::new();
        let mut total = UpdateCost::default();
        let mut costs = Vec::with_capacity(replicas.len());
        for id in replicas {
            let holders = holders.get(id);
            recipients.extend(holders.into_iter().flatten().copied());
            total.entries += unknown_count + holders.map_or(0, BTreeSet::len) as f64;
            total.messages = unknown_count + recipients.len() as f64;
            let overhead = total.messages * self.parameters.message_overhead_entries;
            costs.push(UpdateCost { entries: total.entries + overhead, messages: total.messages });
        }
        costs
    }

    /// The proxies whose dedicated tables contain each of these replicas.
    fn holders(&self, replicas: &[ReplicaId]) -> BTreeMap<ReplicaId, BTreeSet<ProxyId>> {
        let mut holders: BTreeMap<ReplicaId, BTreeSet<ProxyId>> = BTreeMap::new();
        let replicas: BTreeSet<&ReplicaId> = replicas.iter().collect();
        if replicas.is_empty() {
            return holders;
        }
        for (key, table) in &self.sent_tables {
            if !self.proxies.get(&key.proxy).is_some_and(ProxyState::has_dedicated_tables) {
                continue;
            }
            for id in table.keys().filter(|id| replicas.contains(id)) {
                holders.entry(id.clone()).or_default().insert(key.proxy);
            }
        }
        holders
    }

    /// Drops the state of gone replicas, which would otherwise accumulate as new replicas get new names. A
    /// replica is kept ejected while a table may contain it, as proxies would otherwise send to it again, and
    /// for [`GONE_REPLICA_RETENTION`] after it is gone.
    pub(super) fn forget_gone_replicas(&mut self, now: Duration) {
        let expired_at =
            |replica: &ReplicaState| replica.gone_since.filter(|gone| *gone + GONE_REPLICA_RETENTION < now);
        let expired = self.replicas.iter().filter(|(_, replica)| expired_at(replica).is_some());
        let expired: Vec<ReplicaId> = expired.map(|(id, _)| id.clone()).collect();
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
        let costs = self.update_costs(&ejected);
        self.add_update_cost(&costs, ejected.len(), Purpose::Readmission);
        let readmitted = ejected.into_iter().map(|id| Decision::SetEjected { replica: id, ejected: false });
        self.pending.extend(readmitted);
    }
}

/// The last of so many cumulative costs.
fn total_cost(costs: &[UpdateCost], count: usize) -> UpdateCost {
    count.checked_sub(1).and_then(|last| costs.get(last)).copied().unwrap_or_default()
}
