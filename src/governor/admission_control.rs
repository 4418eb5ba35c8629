//! Admission control: sheds load while the fleet's latency is too high, starting with the least valuable
//! classes.

use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::parameters::TICK_INTERVAL;
use super::proxy_state::ProxyState;
use super::send_queue::Purpose;
use super::slow_start::NOMINAL_UTILISATION;
use super::tables::MAX_CLASSES;
use crate::types::{Decision, DemandStatistics, ReplicaStatistics, RetryPolicy, Settings};

/// Minimum number of responses since the last adjustment for their mean latency to be significant.
const MIN_RESPONSES: f64 = 10.0;
/// Load is shed while the mean latency exceeds this fraction of the latency objective.
const LATE_OBJECTIVE_FRACTION: f64 = 0.5;
/// Admission recovers while the mean latency is below this fraction of the latency objective.
const RECOVERY_OBJECTIVE_FRACTION: f64 = 0.7 * LATE_OBJECTIVE_FRACTION;
/// Admission is cut to this fraction of the answered rate, so that queues drain.
pub(super) const QUEUE_DRAINING_FRACTION: f64 = 0.77;
/// A cut multiplies the admission fraction by this factor or a smaller one.
const MAX_CUT_FACTOR: f64 = 0.95;
/// Lower bound of the admission fraction.
const MIN_ADMISSION_FRACTION: f64 = 0.2;
/// Minimum growth per second, up to the fraction that was answered at the last cut.
const MIN_RECOVERY_FACTOR: f64 = 1.05;
/// Maximum growth per second, up to the fraction that was answered at the last cut.
const MAX_RECOVERY_FACTOR: f64 = 1.15;
/// Growth per second beyond the fraction that was answered at the last cut.
const CAUTIOUS_RECOVERY_FACTOR: f64 = 1.02;
/// Ticks, in addition to the settling time, until a cut shows in statistics.
const CUT_SETTLING_TICKS: u32 = 4;
/// Minimum number of reported queued requests for a replica to count as having a queue.
const MIN_QUEUE: f64 = 1.0;
/// Weight of one report in the moving average of a class's failed fraction.
const FAILED_FRACTION_GAIN: f64 = 0.01;
/// Averaging periods after connection until a proxy's demand is counted in full.
const DEMAND_SETTLING_PERIODS: f64 = 2.0;
/// Published admission fractions are rounded to multiples of 1 divided by this.
const FRACTION_STEPS: f64 = 20.0;
/// Fraction of the send queue up to which a rise of an admission fraction may be sent.
const RISE_QUEUE_FRACTION: f64 = 0.6;

/// The admission settings of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ClassAdmission {
    pub(super) fraction: f64,
    pub(super) retry_policy: RetryPolicy,
}

/// The last load-shedding step.
#[derive(Clone, Copy, Default)]
pub(super) struct LastCut {
    /// The fraction of requests that was answered at the cut; beyond it admission recovers more slowly.
    pub(super) answered_fraction: f64,
    pub(super) at: Duration,
}

/// The summed latency of the responses since the last adjustment.
#[derive(Clone, Copy, Default)]
pub(super) struct LatencySum {
    pub(super) responses: f64,
    pub(super) seconds: f64,
}

/// Counts of recent reports of queued requests.
#[derive(Clone, Copy, Default)]
struct QueueReports {
    all: u32,
    with_queue: u32,
}

/// The state of admission control.
#[derive(Default)]
pub(super) struct Admission {
    /// The fraction of all requests that should be admitted.
    pub(super) fraction: f64,
    /// Admission settings by class, as last published.
    pub(super) classes: Vec<ClassAdmission>,
    pub(super) last_cut: LastCut,
    pub(super) latency: LatencySum,
    /// The fraction of admitted requests that fail, by class.
    pub(super) failed_fractions: Vec<f64>,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Self {
        let class_count = settings.classes.len();
        let initial = ClassAdmission { fraction: 1.0, retry_policy: settings.default_retry_policy };
        Admission {
            fraction: 1.0,
            classes: vec![initial; class_count.min(MAX_CLASSES)],
            last_cut: LastCut { answered_fraction: 1.0, at: Duration::ZERO },
            latency: LatencySum::default(),
            failed_fractions: vec![0.0; class_count],
        }
    }

    pub(super) fn record_latency(&mut self, report: &ReplicaStatistics) {
        let Some(mean_latency) = report.mean_latency else { return };
        let responses = report.attempts.saturating_sub(report.failed) as f64;
        self.latency.responses += responses;
        self.latency.seconds += responses * mean_latency.as_secs_f64();
    }

    pub(super) fn record_failures(&mut self, report: &DemandStatistics) {
        let admitted = self.classes[report.class].fraction;
        let failed = ratio(report.failed as f64, report.requests as f64 * admitted).min(1.0);
        let failed_fraction = &mut self.failed_fractions[report.class];
        *failed_fraction += FAILED_FRACTION_GAIN * admitted * (failed - *failed_fraction);
    }
}

impl Governor {
    /// Adjusts the admission fraction by the fleet's mean latency, which a fault of a few replicas does not
    /// raise enough to cause a cut.
    pub(super) fn adjust_admission(&mut self, now: Duration) {
        let latency = std::mem::take(&mut self.admission.latency);
        if latency.responses < MIN_RESPONSES {
            return;
        }
        let lateness = latency.seconds / latency.responses / self.parameters.latency_objective_seconds;
        let settling_time =
            self.parameters.settling_time + self.reports.delay + CUT_SETTLING_TICKS * TICK_INTERVAL;
        // Latency may reflect queues that have drained since. Reported queue lengths are more recent.
        let queues = self.queue_reports(now, settling_time);
        let late = lateness > LATE_OBJECTIVE_FRACTION && 2 * queues.with_queue >= queues.all;
        if late && now >= self.admission.last_cut.at + settling_time {
            self.cut_admission(now);
        } else if lateness < RECOVERY_OBJECTIVE_FRACTION || 3 * queues.with_queue < queues.all {
            self.recover_admission(lateness);
        }
    }

    fn queue_reports(&self, now: Duration, max_age: Duration) -> QueueReports {
        let mut reports = QueueReports::default();
        for queue in self.replicas.values().filter_map(|replica| replica.queue) {
            if queue.at + max_age > now {
                reports.all += 1;
                reports.with_queue += u32::from(queue.length >= MIN_QUEUE);
            }
        }
        reports
    }

    fn cut_admission(&mut self, now: Duration) {
        let demand = self.settled_demand(now);
        let answered = self.success_rate();
        self.admission.last_cut = LastCut { answered_fraction: ratio(answered, demand).min(1.0), at: now };
        let drained = ratio(QUEUE_DRAINING_FRACTION * answered, demand);
        let fraction = drained.min(MAX_CUT_FACTOR * self.admission.fraction);
        self.admission.fraction = fraction.max(MIN_ADMISSION_FRACTION);
    }

    fn recover_admission(&mut self, lateness: f64) {
        let growth = if self.admission.fraction < self.admission.last_cut.answered_fraction {
            (RECOVERY_OBJECTIVE_FRACTION / lateness).clamp(MIN_RECOVERY_FACTOR, MAX_RECOVERY_FACTOR)
        } else {
            CAUTIOUS_RECOVERY_FACTOR
        };
        self.admission.fraction = (self.admission.fraction * growth).min(1.0);
    }

    /// The demand of proxies whose responses are included in statistics by now. When many proxies connect at
    /// once, for example after another governor has failed, their responses are not yet reported and the
    /// fleet would appear to answer only part of its demand.
    fn settled_demand(&self, now: Duration) -> f64 {
        let settled_fraction = |proxy: &ProxyState| {
            let settled_at = proxy.connected_at + self.parameters.settling_time + self.reports.delay;
            let age = now.saturating_sub(settled_at).as_secs_f64();
            ratio(age, DEMAND_SETTLING_PERIODS * self.parameters.averaging_seconds).min(1.0)
        };
        let demand = |proxy: &ProxyState| proxy.request_rates.iter().sum::<f64>();
        self.proxies.values().map(|proxy| settled_fraction(proxy) * demand(proxy)).sum()
    }

    /// Publishes an admission fraction for each class, shedding the least valuable classes first.
    pub(super) fn publish_admission(&mut self, now: Duration) {
        let classes = self.classes_by_value();
        let class_demand =
            |class: &usize| self.proxies.values().map(|proxy| proxy.request_rates[*class]).sum();
        let demand: Vec<f64> = classes.iter().map(class_demand).collect();
        let mut excess = self.shed_fraction(now) * demand.iter().sum::<f64>();
        // During overload a retry displaces a first attempt. Otherwise, attempts that were not executed are
        // safe to repeat.
        let overloaded = self.admission.fraction < 1.0;
        let retry_policy = if overloaded { RetryPolicy::Never } else { RetryPolicy::IfNotExecuted };
        for (class, demand) in classes.into_iter().zip(demand) {
            let fraction = 1.0 - ratio(excess.clamp(0.0, demand), demand).min(1.0);
            excess -= demand;
            let fraction = (fraction * FRACTION_STEPS).round() / FRACTION_STEPS;
            self.publish_class_admission(class, ClassAdmission { fraction, retry_policy });
        }
    }

    /// Classes in ascending order of value. The value is scaled by the fraction of requests that succeed,
    /// since a class whose requests hang would fill the queues that the other classes use.
    fn classes_by_value(&self) -> Vec<usize> {
        let value = |class: &usize| {
            self.parameters.class_values[*class] * (1.0 - self.admission.failed_fractions[*class])
        };
        let mut classes: Vec<usize> = (0..self.parameters.class_values.len()).collect();
        classes.sort_by(|a, b| value(a).total_cmp(&value(b)));
        classes
    }

    /// The fraction of all requests that should be rejected.
    fn shed_fraction(&self, now: Duration) -> f64 {
        if !self.parameters.limits_admission {
            return 0.0;
        }
        // A fleet in which most replicas are warming up can't serve its usual demand.
        let available = self.sum_replicas(|replica| replica.available_weight(&self.parameters, now));
        let max_fraction = ratio(available, NOMINAL_UTILISATION * self.nominal_weight).min(1.0);
        1.0 - self.admission.fraction.min(max_fraction)
    }

    /// An admission fraction is sent to all proxies, so it is postponed while the send queue lacks room. A
    /// rise is postponed at a lower queue length than a cut.
    fn publish_class_admission(&mut self, class: usize, wanted: ClassAdmission) {
        let published = self.admission.classes[class];
        let cost = (1.0 + self.parameters.message_overhead_entries) * self.proxies.len() as f64;
        let used_queue = if wanted.fraction > published.fraction { RISE_QUEUE_FRACTION } else { 1.0 };
        let fits = self.send_queue.fits(cost, used_queue, &self.parameters);
        if published == wanted || self.fleet_health.unobserved || !fits {
            return;
        }
        self.admission.classes[class] = wanted;
        self.send_queue.add(cost, self.proxies.len() as f64, Purpose::Admission);
        self.pending.push_back(Decision::SetAdmission {
            classes: 1 << class,
            fraction: wanted.fraction,
            retry_policy: wanted.retry_policy,
        });
    }
}
