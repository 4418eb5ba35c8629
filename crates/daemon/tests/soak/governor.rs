//! Governor processes: starting, signalling, pausing and observing them.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::common::reserve_port;
use super::discovery::{Agent, Discovery};
use super::event_log::{Event, EventLog, GovernorIndex, Signal};

/// The environment variable for a program to test instead of the one built with this test.
const PROGRAM_VARIABLE: &str = "WRENTHREAD_SOAK_PROGRAM";
/// The platform sends SIGKILL this long after SIGTERM at the earliest.
const KILL_AFTER_TERMINATE: Duration = Duration::from_millis(700);
/// The platform sends SIGHUP this long after a start at the earliest.
const FIRST_HANGUP_AFTER: Duration = Duration::from_secs(1);
const READY_WITHIN: Duration = Duration::from_secs(30);
/// The age of the endpoint list that a governor is started with.
pub const KNOWN_LIST_AGE: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
pub const MEMORY_MEGABYTES: u64 = 64;
const SOCKETS: u32 = 1024;
pub const PROXY_COUNT: u16 = 400;

pub fn program() -> PathBuf {
    std::env::var_os(PROGRAM_VARIABLE).map_or(env!("CARGO_BIN_EXE_wrenthread").into(), PathBuf::from)
}

pub struct Governor {
    index: GovernorIndex,
    pub address: SocketAddr,
    folder: PathBuf,
    child: Child,
    started_at: Instant,
    pub agent: Agent,
    discovery: Discovery,
    log: EventLog,
    pub is_paused: Arc<AtomicBool>,
    starts: u32,
}

impl Drop for Governor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.agent.stop();
    }
}

impl Governor {
    pub fn start(index: GovernorIndex, folder: &Path, discovery: &Discovery, log: &EventLog) -> Governor {
        let folder = folder.join(format!("g{index}"));
        std::fs::create_dir_all(&folder).unwrap();
        let mut governor = Governor {
            index,
            address: SocketAddr::from(([127, 0, 0, 1], reserve_port())),
            folder,
            child: Command::new("true").spawn().unwrap(),
            started_at: Instant::now(),
            agent: Agent::start(discovery.clone(), index),
            discovery: discovery.clone(),
            log: log.clone(),
            is_paused: Arc::default(),
            starts: 0,
        };
        governor.child.wait().unwrap();
        governor.spawn();
        governor
    }

    fn config(&self) -> Value {
        json!({"discovery": self.agent.address.to_string(),
        "limits": {"memory_mb": MEMORY_MEGABYTES, "sockets": SOCKETS},
        "known": self.discovery.snapshot_before(KNOWN_LIST_AGE),
        "settings": {
            "categories": [{"name": "find", "deadline_us": 5_000_000, "effect": "retryable", "objective_us": 2_000_000}],
            "extra": {"agents": PROXY_COUNT, "bootstrap": 8, "channel_rate": 10_000.0, "cycle_us": 500_000,
                "level_kind": "ratio", "most_waiting": 20_000.0, "per_message": 10.0, "worst_transit_us": 100_000},
            "rules": {"cold_from": 0.3, "warm_after_us": 1_000_000}, "siblings": 1, "zones": ["a"],
        }})
    }

    fn write_config(&self) {
        std::fs::write(self.folder.join("config.json"), self.config().to_string()).unwrap();
    }

    pub fn log_text(&self) -> String {
        let log = |start: &u32| std::fs::read_to_string(self.log_path(*start)).unwrap_or_default();
        (1..=self.starts)
            .map(|start| format!("--- governor {} start {start}\n{}", self.index, log(&start)))
            .collect()
    }

    fn log_path(&self, start: u32) -> PathBuf {
        self.folder.join(format!("log.{start}"))
    }

    /// Starts the process, and waits until it answers a PING or the time is over.
    fn spawn(&mut self) {
        self.write_config();
        self.starts += 1;
        self.log.push(Event::Started { governor: self.index });
        self.started_at = Instant::now();
        self.child = Command::new(program())
            .arg("node")
            .env("RELAY_NAME", format!("n{}", self.index))
            .env("RELAY_LISTEN", self.address.to_string())
            .env("RELAY_DISCOVERY", self.agent.address.to_string())
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .stderr(Stdio::from(std::fs::File::create(self.log_path(self.starts)).unwrap()))
            .spawn()
            .unwrap();
        while self.started_at.elapsed() < READY_WITHIN && !self.answers() {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.log.push(Event::Ready { governor: self.index });
    }

    fn answers(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"{\"@type\":\"PING\"}\n");
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("PONG")
    }

    fn signal(&mut self, signal: Signal) {
        if matches!(signal, Signal::Terminate | Signal::Kill) {
            self.record_peak_memory();
        }
        self.log.push(Event::Signalled { governor: self.index, signal });
        let id = self.child.id().to_string();
        // The process may already have exited after an earlier signal of a series.
        let _ = Command::new("kill").args([signal.flag(), &id]).stderr(Stdio::null()).status();
    }

    /// Records the process's peak memory use.
    pub fn record_peak_memory(&self) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
        if let Some(kilobytes) = kilobytes {
            self.log.push(Event::PeakMemory { governor: self.index, bytes: kilobytes << 10 });
        }
    }

    /// Sends SIGTERM `times` times, and SIGKILL if the process has not exited after [`KILL_AFTER_TERMINATE`]. Restarts
    /// it.
    pub fn terminate(&mut self, times: u32) {
        for _ in 0..times {
            self.signal(Signal::Terminate);
        }
        let kill_at = Instant::now() + KILL_AFTER_TERMINATE;
        while Instant::now() < kill_at {
            if let Some(status) = self.child.try_wait().unwrap() {
                self.handle_exit(status.code());
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        self.signal(Signal::Kill);
        let status = self.child.wait().unwrap();
        self.handle_exit(status.code());
    }

    fn handle_exit(&mut self, code: Option<i32>) {
        self.log.push(Event::Exited { governor: self.index, code });
        self.spawn();
    }

    /// Sends SIGHUP, on which the governor reloads its configuration.
    pub fn reload(&mut self, times: u32) {
        let earliest = self.started_at + FIRST_HANGUP_AFTER;
        std::thread::sleep(earliest.saturating_duration_since(Instant::now()));
        for _ in 0..times {
            self.signal(Signal::Hangup);
        }
    }

    /// Writes a configuration with another agent and reloads it.
    pub fn move_agent(&mut self, hangups: u32) {
        let former = std::mem::replace(&mut self.agent, Agent::start(self.discovery.clone(), self.index));
        self.write_config();
        self.reload(hangups);
        former.retire();
    }

    pub fn pause(&mut self, span: Duration) {
        self.is_paused.store(true, Ordering::Relaxed);
        self.signal(Signal::Stop);
        std::thread::sleep(span);
        self.signal(Signal::Continue);
        self.is_paused.store(false, Ordering::Relaxed);
    }

    /// Records an unexpected exit, and restarts the process.
    pub fn check_running(&mut self) {
        if let Some(status) = self.child.try_wait().unwrap() {
            self.handle_exit(status.code());
        }
    }

    /// Terminates the process without restarting it.
    pub fn finish(&mut self) {
        self.signal(Signal::Terminate);
        let status = self.child.wait().unwrap();
        self.log.push(Event::Exited { governor: self.index, code: status.code() });
    }
}
