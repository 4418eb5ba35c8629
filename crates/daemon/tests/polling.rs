//! The long-poll front of the real program, and the operators' subcommands: rollback, pin, overrides, table checks.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

mod common;

use std::cell::RefCell;
use std::io::{Read, Write};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{Governor, wait_until};
use serde_json::Value;
use tokio::task::LocalSet;
use wrenthread_client::poll::Session;
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{Error, NoObserver, ProxyIdentity};

type SharedCache = Rc<RefCell<TableCache>>;

fn new_cache() -> SharedCache {
    Rc::new(RefCell::new(TableCache::new(vec!["match".into(), "charge".into()], vec![], None)))
}

async fn join(governor: &Governor, name: &str, cache: &SharedCache) -> Result<Session, Error> {
    let identity = ProxyIdentity { name: name.into(), zone: "north".into(), requests_per_second: 1.0 };
    Session::join(&format!("http://127.0.0.1:{}", governor.poll), &identity, cache).await
}

fn entry_count(cache: &SharedCache) -> usize {
    cache.borrow().updated_tables().get("match").map_or(0, |(lines, _)| lines.len())
}

fn version(cache: &SharedCache) -> u64 {
    cache.borrow().held_version().unwrap().0.split_once('.').unwrap().1.parse().unwrap()
}

/// Polls until the table has `wanted` entries.
async fn poll_until(session: &Session, cache: &SharedCache, wanted: usize) {
    let started_at = Instant::now();
    while entry_count(cache) != wanted {
        assert!(started_at.elapsed() < Duration::from_secs(20), "no table with {wanted} entries within 20 s");
        session.poll(cache, &NoObserver).await.unwrap();
    }
}

/// Acknowledges the last version by one more poll, which may time out without an answer.
async fn acknowledge(session: &Session, cache: &SharedCache) {
    let _ = tokio::time::timeout(Duration::from_millis(300), session.poll(cache, &NoObserver)).await;
}

fn run_cli(governor: &Governor, arguments: &[&str]) -> (Option<i32>, String) {
    let at = format!("127.0.0.1:{}", governor.http);
    let result =
        Command::new(env!("CARGO_BIN_EXE_wrenthread")).args(arguments).args(["--at", &at]).output().unwrap();
    let output = [result.stdout, result.stderr].concat();
    (result.status.code(), String::from_utf8(output).unwrap())
}

#[tokio::test]
async fn a_proxy_receives_deltas_and_operators_roll_back() {
    let governor = Governor::start("poll", 4).await;
    let cache = new_cache();
    let session = join(&governor, "p", &cache).await.unwrap();
    poll_until(&session, &cache, 4).await;
    let first = version(&cache);
    governor.write_roster(3, &[]);
    poll_until(&session, &cache, 3).await;
    governor.write_roster(6, &[]);
    poll_until(&session, &cache, 6).await;
    acknowledge(&session, &cache).await;
    let status = governor.status();
    assert_eq!(status["proxies"][0]["acked"], status["proxies"][0]["newest"]);

    let (code, output) = run_cli(&governor, &["tables", "p", "history"]);
    assert!(code == Some(0) && output.lines().count() >= 4, "{output}");
    let newest = version(&cache);
    let (_, output) = run_cli(&governor, &["tables", "p", "diff", &first.to_string(), &newest.to_string()]);
    assert!(output.contains("+ w4") && output.contains("+ w5"), "{output}");

    let roll_back =
        |reason: &str| run_cli(&governor, &["rollback", &first.to_string(), "--all", "--why", reason]);
    let (code, output) = roll_back("too wide");
    assert!(code == Some(0) && output.contains("2 tables frozen"), "{output}");
    poll_until(&session, &cache, 4).await;
    assert_eq!(governor.status()["holds"][0]["why"], "too wide");
    // A replica that starts to drain is removed from the frozen table too.
    governor.write_roster(6, &[1]);
    poll_until(&session, &cache, 3).await;
    assert!(roll_back("again").1.contains("gone or draining"));
    let (code, output) = run_cli(&governor, &["release", "--proxy", "p"]);
    assert!(code == Some(0) && output.contains("2 tables"), "{output}");
    poll_until(&session, &cache, 5).await;
    let (code, output) = run_cli(&governor, &["rollback", "999999", "--all", "--why", "x"]);
    assert!(code == Some(1) && output.contains("not given out yet"), "{output}");
    assert!(governor.log().contains("rollback requested by operator"));
    let (code, output) = run_cli(&governor, &["pin", "--proxy", "p", "--why", "looked at"]);
    assert!(code == Some(0) && output.contains("2 tables frozen"), "{output}");
    assert!(run_cli(&governor, &["release", "--proxy", "p"]).1.contains("2 tables"));
    let (code, output) = run_cli(&governor, &["exclude", "w2", "--why", "its disk is full"]);
    assert!(code == Some(0) && output.contains("w2 is overridden for 900 s"), "{output}");
    poll_until(&session, &cache, 4).await;
    assert_eq!(governor.status()["overrides"][0]["why"], "its disk is full");
    assert!(run_cli(&governor, &["exclude", "w2", "--undo"]).1.contains("override of w2 ended"));
    poll_until(&session, &cache, 5).await;
    let (code, output) = run_cli(&governor, &["weight", "w2", "500", "--why", "x"]);
    assert!(code == Some(1) && output.contains("from 0.01 to 100"), "{output}");
    let file = governor.folder.join("wanted.json");
    let (_, running) = run_cli(&governor, &["tables", "p", "--output", "json"]);
    std::fs::write(&file, &running).unwrap();
    let check = || run_cli(&governor, &["tables", "p", "check", file.to_str().unwrap()]);
    let (code, output) = check();
    assert!(code == Some(0) && output.contains("nothing would be refused"), "{output}");
    std::fs::write(&file, running.replace("\"weight\": 1", "\"weight\": -1")).unwrap();
    let (code, output) = check();
    assert!(code == Some(3) && output.contains("a weight is not finite"), "{output}");
    // The same check against a recording, with a list of proxies; it needs no running governor.
    let recording = governor.folder.join("recording.json");
    std::fs::write(&recording, run_cli(&governor, &["record"]).1).unwrap();
    let against = |wanted: &str| {
        std::fs::write(&file, wanted).unwrap();
        let (file, recording) = (file.to_str().unwrap(), recording.to_str().unwrap());
        run_cli(&governor, &["tables", "check", file, "--against", recording])
    };
    let (code, output) = against(&format!("[{running}]"));
    assert!(code == Some(0) && output.contains("2 tables checked against"), "{output}");
    let (code, output) = against(&running.replace("\"weight\": 1", "\"weight\": -1"));
    assert!(code == Some(3) && output.contains("a weight is not finite"), "{output}");
    let (code, output) = against(&running.replace("\"name\": \"p\"", "\"name\": \"x\""));
    assert!(code == Some(1) && output.contains("no proxy `x` is joined there"), "{output}");
    let half = std::fs::read_to_string(&recording).unwrap();
    std::fs::write(&recording, &half[..half.len() / 2]).unwrap();
    let (code, output) = against(&running);
    assert!(
        code == Some(1) && output.contains("is not a recording") && output.contains("line 1"),
        "{output}"
    );
    std::fs::write(&file, "{").unwrap();
    assert!(check().1.contains("wanted.json"));
    let (code, output) = run_cli(&governor, &["why", "w2"]);
    assert!(
        code == Some(0) && output.contains("requests/s") && output.contains("no recent refusals"),
        "{output}"
    );
    let (code, output) = run_cli(&governor, &["why", "nobody"]);
    assert!(code == Some(1) && output.contains("no replica is listed"), "{output}");
    assert_eq!(governor.status()["guard"]["refused"], serde_json::json!({}));
}

#[tokio::test]
async fn a_restart_ends_sessions_and_does_not_resend_unchanged_tables() {
    let mut governor = Governor::start("poll-restart", 4).await;
    let cache = new_cache();
    let session = join(&governor, "p", &cache).await.unwrap();
    poll_until(&session, &cache, 4).await;
    governor.child.kill().unwrap();
    governor.child.wait().unwrap();
    assert!(session.poll(&cache, &NoObserver).await.is_err());
    assert_eq!(entry_count(&cache), 4, "the proxy keeps its table");
    governor.spawn().await;
    let gone = session.poll(&cache, &NoObserver).await.unwrap_err().to_string();
    assert!(gone.contains("410"), "{gone}");
    let before = cache.borrow().held_version().cloned();
    let session = join(&governor, "p", &cache).await.unwrap();
    acknowledge(&session, &cache).await;
    acknowledge(&session, &cache).await;
    // The new session was assigned the same entries: the digest is equal, so nothing was sent.
    assert_eq!(cache.borrow().held_version().cloned(), before);
    let status = governor.status();
    assert_eq!(status["proxies"][0]["acked"], status["proxies"][0]["newest"]);
}

#[tokio::test]
async fn a_later_session_of_the_same_name_replaces_the_earlier_one() {
    let governor = Governor::start("poll-twice", 4).await;
    let (cache, second_cache) = (new_cache(), new_cache());
    let first = join(&governor, "p", &cache).await.unwrap();
    poll_until(&first, &cache, 4).await;
    let second = join(&governor, "p", &second_cache).await.unwrap();
    let error = first.poll(&cache, &NoObserver).await.unwrap_err().to_string();
    assert!(error.contains("410") || error.contains("409"), "{error}");
    poll_until(&second, &second_cache, 4).await;
    let url = format!("http://127.0.0.1:{}/v1/proxies/x?session=77", governor.poll);
    assert!(matches!(ureq::delete(url).call(), Err(ureq::Error::StatusCode(410))));
}

#[tokio::test]
async fn a_slow_reader_does_not_delay_other_clients() {
    let governor = Governor::start("poll-slow", 8).await;
    let body = r#"{"zone": "north"}"#;
    let url = format!("http://127.0.0.1:{}/v1/proxies/slow", governor.poll);
    let response = ureq::post(url).header("content-type", "application/json").send(body).unwrap();
    let response: Value = serde_json::from_str(&response.into_body().read_to_string().unwrap()).unwrap();
    let mut slow = std::net::TcpStream::connect(("127.0.0.1", governor.poll)).unwrap();
    write!(
        slow,
        "GET /v1/proxies/slow/tables?session={}&wait=9 HTTP/1.1\r\nhost: x\r\n\r\n",
        response["session"]
    )
    .unwrap();
    slow.read_exact(&mut [0]).unwrap();
    let cache = new_cache();
    let session = join(&governor, "p", &cache).await.unwrap();
    for replicas in [3, 4, 3, 4] {
        governor.write_roster(replicas, &[]);
        poll_until(&session, &cache, replicas).await;
        slow.read_exact(&mut [0]).unwrap();
    }
}

#[tokio::test]
async fn answers_many_polls_that_wake_at_the_same_moment() {
    const PROXIES: usize = 300;
    let governor = Governor::start("poll-many", 1000).await;
    LocalSet::new()
        .run_until(async {
            let mut sessions = Vec::new();
            for n in 0..PROXIES {
                let cache = new_cache();
                let session = join(&governor, &format!("p{n}"), &cache).await.unwrap();
                sessions.push((session, cache));
            }
            let tasks: Vec<_> = sessions
                .into_iter()
                .map(|(session, cache)| {
                    tokio::task::spawn_local(async move {
                        poll_until(&session, &cache, 4).await;
                        poll_until(&session, &cache, 3).await;
                    })
                })
                .collect();
            wait_until("all proxies have acknowledged their tables", || {
                let status = governor.status();
                let proxies = status["proxies"].as_array().unwrap();
                (proxies.iter().filter(|proxy| proxy["acked"] == proxy["newest"]).count() == PROXIES)
                    .then_some(())
            })
            .await;
            governor.write_roster(3, &[]);
            for task in tasks {
                task.await.unwrap();
            }
        })
        .await;
}
