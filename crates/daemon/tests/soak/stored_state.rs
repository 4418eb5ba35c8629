//! The daemon's gRPC and long-poll interfaces: a governor with a state folder is restarted by series of signals while a
//! proxy on each interface keeps reconnecting. An operator's override must be in effect after each start.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tokio::task::{LocalSet, spawn_local};
use wrenthread_client::poll::Session;
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{NoObserver, ProxyIdentity, grpc};

use super::common::{Governor, wait_until};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
const RESTARTS: usize = 5;
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
const KILL_AFTER_TERMINATE: Duration = Duration::from_millis(700);
/// Series of signals; the last one of each ends the governor.
const SIGNAL_SERIES: [&[&str]; 6] = [
    &["-KILL"],
    &["-TERM"],
    &["-TERM", "-TERM"],
    &["-HUP", "-TERM"],
    &["-HUP", "-HUP", "-TERM"],
    &["-HUP", "-KILL"],
];

type Cache = Rc<RefCell<TableCache>>;

fn cache() -> Cache {
    Rc::new(RefCell::new(TableCache::new(vec!["match".into(), "charge".into()], vec![], None)))
}

fn identity(name: &str) -> ProxyIdentity {
    ProxyIdentity { name: name.into(), zone: "north".into(), requests_per_second: 1.0 }
}

/// Whether the proxy has a table that does not contain the replica.
fn avoids(cache: &Cache, address: &str) -> bool {
    let tables = cache.borrow().updated_tables();
    let Some((lines, _)) = tables.get("match") else { return false };
    !lines.is_empty() && lines.iter().all(|line| !format!("{line:?}").contains(address))
}

async fn follow_by_long_poll(port: u16, cache: Cache) {
    loop {
        if let Ok(session) =
            Session::join(&format!("http://127.0.0.1:{port}"), &identity("polls"), &cache).await
        {
            while session.poll(&cache, &NoObserver).await.is_ok() {}
        }
        tokio::time::sleep(RECONNECT_INTERVAL).await;
    }
}

async fn follow_by_grpc(port: u16, cache: Cache) {
    let uri = format!("http://127.0.0.1:{port}");
    let governor = wrenthread_client::Governor { grpc: uri, ..wrenthread_client::Governor::default() };
    let versions = Rc::new(RefCell::new(grpc::Versions::default()));
    loop {
        let _ = grpc::follow(&governor, &identity("streams"), false, &cache, &versions, &NoObserver).await;
        tokio::time::sleep(RECONNECT_INTERVAL).await;
    }
}

/// Sends a series of signals and checks the exit: code 0 after SIGTERM, before the platform would send SIGKILL.
async fn stop(governor: &mut Governor, series: &[&str]) {
    series.iter().for_each(|signal| governor.signal(signal));
    let began = Instant::now();
    let status = wait_until("the governor ends", || governor.child.try_wait().unwrap()).await;
    if series.contains(&"-KILL") {
        assert_eq!(status.code(), None, "{series:?}");
    } else {
        assert_eq!(status.code(), Some(0), "{series:?}: {}", governor.log());
        assert!(
            began.elapsed() < KILL_AFTER_TERMINATE,
            "{series:?}: the governor ended after {:?}",
            began.elapsed()
        );
    }
}

async fn run_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut governor = Governor::start(&format!("soak-{seed}"), 8).await;
    governor.child.kill().unwrap();
    governor.child.wait().unwrap();
    let settings = governor.folder.join("settings.star");
    let script = std::fs::read_to_string(&settings).unwrap();
    let state = "governor(name = \"g\")\nstate(folder = \"state\", every = 0.05)\n";
    std::fs::write(&settings, script + state).unwrap();
    governor.spawn().await;
    let (polled, streamed) = (cache(), cache());
    let followers = [
        spawn_local(follow_by_long_poll(governor.poll, polled.clone())),
        spawn_local(follow_by_grpc(governor.grpc, streamed.clone())),
    ];
    let excluded = format!("w{}", rng.next_u64() % 4);
    let number = excluded.trim_start_matches('w');
    let address = format!("10.0.0.{number}:80");
    governor.exclude(&excluded, "the soak");
    let stored = governor.folder.join("state");
    wait_until("the override is stored", || {
        let entries = std::fs::read_dir(&stored).ok()?;
        let mut files = entries.filter_map(|entry| std::fs::read(entry.ok()?.path()).ok());
        let name = format!("override/{excluded}");
        files.any(|bytes| bytes.windows(name.len()).any(|part| part == name.as_bytes())).then_some(())
    })
    .await;
    for restart in 0..RESTARTS {
        let series = SIGNAL_SERIES[(rng.next_u64() % SIGNAL_SERIES.len() as u64) as usize];
        wait_until("both proxies have their tables", || {
            (avoids(&polled, &address) && avoids(&streamed, &address)).then_some(())
        })
        .await;
        stop(&mut governor, series).await;
        governor.spawn().await;
        let overrides = governor.status()["overrides"].clone();
        assert_eq!(
            overrides[0]["why"],
            "the soak",
            "seed {seed}, restart {restart}, {series:?}: {}",
            governor.log()
        );
        assert!(!governor.log().contains("panicked"), "{}", governor.log());
        // Half of the time, the governor is killed again as soon as it is ready.
        if rng.next_u64() % 2 == 0 {
            stop(&mut governor, &["-KILL"]).await;
            governor.spawn().await;
        }
    }
    followers.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn overrides_survive_restarts_by_series_of_signals_on_both_interfaces() {
    LocalSet::new()
        .run_until(async {
            for seed in SEEDS {
                run_seed(seed).await;
            }
        })
        .await;
}
