//! Weights as the integers that public protocols carry.
//!
//! Two kinds of proxies read them: some pick a locality by its weight and then an entry in it, others pick among all
//! entries. Both come to the same fractions, as a locality's weight is the sum of its routable entries.

/// An entry's fraction moves by less than this part of itself, in either direction, as long as the lightest and all
/// entries together are less than 4 million apart; beyond that the lightest entries are raised to 1.
pub const ROUNDED_BY: f64 = 0.001;

/// What the lightest entry is scaled to, so that rounding down loses less than [`ROUNDED_BY`] of it.
const LIGHTEST: f64 = 1.0 / ROUNDED_BY;

/// Scales weights to whole numbers of at least 1 whose sum fits a `u32`.
///
/// All are rounded down: so no entry, and none of a cold replica's, gains more than [`ROUNDED_BY`] of its fraction.
/// Weights that are not finite or not above 0 are taken for the lightest: an entry is never lost here, as whether one
/// exists is not this function's to say.
pub fn whole(weights: &[f64]) -> Vec<u32> {
    let sound = |weight: &f64| weight.is_finite() && *weight > 0.0;
    let lightest = weights.iter().copied().filter(sound).fold(f64::INFINITY, f64::min);
    let lightest = if lightest.is_finite() { lightest } else { 1.0 };
    let weight = |weight: &f64| if sound(weight) { *weight } else { lightest };
    let largest = weights.iter().map(weight).fold(lightest, f64::max);
    // In parts of the largest, so that no sum of finite weights overflows.
    let sum: f64 = weights.iter().map(|one| weight(one) / largest).sum();
    let headroom = f64::from(u32::MAX) - weights.len() as f64;
    let scale = (LIGHTEST / (lightest / largest)).min(headroom / sum.max(1.0));
    weights.iter().map(|one| ((weight(one) / largest * scale) as u32).max(1)).collect()
}

#[cfg(test)]
mod tests;
