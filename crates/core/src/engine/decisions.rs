//! A flush: the decisions that the module makes in one call, applied under one version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ClassSet, Decision, ProxyId, RetryPolicy, TableId};

use crate::fleet::Proxy;
use crate::guard::{RefusalReason, ShiftLimit};

use super::publishing::RefreshOptions;
use super::{Action, Cause, DecisionSummary, Engine, EngineEvent};

/// Bounds on the delay between two ticks, whatever delay the module requests.
const MIN_TICK: Duration = Duration::from_millis(1);
pub(super) const MAX_TICK: Duration = Duration::from_secs(60);
/// The maximum number of decisions in one flush. A fleet of the maximum size needs fewer at once.
const MAX_DECISIONS: usize = 100_000;
/// The delay until the module is called again after a flush was cut off at [`MAX_DECISIONS`].
const FLOOD_RETRY: Duration = Duration::from_millis(250);

/// Inputs after which the amount of shifted traffic is not limited.
const SHIFTING_CAUSES: [Cause; 4] =
    [Cause::Roster, Cause::ProxyConnected, Cause::ProxyDisconnected, Cause::HealthChecked];

/// The effects of a flush.
#[derive(Debug, Default)]
struct Flush {
    proxies: BTreeSet<ProxyId>,
    everyone: bool,
    requested_acknowledgement: Option<u16>,
    replica_ejected_or_restored: bool,
    summaries: Vec<DecisionSummary>,
    updated_tables: Vec<UpdatedTable>,
}

/// An updated table and the index of its summary.
#[derive(Debug, Clone, Copy)]
struct UpdatedTable {
    summary: usize,
    table: TableId,
}

impl Engine {
    /// Applies all decisions that the module makes now and publishes the changes.
    pub(super) fn flush_decisions(&mut self, now: Duration) {
        let causes: Arc<[Cause]> = std::mem::take(&mut self.causes).into_iter().collect();
        let version = self.version + 1;
        self.flush_count += 1;
        let mut flush = Flush::default();
        while let Some(decision) = self.next_decision(now) {
            let Some(summary) = self.apply_decision(now, decision, &mut flush) else { continue };
            flush.summaries.push(summary);
            let decision_count = flush.summaries.len();
            if decision_count >= MAX_DECISIONS {
                // A module that never stops deciding must not delay drains: the remaining decisions are
                // requested in the next flush.
                let (asked, allowed) = (decision_count as f64, MAX_DECISIONS as f64);
                self.guard.record_refusal(now, 0, RefusalReason::TooManyDecisions, asked, allowed);
                self.next_tick = now + FLOOD_RETRY;
                break;
            }
        }
        self.find_assigned_proxies(&mut flush);

        let shift_expected = causes.iter().any(|cause| SHIFTING_CAUSES.contains(cause));
        let event =
            |summary| Action::Report(EngineEvent::Decided { summary, version, causes: causes.clone() });
        self.pending_actions.extend(flush.summaries.into_iter().map(event));
        let proxies: Vec<ProxyId> = match flush.everyone {
            true => self.fleet.proxy_ids(),
            false => flush.proxies.into_iter().collect(),
        };
        let options = RefreshOptions {
            requested_acknowledgement: flush.requested_acknowledgement,
            shift_limit: match shift_expected || flush.replica_ejected_or_restored {
                true => ShiftLimit::Unlimited,
                false => ShiftLimit::Limited,
            },
            ..RefreshOptions::default()
        };
        self.refresh_with(now, &proxies, options);
    }

    fn next_decision(&mut self, now: Duration) -> Option<Decision> {
        #[cfg(any(test, feature = "suspect"))]
        if let Some(faulty) = &mut self.replace_decider {
            return faulty(now, &mut self.governor);
        }
        self.governor.next_decision(now)
    }

    /// Applies a decision. Returns its summary if it is to be logged.
    fn apply_decision(
        &mut self,
        now: Duration,
        decision: Decision,
        flush: &mut Flush,
    ) -> Option<DecisionSummary> {
        match decision {
            Decision::ScheduleTick(after) => {
                // Bounded, so that the module is neither called in a busy loop nor never again.
                self.next_tick = now + after.clamp(MIN_TICK, MAX_TICK);
                None
            }
            Decision::RequestAcknowledgement(number) => {
                flush.requested_acknowledgement = Some(number);
                None
            }
            Decision::CheckHealth(replica) => {
                self.pending_actions.push_back(Action::CheckHealth(replica));
                None
            }
            Decision::SetEjected { replica, ejected } => {
                self.tables.set_ejected(replica.clone(), ejected);
                flush.everyone = true;
                flush.replica_ejected_or_restored = true;
                Some(DecisionSummary::Ejection(replica, ejected))
            }
            Decision::UpdateTable { table, entries } => {
                // The table may be assigned to a proxy only later in the same flush.
                flush.updated_tables.push(UpdatedTable { summary: flush.summaries.len(), table });
                let count = entries.len();
                self.tables.update_entries(table, entries);
                Some(DecisionSummary::TableUpdate("".into(), count))
            }
            Decision::AssignTable { proxy, table, classes } => {
                self.assign_table(proxy, table, classes, flush);
                Some(DecisionSummary::TableAssignment(self.name_of(proxy), classes))
            }
            Decision::SetAdmission { classes, fraction, retry_policy } => {
                self.set_admission(now, classes, fraction, retry_policy);
                flush.everyone = true;
                Some(DecisionSummary::Admission(classes, fraction, retry_policy))
            }
        }
    }

    fn assign_table(&mut self, id: ProxyId, table: TableId, classes: ClassSet, flush: &mut Flush) {
        let Some(proxy) = self.fleet.get_mut(id) else { return };
        for (class, assigned) in proxy.assigned_tables.iter_mut().enumerate() {
            if classes >> class & 1 == 0 {
                continue;
            }
            *assigned = Some(table);
            // The module's decision replaces a table published by another governor.
            if self.frozen_tables.get(&(id, class)).is_some_and(|frozen| frozen.migrated) {
                self.frozen_tables.remove(&(id, class));
            }
        }
        flush.proxies.insert(id);
    }

    fn set_admission(&mut self, now: Duration, classes: ClassSet, fraction: f64, policy: RetryPolicy) {
        // A fraction below 1 is based on new observations and replaces the fractions from before a restart.
        // At its start the module sets 1 without having observed anything, which must not replace them.
        if fraction < 1.0 {
            self.restored.admission_fractions.retain(|class, _| classes >> *class & 1 == 0);
        }
        for (classes, policy) in self.guard.check_retry_policy(now, classes, policy) {
            self.tables.set_admission(classes, fraction, policy);
        }
    }

    /// Adds the proxies that the updated tables are assigned to, and sets their names in the summaries.
    fn find_assigned_proxies(&self, flush: &mut Flush) {
        if flush.updated_tables.is_empty() {
            return;
        }
        let assigned = self.proxies_by_table();
        for updated in &flush.updated_tables {
            let Some(id) = assigned.get(&updated.table) else { continue };
            flush.proxies.insert(*id);
            if let DecisionSummary::TableUpdate(name, _) = &mut flush.summaries[updated.summary] {
                *name = self.name_of(*id);
            }
        }
    }

    /// The proxy that each table is assigned to; a table belongs to one proxy only.
    fn proxies_by_table(&self) -> BTreeMap<TableId, ProxyId> {
        let assigned = |(id, proxy): (ProxyId, &Proxy)| {
            proxy.assigned_tables.clone().into_iter().flatten().map(move |table| (table, id))
        };
        self.fleet.iter().flat_map(assigned).collect()
    }

    /// The name of a proxy; empty if it is not connected.
    pub(super) fn name_of(&self, id: ProxyId) -> Arc<str> {
        self.fleet.get(id).map_or_else(|| "".into(), |proxy| proxy.name.clone())
    }
}
