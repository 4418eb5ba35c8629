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

use common::{Governor, until};
use serde_json::Value;
use tokio::task::LocalSet;
use wrenthread_client::poll::Session;
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{Error, NoObserver, ProxyIdentity};

type Kept = Rc<RefCell<TableCache>>;

fn cache() -> Kept {
    Rc::new(RefCell::new(TableCache::new(vec!["match".into(), "charge".into()], vec![], None)))
}

async fn join(governor: &Governor, name: &str, cache: &Kept) -> Result<Session, Error> {
    let who = ProxyIdentity { name: name.into(), zone: "north".into(), requests_per_second: 1.0 };
    Session::join(&format!("http://127.0.0.1:{}", governor.poll), &who, cache).await
}

fn lines(cache: &Kept) -> usize {
    cache.borrow().updated_tables().get("match").map_or(0, |(lines, _)| lines.len())
}

fn version(cache: &Kept) -> u64 {
    cache.borrow().held_version().unwrap().0.split_once('.').unwrap().1.parse().unwrap()
}

/// Polls until the table has `wanted` entries.
async fn follow(session: &Session, cache: &Kept, wanted: usize) {
    let began = Instant::now();
    while lines(cache) != wanted {
        assert!(began.elapsed() < Duration::from_secs(20), "no table with {wanted} entries within 20 s");
        session.ask(cache, &NoObserver).await.unwrap();
    }
}

/// Acknowledges the last version by one more poll, which may time out without an answer.
async fn acknowledge(session: &Session, cache: &Kept) {
    let _ = tokio::time::timeout(Duration::from_millis(300), session.ask(cache, &NoObserver)).await;
}

fn program(governor: &Governor, arguments: &[&str]) -> (Option<i32>, String) {
    let at = format!("127.0.0.1:{}", governor.http);
    let ran =
        Command::new(env!("CARGO_BIN_EXE_wrenthread")).args(arguments).args(["--at", &at]).output().unwrap();
    let said = [ran.stdout, ran.stderr].concat();
    (ran.status.code(), String::from_utf8(said).unwrap())
}

#[tokio::test]
async fn a_proxy_receives_deltas_and_operators_roll_back() {
    let governor = Governor::start("poll", 4).await;
    let kept = cache();
    let session = join(&governor, "p", &kept).await.unwrap();
    follow(&session, &kept, 4).await;
    let first = version(&kept);
    governor.list(3, &[]);
    follow(&session, &kept, 3).await;
    governor.list(6, &[]);
    follow(&session, &kept, 6).await;
    acknowledge(&session, &kept).await;
    let status = governor.status();
    assert_eq!(status["proxies"][0]["acked"], status["proxies"][0]["newest"]);

    let (code, said) = program(&governor, &["tables", "p", "history"]);
    assert!(code == Some(0) && said.lines().count() >= 4, "{said}");
    let newest = version(&kept);
    let (_, said) = program(&governor, &["tables", "p", "diff", &first.to_string(), &newest.to_string()]);
    assert!(said.contains("+ w4") && said.contains("+ w5"), "{said}");

    let back = |why: &str| program(&governor, &["rollback", &first.to_string(), "--all", "--why", why]);
    let (code, said) = back("too wide");
    assert!(code == Some(0) && said.contains("2 tables frozen"), "{said}");
    follow(&session, &kept, 4).await;
    assert_eq!(governor.status()["holds"][0]["why"], "too wide");
    // A replica that starts to drain is removed from the frozen table too.
    governor.list(6, &[1]);
    follow(&session, &kept, 3).await;
    assert!(back("again").1.contains("gone or draining"));
    let (code, said) = program(&governor, &["release", "--proxy", "p"]);
    assert!(code == Some(0) && said.contains("2 tables"), "{said}");
    follow(&session, &kept, 5).await;
    let (code, said) = program(&governor, &["rollback", "999999", "--all", "--why", "x"]);
    assert!(code == Some(1) && said.contains("not given out yet"), "{said}");
    assert!(governor.log().contains("rollback requested by operator"));
    let (code, said) = program(&governor, &["pin", "--proxy", "p", "--why", "looked at"]);
    assert!(code == Some(0) && said.contains("2 tables frozen"), "{said}");
    assert!(program(&governor, &["release", "--proxy", "p"]).1.contains("2 tables"));
    let (code, said) = program(&governor, &["exclude", "w2", "--why", "its disk is full"]);
    assert!(code == Some(0) && said.contains("w2 is overridden for 900 s"), "{said}");
    follow(&session, &kept, 4).await;
    assert_eq!(governor.status()["overrides"][0]["why"], "its disk is full");
    assert!(program(&governor, &["exclude", "w2", "--undo"]).1.contains("override of w2 ended"));
    follow(&session, &kept, 5).await;
    let (code, said) = program(&governor, &["weight", "w2", "500", "--why", "x"]);
    assert!(code == Some(1) && said.contains("from 0.01 to 100"), "{said}");
    let file = governor.folder.join("wanted.json");
    let (_, running) = program(&governor, &["tables", "p", "--output", "json"]);
    std::fs::write(&file, &running).unwrap();
    let check = || program(&governor, &["tables", "p", "check", file.to_str().unwrap()]);
    let (code, said) = check();
    assert!(code == Some(0) && said.contains("nothing would be refused"), "{said}");
    std::fs::write(&file, running.replace("\"weight\": 1", "\"weight\": -1")).unwrap();
    let (code, said) = check();
    assert!(code == Some(3) && said.contains("a weight is not finite"), "{said}");
    // The same check against a recording, with a list of proxies; it needs no running governor.
    let recording = governor.folder.join("recording.json");
    std::fs::write(&recording, program(&governor, &["record"]).1).unwrap();
    let against = |wanted: &str| {
        std::fs::write(&file, wanted).unwrap();
        let (file, recording) = (file.to_str().unwrap(), recording.to_str().unwrap());
        program(&governor, &["tables", "check", file, "--against", recording])
    };
    let (code, said) = against(&format!("[{running}]"));
    assert!(code == Some(0) && said.contains("2 tables checked against"), "{said}");
    let (code, said) = against(&running.replace("\"weight\": 1", "\"weight\": -1"));
    assert!(code == Some(3) && said.contains("a weight is not finite"), "{said}");
    let (code, said) = against(&running.replace("\"name\": \"p\"", "\"name\": \"x\""));
    assert!(code == Some(1) && said.contains("no proxy `x` is joined there"), "{said}");
    let half = std::fs::read_to_string(&recording).unwrap();
    std::fs::write(&recording, &half[..half.len() / 2]).unwrap();
    let (code, said) = against(&running);
    assert!(code == Some(1) && said.contains("is not a recording") && said.contains("line 1"), "{said}");
    std::fs::write(&file, "{").unwrap();
    assert!(check().1.contains("wanted.json"));
    let (code, said) = program(&governor, &["why", "w2"]);
    assert!(code == Some(0) && said.contains("requests/s") && said.contains("no recent refusals"), "{said}");
    let (code, said) = program(&governor, &["why", "nobody"]);
    assert!(code == Some(1) && said.contains("no replica is listed"), "{said}");
    assert_eq!(governor.status()["guard"]["refused"], serde_json::json!({}));
}

#[tokio::test]
async fn a_restart_ends_sessions_and_does_not_resend_unchanged_tables() {
    let mut governor = Governor::start("poll-restart", 4).await;
    let kept = cache();
    let session = join(&governor, "p", &kept).await.unwrap();
    follow(&session, &kept, 4).await;
    governor.child.kill().unwrap();
    governor.child.wait().unwrap();
    assert!(session.ask(&kept, &NoObserver).await.is_err());
    assert_eq!(lines(&kept), 4, "the proxy keeps its table");
    governor.spawn().await;
    let gone = session.ask(&kept, &NoObserver).await.unwrap_err().to_string();
    assert!(gone.contains("410"), "{gone}");
    let before = kept.borrow().held_version().cloned();
    let session = join(&governor, "p", &kept).await.unwrap();
    acknowledge(&session, &kept).await;
    acknowledge(&session, &kept).await;
    // The new session was assigned the same entries: the digest is equal, so nothing was sent.
    assert_eq!(kept.borrow().held_version().cloned(), before);
    let status = governor.status();
    assert_eq!(status["proxies"][0]["acked"], status["proxies"][0]["newest"]);
}

#[tokio::test]
async fn a_later_session_of_the_same_name_replaces_the_earlier_one() {
    let governor = Governor::start("poll-twice", 4).await;
    let (kept, other) = (cache(), cache());
    let first = join(&governor, "p", &kept).await.unwrap();
    follow(&first, &kept, 4).await;
    let second = join(&governor, "p", &other).await.unwrap();
    let why = first.ask(&kept, &NoObserver).await.unwrap_err().to_string();
    assert!(why.contains("410") || why.contains("409"), "{why}");
    follow(&second, &other, 4).await;
    let url = format!("http://127.0.0.1:{}/v1/proxies/x?session=77", governor.poll);
    assert!(matches!(ureq::delete(url).call(), Err(ureq::Error::StatusCode(410))));
}

#[tokio::test]
async fn a_slow_reader_does_not_delay_other_clients() {
    let governor = Governor::start("poll-slow", 8).await;
    let body = r#"{"zone": "north"}"#;
    let url = format!("http://127.0.0.1:{}/v1/proxies/slow", governor.poll);
    let told = ureq::post(url).header("content-type", "application/json").send(body).unwrap();
    let told: Value = serde_json::from_str(&told.into_body().read_to_string().unwrap()).unwrap();
    let mut slow = std::net::TcpStream::connect(("127.0.0.1", governor.poll)).unwrap();
    write!(
        slow,
        "GET /v1/proxies/slow/tables?session={}&wait=9 HTTP/1.1\r\nhost: x\r\n\r\n",
        told["session"]
    )
    .unwrap();
    slow.read_exact(&mut [0]).unwrap();
    let kept = cache();
    let session = join(&governor, "p", &kept).await.unwrap();
    for workers in [3, 4, 3, 4] {
        governor.list(workers, &[]);
        follow(&session, &kept, workers).await;
        slow.read_exact(&mut [0]).unwrap();
    }
}

#[tokio::test]
async fn answers_many_polls_that_wake_at_the_same_moment() {
    const MANY: usize = 300;
    let governor = Governor::start("poll-many", 1000).await;
    LocalSet::new()
        .run_until(async {
            let mut waiting = Vec::new();
            for n in 0..MANY {
                let kept = cache();
                let session = join(&governor, &format!("p{n}"), &kept).await.unwrap();
                waiting.push((session, kept));
            }
            let tasks: Vec<_> = waiting
                .into_iter()
                .map(|(session, kept)| {
                    tokio::task::spawn_local(async move {
                        follow(&session, &kept, 4).await;
                        follow(&session, &kept, 3).await;
                    })
                })
                .collect();
            until("all proxies have acknowledged their tables", || {
                let status = governor.status();
                let proxies = status["proxies"].as_array().unwrap();
                (proxies.iter().filter(|one| one["acked"] == one["newest"]).count() == MANY).then_some(())
            })
            .await;
            governor.list(3, &[]);
            for task in tasks {
                task.await.unwrap();
            }
        })
        .await;
}
