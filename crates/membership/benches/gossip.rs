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
fn by_chance(proxies: usize, among: &[usize], seed: u64) -> Vec<usize> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let draw = |proxy: usize| {
        let mut hasher = DefaultHasher::new();
        (seed, proxy).hash(&mut hasher);
        among[(hasher.finish() % among.len() as u64) as usize]
    };
    (0..proxies).map(draw).collect()
}

/// For each method of assignment, prints how evenly 60 and 1,000 proxies are distributed before and after one governor
/// dies, and how many proxies move at its death and at its return.
fn spreads() {
    println!(
        "| proxies | governors | method | fullest before, relative to an even share | after | moves at death | \
        moves at return | proxies of the returned governor |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (many, count) in [(60, 3), (60, 5), (60, 8), (1000, 3), (1000, 5), (1000, 8)] {
        let proxies: Vec<String> = (0..many).map(|n| format!("relay-{n}")).collect();
        let proxies: Vec<&str> = proxies.iter().map(String::as_str).collect();
        let names: Vec<String> = (0..count).map(|n| format!("g{n}")).collect();
        let all: Vec<&str> = names.iter().map(String::as_str).collect();
        let ranked = |among: &[usize]| -> Vec<usize> {
            let some: Vec<&str> = among.iter().map(|one| all[*one]).collect();
            proxies.iter().map(|proxy| among[ranking(proxy, &some)[0]]).collect()
        };
        let bounded = |among: &[usize]| -> Vec<usize> {
            let some: Vec<&str> = among.iter().map(|one| all[*one]).collect();
            assign(&proxies, &some).into_iter().map(|place| among[place]).collect()
        };
        let everyone: Vec<usize> = (0..count).collect();
        let others: Vec<usize> = (1..count).collect();
        let full = |at: &[usize], among: usize| {
            let most = (0..count).map(|one| at.iter().filter(|to| **to == one).count()).max().unwrap_or(0);
            most as f64 * among as f64 / proxies.len() as f64
        };
        let moved = |one: &[usize], other: &[usize]| one.iter().zip(other).filter(|(a, b)| a != b).count();
        let say = |way: &str, before: Vec<usize>, after: Vec<usize>, then: Vec<usize>| {
            println!(
                "| {many} | {count} | {way} | {:.2} | {:.2} | {} | {} | {} |",
                full(&before, count),
                full(&after, count - 1),
                moved(&before, &after),
                moved(&after, &then),
                then.iter().filter(|at| **at == 0).count()
            );
        };
        say("rendezvous", ranked(&everyone), ranked(&others), ranked(&everyone));
        say("rendezvous, bounded", bounded(&everyone), bounded(&others), bounded(&everyone));
        // Random assignment: proxies of the dead governor connect to any other, and none returns.
        let before = by_chance(many, &everyone, 1);
        let again = by_chance(many, &others, 2);
        let after: Vec<usize> =
            before.iter().zip(&again).map(|(at, again)| if *at == 0 { *again } else { *at }).collect();
        say("random reconnect", before, after.clone(), after);
    }
}

fn main() {
    spreads();
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
            (network.bytes, network.datagrams) = (0, 0);
            network.run(60_000);
            let a_second = 60.0 * governors as f64;
            let (bytes, datagrams) = (network.bytes as f64 / a_second, network.datagrams as f64 / a_second);
            let wrongly = network.events.iter().filter(|reported| {
                matches!(reported.event, MembershipEvent::MemberStateChanged { state: MemberState::Dead, .. })
            });
            let (wrongly, died) = (wrongly.count(), network.now);
            network.kill(0);
            network.run(40_000);
            let death =
                MembershipEvent::MemberStateChanged { governor: "g0".into(), state: MemberState::Dead };
            let found_death = |reported: &&ReportedEvent| reported.at > died && reported.event == death;
            let known: Vec<f64> = network
                .events
                .iter()
                .filter(found_death)
                .map(|reported| (reported.at - died).as_secs_f64())
                .collect();
            let first = known.iter().copied().fold(f64::INFINITY, f64::min);
            let last = known.iter().copied().fold(0.0, f64::max);
            assert!(
                known.len() >= governors - 1,
                "only {} of {governors} governors detected the death",
                known.len()
            );
            println!(
                "| {governors} | {} | {bytes:.0} | {datagrams:.1} | {} | \
                 {first:.1} | {last:.1} | {wrongly} |",
                lost / 10,
                network.longest,
            );
        }
    }
}
