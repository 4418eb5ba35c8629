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
    /// It succeeded.
    Delivered,
    /// It was not admitted.
    Blocked,
    /// It failed.
    Dropped,
}

/// A worker as the roster file says it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Listed {
    /// The replica's number.
    pub worker: usize,
    /// Whether it is listed as ready.
    pub ready: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// The fleet, at the head of the tape: each worker's hall, each relay's hall and standing table.
    Fleet {
        /// Each replica's zone.
        workers: Vec<usize>,
        /// Each proxy's zone and default table.
        relays: Vec<(usize, Vec<usize>)>,
    },
    /// The roster file was replaced.
    Roster {
        /// The list.
        listed: Vec<Listed>,
    },
    /// A governor started or ended.
    Governor {
        /// The governor's number.
        governor: usize,
        /// Whether it runs from now on.
        up: bool,
    },
    /// A governor's roster file is not replaced any more, or is again.
    Stale {
        /// The governor's number.
        governor: usize,
        /// Whether it is not replaced any more.
        stale: bool,
    },
    /// A worker's process began, cold (or, at the day's start, warm).
    Started {
        /// The replica's number.
        worker: usize,
        /// Whether it has just started.
        cold: bool,
    },
    /// A relay's first message on a stream of the governor's.
    Joined {
        /// The proxy's number.
        relay: usize,
        /// The governor's number.
        governor: usize,
    },
    /// A proxy's stream broke.
    Broken {
        /// The proxy's number.
        relay: usize,
    },
    /// A response of the governor's: its nonce, and for tables the open lines by group, and the levels.
    Order {
        /// The proxy's number.
        relay: usize,
        /// The governor's number.
        governor: usize,
        /// The message's nonce.
        nonce: String,
        /// Table entries in it.
        lines: usize,
        /// By class: the replicas that may be sent to, and the admission fraction.
        tables: BTreeMap<String, (Vec<usize>, f64)>,
    },
    /// What the relay said to it.
    Answer {
        /// The proxy's number.
        relay: usize,
        /// The message's nonce.
        nonce: String,
        /// Whether the proxy took it.
        taken: bool,
    },
    /// A proxy sent a load report.
    Report {
        /// The proxy's number.
        relay: usize,
        /// Whether it was held back.
        late: bool,
    },
    /// A request came to a proxy.
    Came {
        /// The request's number.
        flow: u64,
        /// The proxy's number.
        relay: usize,
        /// Its traffic class.
        group: usize,
    },
    /// A proxy sent it to a replica.
    Try {
        /// The request's number.
        flow: u64,
        /// The proxy's number.
        relay: usize,
        /// The replica's number.
        worker: usize,
    },
    /// A worker took a try in.
    Got {
        /// The request's number.
        flow: u64,
        /// The replica's number.
        worker: usize,
    },
    /// A worker has done the flow's work: what it does to the world is done.
    Effect {
        /// The request's number.
        flow: u64,
        /// The replica's number.
        worker: usize,
        /// Its traffic class.
        group: usize,
    },
    /// It ended.
    Ended {
        /// The request's number.
        flow: u64,
        /// How.
        end: End,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Seconds since the day's start.
    pub at: f64,
    /// What happened.
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
    /// An empty log that begins now.
    pub fn new() -> Self {
        Tape { start: Instant::now(), entries: Rc::default(), watcher: Rc::default() }
    }

    /// Seconds since it began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds an entry, at the present time.
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

    /// All entries so far; the log is empty from then on.
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
/// Table entries that a message costs beside its own.
pub const HEAD_LINES: f64 = 10.0;
/// Table entries that may be queued.
pub const WAITING_MOST: f64 = 4000.0;
/// Messages to one proxy within so many seconds.
pub const MESSAGES: (usize, f64) = (40, 10.0);

/// What a cold worker can do, as a share of what it can once warm.
pub fn capacity(day: &Day, age: f64) -> f64 {
    (day.cold_share + (1.0 - day.cold_share) * age / day.warm_after).min(1.0)
}
