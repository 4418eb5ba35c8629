use super::*;
use proptest::prelude::*;
use wrenthread_core::tables::ResolvedEntry;

fn wire() -> XdsConfig {
    let group = |name: &str, route| TrafficClass {
        name: name.into(),
        route,
        request_timeout: std::time::Duration::from_millis(2500),
    };
    XdsConfig {
        epoch: 7,
        governor: String::new(),
        key: None,
        zones: vec!["north".into(), "south".into()],
        classes: vec![
            group("match", Route::Prefix("/match".into())),
            group("charge", Route::Header("x-group".into(), "charge".into())),
        ],
        report_interval: std::time::Duration::from_secs(1),
        load_metrics: vec!["queue".into()],
        latency_metric: "answer_ms".into(),
    }
}

fn entry(name: &str, zone: usize, weight: f64, is_routable: bool) -> ResolvedEntry {
    ResolvedEntry {
        replica: name.into(),
        address: format!("10.0.0.1:{}", name.len()).into(),
        zone,
        weight,
        routable: is_routable,
    }
}

#[test]
fn omits_unroutable_entries_and_sends_admission_in_millionths() {
    let resolved = vec![entry("a", 0, 1.0, true), entry("bb", 0, 5.0, false), entry("ccc", 1, 3.0, true)];
    let message = assignment(&wire(), "match", &Table { entries: resolved, admission_fraction: 0.85 });
    let weights: Vec<u32> =
        message.endpoints.iter().map(|locality| locality.load_balancing_weight.unwrap().value).collect();
    assert_eq!(weights, [1000, 3000]);
    let dropped = &message.policy.unwrap().drop_overloads[0];
    assert_eq!(dropped.drop_percentage.unwrap().numerator, 150_000);
    let unlimited = assignment(&wire(), "match", &Table { entries: vec![], admission_fraction: 1.0 });
    assert!(unlimited.policy.is_none() && unlimited.endpoints.is_empty());
}

#[test]
fn sends_the_retry_policy_of_each_class() {
    let configuration = route_configuration(&wire(), &[RetryPolicy::Never, RetryPolicy::IfNotExecuted]);
    let policies: Vec<Option<String>> = configuration.virtual_hosts[0]
        .routes
        .iter()
        .map(|route| match route.action.as_ref().unwrap() {
            route::Action::Route(action) => {
                action.retry_policy.as_ref().map(|policy| policy.retry_on.clone())
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(policies, [None, Some("connect-failure,refused-stream".into())]);
}

#[test]
fn orders_paths_by_precedence() {
    let group = |name: &str, paths: Vec<Path>| TrafficClass {
        name: name.into(),
        route: Route::Paths(paths),
        request_timeout: std::time::Duration::from_secs(1),
    };
    let prefix = |prefix: &str| Path::Prefix(prefix.into());
    let wire = XdsConfig {
        classes: vec![
            group("rest", vec![prefix("/"), prefix("/a/long")]),
            group("firm", vec![Path::PriorityPrefix("/s/".into()), prefix("/s/x/")]),
            group("odd", vec![Path::Pattern("[.]php$".into(), true), Path::Exact("/a".into())]),
        ],
        ..wire()
    };
    let routes = route_configuration(&wire, &[RetryPolicy::Never; 3]).virtual_hosts.remove(0).routes;
    let path = |route: &WireRoute| match route.r#match.as_ref().unwrap().path_specifier.clone().unwrap() {
        PathSpecifier::Path(path) => format!("= {path}"),
        PathSpecifier::Prefix(prefix) => prefix,
        PathSpecifier::SafeRegex(regex) => regex.regex,
        other => panic!("{other:?}"),
    };
    let ordered: Vec<String> = routes.iter().map(|route| format!("{} {}", route.name, path(route))).collect();
    let expected =
        ["odd = /a", "firm /s/x/", "firm /s/", "odd (?si).*(?:[.]php$).*", "rest /a/long", "rest /"];
    assert_eq!(ordered, expected);
}

#[test]
fn equal_content_has_an_equal_digest() {
    let table = Table { entries: vec![entry("a", 0, 1.0, true)], admission_fraction: 1.0 };
    let resource = to_any(&assignment(&wire(), "match", &table));
    assert_eq!(
        digest(&resource),
        digest(&to_any(&assignment(
            &XdsConfig { epoch: 8, governor: String::new(), key: None, ..wire() },
            "match",
            &table
        )))
    );
    let changed = Table { admission_fraction: 0.5, ..table };
    assert_ne!(digest(&resource), digest(&to_any(&assignment(&wire(), "match", &changed))));
}

proptest! {
    #[test]
    fn locality_weights_and_flat_weights_give_equal_shares(
        generated in prop::collection::vec((0usize..2, 0.01f64..50.0), 1..40),
    ) {
        let name = |n| "x".repeat(n + 1);
        let make = |(n, (zone, weight)): (usize, &(usize, f64))| entry(&name(n), *zone, *weight, true);
        let table = Table { entries: generated.iter().enumerate().map(make).collect(), admission_fraction: 1.0 };
        let message = assignment(&wire(), "match", &table);
        let weight = |endpoint: &LbEndpoint| f64::from(endpoint.load_balancing_weight.unwrap().value);
        let flat_total: f64 = message.endpoints.iter().flat_map(|zone| &zone.lb_endpoints).map(weight).sum();
        let zone_weight = |zone: &LocalityLbEndpoints| f64::from(zone.load_balancing_weight.unwrap().value);
        let total: f64 = message.endpoints.iter().map(zone_weight).sum();
        for zone in &message.endpoints {
            let in_zone: f64 = zone.lb_endpoints.iter().map(weight).sum();
            for endpoint in &zone.lb_endpoints {
                let by_zone = zone_weight(zone) / total * weight(endpoint) / in_zone;
                prop_assert!((by_zone - weight(endpoint) / flat_total).abs() < 1e-12);
            }
        }
    }
}
