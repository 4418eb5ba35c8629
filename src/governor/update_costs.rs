//! What ejections and readmissions take of the channel.

use std::collections::{BTreeMap, BTreeSet};

use super::Governor;
use super::proxy_state::ProxyState;
use super::send_queue::Purpose;
use crate::types::{ProxyId, ReplicaId};

/// What ejections, or readmissions, take of the channel.
#[derive(Clone, Copy, Default)]
pub(super) struct UpdateCost {
    pub(super) entries: f64,
    pub(super) messages: f64,
}

impl Governor {
    /// What the first of these ejections, or readmissions, takes, the first two, and so on. Each is sent to
    /// all proxies whose tables are not known, and to those whose tables contain the replica.
    pub(super) fn update_costs(&self, replicas: &[ReplicaId]) -> Vec<UpdateCost> {
        let unknown = self.proxies.values().filter(|proxy| !proxy.has_sent_tables());
        let unknown_count = unknown.count() as f64;
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

    /// The proxies whose tables, as sent to them, contain each of these replicas.
    fn holders(&self, replicas: &[ReplicaId]) -> BTreeMap<ReplicaId, BTreeSet<ProxyId>> {
        let mut holders: BTreeMap<ReplicaId, BTreeSet<ProxyId>> = BTreeMap::new();
        let replicas: BTreeSet<&ReplicaId> = replicas.iter().collect();
        if replicas.is_empty() {
            return holders;
        }
        for (key, table) in &self.sent_tables {
            if !self.proxies.get(&key.proxy).is_some_and(ProxyState::has_sent_tables) {
                continue;
            }
            for id in table.keys().filter(|id| replicas.contains(id)) {
                holders.entry(id.clone()).or_default().insert(key.proxy);
            }
        }
        holders
    }

    /// The number of updates with these cumulative costs that fit into a fraction of the send queue with this
    /// many queued entries.
    pub(super) fn fitting_updates(&self, costs: &[UpdateCost], queue_fraction: f64, queued: f64) -> usize {
        let capacity = queue_fraction * self.parameters.max_queued_entries - queued;
        costs.iter().take_while(|cost| cost.entries <= capacity).count()
    }

    /// Adds the first of these cumulative costs to the send queue, up to the one of this number.
    pub(super) fn add_update_cost(&mut self, costs: &[UpdateCost], count: usize, purpose: Purpose) {
        let cost = total_cost(costs, count);
        self.send_queue.add(cost.entries, cost.messages, purpose);
    }
}

/// The last of so many cumulative costs.
pub(super) fn total_cost(costs: &[UpdateCost], count: usize) -> UpdateCost {
    count.checked_sub(1).and_then(|last| costs.get(last)).copied().unwrap_or_default()
}
