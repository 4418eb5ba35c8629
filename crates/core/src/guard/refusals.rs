//! What was refused, why, and for how long.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId};

use super::checks::ProposedTable;
use super::limits::{ALARM_AFTER, MAX_HOLD_BACK};

/// Maximum number of refusals that are kept for operators.
const MAX_REFUSALS: usize = 512;

/// Why a part of a change is not published.
///
/// The texts are also keys of the JSON status (`refused`) and must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RefusalReason {
    /// The proxy would be left without a routable entry.
    #[error("no line of it is open, though a replica is ready")]
    NoRoute,
    /// Every routable entry names a replica that is draining or gone.
    #[error("all of its lines are to replicas that drain or are gone")]
    AllEntriesClosed,
    /// As [`RefusalReason::NoRoute`], for a traffic class that is confined to the proxy's zone.
    #[error("no line of it is open in the proxy's zone, which its group must not leave")]
    NoRouteInZone,
    /// An entry names a replica of another zone, for a traffic class that is confined to the proxy's zone.
    #[error("a line leaves the zone that its group must not leave")]
    OutOfZone,
    /// An entry's weight is not a positive number.
    #[error("a weight is not finite, or not above 0")]
    InvalidWeight,
    /// The ratio of two weights is too large for the wire format.
    #[error("a weight is so small beside another that the wire can't say both")]
    WeightRatio,
    /// An admission fraction is not from 0 to 1.
    #[error("a level is not from 0 to 1")]
    InvalidAdmissionFraction,
    /// A retry policy that could execute a request twice that is not idempotent.
    #[error("a flow that may have run would be tried again, and must not take effect twice")]
    UnsafeRetryPolicy,
    /// The decision module produces decisions without end.
    #[error("more decisions at once than there can be")]
    TooManyDecisions,
    /// Ejections leave too little capacity.
    #[error("so much is withdrawn that the rest could not take the flows")]
    TooManyEjections,
    /// Too much load on a replica in its slow start.
    #[error("a replica that is not warm yet would be sent more than its present part")]
    ColdOverload,
    /// Too much load on a warm replica.
    #[error("a replica would be sent more than it can take, while others have room")]
    WarmOverload,
    /// Too large a fraction of all traffic moves at once.
    #[error("it moves more of all flows at once than its cause asks for")]
    ShiftTooLarge,
    /// Too many table entries in one change.
    #[error("it has more lines than the channel can carry in time")]
    TooManyEntries,
}

/// What was done about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// The rest of the table is published.
    Corrected,
    /// The last good table stays in force, without replicas that drain or are ejected. It is also recorded
    /// for [`RefusalReason::AllEntriesClosed`], before the replacement is known, and for an overload where a
    /// last-resort table replaces the requested one.
    Kept,
    /// No good table was left: the proxy's default table is published, or all ready replicas of the roster.
    LastResort,
    /// It is published anyway, because an earlier rule takes precedence or it was held back for long enough.
    LetThrough,
}

/// One refusal, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// When it was refused.
    pub at: Duration,
    /// The proxy; none where the refusal concerns all of them.
    pub proxy: Option<ProxyId>,
    /// The traffic class.
    pub class: usize,
    /// Why.
    pub reason: RefusalReason,
    /// What was done about it.
    pub outcome: RefusalOutcome,
    /// The replica, if the refusal concerns a single one.
    pub replica: Option<ReplicaId>,
    /// The requested value: requests per second, a fraction or a number of entries, depending on the reason.
    pub asked: f64,
    /// The allowed value, in the same unit.
    pub allowed: f64,
    /// Since when the same has been refused without interruption.
    pub since: Duration,
}

/// A violation found by a check, before it is recorded as a refusal. `change` is the index of the change.
#[derive(Debug, Clone)]
pub(super) struct Finding {
    pub(super) change: usize,
    pub(super) reason: RefusalReason,
    pub(super) outcome: RefusalOutcome,
    pub(super) replica: Option<ReplicaId>,
    pub(super) asked: f64,
    pub(super) allowed: f64,
}

/// Identifies a refusal that continues over several checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RefusalKey {
    proxy: ProxyId,
    class: usize,
    reason: RefusalReason,
}

/// Recent refusals, since when those that continue have lasted, and counts of all.
#[derive(Debug, Clone, Default)]
pub(super) struct RefusalLog {
    recent: VecDeque<Refusal>,
    /// Refusals that are not logged yet.
    unlogged: VecDeque<Refusal>,
    /// The start of each refusal that has not ended.
    active_since: BTreeMap<RefusalKey, Duration>,
    counts: BTreeMap<RefusalReason, u64>,
    passed: u64,
}

impl RefusalLog {
    /// Records the findings of a check. A refusal of these proxies and classes that is not found again has
    /// ended.
    pub(super) fn record(&mut self, now: Duration, changes: &[ProposedTable], findings: Vec<Finding>) {
        let refused: BTreeSet<usize> = findings.iter().map(|finding| finding.change).collect();
        self.passed += (changes.len() - refused.len()) as u64;
        let key = |finding: &Finding| {
            let ProposedTable { proxy, class, .. } = changes[finding.change];
            RefusalKey { proxy, class, reason: finding.reason }
        };
        let found_again: BTreeSet<RefusalKey> = findings.iter().map(key).collect();
        for change in changes {
            let is_same_table = |key: &RefusalKey| key.proxy == change.proxy && key.class == change.class;
            self.active_since.retain(|key, _| !is_same_table(key) || found_again.contains(key));
        }
        for finding in findings {
            let key = key(&finding);
            let since = *self.active_since.entry(key).or_insert(now);
            let held_long_enough =
                finding.reason == RefusalReason::ShiftTooLarge && now >= since + MAX_HOLD_BACK;
            if finding.outcome == RefusalOutcome::LetThrough && held_long_enough {
                self.active_since.remove(&key);
            }
            *self.counts.entry(finding.reason).or_default() += 1;
            self.push(Refusal {
                at: now,
                proxy: Some(key.proxy),
                class: key.class,
                reason: finding.reason,
                outcome: finding.outcome,
                replica: finding.replica,
                asked: finding.asked,
                allowed: finding.allowed,
                since,
            });
        }
    }

    /// Records a correction that does not concern a single proxy.
    pub(super) fn record_general(
        &mut self,
        now: Duration,
        class: usize,
        reason: RefusalReason,
        asked: f64,
        allowed: f64,
    ) {
        *self.counts.entry(reason).or_default() += 1;
        self.push(Refusal {
            at: now,
            proxy: None,
            class,
            reason,
            outcome: RefusalOutcome::Corrected,
            replica: None,
            asked,
            allowed,
            since: now,
        });
    }

    fn push(&mut self, refusal: Refusal) {
        if refusal.since == refusal.at && self.unlogged.len() < MAX_REFUSALS {
            self.unlogged.push_back(refusal.clone());
        }
        if self.recent.len() == MAX_REFUSALS {
            self.recent.pop_front();
        }
        self.recent.push_back(refusal);
    }

    /// Since when a change has been refused for a reason without interruption.
    pub(super) fn refused_since(
        &self,
        proxy: ProxyId,
        class: usize,
        reason: RefusalReason,
    ) -> Option<Duration> {
        self.active_since.get(&RefusalKey { proxy, class, reason }).copied()
    }

    pub(super) fn clear(&mut self, proxy: ProxyId, class: usize) {
        self.active_since.retain(|key, _| key.proxy != proxy || key.class != class);
    }

    pub(super) fn forget_proxy(&mut self, proxy: ProxyId) {
        self.active_since.retain(|key, _| key.proxy != proxy);
    }

    pub(super) fn next_new(&mut self) -> Option<Refusal> {
        self.unlogged.pop_front()
    }

    pub(super) fn proxies(&self) -> BTreeSet<ProxyId> {
        self.active_since.keys().map(|key| key.proxy).collect()
    }

    pub(super) fn alarms(&self, now: Duration) -> usize {
        self.active_since.values().filter(|since| now >= **since + ALARM_AFTER).count()
    }

    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &Refusal> {
        self.recent.iter()
    }

    pub(super) fn counts(&self) -> (&BTreeMap<RefusalReason, u64>, u64) {
        (&self.counts, self.passed)
    }
}
