//! What a governor knows beyond its life, in a folder: read at the start, written beside the decisions, inspected by
//! `wrenthread state`.

mod inspect;
mod writer;

use std::hash::{BuildHasher, RandomState};
use std::path::Path;
use std::sync::Arc;

use wrenthread_core::snapshot::{self, RestoredState, StoredItem, StoredItems};
use wrenthread_durable_store::disk::Folder;
use wrenthread_durable_store::{Recovered, ReservedEpoch, Store};

pub use inspect::{compact, import, show, summary};
pub use writer::StateWriter;

const MICROS_PER_SECOND: f64 = 1e6;

/// What a governor starts with.
pub struct StoredState {
    /// The epoch of this life, above that of any earlier one.
    pub epoch: u64,
    /// What earlier lives knew, as far as it still holds.
    pub restored: RestoredState,
    /// None where nothing can be stored.
    pub writer: Option<StateWriter>,
}

/// Reads what earlier lives stored and reserves an epoch for this one. Whatever is wrong with the folder, the governor
/// starts: the log says what is used and what is not.
pub fn open(folder: &Path, names: StoredItem, unix_seconds: f64) -> StoredState {
    let clock_epoch = (unix_seconds * MICROS_PER_SECOND) as u64;
    let mut epoch = clock_epoch;
    let opened = Folder::lock(folder).and_then(|mut disk| {
        epoch = reserve_epoch(&mut disk, clock_epoch);
        Store::open(disk)
    });
    let (store, recovered) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            let folder = folder.display();
            tracing::error!(%error, %folder, "nothing is known beyond this life, and nothing will be");
            return StoredState { epoch, restored: RestoredState::default(), writer: None };
        }
    };
    let (items, unknown) = decode(&recovered);
    for loss in loss_texts(&recovered).iter().chain(&unknown) {
        tracing::warn!(loss, "of what was known, this is lost");
    }
    let restored = restore(folder, &items, &names, unix_seconds);
    let writer = match StateWriter::start(store, names, items) {
        Ok(writer) => Some(writer),
        Err(error) => {
            tracing::error!(%error, "no thread to write what is known");
            None
        }
    };
    StoredState { epoch, restored, writer }
}

fn reserve_epoch(disk: &mut Folder, clock_epoch: u64) -> u64 {
    let reserved = wrenthread_durable_store::reserve_epoch(disk, clock_epoch, random_bits());
    let ReservedEpoch { epoch, failure } = reserved;
    if let Some(error) = failure {
        tracing::error!(%error, "this life's number could not be reserved");
    }
    epoch
}

/// Sixteen random bits, without a library for what the standard one has.
fn random_bits() -> u16 {
    RandomState::new().hash_one(std::process::id()) as u16
}

/// What still holds of the stored items.
fn restore(folder: &Path, items: &StoredItems, names: &StoredItem, unix_seconds: f64) -> RestoredState {
    if items.is_empty() {
        tracing::info!(folder = %folder.display(), "nothing was known; from now on it is kept");
        return RestoredState::default();
    }
    let (restored, unused) = snapshot::restore(items.clone(), unix_seconds, names);
    for reason in &unused {
        tracing::warn!(%reason, "of what was known, this is not used");
    }
    tracing::info!(
        age_s = restored.age.as_secs_f64(),
        proxies = restored.proxies.len(),
        ejected = restored.ejected.len(),
        overrides = restored.overrides.len(),
        "what was known before a restart"
    );
    restored
}

/// The entries that this version knows, and texts that name those it does not.
fn decode(recovered: &Recovered) -> (StoredItems, Vec<String>) {
    let mut items = StoredItems::new();
    let mut unknown = Vec::new();
    for (name, bytes) in &recovered.entries {
        match snapshot::decode(bytes) {
            Some(item) => {
                items.insert(name.clone(), Arc::new(item));
            }
            None => unknown.push(format!("`{name}` is no entry that this version knows")),
        }
    }
    (items, unknown)
}

fn loss_texts(recovered: &Recovered) -> Vec<String> {
    recovered.losses.iter().map(ToString::to_string).collect()
}
