//! What this governor knows, kept in a folder: read at the start, written beside the decisions by a thread
//! of its own, and looked at by `wrenthread state`.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};
use wrenthread_core::snapshot::{self, RestoredState, StoredItem, StoredItems};
use wrenthread_durable_store::disk::Folder;
use wrenthread_durable_store::{Change, Recovered, ReservedEpoch, Store};

/// How often it is said that all still holds: ages are reckoned from the last time.
const ALIVE_EVERY: Duration = Duration::from_secs(1);
/// After an error the disk is left alone for so long, and twice as long each time, up to the second.
const WAITS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(30));
/// What a stopping governor waits for its last write.
const LAST_WRITE: Duration = Duration::from_secs(2);

/// How writing goes, as the thread says it.
#[derive(Debug, Clone, Default)]
struct Progress {
    written: u64,
    errors: u64,
    bytes: usize,
}

/// Hands changes to the thread that writes them. It never waits: what the disk does not take yet is merged.
pub struct Keeper {
    before: StoredItems,
    pending: BTreeMap<String, Option<Vec<u8>>>,
    /// Since when something waits.
    since: Option<Instant>,
    alive: Option<Instant>,
    names: Arc<StoredItem>,
    to: mpsc::Sender<Vec<Change>>,
    progress: watch::Receiver<Progress>,
    handed: u64,
}

/// What a start begins with.
pub struct Start {
    pub epoch: u64,
    pub recalled: RestoredState,
    pub keeper: Option<Keeper>,
}

/// Sixteen bits of chance, without a library for what the standard one has.
fn chance() -> u16 {
    RandomState::new().hash_one(std::process::id()) as u16
}

fn loss_texts(found: &Recovered) -> Vec<String> {
    found.losses.iter().map(|loss| loss.to_string()).collect()
}

fn decoded(found: &Recovered) -> (StoredItems, Vec<String>) {
    let (mut known, mut losses) = (StoredItems::new(), Vec::new());
    for (name, bytes) in &found.entries {
        match snapshot::decode(bytes) {
            Some(item) => drop(known.insert(name.clone(), Arc::new(item))),
            None => losses.push(format!("`{name}` is no entry that this version knows")),
        }
    }
    (known, losses)
}

/// Reads what an earlier life knew and reserves a number for this one. Whatever is wrong with the folder, the
/// governor starts: it says what is kept and what not.
pub fn start(folder: &Path, names: StoredItem, calendar: f64) -> Start {
    let micros = (calendar * 1e6) as u64;
    let bare = Start { epoch: micros, recalled: RestoredState::default(), keeper: None };
    let path = folder.display();
    let mut disk = match Folder::lock(folder) {
        Ok(disk) => disk,
        Err(error) => {
            tracing::error!(%error, folder = %path, "nothing is known beyond this life, and nothing will be");
            return bare;
        }
    };
    let ReservedEpoch { epoch, failure } =
        wrenthread_durable_store::reserve_epoch(&mut disk, micros, chance());
    if let Some(why) = failure.map(|failure| failure.to_string()) {
        tracing::error!(why, "this life's number could not be reserved");
    }
    let (store, found) = match Store::open(disk) {
        Ok(opened) => opened,
        Err(error) => {
            tracing::error!(%error, folder = %path, "nothing is known beyond this life, and nothing will be");
            return Start { epoch, ..bare };
        }
    };
    loss_texts(&found).iter().for_each(|why| tracing::warn!(why, "of what was known, this is lost"));
    let (known, losses) = decoded(&found);
    losses.iter().for_each(|why| tracing::warn!(why, "of what was known, this is lost"));
    let recalled = if known.is_empty() {
        tracing::info!(folder = %path, "nothing was known; from now on it is kept");
        RestoredState::default()
    } else {
        let (recalled, unfit) = snapshot::recall(known.clone(), calendar, &names);
        unfit.iter().for_each(|why| tracing::warn!(%why, "of what was known, this is not used"));
        tracing::info!(
            age_s = recalled.age.as_secs_f64(),
            proxies = recalled.proxies.len(),
            withdrawn = recalled.ejected.len(),
            overrides = recalled.overrides.len(),
            "what was known before a restart"
        );
        recalled
    };
    let (to, changes) = mpsc::channel(1);
    let (progress, seen) = watch::channel(Progress::default());
    let thread =
        std::thread::Builder::new().name("state".into()).spawn(move || write(store, changes, &progress));
    if let Err(error) = thread {
        tracing::error!(%error, "no thread to write what is known");
        return Start { epoch, recalled, keeper: None };
    }
    let keeper = Keeper {
        before: known,
        pending: BTreeMap::new(),
        since: None,
        alive: None,
        names: Arc::new(names),
        to,
        progress: seen,
        handed: 0,
    };
    Start { epoch, recalled, keeper: Some(keeper) }
}

/// The thread's whole work. After an error everything is still in the store's hands, and is written anew.
fn write(
    mut store: Store<Folder>,
    mut changes: mpsc::Receiver<Vec<Change>>,
    progress: &watch::Sender<Progress>,
) {
    let mut wait = WAITS.0;
    while let Some(changes) = changes.blocking_recv() {
        let mut written = store.write(&changes);
        while let Err(error) = written {
            progress.send_modify(|progress| progress.errors += 1);
            tracing::error!(%error, wait_s = wait.as_secs_f64(), "what is known could not be written");
            if error.is_size_limit() {
                break;
            }
            std::thread::sleep(wait);
            wait = (2 * wait).min(WAITS.1);
            written = store.write(&[]);
            if written.is_ok() {
                wait = WAITS.0;
            }
        }
        let sizes = store.sizes();
        progress.send_modify(|progress| {
            progress.written += 1;
            progress.bytes = sizes.entry_bytes + sizes.journal_bytes;
        });
    }
}

impl Keeper {
    pub fn before(&self) -> &StoredItems {
        &self.before
    }

    /// What is known now: what differs is handed on, or waits for the disk.
    pub fn keep(&mut self, mut known: StoredItems, calendar: f64) {
        known.insert(snapshot::NAMES.into(), self.names.clone());
        let alive = match self.before.get(snapshot::ALIVE) {
            Some(alive) if self.alive.is_some_and(|at| at.elapsed() < ALIVE_EVERY) => alive.clone(),
            _ => {
                self.alive = Some(Instant::now());
                Arc::new(StoredItem::Alive { at: calendar })
            }
        };
        known.insert(snapshot::ALIVE.into(), alive);
        for (name, item) in snapshot::changes(&self.before, &known) {
            self.pending.insert(name, item.map(snapshot::encode));
        }
        self.before = known;
        self.hand_on();
        metrics::gauge!("wrenthread_state_lag_seconds").set(self.lag().as_secs_f64());
        let progress = self.progress.borrow();
        metrics::gauge!("wrenthread_state_bytes").set(progress.bytes as f64);
        metrics::gauge!("wrenthread_state_errors").set(progress.errors as f64);
    }

    fn hand_on(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        self.since.get_or_insert_with(Instant::now);
        let Ok(place) = self.to.try_reserve() else { return };
        let pending = std::mem::take(&mut self.pending).into_iter();
        place.send(pending.map(|(name, content)| Change { name, content }).collect());
        (self.since, self.handed) = (None, self.handed + 1);
    }

    /// How long the oldest change that is not written has waited.
    pub fn lag(&self) -> Duration {
        self.since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Waits for a while until all is written.
    pub async fn end(mut self) {
        let written = async {
            while self.progress.borrow_and_update().written < self.handed || !self.pending.is_empty() {
                self.hand_on();
                if self.progress.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(LAST_WRITE, written).await.is_err() {
            tracing::error!("the last of what is known could not be written in time");
        }
    }
}

// ---- at the command line

/// What a folder holds, without taking it: its governor may run on. A fold in the midst of it is looked past.
fn look(folder: &Path) -> Result<Recovered> {
    let mut found = Recovered::default();
    for _ in 0..5 {
        found = wrenthread_durable_store::read(&mut Folder::read_only(folder))
            .with_context(|| folder.display().to_string())?;
        if found.losses.is_empty() {
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(found)
}

fn entry(item: &StoredItem) -> Value {
    serde_json::to_value(item).unwrap_or_default()
}

/// All entries, and what is wrong with the folder.
///
/// Errors: it can't be listed.
pub fn show(folder: &Path) -> Result<Value> {
    let found = look(folder)?;
    let (known, more) = decoded(&found);
    let bytes: usize = found.entries.iter().map(|(name, content)| name.len() + content.len()).sum();
    let losses = [loss_texts(&found), more].concat();
    let entries: serde_json::Map<String, Value> =
        known.iter().map(|(name, item)| (name.clone(), entry(item))).collect();
    Ok(json!({
        "folder": folder.display().to_string(), "generation": found.generation, "entries": entries,
        "bytes": bytes, "journal_bytes": found.journal_bytes, "losses": losses,
    }))
}

/// For people.
pub fn summary(shown: &Value) -> String {
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for name in shown["entries"].as_object().into_iter().flat_map(|all| all.keys()) {
        *kinds.entry(name.split_once('/').map_or(name.as_str(), |(kind, _)| kind)).or_default() += 1;
    }
    let rows: Vec<Vec<String>> =
        kinds.iter().map(|(kind, count)| vec![(*kind).to_string(), count.to_string()]).collect();
    let mut text = crate::render::columns(&["kind", "entries"], &rows);
    text += &format!(
        "\n{} bytes, and {} in the journal of generation {}\n",
        shown["bytes"], shown["journal_bytes"], shown["generation"]
    );
    for why in shown["losses"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        text += &format!("lost: {why}\n");
    }
    text
}

/// Puts entries, as `export` wrote them, in the place of all that a folder holds. No governor may have it.
///
/// Errors: another process has the folder; a file that is no export; the disk's.
pub fn import(folder: &Path, file: &Path) -> Result<usize> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| name.clone())?;
    let shown: Value = serde_json::from_str(&text).with_context(|| name.clone())?;
    let entries = shown["entries"].as_object().with_context(|| format!("{name} is no export"))?;
    let mut changes: Vec<Change> = Vec::new();
    for (entry, value) in entries {
        let item: StoredItem =
            serde_json::from_value(value.clone()).with_context(|| format!("{name}: `{entry}`"))?;
        changes.push(Change::put(entry.as_str(), snapshot::encode(&item)));
    }
    if !entries.contains_key(snapshot::NAMES) || !entries.contains_key(snapshot::ALIVE) {
        bail!("{name} does not say whose entries these are");
    }
    let (mut store, found) = Store::open(Folder::lock(folder)?)?;
    changes.extend(found.entries.into_keys().filter(|old| !entries.contains_key(old)).map(Change::remove));
    store.write(&changes)?;
    store.compact()?;
    Ok(entries.len())
}

/// Folds the journal into a new snapshot. No governor may have the folder.
///
/// Errors: as [`import`].
pub fn compact(folder: &Path) -> Result<(usize, usize)> {
    if !folder.is_dir() {
        bail!("{} is no folder", folder.display());
    }
    let (mut store, found) = Store::open(Folder::lock(folder)?)?;
    found.losses.iter().for_each(|why| eprintln!("lost: {why}"));
    store.compact()?;
    let sizes = store.sizes();
    Ok((sizes.entry_bytes, sizes.journal_bytes))
}
