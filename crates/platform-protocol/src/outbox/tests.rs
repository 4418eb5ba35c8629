//! The bookkeeping against a small model of a proxy that does what the platform's page says of orders.

use proptest::prelude::*;
use serde_json::Value;

use wrenthread::types::TableEntry;

use super::*;

const CLASSES: [&str; 2] = ["find", "pay"];
const USUAL: (f64, u64) = (1.0, 0);

/// What a proxy holds. Its tables are by group; none for a standing one that nobody ordered.
#[derive(Default)]
struct Proxy {
    tables: [Option<BTreeMap<String, f64>>; 2],
    levels: [(f64, u64); 2],
    shut: BTreeSet<String>,
    tickets: Vec<u64>,
    lines: usize,
}

impl Proxy {
    fn heed(&mut self, message: &[u8]) {
        assert_eq!(message.last(), Some(&b'\n'), "a message ends with its last part");
        let parts = message[..message.len() - 1].split(|byte| *byte == b'\n');
        let parts = parts.map(|part| serde_json::from_slice(part).expect("a part is JSON"));
        let parts: Vec<Value> = parts.collect();
        assert!(parts.len() <= MAX_PARTS_PER_MESSAGE, "no part is over the bound in so small a fleet");
        for (at, part) in parts.iter().enumerate() {
            assert_eq!(part["@type"], "CONFIG");
            assert_eq!(part["more"].as_bool().unwrap_or(false), at + 1 < parts.len());
            assert!(part.as_object().expect("an object").len() > 1, "an empty part");
            self.part(part);
        }
    }

    fn part(&mut self, part: &Value) {
        let named = |name: &str| part["classes"].as_array().is_none_or(|row| row.iter().any(|it| it == name));
        let texts = |field: &str| -> Vec<String> {
            let row = part[field].as_array().cloned().unwrap_or_default();
            row.iter().map(|name| name.as_str().expect("a name").to_string()).collect()
        };
        let lines = part["lines"].as_array().cloned().unwrap_or_default();
        self.lines += lines.len();
        for place in (0..2).filter(|place| named(CLASSES[*place])) {
            if part["whole"] == true {
                (self.tables[place], self.levels[place]) = (Some(BTreeMap::new()), USUAL);
            }
            for line in &lines {
                let table = self.tables[place].get_or_insert_default();
                let (name, weight) = (line[0].as_str().expect("a name"), line[1].as_f64().expect("a weight"));
                table.insert(name.to_string(), weight);
                table.retain(|_, weight| *weight > 0.0);
            }
            assert_eq!(part.get("level").is_some(), part.get("retry").is_some());
            if let (Some(level), Some(retry)) = (part["level"].as_f64(), part["retry"].as_u64()) {
                self.levels[place] = (level, retry);
            }
        }
        self.shut.extend(texts("out"));
        self.shut = &self.shut - &texts("back").into_iter().collect();
        self.tickets.extend(part["ticket"].as_u64());
    }
}

#[derive(Debug, Clone)]
enum Step {
    Lines(TableId, Vec<(usize, u8)>),
    Follow(ProxyId, TableId, ClassSet),
    Withdraw(usize, bool),
    Level(ClassSet, u8),
    /// The proxy has been elsewhere, where a replica was withdrawn and its levels were cut.
    Rejoin(ProxyId, Option<usize>),
    Flush,
}

fn entry(replica: impl Into<ReplicaId>, weight: f64) -> TableEntry {
    TableEntry { replica: replica.into(), weight }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0u16..4, proptest::collection::vec((0usize..5, 0u8..3), 1..4))
            .prop_map(|(table, lines)| Step::Lines(table, lines)),
        3 => (0u16..3, 0u16..4, 0u64..4).prop_map(|(proxy, table, of)| Step::Follow(proxy, table, of)),
        2 => (0usize..5, any::<bool>()).prop_map(|(replica, out)| Step::Withdraw(replica, out)),
        1 => (0u64..4, 0u8..4).prop_map(|(classes, level)| Step::Level(classes, level)),
        1 => (0u16..3, proptest::option::of(0usize..5)).prop_map(|(proxy, out)| Step::Rejoin(proxy, out)),
        4 => Just(Step::Flush),
    ];
    proptest::collection::vec(step, 1..60)
}

fn name(at: usize) -> String {
    format!("r{at}")
}

/// What a proxy that follows tables must send by, and what it must heed.
fn check(outbox: &Outbox, proxies: &[Proxy]) -> Result<(), TestCaseError> {
    for (number, stream) in &outbox.streams {
        let proxy = &proxies[usize::from(*number)];
        for (table, classes) in &stream.follows {
            let held = outbox.tables.get(table).cloned().unwrap_or_default();
            let wanted: BTreeMap<String, f64> = held.iter().map(|(id, it)| (id.to_string(), *it)).collect();
            for place in (0..2).filter(|place| classes >> place & 1 == 1) {
                prop_assert_eq!(proxy.tables[place].as_ref(), Some(&wanted));
                let level =
                    outbox.levels[place].map_or(USUAL, |(level, tries)| (level, u64::from(retry(tries))));
                prop_assert_eq!(proxy.levels[place], level);
            }
            for id in held.keys() {
                prop_assert_eq!(proxy.shut.contains(&**id), outbox.out.contains(id), "{}", id);
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn a_proxy_holds_what_was_decided(steps in steps()) {
        let mut outbox = Outbox::new(CLASSES.map(String::from).to_vec(), RetryPolicy::Never);
        let proxy = |_| Proxy { levels: [USUAL; 2], ..Proxy::default() };
        let mut proxies: Vec<Proxy> = (0..3).map(proxy).collect();
        (0..3).for_each(|proxy| outbox.proxy_connected(proxy));
        for step in steps.into_iter().chain([Step::Flush]) {
            match step {
                Step::Lines(table, lines) => {
                    let lines = lines.iter().map(|(at, weight)| entry(name(*at), f64::from(*weight)));
                    outbox.record(Decision::UpdateTable { table, entries: lines.collect() });
                }
                Step::Follow(proxy, table, classes) => {
                    outbox.record(Decision::AssignTable { proxy, table, classes });
                }
                Step::Withdraw(at, out) => {
                    outbox.record(Decision::SetEjected { replica: name(at).into(), ejected: out });
                }
                Step::Level(classes, level) => {
                    outbox.record(Decision::SetAdmission { classes, fraction: f64::from(level) / 4.0, retry_policy: RetryPolicy::IfNotExecuted });
                }
                Step::Rejoin(proxy, out) => {
                    let held = &mut proxies[usize::from(proxy)];
                    held.shut.extend(out.map(name));
                    held.levels = [(0.3, 2); 2];
                    outbox.proxy_connected(proxy);
                }
                Step::Flush => {
                    outbox.record(Decision::RequestAcknowledgement(7));
                    let before: Vec<usize> = proxies.iter().map(|proxy| proxy.tickets.len()).collect();
                    outbox.flush(Duration::ZERO, |proxy, bytes| proxies[usize::from(proxy)].heed(&bytes));
                    let news = proxies.iter().zip(before).map(|(proxy, before)| proxy.tickets.len() - before);
                    prop_assert!(news.max() <= Some(1), "a message has one ticket");
                    check(&outbox, &proxies)?;
                }
            }
        }
    }
}

#[test]
fn nothing_empty_is_sent_and_what_stands_is_not_sent_again() {
    let mut outbox = Outbox::new(CLASSES.map(String::from).to_vec(), RetryPolicy::Never);
    let mut proxies = [Proxy::default(), Proxy::default()];
    (0..2).for_each(|proxy| outbox.proxy_connected(proxy));
    outbox.record(Decision::UpdateTable { table: 1, entries: vec![entry("r1", 1.0), entry("r2", 2.0)] });
    outbox.record(Decision::AssignTable { proxy: 0, table: 1, classes: 0 });
    outbox.flush(Duration::ZERO, |proxy, bytes| proxies[usize::from(proxy)].heed(&bytes));
    outbox.record(Decision::UpdateTable { table: 1, entries: vec![entry("r2", 0.0)] });
    outbox.flush(Duration::ZERO, |proxy, bytes| proxies[usize::from(proxy)].heed(&bytes));
    outbox.record(Decision::RequestAcknowledgement(3));
    outbox.flush(Duration::ZERO, |_, bytes| panic!("{}", String::from_utf8_lossy(&bytes)));
    assert_eq!((proxies[0].lines, proxies[1].lines), (3, 0));
}

#[test]
fn an_answer_counts_once_and_only_if_it_is_owed() {
    let mut outbox = Outbox::new(CLASSES.map(String::from).to_vec(), RetryPolicy::Never);
    outbox.proxy_connected(0);
    let (sent, later) = (Duration::from_secs(10), Duration::from_secs(12));
    outbox.record(Decision::AssignTable { proxy: 0, table: 1, classes: 0 });
    outbox.record(Decision::RequestAcknowledgement(9));
    outbox.flush(sent, |_, _| {});
    assert!(!outbox.acknowledge(later, 0, 8, Duration::from_secs(1)), "no such nonce");
    assert!(!outbox.acknowledge(later, 0, 9, Duration::from_secs(3)), "it took longer than it has been");
    assert!(outbox.acknowledge(later, 0, 9, Duration::from_secs(1)));
    assert!(!outbox.acknowledge(later, 0, 9, Duration::from_secs(1)), "answered already");
}
