//! The event log of a rehearsal: everything that crossed a socket, with its time and both ends. The rule
//! checks use this log only.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use serde::Serialize;
use wrenthread_settings::day::Day;

/// The outcome of a request for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The request succeeded.
    #[serde(rename = "delivered")]
    Succeeded,
    /// The request was not admitted.
    #[serde(rename = "blocked")]
    Rejected,
    /// The request failed.
    #[serde(rename = "dropped")]
    Failed,
}

/// A replica as listed in the roster file.
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
    /// The fleet; the first entry of the log.
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
        /// The new roster.
        #[serde(rename = "listed")]
        roster_entries: Vec<RosterEntry>,
    },
    /// A governor process started or stopped.
    Governor {
        /// The governor's number.
        governor: usize,
        /// Whether it is running from now on.
        up: bool,
    },
    /// Updates of a governor's roster file stopped or resumed.
    #[serde(rename = "stale")]
    StaleRoster {
        /// The governor's number.
        governor: usize,
        /// Whether updates stopped.
        stale: bool,
    },
    /// A replica process started: cold, or warm at the start of the day.
    Started {
        /// The replica's number.
        #[serde(rename = "worker")]
        replica: usize,
        /// Whether it is cold.
        cold: bool,
    },
    /// A proxy sent its first message on a stream to a governor.
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
    /// A proxy received a response of a governor.
    #[serde(rename = "order")]
    TableUpdate {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// The governor's number.
        governor: usize,
        /// The message's nonce.
        nonce: String,
        /// Number of table entries in the message.
        #[serde(rename = "lines")]
        entries: usize,
        /// The tables it updates, by traffic class: the routable replicas and the admission fraction.
        tables: BTreeMap<String, (Vec<usize>, f64)>,
    },
    /// A proxy accepted or rejected a governor's response.
    #[serde(rename = "answer")]
    UpdateAnswered {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// The message's nonce.
        nonce: String,
        /// Whether the proxy accepted it.
        #[serde(rename = "taken")]
        accepted: bool,
    },
    /// A proxy sent a load report.
    Report {
        /// The proxy's number.
        #[serde(rename = "relay")]
        proxy: usize,
        /// Whether a fault delayed it.
        #[serde(rename = "late")]
        delayed: bool,
    },
    /// A request arrived at a proxy.
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
    /// A proxy sent a request to a replica.
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
    /// A replica received an attempt.
    #[serde(rename = "got")]
    AttemptReceived {
        /// The request's number.
        #[serde(rename = "flow")]
        request: u64,
        /// The replica's number.
        #[serde(rename = "worker")]
        replica: usize,
    },
    /// A replica executed a request: its side effects have happened.
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
    /// A request ended.
    #[serde(rename = "ended")]
    RequestEnded {
        /// The request's number.
        #[serde(rename = "flow")]
        request: u64,
        /// The outcome.
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

/// The event log of a running day. All its writers run on one thread.
#[derive(Clone)]
pub struct EventLog {
    start: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
    observer: Rc<RefCell<Option<LogObserver>>>,
}

impl EventLog {
    /// Creates an empty log that starts now.
    pub fn new() -> Self {
        EventLog { start: Instant::now(), entries: Rc::default(), observer: Rc::default() }
    }

    /// Seconds since the log started.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds an entry with the current time.
    pub fn record(&self, event: Event) {
        let entry = Entry { at: self.now(), event };
        if let Some(observer) = self.observer.borrow_mut().as_mut() {
            observer(&entry);
        }
        self.entries.borrow_mut().push(entry);
    }

    /// Sets a function that is called with every later entry when it is recorded. It must not record entries
    /// itself.
    pub fn set_observer(&self, observer: impl FnMut(&Entry) + 'static) {
        *self.observer.borrow_mut() = Some(Box::new(observer));
    }

    /// Takes all entries so far and leaves the log empty.
    pub fn take(&self) -> Vec<Entry> {
        self.entries.take()
    }
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog::new()
    }
}

/// Names of the three traffic classes, in order, as table updates spell them.
pub const CLASSES: [&str; 3] = ["plate-match", "space-count", "exit-charge"];
/// By traffic class: latency objective and request deadline in seconds, and share of the requests.
pub const CLASS_TRAFFIC: [(f64, f64, f64); 3] = [(2.0, 5.0, 0.5), (1.0, 2.5, 0.3), (2.0, 5.0, 0.2)];
/// Index of the class whose requests must never be executed twice.
pub const NON_RETRIABLE: usize = 2;
/// Table entries per second that a governor may send. This limit and those below are both written to the
/// settings and checked.
pub const ENTRIES_PER_SECOND: f64 = 4000.0;
/// Overhead of a message, counted in table entries.
pub const MESSAGE_OVERHEAD_ENTRIES: f64 = 10.0;
/// Table entries that may be queued.
pub const MAX_QUEUED_ENTRIES: f64 = 4000.0;
/// Maximum number of messages to one proxy, and the span in seconds for which it holds.
pub const MESSAGE_LIMIT: (usize, f64) = (40, 10.0);

/// Capacity of a replica at an age in seconds, as a fraction of its capacity once warm.
pub fn capacity(day: &Day, age: f64) -> f64 {
    (day.initial_capacity_fraction + (1.0 - day.initial_capacity_fraction) * age / day.slow_start_duration)
        .min(1.0)
}
