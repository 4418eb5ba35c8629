//! Tests of whole scripts.

use super::*;
use std::time::Duration;
use wrenthread::types::{DeduplicationScope, Idempotency, RetryPolicy};

const VALID_SCRIPT: &str = r#"
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

fn parse_error(script: &str) -> String {
    parse("s.star", script).unwrap_err().to_string()
}

#[test]
fn functions_and_loops_define_groups() {
    let settings = parse("s.star", VALID_SCRIPT).unwrap();
    let names: Vec<_> = settings.groups.iter().map(|group| group.name.as_str()).collect();
    assert_eq!(names, ["match", "count", "charge"]);
    assert_eq!(settings.groups[2].route, Route::Header("x-group".into(), "charge".into()));
    let engine = settings.engine_settings();
    assert_eq!(engine.governor.default_retry_policy, RetryPolicy::IfNotExecuted);
    assert!(matches!(
        engine.governor.classes[2].idempotency,
        Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
    ));
    assert_eq!(engine.governor.report_interval, Duration::from_millis(500));
}

#[test]
fn gossip_needs_an_address_peers_a_name_and_keys() {
    let governor_section =
        "governor(name = 'g0', keys = ['k'], talk = '10.0.0.1:15012', peers = ['g1=10.0.0.2:15012'])";
    let settings = parse("s.star", &format!("{VALID_SCRIPT}{governor_section}")).unwrap();
    assert_eq!(settings.peers, [("g1".to_string(), "10.0.0.2:15012".parse().unwrap())]);
    let error_after_replacing =
        |from: &str, to: &str| parse_error(&format!("{VALID_SCRIPT}{}", governor_section.replace(from, to)));
    assert!(
        error_after_replacing("10.0.0.1:15012", "here")
            .contains("`talk` is \"here\"; it takes `address:port`")
    );
    assert!(error_after_replacing("g1=", "").contains("it takes \"name=address:port\""));
    assert!(error_after_replacing("g1=", "g0=").contains("peer `g0` is this governor, or twice there"));
    for removed in ["keys = ['k'], ", "talk = '10.0.0.1:15012', ", "name = 'g0', "] {
        assert!(error_after_replacing(removed, "").contains("need `name`, `keys` and `talk`"), "{removed}");
    }
}

#[test]
fn reports_all_errors_with_their_lines_and_what_would_be_right() {
    let script = VALID_SCRIPT.replace("every = 0.5", "evry = 0.5").replace("utility", "utilty");
    let errors = parse_error(&script);
    assert!(errors.contains("s.star:7: `group` has no `utilty`; did you mean `utility`?"), "{errors}");
    assert!(errors.contains("s.star:9: `reports` has no `evry`; did you mean `every`?"), "{errors}");
    let errors = parse_error(
        &VALID_SCRIPT
            .replace("proxies = 16", "proxies = -1")
            .replace("expiry = 5, prefix", "expiry = 1, prefix"),
    );
    assert!(
        errors.contains("s.star:2: `proxies` of `fleet` is -1; it takes a whole number from 1"),
        "{errors}"
    );
    assert!(errors.contains("s.star:4: the latency budget of group `match` (2 s) is beyond"), "{errors}");
    assert!(parse_error("grup('x')").contains("s.star:1"));
    assert!(parse_error("fleet(").starts_with("s.star:1"));
    assert!(
        parse_error(&format!("{VALID_SCRIPT}\nfleet(zones = ['x'], proxies = 1)"))
            .contains("s.star:12: `fleet` is already given on line 2")
    );
}

#[test]
fn rejects_incomplete_and_conflicting_settings() {
    assert!(parse_error(&VALID_SCRIPT.replace("roster(", "#")).contains("needs a `file`, or an `upstream`"));
    assert!(parse_error(&VALID_SCRIPT.replace("deduped_by = \"all\", ", "")).contains("go with effect"));
    assert!(parse_error(&VALID_SCRIPT.replace("X-Group: charge", "X-Group")).contains("needs a `prefix`"));
    let paths =
        |paths: &str| VALID_SCRIPT.replace("header = \"X-Group: charge\"", &format!("paths = {paths}"));
    assert!(parse_error(&paths("[\"= x\"]")).contains("path \"= x\" does not begin with `/`"));
    assert!(parse_error(&paths("[\"~ (\"]")).contains("no regular expression"));
    assert!(parse_error(&paths("[\"/x\", \"/match\"]")).contains("have the same route"));
    assert!(
        parse_error(&VALID_SCRIPT.replace("plain(name, 2)", "plain('match', 2)"))
            .contains("is already defined")
    );
    assert!(
        parse_error(&VALID_SCRIPT.replace("\"waiting\"", "\"wating\"")).contains("did you mean `waiting`")
    );
    assert!(
        parse_error("roster(file = 'x')").contains("0 groups")
            || parse_error("roster(file = 'x')").contains("needs `zones`")
    );
}

#[test]
fn stops_scripts_that_never_end_or_grow_without_bound() {
    let endless = "def f():\n    for i in range(1000000000):\n        pass\nf()";
    assert!(parse_error(endless).contains("s.star"));
    let growing =
        "x = []\ndef f():\n    for i in range(1000000000):\n        x.append('y' * 10000 + str(i))\nf()";
    assert!(parse_error(growing).contains("s.star"));
    let deep = "def f(n):\n    return f(n + 1)\nf(0)";
    assert!(parse_error(deep).contains("s.star"));
    assert!(parse_error(&"#".repeat(2 << 20)).contains("bytes"));
}

#[test]
fn lists_differences_that_need_a_restart() {
    let now = parse("s.star", VALID_SCRIPT).unwrap();
    let later = parse(
        "s.star",
        &VALID_SCRIPT.replace("proxies = 16", "proxies = 17").replace("roster.json", "other.json"),
    );
    assert_eq!(now.differences_requiring_restart(&later.unwrap()), ["`proxies`: 16 runs, 17 is asked for"]);
    assert!(now.differences_requiring_restart(&now).is_empty());
}
