//! How late statistics come.

use std::collections::BTreeMap;
use std::time::Duration;

use super::arithmetic::get_or_default;

/// How late statistics come.
#[derive(Default)]
pub(super) struct ReportTiming {
    /// How long statistics wait behind others before they come.
    pub(super) delay: Duration,
    /// The shortest interval that statistics were summed over since the delay was last estimated.
    pub(super) shortest_interval: Option<Duration>,
    /// By zone: when statistics of replicas last came.
    pub(super) last_by_zone: BTreeMap<usize, Duration>,
}

impl ReportTiming {
    pub(super) fn record_interval(&mut self, interval: Duration) {
        let shortest = self.shortest_interval.map_or(interval, |shortest| shortest.min(interval));
        self.shortest_interval = Some(shortest);
    }

    /// What is busy has statistics as soon as it can, so the shortest interval tells how long they wait; that
    /// of what is rarely used is longer.
    pub(super) fn update_delay(&mut self, report_interval: Duration) {
        if let Some(shortest) = self.shortest_interval.take() {
            self.delay = shortest.saturating_sub(report_interval);
        }
    }

    pub(super) fn last_report(&self, zone: usize) -> Duration {
        get_or_default(&self.last_by_zone, &zone)
    }
}
