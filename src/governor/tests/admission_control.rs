//! Tests of admission control.

use super::fixtures::*;
use super::*;

#[test]
fn publishes_no_admission_until_enough_is_observed() {
    let mut governor = Governor::new(settings(), Duration::ZERO);
    add_proxy(&mut governor, 1, 0, &[]);
    governor.publish(SECOND, PublishTrigger::FlushDue);
    assert!(!decisions(&governor).iter().any(|decision| matches!(decision, Decision::SetAdmission { .. })));
}

#[test]
fn cuts_admission_to_the_answered_rate_of_overloaded_replicas() {
    let mut governor = governor_with_late_responses(4);
    governor.adjust_admission(10 * SECOND);
    assert!((governor.admission.fraction - QUEUE_DRAINING_FRACTION * 0.4).abs() < 1e-9);
    governor.admission.latency = LatencySum { responses: 50.0, seconds: 60.0 };
    governor.adjust_admission(11 * SECOND);
    assert!((governor.admission.fraction - QUEUE_DRAINING_FRACTION * 0.4).abs() < 1e-9);
}

#[test]
fn does_not_cut_for_high_latency_after_queues_drained() {
    let mut governor = governor_with_late_responses(1);
    governor.adjust_admission(10 * SECOND);
    assert_eq!(governor.admission.fraction, 1.0);
}

#[test]
fn sheds_the_least_valuable_class_first_and_ends_retries() {
    let mut governor = governor_with_late_responses(4);
    governor.admission.fraction = 0.7;
    governor.publish_admission(10 * SECOND);
    assert_eq!(
        governor.admission.classes,
        [0.4, 1.0].map(|fraction| ClassAdmission { fraction, retry_policy: RetryPolicy::Never })
    );
}

#[test]
fn retries_only_attempts_that_were_not_executed() {
    let mut governor = governor_with_late_responses(0);
    governor.publish_admission(10 * SECOND);
    let mut policies = governor.admission.classes.iter().map(|admission| admission.retry_policy);
    assert!(policies.all(|policy| policy == RetryPolicy::IfNotExecuted));
}

#[test]
fn limits_admission_to_the_capacity_of_a_warming_fleet() {
    let mut governor = Governor { nominal_weight: 4.0, ..governor() };
    add_proxy(&mut governor, 1, 0, &[]);
    for name in ["a", "b"] {
        add_replica(&mut governor, name, warming_replica(0, Duration::ZERO));
    }
    governor.publish_admission(5 * SECOND);
    assert_eq!((governor.admission.classes[0].fraction, governor.admission.classes[1].fraction), (0.0, 0.85));
}

#[test]
fn admits_everything_if_proxies_do_not_support_fractions() {
    let mut governor = governor_with_late_responses(4);
    governor.parameters.limits_admission = false;
    governor.admission.fraction = 0.5;
    governor.publish_admission(10 * SECOND);
    assert!(governor.admission.classes.iter().all(|admission| admission.fraction == 1.0));
}

#[test]
fn recovers_cautiously_beyond_the_fraction_answered_at_the_last_cut() {
    let mut governor = governor_with_late_responses(0);
    governor.admission.fraction = 0.6;
    governor.admission.last_cut = LastCut { answered_fraction: 0.5, at: Duration::ZERO };
    governor.admission.latency = LatencySum { responses: 50.0, seconds: 5.0 };
    governor.adjust_admission(10 * SECOND);
    assert!((governor.admission.fraction - 0.612).abs() < 1e-9);
    governor.admission.fraction = 0.4;
    governor.admission.latency = LatencySum { responses: 50.0, seconds: 5.0 };
    governor.adjust_admission(11 * SECOND);
    assert!(governor.admission.fraction >= 0.42);
}

#[test]
fn delays_a_rise_but_not_a_cut_in_a_filled_channel() {
    let mut governor = governor_with_late_responses(4);
    governor.send_queue.entries = 600.0;
    governor.admission.fraction = 0.5;
    governor.publish_admission(10 * SECOND);
    assert!(governor.admission.classes[0].fraction < 0.5);
    governor.send_queue.entries = 600.0;
    governor.admission.fraction = 1.0;
    governor.publish_admission(10 * SECOND);
    assert!(governor.admission.classes[0].fraction < 0.5);
    governor.send_queue.entries = 0.0;
    governor.publish_admission(10 * SECOND);
    assert_eq!(governor.admission.classes[0].fraction, 1.0);
}

#[test]
fn sheds_a_class_whose_requests_fail_before_less_valuable_ones() {
    let mut governor = governor_with_late_responses(4);
    governor.admission.fraction = 0.7;
    governor.admission.failed_fractions = vec![0.0, 0.8];
    governor.publish_admission(10 * SECOND);
    assert_eq!((governor.admission.classes[0].fraction, governor.admission.classes[1].fraction), (1.0, 0.4));
}

#[test]
fn does_not_mistake_newly_connected_proxies_for_overload() {
    let mut governor = governor_with_late_responses(4);
    for proxy in 2..4 {
        governor.proxy_connected(9 * SECOND, with_unknown_tables(proxy, 100.0));
    }
    governor.adjust_admission(10 * SECOND);
    assert!(
        (governor.admission.fraction - QUEUE_DRAINING_FRACTION * 0.4).abs() < 1e-9,
        "{}",
        governor.admission.fraction
    );
}
