//! Connections at the governor's address: unidentified peers, collectors and proxies' streams.
//!
//! An unidentified peer has a second and a small buffer to say who it is. Whatever can't be read, or comes
//! out of order, ends the connection with a `NACK`; a spoilt message of a known party is left out and
//! counted.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until};
use wrenthread::types::{DemandStatistics, ProxyConnection, ProxyId, ReplicaId};
use wrenthread_platform_governor::ConnectionId;
use wrenthread_platform_protocol::decode::{DecodeError, Decoder, Message};
use wrenthread_platform_protocol::frames::FrameBuffer;

/// What a connection has to say who it is; it may be closed then.
const IDENTIFY_WITHIN: Duration = Duration::from_millis(1000);
/// A joining is under 200 bytes.
const UNIDENTIFIED_BYTES: usize = 4 << 10;
/// The platform's bound for a message.
const MESSAGE_MOST: usize = 1 << 20;
/// A proxy that leaves this much unread has been gone for long: all orders of a minute are a fraction of it.
const UNSENT_MOST: usize = 256 << 10;
/// Descriptors for what is not a connection at the address: standard streams, polls, signals, discovery.
const RESERVE: usize = 24;
/// Collectors of a zone at once: one that vanished may linger beside its successor.
const COLLECTORS: usize = 3;
/// Of a spoilt message, so much is logged.
const SAMPLE: usize = 200;
const NACK: &[u8] = b"{\"@type\":\"NACK\"}\n";
const PONG: &[u8] = b"{\"@type\":\"PONG\"}\n";

/// What the connections tell the one task that owns all state.
pub enum ConnectionEvent {
    ProxyConnected {
        connection: ConnectionId,
        proxy: ProxyConnection,
        handle: StreamHandle,
    },
    /// What the stream of a proxy says.
    ProxyMessage {
        connection: ConnectionId,
        proxy: ProxyId,
        message: Message,
    },
    /// What a collector hands on, of whichever proxies.
    CollectorMessage(Message),
    /// The stream of a proxy has ended.
    Ended {
        connection: ConnectionId,
        proxy: ProxyId,
    },
}

type MessageSender = mpsc::UnboundedSender<Vec<u8>>;

/// The sending side of a proxy's stream. Dropping it ends the connection.
pub struct StreamHandle {
    queue: MessageSender,
    unsent: Rc<Cell<usize>>,
    heard: Rc<Cell<Instant>>,
    reader: AbortHandle,
    writer: AbortHandle,
}

impl StreamHandle {
    /// False if the party has left too much unread.
    pub fn send(&self, bytes: Vec<u8>) -> bool {
        queue(&self.queue, &self.unsent, bytes)
    }

    /// When bytes last came, good or spoilt.
    pub fn heard(&self) -> Instant {
        self.heard.get()
    }
}

impl Drop for StreamHandle {
    fn drop(&mut self) {
        self.reader.abort();
        self.writer.abort();
    }
}

fn queue(queue: &MessageSender, unsent: &Cell<usize>, bytes: Vec<u8>) -> bool {
    if unsent.get() + bytes.len() > UNSENT_MOST {
        return false;
    }
    unsent.set(unsent.get() + bytes.len());
    queue.send(bytes).is_ok()
}

/// The place that an unidentified peer takes.
#[derive(Default)]
struct Place {
    /// Others want it: the reader looks at its socket once more, and goes if nothing is there.
    wanted: Notify,
    /// It has begun to say who it is.
    begun: Cell<bool>,
}

/// What all connections share, on the one thread.
pub struct Connections {
    pub decoder: Decoder,
    /// Replicas by name, as the list has them or lately had them.
    pub names: RefCell<BTreeSet<ReplicaId>>,
    /// What was left out or ended, by reason, since it was last logged.
    pub faults: RefCell<BTreeMap<String, u64>>,
    /// How many unidentified there may be.
    unidentified_most: Cell<usize>,
    /// Bytes that may wait for the end of their frames, in all connections together.
    unread_most: Cell<usize>,
    unread: Cell<usize>,
    unidentified: RefCell<BTreeMap<ConnectionId, Rc<Place>>>,
    collectors: RefCell<BTreeMap<usize, Vec<(ConnectionId, AbortHandle)>>>,
    scratch: RefCell<Vec<u8>>,
}

impl Connections {
    pub fn new(decoder: Decoder) -> Self {
        Connections {
            decoder,
            names: RefCell::default(),
            faults: RefCell::default(),
            unidentified_most: Cell::new(16),
            unread_most: Cell::new(1 << 20),
            unread: Cell::new(0),
            unidentified: RefCell::default(),
            collectors: RefCell::default(),
            scratch: RefCell::new(vec![0; 16 << 10]),
        }
    }

    /// Sets what unidentified and unread input may take, from the platform's limits.
    pub fn limit(&self, sockets: usize, memory: usize, proxies: u64, zones: usize) {
        let known = usize::try_from(proxies).unwrap_or(usize::MAX);
        let known = known.saturating_add(COLLECTORS * zones + RESERVE);
        self.unidentified_most.set(sockets.saturating_sub(known).clamp(16, 512));
        self.unread_most.set((memory / 8).max(2 * MESSAGE_MOST));
    }

    /// Bytes that wait for the end of their frames, in all connections together.
    #[cfg(test)]
    pub fn unread(&self) -> usize {
        self.unread.get()
    }

    pub fn count(&self, why: impl Into<String>) {
        *self.faults.borrow_mut().entry(why.into()).or_insert(0) += 1;
    }

    /// Counts a spoilt message, and logs the first of its kind between two logs of counts.
    fn spoilt(&self, why: &DecodeError, frame: &[u8]) {
        let reason = format!("spoilt: {why}");
        if !self.faults.borrow().contains_key(&reason) {
            let sample = String::from_utf8_lossy(&frame[..frame.len().min(SAMPLE)]).into_owned();
            tracing::info!(%why, sample, "a spoilt message is left out");
        }
        self.count(reason);
    }

    fn settle(&self, connection: ConnectionId) {
        self.unidentified.borrow_mut().remove(&connection);
    }

    /// Whoever has said nothing for longest gives up its place, unless bytes of it wait to be read.
    fn make_room(&self, most: usize) {
        let mut unidentified = self.unidentified.borrow_mut();
        while unidentified.len() > most {
            let silent = unidentified.iter().find(|(_, place)| !place.begun.get()).map(|(number, _)| *number);
            let Some(number) = silent.or(unidentified.keys().next().copied()) else { return };
            unidentified.remove(&number).inspect(|place| place.wanted.notify_one());
        }
    }

    fn collects(&self, zone: usize, connection: ConnectionId, handle: AbortHandle) {
        let mut collectors = self.collectors.borrow_mut();
        let of = collectors.entry(zone).or_default();
        of.push((connection, handle));
        if of.len() > COLLECTORS {
            of.remove(0).1.abort();
            self.count("collector: newer ones came");
        }
    }
}

/// Accepts connections for as long as it runs.
pub async fn open(
    listener: TcpListener,
    connections: Rc<Connections>,
    events: mpsc::Sender<ConnectionEvent>,
) {
    let mut accepted = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                accepted += 1;
                let connection = ConnectionId(accepted);
                let own = Rc::new(OnceCell::new());
                let conn = ConnectionReader::new(
                    stream,
                    connection,
                    connections.clone(),
                    events.clone(),
                    own.clone(),
                );
                connections.unidentified.borrow_mut().insert(connection, conn.place.clone());
                // It is not polled before this task waits.
                let _ = own.set(spawn_local(conn.serve()).abort_handle());
                connections.make_room(connections.unidentified_most.get());
            }
            Err(error) => {
                // Out of descriptors, most likely: room is made, and waiting keeps this from spinning.
                connections.count(format!("accepting: {error}"));
                let unidentified = connections.unidentified.borrow().len();
                connections.make_room(unidentified.saturating_sub(8));
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum PeerRole {
    Unidentified,
    Collector,
    Proxy(ProxyId),
}

/// Messages, and what ends the connection after them.
type Heard = (Vec<Message>, Option<String>);

/// One connection, as its reader has it.
struct ConnectionReader {
    read: OwnedReadHalf,
    write: Option<OwnedWriteHalf>, // until a writer has it
    queue: Option<(MessageSender, Rc<Cell<usize>>)>,
    connection: ConnectionId,
    connections: Rc<Connections>,
    events: mpsc::Sender<ConnectionEvent>,
    own: Rc<OnceCell<AbortHandle>>,
    party: PeerRole,
    place: Rc<Place>,
    frames: FrameBuffer,
    heard: Rc<Cell<Instant>>,
    held: usize, // of what the connections may hold unread
}

impl Drop for ConnectionReader {
    fn drop(&mut self) {
        self.connections.settle(self.connection);
        self.connections.unread.set(self.connections.unread.get() - self.held);
        for of in self.connections.collectors.borrow_mut().values_mut() {
            of.retain(|(connection, _)| *connection != self.connection);
        }
    }
}

impl ConnectionReader {
    fn new(
        stream: TcpStream,
        connection: ConnectionId,
        connections: Rc<Connections>,
        events: mpsc::Sender<ConnectionEvent>,
        own: Rc<OnceCell<AbortHandle>>,
    ) -> Self {
        // Orders are small, and each is waited for.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        ConnectionReader {
            read,
            write: Some(write),
            queue: None,
            connection,
            connections,
            events,
            own,
            party: PeerRole::Unidentified,
            place: Rc::default(),
            frames: FrameBuffer::default(),
            heard: Rc::new(Cell::new(Instant::now())),
            held: 0,
        }
    }

    async fn serve(mut self) {
        let until = Instant::now() + IDENTIFY_WITHIN;
        let place = self.place.clone();
        let mut last_look = false;
        let why = loop {
            let unidentified = self.party == PeerRole::Unidentified;
            // What has come is read before the wait is judged: it may be the governor that stood still.
            let ready = tokio::select! {
                biased;
                ready = self.read.readable() => ready,
                () = std::future::ready(()), if unidentified && last_look => {
                    break Some("unidentified: others came".to_string());
                }
                () = place.wanted.notified(), if unidentified => {
                    last_look = true;
                    yield_now().await; // which has the sockets looked at, this one's with them
                    continue;
                }
                () = sleep_until(until), if unidentified => {
                    break Some("unidentified: did not say who it is".to_string());
                }
            };
            let heard = match ready.and_then(|()| self.take()) {
                Ok(Some(heard)) => heard,
                Ok(None) => break None,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(_) => break None,
            };
            let (messages, fault) = heard;
            let mut out_of_order = None;
            for message in messages {
                if let Err(why) = self.heed(message).await {
                    out_of_order = Some(why);
                    break;
                }
            }
            if let Some(why) = out_of_order.or(fault) {
                break Some(why);
            }
            let begun = place.begun.replace(self.held > 0);
            if std::mem::take(&mut last_look) && self.party == PeerRole::Unidentified {
                if begun || self.held == 0 {
                    break Some("unidentified: others came".to_string());
                }
                // It had begun, unread: those who said nothing go first, once it is among the others again.
                self.connections.unidentified.borrow_mut().insert(self.connection, place.clone());
                self.connections.make_room(self.connections.unidentified_most.get());
            }
        };
        if let Some(why) = why {
            self.say(NACK);
            self.connections.count(why);
        }
        if let PeerRole::Proxy(proxy) = self.party {
            let _ = self.events.send(ConnectionEvent::Ended { connection: self.connection, proxy }).await;
        }
    }

    /// Reads what is there: messages, and what ends the connection after them; none at its end.
    fn take(&mut self) -> std::io::Result<Option<Heard>> {
        let connections = self.connections.clone();
        let mut scratch = connections.scratch.borrow_mut();
        let count = self.read.try_read(&mut scratch)?;
        if count == 0 {
            return Ok(None);
        }
        self.heard.set(Instant::now());
        let (names, party) = (connections.names.borrow(), self.party);
        let most = if party == PeerRole::Unidentified { UNIDENTIFIED_BYTES } else { MESSAGE_MOST };
        let (mut messages, mut fault) = (Vec::new(), None);
        let pushed = self.frames.push(&scratch[..count], most, |frame| {
            match connections.decoder.decode(frame, |name| names.get(name).cloned()) {
                Ok(message) => messages.push(message),
                Err(DecodeError::Unreadable(why)) => fault = Some(format!("unreadable: {}", kind(&why))),
                // Nobody who is not known yet has a neighbour message that might be good.
                Err(why) if party == PeerRole::Unidentified && messages.is_empty() => {
                    fault = Some(format!("unidentified: {why}"));
                }
                Err(why) => connections.spoilt(&why, frame),
            }
            if fault.is_none() { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
        });
        if let Err(why) = pushed {
            fault = fault.or(Some(why.to_string()));
        }
        // All that is said here are objects: what begins otherwise need not be waited for.
        let waiting = self.frames.incomplete().trim_ascii_start();
        if fault.is_none() && waiting.first().is_some_and(|first| *first != b'{') {
            fault = Some("unreadable: not an object".into());
        }
        let held = self.frames.incomplete().len();
        connections.unread.set(connections.unread.get() - self.held + held);
        self.held = held;
        if fault.is_none()
            && held > UNIDENTIFIED_BYTES
            && connections.unread.get() > connections.unread_most.get()
        {
            fault = Some("unread: too much in all".into());
        }
        Ok(Some((messages, fault)))
    }

    /// Errors: what can't come from this party.
    async fn heed(&mut self, message: Message) -> Result<(), String> {
        match (message, self.party) {
            (Message::Ping, _) => {
                return if self.say(PONG) { Ok(()) } else { Err("unread: answers to PING".into()) };
            }
            (Message::Collector { zone }, PeerRole::Unidentified) => {
                self.party = PeerRole::Collector;
                self.connections.settle(self.connection);
                if let Some(own) = self.own.get() {
                    self.connections.collects(zone, self.connection, own.clone());
                }
            }
            (Message::ProxyConnected(proxy_connection), PeerRole::Unidentified) => {
                let (Some(write), Some(own)) = (self.write.take(), self.own.get()) else { return Ok(()) };
                self.party = PeerRole::Proxy(proxy_connection.proxy);
                self.connections.settle(self.connection);
                let (queue, orders) = mpsc::unbounded_channel();
                let unsent = Rc::new(Cell::new(0));
                let writer = spawn_local(send(write, orders, unsent.clone())).abort_handle();
                let handle = StreamHandle {
                    queue: queue.clone(),
                    unsent: unsent.clone(),
                    heard: self.heard.clone(),
                    reader: own.clone(),
                    writer,
                };
                self.queue = Some((queue, unsent));
                self.tell(ConnectionEvent::ProxyConnected {
                    connection: self.connection,
                    proxy: proxy_connection,
                    handle,
                })
                .await;
            }
            (
                message @ (Message::ReplicaStatistics(_) | Message::DemandStatistics(_)),
                PeerRole::Collector,
            ) => {
                self.tell(ConnectionEvent::CollectorMessage(message)).await;
            }
            (
                message @ (Message::DemandStatistics(DemandStatistics { proxy, .. })
                | Message::Acknowledged { proxy, .. }),
                PeerRole::Proxy(own),
            ) if proxy == own => {
                self.tell(ConnectionEvent::ProxyMessage { connection: self.connection, proxy, message })
                    .await;
            }
            (_, PeerRole::Unidentified) => {
                return Err("unidentified: reports before it says who it is".into());
            }
            // A spoilt message may name what it does not mean; its neighbours count.
            _ => self.connections.count("spoilt: not this party's to say"),
        }
        Ok(())
    }

    async fn tell(&self, event: ConnectionEvent) {
        // Nobody listens only as the program ends.
        let _ = self.events.send(event).await;
    }

    fn say(&self, bytes: &[u8]) -> bool {
        match (&self.queue, &self.write) {
            (Some((orders, unsent)), _) => queue(orders, unsent, bytes.to_vec()),
            (None, Some(write)) => write.try_write(bytes).is_ok_and(|sent| sent == bytes.len()),
            (None, None) => false,
        }
    }
}

/// A parser's words without the place, so that faults of a kind count together.
fn kind(why: &str) -> &str {
    why.split(" at line ").next().unwrap_or(why)
}

async fn send(
    mut write: OwnedWriteHalf,
    mut orders: mpsc::UnboundedReceiver<Vec<u8>>,
    unsent: Rc<Cell<usize>>,
) {
    while let Some(bytes) = orders.recv().await {
        if write.write_all(&bytes).await.is_err() {
            return; // the reader hears of it, too
        }
        unsent.set(unsent.get() - bytes.len());
    }
}
