//! A fake discovery service with an agent for each governor; an agent may stop writing, be delayed or be replaced.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::event_log::{Event, EventLog, GovernorIndex, ReplicaStatus};

/// How often an agent checks for changes to write.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How often an agent writes an empty line while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long an agent keeps its watches open after it was replaced.
const FORMER_AGENT_TIME: Duration = Duration::from_millis(1500);

/// A change of a replica's status.
#[derive(Debug, Clone)]
struct Change {
    version: u64,
    replica: String,
    status: ReplicaStatus,
    made_at: Instant,
}

/// The endpoint list, shared by all agents.
#[derive(Clone)]
pub struct Discovery {
    changes: Arc<Mutex<Vec<Change>>>,
    log: EventLog,
}

impl Discovery {
    pub fn new(replicas: usize, log: EventLog) -> Discovery {
        let discovery = Discovery { changes: Arc::default(), log };
        for _ in 0..replicas {
            discovery.add();
        }
        discovery
    }

    pub fn add(&self) -> String {
        let name = format!("r{}", self.changes.lock().unwrap().len() + 1);
        self.set(&name, ReplicaStatus::Up);
        name
    }

    pub fn set(&self, replica: &str, status: ReplicaStatus) {
        let mut changes = self.changes.lock().unwrap();
        let version = changes.len() as u64 + 1;
        self.log.push(Event::StatusChanged { replica: replica.into(), status });
        changes.push(Change { version, replica: replica.into(), status, made_at: Instant::now() });
    }

    /// The listed replicas with their current status.
    pub fn listed(&self) -> Vec<(String, ReplicaStatus)> {
        self.listed_before(Duration::ZERO).1
    }

    pub fn with_status(&self, wanted: ReplicaStatus) -> Vec<String> {
        let listed = self.listed().into_iter();
        listed.filter(|(_, status)| *status == wanted).map(|(name, _)| name).collect()
    }

    /// The list as it was `age` ago, with its version.
    fn listed_before(&self, age: Duration) -> (u64, Vec<(String, ReplicaStatus)>) {
        let mut version = 0;
        let mut listed: Vec<(String, ReplicaStatus)> = Vec::new();
        for change in self.changes.lock().unwrap().iter().filter(|change| change.made_at.elapsed() >= age) {
            version = change.version;
            listed.retain(|(name, _)| *name != change.replica);
            if change.status != ReplicaStatus::Removed {
                listed.push((change.replica.clone(), change.status));
            }
        }
        (version, listed)
    }

    fn changes_after(&self, version: u64, age: Duration) -> Vec<Change> {
        let changes = self.changes.lock().unwrap();
        let newer = changes.iter().filter(|change| change.version > version);
        newer.take_while(|change| change.made_at.elapsed() >= age).cloned().collect()
    }

    /// A snapshot event with the list as it was `age` ago, or with the current one if it was empty then.
    pub fn snapshot_before(&self, age: Duration) -> Value {
        let (version, listed) = match self.listed_before(age) {
            (0, _) => self.listed_before(Duration::ZERO),
            known => known,
        };
        event(version, true, &listed)
    }
}

fn event(version: u64, is_snapshot: bool, rows: &[(String, ReplicaStatus)]) -> Value {
    let row = |(name, status): &(String, ReplicaStatus)| {
        json!({"name": name, "address": "10.0.0.1:80", "zone": "a", "type": "m", "group": 1,
            "status": status.wire(), "weight": 1.0, "since_ms": 0})
    };
    json!({"index": version, "snapshot": is_snapshot, "endpoints": rows.iter().map(row).collect::<Vec<_>>()})
}

#[derive(Default)]
struct AgentState {
    silent_until: Option<Instant>,
    delay: Duration,
}

/// A governor's discovery agent.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Mutex<AgentState>>,
    ends_at: Arc<Mutex<Option<Instant>>>,
    stopped: Arc<AtomicBool>,
}

impl Agent {
    pub fn start(discovery: Discovery, governor: GovernorIndex) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            ends_at: Arc::default(),
            stopped: Arc::default(),
        };
        let serving = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let watch = Watch { agent: serving.clone(), discovery: discovery.clone(), governor };
                std::thread::spawn(move || watch.serve(stream));
            }
        });
        agent
    }

    pub fn stop_writing(&self, span: Duration) {
        self.state.lock().unwrap().silent_until = Some(Instant::now() + span);
    }

    pub fn delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Stops accepting connections, and closes the open ones after [`FORMER_AGENT_TIME`].
    pub fn retire(&self) {
        *self.ends_at.lock().unwrap() = Some(Instant::now() + FORMER_AGENT_TIME);
        self.stop();
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().silent_until.is_some_and(|until| Instant::now() < until)
    }

    fn has_ended(&self) -> bool {
        let is_expired = self.ends_at.lock().unwrap().is_some_and(|at| Instant::now() >= at);
        is_expired || (self.stopped.load(Ordering::Relaxed) && self.ends_at.lock().unwrap().is_none())
    }
}

struct Watch {
    agent: Agent,
    discovery: Discovery,
    governor: GovernorIndex,
}

impl Watch {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut request = String::new();
        while reader.read_line(&mut request)? > 2 {}
        self.wait_while_silent();
        let delay = self.agent.state.lock().unwrap().delay;
        if !request.contains("watch=1") {
            let (version, listed) = self.discovery.listed_before(delay);
            let text = event(version, true, &listed).to_string();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())?;
            self.log_statuses(&listed);
            return Ok(());
        }
        let from = request.split("from=").nth(1).and_then(|rest| rest.split(' ').next());
        let from = from.and_then(|version| version.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        self.stream_changes(&mut stream, from)
    }

    fn wait_while_silent(&self) {
        while self.agent.is_silent() && !self.agent.has_ended() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn stream_changes(&self, stream: &mut TcpStream, mut version: u64) -> std::io::Result<()> {
        let mut written_at = Instant::now();
        while !self.agent.has_ended() {
            self.wait_while_silent();
            let delay = self.agent.state.lock().unwrap().delay;
            let changes = self.discovery.changes_after(version, delay);
            if !changes.is_empty() || written_at.elapsed() >= KEEPALIVE_INTERVAL {
                let rows: Vec<_> =
                    changes.iter().map(|change| (change.replica.clone(), change.status)).collect();
                version = changes.last().map_or(version, |change| change.version);
                let line =
                    if rows.is_empty() { "\n".into() } else { format!("{}\n", event(version, false, &rows)) };
                write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
                written_at = Instant::now();
                self.log_statuses(&rows);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn log_statuses(&self, rows: &[(String, ReplicaStatus)]) {
        for (replica, status) in rows {
            let (governor, replica) = (self.governor, replica.clone());
            self.discovery.log.push(Event::StatusWritten { governor, replica, status: *status });
        }
    }
}
