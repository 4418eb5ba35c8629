//! Tests of whole scripts.

use super::*;
use std::time::Duration;
use wrenthread::types::{DeduplicationScope, Idempotency, RetryPolicy};

const GOOD: &str = r#"
fleet(zones = ["north", "south"], proxies = 16, tries = "if-never-ran")
def plain(name, budget):
    group(name, latency_budget = budget, expiry = 5, prefix = "/" + name)
for name in ["match", "count"]:
    plain(name, 2)
group("charge", effect = "deduped", deduped_by = "all", deduped_for = 60, latency_budget = 2, expiry = 5,
      header = "X-Group: charge", utility = 3.0)
reports(every = 0.5, metrics = ["waiting"])
roster(file = "roster.json")
"#;

fn why(script: &str) -> String {
    parse("s.star", script).unwrap_err().to_string()
}

#[test]
fn functions_and_loops_define_groups() {
    let settings = parse("s.star", GOOD).unwrap();
    let names: Vec<_> = settings.groups.iter().map(|group| group.name.as_str()).collect();
    assert_eq!(names, ["match", "count", "charge"]);
    assert_eq!(settings.groups[2].route, Route::Header("x-group".into(), "charge".into()));
    let setup = settings.engine_settings();
    assert_eq!(setup.governor.default_retry_policy, RetryPolicy::IfNotExecuted);
    assert!(matches!(
        setup.governor.classes[2].idempotency,
        Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
    ));
    assert_eq!(setup.governor.report_interval, Duration::from_millis(500));
}

#[test]
fn gossip_needs_an_address_peers_a_name_and_keys() {
    let talk = "governor(name = 'g0', keys = ['k'], talk = '10.0.0.1:15012', peers = ['g1=10.0.0.2:15012'])";
    let settings = parse("s.star", &format!("{GOOD}{talk}")).unwrap();
    assert_eq!(settings.peers, [("g1".to_string(), "10.0.0.2:15012".parse().unwrap())]);
    let why = |from: &str, to: &str| why(&format!("{GOOD}{}", talk.replace(from, to)));
    assert!(why("10.0.0.1:15012", "here").contains("`talk` is \"here\"; it takes `address:port`"));
    assert!(why("g1=", "").contains("it takes \"name=address:port\""));
    assert!(why("g1=", "g0=").contains("peer `g0` is this governor, or twice there"));
    for gone in ["keys = ['k'], ", "talk = '10.0.0.1:15012', ", "name = 'g0', "] {
        assert!(why(gone, "").contains("need `name`, `keys` and `talk`"), "{gone}");
    }
}

#[test]
fn reports_all_errors_with_their_lines_and_what_would_be_right() {
    let script = GOOD.replace("every = 0.5", "evry = 0.5").replace("utility", "utilty");
    let said = why(&script);
    assert!(said.contains("s.star:7: `group` has no `utilty`; did you mean `utility`?"), "{said}");
    assert!(said.contains("s.star:9: `reports` has no `evry`; did you mean `every`?"), "{said}");
    let said = why(&GOOD
        .replace("proxies = 16", "proxies = -1")
        .replace("expiry = 5, prefix", "expiry = 1, prefix"));
    assert!(said.contains("s.star:2: `proxies` of `fleet` is -1; it takes a whole number from 1"), "{said}");
    assert!(said.contains("s.star:4: the latency budget of group `match` (2 s) is beyond"), "{said}");
    assert!(why("grup('x')").contains("s.star:1"));
    assert!(why("fleet(").starts_with("s.star:1"));
    assert!(
        why(&format!("{GOOD}\nfleet(zones = ['x'], proxies = 1)"))
            .contains("s.star:12: `fleet` is already given on line 2")
    );
}

#[test]
fn reports_settings_that_need_others() {
    assert!(why(&GOOD.replace("roster(", "#")).contains("needs a `file`, or an `upstream`"));
    assert!(why(&GOOD.replace("deduped_by = \"all\", ", "")).contains("go with effect"));
    assert!(why(&GOOD.replace("X-Group: charge", "X-Group")).contains("needs a `prefix`"));
    let paths = |paths: &str| GOOD.replace("header = \"X-Group: charge\"", &format!("paths = {paths}"));
    assert!(why(&paths("[\"= x\"]")).contains("path \"= x\" does not begin with `/`"));
    assert!(why(&paths("[\"~ (\"]")).contains("no regular expression"));
    assert!(why(&paths("[\"/x\", \"/match\"]")).contains("have the same route"));
    assert!(why(&GOOD.replace("plain(name, 2)", "plain('match', 2)")).contains("is already defined"));
    assert!(why(&GOOD.replace("\"waiting\"", "\"wating\"")).contains("did you mean `waiting`"));
    assert!(
        why("roster(file = 'x')").contains("0 groups") || why("roster(file = 'x')").contains("needs `zones`")
    );
}

#[test]
fn stops_scripts_that_never_end_or_grow_without_bound() {
    let endless = "def f():\n    for i in range(1000000000):\n        pass\nf()";
    assert!(why(endless).contains("s.star"));
    let growing =
        "x = []\ndef f():\n    for i in range(1000000000):\n        x.append('y' * 10000 + str(i))\nf()";
    assert!(why(growing).contains("s.star"));
    let deep = "def f(n):\n    return f(n + 1)\nf(0)";
    assert!(why(deep).contains("s.star"));
    assert!(why(&"#".repeat(2 << 20)).contains("bytes"));
}

#[test]
fn names_settings_that_need_a_restart() {
    let now = parse("s.star", GOOD).unwrap();
    let later =
        parse("s.star", &GOOD.replace("proxies = 16", "proxies = 17").replace("roster.json", "other.json"));
    assert_eq!(now.fixed_differences(&later.unwrap()), ["`proxies`: 16 runs, 17 is asked for"]);
    assert!(now.fixed_differences(&now).is_empty());
}
