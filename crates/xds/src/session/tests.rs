use super::*;
use std::time::Duration;
use wrenthread::types::Phase;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::JoinRequest;
use wrenthread_core::roster::RosterEntry;

use crate::pb::google::rpc::Status;
use crate::{Route, WireGroup};

fn wire() -> Wire {
    let group = |name: &str| WireGroup {
        name: name.into(),
        route: Route::Prefix(format!("/{name}")),
        expiry: Duration::from_secs(3),
    };
    Wire {
        epoch: 0xabc,
        governor: String::new(),
        key: None,
        zones: vec!["north".into()],
        groups: vec![group("charge"), group("match")],
        report_every: Duration::from_secs(1),
        load_metrics: vec![],
        answer_metric: "answer_ms".into(),
    }
}

/// An engine with one proxy on tables of its own, and its session.
struct Rig {
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

impl Rig {
    fn new(first: Request) -> Rig {
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
        let mut rig = Rig { engine, now, session: Session::new(0xabc, &first) };
        rig.session.request(first).unwrap();
        rig.pass();
        rig
    }

    /// Lets the engine decide, without flushing the session.
    fn pass(&mut self) {
        self.now += Duration::from_millis(1000);
        while let Some(step) = self.engine.next_action(self.now) {
            if let Action::Flush(number) = step {
                self.engine.tables_sent(self.now, number, 1, 1);
            }
        }
        let newest = self.engine.proxy(0).unwrap().newest();
        self.engine.version_acknowledged(self.now, 1, newest);
    }

    fn roster(&mut self, names: &[&str]) {
        self.engine.update_roster(self.now, entries(names));
        self.pass();
    }

    fn flush(&mut self) -> Flushed {
        self.session.flush(&wire(), self.engine.proxy(0).unwrap())
    }

    fn newest(&self) -> u64 {
        self.engine.proxy(0).unwrap().newest()
    }
}

fn sotw(kind: Kind, names: &[&str], nonce: &str, error: Option<&str>) -> Request {
    Request::Sotw(DiscoveryRequest {
        type_url: kind.url(),
        resource_names: names.iter().map(|name| (*name).into()).collect(),
        response_nonce: nonce.into(),
        error_detail: error.map(|words| Status { code: 3, message: words.into(), ..Status::default() }),
        ..DiscoveryRequest::default()
    })
}

fn delta(kind: Kind, more: &[&str], less: &[&str], nonce: &str) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        type_url: kind.url(),
        resource_names_subscribe: more.iter().map(|name| (*name).into()).collect(),
        resource_names_unsubscribe: less.iter().map(|name| (*name).into()).collect(),
        response_nonce: nonce.into(),
        ..DeltaDiscoveryRequest::default()
    }
}

/// Types, nonces and numbers of resources of a flush.
fn said(flushed: &Flushed) -> Vec<(Kind, String, usize)> {
    let one = |response: &Response| match response {
        Response::Sotw(one) => (Kind::of(&one.type_url).unwrap(), one.nonce.clone(), one.resources.len()),
        Response::Delta(one) => (Kind::of(&one.type_url).unwrap(), one.nonce.clone(), one.resources.len()),
    };
    flushed.responses.iter().map(one).collect()
}

#[test]
fn types_go_in_the_order_in_which_they_are_made_and_drains_before_all() {
    let kinds =
        |rig: &mut Rig| -> Vec<Kind> { said(&rig.flush()).into_iter().map(|(kind, ..)| kind).collect() };
    let first = sotw(Kind::Endpoints, &["charge", "match"], "", None);
    let mut rig = Rig::new(first.clone());
    rig.session.request(sotw(Kind::Routes, &[encode::ROUTES], "", None)).unwrap();
    rig.session.request(sotw(Kind::Clusters, &[], "", None)).unwrap();
    assert_eq!(kinds(&mut rig), [Kind::Clusters, Kind::Endpoints, Kind::Routes]);
    let mut rig = Rig::new(first);
    assert_eq!(kinds(&mut rig), [Kind::Endpoints]);
    rig.session.request(sotw(Kind::Clusters, &[], "", None)).unwrap();
    rig.roster(&["a", "b"]);
    assert_eq!(kinds(&mut rig), [Kind::Endpoints, Kind::Clusters]);
    assert!(rig.flush().responses.is_empty(), "once");
}

#[test]
fn an_ack_is_news_once_all_types_of_the_change_are_taken() {
    let mut rig = Rig::new(sotw(Kind::Endpoints, &["charge", "match"], "", None));
    rig.session.request(sotw(Kind::Routes, &[encode::ROUTES], "", None)).unwrap();
    let sent = said(&rig.flush());
    let routes = rig.session.request(sotw(Kind::Routes, &[encode::ROUTES], &sent[1].1, None)).unwrap();
    assert_eq!(routes, []);
    let endpoints = sotw(Kind::Endpoints, &["charge", "match"], &sent[0].1, None);
    assert_eq!(rig.session.request(endpoints.clone()).unwrap(), [Heard::Acked(rig.newest())]);
    assert_eq!(rig.session.request(endpoints).unwrap(), [], "and no news again");
}

#[test]
fn an_ack_for_an_older_nonce_counts_for_its_version_only_and_its_names_are_old() {
    let mut rig = Rig::new(sotw(Kind::Endpoints, &["charge", "match"], "", None));
    let first = said(&rig.flush())[0].1.clone();
    let before = rig.newest();
    rig.roster(&["a", "b"]);
    let second = said(&rig.flush())[0].1.clone();
    let heard = rig.session.request(sotw(Kind::Endpoints, &["charge"], &first, None)).unwrap();
    let [Heard::Acked(version)] = heard[..] else { panic!("{heard:?}") };
    assert!(before <= version && version < rig.newest());
    rig.roster(&["b", "c"]);
    assert_eq!(said(&rig.flush())[0].2, 2, "both names still hold");
    let heard = rig.session.request(sotw(Kind::Endpoints, &["charge"], &second, None)).unwrap();
    assert!(matches!(heard[..], [Heard::Acked(_)]));
    assert_eq!(rig.session.request(sotw(Kind::Endpoints, &["charge"], "abc.77", None)).unwrap(), []);
    assert_eq!(rig.session.stale(), 3);
}

#[test]
fn a_nack_is_followed_by_nothing_until_there_is_a_new_version() {
    let mut rig = Rig::new(sotw(Kind::Endpoints, &["charge", "match"], "", None));
    let (nonce, version) = (said(&rig.flush())[0].1.clone(), rig.newest());
    let names = ["charge", "match"];
    let heard = rig.session.request(sotw(Kind::Endpoints, &names, &nonce, Some("bad"))).unwrap();
    assert_eq!(heard, [Heard::Nacked(version, "bad".into())]);
    assert_eq!(rig.flush(), Flushed::default());
    rig.roster(&["a", "b"]);
    let nonce = said(&rig.flush())[0].1.clone();
    let heard = rig.session.request(sotw(Kind::Endpoints, &names, &nonce, None)).unwrap();
    assert_eq!(heard, [Heard::Acked(rig.newest())]);
}

#[test]
fn subscriptions_grow_and_shrink_and_unknown_names_are_no_harm() {
    let mut rig = Rig::new(sotw(Kind::Endpoints, &["match", "nobody"], "", None));
    let sent = said(&rig.flush());
    assert_eq!(sent[0].2, 1);
    let more = sotw(Kind::Endpoints, &["match", "charge"], &sent[0].1, None);
    assert!(rig.session.request(more).unwrap().contains(&Heard::Wants));
    let sent = said(&rig.flush());
    assert_eq!(sent[0].2, 1, "only what was not sent yet");
    rig.session.request(sotw(Kind::Endpoints, &[], &sent[0].1, None)).unwrap();
    rig.roster(&["a", "b"]);
    assert!(rig.flush().responses.is_empty(), "nothing of what was given up");
    let again = rig.session.request(sotw(Kind::Endpoints, &["match"], &sent[0].1, None)).unwrap();
    assert_eq!(again, [Heard::Wants]);
    assert_eq!(said(&rig.flush())[0].2, 1);
}

#[test]
fn a_proxy_that_subscribes_to_nothing_is_sent_nothing_and_acknowledges_nothing() {
    let mut rig = Rig::new(sotw(Kind::Endpoints, &[], "", None));
    assert_eq!(rig.flush(), Flushed::default());
    let unserved = Request::Sotw(DiscoveryRequest { type_url: "x/y".into(), ..DiscoveryRequest::default() });
    assert_eq!(rig.session.request(unserved).unwrap(), [Heard::Unserved("x/y".into())]);
    let mixed = rig.session.request(Request::Delta(delta(Kind::Endpoints, &["a"], &[], "")));
    assert_eq!(mixed, Err(Bad::Mixed));
}

#[test]
fn wildcards_mean_all_clusters_and_an_emptied_list_means_none() {
    let mut rig = Rig::new(sotw(Kind::Clusters, &[], "", None));
    let sent = said(&rig.flush());
    assert_eq!(sent[0].2, 2);
    rig.session.request(sotw(Kind::Clusters, &["match"], &sent[0].1, None)).unwrap();
    let sent = said(&rig.flush());
    assert_eq!(sent[0].2, 1);
    rig.session.request(sotw(Kind::Clusters, &[], &sent[0].1, None)).unwrap();
    let sent = said(&rig.flush());
    assert_eq!(sent[0].2, 0, "nothing is subscribed to, and the proxy is told so");
    rig.session.request(sotw(Kind::Clusters, &["*"], &sent[0].1, None)).unwrap();
    assert_eq!(said(&rig.flush())[0].2, 2);
}

#[test]
fn delta_sends_changes_says_what_does_not_exist_and_answers_what_is_asked_again() {
    let mut rig = Rig::new(Request::Delta(delta(Kind::Endpoints, &["match", "nobody"], &[], "")));
    let flushed = rig.flush();
    let Response::Delta(first) = &flushed.responses[0] else { panic!() };
    assert_eq!(
        (first.resources.len(), first.removed_resources.as_slice()),
        (1, ["nobody".to_string()].as_slice())
    );
    let heard = rig.session.request(Request::Delta(delta(Kind::Endpoints, &[], &[], &first.nonce))).unwrap();
    assert_eq!(heard, [Heard::Acked(rig.newest())]);
    assert!(rig.flush().responses.is_empty());
    rig.session.request(Request::Delta(delta(Kind::Endpoints, &["match"], &[], ""))).unwrap();
    assert_eq!(said(&rig.flush())[0].2, 1, "asked for again");
    rig.session.request(Request::Delta(delta(Kind::Endpoints, &[], &["match"], ""))).unwrap();
    rig.roster(&["a", "b"]);
    assert!(rig.flush().responses.is_empty());
}

#[test]
fn a_proxy_that_comes_back_with_the_same_content_is_not_sent_it_again() {
    let mut rig = Rig::new(Request::Delta(delta(Kind::Endpoints, &["match", "charge"], &[], "")));
    let flushed = rig.flush();
    let Response::Delta(first) = &flushed.responses[0] else { panic!() };
    let mut back = delta(Kind::Endpoints, &["match", "charge"], &[], "");
    back.initial_resource_versions =
        first.resources.iter().map(|one| (one.name.clone(), one.version.clone())).collect();
    back.initial_resource_versions.insert("match".into(), "0123".into());
    back.initial_resource_versions.insert("left over".into(), "4567".into());
    let mut other = Rig::new(Request::Delta(back.clone()));
    let flushed = other.flush();
    let Response::Delta(again) = &flushed.responses[0] else { panic!() };
    assert_eq!(again.resources.len(), 1, "only the one whose mark differs");
    assert_eq!(again.removed_resources, ["left over"]);
    back.initial_resource_versions =
        first.resources.iter().map(|one| (one.name.clone(), one.version.clone())).collect();
    let mut third = Rig::new(Request::Delta(back));
    let flushed = third.flush();
    assert_eq!((flushed.responses.len(), flushed.acked), (0, Some(third.newest())));
}

#[test]
fn a_stream_that_breaks_between_two_types_of_one_change_leaves_nothing_acknowledged() {
    let mut rig = Rig::new(sotw(Kind::Endpoints, &["charge", "match"], "", None));
    rig.session.request(sotw(Kind::Routes, &[encode::ROUTES], "", None)).unwrap();
    let sent = said(&rig.flush());
    rig.session.request(sotw(Kind::Routes, &[encode::ROUTES], &sent[1].1, None)).unwrap();
    // The endpoints' answer never comes; the proxy is back on a new stream, which starts from nothing.
    let mut back = Session::new(0xabc, &sotw(Kind::Endpoints, &[], "", None));
    back.request(sotw(Kind::Endpoints, &["charge", "match"], &sent[0].1, None)).unwrap();
    let flushed = back.flush(&wire(), rig.engine.proxy(0).unwrap());
    assert_eq!((said(&flushed)[0].2, flushed.acked), (2, None));
}

proptest::proptest! {
    /// Whatever comes, in whatever order: no panic, and no more is acknowledged than was sent.
    #[test]
    fn any_sequence_of_requests_is_borne(
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
                    let mut request = delta(Kind::ALL[kind], names[names_at], names[3 - names_at], &nonce);
                    request.error_detail = error.then(Status::default);
                    Request::Delta(request)
                }
                false => sotw(Kind::ALL[kind], names[names_at], &nonce, error.then_some("no")),
            }
        };
        let mut rig = Rig::new(make(steps[0]));
        for step in &steps {
            for heard in rig.session.request(make(*step)).unwrap() {
                if let Heard::Acked(version) = heard {
                    proptest::prop_assert!(version <= rig.newest());
                }
            }
            match step.4 {
                0 => drop(rig.flush()),
                1 => rig.roster(if step.3 { &["a", "b"] } else { &["b", "c"] }),
                _ => {}
            }
        }
    }
}

#[test]
fn who_comes_back_with_tables_is_not_told_that_there_are_none_before_there_are() {
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
    let mut first = delta(Kind::Endpoints, &["match", "nobody"], &[], "");
    first.initial_resource_versions = [("match".to_string(), "0123".to_string())].into();
    let mut session = Session::new(0xabc, &Request::Delta(first.clone()));
    session.request(Request::Delta(first)).unwrap();
    let flushed = session.flush(&wire(), engine.proxy(0).unwrap());
    let Response::Delta(told) = &flushed.responses[0] else { panic!() };
    assert_eq!(told.removed_resources, ["nobody"], "what is unknown for ever, and nothing else");
    let later = now + Duration::from_millis(300);
    while engine.next_action(later).is_some() {}
    let flushed = session.flush(&wire(), engine.proxy(0).unwrap());
    assert_eq!(said(&flushed)[0].2, 1);
}
