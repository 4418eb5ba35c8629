//! Follows the list: the whole of it where that is needed, and a watch from its version on. A watch that
//! breaks, is refused, never comes up or falls silent is dialled anew; what was told stays in force
//! meanwhile.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, Response, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wrenthread_platform_protocol::frames::{FrameBuffer, FrameTooLongError};

/// Dialling is to a neighbour on the same machine: what takes longer does not come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// An empty line comes every two seconds, and what discovery tells is held against the governor some seconds
/// on.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2800);
/// Waits between dials, doubled from the first to the last.
const WAITS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// A list of some ten thousand entries. What is longer is not taken into memory, where it would be several
/// times as large.
const MAX_EVENT_BYTES: usize = 2 << 20;

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    #[error("it did not come up within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    #[error("it was silent for {SILENCE_TIMEOUT:?}")]
    Silent,
    #[error("it ended")]
    Ended,
    #[error("not all it said could be used: the whole list is asked for")]
    InvalidEvent,
    #[error("nobody listens")]
    ReceiverClosed,
    #[error("it answered {0}")]
    Status(hyper::StatusCode),
    #[error("{0}")]
    Frame(#[from] FrameTooLongError),
    #[error("dialling: {0}")]
    Dial(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// One object as it came, and where to say what is known after it: the version, or none if all is to be told.
pub struct WatchEvent {
    /// The number of the watcher that heard it.
    pub watcher: u64,
    pub bytes: Vec<u8>,
    pub known_version: oneshot::Sender<Option<u64>>,
}

/// Where events go, and the number that tells this watcher's from others'.
#[derive(Clone)]
pub struct EventSender {
    pub watcher: u64,
    pub events: mpsc::Sender<WatchEvent>,
}

/// Follows discovery at `address` until it is dropped. `known` is the version that the list has.
pub async fn watch_endpoints(address: String, mut known: Option<u64>, sender: EventSender) {
    let mut wait = WAITS.0;
    loop {
        let before = known;
        let ended = match known {
            None => fetch_snapshot(&address, &mut known, &sender).await,
            Some(version) => watch_changes(&address, version, &mut known, &sender).await,
        };
        let fault = match ended {
            Ok(()) => continue,
            Err(WatchError::ReceiverClosed) => return,
            Err(fault) => fault,
        };
        // A watch that told something ended; one that goes on failing is not logged for ever.
        if before.is_some() && known != before {
            wait = WAITS.0;
        }
        if wait < WAITS.1 {
            tracing::info!(%address, %fault, "discovery is dialled anew");
        } else {
            tracing::debug!(%address, %fault, "discovery is dialled anew");
        }
        tokio::time::sleep(wait).await;
        wait = (2 * wait).min(WAITS.1);
    }
}

/// Has all of the list told, from which a watch may go on.
async fn fetch_snapshot(
    address: &str,
    known: &mut Option<u64>,
    sender: &EventSender,
) -> Result<(), WatchError> {
    let (answer, _driver) = request(address, "/registry/instances").await?;
    let (mut body, mut list) = (answer.into_body(), Vec::new());
    while let Some(data) = next_chunk(&mut body).await? {
        if list.len() + data.len() > MAX_EVENT_BYTES {
            return Err(FrameTooLongError(MAX_EVENT_BYTES).into());
        }
        list.extend_from_slice(&data);
    }
    *known = Some(sender.deliver(list).await?);
    Ok(())
}

/// Watches from a version on, for as long as the connection lasts.
async fn watch_changes(
    address: &str,
    from: u64,
    known: &mut Option<u64>,
    sender: &EventSender,
) -> Result<(), WatchError> {
    let (answer, _driver) = request(address, &format!("/registry/instances?watch=1&from={from}")).await?;
    let (mut body, mut frames) = (answer.into_body(), FrameBuffer::default());
    while let Some(data) = next_chunk(&mut body).await? {
        let mut lines = Vec::new();
        frames.push(&data, MAX_EVENT_BYTES, |line| {
            lines.push(line.to_vec());
            true
        })?;
        for line in lines {
            *known = None;
            *known = Some(sender.deliver(line).await?);
        }
    }
    Err(WatchError::Ended)
}

/// The next bytes of an answer; none at its end.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, WatchError> {
    match timeout(SILENCE_TIMEOUT, body.frame()).await.map_err(|_| WatchError::Silent)? {
        None => Ok(None),
        Some(frame) => Ok(Some(frame?.into_data().unwrap_or_default())), // trailers tell of nothing
    }
}

impl EventSender {
    /// The version that the list has after an object.
    async fn deliver(&self, bytes: Vec<u8>) -> Result<u64, WatchError> {
        let (known, told) = oneshot::channel();
        let event = WatchEvent { watcher: self.watcher, bytes, known_version: known };
        self.events.send(event).await.map_err(|_| WatchError::ReceiverClosed)?;
        told.await.map_err(|_| WatchError::ReceiverClosed)?.ok_or(WatchError::InvalidEvent)
    }
}

/// Ends a connection's task with the watch that uses it.
struct Driver(tokio::task::JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn request(address: &str, path: &str) -> Result<(Response<Incoming>, Driver), WatchError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| WatchError::ConnectTimeout)??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = Driver(tokio::task::spawn_local(async move {
        // What ends it is told by the body, too.
        let _ = connection.await;
    }));
    let request = Request::get(path).header(header::HOST, address).body(Empty::<Bytes>::new())?;
    let answer =
        timeout(SILENCE_TIMEOUT, sender.send_request(request)).await.map_err(|_| WatchError::Silent)??;
    if !answer.status().is_success() {
        return Err(WatchError::Status(answer.status()));
    }
    Ok((answer, driver))
}
