//! Writes the state on a thread of its own, so that decisions don't wait for the disk.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use wrenthread_core::snapshot::{self, StoredItem, StoredItems};
use wrenthread_durable_store::disk::{DiskError, Folder};
use wrenthread_durable_store::{Change, Store};

/// How often the current time is stored. After a restart, ages are computed from the last stored time.
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The delay before a retry after a disk error; doubled with each further error.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The maximum delay before a retry after a disk error.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// How long a stopping governor waits for its last write.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

const LAG_SECONDS: &str = "wrenthread_state_lag_seconds";
const STORED_BYTES: &str = "wrenthread_state_bytes";
const WRITE_ERRORS: &str = "wrenthread_state_errors";

/// The progress of the writer thread.
#[derive(Debug, Clone, Default)]
struct Progress {
    batches: u64,
    errors: u64,
    bytes: usize,
}

/// Passes changes to the thread that writes them. Never blocks: changes are merged while the thread is busy.
pub struct StateWriter {
    previous: StoredItems,
    /// Encoded changes that wait for the thread; `None` removes an entry.
    pending: BTreeMap<String, Option<Vec<u8>>>,
    pending_since: Option<Instant>,
    alive_stored_at: Option<Instant>,
    names: Arc<StoredItem>,
    changes: mpsc::Sender<Vec<Change>>,
    progress: watch::Receiver<Progress>,
    batches_sent: u64,
}

impl StateWriter {
    /// Starts the thread. `names` identifies the governor; `previous` is the content of the store.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(store: Store<Folder>, names: StoredItem, previous: StoredItems) -> std::io::Result<Self> {
        let (changes, received) = mpsc::channel(1);
        let (progress, watched) = watch::channel(Progress::default());
        let thread = std::thread::Builder::new().name("state".into());
        thread.spawn(move || write_changes(store, received, &progress))?;
        Ok(StateWriter {
            previous,
            pending: BTreeMap::new(),
            pending_since: None,
            alive_stored_at: None,
            names: Arc::new(names),
            changes,
            progress: watched,
            batches_sent: 0,
        })
    }

    /// The items last passed to [`StateWriter::store`], with names and time added.
    pub fn previous(&self) -> &StoredItems {
        &self.previous
    }

    /// Stores the current state: the changes since the previous call are sent to the thread as soon as it is free.
    pub fn store(&mut self, mut items: StoredItems, unix_seconds: f64) {
        items.insert(snapshot::NAMES_ITEM.into(), self.names.clone());
        items.insert(snapshot::ALIVE_ITEM.into(), self.alive(unix_seconds));
        for (name, item) in snapshot::changes(&self.previous, &items) {
            self.pending.insert(name, item.map(snapshot::encode));
        }
        self.previous = items;
        self.send_pending();
        self.update_gauges();
    }

    /// The current time, or the previously stored one if it is more recent than [`ALIVE_INTERVAL`].
    fn alive(&mut self, unix_seconds: f64) -> Arc<StoredItem> {
        let is_recent = self.alive_stored_at.is_some_and(|at| at.elapsed() < ALIVE_INTERVAL);
        match self.previous.get(snapshot::ALIVE_ITEM) {
            Some(alive) if is_recent => alive.clone(),
            _ => {
                self.alive_stored_at = Some(Instant::now());
                Arc::new(StoredItem::Alive { at: unix_seconds })
            }
        }
    }

    fn update_gauges(&self) {
        let lag = self.pending_since.map_or(Duration::ZERO, |since| since.elapsed());
        metrics::gauge!(LAG_SECONDS).set(lag.as_secs_f64());
        let progress = self.progress.borrow();
        metrics::gauge!(STORED_BYTES).set(progress.bytes as f64);
        metrics::gauge!(WRITE_ERRORS).set(progress.errors as f64);
    }

    fn send_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        self.pending_since.get_or_insert_with(Instant::now);
        let Ok(permit) = self.changes.try_reserve() else { return };
        let pending = std::mem::take(&mut self.pending).into_iter();
        permit.send(pending.map(|(name, content)| Change { name, content }).collect());
        self.pending_since = None;
        self.batches_sent += 1;
    }

    /// Waits until everything is written, for at most [`FINAL_WRITE_TIMEOUT`].
    pub async fn finish(mut self) {
        let all_written = async {
            while self.progress.borrow_and_update().batches < self.batches_sent || !self.pending.is_empty() {
                self.send_pending();
                if self.progress.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(FINAL_WRITE_TIMEOUT, all_written).await.is_err() {
            tracing::error!("last state changes could not be written in time");
        }
    }
}

/// Runs the writer thread.
fn write_changes(
    store: Store<Folder>,
    mut changes: mpsc::Receiver<Vec<Change>>,
    progress: &watch::Sender<Progress>,
) {
    let mut writer = RetryingWriter { store, backoff: INITIAL_BACKOFF, progress };
    while let Some(batch) = changes.blocking_recv() {
        writer.write_batch(batch);
        writer.ensure_fallback();
        let sizes = writer.store.sizes();
        progress.send_modify(|progress| {
            progress.batches += 1;
            progress.bytes = sizes.entry_bytes + sizes.journal_bytes;
        });
    }
}

/// Writes batches of changes, retrying after disk errors.
struct RetryingWriter<'a> {
    store: Store<Folder>,
    backoff: Duration,
    progress: &'a watch::Sender<Progress>,
}

impl RetryingWriter<'_> {
    /// Writes a batch in one operation. If it exceeds a size limit, which a retry does not solve, its changes are
    /// written one by one, removals first, and those that don't fit are dropped.
    fn write_batch(&mut self, mut batch: Vec<Change>) {
        if self.write(&batch).is_ok() {
            return;
        }
        batch.sort_by_key(|change| change.content.is_some());
        for change in batch {
            if let Err(error) = self.write(std::slice::from_ref(&change)) {
                tracing::error!(%error, entry = %change.name, "entry could not be written; dropped");
            }
        }
    }

    /// Writes a second generation in a new folder, so that damage to one snapshot does not lose the entries. After an
    /// error the next batch does it.
    fn ensure_fallback(&mut self) {
        if !self.store.lacks_fallback() {
            return;
        }
        if let Err(error) = self.store.compact() {
            self.report(&error);
        }
    }

    fn report(&self, error: &DiskError) {
        self.progress.send_modify(|progress| progress.errors += 1);
        tracing::error!(%error, wait_s = self.backoff.as_secs_f64(), "state could not be written");
    }

    /// Retries until the changes are written or a size limit is exceeded.
    fn write(&mut self, changes: &[Change]) -> Result<(), DiskError> {
        loop {
            match self.store.write(changes) {
                Ok(()) => {
                    self.backoff = INITIAL_BACKOFF;
                    return Ok(());
                }
                Err(error) => {
                    self.report(&error);
                    if error.is_size_limit() {
                        return Err(error);
                    }
                }
            }
            std::thread::sleep(self.backoff);
            self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
        }
    }
}
