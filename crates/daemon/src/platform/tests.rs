//! The governor service in the test process, with real connections and paused time.
//!
//! The governor handles events only when a test calls [`Harness::step`].

use std::cell::RefCell;
use std::io::ErrorKind;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::{spawn_blocking, spawn_local, yield_now};
use tokio::time::{Instant, advance};

use super::service::{FORMER_WATCHER_LIFETIME, Service};
use super::*;

mod discovery;
mod peers;
mod silence;

/// Runs a test on one thread with paused time.
fn run_paused(test: impl AsyncFnOnce()) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        // The runtime advances paused time when all tasks are idle, but not while a blocking task is running.
        let (release, released) = std::sync::mpsc::channel::<()>();
        let blocker = spawn_blocking(move || released.recv().is_err());
        test().await;
        drop(release);
        assert!(blocker.await.unwrap());
    });
}

fn event(version: u64, is_snapshot: bool, rows: &[(&str, &str)]) -> Value {
    let row =
        |(name, status): &(&str, &str)| json!({"name": name, "zone": "a", "status": status, "weight": 1.0});
    json!({"index": version, "snapshot": is_snapshot, "endpoints": rows.iter().map(row).collect::<Vec<_>>()})
}

const ALL_UP: [(&str, &str); 4] = [("r1", "up"), ("r2", "up"), ("r3", "up"), ("r4", "up")];

/// A fake discovery agent: accepts connections and sends what a test passes to it.
struct Agent {
    address: SocketAddr,
    /// The requested paths in order, each with its connection.
    requests: Rc<RefCell<Vec<(String, TcpStream)>>>,
}

impl Agent {
    async fn start() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let agent = Agent { address: listener.local_addr().unwrap(), requests: Rc::default() };
        let requests = agent.requests.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = Vec::new();
                while !request.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else { break };
                    request.push(byte);
                }
                let request = String::from_utf8(request).unwrap();
                let path = request.split(' ').nth(1).unwrap_or_default().to_string();
                requests.borrow_mut().push((path, stream));
            }
        });
        agent
    }

    fn request_count(&self, path: &str) -> usize {
        self.requests.borrow().iter().filter(|(requested, _)| requested == path).count()
    }

    /// Answers the latest request for this path as a watch that stays open.
    async fn answer_watch(&self, path: &str, events: &[Value]) {
        let lines: String = events.iter().map(|event| format!("{event}\n")).collect();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.write(path, &format!("{head}{:x}\r\n{lines}\r\n", lines.len())).await;
    }

    /// Sends another event on the latest watch of this path.
    async fn send_event(&self, path: &str, event: &Value) {
        let line = format!("{event}\n");
        self.write(path, &format!("{:x}\r\n{line}\r\n", line.len())).await;
    }

    /// Answers the latest request for a snapshot.
    async fn send_snapshot(&self, list: &Value) {
        let list = list.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        self.write(SNAPSHOT_PATH, &answer).await;
    }

    async fn write(&self, path: &str, text: &str) {
        let mut requests = self.requests.borrow_mut();
        let (_, stream) =
            requests.iter_mut().rfind(|(requested, _)| requested == path).expect("the path was requested");
        stream.try_write(text.as_bytes()).unwrap();
    }
}

const SNAPSHOT_PATH: &str = "/registry/instances";

fn watch_from(version: u64) -> String {
    format!("{SNAPSHOT_PATH}?watch=1&from={version}")
}

struct Harness {
    service: Service,
    address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn config(discovery: SocketAddr) -> Value {
    json!({"discovery": discovery.to_string(), "limits": {"memory_mb": 32, "sockets": 512},
    "known": event(1, true, &ALL_UP),
    "settings": {
        "categories": [{"name": "find", "deadline_us": 5000000, "effect": "retryable",
            "objective_us": 2000000}],
        "extra": {"agents": 400, "bootstrap": 8, "channel_rate": 1000000.0, "cycle_us": 500000,
            "level_kind": "ratio", "most_waiting": 2000000.0, "per_message": 10.0,
            "worst_transit_us": 100000},
        "rules": {"cold_from": 0.3, "warm_after_us": 10000000}, "siblings": 1, "zones": ["a"],
    }})
}

impl Harness {
    /// Starts a governor that watches `agent`, with its configuration modified by `change`.
    async fn start(name: &str, agent: &Agent, change: impl FnOnce(&mut Value)) -> Harness {
        Harness::on(name, agent, change, listen("127.0.0.1:0".parse().unwrap()).unwrap())
    }

    fn on(name: &str, agent: &Agent, change: impl FnOnce(&mut Value), listener: TcpListener) -> Harness {
        let folder = std::env::temp_dir().join(format!("wrenthread-harness-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (address, path) = (listener.local_addr().unwrap(), folder.join("config.json"));
        let mut value = config(agent.address);
        change(&mut value);
        std::fs::write(&path, value.to_string()).unwrap();
        let config = Config::read(&path).unwrap();
        let variables =
            Variables { name: "n0".into(), listen: address, discovery: agent.address, config: path };
        Harness { service: Service::start(variables, config, listener), address, folder }
    }

    /// Lets the governor handle all queued events and execute the resulting actions.
    fn step(&mut self) {
        while let Ok(event) = self.service.watch_events.try_recv() {
            self.service.handle_watch_event(event);
        }
        while let Ok(event) = self.service.connection_events.try_recv() {
            self.service.handle_connection_event(event);
        }
        self.service.advance();
    }

    /// Runs the connections' tasks, but not the governor, until a condition holds.
    async fn wait_without_governor(&mut self, what: &str, mut condition: impl FnMut(&Service) -> bool) {
        let began = std::time::Instant::now();
        while !condition(&self.service) {
            assert!(began.elapsed() < Duration::from_secs(20), "timed out waiting until {what}");
            yield_now().await;
        }
    }

    /// Runs everything, advancing time a little with each check, until a condition holds.
    async fn wait_until(&mut self, what: &str, mut condition: impl FnMut(&Service) -> bool) {
        let began = std::time::Instant::now();
        loop {
            self.step();
            if condition(&self.service) {
                return;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "timed out waiting until {what}");
            advance(Duration::from_millis(5)).await;
        }
    }

    /// Advances time by `span`, with the governor handling events meanwhile.
    async fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            advance(Duration::from_millis(20)).await;
            self.step();
        }
    }

    async fn connect(&self) -> Peer {
        Peer { stream: TcpStream::connect(self.address).await.unwrap(), unread: Vec::new() }
    }

    /// Connects a peer that identifies itself as this proxy, and waits for its table.
    async fn connect_proxy(&mut self, proxy: u16) -> Peer {
        let mut peer = self.connect().await;
        peer.send(&subscribe(proxy));
        peer.receive_matching(self, |message| message["whole"] == true).await;
        peer
    }

    /// Writes a new configuration and reloads it.
    fn reload(&mut self, config: &Value) {
        std::fs::write(self.folder.join("config.json"), config.to_string()).unwrap();
        self.service.reload_config();
    }

    /// How many inputs were discarded since the last call, for reasons that start with `reason`.
    fn discarded(&mut self, reason: &str) -> u64 {
        let mut counts = self.service.connections.discard_counts();
        for (reason, count) in self.service.governor.take_discard_counts() {
            counts.insert(reason.to_string(), count);
        }
        counts.iter().filter(|(counted, _)| counted.starts_with(reason)).map(|(_, count)| count).sum()
    }

    fn serves(&self, proxy: u16) -> bool {
        self.service.governor.connection_of(proxy).is_some()
    }
}

fn subscribe(proxy: u16) -> Value {
    json!({"@type": "SUBSCRIBE", "node": proxy, "locality": "a", "w": 2.0, "cold": false})
}

fn rate(proxy: u16, total: u64) -> Value {
    json!({"@type": "RATE", "node": proxy, "route": "find", "total": total, "errors": 0, "interval": 500.0})
}

/// A client connection to the governor.
struct Peer {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Peer {
    fn send(&mut self, message: &Value) {
        self.write(format!("{message}\n").as_bytes());
    }

    fn write(&mut self, bytes: &[u8]) {
        assert_eq!(self.stream.try_write(bytes).unwrap(), bytes.len());
    }

    /// Returns the complete messages received so far, and whether the connection has ended.
    fn read(&mut self) -> (Vec<Value>, bool) {
        let (mut bytes, mut ended) = ([0; 4096], false);
        loop {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => ended = true,
                Ok(count) => {
                    self.unread.extend_from_slice(&bytes[..count]);
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => ended = true,
            }
            break;
        }
        let complete = self.unread.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        let lines: Vec<u8> = self.unread.drain(..complete).collect();
        let lines = lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        (lines.map(|line| serde_json::from_slice(line).unwrap()).collect(), ended)
    }

    /// Reads until a message arrives for which `fits` holds, and returns it.
    async fn receive_matching(&mut self, harness: &mut Harness, fits: impl Fn(&Value) -> bool) -> Value {
        let mut found = None;
        let what = "the message arrives";
        harness
            .wait_until(what, |_| {
                let (messages, ended) = self.read();
                found = found.take().or_else(|| messages.into_iter().find(&fits));
                assert!(found.is_some() || !ended, "the stream ended before {what}");
                found.is_some()
            })
            .await;
        found.unwrap()
    }

    async fn wait_until_closed(&mut self, harness: &mut Harness) {
        harness.wait_until("the connection ends", |_| self.read().1).await;
    }
}

/// Whether a message removes a replica from the table.
fn removes(message: &Value, name: &str) -> bool {
    message["lines"].as_array().is_some_and(|lines| lines.contains(&json!([name, 0.0])))
}
