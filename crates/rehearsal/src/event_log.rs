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
pub enum RequestOutcome {
    /// It succeeded.
    #[serde(rename = "delivered")]
    Succeeded,
    /// It was not admitted.
    #[serde(rename = "blocked")]
    Rejected,
    /// It failed.
    #[serde(rename = "dropped")]
    Failed,
}

/// A worker as the roster file says it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RosterEntry {
    /// The replica's number.
    #[serde(rename = "worker")]
    pub replica: usize,
    /// Whether it is listed as ready.
    pub ready: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The fleet, at the head of the tape: each worker's hall, each relay's hall and standing table.
    Fleet {
        /// Each replica's zone.
        #[serde(rename = "workers")]
        replicas: Vec<usize>,
        /// Each proxy's zone and default table.
        #[serde(rename = "relays")]
        proxies: Vec<(usize, Vec<usize>)>,
    },
    /// The roster file was replaced.
    Roster {
        /// The list.
        #[serde(rename = "listed")]
        roster_entries: Vec<RosterEntry>,
    },
    /// A governor started or ended.
    Governor {
        /// The governor's number.
        governor: usize,
        /// Whether it runs from now on.
        up: bool,
    },
    /// A governor's roster file is not replaced any more, or is again.
    #[serde(rename = "stale")]
    StaleRoster {
        /// The governor's number.
        governor: usize,
        /// Whether it is not replaced any more.
        stale: bool,
    },
    /// A worker's process began, cold (or, at the day's start, warm).
    Started {
        /// The replica's number.
        #[serde(rename = "worker")]
        replica: usize,
        /// Whether it has just started.
        cold: bool,
    },
    /// A relay's first message on a stream of the governor's.
    Joined {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// The governor's number.
        governor: usize,
    },
    /// A proxy's stream broke.
    #[serde(rename = "broken")]
    StreamBroken {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
    },
    /// A response of the governor's: its nonce, and for tables the open lines by group, and the levels.
    #[serde(rename = "order")]
    TableUpdate {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// The governor's number.
        governor: usize,
        /// The message's nonce.
        nonce: String,
        /// Table entries in it.
        #[serde(rename = "lines")]
        entries: usize,
        /// By class: the replicas that may be sent to, and the admission fraction.
        tables: BTreeMap<String, (Vec<usize>, f64)>,
    },
    /// What the relay said to it.
    #[serde(rename = "answer")]
    UpdateAnswered {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// The message's nonce.
        nonce: String,
        /// Whether the proxy took it.
        #[serde(rename = "taken")]
        accepted: bool,
    },
    /// A proxy sent a load report.
    Report {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// Whether it was held back.
        #[serde(rename = "late")]
        delayed: bool,
    },
    /// A request came to a proxy.
    #[serde(rename = "came")]
    RequestArrived {
        /// The request's number.
        #[serde(rename = "flow")]
        request: u64,
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// Its traffic class.
        #[serde(rename = "group")]
        class: usize,
    },
    /// A proxy sent it to a replica.
    #[serde(rename = "try")]
    AttemptSent {
        /// The request's number.
        #[serde(rename = "flow")]
        request: u64,
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// The replica's number.
        #[serde(rename = "worker")]
        replica: usize,
    },
    /// A worker took a try in.
    #[serde(rename = "got")]
    AttemptReceived {
        /// The request's number.
        #[serde(rename = "flow")]
        request: u64,
        /// The replica's number.
        #[serde(rename = "worker")]
        replica: usize,
    },
    /// A worker has done the flow's work: what it does to the world is done.
    #[serde(rename = "effect")]
    EffectApplied {
        /// The request's number.
        #[serde(rename = "flow")]
        request: u64,
        /// The replica's number.
        #[serde(rename = "worker")]
        replica: usize,
        /// Its traffic class.
        #[serde(rename = "group")]
        class: usize,
    },
    /// It ended.
    #[serde(rename = "ended")]
    RequestEnded {
        /// The request's number.
        #[serde(rename = "flow")]
        request: u64,
        /// How.
        #[serde(rename = "end")]
        outcome: RequestOutcome,
    },
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Seconds since the day's start.
    pub at: f64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

type LogObserver = Box<dyn FnMut(&Entry)>;

/// The tape of a running day. All that writes to it runs on one thread.
#[derive(Clone)]
pub struct EventLog {
    start: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
    observer: Rc<RefCell<Option<LogObserver>>>,
}

impl EventLog {
    /// An empty log that begins now.
    pub fn new() -> Self {
        EventLog { start: Instant::now(), entries: Rc::default(), observer: Rc::default() }
    }

    /// Seconds since it began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds an entry, at the present time.
    pub fn record(&self, event: Event) {
        let entry = Entry { at: self.now(), event };
        if let Some(observer) = self.observer.borrow_mut().as_mut() {
            observer(&entry);
        }
        self.entries.borrow_mut().push(entry);
    }

    /// Has every later entry seen by a watcher, as it is written. It must not write itself.
    pub fn set_observer(&self, observer: impl FnMut(&Entry) + 'static) {
        *self.observer.borrow_mut() = Some(Box::new(observer));
    }

    /// All entries so far; the log is empty from then on.
    pub fn take(&self) -> Vec<Entry> {
        self.entries.take()
    }
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog::new()
    }
}

/// The names of the day's three traffic groups, in order, as orders spell them.
pub const CLASSES: [&str; 3] = ["plate-match", "space-count", "exit-charge"];
/// By group: latency budget and expiry in seconds, share of the flows.
pub const CLASS_TRAFFIC: [(f64, f64, f64); 3] = [(2.0, 5.0, 0.5), (1.0, 2.5, 0.3), (2.0, 5.0, 0.2)];
/// The group whose effect must never happen twice.
pub const NON_RETRIABLE: usize = 2;
/// What the governor is told of its channel, for settings and checker alike.
pub const ENTRIES_PER_SECOND: f64 = 4000.0;
/// Table entries that a message costs beside its own.
pub const MESSAGE_OVERHEAD_ENTRIES: f64 = 10.0;
/// Table entries that may be queued.
pub const MAX_QUEUED_ENTRIES: f64 = 4000.0;
/// Messages to one proxy within so many seconds.
pub const MESSAGE_LIMIT: (usize, f64) = (40, 10.0);

/// What a cold worker can do, as a share of what it can once warm.
pub fn capacity(day: &Day, age: f64) -> f64 {
    (day.cold_share + (1.0 - day.cold_share) * age / day.warm_after).min(1.0)
}
