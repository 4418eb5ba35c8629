use super::*;
use proptest::prelude::*;
use wrenthread_core::tables::ResolvedEntry;

fn wire() -> Wire {
    let group = |name: &str, route| WireGroup {
        name: name.into(),
        route,
        expiry: std::time::Duration::from_millis(2500),
    };
    Wire {
        epoch: 7,
        governor: String::new(),
        key: None,
        zones: vec!["north".into(), "south".into()],
        groups: vec![
            group("match", Route::Prefix("/match".into())),
            group("charge", Route::Header("x-group".into(), "charge".into())),
        ],
        report_every: std::time::Duration::from_secs(1),
        load_metrics: vec!["queue".into()],
        answer_metric: "answer_ms".into(),
    }
}

fn line(name: &str, zone: usize, weight: f64, open: bool) -> ResolvedEntry {
    ResolvedEntry {
        replica: name.into(),
        address: format!("10.0.0.1:{}", name.len()).into(),
        zone,
        weight,
        routable: open,
    }
}

#[test]
fn shut_lines_leave_and_levels_are_said_in_parts_of_a_million() {
    let lines = vec![line("a", 0, 1.0, true), line("bb", 0, 5.0, false), line("ccc", 1, 3.0, true)];
    let said = assignment(&wire(), "match", &Table { entries: lines, admission_fraction: 0.85 });
    let weights: Vec<u32> =
        said.endpoints.iter().map(|one| one.load_balancing_weight.unwrap().value).collect();
    assert_eq!(weights, [1000, 3000]);
    let dropped = &said.policy.unwrap().drop_overloads[0];
    assert_eq!(dropped.drop_percentage.unwrap().numerator, 150_000);
    let whole = assignment(&wire(), "match", &Table { entries: vec![], admission_fraction: 1.0 });
    assert!(whole.policy.is_none() && whole.endpoints.is_empty());
}

#[test]
fn further_tries_are_only_what_the_module_allows() {
    let said = routes(&wire(), &[RetryPolicy::Never, RetryPolicy::IfNotExecuted]);
    let policies: Vec<Option<String>> = said.virtual_hosts[0]
        .routes
        .iter()
        .map(|route| match route.action.as_ref().unwrap() {
            route::Action::Route(action) => action.retry_policy.as_ref().map(|one| one.retry_on.clone()),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(policies, [None, Some("connect-failure,refused-stream".into())]);
}

#[test]
fn of_several_paths_the_one_that_counts_stands_first() {
    let group = |name: &str, paths: Vec<Path>| WireGroup {
        name: name.into(),
        route: Route::Paths(paths),
        expiry: std::time::Duration::from_secs(1),
    };
    let prefix = |prefix: &str| Path::Prefix(prefix.into());
    let wire = Wire {
        groups: vec![
            group("rest", vec![prefix("/"), prefix("/a/long")]),
            group("firm", vec![Path::Firm("/s/".into()), prefix("/s/x/")]),
            group("odd", vec![Path::Pattern("[.]php$".into(), true), Path::Exact("/a".into())]),
        ],
        ..wire()
    };
    let said = routes(&wire, &[RetryPolicy::Never; 3]).virtual_hosts.remove(0).routes;
    let path = |route: &WireRoute| match route.r#match.as_ref().unwrap().path_specifier.clone().unwrap() {
        PathSpecifier::Path(path) => format!("= {path}"),
        PathSpecifier::Prefix(prefix) => prefix,
        PathSpecifier::SafeRegex(regex) => regex.regex,
        other => panic!("{other:?}"),
    };
    let said: Vec<String> = said.iter().map(|route| format!("{} {}", route.name, path(route))).collect();
    let wanted = ["odd = /a", "firm /s/x/", "firm /s/", "odd (?si).*(?:[.]php$).*", "rest /a/long", "rest /"];
    assert_eq!(said, wanted);
}

#[test]
fn the_same_content_has_the_same_mark() {
    let table = Table { entries: vec![line("a", 0, 1.0, true)], admission_fraction: 1.0 };
    let one = packed(&assignment(&wire(), "match", &table));
    assert_eq!(
        digest(&one),
        digest(&packed(&assignment(
            &Wire { epoch: 8, governor: String::new(), key: None, ..wire() },
            "match",
            &table
        )))
    );
    let other = Table { admission_fraction: 0.5, ..table };
    assert_ne!(digest(&one), digest(&packed(&assignment(&wire(), "match", &other))));
}

proptest! {
    #[test]
    fn both_kinds_of_proxies_come_to_the_same_shares(
        lines in prop::collection::vec((0usize..2, 0.01f64..50.0), 1..40),
    ) {
        let name = |n| "x".repeat(n + 1);
        let make = |(n, (zone, weight)): (usize, &(usize, f64))| line(&name(n), *zone, *weight, true);
        let table = Table { entries: lines.iter().enumerate().map(make).collect(), admission_fraction: 1.0 };
        let said = assignment(&wire(), "match", &table);
        let weight = |one: &LbEndpoint| f64::from(one.load_balancing_weight.unwrap().value);
        let all: f64 = said.endpoints.iter().flat_map(|zone| &zone.lb_endpoints).map(weight).sum();
        let of = |zone: &LocalityLbEndpoints| f64::from(zone.load_balancing_weight.unwrap().value);
        let zones: f64 = said.endpoints.iter().map(of).sum();
        for zone in &said.endpoints {
            let here: f64 = zone.lb_endpoints.iter().map(weight).sum();
            for one in &zone.lb_endpoints {
                let by_zone = of(zone) / zones * weight(one) / here;
                prop_assert!((by_zone - weight(one) / all).abs() < 1e-12);
            }
        }
    }
}
