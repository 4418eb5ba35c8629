//! All decisions of one governor process: the routing tables of a service's proxies, the replicas that
//! proxies must avoid, the requests that they admit, and when each change is sent.
//!
//! A host creates one [`Governor`] for each governor process, calls its input methods as events arrive, and
//! calls [`Governor::next_decision`] until it returns `None`. The decisions of one such series form one
//! message to each proxy that they affect. Input and output types are defined in [`types`](crate::types).
//!
//! The mechanism is that of the FlexDATE paper, which `critical_set` and `water_filling` cite (see also
//! `docs/design.md`). Decisions take precedence in this order of modules: `ejection` (based on
//! `outlier_detection` and `health`), `slow_start`, `default_tables`, `critical_set`, `admission_control`,
//! `publishing`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::types::{
    Decision, DemandStatistics, Phase, ProxyId, ReplicaEntry, ReplicaId, ReplicaStatistics, RosterScope,
    Settings,
};

use admission_control::Admission;
use critical_set::CriticalSet;
use flush_limiter::FlushLimiter;
use health::FleetHealth;
use parameters::{Parameters, TICK_INTERVAL};
use proxy_state::ProxyState;
use publishing::PublishTrigger;
use replica_state::{HealthState, QueueSample, ReplicaState};
use report_timing::ReportTiming;
use send_queue::SendQueue;
use tables::Tables;

mod admission_control;
mod arithmetic;
mod connections;
mod critical_set;
mod default_tables;
mod ejection;
mod ejection_updates;
mod fleet;
mod flush_limiter;
mod gone_replicas;
mod health;
mod inspection;
mod load_model;
mod outlier_detection;
mod parameters;
mod proxy_state;
mod publishing;
mod readmissions;
mod replica_state;
mod report_timing;
mod send_queue;
mod slow_start;
mod table_updates;
mod tables;
mod update_costs;
mod utilisation;
mod water_filling;

#[cfg(test)]
mod tests;

/// Ticks between adjustments of the admission fraction: one second.
const ADMISSION_TICKS: u64 = 4;
/// Ticks between updates of the critical set: two seconds.
const SOLVER_TICKS: u64 = 8;
/// Number of health checks over which requests in flight are averaged.
const HEALTH_CHECK_AVERAGING: f64 = 3.0;
/// Factor by which a failed health check raises the estimate of requests in flight.
const FAILED_HEALTH_CHECK_GROWTH: f64 = 1.3;

/// The state of one governor, and its decisions that the host has not fetched yet.
#[derive(Default)]
pub struct Governor {
    parameters: Parameters,
    replicas: BTreeMap<ReplicaId, ReplicaState>,
    proxies: BTreeMap<ProxyId, ProxyState>,
    /// Dedicated tables as last sent; kept after the proxy disconnects.
    sent_tables: Tables,
    critical_set: CriticalSet,
    fleet_health: FleetHealth,
    reports: ReportTiming,
    admission: Admission,
    send_queue: SendQueue,
    flush_limiter: FlushLimiter,
    /// The largest total weight of ready replicas seen so far.
    nominal_weight: f64,
    roster_updated_at: Duration,
    /// When the first roster arrived. What was gone before is not known.
    first_roster_at: Option<Duration>,
    /// Time of the latest proxy connection, by zone.
    last_connections: BTreeMap<usize, Duration>,
    health_checks_due: BTreeSet<DueHealthCheck>,
    ticks: u64,
    tick_pending: bool,
    next_flush_at: Duration,
    /// The host is fetching the decisions of the last pass. The next pass starts after it has fetched all.
    fetching_decisions: bool,
    pending: VecDeque<Decision>,
}

/// A scheduled health check.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DueHealthCheck {
    at: Duration,
    replica: ReplicaId,
}

/// Input methods. They update the state and make no decisions.
impl Governor {
    /// Creates a governor without replicas or proxies. Its first decision schedules a tick.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Governor {
            parameters: Parameters::new(&settings),
            fleet_health: FleetHealth { unobserved: true, ..FleetHealth::default() },
            admission: Admission::new(&settings),
            send_queue: SendQueue { drained_at: now, ..SendQueue::default() },
            tick_pending: true,
            ..Governor::default()
        }
    }

    /// Applies the complete roster, or changes to it. Replicas missing from a complete roster are gone.
    pub fn update_replicas(&mut self, now: Duration, entries: &[ReplicaEntry], scope: RosterScope) {
        if scope == RosterScope::Complete {
            self.remove_unlisted(now, entries);
        }
        for entry in entries {
            self.update_replica(now, entry);
        }
        let ready_weight = self.sum_replicas(|replica| if replica.ready { replica.weight } else { 0.0 });
        self.roster_updated_at = now;
        self.first_roster_at = self.first_roster_at.or(Some(now));
        self.nominal_weight = ready_weight.max(self.nominal_weight);
        self.update_withheld(now);
    }

    fn remove_unlisted(&mut self, now: Duration, entries: &[ReplicaEntry]) {
        let listed: BTreeSet<&ReplicaId> = entries.iter().map(|entry| &entry.id).collect();
        for (id, replica) in &mut self.replicas {
            if !listed.contains(id) {
                replica.ready = false;
                replica.not_ready_since = replica.not_ready_since.or(Some(now));
                replica.gone_since = replica.gone_since.or(Some(now));
            }
        }
    }

    fn update_replica(&mut self, now: Duration, entry: &ReplicaEntry) {
        let replica = self.replicas.entry(entry.id.clone()).or_default();
        let is_new = replica.weight == 0.0;
        if is_new || replica.started_at != entry.started_at {
            // Observations of the previous process do not apply to the new one.
            replica.started_at = entry.started_at;
            replica.reset_observations(now, HealthState::Healthy);
        }
        let ready = entry.phase == Phase::Ready;
        let turned_ready = ready && !replica.ready;
        if turned_ready {
            replica.observed_since = now;
            replica.first_ready_at = replica.first_ready_at.or(Some(now));
        }
        replica.ready = ready;
        replica.not_ready_since = if ready { None } else { replica.not_ready_since.or(Some(now)) };
        replica.gone_since = match entry.phase {
            Phase::Gone => replica.gone_since.or(Some(now)),
            Phase::Ready | Phase::Draining => None,
        };
        replica.zone = entry.zone;
        replica.weight = entry.weight.max(f64::MIN_POSITIVE);
        if turned_ready {
            self.schedule_health_check(now, &entry.id);
        }
    }

    fn schedule_health_check(&mut self, now: Duration, replica: &ReplicaId) {
        if let Some(interval) = self.parameters.health_check_interval {
            let check = DueHealthCheck { at: now + interval, replica: replica.clone() };
            self.health_checks_due.insert(check);
        }
    }

    /// Records statistics about a replica from the proxies of one zone.
    pub fn record_replica_statistics(&mut self, now: Duration, report: ReplicaStatistics) {
        self.reports.last_by_zone.insert(report.zone, now);
        self.reports.record_interval(report.interval);
        let Some(replica) = self.replicas.get_mut(&report.replica) else {
            if report.attempts > 0 && report.failed == report.attempts {
                self.record_unlisted_replica(report.zone);
            }
            return;
        };
        let queued = self.parameters.load_positions.queued.and_then(|position| report.load.get(position));
        if let Some(length) = queued {
            replica.queue = Some(QueueSample { length: *length, at: now });
        }
        let observation = replica.observations.entry(report.zone).or_default();
        observation.record(now, &report, self.parameters.averaging_seconds);
        self.admission.record_latency(&report);
    }

    /// Records the number of requests that a proxy received.
    pub fn record_demand(&mut self, now: Duration, report: DemandStatistics) {
        self.reports.record_interval(report.interval);
        let Some(proxy) = self.proxies.get_mut(&report.proxy) else { return };
        if report.class < proxy.request_rates.len() {
            self.admission.record_failures(&report);
            proxy.record_demand(now, &report, self.parameters.averaging_seconds);
        }
    }

    /// Records the result of a health check: the response time, if there was a response, and the replica's
    /// load report.
    pub fn record_health_check(
        &mut self,
        now: Duration,
        id: &ReplicaId,
        response_time: Option<Duration>,
        load: &[f64],
    ) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.failed_health_checks =
            if response_time.is_some() { 0 } else { replica.failed_health_checks + 1 };
        if let Some(position) = self.parameters.load_positions.in_flight {
            let previous = replica.in_flight.unwrap_or(1.0);
            match load.get(position) {
                Some(in_flight) => {
                    replica.in_flight = Some(previous + (in_flight - previous) / HEALTH_CHECK_AVERAGING);
                }
                // Health checks queue behind requests, so a failed one without a load report indicates load.
                None if response_time.is_none() => {
                    replica.in_flight = Some(FAILED_HEALTH_CHECK_GROWTH * previous.max(1.0));
                }
                None => {}
            }
        }
        if replica.ready {
            self.schedule_health_check(now, id);
        }
    }

    /// Records that a proxy acknowledged the message with the number of a
    /// [`Decision::RequestAcknowledgement`].
    pub fn record_acknowledgement(&mut self, number: u16) {
        self.send_queue.acknowledge(number);
    }

    /// The time that [`Decision::ScheduleTick`] asked for has passed.
    pub fn tick(&mut self) {
        self.tick_pending = true;
    }
}

/// Output methods.
impl Governor {
    /// Returns the next decision. The first call after a `None` processes the inputs received since.
    pub fn next_decision(&mut self, now: Duration) -> Option<Decision> {
        if !self.fetching_decisions {
            self.decide(now);
        }
        self.fetching_decisions = !self.pending.is_empty();
        self.pending.pop_front()
    }

    fn decide(&mut self, now: Duration) {
        let ticked = std::mem::take(&mut self.tick_pending);
        if ticked {
            self.process_tick(now);
        }
        self.send_health_checks(now);
        let trigger = self.publish_trigger(now, ticked);
        self.publish(now, trigger);
    }

    fn process_tick(&mut self, now: Duration) {
        self.pending.push_back(Decision::ScheduleTick(TICK_INTERVAL));
        self.ticks += 1;
        self.update_health(now);
        if self.ticks.is_multiple_of(ADMISSION_TICKS) {
            self.adjust_admission(now);
        }
        if self.ticks.is_multiple_of(SOLVER_TICKS) {
            self.reports.update_delay(self.parameters.report_interval());
            self.correct_capacities(now);
            self.plan_readmissions(now);
            self.update_critical_set(now);
        }
    }

    fn send_health_checks(&mut self, now: Duration) {
        for check in self.health_checks_due.extract_if(.., |check| check.at <= now) {
            if self.replicas.get(&check.replica).is_some_and(|replica| replica.ready) {
                self.pending.push_back(Decision::CheckHealth(check.replica));
            }
        }
    }

    fn publish_trigger(&self, now: Duration, ticked: bool) -> PublishTrigger {
        match ticked {
            false => PublishTrigger::Event,
            true if now < self.next_flush_at => PublishTrigger::Tick,
            true => PublishTrigger::FlushDue,
        }
    }
}
