//! Tests of [`super`].

use super::*;
use proptest::prelude::*;

fn names(groups: &[&str]) -> StoredItem {
    let groups = groups.iter().map(|group| (*group).to_string()).collect();
    StoredItem::Names { governor: "g".into(), zones: vec!["z".into()], groups }
}

fn proxy() -> StoredProxy {
    let line = ("a".into(), "a:1".into(), 0, 2.5, true);
    StoredProxy {
        zone: 0,
        epoch: 7,
        version: 9,
        own: false,
        tables: vec![Some(StoredTable { level: 0.5, lines: vec![line] })],
        tries: vec![StoredRetryPolicy::IfNotExecuted],
        flows: vec![3.0],
        away: 0.0,
    }
}

fn hold() -> StoredFrozenTable {
    let lines = vec![("a".into(), "a:1".into(), 0, 7)];
    let (level, tries, why) = (MILLION, StoredRetryPolicy::Never, "y".into());
    StoredFrozenTable { version: 3, told_at: 900.0, until: 1200.0, why, lines, level, tries }
}

fn known() -> StoredItems {
    let all = [
        (NAMES.to_string(), names(&["entry"])),
        (ALIVE.to_string(), StoredItem::Alive { at: 1000.0 }),
        ("proxy/p".to_string(), StoredItem::Proxy(proxy())),
        (
            "replica/a".to_string(),
            StoredItem::Replica(StoredReplica { withdrawn: true, seen: vec![(0, 8.0)] }),
        ),
        ("level/entry".to_string(), StoredItem::Level { level: 0.5, tries: StoredRetryPolicy::Never }),
        ("hold/entry/p".to_string(), StoredItem::Hold(hold())),
        ("override/a".to_string(), StoredItem::Override { weight: None, until: 1100.0, why: "x".into() }),
    ];
    all.map(|(name, item)| (name, Arc::new(item))).into()
}

fn at(calendar: f64) -> RestoredState {
    let (recalled, unfit) = recall(known(), calendar, &names(&["entry"]));
    assert_eq!(unfit, []);
    recalled
}

#[test]
fn knowledge_counts_less_as_it_ages_each_kind_by_its_own_time() {
    let soon = at(1001.0);
    assert_eq!((soon.age, soon.withdrawn["a"]), (Duration::from_secs(1), 19));
    assert!((soon.seen[&("a".into(), 0)] - 8.0 * 0.5f64.powf(1.0 / 60.0)).abs() < 1e-9);
    assert_eq!((soon.levels[&0], soon.levels_for), (0.5, Duration::from_secs(9)));
    assert_eq!(soon.overrides["a"].1, Duration::from_secs(99));
    assert_eq!(soon.proxies["p"], proxy());
    let held = &soon.holds[&("p".into(), 0)];
    assert_eq!((held.0, held.1), (Duration::from_secs(101), Duration::from_secs(199)));
    assert_eq!(held.2.said().entries["a"].weight, 7);
    let later = at(1060.0);
    assert_eq!((later.withdrawn.len(), later.levels.len()), (0, 0), "an eighth of twenty tries says nothing");
    assert!((later.seen[&("a".into(), 0)] - 4.0).abs() < 1e-9);
    let (mut known, names) = (known(), names(&["entry"]));
    known.insert("proxy/p".into(), Arc::new(StoredItem::Proxy(StoredProxy { away: 590.0, ..proxy() })));
    assert_eq!(recall(known.clone(), 1009.0, &names).0.proxies.len(), 1);
    assert_eq!(recall(known, 1010.0, &names).0.proxies.len(), 0, "over however many restarts");
    let stale = at(1000.0 + 36_000.0);
    assert_eq!((stale.proxies.len(), stale.overrides.len(), stale.holds.len()), (0, 0, 0));
    assert!(stale.seen[&("a".into(), 0)] < 1e-9);
}

#[test]
fn a_calendar_that_stepped_makes_nothing_younger_and_nothing_last_longer() {
    let back = at(500.0);
    assert_eq!((back.age, back.levels.len(), back.withdrawn.len()), (UNKNOWN, 0, 0));
    assert_eq!(back.overrides["a"].1, Duration::from_secs(100), "as long as was left, and no longer");
    assert_eq!(back.holds[&("p".into(), 0)].1, Duration::from_secs(200));
    assert_eq!(at(f64::MAX).age, Duration::MAX);
}

#[test]
fn what_is_anothers_or_of_other_settings_or_can_not_be_is_left_out_and_said() {
    let with = |change: fn(&mut StoredItems)| {
        let mut known = known();
        change(&mut known);
        let (recalled, unfit) = recall(known, 1001.0, &names(&["entry"]));
        (recalled, unfit.into_iter().map(|one| one.to_string()).collect::<Vec<_>>().join("; "))
    };
    let (_, said) = with(|known| drop(known.remove(NAMES)));
    assert!(said.contains("do not say whose"));
    let (_, said) = with(|known| drop(known.remove(ALIVE)));
    assert!(said.contains("do not say whose"));
    let another = StoredItem::Names { governor: "h".into(), zones: vec![], groups: vec![] };
    let (recalled, unfit) = recall(known(), 1001.0, &another);
    assert_eq!((recalled, unfit), (RestoredState::default(), vec![RestoreError::Another("g".into())]));
    let (recalled, unfit) = recall(known(), 1001.0, &names(&["entry", "exit"]));
    assert_eq!((recalled.proxies.len(), recalled.levels.len(), unfit), (0, 0, vec![RestoreError::Changed]));
    assert_eq!(recalled.withdrawn.len(), 1, "replicas are by name");
    let (recalled, said) = with(|known| {
        let far = StoredProxy { zone: 4, ..proxy() };
        known.insert("proxy/far".into(), Arc::new(StoredItem::Proxy(far)));
        known.insert(
            "proxy/odd".into(),
            Arc::new(StoredItem::Proxy(StoredProxy { flows: vec![f64::NAN], ..proxy() })),
        );
        known.insert("hold/none/p".into(), Arc::new(StoredItem::Hold(hold())));
        known.insert(
            "hold/entry/q".into(),
            Arc::new(StoredItem::Hold(StoredFrozenTable { level: MILLION + 1, ..hold() })),
        );
        known.insert(
            "level/none".into(),
            Arc::new(StoredItem::Level { level: 1.0, tries: StoredRetryPolicy::Once }),
        );
        known.insert(
            "level/entry".into(),
            Arc::new(StoredItem::Level { level: 7.0, tries: StoredRetryPolicy::Once }),
        );
        known.insert("proxy/q".into(), Arc::new(StoredItem::Alive { at: 0.0 }));
    });
    assert_eq!((recalled.proxies.len(), recalled.levels.len()), (1, 0));
    assert!(said.contains("`proxy/far` names a zone") && said.contains("`level/none` names"), "{said}");
    assert!(said.contains("`hold/none/p` names") && said.contains("`hold/entry/q` has a figure"), "{said}");
    assert_eq!(recalled.holds.len(), 1);
    assert!(said.contains("`proxy/odd` has a figure") && said.contains("`proxy/q` is no entry"), "{said}");
}

#[test]
fn only_what_differs_is_written() {
    let (before, mut now) = (known(), known());
    assert_eq!(changes(&before, &now), []);
    now.remove("level/entry");
    now.insert(ALIVE.into(), Arc::new(StoredItem::Alive { at: 1005.0 }));
    let said: Vec<_> =
        changes(&before, &now).into_iter().map(|(name, item)| (name, item.is_some())).collect();
    assert_eq!(said, [(ALIVE.to_string(), true), ("level/entry".to_string(), false)]);
    assert_eq!((stepped(0.0), stepped(f64::NAN), stepped(100.0) == stepped(101.0)), (0.0, 0.0, true));
    assert!((stepped(100.0) / 100.0 - 1.0).abs() < 0.05);
}

proptest! {
    #[test]
    fn entries_come_back_as_they_were(weight in 1e-300f64..1e300, open in any::<bool>(), id in ".{0,9}") {
        let mut proxy = proxy();
        let lines = vec![(id.as_str().into(), "x".into(), 3, weight, open)];
        proxy.tables = vec![None, Some(StoredTable { level: 0.1, lines })];
        let item = StoredItem::Proxy(proxy);
        prop_assert_eq!(decode(&encode(&item)), Some(item));
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        if let Some(item) = decode(&bytes) {
            let known = [(NAMES, names(&[])), (ALIVE, item.clone()), ("proxy/x", item)];
            recall(known.map(|(name, item)| (name.to_string(), Arc::new(item))).into(), 5.0, &names(&[]));
        }
    }

    /// Also where a whole entry was changed in the midst.
    #[test]
    fn mutated_entries_do_no_harm(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        for (name, item) in known() {
            let mut bytes = encode(&item);
            let at = at.index(bytes.len());
            bytes[at] = byte;
            if let Some(item) = decode(&bytes) {
                let mut known = known();
                known.insert(name, Arc::new(item));
                recall(known, 1001.0, &names(&["entry"]));
            }
        }
    }
}
