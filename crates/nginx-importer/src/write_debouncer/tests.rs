//! Tests of `write_debouncer`.

use super::*;
use crate::blocks::UpstreamTable;
use proptest::prelude::*;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn tables(server_weights: &[(&str, f64)]) -> Tables {
    let server_weights =
        server_weights.iter().map(|(address, weight)| ((*address).to_string(), *weight)).collect();
    [("g".to_string(), UpstreamTable { servers: server_weights, admission_fraction: 1.0 })].into()
}

#[test]
fn writes_drains_early_and_merges_other_changes() {
    let mut debouncer = WriteDebouncer::new(s(10), s(2));
    assert_eq!((debouncer.next_deadline(), debouncer.start_write(s(1))), (None, None));
    debouncer.set_wanted(tables(&[("a:1", 1.0), ("b:1", 1.0)]));
    assert!(debouncer.start_write(s(1)).is_some(), "the first at once");
    assert_eq!(debouncer.next_deadline(), None, "while it is being written");
    debouncer.write_finished(true);
    debouncer.set_wanted(tables(&[("a:1", 2.0), ("b:1", 1.0)]));
    debouncer.set_wanted(tables(&[("a:1", 3.0), ("b:1", 1.0)]));
    assert_eq!((debouncer.next_deadline(), debouncer.start_write(s(10))), (Some(s(11)), None));
    debouncer.set_wanted(tables(&[("a:1", 3.0)]));
    assert_eq!(debouncer.next_deadline(), Some(s(3)), "a drain does not wait");
    assert_eq!(debouncer.start_write(s(4)), Some(tables(&[("a:1", 3.0)])));
    debouncer.write_finished(true);
    debouncer.set_wanted(tables(&[("a:1", 1.0)]));
    debouncer.set_wanted(tables(&[("a:1", 3.0)]));
    assert_eq!(debouncer.next_deadline(), None, "it is as it was");
    let mut reduced = tables(&[("a:1", 3.0)]);
    reduced.values_mut().for_each(|servers| servers.admission_fraction = 0.5);
    debouncer.set_wanted(reduced);
    assert_eq!(debouncer.next_deadline(), Some(s(6)), "less is let in: that shuts, too");
}

#[test]
fn retries_failed_writes_with_increasing_delays() {
    let mut debouncer = WriteDebouncer::new(s(4), s(1));
    debouncer.set_wanted(tables(&[("a:1", 1.0)]));
    let (mut now, mut waits) = (s(0), Vec::new());
    for _ in 0..8 {
        let due = debouncer.next_deadline().unwrap();
        waits.push((due.saturating_sub(now)).as_secs());
        now = due;
        assert!(debouncer.start_write(now).is_some());
        debouncer.write_finished(false);
    }
    assert_eq!(waits, [0, 2, 4, 8, 16, 32, 60, 60]);
    assert_eq!(debouncer.failures(), 8);
    debouncer.start_write(now + s(60));
    debouncer.write_finished(true);
    assert_eq!((debouncer.next_deadline(), debouncer.failures()), (None, 0));
}

proptest! {
    /// For any sequence of states, writes keep the minimum interval and the last state is written in the end.
    #[test]
    fn writes_keep_their_interval_and_the_last_state_wins(
        steps in prop::collection::vec((0u64..3000, 0usize..4, any::<bool>()), 1..60),
    ) {
        let states = [&[("a:1", 1.0)][..], &[("a:1", 2.0)], &[("a:1", 1.0), ("b:1", 1.0)], &[]];
        let mut debouncer = WriteDebouncer::new(s(5), s(1));
        let (mut now, mut last, mut applied) = (Duration::ZERO, None::<Duration>, None);
        let mut wanted = None;
        for (wait, state, succeeded) in steps.into_iter().chain(std::iter::repeat_n((60_000, 3, true), 3)) {
            now += Duration::from_millis(wait);
            debouncer.set_wanted(tables(states[state]));
            wanted = Some(tables(states[state]));
            if let Some(written) = debouncer.start_write(now) {
                prop_assert!(last.is_none_or(|last| now >= last + s(1)));
                prop_assert_eq!(Some(&written), wanted.as_ref());
                (last, applied) = (Some(now), if succeeded { Some(written) } else { applied });
                debouncer.write_finished(succeeded);
            }
        }
        prop_assert_eq!(applied, wanted);
    }
}
