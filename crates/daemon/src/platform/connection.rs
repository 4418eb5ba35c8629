//! One accepted connection. It starts as an unidentified peer and becomes a collector's or a proxy's stream.
//!
//! An unidentified peer has two seconds and a small buffer to identify itself. Each
//! `CloseReason` closes the connection after an attempt to send a `NACK`: input that can't be parsed, an invalid or
//! unexpected message before identification, an eviction, a timeout, a frame that is too long, or a full buffer. An
//! invalid message from an identified peer is discarded and counted.

use std::cell::{Cell, OnceCell};
use std::io::{ErrorKind, Read};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use wrenthread::types::{DemandStatistics, ProxyConnection, ProxyId};
use wrenthread_platform_governor::ConnectionId;
use wrenthread_platform_protocol::decode::{DecodeError, Message};
use wrenthread_platform_protocol::frames::{FrameBuffer, FrameTooLongError};

use super::connections::{Connections, UnidentifiedPeer};
use super::send_queue::{SendQueue, StreamHandle};

/// The platform's limit on the size of a message.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// How long a peer has to identify itself. The platform allows closing the connection after 1 s and requires it by 3 s;
/// 2 s leaves 1 s either way, in which the proxy or this governor may not be scheduled.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(2000);
/// A message that identifies a peer is under 200 bytes.
const MAX_UNIDENTIFIED_BYTES: usize = 4 << 10;
const NACK: &[u8] = b"{\"@type\":\"NACK\"}\n";
const PONG: &[u8] = b"{\"@type\":\"PONG\"}\n";

/// Events that connections send to the task that owns all state.
pub enum ConnectionEvent {
    /// A peer identified itself as a proxy.
    ProxyConnected { connection: ConnectionId, proxy: ProxyConnection, handle: StreamHandle },
    /// A proxy sent a message on its stream.
    ProxyMessage { connection: ConnectionId, proxy: ProxyId, message: Message },
    /// A collector forwarded a report; it may concern any proxy.
    CollectorMessage(Message),
    /// A proxy's stream has ended.
    Ended { connection: ConnectionId, proxy: ProxyId },
}

/// Why the governor closes a connection. The text is logged, and is the key under which closed connections are counted.
#[derive(Debug, Clone, Error)]
enum CloseReason {
    #[error("unidentified: evicted for others")]
    Evicted,
    #[error("unidentified: timed out")]
    IdentifyTimeout,
    /// The first message was invalid. It closes the connection, as the peer has sent no valid message before.
    #[error("unidentified: {0}")]
    InvalidIdentification(DecodeError),
    #[error("unidentified: message before identification")]
    UnexpectedMessage,
    /// The parser's error without its line and column, so that equal errors are counted together.
    #[error("unreadable: {0}")]
    Unreadable(String),
    #[error("{0}")]
    FrameTooLong(#[from] FrameTooLongError),
    #[error("receive buffers full")]
    ReceiveBuffersFull,
    #[error("send buffer full: PONG messages")]
    SendBufferFull,
}

/// How a connection ended.
#[derive(Debug, Error)]
enum ConnectionEnd {
    #[error("{0}")]
    Closed(#[from] CloseReason),
    #[error("ended by the peer")]
    EndedByPeer,
    /// Only the kind of the I/O error, so that equal errors are counted together.
    #[error("failed: {}", .0.kind())]
    Failed(#[from] std::io::Error),
}

/// What the peer has identified itself as.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PeerRole {
    Unidentified,
    Collector,
    Proxy(ProxyId),
}

/// The result of one read: complete messages, and why the connection is to be closed after them, if it is.
#[derive(Default)]
struct Received {
    messages: Vec<Message>,
    close: Option<CloseReason>,
}

/// One connection, owned by the task that reads it.
pub struct Connection {
    id: ConnectionId,
    role: PeerRole,
    read: OwnedReadHalf,
    /// Writes directly to the socket; `None` once a proxy's stream has a send queue.
    write: Option<OwnedWriteHalf>,
    queue: Option<SendQueue>,
    connections: Rc<Connections>,
    events: mpsc::Sender<ConnectionEvent>,
    /// The task that runs [`Connection::serve`].
    reader: Rc<OnceCell<AbortHandle>>,
    peer: Rc<UnidentifiedPeer>,
    frames: FrameBuffer,
    /// The number of bytes in `frames` that is included in the total of all connections.
    incomplete_bytes: usize,
    accepted_at: Instant,
    received_bytes: u64,
    last_received: Rc<Cell<Instant>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.remove(self.id, self.incomplete_bytes);
    }
}

impl Connection {
    pub fn new(
        stream: TcpStream,
        id: ConnectionId,
        connections: Rc<Connections>,
        events: mpsc::Sender<ConnectionEvent>,
        reader: Rc<OnceCell<AbortHandle>>,
    ) -> Self {
        // Messages are small, and the peer waits for each of them.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Connection {
            id,
            role: PeerRole::Unidentified,
            read,
            write: Some(write),
            queue: None,
            connections,
            events,
            reader,
            peer: Rc::default(),
            frames: FrameBuffer::default(),
            incomplete_bytes: 0,
            accepted_at: Instant::now(),
            received_bytes: 0,
            last_received: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// The entry to register while the peer is unidentified.
    pub fn unidentified_peer(&self) -> Rc<UnidentifiedPeer> {
        self.peer.clone()
    }

    /// Reads until the peer ends the connection or there is a reason to close it.
    pub async fn serve(mut self) {
        let end = self.read_until_ended().await;
        if let ConnectionEnd::Closed(reason) = &end {
            self.write(NACK);
            self.connections.count_discard(reason);
        }
        self.log(&end);
        if let PeerRole::Proxy(proxy) = self.role {
            self.emit(ConnectionEvent::Ended { connection: self.id, proxy }).await;
        }
    }

    fn log(&self, end: &ConnectionEnd) {
        self.connections.log_closing(end, |reason| {
            tracing::info!(
                connection = self.id.0,
                role = ?self.role,
                open_ms = self.accepted_at.elapsed().as_millis() as u64,
                received_bytes = self.received_bytes,
                reason,
                "connection closed"
            );
        });
    }

    async fn read_until_ended(&mut self) -> ConnectionEnd {
        let identify_by = self.accepted_at + IDENTIFY_TIMEOUT;
        let peer = self.peer.clone();
        loop {
            let is_unidentified = self.role == PeerRole::Unidentified;
            let expired = tokio::select! {
                biased;
                // Checked before the socket, so that bytes that have arrived are read as an evicted peer's last ones.
                () = peer.evicted.notified(), if is_unidentified => Some(CloseReason::Evicted),
                ready = self.read.readable() => match ready {
                    Ok(()) => None,
                    Err(error) => return error.into(),
                },
                () = sleep_until(identify_by), if is_unidentified => Some(CloseReason::IdentifyTimeout),
            };
            let read = if expired.is_some() { self.receive_ignoring_readiness() } else { self.receive() };
            let received = match read {
                Ok(Some(received)) => received,
                Ok(None) => return ConnectionEnd::EndedByPeer,
                Err(error) if error.kind() == ErrorKind::WouldBlock => match expired {
                    Some(reason) => return reason.into(),
                    None => continue,
                },
                Err(error) => return error.into(),
            };
            if let Err(reason) = self.handle(received).await {
                return reason.into();
            }
            if let Some(reason) = self.unidentified_close_reason(&peer, expired) {
                return reason.into();
            }
        }
    }

    /// The reason to close the connection, if it was evicted or timed out and the last bytes read did not identify the
    /// peer.
    fn unidentified_close_reason(
        &self,
        peer: &Rc<UnidentifiedPeer>,
        expired: Option<CloseReason>,
    ) -> Option<CloseReason> {
        let has_begun = self.incomplete_bytes > 0;
        let had_begun = peer.has_begun.replace(has_begun);
        let reason = expired.filter(|_| self.role == PeerRole::Unidentified)?;
        if matches!(reason, CloseReason::Evicted) && has_begun && !had_begun {
            // Its first bytes were still unread when it was evicted: registers it again, so that peers that sent
            // nothing are evicted first.
            self.connections.add_unidentified(self.id, peer.clone());
            return None;
        }
        Some(reason)
    }

    /// Reads and decodes the available bytes; `None` at the end of the connection.
    fn receive(&mut self) -> std::io::Result<Option<Received>> {
        let connections = self.connections.clone();
        let mut buffer = connections.read_buffer.borrow_mut();
        let count = self.read.try_read(&mut buffer)?;
        Ok(self.process_bytes(&buffer[..count]))
    }

    /// Like [`Connection::receive`], but reads the socket even if the runtime has not reported it as readable: after a
    /// stall of the governor, a timer fires before the runtime has polled for bytes that arrived during the stall.
    fn receive_ignoring_readiness(&mut self) -> std::io::Result<Option<Received>> {
        let connections = self.connections.clone();
        let mut buffer = connections.read_buffer.borrow_mut();
        let socket = SockRef::from(self.read.as_ref());
        let count = (&*socket).read(&mut buffer)?;
        Ok(self.process_bytes(&buffer[..count]))
    }

    /// Decodes the bytes of one read; `None` if there are none, which is the end of the connection.
    fn process_bytes(&mut self, bytes: &[u8]) -> Option<Received> {
        if bytes.is_empty() {
            return None;
        }
        self.received_bytes += bytes.len() as u64;
        self.last_received.set(Instant::now());
        let mut received = self.decode(bytes);
        let incomplete_close = self.check_incomplete();
        received.close = received.close.or(incomplete_close);
        Some(received)
    }

    fn decode(&mut self, bytes: &[u8]) -> Received {
        let connections = &self.connections;
        let replica_names = connections.replica_names.borrow();
        let is_unidentified = self.role == PeerRole::Unidentified;
        let limit = if is_unidentified { MAX_UNIDENTIFIED_BYTES } else { MAX_MESSAGE_BYTES };
        let mut received = Received::default();
        let pushed = self.frames.push(bytes, limit, |frame| {
            match connections.decoder.decode(frame, |name| replica_names.get(name).cloned()) {
                Ok(message) => received.messages.push(message),
                Err(DecodeError::Unreadable(reason)) => {
                    received.close = Some(CloseReason::Unreadable(without_position(&reason)));
                }
                Err(error) if is_unidentified && received.messages.is_empty() => {
                    received.close = Some(CloseReason::InvalidIdentification(error));
                }
                Err(error) => connections.count_invalid_message(&error, frame),
            }
            if received.close.is_none() { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
        });
        if let Err(error) = pushed {
            received.close = received.close.or(Some(error.into()));
        }
        received
    }

    /// Counts the bytes of the incomplete frame. Returns why the connection is closed instead of waiting for the rest.
    fn check_incomplete(&mut self) -> Option<CloseReason> {
        let incomplete = self.frames.incomplete();
        let incomplete_bytes = incomplete.len();
        // Every message is a JSON object: a frame that starts differently is rejected before it is complete.
        let first = incomplete.trim_ascii_start().first();
        let is_not_object = first.is_some_and(|first| *first != b'{');
        let is_within_limit =
            self.connections.update_incomplete_bytes(self.incomplete_bytes, incomplete_bytes);
        self.incomplete_bytes = incomplete_bytes;
        if is_not_object {
            return Some(CloseReason::Unreadable("not an object".into()));
        }
        if incomplete_bytes > MAX_UNIDENTIFIED_BYTES && !is_within_limit {
            return Some(CloseReason::ReceiveBuffersFull);
        }
        None
    }

    async fn handle(&mut self, received: Received) -> Result<(), CloseReason> {
        for message in received.messages {
            self.handle_message(message).await?;
        }
        received.close.map_or(Ok(()), Err)
    }

    async fn handle_message(&mut self, message: Message) -> Result<(), CloseReason> {
        match (message, self.role) {
            (Message::Ping, _) => {
                return if self.write(PONG) { Ok(()) } else { Err(CloseReason::SendBufferFull) };
            }
            (Message::Collector { zone }, PeerRole::Unidentified) => self.become_collector(zone),
            (Message::ProxyConnected(proxy), PeerRole::Unidentified) => self.become_stream(proxy).await,
            (
                message @ (Message::ReplicaStatistics(_)
                | Message::UnlistedReplicaFailed { .. }
                | Message::DemandStatistics(_)),
                PeerRole::Collector,
            ) => self.emit(ConnectionEvent::CollectorMessage(message)).await,
            (
                message @ (Message::DemandStatistics(DemandStatistics { proxy, .. })
                | Message::Acknowledged { proxy, .. }),
                PeerRole::Proxy(own),
            ) if proxy == own => {
                self.emit(ConnectionEvent::ProxyMessage { connection: self.id, proxy, message }).await;
            }
            (_, PeerRole::Unidentified) => return Err(CloseReason::UnexpectedMessage),
            // A corrupted message may carry a wrong type or proxy; the connection stays open, and other messages count.
            _ => self.connections.count_discard("invalid: message type or proxy does not match the peer"),
        }
        Ok(())
    }

    fn become_collector(&mut self, zone: usize) {
        self.role = PeerRole::Collector;
        self.connections.remove_unidentified(self.id);
        if let Some(reader) = self.reader.get() {
            self.connections.add_collector(zone, self.id, reader.clone());
        }
    }

    async fn become_stream(&mut self, proxy: ProxyConnection) {
        let (Some(write), Some(reader)) = (self.write.take(), self.reader.get()) else { return };
        self.role = PeerRole::Proxy(proxy.proxy);
        self.connections.remove_unidentified(self.id);
        let (queue, writer) = SendQueue::start(write);
        let handle = StreamHandle {
            queue: queue.clone(),
            last_received: self.last_received.clone(),
            reader: reader.clone(),
            writer,
        };
        self.queue = Some(queue);
        self.emit(ConnectionEvent::ProxyConnected { connection: self.id, proxy, handle }).await;
    }

    async fn emit(&self, event: ConnectionEvent) {
        // Sending fails only during shutdown, when the receiver is gone.
        let _ = self.events.send(event).await;
    }

    /// Sends or queues the bytes. Returns whether that succeeded.
    fn write(&self, bytes: &[u8]) -> bool {
        match (&self.queue, &self.write) {
            (Some(queue), _) => queue.send(bytes.to_vec()).is_ok(),
            (None, Some(write)) => write.try_write(bytes).is_ok_and(|count| count == bytes.len()),
            (None, None) => false,
        }
    }
}

fn without_position(reason: &str) -> String {
    reason.split(" at line ").next().unwrap_or(reason).to_string()
}
