//! What each replica may be sent.

use std::collections::BTreeMap;
use std::time::Duration;

use wrenthread::types::{Phase, ReplicaId};

use crate::roster::Roster;

use super::limits::{COLD_FAILURE, MIN_CAPACITY_LEFT, NEARLY_ALL, WARM_MARGIN, allowed_cold_load};
use super::{Guard, RefusalReason};

/// A replica may always be sent this much, in requests a second.
const MIN_ALLOWED_LOAD: f64 = 1.0;

/// Requests a second for a warm replica of weight 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity {
    /// What falls to each if all requests here are spread evenly.
    even_part: f64,
    /// What it is known to take.
    known: f64,
    /// How many times the demand here all governors' proxies together have.
    total_to_local: f64,
}

/// A replica that is sent too much, in requests a second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Overload {
    pub(super) reason: RefusalReason,
    pub(super) load: f64,
    pub(super) allowed: f64,
}

impl Guard {
    /// The fraction of its capacity that a replica has in its slow start.
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

    /// The capacity of ready replicas, in weights of warm ones.
    fn ready_capacity(&self, now: Duration, roster: &Roster, counts: impl Fn(&ReplicaId) -> bool) -> f64 {
        let ready = roster.iter().filter(|(id, known)| known.phase == Phase::Ready && counts(id));
        ready.map(|(id, known)| known.weight.max(0.0) * self.warmth(now, roster, id)).sum()
    }

    /// Whether the module's ejections are followed. Those that leave less than [`MIN_CAPACITY_LEFT`] are not: all
    /// requests would fall on the rest. *Harm:* where so many are really bad, they are sent to until the module
    /// restores them or the roster drops them.
    pub(super) fn follows_ejections(
        &self,
        now: Duration,
        roster: &Roster,
        ejected: &impl Fn(&ReplicaId) -> bool,
    ) -> bool {
        let left = self.ready_capacity(now, roster, |id| !ejected(id));
        left >= MIN_CAPACITY_LEFT * self.ready_capacity(now, roster, |_| true)
    }

    /// What a warm replica is known to take is the most that any was seen to deliver lately, or what falls to
    /// each if everything is spread evenly, whichever is more: so neither a fleet that was never under load nor
    /// one that grows makes refusals by itself. A cold one is judged by the even part alone: the most that was
    /// seen comes in bursts, and a cold one has nothing to bear them with.
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
        let even_part = if ready > 0.0 { self.ledger.total_demand() / ready } else { f64::INFINITY };
        // A warm one can take its even part of the demand of all governors. With a few proxies here, of one zone,
        // their own tables alone come to several times the even part of theirs.
        let local = self.ledger.assignment_count() as f64 / self.limits.class_count().max(1) as f64;
        let total_to_local = (self.limits.proxy_count as f64 / local.max(1.0)).max(1.0);
        Capacity { even_part, known: proven.max(even_part * total_to_local), total_to_local }
    }

    /// Whether a replica is sent too much; none if it is not, or is not ready.
    ///
    /// What other governors send is on neither side: what a replica was seen to take and what falls to each are by
    /// the requests of the proxies here. *Harm:* where others send a replica more than their even part, nobody
    /// sees all of it.
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
            (RefusalReason::Cold, capacity.allowed_cold(capacity.even_part * warmth * weight))
        } else {
            (RefusalReason::Over, capacity.known * weight * WARM_MARGIN)
        };
        let allowed = allowed.max(MIN_ALLOWED_LOAD);
        (allowed.is_finite() && load > allowed).then_some(Overload { reason, load, allowed })
    }
}

impl Capacity {
    fn allowed_cold(&self, part: f64) -> f64 {
        if self.total_to_local <= NEARLY_ALL { allowed_cold_load(part) } else { COLD_FAILURE * part }
    }
}
