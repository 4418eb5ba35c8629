//! The default table of each zone, and whether a default table that was sampled earlier is stale.
//!
//! A zone's default table normally contains only replicas of that zone. If the zone lacks capacity for its
//! demand, the excess spills over to zones with spare capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Governor;
use super::arithmetic::{get_or_default, ratio};
use super::proxy_state::DefaultTableSample;
use super::replica_state::ReplicaState;
use super::tables::{RouteScope, Weights};
use crate::types::ReplicaId;

/// Capacity correction below which a replica's default weight is reduced. Such a correction exceeds the
/// noise, and dedicated tables of a few proxies can't unload the replica alone.
const SLOW_REPLICA_CORRECTION: f64 = -0.25;
/// Demand per capacity, relative to the fleet's mean, above which a zone with a weakened replica spills over.
const ZONE_HEADROOM: f64 = 1.15;
/// Multiple of [`ZONE_HEADROOM`] that applies to a zone whose replicas are all at full weight.
const HEALTHY_ZONE_HEADROOM: f64 = 1.4;
/// Minimum fraction of a zone's demand that stays in it, so that statistics of its replicas continue.
const MIN_KEPT_FRACTION: f64 = 0.05;
/// A zone that can keep at least this fraction of its demand does not spill over.
const MAX_SPILLING_FRACTION: f64 = 0.95;
/// A sampled table is stale if the available replicas that it was sampled from have less than this fraction
/// of the zone's capacity.
const MIN_SAMPLED_CAPACITY: f64 = 0.6;
/// Sampled tables are urgently stale if the expected number of tables without an available replica exceeds
/// this.
const MAX_EXPECTED_UNAVAILABLE_TABLES: f64 = 0.02;

/// Identifies a default table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZoneScope {
    pub(super) zone: usize,
    pub(super) scope: RouteScope,
}

/// The default tables by zone and scope.
pub(super) type DefaultTables = BTreeMap<ZoneScope, Weights>;

/// Whether proxies may keep using the default tables of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Staleness {
    Current,
    Stale,
    /// The tables must be replaced at once: they contain all candidates and the zone's default table differs,
    /// or their entries are not known and some tables may contain no available replica.
    Urgent,
}

/// Number of proxies, and requests per second that they receive and admit, by zone.
#[derive(Default)]
struct ZoneDemand {
    proxies: BTreeMap<usize, f64>,
    /// Requests of classes that must stay in the zone.
    zone_bound: BTreeMap<usize, f64>,
    total: BTreeMap<usize, f64>,
}

/// Capacity and demand of all zones, from which their default tables are computed.
struct FleetBalance {
    /// Total default weight of the replicas, by zone.
    capacity: BTreeMap<usize, f64>,
    demand: ZoneDemand,
    /// Demand per capacity above which a zone spills over.
    headroom: f64,
    /// The fraction of this governor's demand that the fleet answers.
    answered_fraction: f64,
}

impl FleetBalance {
    /// Requests per second that a zone can take over from other zones.
    fn spare(&self, zone: usize) -> f64 {
        let capacity = self.headroom * get_or_default(&self.capacity, &zone);
        (capacity - get_or_default(&self.demand.total, &zone)).max(0.0)
    }
}

impl Governor {
    /// Computes the default tables of all zones that have a proxy.
    pub(super) fn default_tables(&self, now: Duration) -> DefaultTables {
        let balance = self.fleet_balance(now);
        let mut tables = DefaultTables::new();
        for &zone in balance.demand.proxies.keys() {
            let fractions = self.zone_fractions(zone, &balance, now);
            for scope in RouteScope::ALL {
                let fraction = |target_zone: usize| match scope {
                    RouteScope::AnyZone => fractions[&target_zone],
                    RouteScope::OwnZone => f64::from(u8::from(target_zone == zone)),
                };
                let weight =
                    |replica: &ReplicaState| self.default_weight(replica, now) * fraction(replica.zone);
                let mut weights = self.weigh_replicas(weight);
                if weights.is_empty() {
                    weights = self.fallback_weights(ZoneScope { zone, scope }, now);
                }
                tables.insert(ZoneScope { zone, scope }, weights);
            }
        }
        tables
    }

    /// Weights of all routable replicas in the table's scope, used if none of them is usable; of all available
    /// ones if none is routable.
    fn fallback_weights(&self, table: ZoneScope, now: Duration) -> Weights {
        let reachable =
            |replica: &ReplicaState| table.scope == RouteScope::AnyZone || replica.zone == table.zone;
        let available_weights = |condition: fn(&ReplicaState) -> bool| {
            self.weigh_replicas(|replica| {
                let included = reachable(replica) && condition(replica);
                if included { replica.available_weight(&self.parameters, now) } else { 0.0 }
            })
        };
        let routable = available_weights(ReplicaState::is_routable);
        if routable.is_empty() { available_weights(|_| true) } else { routable }
    }

    /// A replica's weight in its own zone's default table.
    fn default_weight(&self, replica: &ReplicaState, now: Duration) -> f64 {
        let correction = replica.capacity_correction;
        let slowness = if correction < SLOW_REPLICA_CORRECTION { correction.exp() } else { 1.0 };
        replica.weight * self.routable_fraction(replica, now) * slowness
    }

    fn fleet_balance(&self, now: Duration) -> FleetBalance {
        let capacity = self.sum_by_zone(|replica| self.default_weight(replica, now));
        let mut demand = self.zone_demand();
        let own_demand: f64 = demand.total.values().sum();
        self.add_unobserved_demand(&mut demand, own_demand);
        let mean_demand = ratio(demand.total.values().sum(), capacity.values().sum());
        let answered_fraction =
            if self.fleet_health.unobserved { 1.0 } else { ratio(self.success_rate(), own_demand).min(1.0) };
        FleetBalance { capacity, demand, headroom: ZONE_HEADROOM * mean_demand, answered_fraction }
    }

    fn zone_demand(&self) -> ZoneDemand {
        let mut demand = ZoneDemand::default();
        for proxy in self.proxies.values() {
            *demand.proxies.entry(proxy.zone).or_insert(0.0) += 1.0;
            *demand.zone_bound.entry(proxy.zone).or_insert(0.0) +=
                self.scoped_demand(proxy, RouteScope::OwnZone);
            *demand.total.entry(proxy.zone).or_insert(0.0) += self.total_admitted_demand(proxy);
        }
        demand
    }

    /// Adds an estimate of the demand of other governors' proxies, which this governor does not observe. They
    /// are assumed to be in the zones with fewer connected proxies here than the zones' sizes suggest.
    fn add_unobserved_demand(&self, demand: &mut ZoneDemand, own_demand: f64) {
        let shared = self.parameters.shared_proxies;
        let connected = self.proxies.len() as f64;
        let sizes = self.sum_by_zone(|replica| if replica.ready { replica.weight } else { 0.0 });
        let proxies_per_weight = ratio(shared, sizes.values().sum());
        let mut missing = BTreeMap::new();
        for (zone, size) in &sizes {
            let expected = proxies_per_weight * size;
            missing.insert(*zone, (expected - get_or_default(&demand.proxies, zone)).max(0.0));
        }
        let demand_per_proxy = ratio(own_demand, connected);
        let elsewhere = (shared - connected).max(0.0);
        let demand_per_missing_proxy = demand_per_proxy * ratio(elsewhere, missing.values().sum());
        for (zone, missing) in missing {
            *demand.total.entry(zone).or_insert(0.0) += demand_per_missing_proxy * missing;
        }
    }

    /// The factor applied to the weights of each zone's replicas in the default table of `zone`, by zone.
    fn zone_fractions(&self, zone: usize, balance: &FleetBalance, now: Duration) -> BTreeMap<usize, f64> {
        let kept_fraction = self.kept_fraction(zone, balance, now);
        let own_capacity = get_or_default(&balance.capacity, &zone);
        let spilled_weight = if kept_fraction < MAX_SPILLING_FRACTION {
            own_capacity.max(1.0) * (1.0 - kept_fraction)
        } else {
            0.0
        };
        let other_zones = balance.capacity.keys().filter(|target_zone| **target_zone != zone);
        let spare: f64 = other_zones.map(|target_zone| balance.spare(*target_zone)).sum();
        let mut fractions = BTreeMap::new();
        for (&target_zone, &capacity) in &balance.capacity {
            let share = ratio(balance.spare(target_zone), spare);
            let fraction =
                if target_zone == zone { kept_fraction } else { spilled_weight * ratio(share, capacity) };
            fractions.insert(target_zone, fraction);
        }
        fractions
    }

    /// The fraction of a zone's demand that stays in it, of the classes that may leave it.
    fn kept_fraction(&self, zone: usize, balance: &FleetBalance, now: Duration) -> f64 {
        // Without a warm replica, zone-bound requests need all of the zone's capacity, and the others go to
        // other zones.
        let underprovisioned = self.fleet_health.underprovisioned_zones.contains(&zone);
        if self.parameters.has_zone_bound_classes() && underprovisioned {
            return 0.0;
        }
        let capacity = get_or_default(&balance.capacity, &zone);
        let zone_bound = get_or_default(&balance.demand.zone_bound, &zone);
        let total = get_or_default(&balance.demand.total, &zone);
        let mut replicas = self.replicas.values().filter(|replica| replica.zone == zone);
        let reduced_weight =
            replicas.clone().any(|replica| self.default_weight(replica, now) < replica.weight);
        let overloaded = total > HEALTHY_ZONE_HEADROOM * balance.headroom * capacity;
        if !reduced_weight && !overloaded {
            return 1.0;
        }
        let warming = replicas.any(|replica| {
            !replica.is_unavailable() && replica.warm_fraction(self.parameters.slow_start, now) < 1.0
        });
        // The headroom is derived from demand. Demand that the fleet does not answer is no evidence of
        // capacity and would overload warming replicas.
        let headroom = balance.headroom * if warming { balance.answered_fraction } else { 1.0 };
        ratio(headroom * capacity - zone_bound, total - zone_bound).clamp(MIN_KEPT_FRACTION, 1.0)
    }

    /// Determines whether proxies may keep using the default tables of a sample.
    pub(super) fn staleness(&self, sample: DefaultTableSample, default: &Weights) -> Staleness {
        if self.is_partial_sample(sample) {
            self.partial_staleness(sample)
        } else {
            self.full_staleness(sample, default)
        }
    }

    /// Tables that contain all candidates must be replaced at once if the zone's default table differs.
    fn full_staleness(&self, sample: DefaultTableSample, default: &Weights) -> Staleness {
        let routable_candidates =
            self.replicas.iter().filter(|(_, replica)| replica.is_candidate(sample) && replica.is_routable());
        let same_replicas = routable_candidates.map(|(id, _)| id).eq(default.keys());
        let reduced = |(id, weight): (&ReplicaId, &f64)| *weight < self.replicas[id].weight;
        let stale = !same_replicas || default.iter().any(reduced);
        if stale { Staleness::Urgent } else { Staleness::Current }
    }

    /// Uses expected values, as it is not known which candidates each table contains.
    fn partial_staleness(&self, sample: DefaultTableSample) -> Staleness {
        let routable = |replica: &ReplicaState| if replica.is_routable() { replica.weight } else { 0.0 };
        let if_candidate = |weight: f64, replica: &ReplicaState| {
            if replica.is_candidate(sample) { weight } else { 0.0 }
        };
        let remaining = self.sum_replicas(|replica| if_candidate(routable(replica), replica));
        let sampled = self.sum_replicas(|replica| if_candidate(replica.weight, replica));
        let in_zone =
            self.sum_replicas(|replica| if replica.zone == sample.zone { routable(replica) } else { 0.0 });
        let tables =
            self.proxies.values().filter(|proxy| proxy.default_sample() == Some(sample)).count() as f64;
        let entries = self.parameters.default_table_size as i32;
        let expected_unavailable = tables * (1.0 - ratio(remaining, sampled)).powi(entries);
        if expected_unavailable > MAX_EXPECTED_UNAVAILABLE_TABLES {
            Staleness::Urgent
        } else if remaining < MIN_SAMPLED_CAPACITY * in_zone.max(sampled) {
            Staleness::Stale
        } else {
            Staleness::Current
        }
    }
}
