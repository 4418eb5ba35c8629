//! The send queue of a proxy's stream, which keeps reading from waiting for writing.

use std::cell::Cell;
use std::rc::Rc;

use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// A proxy with this much unsent data has stopped reading long ago: the messages of a minute are a fraction of it.
const MAX_UNSENT_BYTES: usize = 256 << 10;

/// Too many bytes are unsent, as the peer has stopped reading; or the writer task has ended, also with its connection.
#[derive(Debug, Error)]
#[error("send buffer full")]
pub struct SendBufferFullError;

/// Messages queued for a connection's writer task.
#[derive(Clone)]
pub struct SendQueue {
    messages: mpsc::UnboundedSender<Vec<u8>>,
    unsent_bytes: Rc<Cell<usize>>,
}

impl SendQueue {
    /// Starts a connection's writer task. It ends when the last clone of the queue is dropped or a write fails.
    pub fn start(write: OwnedWriteHalf) -> (SendQueue, AbortHandle) {
        let (messages, unsent_messages) = mpsc::unbounded_channel();
        let unsent_bytes = Rc::new(Cell::new(0));
        let writer = spawn_local(write_messages(write, unsent_messages, unsent_bytes.clone()));
        (SendQueue { messages, unsent_bytes }, writer.abort_handle())
    }

    /// Appends bytes to the queue.
    ///
    /// # Errors
    ///
    /// Too many bytes are unsent, or the writer task has ended.
    pub fn send(&self, bytes: Vec<u8>) -> Result<(), SendBufferFullError> {
        let unsent_bytes = self.unsent_bytes.get() + bytes.len();
        if unsent_bytes > MAX_UNSENT_BYTES {
            return Err(SendBufferFullError);
        }
        self.unsent_bytes.set(unsent_bytes);
        self.messages.send(bytes).map_err(|_| SendBufferFullError)
    }
}

async fn write_messages(
    mut write: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<Vec<u8>>,
    unsent_bytes: Rc<Cell<usize>>,
) {
    while let Some(bytes) = messages.recv().await {
        if write.write_all(&bytes).await.is_err() {
            return; // the reader sees the error, too
        }
        unsent_bytes.set(unsent_bytes.get() - bytes.len());
    }
}

/// The governor's handle to a proxy's stream. Dropping it closes the connection.
pub struct StreamHandle {
    pub(super) queue: SendQueue,
    pub(super) last_received: Rc<Cell<Instant>>,
    pub(super) reader: AbortHandle,
    pub(super) writer: AbortHandle,
}

impl StreamHandle {
    /// Queues bytes for the proxy; see [`SendQueue::send`].
    pub fn send(&self, bytes: Vec<u8>) -> Result<(), SendBufferFullError> {
        self.queue.send(bytes)
    }

    /// When bytes were last received, valid or not.
    pub fn last_received(&self) -> Instant {
        self.last_received.get()
    }
}

impl Drop for StreamHandle {
    fn drop(&mut self) {
        self.reader.abort();
        self.writer.abort();
    }
}
