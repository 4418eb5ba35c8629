//! Keeps a watch up: one that breaks, is refused, never comes up or falls silent is started again.

use std::ops::ControlFlow;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use wrenthread_platform_protocol::frames::{FrameBuffer, FrameTooLongError};

use crate::http::{self, CONNECT_TIMEOUT, SILENCE_TIMEOUT};

/// The first pause between connections; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// A list of some ten thousand entries. A longer one is not taken into memory, where it would be several times as
/// large.
const MAX_EVENT_BYTES: usize = 2 << 20;
/// Where discovery serves the list.
const ENDPOINTS_PATH: &str = "/registry/instances";

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// No connection came up in time.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    /// Nothing came in time.
    #[error("silent for {SILENCE_TIMEOUT:?}")]
    Silent,
    /// The connection was closed.
    #[error("closed")]
    Closed,
    /// The receiver could not use all of an event.
    #[error("invalid event, fetching a snapshot")]
    InvalidEvent,
    /// The receiver of events is gone.
    #[error("no receiver")]
    ReceiverClosed,
    /// Discovery refused the request.
    #[error("status {0}")]
    Status(hyper::StatusCode),
    /// An event is too long.
    #[error("{0}")]
    EventTooLong(#[from] FrameTooLongError),
    /// The connection failed.
    #[error("connection: {0}")]
    Connection(#[from] std::io::Error),
    /// HTTP failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be made.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// One event as it came.
pub struct WatchEvent {
    /// The number of the watcher that received it.
    pub watcher: u64,
    /// A JSON object.
    pub bytes: Vec<u8>,
    /// Where the receiver sends the version that it has then; none if it needs a snapshot.
    pub known_version: oneshot::Sender<Option<u64>>,
}

/// Where a watcher sends its events.
#[derive(Clone)]
pub struct EventSender {
    /// The watcher's number, which tells its events from other watchers'.
    pub watcher: u64,
    /// The receiver's queue.
    pub events: mpsc::Sender<WatchEvent>,
}

impl EventSender {
    /// Sends an event. Gives the version that the receiver has after it.
    async fn deliver(&self, bytes: Vec<u8>) -> Result<u64, WatchError> {
        let (known_version, version) = oneshot::channel();
        let event = WatchEvent { watcher: self.watcher, bytes, known_version };
        self.events.send(event).await.map_err(|_| WatchError::ReceiverClosed)?;
        let version = version.await.map_err(|_| WatchError::ReceiverClosed)?;
        version.ok_or(WatchError::InvalidEvent)
    }
}

/// Watches discovery at `address` until it is dropped or nobody receives its events. `known_version` is the version
/// that the receiver has, if any.
pub async fn watch_endpoints(address: String, mut known_version: Option<u64>, sender: EventSender) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let version_before = known_version;
        let ended = match known_version {
            None => fetch_snapshot(&address, &mut known_version, &sender).await,
            Some(version) => watch_changes(&address, version, &mut known_version, &sender).await,
        };
        let error = match ended {
            Ok(()) => continue,
            Err(WatchError::ReceiverClosed) => return,
            Err(error) => error,
        };
        if version_before.is_some() && known_version != version_before {
            backoff = MIN_BACKOFF;
        }
        // A watch that goes on failing is not logged for ever.
        if backoff < MAX_BACKOFF {
            tracing::info!(%address, %error, "discovery watch reconnecting");
        } else {
            tracing::debug!(%address, %error, "discovery watch reconnecting");
        }
        tokio::time::sleep(backoff).await;
        backoff = (2 * backoff).min(MAX_BACKOFF);
    }
}

/// Fetches the complete list, from whose version a watch may go on.
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

/// Watches for changes from a version on, for as long as the connection lasts.
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
            // Unless the receiver can use the event, a snapshot is needed.
            *known_version = None;
            *known_version = Some(sender.deliver(event).await?);
        }
    }
    Err(WatchError::Closed)
}
