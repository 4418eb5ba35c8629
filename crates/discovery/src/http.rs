//! Sends an HTTP/1.1 request on a new connection.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::watch::WatchError;

/// The discovery agent runs on the same machine: a connection that takes longer is not going to be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The agent sends an empty line every two seconds, and changes must be received within a few seconds.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2800);

/// The body of a response, with the task that drives its connection.
pub struct ResponseBody {
    body: Incoming,
    _connection: ConnectionTask,
}

impl ResponseBody {
    /// Returns the next bytes of the body, or `None` at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, WatchError> {
        let frame = timeout(IDLE_TIMEOUT, self.body.frame()).await.map_err(|_| WatchError::IdleTimeout)?;
        match frame {
            None => Ok(None),
            Some(frame) => Ok(Some(frame?.into_data().unwrap_or_default())), // trailers are ignored
        }
    }
}

/// Aborts a connection's task when the response that uses it is dropped.
struct ConnectionTask {
    task: JoinHandle<()>,
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends a GET request, and waits for the headers of the response.
pub async fn get(address: &str, path: &str) -> Result<ResponseBody, WatchError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| WatchError::ConnectTimeout)??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // The response body reports connection errors as well.
        let _ = connection.await;
    });
    let connection = ConnectionTask { task };
    let request = Request::get(path).header(header::HOST, address).body(Empty::<Bytes>::new())?;
    let answered = timeout(IDLE_TIMEOUT, sender.send_request(request)).await;
    let response = answered.map_err(|_| WatchError::IdleTimeout)??;
    if !response.status().is_success() {
        return Err(WatchError::Status(response.status()));
    }
    Ok(ResponseBody { body: response.into_body(), _connection: connection })
}
