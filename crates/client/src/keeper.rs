//! A proxy's state: its tables as last told, or its standing one; what it met; whom it keeps away from.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::RetryPolicy;
use wrenthread_core::fencing::{FencingError, FencingState};
use wrenthread_core::table_versions::{
    self, Delta, Digest, MILLION, Mismatch, PublishedState, PublishedTable,
};

/// Names are forgotten all at once beyond so many, and learnt anew from the next table.
const MOST_NAMES: usize = 100_000;

/// A line of the standing table.
#[derive(Debug, Clone, PartialEq)]
pub struct Standing {
    pub replica: String,
    pub address: Arc<str>,
    pub weight: f64,
}

/// What the proxy met at one address since the last report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Met {
    pub issued: u64,
    pub delivered: u64,
    pub dropped: u64,
    pub answer: Duration,
    /// Sum of the load metrics over the delivered tries that told them.
    pub load: Vec<f64>,
}

/// What a report says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Stats {
    pub met: BTreeMap<(usize, Arc<str>), Met>,
    /// By group: flows blocked before any try.
    pub blocked: Vec<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome<'a> {
    Delivered { took: Duration, load: &'a [f64] },
    Dropped,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Lines {
    lines: Vec<(Arc<str>, f64)>,
    level: f64,
}

#[derive(Debug)]
pub struct Keeper {
    groups: Vec<String>,
    standing: Vec<Standing>,
    told: Vec<Option<Lines>>,
    tries: Vec<RetryPolicy>,
    /// Long-poll: what is held, to make deltas take effect on.
    whole: PublishedState,
    held: Option<(String, Digest)>,
    /// Whose orders count, and the signed word of whose they are that are held.
    fence: FencingState,
    claim: Option<String>,
    /// Addresses that tables have told, and the replicas there.
    names: BTreeMap<Arc<str>, String>,
    avoid: Option<(u32, Duration)>,
    failing: BTreeMap<Arc<str>, u32>,
    avoided: BTreeMap<Arc<str>, Duration>,
    stats: Stats,
}

impl Keeper {
    /// `avoid`: after so many tries in a row that were dropped at an address, keep away from it for so long.
    pub fn new(groups: Vec<String>, standing: Vec<Standing>, avoid: Option<(u32, Duration)>) -> Self {
        let count = groups.len();
        Keeper {
            groups,
            standing,
            told: vec![None; count],
            tries: vec![RetryPolicy::Never; count],
            whole: PublishedState { classes: vec![None; count] },
            held: None,
            fence: FencingState::default(),
            claim: None,
            names: BTreeMap::new(),
            avoid,
            failing: BTreeMap::new(),
            avoided: BTreeMap::new(),
            stats: Stats { met: BTreeMap::new(), blocked: vec![0; count] },
        }
    }

    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    pub fn standing(&self) -> &[Standing] {
        &self.standing
    }

    // ---- whose orders count

    /// From now on only this governor's orders count.
    pub fn follow(&mut self, governor: &str) {
        self.fence.follow(governor);
    }

    /// An order comes in: from whom, of which life, up to which version, with the claim to keep.
    ///
    /// Errors: why it is not to be heeded.
    pub fn heed(
        &mut self,
        governor: &str,
        epoch: u64,
        version: u64,
        claim: Option<&str>,
    ) -> Result<(), FencingError> {
        self.fence.accept(governor, epoch, version)?;
        self.claim = claim.map(str::to_string);
        Ok(())
    }

    /// To be shown to the governor that is joined next.
    pub fn claim(&self) -> Option<&str> {
        self.claim.as_deref()
    }

    // ---- what the governor tells

    pub fn place(&self, group: &str) -> Option<usize> {
        self.groups.iter().position(|known| known == group)
    }

    /// A group's table; none for a group that is not known here.
    pub fn tell(&mut self, group: &str, lines: Vec<(Arc<str>, f64)>, level: f64) {
        if let Some(place) = self.place(group) {
            self.told[place] = Some(Lines { lines, level });
        }
    }

    /// A group's table is no more: the standing one holds again.
    pub fn untell(&mut self, group: &str) {
        if let Some(place) = self.place(group) {
            self.told[place] = None;
        }
    }

    pub fn tell_tries(&mut self, group: &str, tries: RetryPolicy) {
        if let Some(place) = self.place(group) {
            self.tries[place] = tries;
        }
    }

    /// Version and digest that a long-poll question names.
    pub fn held(&self) -> Option<&(String, Digest)> {
        self.held.as_ref()
    }

    /// Whether it holds anything but its standing table: also where a delta did not come out and the next
    /// question asks for the whole.
    pub fn has_orders(&self) -> bool {
        self.told.iter().any(Option::is_some)
    }

    /// A whole state, checked already.
    pub fn tell_whole(&mut self, version: String, whole: PublishedState) {
        self.held = Some((version, whole.digest()));
        if self.names.len() > MOST_NAMES {
            self.names.clear();
        }
        for (id, line) in whole.classes.iter().flatten().flat_map(|said| &said.entries) {
            self.names.insert(line.address.clone(), id.to_string());
        }
        for (place, said) in whole.classes.iter().enumerate().take(self.told.len()) {
            self.told[place] = said.as_ref().map(|said| {
                let PublishedTable { entries: lines, admission_millionths: level, retry_policy: tries } =
                    said;
                self.tries[place] = *tries;
                Lines {
                    lines: lines
                        .values()
                        .map(|line| (line.address.clone(), f64::from(line.weight)))
                        .collect(),
                    level: f64::from(*level) / f64::from(MILLION),
                }
            });
        }
        self.whole = whole;
    }

    /// A delta; it takes effect only if it starts from what is held and comes out as it says.
    ///
    /// Errors: as [`Mismatch`]; what is held still counts, but the next question asks for the whole.
    pub fn tell_delta(&mut self, version: String, delta: &Delta) -> Result<(), Mismatch> {
        let held = self.held.as_ref().map_or([0; 32], |(_, digest)| *digest);
        match table_versions::apply(&self.whole, held, delta) {
            Ok(whole) => {
                self.tell_whole(version, whole);
                Ok(())
            }
            Err(mismatch) => {
                self.held = None;
                Err(mismatch)
            }
        }
    }

    /// All that was told, for those who watch.
    pub fn ordered(&self) -> crate::Ordered {
        let told = self.groups.iter().zip(&self.told);
        let told = told.filter_map(|(group, told)| Some((group, told.as_ref()?)));
        told.map(|(group, told)| (group.clone(), (told.lines.clone(), told.level))).collect()
    }

    /// The replica at an address. Names are remembered for as long as their tries may be reported.
    pub fn replica_at(&self, at: &str) -> Option<String> {
        let standing = self.standing.iter().find(|line| &*line.address == at);
        standing.map(|line| line.replica.clone()).or_else(|| self.names.get(at).cloned())
    }

    // ---- flows

    /// Where a flow of a group goes, by two numbers of chance from 0 up to 1, and other than `but`. None: it
    /// is blocked, by its level or as there is no line, and counted as such if this is its first try.
    pub fn pick(
        &mut self,
        now: Duration,
        group: usize,
        chance: (f64, f64),
        but: Option<&Arc<str>>,
    ) -> Option<Arc<str>> {
        self.avoided.retain(|_, until| now < *until);
        let told = self.told.get(group)?.as_ref();
        let level = told.map_or(1.0, |told| told.level);
        let standing = || self.standing.iter().map(|line| (&line.address, line.weight)).collect();
        let lines: Vec<(&Arc<str>, f64)> =
            told.map_or_else(standing, |told| told.lines.iter().map(|(at, weight)| (at, *weight)).collect());
        let picked = (but.is_some() || chance.0 < level).then(|| {
            let elsewhere = lines.iter().filter(|(at, _)| Some(*at) != but);
            let near: Vec<_> = elsewhere.clone().filter(|(at, _)| !self.avoided.contains_key(*at)).collect();
            // Where all are avoided, one that fails is better than none.
            let open: Vec<_> = if near.is_empty() { elsewhere.collect() } else { near };
            let mut left = chance.1 * open.iter().map(|(_, weight)| weight).sum::<f64>();
            let passed = |(_, weight): &&&(&Arc<str>, f64)| {
                left -= weight;
                left < 0.0
            };
            open.iter().find(passed).or(open.last()).map(|(at, _)| (*at).clone())
        });
        let picked = picked.flatten();
        if picked.is_none() && but.is_none() {
            self.stats.blocked[group] += 1;
        }
        picked
    }

    pub fn tries(&self, group: usize) -> RetryPolicy {
        self.tries.get(group).copied().unwrap_or_default()
    }

    /// A flow was blocked before any try, by somebody else than [`Keeper::pick`].
    pub fn blocked(&mut self, group: usize) {
        if let Some(blocked) = self.stats.blocked.get_mut(group) {
            *blocked += 1;
        }
    }

    /// A try goes out.
    pub fn began(&mut self, group: usize, at: &Arc<str>) {
        self.stats.met.entry((group, at.clone())).or_default().issued += 1;
    }

    /// A try is over.
    pub fn ended(&mut self, now: Duration, group: usize, at: &Arc<str>, outcome: Outcome) {
        let met = self.stats.met.entry((group, at.clone())).or_default();
        match outcome {
            Outcome::Delivered { took, load } => {
                met.delivered += 1;
                met.answer += took;
                met.load.resize(load.len(), 0.0);
                met.load.iter_mut().zip(load).for_each(|(sum, one)| *sum += one);
                self.failing.remove(at);
            }
            Outcome::Dropped => {
                met.dropped += 1;
                let Some((most, span)) = self.avoid else { return };
                let in_a_row = self.failing.entry(at.clone()).or_default();
                *in_a_row += 1;
                if *in_a_row >= most {
                    self.failing.remove(at);
                    self.avoided.insert(at.clone(), now + span);
                }
            }
        }
    }

    /// What was met since the last time.
    pub fn take_stats(&mut self) -> Stats {
        let blocked = vec![0; self.groups.len()];
        std::mem::replace(&mut self.stats, Stats { met: BTreeMap::new(), blocked })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keeper() -> Keeper {
        let line =
            |name: &str| Standing { replica: name.into(), address: format!("{name}:1").into(), weight: 1.0 };
        let avoid = Some((2, Duration::from_secs(3)));
        Keeper::new(vec!["match".into()], vec![line("a"), line("b")], avoid)
    }

    fn at(keeper: &mut Keeper, now: u64, chance: f64) -> Option<String> {
        keeper.pick(Duration::from_secs(now), 0, (0.5, chance), None).map(|at| at.to_string())
    }

    #[test]
    fn the_standing_table_holds_until_told_otherwise_and_levels_block() {
        let mut keeper = keeper();
        assert_eq!(
            (at(&mut keeper, 0, 0.1), at(&mut keeper, 0, 0.9)),
            (Some("a:1".into()), Some("b:1".into()))
        );
        keeper.tell("match", vec![("c:1".into(), 5.0)], 1.0);
        assert_eq!(at(&mut keeper, 0, 0.1), Some("c:1".into()));
        keeper.tell("match", vec![("c:1".into(), 5.0)], 0.4);
        assert_eq!(at(&mut keeper, 0, 0.1), None);
        assert_eq!(keeper.take_stats().blocked, [1]);
        keeper.untell("match");
        assert_eq!(at(&mut keeper, 0, 0.1), Some("a:1".into()));
    }

    #[test]
    fn an_address_that_drops_tries_in_a_row_is_kept_away_from_for_a_while() {
        let mut keeper = keeper();
        let a: Arc<str> = "a:1".into();
        keeper.ended(Duration::ZERO, 0, &a, Outcome::Dropped);
        assert_eq!(at(&mut keeper, 0, 0.1), Some("a:1".into()));
        keeper.ended(Duration::ZERO, 0, &a, Outcome::Dropped);
        assert_eq!(at(&mut keeper, 2, 0.1), Some("b:1".into()));
        assert_eq!(at(&mut keeper, 3, 0.1), Some("a:1".into()));
        let other = keeper.pick(Duration::from_secs(4), 0, (0.5, 0.1), Some(&a));
        assert_eq!(other.as_deref(), Some("b:1"));
    }

    #[test]
    fn a_delta_that_does_not_come_out_leaves_what_is_held_and_asks_for_the_whole() {
        let mut keeper = keeper();
        let line = table_versions::PublishedEntry { address: "c:1".into(), zone: 0, weight: 7 };
        let said = PublishedTable {
            entries: [("c".into(), line)].into(),
            admission_millionths: MILLION,
            retry_policy: RetryPolicy::IfNotExecuted,
        };
        let whole = PublishedState { classes: vec![Some(said)] };
        keeper.tell_whole("e.1".into(), whole.clone());
        let delta =
            table_versions::delta(&whole, whole.digest(), &PublishedState { classes: vec![None] }, [9; 32]);
        assert_eq!(keeper.tell_delta("e.2".into(), &delta), Err(Mismatch::Digest));
        assert!(keeper.held().is_none() && keeper.has_orders());
        assert_eq!(at(&mut keeper, 0, 0.5), Some("c:1".into()));
        assert_eq!(keeper.tries(0), RetryPolicy::IfNotExecuted);
    }
}
