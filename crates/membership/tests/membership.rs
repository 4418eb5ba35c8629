//! Membership on a simulated network, with faults of the network and of governors.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

mod simulated_network;

use std::sync::Arc;

use simulated_network::{SimulatedNetwork, ms};
use wrenthread_membership::messages::MemberState;
use wrenthread_membership::{MembershipEvent, ServiceMode};

fn proxies(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("relay-{n}").into()).collect()
}

fn changed_to(governor: &str, state: MemberState) -> MembershipEvent {
    MembershipEvent::MemberStateChanged { governor: governor.into(), state }
}

/// The governors that reported the change of a governor to a state.
fn observers(network: &SimulatedNetwork, of: &str, state: MemberState) -> Vec<usize> {
    let events = network.events.iter().filter(|reported| reported.event == changed_to(of, state));
    events.map(|reported| reported.governor).collect()
}

#[test]
fn a_dead_governor_is_detected_and_is_live_again_after_its_restart() {
    let mut network = SimulatedNetwork::new(5, 1);
    network.run(2000);
    assert!(network.all_live());
    network.kill(3);
    let killed_at = network.now;
    network.run(8000);
    assert!([0, 1, 2, 4].iter().all(|governor| !network.considers_live(*governor, 3)));
    let detections =
        network.events.iter().filter(|reported| reported.event == changed_to("g3", MemberState::Dead));
    let latest = detections.map(|reported| reported.at).max().unwrap() - killed_at;
    assert!(latest < ms(6000), "{latest:?}");
    network.start(3);
    network.run(2000);
    assert!(network.all_live());
}

#[test]
fn lost_duplicated_and_late_datagrams_cause_no_false_deaths() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::new(5, seed);
        network.lost_per_mille = 150;
        network.duplicated_per_mille = 150;
        network.run(60_000);
        let dead = network.events.iter().filter(|reported| {
            matches!(reported.event, MembershipEvent::MemberStateChanged { state: MemberState::Dead, .. })
        });
        assert_eq!(dead.count(), 0, "seed {seed}");
        // Some governors were suspected and refuted it, so the loss had an effect.
        assert!(network.events.iter().any(|reported| matches!(
            reported.event,
            MembershipEvent::MemberStateChanged { state: MemberState::Suspect, .. }
        )));
        assert!(network.longest_datagram <= wrenthread_membership::messages::MAX_DATAGRAM_BYTES);
    }
}

#[test]
fn indirect_probes_keep_a_governor_alive_behind_a_one_way_link() {
    let mut network = SimulatedNetwork::new(4, 2);
    network.run(2000);
    network.cut_links.insert((1, 0));
    network.run(30_000);
    assert_eq!(observers(&network, "g1", MemberState::Dead), Vec::<usize>::new());
    assert!(network.considers_live(0, 1) && network.considers_live(1, 0));
    // A governor that can't send to any other is declared dead by all. It receives their datagrams, but considers
    // nobody live either, so it has no destination for its proxies.
    network.cut_links.extend([(1, 2), (1, 3)]);
    network.run(15_000);
    assert!(
        [0, 2, 3]
            .iter()
            .all(|governor| !network.considers_live(*governor, 1) && !network.considers_live(1, *governor))
    );
    network.cut_links.clear();
    network.run(4000);
    assert!(
        [0, 2, 3].iter().all(|governor| network.considers_live(*governor, 1)),
        "governor 1 did not refute its death after the links were restored"
    );
}

#[test]
fn a_stalled_governor_suspects_no_other_and_is_alive_again() {
    let mut network = SimulatedNetwork::new(4, 3);
    network.run(2000);
    network.stalled.insert(2);
    network.run(12_000);
    assert!([0, 1, 3].iter().all(|governor| !network.considers_live(*governor, 2)));
    network.stalled.clear();
    let resumed_at = network.now;
    network.run(5000);
    let false_suspicions = network.events.iter().filter(|reported| {
        reported.at >= resumed_at
            && reported.governor == 2
            && matches!(
                reported.event,
                MembershipEvent::MemberStateChanged { state: MemberState::Suspect | MemberState::Dead, .. }
            )
    });
    assert_eq!(false_suspicions.count(), 0);
    assert!(
        network
            .events
            .iter()
            .any(|reported| reported.governor == 2
                && matches!(reported.event, MembershipEvent::Stalled { .. }))
    );
    assert!(
        [0, 1, 3]
            .iter()
            .all(|governor| network.considers_live(*governor, 2) && network.considers_live(2, *governor))
    );
}

#[test]
fn a_partition_heals_by_itself() {
    let mut network = SimulatedNetwork::new(6, 4);
    network.run(2000);
    let sides = [[0, 1, 2], [3, 4, 5]];
    for left in sides[0] {
        for right in sides[1] {
            network.cut_links.extend([(left, right), (right, left)]);
        }
    }
    network.run(20_000);
    assert!(
        !network.considers_live(0, 4)
            && !network.considers_live(5, 2)
            && network.considers_live(0, 2)
            && network.considers_live(3, 5)
    );
    network.cut_links.clear();
    network.run(12_000);
    assert!(network.all_live());
}

#[test]
fn proxies_are_balanced_and_leave_a_draining_governor_with_their_state() {
    for (seed, lost) in [(5, 0), (6, 100), (7, 250)] {
        let mut network = SimulatedNetwork::new(3, seed);
        network.lost_per_mille = lost;
        network.duplicated_per_mille = lost;
        proxies(60).iter().for_each(|proxy| network.connect(proxy, 0));
        network.run(40_000);
        let counts = network.proxy_counts();
        assert!(counts.iter().all(|count| *count <= 25) && counts.iter().sum::<usize>() == 60, "{counts:?}");
        assert!(network.moves <= 75, "seed {seed}: {} moves", network.moves);
        let moves_at_rest = network.moves;
        network.run(20_000);
        assert!(
            network.moves <= moves_at_rest + usize::from(lost > 0) * 5,
            "proxies still move after the assignment converged"
        );
        let now = network.now;
        network.governor(1).set_mode(now, ServiceMode::Draining);
        network.run(25_000);
        assert_eq!(network.proxy_counts()[1], 0, "seed {seed}");
        assert_eq!(
            network.proxy_counts().iter().sum::<usize>(),
            60,
            "a proxy is not connected to any governor"
        );
        assert!(
            network
                .events
                .iter()
                .any(|reported| reported.governor == 1 && reported.event == MembershipEvent::Drained)
        );
        // The state of nearly all moved proxies was transferred, complete.
        assert!(
            network.transferred.len() >= network.moves * 9 / 10,
            "{} of {}",
            network.transferred.len(),
            network.moves
        );
        for (proxy, state) in &network.transferred {
            assert_eq!(state.bytes, format!("all about {proxy}, ").repeat(100).into_bytes());
        }
        // After the drain it serves again, and proxies that rank it highest move back.
        let now = network.now;
        network.governor(1).set_mode(now, ServiceMode::Serving);
        network.run(30_000);
        assert!(network.proxy_counts()[1] >= 10, "{:?}", network.proxy_counts());
    }
}

#[test]
fn each_side_of_a_partition_keeps_its_proxies() {
    let mut network = SimulatedNetwork::new(3, 8);
    for (index, proxy) in proxies(60).iter().enumerate() {
        network.connect(proxy, index % 3);
    }
    network.run(20_000);
    network.cut_links.extend([(0, 1), (1, 0), (0, 2), (2, 0)]);
    network.run(10_000);
    let (before, counts) = (network.moves, network.proxy_counts());
    network.run(20_000);
    assert_eq!(
        (network.moves, network.proxy_counts()),
        (before, counts),
        "proxies were moved across the partition"
    );
    // A governor that drains while cut off knows no destination, so its proxies choose another governor by themselves.
    let now = network.now;
    network.governor(0).set_mode(now, ServiceMode::Draining);
    network.run(1000);
    assert!(network.moves > before);
}

#[test]
fn a_drain_continues_when_the_only_other_governor_dies_with_offers_open() {
    let mut network = SimulatedNetwork::new(2, 9);
    let all = proxies(10);
    all.iter().for_each(|proxy| network.connect(proxy, 0));
    // The drain starts before the minimum residence ends, so that all proxies are offered at once.
    network.run(1900);
    network.cut_links.extend([(0, 1), (1, 0)]);
    let now = network.now;
    network.governor(0).set_mode(now, ServiceMode::Draining);
    network.run(600);
    network.kill(1);
    network.run(12_000);
    assert!(network.moves >= all.len(), "only {} proxies were redirected", network.moves);
}
