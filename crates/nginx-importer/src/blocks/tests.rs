//! Tests of `blocks`.

use super::*;
use proptest::prelude::*;

#[test]
fn writes_tables_as_upstream_blocks() {
    let table = |server_weights: &[(&str, f64)], fraction| UpstreamTable {
        servers: server_weights.iter().map(|(address, weight)| ((*address).to_string(), *weight)).collect(),
        admission_fraction: fraction,
    };
    let tables: Tables = [
        ("exit-charge".to_string(), table(&[("10.0.0.1:80", 2.0), ("[fd00::1]:80", 1.0)], 0.875)),
        ("bare".to_string(), table(&[], 1.0)),
        ("shut".to_string(), table(&[("10.0.0.1:80", 1.0)], 0.0)),
    ]
    .into();
    let text = write(&tables, "version\n1").unwrap();
    assert!(text.starts_with("# version 1\n"));
    assert!(text.contains("upstream wrenthread_bare {\n    random;\n    server 127.0.0.1:1 down;\n}"));
    assert!(text.contains("$wrenthread_exit_2dcharge_blocked { 12.5% 1; * \"\"; }"));
    let parsed = read(&text).unwrap();
    assert_eq!(parsed["wrenthread_exit_2dcharge"].1, 0.125);
    assert_eq!((parsed["wrenthread_bare"].0.len(), parsed["wrenthread_shut"].1), (0, 1.0));
    for address in ["10.0.0.1:80 down", "x;}", "unix:/run/x", ""] {
        let tables = [("g".to_string(), table(&[(address, 1.0)], 1.0))].into();
        assert_eq!(write(&tables, ""), Err(ExportError::InvalidAddress(address.to_string())));
    }
    assert_ne!(upstream_name("a-b"), upstream_name("a_b"));
}

proptest! {
    #[test]
    fn integer_weights_keep_the_shares(drawn in prop::collection::vec(1e-3f64..1e3, 1..60)) {
        let server_weights: Vec<(String, f64)> =
            drawn.iter().enumerate().map(|(index, weight)| (format!("10.0.0.{index}:80"), *weight)).collect();
        let integers = integer_weights(&server_weights);
        let (sum, integer_sum): (f64, u64) = (drawn.iter().sum(), integers.iter().sum());
        prop_assert!(integer_sum as f64 <= MAX_WEIGHT_SUM + 60.0);
        for (weight, integer) in drawn.iter().zip(&integers) {
            prop_assert!((weight / sum - *integer as f64 / integer_sum as f64).abs() < 61e-6);
        }
        let tables: Tables = [("g".to_string(), UpstreamTable { servers: server_weights, admission_fraction: 1.0 })].into();
        prop_assert!(write(&tables, "").is_ok());
    }
}
