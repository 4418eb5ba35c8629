//! With any settings that are accepted, a governor runs for some seconds without a panic and sends only valid numbers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod driven;

use driven::{DrivenGovernor, STEP, ZONE, read_config, replica};
use proptest::prelude::*;
use serde_json::{Map, Value, json};
use wrenthread::types::HeldTables;
use wrenthread_platform_protocol::decode::{Decoder, Message};

/// The largest count that is accepted.
const LARGEST_COUNT: u64 = 8_999_999_999_999_999;

/// A count at an edge of the range, an ordinary one, or none.
fn count() -> impl Strategy<Value = Option<Value>> {
    let edges = prop::sample::select(vec![0, 1, 2, 3, 4, 63, 64, 65, 1000, 1_000_000, LARGEST_COUNT]);
    prop::option::weighted(0.85, edges.prop_map(Value::from))
}

/// A number at an edge of the range, an ordinary one, or none.
fn number() -> impl Strategy<Value = Option<Value>> {
    let edges = prop::sample::select(vec![0.0, f64::MIN_POSITIVE, 1e-9, 0.3, 1.0, 2.5, 1e4, 1e18, f64::MAX]);
    prop::option::weighted(0.85, edges.prop_map(Value::from))
}

fn object(fields: Vec<(&'static str, BoxedStrategy<Option<Value>>)>) -> impl Strategy<Value = Value> {
    let (names, values): (Vec<_>, Vec<_>) = fields.into_iter().unzip();
    values.prop_map(move |values| {
        let present = names.iter().zip(values).filter_map(|(name, value)| Some(((*name).into(), value?)));
        Value::Object(present.collect::<Map<String, Value>>())
    })
}

fn extra() -> impl Strategy<Value = Value> {
    object(vec![
        ("agents", count().boxed()),
        ("bootstrap", count().boxed()),
        ("ejects", count().boxed()),
        ("shards", prop::option::weighted(0.1, Just(json!(4))).boxed()),
        ("cycle_us", count().boxed()),
        ("channel_rate", number().boxed()),
        ("per_message", number().boxed()),
        ("most_waiting", number().boxed()),
        ("worst_transit_us", count().boxed()),
        ("update_cap", count().boxed()),
        ("messages_over_us", count().boxed()),
        (
            "level_kind",
            prop::option::of(prop::sample::select(vec!["ratio", "rps"]).prop_map(Value::from)).boxed(),
        ),
        ("retry_default", count().boxed()),
        ("class_own_zone", prop::option::of(any::<[bool; 3]>().prop_map(|zones| json!(zones))).boxed()),
    ])
}

fn class() -> impl Strategy<Value = Value> {
    let effect = prop::sample::select(vec!["retryable", "dedup", "once"]);
    (effect, count(), count(), number()).prop_map(|(effect, objective, deadline, worth)| {
        json!({"effect": effect, "objective_us": objective.unwrap_or(json!(1)),
            "deadline_us": deadline.unwrap_or(json!(1)), "worth": worth})
    })
}

fn classes() -> impl Strategy<Value = Value> {
    let counts = prop_oneof![4 => 0usize..4, 1 => Just(64usize), 1 => Just(65usize), 1 => Just(130usize)];
    (prop::collection::vec(class(), 4), counts).prop_map(|(templates, count)| {
        let named = |index: usize| {
            let mut class = templates[index % templates.len()].clone();
            class["name"] = json!(format!("c{index}"));
            class
        };
        (0..count).map(named).collect()
    })
}

fn settings() -> impl Strategy<Value = Value> {
    let rules = object(vec![("cold_from", number().boxed()), ("warm_after_us", count().boxed())]);
    let penalties = object(vec![("cross_zone", number().boxed()), ("probe", number().boxed())]);
    (classes(), extra(), rules, penalties, any::<bool>(), count()).prop_map(
        |(classes, extra, rules, penalties, probes, siblings)| {
            json!({"categories": classes, "extra": extra, "rules": rules, "penalties": penalties,
                "limits": {"probes": probes}, "siblings": siblings, "zones": [ZONE],
                "report": {"fields": ["inflight", "queue", "latency_ms"]}})
        },
    )
}

/// The governor's input: the number of replicas and of proxies, and figures at the edges of their ranges. The decoder
/// rejects those that are out of range.
#[derive(Debug, Clone)]
struct Traffic {
    replicas: usize,
    proxies: u16,
    requests_per_second: f64,
    load: f64,
    attempts: u64,
    interval_millis: f64,
    latency_millis: f64,
}

fn traffic() -> impl Strategy<Value = Traffic> {
    let rate = prop::sample::select(vec![0.0, 1e-9, 2.0, 1e6, 1e9, f64::MAX]);
    let load = prop::sample::select(vec![0.0, 0.5, 7.0, 1e6, 1e9, 1e18]);
    let attempts = prop::sample::select(vec![0, 1, 20, 1_000_000, LARGEST_COUNT]);
    let interval = prop::sample::select(vec![1e-3, 1.0, 500.0, 3_600_000.0]);
    let latency = prop::sample::select(vec![0.0, 1e-3, 40.0, 1e7, 1e18, f64::MAX]);
    (0usize..5, 0u16..5, rate, load, attempts, interval, latency).prop_map(
        |(replicas, proxies, requests_per_second, load, attempts, interval_millis, latency_millis)| Traffic {
            replicas,
            proxies,
            requests_per_second,
            load,
            attempts,
            interval_millis,
            latency_millis,
        },
    )
}

/// Sends a governor the messages that its decoder accepts.
struct Peers {
    decoder: Decoder,
    traffic: Traffic,
    classes: usize,
}

impl Peers {
    fn decode(&self, driven: &DrivenGovernor, message: &Value) -> Option<Message> {
        let replicas = driven.governor.replica_names();
        self.decoder.decode(message.to_string().as_bytes(), |name| replicas.get(name).cloned()).ok()
    }

    fn connect(&self, driven: &mut DrivenGovernor, proxy: u16, holds_default_table: bool) {
        let message = json!({"@type": "SUBSCRIBE", "node": proxy, "locality": ZONE,
            "w": self.traffic.requests_per_second, "cold": holds_default_table});
        if let Some(Message::ProxyConnected(connection)) = self.decode(driven, &message) {
            let on_default = connection.held_tables == HeldTables::UncheckedDefault;
            driven.connect(connection.proxy, connection.requests_per_second, on_default);
        }
    }

    fn report(&self, driven: &mut DrivenGovernor) {
        let Traffic { attempts, interval_millis, latency_millis, load, .. } = self.traffic;
        let mut messages = Vec::new();
        for number in 0..self.traffic.replicas {
            messages.push(json!({"@type": "LOAD", "locality": ZONE, "endpoint": format!("r{number}"),
                "total": attempts, "errors": attempts / 3, "rtt": latency_millis, "interval": interval_millis,
                "metrics": {"inflight": load, "queue": load, "latency_ms": load}}));
        }
        for proxy in 0..self.traffic.proxies {
            for class in 0..self.classes.min(3) {
                messages.push(json!({"@type": "RATE", "node": proxy, "route": format!("c{class}"),
                    "total": attempts, "errors": attempts / 2, "interval": interval_millis}));
            }
        }
        for message in &messages {
            if let Some(decoded) = self.decode(driven, message) {
                driven.governor.collector_message(driven.now, decoded);
            }
        }
    }
}

/// Whether all figures of a message are numbers in range. A NaN or an infinity is written as null.
fn is_applicable(part: &Value) -> bool {
    let weights = part["lines"].as_array().into_iter().flatten();
    let mut weights = weights.map(|line| line[1].as_f64());
    let admission = part.get("level").map(Value::as_f64);
    weights.all(|weight| weight.is_some_and(|weight| weight >= 0.0 && weight.is_finite()))
        && admission.is_none_or(|fraction| fraction.is_some_and(|fraction| (0.0..=1.0).contains(&fraction)))
}

proptest! {
    #[test]
    fn accepted_settings_neither_panic_nor_send_invalid_numbers(settings in settings(), traffic in traffic()) {
        let Ok(config) = read_config(&settings) else { return Ok(()) };
        let peers = Peers { decoder: Decoder::new(&config), classes: config.class_names.len(), traffic };
        let mut driven = DrivenGovernor::new(&config);
        let replicas = peers.traffic.replicas;
        let up: Vec<Value> = (0..replicas).map(|number| replica(&format!("r{number}"), "up")).collect();
        driven.send_list(true, &up);
        for proxy in 0..peers.traffic.proxies {
            peers.connect(&mut driven, proxy, proxy % 2 == 0);
        }
        for second in 0..6 {
            peers.report(&mut driven);
            driven.advance_by(20 * STEP);
            if second == 2 && replicas > 0 {
                driven.send_list(false, &[replica("r0", "draining")]);
                driven.disconnect(0);
            }
            if second == 4 {
                driven.send_list(true, &[]);
                peers.connect(&mut driven, 0, false);
            }
            driven.advance_by(20 * STEP);
        }
        for message in &driven.sent {
            for part in &message.parts {
                prop_assert!(is_applicable(part), "{part}");
            }
        }
    }
}
