//! Measures how the governor's cost grows with its fleet, with scripted relays on loopback and the real program.
//!
//! `cargo bench -p wrenthread-daemon --bench scale [-- RELAYS ...]`; figures are comparable only within a run.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a benchmark may end by panicking, and reads top-down"
)]

mod common;

use std::time::{Duration, Instant};

use common::{GROUPS, Governor, REPLICAS, ZONES, roster};
use hdrhistogram::Histogram;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use wrenthread::types::Phase;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::roster::RosterEntry;
use wrenthread_xds::clients::ads::AggregatedDiscoveryServiceClient;
use wrenthread_xds::clients::lrs::LoadReportingServiceClient;
use wrenthread_xds::encode::{self, ResourceType};
use wrenthread_xds::pb::envoy::config::core::v3::{Locality, Node};
use wrenthread_xds::pb::envoy::config::endpoint::v3::{
    ClusterStats, UpstreamEndpointStats, UpstreamLocalityStats,
};
use wrenthread_xds::pb::envoy::service::discovery::v3::DeltaDiscoveryRequest;
use wrenthread_xds::pb::envoy::service::load_stats::v3::LoadStatsRequest;

const DRAINS: usize = 12;

/// Responses received: the relay, the number of tables, and the time.
type ResponseSender = mpsc::UnboundedSender<(usize, usize, Instant)>;

fn node(index: usize) -> Node {
    Node {
        id: format!("relay-{index}"),
        locality: Some(Locality { zone: ZONES[index % 3].into(), ..Locality::default() }),
        ..Node::default()
    }
}

async fn relay(index: usize, channel: tonic::transport::Channel, received: ResponseSender) {
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let (requests, stream) = mpsc::channel(8);
    let first = DeltaDiscoveryRequest {
        node: Some(node(index)),
        type_url: ResourceType::Endpoints.type_url(),
        resource_names_subscribe: GROUPS.map(String::from).to_vec(),
        ..DeltaDiscoveryRequest::default()
    };
    requests.send(first).await.unwrap();
    let response_stream = client.delta_aggregated_resources(ReceiverStream::new(stream)).await;
    let mut response_stream = response_stream.unwrap().into_inner();
    while let Some(Ok(response)) = response_stream.next().await {
        let (nonce, type_url) = (response.nonce, response.type_url);
        let ack =
            DeltaDiscoveryRequest { response_nonce: nonce, type_url, ..DeltaDiscoveryRequest::default() };
        if requests.send(ack).await.is_err()
            || received.send((index, response.resources.len(), Instant::now())).is_err()
        {
            return;
        }
    }
}

fn ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1000.0
}

async fn measure(relays: usize) {
    let governor = Governor::start(relays).await;
    let endpoint = tonic::transport::Endpoint::from_shared(governor.uri.clone()).unwrap();
    // One connection per relay, up to 200 because of the process's limit on open files.
    let mut channels = Vec::new();
    for _ in 0..relays.min(200) {
        channels.push(endpoint.connect().await.unwrap());
    }
    let (received, mut responses) = mpsc::unbounded_channel();
    let (idle_cpu, idle_rss) = governor.resource_usage();
    let began = Instant::now();
    for index in 0..relays {
        tokio::task::spawn_local(relay(index, channels[index % channels.len()].clone(), received.clone()));
    }
    let mut joins: Histogram<u64> = Histogram::new(3).unwrap();
    let mut tables_received = vec![0; relays];
    while tables_received.iter().any(|tables| *tables < 3) {
        let (index, tables, at) = responses.recv().await.unwrap();
        tables_received[index] += tables;
        if tables_received[index] >= 3 {
            joins.record((at - began).as_micros() as u64).unwrap();
        }
    }
    let (join_cpu, join_rss) = governor.resource_usage();
    tokio::time::sleep(Duration::from_secs(3)).await;
    while responses.try_recv().is_ok() {}

    let (settled_cpu, _) = governor.resource_usage();
    let (mut first, mut last): (Histogram<u64>, Histogram<u64>) =
        (Histogram::new(3).unwrap(), Histogram::new(3).unwrap());
    for drain in 0..DRAINS {
        let began = Instant::now();
        roster(&governor.folder, Some(drain));
        // Every relay of the zone has the replica in its table; others may.
        let affected = (0..relays).filter(|index| index % 3 == drain % 3).count();
        let mut informed = std::collections::BTreeSet::new();
        let mut newest = began;
        while informed.len() < affected {
            let (index, _, at) = responses.recv().await.unwrap();
            if index % 3 == drain % 3 && informed.insert(index) {
                first.record((at - began).as_micros() as u64).unwrap();
                newest = at;
            }
        }
        last.record((newest - began).as_micros() as u64).unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        roster(&governor.folder, None);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        while responses.try_recv().is_ok() {}
    }
    let (drained_cpu, rss) = governor.resource_usage();

    // Sends reports as fast as the governor accepts them, for three seconds.
    let mut client = LoadReportingServiceClient::new(channels[0].clone());
    let (requests, stream) = mpsc::channel(64);
    requests.send(LoadStatsRequest { node: Some(node(0)), cluster_stats: vec![] }).await.unwrap();
    let _answers = client.stream_load_stats(ReceiverStream::new(stream)).await.unwrap();
    let (before, began) = (governor.resource_usage().0, Instant::now());
    let mut reports = 0u64;
    while began.elapsed() < Duration::from_secs(3) {
        let endpoint = |n: usize| UpstreamEndpointStats {
            address: Some(encode::socket_address(&format!("10.0.0.{n}:80"))),
            total_successful_requests: reports % 100,
            total_issued_requests: 100,
            ..UpstreamEndpointStats::default()
        };
        let stats = ClusterStats {
            cluster_name: GROUPS[0].into(),
            upstream_locality_stats: vec![UpstreamLocalityStats {
                upstream_endpoint_stats: (0..8).map(endpoint).collect(),
                ..UpstreamLocalityStats::default()
            }],
            load_report_interval: Some(wrenthread_xds::pb::google::protobuf::Duration {
                seconds: 0,
                nanos: 1000 + reports as i32 % 1000,
            }),
            ..ClusterStats::default()
        };
        requests.send(LoadStatsRequest { node: None, cluster_stats: vec![stats] }).await.unwrap();
        reports += 1;
    }
    let elapsed = began.elapsed().as_secs_f64();
    let report_cpu = governor.resource_usage().0 - before;
    let engine = engine_drain(relays);
    let drain_cpu = (drained_cpu - settled_cpu) / DRAINS as f64;
    println!(
        "| {relays} | {:.0} / {:.0} | {:.0} / {:.0} / {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | \
         {:.0} / {:.0} |",
        ms(&joins, 0.5),
        ms(&joins, 1.0),
        ms(&first, 0.5),
        ms(&first, 0.99),
        ms(&last, 1.0),
        (join_cpu - idle_cpu) * 1000.0 / relays as f64,
        (rss.max(join_rss) - idle_rss) * 1024.0 / relays as f64,
        rss,
        reports as f64 / elapsed,
        report_cpu * 1e6 / reports as f64,
        engine * 1000.0,
        drain_cpu * 1000.0,
    );
}

/// Seconds that the engine alone takes for a drain and the return of the replica, including all steps in between.
fn engine_drain(relays: usize) -> f64 {
    let mut now = Duration::from_secs(1000);
    let mut settings = EngineSettings::example(3);
    (settings.governor.entries_per_second, settings.governor.max_queued_entries) = (200_000.0, 400_000.0);
    (settings.governor.proxy_count, settings.max_proxies) = (relays as u64, relays);
    let mut engine = Engine::new(settings, now);
    let roster = |draining: Option<usize>| -> Vec<RosterEntry> {
        let entry = |n: usize| RosterEntry {
            id: format!("r{n:02}").into(),
            address: format!("10.0.0.{n}:80").into(),
            zone: n % 3,
            weight: 1.0,
            phase: if draining == Some(n) { Phase::Draining } else { Phase::Ready },
            started_at: None,
            backup: false,
        };
        (0..REPLICAS).map(entry).collect()
    };
    let process = |engine: &mut Engine, now: Duration| {
        while let Some(action) = engine.next_action(now) {
            if let Action::Flush(number) = action {
                engine.tables_sent(now, number, 12, 1);
                let proxy = engine.proxy(number).unwrap();
                let (stream, newest) = (proxy.stream, proxy.newest_version());
                engine.version_acknowledged(stream, newest);
            }
        }
    };
    engine.update_roster(now, roster(None));
    for index in 0..relays {
        let join = JoinRequest {
            name: format!("relay-{index}").into(),
            zone: index % 3,
            requests_per_second: 1.0,
            default_table: vec![],
            holds_governor_tables: false,
            ownership_proof: None,
            proven_version: None,
        };
        engine.proxy_connected(now, index as u64, &join).unwrap();
    }
    for _ in 0..40 {
        now += Duration::from_millis(100);
        process(&mut engine, now);
    }
    let began = Instant::now();
    for drain in 0..DRAINS {
        engine.update_roster(now, roster(Some(drain)));
        for round in 0..8 {
            now += Duration::from_millis(250);
            process(&mut engine, now);
            if round == 2 {
                engine.update_roster(now, roster(None));
            }
        }
    }
    began.elapsed().as_secs_f64() / DRAINS as f64
}

fn main() {
    let relay_counts: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    let relay_counts = if relay_counts.is_empty() { vec![24, 200, 1000] } else { relay_counts };
    println!(
        "| relays | join p50 / all, ms | drain received p50 / p99 / last, ms | join CPU per relay, ms | \
         memory per relay, KiB | resident, MiB | reports per second | CPU per report, us | \
         engine / process CPU per drain and return, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for relays in relay_counts {
        LocalSet::new().block_on(&runtime, measure(relays));
    }
}
