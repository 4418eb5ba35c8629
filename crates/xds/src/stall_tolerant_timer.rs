//! A timer for HTTP/2 keepalives that does not blame a peer for a pause of this process.
//!
//! The HTTP/2 library polls the timeout of a keepalive ping before it reads from the socket. After a pause of the process
//! the timeout has expired, although the answer may wait in the socket. A wait of this timer that ends late therefore
//! starts again, and one that ends in time gives the socket one more turn to be read.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

/// A wait that ends later than this after its deadline was delayed by this process, not by the peer.
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// The extension of a wait that ended in time: one turn of the I/O driver.
const READ_TURN: Duration = Duration::from_millis(1);
/// The number of times that a wait starts again. A peer that is gone is given up even if this process is always late.
const MAX_RESTARTS: u32 = 8;

/// Creates the waits.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallTolerantTimer;

impl Timer for StallTolerantTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(StallTolerantSleep::new(duration))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(deadline.saturating_duration_since(self.now()))
    }

    fn reset(&self, sleep: &mut Pin<Box<dyn Sleep>>, new_deadline: Instant) {
        if let Some(sleep) = sleep.as_mut().downcast_mut_pin::<StallTolerantSleep>() {
            sleep.get_mut().restart(new_deadline.saturating_duration_since(self.now()));
        }
    }

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }
}

/// What the current wait is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    ReadTurn,
}

#[derive(Debug)]
struct StallTolerantSleep {
    duration: Duration,
    phase: Phase,
    restarts: u32,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl StallTolerantSleep {
    fn new(duration: Duration) -> Self {
        StallTolerantSleep {
            duration,
            phase: Phase::Waiting,
            restarts: 0,
            sleep: Box::pin(tokio::time::sleep(duration)),
        }
    }

    fn restart(&mut self, duration: Duration) {
        self.duration = duration;
        self.restarts = 0;
        self.wait(Phase::Waiting, duration);
    }

    fn wait(&mut self, phase: Phase, duration: Duration) {
        self.phase = phase;
        self.sleep.as_mut().reset(tokio::time::Instant::now() + duration);
    }

    /// Whether the wait has to go on after the present one ended.
    fn extend(&mut self) -> bool {
        let lateness = self.sleep.deadline().elapsed();
        if lateness > MAX_LATENESS && self.restarts < MAX_RESTARTS {
            self.restarts += 1;
            self.wait(Phase::Waiting, self.duration);
            return true;
        }
        if self.phase == Phase::Waiting {
            self.wait(Phase::ReadTurn, READ_TURN);
            return true;
        }
        false
    }
}

impl Future for StallTolerantSleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = self.get_mut();
        loop {
            ready!(this.sleep.as_mut().poll(context));
            if !this.extend() {
                return Poll::Ready(());
            }
        }
    }
}

impl Sleep for StallTolerantSleep {}

#[cfg(test)]
mod tests;
