//! All decisions: which tables a service's plain proxies hold, and when they hear of it.
//! A host makes one [`Governor`] for each governor process, calls its inputs as things happen, and pulls
//! [`Governor::next_decision`] until it gives `None`: what comes in one go is one message to each proxy concerned.
//! The types of both sides stand in `types.rs`. The mechanism is FlexDATE's (`docs/design.md`); parts, in
//! order of precedence: withdraw, health, cold, default repair, critical set, levels and tries, pace.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::types::*;

#[cfg(test)]
mod tests;

const TICK_INTERVAL: Duration = Duration::from_millis(250); // the one timer; orders are gathered for two beats
const TARGET_RATIO: f64 = 0.9; // the paper's, for the ratio
const DISTURBANCE_PENALTIES: (f64, f64) = (0.5, 1.0); // the page's, on rerouted traffic below and above the target
const MAX_TABLE_ENTRIES: usize = 30; // the page's, lines at most
const MIN_WEIGHT_CHANGE: f64 = 0.12; // a line that moved by less is within the noise of the sums
const CAPACITY_CORRECTION: (f64, f64) = (0.25, 0.95); // how far a cycle bends a room to the mean; what it keeps
const SLOW_REPLICA_CORRECTION: f64 = -0.25; // bent to 0.78, which is no noise, and critical proxies can't unload it alone
const ZONE_HEADROOM: (f64, f64) = (1.15, 1.4); // of the mean, where a hurt zone spills; of that, a whole one
const LATE_OBJECTIVE_FRACTION: f64 = 0.5; // levels are cut once answers take this share of the budget
const QUEUE_DRAINING_FRACTION: f64 = 0.77; // to this much of what jammed replicas answer
const NOMINAL_UTILISATION: f64 = 0.7; // the share of its capacity that a fleet is sized to carry
const MIN_OBSERVED_ATTEMPTS: f64 = 50.0; // tries, before their drops mean anything
const MIN_STRESS: f64 = 0.05; // share of drops from which a zone counts as stressed
const STRESS_FACTORS: (f64, f64) = (2.0, 3.0); // times the stress that cold ones must bear; where proxies avoid
const MAX_MISSING_ANSWERS: f64 = 8.0; // answers due: chance leaves none of so many once in some thousand looks
const RETENTION: Duration = Duration::from_secs(120); // what is gone, as standing tables may be that old
const FIRST_EJECTION: Duration = Duration::from_secs(4); // before a trial, doubled by each failure

#[derive(Default)]
struct Parameters {
    classes_by_scope: [ClassSet; 2], // by kind of table: free to cross, and bound to the proxy's own zone
    class_values: Vec<f64>,          // by group: utility per work
    limits_admission: bool,
    latency_objective_seconds: f64,
    total_proxies: f64, // all proxies, where other governors have some of them; else none
    slow_start: (f64, f64), // worst-case share of its capacity that a replica starts with, growth a second
    stress_factor: f64,
    cross_zone_price: f64,
    averaging_seconds: f64,    // five periods of the sums
    default_table_size: usize, // lines of a standing table, and of an own default where the zone's has too many
    settling_time: Duration,
    flush_interval: Duration,       // ordinary flush
    flush_limit: (usize, Duration), // within a span; one message to each proxy is kept for its joining
    assured_entries_per_second: f64,
    message_overhead_entries: f64,
    max_queued_entries: f64, // less a reserve
    max_transit_delay: Duration,
    health_check_interval: Option<Duration>,
    load_positions: [Option<usize>; 2],
}

#[derive(Clone, Copy, Default, PartialEq, Debug)]
enum HealthState {
    #[default]
    Healthy,
    Ejected(Duration, u32),
    Probation(u32),
}

#[derive(Clone, Default)]
struct ZoneObservation {
    succeeded: f64,
    failed: f64,
    attempts_per_second: f64,
    latency_seconds: f64,
    last_report: Duration,
    last_success: Duration,
}

#[derive(Default)]
struct ReplicaState {
    zone: usize,
    weight: f64,
    ready: bool,
    gone_since: Option<Duration>, // since when it is not listed at all
    started_at: Option<Duration>,
    first_ready_at: Option<Duration>, // first listed as ready: tables drawn later may name it
    withheld: bool, // too cold for the whole weight at which tables that can't be read may name it
    health: HealthState,
    ejection_sent: bool,
    observed_since: Duration, // silence counts from here on: what went before was met under other tables
    observations: BTreeMap<usize, ZoneObservation>, // by zone, what its proxies met; evidence fades with time
    expected_rate: f64,
    capacity_correction: f64,
    in_flight: Option<f64>,
    queue: Option<(f64, Duration)>,
    failed_health_checks: u32,
}

type DefaultTableSample = (Duration, usize); // what a standing table was drawn from: what was listed by then in a zone

struct ProxyState {
    zone: usize,
    request_rates: Vec<f64>, // by group, blocked flows too: what is usual, until more is heard
    connected_at: Duration,
    last_reports: Vec<Duration>, // by group, when its last line came; no flow, no line
    default_table: Option<DefaultTableSample>,
    unsynchronised: bool, // holds nobody knows what: must follow own tables before anything else can be said of it
}

type Weights = BTreeMap<ReplicaId, f64>;
type TableKey = (ProxyId, usize);
type Tables = BTreeMap<TableKey, Weights>;
type Bin = (f64, f64, usize); // level, room, a replica's place in the field
type ReplicaRates = Vec<(usize, f64)>; // a share or a rate by a replica's place in the field

/// One governor's knowledge, and the decisions that wait to be pulled.
#[derive(Default)]
pub struct Governor {
    parameters: Parameters,
    replicas: BTreeMap<ReplicaId, ReplicaState>,
    proxies: BTreeMap<ProxyId, ProxyState>,
    sent_tables: Tables, // own ones as last sent, kept over a broken stream: they outlive it here
    critical_tables: Tables,
    cycles_below_target: u32,
    zone_stress: BTreeMap<usize, f64>, // by zone: share of tries dropped, or the fleet's if more
    fleet_wide_fault: bool,            // the middle replica drops much, which is no single one's trouble
    unobserved: bool, // too little to tell: half is assumed, as a governor may restart in mid-trouble
    underprovisioned_zones: BTreeSet<usize>,
    nominal_weight: f64,
    roster_updated_at: Duration,
    report_delay: Duration, // how long lines wait behind others before they are heard
    shortest_interval: Option<Duration>,
    last_reports: BTreeMap<usize, Duration>,
    last_connections: BTreeMap<usize, Duration>,
    admission_fraction: f64,   // the share of flows let in
    last_cut: (f64, Duration), // what was answered at the last one, beyond which levels feel their way; when
    latency_sum: (f64, f64),
    failed_fractions: Vec<f64>, // by group, of the flows let in, over some hundred lines of the sums
    class_admissions: Vec<(f64, RetryPolicy)>,
    health_checks_due: BTreeSet<(Duration, ReplicaId)>,
    ticks: u64,
    next_flush_at: Duration,
    recent_flushes: VecDeque<Duration>,
    queued_entries: f64,
    sent_batches: VecDeque<(Duration, f64)>, // when, and how many lines, of what may wait
    drained_at: Duration,
    tick_pending: bool,
    settled: bool,
    pending: VecDeque<Decision>,
}

fn at<K: Ord, V: Copy + Default>(map: &BTreeMap<K, V>, key: &K) -> V {
    map.get(key).copied().unwrap_or_default()
}

fn per(whole: f64, parts: f64) -> f64 {
    whole / parts.max(f64::MIN_POSITIVE)
}

impl Parameters {
    fn new(settings: &Settings) -> Self {
        let tabled = if settings.key_slices > 0 { 0 } else { 64 }; // slices' own tables are not laid into yet
        let groups = || settings.classes.iter().take(tabled).enumerate();
        let set =
            |own| groups().filter(|(_, one)| one.same_zone_only == own).map(|(place, _)| 1 << place).sum();
        // The wire tells no group's work: its latency budget stands in, as what needs longer is given longer.
        let budget = |place: usize| settings.classes[place].latency_objective.as_secs_f64();
        let value = |place: usize| per(settings.classes[place].priority_weight, budget(place));
        let places = 0..settings.classes.len().min(64);
        let field = |wanted| settings.load_fields.iter().position(|field| *field == wanted);
        let (most, over) = match settings.message_limit {
            Some(limit) => (limit.messages, limit.interval),
            None => (usize::MAX, Duration::ZERO),
        };
        let cold = settings.initial_capacity_fraction.clamp(0.01, 1.0);
        Parameters {
            classes_by_scope: [set(false), set(true)],
            limits_admission: settings.admission_control == AdmissionControl::Fraction,
            latency_objective_seconds: per(places.clone().map(budget).sum(), places.len() as f64),
            class_values: places.map(value).collect(),
            total_proxies: if settings.governor_count > 1 { settings.proxy_count as f64 } else { 0.0 },
            slow_start: (cold, per(1.0 - cold, settings.slow_start_duration.as_secs_f64())),
            stress_factor: if settings.proxies_eject_locally { STRESS_FACTORS.1 } else { STRESS_FACTORS.0 },
            cross_zone_price: 1.0 + 4.0 * settings.cross_zone_cost,
            averaging_seconds: 5.0 * settings.report_interval.as_secs_f64(),
            default_table_size: settings.default_table_size.max(1),
            settling_time: settings.max_transit_delay + 3 * settings.report_interval,
            flush_interval: (2 * TICK_INTERVAL).max(over.mul_f64(1.5 / most.max(1) as f64)),
            flush_limit: (most.saturating_sub(2), over),
            assured_entries_per_second: 0.2 * settings.entries_per_second.max(1.0), // as in trouble, while no answer tells more
            message_overhead_entries: settings.message_overhead_entries + settings.classes.len() as f64, // levels travel with each message
            max_queued_entries: 0.8 * settings.max_queued_entries,
            max_transit_delay: settings.max_transit_delay,
            health_check_interval: settings.health_check_cost.map(|_| Duration::from_secs(1)), // each costs its replica work
            load_positions: [field(LoadField::InFlight), field(LoadField::Queued)],
        }
    }
}

impl ReplicaState {
    fn is_unavailable(&self) -> bool {
        !self.ready || self.withheld || matches!(self.health, HealthState::Ejected(..))
    }

    fn is_candidate(&self, (at, zone): DefaultTableSample) -> bool {
        self.first_ready_at.is_some_and(|known| known <= at) && zone == self.zone
    }

    fn warm_fraction(&self, figures: &Parameters, now: Duration) -> f64 {
        let (cold, growth) = figures.slow_start;
        self.started_at.map_or(1.0, |at| (cold + growth * now.saturating_sub(at).as_secs_f64()).min(1.0))
    }

    fn available_weight(&self, figures: &Parameters, now: Duration) -> f64 {
        if self.is_unavailable() { 0.0 } else { self.weight * self.warm_fraction(figures, now) }
    }

    fn attempt_counts(&self) -> (f64, f64) {
        self.observations.values().fold((0.0, 0.0), |(d, m), sight| (d + sight.succeeded, m + sight.failed))
    }

    fn reset_observations(&mut self, now: Duration, health: HealthState) {
        (self.health, self.observed_since, self.expected_rate, self.capacity_correction) =
            (health, now, 0.0, 0.0);
        self.observations.clear();
        (self.in_flight, self.failed_health_checks) = (None, 0);
    }
}

/// Inputs only update what is known.
impl Governor {
    pub fn new(settings: Settings, now: Duration) -> Self {
        Governor {
            parameters: Parameters::new(&settings),
            unobserved: true,
            admission_fraction: 1.0,
            last_cut: (1.0, Duration::ZERO),
            class_admissions: vec![(1.0, settings.default_retry_policy); settings.classes.len().min(64)],
            drained_at: now,
            failed_fractions: vec![0.0; settings.classes.len()],
            tick_pending: true,
            ..Governor::default()
        }
    }

    /// The list, or what changed in it. What a complete list leaves out is gone.
    pub fn update_replicas(&mut self, now: Duration, entries: &[ReplicaEntry], scope: RosterScope) {
        let complete = scope == RosterScope::Complete;
        let named: BTreeSet<&ReplicaId> = entries.iter().map(|entry| &entry.id).collect();
        let unnamed = self.replicas.iter_mut().filter(|(id, _)| complete && !named.contains(id));
        unnamed.for_each(|(_, replica)| {
            (replica.ready, replica.gone_since) = (false, replica.gone_since.or(Some(now)))
        });
        for entry in entries {
            let replica = self.replicas.entry(entry.id.clone()).or_default();
            if replica.started_at != entry.started_at || replica.weight == 0.0 {
                replica.started_at = entry.started_at;
                replica.reset_observations(now, HealthState::Healthy); // the old process's faults are not its own
            }
            let ready = entry.phase == Phase::Ready;
            if ready && !replica.ready {
                (replica.observed_since, replica.first_ready_at) =
                    (now, replica.first_ready_at.or(Some(now)));
                self.health_checks_due.extend(
                    self.parameters.health_check_interval.map(|every| (now + every, entry.id.clone())),
                );
            }
            replica.ready = ready;
            replica.gone_since = (entry.phase == Phase::Gone).then_some(replica.gone_since.unwrap_or(now));
            (replica.zone, replica.weight) = (entry.zone, entry.weight.max(f64::MIN_POSITIVE));
        }
        let ready = self.sum_replicas(|one| if one.ready { one.weight } else { 0.0 });
        (self.roster_updated_at, self.nominal_weight) = (now, ready.max(self.nominal_weight));
        self.update_withheld(now);
    }

    /// A standing table can't be given a cold replica by parts: it waits until it bears its usual load.
    fn update_withheld(&mut self, now: Duration) {
        let draws: BTreeSet<DefaultTableSample> =
            self.proxies.values().filter_map(|one| one.default_table).collect();
        let unread: Vec<DefaultTableSample> =
            draws.into_iter().filter(|draw| self.is_partial_sample(*draw)).collect();
        for replica in self.replicas.values_mut() {
            let drawn = unread.iter().any(|draw| replica.is_candidate(*draw));
            replica.withheld = drawn && replica.warm_fraction(&self.parameters, now) < NOMINAL_UTILISATION;
        }
    }

    fn is_partial_sample(&self, draw: DefaultTableSample) -> bool {
        self.replicas.values().filter(|one| one.is_candidate(draw)).count()
            > self.parameters.default_table_size.max(MAX_TABLE_ENTRIES)
    }

    /// A proxy's stream is up; `fresh` if it holds only its standing table.
    pub fn proxy_connected(&mut self, now: Duration, connection: ProxyConnection) {
        let ProxyConnection { proxy, zone, requests_per_second: usual, holds_default_table: fresh } =
            connection;
        self.proxy_disconnected(proxy);
        let mut here = self.replicas.values().filter(|one| one.zone == zone);
        let few = here.clone().filter(|one| one.ready).count() < 3; // it draws from all zones then
        let unsure = !fresh || few || here.any(|one| self.usable_fraction(one, now) < 1.0);
        let standing = fresh.then_some((self.roster_updated_at, zone));
        let rates = vec![per(usual, self.class_admissions.len() as f64); self.class_admissions.len()];
        let heard = vec![now; self.class_admissions.len()];
        self.proxies.insert(
            proxy,
            ProxyState {
                zone,
                request_rates: rates,
                connected_at: now,
                last_reports: heard,
                default_table: standing,
                unsynchronised: unsure,
            },
        );
        self.last_connections.insert(zone, now);
    }

    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.critical_tables.retain(|(critical, _), _| *critical != proxy);
    }

    pub fn record_replica_statistics(&mut self, now: Duration, met: ReplicaStatistics) {
        self.last_reports.insert(met.zone, now);
        // What comes all the time has a span as long as its lines wait; that of rare lines is longer.
        self.shortest_interval = self.shortest_interval.or(Some(met.interval)).min(Some(met.interval));
        let Some(replica) = self.replicas.get_mut(&met.replica) else { return };
        let waiting = self.parameters.load_positions[1].and_then(|at| met.load.get(at));
        replica.queue = waiting.map(|waiting| (*waiting, now)).or(replica.queue);
        let span = met.interval.as_secs_f64().max(0.001);
        let kept = (-span / self.parameters.averaging_seconds).exp();
        let delivered = met.attempts.saturating_sub(met.failed) as f64;
        let sight = replica.observations.entry(met.zone).or_default();
        sight.succeeded = sight.succeeded * kept + delivered;
        sight.failed = sight.failed * kept + met.failed as f64;
        let kept = if sight.last_report.is_zero() { 0.0 } else { kept }; // else early answers look like few
        sight.attempts_per_second += (met.attempts as f64 / span - sight.attempts_per_second) * (1.0 - kept);
        (sight.last_report, sight.last_success) =
            (now, if delivered > 0.0 { now } else { sight.last_success });
        if let Some(mean) = met.mean_latency.map(|mean| mean.as_secs_f64()) {
            self.latency_sum = (self.latency_sum.0 + delivered, self.latency_sum.1 + delivered * mean);
            let share =
                if sight.latency_seconds > 0.0 { per(delivered, sight.succeeded.max(1.0)) } else { 1.0 };
            sight.latency_seconds += (mean - sight.latency_seconds) * share;
        }
    }

    pub fn record_demand(&mut self, now: Duration, came: DemandStatistics) {
        self.shortest_interval = self.shortest_interval.or(Some(came.interval)).min(Some(came.interval));
        let Some(proxy) = self.proxies.get_mut(&came.proxy) else { return };
        let (rate, heard) = (proxy.request_rates.get_mut(came.class), proxy.last_reports.get_mut(came.class));
        let Some((rate, heard)) = rate.zip(heard) else { return };
        let unanswered = &mut self.failed_fractions[came.class];
        let share =
            per(came.failed as f64, came.requests as f64 * self.class_admissions[came.class].0).min(1.0);
        *unanswered += 0.01 * self.class_admissions[came.class].0 * (share - *unanswered);
        // A line's span may be cut short, and silence has none: where flows are rare both would look like
        // more of them. Over fewer than some four flows chance would do the same.
        let span =
            came.interval.max(now.saturating_sub(std::mem::replace(heard, now))).as_secs_f64().max(0.001);
        let averaged = per(4.0, *rate)
            .clamp(self.parameters.averaging_seconds, 12.0 * self.parameters.averaging_seconds);
        *rate += (came.requests as f64 / span - *rate) * (1.0 - (-span / averaged).exp());
    }

    /// What a probe found: how long the answer took, if one came.
    pub fn record_health_check(
        &mut self,
        now: Duration,
        id: &ReplicaId,
        took: Option<Duration>,
        load: &[f64],
    ) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.failed_health_checks = if took.is_some() { 0 } else { replica.failed_health_checks + 1 };
        let known = replica.in_flight.unwrap_or(1.0);
        replica.in_flight = match self.parameters.load_positions[0].map(|at| load.get(at)) {
            Some(Some(in_hand)) => Some(known + (in_hand - known) / 3.0),
            // A probe waits behind flows: one unanswered tells of load where those answered tell of none.
            Some(None) if took.is_none() => Some(1.3 * known.max(1.0)), // that much more each
            _ => replica.in_flight,
        };
        self.health_checks_due.extend(
            self.parameters
                .health_check_interval
                .filter(|_| replica.ready)
                .map(|then| (now + then, id.clone())),
        );
    }

    /// A marked message took effect this long after it was ordered: what went well before it has left.
    pub fn acknowledged(&mut self, took: Duration) {
        let ordered = self.drained_at.saturating_sub(took + self.parameters.max_transit_delay);
        self.sent_batches.retain(|(at, _)| *at >= ordered);
        self.queued_entries = self.queued_entries.min(self.sent_batches.iter().map(|(_, lines)| lines).sum());
    }

    pub fn tick(&mut self) {
        self.tick_pending = true;
    }

    /// Whether anything is still known of a replica; of what is gone and in no table nothing is.
    pub fn tracks(&self, id: &ReplicaId) -> bool {
        self.replicas.contains_key(id)
    }

    pub fn state_estimate(&self) -> StateEstimate {
        let (offered, answered) =
            (self.proxies.values().flat_map(|one| &one.request_rates).sum(), self.success_rate());
        let out = self.replicas.values().filter(|one| one.ready && one.is_unavailable()).count();
        let open = self.replicas.values().filter(|one| one.ready && !one.is_unavailable()).count();
        let unsure = self.proxies.values().filter(|one| one.unsynchronised).count();
        StateEstimate {
            offered_per_second: offered,
            answered_per_second: answered,
            admission_fraction: self.admission_fraction,
            available_replicas: open,
            ejected_replicas: out,
            proxies: self.proxies.len(),
            unsynchronised_proxies: unsure,
        }
    }

    pub fn is_critical(&self, proxy: ProxyId) -> bool {
        self.critical_tables.range((proxy, 0)..=(proxy, 1)).next().is_some()
    }

    /// For operators: why a replica gets nothing, or little, if that is so.
    pub fn ejection_reason(&self, id: &ReplicaId) -> Option<&'static str> {
        let replica = self.replicas.get(id)?;
        match replica.health {
            _ if !replica.ready => Some("drains or is gone"),
            _ if replica.withheld => Some("too cold for tables that can't be read"),
            HealthState::Ejected(..) => Some("withdrawn: does not answer, or drops far more than the fleet"),
            HealthState::Probation(_) => Some("on trial after a withdrawal"),
            HealthState::Healthy => None,
        }
    }

    /// The next decision. What was put in is settled by the first pull after a `None`.
    pub fn next_decision(&mut self, now: Duration) -> Option<Decision> {
        if !self.settled {
            self.process(now);
        }
        self.settled = !self.pending.is_empty();
        self.pending.pop_front()
    }

    fn process(&mut self, now: Duration) {
        let beat = std::mem::take(&mut self.tick_pending);
        if beat {
            self.pending.push_back(Decision::ScheduleTick(TICK_INTERVAL));
            self.ticks += 1;
            self.update_health(now);
            if self.ticks.is_multiple_of(4) {
                self.adjust_admission(now);
            }
            if self.ticks.is_multiple_of(8) {
                let period = Duration::from_secs_f64(self.parameters.averaging_seconds / 5.0);
                self.report_delay = self
                    .shortest_interval
                    .take()
                    .map_or(self.report_delay, |least| least.saturating_sub(period));
                self.correct_capacities(now);
                self.update_critical_set(now);
            }
        }
        for (_, id) in self.health_checks_due.extract_if(.., |(at, _)| *at <= now) {
            self.pending
                .extend(self.replicas.get(&id).filter(|one| one.ready).map(|_| Decision::CheckHealth(id)));
        }
        let ordinary = beat && now >= self.next_flush_at;
        self.next_flush_at = if ordinary { now + self.parameters.flush_interval } else { self.next_flush_at };
        self.publish(now, beat, ordinary);
    }

    /// What part of its weight a replica may be sent: in stress proxies pile onto those that still answer.
    fn usable_fraction(&self, replica: &ReplicaState, now: Duration) -> f64 {
        let capacity = replica.warm_fraction(&self.parameters, now);
        let stress = if self.unobserved { 0.5 } else { at(&self.zone_stress, &replica.zone) };
        // What is bound to a zone with nothing warm can't go elsewhere: there all bear their part.
        let (bound, thin) =
            (self.parameters.classes_by_scope[1] != 0, self.underprovisioned_zones.contains(&replica.zone));
        let wary = capacity < 1.0 && if bound { stress > 0.0 && !thin } else { stress > 0.0 || thin };
        match replica.health {
            _ if replica.is_unavailable() || wary && capacity < self.parameters.stress_factor * stress => 0.0,
            HealthState::Probation(_) => 0.1 * capacity, // enough for four answers in some seconds
            _ if wary => capacity * capacity * (1.0 - stress),
            _ => capacity,
        }
    }

    fn admitted_demand(&self, proxy: &ProxyState, groups: ClassSet) -> f64 {
        let rates = proxy.request_rates.iter().zip(&self.class_admissions).enumerate();
        rates
            .filter(|(at, _)| groups >> (*at).min(63) & 1 == 1)
            .map(|(_, (rate, (level, _)))| rate * level)
            .sum()
    }

    /// Health, by symptom: no answers where answers are due, or far more drops than the fleet has.
    fn update_health(&mut self, now: Duration) {
        let open = |one: &ReplicaState| if one.is_unavailable() { (0.0, 0.0) } else { one.attempt_counts() }; // tells of no load
        let tries = self.aggregate_by_zone(|a, b| a + b, |one| open(one).0 + open(one).1);
        let dropped = self.aggregate_by_zone(|a, b| a + b, |one| open(one).1);
        let whole: f64 = tries.values().sum();
        let usual_drops = per(dropped.values().sum(), whole.max(1.0));
        self.unobserved = self.unobserved && whole < MIN_OBSERVED_ATTEMPTS;
        let tried = self.replicas.values().map(open).filter(|(d, m)| d + m >= 4.0);
        self.fleet_wide_fault = 2 * tried.clone().filter(|(d, m)| *m > 0.1 * (d + m)).count() > tried.count();
        let of = |zone: &usize, drops: f64| per(drops, at(&tries, zone).max(0.4 * MIN_OBSERVED_ATTEMPTS));
        let share = |(zone, drops): (usize, f64)| (zone, of(&zone, drops).max(usual_drops));
        self.zone_stress = dropped.into_iter().map(share).filter(|(_, share)| *share > MIN_STRESS).collect();
        let suspects = self.find_outliers(now, usual_drops);
        self.eject_worst(now, suspects);
        self.restore_ejected(now);
        self.update_withheld(now);
        for replica in self.replicas.values_mut() {
            let (delivered, dropped) = replica.attempt_counts();
            let passes = delivered >= 4.0 && dropped < 0.25 * delivered;
            match replica.health {
                HealthState::Ejected(at, times) if now >= at && replica.failed_health_checks == 0 => {
                    replica.reset_observations(now, HealthState::Probation(times));
                }
                HealthState::Probation(_) if passes => replica.health = HealthState::Healthy,
                _ => {}
            }
        }
    }

    /// Replicas that look ill beside the fleet, by how ill; those that failed their trial come first.
    fn find_outliers(&mut self, now: Duration, usual: f64) -> Vec<(f64, ReplicaId)> {
        let sending = self.load_model(now).rates_by_zone();
        let sights = self.replicas.values().flat_map(|replica| replica.observations.values());
        let (flows, time) =
            sights.fold((0.0, 0.0), |(n, t), s| (n + s.succeeded, t + s.succeeded * s.latency_seconds));
        let answering = Duration::from_secs_f64(1.5 * time / flows.max(1.0));
        let settling = self.parameters.settling_time + self.report_delay + answering; // before silence means anything
        let ready = self.replicas.values().filter(|one| one.ready);
        let (ready, mute) =
            (ready.clone().count(), ready.filter(|one| one.failed_health_checks >= 2).count());
        let (mean, _) = self.mean_utilisation(now);
        let mut suspects = Vec::new();
        for ((id, replica), zones) in self.replicas.iter().zip(&sending).filter(|((_, one), _)| one.ready) {
            let (delivered, dropped) = replica.attempt_counts();
            let last =
                replica.observations.values().map(|sight| sight.last_success).max().unwrap_or_default();
            let from = (last + answering).max(replica.observed_since + settling);
            // A zone whose sums stopped, or whose proxies just came, says nothing by its silence.
            let owed = |zone: &usize| {
                let from = from.max(self.last_connections.get(zone).copied().unwrap_or(now) + settling);
                at(&self.last_reports, zone).saturating_sub(from + self.report_delay).as_secs_f64()
            };
            let due: f64 = zones.iter().map(|(zone, rate)| rate * owed(zone)).sum();
            let due = due * per(replica.expected_rate, zones.values().sum()).min(1.0); // not if just widened
            let share = per(dropped, (delivered + dropped).max(1.0));
            // A probe waits behind flows: unanswered ones count only where they are rare in the fleet.
            let mute = replica.failed_health_checks >= 2 && 5 * mute <= ready;
            let silent = due >= if mute { 0.25 * MAX_MISSING_ANSWERS } else { MAX_MISSING_ANSWERS };
            let failing = dropped >= 4.0 && share >= (3.0 * usual).min(0.5 + 0.5 * usual).max(0.3);
            let silent = silent || dropped >= 4.0 && share > 0.95; // dead, however many others are too
            // One that drops for its queue is overloaded: withdrawing it would tip the next.
            let busy = self.utilisation(replica, now).is_some_and(|held| held > 1.3 * mean)
                || replica.queue.is_some_and(|(waiting, _)| waiting >= 2.0);
            let ill = match replica.health {
                HealthState::Healthy if silent => 1.0 + due,
                HealthState::Healthy if failing && !busy => share,
                HealthState::Probation(_) if silent || dropped > delivered.max(1.0) => f64::MAX,
                _ => continue,
            };
            suspects.push((ill, id.clone()));
        }
        for (replica, zones) in self.replicas.values_mut().zip(sending) {
            let rate: f64 = zones.values().sum();
            replica.expected_rate += (rate - replica.expected_rate) * TICK_INTERVAL.as_secs_f64()
                / self.parameters.averaging_seconds;
            replica.observed_since = if rate == 0.0 { now } else { replica.observed_since }; // in no table it owes no answers
        }
        suspects.sort_by(|one, other| other.0.total_cmp(&one.0));
        suspects
    }

    /// Withdraws the worst, never so many that the rest, or what is left of a zone, could not bear it.
    fn eject_worst(&mut self, now: Duration, suspects: Vec<(f64, ReplicaId)>) {
        let ready = self.replicas.values().filter(|one| one.ready).count();
        let mut out = self.replicas.values().filter(|one| one.ready && one.is_unavailable()).count();
        for (ill, id) in suspects {
            let zone = self.replicas[&id].zone;
            let own = self.replicas.iter().filter(|(_, one)| one.zone == zone && one.ready);
            let own = own.map(|(other, one)| {
                (*other != id && !one.is_unavailable(), one.warm_fraction(&self.parameters, now))
            });
            let all: f64 = own.clone().map(|(_, capacity)| capacity).sum();
            let rest = own.filter(|(open, _)| *open).map(|(_, capacity)| capacity);
            let (left, warm) = rest.fold((0.0, 0.0), |(left, warm), one| (left + one, one.max(warm)));
            let least = all * if ill < 1.0 { 0.7 } else { 0.34 };
            let bares = self.parameters.classes_by_scope[1] != 0 && (warm < 1.0 || left < least);
            let Some(replica) = self.replicas.get_mut(&id) else { continue };
            let times = if let HealthState::Probation(times) = replica.health { times } else { 0 };
            let spared = self.fleet_wide_fault || 10 * (out + 1) > 4 * ready || bares;
            if times > 0 || !spared {
                out += 1;
                replica.reset_observations(
                    now,
                    HealthState::Ejected(now + FIRST_EJECTION * 2u32.pow(times.min(4)), times + 1),
                );
            }
        }
    }

    /// Where nothing warm is open an ill replica is better than none, as when drains follow a withdrawal.
    fn restore_ejected(&mut self, now: Duration) {
        let open = |one: &ReplicaState| {
            if one.is_unavailable() { 0.0 } else { one.warm_fraction(&self.parameters, now) }
        };
        let best = self.aggregate_by_zone(f64::max, open);
        let (bound, fleet) =
            (self.parameters.classes_by_scope[1] != 0, best.values().copied().fold(0.0, f64::max));
        for replica in self.replicas.values_mut().filter(|one| one.ready && one.is_unavailable()) {
            let best = if bound { at(&best, &replica.zone) } else { fleet };
            if best == 0.0 || best < 1.0 && replica.warm_fraction(&self.parameters, now) >= 1.0 {
                replica.reset_observations(now, HealthState::Healthy);
            }
        }
        self.underprovisioned_zones =
            best.into_iter().filter(|(_, best)| *best < 1.0).map(|(zone, _)| zone).collect();
    }

    fn sum_replicas(&self, of: impl Fn(&ReplicaState) -> f64) -> f64 {
        self.replicas.values().map(of).sum()
    }

    fn aggregate_by_zone(
        &self,
        join: fn(f64, f64) -> f64,
        of: impl Fn(&ReplicaState) -> f64,
    ) -> BTreeMap<usize, f64> {
        let mut zones = BTreeMap::new();
        for one in self.replicas.values() {
            zones.entry(one.zone).and_modify(|all| *all = join(*all, of(one))).or_insert_with(|| of(one));
        }
        zones
    }

    /// The default of each zone, by kind of table: own zone first, spilling over where that can't bear it.
    fn default_tables(&self, now: Duration) -> BTreeMap<(usize, usize), Weights> {
        let limp = |one: &ReplicaState| {
            if one.capacity_correction < SLOW_REPLICA_CORRECTION {
                one.capacity_correction.exp()
            } else {
                1.0
            }
        };
        let weight = |one: &ReplicaState| one.weight * self.usable_fraction(one, now) * limp(one);
        let bears = self.aggregate_by_zone(|a, b| a + b, weight);
        let (mut bound, mut all, mut joined) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for one in self.proxies.values() {
            *joined.entry(one.zone).or_insert(0.0) += 1.0;
            *bound.entry(one.zone).or_insert(0.0) +=
                self.admitted_demand(one, self.parameters.classes_by_scope[1]);
            *all.entry(one.zone).or_insert(0.0) += self.admitted_demand(one, ClassSet::MAX);
        }
        // Other governors' proxies are unheard: taken to be where fewer are here than the fleet's sizes tell.
        let (here, mine) = (self.proxies.len() as f64, all.values().sum::<f64>());
        let sizes = self.aggregate_by_zone(|a, b| a + b, |one| if one.ready { one.weight } else { 0.0 });
        let each = per(self.parameters.total_proxies, sizes.values().sum());
        let away = |(zone, size): (&usize, &f64)| (each * size - at(&joined, zone)).max(0.0);
        let more = per(mine, here)
            * per((self.parameters.total_proxies - here).max(0.0), sizes.iter().map(away).sum());
        sizes.iter().for_each(|one| *all.entry(*one.0).or_insert(0.0) += more * away(one));
        let slack = ZONE_HEADROOM.0 * per(all.values().sum(), bears.values().sum());
        // Demand that the fleet does not answer shows no room: it would only fell the cold.
        let flowing = if self.unobserved { 1.0 } else { per(self.success_rate(), mine).min(1.0) };
        let spare = |zone: &usize| (slack * at(&bears, zone) - at(&all, zone)).max(0.0);
        let mut defaults = BTreeMap::new();
        for &zone in joined.keys() {
            let (own, bound, all) = (at(&bears, &zone), at(&bound, &zone), at(&all, &zone));
            let mut here = self.replicas.values().filter(|one| one.zone == zone);
            let hurt =
                here.clone().any(|one| weight(one) < one.weight) || all > ZONE_HEADROOM.1 * slack * own;
            let cold =
                here.any(|one| !one.is_unavailable() && one.warm_fraction(&self.parameters, now) < 1.0);
            let slack = slack * if cold { flowing } else { 1.0 };
            // Where nothing is warm, what is bound there needs all of it, and the rest goes elsewhere.
            let kept = if hurt { per(slack * own - bound, all - bound).clamp(0.05, 1.0) } else { 1.0 };
            let kept =
                if self.parameters.classes_by_scope[1] != 0 && self.underprovisioned_zones.contains(&zone) {
                    0.0
                } else {
                    kept
                };
            let rest: f64 = bears.keys().filter(|other| **other != zone).map(spare).sum();
            let out = if kept < 0.95 { own.max(1.0) * (1.0 - kept) } else { 0.0 };
            let free = |to| if to == zone { kept } else { out * per(per(spare(&to), rest), bears[&to]) };
            let own = |other: usize| f64::from(u8::from(other == zone));
            for kind in 0..2 {
                let part = |other| if kind == 0 { free(other) } else { own(other) };
                let mut lines = self.weigh_replicas(|one| weight(one) * part(one.zone));
                if lines.is_empty() {
                    let open = |one: &ReplicaState| f64::from(u8::from(kind == 0 || one.zone == zone));
                    lines =
                        self.weigh_replicas(|one| open(one) * one.available_weight(&self.parameters, now));
                }
                defaults.insert((zone, kind), lines);
            }
        }
        defaults
    }

    fn weigh_replicas(&self, weigh: impl Fn(&ReplicaState) -> f64) -> Weights {
        let lines = self.replicas.iter().map(|(id, one)| (id.clone(), weigh(one)));
        lines.filter(|(_, weight)| *weight > 0.0).collect()
    }

    /// Whether tables of a draw no longer do what the zone's default would, and whether that can't wait.
    fn staleness(&self, draw: DefaultTableSample, default: &Weights) -> (bool, bool) {
        if !self.is_partial_sample(draw) {
            let named =
                self.replicas.iter().filter(|(_, one)| one.is_candidate(draw) && !one.is_unavailable());
            let less = |(id, weight): (&ReplicaId, &f64)| *weight < self.replicas[id].weight;
            let rotten = !named.map(|(id, _)| id).eq(default.keys()) || default.iter().any(less);
            return (rotten, rotten);
        }
        // Expectation tells of what can't be read: worn below 0.6 of its part, all bound if one may be bare.
        let open = |one: &ReplicaState| if one.is_unavailable() { 0.0 } else { one.weight };
        let left = self.sum_replicas(|one| if one.is_candidate(draw) { open(one) } else { 0.0 });
        let all = self.sum_replicas(|one| if one.is_candidate(draw) { one.weight } else { 0.0 });
        let here = self.sum_replicas(|one| if one.zone == draw.1 { open(one) } else { 0.0 });
        let tables = self.proxies.values().filter(|one| one.default_table == Some(draw)).count() as f64;
        let bare = tables * (1.0 - per(left, all)).powi(self.parameters.default_table_size as i32) > 0.02;
        (bare || left < 0.6 * here.max(all), bare)
    }

    /// Pace: all orders leave here, urgent ones first, as one message to each proxy concerned.
    fn publish(&mut self, now: Duration, beat: bool, ordinary: bool) {
        let sent =
            now.saturating_sub(self.drained_at).as_secs_f64() * self.parameters.assured_entries_per_second;
        (self.queued_entries, self.drained_at) = ((self.queued_entries - sent).max(0.0), now);
        self.sent_batches.retain(|_| self.queued_entries > 0.0);
        let before = self.queued_entries;
        let (most, over) = self.parameters.flush_limit;
        self.recent_flushes.retain(|at| *at + over > now);
        let urgent = self.replicas.values().any(|one| one.is_unavailable() && !one.ejection_sent);
        // The fuller the span is, the longer an urgent one waits for others to go with it.
        let gap = over.mul_f64(self.recent_flushes.len() as f64 / (most as f64).powi(2));
        let soon = self.recent_flushes.back().is_some_and(|last| now < *last + gap);
        let flush =
            (ordinary || urgent && !soon) && self.recent_flushes.len() < most && !self.proxies.is_empty();
        let first = self.pending.len();
        if flush {
            self.send_ejections(true);
        }
        if flush || beat && self.proxies.values().any(|proxy| proxy.unsynchronised) {
            self.sent_tables(now, flush);
        }
        if flush {
            self.send_ejections(false);
            self.send_admission(now);
            self.forget_gone_replicas(now);
        }
        self.sent_batches
            .extend((self.queued_entries > before).then_some((now, self.queued_entries - before)));
        if flush && self.pending.len() > first {
            self.recent_flushes.push_back(now);
            self.pending
                .push_back(Decision::RequestAcknowledgement((self.ticks % u64::from(u16::MAX)) as u16));
        }
    }

    /// Years of deploys under new names would add up. What a table may still name stays, with its withdrawal:
    /// a proxy would send to it again. So does what went lately: joiners may have drawn from an older list.
    fn forget_gone_replicas(&mut self, now: Duration) {
        let over = |one: &ReplicaState| one.gone_since.filter(|gone| *gone + RETENTION < now);
        let count = self.replicas.values().filter(|one| over(one).is_some()).count();
        if count == 0
            || self.queued_entries + self.ejection_cost(count) > 0.5 * self.parameters.max_queued_entries
        {
            return;
        }
        let tables = self.sent_tables.values().chain(self.critical_tables.values());
        let named: BTreeSet<&ReplicaId> = tables.flat_map(BTreeMap::keys).collect();
        let draws: BTreeSet<DefaultTableSample> =
            self.proxies.values().filter_map(|one| one.default_table).collect();
        let drawn = |zone, gone| draws.iter().any(|(at, of)| *of == zone && *at < gone + RETENTION);
        let forgotten = |one: &ReplicaState| over(one).is_some_and(|gone| !drawn(one.zone, gone));
        let gone = self.replicas.extract_if(.., |id, one| !named.contains(id) && forgotten(one));
        let told: Vec<_> = gone.filter(|(_, one)| one.ejection_sent).collect();
        self.queued_entries += self.ejection_cost(told.len());
        self.pending
            .extend(told.into_iter().map(|(id, _)| Decision::SetEjected { replica: id, ejected: false }));
    }

    /// The lines of so many withdrawals: to all whose tables can't be read, and twice as many as name one.
    fn ejection_cost(&self, replicas: usize) -> f64 {
        let named = (2.0
            * per(self.parameters.default_table_size as f64, self.sum_replicas(|one| one.ready.into())))
        .min(1.0);
        let part =
            |one: &ProxyState| if one.unsynchronised || one.default_table.is_some() { 1.0 } else { named };
        let lines = self.proxies.values().map(|one| replicas as f64 * part(one));
        lines.map(|lines| lines + lines.min(1.0) * self.parameters.message_overhead_entries).sum()
    }

    /// What does not fit waits, drains least; what may come back leaves room for all else.
    fn send_ejections(&mut self, out: bool) {
        let room = if out { 1.1 } else { 0.5 } * self.parameters.max_queued_entries - self.queued_entries;
        let concerned =
            self.replicas.iter().filter(|(_, one)| one.is_unavailable() == out && one.ejection_sent != out);
        let concerned: BTreeSet<_> = concerned.map(|(id, one)| (one.ready, id.clone())).collect();
        let fitting = (1..=concerned.len()).take_while(|count| self.ejection_cost(*count) <= room).count();
        self.queued_entries += self.ejection_cost(fitting);
        for (_, id) in concerned.into_iter().take(fitting) {
            self.replicas.entry(id.clone()).and_modify(|one| one.ejection_sent = out);
            self.pending.push_back(Decision::SetEjected { replica: id, ejected: out });
        }
    }

    /// Default repair and solved tables: what each proxy should hold, to those whose table it is not.
    fn sent_tables(&mut self, now: Duration, flush: bool) {
        let (defaults, mut bearable, mut field) =
            (self.default_tables(now), self.underprovisioned_capacity(now), self.load_model(now));
        let critical: BTreeSet<ProxyId> = self.critical_tables.keys().map(|(id, _)| *id).collect();
        // Few lines of a busy one make hot spots, from 0.07 of a replica's due. Others' proxies count alike.
        let like = per(self.parameters.total_proxies, self.proxies.len() as f64).max(1.0)
            * self.parameters.default_table_size as f64;
        let due = field.loads.iter().sum::<f64>()
            / self.sum_replicas(|one| f64::from(u8::from(one.ready))).max(1.0);
        let (mut draws, mut concerned) = (BTreeMap::new(), Vec::new());
        for (&id, proxy) in &self.proxies {
            let (default, stands) = (&defaults[&(proxy.zone, 0)], proxy.default_table.is_some());
            let rot = |draw| *draws.entry(draw).or_insert_with(|| self.staleness(draw, default));
            let (rotten, pressing) = proxy.default_table.map_or((false, false), rot);
            let unread = || proxy.default_table.is_some_and(|draw| self.is_partial_sample(draw));
            let busy = self.admitted_demand(proxy, ClassSet::MAX) > 0.07 * like * due && unread();
            let bind = proxy.unsynchronised || flush && (rotten || busy || stands && critical.contains(&id));
            if bind || flush && !stands {
                let open =
                    |kind| field.flows.get(&(id, kind)).map_or(0, |(.., at)| field.distributions[*at].len());
                let few = !stands
                    && (0..2).any(|kind| self.parameters.classes_by_scope[kind] != 0 && open(kind) < 3);
                let rank = if proxy.unsynchronised { 0 } else { 2 - usize::from(pressing || few) };
                concerned.push((rank, -self.admitted_demand(proxy, ClassSet::MAX), id, bind));
            }
        }
        // Who can't wait first, then the busiest: the channel may not bear all at once.
        concerned.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        for (rank, _, id, bind) in concerned {
            let spared = [0.8, 0.8, 0.5][rank]; // the rest is for drains, which joiners heed, too
            if self.queued_entries + 2.0 * MAX_TABLE_ENTRIES as f64
                > spared * self.parameters.max_queued_entries
            {
                break;
            }
            let (zone, groups, mut sent) = (self.proxies[&id].zone, self.parameters.classes_by_scope, 0);
            for kind in (0..2).filter(|kind| groups[*kind] != 0) {
                let mut wanted = self.desired_table((id, kind), &defaults[&(zone, kind)], &mut field, now);
                if let Some(left) = bearable.get_mut(&zone).filter(|_| kind == 1) {
                    *left -= self.admitted_demand(&self.proxies[&id], groups[1]);
                    wanted.retain(|_, _| *left > 0.0);
                }
                sent += self.update_table((id, kind), wanted, bind);
            }
            self.queued_entries +=
                sent as f64 + if sent > 0 { self.parameters.message_overhead_entries + 1.0 } else { 0.0 };
            if let Some(proxy) = self.proxies.get_mut(&id).filter(|_| bind) {
                (proxy.unsynchronised, proxy.default_table) = (false, None);
            }
        }
    }

    /// Flows for zones with nothing warm: 1.2 times what the fleet answers for its capacity fells none.
    fn underprovisioned_capacity(&self, now: Duration) -> BTreeMap<usize, f64> {
        let bears = self.aggregate_by_zone(|a, b| a + b, |one| one.available_weight(&self.parameters, now));
        let each = 1.2 * per(self.success_rate(), bears.values().sum());
        let cold = |zone: &usize| {
            self.parameters.classes_by_scope[1] != 0 && self.underprovisioned_zones.contains(zone)
        };
        bears.into_iter().filter(|(zone, _)| cold(zone)).map(|(zone, bears)| (zone, each * bears)).collect()
    }

    /// The lines that a proxy should hold: its solved ones while they stand, else its zone's default.
    fn desired_table(
        &self,
        unit: TableKey,
        default: &Weights,
        field: &mut LoadModel,
        now: Duration,
    ) -> Weights {
        let mut solved = self.critical_tables.get(&unit).cloned().unwrap_or_default();
        solved.retain(|id, _| self.usable_fraction(&self.replicas[id], now) > 0.0);
        // The solver, or the loss of its other lines, would lean on a cold replica beside busy ones.
        let cold = |lines: &Weights| {
            let cold =
                lines.iter().filter(|(id, _)| self.replicas[*id].warm_fraction(&self.parameters, now) < 1.0);
            per(cold.map(|(_, weight)| weight).sum(), lines.values().sum())
        };
        if !solved.is_empty() && cold(&solved) <= cold(default) {
            return solved;
        }
        let (proxy, held) =
            (&self.proxies[&unit.0], self.sent_tables.get(&unit).cloned().unwrap_or_default());
        let size = (
            proxy.zone,
            self.admitted_demand(proxy, self.parameters.classes_by_scope[unit.1]),
            self.parameters.default_table_size,
        );
        let whole = (default.len() <= MAX_TABLE_ENTRIES).then(|| default.clone());
        whole.unwrap_or_else(|| field.small_default(unit, size, default, &held))
    }

    fn update_table(&mut self, unit: TableKey, wanted: Weights, bind: bool) -> usize {
        let table = self.sent_tables.entry(unit).or_default();
        let gone = table.keys().filter(|id| !wanted.contains_key(*id));
        let rounded = wanted.iter().map(|(id, weight)| (id, (weight * 1000.0).round().max(1.0) / 1000.0));
        let moved =
            |id, part: f64| (part - at(table, id)).abs() > MIN_WEIGHT_CHANGE * part.max(at(table, id));
        let lines = gone.map(|id| (id, 0.0)).chain(rounded.filter(|(id, weight)| moved(*id, *weight)));
        let lines: Vec<(ReplicaId, f64)> = lines.map(|(id, weight)| (id.clone(), weight)).collect();
        table.extend(lines.iter().cloned());
        table.retain(|_, weight| *weight > 0.0);
        // A proxy whose number leaves none for two tables stays on what it holds.
        let Some(n) = unit.0.checked_mul(2).filter(|n| *n < TableId::MAX - 2) else { return 0 };
        let (n, cost) = (n + unit.1 as TableId, if bind { 1 + 2 * table.len() } else { lines.len() });
        self.pending.extend((!lines.is_empty()).then(|| {
            let entries = lines.into_iter().map(|(replica, weight)| TableEntry { replica, weight });
            Decision::UpdateTable { table: n, entries: entries.collect() }
        }));
        self.pending.extend(bind.then_some(Decision::AssignTable {
            proxy: unit.0,
            table: n,
            classes: self.parameters.classes_by_scope[unit.1],
        }));
        cost
    }

    /// Heard load by listed weight, where any is heard: flows in hand, by probes or else by Little's law.
    fn utilisation(&self, replica: &ReplicaState, now: Duration) -> Option<f64> {
        let load = |(zone, sight): (&usize, &ZoneObservation)| {
            let age = at(&self.last_reports, zone).saturating_sub(sight.last_report + self.report_delay);
            sight.attempts_per_second
                * sight.latency_seconds
                * (-age.as_secs_f64() / self.parameters.averaging_seconds).exp()
        };
        let loads =
            replica.observations.iter().filter(|(_, sight)| sight.attempts_per_second > 0.0).map(load);
        let load = replica.in_flight.or_else(|| loads.reduce(|one, other| one + other))?;
        Some(load / replica.weight / replica.warm_fraction(&self.parameters, now))
    }

    fn mean_utilisation(&self, now: Duration) -> (f64, f64) {
        let (mut load, mut bears, mut peak) = (0.0, 0.0, 0.0f64);
        for replica in self.replicas.values().filter(|one| self.usable_fraction(one, now) > 0.0) {
            let Some(utilisation) = self.utilisation(replica, now) else { continue };
            let weight = replica.weight * replica.warm_fraction(&self.parameters, now);
            (load, bears, peak) = (load + utilisation * weight, bears + weight, peak.max(utilisation));
        }
        (per(load, bears), peak)
    }

    /// The page's Weak: a slow replica holds more flows at the same rate, so its room bends towards the mean.
    fn correct_capacities(&mut self, now: Duration) {
        let (mean, _) = self.mean_utilisation(now);
        let heard: Vec<Option<f64>> = self.replicas.values().map(|one| self.utilisation(one, now)).collect();
        for (replica, heard) in self.replicas.values_mut().zip(heard) {
            let step =
                heard.map_or(0.0, |heard| CAPACITY_CORRECTION.0 * per(mean, heard.max(1e-9)).max(1e-9).ln());
            replica.capacity_correction = (CAPACITY_CORRECTION.1 * replica.capacity_correction
                + step.clamp(-0.5, 0.2))
            .clamp(-1.4, 0.25);
        }
    }

    /// The critical set: greedy from the previous one, by the page's cycles below target, share and payoff.
    fn update_critical_set(&mut self, now: Duration) {
        let (mean, peak) = self.mean_utilisation(now);
        self.cycles_below_target = if mean < TARGET_RATIO * peak { self.cycles_below_target + 1 } else { 0 };
        let most = (self.proxies.len() as f64 * 0.15).ceil() as usize;
        let mut set: BTreeSet<ProxyId> = self.critical_tables.keys().map(|(id, _)| *id).collect();
        let mut field = self.load_model(now);
        let mut best = field.payoff().0;
        while self.cycles_below_target >= 3 && !self.fleet_wide_fault {
            field.water_fill(&set);
            let (payoff, ratio) = field.payoff();
            if payoff > best && !field.solved.is_empty() {
                (best, self.critical_tables) = (payoff, field.solved_tables());
            }
            // A quarter of the set joins at a time, or large fleets would take too long.
            let joining =
                field.largest_senders(&set, (1 + set.len() / 4).min(most.saturating_sub(set.len())));
            let done = ratio >= TARGET_RATIO || joining.is_empty();
            set.extend(if done { break } else { joining });
        }
    }

    fn load_model(&self, now: Duration) -> LoadModel {
        // Where many tries fail a new line mostly brings a connection that fails as well: all stay.
        let favour = if self.fleet_wide_fault { f64::MAX } else { 1.5 };
        let ids = self.replicas.keys().cloned().collect();
        let mut field = LoadModel {
            replicas: ids,
            cross_zone_price: self.parameters.cross_zone_price,
            retention_preference: favour,
            ..LoadModel::default()
        };
        let mut known = BTreeMap::new();
        for (&id, proxy) in &self.proxies {
            for unit in [(id, 0), (id, 1)] {
                let demand = self.admitted_demand(proxy, self.parameters.classes_by_scope[unit.1]);
                let place = *known.entry(proxy.default_table.ok_or(unit)).or_insert_with_key(|held| {
                    let drawn = |draw| {
                        self.weigh_replicas(|one| if one.is_candidate(draw) { one.weight } else { 0.0 })
                    };
                    let own = |unit| self.sent_tables.get(&unit).cloned().unwrap_or_default();
                    let mut lines = held.map_or_else(own, drawn);
                    lines.retain(|id, _| self.replicas.get(id).is_some_and(|one| !one.ejection_sent));
                    let whole = lines.values().sum();
                    let place = |id: &ReplicaId| field.replicas.binary_search(id).unwrap_or_default();
                    let shares = lines.iter().map(|(id, part)| (place(id), per(*part, whole))).collect();
                    field.distributions.push(shares);
                    field.distributions.len() - 1
                });
                if demand > 0.0 && !field.distributions[place].is_empty() {
                    field.flows.insert(unit, (proxy.zone, demand, place));
                    *field.demand_by_distribution.entry((proxy.zone, place)).or_insert(0.0) += demand;
                }
            }
        }
        field.water_fill(&BTreeSet::new());
        let weight = |one: &ReplicaState| one.weight * self.usable_fraction(one, now);
        let fleet = per(field.loads.iter().sum(), self.sum_replicas(weight));
        let room = |one: &ReplicaState| (one.zone, fleet * weight(one) * one.capacity_correction.exp());
        field.capacities = self.replicas.values().map(room).collect();
        field
    }

    /// Levels go by the fleet's mean answer: a trouble of a few replicas doesn't move that far enough.
    fn adjust_admission(&mut self, now: Duration) {
        let (answers, time) = std::mem::take(&mut self.latency_sum);
        let late = if answers < 0.2 * MIN_OBSERVED_ATTEMPTS {
            return;
        } else {
            time / answers / self.parameters.latency_objective_seconds
        };
        let echo = self.parameters.settling_time + self.report_delay + 4 * TICK_INTERVAL;
        // What answers took tells of queues that may have drained since: reports of flows waiting say so.
        let reports = self.replicas.values().filter_map(|one| one.queue).filter(|(_, at)| *at + echo > now);
        let (all, queued) = reports.fold((0, 0), |(n, q), (queue, _)| (n + 1, q + u32::from(queue >= 1.0)));
        if late > LATE_OBJECTIVE_FRACTION && 2 * queued >= all && now >= self.last_cut.1 + echo {
            let offered = self.settled_demand(now);
            self.last_cut = (per(self.success_rate(), offered).min(1.0), now);
            self.admission_fraction = per(QUEUE_DRAINING_FRACTION * self.success_rate(), offered)
                .min(0.95 * self.admission_fraction)
                .max(0.2);
        } else if late < 0.7 * LATE_OBJECTIVE_FRACTION || 3 * queued < all {
            let growth = if self.admission_fraction < self.last_cut.0 {
                (0.7 * LATE_OBJECTIVE_FRACTION / late).clamp(1.05, 1.15)
            } else {
                1.02
            };
            self.admission_fraction = (self.admission_fraction * growth).min(1.0);
        }
    }

    /// What those offer whose answers are heard of by now, as averages go: of others none count yet, and when
    /// many join at once, as after another governor's end, the fleet would seem to answer a third of it.
    fn settled_demand(&self, now: Duration) -> f64 {
        let settled = |one: &ProxyState| {
            let age = now
                .saturating_sub(one.connected_at + self.parameters.settling_time + self.report_delay)
                .as_secs_f64();
            per(age, 2.0 * self.parameters.averaging_seconds).min(1.0)
        };
        self.proxies.values().map(|one| settled(one) * one.request_rates.iter().sum::<f64>()).sum()
    }

    fn success_rate(&self) -> f64 {
        let sights = self.replicas.values().flat_map(|one| &one.observations);
        let flows = sights.map(|(zone, one)| {
            // What is gone or given nothing has no more lines, nor has a rare one between two tries.
            let silent = at(&self.last_reports, zone)
                .saturating_sub(one.last_report + self.report_delay)
                .as_secs_f64();
            let over = (silent
                - per(2.0, one.attempts_per_second).min(4.0 * self.parameters.averaging_seconds))
            .max(0.0);
            let share = per(one.succeeded, one.succeeded + one.failed);
            one.attempts_per_second * share * (-over / self.parameters.averaging_seconds).exp()
        });
        flows.sum()
    }

    fn send_admission(&mut self, now: Duration) {
        // What a group brings is what gets answered: one whose flows hang would jam the fleet for the others.
        let value =
            |place: &usize| self.parameters.class_values[*place] * (1.0 - self.failed_fractions[*place]);
        let mut ladder: Vec<usize> = (0..self.parameters.class_values.len()).collect();
        ladder.sort_by(|one, other| value(one).total_cmp(&value(other)));
        let came = |place: &usize| self.proxies.values().map(|proxy| proxy.request_rates[*place]).sum();
        let demand: Vec<f64> = ladder.iter().map(came).collect();
        // A fleet mostly cold would fall to its usual load: let in what is open can bear of that.
        let most = per(
            self.sum_replicas(|one| one.available_weight(&self.parameters, now)),
            NOMINAL_UTILISATION * self.nominal_weight,
        )
        .min(1.0);
        let cut =
            if self.parameters.limits_admission { 1.0 - self.admission_fraction.min(most) } else { 0.0 };
        let mut excess = cut * demand.iter().sum::<f64>();
        // A further try in overload takes a place from a first one; a proven first drop is safe to try again.
        let tries =
            if self.admission_fraction < 1.0 { RetryPolicy::Never } else { RetryPolicy::IfNotExecuted };
        for (place, demand) in ladder.into_iter().zip(demand) {
            let level = 1.0 - per(excess.clamp(0.0, demand), demand).min(1.0);
            excess -= demand;
            let level = ((level * 20.0).round() / 20.0, tries);
            // A level goes to all proxies: where that fills the channel it waits for its turn, a rise longer.
            let cost = (1.0 + self.parameters.message_overhead_entries) * self.proxies.len() as f64;
            let spared = if level.0 > self.class_admissions[place].0 { 0.6 } else { 1.0 };
            let fits = self.queued_entries + cost <= spared * self.parameters.max_queued_entries;
            if self.class_admissions[place] != level && !self.unobserved && fits {
                self.class_admissions[place] = level;
                self.pending.push_back(Decision::SetAdmission {
                    classes: 1 << place,
                    fraction: level.0,
                    retry_policy: tries,
                });
                self.queued_entries += cost;
            }
        }
    }
}

#[derive(Default)]
struct LoadModel {
    replicas: Vec<ReplicaId>,
    capacities: Vec<(usize, f64)>, // its zone, and the rate at which its utilisation is taken to be the mean one
    loads: Vec<f64>,
    distributions: Vec<ReplicaRates>,
    flows: BTreeMap<TableKey, (usize, f64, usize)>, // its zone, its flows a second, the place of its shares
    demand_by_distribution: BTreeMap<(usize, usize), f64>, // the flows of all units of a zone with the same shares
    solved: BTreeMap<TableKey, ReplicaRates>,
    cross_zone_price: f64,
    retention_preference: f64,
}

impl LoadModel {
    fn rates_by_zone(&self) -> Vec<BTreeMap<usize, f64>> {
        let mut sending = vec![BTreeMap::new(); self.replicas.len()];
        for ((zone, shares), demand) in &self.demand_by_distribution {
            for (place, share) in &self.distributions[*shares] {
                *sending[*place].entry(*zone).or_insert(0.0) += demand * share;
            }
        }
        sending
    }

    fn most_utilised(&self) -> Option<(usize, f64)> {
        let load = |((_, room), total): (&(usize, f64), &f64)| if *room > 0.0 { total / room } else { 0.0 };
        let loads = self.capacities.iter().zip(&self.loads).map(load).enumerate();
        loads.max_by(|one, other| one.1.total_cmp(&other.1))
    }

    /// The page's payoff, the ratio less the rerouted share of traffic times a penalty; and the ratio.
    fn payoff(&self) -> (f64, f64) {
        let moves = self.solved.iter().map(|(unit, rates)| {
            let (_, demand, shares) = self.flows[unit];
            let old: BTreeMap<usize, f64> = self.distributions[shares].iter().copied().collect();
            rates.iter().map(|(place, rate)| (rate - demand * at(&old, place)).max(0.0)).sum::<f64>()
        });
        let (whole, room) = (self.loads.iter().sum(), self.capacities.iter().map(|(_, room)| room).sum());
        let ratio = self.most_utilised().map_or(1.0, |(_, peak)| per(per(whole, room), peak).min(1.0));
        let penalty = if ratio < TARGET_RATIO { DISTURBANCE_PENALTIES.0 } else { DISTURBANCE_PENALTIES.1 };
        (ratio - penalty * per(moves.sum(), whole), ratio)
    }

    fn largest_senders(&self, set: &BTreeSet<ProxyId>, most: usize) -> Vec<ProxyId> {
        let Some((hottest, _)) = self.most_utilised() else { return Vec::new() };
        let mut sends: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for ((id, _), (_, demand, shares)) in self.flows.iter().filter(|((id, _), _)| !set.contains(id)) {
            let share = self.distributions[*shares].iter().find(|(place, _)| *place == hottest);
            *sends.entry(*id).or_insert(0.0) += demand * share.map_or(0.0, |(_, share)| *share);
        }
        let mut sends: Vec<_> = sends.into_iter().filter(|(_, rate)| *rate > 0.0).collect();
        sends.sort_by(|one, other| other.1.total_cmp(&one.1).then(other.0.cmp(&one.0)));
        sends.into_iter().take(most).map(|(id, _)| id).collect()
    }

    fn remove_flow(&mut self, unit: &TableKey) -> ReplicaRates {
        let (_, demand, shares) = self.flows.get(unit).copied().unwrap_or_default();
        let shares = self.distributions.get(shares).into_iter().flatten();
        let present = || shares.map(|(place, share)| (*place, demand * share)).collect();
        let rates = self.solved.remove(unit).unwrap_or_else(present);
        rates.iter().for_each(|(place, rate)| self.loads[*place] -= rate);
        rates
    }

    /// Replicas from the coolest up for a zone: their level with `more` on top at their price, their room.
    fn bins_by_level(&self, zone: usize, more: f64, price: impl Fn(usize) -> Option<f64>) -> Vec<Bin> {
        let vessel = |(place, (&(there, room), total)): (usize, (&(usize, f64), &f64))| {
            let price = price(place)? * if there == zone { 1.0 } else { self.cross_zone_price };
            Some((per((total + more) * price, room), room / price, place))
        };
        let reach = self.capacities.iter().zip(&self.loads).enumerate();
        let mut vessels: Vec<Bin> = reach.filter_map(vessel).collect();
        vessels.sort_by(|one, other| one.0.total_cmp(&other.0));
        vessels
    }

    /// Water-fills the units of the set, largest first, against all others, twice over.
    fn water_fill(&mut self, set: &BTreeSet<ProxyId>) {
        self.solved.clear();
        self.loads = self.rates_by_zone().iter().map(|zones| zones.values().sum()).collect();
        let mut chosen: Vec<TableKey> =
            self.flows.keys().filter(|(id, _)| set.contains(id)).copied().collect();
        chosen.sort_by(|one, other| self.flows[other].1.total_cmp(&self.flows[one].1));
        for unit in chosen.iter().chain(&chosen) {
            let (present, (zone, demand, _)) = (self.remove_flow(unit), self.flows[unit]);
            let open = |(there, room)| room > 0.0 && (unit.1 == 0 || there == zone);
            let mut vessels =
                self.bins_by_level(zone, 0.0, |place| open(self.capacities[place]).then_some(1.0));
            vessels.truncate(MAX_TABLE_ENTRIES);
            let poured = Some(pour(demand, &vessels)).filter(|rates| !rates.is_empty()).unwrap_or(present);
            poured.iter().for_each(|(place, rate)| self.loads[*place] += rate);
            self.solved.insert(*unit, poured);
        }
    }

    /// Solved tables in parts of a hundred, without what would not be worth a line.
    fn solved_tables(&self) -> Tables {
        let lines = |rates: &ReplicaRates| {
            let scale = per(100.0, rates.iter().map(|(_, rate)| rate).sum());
            let rates = rates.iter().map(|(place, rate)| (self.replicas[*place].clone(), rate * scale));
            rates.filter(|(_, weight)| *weight >= 1.5).collect()
        };
        self.solved.iter().map(|(unit, rates)| (*unit, lines(rates))).collect()
    }

    /// A default as small as a standing table: an equal part on each of the coolest, those held favoured.
    fn small_default(
        &mut self,
        unit: TableKey,
        size: (usize, f64, usize),
        all: &Weights,
        held: &Weights,
    ) -> Weights {
        let (zone, part, most, favour) = (size.0, size.1 / size.2 as f64, size.2, self.retention_preference);
        self.remove_flow(&unit);
        let lines = self.bins_by_level(zone, part, |place| {
            let id = &self.replicas[place];
            all.contains_key(id).then(|| if held.contains_key(id) { 1.0 / favour } else { 1.0 })
        });
        // Among many more elsewhere some are always cooler: crossing goes by what the default spills.
        let here = |id: &ReplicaId| {
            self.replicas.binary_search(id).is_ok_and(|place| self.capacities[place].0 == zone)
        };
        let own: f64 = all.iter().filter(|(id, _)| here(id)).map(|(_, weight)| weight).sum();
        let own = (most as f64 * per(own, all.values().sum())).round() as usize;
        let (mut lines, mut beyond): (Vec<_>, Vec<_>) =
            lines.into_iter().partition(|(_, _, place)| self.capacities[*place].0 == zone);
        lines.truncate(own);
        beyond.truncate(most.saturating_sub(own));
        lines.extend(beyond);
        lines.iter().for_each(|(_, _, place)| self.loads[*place] += part);
        lines.into_iter().map(|(_, _, place)| (self.replicas[place].clone(), 1.0)).collect()
    }
}

/// Pours a rate into vessels of (level, room), coolest first, so that the highest level stays lowest.
fn pour(rate: f64, vessels: &[Bin]) -> ReplicaRates {
    let (room, held) = vessels.iter().fold((0.0, rate), |(room, held), (level, more, _)| {
        if level * room < held { (room + more, held + level * more) } else { (room, held) }
    });
    let level = per(held, room);
    let poured = vessels.iter().map(|(at, room, place)| (*place, (level - at) * room));
    poured.filter(|(_, rate)| *rate > 0.0).collect()
}
