//! State stored across restarts, on the real program: kills, damaged files, folders in use by another governor, and the
//! `wrenthread state` subcommands.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

mod common;

use std::cell::RefCell;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{Governor, wait_until};
use wrenthread_client::poll::Session;
use wrenthread_client::table_cache::{DefaultEntry, TableCache};
use wrenthread_client::{NoObserver, ProxyIdentity};

const SECRET: &str = "a secret that no file but its own may hold";

fn run_cli(arguments: &[&str]) -> (Option<i32>, String) {
    let ran = Command::new(env!("CARGO_BIN_EXE_wrenthread")).args(arguments).output().unwrap();
    (ran.status.code(), String::from_utf8([ran.stdout, ran.stderr].concat()).unwrap())
}

async fn start_governor(name: &str) -> Governor {
    let mut governor = Governor::start(name, 4).await;
    kill(&mut governor);
    std::fs::write(governor.folder.join("fleet.key"), SECRET).unwrap();
    let path = governor.folder.join("settings.star");
    let script = std::fs::read_to_string(&path).unwrap();
    let settings =
        "governor(name = \"g\", keys = [\"fleet.key\"])\nstate(folder = \"state\", every = 0.05)\n";
    std::fs::write(path, script + settings).unwrap();
    governor.spawn().await;
    governor
}

fn kill(governor: &mut Governor) {
    governor.child.kill().unwrap();
    governor.child.wait().unwrap();
}

async fn join(governor: &Governor, cache: &Rc<RefCell<TableCache>>) -> Session {
    let identity = ProxyIdentity { name: "p".into(), zone: "north".into(), requests_per_second: 1.0 };
    Session::join(&format!("http://127.0.0.1:{}", governor.poll), &identity, cache).await.unwrap()
}

/// Polls until the proxy's table has `wanted` entries.
async fn poll_until(session: &Session, cache: &Rc<RefCell<TableCache>>, wanted: usize) {
    let started_at = Instant::now();
    while cache.borrow().updated_tables().get("match").is_none_or(|(entries, _)| entries.len() != wanted) {
        assert!(started_at.elapsed() < Duration::from_secs(20), "no table with {wanted} entries within 20 s");
        session.poll(cache, &NoObserver).await.unwrap();
    }
}

fn file_of(state: &Path, kind: &str) -> std::path::PathBuf {
    let names = std::fs::read_dir(state).unwrap().map(|entry| entry.unwrap().path());
    let number = |path: &std::path::PathBuf| {
        path.extension().and_then(|number| number.to_str()?.parse::<u64>().ok()).unwrap_or(0)
    };
    names.filter(|path| path.file_stem().is_some_and(|stem| stem == kind)).max_by_key(number).unwrap()
}

#[tokio::test]
async fn restores_proxy_tables_and_overrides_after_a_kill() {
    let mut governor = start_governor("state-kill").await;
    let state = governor.folder.join("state");
    let default_entry = |n: usize| DefaultEntry {
        replica: format!("w{n}"),
        address: format!("10.0.0.{n}:80").as_str().into(),
        weight: 1.0,
    };
    let groups = vec!["match".to_string(), "charge".to_string()];
    let cache = Rc::new(RefCell::new(TableCache::new(groups, (0..4).map(default_entry).collect(), None)));
    let first = join(&governor, &cache).await;
    let at = format!("127.0.0.1:{}", governor.http);
    assert_eq!(run_cli(&["exclude", "w2", "--why", "its disk", "--at", &at]).0, Some(0));
    poll_until(&first, &cache, 3).await;
    let is_stored = || {
        let (_, shown) = run_cli(&["state", "show", state.to_str().unwrap(), "--output", "json"]);
        let shown: serde_json::Value = serde_json::from_str(&shown).ok()?;
        let version = shown["entries"]["proxy/p"]["Proxy"]["version"].as_u64()?;
        let held =
            cache.borrow().held_version().unwrap().0.split_once('.').unwrap().1.parse::<u64>().unwrap();
        (version == held && !shown["entries"]["override/w2"].is_null()).then_some(())
    };
    wait_until("the acknowledged version and the override are stored", is_stored).await;
    let held = cache.borrow().held_version().cloned();
    kill(&mut governor);
    governor.spawn().await;
    let rejoined = join(&governor, &cache).await;
    // The proxy already has the newest version: nothing is sent, and it is still restored as using its default table.
    let poll = tokio::time::timeout(Duration::from_millis(700), rejoined.poll(&cache, &NoObserver)).await;
    assert!(poll.is_err(), "expected no update, but the proxy now has {:?}", cache.borrow().held_version());
    assert_eq!(cache.borrow().held_version().cloned(), held);
    assert_eq!(governor.status()["overrides"][0]["why"], "its disk");
    assert!(governor.log().contains("stored state restored"));
    assert!(governor.status()["proxies"][0]["kind"] == "standing", "{}", governor.status()["proxies"]);
    // Without the state folder nothing is restored: the proxy receives complete tables again.
    kill(&mut governor);
    std::fs::rename(&state, governor.folder.join("elsewhere")).unwrap();
    governor.spawn().await;
    let after_loss = join(&governor, &cache).await;
    poll_until(&after_loss, &cache, 4).await;
    assert_eq!(governor.status()["overrides"], serde_json::json!([]));

    // Neither the state files nor the log contain the secret, and only the owner may read the files.
    for entry in std::fs::read_dir(governor.folder.join("elsewhere")).unwrap() {
        let path = entry.unwrap().path();
        let bytes = std::fs::read(&path).unwrap();
        assert!(!bytes.windows(SECRET.len()).any(|part| part == SECRET.as_bytes()), "{}", path.display());
        assert_eq!(path.metadata().unwrap().permissions().mode() & 0o077, 0, "{}", path.display());
    }
    assert!(!governor.log().contains(SECRET) && !governor.status().to_string().contains(SECRET));
}

#[tokio::test]
async fn starts_with_a_damaged_or_unusable_state_folder_and_logs_the_cause() {
    let mut governor = start_governor("state-damage").await;
    let state = governor.folder.join("state");
    let folder = state.to_str().unwrap().to_string();
    wait_until("state is stored", || (run_cli(&["state", "verify", &folder]).0 == Some(0)).then_some(()))
        .await;
    // A second governor with the same folder runs without storing state.
    let mut twin = Governor::start("state-twin", 4).await;
    kill(&mut twin);
    let script = std::fs::read_to_string(twin.folder.join("settings.star")).unwrap();
    std::fs::write(twin.folder.join("settings.star"), format!("{script}state(folder = {folder:?})\n"))
        .unwrap();
    twin.spawn().await;
    assert!(twin.log().contains("another process has the folder"), "{}", twin.log());
    // A folder in use can be exported but not overwritten.
    let copy = governor.folder.join("copy.json");
    let (code, exported) = run_cli(&["state", "export", &folder]);
    assert_eq!(code, Some(0));
    std::fs::write(&copy, &exported).unwrap();
    let (code, output) = run_cli(&["state", "import", &folder, copy.to_str().unwrap()]);
    assert!(code == Some(1) && output.contains("another process has the folder"), "{output}");
    assert_eq!(run_cli(&["state", "compact", &folder]).0, Some(1));
    kill(&mut governor);

    // The cases: a flipped bit in the newest snapshot, a truncated journal, no folder, and a file in place of the
    // folder.
    let snapshot = file_of(&state, "snapshot");
    let mut bytes = std::fs::read(&snapshot).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&snapshot, bytes).unwrap();
    let (code, output) = run_cli(&["state", "verify", &folder]);
    assert!(code == Some(3) && output.contains("is not what was written"), "{output}");
    governor.spawn().await;
    assert!(governor.log().contains("part of the stored state is lost"), "{}", governor.log());
    // The governor is ready before it has written its first snapshot; stopped earlier, it would leave the damaged one.
    wait_until("an undamaged snapshot is written", || {
        (run_cli(&["state", "verify", &folder]).0 == Some(0)).then_some(())
    })
    .await;
    kill(&mut governor);
    // A kill during compaction leaves a newer journal without a snapshot: the older journal is used.
    let snapshot = file_of(&state, "snapshot");
    let number: u64 = snapshot.extension().unwrap().to_str().unwrap().parse().unwrap();
    let journal = state.join(format!("journal.{number}"));
    std::fs::write(state.join(format!("journal.{}", number + 1)), b"").unwrap();
    let bytes = std::fs::read(&journal).unwrap();
    std::fs::write(&journal, [&bytes[..], b"half a rec"].concat()).unwrap();
    let (_, output) = run_cli(&["state", "verify", &folder]);
    assert!(output.contains("it ends within a record"), "{output}; the journal had {} bytes", bytes.len());
    governor.spawn().await;
    kill(&mut governor);
    let (code, output) = run_cli(&["state", "import", &folder, copy.to_str().unwrap()]);
    assert!(code == Some(0) && output.contains("entries"), "{output}");
    assert_eq!(run_cli(&["state", "compact", &folder]).0, Some(0));
    assert_eq!(run_cli(&["state", "verify", &folder]).0, Some(0));
    assert!(run_cli(&["state", "show", &folder]).1.contains("names"));
    std::fs::write(&copy, "{}").unwrap();
    assert!(
        run_cli(&["state", "import", &folder, copy.to_str().unwrap()])
            .1
            .contains("is not an export of stored state")
    );
    std::fs::remove_dir_all(&state).unwrap();
    std::fs::write(&state, "a file").unwrap();
    governor.spawn().await;
    assert!(governor.log().contains("can't open the state folder; running without stored state"));
    // The folder is removed while the governor runs: it keeps making decisions and logs that state can't be written.
    kill(&mut governor);
    std::fs::remove_file(&state).unwrap();
    governor.spawn().await;
    std::fs::remove_dir_all(&state).unwrap();
    wait_until("a disk error is logged", || governor.log().contains("could not be written").then_some(()))
        .await;
    assert_eq!(governor.get("/readyz").unwrap(), "ready\n");
    assert!(governor.get("/metrics").unwrap().contains("wrenthread_state_errors"));
}

/// Flips a bit in the middle of the newest snapshot.
fn damage_newest_snapshot(state: &Path) {
    let snapshot = file_of(state, "snapshot");
    let mut bytes = std::fs::read(&snapshot).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&snapshot, bytes).unwrap();
}

/// Guards against the loss of stored state when a governor ends after it is ready but before its first snapshot.
#[tokio::test]
async fn keeps_restored_state_when_stopped_before_the_first_snapshot() {
    let mut governor = start_governor("state-early").await;
    let state = governor.folder.join("state");
    let at = format!("127.0.0.1:{}", governor.http);
    assert_eq!(run_cli(&["exclude", "w2", "--why", "its disk", "--at", &at]).0, Some(0));
    let is_stored = || {
        let (_, shown) = run_cli(&["state", "show", state.to_str().unwrap(), "--output", "json"]);
        let shown: serde_json::Value = serde_json::from_str(&shown).ok()?;
        (!shown["entries"]["override/w2"].is_null()).then_some(())
    };
    wait_until("the override is stored", is_stored).await;
    // A second generation, so that an older snapshot exists when the newest one is damaged.
    kill(&mut governor);
    governor.spawn().await;
    wait_until("a second snapshot is written", || state.join("snapshot.2").exists().then_some(())).await;
    for damaged in [false, true] {
        for signal in ["-KILL", "-TERM", "-KILL", "-KILL"] {
            kill(&mut governor);
            if damaged {
                damage_newest_snapshot(&state);
            }
            governor.spawn().await;
            governor.signal(signal);
            governor.child.wait().unwrap();
            governor.spawn().await;
            let overrides = &governor.status()["overrides"];
            assert_eq!(overrides[0]["why"], "its disk", "{signal}, damaged: {damaged}: {}", governor.log());
        }
    }
}
