//! State shared by all connections, on a single thread: limits, unidentified peers, collectors, counts of discarded
//! input.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;
use wrenthread::types::ReplicaId;
use wrenthread_platform_governor::ConnectionId;
use wrenthread_platform_protocol::decode::{DecodeError, Decoder};

use super::connection::{Connection, ConnectionEvent, MAX_MESSAGE_BYTES};

/// File descriptors reserved for anything but accepted connections: standard streams, polling, signals, discovery.
const RESERVED_SOCKETS: usize = 24;
/// Collectors per zone: the connection of one that failed may remain open beside its successor's.
const MAX_COLLECTORS: usize = 3;
const COLLECTOR_REPLACED: &str = "collector: replaced by newer ones";
/// The range of the limit on unidentified peers.
const MIN_UNIDENTIFIED: usize = 16;
const MAX_UNIDENTIFIED: usize = 512;
/// Incomplete frames may take the memory limit divided by this.
const INCOMPLETE_MEMORY_DIVISOR: usize = 8;
/// The limit on incomplete frames until the platform's limits are known.
const INITIAL_MAX_INCOMPLETE_BYTES: usize = 1 << 20;
const READ_BUFFER_BYTES: usize = 16 << 10;
/// How much of an invalid message is logged.
const SAMPLE_BYTES: usize = 200;
/// How many unidentified peers are evicted when accepting a connection fails, most likely for lack of descriptors.
const EVICTED_AT_ACCEPT_ERROR: usize = 8;
/// How many closed connections with the same reason are logged individually between two logs of counts.
const MAX_LOGGED_CLOSINGS: u64 = 8;
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The registration of an unidentified peer.
#[derive(Default)]
pub struct UnidentifiedPeer {
    /// Notified when the peer is evicted: the reader checks its socket once more and closes the connection if it is
    /// empty.
    pub evicted: Notify,
    /// Whether part of the first message has arrived.
    pub has_begun: Cell<bool>,
}

/// The platform's limits, and the numbers of proxies and zones, from which the expected connections follow.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    pub sockets: usize,
    pub memory_bytes: usize,
    pub proxies: u64,
    pub zones: usize,
}

/// A registered collector.
struct Collector {
    connection: ConnectionId,
    reader: AbortHandle,
}

/// State shared by all connections.
pub struct Connections {
    pub decoder: Decoder,
    /// The names of replicas that are in the endpoint list or were until recently.
    pub replica_names: RefCell<BTreeSet<ReplicaId>>,
    /// The read buffer, used by one connection at a time.
    pub read_buffer: RefCell<Vec<u8>>,
    /// Discarded messages and closed connections since the last log of counts, by reason.
    discarded: RefCell<BTreeMap<String, u64>>,
    /// Closed connections since the last log of counts, by reason; limits how many are logged individually.
    closings: RefCell<BTreeMap<String, u64>>,
    max_unidentified: Cell<usize>,
    max_incomplete_bytes: Cell<usize>,
    /// Bytes of incomplete frames, in all connections together.
    incomplete_bytes: Cell<usize>,
    unidentified: RefCell<BTreeMap<ConnectionId, Rc<UnidentifiedPeer>>>,
    collectors: RefCell<BTreeMap<usize, Vec<Collector>>>,
}

impl Connections {
    pub fn new(decoder: Decoder) -> Self {
        Connections {
            decoder,
            replica_names: RefCell::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            discarded: RefCell::default(),
            closings: RefCell::default(),
            max_unidentified: Cell::new(MIN_UNIDENTIFIED),
            max_incomplete_bytes: Cell::new(INITIAL_MAX_INCOMPLETE_BYTES),
            incomplete_bytes: Cell::new(0),
            unidentified: RefCell::default(),
            collectors: RefCell::default(),
        }
    }

    /// Sets the limits on unidentified peers and on bytes of incomplete frames.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        let proxies = usize::try_from(limits.proxies).unwrap_or(usize::MAX);
        let expected = proxies.saturating_add(MAX_COLLECTORS * limits.zones + RESERVED_SOCKETS);
        let spare = limits.sockets.saturating_sub(expected);
        self.max_unidentified.set(spare.clamp(MIN_UNIDENTIFIED, MAX_UNIDENTIFIED));
        let incomplete = limits.memory_bytes / INCOMPLETE_MEMORY_DIVISOR;
        self.max_incomplete_bytes.set(incomplete.max(2 * MAX_MESSAGE_BYTES));
    }

    /// Bytes of incomplete frames, in all connections together.
    #[cfg(test)]
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes.get()
    }

    /// Updates the total after a connection's incomplete bytes changed. Returns whether it is within the limit.
    pub fn update_incomplete_bytes(&self, before: usize, now: usize) -> bool {
        let incomplete_bytes = self.incomplete_bytes.get() - before + now;
        self.incomplete_bytes.set(incomplete_bytes);
        incomplete_bytes <= self.max_incomplete_bytes.get()
    }

    /// Counts a discarded message or a closed connection.
    pub fn count_discard(&self, reason: impl Display) {
        *self.discarded.borrow_mut().entry(reason.to_string()).or_insert(0) += 1;
    }

    /// Counts an invalid message, and logs the first one with each reason between two logs of counts.
    pub fn count_invalid_message(&self, error: &DecodeError, frame: &[u8]) {
        let reason = format!("invalid: {error}");
        if !self.discarded.borrow().contains_key(&reason) {
            let sample = String::from_utf8_lossy(&frame[..frame.len().min(SAMPLE_BYTES)]).into_owned();
            tracing::info!(%error, sample, "invalid message discarded");
        }
        self.count_discard(reason);
    }

    /// Logs a closed connection, unless [`MAX_LOGGED_CLOSINGS`] with the same reason were logged since the last log of
    /// counts.
    pub fn log_closing(&self, reason: impl Display, log: impl FnOnce(&str)) {
        let reason = reason.to_string();
        let mut closings = self.closings.borrow_mut();
        let logged = closings.entry(reason.clone()).or_insert(0);
        *logged += 1;
        if *logged <= MAX_LOGGED_CLOSINGS {
            log(&reason);
        }
    }

    /// Returns and resets the counts by reason.
    pub fn take_discard_counts(&self) -> BTreeMap<String, u64> {
        self.closings.borrow_mut().clear();
        std::mem::take(&mut *self.discarded.borrow_mut())
    }

    /// The counts by reason since the last reset.
    #[cfg(test)]
    pub fn discard_counts(&self) -> BTreeMap<String, u64> {
        self.discarded.borrow().clone()
    }

    /// Registers an unidentified peer, and evicts others above the limit.
    pub fn add_unidentified(&self, connection: ConnectionId, peer: Rc<UnidentifiedPeer>) {
        self.unidentified.borrow_mut().insert(connection, peer);
        self.evict_unidentified(self.max_unidentified.get());
    }

    /// Removes a peer that has identified itself, or whose connection has ended.
    pub fn remove_unidentified(&self, connection: ConnectionId) {
        self.unidentified.borrow_mut().remove(&connection);
    }

    /// Evicts unidentified peers until at most `max` are left: those that have sent nothing first, each group oldest
    /// first.
    fn evict_unidentified(&self, max: usize) {
        let mut unidentified = self.unidentified.borrow_mut();
        while unidentified.len() > max {
            let silent = unidentified.iter().find(|(_, peer)| !peer.has_begun.get());
            let Some(connection) = silent.or(unidentified.iter().next()).map(|(connection, _)| *connection)
            else {
                return;
            };
            if let Some(peer) = unidentified.remove(&connection) {
                peer.evicted.notify_one();
            }
        }
    }

    /// Registers a collector; closes the oldest one in its zone if there are too many.
    pub fn add_collector(&self, zone: usize, connection: ConnectionId, reader: AbortHandle) {
        let mut collectors = self.collectors.borrow_mut();
        let zone_collectors = collectors.entry(zone).or_default();
        zone_collectors.push(Collector { connection, reader });
        if zone_collectors.len() > MAX_COLLECTORS {
            let oldest = zone_collectors.remove(0);
            oldest.reader.abort();
            self.count_discard(COLLECTOR_REPLACED);
            self.log_closing(COLLECTOR_REPLACED, |reason| {
                tracing::info!(connection = oldest.connection.0, zone, reason, "connection closed");
            });
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, connection: ConnectionId, incomplete_bytes: usize) {
        self.remove_unidentified(connection);
        self.update_incomplete_bytes(incomplete_bytes, 0);
        for zone_collectors in self.collectors.borrow_mut().values_mut() {
            zone_collectors.retain(|collector| collector.connection != connection);
        }
    }
}

/// Accepts connections until the task is dropped.
pub async fn accept(
    listener: TcpListener,
    connections: Rc<Connections>,
    events: mpsc::Sender<ConnectionEvent>,
) {
    let mut accepted = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                accepted += 1;
                let id = ConnectionId(accepted);
                let reader = Rc::new(OnceCell::new());
                let connection =
                    Connection::new(stream, id, connections.clone(), events.clone(), reader.clone());
                let peer = connection.unidentified_peer();
                // The spawned task first runs when this one yields: `reader` is set and the peer registered by then.
                let _ = reader.set(spawn_local(connection.serve()).abort_handle());
                connections.add_unidentified(id, peer);
            }
            Err(error) => {
                connections.count_discard(format_args!("accept failed: {error}"));
                let unidentified = connections.unidentified.borrow().len();
                connections.evict_unidentified(unidentified.saturating_sub(EVICTED_AT_ACCEPT_ERROR));
                sleep(ACCEPT_BACKOFF).await; // avoids a busy loop
            }
        }
    }
}
