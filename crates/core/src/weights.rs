//! Conversion of weights to the integers that public protocols use.
//!
//! Proxies interpret them in two ways: some pick a locality by its weight and then an entry in it, others
//! pick among all entries. Both result in the same fractions, as the weight of a locality is the sum of its
//! routable entries.

/// The maximum relative change of an entry's fraction by rounding, in either direction, as long as the sum of
/// all entries is less than 4 million times the lightest; beyond that the lightest entries are raised to 1.
pub const MAX_ROUNDING_ERROR: f64 = 0.001;

/// The value that the lightest entry is scaled to, so that rounding down loses less than
/// [`MAX_ROUNDING_ERROR`] of it.
const LIGHTEST_SCALED: f64 = 1.0 / MAX_ROUNDING_ERROR;

/// Scales weights to integers of at least 1 whose sum fits a `u32`.
///
/// All are rounded down, so that no entry, in particular of a cold replica, gains more than
/// [`MAX_ROUNDING_ERROR`] of its fraction. Weights that are not finite or not above 0 are treated as equal to
/// the lightest: this function never drops an entry.
pub fn to_integers(weights: &[f64]) -> Vec<u32> {
    let is_valid = |weight: &f64| weight.is_finite() && *weight > 0.0;
    let lightest = weights.iter().copied().filter(is_valid).fold(f64::INFINITY, f64::min);
    let lightest = if lightest.is_finite() { lightest } else { 1.0 };
    let weight = |weight: &f64| if is_valid(weight) { *weight } else { lightest };
    let largest = weights.iter().map(weight).fold(lightest, f64::max);
    // Relative to the largest weight, so that the sum of finite weights can't overflow.
    let sum: f64 = weights.iter().map(|raw| weight(raw) / largest).sum();
    let headroom = f64::from(u32::MAX) - weights.len() as f64;
    let scale = (LIGHTEST_SCALED / (lightest / largest)).min(headroom / sum.max(1.0));
    weights.iter().map(|raw| ((weight(raw) / largest * scale) as u32).max(1)).collect()
}

#[cfg(test)]
mod tests;
