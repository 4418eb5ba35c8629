//! What went over the sockets, which signals were sent and how processes ended, with times.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

/// One of the governors, by its place.
pub type GovernorIndex = usize;
/// A connection, by the order of connecting.
pub type StreamNumber = u64;

/// What discovery says of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    Up,
    Draining,
    Removed,
}

impl ReplicaStatus {
    /// The platform's word.
    pub fn wire(self) -> &'static str {
        match self {
            ReplicaStatus::Up => "up",
            ReplicaStatus::Draining => "draining",
            ReplicaStatus::Removed => "removed",
        }
    }
}

/// The signals of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Hangup,
    Terminate,
    Kill,
    Stop,
    Continue,
}

impl Signal {
    /// As `kill` takes it.
    pub fn flag(self) -> &'static str {
        match self {
            Signal::Hangup => "-HUP",
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        }
    }
}

/// How a connection of a proxy ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The governor closed or reset it.
    ByGovernor,
    /// The proxy closed it.
    ByProxy,
}

/// What a crowd's peer was owed, and had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerOutcome {
    ClosedOrRejected,
    LeftOpen,
}

#[derive(Debug, Clone)]
pub enum Event {
    Started {
        governor: GovernorIndex,
    },
    Ready {
        governor: GovernorIndex,
    },
    Signalled {
        governor: GovernorIndex,
        signal: Signal,
    },
    Exited {
        governor: GovernorIndex,
        code: Option<i32>,
    },
    PeakMemory {
        governor: GovernorIndex,
        bytes: u64,
    },
    /// The true list changed.
    Changed {
        replica: String,
        status: ReplicaStatus,
    },
    /// Discovery wrote this to the governor.
    Told {
        governor: GovernorIndex,
        replica: String,
        status: ReplicaStatus,
    },
    Connected {
        stream: StreamNumber,
        proxy: u16,
        governor: GovernorIndex,
        holds_default_table: bool,
    },
    Received {
        stream: StreamNumber,
        message: Value,
    },
    Ended {
        stream: StreamNumber,
        end: StreamEnd,
    },
    Crowd {
        governor: GovernorIndex,
        outcome: PeerOutcome,
    },
}

/// An event and its time since the log began.
#[derive(Debug, Clone)]
pub struct Entry {
    pub at: Duration,
    pub event: Event,
}

impl fmt::Display for Entry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:9.3} {:?}", self.at.as_secs_f64(), self.event)
    }
}

/// The log, shared by all that act.
#[derive(Clone)]
pub struct EventLog {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl EventLog {
    pub fn start() -> Self {
        EventLog { start: Instant::now(), entries: Arc::default() }
    }

    pub fn push(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap();
        entries.push(Entry { at: self.start.elapsed(), event });
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().clone()
    }
}
