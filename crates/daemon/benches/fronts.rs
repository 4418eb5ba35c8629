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
use wrenthread_xds::encode::ResourceType;
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
struct ResponseCounter {
    bytes: Cell<usize>,
    responses: Cell<usize>,
    last: Cell<Option<Instant>>,
}

impl ResponseCounter {
    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        self.responses.set(self.responses.get() + 1);
        self.last.set(Some(Instant::now()));
    }
}

fn node(index: usize) -> Node {
    Node {
        id: format!("relay-{index}"),
        locality: Some(Locality { zone: ZONES[index % 3].into(), ..Locality::default() }),
        ..Node::default()
    }
}

async fn follow_state(index: usize, channel: tonic::transport::Channel, counter: Rc<ResponseCounter>) {
    let (requests, stream) = mpsc::channel(8);
    let request = |nonce: String, node: Option<Node>| DiscoveryRequest {
        node,
        type_url: ResourceType::Endpoints.type_url(),
        resource_names: GROUPS.map(String::from).to_vec(),
        response_nonce: nonce,
        ..DiscoveryRequest::default()
    };
    requests.send(request(String::new(), Some(node(index)))).await.unwrap();
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses =
        client.stream_aggregated_resources(ReceiverStream::new(stream)).await.unwrap().into_inner();
    while let Some(Ok(response)) = responses.next().await {
        counter.add(response.encoded_len());
        if requests.send(request(response.nonce, None)).await.is_err() {
            return;
        }
    }
}

async fn follow_delta(index: usize, channel: tonic::transport::Channel, counter: Rc<ResponseCounter>) {
    let (requests, stream) = mpsc::channel(8);
    let first = DeltaDiscoveryRequest {
        node: Some(node(index)),
        type_url: ResourceType::Endpoints.type_url(),
        resource_names_subscribe: GROUPS.map(String::from).to_vec(),
        ..DeltaDiscoveryRequest::default()
    };
    requests.send(first).await.unwrap();
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses =
        client.delta_aggregated_resources(ReceiverStream::new(stream)).await.unwrap().into_inner();
    while let Some(Ok(response)) = responses.next().await {
        counter.add(response.encoded_len());
        let (response_nonce, type_url) = (response.nonce, response.type_url);
        let ack = DeltaDiscoveryRequest { response_nonce, type_url, ..DeltaDiscoveryRequest::default() };
        if requests.send(ack).await.is_err() {
            return;
        }
    }
}

/// Polls without the client library, to count the bytes of response bodies.
async fn follow_poll(index: usize, at: String, counter: Rc<ResponseCounter>) {
    let client = reqwest::Client::new();
    let base = format!("{at}/v1/proxies/relay-{index}");
    let join = JoinRequest {
        zone: ZONES[index % 3].into(),
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
    let mut current: Option<(String, String)> = None;
    loop {
        let mut url = format!("{base}/tables?session={}&wait=30", joined.session);
        if let Some((version, digest)) = &current {
            url += &format!("&version={version}&digest={digest}");
        }
        let Ok(response) = client.get(url).header("accept", cbor).send().await else { return };
        if response.status() != 200 {
            continue;
        }
        let Ok(body) = response.bytes().await else { return };
        counter.add(body.len());
        let tables: TablesResponse = ciborium::from_reader(body.as_ref()).unwrap();
        current = Some((tables.version, tables.digest));
    }
}

async fn measure(front: Front, relays: usize) {
    let governor = Governor::start(relays).await;
    let counter = Rc::new(ResponseCounter::default());
    let endpoint = tonic::transport::Endpoint::from_shared(governor.uri.clone()).unwrap();
    let mut channels = Vec::new();
    for _ in 0..200 {
        channels.push(endpoint.connect().await.unwrap());
    }
    for index in 0..relays {
        let (channel, counter) = (channels[index % channels.len()].clone(), counter.clone());
        match front {
            Front::State => drop(tokio::task::spawn_local(follow_state(index, channel, counter))),
            Front::Delta => drop(tokio::task::spawn_local(follow_delta(index, channel, counter))),
            Front::Poll => drop(tokio::task::spawn_local(follow_poll(index, governor.poll.clone(), counter))),
        }
    }
    while counter.responses.get() < relays {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let complete_bytes = counter.bytes.get() as f64 / counter.responses.get() as f64;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (cpu, _) = governor.resource_usage();
    let (bytes, responses) = (counter.bytes.get(), counter.responses.get());
    for change in 0..CHANGES {
        roster(&governor.folder, Some(change));
        tokio::time::sleep(Duration::from_millis(1500)).await;
        roster(&governor.folder, None);
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    let (cpu, resident) = (governor.resource_usage().0 - cpu, governor.resource_usage().1);
    let (bytes, responses) = (counter.bytes.get() - bytes, counter.responses.get() - responses);
    // A rollback to the version before the last replica returned: the tables of the last drain are sent again.
    roster(&governor.folder, Some(1));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let drained_version = status(&governor).await["governor"]["version"].as_u64().unwrap();
    roster(&governor.folder, None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started_at = Instant::now();
    let body = format!(r#"{{"all": true, "version": {drained_version}, "why": "measured", "for_s": 60}}"#);
    let url = format!("http://127.0.0.1:{}/rollback", governor.http);
    let rollback = reqwest::Client::new().post(url).header("content-type", "application/json").body(body);
    assert!(rollback.send().await.unwrap().status().is_success());
    let time_to_ack = loop {
        let status = status(&governor).await;
        let proxies = status["proxies"].as_array().unwrap();
        if proxies.iter().all(|proxy| proxy["acked"] == proxy["newest"]) {
            break started_at.elapsed();
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
        "| {name} | {relays} | {complete_bytes:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {lines} | {resident:.0} |",
        bytes as f64 / responses.max(1) as f64,
        bytes as f64 / (2 * CHANGES * relays) as f64,
        cpu * 1e6 / (2 * CHANGES * relays) as f64,
        time_to_ack.as_secs_f64() * 1000.0,
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
    let relays = std::env::args().find_map(|argument| argument.parse().ok()).unwrap_or(1000);
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
