//! Model test of all protocols: proxies of one engine, by state of the world, delta and long poll, that miss and lose
//! responses and reconnect, must converge to the tables of the engine.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use prost::Message;
use wrenthread::types::{Phase, ProxyId};
use wrenthread_client::table_cache::TableCache;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::roster::RosterEntry;
use wrenthread_core::table_versions::PublishedTable;
use wrenthread_long_poll::conversion::DecodedTables;
use wrenthread_long_poll::messages::SessionParameters;
use wrenthread_long_poll::sessions::{HeldVersion, Poll, PollOutcome, Sessions};
use wrenthread_xds::encode::ResourceType;
use wrenthread_xds::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use wrenthread_xds::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use wrenthread_xds::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use wrenthread_xds::session::{Request, Response, Session};
use wrenthread_xds::{Route, TrafficClass, XdsConfig, decode};

type Table = BTreeMap<String, u32>;

fn wire() -> XdsConfig {
    let group = |name: &str| TrafficClass {
        name: name.into(),
        route: Route::Prefix(format!("/{name}")),
        request_timeout: Duration::from_secs(3),
    };
    XdsConfig {
        epoch: 1,
        governor: String::new(),
        key: None,
        zones: vec!["north".into()],
        classes: vec![group("match"), group("charge")],
        report_interval: Duration::from_secs(1),
        load_metrics: vec![],
        latency_metric: "answer_ms".into(),
    }
}

fn parameters() -> SessionParameters {
    SessionParameters {
        epoch: "1".into(),
        governor: String::new(),
        zones: vec!["north".into()],
        classes: vec!["match".into(), "charge".into()],
        report_interval_seconds: "1".into(),
        load_metrics: vec![],
        max_wait_seconds: 30,
    }
}

/// A proxy: its protocol and the table that it holds of the first group.
enum Proxy {
    Ads { delta: bool, session: Option<Session>, held: Option<(Table, String)> },
    Poll(Box<TableCache>),
}

struct Simulation {
    engine: Engine,
    now: Duration,
    streams: u64,
    sessions: Sessions<()>,
    proxies: Vec<Proxy>,
}

impl Simulation {
    fn new() -> Simulation {
        let now = Duration::from_secs(1000);
        let ads = |delta| Proxy::Ads { delta, session: None, held: None };
        let cache = || TableCache::new(vec!["match".into(), "charge".into()], vec![], None);
        let proxies = vec![ads(false), ads(true), Proxy::Poll(Box::new(cache()))];
        let engine = Engine::new(EngineSettings::example(2), now);
        let mut simulation = Simulation { engine, now, streams: 0, sessions: Sessions::default(), proxies };
        simulation.set_roster(0b1111);
        (0..3).for_each(|index| simulation.reconnect(index));
        simulation
    }

    fn set_roster(&mut self, ready: u8) {
        let entry = |n: u8| RosterEntry {
            id: format!("r{n}").as_str().into(),
            address: format!("10.0.0.{n}:80").as_str().into(),
            zone: 0,
            weight: f64::from(n + 1),
            phase: if ready >> n & 1 == 1 { Phase::Ready } else { Phase::Draining },
            started_at: None,
            backup: false,
        };
        self.engine.update_roster(self.now, (0..6).map(entry).collect());
    }

    /// Breaks the proxy's stream and reconnects it with the tables that it holds.
    fn reconnect(&mut self, index: usize) {
        self.streams += 1;
        let (stream, now) = (self.streams, self.now + Duration::from_secs(11));
        self.now = now;
        let (held_version, holds_tables) = match &self.proxies[index] {
            Proxy::Ads { held, .. } => (held.as_ref().map(|(_, version)| version.clone()), held.is_some()),
            Proxy::Poll(cache) => (None, cache.held_version().is_some()),
        };
        let name = format!("p{index}");
        let join = JoinRequest {
            name: name.as_str().into(),
            zone: 0,
            requests_per_second: 1.0,
            default_table: vec![],
            holds_governor_tables: holds_tables,
            ownership_proof: None,
            proven_version: None,
        };
        self.engine.proxy_connected(now, stream, &join).unwrap();
        match &mut self.proxies[index] {
            Proxy::Poll(_) => self.sessions.open(now, stream, name.as_str().into()),
            Proxy::Ads { delta, session, .. } => {
                let names = vec!["match".to_string()];
                let first = match delta {
                    true => Request::Delta(DeltaDiscoveryRequest {
                        type_url: ResourceType::Endpoints.type_url(),
                        resource_names_subscribe: names,
                        initial_resource_versions: held_version
                            .map(|version| ("match".into(), version))
                            .into_iter()
                            .collect(),
                        ..DeltaDiscoveryRequest::default()
                    }),
                    false => Request::Sotw(DiscoveryRequest {
                        type_url: ResourceType::Endpoints.type_url(),
                        resource_names: names,
                        ..DiscoveryRequest::default()
                    }),
                };
                let mut new = Session::new(1, &first);
                new.request(first).unwrap();
                *session = Some(new);
            }
        }
    }

    /// Advances time and flushes the proxies of the first bit set; those of the second lose the response.
    fn advance(&mut self, reachable: u8, response_lost: u8) {
        self.now += Duration::from_secs(6);
        let mut broken_streams = Vec::new();
        while let Some(action) = self.engine.next_action(self.now) {
            if let Action::Flush(number) = action {
                broken_streams.extend(self.flush(number, reachable, response_lost));
            }
        }
        broken_streams.sort_unstable();
        broken_streams.dedup();
        // A lost response breaks the stream.
        broken_streams.into_iter().for_each(|index| self.reconnect(index));
        for index in 0..3 {
            let stream = self.engine.fleet().named(&format!("p{index}")).unwrap().1.stream;
            self.engine.stream_has_capacity(stream);
            self.engine.clear_in_flight(stream);
            self.engine.resend_requested(self.now, stream, 1);
        }
    }

    /// Flushes a proxy. Returns its index if the stream breaks.
    fn flush(&mut self, number: ProxyId, reachable: u8, response_lost: u8) -> Option<usize> {
        let proxy = self.engine.proxy(number).unwrap();
        let index: usize = proxy.name[1..].parse().unwrap();
        if reachable >> index & 1 == 0 {
            self.engine.stream_full(number);
            return None;
        }
        let response_lost = response_lost >> index & 1 == 1;
        match &mut self.proxies[index] {
            Proxy::Ads { session, held, .. } => {
                let flushed = session.as_mut().unwrap().flush(&wire(), proxy);
                if !response_lost {
                    flushed.responses.iter().for_each(|response| apply_response(response, held));
                }
                let (entries, messages) = (flushed.entries, flushed.responses.len());
                self.engine.tables_sent(self.now, number, entries, messages);
                (response_lost && messages > 0).then_some(index)
            }
            Proxy::Poll(cache) => {
                let (session, parameters) = (proxy.stream, parameters());
                let held = cache.held_version().map(|(version, digest)| HeldVersion {
                    version: parameters.parse_version(version).unwrap().unwrap_or(0),
                    digest: *digest,
                });
                let wait = Duration::from_secs(60);
                let history = self.engine.history();
                let poll = Poll { session, proxy: number, held, wait, reply: () };
                assert!(self.sessions.poll(self.now, poll, history).is_ok());
                let tables = match proxy.has_known_tables() {
                    true => self.sessions.answer_pending(self.now, session, number, history),
                    false => None,
                };
                self.engine.tables_sent(self.now, number, usize::from(tables.is_some()), 1);
                let tables = match tables.filter(|_| !response_lost).map(|answer| answer.outcome) {
                    Some(PollOutcome::Complete(complete)) => {
                        parameters.encode_complete(complete.version, &complete.digest, &complete.state)
                    }
                    Some(PollOutcome::Delta { version, delta }) => parameters.encode_delta(version, &delta),
                    _ => return None,
                };
                match parameters.decode_tables(&tables).unwrap() {
                    DecodedTables::Complete(state) => cache.set_state(tables.version, state),
                    DecodedTables::Delta(delta) => {
                        assert_eq!(cache.apply_delta(tables.version, &delta), Ok(()));
                    }
                }
                None
            }
        }
    }

    /// The table of a proxy's first group by the engine, and the one that the proxy holds.
    fn expected_and_held(&self, index: usize) -> (Table, Table) {
        let (_, proxy) = self.engine.fleet().named(&format!("p{index}")).unwrap();
        let expected =
            PublishedTable::of(&proxy.tables[0].as_ref().unwrap().table, proxy.retry_policies.1[0]);
        let expected =
            expected.entries.values().map(|entry| (entry.address.to_string(), entry.weight)).collect();
        let held = match &self.proxies[index] {
            Proxy::Ads { held, .. } => held.as_ref().unwrap().0.clone(),
            Proxy::Poll(cache) => {
                let entries = cache.updated_tables()["match"].0.clone();
                entries.into_iter().map(|(address, weight)| (address.to_string(), weight as u32)).collect()
            }
        };
        (expected, held)
    }
}

fn apply_response(response: &Response, held: &mut Option<(Table, String)>) {
    let resources: Vec<(Vec<u8>, String)> = match response {
        Response::Sotw(sotw) => sotw.resources.iter().map(|any| (any.value.clone(), String::new())).collect(),
        Response::Delta(delta) => {
            assert!(delta.removed_resources.is_empty(), "no table is removed");
            let contents = delta
                .resources
                .iter()
                .filter_map(|resource| Some((resource.resource.clone()?.value, resource.version.clone())));
            contents.collect()
        }
    };
    for (bytes, version) in resources {
        let table = ClusterLoadAssignment::decode(bytes.as_slice()).unwrap();
        let entries = table.endpoints.iter().flat_map(|zone| &zone.lb_endpoints).map(|entry| {
            let Some(HostIdentifier::Endpoint(host)) = &entry.host_identifier else { panic!() };
            (decode::host_port(host.address.as_ref()).unwrap(), entry.load_balancing_weight.unwrap().value)
        });
        *held = Some((entries.collect(), version));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn all_proxies_converge_to_the_tables_of_the_engine(
        steps in prop::collection::vec((0u8..64, 0u8..8, 0u8..8, 0usize..6), 1..20),
    ) {
        let mut simulation = Simulation::new();
        for (ready, reachable, response_lost, reconnecting) in steps {
            if ready != 0 {
                simulation.set_roster(ready | 1);
            }
            simulation.advance(reachable, response_lost);
            if reconnecting < 3 {
                simulation.reconnect(reconnecting);
            }
        }
        (0..6).for_each(|_| simulation.advance(7, 0));
        for index in 0..3 {
            let (expected, held) = simulation.expected_and_held(index);
            prop_assert_eq!(expected, held, "proxy {}", index);
        }
    }

    /// Truncated and corrupted xDS messages are rejected or handled without a panic.
    #[test]
    fn corrupt_xds_messages_cause_no_panic(
        cut in 0usize..300, offset in 0usize..300, byte in any::<u8>(), second in any::<u8>(),
    ) {
        let request = DeltaDiscoveryRequest {
            type_url: ResourceType::Endpoints.type_url(),
            resource_names_subscribe: vec!["match".into(), "*".into()],
            resource_names_unsubscribe: vec!["charge".into()],
            initial_resource_versions: [("match".to_string(), "00".to_string())].into(),
            response_nonce: "1.1".into(),
            ..DeltaDiscoveryRequest::default()
        };
        let mut simulation = Simulation::new();
        simulation.advance(7, 0);
        let mut bytes = request.encode_to_vec();
        let position = offset % bytes.len();
        bytes[position] = byte;
        let second_position = second as usize % bytes.len();
        bytes[second_position] ^= second;
        bytes.truncate(cut.max(1));
        if let Ok(request) = DeltaDiscoveryRequest::decode(bytes.as_slice()) {
            let mut session = Session::new(1, &Request::Delta(request.clone()));
            let _ = decode::join_request(&wire(), request.node.as_ref(), 1.0, false);
            if session.request(Request::Delta(request)).is_ok() {
                session.flush(&wire(), simulation.engine.proxy(0).unwrap());
            }
        }
        use wrenthread_xds::pb::envoy::service::load_stats::v3::LoadStatsRequest;
        let stats = wrenthread_client::grpc::load_stats_request(
            &["match".to_string()], Duration::from_millis(500), &Default::default(), &["waiting"],
        );
        let mut bytes = stats.encode_to_vec();
        let position = offset % bytes.len();
        bytes[position] = byte;
        bytes.truncate(cut.max(1));
        if let Ok(stats) = LoadStatsRequest::decode(bytes.as_slice()) {
            let (reports, _) = decode::load_reports(&wire(), &stats.cluster_stats, |address| Some(address.into()));
            for report in reports {
                let _ = simulation.engine.record_report(simulation.now, "p0", 99, &report);
            }
        }
    }
}
