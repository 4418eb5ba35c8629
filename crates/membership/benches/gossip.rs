//! Network traffic of gossip per governor and the time to detect a dead governor, for different numbers of governors.
//! Runs on the simulated network of the tests, in simulated time, with the default settings.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

#[path = "../tests/simulated_network/mod.rs"]
mod simulated_network;

use simulated_network::{ReportedEvent, SimulatedNetwork};
use wrenthread_core::ownership::ranking;
use wrenthread_membership::MembershipEvent;
use wrenthread_membership::assignment::assign;
use wrenthread_membership::messages::MemberState;

/// Assigns each proxy to a pseudo-random governor, determined by `seed`.
fn random_assignment(proxies: usize, among: &[usize], seed: u64) -> Vec<usize> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let choose = |proxy: usize| {
        let mut hasher = DefaultHasher::new();
        (seed, proxy).hash(&mut hasher);
        among[(hasher.finish() % among.len() as u64) as usize]
    };
    (0..proxies).map(choose).collect()
}

/// For each method of assignment, prints how evenly 60 and 1,000 proxies are distributed before and after one governor
/// dies, and how many proxies move at its death and at its return.
fn print_distributions() {
    println!(
        "| proxies | governors | method | fullest before, relative to an even share | after | moves at death | \
        moves at return | proxies of the returned governor |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (proxy_count, governor_count) in [(60, 3), (60, 5), (60, 8), (1000, 3), (1000, 5), (1000, 8)] {
        let proxies: Vec<String> = (0..proxy_count).map(|n| format!("relay-{n}")).collect();
        let proxies: Vec<&str> = proxies.iter().map(String::as_str).collect();
        let names: Vec<String> = (0..governor_count).map(|n| format!("g{n}")).collect();
        let all_names: Vec<&str> = names.iter().map(String::as_str).collect();
        let ranked = |among: &[usize]| -> Vec<usize> {
            let live_names: Vec<&str> = among.iter().map(|governor| all_names[*governor]).collect();
            proxies.iter().map(|proxy| among[ranking(proxy, &live_names)[0]]).collect()
        };
        let bounded = |among: &[usize]| -> Vec<usize> {
            let live_names: Vec<&str> = among.iter().map(|governor| all_names[*governor]).collect();
            assign(&proxies, &live_names).into_iter().map(|index| among[index]).collect()
        };
        let all_governors: Vec<usize> = (0..governor_count).collect();
        let others: Vec<usize> = (1..governor_count).collect();
        let relative_max_load = |at: &[usize], among: usize| {
            let max_load = (0..governor_count)
                .map(|governor| at.iter().filter(|to| **to == governor).count())
                .max()
                .unwrap_or(0);
            max_load as f64 * among as f64 / proxies.len() as f64
        };
        let moved = |old: &[usize], new: &[usize]| old.iter().zip(new).filter(|(a, b)| a != b).count();
        let print_row = |method: &str, before: Vec<usize>, after: Vec<usize>, returned: Vec<usize>| {
            println!(
                "| {proxy_count} | {governor_count} | {method} | {:.2} | {:.2} | {} | {} | {} |",
                relative_max_load(&before, governor_count),
                relative_max_load(&after, governor_count - 1),
                moved(&before, &after),
                moved(&after, &returned),
                returned.iter().filter(|at| **at == 0).count()
            );
        };
        print_row("rendezvous", ranked(&all_governors), ranked(&others), ranked(&all_governors));
        print_row("rendezvous, bounded", bounded(&all_governors), bounded(&others), bounded(&all_governors));
        // Random assignment: proxies of the dead governor connect to any other, and none returns.
        let before = random_assignment(proxy_count, &all_governors, 1);
        let reconnected = random_assignment(proxy_count, &others, 2);
        let after: Vec<usize> = before
            .iter()
            .zip(&reconnected)
            .map(|(at, reconnected)| if *at == 0 { *reconnected } else { *at })
            .collect();
        print_row("random reconnect", before, after.clone(), after);
    }
}

fn main() {
    print_distributions();
    println!();
    println!(
        "| governors | loss, % | bytes per governor and second | datagrams | longest, bytes | \
         first detection of the death, s | last, s | false deaths |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for governors in [3, 5, 10, 20, 50] {
        for lost in [0, 50] {
            let mut network = SimulatedNetwork::new(governors, 11);
            network.lost_per_mille = lost;
            network.run(10_000);
            (network.bytes_sent, network.datagrams_sent) = (0, 0);
            network.run(60_000);
            let governor_seconds = 60.0 * governors as f64;
            let (bytes, datagrams) = (
                network.bytes_sent as f64 / governor_seconds,
                network.datagrams_sent as f64 / governor_seconds,
            );
            let false_deaths = network.events.iter().filter(|reported| {
                matches!(reported.event, MembershipEvent::MemberStateChanged { state: MemberState::Dead, .. })
            });
            let (false_deaths, killed_at) = (false_deaths.count(), network.now);
            network.kill(0);
            network.run(40_000);
            let death =
                MembershipEvent::MemberStateChanged { governor: "g0".into(), state: MemberState::Dead };
            let found_death = |reported: &&ReportedEvent| reported.at > killed_at && reported.event == death;
            let detection_times: Vec<f64> = network
                .events
                .iter()
                .filter(found_death)
                .map(|reported| (reported.at - killed_at).as_secs_f64())
                .collect();
            let first = detection_times.iter().copied().fold(f64::INFINITY, f64::min);
            let last = detection_times.iter().copied().fold(0.0, f64::max);
            assert!(
                detection_times.len() >= governors - 1,
                "only {} of {governors} governors detected the death",
                detection_times.len()
            );
            println!(
                "| {governors} | {} | {bytes:.0} | {datagrams:.1} | {} | \
                 {first:.1} | {last:.1} | {false_deaths} |",
                lost / 10,
                network.longest_datagram,
            );
        }
    }
}
