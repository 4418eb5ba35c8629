//! Tests of [`super`].

use super::*;
use crate::ownership::ranking;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn redirected_proxy_stays_until_its_connection_is_lost() {
    let names = ["g0", "g1", "g2"];
    let mut selector = GovernorSelector::new("relay-1", &names, s(2), Duration::ZERO);
    let ranked = ranking("relay-1", &names);
    selector.redirected(Some(ranked[2]));
    assert_eq!(selector.current(), ranked[2]);
    assert!(
        (10..20).all(|at| !selector.home_checked(s(at), true)),
        "redirected proxies do not return by themselves"
    );
    selector.connection_lost();
    assert_eq!(selector.current(), selector.home());
    selector.redirected(None);
    assert_eq!(selector.current(), ranked[1]);
    assert!(!selector.home_checked(s(30), true) && selector.home_checked(s(32), true));
    selector.redirected(Some(9));
    assert_eq!(selector.current(), ranked[1], "not on its list, so the next in rank");
}

#[test]
fn failback_spreads_a_fleet_evenly_and_waits_for_a_steady_home() {
    let mut seconds = [0; 10];
    for n in 0..1000 {
        let mut failback = Failback::new(&format!("relay-{n}"), s(5), s(10));
        failback.home_checked(s(100), true);
        failback.home_checked(s(103), false);
        assert_eq!(failback.due_at(), None);
        failback.home_checked(s(104), true);
        failback.home_checked(s(106), true);
        let at = failback.due_at().unwrap();
        assert!(at >= s(109) && !failback.is_due(s(108)) && failback.is_due(s(120)));
        seconds[(at - s(109)).as_secs().min(9) as usize] += 1;
    }
    assert!(seconds.iter().all(|count| (60..140).contains(count)), "{seconds:?}");
}

#[test]
fn tries_governors_in_turn_and_returns_home_once_home_is_steady() {
    let names = ["g0", "g1", "g2"];
    let mut selector = GovernorSelector::new("relay-1", &names, s(2), Duration::ZERO);
    let ranked = ranking("relay-1", &names);
    assert_eq!((selector.current(), selector.is_home()), (ranked[0], true));
    selector.connection_lost();
    selector.connection_lost();
    assert_eq!(selector.current(), ranked[2]);
    assert!(!selector.home_checked(s(10), true) && !selector.home_checked(s(11), false));
    assert!(!selector.home_checked(s(12), true) && !selector.home_checked(s(13), true));
    assert!(selector.home_checked(s(14), true) && selector.is_home());
    assert!(!selector.home_checked(s(15), true), "it is already there");
    (0..3).for_each(|_| selector.connection_lost());
    assert_eq!(selector.current(), selector.home(), "all are dead, so it starts again");
    assert_eq!(GovernorSelector::new("p", &[], s(1), s(1)).current(), 0);
}
