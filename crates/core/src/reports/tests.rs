//! Tests of [`super`].

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(interval: u64, delivered: u64, dropped: u64) -> LoadReport {
    let met = ReplicaObservation {
        class: 0,
        replica: "a".into(),
        succeeded: delivered,
        failed: dropped,
        issued: delivered + dropped,
        in_flight: 0,
        answers: (ms(20u64.saturating_mul(delivered)), delivered),
        load: vec![],
    };
    LoadReport { interval: ms(interval), observations: vec![met], rejected: vec![(0, 1)] }
}

fn reports() -> ReportAggregator {
    ReportAggregator::new(ms(500), 1000.0)
}

fn take(
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
    take(&mut reports, 11_000, 1, &report(1000, 9, 1)).unwrap();
    take(&mut reports, 11_300, 1, &report(500, 10, 0)).unwrap();
    assert_eq!(reports.take_due(ms(11_499)), []);
    let told = reports.take_due(ms(11_500));
    let AggregatedStatistics::Replica(met) = &told[0] else { panic!("{told:?}") };
    assert_eq!((met.zone, met.attempts, met.failed, met.mean_latency), (2, 20, 1, Some(ms(20))));
    let AggregatedStatistics::Demand(came) = told[1] else { panic!("{told:?}") };
    assert_eq!((came.proxy, came.requests, came.failed), (7, 22, 1));
    assert_eq!(reports.next_deadline(), None);
}

#[test]
fn discards_copies_on_any_stream() {
    let mut reports = reports();
    take(&mut reports, 11_000, 1, &report(1000, 9, 1)).unwrap();
    assert_eq!(take(&mut reports, 30_000, 1, &report(1000, 9, 1)), Err(DiscardReason::Copy));
    assert_eq!(take(&mut reports, 31_000, 2, &report(1000, 9, 1)), Err(DiscardReason::Copy));
    assert_eq!(take(&mut reports, 31_000, 1, &report(1000, 8, 1)), Err(DiscardReason::OldStream));
    assert_eq!(reports.tally().1, 1);
}

#[test]
fn counts_late_reports_but_not_more_time_than_has_passed() {
    let mut reports = reports();
    take(&mut reports, 11_000, 1, &report(1000, 1, 0)).unwrap();
    for late in 2..=5 {
        take(&mut reports, 15_000, 1, &report(1000, late, 0)).unwrap();
    }
    take(&mut reports, 15_000, 1, &report(1001, 6, 0)).unwrap();
    assert_eq!(take(&mut reports, 15_000, 1, &report(1002, 7, 0)), Err(DiscardReason::OutOfOrder));
    take(&mut reports, 17_000, 1, &report(1002, 7, 0)).unwrap();
}

#[test]
fn discards_empty_intervals_and_impossible_counters() {
    let mut reports = reports();
    assert_eq!(take(&mut reports, 11_000, 1, &report(0, 1, 0)), Err(DiscardReason::Interval));
    assert_eq!(take(&mut reports, 11_000, 1, &report(400_000, 1, 0)), Err(DiscardReason::Interval));
    assert_eq!(take(&mut reports, 11_000, 1, &report(1000, u64::MAX, 0)), Err(DiscardReason::Counters));
    let mut odd = report(1000, 5, 0);
    odd.observations[0].answers.1 = 6;
    assert_eq!(take(&mut reports, 11_000, 1, &odd), Err(DiscardReason::Counters));
    assert_eq!(reports.take_due(ms(99_000)), []);
}

#[test]
fn discards_observations_of_unlisted_replicas_and_counts_the_rest() {
    let mut reports = reports();
    let mut both = report(1000, 5, 0);
    both.observations.push(ReplicaObservation { replica: "gone".into(), ..both.observations[0].clone() });
    take(&mut reports, 11_000, 1, &both).unwrap();
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
    let told = |told: Vec<AggregatedStatistics>| -> Vec<(ProxyId, u64)> {
        let came = told.into_iter().map(|one| match one {
            AggregatedStatistics::Demand(came) => (came.proxy, came.requests),
            AggregatedStatistics::Replica(met) => panic!("{met:?}"),
        });
        came.collect()
    };
    assert_eq!(told(reports.take_due(ms(11_500))), [(0, 1), (1, 2)]);
    let more = LoadReport { interval: ms(1000), observations: vec![], rejected: vec![(0, 50)] };
    reports.record(ms(11_600), 5, 0, 1, &more, |_| true).unwrap();
    assert_eq!(told(reports.take_due(ms(12_000))), [(2, 3), (3, 4)]);
    assert_eq!(told(reports.take_due(ms(12_500))), [(4, 5), (5, 56)], "waiting statistics are summed");
}
