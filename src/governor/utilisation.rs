//! Estimates the utilisation of replicas and the fleet's success rate.

use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::replica_state::{ReplicaState, ZoneObservation};

/// Fraction of a replica's logarithmic distance from the mean utilisation that is corrected per cycle.
const CORRECTION_GAIN: f64 = 0.25;
/// Factor by which a correction decays per cycle.
const CORRECTION_RETENTION: f64 = 0.95;
/// Maximum decrease of a capacity's logarithm per cycle.
const MAX_CORRECTION_DECREASE: f64 = -0.5;
/// Maximum increase of a capacity's logarithm per cycle.
const MAX_CORRECTION_INCREASE: f64 = 0.2;
/// Minimum correction: about a quarter of the listed capacity.
const MIN_CORRECTION: f64 = -1.4;
/// Maximum correction: about 1.3 times the listed capacity.
const MAX_CORRECTION: f64 = 0.25;
/// Missing reports count as a falling rate after the time in which this many attempts are expected.
const UNREPORTED_ATTEMPTS: f64 = 2.0;
/// Upper bound of the time given by [`UNREPORTED_ATTEMPTS`], in averaging periods, for rare attempts.
const MAX_UNREPORTED_PERIODS: f64 = 4.0;

/// Utilisation of the replicas that are in use.
#[derive(Clone, Copy)]
pub(super) struct FleetUtilisation {
    pub(super) mean: f64,
    pub(super) peak: f64,
}

impl Governor {
    /// Requests in flight divided by the warm part of the listed weight, if known. Requests in flight are
    /// taken from health checks, or otherwise estimated by Little's law.
    pub(super) fn utilisation(&self, replica: &ReplicaState, now: Duration) -> Option<f64> {
        let in_flight = replica.in_flight.or_else(|| self.estimated_in_flight(replica))?;
        Some(in_flight / replica.weight / replica.warm_fraction(self.parameters.slow_start, now))
    }

    /// Little's law: the rate of attempts times their latency. Observations decay once reports stop.
    fn estimated_in_flight(&self, replica: &ReplicaState) -> Option<f64> {
        let observed =
            replica.observations.iter().filter(|(_, observation)| observation.attempts_per_second > 0.0);
        let in_flight = observed.map(|(zone, observation)| {
            let last_report = observation.last_report + self.reports.delay;
            let age = self.reports.last_report(*zone).saturating_sub(last_report).as_secs_f64();
            let decay = (-age / self.parameters.averaging_seconds).exp();
            observation.attempts_per_second * observation.latency_seconds * decay
        });
        in_flight.reduce(|sum, in_flight| sum + in_flight)
    }

    pub(super) fn fleet_utilisation(&self, now: Duration) -> FleetUtilisation {
        let mut load = 0.0;
        let mut weights = 0.0;
        let mut peak = 0.0f64;
        for replica in self.replicas.values() {
            if self.usable_fraction(replica, now) <= 0.0 {
                continue;
            }
            let Some(utilisation) = self.utilisation(replica, now) else { continue };
            let weight = replica.weight * replica.warm_fraction(self.parameters.slow_start, now);
            load += utilisation * weight;
            weights += weight;
            peak = peak.max(utilisation);
        }
        FleetUtilisation { mean: ratio(load, weights), peak }
    }

    /// Moves the capacity of each replica towards the value that would give it the mean utilisation. A slow
    /// replica has more requests in flight at the same rate.
    pub(super) fn correct_capacities(&mut self, now: Duration) {
        let mean = self.fleet_utilisation(now).mean;
        let utilisations: Vec<Option<f64>> =
            self.replicas.values().map(|replica| self.utilisation(replica, now)).collect();
        for (replica, utilisation) in self.replicas.values_mut().zip(utilisations) {
            let step = utilisation.map_or(0.0, |utilisation| {
                CORRECTION_GAIN * ratio(mean, utilisation.max(1e-9)).max(1e-9).ln()
            });
            let step = step.clamp(MAX_CORRECTION_DECREASE, MAX_CORRECTION_INCREASE);
            let correction = CORRECTION_RETENTION * replica.capacity_correction + step;
            replica.capacity_correction = correction.clamp(MIN_CORRECTION, MAX_CORRECTION);
        }
    }

    /// Requests per second that the fleet answers.
    pub(super) fn success_rate(&self) -> f64 {
        let observations = self.replicas.values().flat_map(|replica| &replica.observations);
        observations.map(|(zone, observation)| self.observed_success_rate(*zone, observation)).sum()
    }

    /// The success rate decays after the last report, as replicas that are gone or sent nothing are not
    /// reported. Between two attempts at a rarely used replica there are no reports either, so the decay
    /// starts later.
    fn observed_success_rate(&self, zone: usize, observation: &ZoneObservation) -> f64 {
        let averaging_seconds = self.parameters.averaging_seconds;
        let last_report = observation.last_report + self.reports.delay;
        let gap_seconds = self.reports.last_report(zone).saturating_sub(last_report).as_secs_f64();
        let expected_gap_seconds = ratio(UNREPORTED_ATTEMPTS, observation.attempts_per_second);
        let gap_seconds =
            (gap_seconds - expected_gap_seconds.min(MAX_UNREPORTED_PERIODS * averaging_seconds)).max(0.0);
        let succeeding = ratio(observation.succeeded, observation.succeeded + observation.failed);
        observation.attempts_per_second * succeeding * (-gap_seconds / averaging_seconds).exp()
    }
}
