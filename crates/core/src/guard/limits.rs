//! What the guard is given at its start, and its constants. Where they come from is in `docs/design/guard.md`.

use std::time::Duration;

/// A cold replica may be brought so many times its present part, by the ledger: the ledger holds means, and is
/// half a second old. Where it fails is beyond that.
pub const COLD_MARGIN: f64 = 2.0;
/// It fails at so many times its part (the rehearsals' workers do).
pub(super) const COLD_FAILURE: f64 = 2.5;
/// Means say nothing of chance, and few requests come in bursts: of those that come in a second so many standard
/// deviations more must stay below the failure point. *Harm:* fractions of a cold replica are cut that would have
/// been borne, where its part is a few requests a second; never below [`MIN_COLD_MARGIN`].
const BURST_DEVIATIONS: f64 = 2.0;
/// So many times its part it may always be brought: the module works near that.
const MIN_COLD_MARGIN: f64 = 1.6;
/// Chance is heeded where the proxies here are nearly all there are: all governors' proxies have at most so many
/// times the demand. A governor with a part of them has most in one zone, whose cold replicas it rightly sends more
/// than their even part of its own requests: it may, up to the failure point.
pub(super) const NEARLY_ALL: f64 = 1.2;
/// A warm replica may be brought so many times what is known that it can take, if the others have capacity.
pub const WARM_MARGIN: f64 = 3.0;
/// The fraction of all requests that may change replicas at once without a cause that asks for it.
pub const AT_ONCE: f64 = 0.5;
/// A change held back for being too much at once is carried out after so long: a guard that is wrong must not
/// freeze a fleet.
pub const HELD_FOR: Duration = Duration::from_secs(5);
/// A refusal that lasts so long is an alarm.
pub const ALARM: Duration = Duration::from_secs(10);
/// The fraction of the ready capacity that the module's ejections must leave.
pub(super) const MIN_CAPACITY_LEFT: f64 = 0.2;
/// Weights further apart than this can't be written on the wire without moving others ([`crate::weights`]).
pub(super) const MAX_WEIGHT_RATIO: f64 = 4e6;
/// An entry's weight is made no smaller than this fraction of the table's mean.
pub(super) const MIN_WEIGHT: f64 = 0.02;
/// Passes over the replicas that are overloaded: what one gives up goes to others.
pub(super) const MAX_PASSES: usize = 8;

/// What the guard is given at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct GuardLimits {
    /// The fraction of its capacity that a replica has at its start.
    pub initial_capacity_fraction: f64,
    /// How long until it has all.
    pub slow_start_duration: Duration,
    /// Proxies of all governors together.
    pub proxy_count: usize,
    /// Table entries that one change may have.
    pub max_entries: f64,
    /// By traffic class: whether its requests may only go to replicas in the proxy's own zone.
    pub same_zone_only: Vec<bool>,
    /// By traffic class: whether a request that may have run must never be attempted again.
    pub not_idempotent: Vec<bool>,
}

impl GuardLimits {
    pub(super) fn class_count(&self) -> usize {
        self.same_zone_only.len()
    }

    pub(super) fn is_same_zone_only(&self, class: usize) -> bool {
        self.same_zone_only.get(class).copied().unwrap_or(false)
    }

    pub(super) fn is_not_idempotent(&self, class: usize) -> bool {
        self.not_idempotent.get(class).copied().unwrap_or(false)
    }
}

/// Requests a second that a cold replica may be brought whose part is `part`: with what chance adds they stay
/// below its failure point.
pub(super) fn allowed_cold_load(part: f64) -> f64 {
    let half = BURST_DEVIATIONS / 2.0;
    let root = (BURST_DEVIATIONS * BURST_DEVIATIONS / 4.0 + COLD_FAILURE * part).sqrt() - half;
    (root * root).clamp(MIN_COLD_MARGIN * part, COLD_MARGIN * part)
}
