//! The state of one connected proxy.
use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::tables::RouteScope;
use crate::types::{ClassSet, DemandStatistics};

/// Maximum averaging time of a rare class's request rate, as a multiple of the usual averaging time.
const MAX_AVERAGING_FACTOR: f64 = 12.0;
/// Minimum number of requests that a request rate is averaged over: with fewer, random variation would look
/// like change.
const MIN_AVERAGED_REQUESTS: f64 = 4.0;

/// The set of replicas that default tables were sampled from: those of a zone that were listed at a time. It
/// is not known which of them a table contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DefaultTableSample {
    pub(super) roster_at: Duration,
    pub(super) zone: usize,
}

/// What is known of the replicas in a default table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DefaultTableContents {
    /// Replicas of its sample; which ones is not known.
    Sampled,
    /// As [`DefaultTableContents::Sampled`], and possibly replicas that were gone before this governor's first
    /// roster. Proxies can't be told to avoid those, as their names are not known.
    Unverified,
    /// This governor sent it, so it is in [`Governor::sent_tables`].
    Sent,
}

/// A default table that a proxy follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DefaultTable {
    pub(super) sample: DefaultTableSample,
    pub(super) contents: DefaultTableContents,
}

/// The state of one connected proxy.
pub(super) struct ProxyState {
    pub(super) zone: usize,
    /// Requests received per second, including those that are not admitted, by class.
    pub(super) request_rates: Vec<f64>,
    pub(super) connected_at: Duration,
    /// Time of the last statistics, by class. An interval without requests has no statistics.
    pub(super) last_reports: Vec<Duration>,
    /// The default table that it follows; `None` once it follows dedicated tables.
    pub(super) default_table: Option<DefaultTable>,
    /// The tables that it holds are not known, so it must be sent new ones.
    pub(super) unsynchronised: bool,
}

impl ProxyState {
    /// Updates the moving average of the class's request rate.
    pub(super) fn record_demand(&mut self, now: Duration, report: &DemandStatistics, averaging_seconds: f64) {
        let last_report = std::mem::replace(&mut self.last_reports[report.class], now);
        let rate = &mut self.request_rates[report.class];
        // A report may cover only part of the time since the previous one, as there are none for intervals
        // without requests. Its own interval would then overestimate the rate.
        let interval = report.interval.max(now.saturating_sub(last_report)).as_secs_f64().max(0.001);
        let longest = MAX_AVERAGING_FACTOR * averaging_seconds;
        let averaging_seconds = ratio(MIN_AVERAGED_REQUESTS, *rate).clamp(averaging_seconds, longest);
        *rate += (report.requests as f64 / interval - *rate) * (1.0 - (-interval / averaging_seconds).exp());
    }

    /// The replicas that its default table was sampled from, if it follows one.
    pub(super) fn default_sample(&self) -> Option<DefaultTableSample> {
        self.default_table.map(|table| table.sample)
    }

    /// Whether this governor has sent it all the tables that it uses.
    pub(super) fn has_sent_tables(&self) -> bool {
        let sent = |table: DefaultTable| table.contents == DefaultTableContents::Sent;
        !self.unsynchronised && self.default_table.is_none_or(sent)
    }

    /// Whether its default table may contain replicas that this governor has never known.
    pub(super) fn is_unverified(&self) -> bool {
        self.default_table.is_some_and(|table| table.contents == DefaultTableContents::Unverified)
    }
}

impl Governor {
    /// Requests per second of the given classes that a proxy receives and admits.
    pub(super) fn admitted_demand(&self, proxy: &ProxyState, classes: ClassSet) -> f64 {
        let rates = proxy.request_rates.iter().zip(&self.admission.classes).enumerate();
        rates
            .filter(|(class, _)| classes >> (*class).min(63) & 1 == 1)
            .map(|(_, (rate, admission))| rate * admission.fraction)
            .sum()
    }

    /// Requests per second that a proxy receives and admits.
    pub(super) fn total_admitted_demand(&self, proxy: &ProxyState) -> f64 {
        self.admitted_demand(proxy, ClassSet::MAX)
    }

    /// Requests per second of the classes of one scope that a proxy receives and admits.
    pub(super) fn scoped_demand(&self, proxy: &ProxyState, scope: RouteScope) -> f64 {
        self.admitted_demand(proxy, self.parameters.classes.in_scope(scope))
    }
}
