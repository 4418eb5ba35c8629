//! Arithmetic helpers.

use std::collections::BTreeMap;

/// Returns the value for a key, or the type's default if the key is absent.
pub(super) fn get_or_default<K: Ord, V: Copy + Default>(map: &BTreeMap<K, V>, key: &K) -> V {
    map.get(key).copied().unwrap_or_default()
}

/// Divides two non-negative numbers without producing NaN if the denominator is 0.
pub(super) fn ratio(numerator: f64, denominator: f64) -> f64 {
    numerator / denominator.max(f64::MIN_POSITIVE)
}
