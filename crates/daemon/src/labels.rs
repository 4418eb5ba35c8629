//! The labels of internal enum variants in metrics, status and `--output json`. Scrapers and scripts depend on them: a
//! variant may be renamed, its label may not.

use wrenthread_core::engine::Cause;
use wrenthread_core::guard::{RefusalOutcome, RefusalReason};
use wrenthread_core::recording::RecordedPhase;

#[cfg(test)]
mod tests;

/// The label `reason` of the metric that counts refusals.
pub fn refusal_reason(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoRoute => "Bare",
        RefusalReason::AllEntriesClosed => "Draining",
        RefusalReason::NoRouteInZone => "ZoneBare",
        RefusalReason::OutOfZone => "OutOfZone",
        RefusalReason::InvalidWeight => "Weight",
        RefusalReason::WeightRatio => "Wire",
        RefusalReason::InvalidAdmissionFraction => "Level",
        RefusalReason::UnsafeRetryPolicy => "Tries",
        RefusalReason::TooManyDecisions => "Flood",
        RefusalReason::TooManyEjections => "Withdrawn",
        RefusalReason::ColdOverload => "Cold",
        RefusalReason::WarmOverload => "Over",
        RefusalReason::ShiftTooLarge => "Sweep",
        RefusalReason::TooManyEntries => "Lines",
    }
}

/// The field `done` of refusals: what the guard did about a change that it refused.
pub fn refusal_outcome(outcome: RefusalOutcome) -> &'static str {
    match outcome {
        RefusalOutcome::Corrected => "corrected",
        RefusalOutcome::Kept => "kept",
        RefusalOutcome::LastResort => "lastresort",
        RefusalOutcome::LetThrough => "letthrough",
    }
}

/// The phase of a replica in rosters and import reports.
pub fn replica_phase(phase: RecordedPhase) -> &'static str {
    match phase {
        RecordedPhase::Ready => "ready",
        RecordedPhase::Draining => "draining",
        RecordedPhase::Gone => "gone",
    }
}

/// The cause of a decision in the log.
pub fn cause(cause: &Cause) -> &'static str {
    match cause {
        Cause::Tick => "timer",
        Cause::Roster => "roster",
        Cause::Reports => "reports",
        Cause::ProxyConnected => "proxy connected",
        Cause::ProxyDisconnected => "proxy disconnected",
        Cause::Acknowledged => "acknowledgement",
        Cause::HealthChecked => "health check",
    }
}
