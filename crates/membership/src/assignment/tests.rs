use super::*;
use ServiceMode::{Draining, Serving};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}-{n}")).collect()
}

fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

fn counts(assigned: &[usize], governors: usize) -> Vec<usize> {
    (0..governors).map(|governor| assigned.iter().filter(|to| **to == governor).count()).collect()
}

proptest! {
    #[test]
    fn assignment_respects_the_capacity_limit_whatever_the_order_of_proxies(
        proxies in 1usize..400, governors in 1usize..9, rotation in 0usize..400,
    ) {
        let (proxies, governors) = (names("relay", proxies), names("g", governors));
        let (mut proxies, governors) = (as_strs(&proxies), as_strs(&governors));
        let assigned = assign(&proxies, &governors);
        let limit = max_proxies_per_governor(proxies.len(), governors.len());
        prop_assert!(counts(&assigned, governors.len()).iter().all(|count| *count <= limit));
        let by_name: BTreeMap<&str, usize> = proxies.iter().copied().zip(assigned).collect();
        let rotation = rotation % proxies.len();
        proxies.rotate_left(rotation);
        proxies.reverse();
        let reordered: BTreeMap<&str, usize> =
            proxies.iter().copied().zip(assign(&proxies, &governors)).collect();
        prop_assert_eq!(by_name, reordered);
    }

    #[test]
    fn removing_a_governor_moves_few_proxies_of_the_others(
        proxies in 50usize..400, governors in 3usize..9, removed in 0usize..9,
    ) {
        let (proxies, governors) = (names("relay", proxies), names("g", governors));
        let (proxies, before) = (as_strs(&proxies), as_strs(&governors));
        let removed = removed % before.len();
        let after: Vec<&str> = before.iter().copied().filter(|name| *name != before[removed]).collect();
        let (old, new) = (assign(&proxies, &before), assign(&proxies, &after));
        let moved = old.iter().zip(&new).filter(|(from, to)| before[**from] != after[**to]).count();
        let owned = counts(&old, before.len())[removed];
        // Besides the proxies of the removed governor, those move that a full governor had rejected and that fit there
        // now.
        prop_assert!(moved >= owned && moved <= owned + proxies.len() / 5 + 3, "{moved} moved of {owned}");
    }
}

struct Converged {
    /// The governor of each proxy.
    assigned: Vec<usize>,
    moves: usize,
}

/// Lets each governor move its own proxies until no governor has a move left.
fn converge(mut assigned: Vec<usize>, governors: &[String], modes: &[ServiceMode]) -> Converged {
    let proxies = names("relay", assigned.len());
    for moves in 0..10_000 {
        let next =
            (0..governors.len()).find_map(|local| decide(&proxies, &assigned, governors, modes, local));
        let Some((proxy, to)) = next else { return Converged { assigned, moves } };
        assigned[proxy] = to;
    }
    panic!("no convergence within 10,000 moves");
}

/// The next move of one governor: the proxy and its destination, by index.
fn decide(
    proxies: &[String],
    assigned: &[usize],
    governors: &[String],
    modes: &[ServiceMode],
    local: usize,
) -> Option<(usize, usize)> {
    let connected = counts(assigned, governors.len());
    let others: Vec<GovernorCapacity> = (0..governors.len())
        .filter(|other| *other != local && modes[*other] == Serving)
        .map(|other| GovernorCapacity { name: &governors[other], connected_proxies: connected[other] })
        .collect();
    let mut ranked_names: Vec<&str> = others.iter().map(|other| other.name).collect();
    ranked_names.push(&governors[local]);
    let rankings: Vec<Vec<usize>> = proxies.iter().map(|proxy| ranking(proxy, &ranked_names)).collect();
    let own = (0..assigned.len()).filter(|proxy| assigned[*proxy] == local);
    let own = own.map(|proxy| LocalProxy { name: &proxies[proxy], ranking: &rankings[proxy], movable: true });
    let governor = LocalGovernor { connected_proxies: connected[local], mode: modes[local] };
    let next = next_move(&others, governor, own)?;
    let proxy = proxies.iter().position(|name| name == next.proxy).unwrap();
    let to = governors.iter().position(|name| name == next.to).unwrap();
    Some((proxy, to))
}

#[test]
fn local_decisions_converge_to_the_capacity_limit() {
    let governors = names("g", 4);
    // All proxies are at one governor, as after the others were dead.
    let Converged { assigned, moves } = converge(vec![0; 90], &governors, &[Serving; 4]);
    let connected = counts(&assigned, 4);
    let limit = max_proxies_per_governor(90, 4);
    assert!(connected.iter().all(|count| *count <= limit), "{connected:?}");
    assert!(moves <= 90, "{moves} moves: a proxy moved twice");
    let proxies = names("relay", 90);
    let with_full_knowledge = assign(&as_strs(&proxies), &as_strs(&governors));
    let equal =
        with_full_knowledge.iter().zip(&assigned).filter(|(expected, actual)| expected == actual).count();
    assert!(equal >= 80, "{equal} of 90 proxies are assigned as by `assign`");
    // The converged assignment is stable.
    assert_eq!(converge(assigned.clone(), &governors, &[Serving; 4]).moves, 0);
    let drained = converge(assigned, &governors, &[Serving, Draining, Serving, Serving]).assigned;
    let connected = counts(&drained, 4);
    let limit = max_proxies_per_governor(90, 3);
    assert!(connected[1] == 0 && connected.iter().all(|count| *count <= limit), "{connected:?}");
}

#[test]
fn proxies_that_will_move_away_do_not_displace_others() {
    let others = [
        GovernorCapacity { name: "back", connected_proxies: 0 },
        GovernorCapacity { name: "other", connected_proxies: 25 },
    ];
    let local = LocalGovernor { connected_proxies: 31, mode: Serving };
    let proxies = |newcomers: usize| {
        (0..31).map(move |n| match n < newcomers {
            true => LocalProxy { name: "new", ranking: &[0, 2, 1], movable: false },
            false => LocalProxy { name: "own", ranking: &[2, 0, 1], movable: true },
        })
    };
    // The capacity is 24 of the 56 proxies.
    assert_eq!(next_move(&others, local, proxies(7)), None);
    assert_eq!(next_move(&others, local, proxies(6)), Some(ProxyMove { proxy: "own", to: "back" }));
}

#[test]
fn a_draining_governor_moves_proxies_even_to_full_governors_and_admits_none() {
    let capacity = |name, connected_proxies| GovernorCapacity { name, connected_proxies };
    let local = |connected_proxies, mode| LocalGovernor { connected_proxies, mode };
    let proxy = || LocalProxy { name: "p", ranking: &[0, 2, 1], movable: true };
    let unmovable = LocalProxy { movable: false, ..proxy() };
    let others = [capacity("a", 900), capacity("b", 100)];
    let draining = local(1, Draining);
    let move_to_b = Some(ProxyMove { proxy: "p", to: "b" });
    assert_eq!(next_move(&others, draining, [proxy()].into_iter()), move_to_b);
    assert_eq!(next_move(&others, draining, [unmovable].into_iter()), None);
    assert_eq!(next_move(&[], draining, [proxy()].into_iter()), None, "there is no other governor");
    assert!(admits(local(50, Serving), &others, Draining));
    assert!(!admits(local(1, Draining), &others, Draining));
    assert!(!admits(local(438, Draining), &others, Serving));
    assert!(admits(local(437, Serving), &others, Serving));
    assert!(!admits(local(900, Serving), &others, Serving));
}
