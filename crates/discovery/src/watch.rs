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
use wrenthread_lines::frames::{Frames, TooLong};

/// Dialling is to a neighbour on the same machine: what takes longer does not come up.
const DIAL: Duration = Duration::from_millis(400);
/// An empty line comes every two seconds, and what discovery tells is held against the governor some seconds
/// on.
const SILENT: Duration = Duration::from_millis(2800);
/// Waits between dials, doubled from the first to the last.
const WAITS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// A list of tens of thousands of entries; what is longer is not taken into memory.
const OBJECT_MOST: usize = 4 << 20;

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("it did not come up within {DIAL:?}")]
    Late,
    #[error("it was silent for {SILENT:?}")]
    Silent,
    #[error("it ended")]
    Ended,
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
    pub bytes: Vec<u8>,
    pub known: oneshot::Sender<Option<u64>>,
}

/// Follows discovery at `address` until it is dropped. `known` is the version that the list has.
pub async fn follow(address: String, mut known: Option<u64>, objects: mpsc::Sender<Object>) {
    let mut wait = WAITS.0;
    loop {
        let mut told = false;
        let fault = match watch(&address, &mut known, &objects, &mut told).await {
            Ok(()) => return,
            Err(fault) => fault,
        };
        tracing::info!(%address, %fault, "discovery is dialled anew");
        wait = if told { WAITS.0 } else { (2 * wait).min(WAITS.1) };
        tokio::time::sleep(wait).await;
    }
}

/// Ends well only where nobody listens any more.
async fn watch(
    address: &str,
    known: &mut Option<u64>,
    objects: &mpsc::Sender<Object>,
    told: &mut bool,
) -> Result<(), Fault> {
    let path = match known {
        Some(version) => format!("/registry/instances?watch=1&from={version}"),
        None => "/registry/instances".to_string(),
    };
    let (answer, driver) = ask(address, &path).await?;
    let watching = known.is_some();
    let mut body = answer.into_body();
    let mut frames = Frames::default();
    let mut whole = Vec::new();
    loop {
        let piece = match timeout(SILENT, body.frame()).await {
            Err(_) => return Err(Fault::Silent),
            Ok(piece) => piece.transpose()?,
        };
        let Some(piece) = piece else { break };
        let Ok(data) = piece.into_data() else { continue };
        if !watching {
            // The whole list comes by itself, on as many lines as it likes.
            if whole.len() + data.len() > OBJECT_MOST {
                return Err(TooLong(OBJECT_MOST).into());
            }
            whole.extend_from_slice(&data);
            continue;
        }
        let mut lines = Vec::new();
        frames.push(&data, OBJECT_MOST, |line| {
            lines.push(line.to_vec());
            true
        })?;
        for line in lines {
            let Some(version) = tell(objects, line).await else { return Ok(()) };
            if version.is_none() {
                *known = None;
                return Err(Fault::Ended); // all of it is asked for
            }
            (*known, *told) = (version, true);
        }
    }
    drop(driver);
    if watching {
        return Err(Fault::Ended);
    }
    match tell(objects, whole).await {
        None => Ok(()),
        Some(version) => {
            *known = version;
            if version.is_none() {
                Err(Fault::Ended)
            } else {
                Box::pin(watch(address, known, objects, told)).await
            }
        }
    }
}

async fn tell(objects: &mpsc::Sender<Object>, bytes: Vec<u8>) -> Option<Option<u64>> {
    let (known, told) = oneshot::channel();
    objects.send(Object { bytes, known }).await.ok()?;
    told.await.ok()
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
