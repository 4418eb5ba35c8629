//! Tests of [`super`].

use std::time::Duration;

use super::*;
use crate::table_versions::MILLION;
use proptest::prelude::*;

fn names(groups: &[&str]) -> StoredItem {
    let groups = groups.iter().map(|group| (*group).to_string()).collect();
    StoredItem::Names { governor: "g".into(), zones: vec!["z".into()], groups }
}

fn proxy() -> StoredProxy {
    let entry =
        StoredTableEntry { replica: "a".into(), address: "a:1".into(), zone: 0, weight: 2.5, routable: true };
    StoredProxy {
        zone: 0,
        epoch: 7,
        version: 9,
        has_dedicated_table: false,
        tables: vec![Some(StoredTable { admission_fraction: 0.5, entries: vec![entry] })],
        retry_policies: vec![StoredRetryPolicy::IfNotExecuted],
        requests_per_second: vec![3.0],
        absent_seconds: 0.0,
    }
}

fn frozen_table() -> StoredFrozenTable {
    let entries = vec![StoredFrozenEntry { replica: "a".into(), address: "a:1".into(), zone: 0, weight: 7 }];
    StoredFrozenTable {
        version: 3,
        published_at: 900.0,
        until: 1200.0,
        reason: "y".into(),
        entries,
        admission_millionths: MILLION,
        retry_policy: StoredRetryPolicy::Never,
    }
}

fn stored_items() -> StoredItems {
    let all = [
        (NAMES_ITEM.to_string(), names(&["entry"])),
        (ALIVE_ITEM.to_string(), StoredItem::Alive { at: 1000.0 }),
        ("proxy/p".to_string(), StoredItem::Proxy(proxy())),
        (
            "replica/a".to_string(),
            StoredItem::Replica(StoredReplica { ejected: true, throughput: vec![(0, 8.0)] }),
        ),
        (
            "level/entry".to_string(),
            StoredItem::Admission { fraction: 0.5, retry_policy: StoredRetryPolicy::Never },
        ),
        ("hold/entry/p".to_string(), StoredItem::FrozenTable(frozen_table())),
        ("override/a".to_string(), StoredItem::Override { weight: None, until: 1100.0, reason: "x".into() }),
    ];
    all.map(|(name, item)| (name, Arc::new(item))).into()
}

fn at(unix_seconds: f64) -> RestoredState {
    let (restored, errors) = restore(stored_items(), unix_seconds, &names(&["entry"]));
    assert_eq!(errors, []);
    restored
}

#[test]
fn ages_each_kind_of_knowledge_by_its_own_half_life() {
    let soon = at(1001.0);
    assert_eq!((soon.age, soon.ejected["a"]), (Duration::from_secs(1), 19));
    assert!((soon.throughput[&("a".into(), 0)] - 8.0 * 0.5f64.powf(1.0 / 60.0)).abs() < 1e-9);
    assert_eq!((soon.admission_fractions[&0], soon.admission_remaining), (0.5, Duration::from_secs(9)));
    assert_eq!(soon.overrides["a"].remaining, Duration::from_secs(99));
    assert_eq!(soon.proxies["p"], proxy());
    let frozen = &soon.frozen_tables[&("p".into(), 0)];
    assert_eq!((frozen.age, frozen.remaining), (Duration::from_secs(101), Duration::from_secs(199)));
    assert_eq!(frozen.stored.published().entries["a"].weight, 7);
    let later = at(1060.0);
    assert_eq!(
        (later.ejected.len(), later.admission_fractions.len()),
        (0, 0),
        "an eighth of twenty attempts is below the minimum"
    );
    assert!((later.throughput[&("a".into(), 0)] - 4.0).abs() < 1e-9);
    let (mut stored_items, names) = (stored_items(), names(&["entry"]));
    stored_items.insert(
        "proxy/p".into(),
        Arc::new(StoredItem::Proxy(StoredProxy { absent_seconds: 590.0, ..proxy() })),
    );
    assert_eq!(restore(stored_items.clone(), 1009.0, &names).0.proxies.len(), 1);
    assert_eq!(restore(stored_items, 1010.0, &names).0.proxies.len(), 0, "absences add up over restarts");
    let stale = at(1000.0 + 36_000.0);
    assert_eq!((stale.proxies.len(), stale.overrides.len(), stale.frozen_tables.len()), (0, 0, 0));
    assert!(stale.throughput[&("a".into(), 0)] < 1e-9);
}

#[test]
fn clock_steps_make_nothing_younger_and_nothing_last_longer() {
    let back = at(500.0);
    assert_eq!((back.age, back.admission_fractions.len(), back.ejected.len()), (UNKNOWN_AGE, 0, 0));
    assert_eq!(back.overrides["a"].remaining, Duration::from_secs(100), "what was left when it was stored");
    assert_eq!(back.frozen_tables[&("p".into(), 0)].remaining, Duration::from_secs(200));
    assert_eq!(at(f64::MAX).age, Duration::MAX);
}

#[test]
fn reports_and_omits_items_that_can_not_be_used() {
    let with = |change: fn(&mut StoredItems)| {
        let mut stored_items = stored_items();
        change(&mut stored_items);
        let (restored, errors) = restore(stored_items, 1001.0, &names(&["entry"]));
        (restored, errors.into_iter().map(|error| error.to_string()).collect::<Vec<_>>().join("; "))
    };
    let (_, messages) = with(|stored_items| drop(stored_items.remove(NAMES_ITEM)));
    assert!(messages.contains("lack the governor's name or their time"));
    let (_, messages) = with(|stored_items| drop(stored_items.remove(ALIVE_ITEM)));
    assert!(messages.contains("lack the governor's name or their time"));
    let other_governor = StoredItem::Names { governor: "h".into(), zones: vec![], groups: vec![] };
    let (restored, errors) = restore(stored_items(), 1001.0, &other_governor);
    assert_eq!((restored, errors), (RestoredState::default(), vec![RestoreError::OtherGovernor("g".into())]));
    let (restored, errors) = restore(stored_items(), 1001.0, &names(&["entry", "exit"]));
    assert_eq!(
        (restored.proxies.len(), restored.admission_fractions.len(), errors),
        (0, 0, vec![RestoreError::SettingsChanged])
    );
    assert_eq!(restored.ejected.len(), 1, "replicas are stored by name");
    let (restored, messages) = with(|stored_items| {
        let unknown_zone = StoredProxy { zone: 4, ..proxy() };
        stored_items.insert("proxy/far".into(), Arc::new(StoredItem::Proxy(unknown_zone)));
        stored_items.insert(
            "proxy/odd".into(),
            Arc::new(StoredItem::Proxy(StoredProxy { requests_per_second: vec![f64::NAN], ..proxy() })),
        );
        stored_items.insert("hold/none/p".into(), Arc::new(StoredItem::FrozenTable(frozen_table())));
        stored_items.insert(
            "hold/entry/q".into(),
            Arc::new(StoredItem::FrozenTable(StoredFrozenTable {
                admission_millionths: MILLION + 1,
                ..frozen_table()
            })),
        );
        stored_items.insert(
            "level/none".into(),
            Arc::new(StoredItem::Admission { fraction: 1.0, retry_policy: StoredRetryPolicy::OnAnyFailure }),
        );
        stored_items.insert(
            "level/entry".into(),
            Arc::new(StoredItem::Admission { fraction: 7.0, retry_policy: StoredRetryPolicy::OnAnyFailure }),
        );
        stored_items.insert("proxy/q".into(), Arc::new(StoredItem::Alive { at: 0.0 }));
    });
    assert_eq!((restored.proxies.len(), restored.admission_fractions.len()), (1, 0));
    assert!(
        messages.contains("`proxy/far` refers to an unknown zone")
            && messages.contains("`level/none` refers"),
        "{messages}"
    );
    assert!(
        messages.contains("`hold/none/p` refers") && messages.contains("`hold/entry/q` has a figure"),
        "{messages}"
    );
    assert_eq!(restored.frozen_tables.len(), 1);
    assert!(
        messages.contains("`proxy/odd` has a figure")
            && messages.contains("`proxy/q` has an unknown name or kind"),
        "{messages}"
    );
}

#[test]
fn writes_only_what_differs() {
    let (before, mut now) = (stored_items(), stored_items());
    assert_eq!(changes(&before, &now), []);
    now.remove("level/entry");
    now.insert(ALIVE_ITEM.into(), Arc::new(StoredItem::Alive { at: 1005.0 }));
    let changed: Vec<_> =
        changes(&before, &now).into_iter().map(|(name, item)| (name, item.is_some())).collect();
    assert_eq!(changed, [(ALIVE_ITEM.to_string(), true), ("level/entry".to_string(), false)]);
    assert_eq!((quantized(0.0), quantized(f64::NAN), quantized(100.0) == quantized(101.0)), (0.0, 0.0, true));
    assert!((quantized(100.0) / 100.0 - 1.0).abs() < 0.05);
}

proptest! {
    #[test]
    fn reads_back_items_as_they_were_written(weight in 1e-300f64..1e300, is_routable in any::<bool>(), id in ".{0,9}") {
        let mut proxy = proxy();
        let entries = vec![StoredTableEntry {
            replica: id.as_str().into(), address: "x".into(), zone: 3, weight, routable: is_routable,
        }];
        proxy.tables = vec![None, Some(StoredTable { admission_fraction: 0.1, entries })];
        let item = StoredItem::Proxy(proxy);
        prop_assert_eq!(decode(&encode(&item)), Some(item));
    }

    #[test]
    fn no_bytes_make_restoring_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(item) = decode(&bytes) {
            let stored_items = [(NAMES_ITEM, names(&[])), (ALIVE_ITEM, item.clone()), ("proxy/x", item)];
            restore(stored_items.map(|(name, item)| (name.to_string(), Arc::new(item))).into(), 5.0, &names(&[]));
        }
    }

    /// Replaces a byte within a valid item, which may still decode to an item with other values.
    #[test]
    fn mutated_items_do_no_harm(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        for (name, item) in stored_items() {
            let mut bytes = encode(&item);
            let at = at.index(bytes.len());
            bytes[at] = byte;
            if let Some(item) = decode(&bytes) {
                let mut stored_items = stored_items();
                stored_items.insert(name, Arc::new(item));
                restore(stored_items, 1001.0, &names(&["entry"]));
            }
        }
    }
}
