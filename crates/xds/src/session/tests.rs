use super::*;
use std::time::Duration;
use wrenthread::types::Phase;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::roster::RosterEntry;

use crate::pb::google::rpc::Status;
use crate::{Route, TrafficClass};

fn wire() -> XdsConfig {
    let group = |name: &str| TrafficClass {
        name: name.into(),
        route: Route::Prefix(format!("/{name}")),
        request_timeout: Duration::from_secs(3),
    };
    XdsConfig {
        epoch: 0xabc,
        governor: String::new(),
        key: None,
        zones: vec!["north".into()],
        classes: vec![group("charge"), group("match")],
        report_interval: Duration::from_secs(1),
        load_metrics: vec![],
        latency_metric: "answer_ms".into(),
    }
}

/// An engine with one proxy, which states that it holds a governor's tables, and its session.
struct Fixture {
    engine: Engine,
    now: Duration,
    session: Session,
}

fn entries(names: &[&str]) -> Vec<RosterEntry> {
    let entry = |name: &&str| RosterEntry {
        id: (**name).into(),
        address: format!("{name}:1").into(),
        zone: 0,
        weight: 1.0,
        phase: Phase::Ready,
        started_at: None,
        backup: false,
    };
    names.iter().map(entry).collect()
}

impl Fixture {
    fn new(first: Request) -> Fixture {
        let now = Duration::from_secs(100);
        let mut engine = Engine::new(EngineSettings::example(2), now);
        engine.update_roster(now, entries(&["a", "b", "c"]));
        let join = JoinRequest {
            name: "p".into(),
            zone: 0,
            requests_per_second: 1.0,
            default_table: vec![],
            holds_governor_tables: true,
            ownership_proof: None,
            proven_version: None,
        };
        engine.proxy_connected(now, 1, &join).unwrap();
        let mut fixture = Fixture { engine, now, session: Session::new(0xabc, &first) };
        fixture.session.request(first).unwrap();
        fixture.advance();
        fixture
    }

    /// Advances time by a second and runs the engine, without flushing the session.
    fn advance(&mut self) {
        self.now += Duration::from_millis(1000);
        while let Some(action) = self.engine.next_action(self.now) {
            if let Action::Flush(number) = action {
                self.engine.tables_sent(self.now, number, 1, 1);
            }
        }
        let newest = self.engine.proxy(0).unwrap().newest_version();
        self.engine.version_acknowledged(1, newest);
    }

    fn roster(&mut self, names: &[&str]) {
        self.engine.update_roster(self.now, entries(names));
        self.advance();
    }

    fn flush(&mut self) -> FlushOutcome {
        self.session.flush(&wire(), self.engine.proxy(0).unwrap())
    }

    fn newest_version(&self) -> u64 {
        self.engine.proxy(0).unwrap().newest_version()
    }
}

fn sotw(kind: ResourceType, names: &[&str], nonce: &str, error: Option<&str>) -> Request {
    Request::Sotw(DiscoveryRequest {
        type_url: kind.type_url(),
        resource_names: names.iter().map(|name| (*name).into()).collect(),
        response_nonce: nonce.into(),
        error_detail: error.map(|reason| Status { code: 3, message: reason.into(), ..Status::default() }),
        ..DiscoveryRequest::default()
    })
}

fn delta(kind: ResourceType, subscribe: &[&str], unsubscribe: &[&str], nonce: &str) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        type_url: kind.type_url(),
        resource_names_subscribe: subscribe.iter().map(|name| (*name).into()).collect(),
        resource_names_unsubscribe: unsubscribe.iter().map(|name| (*name).into()).collect(),
        response_nonce: nonce.into(),
        ..DeltaDiscoveryRequest::default()
    }
}

/// The types, nonces and numbers of resources of a flush.
fn summary(flushed: &FlushOutcome) -> Vec<(ResourceType, String, usize)> {
    let summarize = |response: &Response| match response {
        Response::Sotw(sotw) => {
            (ResourceType::from_type_url(&sotw.type_url).unwrap(), sotw.nonce.clone(), sotw.resources.len())
        }
        Response::Delta(delta) => (
            ResourceType::from_type_url(&delta.type_url).unwrap(),
            delta.nonce.clone(),
            delta.resources.len(),
        ),
    };
    flushed.responses.iter().map(summarize).collect()
}

#[test]
fn sends_types_in_dependency_order_and_endpoint_updates_first() {
    let kinds = |fixture: &mut Fixture| -> Vec<ResourceType> {
        summary(&fixture.flush()).into_iter().map(|(kind, ..)| kind).collect()
    };
    let first = sotw(ResourceType::Endpoints, &["charge", "match"], "", None);
    let mut fixture = Fixture::new(first.clone());
    fixture.session.request(sotw(ResourceType::Routes, &[encode::ROUTE_CONFIG_NAME], "", None)).unwrap();
    fixture.session.request(sotw(ResourceType::Clusters, &[], "", None)).unwrap();
    assert_eq!(kinds(&mut fixture), [ResourceType::Clusters, ResourceType::Endpoints, ResourceType::Routes]);
    let mut fixture = Fixture::new(first);
    assert_eq!(kinds(&mut fixture), [ResourceType::Endpoints]);
    fixture.session.request(sotw(ResourceType::Clusters, &[], "", None)).unwrap();
    fixture.roster(&["a", "b"]);
    assert_eq!(kinds(&mut fixture), [ResourceType::Endpoints, ResourceType::Clusters]);
    assert!(fixture.flush().responses.is_empty(), "sent only once");
}

#[test]
fn reports_an_ack_once_all_types_of_a_change_are_acked() {
    let mut fixture = Fixture::new(sotw(ResourceType::Endpoints, &["charge", "match"], "", None));
    fixture.session.request(sotw(ResourceType::Routes, &[encode::ROUTE_CONFIG_NAME], "", None)).unwrap();
    let sent = summary(&fixture.flush());
    let routes = fixture
        .session
        .request(sotw(ResourceType::Routes, &[encode::ROUTE_CONFIG_NAME], &sent[1].1, None))
        .unwrap();
    assert_eq!(routes, []);
    let endpoints = sotw(ResourceType::Endpoints, &["charge", "match"], &sent[0].1, None);
    assert_eq!(
        fixture.session.request(endpoints.clone()).unwrap(),
        [RequestEffect::Acked(fixture.newest_version())]
    );
    assert_eq!(fixture.session.request(endpoints).unwrap(), [], "a repeated ACK has no effect");
}

#[test]
fn an_ack_with_an_older_nonce_acks_only_its_version_and_its_names_are_ignored() {
    let mut fixture = Fixture::new(sotw(ResourceType::Endpoints, &["charge", "match"], "", None));
    let first = summary(&fixture.flush())[0].1.clone();
    let before = fixture.newest_version();
    fixture.roster(&["a", "b"]);
    let second = summary(&fixture.flush())[0].1.clone();
    let effects = fixture.session.request(sotw(ResourceType::Endpoints, &["charge"], &first, None)).unwrap();
    let [RequestEffect::Acked(version)] = effects[..] else { panic!("{effects:?}") };
    assert!(before <= version && version < fixture.newest_version());
    fixture.roster(&["b", "c"]);
    assert_eq!(summary(&fixture.flush())[0].2, 2, "both names are still subscribed");
    let effects = fixture.session.request(sotw(ResourceType::Endpoints, &["charge"], &second, None)).unwrap();
    assert!(matches!(effects[..], [RequestEffect::Acked(_)]));
    assert_eq!(
        fixture.session.request(sotw(ResourceType::Endpoints, &["charge"], "abc.77", None)).unwrap(),
        []
    );
    assert_eq!(fixture.session.stale(), 3);
}

#[test]
fn sends_nothing_after_a_nack_until_a_new_version() {
    let mut fixture = Fixture::new(sotw(ResourceType::Endpoints, &["charge", "match"], "", None));
    let (nonce, version) = (summary(&fixture.flush())[0].1.clone(), fixture.newest_version());
    let names = ["charge", "match"];
    let effects =
        fixture.session.request(sotw(ResourceType::Endpoints, &names, &nonce, Some("bad"))).unwrap();
    assert_eq!(effects, [RequestEffect::Nacked(version, "bad".into())]);
    assert_eq!(fixture.flush(), FlushOutcome::default());
    fixture.roster(&["a", "b"]);
    let nonce = summary(&fixture.flush())[0].1.clone();
    let effects = fixture.session.request(sotw(ResourceType::Endpoints, &names, &nonce, None)).unwrap();
    assert_eq!(effects, [RequestEffect::Acked(fixture.newest_version())]);
}

#[test]
fn handles_growing_and_shrinking_subscriptions_and_unknown_names() {
    let mut fixture = Fixture::new(sotw(ResourceType::Endpoints, &["match", "nobody"], "", None));
    let sent = summary(&fixture.flush());
    assert_eq!(sent[0].2, 1);
    let subscribe = sotw(ResourceType::Endpoints, &["match", "charge"], &sent[0].1, None);
    assert!(fixture.session.request(subscribe).unwrap().contains(&RequestEffect::ResourcesRequested));
    let sent = summary(&fixture.flush());
    assert_eq!(sent[0].2, 1, "only the resource that was not sent yet");
    fixture.session.request(sotw(ResourceType::Endpoints, &[], &sent[0].1, None)).unwrap();
    fixture.roster(&["a", "b"]);
    assert!(fixture.flush().responses.is_empty(), "nothing for unsubscribed names");
    let again = fixture.session.request(sotw(ResourceType::Endpoints, &["match"], &sent[0].1, None)).unwrap();
    assert_eq!(again, [RequestEffect::ResourcesRequested]);
    assert_eq!(summary(&fixture.flush())[0].2, 1);
}

#[test]
fn sends_and_acks_nothing_without_a_subscription() {
    let mut fixture = Fixture::new(sotw(ResourceType::Endpoints, &[], "", None));
    assert_eq!(fixture.flush(), FlushOutcome::default());
    let unsupported =
        Request::Sotw(DiscoveryRequest { type_url: "x/y".into(), ..DiscoveryRequest::default() });
    assert_eq!(fixture.session.request(unsupported).unwrap(), [RequestEffect::UnsupportedType("x/y".into())]);
    let mixed = fixture.session.request(Request::Delta(delta(ResourceType::Endpoints, &["a"], &[], "")));
    assert_eq!(mixed, Err(SessionError::MixedVariants));
}

#[test]
fn a_wildcard_selects_all_clusters_and_an_emptied_list_selects_none() {
    let mut fixture = Fixture::new(sotw(ResourceType::Clusters, &[], "", None));
    let sent = summary(&fixture.flush());
    assert_eq!(sent[0].2, 2);
    fixture.session.request(sotw(ResourceType::Clusters, &["match"], &sent[0].1, None)).unwrap();
    let sent = summary(&fixture.flush());
    assert_eq!(sent[0].2, 1);
    fixture.session.request(sotw(ResourceType::Clusters, &[], &sent[0].1, None)).unwrap();
    let sent = summary(&fixture.flush());
    assert_eq!(sent[0].2, 0, "an empty response, as nothing is subscribed");
    fixture.session.request(sotw(ResourceType::Clusters, &["*"], &sent[0].1, None)).unwrap();
    assert_eq!(summary(&fixture.flush())[0].2, 2);
}

#[test]
fn delta_sends_changes_reports_missing_names_and_resends_on_request() {
    let mut fixture =
        Fixture::new(Request::Delta(delta(ResourceType::Endpoints, &["match", "nobody"], &[], "")));
    let flushed = fixture.flush();
    let Response::Delta(first) = &flushed.responses[0] else { panic!() };
    assert_eq!(
        (first.resources.len(), first.removed_resources.as_slice()),
        (1, ["nobody".to_string()].as_slice())
    );
    let effects = fixture
        .session
        .request(Request::Delta(delta(ResourceType::Endpoints, &[], &[], &first.nonce)))
        .unwrap();
    assert_eq!(effects, [RequestEffect::Acked(fixture.newest_version())]);
    assert!(fixture.flush().responses.is_empty());
    fixture.session.request(Request::Delta(delta(ResourceType::Endpoints, &["match"], &[], ""))).unwrap();
    assert_eq!(summary(&fixture.flush())[0].2, 1, "requested again");
    fixture.session.request(Request::Delta(delta(ResourceType::Endpoints, &[], &["match"], ""))).unwrap();
    fixture.roster(&["a", "b"]);
    assert!(fixture.flush().responses.is_empty());
}

#[test]
fn does_not_resend_content_that_a_reconnecting_proxy_holds() {
    let mut fixture =
        Fixture::new(Request::Delta(delta(ResourceType::Endpoints, &["match", "charge"], &[], "")));
    let flushed = fixture.flush();
    let Response::Delta(first) = &flushed.responses[0] else { panic!() };
    let mut reconnect = delta(ResourceType::Endpoints, &["match", "charge"], &[], "");
    reconnect.initial_resource_versions =
        first.resources.iter().map(|resource| (resource.name.clone(), resource.version.clone())).collect();
    reconnect.initial_resource_versions.insert("match".into(), "0123".into());
    reconnect.initial_resource_versions.insert("left over".into(), "4567".into());
    let mut second = Fixture::new(Request::Delta(reconnect.clone()));
    let flushed = second.flush();
    let Response::Delta(again) = &flushed.responses[0] else { panic!() };
    assert_eq!(again.resources.len(), 1, "only the one whose digest differs");
    assert_eq!(again.removed_resources, ["left over"]);
    reconnect.initial_resource_versions =
        first.resources.iter().map(|resource| (resource.name.clone(), resource.version.clone())).collect();
    let mut third = Fixture::new(Request::Delta(reconnect));
    let flushed = third.flush();
    assert_eq!((flushed.responses.len(), flushed.acked), (0, Some(third.newest_version())));
}

#[test]
fn a_stream_broken_between_two_types_of_a_change_acks_nothing() {
    let mut fixture = Fixture::new(sotw(ResourceType::Endpoints, &["charge", "match"], "", None));
    fixture.session.request(sotw(ResourceType::Routes, &[encode::ROUTE_CONFIG_NAME], "", None)).unwrap();
    let sent = summary(&fixture.flush());
    fixture
        .session
        .request(sotw(ResourceType::Routes, &[encode::ROUTE_CONFIG_NAME], &sent[1].1, None))
        .unwrap();
    // The endpoints are never acknowledged; the proxy reconnects on a new stream, which starts without state.
    let mut new_session = Session::new(0xabc, &sotw(ResourceType::Endpoints, &[], "", None));
    new_session.request(sotw(ResourceType::Endpoints, &["charge", "match"], &sent[0].1, None)).unwrap();
    let flushed = new_session.flush(&wire(), fixture.engine.proxy(0).unwrap());
    assert_eq!((summary(&flushed)[0].2, flushed.acked), (2, None));
}

proptest::proptest! {
    /// No sequence of requests causes a panic or acknowledges more than was sent.
    #[test]
    fn accepts_any_sequence_of_requests(
        steps in proptest::collection::vec(
            (0usize..4, 0usize..4, 0u64..12, proptest::bool::ANY, 0usize..3), 1..60,
        ),
        deltas in proptest::bool::ANY,
    ) {
        let names = [&["match"][..], &["charge", "match"], &["nobody", "*"], &[]];
        let make = |(kind, names_at, nonce, error, _): (usize, usize, u64, bool, usize)| {
            let nonce = if nonce == 0 { String::new() } else { format!("abc.{nonce}") };
            match deltas {
                true => {
                    let mut request = delta(ResourceType::ALL[kind], names[names_at], names[3 - names_at], &nonce);
                    request.error_detail = error.then(Status::default);
                    Request::Delta(request)
                }
                false => sotw(ResourceType::ALL[kind], names[names_at], &nonce, error.then_some("no")),
            }
        };
        let mut fixture = Fixture::new(make(steps[0]));
        for step in &steps {
            for effect in fixture.session.request(make(*step)).unwrap() {
                if let RequestEffect::Acked(version) = effect {
                    proptest::prop_assert!(version <= fixture.newest_version());
                }
            }
            match step.4 {
                0 => drop(fixture.flush()),
                1 => fixture.roster(if step.3 { &["a", "b"] } else { &["b", "c"] }),
                _ => {}
            }
        }
    }
}

#[test]
fn does_not_remove_held_tables_before_new_ones_are_published() {
    let now = Duration::from_secs(100);
    let mut engine = Engine::new(EngineSettings::example(2), now);
    engine.update_roster(now, entries(&["a", "b", "c"]));
    let join = JoinRequest {
        name: "p".into(),
        zone: 0,
        requests_per_second: 1.0,
        default_table: vec![],
        holds_governor_tables: true,
        ownership_proof: None,
        proven_version: None,
    };
    engine.proxy_connected(now, 1, &join).unwrap();
    let mut first = delta(ResourceType::Endpoints, &["match", "nobody"], &[], "");
    first.initial_resource_versions = [("match".to_string(), "0123".to_string())].into();
    let mut session = Session::new(0xabc, &Request::Delta(first.clone()));
    session.request(Request::Delta(first)).unwrap();
    let flushed = session.flush(&wire(), engine.proxy(0).unwrap());
    let Response::Delta(response) = &flushed.responses[0] else { panic!() };
    assert_eq!(response.removed_resources, ["nobody"], "only the name that no class has");
    let later = now + Duration::from_millis(300);
    while engine.next_action(later).is_some() {}
    let flushed = session.flush(&wire(), engine.proxy(0).unwrap());
    assert_eq!(summary(&flushed)[0].2, 1);
}
