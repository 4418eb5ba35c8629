//! Estimates the delay of statistics reports.
use std::collections::BTreeMap;
use std::time::Duration;

use super::arithmetic::get_or_default;

/// The delay of statistics reports.
#[derive(Default)]
pub(super) struct ReportTiming {
    /// How long statistics are queued before they are received.
    pub(super) delay: Duration,
    /// The shortest interval covered by statistics since the delay was last estimated.
    pub(super) shortest_interval: Option<Duration>,
    /// Time of the latest replica statistics, by zone.
    pub(super) last_by_zone: BTreeMap<usize, Duration>,
}

impl ReportTiming {
    pub(super) fn record_interval(&mut self, interval: Duration) {
        let shortest = self.shortest_interval.map_or(interval, |shortest| shortest.min(interval));
        self.shortest_interval = Some(shortest);
    }

    /// Estimates the delay by the shortest interval: busy replicas and proxies are reported as often as
    /// possible, whereas rarely used ones have longer intervals without being delayed.
    pub(super) fn update_delay(&mut self, report_interval: Duration) {
        if let Some(shortest) = self.shortest_interval.take() {
            self.delay = shortest.saturating_sub(report_interval);
        }
    }

    pub(super) fn last_report(&self, zone: usize) -> Duration {
        get_or_default(&self.last_by_zone, &zone)
    }
}
