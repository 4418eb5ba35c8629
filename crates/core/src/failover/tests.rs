//! Tests of [`super`].

use super::*;
use crate::ownership::ranking;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn redirected_proxy_stays_until_its_connection_is_lost() {
    let names = ["g0", "g1", "g2"];
    let mut dialer = GovernorSelector::new("relay-1", &names, s(2), Duration::ZERO);
    let ranked = ranking("relay-1", &names);
    dialer.redirected(Some(ranked[2]));
    assert_eq!(dialer.current(), ranked[2]);
    assert!(
        (10..20).all(|at| !dialer.home_checked(s(at), true)),
        "redirected proxies do not return by themselves"
    );
    dialer.connection_lost();
    assert_eq!(dialer.current(), dialer.home());
    dialer.redirected(None);
    assert_eq!(dialer.current(), ranked[1]);
    assert!(!dialer.home_checked(s(30), true) && dialer.home_checked(s(32), true));
    dialer.redirected(Some(9));
    assert_eq!(dialer.current(), ranked[1], "not on its list, so the next in rank");
}

#[test]
fn failback_spreads_a_fleet_evenly_and_waits_for_a_steady_home() {
    let mut seconds = [0; 10];
    for n in 0..1000 {
        let mut homeward = Failback::new(&format!("relay-{n}"), s(5), s(10));
        homeward.home_checked(s(100), true);
        homeward.home_checked(s(103), false);
        assert_eq!(homeward.due_at(), None);
        homeward.home_checked(s(104), true);
        homeward.home_checked(s(106), true);
        let at = homeward.due_at().unwrap();
        assert!(at >= s(109) && !homeward.is_due(s(108)) && homeward.is_due(s(120)));
        seconds[(at - s(109)).as_secs().min(9) as usize] += 1;
    }
    assert!(seconds.iter().all(|count| (60..140).contains(count)), "{seconds:?}");
}

#[test]
fn goes_round_its_governors_and_home_once_home_is_steady() {
    let names = ["g0", "g1", "g2"];
    let mut dialer = GovernorSelector::new("relay-1", &names, s(2), Duration::ZERO);
    let ranked = ranking("relay-1", &names);
    assert_eq!((dialer.current(), dialer.is_home()), (ranked[0], true));
    dialer.connection_lost();
    dialer.connection_lost();
    assert_eq!(dialer.current(), ranked[2]);
    assert!(!dialer.home_checked(s(10), true) && !dialer.home_checked(s(11), false));
    assert!(!dialer.home_checked(s(12), true) && !dialer.home_checked(s(13), true));
    assert!(dialer.home_checked(s(14), true) && dialer.is_home());
    assert!(!dialer.home_checked(s(15), true), "it is already there");
    (0..3).for_each(|_| dialer.connection_lost());
    assert_eq!(dialer.current(), dialer.home(), "all are dead, so it starts again");
    assert_eq!(GovernorSelector::new("p", &[], s(1), s(1)).current(), 0);
}
