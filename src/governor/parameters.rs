//! What is derived once, at the start, from the settings.

use std::time::Duration;

use super::arithmetic::ratio;
use super::tables::{MAX_CLASSES, RouteScope};
use crate::types::{AdmissionControl, ClassSet, LoadField, Settings};

/// The interval of the governor's only timer.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Table updates are gathered for this many ticks.
const TICKS_PER_FLUSH: u32 = 2;
/// Ordinary flushes use the limit on messages divided by this; urgent ones take the rest.
const FLUSH_SPACING: f64 = 1.5;
/// Messages of the limit that flushes leave over, one of them for a connecting proxy. A limit too low for that leaves one
/// flush.
const RESERVED_MESSAGES: usize = 2;
/// The fraction of the channel's rate that is counted on while no acknowledgement tells more.
const ASSURED_RATE_FRACTION: f64 = 0.2;
/// The fraction of the channel's queue that is made use of.
const USED_QUEUE_FRACTION: f64 = 0.8;
/// Statistics are averaged over this many report intervals.
const AVERAGED_REPORTS: f64 = 5.0;
/// Report intervals until the effect of a change shows in statistics.
const SETTLING_REPORTS: u32 = 3;
/// What the settings' cost of a cross-zone request is multiplied by in the price of another zone's replica.
const CROSS_ZONE_COST_FACTOR: f64 = 4.0;
/// A warming replica is avoided while its warm fraction is below this many times the zone's stress.
const STRESS_FACTOR: f64 = 2.0;
/// As [`STRESS_FACTOR`], where proxies also avoid failing replicas by themselves and pile onto the others.
const STRESS_FACTOR_WITH_LOCAL_EJECTION: f64 = 3.0;
/// Each health check costs its replica work.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The traffic classes by where their requests may go.
#[derive(Clone, Copy, Default)]
pub(super) struct ScopedClasses {
    pub(super) any_zone: ClassSet,
    pub(super) own_zone: ClassSet,
}

impl ScopedClasses {
    pub(super) fn in_scope(self, scope: RouteScope) -> ClassSet {
        match scope {
            RouteScope::AnyZone => self.any_zone,
            RouteScope::OwnZone => self.own_zone,
        }
    }
}

/// The least capacity of a replica after its start.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStart {
    /// The fraction of its capacity that a replica starts with, at the worst.
    pub(super) initial_fraction: f64,
    /// What is added to the fraction each second.
    pub(super) growth_per_second: f64,
}

/// How many flushes may be sent within a sliding interval.
#[derive(Clone, Copy, Default)]
pub(super) struct FlushLimit {
    /// At least one: a drain must go out.
    pub(super) flushes: usize,
    pub(super) interval: Duration,
    /// The limit leaves no message for a connecting proxy beside the flush: its first table waits for one.
    pub(super) first_tables_need_flush: bool,
}

/// Where a load report holds the values that are made use of.
#[derive(Clone, Copy, Default)]
pub(super) struct LoadPositions {
    pub(super) in_flight: Option<usize>,
    pub(super) queued: Option<usize>,
}

/// The governor's parameters.
#[derive(Default)]
pub(super) struct Parameters {
    pub(super) classes: ScopedClasses,
    /// By class: priority weight by the work of a request.
    pub(super) class_values: Vec<f64>,
    /// Whether proxies heed an admission fraction.
    pub(super) limits_admission: bool,
    /// The mean latency objective of all classes.
    pub(super) latency_objective_seconds: f64,
    /// The proxies of all governors; 0 where this governor is the only one.
    pub(super) shared_proxies: f64,
    pub(super) slow_start: SlowStart,
    pub(super) stress_factor: f64,
    /// What the utilisation of a replica in another zone is multiplied by when replicas are compared.
    pub(super) cross_zone_price: f64,
    pub(super) averaging_seconds: f64,
    /// Entries of a default table, and of a dedicated one where the zone's default has too many.
    pub(super) default_table_size: usize,
    /// The time from a decision until its effect shows in statistics.
    pub(super) settling_time: Duration,
    pub(super) flush_interval: Duration,
    pub(super) flush_limit: FlushLimit,
    pub(super) assured_entries_per_second: f64,
    /// What a message costs in the channel beside its table entries, in entries.
    pub(super) message_overhead_entries: f64,
    pub(super) max_queued_entries: f64,
    pub(super) max_transit_delay: Duration,
    /// None where replicas may not be health-checked.
    pub(super) health_check_interval: Option<Duration>,
    pub(super) load_positions: LoadPositions,
}

impl Parameters {
    pub(super) fn new(settings: &Settings) -> Self {
        let class_count = settings.classes.len().min(MAX_CLASSES);
        // The work of a class is not stated. Its latency objective stands in, as what needs longer is given
        // longer.
        let objective = |class: usize| settings.classes[class].latency_objective.as_secs_f64();
        let value = |class: usize| ratio(settings.classes[class].priority_weight, objective(class));
        let shared = settings.governor_count > 1;
        let eject_locally = settings.proxies_eject_locally;
        Parameters {
            classes: scoped_classes(settings),
            class_values: (0..class_count).map(value).collect(),
            limits_admission: settings.admission_control == AdmissionControl::Fraction,
            latency_objective_seconds: ratio((0..class_count).map(objective).sum(), class_count as f64),
            shared_proxies: if shared { settings.proxy_count as f64 } else { 0.0 },
            slow_start: slow_start(settings),
            stress_factor: if eject_locally { STRESS_FACTOR_WITH_LOCAL_EJECTION } else { STRESS_FACTOR },
            cross_zone_price: 1.0 + CROSS_ZONE_COST_FACTOR * settings.cross_zone_cost,
            averaging_seconds: AVERAGED_REPORTS * settings.report_interval.as_secs_f64(),
            default_table_size: settings.default_table_size.max(1),
            settling_time: settings.max_transit_delay + SETTLING_REPORTS * settings.report_interval,
            flush_interval: flush_interval(settings),
            flush_limit: flush_limit(settings),
            assured_entries_per_second: ASSURED_RATE_FRACTION * settings.entries_per_second.max(1.0),
            // Admission fractions travel with each message.
            message_overhead_entries: settings.message_overhead_entries + settings.classes.len() as f64,
            max_queued_entries: USED_QUEUE_FRACTION * settings.max_queued_entries,
            max_transit_delay: settings.max_transit_delay,
            health_check_interval: settings.health_check_cost.map(|_| HEALTH_CHECK_INTERVAL),
            load_positions: LoadPositions {
                in_flight: load_position(settings, LoadField::InFlight),
                queued: load_position(settings, LoadField::Queued),
            },
        }
    }

    /// How often statistics are gathered.
    pub(super) fn report_interval(&self) -> Duration {
        Duration::from_secs_f64(self.averaging_seconds / AVERAGED_REPORTS)
    }

    /// Whether requests of some class may go only to the proxy's own zone.
    pub(super) fn has_zone_bound_classes(&self) -> bool {
        self.classes.own_zone != 0
    }
}

/// None are decided on where the key space is sliced: slices have tables of their own, which are not
/// supported.
fn scoped_classes(settings: &Settings) -> ScopedClasses {
    let mut classes = ScopedClasses::default();
    if settings.key_slices > 0 {
        return classes;
    }
    for (position, class) in settings.classes.iter().take(MAX_CLASSES).enumerate() {
        let set = if class.same_zone_only { &mut classes.own_zone } else { &mut classes.any_zone };
        *set |= 1 << position;
    }
    classes
}

fn slow_start(settings: &Settings) -> SlowStart {
    let initial_fraction = settings.initial_capacity_fraction.clamp(0.01, 1.0);
    let duration = settings.slow_start_duration.as_secs_f64();
    SlowStart { initial_fraction, growth_per_second: ratio(1.0 - initial_fraction, duration) }
}

fn flush_interval(settings: &Settings) -> Duration {
    let shortest = TICKS_PER_FLUSH * TICK_INTERVAL;
    match settings.message_limit {
        Some(limit) => {
            let messages = limit.messages.max(1) as f64;
            shortest.max(limit.interval.mul_f64(FLUSH_SPACING / messages))
        }
        None => shortest,
    }
}

fn flush_limit(settings: &Settings) -> FlushLimit {
    let Some(limit) = settings.message_limit else {
        let flushes = usize::MAX - RESERVED_MESSAGES;
        return FlushLimit { flushes, interval: Duration::ZERO, first_tables_need_flush: false };
    };
    FlushLimit {
        flushes: limit.messages.saturating_sub(RESERVED_MESSAGES).max(1),
        interval: limit.interval,
        first_tables_need_flush: limit.messages <= 1,
    }
}

fn load_position(settings: &Settings, wanted: LoadField) -> Option<usize> {
    settings.load_fields.iter().position(|field| *field == wanted)
}
