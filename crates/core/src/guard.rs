//! The guard: what may not reach a proxy, whoever made it: the module by a fault, an operator, another governor,
//! a front's bug. See `docs/design/guard.md`.
//!
//! The guard keeps its own ledger of expected load: the requests a second that each replica would be sent by all
//! proxies here, by their demand and their tables, and what each can take. A change is checked as the state that
//! all proxies would be in after it. What passes is left as it is, to the letter. What does not is brought to the
//! nearest state that does: an entry without meaning is left out, a fraction that is too large is made smaller, a
//! change that can't be is not carried out and the last good table stands, less what drains or is ejected. The
//! guard never opens an entry that nobody asked for, but where a proxy would be left with none.
//!
//! When two rules conflict, the earlier holds: no proxy without a routable entry; drains and ejections; no cold
//! replica over its part; no warm one over what it can take; no more at once than was asked for.
//!
//! | file | what is in it |
//! | --- | --- |
//! | `limits` | what the guard is given at its start, and its constants |
//! | `ledger` | demand, tables and throughput: the expected load of each replica |
//! | `capacity` | what each replica may be sent |
//! | `checks` | a change of tables, checked step by step |
//! | `repair` | what a table must be in itself, and what stands in the place of one that is not |
//! | `refusals` | what was refused, why, and for how long |

mod capacity;
mod checks;
mod ledger;
mod limits;
mod refusals;
mod repair;

pub use checks::{ProposedTable, ShiftLimit};
pub use limits::{ALARM, AT_ONCE, COLD_MARGIN, GuardLimits, HELD_FOR, WARM_MARGIN};
pub use refusals::{Refusal, RefusalOutcome, RefusalReason};

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wrenthread::types::{ClassSet, ProxyId, ReplicaId, RetryPolicy};

use crate::roster::Roster;
use crate::tables::Table;

use ledger::LoadLedger;
use refusals::RefusalLog;

/// Checks all tables on their way to proxies.
#[derive(Debug, Clone)]
pub struct Guard {
    limits: GuardLimits,
    ledger: LoadLedger,
    refusals: RefusalLog,
    off: bool,
}

impl Guard {
    /// A guard that knows no proxies and no replicas.
    pub fn new(limits: GuardLimits) -> Self {
        Guard { limits, ledger: LoadLedger::default(), refusals: RefusalLog::default(), off: false }
    }

    /// Lets everything through, for measurements of what it is worth.
    pub fn switch_off(&mut self) {
        self.off = true;
    }

    // ---- what the ledger records

    /// A proxy has connected: its ordinary demand as it says it is, on its default table.
    pub fn proxy_connected(
        &mut self,
        proxy: ProxyId,
        requests_per_second: f64,
        default_table: &[(ReplicaId, f64)],
    ) {
        self.ledger.connect(proxy, self.limits.class_count(), requests_per_second, default_table);
    }

    /// A proxy has disconnected: its load and its refusals are forgotten.
    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.ledger.disconnect(proxy);
        self.refusals.forget_proxy(proxy);
    }

    /// Requests that came to a proxy within an interval, as it reports.
    pub fn record_demand(&mut self, proxy: ProxyId, class: usize, requests: u64, interval: Duration) {
        self.ledger.record_demand(proxy, class, requests, interval);
    }

    /// Requests that succeeded at a replica within an interval, as the proxies of a zone report.
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

    /// What a replica was seen to deliver a second, as known from elsewhere.
    pub fn restore_throughput(&mut self, now: Duration, replica: &ReplicaId, zone: usize, per_second: f64) {
        self.ledger.restore_throughput(now, replica, zone, per_second);
    }

    /// A proxy that has connected has so many requests a second of a class, and holds a table.
    pub fn set_current_table(
        &mut self,
        proxy: ProxyId,
        class: usize,
        requests_per_second: f64,
        table: Option<&Table>,
    ) {
        self.ledger.set_current_table(proxy, class, requests_per_second, table);
    }

    /// The roster has changed: what is not on it any more is forgotten.
    pub fn roster_changed(&mut self, roster: &Roster) {
        self.ledger.roster_changed(roster);
    }

    // ---- what is checked besides tables; those are in `checks`

    /// The retry policy that proxies may have in each class of a set: an attempt that may have run is never
    /// followed by another where its effect must not happen twice.
    pub fn check_retry_policy(
        &mut self,
        now: Duration,
        classes: ClassSet,
        policy: RetryPolicy,
    ) -> Vec<(ClassSet, RetryPolicy)> {
        let named = (0..ClassSet::BITS as usize).filter(|class| classes >> class & 1 == 1);
        let barred: Vec<usize> = named.filter(|class| self.limits.is_not_idempotent(*class)).collect();
        if self.off || policy != RetryPolicy::OnAnyFailure || barred.is_empty() {
            return vec![(classes, policy)];
        }
        let barred_set: ClassSet = barred.iter().map(|class| 1 << class).sum();
        for class in barred {
            // Two attempts were asked for; one is allowed.
            self.record_refusal(now, class, RefusalReason::Tries, 2.0, 1.0);
        }
        vec![(classes & !barred_set, policy), (barred_set, RetryPolicy::IfNotExecuted)]
    }

    /// Something that is about no one proxy was refused, and corrected.
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

    /// A proxy holds what is wanted for a class: nothing of it is refused any more.
    pub fn clear_refusals(&mut self, proxy: ProxyId, class: usize) {
        self.refusals.clear(proxy, class);
    }

    /// Replicas that are sent more than they may be by the tables that stand, as when one restarts cold, or
    /// demand grows.
    pub fn overloaded_replicas(
        &self,
        now: Duration,
        roster: &Roster,
        ejected: impl Fn(&ReplicaId) -> bool,
    ) -> BTreeSet<ReplicaId> {
        if self.off {
            return BTreeSet::new();
        }
        let follows = self.follows_ejections(now, roster, &ejected);
        let capacity = self.capacity(now, roster, &|id: &ReplicaId| follows && ejected(id));
        let overloaded = |id: &&ReplicaId| self.overload(now, roster, capacity, id).is_some();
        self.ledger.loaded_replicas().filter(overloaded).cloned().collect()
    }

    // ---- what the log and operators read

    /// The next refusal that is new, for the log; one that goes on is none.
    pub fn next_new_refusal(&mut self) -> Option<Refusal> {
        self.refusals.next_new()
    }

    /// Proxies something of whose tables is being refused: they are to be checked again now and then.
    pub fn proxies_with_refusals(&self) -> BTreeSet<ProxyId> {
        self.refusals.proxies()
    }

    /// Refusals that have lasted for [`ALARM`].
    pub fn alarms(&self, now: Duration) -> usize {
        self.refusals.alarms(now)
    }

    /// The last refusals, oldest first.
    pub fn refusals(&self) -> impl DoubleEndedIterator<Item = &Refusal> {
        self.refusals.iter()
    }

    /// Refusals by reason; and tables that passed as they were.
    pub fn tally(&self) -> (&BTreeMap<RefusalReason, u64>, u64) {
        self.refusals.tally()
    }

    /// Requests a second that a proxy has of a class, by the ledger.
    pub fn requests_per_second(&self, proxy: ProxyId, class: usize) -> f64 {
        self.ledger.requests_per_second(proxy, class)
    }

    /// The most that was delivered a second lately, by replica and zone, counting less with age.
    pub fn throughput(&self, now: Duration) -> impl Iterator<Item = (&ReplicaId, usize, f64)> {
        self.ledger.throughput(now)
    }

    /// What the guard was given at its start.
    pub fn limits(&self) -> &GuardLimits {
        &self.limits
    }

    /// Requests a second that a replica is sent by proxies here, by the ledger.
    pub fn sent_to(&self, replica: &ReplicaId) -> f64 {
        self.ledger.load(replica).max(0.0)
    }
}

#[cfg(test)]
mod tests;
