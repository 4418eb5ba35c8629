//! What may not reach a proxy, whoever made it: the module by a fault, an operator, another governor, a
//! front's bug. See `docs/design/guard.md`.
//!
//! The guard keeps its own account: the flows that each replica would be sent by all proxies here, by their
//! demand and their tables' shares, and what each can take. A change is judged as the state that all proxies
//! would be in after it. What passes is left as it is, to the letter. What does not is brought to the nearest
//! that does: a line that means nothing is left out, a share that is too large is made smaller, a change that
//! can't be is not carried out and the last good table stands, less what drains or is withdrawn. It never
//! opens a line that nobody asked for, but where a proxy would be left with none.
//!
//! When two rules pull apart, the earlier holds: no proxy without a line; drains and withdrawals; no cold
//! replica over its part; no warm one over what it can take; no more at once than was asked for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::types::{ClassSet, Phase, ProxyId, ReplicaId, RetryPolicy};

use crate::roster::Roster;
use crate::tables::{ResolvedEntry, Table};

/// A cold replica may be brought so many times its present part, by this account: the account is of means,
/// and half a second old. Where it falls is beyond that.
pub const COLD_MARGIN: f64 = 2.0;
/// It falls at so many times its part (the rehearsals' workers do).
const COLD_FALL: f64 = 2.5;
/// Means say nothing of chance, and few flows come in bursts: of those that come in a second so many standard
/// deviations more must stay below the fall. *Harm:* shares of a cold replica are cut that would have been
/// borne, where its part is a few flows a second; never below [`COLD_LEAST`].
const CHANCE: f64 = 2.0;
/// So many times its part it may always be brought: the module works near that.
const COLD_LEAST: f64 = 1.6;
/// Chance is heeded where the proxies here are nearly all there are. A governor with a part of them has most
/// in one zone, whose cold ones it rightly sends more than their even part of its own flows: it may, up to
/// the fall (with twice the part it was refused 204 times on the day `stall`, at 2.09).
const NEARLY_ALL: f64 = 1.2;
/// And a warm one so many times what is known that it can take, if the others have room.
pub const WARM_MARGIN: f64 = 3.0;
/// The part of all flows that may change replicas at once without a cause that asks for it.
pub const AT_ONCE: f64 = 0.5;
/// A change held back for being too much at once is carried out after so long: a guard that is wrong must not
/// freeze a fleet.
pub const HELD_FOR: Duration = Duration::from_secs(5);
/// A refusal that lasts is an alarm.
pub const ALARM: Duration = Duration::from_secs(10);
/// What was seen delivered counts half after so long.
const HALF_LIFE: f64 = 60.0;
/// What a module's withdrawals must leave of all that is ready.
const LEFT: f64 = 0.2;
/// Weights further apart than this can't be said on the wire without moving others ([`crate::weights`]).
const APART: f64 = 4e6;
/// Refusals kept for operators.
const KEPT: usize = 512;
/// A line is made no smaller than this part of the mean one.
const LEAST: f64 = 0.02;
/// Passes over the replicas that are over: what one gives up goes to others.
const PASSES: usize = 8;

/// What the guard is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct GuardLimits {
    /// A replica's share at its start, and how long until it has all.
    pub initial_capacity_fraction: f64,
    pub slow_start_duration: Duration,
    /// Proxies of all governors together.
    pub proxy_count: usize,
    /// Lines that one change may have.
    pub max_entries: f64,
    /// By group: whether its flows may only go to replicas in the proxy's own zone.
    pub same_zone_only: Vec<bool>,
    /// By group: whether a flow that may have run must never be tried again.
    pub not_idempotent: Vec<bool>,
}

/// Why something of a change does not go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RefusalReason {
    #[error("no line of it is open, though a replica is ready")]
    Bare,
    #[error("all of its lines are to replicas that drain or are gone")]
    Draining,
    #[error("no line of it is open in the proxy's zone, which its group must not leave")]
    ZoneBare,
    #[error("a line leaves the zone that its group must not leave")]
    OutOfZone,
    #[error("a weight is not finite, or not above 0")]
    Weight,
    #[error("a weight is so small beside another that the wire can't say both")]
    Wire,
    #[error("a level is not from 0 to 1")]
    Level,
    #[error("a flow that may have run would be tried again, and must not take effect twice")]
    Tries,
    #[error("more decisions at once than there can be")]
    Flood,
    #[error("so much is withdrawn that the rest could not take the flows")]
    Withdrawn,
    #[error("a replica that is not warm yet would be sent more than its present part")]
    Cold,
    #[error("a replica would be sent more than it can take, while others have room")]
    Over,
    #[error("it moves more of all flows at once than its cause asks for")]
    Sweep,
    #[error("it has more lines than the channel can carry in time")]
    Lines,
}

/// What was done about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// The rest of the table goes out.
    Corrected,
    /// The last good table stands, less what drains or is withdrawn.
    Kept,
    /// Nothing good was left: the proxy's own standing lines, or all that are ready, by the list.
    LastResort,
    /// It goes out although: an earlier rule holds, or it was held for long enough.
    LetThrough,
}

/// One refusal, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    pub at: Duration,
    /// None where it is about all of them.
    pub proxy: Option<ProxyId>,
    pub class: usize,
    pub reason: RefusalReason,
    pub outcome: RefusalOutcome,
    /// The replica that it is about, if it is about one.
    pub replica: Option<ReplicaId>,
    /// What was asked, and what is allowed: flows a second, shares, lines; by the reason.
    pub asked: f64,
    pub allowed: f64,
    /// Since when the same has been refused without a break.
    pub since: Duration,
}

/// How much of all traffic one change may move to other replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftLimit {
    /// As much as it takes: the roster changed, a proxy came or went, a replica was ejected, an operator spoke.
    Unlimited,
    /// At most [`AT_ONCE`], as nothing asks for more.
    Limited,
}

/// A table on its way out.
#[derive(Debug, Clone)]
pub struct ProposedTable<'a> {
    pub proxy: ProxyId,
    pub zone: usize,
    pub class: usize,
    /// What the proxy holds, if it was told anything.
    pub held: Option<&'a Table>,
    /// The proxy's own standing lines.
    pub default_table: &'a [(ReplicaId, f64)],
    pub wanted: Table,
}

/// Of which change, why, what was done, about which replica, what was asked and what is allowed.
type Refused = (usize, RefusalReason, RefusalOutcome, Option<ReplicaId>, f64, f64);

/// What the account of one proxy's group stands on.
#[derive(Debug, Clone, Default, PartialEq)]
struct Share {
    flows: f64,
    /// Parts of them, by replica.
    parts: Vec<(ReplicaId, f64)>,
}

/// As [`Guard::unit`] says.
#[derive(Debug, Clone, Copy)]
struct Unit {
    even: f64,
    known: f64,
    /// How many times the flows here all governors' proxies bring.
    all: f64,
}

#[derive(Debug, Clone)]
pub struct Guard {
    limits: GuardLimits,
    shares: BTreeMap<(ProxyId, usize), Share>,
    account: BTreeMap<ReplicaId, f64>,
    /// By replica and zone: the most that was delivered a second lately, and when.
    throughput: BTreeMap<(ReplicaId, usize), (f64, Duration)>,
    refusals: VecDeque<Refusal>,
    /// Refusals that are news, for the log.
    next_new_refusal: VecDeque<Refusal>,
    lasting: BTreeMap<(ProxyId, usize, RefusalReason), Duration>,
    counts: BTreeMap<RefusalReason, u64>,
    passed: u64,
    off: bool,
}

/// Open lines as parts of the whole.
fn parts(table: &Table) -> Vec<(ReplicaId, f64)> {
    let sound = |line: &&ResolvedEntry| line.routable && line.weight.is_finite() && line.weight > 0.0;
    let all: f64 = table.entries.iter().filter(sound).map(|line| line.weight).sum();
    table.entries.iter().filter(sound).map(|line| (line.replica.clone(), line.weight / all)).collect()
}

impl Guard {
    pub fn new(limits: GuardLimits) -> Self {
        Guard {
            limits,
            shares: BTreeMap::new(),
            account: BTreeMap::new(),
            throughput: BTreeMap::new(),
            refusals: VecDeque::new(),
            next_new_refusal: VecDeque::new(),
            lasting: BTreeMap::new(),
            counts: BTreeMap::new(),
            passed: 0,
            off: false,
        }
    }

    /// Lets all through, for measurements of what it is worth.
    pub fn switch_off(&mut self) {
        self.off = true;
    }

    // ---- the account

    fn book(&mut self, key: (ProxyId, usize), sign: f64) {
        let Some(share) = self.shares.get(&key) else { return };
        for (replica, part) in &share.parts {
            let flows = self.account.entry(replica.clone()).or_default();
            *flows += sign * share.flows * part;
        }
    }

    fn set(&mut self, key: (ProxyId, usize), change: impl FnOnce(&mut Share)) {
        self.book(key, -1.0);
        change(self.shares.entry(key).or_default());
        self.book(key, 1.0);
    }

    /// A proxy has joined: its demand as it says it ordinarily is, on its standing lines.
    pub fn proxy_connected(&mut self, proxy: ProxyId, flows: f64, standing: &[(ReplicaId, f64)]) {
        let groups = self.limits.same_zone_only.len();
        let all: f64 = standing.iter().map(|(_, weight)| weight.max(0.0)).sum();
        for group in 0..groups {
            self.set((proxy, group), |share| {
                share.flows = flows.clamp(0.0, 1e9) / groups as f64;
                let part = |(id, weight): &(ReplicaId, f64)| (id.clone(), weight.max(0.0) / all);
                share.parts = if all > 0.0 { standing.iter().map(part).collect() } else { Vec::new() };
            });
        }
    }

    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        let keys: Vec<_> = self.shares.range((proxy, 0)..=(proxy, usize::MAX)).map(|(key, _)| *key).collect();
        for key in keys {
            self.book(key, -1.0);
            self.shares.remove(&key);
        }
        self.lasting.retain(|(of, _, _), _| *of != proxy);
    }

    /// Flows that came to a proxy, as it reports. Half of a new word counts at once, so that one odd report
    /// does not turn the account over.
    pub fn record_demand(&mut self, proxy: ProxyId, group: usize, flows: u64, span: Duration) {
        let rate = flows as f64 / span.as_secs_f64().max(0.1);
        if self.shares.contains_key(&(proxy, group)) {
            // What came while a stream was broken is told at once, as if it had come within one report.
            self.set((proxy, group), |share| {
                share.flows = 0.5 * (share.flows + rate.min(2.0 * share.flows + 1.0))
            });
        }
    }

    /// What was delivered at a replica, as the proxies of a zone report.
    pub fn record_throughput(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        zone: usize,
        delivered: u64,
        span: Duration,
    ) {
        let rate = delivered as f64 / span.as_secs_f64().max(0.1);
        let seen = self.throughput.entry((replica.clone(), zone)).or_insert((0.0, now));
        if rate >= aged(*seen, now) {
            *seen = (rate, now);
        }
    }

    /// What a replica was seen to deliver a second, as another account has it.
    pub fn restore_throughput(&mut self, now: Duration, replica: &ReplicaId, zone: usize, per_s: f64) {
        self.throughput.insert((replica.clone(), zone), (per_s, now));
    }

    /// A proxy that has joined has so many flows of a group, and stands on a table that it was told.
    pub fn set_current_table(&mut self, proxy: ProxyId, group: usize, flows: f64, told: Option<&Table>) {
        self.set((proxy, group), |share| {
            share.flows = flows;
            share.parts = told.map_or_else(|| std::mem::take(&mut share.parts), parts);
        });
    }

    /// The list has changed: what is not on it any more is forgotten, and the account is made anew, so that
    /// rounding does not add up.
    pub fn roster_changed(&mut self, roster: &Roster) {
        self.throughput.retain(|(id, _), _| roster.get(id).is_some_and(|one| one.phase != Phase::Gone));
        self.account.clear();
        let keys: Vec<_> = self.shares.keys().copied().collect();
        keys.into_iter().for_each(|key| self.book(key, 1.0));
    }

    /// How much of its capacity a replica has by the settings' word of how one starts.
    fn warmth(&self, now: Duration, roster: &Roster, id: &ReplicaId) -> f64 {
        let Some(started) = roster.get(id).and_then(|one| one.started_at) else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64();
        let whole = self.limits.slow_start_duration.as_secs_f64();
        if age >= whole {
            return 1.0;
        }
        self.limits.initial_capacity_fraction + (1.0 - self.limits.initial_capacity_fraction) * age / whole
    }

    /// The capacity of ready replicas, as weights of warm ones.
    fn able(&self, now: Duration, roster: &Roster, counts: impl Fn(&ReplicaId) -> bool) -> f64 {
        let ready = roster.iter().filter(|(id, one)| one.phase == Phase::Ready && counts(id));
        ready.map(|(id, one)| one.weight.max(0.0) * self.warmth(now, roster, id)).sum()
    }

    /// Whether the module is followed in what it has withdrawn. One that leaves less than [`LEFT`] of what is
    /// ready is not: all flows would fall on the rest. *Harm:* where so many are really bad, they are sent to
    /// until the module lets them back or the list drops them.
    fn follows(&self, now: Duration, roster: &Roster, withdrawn: &impl Fn(&ReplicaId) -> bool) -> bool {
        self.able(now, roster, |id| !withdrawn(id)) >= LEFT * self.able(now, roster, |_| true)
    }

    /// Flows a second for a warm replica of weight 1. What it is known to take is the most that any was seen
    /// to deliver lately, or what falls to each if all is spread evenly, whichever is more: so neither a
    /// fleet that was never under load nor one that grows makes refusals by itself. A cold one is judged by
    /// the even part alone: the most that was seen comes in bursts, and a cold one has nothing to bear them
    /// with.
    fn unit(&self, now: Duration, roster: &Roster, withdrawn: &impl Fn(&ReplicaId) -> bool) -> Unit {
        let mut seen: BTreeMap<&ReplicaId, f64> = BTreeMap::new();
        for ((id, _), one) in &self.throughput {
            *seen.entry(id).or_default() += aged(*one, now);
        }
        let weight = |id: &ReplicaId| roster.get(id).map_or(1.0, |one| one.weight.max(1e-9));
        let proven = seen.iter().map(|(id, rate)| rate / weight(id)).fold(0.0, f64::max);
        let able = self.able(now, roster, |id| !withdrawn(id));
        let all: f64 = self.shares.values().map(|share| share.flows).sum();
        let even = if able > 0.0 { all / able } else { f64::INFINITY };
        // A warm one can take its even part of what all governors' proxies bring. With a few proxies here, of
        // one zone, their own lines alone come to several times the even part of theirs.
        let here = self.shares.len() as f64 / self.limits.same_zone_only.len().max(1) as f64;
        let all = (self.limits.proxy_count as f64 / here.max(1.0)).max(1.0);
        Unit { even, known: proven.max(even * all), all }
    }

    // ---- the judgement

    /// Judges a change as the state that all proxies are in after it: the tables that may go out, in order.
    ///
    /// `asked`: its cause asks for as many moves as it takes (the list changed, a proxy came or went,
    /// something was withdrawn, an operator spoke).
    pub fn check(
        &mut self,
        now: Duration,
        roster: &Roster,
        withdrawn: impl Fn(&ReplicaId) -> bool,
        shift_limit: ShiftLimit,
        mut changes: Vec<ProposedTable>,
    ) -> Vec<Table> {
        if self.off {
            return changes.into_iter().map(|change| change.wanted).collect();
        }
        let mut refused: Vec<Refused> = Vec::new();
        let follows = self.follows(now, roster, &withdrawn);
        let open = |id: &ReplicaId| {
            roster.get(id).is_some_and(|one| one.phase == Phase::Ready) && !(follows && withdrawn(id))
        };
        for (place, change) in changes.iter_mut().enumerate().filter(|_| !follows) {
            let shut = change.wanted.entries.iter_mut().filter(|line| !line.routable && open(&line.replica));
            let again = shut.map(|line| line.routable = true).count();
            if again > 0 {
                refused.push((
                    place,
                    RefusalReason::Withdrawn,
                    RefusalOutcome::Corrected,
                    None,
                    again as f64,
                    0.0,
                ));
            }
        }
        let mut tables: Vec<Table> = Vec::with_capacity(changes.len());
        for (place, change) in changes.iter().enumerate() {
            let own_zone = self.limits.same_zone_only.get(change.class).copied().unwrap_or(false);
            tables.push(single(change, own_zone, roster, &open, |reason, done, replica, asked, allowed| {
                refused.push((place, reason, done, replica, asked, allowed));
            }));
        }
        let lines: usize = tables.iter().map(|table| table.entries.len()).sum();
        if lines as f64 > self.limits.max_entries && tables.len() > 1 {
            // What does not fit waits: the first are carried out, the rest keep what they hold.
            let mut room = self.limits.max_entries;
            for (place, change) in changes.iter().enumerate() {
                room -= tables[place].entries.len() as f64;
                let held = self.last(change, &open);
                if let Some(held) = held.filter(|_| room < 0.0) {
                    refused.push((
                        place,
                        RefusalReason::Lines,
                        RefusalOutcome::Kept,
                        None,
                        lines as f64,
                        self.limits.max_entries,
                    ));
                    tables[place] = held;
                }
            }
        }
        let moved = self.moved(&changes, &tables);
        if shift_limit == ShiftLimit::Limited && moved > AT_ONCE {
            for (place, change) in changes.iter().enumerate() {
                let since = self.lasting.get(&(change.proxy, change.class, RefusalReason::Sweep));
                let lasted = since.is_some_and(|since| now >= *since + HELD_FOR);
                let held = self.last(change, &open);
                let done =
                    if lasted || held.is_none() { RefusalOutcome::LetThrough } else { RefusalOutcome::Kept };
                refused.push((place, RefusalReason::Sweep, done, None, moved, AT_ONCE));
                if let (RefusalOutcome::Kept, Some(held)) = (done, held) {
                    tables[place] = held;
                }
            }
        }
        for (change, table) in changes.iter().zip(&tables) {
            self.set((change.proxy, change.class), |share| share.parts = parts(table));
        }
        self.caps(now, roster, &open, &changes, &mut tables, &mut refused);
        self.remember(now, &changes, refused);
        tables
    }

    /// The last good table of a change's place, as it may be told now, if anything of it is left.
    fn last(&self, change: &ProposedTable, open: &impl Fn(&ReplicaId) -> bool) -> Option<Table> {
        let own_zone = self.limits.same_zone_only.get(change.class).copied().unwrap_or(false);
        let mut last = change.held.map(|held| shut(held, open))?;
        if own_zone {
            last.entries.iter_mut().for_each(|line| line.routable &= line.zone == change.zone);
        }
        Some(last).filter(is_open)
    }

    /// The part of all flows that a change moves to other replicas.
    fn moved(&self, changes: &[ProposedTable], tables: &[Table]) -> f64 {
        let all: f64 = self.shares.values().map(|share| share.flows).sum();
        let mut moved = 0.0;
        for (change, table) in changes.iter().zip(tables) {
            let Some(share) = self.shares.get(&(change.proxy, change.class)) else { continue };
            let before: BTreeMap<&ReplicaId, f64> =
                share.parts.iter().map(|(id, part)| (id, *part)).collect();
            // A first word moves nothing that was put there by a word.
            if before.is_empty() || change.held.is_none() {
                continue;
            }
            let gained: f64 = parts(table)
                .iter()
                .map(|(id, part)| (part - before.get(id).copied().unwrap_or(0.0)).max(0.0))
                .sum();
            moved += share.flows * gained;
        }
        if all > 0.0 { moved / all } else { 0.0 }
    }

    /// Makes shares of replicas smaller that would be sent too much, in the tables that change.
    fn caps(
        &mut self,
        now: Duration,
        roster: &Roster,
        open: &impl Fn(&ReplicaId) -> bool,
        changes: &[ProposedTable],
        tables: &mut [Table],
        refused: &mut Vec<Refused>,
    ) {
        let unit = self.unit(now, roster, &|id: &ReplicaId| !open(id));
        // A table that is kept was made smaller before: what is left of a line is by the others, not by
        // itself.
        let mean = |table: &Table| {
            let open = table.entries.iter().filter(|line| line.routable);
            open.clone().map(|line| line.weight).sum::<f64>() / open.count().max(1) as f64
        };
        let mut least: Vec<f64> = tables.iter().map(|table| LEAST * mean(table)).collect();
        for pass in 0..PASSES {
            let lines = tables.iter().flat_map(|table| &table.entries).filter(|line| line.routable);
            let touched: BTreeSet<ReplicaId> = lines.map(|line| line.replica.clone()).collect();
            let cap = |id: &ReplicaId| Some((id.clone(), self.cap(now, roster, unit, id)?));
            let caps: BTreeMap<ReplicaId, (RefusalReason, f64, f64)> =
                touched.iter().filter_map(cap).collect();
            if caps.is_empty() {
                return;
            }
            let mut any = false;
            for (place, change) in changes.iter().enumerate() {
                let table = &mut tables[place];
                let lines = table.entries.iter().filter(|line| line.routable);
                let over = lines.clone().filter(|line| caps.contains_key(&line.replica)).count();
                if over == 0 {
                    continue;
                }
                let mut all = over == lines.count();
                let cold = |line: &ResolvedEntry| {
                    caps.get(&line.replica).is_some_and(|cap| cap.0 == RefusalReason::Cold)
                };
                let cold = table.entries.iter().any(|line| line.routable && cold(line));
                // All of it is too much, and for a cold one: what is good of the last table, or of its own
                // lines, has others, too. What is too much for warm ones only goes out as it was asked.
                let other = (all && cold && pass == 0).then(|| {
                    let held = self.last(change, open);
                    let own = || Some(standing(change, roster, open)).filter(is_open);
                    let more = |table: &Table| {
                        table.entries.iter().any(|line| line.routable && !caps.contains_key(&line.replica))
                    };
                    held.filter(more).or_else(own).filter(more)
                });
                if let Some(other) = other.flatten() {
                    for line in table.entries.iter().filter(|line| line.routable) {
                        if let Some((reason, sent, can)) = caps.get(&line.replica) {
                            refused.push((
                                place,
                                *reason,
                                RefusalOutcome::Kept,
                                Some(line.replica.clone()),
                                *sent,
                                *can,
                            ));
                        }
                    }
                    (least[place], all) = (LEAST * mean(&other), false);
                    *table = Table { admission_fraction: table.admission_fraction, ..other };
                }
                for line in table.entries.iter_mut().filter(|line| line.routable) {
                    let Some((reason, sent, can)) = caps.get(&line.replica) else { continue };
                    // With nothing else to send to, over is better than bare.
                    let done = if all { RefusalOutcome::LetThrough } else { RefusalOutcome::Corrected };
                    if pass == 0 {
                        refused.push((place, *reason, done, Some(line.replica.clone()), *sent, *can));
                    }
                    // Where others send it too much, to give up all here would not mend that.
                    let weight = (line.weight * stepped(can / sent)).max(least[place]);
                    if !all && weight < line.weight {
                        line.weight = weight;
                    }
                }
                any |= !all;
                let parts = parts(table);
                self.set((change.proxy, change.class), |share| share.parts = parts);
            }
            if !any {
                return;
            }
        }
    }

    fn remember(&mut self, now: Duration, changes: &[ProposedTable], refused: Vec<Refused>) {
        let places: BTreeSet<usize> = refused.iter().map(|(place, ..)| *place).collect();
        self.passed += (changes.len() - places.len()) as u64;
        let still: BTreeSet<(ProxyId, usize, RefusalReason)> = refused
            .iter()
            .map(|(place, reason, ..)| (changes[*place].proxy, changes[*place].class, *reason))
            .collect();
        for change in changes {
            let of = |key: &(ProxyId, usize, RefusalReason)| (key.0, key.1) == (change.proxy, change.class);
            self.lasting.retain(|key, _| !of(key) || still.contains(key));
        }
        for (place, reason, done, replica, asked, allowed) in refused {
            let ProposedTable { proxy, class: group, .. } = changes[place];
            let since = *self.lasting.entry((proxy, group, reason)).or_insert(now);
            if done == RefusalOutcome::LetThrough && reason == RefusalReason::Sweep && now >= since + HELD_FOR
            {
                self.lasting.remove(&(proxy, group, reason));
            }
            *self.counts.entry(reason).or_default() += 1;
            let (at, proxy) = (now, Some(proxy));
            self.keep(Refusal {
                at,
                proxy,
                class: group,
                reason,
                outcome: done,
                replica,
                asked,
                allowed,
                since,
            });
        }
    }

    /// The next refusal that is news; one that goes on is none.
    pub fn next_new_refusal(&mut self) -> Option<Refusal> {
        self.next_new_refusal.pop_front()
    }

    fn keep(&mut self, refusal: Refusal) {
        if refusal.since == refusal.at && self.next_new_refusal.len() < KEPT {
            self.next_new_refusal.push_back(refusal.clone());
        }
        if self.refusals.len() == KEPT {
            self.refusals.pop_front();
        }
        self.refusals.push_back(refusal);
    }

    /// Something that is about no one proxy is refused.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        group: usize,
        reason: RefusalReason,
        asked: f64,
        allowed: f64,
    ) {
        *self.counts.entry(reason).or_default() += 1;
        let (at, since, done) = (now, now, RefusalOutcome::Corrected);
        self.keep(Refusal {
            at,
            proxy: None,
            class: group,
            reason,
            outcome: done,
            replica: None,
            asked,
            allowed,
            since,
        });
    }

    /// What proxies may do about further tries in each group of a set: a try that may have run is never
    /// followed by another where its effect must not happen twice.
    pub fn check_retry_policy(
        &mut self,
        now: Duration,
        groups: ClassSet,
        tries: RetryPolicy,
    ) -> Vec<(ClassSet, RetryPolicy)> {
        let bars = |group: &usize| self.limits.not_idempotent.get(*group).copied().unwrap_or(false);
        let barred: Vec<usize> = (0..64).filter(|group| groups >> group & 1 == 1).filter(bars).collect();
        if self.off || tries != RetryPolicy::OnAnyFailure || barred.is_empty() {
            return vec![(groups, tries)];
        }
        let set: ClassSet = barred.iter().map(|group| 1 << group).sum();
        barred.into_iter().for_each(|group| self.record_refusal(now, group, RefusalReason::Tries, 2.0, 1.0));
        vec![(groups & !set, tries), (set, RetryPolicy::IfNotExecuted)]
    }

    /// A proxy's group holds what is wanted: nothing of it is refused any more.
    pub fn clear_refusals(&mut self, proxy: ProxyId, group: usize) {
        self.lasting.retain(|(of, at, _), _| (*of, *at) != (proxy, group));
    }

    /// Replicas that are sent more than they may be by the tables that stand, as when one starts anew cold,
    /// or demand grows.
    pub fn overloaded_replicas(
        &self,
        now: Duration,
        roster: &Roster,
        withdrawn: impl Fn(&ReplicaId) -> bool,
    ) -> BTreeSet<ReplicaId> {
        if self.off {
            return BTreeSet::new();
        }
        let follows = self.follows(now, roster, &withdrawn);
        let unit = self.unit(now, roster, &|id: &ReplicaId| follows && withdrawn(id));
        let over = |(id, _): &(&ReplicaId, &f64)| self.cap(now, roster, unit, id).is_some();
        self.account.iter().filter(over).map(|(id, _)| id.clone()).collect()
    }

    /// What other governors send is on neither side: what a replica was seen to take and what falls to each
    /// are by the flows of the proxies here. *Harm:* where others send a replica more than their even part,
    /// nobody sees all of it.
    ///
    /// Why a replica is sent too much, what it is sent, and what it may be; none if it is not.
    fn cap(
        &self,
        now: Duration,
        roster: &Roster,
        unit: Unit,
        id: &ReplicaId,
    ) -> Option<(RefusalReason, f64, f64)> {
        let known = roster.get(id).filter(|one| one.phase == Phase::Ready)?;
        let (warmth, sent) = (self.warmth(now, roster, id), self.account.get(id).copied().unwrap_or(0.0));
        let weight = known.weight.max(0.0);
        let (reason, most) = match warmth < 1.0 {
            true => {
                let part = unit.even * warmth * weight;
                (RefusalReason::Cold, if unit.all <= NEARLY_ALL { bearable(part) } else { COLD_FALL * part })
            }
            false => (RefusalReason::Over, unit.known * weight * WARM_MARGIN),
        };
        let can = most.max(1.0);
        (can.is_finite() && sent > can).then_some((reason, sent, can))
    }

    // ---- what operators read

    /// Proxies something of whose tables is being refused: they are to be judged again now and then.
    pub fn proxies_with_refusals(&self) -> BTreeSet<ProxyId> {
        self.lasting.keys().map(|(proxy, ..)| *proxy).collect()
    }

    /// Refusals that have lasted for [`ALARM`].
    pub fn alarms(&self, now: Duration) -> usize {
        self.lasting.values().filter(|since| now >= **since + ALARM).count()
    }

    /// Oldest first.
    pub fn refusals(&self) -> impl DoubleEndedIterator<Item = &Refusal> {
        self.refusals.iter()
    }

    /// By reason; and tables that passed as they were.
    pub fn tally(&self) -> (&BTreeMap<RefusalReason, u64>, u64) {
        (&self.counts, self.passed)
    }

    /// Flows a second that a proxy has of a group, by the account.
    pub fn requests_per_second(&self, proxy: ProxyId, group: usize) -> f64 {
        self.shares.get(&(proxy, group)).map_or(0.0, |share| share.flows)
    }

    /// The most that was delivered a second lately, by replica and zone, counting less with age.
    pub fn throughput(&self, now: Duration) -> impl Iterator<Item = (&ReplicaId, usize, f64)> {
        self.throughput.iter().map(move |((id, zone), one)| (id, *zone, aged(*one, now)))
    }

    pub fn limits(&self) -> &GuardLimits {
        &self.limits
    }

    /// Flows a second that a replica is sent by proxies here, by the account.
    pub fn sent_to(&self, replica: &ReplicaId) -> f64 {
        self.account.get(replica).copied().unwrap_or(0.0).max(0.0)
    }
}

/// Flows a second that a cold replica may be brought whose part is `part`: with what chance adds they stay
/// below its fall.
fn bearable(part: f64) -> f64 {
    let root = (CHANCE * CHANCE / 4.0 + COLD_FALL * part).sqrt() - CHANCE / 2.0;
    (root * root).clamp(COLD_LEAST * part, COLD_MARGIN * part)
}

fn aged((rate, at): (f64, Duration), now: Duration) -> f64 {
    rate * 0.5f64.powf(now.saturating_sub(at).as_secs_f64() / HALF_LIFE)
}

/// Rounded down to steps of a tenth or so: a cap that moves a little with each report must not make a new
/// table each time.
fn stepped(factor: f64) -> f64 {
    1.1f64.powf((factor.clamp(1e-3, 1.0).ln() / 1.1f64.ln()).floor())
}

fn is_open(table: &Table) -> bool {
    table.entries.iter().any(|line| line.routable)
}

/// A table as it was told, less what drains, is gone or is withdrawn now; a line that was shut for that and
/// is not any more is open again. Otherwise a table that is kept through a deploy would come down to its
/// last lines, and those be overrun.
fn shut(held: &Table, open: &impl Fn(&ReplicaId) -> bool) -> Table {
    let mut table = held.clone();
    table.entries.iter_mut().for_each(|line| line.routable = open(&line.replica));
    table
}

/// What a table must be in itself, whatever the others are.
fn single(
    change: &ProposedTable,
    own_zone: bool,
    roster: &Roster,
    open: &impl Fn(&ReplicaId) -> bool,
    mut refuse: impl FnMut(RefusalReason, RefusalOutcome, Option<ReplicaId>, f64, f64),
) -> Table {
    let mut table = change.wanted.clone();
    if !(0.0..=1.0).contains(&table.admission_fraction) {
        refuse(RefusalReason::Level, RefusalOutcome::Corrected, None, table.admission_fraction, 1.0);
        table.admission_fraction = change.held.map_or(1.0, |held| held.admission_fraction);
    }
    let asked = table.entries.iter().filter(|line| line.routable).count();
    let sound = |line: &ResolvedEntry| line.weight.is_finite() && line.weight > 0.0;
    for line in table.entries.iter().filter(|line| line.routable && !sound(line)) {
        refuse(
            RefusalReason::Weight,
            RefusalOutcome::Corrected,
            Some(line.replica.clone()),
            line.weight,
            f64::MAX,
        );
    }
    // A shut line says only that nothing is to be sent there: its weight is never used.
    table.entries.retain(|line| !line.routable || sound(line));
    table.entries.iter_mut().filter(|line| !sound(line)).for_each(|line| line.weight = 1.0);
    let largest =
        table.entries.iter().filter(|line| line.routable).map(|line| line.weight).fold(0.0, f64::max);
    for line in table.entries.iter_mut().filter(|line| line.routable && line.weight * APART < largest) {
        refuse(
            RefusalReason::Wire,
            RefusalOutcome::Corrected,
            Some(line.replica.clone()),
            line.weight / largest,
            1.0 / APART,
        );
        line.weight = largest / APART;
    }
    let draining = table.entries.iter().filter(|line| line.routable && !open(&line.replica)).count();
    if draining > 0 && draining == table.entries.iter().filter(|line| line.routable).count() {
        refuse(RefusalReason::Draining, RefusalOutcome::Kept, None, draining as f64, 0.0);
    }
    table.entries.iter_mut().for_each(|line| line.routable &= open(&line.replica));
    if own_zone {
        let away = |line: &ResolvedEntry| line.routable && line.zone != change.zone;
        for line in table.entries.iter_mut().filter(|line| away(line)) {
            refuse(RefusalReason::OutOfZone, RefusalOutcome::Corrected, Some(line.replica.clone()), 0.0, 0.0);
            line.routable = false;
        }
    }
    if is_open(&table) {
        return table;
    }
    let near_enough = |id: &ReplicaId| !own_zone || roster.get(id).is_some_and(|one| one.zone == change.zone);
    let is_ready = |id: &ReplicaId| roster.get(id).is_some_and(|one| one.phase == Phase::Ready);
    // A module that has all of them withdrawn is not followed in that: one that may be bad is better than
    // none.
    let any_open = roster.iter().any(|(id, _)| open(id) && near_enough(id));
    let fits = |id: &ReplicaId| near_enough(id) && if any_open { open(id) } else { is_ready(id) };
    if !roster.iter().any(|(id, _)| fits(id)) {
        // Nobody is there: as asked, less what is shut.
        return table;
    }
    let reason = if own_zone { RefusalReason::ZoneBare } else { RefusalReason::Bare };
    let held = change.held.map(|held| shut(held, &fits)).filter(is_open);
    if let Some(held) = held {
        refuse(reason, RefusalOutcome::Kept, None, asked as f64, 1.0);
        return held;
    }
    refuse(reason, RefusalOutcome::LastResort, None, asked as f64, 1.0);
    Table { admission_fraction: table.admission_fraction, ..standing(change, roster, &fits) }
}

/// A proxy's own lines, as far as they fit; else all that do, in its zone if somebody is there.
fn standing(change: &ProposedTable, roster: &Roster, fits: &impl Fn(&ReplicaId) -> bool) -> Table {
    let line = |id: &ReplicaId, weight: f64| {
        let known = roster.get(id).filter(|_| fits(id))?;
        let (replica, address, zone) = (id.clone(), known.address.clone(), known.zone);
        Some(ResolvedEntry {
            replica,
            address,
            zone,
            weight: if weight > 0.0 { weight } else { 1.0 },
            routable: true,
        })
    };
    let mut lines: Vec<ResolvedEntry> =
        change.default_table.iter().filter_map(|(id, weight)| line(id, *weight)).collect();
    if lines.is_empty() {
        let near = |id: &ReplicaId| roster.get(id).is_some_and(|one| one.zone == change.zone);
        let any_near = roster.iter().any(|(id, _)| fits(id) && near(id));
        let ready = roster.iter().filter(|(id, _)| !any_near || near(id));
        lines = ready.filter_map(|(id, one)| line(id, one.weight)).collect();
    }
    lines.sort_by(|one, other| one.replica.cmp(&other.replica));
    Table { entries: lines, admission_fraction: 1.0 }
}

#[cfg(test)]
mod tests;
