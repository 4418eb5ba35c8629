//! Measures the cost of a change over each interface in bytes and CPU time, and the duration of a rollback.
//!
//! `cargo bench -p wrenthread-daemon --bench fronts [-- RELAYS]`; figures are comparable only within a run.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{GROUPS, Governor, ZONES, roster};
use prost::Message;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use wrenthread_long_poll::messages::{JoinRequest, JoinResponse, TablesResponse};
use wrenthread_xds::clients::ads::AggregatedDiscoveryServiceClient;
use wrenthread_xds::encode::Kind;
use wrenthread_xds::pb::envoy::config::core::v3::{Locality, Node};
use wrenthread_xds::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};

const CHANGES: usize = 8;

#[derive(Clone, Copy, PartialEq)]
enum Front {
    State,
    Delta,
    Poll,
}

/// The number and total size of the responses received.
#[derive(Default)]
struct Heard {
    bytes: Cell<usize>,
    answers: Cell<usize>,
    last: Cell<Option<Instant>>,
}

impl Heard {
    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        self.answers.set(self.answers.get() + 1);
        self.last.set(Some(Instant::now()));
    }
}

fn node(place: usize) -> Node {
    Node {
        id: format!("relay-{place}"),
        locality: Some(Locality { zone: ZONES[place % 3].into(), ..Locality::default() }),
        ..Node::default()
    }
}

async fn by_state(place: usize, channel: tonic::transport::Channel, heard: Rc<Heard>) {
    let (requests, stream) = mpsc::channel(8);
    let ask = |nonce: String, node: Option<Node>| DiscoveryRequest {
        node,
        type_url: Kind::Endpoints.url(),
        resource_names: GROUPS.map(String::from).to_vec(),
        response_nonce: nonce,
        ..DiscoveryRequest::default()
    };
    requests.send(ask(String::new(), Some(node(place)))).await.unwrap();
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut answers =
        client.stream_aggregated_resources(ReceiverStream::new(stream)).await.unwrap().into_inner();
    while let Some(Ok(answer)) = answers.next().await {
        heard.add(answer.encoded_len());
        if requests.send(ask(answer.nonce, None)).await.is_err() {
            return;
        }
    }
}

async fn by_delta(place: usize, channel: tonic::transport::Channel, heard: Rc<Heard>) {
    let (requests, stream) = mpsc::channel(8);
    let first = DeltaDiscoveryRequest {
        node: Some(node(place)),
        type_url: Kind::Endpoints.url(),
        resource_names_subscribe: GROUPS.map(String::from).to_vec(),
        ..DeltaDiscoveryRequest::default()
    };
    requests.send(first).await.unwrap();
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut answers =
        client.delta_aggregated_resources(ReceiverStream::new(stream)).await.unwrap().into_inner();
    while let Some(Ok(answer)) = answers.next().await {
        heard.add(answer.encoded_len());
        let (response_nonce, type_url) = (answer.nonce, answer.type_url);
        let ack = DeltaDiscoveryRequest { response_nonce, type_url, ..DeltaDiscoveryRequest::default() };
        if requests.send(ack).await.is_err() {
            return;
        }
    }
}

/// Polls without the client library, to count the bytes of response bodies.
async fn by_poll(place: usize, at: String, heard: Rc<Heard>) {
    let client = reqwest::Client::new();
    let base = format!("{at}/v1/proxies/relay-{place}");
    let join = JoinRequest {
        zone: ZONES[place % 3].into(),
        requests_per_second: None,
        default_table: vec![],
        holds_tables: false,
        ownership_proof: None,
    };
    let mut body = Vec::new();
    ciborium::into_writer(&join, &mut body).unwrap();
    let cbor = "application/cbor";
    let joined =
        client.post(&base).header("content-type", cbor).header("accept", cbor).body(body).send().await;
    let joined: JoinResponse =
        ciborium::from_reader(joined.unwrap().bytes().await.unwrap().as_ref()).unwrap();
    let mut held: Option<(String, String)> = None;
    loop {
        let mut url = format!("{base}/tables?session={}&wait=30", joined.session);
        if let Some((version, digest)) = &held {
            url += &format!("&version={version}&digest={digest}");
        }
        let Ok(answer) = client.get(url).header("accept", cbor).send().await else { return };
        if answer.status() != 200 {
            continue;
        }
        let Ok(body) = answer.bytes().await else { return };
        heard.add(body.len());
        let told: TablesResponse = ciborium::from_reader(body.as_ref()).unwrap();
        held = Some((told.version, told.digest));
    }
}

async fn measure(front: Front, relays: usize) {
    let governor = Governor::start(relays).await;
    let heard = Rc::new(Heard::default());
    let endpoint = tonic::transport::Endpoint::from_shared(governor.uri.clone()).unwrap();
    let mut channels = Vec::new();
    for _ in 0..200 {
        channels.push(endpoint.connect().await.unwrap());
    }
    for place in 0..relays {
        let (channel, heard) = (channels[place % channels.len()].clone(), heard.clone());
        match front {
            Front::State => drop(tokio::task::spawn_local(by_state(place, channel, heard))),
            Front::Delta => drop(tokio::task::spawn_local(by_delta(place, channel, heard))),
            Front::Poll => drop(tokio::task::spawn_local(by_poll(place, governor.poll.clone(), heard))),
        }
    }
    while heard.answers.get() < relays {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let whole = heard.bytes.get() as f64 / heard.answers.get() as f64;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (cpu, _) = governor.used();
    let (bytes, answers) = (heard.bytes.get(), heard.answers.get());
    for change in 0..CHANGES {
        roster(&governor.folder, Some(change));
        tokio::time::sleep(Duration::from_millis(1500)).await;
        roster(&governor.folder, None);
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    let (cpu, resident) = (governor.used().0 - cpu, governor.used().1);
    let (bytes, answers) = (heard.bytes.get() - bytes, heard.answers.get() - answers);
    // A rollback to the version before the last replica returned: the tables of the last drain are sent again.
    roster(&governor.folder, Some(1));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let out = status(&governor).await["governor"]["version"].as_u64().unwrap();
    roster(&governor.folder, None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let began = Instant::now();
    let asked = format!(r#"{{"all": true, "version": {out}, "why": "measured", "for_s": 60}}"#);
    let url = format!("http://127.0.0.1:{}/rollback", governor.http);
    let rolled = reqwest::Client::new().post(url).header("content-type", "application/json").body(asked);
    assert!(rolled.send().await.unwrap().status().is_success());
    let acked = loop {
        let status = status(&governor).await;
        let proxies = status["proxies"].as_array().unwrap();
        if proxies.iter().all(|one| one["acked"] == one["newest"]) {
            break began.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    let lines = metric(&governor, "wrenthread_history_lines").await;
    let name = match front {
        Front::State => "gRPC, state of the world",
        Front::Delta => "gRPC, delta",
        Front::Poll => "long-poll (CBOR)",
    };
    println!(
        "| {name} | {relays} | {whole:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {lines} | {resident:.0} |",
        bytes as f64 / answers.max(1) as f64,
        bytes as f64 / (2 * CHANGES * relays) as f64,
        cpu * 1e6 / (2 * CHANGES * relays) as f64,
        acked.as_secs_f64() * 1000.0,
    );
}

async fn status(governor: &Governor) -> serde_json::Value {
    let url = format!("http://127.0.0.1:{}/status", governor.http);
    let text = reqwest::get(url).await.unwrap().text().await.unwrap();
    serde_json::from_str(&text).unwrap()
}

async fn metric(governor: &Governor, name: &str) -> String {
    let url = format!("http://127.0.0.1:{}/metrics", governor.http);
    let text = reqwest::get(url).await.unwrap().text().await.unwrap();
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split(' ').nth(1)).unwrap_or("?").to_string()
}

fn main() {
    let relays = std::env::args().find_map(|one| one.parse().ok()).unwrap_or(1000);
    println!(
        "| front | relays | bytes per complete table | bytes per response | bytes per change and relay | \
        CPU per change and relay, us | \
        rollback to last ACK, ms | history, lines | resident, MiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for front in [Front::State, Front::Delta, Front::Poll] {
        LocalSet::new().block_on(&runtime, measure(front, relays));
    }
}
