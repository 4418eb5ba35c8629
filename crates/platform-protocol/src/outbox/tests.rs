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
    entry_count: usize,
}

impl Proxy {
    fn apply(&mut self, message: &[u8]) {
        assert_eq!(message.last(), Some(&b'\n'), "the last part ends with LF");
        let parts = message[..message.len() - 1].split(|byte| *byte == b'\n');
        let parts = parts.map(|part| serde_json::from_slice(part).expect("a part is JSON"));
        let parts: Vec<Value> = parts.collect();
        assert!(parts.len() <= MAX_PARTS_PER_MESSAGE, "a fleet of this size needs no second message");
        for (index, part) in parts.iter().enumerate() {
            assert_eq!(part["@type"], "CONFIG");
            assert_eq!(part["more"].as_bool().unwrap_or(false), index + 1 < parts.len());
            assert!(part.as_object().expect("an object").len() > 1, "an empty part");
            self.apply_part(part);
        }
    }

    fn apply_part(&mut self, part: &Value) {
        let applies_to = |class: &str| {
            part["classes"].as_array().is_none_or(|names| names.iter().any(|name| name == class))
        };
        let strings = |field: &str| -> Vec<String> {
            let values = part[field].as_array().cloned().unwrap_or_default();
            values.iter().map(|name| name.as_str().expect("a name").to_string()).collect()
        };
        let entries = part["lines"].as_array().cloned().unwrap_or_default();
        self.entry_count += entries.len();
        for class in (0..2).filter(|class| applies_to(CLASS_NAMES[*class])) {
            if part["whole"] == true {
                (self.tables[class], self.admissions[class]) = (Some(BTreeMap::new()), DEFAULT_ADMISSION);
            }
            for entry in &entries {
                let table = self.tables[class].get_or_insert_default();
                let (name, weight) =
                    (entry[0].as_str().expect("a name"), entry[1].as_f64().expect("a weight"));
                table.insert(name.to_string(), weight);
                table.retain(|_, weight| *weight > 0.0);
            }
            assert_eq!(part.get("level").is_some(), part.get("retry").is_some());
            if let (Some(fraction), Some(retry_policy)) = (part["level"].as_f64(), part["retry"].as_u64()) {
                self.admissions[class] = (fraction, retry_policy);
            }
        }
        self.ejected.extend(strings("out"));
        self.ejected = &self.ejected - &strings("back").into_iter().collect();
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
            .prop_map(|(table, entries)| Step::UpdateTable(table, entries)),
        3 => (0u16..3, 0u16..4, 0u64..4).prop_map(|(proxy, table, classes)| Step::AssignTable(proxy, table, classes)),
        2 => (0usize..5, any::<bool>()).prop_map(|(replica, ejected)| Step::SetEjected(replica, ejected)),
        1 => (0u64..4, 0u8..4).prop_map(|(classes, quarters)| Step::SetAdmission(classes, quarters)),
        1 => (0u16..3, proptest::option::of(0usize..5)).prop_map(|(proxy, ejected)| Step::Reconnect(proxy, ejected)),
        4 => Just(Step::Flush),
    ];
    proptest::collection::vec(step, 1..60)
}

fn replica_name(index: usize) -> String {
    format!("r{index}")
}

/// Checks the state of the proxies against the decisions in force.
fn check(outbox: &Outbox, proxies: &[Proxy]) -> Result<(), TestCaseError> {
    for (number, stream) in &outbox.streams {
        let proxy = &proxies[usize::from(*number)];
        for (table, classes) in &stream.assigned_tables {
            let table = outbox.tables.get(table).cloned().unwrap_or_default();
            let expected: BTreeMap<String, f64> =
                table.iter().map(|(id, weight)| (id.to_string(), *weight)).collect();
            for class in (0..2).filter(|class| classes >> class & 1 == 1) {
                prop_assert_eq!(proxy.tables[class].as_ref(), Some(&expected));
                let admission = outbox.admissions[class].map_or(DEFAULT_ADMISSION, |admission| {
                    (admission.fraction, u64::from(retry_policy_number(admission.retry_policy)))
                });
                prop_assert_eq!(proxy.admissions[class], admission);
            }
            for id in table.keys() {
                prop_assert_eq!(proxy.ejected.contains(&**id), outbox.ejected.contains(id), "{}", id);
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn a_proxy_that_applies_the_messages_has_the_decided_state(steps in steps()) {
        let mut outbox = Outbox::new(CLASS_NAMES.map(String::from).to_vec(), RetryPolicy::Never);
        let proxy = |_| Proxy { admissions: [DEFAULT_ADMISSION; 2], ..Proxy::default() };
        let mut proxies: Vec<Proxy> = (0..3).map(proxy).collect();
        (0..3).for_each(|proxy| outbox.proxy_connected(proxy));
        for step in steps.into_iter().chain([Step::Flush]) {
            match step {
                Step::UpdateTable(table, entries) => {
                    let entries = entries.iter().map(|(index, weight)| entry(replica_name(*index), f64::from(*weight)));
                    outbox.record(Decision::UpdateTable { table, entries: entries.collect() });
                }
                Step::AssignTable(proxy, table, classes) => {
                    outbox.record(Decision::AssignTable { proxy, table, classes });
                }
                Step::SetEjected(index, ejected) => {
                    outbox.record(Decision::SetEjected { replica: replica_name(index).into(), ejected });
                }
                Step::SetAdmission(classes, quarters) => {
                    outbox.record(Decision::SetAdmission { classes, fraction: f64::from(quarters) / 4.0, retry_policy: RetryPolicy::IfNotExecuted });
                }
                Step::Reconnect(proxy, ejected) => {
                    let state = &mut proxies[usize::from(proxy)];
                    state.ejected.extend(ejected.map(replica_name));
                    state.admissions = [(0.3, 2); 2];
                    outbox.proxy_connected(proxy);
                }
                Step::Flush => {
                    outbox.record(Decision::RequestAcknowledgement(7));
                    let counts: Vec<usize> = proxies.iter().map(|proxy| proxy.nonces.len()).collect();
                    outbox.flush(Duration::ZERO, |proxy, bytes| proxies[usize::from(proxy)].apply(&bytes));
                    let new_nonces = proxies.iter().zip(counts).map(|(proxy, count)| proxy.nonces.len() - count);
                    prop_assert!(new_nonces.max() <= Some(1), "a message has at most one nonce");
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
    assert_eq!((proxies[0].entry_count, proxies[1].entry_count), (3, 0));
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
fn classes_beyond_the_bits_of_a_set_share_table_and_admission_of_the_last_bit() {
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
    let complete = parts.iter().find(|part| part["whole"] == true).expect("a complete table");
    assert!(complete.get("classes").is_none(), "the table is for all classes");
    let reduced = parts.iter().find(|part| part["level"] == 0.5).expect("an admission");
    let expected: Vec<String> = (63..70).map(|class| format!("c{class}")).collect();
    assert_eq!(reduced["classes"], serde_json::json!(expected));
}
