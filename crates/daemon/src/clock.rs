//! The one place that reads clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// The host's time begins this long before its start, so that replicas that started before it have a time
/// too.
const BEFORE: Duration = Duration::from_secs(86_400);

/// Steady time since [`BEFORE`] the program's start, and what the calendar said then.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    calendar: f64,
}

impl Clock {
    pub fn start() -> Self {
        let calendar = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        Clock { start: Instant::now(), calendar }
    }

    pub fn now(&self) -> Duration {
        BEFORE + self.start.elapsed()
    }

    /// An instant as the host's time.
    pub fn since(&self, at: Instant) -> Duration {
        BEFORE + at.saturating_duration_since(self.start)
    }

    pub fn up(&self) -> Duration {
        self.start.elapsed()
    }

    /// Seconds of the calendar as the host's time; none for what is longer ago than that time goes.
    pub fn at(&self, calendar: f64) -> Option<Duration> {
        Duration::try_from_secs_f64(calendar - self.calendar + BEFORE.as_secs_f64()).ok()
    }

    /// The host's time as seconds of the calendar.
    pub fn calendar(&self, at: Duration) -> f64 {
        self.calendar + at.as_secs_f64() - BEFORE.as_secs_f64()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(BEFORE)
    }

    /// A number that tells this life from others: the calendar in microseconds.
    pub fn epoch(&self) -> u64 {
        (self.calendar * 1e6) as u64
    }
}
