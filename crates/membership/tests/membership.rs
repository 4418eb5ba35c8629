//! Governors that governor, through what goes wrong with networks and with themselves.

mod net;

use std::sync::Arc;

use net::{Net, ms};
use wrenthread_membership::messages::MemberState;
use wrenthread_membership::{MembershipEvent, ServiceMode};

fn proxies(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("relay-{n}").into()).collect()
}

fn changed_to(governor: &str, state: MemberState) -> MembershipEvent {
    MembershipEvent::MemberStateChanged { governor: governor.into(), state }
}

/// Who saw a governor change to a state.
fn observers(net: &Net, of: &str, state: MemberState) -> Vec<usize> {
    let said = net.events.iter().filter(|(_, _, event)| *event == changed_to(of, state));
    said.map(|(_, place, _)| *place).collect()
}

#[test]
fn a_dead_governor_is_detected_and_seen_again_after_its_restart() {
    let mut net = Net::new(5, 1);
    net.run(2000);
    assert!((0..5).all(|one| (0..5).all(|other| one == other || net.sees(one, other))));
    net.kill(3);
    let died = net.now;
    net.run(8000);
    assert!([0, 1, 2, 4].iter().all(|one| !net.sees(*one, 3)));
    let found = net.events.iter().filter(|(_, _, event)| *event == changed_to("g3", MemberState::Dead));
    let last = found.map(|(at, _, _)| *at).max().unwrap() - died;
    assert!(last < ms(6000), "{last:?}");
    net.start(3);
    net.run(2000);
    assert!((0..5).all(|one| (0..5).all(|other| one == other || net.sees(one, other))));
}

#[test]
fn lost_duplicated_and_late_datagrams_declare_nobody_dead() {
    for seed in 0..10 {
        let mut net = Net::new(5, seed);
        (net.lost, net.doubled) = (150, 150);
        net.run(60_000);
        let dead = net.events.iter().filter(|(_, _, event)| {
            matches!(event, MembershipEvent::MemberStateChanged { state: MemberState::Dead, .. })
        });
        assert_eq!(dead.count(), 0, "seed {seed}");
        // Some were doubted, and said otherwise: the loss was met.
        assert!(net.events.iter().any(|(_, _, event)| matches!(
            event,
            MembershipEvent::MemberStateChanged { state: MemberState::Suspect, .. }
        )));
        assert!(net.longest <= wrenthread_membership::messages::MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn indirect_probes_keep_a_governor_alive_behind_a_one_way_link() {
    let mut net = Net::new(4, 2);
    net.run(2000);
    net.cut.insert((1, 0));
    net.run(30_000);
    assert_eq!(observers(&net, "g1", MemberState::Dead), Vec::<usize>::new());
    assert!(net.sees(0, 1) && net.sees(1, 0));
    // Who can say nothing to anybody is dead to all; and has nobody to hand a proxy to, though it hears them.
    net.cut.extend([(1, 2), (1, 3)]);
    net.run(15_000);
    assert!([0, 2, 3].iter().all(|one| !net.sees(*one, 1) && !net.sees(1, *one)));
    net.cut.clear();
    net.run(4000);
    assert!([0, 2, 3].iter().all(|one| net.sees(*one, 1)), "it said otherwise as soon as it could");
}

#[test]
fn a_governor_that_stalled_suspects_nobody_and_is_alive_again() {
    let mut net = Net::new(4, 3);
    net.run(2000);
    net.stalled.insert(2);
    net.run(12_000);
    assert!([0, 1, 3].iter().all(|one| !net.sees(*one, 2)));
    net.stalled.clear();
    let woke = net.now;
    net.run(5000);
    let blames = net.events.iter().filter(|(at, place, event)| {
        *at >= woke
            && *place == 2
            && matches!(
                event,
                MembershipEvent::MemberStateChanged { state: MemberState::Suspect | MemberState::Dead, .. }
            )
    });
    assert_eq!(blames.count(), 0);
    assert!(
        net.events
            .iter()
            .any(|(_, place, event)| *place == 2 && matches!(event, MembershipEvent::Stalled { .. }))
    );
    assert!([0, 1, 3].iter().all(|one| net.sees(*one, 2) && net.sees(2, *one)));
}

#[test]
fn a_partition_heals_by_itself() {
    let mut net = Net::new(6, 4);
    net.run(2000);
    let sides = [[0, 1, 2], [3, 4, 5]];
    for one in sides[0] {
        for other in sides[1] {
            net.cut.extend([(one, other), (other, one)]);
        }
    }
    net.run(20_000);
    assert!(!net.sees(0, 4) && !net.sees(5, 2) && net.sees(0, 2) && net.sees(3, 5));
    net.cut.clear();
    net.run(12_000);
    assert!((0..6).all(|one| (0..6).all(|other| one == other || net.sees(one, other))));
}

#[test]
fn proxies_spread_evenly_and_leave_a_draining_governor_with_their_state() {
    for (seed, lost) in [(5, 0), (6, 100), (7, 250)] {
        let mut net = Net::new(3, seed);
        (net.lost, net.doubled) = (lost, lost);
        proxies(60).iter().for_each(|proxy| net.join(proxy, 0));
        net.run(40_000);
        let counts = net.counts();
        assert!(counts.iter().all(|count| *count <= 25) && counts.iter().sum::<usize>() == 60, "{counts:?}");
        assert!(net.moves <= 75, "seed {seed}: {} moves", net.moves);
        let rest = net.moves;
        net.run(20_000);
        assert!(net.moves <= rest + usize::from(lost > 0) * 5, "it comes to rest");
        let now = net.now;
        net.governor(1).set_mode(now, ServiceMode::Draining);
        net.run(25_000);
        assert_eq!(net.counts()[1], 0, "seed {seed}");
        assert_eq!(net.counts().iter().sum::<usize>(), 60, "all are somewhere");
        assert!(net.events.iter().any(|(_, place, event)| (*place, event) == (1, &MembershipEvent::Drained)));
        // Each came with all that was known of it.
        assert!(net.ahead.len() >= net.moves * 9 / 10, "{} of {}", net.ahead.len(), net.moves);
        for (proxy, ahead) in &net.ahead {
            assert_eq!(ahead.bytes, format!("all about {proxy}, ").repeat(100).into_bytes());
        }
        // It comes back to service: its own come home.
        let now = net.now;
        net.governor(1).set_mode(now, ServiceMode::Serving);
        net.run(30_000);
        assert!(net.counts()[1] >= 10, "{:?}", net.counts());
    }
}

#[test]
fn each_side_of_a_partition_keeps_its_proxies() {
    let mut net = Net::new(3, 8);
    for (place, proxy) in proxies(60).iter().enumerate() {
        net.join(proxy, place % 3);
    }
    net.run(20_000);
    net.cut.extend([(0, 1), (1, 0), (0, 2), (2, 0)]);
    net.run(10_000);
    let (before, counts) = (net.moves, net.counts());
    net.run(20_000);
    assert_eq!((net.moves, net.counts()), (before, counts), "nobody is moved where nobody answers");
    // Drained while cut off: nobody to hand them to is known of, so they find others by themselves.
    let now = net.now;
    net.governor(0).set_mode(now, ServiceMode::Draining);
    net.run(1000);
    assert!(net.moves > before);
}

#[test]
fn a_drain_continues_when_the_only_other_governor_dies_with_offers_open() {
    let mut net = Net::new(2, 9);
    let all = proxies(10);
    all.iter().for_each(|proxy| net.join(proxy, 0));
    // Said before anybody may be moved, so that all are offered at once.
    net.run(1900);
    net.cut.extend([(0, 1), (1, 0)]);
    let now = net.now;
    net.governor(0).set_mode(now, ServiceMode::Draining);
    net.run(600);
    net.kill(1);
    net.run(12_000);
    assert!(net.moves >= all.len(), "{} were sent on", net.moves);
}
