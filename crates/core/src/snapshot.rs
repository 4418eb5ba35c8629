//! What a governor knows beyond a restart, as items by name, and how much of it counts when it comes back.
//!
//! Nothing that was known is taken for present truth. Each kind of knowledge counts half after its half-life, and
//! does something stated at the start (`docs/design/state.md`): demand is mixed with what a proxy says; a replica
//! that was ejected is reported with as many failed attempts as its age leaves, and the module judges; admission
//! fractions hold for some seconds; a proxy's tables are believed only if its own signed proof says that it holds
//! them. Operators' overrides and frozen tables end when they would have.
//!
//! | file | what is in it |
//! | --- | --- |
//! | `items` | the stored types, under their stored names |
//! | `restore` | what of them counts at a start |

mod items;
mod restore;

pub use items::{
    StoredFrozenEntry, StoredFrozenTable, StoredItem, StoredItems, StoredProxy, StoredReplica,
    StoredRetryPolicy, StoredTable, StoredTableEntry,
};
pub use restore::{
    DEMAND, LAST, LEVELS, RestoreError, RestoredFrozenTable, RestoredOverride, RestoredState, TABLES,
    UNKNOWN, WITHDRAWN, counts, recall,
};

use std::sync::Arc;

/// Name of the item that says whose items these are.
pub const NAMES: &str = "names";
/// Name of the item that says until when they were known.
pub const ALIVE: &str = "alive";

/// A figure in steps of a tenth: what moves a little all the time is not written all the time.
pub fn stepped(figure: f64) -> f64 {
    if !(figure > 1e-3 && figure.is_finite()) {
        return 0.0;
    }
    1.1f64.powf((figure.ln() / 1.1f64.ln()).round())
}

/// An item as bytes (CBOR).
pub fn encode(item: &StoredItem) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Into memory, and of plain types: it can't fail but for a bug, and then nothing is kept.
    if ciborium::into_writer(item, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// What [`encode`] made; none if it is not of its making.
pub fn decode(bytes: &[u8]) -> Option<StoredItem> {
    ciborium::from_reader(bytes).ok()
}

/// What differs from what was written before: names, and what they are from now on.
pub fn changes<'a>(before: &StoredItems, now: &'a StoredItems) -> Vec<(String, Option<&'a StoredItem>)> {
    let same = |one: &Arc<StoredItem>, other: &Arc<StoredItem>| Arc::ptr_eq(one, other) || one == other;
    let changed = now.iter().filter(|(name, item)| before.get(*name).is_none_or(|old| !same(old, item)));
    let removed = before.keys().filter(|name| !now.contains_key(*name));
    changed
        .map(|(name, item)| (name.clone(), Some(&**item)))
        .chain(removed.map(|name| (name.clone(), None)))
        .collect()
}

#[cfg(test)]
mod tests;
