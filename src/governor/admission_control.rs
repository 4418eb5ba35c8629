//! How many requests proxies admit: load is shed while the fleet answers late, the least valuable classes
//! first.

use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::parameters::TICK_INTERVAL;
use super::proxy_state::ProxyState;
use super::slow_start::NOMINAL_UTILISATION;
use super::tables::MAX_CLASSES;
use crate::types::{Decision, DemandStatistics, ReplicaStatistics, RetryPolicy, Settings};

/// Answers since the last look, before their mean latency means anything.
const MIN_ANSWERS: f64 = 10.0;
/// Load is shed once answers take this part of the latency objective.
const LATE_OBJECTIVE_FRACTION: f64 = 0.5;
/// Admission recovers below this part of the latency objective.
const RECOVERY_OBJECTIVE_FRACTION: f64 = 0.7 * LATE_OBJECTIVE_FRACTION;
/// Admission is cut to this part of what is answered, so that queues drain.
pub(super) const QUEUE_DRAINING_FRACTION: f64 = 0.77;
/// A cut lowers the admission fraction by this factor at least.
const MIN_CUT: f64 = 0.95;
/// No cut goes below this admission fraction.
const MIN_ADMISSION_FRACTION: f64 = 0.2;
/// The least growth in a second up to what was answered at the last cut.
const MIN_RECOVERY: f64 = 1.05;
/// The largest growth in a second up to what was answered at the last cut.
const MAX_RECOVERY: f64 = 1.15;
/// The growth in a second beyond that.
const CAUTIOUS_RECOVERY: f64 = 1.02;
/// Ticks until a cut shows in statistics, beside the settling time.
const CUT_SETTLING_TICKS: u32 = 4;
/// A replica that reports so many queued requests counts as having a queue.
const MIN_QUEUE: f64 = 1.0;
/// What one report counts in the fraction of a class's requests that fail.
const FAILED_FRACTION_GAIN: f64 = 0.01;
/// Averaging periods until a proxy's demand counts in full.
const DEMAND_SETTLING_PERIODS: f64 = 2.0;
/// Published admission fractions are multiples of 1 by this.
const FRACTION_STEPS: f64 = 20.0;
/// The part of the channel's queue that a rise of an admission fraction may use.
const RISE_QUEUE_FRACTION: f64 = 0.6;

/// What proxies admit of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ClassAdmission {
    pub(super) fraction: f64,
    pub(super) retry_policy: RetryPolicy,
}

/// The last load-shedding step.
#[derive(Clone, Copy, Default)]
pub(super) struct LastCut {
    /// The fraction of requests that was answered then; beyond it the fraction recovers cautiously.
    pub(super) answered_fraction: f64,
    pub(super) at: Duration,
}

/// The latency of the answers since the last look.
#[derive(Clone, Copy, Default)]
pub(super) struct LatencySum {
    pub(super) answers: f64,
    pub(super) seconds: f64,
}

/// The reports of queued requests that are recent enough to count.
#[derive(Clone, Copy, Default)]
struct QueueReports {
    all: u32,
    with_queue: u32,
}

/// What is admitted, and what that goes by.
#[derive(Default)]
pub(super) struct Admission {
    /// The fraction of all requests that should be admitted.
    pub(super) fraction: f64,
    /// By class, as last published.
    pub(super) classes: Vec<ClassAdmission>,
    pub(super) last_cut: LastCut,
    pub(super) latency: LatencySum,
    /// By class: the fraction of admitted requests that fails.
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
        let answers = report.attempts.saturating_sub(report.failed) as f64;
        self.latency.answers += answers;
        self.latency.seconds += answers * mean_latency.as_secs_f64();
    }

    pub(super) fn record_failures(&mut self, report: &DemandStatistics) {
        let admitted = self.classes[report.class].fraction;
        let failed = ratio(report.failed as f64, report.requests as f64 * admitted).min(1.0);
        let failed_fraction = &mut self.failed_fractions[report.class];
        *failed_fraction += FAILED_FRACTION_GAIN * admitted * (failed - *failed_fraction);
    }
}

impl Governor {
    /// Goes by the fleet's mean latency: a fault of a few replicas doesn't move that far enough.
    pub(super) fn adjust_admission(&mut self, now: Duration) {
        let latency = std::mem::take(&mut self.admission.latency);
        if latency.answers < MIN_ANSWERS {
            return;
        }
        let lateness = latency.seconds / latency.answers / self.parameters.latency_objective_seconds;
        let settling_time =
            self.parameters.settling_time + self.reports.delay + CUT_SETTLING_TICKS * TICK_INTERVAL;
        // Latency tells of queues that may have drained since: reports of queued requests say so.
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
        let fraction = drained.min(MIN_CUT * self.admission.fraction);
        self.admission.fraction = fraction.max(MIN_ADMISSION_FRACTION);
    }

    fn recover_admission(&mut self, lateness: f64) {
        let growth = if self.admission.fraction < self.admission.last_cut.answered_fraction {
            (RECOVERY_OBJECTIVE_FRACTION / lateness).clamp(MIN_RECOVERY, MAX_RECOVERY)
        } else {
            CAUTIOUS_RECOVERY
        };
        self.admission.fraction = (self.admission.fraction * growth).min(1.0);
    }

    /// The demand of those proxies whose answers are observed by now. When many connect at once, as after
    /// another governor's end, none of their answers are, and the fleet would seem to answer a part of its
    /// demand only.
    fn settled_demand(&self, now: Duration) -> f64 {
        let settled_fraction = |proxy: &ProxyState| {
            let settled_at = proxy.connected_at + self.parameters.settling_time + self.reports.delay;
            let age = now.saturating_sub(settled_at).as_secs_f64();
            ratio(age, DEMAND_SETTLING_PERIODS * self.parameters.averaging_seconds).min(1.0)
        };
        let demand = |proxy: &ProxyState| proxy.request_rates.iter().sum::<f64>();
        self.proxies.values().map(|proxy| settled_fraction(proxy) * demand(proxy)).sum()
    }

    /// Sheds the least valuable classes first.
    pub(super) fn publish_admission(&mut self, now: Duration) {
        let classes = self.classes_by_value();
        let received = |class: &usize| self.proxies.values().map(|proxy| proxy.request_rates[*class]).sum();
        let demand: Vec<f64> = classes.iter().map(received).collect();
        let mut excess = self.shed_fraction(now) * demand.iter().sum::<f64>();
        // A retry in overload takes the place of a first attempt; one that was not executed is safe to
        // repeat.
        let overloaded = self.admission.fraction < 1.0;
        let retry_policy = if overloaded { RetryPolicy::Never } else { RetryPolicy::IfNotExecuted };
        for (class, demand) in classes.into_iter().zip(demand) {
            let fraction = 1.0 - ratio(excess.clamp(0.0, demand), demand).min(1.0);
            excess -= demand;
            let fraction = (fraction * FRACTION_STEPS).round() / FRACTION_STEPS;
            self.publish_class_admission(class, ClassAdmission { fraction, retry_policy });
        }
    }

    /// The least valuable first. A class is worth what it brings if answered: one whose requests hang would
    /// fill the fleet's queues for the others.
    fn classes_by_value(&self) -> Vec<usize> {
        let value = |class: &usize| {
            self.parameters.class_values[*class] * (1.0 - self.admission.failed_fractions[*class])
        };
        let mut classes: Vec<usize> = (0..self.parameters.class_values.len()).collect();
        classes.sort_by(|one, other| value(one).total_cmp(&value(other)));
        classes
    }

    /// The fraction of all requests that should not be admitted.
    fn shed_fraction(&self, now: Duration) -> f64 {
        if !self.parameters.limits_admission {
            return 0.0;
        }
        // A fleet that mostly warms up would be overloaded by its usual demand.
        let available = self.sum_replicas(|replica| replica.available_weight(&self.parameters, now));
        let most = ratio(available, NOMINAL_UTILISATION * self.nominal_weight).min(1.0);
        1.0 - self.admission.fraction.min(most)
    }

    /// An admission fraction goes to all proxies: where that would fill the channel it waits, a rise sooner
    /// than a cut.
    fn publish_class_admission(&mut self, class: usize, wanted: ClassAdmission) {
        let published = self.admission.classes[class];
        let cost = (1.0 + self.parameters.message_overhead_entries) * self.proxies.len() as f64;
        let used_queue = if wanted.fraction > published.fraction { RISE_QUEUE_FRACTION } else { 1.0 };
        let fits = self.send_queue.fits(cost, used_queue, &self.parameters);
        if published == wanted || self.fleet_health.unobserved || !fits {
            return;
        }
        self.admission.classes[class] = wanted;
        self.send_queue.entries += cost;
        self.pending.push_back(Decision::SetAdmission {
            classes: 1 << class,
            fraction: wanted.fraction,
            retry_policy: wanted.retry_policy,
        });
    }
}
