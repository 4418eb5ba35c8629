//! Snapshots: the state that a governor keeps across a restart, as named items, and how much of it is used
//! when the governor comes back.
//!
//! Stored state is never taken for the present state. Each kind has its own half-life or lifetime and a
//! defined effect at the start (`docs/design/state.md`): demand is averaged with what a proxy declares, at
//! a weight that decays; a replica that was ejected is reported with a number of failed attempts that decays
//! with the age of the stored state, and the decision module decides; admission fractions hold for some
//! seconds after the state was stored, unless the module decides before; a proxy's tables are believed only
//! if its signed proof says that it holds them. Overrides and frozen tables of operators end when they would
//! have ended.
//!
//! | file | contents |
//! | --- | --- |
//! | `items` | the stored types, under their stored names |
//! | `restore` | what of them is used at a start |

mod items;
mod restore;

pub use items::{
    StoredFrozenEntry, StoredFrozenTable, StoredItem, StoredItems, StoredProxy, StoredReplica,
    StoredRetryPolicy, StoredTable, StoredTableEntry,
};
pub use restore::{
    ADMISSION_LIFETIME, DEMAND_HALF_LIFE, EJECTION_HALF_LIFE, RESTORED_REPORT_INTERVAL, RestoreError,
    RestoredFrozenTable, RestoredOverride, RestoredState, TABLE_LIFETIME, UNKNOWN_AGE, decay_factor, restore,
};

use std::sync::Arc;

/// Name of the item with the governor's name and its lists of zones and classes.
pub const NAMES_ITEM: &str = "names";
/// Name of the item with the time until which all items were current.
pub const ALIVE_ITEM: &str = "alive";

/// Rounds a figure to a power of 1.1, so that a value that moves slightly all the time is not written each
/// time.
pub fn quantized(figure: f64) -> f64 {
    if !(figure > 1e-3 && figure.is_finite()) {
        return 0.0;
    }
    1.1f64.powf((figure.ln() / 1.1f64.ln()).round())
}

/// Encodes an item as CBOR.
pub fn encode(item: &StoredItem) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing plain types to memory can't fail except for a bug. Then nothing is stored.
    if ciborium::into_writer(item, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes an item that [`encode`] wrote; none if the bytes are invalid.
pub fn decode(bytes: &[u8]) -> Option<StoredItem> {
    ciborium::from_reader(bytes).ok()
}

/// The differences from the items written before: names with their new items, or none where an item was
/// removed.
pub fn changes<'a>(before: &StoredItems, now: &'a StoredItems) -> Vec<(String, Option<&'a StoredItem>)> {
    let same = |a: &Arc<StoredItem>, b: &Arc<StoredItem>| Arc::ptr_eq(a, b) || a == b;
    let changed = now.iter().filter(|(name, item)| before.get(*name).is_none_or(|old| !same(old, item)));
    let removed = before.keys().filter(|name| !now.contains_key(*name));
    changed
        .map(|(name, item)| (name.clone(), Some(&**item)))
        .chain(removed.map(|name| (name.clone(), None)))
        .collect()
}

#[cfg(test)]
mod tests;
