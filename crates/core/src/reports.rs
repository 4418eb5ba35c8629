//! Load reports, folded to what the module hears: `Met` by zone and replica, `Came` by proxy and group.
//!
//! Public load reports carry no number. A report counts once, or not at all, by three marks:
//!
//! - its stream: only the newest of a proxy counts, what an older one still brings is over;
//! - its content: one that says the very same, to the nanosecond of its interval, as one of the last few of
//!   the same proxy is a copy, on whichever stream it comes. An idle proxy's empty reports may be alike; they
//!   tell nothing, so nothing is lost;
//! - its interval: all intervals of a proxy together can't be longer than the time since it began to report.
//!   What goes beyond that was counted before, out of order. Late reports fit, as their time has passed.
//!
//! What was counted is gathered over a period and passed on as so many lines a second at most, those that
//! have waited longest first; the rest goes on being summed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use wrenthread::types::{DemandStatistics, ProxyId, ReplicaId, ReplicaStatistics};

use crate::fleet::StreamId;

/// Copies come soon after: so many reports are remembered of each proxy.
const REMEMBERED: usize = 8;
/// Intervals and their way here are not exact: so much may be counted ahead of time.
const AHEAD: Duration = Duration::from_millis(1500);
/// An interval beyond this says nothing of the present.
const LONGEST: Duration = Duration::from_secs(300);
/// No proxy sends more than this between two reports; beyond it a counter went backwards and wrapped.
const MOST_TRIES: u64 = 1 << 40;

/// What a proxy met at one replica within the interval.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaObservation {
    pub class: usize,
    pub replica: ReplicaId,
    pub succeeded: u64,
    pub failed: u64,
    pub issued: u64,
    pub in_flight: u64,
    /// Sum of the answer times of the delivered ones that tell it, and their number.
    pub answers: (Duration, u64),
    /// The replica's latest word of its load, in the order of the settings' load fields.
    pub load: Vec<f64>,
}

/// One report of one proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    pub interval: Duration,
    pub observations: Vec<ReplicaObservation>,
    /// By group: flows that were blocked before any try.
    pub rejected: Vec<(usize, u64)>,
}

/// Why a report, or a line of one, did not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DiscardReason {
    #[error("from a proxy that has not joined")]
    NotJoined,
    #[error("from an older stream of the proxy")]
    OldStream,
    #[error("a copy of one counted before")]
    Copy,
    #[error("more time reported than has passed")]
    OutOfOrder,
    #[error("an interval of nothing, or longer than five minutes")]
    Interval,
    #[error("counters that can't be: more answered than tried, or beyond all bounds")]
    Counters,
    #[error("on a replica that is not listed")]
    Unlisted,
}

#[derive(Debug, Default)]
struct Source {
    stream: StreamId,
    since: Duration,
    covered: Duration,
    seen: VecDeque<u64>,
    /// The last report that counted, and when: to be handed over with the proxy.
    last: Option<(Duration, LoadReport)>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    ReplicaStatistics(usize, ReplicaId),
    DemandStatistics(ProxyId, usize),
}

#[derive(Debug, Default, Clone)]
struct Sum {
    tries: u64,
    dropped: u64,
    answers: (Duration, u64),
    load: Vec<f64>,
}

/// A line for the module.
#[derive(Debug, Clone, PartialEq)]
pub enum AggregatedStatistics {
    Replica(ReplicaStatistics),
    Demand(DemandStatistics),
}

#[derive(Debug)]
pub struct ReportAggregator {
    period: Duration,
    lines_per_s: f64,
    sources: BTreeMap<ProxyId, Source>,
    sums: BTreeMap<Key, Sum>,
    /// What waits, by since when.
    order: BTreeSet<(Duration, Key)>,
    last: BTreeMap<Key, Duration>,
    next: Option<Duration>,
    spare: f64,
    discarded: BTreeMap<DiscardReason, u64>,
    counted: u64,
}

impl ReportAggregator {
    /// `period`: how often sums are passed on; `lines_per_s`: how many lines a second at most.
    pub fn new(period: Duration, lines_per_s: f64) -> Self {
        ReportAggregator {
            period: period.max(Duration::from_millis(10)),
            lines_per_s,
            sources: BTreeMap::new(),
            sums: BTreeMap::new(),
            order: BTreeSet::new(),
            last: BTreeMap::new(),
            next: None,
            spare: 0.0,
            discarded: BTreeMap::new(),
            counted: 0,
        }
    }

    pub fn set_limit(&mut self, lines_per_s: f64) {
        self.lines_per_s = lines_per_s;
    }

    pub fn discard(&mut self, why: DiscardReason) -> DiscardReason {
        *self.discarded.entry(why).or_default() += 1;
        why
    }

    /// Reports thrown away, by why; and those that counted.
    pub fn tally(&self) -> (&BTreeMap<DiscardReason, u64>, u64) {
        (&self.discarded, self.counted)
    }

    /// A number goes to another proxy: what its former holder reported is over.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.sources.remove(&proxy);
        let gone = |key: &Key| matches!(key, Key::DemandStatistics(of, _) if *of == proxy);
        self.sums.retain(|key, _| !gone(key));
        self.order.retain(|(_, key)| !gone(key));
        self.last.retain(|key, _| !gone(key));
    }

    /// The last report of a proxy that counted, and when.
    pub fn last(&self, proxy: ProxyId) -> Option<&(Duration, LoadReport)> {
        self.sources.get(&proxy)?.last.as_ref()
    }

    /// Counts a report, but for its lines on replicas that `listed` does not know. Streams are numbered in
    /// the order in which they were opened.
    pub fn record(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        zone: usize,
        stream: StreamId,
        report: &LoadReport,
        listed: impl Fn(&ReplicaId) -> bool,
    ) -> Result<(), DiscardReason> {
        let verdict = self.judge(now, proxy, stream, report);
        if let Err(why) = verdict {
            return Err(self.discard(why));
        }
        self.counted += 1;
        if let Some(source) = self.sources.get_mut(&proxy) {
            source.last = Some((now, report.clone()));
        }
        let mut came: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        for (group, blocked) in &report.rejected {
            came.entry(*group).or_default().0 += blocked;
        }
        for met in &report.observations {
            let (flows, dropped) = came.entry(met.class).or_default();
            // A try of which nothing has come yet is a flow that came.
            *flows += met.issued.max(met.succeeded + met.failed);
            *dropped += met.failed;
            if !listed(&met.replica) {
                self.discard(DiscardReason::Unlisted);
                continue;
            }
            if met.succeeded + met.failed > 0 || !met.load.is_empty() {
                let sum = self.sum(now, Key::ReplicaStatistics(zone, met.replica.clone()));
                sum.tries += met.succeeded + met.failed;
                sum.dropped += met.failed;
                sum.answers.0 = sum.answers.0.saturating_add(met.answers.0);
                sum.answers.1 += met.answers.1;
                if !met.load.is_empty() {
                    sum.load = met.load.clone();
                }
            }
        }
        for (group, (flows, dropped)) in came {
            let sum = self.sum(now, Key::DemandStatistics(proxy, group));
            sum.tries += flows;
            sum.dropped += dropped;
        }
        self.next = self.next.or(Some(now + self.period));
        Ok(())
    }

    fn judge(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        stream: StreamId,
        report: &LoadReport,
    ) -> Result<(), DiscardReason> {
        if report.interval.is_zero() || report.interval > LONGEST {
            return Err(DiscardReason::Interval);
        }
        let since = now.saturating_sub(report.interval);
        let source = self.sources.entry(proxy).or_insert_with(|| Source { since, ..Source::default() });
        if stream < source.stream {
            return Err(DiscardReason::OldStream);
        }
        // What it met while its stream was broken comes on the next one: the account goes on.
        source.stream = stream;
        let odd = |met: &ReplicaObservation| {
            let most = met.succeeded.max(met.failed).max(met.issued);
            most > MOST_TRIES || met.answers.1 > met.succeeded || met.load.iter().any(|one| !one.is_finite())
        };
        if report.observations.iter().any(odd)
            || report.rejected.iter().any(|(_, blocked)| *blocked > MOST_TRIES)
        {
            return Err(DiscardReason::Counters);
        }
        let mark = digest(report);
        if source.seen.contains(&mark) {
            return Err(DiscardReason::Copy);
        }
        if source.covered + report.interval > now.saturating_sub(source.since) + AHEAD + report.interval / 2 {
            return Err(DiscardReason::OutOfOrder);
        }
        source.covered += report.interval;
        source.seen.push_back(mark);
        if source.seen.len() > REMEMBERED {
            source.seen.pop_front();
        }
        // An account that lags far behind would let copies of long ago in: what was never reported is given
        // up.
        let passed = now.saturating_sub(source.since);
        source.covered = source.covered.max(passed.saturating_sub(LONGEST));
        Ok(())
    }

    fn sum(&mut self, now: Duration, key: Key) -> &mut Sum {
        if !self.sums.contains_key(&key) {
            self.order.insert((now, key.clone()));
        }
        self.sums.entry(key).or_default()
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.next
    }

    /// Lines for the module, if a period is over.
    pub fn take_due(&mut self, now: Duration) -> Vec<AggregatedStatistics> {
        if self.next.is_none_or(|next| now < next) {
            return Vec::new();
        }
        let share = self.lines_per_s * self.period.as_secs_f64();
        // A share below one line adds up; what was not used is not saved for later.
        self.spare = self.spare.min(1.0) + share.min(1e9);
        let mut told = Vec::new();
        while self.spare >= 1.0 {
            let Some((since, key)) = self.order.pop_first() else { break };
            let sum = self.sums.remove(&key).unwrap_or_default();
            self.spare -= 1.0;
            let before = self.last.insert(key.clone(), now);
            // From the last line of its kind, but no more than a few periods before its first count: what was
            // not met at all in between would make the rate of what is met now look like nothing.
            let from = before.unwrap_or_default().max(since.saturating_sub(self.period));
            let span = now.saturating_sub(from).max(self.period);
            told.push(match key {
                Key::ReplicaStatistics(zone, replica) => AggregatedStatistics::Replica(ReplicaStatistics {
                    zone,
                    replica,
                    attempts: sum.tries,
                    failed: sum.dropped,
                    mean_latency: (sum.answers.1 > 0).then(|| sum.answers.0.div_f64(sum.answers.1 as f64)),
                    interval: span,
                    load: sum.load,
                }),
                Key::DemandStatistics(proxy, group) => AggregatedStatistics::Demand(DemandStatistics {
                    proxy,
                    class: group,
                    requests: sum.tries,
                    failed: sum.dropped,
                    interval: span,
                }),
            });
        }
        self.last.retain(|_, at| *at + LONGEST > now);
        self.next = Some(now + self.period).filter(|_| !self.order.is_empty());
        told
    }

    /// Lines that wait for their turn.
    pub fn queued_entries(&self) -> usize {
        self.order.len()
    }
}

fn digest(report: &LoadReport) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.interval.hash(&mut hasher);
    report.rejected.hash(&mut hasher);
    for met in &report.observations {
        (met.class, &met.replica, met.succeeded, met.failed, met.issued, met.in_flight).hash(&mut hasher);
        met.answers.hash(&mut hasher);
        met.load.iter().for_each(|one| one.to_bits().hash(&mut hasher));
    }
    hasher.finish()
}

#[cfg(test)]
mod tests;
