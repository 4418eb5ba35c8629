//! Measures failover: how long relays have no governor after one of three is killed or drained, how evenly they are
//! distributed over the others, and how many move when it returns. For comparison, also measures relays that reconnect
//! to a random governor.
//!
//! Relays use the client library (gRPC, delta) and wait 0.1 to 0.3 s before reconnecting, in both cases.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{Governor, ZONES};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tokio::task::LocalSet;
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{Error, Observer, ProxyIdentity, grpc, is_serving};
use wrenthread_core::failover::GovernorSelector;

const FAILBACK: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));

#[derive(Default)]
struct Relay {
    /// The governor that the stream is connected to, and since when.
    at: Cell<Option<(usize, Instant)>>,
    /// When the last stream ended.
    lost: Cell<Option<Instant>>,
    /// The time between the end of the last stream and the next one.
    outage: Cell<Option<Duration>>,
    joins: Cell<usize>,
}

struct ConnectionObserver<'a>(&'a Relay, usize);

impl Observer for ConnectionObserver<'_> {
    // Counts the connection, not the first tables: a relay whose tables are up to date receives none.
    fn connected(&self) {
        if self.0.at.get().is_none() {
            self.0.at.set(Some((self.1, Instant::now())));
            self.0.outage.set(self.0.lost.get().map(|lost| lost.elapsed()));
            self.0.joins.set(self.0.joins.get() + 1);
        }
    }
}

async fn follow(
    number: usize,
    relay: Rc<Relay>,
    governors: Rc<Vec<wrenthread_client::Governor>>,
    at_random: bool,
) {
    let names: Vec<&str> = governors.iter().map(|governor| governor.name.as_str()).collect();
    let identity = ProxyIdentity {
        name: format!("relay-{number}"),
        zone: ZONES[number % 3].into(),
        requests_per_second: 1.0,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(number as u64);
    let mut selector = GovernorSelector::new(&identity.name, &names, FAILBACK.0, FAILBACK.1);
    let cache = TableCache::new(common::GROUPS.map(str::to_string).to_vec(), vec![], None);
    let (cache, versions, began) = (Rc::new(RefCell::new(cache)), Rc::default(), Instant::now());
    let mut index = selector.current();
    loop {
        let observer = ConnectionObserver(&relay, index);
        let home = governors[selector.home()].grpc.clone();
        let return_home = async {
            loop {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let is_reachable = at_random || selector.is_home() || is_serving(&home).await;
                if !at_random && selector.home_checked(began.elapsed(), is_reachable) {
                    return;
                }
            }
        };
        let ended = tokio::select! {
            ended = grpc::follow(&governors[index], &identity, true, &cache, &versions, &observer) => ended.err(),
            () = return_home => None,
        };
        if relay.at.take().is_some() {
            relay.lost.set(Some(Instant::now()));
        } else if ended.is_some() {
            selector.connection_lost();
        }
        if let Some(Error::Redirected(to)) = &ended {
            let to = to.as_ref().and_then(|to| names.iter().position(|name| name == to));
            selector.redirected(to);
        }
        index = match at_random {
            true => rng.next_u64() as usize % governors.len(),
            false => selector.current(),
        };
        let pause = Duration::from_millis(100 + rng.next_u64() % 200);
        tokio::time::sleep(pause).await;
    }
}

fn counts(relays: &[Rc<Relay>]) -> [usize; 3] {
    let at = |index| relays.iter().filter(|relay| relay.at.get().is_some_and(|(at, _)| at == index)).count();
    [at(0), at(1), at(2)]
}

fn format_quantiles(outages: &mut [Duration]) -> String {
    outages.sort();
    let at =
        |quantile: f64| outages.get((outages.len() as f64 * quantile) as usize).or(outages.last()).copied();
    let text =
        |outage: Option<Duration>| outage.map_or("-".into(), |outage| format!("{:.2}", outage.as_secs_f64()));
    format!("{} | {} | {}", text(at(0.5)), text(at(0.99)), text(outages.last().copied()))
}

async fn wait_until_all_connected(relays: &[Rc<Relay>], timeout: Duration) -> bool {
    let began = Instant::now();
    while relays.iter().any(|relay| relay.at.get().is_none()) {
        if began.elapsed() > timeout {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}

async fn fleet(count: usize, tag: &str, is_drain: bool) -> Vec<Governor> {
    let mut governors = Vec::new();
    let port = || std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let talk = [port(), port(), port()];
    let key = std::env::temp_dir().join(format!("wrenthread-bench-{}.key", std::process::id()));
    std::fs::write(&key, [b'k'; 32]).unwrap();
    for index in 0..3 {
        let peers: Vec<String> = (0..3)
            .filter(|other| *other != index)
            .map(|other| format!("g{other}=127.0.0.1:{}", talk[other]))
            .collect();
        let membership = match is_drain {
            true => format!(", talk = \"127.0.0.1:{}\", peers = {peers:?}", talk[index]),
            false => String::new(),
        };
        let more = format!("governor(name = \"g{index}\", keys = [{key:?}]{membership})");
        governors.push(Governor::start_with(count, &format!("{tag}{index}"), &more).await);
    }
    governors
}

async fn measure(count: usize, case: &str) {
    let (is_drain, at_random) = (case == "drained", case == "killed, random reconnect");
    let mut governors = fleet(
        count,
        if is_drain {
            "t"
        } else if at_random {
            "c"
        } else {
            "r"
        },
        is_drain,
    )
    .await;
    let endpoints = governors.iter().enumerate().map(|(index, governor)| wrenthread_client::Governor {
        name: format!("g{index}"),
        grpc: governor.uri.clone(),
        poll: governor.poll.clone(),
    });
    let endpoints: Rc<Vec<_>> = Rc::new(endpoints.collect());
    let relays: Vec<Rc<Relay>> = (0..count).map(|_| Rc::default()).collect();
    for (number, relay) in relays.iter().enumerate() {
        tokio::task::spawn_local(follow(number, relay.clone(), endpoints.clone(), at_random));
    }
    assert!(wait_until_all_connected(&relays, Duration::from_secs(60)).await, "not all relays have joined");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let affected: Vec<Rc<Relay>> =
        relays.iter().filter(|relay| relay.at.get().is_some_and(|(at, _)| at == 0)).cloned().collect();
    let before = counts(&relays);
    let began = Instant::now();
    if is_drain {
        let url = format!("http://127.0.0.1:{}/drain", governors[0].http);
        let drain = reqwest::Client::new().post(url).header("content-type", "application/json");
        drain.body("{\"draining\": true}").send().await.unwrap();
        while counts(&relays)[0] > 0 || relays.iter().any(|relay| relay.at.get().is_none()) {
            assert!(began.elapsed() < Duration::from_secs(120), "the drain takes too long");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    } else {
        governors[0].child.kill().unwrap();
        governors[0].child.wait().unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(
            wait_until_all_connected(&relays, Duration::from_secs(60)).await,
            "some relays found no governor"
        );
    }
    let total_time = began.elapsed();
    let mut outages: Vec<Duration> = affected.iter().filter_map(|relay| relay.outage.get()).collect();
    let after = counts(&relays);
    // The governor returns; a drained one is stopped first.
    let joins = |relays: &[Rc<Relay>]| relays.iter().map(|relay| relay.joins.get()).sum::<usize>();
    let joined = joins(&relays);
    if is_drain {
        governors[0].child.kill().unwrap();
        governors[0].child.wait().unwrap();
    }
    governors[0].spawn().await;
    let wait = if is_drain { 6 + count as u64 / 30 } else { 12 };
    tokio::time::sleep(Duration::from_secs(wait)).await;
    let (moves, home) = (joins(&relays) - joined, counts(&relays));
    println!(
        "| {case} | {count} | {before:?} | {} | {:.1} | {after:?} | {moves} | {home:?} |",
        format_quantiles(&mut outages),
        total_time.as_secs_f64(),
    );
}

fn main() {
    println!(
        "| case | relays | per governor before | outage p50, s | p99, s | max, s | until all reconnected, s | \
        per governor after | moves on return | per governor then |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let only: Option<usize> = std::env::args().find_map(|argument| argument.parse().ok());
    for count in [60, 600, 1000].into_iter().filter(|count| only.is_none_or(|only| only == *count)) {
        for case in ["killed", "killed, random reconnect", "drained"] {
            LocalSet::new().block_on(&runtime, measure(count, case));
        }
    }
}
