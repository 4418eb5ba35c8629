//! What was refused, why, and for how long.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId};

use super::checks::ProposedTable;
use super::limits::{ALARM, HELD_FOR};

/// Refusals that are kept for operators.
const MAX_REFUSALS: usize = 512;

/// Why something of a change is not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RefusalReason {
    /// The proxy would be left without a routable entry.
    #[error("no line of it is open, though a replica is ready")]
    Bare,
    /// Every routable entry names a replica that is not open.
    #[error("all of its lines are to replicas that drain or are gone")]
    Draining,
    /// As [`RefusalReason::Bare`], for a traffic class that is confined to the proxy's zone.
    #[error("no line of it is open in the proxy's zone, which its group must not leave")]
    ZoneBare,
    /// An entry names a replica of another zone, for a traffic class that is confined to the proxy's zone.
    #[error("a line leaves the zone that its group must not leave")]
    OutOfZone,
    /// An entry's weight is not a positive number.
    #[error("a weight is not finite, or not above 0")]
    Weight,
    /// Weights are too far apart for the wire.
    #[error("a weight is so small beside another that the wire can't say both")]
    Wire,
    /// An admission fraction out of its range.
    #[error("a level is not from 0 to 1")]
    Level,
    /// A retry policy that could have an effect happen twice.
    #[error("a flow that may have run would be tried again, and must not take effect twice")]
    Tries,
    /// A module that goes on deciding without end.
    #[error("more decisions at once than there can be")]
    Flood,
    /// Ejections that leave too little capacity.
    #[error("so much is withdrawn that the rest could not take the flows")]
    Withdrawn,
    /// Too much load on a replica in its slow start.
    #[error("a replica that is not warm yet would be sent more than its present part")]
    Cold,
    /// Too much load on a warm replica.
    #[error("a replica would be sent more than it can take, while others have room")]
    Over,
    /// Too much of all traffic moved at once.
    #[error("it moves more of all flows at once than its cause asks for")]
    Sweep,
    /// Too many table entries in one change.
    #[error("it has more lines than the channel can carry in time")]
    Lines,
}

/// What was done about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// The rest of the table is published.
    Corrected,
    /// The last good table stands, less what drains or is ejected.
    Kept,
    /// Nothing good was left: the proxy's own default table, or all ready replicas of the roster.
    LastResort,
    /// It is published all the same: an earlier rule holds, or it was held back for long enough.
    LetThrough,
}

/// One refusal, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// When it was refused.
    pub at: Duration,
    /// None where it is about all of them.
    pub proxy: Option<ProxyId>,
    /// The traffic class.
    pub class: usize,
    /// Why.
    pub reason: RefusalReason,
    /// What was done about it.
    pub outcome: RefusalOutcome,
    /// The replica that it is about, if it is about one.
    pub replica: Option<ReplicaId>,
    /// What was asked: requests a second, fractions, entries; by the reason.
    pub asked: f64,
    /// What is allowed, in the same unit.
    pub allowed: f64,
    /// Since when the same has been refused without a break.
    pub since: Duration,
}

/// A refusal in the making: of the change at a place in the list of changes.
#[derive(Debug, Clone)]
pub(super) struct Finding {
    pub(super) change: usize,
    pub(super) reason: RefusalReason,
    pub(super) outcome: RefusalOutcome,
    pub(super) replica: Option<ReplicaId>,
    pub(super) asked: f64,
    pub(super) allowed: f64,
}

/// What the same refusal is known by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RefusalKey {
    proxy: ProxyId,
    class: usize,
    reason: RefusalReason,
}

/// Refusals, how long they have lasted, and how many there were.
#[derive(Debug, Clone, Default)]
pub(super) struct RefusalLog {
    kept: VecDeque<Refusal>,
    /// Refusals that were not reported yet.
    new: VecDeque<Refusal>,
    /// Since when what is refused now has been refused.
    lasting: BTreeMap<RefusalKey, Duration>,
    counts: BTreeMap<RefusalReason, u64>,
    passed: u64,
}

impl RefusalLog {
    /// Records what was found wrong with these changes; what was refused before and is not any more has ended.
    pub(super) fn record(&mut self, now: Duration, changes: &[ProposedTable], findings: Vec<Finding>) {
        let refused: BTreeSet<usize> = findings.iter().map(|finding| finding.change).collect();
        self.passed += (changes.len() - refused.len()) as u64;
        let key = |finding: &Finding| {
            let ProposedTable { proxy, class, .. } = changes[finding.change];
            RefusalKey { proxy, class, reason: finding.reason }
        };
        let still: BTreeSet<RefusalKey> = findings.iter().map(key).collect();
        for change in changes {
            let is_of = |key: &RefusalKey| key.proxy == change.proxy && key.class == change.class;
            self.lasting.retain(|key, _| !is_of(key) || still.contains(key));
        }
        for finding in findings {
            let key = key(&finding);
            let since = *self.lasting.entry(key).or_insert(now);
            let held_long_enough = finding.reason == RefusalReason::Sweep && now >= since + HELD_FOR;
            if finding.outcome == RefusalOutcome::LetThrough && held_long_enough {
                self.lasting.remove(&key);
            }
            *self.counts.entry(finding.reason).or_default() += 1;
            self.keep(Refusal {
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

    /// Records a correction that is about no one proxy.
    pub(super) fn record_general(
        &mut self,
        now: Duration,
        class: usize,
        reason: RefusalReason,
        asked: f64,
        allowed: f64,
    ) {
        *self.counts.entry(reason).or_default() += 1;
        self.keep(Refusal {
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

    fn keep(&mut self, refusal: Refusal) {
        if refusal.since == refusal.at && self.new.len() < MAX_REFUSALS {
            self.new.push_back(refusal.clone());
        }
        if self.kept.len() == MAX_REFUSALS {
            self.kept.pop_front();
        }
        self.kept.push_back(refusal);
    }

    /// Since when a reason has been refused without a break.
    pub(super) fn refused_since(
        &self,
        proxy: ProxyId,
        class: usize,
        reason: RefusalReason,
    ) -> Option<Duration> {
        self.lasting.get(&RefusalKey { proxy, class, reason }).copied()
    }

    pub(super) fn clear(&mut self, proxy: ProxyId, class: usize) {
        self.lasting.retain(|key, _| key.proxy != proxy || key.class != class);
    }

    pub(super) fn forget_proxy(&mut self, proxy: ProxyId) {
        self.lasting.retain(|key, _| key.proxy != proxy);
    }

    pub(super) fn next_new(&mut self) -> Option<Refusal> {
        self.new.pop_front()
    }

    pub(super) fn proxies(&self) -> BTreeSet<ProxyId> {
        self.lasting.keys().map(|key| key.proxy).collect()
    }

    pub(super) fn alarms(&self, now: Duration) -> usize {
        self.lasting.values().filter(|since| now >= **since + ALARM).count()
    }

    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &Refusal> {
        self.kept.iter()
    }

    pub(super) fn tally(&self) -> (&BTreeMap<RefusalReason, u64>, u64) {
        (&self.counts, self.passed)
    }
}
