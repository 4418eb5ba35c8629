//! Small helpers for rates and sums.

use std::collections::BTreeMap;

/// The entry of a map, or the type's default where there is none.
pub(super) fn get_or_default<K: Ord, V: Copy + Default>(map: &BTreeMap<K, V>, key: &K) -> V {
    map.get(key).copied().unwrap_or_default()
}

/// A quotient that stays a number where the denominator is 0.
pub(super) fn ratio(numerator: f64, denominator: f64) -> f64 {
    numerator / denominator.max(f64::MIN_POSITIVE)
}
