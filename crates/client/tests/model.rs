//! Both fronts against one model: proxies on one engine, by state of the world, by delta and by long-poll,
//! that skip, repeat and lose what they are told and start over, all end on what the engine says.

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
use wrenthread_xds::encode::Kind;
use wrenthread_xds::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use wrenthread_xds::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use wrenthread_xds::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use wrenthread_xds::session::{Request, Response, Session};
use wrenthread_xds::{Route, Wire, WireGroup, decode};

type Table = BTreeMap<String, u32>;

fn wire() -> Wire {
    let group = |name: &str| WireGroup {
        name: name.into(),
        route: Route::Prefix(format!("/{name}")),
        expiry: Duration::from_secs(3),
    };
    Wire {
        epoch: 1,
        governor: String::new(),
        key: None,
        zones: vec!["north".into()],
        groups: vec![group("match"), group("charge")],
        report_every: Duration::from_secs(1),
        load_metrics: vec![],
        answer_metric: "answer_ms".into(),
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

/// One proxy of each kind: what it holds of the first group, and how it hears.
enum Proxy {
    Ads { delta: bool, session: Option<Session>, held: Option<(Table, String)> },
    Poll(Box<TableCache>),
}

struct World {
    engine: Engine,
    now: Duration,
    streams: u64,
    sessions: Sessions<()>,
    proxies: Vec<Proxy>,
}

impl World {
    fn new() -> World {
        let now = Duration::from_secs(1000);
        let ads = |delta| Proxy::Ads { delta, session: None, held: None };
        let cache = || TableCache::new(vec!["match".into(), "charge".into()], vec![], None);
        let proxies = vec![ads(false), ads(true), Proxy::Poll(Box::new(cache()))];
        let engine = Engine::new(EngineSettings::example(2), now);
        let mut world = World { engine, now, streams: 0, sessions: Sessions::default(), proxies };
        world.list(0b1111);
        (0..3).for_each(|place| world.start_over(place));
        world
    }

    fn list(&mut self, ready: u8) {
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

    /// The proxy's stream breaks, and it is back with what it holds.
    fn start_over(&mut self, place: usize) {
        self.streams += 1;
        let (stream, now) = (self.streams, self.now + Duration::from_secs(11));
        self.now = now;
        let (initial, holds_orders) = match &self.proxies[place] {
            Proxy::Ads { held, .. } => (held.as_ref().map(|(_, mark)| mark.clone()), held.is_some()),
            Proxy::Poll(cache) => (None, cache.held_version().is_some()),
        };
        let name = format!("p{place}");
        let join = JoinRequest {
            name: name.as_str().into(),
            zone: 0,
            requests_per_second: 1.0,
            default_table: vec![],
            holds_governor_tables: holds_orders,
            ownership_proof: None,
            proven_version: None,
        };
        self.engine.proxy_connected(now, stream, &join).unwrap();
        match &mut self.proxies[place] {
            Proxy::Poll(_) => self.sessions.open(now, stream, name.as_str().into()),
            Proxy::Ads { delta, session, .. } => {
                let names = vec!["match".to_string()];
                let first = match delta {
                    true => Request::Delta(DeltaDiscoveryRequest {
                        type_url: Kind::Endpoints.url(),
                        resource_names_subscribe: names,
                        initial_resource_versions: initial
                            .map(|mark| ("match".into(), mark))
                            .into_iter()
                            .collect(),
                        ..DeltaDiscoveryRequest::default()
                    }),
                    false => Request::Sotw(DiscoveryRequest {
                        type_url: Kind::Endpoints.url(),
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

    /// A while goes by; proxies of the set are written to, and of those some lose what they are told.
    fn pass(&mut self, reached: u8, lost: u8) {
        self.now += Duration::from_secs(6);
        let mut broken = Vec::new();
        while let Some(step) = self.engine.next_action(self.now) {
            if let Action::Flush(number) = step {
                broken.extend(self.flush(number, reached, lost));
            }
        }
        broken.sort_unstable();
        broken.dedup();
        // What is lost on a stream breaks it.
        broken.into_iter().for_each(|place| self.start_over(place));
        for place in 0..3 {
            let stream = self.engine.fleet().named(&format!("p{place}")).unwrap().1.stream;
            self.engine.stream_has_capacity(stream);
            self.engine.clear_in_flight(stream);
            self.engine.resend_requested(self.now, stream, 1);
        }
    }

    /// The proxy whose stream breaks over it, if one does.
    fn flush(&mut self, number: ProxyId, reached: u8, lost: u8) -> Option<usize> {
        let proxy = self.engine.proxy(number).unwrap();
        let place: usize = proxy.name[1..].parse().unwrap();
        if reached >> place & 1 == 0 {
            self.engine.stream_full(number);
            return None;
        }
        let lost = lost >> place & 1 == 1;
        match &mut self.proxies[place] {
            Proxy::Ads { session, held, .. } => {
                let flushed = session.as_mut().unwrap().flush(&wire(), proxy);
                if !lost {
                    flushed.responses.iter().for_each(|response| take(response, held));
                }
                let (lines, messages) = (flushed.lines, flushed.responses.len());
                self.engine.tables_sent(self.now, number, lines, messages);
                (lost && messages > 0).then_some(place)
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
                let told = match proxy.has_known_tables() {
                    true => self.sessions.answer_pending(self.now, session, number, history),
                    false => None,
                };
                self.engine.tables_sent(self.now, number, usize::from(told.is_some()), 1);
                let told = match told.filter(|_| !lost).map(|answer| answer.outcome) {
                    Some(PollOutcome::Complete(one)) => {
                        parameters.encode_complete(one.version, &one.digest, &one.state)
                    }
                    Some(PollOutcome::Delta { version, delta }) => parameters.encode_delta(version, &delta),
                    _ => return None,
                };
                match parameters.decode_tables(&told).unwrap() {
                    DecodedTables::Complete(whole) => cache.set_state(told.version, whole),
                    DecodedTables::Delta(delta) => {
                        assert_eq!(cache.apply_delta(told.version, &delta), Ok(()));
                    }
                }
                None
            }
        }
    }

    /// What the engine says a proxy's first group is, and what the proxy holds.
    fn both(&self, place: usize) -> (Table, Table) {
        let (_, proxy) = self.engine.fleet().named(&format!("p{place}")).unwrap();
        let said = PublishedTable::of(&proxy.tables[0].as_ref().unwrap().table, proxy.retry_policies.1[0]);
        let said = said.entries.values().map(|line| (line.address.to_string(), line.weight)).collect();
        let held = match &self.proxies[place] {
            Proxy::Ads { held, .. } => held.as_ref().unwrap().0.clone(),
            Proxy::Poll(cache) => {
                let lines = cache.updated_tables()["match"].0.clone();
                lines.into_iter().map(|(at, weight)| (at.to_string(), weight as u32)).collect()
            }
        };
        (said, held)
    }
}

fn take(response: &Response, held: &mut Option<(Table, String)>) {
    let resources: Vec<(Vec<u8>, String)> = match response {
        Response::Sotw(one) => one.resources.iter().map(|any| (any.value.clone(), String::new())).collect(),
        Response::Delta(one) => {
            assert!(one.removed_resources.is_empty(), "nobody is told to drop its table");
            let whole = one
                .resources
                .iter()
                .filter_map(|one| Some((one.resource.clone()?.value, one.version.clone())));
            whole.collect()
        }
    };
    for (bytes, mark) in resources {
        let table = ClusterLoadAssignment::decode(bytes.as_slice()).unwrap();
        let lines = table.endpoints.iter().flat_map(|zone| &zone.lb_endpoints).map(|line| {
            let Some(HostIdentifier::Endpoint(host)) = &line.host_identifier else { panic!() };
            (decode::host_port(host.address.as_ref()).unwrap(), line.load_balancing_weight.unwrap().value)
        });
        *held = Some((lines.collect(), mark));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn all_end_on_what_the_engine_says(
        steps in prop::collection::vec((0u8..64, 0u8..8, 0u8..8, 0usize..6), 1..20),
    ) {
        let mut world = World::new();
        for (ready, reached, lost, over) in steps {
            if ready != 0 {
                world.list(ready | 1);
            }
            world.pass(reached, lost);
            if over < 3 {
                world.start_over(over);
            }
        }
        (0..6).for_each(|_| world.pass(7, 0));
        for place in 0..3 {
            let (said, held) = world.both(place);
            prop_assert_eq!(said, held, "proxy {}", place);
        }
    }

    /// Messages of the public protocol, cut off and changed: an error, or something that is borne.
    #[test]
    fn broken_messages_of_the_first_front_are_borne(
        cut in 0usize..300, at in 0usize..300, byte in any::<u8>(), second in any::<u8>(),
    ) {
        let request = DeltaDiscoveryRequest {
            type_url: Kind::Endpoints.url(),
            resource_names_subscribe: vec!["match".into(), "*".into()],
            resource_names_unsubscribe: vec!["charge".into()],
            initial_resource_versions: [("match".to_string(), "00".to_string())].into(),
            response_nonce: "1.1".into(),
            ..DeltaDiscoveryRequest::default()
        };
        let mut world = World::new();
        world.pass(7, 0);
        let mut bytes = request.encode_to_vec();
        let place = at % bytes.len();
        bytes[place] = byte;
        let other = second as usize % bytes.len();
        bytes[other] ^= second;
        bytes.truncate(cut.max(1));
        if let Ok(request) = DeltaDiscoveryRequest::decode(bytes.as_slice()) {
            let mut session = Session::new(1, &Request::Delta(request.clone()));
            let _ = decode::join(&wire(), request.node.as_ref(), 1.0, false);
            if session.request(Request::Delta(request)).is_ok() {
                session.flush(&wire(), world.engine.proxy(0).unwrap());
            }
        }
        use wrenthread_xds::pb::envoy::service::load_stats::v3::LoadStatsRequest;
        let stats = wrenthread_client::grpc::request(
            &["match".to_string()], Duration::from_millis(500), &Default::default(), &["waiting"],
        );
        let mut bytes = stats.encode_to_vec();
        let place = at % bytes.len();
        bytes[place] = byte;
        bytes.truncate(cut.max(1));
        if let Ok(stats) = LoadStatsRequest::decode(bytes.as_slice()) {
            let (reports, _) = decode::reports(&wire(), &stats.cluster_stats, |at| Some(at.into()));
            for report in reports {
                let _ = world.engine.record_report(world.now, "p0", 99, &report);
            }
        }
    }
}
