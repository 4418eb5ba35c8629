//! Watches the endpoint list, and reconnects when a watch fails, is refused, cannot connect or receives no data.

use std::ops::ControlFlow;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use wrenthread_platform_protocol::frames::{FrameBuffer, FrameTooLongError};

use crate::http::{self, CONNECT_TIMEOUT, IDLE_TIMEOUT};

/// The first delay before reconnecting; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The size of a list of about ten thousand entries. A longer one is not read, as its parsed form would take several
/// times as much memory.
const MAX_EVENT_BYTES: usize = 2 << 20;
/// The path of the endpoint list on the agent's HTTP server.
const ENDPOINTS_PATH: &str = "/registry/instances";

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The connection was not established in time.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    /// No data was received in time.
    #[error("no data received for {IDLE_TIMEOUT:?}")]
    IdleTimeout,
    /// The connection was closed.
    #[error("closed")]
    Closed,
    /// All or part of an event was invalid.
    #[error("invalid event, fetching a snapshot")]
    InvalidEvent,
    /// The receiver of events was dropped.
    #[error("event receiver dropped")]
    ReceiverClosed,
    /// Discovery refused the request.
    #[error("HTTP status {0}")]
    Status(hyper::StatusCode),
    /// An event exceeds the maximum size.
    #[error("{0}")]
    EventTooLong(#[from] FrameTooLongError),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// One event as received; it has not been parsed.
pub struct WatchEvent {
    /// The number of the watcher that received it.
    pub watcher: u64,
    /// The event, which should be a JSON object.
    pub bytes: Vec<u8>,
    /// Takes the receiver's answer: the version that it has after the event, or `None` if it needs a snapshot.
    pub known_version: oneshot::Sender<Option<u64>>,
}

/// Where a watcher sends its events.
#[derive(Clone)]
pub struct EventSender {
    /// The watcher's number, which distinguishes its events from those of other watchers.
    pub watcher: u64,
    /// The receiver's queue.
    pub events: mpsc::Sender<WatchEvent>,
}

impl EventSender {
    /// Sends an event, and returns the version that the receiver has after it.
    async fn deliver(&self, bytes: Vec<u8>) -> Result<u64, WatchError> {
        let (known_version, version) = oneshot::channel();
        let event = WatchEvent { watcher: self.watcher, bytes, known_version };
        self.events.send(event).await.map_err(|_| WatchError::ReceiverClosed)?;
        let version = version.await.map_err(|_| WatchError::ReceiverClosed)?;
        version.ok_or(WatchError::InvalidEvent)
    }
}

/// Watches discovery at `address` until the future or the receiver of its events is dropped. `known_version` is the
/// version that the receiver has, if any.
pub async fn watch_endpoints(address: String, mut known_version: Option<u64>, sender: EventSender) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let previous_version = known_version;
        let result = match known_version {
            None => fetch_snapshot(&address, &mut known_version, &sender).await,
            Some(version) => watch_changes(&address, version, &mut known_version, &sender).await,
        };
        let error = match result {
            Ok(()) => continue,
            Err(WatchError::ReceiverClosed) => return,
            Err(error) => error,
        };
        if previous_version.is_some() && known_version != previous_version {
            backoff = MIN_BACKOFF;
        }
        // A watch that keeps failing is logged at debug level only, so as not to flood the log.
        if backoff < MAX_BACKOFF {
            tracing::info!(%address, %error, "discovery watch reconnecting");
        } else {
            tracing::debug!(%address, %error, "discovery watch reconnecting");
        }
        tokio::time::sleep(backoff).await;
        backoff = (2 * backoff).min(MAX_BACKOFF);
    }
}

/// Fetches the complete list and delivers it. A watch can then continue from the receiver's version.
async fn fetch_snapshot(
    address: &str,
    known_version: &mut Option<u64>,
    sender: &EventSender,
) -> Result<(), WatchError> {
    let mut body = http::get(address, ENDPOINTS_PATH).await?;
    let mut snapshot = Vec::new();
    while let Some(chunk) = body.next_chunk().await? {
        if snapshot.len() + chunk.len() > MAX_EVENT_BYTES {
            return Err(FrameTooLongError { limit: MAX_EVENT_BYTES }.into());
        }
        snapshot.extend_from_slice(&chunk);
    }
    *known_version = Some(sender.deliver(snapshot).await?);
    Ok(())
}

/// Delivers the changes after a version, until the connection ends.
async fn watch_changes(
    address: &str,
    from_version: u64,
    known_version: &mut Option<u64>,
    sender: &EventSender,
) -> Result<(), WatchError> {
    let path = format!("{ENDPOINTS_PATH}?watch=1&from={from_version}");
    let mut body = http::get(address, &path).await?;
    let mut frames = FrameBuffer::default();
    while let Some(chunk) = body.next_chunk().await? {
        let mut events = Vec::new();
        frames.push(&chunk, MAX_EVENT_BYTES, |frame| {
            events.push(frame.to_vec());
            ControlFlow::Continue(())
        })?;
        for event in events {
            // A snapshot is needed unless the receiver accepts the event.
            *known_version = None;
            *known_version = Some(sender.deliver(event).await?);
        }
    }
    Err(WatchError::Closed)
}
