//! The node in this process, over real connections, while time stands still: what comes between two lines,
//! and when, is the test's to say. The node takes nothing in unless a test has it do so ([`Stage::step`]).

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

use super::service::{FORMER_WATCHER_TIME, Service};
use super::*;

mod discovery;
mod peers;
mod silence;

/// Runs a test on one thread, with time standing still.
fn play(test: impl AsyncFnOnce()) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        // Time that stands still would yet move on by itself while all wait; not while something blocks.
        let (release, held) = std::sync::mpsc::channel::<()>();
        let holder = spawn_blocking(move || held.recv().is_err());
        test().await;
        drop(release);
        assert!(holder.await.unwrap());
    });
}

fn object(version: u64, whole: bool, rows: &[(&str, &str)]) -> Value {
    let row =
        |(name, status): &(&str, &str)| json!({"name": name, "zone": "a", "status": status, "weight": 1.0});
    json!({"index": version, "snapshot": whole, "endpoints": rows.iter().map(row).collect::<Vec<_>>()})
}

const UP: [(&str, &str); 4] = [("r1", "up"), ("r2", "up"), ("r3", "up"), ("r4", "up")];

/// A stand-in for discovery at one address: it takes connections, and says what it is told to say.
struct Agent {
    address: SocketAddr,
    /// What was asked for, in order, and the connections on which it was asked.
    asked: Rc<RefCell<Vec<(String, TcpStream)>>>,
}

impl Agent {
    async fn start() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let agent = Agent { address: listener.local_addr().unwrap(), asked: Rc::default() };
        let asked = agent.asked.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = Vec::new();
                while !request.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else { break };
                    request.push(byte);
                }
                let request = String::from_utf8(request).unwrap();
                let path = request.split(' ').nth(1).unwrap_or_default().to_string();
                asked.borrow_mut().push((path, stream));
            }
        });
        agent
    }

    fn heard(&self, path: &str) -> usize {
        self.asked.borrow().iter().filter(|(asked, _)| asked == path).count()
    }

    /// Answers the newest request for this path, as a watch that stays open.
    async fn tell(&self, path: &str, objects: &[Value]) {
        let lines: String = objects.iter().map(|object| format!("{object}\n")).collect();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.write(path, &format!("{head}{:x}\r\n{lines}\r\n", lines.len())).await;
    }

    /// Says more on the newest watch for this path.
    async fn tell_more(&self, path: &str, object: &Value) {
        let line = format!("{object}\n");
        self.write(path, &format!("{:x}\r\n{line}\r\n", line.len())).await;
    }

    /// Answers the newest request for the whole list.
    async fn tell_whole(&self, list: &Value) {
        let list = list.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        self.write(WHOLE, &answer).await;
    }

    async fn write(&self, path: &str, text: &str) {
        let mut asked = self.asked.borrow_mut();
        let (_, stream) = asked.iter_mut().rfind(|(asked, _)| asked == path).expect("it was asked for");
        stream.try_write(text.as_bytes()).unwrap();
    }
}

const WHOLE: &str = "/registry/instances";

fn watch_from(version: u64) -> String {
    format!("{WHOLE}?watch=1&from={version}")
}

struct Stage {
    service: Service,
    address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn config(discovery: SocketAddr) -> Value {
    json!({"discovery": discovery.to_string(), "limits": {"memory_mb": 32, "sockets": 512},
    "known": object(1, true, &UP),
    "settings": {
        "categories": [{"name": "find", "deadline_us": 5000000, "effect": "retryable",
            "objective_us": 2000000}],
        "extra": {"agents": 400, "bootstrap": 8, "channel_rate": 1000000.0, "cycle_us": 500000,
            "level_kind": "ratio", "most_waiting": 2000000.0, "per_message": 10.0,
            "worst_transit_us": 100000},
        "rules": {"cold_from": 0.3, "warm_after_us": 10000000}, "siblings": 1, "zones": ["a"],
    }})
}

impl Stage {
    /// A node that follows `agent`, with its configuration changed as said.
    async fn start(name: &str, agent: &Agent, change: impl FnOnce(&mut Value)) -> Stage {
        Stage::on(name, agent, change, listen("127.0.0.1:0".parse().unwrap()).unwrap())
    }

    fn on(name: &str, agent: &Agent, change: impl FnOnce(&mut Value), listener: TcpListener) -> Stage {
        let folder = std::env::temp_dir().join(format!("wrenthread-stage-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (address, path) = (listener.local_addr().unwrap(), folder.join("config.json"));
        let mut whole = config(agent.address);
        change(&mut whole);
        std::fs::write(&path, whole.to_string()).unwrap();
        let config = Config::read(&path).unwrap();
        let variables =
            Variables { name: "n0".into(), listen: address, discovery: agent.address, config: path };
        Stage { service: Service::start(variables, config, listener), address, folder }
    }

    /// Has the node take in all that waits for it, and send what comes of it.
    fn step(&mut self) {
        while let Ok(event) = self.service.watch_events.try_recv() {
            self.service.handle_watch_event(event);
        }
        while let Ok(event) = self.service.connection_events.try_recv() {
            self.service.handle_connection_event(event);
        }
        self.service.advance();
    }

    /// Lets connections go on, but not the node, until something is so.
    async fn held_until(&mut self, what: &str, mut so: impl FnMut(&Service) -> bool) {
        let began = std::time::Instant::now();
        while !so(&self.service) {
            assert!(began.elapsed() < Duration::from_secs(20), "never: {what}");
            yield_now().await;
        }
    }

    /// Lets all go on, a little time pass with each look, until something is so.
    async fn until(&mut self, what: &str, mut so: impl FnMut(&Service) -> bool) {
        let began = std::time::Instant::now();
        loop {
            self.step();
            if so(&self.service) {
                return;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "never: {what}");
            advance(Duration::from_millis(5)).await;
        }
    }

    /// Lets a span pass, and the node take in what comes meanwhile.
    async fn pass(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            advance(Duration::from_millis(20)).await;
            self.step();
        }
    }

    async fn dial(&self) -> Peer {
        Peer { stream: TcpStream::connect(self.address).await.unwrap(), unread: Vec::new() }
    }

    /// A peer that says it is this proxy.
    async fn join(&mut self, proxy: u16) -> Peer {
        let mut peer = self.dial().await;
        peer.say(&joining(proxy));
        peer.until_told(self, |order| order["whole"] == true).await;
        peer
    }

    /// Writes another configuration, and has it read.
    fn reload(&mut self, whole: &Value) {
        std::fs::write(self.folder.join("config.json"), whole.to_string()).unwrap();
        self.service.reload_config();
    }

    /// How many inputs were discarded for a reason that begins so, since this was last asked.
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

fn joining(proxy: u16) -> Value {
    json!({"@type": "SUBSCRIBE", "node": proxy, "locality": "a", "w": 2.0, "cold": false})
}

fn rate(proxy: u16, total: u64) -> Value {
    json!({"@type": "RATE", "node": proxy, "route": "find", "total": total, "errors": 0, "interval": 500.0})
}

/// Whoever dials the node's address.
struct Peer {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Peer {
    fn say(&mut self, message: &Value) {
        self.write(format!("{message}\n").as_bytes());
    }

    fn write(&mut self, bytes: &[u8]) {
        assert_eq!(self.stream.try_write(bytes).unwrap(), bytes.len());
    }

    /// What has come: whole messages, and whether the connection has ended.
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
        let whole = self.unread.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        let lines: Vec<u8> = self.unread.drain(..whole).collect();
        let lines = lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        (lines.map(|line| serde_json::from_slice(line).unwrap()).collect(), ended)
    }

    /// Hears until something comes that fits.
    async fn until_told(&mut self, stage: &mut Stage, fits: impl Fn(&Value) -> bool) -> Value {
        let mut found = None;
        let what = "the order comes";
        stage
            .until(what, |_| {
                let (orders, ended) = self.read();
                found = found.take().or_else(|| orders.into_iter().find(&fits));
                assert!(found.is_some() || !ended, "the stream stays until {what}");
                found.is_some()
            })
            .await;
        found.unwrap()
    }

    async fn until_ended(&mut self, stage: &mut Stage) {
        stage.until("the connection ends", |_| self.read().1).await;
    }
}

/// Whether an order takes a replica out of the table.
fn takes_out(order: &Value, name: &str) -> bool {
    order["lines"].as_array().is_some_and(|lines| lines.contains(&json!([name, 0.0])))
}
