//! The guard's parameters and constants. `docs/design/guard.md` explains how the values were chosen.

use std::time::Duration;

/// Factor by which the load of a cold replica may exceed its current share, by the ledger. The ledger holds
/// means and lags by half a second, so the factor stays below `COLD_FAILURE`.
pub const COLD_MARGIN: f64 = 2.0;
/// Factor of its share at which a cold replica fails, as the replicas in rehearsals do.
pub(super) const COLD_FAILURE: f64 = 2.5;
/// The ledger holds means, but few requests come in bursts: the expected requests of a second plus this many
/// standard deviations must stay below the failure point. *Harm:* where the share of a cold replica is only a
/// few requests per second, it is limited to less than it could take, though never below [`MIN_COLD_MARGIN`].
const BURST_DEVIATIONS: f64 = 2.0;
/// Factor of its share that a cold replica may always get: the decision module works close to that.
const MIN_COLD_MARGIN: f64 = 1.6;
/// Bursts are taken into account only where this governor has nearly all proxies: where the demand of all
/// governors together is at most this many times its own. A governor with a part of the proxies has most of
/// them in one zone, and rightly sends the cold replicas of that zone more than their even share of its own
/// requests: it may, up to the failure point.
pub(super) const MAX_TOTAL_TO_LOCAL: f64 = 1.2;
/// Factor by which the load of a warm replica may exceed its known capacity, provided that the others have
/// capacity left.
pub const WARM_MARGIN: f64 = 3.0;
/// The fraction of all requests that may move to other replicas at once without a cause that requires it.
pub const MAX_SHIFTED_FRACTION: f64 = 0.5;
/// A change that was held back because it moves too much at once is carried out after this time, so that a
/// mistake of the guard can't block all changes of a fleet.
pub const MAX_HOLD_BACK: Duration = Duration::from_secs(5);
/// A refusal that lasts for this time raises an alarm.
pub const ALARM_AFTER: Duration = Duration::from_secs(10);
/// The fraction of the ready capacity that the module's ejections must leave.
pub(super) const MIN_CAPACITY_LEFT: f64 = 0.2;
/// Largest ratio of two weights that the wire format can express without changing other weights
/// ([`crate::weights`]).
pub(super) const MAX_WEIGHT_RATIO: f64 = 4e6;
/// The guard reduces the weight of an entry to no less than this fraction of the table's mean.
pub(super) const MIN_WEIGHT_FRACTION: f64 = 0.02;
/// Maximum number of passes over overloaded replicas: load that is taken off one moves to others.
pub(super) const MAX_PASSES: usize = 8;

/// The guard's parameters.
#[derive(Debug, Clone, PartialEq)]
pub struct GuardLimits {
    /// The fraction of its capacity that a replica has when it starts.
    pub initial_capacity_fraction: f64,
    /// How long a replica takes from its start to full capacity.
    pub slow_start_duration: Duration,
    /// Number of proxies of all governors together.
    pub proxy_count: usize,
    /// Maximum number of table entries in one change.
    pub max_entries: f64,
    /// By traffic class: whether its requests may only go to replicas in the proxy's own zone.
    pub same_zone_only: Vec<bool>,
    /// By traffic class: whether a request that may have been executed must never be retried.
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

/// Requests per second that a cold replica with the share `share` may be given, so that bursts stay below its
/// failure point.
pub(super) fn allowed_cold_load(share: f64) -> f64 {
    let half = BURST_DEVIATIONS / 2.0;
    let root = (BURST_DEVIATIONS * BURST_DEVIATIONS / 4.0 + COLD_FAILURE * share).sqrt() - half;
    (root * root).clamp(MIN_COLD_MARGIN * share, COLD_MARGIN * share)
}
