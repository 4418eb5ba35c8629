//! Compares the exact bytes sent on streams with a golden file.
//!
//! The platform reads these bytes: the file changes only if the protocol does.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::fmt::Write;
use std::time::Duration;

use wrenthread::types::{Decision, RetryPolicy, TableEntry};
use wrenthread_platform_protocol::outbox::Outbox;

const GOLDEN: &str = include_str!("golden/orders.txt");
const RETRY_POLICIES: [RetryPolicy; 3] =
    [RetryPolicy::Never, RetryPolicy::IfNotExecuted, RetryPolicy::OnAnyFailure];

fn class_names() -> Vec<String> {
    ["lookup", "order", "refund"].map(String::from).to_vec()
}

fn entry(replica: &str, weight: f64) -> TableEntry {
    TableEntry { replica: replica.into(), weight }
}

/// Ends a pull, and appends the title and each proxy's message to the transcript.
fn record(transcript: &mut String, outbox: &mut Outbox, title: &str) {
    writeln!(transcript, "# {title}").unwrap();
    outbox.flush(Duration::ZERO, |proxy, bytes| {
        write!(transcript, "proxy {proxy}\n{}", String::from_utf8(bytes).unwrap()).unwrap();
    });
}

/// Appends a message with every kind of part, and a later one that changes some of them.
fn record_every_part(transcript: &mut String) {
    let mut outbox = Outbox::new(class_names(), RetryPolicy::OnAnyFailure);
    outbox.proxy_connected(17);
    outbox.proxy_connected(3);
    let entries = vec![entry("s-5be2a07c", 1.5), entry("s-0badcafe", 0.2), entry("s-77aa0310", 1.0)];
    let decisions = [
        Decision::SetEjected { replica: "s-77aa0310".into(), ejected: true },
        Decision::UpdateTable { table: 4, entries },
        Decision::UpdateTable { table: 9, entries: vec![entry("s-5be2a07c", 2.0)] },
        Decision::AssignTable { proxy: 17, table: 4, classes: 3 },
        Decision::AssignTable { proxy: 17, table: 9, classes: 4 },
        Decision::AssignTable { proxy: 3, table: 5, classes: 0 },
        Decision::SetAdmission { classes: 3, fraction: 0.9, retry_policy: RetryPolicy::IfNotExecuted },
        Decision::SetAdmission { classes: 4, fraction: 0.25, retry_policy: RetryPolicy::Never },
        Decision::RequestAcknowledgement(905),
    ];
    for decision in decisions {
        outbox.record(decision);
    }
    record(transcript, &mut outbox, "tables, levels and a mark");
    let decisions = [
        Decision::SetEjected { replica: "s-77aa0310".into(), ejected: false },
        Decision::SetEjected { replica: "s-0badcafe".into(), ejected: true },
        Decision::UpdateTable {
            table: 4,
            entries: vec![entry("s-0badcafe", 0.0), entry("s-new", 0.1 + 0.2)],
        },
        Decision::SetAdmission { classes: 0, fraction: 1.0, retry_policy: RetryPolicy::OnAnyFailure },
        Decision::RequestAcknowledgement(65535),
    ];
    for decision in decisions {
        outbox.record(decision);
    }
    record(transcript, &mut outbox, "changes");
}

/// A linear congruential generator, which generates the same decisions on every machine.
struct Generator {
    state: u64,
}

impl Generator {
    fn below(&mut self, bound: u64) -> u64 {
        self.state = self.state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.state >> 33) % bound
    }

    fn entries(&mut self) -> Vec<TableEntry> {
        let large = self.below(400) == 0;
        let count = if large { 4500 } else { self.below(5) };
        let mut entries = Vec::new();
        for index in 0..count {
            let name = if large { format!("s-{index}") } else { format!("s-{}", self.below(9)) };
            entries.push(entry(&name, self.below(4) as f64 / 3.0));
        }
        entries
    }

    /// Connects or disconnects a proxy, or records a decision.
    fn apply_random_step(&mut self, outbox: &mut Outbox, pull: u64) {
        match self.below(12) {
            0 => outbox.proxy_connected(self.below(6) as u16),
            1 => outbox.proxy_disconnected(self.below(6) as u16),
            2..=5 => {
                let table = self.below(5) as u16;
                let entries = self.entries();
                outbox.record(Decision::UpdateTable { table, entries });
            }
            6 | 7 => {
                let proxy = self.below(6) as u16;
                let table = self.below(5) as u16;
                let classes = self.below(8);
                outbox.record(Decision::AssignTable { proxy, table, classes });
            }
            8 | 9 => {
                let replica = format!("s-{}", self.below(9)).into();
                let ejected = self.below(2) == 0;
                outbox.record(Decision::SetEjected { replica, ejected });
            }
            10 => {
                let classes = self.below(8);
                let fraction = self.below(5) as f64 / 4.0;
                let retry_policy = RETRY_POLICIES[self.below(3) as usize];
                outbox.record(Decision::SetAdmission { classes, fraction, retry_policy });
            }
            _ => {
                outbox.record(Decision::RequestAcknowledgement(pull as u16));
            }
        }
    }
}

/// Appends the FNV-1a digest and the length of the bytes that 3,000 generated pulls send.
fn record_generated_pulls(transcript: &mut String) {
    let mut outbox = Outbox::new(class_names(), RetryPolicy::IfNotExecuted);
    let mut generator = Generator { state: 1 };
    let mut digest: u64 = 0xcbf29ce484222325;
    let mut length = 0;
    for pull in 0..3000 {
        for _ in 0..1 + generator.below(6) {
            generator.apply_random_step(&mut outbox, pull);
        }
        if pull % 50 == 49 {
            let removed = format!("s-{}", generator.below(9));
            outbox.retain_replicas(|replica| **replica != *removed);
        }
        outbox.flush(Duration::from_secs(pull), |proxy, bytes| {
            length += bytes.len();
            for byte in proxy.to_le_bytes().iter().chain(&bytes) {
                digest = (digest ^ u64::from(*byte)).wrapping_mul(0x100000001b3);
            }
        });
    }
    writeln!(transcript, "# digest {digest:#x} length {length}").unwrap();
}

#[test]
fn messages_equal_the_golden_file() {
    let mut transcript = String::new();
    record_every_part(&mut transcript);
    record_generated_pulls(&mut transcript);
    assert_eq!(transcript, GOLDEN);
}
