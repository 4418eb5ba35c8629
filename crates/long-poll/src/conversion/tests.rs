use super::*;
use proptest::prelude::*;

fn parameters() -> SessionParameters {
    SessionParameters {
        epoch: "abc".into(),
        governor: String::new(),
        zones: vec!["north".into(), "south".into()],
        classes: vec!["match".into(), "charge".into()],
        report_interval_seconds: "1".into(),
        load_metrics: vec!["waiting".into()],
        max_wait_seconds: 30,
    }
}

/// A state with replicas given by number and weight, for the first class or for both.
fn state(weights: &[(u8, u32)], both: bool) -> PublishedState {
    let entry = |(id, weight): &(u8, u32)| {
        let zone = usize::from(id % 2);
        (
            format!("r{id}").as_str().into(),
            PublishedEntry { address: format!("a:{id}").into(), zone, weight: *weight },
        )
    };
    let table = PublishedTable {
        entries: weights.iter().map(entry).collect(),
        admission_millionths: 500_000,
        retry_policy: RetryPolicy::IfNotExecuted,
    };
    PublishedState { classes: vec![Some(table.clone()), both.then_some(table)] }
}

proptest! {
    #[test]
    fn tables_are_decoded_as_they_were_encoded(
        base in prop::collection::vec((0u8..9, 1u32..99), 0..9), base_has_both in prop::bool::ANY,
        newer in prop::collection::vec((0u8..9, 1u32..99), 0..9), newer_has_both in prop::bool::ANY,
    ) {
        let (base, newer, parameters) = (state(&base, base_has_both), state(&newer, newer_has_both), parameters());
        let complete = parameters.encode_complete(7, &base.digest(), &base);
        prop_assert_eq!(parameters.decode_tables(&complete).unwrap(), DecodedTables::Complete(base.clone()));
        let delta = table_versions::delta(&base, base.digest(), &newer, newer.digest());
        let decoded = parameters.decode_tables(&parameters.encode_delta(8, &delta)).unwrap();
        let DecodedTables::Delta(decoded) = decoded else { panic!() };
        prop_assert_eq!(table_versions::apply(&base, base.digest(), &decoded).unwrap(), newer);
    }

    /// Truncated or changed messages are rejected or decode to the same tables; they never cause a panic.
    #[test]
    fn broken_messages_are_rejected(cut in 0usize..400, at in 0usize..400, byte in any::<u8>()) {
        let (parameters, state) = (parameters(), state(&[(1, 5), (2, 7)], true));
        let tables = parameters.encode_complete(7, &state.digest(), &state);
        let mut cbor = Vec::new();
        ciborium::into_writer(&tables, &mut cbor).unwrap();
        let json = serde_json::to_vec(&tables).unwrap();
        for good in [json, cbor] {
            let mut bad = good.clone();
            let index = at % bad.len();
            bad[index] = byte;
            bad.truncate(cut.max(1));
            let read = [
                serde_json::from_slice::<TablesResponse>(&bad).ok(),
                ciborium::from_reader::<TablesResponse, _>(bad.as_slice()).ok(),
            ];
            for read in read.into_iter().flatten() {
                if let Ok(DecodedTables::Complete(decoded)) = parameters.decode_tables(&read) {
                    prop_assert_eq!(decoded, state.clone());
                }
            }
        }
    }
}

#[test]
fn malformed_versions_and_digests_are_rejected() {
    let parameters = parameters();
    assert_eq!(parameters.parse_version("abc.7"), Ok(Some(7)));
    assert_eq!(parameters.parse_version("abd.7"), Ok(None));
    assert!(parameters.parse_version("abc").is_err() && parameters.parse_version("abc.-1").is_err());
    assert_eq!(parse_digest(&hex(&[0xa5; 32])), Ok([0xa5; 32]));
    assert!(
        parse_digest("").is_err()
            && parse_digest(&"é".repeat(32)).is_err()
            && parse_digest(&"g".repeat(64)).is_err()
    );
}
