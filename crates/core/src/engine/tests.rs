use super::*;
use crate::recording::{CandidateError, CandidateTable};
use crate::reports::ReplicaObservation;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn entry(id: &str, phase: Phase) -> RosterEntry {
    RosterEntry {
        id: id.into(),
        address: format!("{id}:1").into(),
        zone: 0,
        weight: 1.0,
        phase,
        started_at: None,
        backup: false,
    }
}

fn ready(names: &[&str]) -> Vec<RosterEntry> {
    names.iter().map(|name| entry(name, Phase::Ready)).collect()
}

fn join(name: &str, standing: &[&str]) -> JoinRequest {
    let standing = standing.iter().map(|id| ((*id).into(), 1.0)).collect();
    JoinRequest {
        name: name.into(),
        zone: 0,
        requests_per_second: 5.0,
        default_table: standing,
        holds_governor_tables: false,
        ownership_proof: None,
        proven_version: None,
    }
}

fn engine(names: &[&str]) -> Engine {
    let mut engine = Engine::new(EngineSettings::example(2), ms(0));
    engine.update_roster(ms(0), ready(names));
    engine
}

/// A host whose proxies take all at once: what was flushed, by proxy, and the notes.
fn run(engine: &mut Engine, now: Duration) -> (Vec<ProxyId>, Vec<EngineEvent>) {
    let (mut flushed, mut notes) = (Vec::new(), Vec::new());
    while let Some(step) = engine.next_action(now) {
        match step {
            Action::Flush(number) => {
                flushed.push(number);
                engine.tables_sent(now, number, 3, 1);
            }
            Action::Report(note) => notes.push(note),
            Action::CloseStream(_) | Action::CheckHealth(_) => {}
        }
    }
    (flushed, notes)
}

fn open(engine: &Engine, number: ProxyId) -> Vec<String> {
    let table = &engine.proxy(number).unwrap().tables[0];
    let lines = table.iter().flat_map(|kept| &kept.table.entries).filter(|line| line.routable);
    lines.map(|line| line.replica.to_string()).collect()
}

#[test]
fn a_proxy_with_a_standing_table_is_left_alone_and_one_without_is_given_its_tables() {
    let mut engine = engine(&["a", "b", "c"]);
    let fresh = engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap().proxy;
    let bare = engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap().proxy;
    let (flushed, _) = run(&mut engine, ms(300));
    assert_eq!(flushed, [bare]);
    assert!(engine.proxy(fresh).unwrap().tables.iter().all(Option::is_none));
    assert_eq!(open(&engine, bare), ["a", "b", "c"]);
}

#[test]
fn a_standing_table_that_could_not_be_drawn_now_is_not_taken_for_one() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &["a", "gone"])).unwrap();
    engine
        .proxy_connected(
            ms(1),
            2,
            &JoinRequest { holds_governor_tables: true, ..join("q", &["a", "b", "c"]) },
        )
        .unwrap();
    let (flushed, _) = run(&mut engine, ms(300));
    assert_eq!(flushed, [0, 1]);
}

#[test]
fn a_drain_reaches_standing_tables_and_own_ones_at_once() {
    let mut engine = engine(&["a", "b", "c", "d"]);
    engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c", "d"])).unwrap();
    engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap();
    run(&mut engine, ms(600));
    engine.version_acknowledged(ms(610), 2, engine.proxy(1).unwrap().newest());
    let mut list = ready(&["a", "b", "c", "d"]);
    list[0].phase = Phase::Draining;
    engine.update_roster(ms(700), list);
    let (flushed, notes) = run(&mut engine, ms(1600));
    assert_eq!(flushed, [0, 1]);
    assert!(notes.iter().any(|note| matches!(note,
        EngineEvent::Decided { what: DecisionSummary::Withdraw(id, true), answers, .. } if &**id == "a"
            && answers.contains(&Cause::Roster) | answers.contains(&Cause::Beat))));
    assert!((0..2).all(|number| !open(&engine, number).contains(&"a".to_string())));
    assert!(!open(&engine, 0).is_empty(), "a standing table is told of whole, but for the drain");
}

#[test]
fn a_drain_for_a_replica_never_listed_and_a_report_on_it_change_nothing() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    let before = open(&engine, 0);
    let mut list = ready(&["a", "b", "c"]);
    list.push(entry("never", Phase::Draining));
    engine.update_roster(ms(700), list);
    run(&mut engine, ms(1600));
    assert_eq!(open(&engine, 0), before);
}

#[test]
fn an_empty_roster_bares_nobody_and_what_is_back_is_nothing_new() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    engine.update_roster(ms(700), vec![]);
    let (flushed, notes) = run(&mut engine, ms(5000));
    assert!(flushed.is_empty() && matches!(notes[0], EngineEvent::EmptyRosterDoubted(_)));
    assert_eq!(open(&engine, 0).len(), 3);
    engine.update_roster(ms(6000), ready(&["a", "b", "c"]));
    assert!(!engine.status(ms(6000)).roster_doubted);
    assert!(run(&mut engine, ms(60_000)).0.is_empty());
}

#[test]
fn a_nack_in_the_midst_of_a_flush_holds_still_until_something_changes() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap();
    run(&mut engine, ms(600));
    let version = engine.proxy(0).unwrap().newest();
    engine.version_rejected(1, version, "no such locality");
    engine.version_acknowledged(ms(700), 2, version);
    let (flushed, notes) = run(&mut engine, ms(3000));
    assert!(flushed.is_empty());
    assert!(matches!(&notes[0], EngineEvent::VersionRejected { words, .. } if words == "no such locality"));
    assert_eq!(engine.proxy(0).unwrap().acknowledged_version, 0);
    engine.update_roster(ms(3100), ready(&["a", "b"]));
    assert_eq!(run(&mut engine, ms(4000)).0, [0, 1]);
    engine.version_acknowledged(ms(4100), 1, engine.proxy(0).unwrap().newest());
    assert_eq!(engine.proxy(0).unwrap().rejected, None);
}

#[test]
fn the_module_hears_of_acks_of_marked_orders_once() {
    let mut engine = engine(&["a", "b", "c"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    engine.version_acknowledged(ms(650), 1, engine.proxy(0).unwrap().newest());
    engine.update_roster(ms(700), ready(&["a", "b"]));
    run(&mut engine, ms(1600));
    let version = engine.proxy(0).unwrap().newest();
    engine.version_acknowledged(ms(1700), 1, version - 1);
    assert!(!engine.causes.contains(&Cause::Acked), "an older version's answers nothing marked later");
    engine.version_acknowledged(ms(1800), 1, version);
    assert!(engine.causes.remove(&Cause::Acked));
    engine.version_acknowledged(ms(1900), 1, version);
    assert!(!engine.causes.contains(&Cause::Acked));
}

#[test]
fn a_proxy_that_comes_back_to_a_new_governor_with_its_old_orders_is_given_a_whole_state() {
    let mut engine = engine(&["a", "b", "c"]);
    let back = JoinRequest { holds_governor_tables: true, ..join("p", &[]) };
    engine.proxy_connected(ms(1), 1, &back).unwrap();
    assert_eq!(run(&mut engine, ms(300)).0, [0]);
    assert_eq!(open(&engine, 0), ["a", "b", "c"]);
}

#[test]
fn a_relay_that_never_reads_gets_the_newest_state_once_it_does() {
    let mut engine = engine(&["a", "b", "c", "d"]);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    while let Some(step) = engine.next_action(ms(300)) {
        if let Action::Flush(number) = step {
            engine.stream_full(number);
        }
    }
    for round in 0..50 {
        let list = if round % 2 == 0 { ready(&["a", "b", "c"]) } else { ready(&["a", "b", "d"]) };
        engine.update_roster(ms(1000 * (round + 1)), list);
        assert!(run(&mut engine, ms(1000 * (round + 1) + 600)).0.is_empty());
    }
    engine.stream_has_capacity(1);
    assert_eq!(run(&mut engine, ms(60_000)).0, [0], "once, not fifty times");
    assert!(open(&engine, 0).contains(&"d".to_string()));
}

#[test]
fn a_thousand_relays_in_one_second_are_let_in_as_the_channel_bears() {
    let names: Vec<String> = (0..24).map(|n| format!("r{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut setup = EngineSettings::example(2);
    (setup.governor.entries_per_second, setup.governor.max_queued_entries) = (5000.0, 4000.0);
    let most = setup.governor.max_queued_entries;
    let mut engine = Engine::new(setup, ms(0));
    engine.update_roster(ms(0), ready(&names));
    for number in 0..1000 {
        engine.proxy_connected(ms(number), number, &join(&format!("p{number:04}"), &[])).unwrap();
    }
    let late = engine.proxy_connected(ms(999), 5000, &join("late", &[]));
    assert_eq!(late, Err(JoinError::Full { joined: 1000, most: 1000 }));
    let mut done = BTreeSet::new();
    for tick in 0..2000 {
        let now = ms(1000 + tick * 20);
        for number in run(&mut engine, now).0 {
            engine.version_acknowledged(now, u64::from(number), engine.proxy(number).unwrap().newest());
            done.insert(number);
        }
        let figures = engine.status(now);
        assert!((figures.queued_entries as f64) < most, "{figures:?}");
        if done.len() == 1000 {
            return;
        }
    }
    panic!("{} of 1000 have tables", done.len());
}

#[test]
fn the_same_inputs_give_the_same_steps() {
    let steps = || {
        let mut engine = engine(&["a", "b", "c"]);
        engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap();
        engine.proxy_connected(ms(2), 2, &join("q", &[])).unwrap();
        let mut steps = Vec::new();
        for tick in 1..40 {
            engine.update_roster(
                ms(tick * 250),
                ready(if tick % 3 == 0 { &["a", "b"] } else { &["a", "b", "c"] }),
            );
            while let Some(step) = engine.next_action(ms(tick * 250)) {
                if let Action::Flush(number) = step {
                    engine.tables_sent(ms(tick * 250), number, 2, 1);
                    let proxy = engine.proxy(number).unwrap();
                    let (stream, newest) = (proxy.stream, proxy.newest());
                    engine.version_acknowledged(ms(tick * 250), stream, newest);
                }
                steps.push(step);
            }
        }
        steps
    };
    let first = steps();
    assert!(first.len() > 20);
    assert_eq!(first, steps());
}

/// An engine with one proxy on its own tables, and the version at which it held them all.
fn settled(names: &[&str]) -> (Engine, u64) {
    let mut engine = engine(names);
    engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap();
    run(&mut engine, ms(600));
    let newest = engine.proxy(0).unwrap().newest();
    engine.version_acknowledged(ms(650), 1, newest);
    (engine, newest)
}

fn pass(engine: &mut Engine, now: Duration) -> Vec<EngineEvent> {
    let (_, notes) = run(engine, now);
    engine.version_acknowledged(now, 1, engine.proxy(0).unwrap().newest());
    notes
}

#[test]
fn a_step_back_holds_old_tables_less_what_drained_until_it_is_released() {
    let (mut engine, before) = settled(&["a", "b", "c"]);
    engine.update_roster(ms(1000), ready(&["a", "b", "c", "d", "e"]));
    pass(&mut engine, ms(2000));
    assert_eq!(open(&engine, 0).len(), 5);
    // One replica of the old table drains, and is done with it, before the step back.
    engine.update_roster(ms(3000), ready(&["b", "c", "d", "e"]));
    pass(&mut engine, ms(4000));
    let rolled = engine.rollback(ms(5000), &TableScope::All, before, "too wide", ms(60_000)).unwrap();
    assert_eq!((rolled.frozen, rolled.unfreezable, rolled.left_out.len()), (2, 0, 2));
    assert_eq!(rolled.left_out[0].3, OmissionReason::Gone);
    pass(&mut engine, ms(5100));
    assert_eq!(open(&engine, 0), ["b", "c"]);
    // While it is held the module's news waits, and drains go through.
    let mut list = ready(&["b", "c", "d", "e", "f"]);
    list[0].phase = Phase::Draining;
    engine.update_roster(ms(6000), list);
    pass(&mut engine, ms(7000));
    assert_eq!(open(&engine, 0), ["c"]);
    assert_eq!(engine.release(ms(8000), &TableScope::Proxy("p".into())), Ok(2));
    let notes = pass(&mut engine, ms(8100));
    assert!(matches!(notes[0], EngineEvent::FrozenTableReleased { over: ReleaseReason::Released, .. }));
    assert_eq!(open(&engine, 0), ["c", "d", "e", "f"]);
}

#[test]
fn a_hold_ends_by_its_time_or_where_it_would_leave_a_proxy_bare() {
    let (mut engine, before) = settled(&["a", "b"]);
    engine.update_roster(ms(1000), ready(&["a", "b", "c"]));
    pass(&mut engine, ms(2000));
    engine.rollback(ms(3000), &TableScope::Group(1), before, "", ms(9000)).unwrap();
    assert_eq!(engine.frozen_tables().count(), 1);
    pass(&mut engine, ms(8990));
    assert_eq!(engine.next_deadline(ms(8990)).min(ms(9000)), engine.next_deadline(ms(8990)));
    let notes = pass(&mut engine, ms(9000));
    assert!(notes.iter().any(|note| matches!(
        note,
        EngineEvent::FrozenTableReleased { group: 1, over: ReleaseReason::Time, .. }
    )));
    engine.rollback(ms(10_000), &TableScope::All, before, "", ms(90_000)).unwrap();
    pass(&mut engine, ms(10_100));
    engine.update_roster(ms(11_000), ready(&["c"]));
    let notes = pass(&mut engine, ms(12_000));
    assert!(
        notes
            .iter()
            .any(|note| matches!(note, EngineEvent::FrozenTableReleased { over: ReleaseReason::Bare, .. }))
    );
    assert_eq!(open(&engine, 0), ["c"], "the module's own table");
    assert_eq!(engine.frozen_tables().count(), 0);
}

#[test]
fn two_operators_at_once_the_later_counts_and_the_earlier_is_named() {
    let (mut engine, before) = settled(&["a", "b", "c"]);
    engine.update_roster(ms(1000), ready(&["a", "b"]));
    pass(&mut engine, ms(2000));
    engine.rollback(ms(3000), &TableScope::All, before, "first", ms(60_000)).unwrap();
    engine.rollback(ms(3001), &TableScope::All, before, "second", ms(60_000)).unwrap();
    let notes = pass(&mut engine, ms(3100));
    assert!(notes.iter().any(|note| matches!(note,
        EngineEvent::FrozenTableReleased { over: ReleaseReason::Replaced(why), .. } if &**why == "first")));
    assert!(engine.frozen_tables().all(|(_, _, hold)| &*hold.why == "second"));
}

#[test]
fn steps_back_to_what_is_not_kept_or_not_there_change_nothing() {
    let (mut engine, before) = settled(&["a", "b", "c"]);
    let later = engine.status(ms(0)).version + 1;
    let back = |engine: &mut Engine, scope, version| engine.rollback(ms(1000), &scope, version, "", ms(9000));
    assert!(matches!(back(&mut engine, TableScope::All, later), Err(RollbackError::NotYet(..))));
    assert_eq!(back(&mut engine, TableScope::All, 0), Err(RollbackError::NotKept(0)));
    let nobody = TableScope::Proxy("nobody".into());
    assert_eq!(back(&mut engine, nobody.clone(), before), Err(RollbackError::NoProxy("nobody".into())));
    assert!(engine.release(ms(1000), &nobody).is_err());
    assert_eq!(engine.frozen_tables().count(), 0);
}

#[test]
fn a_restart_under_an_old_name_gets_no_more_of_a_held_table_than_the_module_gives_it() {
    let (mut engine, before) = settled(&["a", "b", "c"]);
    let mut list = ready(&["a", "b", "c"]);
    list[2].started_at = Some(ms(1000));
    engine.update_roster(ms(1000), list);
    pass(&mut engine, ms(1600));
    let share = |engine: &Engine| {
        let lines = &engine.proxy(0).unwrap().tables[0].as_ref().unwrap().table.entries;
        let all: f64 = lines.iter().filter(|line| line.routable).map(|line| line.weight).sum();
        lines
            .iter()
            .filter(|line| line.routable && &*line.replica == "c")
            .map(|line| line.weight)
            .sum::<f64>()
            / all
    };
    let present = engine.present(0, 0);
    let all: f64 = present.entries.iter().map(|line| line.weight).sum();
    let cap = present
        .entries
        .iter()
        .filter(|line| &*line.replica == "c")
        .map(|line| line.weight / all)
        .sum::<f64>();
    assert!(cap < 0.2, "the module spares it: {cap}");
    engine.rollback(ms(2000), &TableScope::All, before, "", ms(60_000)).unwrap();
    assert!(share(&engine) <= cap + 1e-9, "{} {cap}", share(&engine));
}

fn handed(lines: &[&str], told_at: Duration) -> MigratedProxy {
    let line = |id: &&str| {
        let line = crate::table_versions::PublishedEntry {
            address: format!("{id}:1").into(),
            zone: 0,
            weight: 1000,
        };
        (ReplicaId::from(*id), line)
    };
    let said = PublishedTable {
        entries: lines.iter().map(line).collect(),
        admission_millionths: crate::table_versions::MILLION,
        retry_policy: RetryPolicy::Never,
    };
    MigratedProxy {
        from: "g0".into(),
        state: PublishedState { classes: vec![Some(said), None] },
        published_at: told_at,
        report: None,
    }
}

#[test]
fn what_another_governor_told_holds_until_the_module_speaks_less_what_is_forbidden_here() {
    let mut engine = engine(&["a", "b", "c", "d", "e"]);
    run(&mut engine, ms(600));
    let mut list = ready(&["a", "b", "c", "d", "e"]);
    list[1].phase = Phase::Draining;
    // It started anew after the other governor told it.
    list[2].started_at = Some(ms(500));
    engine.update_roster(ms(700), list);
    run(&mut engine, ms(1000));
    let with_orders = JoinRequest { holds_governor_tables: true, ..join("p", &["a"]) };
    let number = engine.proxy_connected(ms(1001), 1, &with_orders).unwrap().proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1001), number, handed(&["a", "b", "c", "never"], ms(400))), 1);
    assert_eq!(open(&engine, number), ["a"], "at once, without what drains, is cold or nobody knows");
    assert_eq!(engine.frozen_tables().count(), 1);
    run(&mut engine, ms(1600));
    assert!(open(&engine, number).len() >= 3, "the module has spoken: {:?}", open(&engine, number));
    assert_eq!(engine.frozen_tables().count(), 0);
    // For whom it has spoken, and who is on a standing table, nothing that comes later counts.
    assert_eq!(engine.adopt_migrated_tables(ms(1700), number, handed(&["a"], ms(400))), 0);
    let fresh = engine.proxy_connected(ms(1700), 2, &join("q", &["a", "d", "e"])).unwrap().proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1700), fresh, handed(&["a"], ms(400))), 0);
    // Nothing of it is left here: it would be bare, so it keeps what it has until the module speaks.
    let number = engine
        .proxy_connected(ms(1700), 3, &JoinRequest { holds_governor_tables: true, ..join("r", &[]) })
        .unwrap()
        .proxy;
    assert_eq!(engine.adopt_migrated_tables(ms(1700), number, handed(&["b", "never"], ms(400))), 0);
    assert!(!engine.proxy(number).unwrap().has_known_tables());
}

#[test]
fn what_would_be_refused_is_said_and_nothing_of_it_takes_effect() {
    let mut engine = engine(&["a", "b", "c"]);
    let number = engine.proxy_connected(ms(1), 1, &join("p", &[])).unwrap().proxy;
    run(&mut engine, ms(600));
    let before = open(&engine, number);
    let would = |engine: &Engine, group, level, lines: &[(&str, f64)]| {
        let named = Recording {
            zones: vec!["z".into()],
            groups: vec!["one".into(), "other".into()],
            ..engine.record(ms(700))
        };
        let lines = lines.iter().map(|(id, weight)| ((*id).into(), *weight)).collect();
        let tried = named.would(&[CandidateTable { proxy: "p".into(), group, lines, level }]).unwrap()?;
        let reasons: Vec<RefusalReason> = tried.refusals.iter().map(|one| one.refusal.reason).collect();
        Ok::<_, CandidateError>((tried.tables[0].clone(), reasons))
    };
    let (table, reasons) = would(&engine, 0, 2.0, &[("a", 1.0), ("b", -1.0)]).unwrap();
    assert_eq!((table.entries.len(), reasons), (1, vec![RefusalReason::Level, RefusalReason::Weight]));
    let (table, reasons) = would(&engine, 0, 1.0, &[("never", 1.0)]).unwrap();
    assert_eq!((table.entries.len(), reasons.last()), (3, Some(&RefusalReason::Bare)), "the last good one");
    assert_eq!(would(&engine, 1, 1.0, &[("a", 1.0), ("c", 1.0)]).unwrap().1, []);
    // What an operator excludes is out here, too.
    engine.override_replica(ms(700), &"a".into(), OverrideKind::Exclude, ms(701), "x").unwrap();
    let (table, _) = would(&engine, 0, 1.0, &[("a", 1.0), ("c", 1.0)]).unwrap();
    assert_eq!(table.entries.iter().filter(|line| line.routable).count(), 1);
    engine.end_override(ms(700), "a");
    assert_eq!(would(&engine, 2, 1.0, &[]), Err(CandidateError::NoGroup(2)));
    assert_eq!((open(&engine, number), engine.guard().refusals().count()), (before, 0));
}

#[test]
fn what_operators_say_of_a_replica_holds_for_all_until_its_time_and_bares_nobody() {
    let mut engine = engine(&["a", "b", "c"]);
    let fresh = engine.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap().proxy;
    let own = engine.proxy_connected(ms(1), 2, &join("q", &[])).unwrap().proxy;
    run(&mut engine, ms(600));
    let exclude = |engine: &mut Engine, at: u64, id: &str| {
        engine.override_replica(ms(at), &id.into(), OverrideKind::Exclude, ms(5000), "it smells")
    };
    exclude(&mut engine, 700, "a").unwrap();
    let (mut flushed, _) = run(&mut engine, ms(800));
    flushed.sort_unstable();
    assert_eq!(flushed, [fresh, own], "also who is on its standing table hears of it");
    assert!([fresh, own].iter().all(|one| open(&engine, *one) == ["b", "c"]));
    let half = OverrideKind::Weight(0.5);
    engine.override_replica(ms(900), &"b".into(), half, ms(5000), "half of it").unwrap();
    let table = engine.proxy(own).unwrap().tables[0].as_ref().unwrap().table.clone();
    let weight = |id: &str| table.entries.iter().find(|line| &*line.replica == id).unwrap().weight;
    assert!((weight("b") / weight("c") - 0.5).abs() < 1e-9);
    // All excluded: that would leave nobody with a line, and is not followed.
    exclude(&mut engine, 1000, "b").unwrap();
    exclude(&mut engine, 1000, "c").unwrap();
    assert!([fresh, own].iter().all(|one| !open(&engine, *one).is_empty()));
    assert_eq!(exclude(&mut engine, 1000, "never"), Err(OverrideError::NoReplica("never".into())));
    let far = engine.override_replica(ms(1000), &"a".into(), OverrideKind::Weight(0.0), ms(5000), "");
    assert_eq!(far, Err(OverrideError::Factor(0.0)));
    assert!(engine.end_override(ms(1100), "c") && !engine.end_override(ms(1100), "c"));
    assert!([fresh, own].iter().all(|one| open(&engine, *one) == ["c"]));
    assert!(engine.next_deadline(ms(4990)) <= ms(5000));
    let (_, notes) = run(&mut engine, ms(5000));
    assert_eq!(notes.iter().filter(|note| matches!(note, EngineEvent::OverrideExpired(_))).count(), 2);
    assert!([fresh, own].iter().all(|one| open(&engine, *one).len() == 3));
}

#[test]
fn the_last_report_goes_with_a_proxy_and_is_heard_once() {
    let (mut one, mut other) = (engine(&["a", "b", "c"]), engine(&["a", "b", "c"]));
    let number = one.proxy_connected(ms(1), 1, &join("p", &[])).unwrap().proxy;
    run(&mut one, ms(600));
    let blocked = vec![(0, 7)];
    let report = LoadReport { interval: Duration::from_millis(500), observations: vec![], rejected: blocked };
    one.record_report(ms(700), "p", 1, &report).unwrap();
    let (newest, last) = one.migration_state(ms(900), number).unwrap();
    let (age, known) = last.unwrap();
    assert_eq!((age, known, newest.version), (Duration::from_millis(200), &report, newest.version));
    let told_at = newest.published_at;
    let handed = MigratedProxy {
        from: "g0".into(),
        state: (*newest.state).clone(),
        published_at: told_at,
        report: Some(report.clone()),
    };
    let there = other
        .proxy_connected(ms(901), 1, &JoinRequest { holds_governor_tables: true, ..join("p", &[]) })
        .unwrap()
        .proxy;
    assert_eq!(other.adopt_migrated_tables(ms(901), there, handed), 2);
    assert_eq!(open(&other, there), open(&one, number));
    assert_eq!(other.reports().1, 1);
    // The proxy sends it again, as it heard no answer.
    assert_eq!(other.record_report(ms(1000), "p", 1, &report), Err(DiscardReason::Copy));
    other.stream_closed(ms(1100), 1);
    assert_eq!(other.frozen_tables().count(), 0, "what was handed over goes with the stream");
}

proptest::proptest! {
    /// The roster tells two governors different things, and a proxy goes from one to the other and back.
    #[test]
    fn a_proxy_between_governors_with_other_lists_is_never_bare(
        lists in proptest::collection::vec(
            (0usize..2, proptest::collection::vec((0usize..6, 0usize..3, proptest::bool::ANY), 1..7)), 1..6),
        moves in proptest::collection::vec(1u64..900, 1..6),
    ) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut engines = [engine(&names), engine(&names)];
        let mut listed = [[true; 6]; 2];
        let (mut now, mut stream, mut at) = (1000, 10, 0);
        engines.iter_mut().for_each(|engine| drop(run(engine, ms(900))));
        let mut number = engines[0].proxy_connected(ms(now), stream, &join("p", &[])).unwrap().proxy;
        let mut lists = lists.into_iter();
        for wait in moves {
            for _ in 0..4 {
                now += wait / 4 + 1;
                engines.iter_mut().for_each(|engine| drop(run(engine, ms(now))));
                let proxy = engines[at].proxy(number).unwrap();
                // What it is told always has an open line, as far as any listed replica is ready there.
                let told = proxy.tables.iter().flatten();
                let bare = told.filter(|kept| kept.table.entries.iter().all(|line| !line.routable)).count();
                proptest::prop_assert!(bare == 0 || listed[at].iter().all(|ready| !ready), "bare at {now}");
            }
            if let Some((of, changes)) = lists.next() {
                let mut list = ready(&names);
                for (place, ready) in listed[of].iter().enumerate() {
                    if !ready {
                        list[place].phase = Phase::Draining;
                    }
                }
                for (place, phase, cold) in changes {
                    list[place].phase = [Phase::Ready, Phase::Draining, Phase::Gone][phase];
                    list[place].started_at = cold.then(|| ms(now));
                }
                let is_ready = |entry: &RosterEntry| entry.phase == Phase::Ready;
                listed[of] = std::array::from_fn(|place| is_ready(&list[place]));
                engines[of].update_roster(ms(now), list);
            }
            // It changes hands: what is known goes ahead of it.
            let known = engines[at].migration_state(ms(now), number);
            let known = known.map(|(newest, _)| (newest.state.clone(), newest.published_at));
            engines[at].stream_closed(ms(now), stream);
            (at, stream) = (1 - at, stream + 1);
            let holds = JoinRequest { holds_governor_tables: true, ..join("p", &[]) };
            number = engines[at].proxy_connected(ms(now), stream, &holds).unwrap().proxy;
            if let Some((whole, told_at)) = known {
                let whole = (*whole).clone();
                let from = "g".into();
                engines[at].adopt_migrated_tables(ms(now), number, MigratedProxy { from, state: whole, published_at: told_at, report: None });
            }
        }
    }
}

/// A life that ends, and the next one with what is known of it, so many seconds later.
fn next_life(before: &Engine, later: f64, names: &[&str]) -> Engine {
    let groups = ["one".to_string(), "other".to_string()];
    let names_of =
        StoredItem::Names { governor: "g".into(), zones: vec!["z".into()], groups: groups.to_vec() };
    let mut known = before.stored_items(ms(5000), &StoredItems::new(), 1000.0, 7, &groups);
    known.insert(snapshot::NAMES.into(), Arc::new(names_of.clone()));
    known.insert(snapshot::ALIVE.into(), Arc::new(StoredItem::Alive { at: 1000.0 }));
    let known = known
        .into_iter()
        .map(|(name, item)| (name, Arc::new(snapshot::decode(&snapshot::encode(&item)).unwrap())));
    let (recalled, unfit) = snapshot::recall(known.collect(), 1000.0 + later, &names_of);
    assert_eq!(unfit, []);
    let mut engine = Engine::new(EngineSettings::example(2), ms(0));
    engine.restore(ms(0), recalled);
    engine.update_roster(ms(0), ready(names));
    engine
}

fn proven(name: &str, standing: &[&str], version: u64) -> JoinRequest {
    JoinRequest {
        holds_governor_tables: true,
        ownership_proof: Some("x".into()),
        proven_version: Some((7, version)),
        ..join(name, standing)
    }
}

#[test]
fn a_proxy_that_holds_what_an_earlier_life_told_it_is_not_told_again() {
    let all = ["a", "b", "c", "d"];
    let mut before = engine(&all);
    let number = before.proxy_connected(ms(1), 1, &join("p", &["a", "b", "c"])).unwrap().proxy;
    let bound = before.proxy_connected(ms(1), 2, &join("q", &[])).unwrap().proxy;
    run(&mut before, ms(600));
    // Something is said of the standing one, too: it is told a table from then on.
    before.override_replica(ms(700), &"c".into(), OverrideKind::Exclude, ms(60_000), "its disk").unwrap();
    run(&mut before, ms(800));
    let held = [number, bound].map(|number| (before.proxy(number).unwrap().newest(), open(&before, number)));
    assert_eq!(held[0].1.len(), 2);

    let mut after = next_life(&before, 1.0, &all);
    let number = after.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap().proxy;
    let bound = after.proxy_connected(ms(1), 2, &proven("q", &[], held[1].0)).unwrap().proxy;
    let stranger = after.proxy_connected(ms(1), 3, &proven("r", &["a", "b", "c"], 9)).unwrap().proxy;
    assert!(
        after.proxy(number).unwrap().holds_default_table,
        "the module is told that it stands on its own table"
    );
    assert!(
        !after.proxy(bound).unwrap().holds_default_table
            && !after.proxy(stranger).unwrap().holds_default_table
    );
    let whole = |engine: &Engine, number| engine.history().newest(number).unwrap().digest;
    let now = [number, bound].map(|number| whole(&after, number));
    assert_eq!(now, [whole(&before, 0), whole(&before, 1)]);
    run(&mut after, ms(900));
    assert_eq!(whole(&after, number), now[0], "nothing is told to who stands");
    assert_eq!(open(&after, number), held[0].1, "what operators exclude stays out");
    assert_eq!(after.overrides().iter().count(), 1);
    // Killed again before anybody was back: what is known of them is not forgotten with that.
    let between = next_life(&before, 1.0, &all);
    let mut third = next_life(&between, 1.0, &all);
    let joined = third.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap();
    assert!(third.proxy(joined.proxy).unwrap().holds_default_table);
    // Who does not come back is not carried along for ever.
    let mut alone = next_life(&before, 1.0, &all);
    let is_known = |engine: &Engine, now| {
        engine.stored_items(now, &StoredItems::new(), 0.0, 8, &[]).contains_key("proxy/p")
    };
    run(&mut alone, ms(500_000));
    assert!(is_known(&alone, ms(500_000)));
    run(&mut alone, ms(600_000));
    assert!(!is_known(&alone, ms(600_000)));
    // Without the word, or with that of another version or life, nothing is known of it.
    let mut after = next_life(&before, 1.0, &all);
    let mut odd = proven("p", &["a", "b", "c"], held[0].0 - 1);
    assert!(
        !after
            .proxy_connected(ms(1), 1, &odd)
            .is_ok_and(|joined| after.proxy(joined.proxy).unwrap().holds_default_table)
    );
    odd.proven_version = None;
    let mut after = next_life(&before, 1.0, &all);
    let number = after.proxy_connected(ms(1), 1, &odd).unwrap().proxy;
    assert!(!after.proxy(number).unwrap().holds_default_table);
    // Nor after so long that it has been elsewhere.
    let mut after = next_life(&before, 700.0, &all);
    let joined = after.proxy_connected(ms(1), 1, &proven("p", &["a", "b", "c"], held[0].0)).unwrap();
    assert!(!after.proxy(joined.proxy).unwrap().holds_default_table);
}

#[test]
fn a_held_table_is_told_less_what_was_lost_while_nobody_looked() {
    let mut before = engine(&["a", "b", "c"]);
    let number = before.proxy_connected(ms(1), 1, &join("q", &[])).unwrap().proxy;
    run(&mut before, ms(600));
    let version = before.proxy(number).unwrap().newest();
    let mut after = next_life(&before, 2.0, &["a", "c"]);
    let number = after.proxy_connected(ms(1), 1, &proven("q", &[], version)).unwrap().proxy;
    assert_eq!(open(&after, number), ["a", "c"], "before the module has spoken");
    let (flushed, _) = run(&mut after, ms(10));
    assert!(flushed.contains(&number), "at once");
}

#[test]
fn what_was_withdrawn_is_on_trial_by_the_modules_own_eyes_and_a_new_process_is_not() {
    let all = ["a", "b", "c", "d"];
    let mut before = engine(&all);
    before.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    run(&mut before, ms(600));
    before.tables.set_ejected("b".into(), true);
    ["a", "c", "d"].into_iter().for_each(|id| before.guard.restore_throughput(ms(5000), &id.into(), 0, 20.0));
    before.tables.set_admission(1, 0.25, RetryPolicy::Never);
    let mut after = next_life(&before, 1.0, &all);
    after.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    let mut out_at = None;
    for now in (10..20_000).step_by(50) {
        run(&mut after, ms(now));
        if out_at.is_none() && after.is_ejected(&"b".into()) {
            out_at = Some(now);
        }
    }
    assert!(out_at.is_some_and(|at| at < 2000), "{out_at:?}");
    assert!(!after.is_ejected(&"a".into()));
    assert!(!after.is_ejected(&"b".into()), "and let back once its time is over, with nothing against it");
    // The level held for what was left of its time, and no longer.
    let mut levels = next_life(&before, 4.0, &all);
    let number = levels.proxy_connected(ms(1), 1, &join("p", &all)).unwrap().proxy;
    run(&mut levels, ms(300));
    let level = |engine: &Engine| {
        engine.proxy(number).unwrap().tables[0].as_ref().map(|kept| kept.table.admission_fraction)
    };
    assert_eq!(level(&levels), Some(0.25));
    for now in (300..6100).step_by(100) {
        run(&mut levels, ms(now));
    }
    assert_eq!(level(&levels), Some(1.0));
    // Replaced under its name while nobody looked: it is judged by nothing that the old one did.
    let mut anew = next_life(&before, 5.0, &[]);
    let mut list = ready(&all);
    list[1].started_at = Some(ms(0).saturating_sub(Duration::from_secs(2)));
    anew.update_roster(ms(0), list);
    anew.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    for now in (10..4000).step_by(50) {
        run(&mut anew, ms(now));
        assert!(!anew.is_ejected(&"b".into()));
    }
}

#[test]
fn what_operators_stepped_back_to_holds_beyond_a_restart_and_no_longer_than_it_would_have() {
    let all = ["a", "b", "c"];
    let mut before = engine(&all);
    before.proxy_connected(ms(1), 1, &join("q", &[])).unwrap();
    run(&mut before, ms(600));
    let version = before.status(ms(600)).version;
    before.update_roster(ms(700), ready(&["a", "b"]));
    run(&mut before, ms(1500));
    // `c` is back, and the operator has the table of before it went.
    before.update_roster(ms(1600), ready(&all));
    before.rollback(ms(1700), &TableScope::All, version, "a mistake", ms(15_000)).unwrap();
    run(&mut before, ms(1800));
    assert_eq!(before.frozen_tables().count(), 2);
    let mut after = next_life(&before, 1.0, &all);
    let number = after.proxy_connected(ms(1), 1, &join("q", &[])).unwrap().proxy;
    run(&mut after, ms(900));
    let held: Vec<_> = after
        .frozen_tables()
        .map(|(name, group, hold)| (name.to_string(), group, hold.why.clone()))
        .collect();
    assert_eq!(held, [("q".into(), 0, "a mistake".into()), ("q".into(), 1, "a mistake".into())]);
    assert!(!open(&after, number).is_empty());
    // Ten seconds were left at the last look.
    for now in (1000..10_500).step_by(100) {
        run(&mut after, ms(now));
    }
    assert_eq!(after.frozen_tables().count(), 0);
    assert_eq!(next_life(&before, 11.0, &all).recalled_holds.len(), 0);
}

#[test]
fn a_governor_that_stood_still_does_not_take_the_gap_for_the_silence_of_replicas() {
    let all = ["a", "b", "c", "d"];
    let mut engine = engine(&all);
    engine.proxy_connected(ms(1), 1, &join("p", &all)).unwrap();
    engine.proxy_connected(ms(1), 2, &join("q", &all)).unwrap();
    let met = |engine: &mut Engine, now: u64, name: &str, stream, ids: &[&str]| {
        let one = |id: &&str| ReplicaObservation {
            class: 0,
            replica: (*id).into(),
            succeeded: 10,
            failed: 0,
            issued: 10,
            in_flight: 0,
            answers: (Duration::from_micros(500_000 + now), 10),
            load: vec![1.0],
        };
        let report = LoadReport {
            interval: ms(500) - ms(0),
            observations: ids.iter().map(one).collect(),
            rejected: vec![],
        };
        let _ = engine.record_report(ms(now), name, stream, &report);
    };
    for now in (500..5000).step_by(100) {
        if now % 500 == 0 {
            met(&mut engine, now, "p", 1, &all);
            met(&mut engine, now, "q", 2, &all);
        }
        run(&mut engine, ms(now));
    }
    // It falls asleep over a report of one replica, and wakes to one of another; that its proxies have left comes
    // a moment later.
    run(&mut engine, ms(5100));
    met(&mut engine, 5200, "p", 1, &["a"]);
    met(&mut engine, 19_000, "q", 2, &["b"]);
    run(&mut engine, ms(19_000));
    (1..3).for_each(|stream| engine.stream_closed(ms(19_150), stream));
    run(&mut engine, ms(19_150));
    engine.proxy_connected(ms(19_500), 3, &join("p", &all)).unwrap();
    for now in (19_500..25_000).step_by(100) {
        if now % 500 == 0 && now >= 20_000 {
            met(&mut engine, now, "p", 3, &all);
        }
        run(&mut engine, ms(now));
        let out: Vec<&str> = all.into_iter().filter(|id| engine.is_ejected(&(*id).into())).collect();
        assert!(out.is_empty(), "at {now} ms: {out:?}");
    }
}

#[test]
fn a_machine_that_is_always_late_is_not_kept_from_judging() {
    let mut engine = engine(&["a", "b"]);
    run(&mut engine, ms(0));
    // Never sooner than six seconds after it should: every other time the module has its beat.
    let waits = (1..5).map(|step| {
        run(&mut engine, ms(6000 * step));
        engine.beat_at - ms(6000 * step)
    });
    let waits: Vec<bool> = waits.map(|wait| wait < CATCH_UP).collect();
    assert_eq!(waits, [false, true, false, true]);
}
