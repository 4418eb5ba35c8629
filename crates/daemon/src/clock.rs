//! The host's clock: the only source of time for the state machines, with conversions to and from Unix time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The host's time at startup. It is not zero, so that the start of a replica before the host's own can be represented.
const TIME_BEFORE_START: Duration = Duration::from_secs(86_400);

/// A monotonic clock with the Unix time at which it was started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in seconds.
    unix_start: f64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix_start =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        Clock { start: Instant::now(), unix_start }
    }

    /// The current host time.
    pub fn now(&self) -> Duration {
        TIME_BEFORE_START + self.start.elapsed()
    }

    /// Converts an instant to host time.
    pub fn host_time(&self, at: Instant) -> Duration {
        TIME_BEFORE_START + at.saturating_duration_since(self.start)
    }

    /// The time since startup.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts Unix time in seconds to host time; `None` if that would be negative.
    pub fn host_time_from_unix(&self, unix_time: f64) -> Option<Duration> {
        Duration::try_from_secs_f64(unix_time - self.unix_start + TIME_BEFORE_START.as_secs_f64()).ok()
    }

    /// Converts host time to Unix time in seconds.
    pub fn to_unix(self, at: Duration) -> f64 {
        self.unix_start + at.as_secs_f64() - TIME_BEFORE_START.as_secs_f64()
    }

    /// Converts host time to an instant; times before startup become the startup instant.
    pub fn to_instant(self, at: Duration) -> Instant {
        self.start + at.saturating_sub(TIME_BEFORE_START)
    }

    /// The epoch that identifies this run of the process: its start in Unix time, in microseconds.
    pub fn epoch(&self) -> u64 {
        (self.unix_start * 1e6) as u64
    }
}
