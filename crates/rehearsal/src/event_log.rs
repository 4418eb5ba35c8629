//! Everything that crossed a socket, with its time and both ends. Checkers read this and nothing else.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use serde::Serialize;
use wrenthread_settings::day::Day;

/// How a flow ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    Delivered,
    Blocked,
    Dropped,
}

/// A worker as the roster file says it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Listed {
    pub worker: usize,
    pub ready: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// The fleet, at the head of the tape: each worker's hall, each relay's hall and standing table.
    Fleet {
        workers: Vec<usize>,
        relays: Vec<(usize, Vec<usize>)>,
    },
    /// The roster file was replaced.
    Roster {
        listed: Vec<Listed>,
    },
    Governor {
        governor: usize,
        up: bool,
    },
    /// A governor's roster file is not replaced any more, or is again.
    Stale {
        governor: usize,
        stale: bool,
    },
    /// A worker's process began, cold (or, at the day's start, warm).
    Started {
        worker: usize,
        cold: bool,
    },
    /// A relay's first message on a stream of the governor's.
    Joined {
        relay: usize,
        governor: usize,
    },
    Broken {
        relay: usize,
    },
    /// A response of the governor's: its nonce, and for tables the open lines by group, and the levels.
    Order {
        relay: usize,
        governor: usize,
        nonce: String,
        lines: usize,
        tables: BTreeMap<String, (Vec<usize>, f64)>,
    },
    /// What the relay said to it.
    Answer {
        relay: usize,
        nonce: String,
        taken: bool,
    },
    Report {
        relay: usize,
        late: bool,
    },
    Came {
        flow: u64,
        relay: usize,
        group: usize,
    },
    Try {
        flow: u64,
        relay: usize,
        worker: usize,
    },
    /// A worker took a try in.
    Got {
        flow: u64,
        worker: usize,
    },
    /// A worker has done the flow's work: what it does to the world is done.
    Effect {
        flow: u64,
        worker: usize,
        group: usize,
    },
    Ended {
        flow: u64,
        end: End,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Seconds since the day's start.
    pub at: f64,
    #[serde(flatten)]
    pub what: What,
}

type Watcher = Box<dyn FnMut(&Entry)>;

/// The tape of a running day. All that writes to it runs on one thread.
#[derive(Clone)]
pub struct Tape {
    start: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
    watcher: Rc<RefCell<Option<Watcher>>>,
}

impl Tape {
    pub fn new() -> Self {
        Tape { start: Instant::now(), entries: Rc::default(), watcher: Rc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, what: What) {
        let entry = Entry { at: self.now(), what };
        if let Some(watcher) = self.watcher.borrow_mut().as_mut() {
            watcher(&entry);
        }
        self.entries.borrow_mut().push(entry);
    }

    /// Has every later entry seen by a watcher, as it is written. It must not write itself.
    pub fn watch(&self, watcher: impl FnMut(&Entry) + 'static) {
        *self.watcher.borrow_mut() = Some(Box::new(watcher));
    }

    pub fn take(&self) -> Vec<Entry> {
        self.entries.take()
    }
}

impl Default for Tape {
    fn default() -> Self {
        Tape::new()
    }
}

/// The names of the day's three traffic groups, in order, as orders spell them.
pub const GROUPS: [&str; 3] = ["plate-match", "space-count", "exit-charge"];
/// By group: latency budget and expiry in seconds, share of the flows.
pub const FLOWS: [(f64, f64, f64); 3] = [(2.0, 5.0, 0.5), (1.0, 2.5, 0.3), (2.0, 5.0, 0.2)];
/// The group whose effect must never happen twice.
pub const NON_RETRIABLE: usize = 2;
/// What the governor is told of its channel, for settings and checker alike.
pub const LINES_PER_S: f64 = 4000.0;
pub const HEAD_LINES: f64 = 10.0;
pub const WAITING_MOST: f64 = 4000.0;
pub const MESSAGES: (usize, f64) = (40, 10.0);

/// What a cold worker can do, as a share of what it can once warm.
pub fn capacity(day: &Day, age: f64) -> f64 {
    (day.cold_share + (1.0 - day.cold_share) * age / day.warm_after).min(1.0)
}
