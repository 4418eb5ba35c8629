//! Groups of governors on the real program: drains with migration of proxies, epochs, and invalid datagrams.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

mod common;

use std::cell::RefCell;
use std::net::UdpSocket;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use common::{Governor, reserve_port, wait_until};
use serde_json::{Value, json};
use wrenthread_client::poll::Session;
use wrenthread_client::table_cache::TableCache;
use wrenthread_client::{Error, NoObserver, ProxyIdentity, grpc, is_serving};
use wrenthread_core::ownership::{OwnershipClaim, SigningKey, ranking, sign};

const SECRET: [u8; 32] = [b'k'; 32];

/// Starts governors that share a key and are configured as each other's peers. Returns each with its membership port.
async fn start_governors(test: &str, count: usize) -> Vec<(Governor, u16)> {
    let ports: Vec<u16> = (0..count).map(|_| reserve_port()).collect();
    let mut governors = Vec::new();
    for (index, port) in ports.iter().enumerate() {
        let mut governor = Governor::start(&format!("{test}-{index}"), 8).await;
        governor.child.kill().unwrap();
        governor.child.wait().unwrap();
        std::fs::write(governor.folder.join("fleet.key"), SECRET).unwrap();
        let peers = ports.iter().enumerate().filter(|(peer, _)| *peer != index);
        let peers: Vec<String> = peers.map(|(peer, port)| format!("g{peer}=127.0.0.1:{port}")).collect();
        let path = governor.folder.join("settings.star");
        let settings = std::fs::read_to_string(&path).unwrap();
        let governor_settings = format!(
            "governor(name = \"g{index}\", keys = [\"fleet.key\"], \
             talk = \"127.0.0.1:{port}\", peers = {peers:?})"
        );
        std::fs::write(&path, format!("{settings}\n{governor_settings}\n")).unwrap();
        governor.spawn().await;
        governors.push((governor, *port));
    }
    governors
}

fn governors_status(governor: &Governor) -> Value {
    serde_json::from_str(&governor.get("/governors").unwrap()).unwrap()
}

fn run_cli(governor: &Governor, arguments: &[&str]) -> (Option<i32>, String) {
    let at = format!("127.0.0.1:{}", governor.http);
    let output =
        Command::new(env!("CARGO_BIN_EXE_wrenthread")).args(arguments).args(["--at", &at]).output().unwrap();
    (output.status.code(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

fn proxy_identity(name: &str) -> ProxyIdentity {
    ProxyIdentity { name: name.into(), zone: "north".into(), requests_per_second: 1.0 }
}

#[tokio::test]
async fn a_drain_migrates_proxies_of_both_fronts_with_their_tables() {
    let governors = start_governors("drain", 2).await;
    let (source, target) = (&governors[0].0, &governors[1].0);
    for governor in [source, target] {
        wait_until("the governors see each other as alive", || {
            (governors_status(governor)["others"][0]["standing"] == "alive").then_some(())
        })
        .await;
    }
    let (code, text) = run_cli(source, &["status", "--governors"]);
    assert!(code == Some(0) && text.contains("g1") && text.contains("alive"), "{text}");
    let base = |governor: &Governor| format!("http://127.0.0.1:{}", governor.poll);
    let cache =
        || Rc::new(RefCell::new(TableCache::new(vec!["match".into(), "charge".into()], vec![], None)));
    let (polled, streamed) = (cache(), cache());
    // Proxies that rank the first governor highest: they stay with it until it drains.
    let names = (0..).map(|n| format!("relay-{n}"));
    let mut names_of_g0 = names.filter(|name| ranking(name, &["g0", "g1"])[0] == 0);
    let (polled_proxy, streamed_proxy) =
        (proxy_identity(&names_of_g0.next().unwrap()), proxy_identity(&names_of_g0.next().unwrap()));
    let session = Session::join(&base(source), &polled_proxy, &polled).await.unwrap();
    session.poll(&polled, &NoObserver).await.unwrap();
    let uri = |governor: &Governor| format!("http://127.0.0.1:{}", governor.grpc);
    let dialed = wrenthread_client::Governor { name: "g0".into(), grpc: uri(source), poll: base(source) };
    let versions = Rc::default();
    let following = grpc::follow(&dialed, &streamed_proxy, true, &streamed, &versions, &NoObserver);
    assert!(is_serving(&uri(source)).await && is_serving(&uri(target)).await);
    let draining = async {
        // Proxies that have just connected are not migrated.
        tokio::time::sleep(Duration::from_millis(2500)).await;
        let at = format!("127.0.0.1:{}", source.http);
        let output = tokio::task::spawn_blocking(move || {
            let drain = ["drain-governor", "--wait", "15", "--at", &at];
            Command::new(env!("CARGO_BIN_EXE_wrenthread")).args(drain).output().unwrap()
        });
        String::from_utf8(output.await.unwrap().stdout).unwrap()
    };
    let polling = async {
        loop {
            if let Err(end) = session.poll(&polled, &NoObserver).await {
                return end;
            }
        }
    };
    let (streamed_end, polled_end, drain_output) = tokio::join!(following, polling, draining);
    assert!(drain_output.contains("has handed over 2 proxies"), "{drain_output}");
    let to_g1 = |end: &Error| matches!(end, Error::Redirected(Some(to)) if to == "g1");
    assert!(to_g1(&polled_end) && to_g1(&streamed_end.unwrap_err()), "{polled_end:?}");
    // The gRPC health check reports that the governor is not serving, and it is not ready.
    assert!(!is_serving(&uri(source)).await && is_serving(&uri(target)).await);
    assert_ne!(source.get("/readyz").unwrap(), "ready\n");
    let held = polled.borrow().updated_tables();
    let session = Session::join(&base(target), &polled_proxy, &polled).await.unwrap();
    session.poll(&polled, &NoObserver).await.unwrap();
    assert_eq!(polled.borrow().updated_tables()["match"].0.len(), held["match"].0.len());
    assert!(target.log().contains("migrated tables adopted") && target.log().contains("taken over"));
    assert_eq!(governors_status(target)["came"], 1);
    assert_eq!(run_cli(source, &["drain-governor", "--undo"]).0, Some(0));
    wait_until("the governor is ready again", || source.get("/readyz").filter(|text| text == "ready\n"))
        .await;
    assert!(is_serving(&uri(source)).await);
}

#[tokio::test]
async fn raises_the_epoch_once_after_the_clock_was_set_back() {
    let governors = start_governors("calendar", 1).await;
    let (governor, _) = &governors[0];
    let join = async |name: &str, epoch: u64| {
        let claim = OwnershipClaim { governor: "g0".into(), epoch, version: 3, proxy: name.into() };
        let claim = sign(&SigningKey::new("fleet", &SECRET).unwrap(), &claim);
        let url = format!("http://127.0.0.1:{}/v1/proxies/{name}", governor.poll);
        let body =
            json!({"zone": "north", "usual": 1.0, "standing": [], "holds_orders": true, "claim": claim});
        let request = reqwest::Client::new().post(url).header("content-type", "application/json");
        let response = request.body(body.to_string()).send().await.unwrap().text().await.unwrap();
        serde_json::from_str::<Value>(&response).unwrap()
    };
    let epoch = || u64::from_str_radix(governor.status()["governor"]["epoch"].as_str().unwrap(), 16).unwrap();
    let first = epoch();
    join("old", first - 1000).await;
    assert_eq!(epoch(), first, "a proof with an earlier epoch does not raise the epoch");
    join("p", first + 5000).await;
    assert_eq!(epoch(), first + 5001);
    assert_eq!(governor.status()["proxies"], json!([]), "all proxies are disconnected");
    join("p", first + 9000).await;
    assert_eq!(epoch(), first + 5001, "the epoch is raised only once per run");
    assert!(governor.log().contains("another governor uses this one's name or key"));
}

#[tokio::test]
async fn ignores_and_counts_invalid_datagrams() {
    let governors = start_governors("datagrams", 1).await;
    let (governor, port) = &governors[0];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in (0..1500).step_by(50) {
        socket.send_to(&vec![length as u8; length], ("127.0.0.1", *port)).unwrap();
    }
    wait_until("the datagrams are counted", || {
        (governors_status(governor)["unheard"].as_u64() >= Some(20)).then_some(())
    })
    .await;
    assert_eq!(governor.get("/healthz").unwrap(), "ok\n");
}
