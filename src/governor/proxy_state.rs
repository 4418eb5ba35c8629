//! What is known of one connected proxy.

use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::tables::RouteScope;
use crate::types::{ClassSet, DemandStatistics};

/// The longest averaging of a rare class's rate, in multiples of the usual one.
const MAX_AVERAGING_FACTOR: f64 = 12.0;
/// A rate is averaged over this many requests at least: over fewer, chance would look like change.
const MIN_AVERAGED_REQUESTS: f64 = 4.0;

/// What default tables were sampled from: the replicas of a zone that were listed by then. Which of them a
/// table names is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DefaultTableSample {
    pub(super) roster_at: Duration,
    pub(super) zone: usize,
}

/// What is known of one connected proxy.
pub(super) struct ProxyState {
    pub(super) zone: usize,
    /// By class: requests received a second, those that are not admitted among them.
    pub(super) request_rates: Vec<f64>,
    pub(super) connected_at: Duration,
    /// By class: the time of its last statistics. There are none for an interval without a request.
    pub(super) last_reports: Vec<Duration>,
    /// The default table that it follows; none once it follows dedicated ones.
    pub(super) default_table: Option<DefaultTableSample>,
    /// What it holds is not known: it must be given tables before anything can be said of it.
    pub(super) unsynchronised: bool,
}

impl ProxyState {
    /// Averages a report into the class's rate.
    pub(super) fn record_demand(&mut self, now: Duration, report: &DemandStatistics, averaging_seconds: f64) {
        let last_report = std::mem::replace(&mut self.last_reports[report.class], now);
        let rate = &mut self.request_rates[report.class];
        // A report's interval may be cut short, and silence has no report: both would look like more
        // requests.
        let interval = report.interval.max(now.saturating_sub(last_report)).as_secs_f64().max(0.001);
        let longest = MAX_AVERAGING_FACTOR * averaging_seconds;
        let averaging_seconds = ratio(MIN_AVERAGED_REQUESTS, *rate).clamp(averaging_seconds, longest);
        *rate += (report.requests as f64 / interval - *rate) * (1.0 - (-interval / averaging_seconds).exp());
    }

    pub(super) fn follows_default_table(&self) -> bool {
        self.default_table.is_some()
    }
}

impl Governor {
    /// Requests a second that a proxy receives and admits, of some classes.
    pub(super) fn admitted_demand(&self, proxy: &ProxyState, classes: ClassSet) -> f64 {
        let rates = proxy.request_rates.iter().zip(&self.admission.classes).enumerate();
        rates
            .filter(|(class, _)| classes >> (*class).min(63) & 1 == 1)
            .map(|(_, (rate, admission))| rate * admission.fraction)
            .sum()
    }

    /// Requests a second that a proxy receives and admits.
    pub(super) fn total_admitted_demand(&self, proxy: &ProxyState) -> f64 {
        self.admitted_demand(proxy, ClassSet::MAX)
    }

    /// Requests a second that a proxy receives and admits, of the classes of one scope.
    pub(super) fn scoped_demand(&self, proxy: &ProxyState, scope: RouteScope) -> f64 {
        self.admitted_demand(proxy, self.parameters.classes.in_scope(scope))
    }
}
