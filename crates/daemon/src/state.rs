//! The state that a governor keeps in a folder across restarts: read at startup, written in the background, inspected by
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

/// The stored state that a governor starts with.
pub struct StoredState {
    /// The epoch of this run, above that of every earlier run.
    pub epoch: u64,
    /// The restored state of earlier runs, without items that no longer apply.
    pub restored: RestoredState,
    /// `None` if no state can be stored.
    pub writer: Option<StateWriter>,
}

/// Reads the state that earlier runs stored and reserves an epoch for this run. The governor starts even if the folder
/// is damaged or unusable: the log says what is used and what is lost.
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
            tracing::error!(%error, %folder, "can't open the state folder; running without stored state");
            return StoredState { epoch, restored: RestoredState::default(), writer: None };
        }
    };
    let (items, unknown) = decode(&recovered);
    for loss in loss_texts(&recovered).iter().chain(&unknown) {
        tracing::warn!(loss, "part of the stored state is lost");
    }
    let restored = restore(folder, &items, &names, unix_seconds);
    let writer = match StateWriter::start(store, names, items) {
        Ok(writer) => Some(writer),
        Err(error) => {
            tracing::error!(%error, "can't start the state writer thread; no state will be stored");
            None
        }
    };
    StoredState { epoch, restored, writer }
}

fn reserve_epoch(disk: &mut Folder, clock_epoch: u64) -> u64 {
    let reserved = wrenthread_durable_store::reserve_epoch(disk, clock_epoch, random_bits());
    let ReservedEpoch { epoch, failure } = reserved;
    if let Some(error) = failure {
        tracing::error!(%error, "can't reserve the epoch of this run");
    }
    epoch
}

/// Sixteen random bits, from the standard library's hasher to avoid a dependency.
fn random_bits() -> u16 {
    RandomState::new().hash_one(std::process::id()) as u16
}

/// Restores the stored items that still apply.
fn restore(folder: &Path, items: &StoredItems, names: &StoredItem, unix_seconds: f64) -> RestoredState {
    if items.is_empty() {
        tracing::info!(folder = %folder.display(), "no stored state found; starting a new state folder");
        return RestoredState::default();
    }
    let (restored, unused) = snapshot::restore(items.clone(), unix_seconds, names);
    for reason in &unused {
        tracing::warn!(%reason, "part of the stored state is not used");
    }
    tracing::info!(
        age_s = restored.age.as_secs_f64(),
        proxies = restored.proxies.len(),
        ejected = restored.ejected.len(),
        overrides = restored.overrides.len(),
        "stored state restored"
    );
    restored
}

/// Decodes the entries. Also returns a message for each entry that this version of the program can't decode.
fn decode(recovered: &Recovered) -> (StoredItems, Vec<String>) {
    let mut items = StoredItems::new();
    let mut unknown = Vec::new();
    for (name, bytes) in &recovered.entries {
        match snapshot::decode(bytes) {
            Some(item) => {
                items.insert(name.clone(), Arc::new(item));
            }
            None => unknown.push(format!("entry `{name}` is not supported by this version of wrenthread")),
        }
    }
    (items, unknown)
}

fn loss_texts(recovered: &Recovered) -> Vec<String> {
    recovered.losses.iter().map(ToString::to_string).collect()
}
