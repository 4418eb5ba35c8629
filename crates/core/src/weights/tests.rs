//! Tests of [`super`].

use super::*;
use proptest::prelude::*;

#[test]
fn keeps_entries_without_a_valid_weight_as_the_lightest() {
    assert_eq!(to_integers(&[f64::NAN, 2.0, -1.0, 0.0]), [1000, 1000, 1000, 1000]);
    assert_eq!(to_integers(&[]), Vec::<u32>::new());
    assert_eq!(to_integers(&[f64::INFINITY]), [1000]);
}

proptest! {
    #[test]
    fn keeps_fractions_and_loses_no_entry(weights in prop::collection::vec(0.001f64..1000.0, 1..200)) {
        let integers = to_integers(&weights);
        let sum: f64 = weights.iter().sum();
        let lightest = weights.iter().copied().fold(f64::INFINITY, f64::min);
        prop_assume!(sum / lightest < 4e6);
        let total: u64 = integers.iter().map(|weight| u64::from(*weight)).sum();
        prop_assert!(total <= u64::from(u32::MAX));
        for (weight, integer) in weights.iter().zip(&integers) {
            let (fraction_before, fraction_after) = (weight / sum, f64::from(*integer) / total as f64);
            prop_assert!(*integer >= 1 && (fraction_after / fraction_before - 1.0).abs() < 1.01 * MAX_ROUNDING_ERROR, "{fraction_before} {fraction_after}");
        }
    }

    #[test]
    fn sums_fit_however_far_apart_weights_are(weights in prop::collection::vec(0.0f64..f64::MAX, 1..50)) {
        let integers = to_integers(&weights);
        prop_assert!(integers.iter().map(|weight| u64::from(*weight)).sum::<u64>() <= u64::from(u32::MAX));
        prop_assert!(integers.iter().all(|weight| *weight >= 1));
    }
}
