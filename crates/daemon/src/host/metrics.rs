//! Names of the metrics, and the gauges that are updated on each scrape.

use std::time::Duration;

use metrics::gauge;

use super::Host;

// Counters.
pub const ROSTERS: &str = "wrenthread_rosters_total";
pub const JOINS_REFUSED: &str = "wrenthread_joins_refused_total";
pub const VERSIONS_REJECTED: &str = "wrenthread_nacks_total";
pub const REPORTS: &str = "wrenthread_reports_total";
pub const REPORTS_DISCARDED: &str = "wrenthread_reports_discarded_total";
pub const REPORT_ENTRIES_UNKNOWN: &str = "wrenthread_report_lines_unknown_total";
pub const TAKEOVERS: &str = "wrenthread_taken_over_total";
pub const PROOFS_INVALID: &str = "wrenthread_claims_unproven_total";
pub const TABLES_MIGRATED: &str = "wrenthread_handed_over_total";
pub const STREAMS_FULL: &str = "wrenthread_stalls_total";
pub const ENTRIES_SENT: &str = "wrenthread_lines_sent_total";
pub const RESPONSES_SENT: &str = "wrenthread_responses_total";
pub const EJECTIONS: &str = "wrenthread_withdrawals_total";
pub const REFUSALS: &str = "wrenthread_refusals_total";

// Labels.
pub const DISCARD_REASON_LABEL: &str = "why";
pub const REFUSAL_REASON_LABEL: &str = "reason";
const CLASS_LABEL: &str = "group";

// Gauges.
const PROXIES_CONNECTED: &str = "wrenthread_proxies_joined";
const JOINS_QUEUED: &str = "wrenthread_proxies_in_lobby";
const ENTRIES_QUEUED: &str = "wrenthread_lines_waiting";
const HISTORY_ENTRIES: &str = "wrenthread_history_lines";
const GUARD_ALARMS: &str = "wrenthread_guard_alarms";
const GUARD_PASSED: &str = "wrenthread_guard_passed";
const FROZEN_TABLES: &str = "wrenthread_holds";
const GOVERNORS_REACHABLE: &str = "wrenthread_governors_there";
const DRAINING: &str = "wrenthread_draining";
const PROXIES_REDIRECTED: &str = "wrenthread_proxies_sent_on";
const DATAGRAMS_IGNORED: &str = "wrenthread_datagrams_unheard";
const VERSION: &str = "wrenthread_version";
const REPORT_ENTRIES_QUEUED: &str = "wrenthread_report_lines_waiting";
const ADMISSION_FRACTION: &str = "wrenthread_level";
const ACKNOWLEDGEMENT_DELAY: &str = "wrenthread_lag_seconds";

impl Host {
    /// Sets the gauges to their current values.
    pub fn update_gauges(&self, now: Duration) {
        self.update_engine_gauges(now);
        self.update_membership_gauges();
        for (class, (admission_fraction, _)) in self.wire.classes.iter().zip(self.engine.admission()) {
            gauge!(ADMISSION_FRACTION, CLASS_LABEL => class.name.clone()).set(*admission_fraction);
        }
        let delays = self.engine.fleet().iter().map(|(_, proxy)| proxy.acknowledgement_delay(now));
        gauge!(ACKNOWLEDGEMENT_DELAY).set(delays.max().unwrap_or_default().as_secs_f64());
    }

    fn update_engine_gauges(&self, now: Duration) {
        let status = self.engine.status(now);
        let guard = self.engine.guard();
        gauge!(PROXIES_CONNECTED).set(status.connected_proxies as f64);
        gauge!(JOINS_QUEUED).set(status.queued_joins as f64);
        gauge!(ENTRIES_QUEUED).set(status.queued_entries as f64);
        gauge!(HISTORY_ENTRIES).set(status.history_entries as f64);
        gauge!(GUARD_ALARMS).set(guard.alarms(now) as f64);
        gauge!(GUARD_PASSED).set(guard.counts().1 as f64);
        gauge!(FROZEN_TABLES).set(status.frozen_tables as f64);
        gauge!(VERSION).set(status.version as f64);
        gauge!(REPORT_ENTRIES_QUEUED).set(status.queued_reports as f64);
    }

    fn update_membership_gauges(&self) {
        let statistics = self.membership.statistics();
        gauge!(GOVERNORS_REACHABLE).set(self.membership.members().live_governors() as f64);
        gauge!(DRAINING).set(f64::from(u8::from(self.membership.is_draining())));
        gauge!(PROXIES_REDIRECTED).set(statistics.proxies_moved as f64);
        gauge!(DATAGRAMS_IGNORED).set(statistics.datagrams_rejected as f64);
    }
}
