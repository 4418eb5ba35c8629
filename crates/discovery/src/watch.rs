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
use wrenthread_platform_protocol::frames::{Frames, TooLong};

/// Dialling is to a neighbour on the same machine: what takes longer does not come up.
const DIAL: Duration = Duration::from_millis(400);
/// An empty line comes every two seconds, and what discovery tells is held against the governor some seconds
/// on.
const SILENT: Duration = Duration::from_millis(2800);
/// Waits between dials, doubled from the first to the last.
const WAITS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// A list of some ten thousand entries. What is longer is not taken into memory, where it would be several
/// times as large.
const OBJECT_MOST: usize = 2 << 20;

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("it did not come up within {DIAL:?}")]
    Late,
    #[error("it was silent for {SILENT:?}")]
    Silent,
    #[error("it ended")]
    Ended,
    #[error("not all it said could be used: the whole list is asked for")]
    Unusable,
    #[error("nobody listens")]
    Unheard,
    #[error("it answered {0}")]
    Answer(hyper::StatusCode),
    #[error("{0}")]
    Object(#[from] TooLong),
    #[error("dialling: {0}")]
    Dial(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// One object as it came, and where to say what is known after it: the version, or none if all is to be told.
pub struct Object {
    /// The number of the follower that heard it.
    pub follower: u64,
    pub bytes: Vec<u8>,
    pub known: oneshot::Sender<Option<u64>>,
}

/// Where objects go, and the number that tells this follower's from others'.
#[derive(Clone)]
pub struct Subscriber {
    pub follower: u64,
    pub objects: mpsc::Sender<Object>,
}

/// Follows discovery at `address` until it is dropped. `known` is the version that the list has.
pub async fn follow(address: String, mut known: Option<u64>, subscriber: Subscriber) {
    let mut wait = WAITS.0;
    loop {
        let before = known;
        let ended = match known {
            None => whole(&address, &mut known, &subscriber).await,
            Some(version) => watch(&address, version, &mut known, &subscriber).await,
        };
        let fault = match ended {
            Ok(()) => continue,
            Err(Fault::Unheard) => return,
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
async fn whole(address: &str, known: &mut Option<u64>, subscriber: &Subscriber) -> Result<(), Fault> {
    let (answer, _driver) = ask(address, "/registry/instances").await?;
    let (mut body, mut list) = (answer.into_body(), Vec::new());
    while let Some(data) = piece(&mut body).await? {
        if list.len() + data.len() > OBJECT_MOST {
            return Err(TooLong(OBJECT_MOST).into());
        }
        list.extend_from_slice(&data);
    }
    *known = Some(subscriber.tell(list).await?);
    Ok(())
}

/// Watches from a version on, for as long as the connection lasts.
async fn watch(
    address: &str,
    from: u64,
    known: &mut Option<u64>,
    subscriber: &Subscriber,
) -> Result<(), Fault> {
    let (answer, _driver) = ask(address, &format!("/registry/instances?watch=1&from={from}")).await?;
    let (mut body, mut frames) = (answer.into_body(), Frames::default());
    while let Some(data) = piece(&mut body).await? {
        let mut lines = Vec::new();
        frames.push(&data, OBJECT_MOST, |line| {
            lines.push(line.to_vec());
            true
        })?;
        for line in lines {
            *known = None;
            *known = Some(subscriber.tell(line).await?);
        }
    }
    Err(Fault::Ended)
}

/// The next bytes of an answer; none at its end.
async fn piece(body: &mut Incoming) -> Result<Option<Bytes>, Fault> {
    match timeout(SILENT, body.frame()).await.map_err(|_| Fault::Silent)? {
        None => Ok(None),
        Some(frame) => Ok(Some(frame?.into_data().unwrap_or_default())), // trailers tell of nothing
    }
}

impl Subscriber {
    /// The version that the list has after an object.
    async fn tell(&self, bytes: Vec<u8>) -> Result<u64, Fault> {
        let (known, told) = oneshot::channel();
        let object = Object { follower: self.follower, bytes, known };
        self.objects.send(object).await.map_err(|_| Fault::Unheard)?;
        told.await.map_err(|_| Fault::Unheard)?.ok_or(Fault::Unusable)
    }
}

/// Ends a connection's task with the watch that uses it.
struct Driver(tokio::task::JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn ask(address: &str, path: &str) -> Result<(Response<Incoming>, Driver), Fault> {
    let stream = timeout(DIAL, TcpStream::connect(address)).await.map_err(|_| Fault::Late)??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = Driver(tokio::task::spawn_local(async move {
        // What ends it is told by the body, too.
        let _ = connection.await;
    }));
    let request = Request::get(path).header(header::HOST, address).body(Empty::<Bytes>::new())?;
    let answer = timeout(SILENT, sender.send_request(request)).await.map_err(|_| Fault::Silent)??;
    if !answer.status().is_success() {
        return Err(Fault::Answer(answer.status()));
    }
    Ok((answer, driver))
}
