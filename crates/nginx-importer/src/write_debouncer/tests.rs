//! Tests of `write_debouncer`.

use super::*;
use crate::blocks::UpstreamTable;
use proptest::prelude::*;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn tables(lines: &[(&str, f64)]) -> Tables {
    let lines = lines.iter().map(|(at, weight)| ((*at).to_string(), *weight)).collect();
    [("g".to_string(), UpstreamTable { servers: lines, admission_fraction: 1.0 })].into()
}

#[test]
fn drains_go_soon_the_rest_seldom_and_states_between_are_merged() {
    let mut pacer = WriteDebouncer::new(s(10), s(2));
    assert_eq!((pacer.next_deadline(), pacer.start_write(s(1))), (None, None));
    pacer.set_wanted(tables(&[("a:1", 1.0), ("b:1", 1.0)]));
    assert!(pacer.start_write(s(1)).is_some(), "the first at once");
    assert_eq!(pacer.next_deadline(), None, "while it is being written");
    pacer.write_finished(true);
    pacer.set_wanted(tables(&[("a:1", 2.0), ("b:1", 1.0)]));
    pacer.set_wanted(tables(&[("a:1", 3.0), ("b:1", 1.0)]));
    assert_eq!((pacer.next_deadline(), pacer.start_write(s(10))), (Some(s(11)), None));
    pacer.set_wanted(tables(&[("a:1", 3.0)]));
    assert_eq!(pacer.next_deadline(), Some(s(3)), "a drain does not wait");
    assert_eq!(pacer.start_write(s(4)), Some(tables(&[("a:1", 3.0)])));
    pacer.write_finished(true);
    pacer.set_wanted(tables(&[("a:1", 1.0)]));
    pacer.set_wanted(tables(&[("a:1", 3.0)]));
    assert_eq!(pacer.next_deadline(), None, "it is as it was");
    let mut less = tables(&[("a:1", 3.0)]);
    less.values_mut().for_each(|lines| lines.admission_fraction = 0.5);
    pacer.set_wanted(less);
    assert_eq!(pacer.next_deadline(), Some(s(6)), "less is let in: that shuts, too");
}

#[test]
fn what_fails_is_tried_again_after_longer_and_longer() {
    let mut pacer = WriteDebouncer::new(s(4), s(1));
    pacer.set_wanted(tables(&[("a:1", 1.0)]));
    let (mut now, mut waits) = (s(0), Vec::new());
    for _ in 0..8 {
        let due = pacer.next_deadline().unwrap();
        waits.push((due.saturating_sub(now)).as_secs());
        now = due;
        assert!(pacer.start_write(now).is_some());
        pacer.write_finished(false);
    }
    assert_eq!(waits, [0, 2, 4, 8, 16, 32, 60, 60]);
    assert_eq!(pacer.failures(), 8);
    pacer.start_write(now + s(60));
    pacer.write_finished(true);
    assert_eq!((pacer.next_deadline(), pacer.failures()), (None, 0));
}

proptest! {
    /// Whatever is told, files are no closer than they may be, and the last state is written in the end.
    #[test]
    fn files_keep_their_distance_and_the_last_state_wins(
        told in prop::collection::vec((0u64..3000, 0usize..4, any::<bool>()), 1..60),
    ) {
        let states = [&[("a:1", 1.0)][..], &[("a:1", 2.0)], &[("a:1", 1.0), ("b:1", 1.0)], &[]];
        let mut pacer = WriteDebouncer::new(s(5), s(1));
        let (mut now, mut last, mut reads) = (Duration::ZERO, None::<Duration>, None);
        let mut wanted = None;
        for (wait, state, well) in told.into_iter().chain(std::iter::repeat_n((60_000, 3, true), 3)) {
            now += Duration::from_millis(wait);
            pacer.set_wanted(tables(states[state]));
            wanted = Some(tables(states[state]));
            if let Some(written) = pacer.start_write(now) {
                prop_assert!(last.is_none_or(|last| now >= last + s(1)));
                prop_assert_eq!(Some(&written), wanted.as_ref());
                (last, reads) = (Some(now), if well { Some(written) } else { reads });
                pacer.write_finished(well);
            }
        }
        prop_assert_eq!(reads, wanted);
    }
}
