//! Shows, exports, imports and compacts the stored state for the command line.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use serde::Serialize;
use serde_json::{Map, Value};
use wrenthread_core::snapshot::{self, StoredItem};
use wrenthread_durable_store::disk::Folder;
use wrenthread_durable_store::{Change, Recovered, Store};

use super::{decode, loss_texts};
use crate::render;

/// The maximum number of attempts to read a folder that may be compacted at the same time.
const MAX_READ_ATTEMPTS: usize = 5;
/// The delay between two attempts.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// All entries of a folder, and what was lost.
#[derive(Debug, Serialize)]
struct FolderContent {
    folder: String,
    generation: u64,
    entries: Map<String, Value>,
    bytes: usize,
    journal_bytes: usize,
    losses: Vec<String>,
}

/// Reads a folder without locking it: its governor may be running.
fn read_folder(folder: &Path) -> Result<Recovered> {
    let mut recovered = Recovered::default();
    for _ in 0..MAX_READ_ATTEMPTS {
        let read = wrenthread_durable_store::read(&mut Folder::read_only(folder));
        recovered = read.with_context(|| folder.display().to_string())?;
        if recovered.losses.is_empty() {
            break;
        }
        std::thread::sleep(READ_RETRY_DELAY);
    }
    Ok(recovered)
}

/// Returns all entries of a folder, and what was lost, as JSON.
///
/// # Errors
/// The folder can't be listed.
pub fn show(folder: &Path) -> Result<Value> {
    let recovered = read_folder(folder)?;
    let (items, unknown) = decode(&recovered);
    let entries = recovered.entries.iter();
    let bytes = entries.map(|(name, content)| name.len() + content.len()).sum();
    let mut entries = Map::new();
    for (name, item) in &items {
        entries.insert(name.clone(), serde_json::to_value(&**item).unwrap_or_default());
    }
    let content = FolderContent {
        folder: folder.display().to_string(),
        generation: recovered.generation,
        entries,
        bytes,
        journal_bytes: recovered.journal_bytes,
        losses: [loss_texts(&recovered), unknown].concat(),
    };
    Ok(serde_json::to_value(content)?)
}

/// The result of [`show`] as human-readable text.
pub fn summary(content: &Value) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for name in content["entries"].as_object().into_iter().flat_map(Map::keys) {
        let kind = name.split_once('/').map_or(name.as_str(), |(kind, _)| kind);
        *counts.entry(kind).or_default() += 1;
    }
    let rows: Vec<Vec<String>> =
        counts.iter().map(|(kind, count)| vec![(*kind).to_string(), count.to_string()]).collect();
    let mut text = render::columns(&["kind", "entries"], &rows);
    text += &format!(
        "\nentries: {} bytes, journal: {} bytes, generation {}\n",
        content["bytes"], content["journal_bytes"], content["generation"]
    );
    for loss in content["losses"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        text += &format!("lost: {loss}\n");
    }
    text
}

/// Replaces the content of a folder by an export, and returns the number of its entries. No governor may be using the
/// folder.
///
/// # Errors
/// Another process has locked the folder, the file is not an export, or a disk operation failed.
pub fn import(folder: &Path, file: &Path) -> Result<usize> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| name.clone())?;
    let content: Value = serde_json::from_str(&text).with_context(|| name.clone())?;
    let entries =
        content["entries"].as_object().with_context(|| format!("{name} is not an export of stored state"))?;
    let mut changes = Vec::new();
    for (entry, value) in entries {
        let item: StoredItem =
            serde_json::from_value(value.clone()).with_context(|| format!("{name}: `{entry}`"))?;
        changes.push(Change::put(entry.as_str(), snapshot::encode(&item)));
    }
    if !entries.contains_key(snapshot::NAMES_ITEM) || !entries.contains_key(snapshot::ALIVE_ITEM) {
        bail!("{name} has no `names` or no `alive` entry");
    }
    let (mut store, recovered) = Store::open(Folder::lock(folder)?)?;
    let replaced = recovered.entries.into_keys().filter(|old| !entries.contains_key(old));
    changes.extend(replaced.map(Change::remove));
    store.write(&changes)?;
    store.compact()?;
    Ok(entries.len())
}

/// The sizes of a store after compaction.
pub struct CompactedSizes {
    pub entry_bytes: usize,
    pub journal_bytes: usize,
}

/// Merges the journal into a new snapshot. No governor may be using the folder.
///
/// # Errors
/// The folder does not exist, another process has locked it, or a disk operation failed.
pub fn compact(folder: &Path) -> Result<CompactedSizes> {
    if !folder.is_dir() {
        bail!("{} is not a folder", folder.display());
    }
    let (mut store, recovered) = Store::open(Folder::lock(folder)?)?;
    for loss in loss_texts(&recovered) {
        eprintln!("lost: {loss}");
    }
    store.compact()?;
    let sizes = store.sizes();
    Ok(CompactedSizes { entry_bytes: sizes.entry_bytes, journal_bytes: sizes.journal_bytes })
}
