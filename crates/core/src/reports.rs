//! Load reports, aggregated for the module: statistics by zone and replica, and demand by proxy and traffic
//! class.
//!
//! Public load report protocols have no sequence numbers. Three properties ensure that a report is counted at
//! most once:
//!
//! - its stream: only reports on the newest stream of a proxy count; late ones on an older stream are discarded;
//! - its content: a report equal to one of the last few of the same proxy, including its interval to the
//!   nanosecond, is a copy, on whichever stream it arrives. Empty reports of an idle proxy may be equal by
//!   chance; they contain nothing, so nothing is lost;
//! - its interval: the sum of a proxy's intervals can't exceed the time since it began to report. A report
//!   beyond that repeats time that was counted before, out of order. Late reports fit, as their time has
//!   passed.
//!
//! Counted reports are aggregated over a period and passed on at a limited rate of entries per second, those
//! that have waited longest first; the others continue to be aggregated.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use wrenthread::types::{DemandStatistics, ProxyId, ReplicaId, ReplicaStatistics};

use crate::fleet::StreamId;

/// The number of reports of each proxy that are remembered to detect copies, which arrive soon after the
/// original.
const REMEMBERED_REPORTS: usize = 8;
/// Intervals and transmission delays vary: this much time may be counted in advance.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(1500);
/// A report with a longer interval says nothing about the current state.
const MAX_INTERVAL: Duration = Duration::from_secs(300);
/// No proxy sends more attempts than this between two reports; a larger value means that a counter went
/// backwards and wrapped.
const MAX_ATTEMPTS: u64 = 1 << 40;
/// The maximum number of entries passed on per period.
const MAX_ALLOWANCE: f64 = 1e9;

/// A proxy's observations of one replica within the interval.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaObservation {
    /// The traffic class.
    pub class: usize,
    /// The replica.
    pub replica: ReplicaId,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts that were sent.
    pub issued: u64,
    /// Attempts without an outcome yet.
    pub in_flight: u64,
    /// The sum of the latencies of successful attempts that report one, and the number of those attempts.
    pub latency_sum_and_count: (Duration, u64),
    /// The replica's latest load fields, in the order of the settings.
    pub load: Vec<f64>,
}

/// A load report of a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// The time that it covers.
    pub interval: Duration,
    /// Observations by traffic class and replica.
    pub observations: Vec<ReplicaObservation>,
    /// By traffic class: the number of requests rejected before any attempt.
    pub rejected: Vec<(usize, u64)>,
}

/// Why a report, or one of its observations, was discarded. The texts are keys in the status JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DiscardReason {
    /// The proxy is not connected.
    #[error("from a proxy that has not joined")]
    NotJoined,
    /// A newer stream of the proxy has reported.
    #[error("from an older stream of the proxy")]
    OldStream,
    /// The report was counted before.
    #[error("a copy of one counted before")]
    Copy,
    /// Its interval was counted before.
    #[error("more time reported than has passed")]
    OutOfOrder,
    /// The interval is not valid.
    #[error("an interval of nothing, or longer than five minutes")]
    Interval,
    /// The counters are not valid.
    #[error("counters that can't be: more answered than tried, or beyond all bounds")]
    Counters,
    /// The observation is of a replica that is not listed.
    #[error("on a replica that is not listed")]
    Unlisted,
}

#[derive(Debug, Default)]
struct Source {
    /// The id of its newest stream.
    stream: StreamId,
    /// When it began to report.
    since: Duration,
    /// The sum of its intervals.
    covered: Duration,
    /// The digests of its last reports.
    recent_digests: VecDeque<u64>,
    /// The last counted report and its time, to hand over with the proxy.
    last: Option<(Duration, LoadReport)>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    ReplicaStatistics(usize, ReplicaId),
    DemandStatistics(ProxyId, usize),
}

/// The requests of one report for a traffic class.
#[derive(Debug, Default)]
struct Demand {
    requests: u64,
    failed: u64,
}

/// The counts since the last statistics of the same kind.
#[derive(Debug, Default, Clone)]
struct Aggregate {
    attempts: u64,
    failed: u64,
    latency_sum: Duration,
    latency_count: u64,
    load: Vec<f64>,
}

/// Aggregated statistics to pass to the module.
#[derive(Debug, Clone, PartialEq)]
pub enum AggregatedStatistics {
    /// The statistics of a replica, observed by the proxies of one zone.
    Replica(ReplicaStatistics),
    /// The demand of a traffic class of a proxy.
    Demand(DemandStatistics),
}

/// Counts reports and aggregates them for the module.
#[derive(Debug)]
pub struct ReportAggregator {
    period: Duration,
    entries_per_second: f64,
    sources: BTreeMap<ProxyId, Source>,
    aggregates: BTreeMap<Key, Aggregate>,
    /// The waiting aggregates, ordered by the time of their first count.
    queue: BTreeSet<(Duration, Key)>,
    last: BTreeMap<Key, Duration>,
    next: Option<Duration>,
    budget: f64,
    discarded: BTreeMap<DiscardReason, u64>,
    counted: u64,
}

impl ReportAggregator {
    /// `period`: the interval at which aggregates are passed on; `entries_per_second`: the maximum rate of
    /// entries.
    pub fn new(period: Duration, entries_per_second: f64) -> Self {
        ReportAggregator {
            period: period.max(Duration::from_millis(10)),
            entries_per_second,
            sources: BTreeMap::new(),
            aggregates: BTreeMap::new(),
            queue: BTreeSet::new(),
            last: BTreeMap::new(),
            next: None,
            budget: 0.0,
            discarded: BTreeMap::new(),
            counted: 0,
        }
    }

    /// Sets the maximum number of entries passed on per second.
    pub fn set_limit(&mut self, entries_per_second: f64) {
        self.entries_per_second = entries_per_second;
    }

    /// Counts a report or an observation as discarded, and returns the reason.
    pub fn discard(&mut self, why: DiscardReason) -> DiscardReason {
        *self.discarded.entry(why).or_default() += 1;
        why
    }

    /// The number of discarded reports and observations by reason, and the number of counted reports.
    pub fn tally(&self) -> (&BTreeMap<DiscardReason, u64>, u64) {
        (&self.discarded, self.counted)
    }

    /// Drops the reports of a proxy whose id is assigned to another one.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.sources.remove(&proxy);
        let gone = |key: &Key| matches!(key, Key::DemandStatistics(of, _) if *of == proxy);
        self.aggregates.retain(|key, _| !gone(key));
        self.queue.retain(|(_, key)| !gone(key));
        self.last.retain(|key, _| !gone(key));
    }

    /// The last counted report of a proxy and its time.
    pub fn last(&self, proxy: ProxyId) -> Option<&(Duration, LoadReport)> {
        self.sources.get(&proxy)?.last.as_ref()
    }

    /// Counts a report, except for its observations of replicas that are not `listed`. Stream ids increase in
    /// the order of opening.
    ///
    /// # Errors
    /// The reason why the report was discarded.
    pub fn record(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        zone: usize,
        stream: StreamId,
        report: &LoadReport,
        listed: impl Fn(&ReplicaId) -> bool,
    ) -> Result<(), DiscardReason> {
        if let Err(reason) = self.check(now, proxy, stream, report) {
            return Err(self.discard(reason));
        }
        self.counted += 1;
        if let Some(source) = self.sources.get_mut(&proxy) {
            source.last = Some((now, report.clone()));
        }
        let mut demand_by_class: BTreeMap<usize, Demand> = BTreeMap::new();
        for (class, rejected) in &report.rejected {
            demand_by_class.entry(*class).or_default().requests += rejected;
        }
        for observation in &report.observations {
            let attempts = observation.succeeded + observation.failed;
            let demand = demand_by_class.entry(observation.class).or_default();
            // An attempt without an outcome yet also stands for a received request.
            demand.requests += observation.issued.max(attempts);
            demand.failed += observation.failed;
            if listed(&observation.replica) {
                self.add_observation(now, zone, observation);
            } else {
                self.discard(DiscardReason::Unlisted);
            }
        }
        for (class, demand) in demand_by_class {
            let aggregate = self.aggregate(now, Key::DemandStatistics(proxy, class));
            aggregate.attempts += demand.requests;
            aggregate.failed += demand.failed;
        }
        self.next = self.next.or(Some(now + self.period));
        Ok(())
    }

    fn add_observation(&mut self, now: Duration, zone: usize, observation: &ReplicaObservation) {
        let attempts = observation.succeeded + observation.failed;
        if attempts == 0 && observation.load.is_empty() {
            return;
        }
        let aggregate = self.aggregate(now, Key::ReplicaStatistics(zone, observation.replica.clone()));
        aggregate.attempts += attempts;
        aggregate.failed += observation.failed;
        let (latency_sum, latency_count) = observation.latency_sum_and_count;
        aggregate.latency_sum = aggregate.latency_sum.saturating_add(latency_sum);
        aggregate.latency_count += latency_count;
        if !observation.load.is_empty() {
            aggregate.load = observation.load.clone();
        }
    }

    /// Checks whether a report may be counted.
    fn check(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        stream: StreamId,
        report: &LoadReport,
    ) -> Result<(), DiscardReason> {
        if report.interval.is_zero() || report.interval > MAX_INTERVAL {
            return Err(DiscardReason::Interval);
        }
        let since = now.saturating_sub(report.interval);
        let source = self.sources.entry(proxy).or_insert_with(|| Source { since, ..Source::default() });
        if stream < source.stream {
            return Err(DiscardReason::OldStream);
        }
        // Observations from while the stream was broken arrive on the next one, so the covered time
        // continues.
        source.stream = stream;
        if report.observations.iter().any(has_impossible_counters)
            || report.rejected.iter().any(|(_, rejected)| *rejected > MAX_ATTEMPTS)
        {
            return Err(DiscardReason::Counters);
        }
        let digest = digest(report);
        if source.recent_digests.contains(&digest) {
            return Err(DiscardReason::Copy);
        }
        if source.covered + report.interval
            > now.saturating_sub(source.since) + CLOCK_TOLERANCE + report.interval / 2
        {
            return Err(DiscardReason::OutOfOrder);
        }
        source.covered += report.interval;
        source.recent_digests.push_back(digest);
        if source.recent_digests.len() > REMEMBERED_REPORTS {
            source.recent_digests.pop_front();
        }
        // If the covered time lagged far behind, old copies could be counted: time that was never reported is
        // written off.
        let passed = now.saturating_sub(source.since);
        source.covered = source.covered.max(passed.saturating_sub(MAX_INTERVAL));
        Ok(())
    }

    fn aggregate(&mut self, now: Duration, key: Key) -> &mut Aggregate {
        if !self.aggregates.contains_key(&key) {
            self.queue.insert((now, key.clone()));
        }
        self.aggregates.entry(key).or_default()
    }

    /// When to call [`ReportAggregator::take_due`] next.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.next
    }

    /// Returns statistics for the module if a period has ended.
    pub fn take_due(&mut self, now: Duration) -> Vec<AggregatedStatistics> {
        if self.next.is_none_or(|next| now < next) {
            return Vec::new();
        }
        let allowance = self.entries_per_second * self.period.as_secs_f64();
        // Allowances below one entry add up; unused larger ones are not saved.
        self.budget = self.budget.min(1.0) + allowance.min(MAX_ALLOWANCE);
        let mut due = Vec::new();
        while self.budget >= 1.0 {
            let Some((since, key)) = self.queue.pop_first() else { break };
            self.budget -= 1.0;
            let aggregate = self.aggregates.remove(&key).unwrap_or_default();
            let interval = self.interval(now, since, &key);
            due.push(aggregate.into_statistics(key, interval));
        }
        self.last.retain(|_, at| *at + MAX_INTERVAL > now);
        self.next = Some(now + self.period).filter(|_| !self.queue.is_empty());
        due
    }

    /// The interval that an aggregate covers, ending now.
    ///
    /// It begins at the last statistics of the same key, but no more than one period before the first count:
    /// a time without any counts would make the current rate look like zero.
    fn interval(&mut self, now: Duration, since: Duration, key: &Key) -> Duration {
        let previous = self.last.insert(key.clone(), now).unwrap_or_default();
        let from = previous.max(since.saturating_sub(self.period));
        now.saturating_sub(from).max(self.period)
    }

    /// The number of statistics that wait to be passed on.
    pub fn queued_entries(&self) -> usize {
        self.queue.len()
    }
}

fn has_impossible_counters(observation: &ReplicaObservation) -> bool {
    let largest = observation.succeeded.max(observation.failed).max(observation.issued);
    let (_, latency_count) = observation.latency_sum_and_count;
    largest > MAX_ATTEMPTS
        || latency_count > observation.succeeded
        || observation.load.iter().any(|field| !field.is_finite())
}

impl Aggregate {
    fn into_statistics(self, key: Key, interval: Duration) -> AggregatedStatistics {
        match key {
            Key::ReplicaStatistics(zone, replica) => AggregatedStatistics::Replica(ReplicaStatistics {
                zone,
                replica,
                attempts: self.attempts,
                failed: self.failed,
                mean_latency: (self.latency_count > 0)
                    .then(|| self.latency_sum.div_f64(self.latency_count as f64)),
                interval,
                load: self.load,
            }),
            Key::DemandStatistics(proxy, class) => AggregatedStatistics::Demand(DemandStatistics {
                proxy,
                class,
                requests: self.attempts,
                failed: self.failed,
                interval,
            }),
        }
    }
}

/// A hash that is equal for copies of a report. It is valid within one process only.
fn digest(report: &LoadReport) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.interval.hash(&mut hasher);
    report.rejected.hash(&mut hasher);
    for observation in &report.observations {
        observation.class.hash(&mut hasher);
        observation.replica.hash(&mut hasher);
        observation.succeeded.hash(&mut hasher);
        observation.failed.hash(&mut hasher);
        observation.issued.hash(&mut hasher);
        observation.in_flight.hash(&mut hasher);
        observation.latency_sum_and_count.hash(&mut hasher);
        observation.load.iter().for_each(|field| field.to_bits().hash(&mut hasher));
    }
    hasher.finish()
}

#[cfg(test)]
mod tests;
