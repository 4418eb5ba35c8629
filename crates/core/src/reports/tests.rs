//! Tests of [`super`].

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(interval: u64, successes: u64, failures: u64) -> LoadReport {
    let observation = ReplicaObservation {
        class: 0,
        replica: "a".into(),
        succeeded: successes,
        failed: failures,
        issued: successes + failures,
        in_flight: 0,
        latency_sum_and_count: (ms(20u64.saturating_mul(successes)), successes),
        load: vec![],
    };
    LoadReport { interval: ms(interval), observations: vec![observation], rejected: vec![(0, 1)] }
}

fn reports() -> ReportAggregator {
    ReportAggregator::new(ms(500), 1000.0)
}

fn record(
    reports: &mut ReportAggregator,
    now: u64,
    stream: StreamId,
    report: &LoadReport,
) -> Result<(), DiscardReason> {
    reports.record(ms(now), 7, 2, stream, report, |id| &**id == "a")
}

#[test]
fn aggregates_by_replica_and_by_traffic_class() {
    let mut reports = reports();
    record(&mut reports, 11_000, 1, &report(1000, 9, 1)).unwrap();
    record(&mut reports, 11_300, 1, &report(500, 10, 0)).unwrap();
    assert_eq!(reports.take_due(ms(11_499)), []);
    let statistics = reports.take_due(ms(11_500));
    let AggregatedStatistics::Replica(replica) = &statistics[0] else { panic!("{statistics:?}") };
    assert_eq!(
        (replica.zone, replica.attempts, replica.failed, replica.mean_latency),
        (2, 20, 1, Some(ms(20)))
    );
    let AggregatedStatistics::Demand(demand) = statistics[1] else { panic!("{statistics:?}") };
    assert_eq!((demand.proxy, demand.requests, demand.failed), (7, 22, 1));
    assert_eq!(reports.next_deadline(), None);
}

#[test]
fn discards_copies_on_any_stream() {
    let mut reports = reports();
    record(&mut reports, 11_000, 1, &report(1000, 9, 1)).unwrap();
    assert_eq!(record(&mut reports, 30_000, 1, &report(1000, 9, 1)), Err(DiscardReason::Copy));
    assert_eq!(record(&mut reports, 31_000, 2, &report(1000, 9, 1)), Err(DiscardReason::Copy));
    assert_eq!(record(&mut reports, 31_000, 1, &report(1000, 8, 1)), Err(DiscardReason::OldStream));
    assert_eq!(reports.tally().1, 1);
}

#[test]
fn counts_late_reports_but_not_more_time_than_has_passed() {
    let mut reports = reports();
    record(&mut reports, 11_000, 1, &report(1000, 1, 0)).unwrap();
    for late in 2..=5 {
        record(&mut reports, 15_000, 1, &report(1000, late, 0)).unwrap();
    }
    record(&mut reports, 15_000, 1, &report(1001, 6, 0)).unwrap();
    assert_eq!(record(&mut reports, 15_000, 1, &report(1002, 7, 0)), Err(DiscardReason::OutOfOrder));
    record(&mut reports, 17_000, 1, &report(1002, 7, 0)).unwrap();
}

#[test]
fn discards_empty_intervals_and_impossible_counters() {
    let mut reports = reports();
    assert_eq!(record(&mut reports, 11_000, 1, &report(0, 1, 0)), Err(DiscardReason::Interval));
    assert_eq!(record(&mut reports, 11_000, 1, &report(400_000, 1, 0)), Err(DiscardReason::Interval));
    assert_eq!(record(&mut reports, 11_000, 1, &report(1000, u64::MAX, 0)), Err(DiscardReason::Counters));
    let mut invalid = report(1000, 5, 0);
    invalid.observations[0].latency_sum_and_count.1 = 6;
    assert_eq!(record(&mut reports, 11_000, 1, &invalid), Err(DiscardReason::Counters));
    assert_eq!(reports.take_due(ms(99_000)), []);
}

#[test]
fn discards_observations_of_unlisted_replicas_and_counts_the_rest() {
    let mut reports = reports();
    let mut both = report(1000, 5, 0);
    both.observations.push(ReplicaObservation { replica: "gone".into(), ..both.observations[0].clone() });
    record(&mut reports, 11_000, 1, &both).unwrap();
    assert_eq!(reports.tally().0[&DiscardReason::Unlisted], 1);
    assert_eq!(reports.take_due(ms(12_000)).len(), 2);
}

#[test]
fn passes_on_the_oldest_statistics_first_within_the_limit() {
    let mut reports = ReportAggregator::new(ms(500), 4.0);
    for proxy in 0..6 {
        let idle = LoadReport {
            interval: ms(1000),
            observations: vec![],
            rejected: vec![(0, u64::from(proxy) + 1)],
        };
        reports.record(ms(11_000 + u64::from(proxy)), proxy, 0, 1, &idle, |_| true).unwrap();
    }
    let demands = |statistics: Vec<AggregatedStatistics>| -> Vec<(ProxyId, u64)> {
        let demand = statistics.into_iter().map(|statistics| match statistics {
            AggregatedStatistics::Demand(demand) => (demand.proxy, demand.requests),
            AggregatedStatistics::Replica(replica) => panic!("{replica:?}"),
        });
        demand.collect()
    };
    assert_eq!(demands(reports.take_due(ms(11_500))), [(0, 1), (1, 2)]);
    let additional = LoadReport { interval: ms(1000), observations: vec![], rejected: vec![(0, 50)] };
    reports.record(ms(11_600), 5, 0, 1, &additional, |_| true).unwrap();
    assert_eq!(demands(reports.take_due(ms(12_000))), [(2, 3), (3, 4)]);
    assert_eq!(demands(reports.take_due(ms(12_500))), [(4, 5), (5, 56)], "waiting statistics are summed");
}
