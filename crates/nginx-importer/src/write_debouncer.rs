//! When a file is written for an nginx and it is told to read it: drains soon, the rest seldom, and what
//! fails again after longer and longer waits. No file is touched here and no clock read.
//!
//! Each reload starts new processes beside the old ones, which go on until their last flow ends: a reload
//! with every change would fill the machine with them. So changes are merged, and what is written is always
//! the newest state.

use std::time::Duration;

use crate::blocks::Tables;

/// After failures in a row the wait doubles, up to this.
const LONGEST: Duration = Duration::from_secs(60);

/// When to write the file of one nginx.
#[derive(Debug)]
pub struct WriteDebouncer {
    min_interval: Duration,
    min_drain_interval: Duration,
    /// What nginx was last told to read.
    applied: Option<Tables>,
    wanted: Option<Tables>,
    /// What is being written.
    writing: Option<Tables>,
    last_write: Option<Duration>,
    failures: u32,
}

impl WriteDebouncer {
    /// `every`: from one file to the next, at the least; `drains_every`: the same for one that shuts a line.
    pub fn new(every: Duration, drains_every: Duration) -> Self {
        let drains_every = drains_every.min(every);
        WriteDebouncer {
            min_interval: every,
            min_drain_interval: drains_every,
            applied: None,
            wanted: None,
            writing: None,
            last_write: None,
            failures: 0,
        }
    }

    /// What the governor says now.
    pub fn set_wanted(&mut self, tables: Tables) {
        self.wanted = Some(tables);
    }

    /// What to write, if it is time; then [`WriteDebouncer::write_finished`] is to be called.
    pub fn start_write(&mut self, now: Duration) -> Option<Tables> {
        self.next_deadline().filter(|due| now >= *due)?;
        self.writing = self.wanted.clone();
        self.last_write = Some(now);
        self.writing.clone()
    }

    /// Whether the file was written and nginx reads it. If not, nginx goes on with what it read before.
    pub fn write_finished(&mut self, well: bool) {
        let written = self.writing.take();
        if well {
            (self.applied, self.failures) = (written, 0);
        } else {
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// When [`WriteDebouncer::start_write`] is next to be called; none if there is nothing to write.
    pub fn next_deadline(&self) -> Option<Duration> {
        let wanted = self.wanted.as_ref()?;
        if self.writing.is_some() || self.applied.as_ref() == Some(wanted) {
            return None;
        }
        let Some(last) = self.last_write else { return Some(Duration::ZERO) };
        let shuts = self.applied.as_ref().is_none_or(|reads| shuts(reads, wanted));
        let wait = if shuts { self.min_drain_interval } else { self.min_interval };
        // A drain is tried again as often, at first: it is a duty to others. But a command that always fails
        // must not be run every second for ever.
        let doubled = wait.saturating_mul(1 << self.failures.min(16));
        Some(last + doubled.min(LONGEST.max(wait)))
    }

    /// Writes that failed since the last that did not.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Whether something that is sent to by one is not by the other, or less is let in.
fn shuts(now: &Tables, later: &Tables) -> bool {
    now.iter().any(|(group, table)| {
        later.get(group).is_none_or(|later| {
            let stays = |at: &String| later.servers.iter().any(|(known, _)| known == at);
            later.admission_fraction < table.admission_fraction
                || !table.servers.iter().all(|(at, _)| stays(at))
        })
    })
}

#[cfg(test)]
mod tests {
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
}
