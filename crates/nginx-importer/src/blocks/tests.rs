//! Tests of `blocks`.

use super::*;
use proptest::prelude::*;

#[test]
fn a_table_is_written_as_nginx_reads_it() {
    let table = |lines: &[(&str, f64)], level| UpstreamTable {
        servers: lines.iter().map(|(at, weight)| ((*at).to_string(), *weight)).collect(),
        admission_fraction: level,
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
    let said = read(&text).unwrap();
    assert_eq!(said["wrenthread_exit_2dcharge"].1, 0.125);
    assert_eq!((said["wrenthread_bare"].0.len(), said["wrenthread_shut"].1), (0, 1.0));
    for address in ["10.0.0.1:80 down", "x;}", "unix:/run/x", ""] {
        let odd = [("g".to_string(), table(&[(address, 1.0)], 1.0))].into();
        assert_eq!(write(&odd, ""), Err(ExportError::Address(address.to_string())));
    }
    assert_ne!(upstream("a-b"), upstream("a_b"));
}

proptest! {
    #[test]
    fn shares_are_kept_to_a_millionth(drawn in prop::collection::vec(1e-3f64..1e3, 1..60)) {
        let lines: Vec<(String, f64)> =
            drawn.iter().enumerate().map(|(at, weight)| (format!("10.0.0.{at}:80"), *weight)).collect();
        let whole = weights(&lines);
        let (sum, all): (f64, u64) = (drawn.iter().sum(), whole.iter().sum());
        prop_assert!(all as f64 <= WEIGHTS + 60.0);
        for (weight, whole) in drawn.iter().zip(&whole) {
            prop_assert!((weight / sum - *whole as f64 / all as f64).abs() < 61e-6);
        }
        let tables: Tables = [("g".to_string(), UpstreamTable { servers: lines, admission_fraction: 1.0 })].into();
        prop_assert!(write(&tables, "").is_ok());
    }
}
