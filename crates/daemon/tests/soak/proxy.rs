//! Proxies that reconnect whenever a connection ends, and crowds of peers that never identify themselves.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::event_log::{Event, EventLog, GovernorIndex, PeerOutcome, StreamEnd};

/// How often a proxy reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a proxy waits before it reconnects.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(30);
/// How often a crowd's peers are checked.
const CROWD_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The platform's time limit for closing a peer that does not identify itself.
pub const CLOSE_WITHIN: Duration = Duration::from_secs(3);

/// The governors' addresses.
pub type Addresses = Arc<Vec<SocketAddr>>;

/// State shared by all proxies.
#[derive(Clone)]
pub struct Fleet {
    pub addresses: Addresses,
    pub log: EventLog,
    pub streams: Arc<AtomicU64>,
    /// Set when all proxies should end.
    pub stopping: Arc<AtomicBool>,
}

/// A proxy with its own thread, which connects to a governor, or to the next one if that fails, and reconnects when the
/// connection ends.
pub struct Proxy {
    connection: Arc<Mutex<Option<TcpStream>>>,
    closing: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<()>,
}

impl Proxy {
    pub fn start(number: u16, fleet: Fleet) -> Proxy {
        let connection: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        let closing: Arc<AtomicBool> = Arc::default();
        let proxy_thread = ProxyThread {
            number,
            fleet,
            connection: connection.clone(),
            closing: closing.clone(),
            holds_tables: number.is_multiple_of(2),
        };
        let thread = std::thread::spawn(move || proxy_thread.run());
        Proxy { connection, closing, thread }
    }

    /// Closes the proxy's connection; the proxy then reconnects.
    pub fn reconnect(&self) {
        if let Some(stream) = self.connection.lock().unwrap().as_ref() {
            self.closing.store(true, Ordering::Relaxed);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the connection and waits for the thread to end, once [`Fleet::stopping`] is set.
    pub fn join(self) {
        self.reconnect();
        self.thread.join().unwrap();
    }
}

struct ProxyThread {
    number: u16,
    fleet: Fleet,
    connection: Arc<Mutex<Option<TcpStream>>>,
    closing: Arc<AtomicBool>,
    /// Whether the proxy has a table from a governor. Half of the proxies do from the start, as from an earlier
    /// governor.
    holds_tables: bool,
}

impl ProxyThread {
    fn run(mut self) {
        let count = self.fleet.addresses.len();
        let mut governor = usize::from(self.number) % count;
        while !self.fleet.stopping.load(Ordering::Relaxed) {
            match TcpStream::connect(self.fleet.addresses[governor]) {
                Ok(stream) => self.follow(stream, governor),
                Err(_) => governor = (governor + 1) % count,
            }
            std::thread::sleep(RECONNECT_INTERVAL);
        }
    }

    fn follow(&mut self, stream: TcpStream, governor: GovernorIndex) {
        let number = self.fleet.streams.fetch_add(1, Ordering::Relaxed);
        let log = self.fleet.log.clone();
        let holds_default_table = !self.holds_tables;
        log.push(Event::Connected { stream: number, proxy: self.number, governor, holds_default_table });
        *self.connection.lock().unwrap() = stream.try_clone().ok();
        let _ = self.exchange(stream, number, holds_default_table);
        let by_proxy =
            self.closing.swap(false, Ordering::Relaxed) || self.fleet.stopping.load(Ordering::Relaxed);
        let end = if by_proxy { StreamEnd::ByProxy } else { StreamEnd::ByGovernor };
        log.push(Event::Ended { stream: number, end });
        *self.connection.lock().unwrap() = None;
    }

    /// Subscribes, acknowledges tables and sends reports until the connection ends.
    fn exchange(&mut self, stream: TcpStream, number: u64, holds_default_table: bool) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(REPORT_INTERVAL))?;
        let mut reader = BufReader::new(stream);
        let subscribe = json!({"@type": "SUBSCRIBE", "node": self.number, "locality": "a", "w": 4.0,
            "cold": holds_default_table});
        send(reader.get_mut(), &subscribe)?;
        let mut line = Vec::new();
        let mut reported_at = Instant::now();
        loop {
            match reader.read_until(b'\n', &mut line) {
                Ok(0) => return Ok(()),
                Ok(_) if line.ends_with(b"\n") => {
                    let message: Value = serde_json::from_slice(&line).unwrap();
                    line.clear();
                    self.handle_message(reader.get_mut(), number, message)?;
                }
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) => return Err(error),
            }
            if reported_at.elapsed() >= REPORT_INTERVAL {
                reported_at = Instant::now();
                let rate = json!({"@type": "RATE", "node": self.number, "route": "find", "total": 1, "errors": 0,
                    "interval": REPORT_INTERVAL.as_millis() as f64});
                send(reader.get_mut(), &rate)?;
            }
        }
    }

    fn handle_message(&mut self, stream: &mut TcpStream, number: u64, message: Value) -> std::io::Result<()> {
        let ticket = message["ticket"].as_u64();
        self.holds_tables |= message["whole"] == true;
        self.fleet.log.push(Event::Received { stream: number, message });
        let Some(ticket) = ticket else { return Ok(()) };
        send(stream, &json!({"@type": "ACK", "node": self.number, "nonce": ticket, "latency": 1.0}))
    }
}

fn send(stream: &mut TcpStream, message: &Value) -> std::io::Result<()> {
    stream.write_all(format!("{message}\n").as_bytes())
}

/// The messages that the peers of a crowd send in turn.
const CROWD_MESSAGES: [&[u8]; 5] = [
    b"",
    b"{\"@type\":\"SUBSCRIBE\",\"node\":1,",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"{\"@type\":\"SUBSCRIBE\",\"node\":60000,\"locality\":\"a\",\"w\":1,\"cold\":true}\n",
    b"{\"@type\":\"PING\"}\n",
];

/// Connects many peers at once that never join, and waits until each is closed or rejected, or the time limit for that
/// has expired. Time during which `is_excused` holds does not count.
pub fn run_crowd(
    governor: GovernorIndex,
    address: SocketAddr,
    count: usize,
    log: &EventLog,
    is_excused: impl Fn() -> bool,
) {
    let mut peers = Vec::new();
    for number in 0..count {
        let Ok(mut stream) = TcpStream::connect(address) else { break };
        let _ = stream.write_all(CROWD_MESSAGES[number % CROWD_MESSAGES.len()]);
        let _ = stream.set_nonblocking(true);
        peers.push(stream);
    }
    let mut remaining = CLOSE_WITHIN;
    while !peers.is_empty() && !remaining.is_zero() {
        peers.retain_mut(|peer| !is_closed_or_rejected(peer));
        let checked_at = Instant::now();
        std::thread::sleep(CROWD_POLL_INTERVAL);
        if !is_excused() {
            remaining = remaining.saturating_sub(checked_at.elapsed());
        }
    }
    peers.retain_mut(|peer| !is_closed_or_rejected(peer));
    for _ in &peers {
        log.push(Event::Crowd { governor, outcome: PeerOutcome::LeftOpen });
    }
    log.push(Event::Crowd { governor, outcome: PeerOutcome::ClosedOrRejected });
}

fn is_closed_or_rejected(peer: &mut TcpStream) -> bool {
    let mut bytes = [0; 256];
    match peer.read(&mut bytes) {
        Ok(0) => true,
        Ok(count) => bytes[..count].windows(4).any(|window| window == b"NACK"),
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Reads one line without buffering beyond it; `None` at the end of the connection or on a timeout.
pub fn read_line(stream: &TcpStream) -> Option<Vec<u8>> {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut line = Vec::new();
    let read = BufReader::with_capacity(1, stream).read_until(b'\n', &mut line);
    (read.is_ok() && line.ends_with(b"\n")).then_some(line)
}

/// Reads one message, and logs the end of the stream.
pub fn read_first_message(stream: &TcpStream, number: u64, log: &EventLog) {
    let end = match read_line(stream) {
        Some(line) => {
            let message = serde_json::from_slice(&line).unwrap();
            log.push(Event::Received { stream: number, message });
            StreamEnd::ByProxy
        }
        None => StreamEnd::ByGovernor,
    };
    log.push(Event::Ended { stream: number, end });
}
