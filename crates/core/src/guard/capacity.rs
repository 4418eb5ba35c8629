//! The load that each replica may be given.

use std::collections::BTreeMap;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaId};

use crate::roster::Roster;

use super::limits::{COLD_FAILURE, MAX_TOTAL_TO_LOCAL, MIN_CAPACITY_LEFT, WARM_MARGIN, allowed_cold_load};
use super::{Guard, RefusalReason};

/// Every replica may be given at least this load, in requests per second.
const MIN_ALLOWED_LOAD: f64 = 1.0;

/// Capacity of a warm replica of weight 1, in requests per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity {
    /// The share of each replica if all requests of this governor's proxies are spread evenly.
    even_share: f64,
    /// The load that a warm replica of weight 1 is known to take.
    known: f64,
    /// Demand of all governors' proxies together, as a multiple of the demand of the proxies here.
    total_to_local: f64,
}

/// A replica with too much load; the figures are in requests per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overload {
    pub(super) reason: RefusalReason,
    pub(super) load: f64,
    pub(super) allowed: f64,
}

impl Guard {
    /// The fraction of its capacity that a replica currently has, below 1 during its slow start.
    fn warmth(&self, now: Duration, roster: &Roster, id: &ReplicaId) -> f64 {
        let Some(started) = roster.get(id).and_then(|known| known.started_at) else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64();
        let slow_start = self.limits.slow_start_duration.as_secs_f64();
        if age >= slow_start {
            return 1.0;
        }
        let initial = self.limits.initial_capacity_fraction;
        initial + (1.0 - initial) * age / slow_start
    }

    /// The total capacity of the ready replicas that `is_counted` selects, as a sum of the weights of warm
    /// replicas.
    fn ready_capacity(&self, now: Duration, roster: &Roster, is_counted: impl Fn(&ReplicaId) -> bool) -> f64 {
        let ready = roster.iter().filter(|(id, known)| known.phase == Phase::Ready && is_counted(id));
        ready.map(|(id, known)| known.weight.max(0.0) * self.warmth(now, roster, id)).sum()
    }

    /// Whether the decision module's ejections are followed. They are not if they leave less than
    /// [`MIN_CAPACITY_LEFT`], because all requests would fall on the remaining replicas. *Harm:* where so
    /// many replicas are really bad, they keep getting requests until the module restores them or the roster
    /// drops them.
    pub(super) fn follows_ejections(
        &self,
        now: Duration,
        roster: &Roster,
        ejected: &impl Fn(&ReplicaId) -> bool,
    ) -> bool {
        let left = self.ready_capacity(now, roster, |id| !ejected(id));
        left >= MIN_CAPACITY_LEFT * self.ready_capacity(now, roster, |_| true)
    }

    /// The known capacity of a warm replica is the highest throughput that any replica showed recently, or
    /// the even share of each replica, whichever is larger. So neither a fleet that was never under load nor
    /// one that grows causes refusals by itself. A cold replica is judged by the even share alone: peaks of
    /// throughput come from bursts, and a cold replica has no reserve for bursts.
    pub(super) fn capacity(
        &self,
        now: Duration,
        roster: &Roster,
        ejected: &impl Fn(&ReplicaId) -> bool,
    ) -> Capacity {
        let mut delivered: BTreeMap<&ReplicaId, f64> = BTreeMap::new();
        for (id, _, per_second) in self.ledger.throughput(now) {
            *delivered.entry(id).or_default() += per_second;
        }
        let weight = |id: &ReplicaId| roster.get(id).map_or(1.0, |known| known.weight.max(1e-9));
        let proven = delivered.iter().map(|(id, per_second)| per_second / weight(id)).fold(0.0, f64::max);
        let ready = self.ready_capacity(now, roster, |id| !ejected(id));
        let even_share = if ready > 0.0 { self.ledger.total_demand() / ready } else { f64::INFINITY };
        // A warm replica can take its even share of the demand of all governors. With only a few proxies
        // here, all of one zone, their tables alone add up to several times the even share of their own
        // requests.
        let local = self.ledger.assignment_count() as f64 / self.limits.class_count().max(1) as f64;
        let total_to_local = (self.limits.proxy_count as f64 / local.max(1.0)).max(1.0);
        Capacity { even_share, known: proven.max(even_share * total_to_local), total_to_local }
    }

    /// The overload of a replica; none if it has no overload or is not ready.
    ///
    /// Load sent by other governors is left out on both sides: throughput and even shares are computed from
    /// the requests of the proxies here. *Harm:* where other governors send a replica more than their even
    /// share, no governor sees its total load.
    pub(super) fn overload(
        &self,
        now: Duration,
        roster: &Roster,
        capacity: Capacity,
        id: &ReplicaId,
    ) -> Option<Overload> {
        let known = roster.get(id).filter(|known| known.phase == Phase::Ready)?;
        let warmth = self.warmth(now, roster, id);
        let load = self.ledger.load(id);
        let weight = known.weight.max(0.0);
        let (reason, allowed) = if warmth < 1.0 {
            (RefusalReason::ColdOverload, capacity.allowed_cold(capacity.even_share * warmth * weight))
        } else {
            (RefusalReason::WarmOverload, capacity.known * weight * WARM_MARGIN)
        };
        let allowed = allowed.max(MIN_ALLOWED_LOAD);
        (allowed.is_finite() && load > allowed).then_some(Overload { reason, load, allowed })
    }
}

impl Capacity {
    fn allowed_cold(&self, share: f64) -> f64 {
        if self.total_to_local <= MAX_TOTAL_TO_LOCAL {
            allowed_cold_load(share)
        } else {
            COLD_FAILURE * share
        }
    }
}
