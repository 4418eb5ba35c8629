//! Runs a scenario with real processes, and returns its event log.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use super::discovery::Discovery;
use super::event_log::{Entry, Event, EventLog, ReplicaStatus};
use super::governor::{Governor, PROXY_COUNT};
use super::proxy::{Fleet, Proxy, run_crowd};
use super::scenario::{Scenario, Step};

/// At least this many replicas stay up.
const MIN_UP: usize = 3;
/// The time after the last step, in which all time limits expire.
const SETTLING_TIME: Duration = Duration::from_millis(3500);
/// How long to wait for all proxies to be connected before a step.
const CONNECTED_WITHIN: Duration = Duration::from_secs(10);

/// The event log, and the governors' own logs.
pub struct Outcome {
    pub entries: Vec<Entry>,
    pub governor_logs: String,
}

struct Runner {
    log: EventLog,
    discovery: Discovery,
    governors: Vec<Governor>,
    proxies: Vec<Proxy>,
    crowds: Vec<std::thread::JoinHandle<()>>,
    fleet: Fleet,
}

pub fn run(scenario: &Scenario, folder: &Path) -> Outcome {
    let mut runner = Runner::start(scenario, folder);
    for (step, gap) in &scenario.steps {
        runner.wait_until_connected();
        runner.execute(step);
        std::thread::sleep(*gap);
        runner.governors.iter_mut().for_each(Governor::check_running);
    }
    runner.finish()
}

impl Runner {
    fn start(scenario: &Scenario, folder: &Path) -> Runner {
        let log = EventLog::start();
        let discovery = Discovery::new(scenario.replicas, log.clone());
        let start = |index| Governor::start(index, folder, &discovery, &log);
        let governors: Vec<Governor> = (0..scenario.governors).map(start).collect();
        let fleet = Fleet {
            addresses: Arc::new(governors.iter().map(|governor| governor.address).collect()),
            log: log.clone(),
            streams: Arc::new(AtomicU64::new(1)),
            stopping: Arc::new(AtomicBool::new(false)),
        };
        let proxies = (0..scenario.proxies).map(|number| Proxy::start(number, fleet.clone())).collect();
        Runner { log, discovery, governors, proxies, crowds: Vec::new(), fleet }
    }

    /// Waits until as many connections are open as there are proxies, or the time is over.
    fn wait_until_connected(&self) {
        let until = Instant::now() + CONNECTED_WITHIN;
        while Instant::now() < until {
            let entries = self.log.entries();
            let connected =
                entries.iter().filter(|entry| matches!(entry.event, Event::Connected { .. })).count();
            let ended = entries.iter().filter(|entry| matches!(entry.event, Event::Ended { .. })).count();
            if connected - ended == self.proxies.len() {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn execute(&mut self, step: &Step) {
        match step {
            Step::DrainReplica => drop(self.drain()),
            Step::RemoveDrained => {
                for name in self.discovery.with_status(ReplicaStatus::Draining) {
                    self.discovery.set(&name, ReplicaStatus::Removed);
                }
            }
            Step::AddReplica => drop(self.discovery.add()),
            Step::SilenceAgent(governor, span) => self.governors[*governor].agent.stop_writing(*span),
            Step::DelayAgent(governor, delay) => self.governors[*governor].agent.delay(*delay),
            Step::MoveAgent(governor, hangups) => self.governors[*governor].move_agent(*hangups),
            Step::HangupThenTerminate(governor) => {
                self.governors[*governor].reload(1);
                self.governors[*governor].terminate(1);
            }
            Step::TerminateTwice(governor) => self.governors[*governor].terminate(2),
            Step::TerminateThenKill(governor) => self.governors[*governor].terminate(1),
            Step::Kill(governor) => self.governors[*governor].kill(),
            Step::DrainThenKill(governor) => {
                self.drain();
                self.governors[*governor].kill();
            }
            Step::Pause(governor, span) => self.governors[*governor].pause(*span),
            Step::PauseAmidJoin(governor, span) => self.pause_amid_join(*governor, *span),
            Step::ReconnectProxy(proxy) => self.proxies[usize::from(*proxy)].reconnect(),
            Step::Crowd(governor, count) => self.start_crowd(*governor, *count),
        }
    }

    fn drain(&self) -> Option<String> {
        let up = self.discovery.with_status(ReplicaStatus::Up);
        let name = up.first().filter(|_| up.len() > MIN_UP)?;
        self.discovery.set(name, ReplicaStatus::Draining);
        Some(name.clone())
    }

    /// A peer sends half of its first message before the pause and the rest during it, and must be served.
    fn pause_amid_join(&mut self, governor: usize, span: Duration) {
        let proxy = PROXY_COUNT - 1;
        let message = format!(
            "{}\n",
            json!({"@type": "SUBSCRIBE", "node": proxy, "locality": "a", "w": 1.0, "cold": false})
        );
        let (first, rest) = message.as_bytes().split_at(message.len() / 2);
        let Ok(mut stream) = TcpStream::connect(self.governors[governor].address) else { return };
        let number = self.fleet.streams.fetch_add(1, Ordering::Relaxed);
        // The answer to the PING shows that the governor has accepted the connection and read the first half.
        let _ = stream.write_all(&[b"{\"@type\":\"PING\"}\n", first].concat());
        super::proxy::read_line(&stream);
        let mut writer = stream.try_clone().unwrap();
        let rest = rest.to_vec();
        let is_paused = self.governors[governor].is_paused.clone();
        let writer_thread = std::thread::spawn(move || {
            while !is_paused.load(Ordering::Relaxed) {
                std::thread::yield_now();
            }
            let _ = writer.write_all(&rest);
        });
        self.log.push(Event::Connected { stream: number, proxy, governor, holds_default_table: false });
        self.governors[governor].pause(span);
        writer_thread.join().unwrap();
        super::proxy::read_first_message(&stream, number, &self.log);
    }

    fn start_crowd(&mut self, governor: usize, count: usize) {
        let (address, log) = (self.governors[governor].address, self.log.clone());
        let is_paused = self.governors[governor].is_paused.clone();
        self.crowds.push(std::thread::spawn(move || {
            run_crowd(governor, address, count, &log, || is_paused.load(Ordering::Relaxed));
        }));
    }

    fn finish(mut self) -> Outcome {
        self.wait_until_connected();
        std::thread::sleep(SETTLING_TIME);
        for crowd in self.crowds {
            crowd.join().unwrap();
        }
        self.governors.iter_mut().for_each(Governor::check_running);
        let entries_before_end = self.log.entries();
        self.fleet.stopping.store(true, Ordering::Relaxed);
        self.proxies.into_iter().for_each(Proxy::join);
        self.governors.iter_mut().for_each(Governor::finish);
        let mut entries = entries_before_end;
        let final_events = self.log.entries().into_iter().skip(entries.len());
        entries.extend(
            final_events.filter(|entry| !matches!(entry.event, Event::Ended { .. } | Event::Received { .. })),
        );
        let governor_logs = self.governors.iter().map(Governor::log_text).collect();
        Outcome { entries, governor_logs }
    }
}
