//! Scenarios that are generated from a seed.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// One step of a scenario; a `usize` that comes first is the index of the governor concerned.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    DrainReplica,
    RemoveDrained,
    AddReplica,
    /// The governor's agent accepts connections and reads requests, but writes nothing.
    SilenceAgent(usize, Duration),
    /// Changes reach the governor's agent with this delay.
    DelayAgent(usize, Duration),
    /// A new configuration names another agent; SIGHUP is sent this many times.
    MoveAgent(usize, u32),
    HangupThenTerminate(usize),
    TerminateTwice(usize),
    /// SIGTERM, then SIGKILL at the earliest time that the platform may send it.
    TerminateThenKill(usize),
    Kill(usize),
    /// A replica starts draining and SIGKILL follows at once, with the drain still in flight.
    DrainThenKill(usize),
    Pause(usize, Duration),
    /// The governor is paused when a proxy has sent half of its first message.
    PauseAmidJoin(usize, Duration),
    ReconnectProxy(u16),
    Crowd(usize, usize),
}

/// A scenario: the number of participants, and the steps, each with the time until the next one.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    pub governors: usize,
    pub proxies: u16,
    pub replicas: usize,
    pub steps: Vec<(Step, Duration)>,
}

const MAX_GOVERNORS: u64 = 2;
const STEPS: u64 = 6;
/// The longest exceeds the time that a peer has to identify itself; all are shorter than a stream may be silent.
const PAUSES_MILLIS: [u64; 3] = [300, 1200, 2400];

impl Scenario {
    /// Generates the scenario of a seed; the same seed always gives the same scenario.
    pub fn generate(seed: u64) -> Scenario {
        let mut generator = Generator(ChaCha8Rng::seed_from_u64(seed));
        let governors = 1 + generator.below(MAX_GOVERNORS) as usize;
        let proxies = 3 + generator.below(8) as u16;
        let replicas = 4 + generator.below(4) as usize;
        let count = STEPS + generator.below(5);
        let steps = (0..count).map(|_| (generator.step(governors, proxies), generator.gap())).collect();
        Scenario { governors, proxies, replicas, steps }
    }
}

struct Generator(ChaCha8Rng);

impl Generator {
    fn below(&mut self, limit: u64) -> u64 {
        self.0.next_u64() % limit
    }

    fn gap(&mut self) -> Duration {
        Duration::from_millis(20 + self.below(500))
    }

    fn pause(&mut self) -> Duration {
        Duration::from_millis(PAUSES_MILLIS[self.below(3) as usize])
    }

    fn step(&mut self, governors: usize, proxies: u16) -> Step {
        let governor = self.below(governors as u64) as usize;
        match self.below(20) {
            0 | 1 => Step::DrainReplica,
            2 => Step::RemoveDrained,
            3 | 4 => Step::AddReplica,
            5 => Step::SilenceAgent(governor, Duration::from_millis(500 + self.below(3500))),
            6 => Step::DelayAgent(governor, Duration::from_millis(200 + self.below(1500))),
            7 | 8 => Step::MoveAgent(governor, 1 + self.below(2) as u32),
            9 => Step::HangupThenTerminate(governor),
            10 => Step::TerminateTwice(governor),
            11 | 12 => Step::TerminateThenKill(governor),
            13 => Step::Kill(governor),
            14 | 15 => Step::DrainThenKill(governor),
            16 => Step::Pause(governor, self.pause()),
            17 => Step::PauseAmidJoin(governor, self.pause()),
            18 => Step::ReconnectProxy(self.below(u64::from(proxies)) as u16),
            _ => Step::Crowd(governor, 50 + self.below(250) as usize),
        }
    }
}
