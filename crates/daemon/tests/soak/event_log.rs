//! The event log of a scenario: messages, signals and process exits, with times.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

/// The index of a governor.
pub type GovernorIndex = usize;
/// The number of a connection, in order of connecting.
pub type StreamNumber = u64;

/// A replica's status in discovery's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    Up,
    Draining,
    Removed,
}

impl ReplicaStatus {
    /// The status on the wire.
    pub fn wire(self) -> &'static str {
        match self {
            ReplicaStatus::Up => "up",
            ReplicaStatus::Draining => "draining",
            ReplicaStatus::Removed => "removed",
        }
    }
}

/// The signals that are sent to governors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Hangup,
    Terminate,
    Kill,
    Stop,
    Continue,
}

impl Signal {
    /// The flag of the `kill` command.
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

/// Whether a peer of a crowd was closed or rejected in time.
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
    /// A replica's status changed in discovery.
    StatusChanged {
        replica: String,
        status: ReplicaStatus,
    },
    /// A discovery agent wrote this status to the governor.
    StatusWritten {
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

/// An event, with its time since the start of the log.
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

/// The event log, shared by all threads.
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
