//! Tests the outbox against a small model of a proxy that applies messages as the protocol specifies.

use proptest::prelude::*;
use serde_json::Value;

use wrenthread::types::TableEntry;

use super::wire::{MAX_PARTS_PER_MESSAGE, retry_policy_number};
use super::*;

const CLASS_NAMES: [&str; 2] = ["find", "pay"];
const DEFAULT_ADMISSION: (f64, u64) = (1.0, 0);

/// The state of a proxy. Tables and admissions are by class; a table of `None` is the default table.
#[derive(Default)]
struct Proxy {
    tables: [Option<BTreeMap<String, f64>>; 2],
    admissions: [(f64, u64); 2],
    ejected: BTreeSet<String>,
    nonces: Vec<u64>,
    lines: usize,
}

impl Proxy {
    fn apply(&mut self, message: &[u8]) {
        assert_eq!(message.last(), Some(&b'\n'), "the last part ends with LF");
        let parts = message[..message.len() - 1].split(|byte| *byte == b'\n');
        let parts = parts.map(|part| serde_json::from_slice(part).expect("a part is JSON"));
        let parts: Vec<Value> = parts.collect();
        assert!(parts.len() <= MAX_PARTS_PER_MESSAGE, "a fleet of this size needs no second message");
        for (at, part) in parts.iter().enumerate() {
            assert_eq!(part["@type"], "CONFIG");
            assert_eq!(part["more"].as_bool().unwrap_or(false), at + 1 < parts.len());
            assert!(part.as_object().expect("an object").len() > 1, "an empty part");
            self.apply_part(part);
        }
    }

    fn apply_part(&mut self, part: &Value) {
        let named = |name: &str| part["classes"].as_array().is_none_or(|row| row.iter().any(|it| it == name));
        let texts = |field: &str| -> Vec<String> {
            let row = part[field].as_array().cloned().unwrap_or_default();
            row.iter().map(|name| name.as_str().expect("a name").to_string()).collect()
        };
        let lines = part["lines"].as_array().cloned().unwrap_or_default();
        self.lines += lines.len();
        for place in (0..2).filter(|place| named(CLASS_NAMES[*place])) {
            if part["whole"] == true {
                (self.tables[place], self.admissions[place]) = (Some(BTreeMap::new()), DEFAULT_ADMISSION);
            }
            for line in &lines {
                let table = self.tables[place].get_or_insert_default();
                let (name, weight) = (line[0].as_str().expect("a name"), line[1].as_f64().expect("a weight"));
                table.insert(name.to_string(), weight);
                table.retain(|_, weight| *weight > 0.0);
            }
            assert_eq!(part.get("level").is_some(), part.get("retry").is_some());
            if let (Some(level), Some(retry)) = (part["level"].as_f64(), part["retry"].as_u64()) {
                self.admissions[place] = (level, retry);
            }
        }
        self.ejected.extend(texts("out"));
        self.ejected = &self.ejected - &texts("back").into_iter().collect();
        self.nonces.extend(part["ticket"].as_u64());
    }
}

#[derive(Debug, Clone)]
enum Step {
    UpdateTable(TableId, Vec<(usize, u8)>),
    AssignTable(ProxyId, TableId, ClassSet),
    SetEjected(usize, bool),
    SetAdmission(ClassSet, u8),
    /// The proxy was connected to another governor, which ejected a replica and reduced admission.
    Reconnect(ProxyId, Option<usize>),
    Flush,
}

fn entry(replica: impl Into<ReplicaId>, weight: f64) -> TableEntry {
    TableEntry { replica: replica.into(), weight }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0u16..4, proptest::collection::vec((0usize..5, 0u8..3), 1..4))
            .prop_map(|(table, lines)| Step::UpdateTable(table, lines)),
        3 => (0u16..3, 0u16..4, 0u64..4).prop_map(|(proxy, table, of)| Step::AssignTable(proxy, table, of)),
        2 => (0usize..5, any::<bool>()).prop_map(|(replica, ejected)| Step::SetEjected(replica, ejected)),
        1 => (0u64..4, 0u8..4).prop_map(|(classes, level)| Step::SetAdmission(classes, level)),
        1 => (0u16..3, proptest::option::of(0usize..5)).prop_map(|(proxy, ejected)| Step::Reconnect(proxy, ejected)),
        4 => Just(Step::Flush),
    ];
    proptest::collection::vec(step, 1..60)
}

fn name(at: usize) -> String {
    format!("r{at}")
}

/// Checks the state of the proxies against the decisions in force.
fn check(outbox: &Outbox, proxies: &[Proxy]) -> Result<(), TestCaseError> {
    for (number, stream) in &outbox.streams {
        let proxy = &proxies[usize::from(*number)];
        for (table, classes) in &stream.assigned_tables {
            let held = outbox.tables.get(table).cloned().unwrap_or_default();
            let wanted: BTreeMap<String, f64> = held.iter().map(|(id, it)| (id.to_string(), *it)).collect();
            for place in (0..2).filter(|place| classes >> place & 1 == 1) {
                prop_assert_eq!(proxy.tables[place].as_ref(), Some(&wanted));
                let level = outbox.admissions[place].map_or(DEFAULT_ADMISSION, |admission| {
                    (admission.fraction, u64::from(retry_policy_number(admission.retry_policy)))
                });
                prop_assert_eq!(proxy.admissions[place], level);
            }
            for id in held.keys() {
                prop_assert_eq!(proxy.ejected.contains(&**id), outbox.ejected.contains(id), "{}", id);
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn a_proxy_that_applies_the_messages_holds_what_was_decided(steps in steps()) {
        let mut outbox = Outbox::new(CLASS_NAMES.map(String::from).to_vec(), RetryPolicy::Never);
        let proxy = |_| Proxy { admissions: [DEFAULT_ADMISSION; 2], ..Proxy::default() };
        let mut proxies: Vec<Proxy> = (0..3).map(proxy).collect();
        (0..3).for_each(|proxy| outbox.proxy_connected(proxy));
        for step in steps.into_iter().chain([Step::Flush]) {
            match step {
                Step::UpdateTable(table, lines) => {
                    let lines = lines.iter().map(|(at, weight)| entry(name(*at), f64::from(*weight)));
                    outbox.record(Decision::UpdateTable { table, entries: lines.collect() });
                }
                Step::AssignTable(proxy, table, classes) => {
                    outbox.record(Decision::AssignTable { proxy, table, classes });
                }
                Step::SetEjected(at, ejected) => {
                    outbox.record(Decision::SetEjected { replica: name(at).into(), ejected });
                }
                Step::SetAdmission(classes, level) => {
                    outbox.record(Decision::SetAdmission { classes, fraction: f64::from(level) / 4.0, retry_policy: RetryPolicy::IfNotExecuted });
                }
                Step::Reconnect(proxy, ejected) => {
                    let held = &mut proxies[usize::from(proxy)];
                    held.ejected.extend(ejected.map(name));
                    held.admissions = [(0.3, 2); 2];
                    outbox.proxy_connected(proxy);
                }
                Step::Flush => {
                    outbox.record(Decision::RequestAcknowledgement(7));
                    let before: Vec<usize> = proxies.iter().map(|proxy| proxy.nonces.len()).collect();
                    outbox.flush(Duration::ZERO, |proxy, bytes| proxies[usize::from(proxy)].apply(&bytes));
                    let news = proxies.iter().zip(before).map(|(proxy, before)| proxy.nonces.len() - before);
                    prop_assert!(news.max() <= Some(1), "a message has at most one nonce");
                    check(&outbox, &proxies)?;
                }
            }
        }
    }
}

#[test]
fn sends_changes_only_and_no_empty_message() {
    let mut outbox = Outbox::new(CLASS_NAMES.map(String::from).to_vec(), RetryPolicy::Never);
    let mut proxies = [Proxy::default(), Proxy::default()];
    (0..2).for_each(|proxy| outbox.proxy_connected(proxy));
    outbox.record(Decision::UpdateTable { table: 1, entries: vec![entry("r1", 1.0), entry("r2", 2.0)] });
    outbox.record(Decision::AssignTable { proxy: 0, table: 1, classes: 0 });
    outbox.flush(Duration::ZERO, |proxy, bytes| proxies[usize::from(proxy)].apply(&bytes));
    outbox.record(Decision::UpdateTable { table: 1, entries: vec![entry("r2", 0.0)] });
    outbox.flush(Duration::ZERO, |proxy, bytes| proxies[usize::from(proxy)].apply(&bytes));
    outbox.record(Decision::RequestAcknowledgement(3));
    outbox.flush(Duration::ZERO, |_, bytes| panic!("{}", String::from_utf8_lossy(&bytes)));
    assert_eq!((proxies[0].lines, proxies[1].lines), (3, 0));
}

#[test]
fn an_acknowledgement_counts_once_and_only_if_outstanding() {
    let mut outbox = Outbox::new(CLASS_NAMES.map(String::from).to_vec(), RetryPolicy::Never);
    outbox.proxy_connected(0);
    let (sent, later) = (Duration::from_secs(10), Duration::from_secs(12));
    outbox.record(Decision::AssignTable { proxy: 0, table: 1, classes: 0 });
    outbox.record(Decision::RequestAcknowledgement(9));
    outbox.flush(sent, |_, _| {});
    assert!(!outbox.acknowledge(later, 0, 8, Duration::from_secs(1)), "unknown nonce");
    assert!(!outbox.acknowledge(later, 0, 9, Duration::from_secs(3)), "claims more time than has passed");
    assert!(outbox.acknowledge(later, 0, 9, Duration::from_secs(1)));
    assert!(!outbox.acknowledge(later, 0, 9, Duration::from_secs(1)), "acknowledged already");
}

/// Guards against a shift out of range: a set has 64 bits, and classes beyond them share the last one.
#[test]
fn classes_beyond_the_bits_of_a_set_have_table_and_admission_of_the_last_that_has_one() {
    let names: Vec<String> = (0..70).map(|class| format!("c{class}")).collect();
    let mut outbox = Outbox::new(names, RetryPolicy::Never);
    outbox.proxy_connected(1);
    let entries = vec![TableEntry { replica: "r".into(), weight: 1.0 }];
    outbox.record(Decision::UpdateTable { table: 2, entries });
    outbox.record(Decision::AssignTable { proxy: 1, table: 2, classes: ClassSet::MAX });
    let last = 1 << 63;
    outbox.record(Decision::SetAdmission { classes: last, fraction: 0.5, retry_policy: RetryPolicy::Never });
    let mut sent = Vec::new();
    outbox.flush(Duration::ZERO, |_, bytes| sent.push(bytes));
    let parts = sent[0].split(|byte| *byte == b'\n').filter(|part| !part.is_empty());
    let parts: Vec<Value> = parts.map(|part| serde_json::from_slice(part).expect("JSON")).collect();
    let whole = parts.iter().find(|part| part["whole"] == true).expect("a complete table");
    assert!(whole.get("classes").is_none(), "the table is for all classes");
    let reduced = parts.iter().find(|part| part["level"] == 0.5).expect("an admission");
    let expected: Vec<String> = (63..70).map(|class| format!("c{class}")).collect();
    assert_eq!(reduced["classes"], serde_json::json!(expected));
}
