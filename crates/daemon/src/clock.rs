//! The host's time: the one place that reads clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The zero of the host's time lies this long before its start, so that replicas that started earlier have a time, too.
const TIME_BEFORE_START: Duration = Duration::from_secs(86_400);

/// A monotonic clock, and the system's time at its start.
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

    /// The host's time.
    pub fn now(&self) -> Duration {
        TIME_BEFORE_START + self.start.elapsed()
    }

    /// An instant in the host's time.
    pub fn since(&self, at: Instant) -> Duration {
        TIME_BEFORE_START + at.saturating_duration_since(self.start)
    }

    /// The time since the start.
    pub fn up(&self) -> Duration {
        self.start.elapsed()
    }

    /// Unix time in seconds as the host's time; none for what lies before its zero.
    pub fn at(&self, unix_time: f64) -> Option<Duration> {
        Duration::try_from_secs_f64(unix_time - self.unix_start + TIME_BEFORE_START.as_secs_f64()).ok()
    }

    /// The host's time as Unix time in seconds.
    pub fn calendar(&self, at: Duration) -> f64 {
        self.unix_start + at.as_secs_f64() - TIME_BEFORE_START.as_secs_f64()
    }

    /// The host's time as an instant; the start for what lies before it.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(TIME_BEFORE_START)
    }

    /// The incarnation of this process: its start in Unix time, in microseconds.
    pub fn epoch(&self) -> u64 {
        (self.unix_start * 1e6) as u64
    }
}
