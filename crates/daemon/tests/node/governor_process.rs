//! Runs `wrenthread node` as a process, and provides peers that connect to it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::common;
use super::discovery_agent::{Events, event, start_discovery};

/// How many ports are tried for a governor.
const MAX_PORTS: usize = 5;
/// The system's error text for a port that another process listens on.
const ADDRESS_IN_USE: &str = "Address already in use";

pub struct GovernorProcess {
    pub child: Child,
    pub folder: PathBuf,
    listen: String,
    /// The events that its discovery agent sends.
    pub events: Events,
}

impl Drop for GovernorProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("LOG {}", self.log());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn config(discovery: SocketAddr) -> Value {
    json!({"discovery": discovery.to_string(), "limits": {"memory_mb": 32, "sockets": 256},
    "known": event(1, true, &[("r1", "up"), ("r2", "up"), ("r3", "up"), ("r4", "up")]).1,
    "settings": {
        "categories": [{"name": "find", "deadline_us": 5000000, "effect": "retryable",
            "objective_us": 2000000}],
        "extra": {"agents": 20, "bootstrap": 8, "channel_rate": 10000.0, "cycle_us": 500000,
            "level_kind": "ratio", "most_waiting": 20000.0, "per_message": 10.0,
            "worst_transit_us": 100000},
        "rules": {"cold_from": 0.3, "warm_after_us": 10000000}, "siblings": 1, "zones": ["a"],
    }})
}

pub fn spawn_governor(folder: &Path, listen: &str, discovery: SocketAddr) -> Child {
    Command::new(env!("CARGO_BIN_EXE_wrenthread"))
        .arg("node")
        .env("RELAY_NAME", "n0")
        .env("RELAY_LISTEN", listen)
        .env("RELAY_DISCOVERY", discovery.to_string())
        .env("RELAY_CONFIG", folder.join("config.json"))
        .stderr(Stdio::from(std::fs::File::create(folder.join("log")).unwrap()))
        .spawn()
        .unwrap()
}

impl GovernorProcess {
    pub fn start(name: &str) -> GovernorProcess {
        GovernorProcess::start_with(name, |_| {})
    }

    /// Starts a governor with its configuration modified by `change`.
    pub fn start_with(name: &str, change: impl FnOnce(&mut Value)) -> GovernorProcess {
        let folder =
            std::env::temp_dir().join(format!("wrenthread-platform-governor-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let events = Events::default();
        let discovery = start_discovery(events.clone());
        let mut config = config(discovery);
        change(&mut config);
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        for _ in 0..MAX_PORTS {
            let listen = format!("127.0.0.1:{}", common::reserve_port());
            let child = spawn_governor(&folder, &listen, discovery);
            let mut governor =
                GovernorProcess { child, folder: folder.clone(), listen, events: events.clone() };
            let Some(status) = governor.wait_until_listening_or_exited() else { return governor };
            // An unrelated process may have taken the port meanwhile.
            assert!(
                governor.log().contains(ADDRESS_IN_USE),
                "the governor ended before it listened: {status:?}"
            );
            // The next attempt uses the same folder, so dropping this one must not remove it.
            governor.folder = PathBuf::new();
        }
        panic!("all {MAX_PORTS} ports were taken by other processes")
    }

    /// Waits until this process has logged that it listens; connecting is no proof, as another process may answer at
    /// its port. Returns the exit status if the process ends first.
    fn wait_until_listening_or_exited(&mut self) -> Option<ExitStatus> {
        let started_at = Instant::now();
        while !self.log().contains("governor listening") {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            assert!(started_at.elapsed() < Duration::from_secs(20), "the governor did not listen in time");
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// The log since the last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Starts the governor again with the same name, address and configuration, including the original endpoint list.
    pub fn restart(&mut self) {
        self.child = spawn_governor(&self.folder, &self.listen, start_discovery(self.events.clone()));
        let status = self.wait_until_listening_or_exited();
        assert!(status.is_none(), "the governor ended before it listened: {status:?}");
    }

    pub fn connect(&self) -> Peer {
        let stream = TcpStream::connect(&self.listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Peer { reader: BufReader::new(stream) }
    }

    pub fn connect_proxy(&self, proxy: u16) -> Peer {
        let mut peer = self.connect();
        peer.send(&json!({"@type": "SUBSCRIBE", "node": proxy, "locality": "a", "w": 2.0, "cold": false}));
        peer
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }
}

pub struct Peer {
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn send(&mut self, message: &Value) {
        self.write(format!("{message}\n").as_bytes()).unwrap();
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// The next message; `None` once the stream has ended.
    pub fn next_message(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).unwrap()),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no message: {error}"),
        }
    }

    /// Reads until a message arrives for which `fits` holds, and returns it.
    pub fn wait_for(&mut self, fits: impl Fn(&Value) -> bool) -> Value {
        loop {
            let message = self.next_message().expect("the stream is open");
            if fits(&message) {
                return message;
            }
        }
    }

    /// Whether the peer receives a `NACK`, or its connection is closed, within `span`.
    pub fn is_rejected_or_closed_within(&mut self, span: Duration) -> bool {
        self.reader.get_mut().set_read_timeout(Some(span)).unwrap();
        let mut buffer = [0; 256];
        loop {
            match self.reader.read(&mut buffer) {
                Ok(0) => return true,
                Ok(count) if buffer[..count].windows(4).any(|window| window == b"NACK") => return true,
                Ok(_) => {}
                Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}
