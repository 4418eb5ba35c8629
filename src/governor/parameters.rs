//! Parameters that are derived from the settings once, at the start.

use std::time::Duration;

use super::arithmetic::ratio;
use super::flush_limiter::FlushLimit;
use super::tables::{MAX_CLASSES, RouteScope};
use crate::types::{AdmissionControl, ClassSet, LoadField, Settings};

/// Interval of the governor's only timer.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum number of ticks between ordinary flushes, during which table updates are collected.
const TICKS_PER_FLUSH: u32 = 2;
/// Ordinary flushes use the message limit divided by this; the rest is left to urgent flushes.
const FLUSH_SPACING: f64 = 1.5;
/// Fraction of the channel's rate at which the queue is assumed to drain without acknowledgements.
const ASSURED_RATE_FRACTION: f64 = 0.2;
/// Fraction of the channel's queue that the governor uses.
const USED_QUEUE_FRACTION: f64 = 0.8;
/// Number of report intervals over which statistics are averaged.
const AVERAGED_REPORTS: f64 = 5.0;
/// Number of report intervals until the effect of a change shows in statistics.
const SETTLING_REPORTS: u32 = 3;
/// Factor from the configured cost of a cross-zone request to the surcharge on replicas in other zones.
const CROSS_ZONE_COST_FACTOR: f64 = 4.0;
/// A warming replica is avoided while its warm fraction is below the zone's stress times this.
const STRESS_FACTOR: f64 = 2.0;
/// As [`STRESS_FACTOR`], if proxies also eject failing replicas locally, which concentrates load on the
/// others.
const STRESS_FACTOR_WITH_LOCAL_EJECTION: f64 = 3.0;
/// Interval between health checks of one replica; each one adds load to it.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The traffic classes, by the zones that their requests may go to.
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

/// The minimum capacity of a replica after its start.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStart {
    /// The minimum fraction of its capacity that a replica starts with.
    pub(super) initial_fraction: f64,
    /// The increase of the fraction per second.
    pub(super) growth_per_second: f64,
}

/// Indices of the values in a load report that the governor uses.
#[derive(Clone, Copy, Default)]
pub(super) struct LoadPositions {
    pub(super) in_flight: Option<usize>,
    pub(super) queued: Option<usize>,
}

/// The governor's parameters.
#[derive(Default)]
pub(super) struct Parameters {
    pub(super) classes: ScopedClasses,
    /// Priority weight per unit of work of a request, by class.
    pub(super) class_values: Vec<f64>,
    /// Whether proxies support an admission fraction.
    pub(super) limits_admission: bool,
    /// The mean latency objective of all classes.
    pub(super) latency_objective_seconds: f64,
    /// Number of proxies of all governors; 0 if this governor is the only one.
    pub(super) shared_proxies: f64,
    pub(super) slow_start: SlowStart,
    pub(super) stress_factor: f64,
    /// Factor applied to the utilisation of replicas in other zones when replicas are compared.
    pub(super) cross_zone_price: f64,
    pub(super) averaging_seconds: f64,
    /// Number of entries of a default table, and of a dedicated table that replaces a default table with too
    /// many entries.
    pub(super) default_table_size: usize,
    /// Time from a decision until its effect shows in statistics.
    pub(super) settling_time: Duration,
    pub(super) flush_interval: Duration,
    pub(super) flush_limit: FlushLimit,
    pub(super) assured_entries_per_second: f64,
    /// Cost of a message in the send queue in addition to its table entries, in entries.
    pub(super) message_overhead_entries: f64,
    pub(super) max_queued_entries: f64,
    /// `None` if the governor may not send health checks.
    pub(super) health_check_interval: Option<Duration>,
    pub(super) load_positions: LoadPositions,
}

impl Parameters {
    pub(super) fn new(settings: &Settings) -> Self {
        let class_count = settings.classes.len().min(MAX_CLASSES);
        // The settings do not state the work that a class's requests take. The latency objective is used
        // instead, as it is longer for requests that take more work.
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
            flush_limit: FlushLimit::new(settings.message_limit),
            assured_entries_per_second: ASSURED_RATE_FRACTION * settings.entries_per_second.max(1.0),
            // Each message carries the admission fractions of all classes.
            message_overhead_entries: settings.message_overhead_entries + settings.classes.len() as f64,
            max_queued_entries: USED_QUEUE_FRACTION * settings.max_queued_entries,
            health_check_interval: settings.health_check_cost.map(|_| HEALTH_CHECK_INTERVAL),
            load_positions: LoadPositions {
                in_flight: load_position(settings, LoadField::InFlight),
                queued: load_position(settings, LoadField::Queued),
            },
        }
    }

    /// The interval between statistics reports.
    pub(super) fn report_interval(&self) -> Duration {
        Duration::from_secs_f64(self.averaging_seconds / AVERAGED_REPORTS)
    }

    /// Whether the requests of some class must stay in the proxy's zone.
    pub(super) fn has_zone_bound_classes(&self) -> bool {
        self.classes.own_zone != 0
    }
}

/// Groups the classes by scope. Returns no classes if the key space is sliced: slices need tables of their
/// own, which are not supported.
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

fn load_position(settings: &Settings, wanted: LoadField) -> Option<usize> {
    settings.load_fields.iter().position(|field| *field == wanted)
}
