//! The guard: checks every change of tables before it is published to proxies, whatever the source of a bad
//! change is: a fault of the decision module, an operator, another governor or a bug in a front end. See
//! `docs/design/guard.md`.
//!
//! The guard keeps its own ledger of expected load: the requests per second that all proxies of this governor
//! send each replica, computed from their demand and their tables, and what each replica can take. A change
//! is checked as the state that all proxies would be in after it. What passes is published unchanged. What
//! does not is replaced by the nearest state that does: an entry without a valid weight is removed, one whose
//! replica may not get requests is closed, an invalid admission fraction is replaced, the weight of an
//! overloaded replica is reduced, and where a change is not possible at all the last good table stays in
//! force, without replicas that drain or are ejected, or, if there is none, a last-resort table is published.
//!
//! The guard opens an entry that was not requested only in these cases: a proxy would be left without any;
//! all replicas of a table are overloaded, at least one of them cold, and another table has headroom; the
//! module's ejections leave less than `MIN_CAPACITY_LEFT` of the ready capacity and are not followed; or a
//! table that is kept names a replica that is available again.
//!
//! When two rules conflict, the earlier one wins: no proxy without a routable entry; drains and ejections; no
//! cold replica above its share; no warm replica above what it can take; no larger shift of traffic at once
//! than was requested.
//!
//! | file | contents |
//! | --- | --- |
//! | `limits` | the guard's parameters and constants |
//! | `ledger` | demand, tables and throughput: the expected load of each replica |
//! | `capacity` | the load that each replica may be given |
//! | `checks` | the steps of checking a change of tables |
//! | `repair` | the rules for a single table, and replacements for a table that breaks them |
//! | `refusals` | what was refused, why, and for how long |

mod capacity;
mod checks;
mod ledger;
mod limits;
mod refusals;
mod repair;

pub use checks::{ProposedTable, ShiftLimit};
pub use limits::{ALARM_AFTER, COLD_MARGIN, GuardLimits, MAX_HOLD_BACK, MAX_SHIFTED_FRACTION, WARM_MARGIN};
pub use refusals::{Refusal, RefusalOutcome, RefusalReason};

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wrenthread::types::{ClassSet, ProxyId, ReplicaId, RetryPolicy};

use crate::roster::Roster;
use crate::tables::Table;

use ledger::LoadLedger;
use refusals::RefusalLog;

/// Checks all tables before they are published to proxies.
#[derive(Debug, Clone)]
pub struct Guard {
    limits: GuardLimits,
    ledger: LoadLedger,
    refusals: RefusalLog,
    disabled: bool,
}

impl Guard {
    /// A guard without proxies and replicas.
    pub fn new(limits: GuardLimits) -> Self {
        Guard { limits, ledger: LoadLedger::default(), refusals: RefusalLog::default(), disabled: false }
    }

    /// Publishes every change unchecked, to measure what the guard contributes.
    pub fn disable(&mut self) {
        self.disabled = true;
    }

    // ---- what the ledger records

    /// Records a proxy that has connected, with the demand that it declares, on its default table.
    pub fn proxy_connected(
        &mut self,
        proxy: ProxyId,
        requests_per_second: f64,
        default_table: &[(ReplicaId, f64)],
    ) {
        self.ledger.connect(proxy, self.limits.class_count(), requests_per_second, default_table);
    }

    /// Removes the load and the refusals of a proxy that has disconnected.
    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.ledger.disconnect(proxy);
        self.refusals.forget_proxy(proxy);
    }

    /// Records the number of requests that a proxy reports for an interval.
    pub fn record_demand(&mut self, proxy: ProxyId, class: usize, requests: u64, interval: Duration) {
        self.ledger.record_demand(proxy, class, requests, interval);
    }

    /// Records how many requests to a replica succeeded within an interval, as the proxies of a zone report.
    pub fn record_throughput(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        zone: usize,
        succeeded: u64,
        interval: Duration,
    ) {
        self.ledger.record_throughput(now, replica, zone, succeeded, interval);
    }

    /// Sets the throughput of a replica, in requests per second, from stored state or a recording.
    pub fn restore_throughput(&mut self, now: Duration, replica: &ReplicaId, zone: usize, per_second: f64) {
        self.ledger.restore_throughput(now, replica, zone, per_second);
    }

    /// Sets the demand of a connected proxy for a class, and the table that it holds, if any.
    pub fn set_current_table(
        &mut self,
        proxy: ProxyId,
        class: usize,
        requests_per_second: f64,
        table: Option<&Table>,
    ) {
        self.ledger.set_current_table(proxy, class, requests_per_second, table);
    }

    /// Removes replicas that are no longer on the roster.
    pub fn roster_changed(&mut self, roster: &Roster) {
        self.ledger.roster_changed(roster);
    }

    // ---- checks other than those of tables, which are in `checks`

    /// The retry policies that may be published for a set of classes: a request that may have been executed
    /// is never retried in a class whose requests are not idempotent.
    pub fn check_retry_policy(
        &mut self,
        now: Duration,
        classes: ClassSet,
        policy: RetryPolicy,
    ) -> Vec<(ClassSet, RetryPolicy)> {
        let selected = (0..ClassSet::BITS as usize).filter(|class| classes >> class & 1 == 1);
        let not_idempotent: Vec<usize> =
            selected.filter(|class| self.limits.is_not_idempotent(*class)).collect();
        if self.disabled || policy != RetryPolicy::OnAnyFailure || not_idempotent.is_empty() {
            return vec![(classes, policy)];
        }
        let not_idempotent_set: ClassSet = not_idempotent.iter().map(|class| 1 << class).sum();
        for class in not_idempotent {
            // The policy asks for two attempts; one is allowed.
            self.record_refusal(now, class, RefusalReason::UnsafeRetryPolicy, 2.0, 1.0);
        }
        vec![(classes & !not_idempotent_set, policy), (not_idempotent_set, RetryPolicy::IfNotExecuted)]
    }

    /// Records a refusal that does not concern a single proxy and was corrected.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        class: usize,
        reason: RefusalReason,
        asked: f64,
        allowed: f64,
    ) {
        self.refusals.record_general(now, class, reason, asked, allowed);
    }

    /// A proxy holds the wanted table of a class, so its refusals there have ended.
    pub fn clear_refusals(&mut self, proxy: ProxyId, class: usize) {
        self.refusals.clear(proxy, class);
    }

    /// Replicas whose load under the current tables exceeds what they may be given, for instance because they
    /// restarted cold or because demand grew.
    pub fn overloaded_replicas(
        &self,
        now: Duration,
        roster: &Roster,
        ejected: impl Fn(&ReplicaId) -> bool,
    ) -> BTreeSet<ReplicaId> {
        if self.disabled {
            return BTreeSet::new();
        }
        let follows = self.follows_ejections(now, roster, &ejected);
        let capacity = self.capacity(now, roster, &|id: &ReplicaId| follows && ejected(id));
        let overloaded = |id: &&ReplicaId| self.overload(now, roster, capacity, id).is_some();
        self.ledger.loaded_replicas().filter(overloaded).cloned().collect()
    }

    // ---- what the log and operators read

    /// The next refusal to be logged. A refusal that continues is returned only the first time.
    pub fn next_new_refusal(&mut self) -> Option<Refusal> {
        self.refusals.next_new()
    }

    /// Proxies with a refusal that has not ended: their tables are to be checked again periodically.
    pub fn proxies_with_refusals(&self) -> BTreeSet<ProxyId> {
        self.refusals.proxies()
    }

    /// Refusals that have lasted for [`ALARM_AFTER`].
    pub fn alarms(&self, now: Duration) -> usize {
        self.refusals.alarms(now)
    }

    /// The last refusals, oldest first.
    pub fn refusals(&self) -> impl DoubleEndedIterator<Item = &Refusal> {
        self.refusals.iter()
    }

    /// Counts of refusals by reason, and of tables that passed unchanged.
    pub fn counts(&self) -> (&BTreeMap<RefusalReason, u64>, u64) {
        self.refusals.counts()
    }

    /// The demand of a proxy for a class in requests per second, by the ledger.
    pub fn requests_per_second(&self, proxy: ProxyId, class: usize) -> f64 {
        self.ledger.requests_per_second(proxy, class)
    }

    /// Recent peak throughput by replica and zone of the proxies, in requests per second, decayed with age.
    pub fn throughput(&self, now: Duration) -> impl Iterator<Item = (&ReplicaId, usize, f64)> {
        self.ledger.throughput(now)
    }

    /// The parameters of this guard.
    pub fn limits(&self) -> &GuardLimits {
        &self.limits
    }

    /// Requests per second that the proxies of this governor send a replica, by the ledger.
    pub fn expected_load(&self, replica: &ReplicaId) -> f64 {
        self.ledger.load(replica).max(0.0)
    }
}

#[cfg(test)]
mod tests;
