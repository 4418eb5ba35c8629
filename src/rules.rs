//! All decisions: which tables a service's plain proxies hold, and when they hear of it.
//!
//! A host makes one [`Governor`] for each governor process, calls its inputs as things happen, and after each
//! batch of them pulls [`Governor::decide`] until it gives `None`. What is pulled in one go is one message to
//! each proxy concerned. The types of both sides stand in `interface.rs`.
//!
//! The mechanism is FlexDATE's (`docs/design.md`). The parts, in order of precedence: withdraw, health, cold,
//! default repair, critical set and solve, levels and further tries, pace.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::interface::*;

#[cfg(test)]
mod tests;

/// The one timer: gathered changes go out every second beat, as the design page has it.
const BEAT: Duration = Duration::from_millis(250);
const SHED_BEATS: u64 = 4;
const SOLVE_BEATS: u64 = 8;
/// The paper's target for the ratio, and the page's penalties on rerouted traffic below and above it.
const TARGET: f64 = 0.9;
const PENALTIES: (f64, f64) = (0.5, 1.0);
/// The page's cycles below the target before the solver runs, share of critical proxies, lines at most.
const CYCLES_BELOW: u32 = 3;
const CRITICAL_SHARE: f64 = 0.15;
const COOLEST: usize = 30;
/// A line goes out again once its weight has moved by this share: less is within the noise of the sums.
const WORTH_SENDING: f64 = 0.12;
/// How far one cycle bends a room towards the mean utilisation (an exponent), and what it keeps of a bend.
const BEND_STEP: f64 = 0.25;
const BEND_KEPT: f64 = 0.95;
/// A room bent below this (to 0.78 of its fair share) is no noise: critical proxies can't unload it alone.
const LIMPS_AT: f64 = -0.25;
/// A hurt zone's default spills beyond this multiple of the fleet's utilisation, a whole one's later.
const ZONE_SLACK: f64 = 1.15;
const OVERFULL: f64 = 1.4;
/// Levels are cut once answers take this share of the budget, to this much of what jammed replicas answer.
const LATE: f64 = 0.5;
const DRAINING: f64 = 0.77;
/// Fleets are sized to carry their load at about this share of their capacity.
const SIZED_FOR: f64 = 0.7;
/// Tries heard before their drops mean anything, and the share of drops from which a zone counts as stressed.
const HEARD_ENOUGH: f64 = 50.0;
const STRESSED_AT: f64 = 0.05;
/// A cold replica needs this multiple of the stress as capacity; more where proxies may avoid all others.
const WARINESS: (f64, f64) = (2.0, 3.0);
/// What cold zones are sent, by what the fleet answers for its capacity: below what fells them.
const COLD_SLACK: f64 = 1.2;
/// Answers that should have come by now: with this many, chance leaves none once in some thousand looks.
const SILENT_AFTER: f64 = 8.0;
/// First wait before a trial of a withdrawn replica, doubled by each failure, and its share of its part.
const FIRST_WAIT: Duration = Duration::from_secs(4);
const TRIAL_SHARE: f64 = 0.1;
/// Probes are cheap, but each costs its replica work. Each unanswered one tells of so much more in hand.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const MUTE_GROWTH: f64 = 1.3;

#[derive(Default)]
struct Figures {
    /// The two kinds of table of a proxy: for groups free to cross, and for those bound to the own zone.
    groups: [GroupSet; 2],
    /// The groups from the least utility per work up.
    ladder: Vec<usize>,
    levels: bool,
    budget: f64,
    /// All proxies, where other governors have some of them; else none.
    shared: f64,
    /// Worst-case share of its capacity that a replica starts with, and by how much it grows a second.
    cold: (f64, f64),
    wariness: f64,
    crossing: f64,
    averaged: f64,
    settling: Duration,
    publish_every: Duration,
    /// Flushes within a span; one message to each proxy is kept for its joining.
    flushes: (usize, Duration),
    /// The channel's lines a second, a message's head, lines that may wait less a reserve, time on the way.
    lines_per_s: f64,
    head: f64,
    waiting_most: f64,
    transit: f64,
    probe_every: Option<Duration>,
    load_at: [Option<usize>; 2],
}

#[derive(Clone, Copy, Default, PartialEq, Debug)]
enum Health {
    #[default]
    Fit,
    Out(Duration, u32),
    Trial(u32),
}

/// What one zone's proxies met at a replica; evidence fades with time.
#[derive(Clone, Default)]
struct Sight {
    delivered: f64,
    dropped: f64,
    rate: f64,
    time: f64,
    last: Duration,
    last_answer: Duration,
}

#[derive(Default)]
struct Replica {
    zone: usize,
    weight: f64,
    ready: bool,
    started: Option<Duration>,
    health: Health,
    withdrawn: bool,
    /// Silence counts only from here on: what went before was met under other tables.
    since: Duration,
    sights: BTreeMap<usize, Sight>,
    expected: f64,
    bend: f64,
    in_hand: Option<f64>,
    waiting: Option<(f64, Duration)>,
    unanswered_probes: u32,
}

struct Proxy {
    zone: usize,
    /// Flows a second by group, blocked ones too: what is usual, until more is heard.
    rates: Vec<f64>,
    standing: Option<BTreeSet<ReplicaId>>,
    /// Holds nobody knows what: must follow own tables before anything else can be said of it.
    unsure: bool,
}

type Lines = BTreeMap<ReplicaId, f64>;
type Unit = (ProxyId, usize);
type Solved = BTreeMap<Unit, Lines>;

/// One governor's knowledge, and the decisions that wait to be pulled.
#[derive(Default)]
pub struct Governor {
    figures: Figures,
    replicas: BTreeMap<ReplicaId, Replica>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// The lines of each own table as last sent, kept over a broken stream: tables outlive it here.
    tables: Solved,
    numbers: BTreeMap<ProxyId, TableId>,
    critical: Solved,
    cycles_below: u32,
    /// By zone: the share of tries dropped by its replicas, or the fleet's if more, where it is not little.
    stress: BTreeMap<usize, f64>,
    /// Too little is heard yet to tell: half is assumed, as a governor may restart in mid-trouble.
    unheard: bool,
    thin: BTreeSet<usize>,
    nominal: f64,
    heard: BTreeMap<usize, Duration>,
    joined: BTreeMap<usize, Duration>,
    /// The share of flows let in, what was answered at the last cut, its time, answers since the last look.
    let_in: f64,
    limit: f64,
    cut_at: Duration,
    pulse: (f64, f64),
    levels: Vec<(f64, FurtherTries)>,
    due: BTreeSet<(Duration, ReplicaId)>,
    beats: u64,
    publish_at: Duration,
    flushes: VecDeque<Duration>,
    waiting: f64,
    drained_at: Duration,
    slowed: f64,
    marks: u16,
    wake: bool,
    settled: bool,
    out: VecDeque<Decision>,
}

fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

fn at<K: Ord>(map: &BTreeMap<K, f64>, key: &K) -> f64 {
    map.get(key).copied().unwrap_or(0.0)
}

fn per(whole: f64, parts: f64) -> f64 {
    whole / parts.max(f64::MIN_POSITIVE)
}

impl Figures {
    fn new(settings: &Settings) -> Self {
        // Slices have tables of their own, which nothing here is laid into yet.
        let tabled = if settings.slices > 0 { 0 } else { 64 };
        let mut groups = [0, 0];
        for (place, group) in settings.groups.iter().take(tabled).enumerate() {
            groups[usize::from(group.own_zone)] |= 1 << place;
        }
        // The wire tells no group's work: its latency budget stands in, as what needs longer is given longer.
        let budget = |place: &usize| seconds(settings.groups[*place].latency_budget);
        let value = |place: &usize| per(settings.groups[*place].utility, budget(place));
        let mut ladder: Vec<usize> = (0..settings.groups.len().min(64)).collect();
        ladder.sort_by(|one, other| value(one).total_cmp(&value(other)));
        let field = |wanted| settings.load_fields.iter().position(|field| *field == wanted);
        let (most, over) = settings.messages_most.unwrap_or((usize::MAX, Duration::ZERO));
        let cold = settings.cold_share.clamp(0.01, 1.0);
        Figures {
            groups,
            levels: settings.level_kind == LevelKind::Share,
            budget: per(ladder.iter().map(budget).sum(), ladder.len() as f64),
            ladder,
            shared: if settings.governors > 1 { settings.proxies as f64 } else { 0.0 },
            cold: (cold, per(1.0 - cold, seconds(settings.warm_after))),
            wariness: if settings.proxies_avoid { WARINESS.1 } else { WARINESS.0 },
            crossing: 1.0 + 4.0 * settings.crossing_cost,
            averaged: 5.0 * seconds(settings.sums_every),
            settling: settings.transit_most + 3 * settings.sums_every,
            publish_every: (2 * BEAT).max(over.mul_f64(1.5 / most.max(1) as f64)),
            flushes: (most.saturating_sub(2), over),
            lines_per_s: settings.lines_per_s.max(1.0),
            head: settings.head_lines,
            waiting_most: 0.8 * settings.waiting_most,
            transit: seconds(settings.transit_most),
            probe_every: settings.probe_cost.map(|_| PROBE_EVERY),
            load_at: [field(LoadField::InHand), field(LoadField::Waiting)],
        }
    }
}

impl Replica {
    fn out(&self) -> bool {
        !self.ready || matches!(self.health, Health::Out(..))
    }

    fn capacity(&self, figures: &Figures, now: Duration) -> f64 {
        let (cold, growth) = figures.cold;
        self.started.map_or(1.0, |at| (cold + growth * seconds(now.saturating_sub(at))).min(1.0))
    }

    fn bears(&self, figures: &Figures, now: Duration) -> f64 {
        if self.out() { 0.0 } else { self.weight * self.capacity(figures, now) }
    }

    fn evidence(&self) -> (f64, f64) {
        self.sights.values().fold((0.0, 0.0), |(d, m), sight| (d + sight.delivered, m + sight.dropped))
    }

    /// From here on it is judged by what comes, not by what was.
    fn judge_anew(&mut self, now: Duration, health: Health) {
        self.health = health;
        self.since = now;
        self.sights.clear();
        (self.expected, self.bend) = (0.0, 0.0);
        (self.in_hand, self.unanswered_probes) = (None, 0);
    }
}

/// Inputs only update what is known.
impl Governor {
    pub fn new(settings: Settings, now: Duration) -> Self {
        let figures = Figures::new(&settings);
        Governor {
            unheard: true,
            let_in: 1.0,
            limit: 1.0,
            levels: vec![(1.0, settings.usual_tries); figures.ladder.len()],
            drained_at: now,
            slowed: 1.0,
            wake: true,
            figures,
            ..Governor::default()
        }
    }

    /// The list, or what changed in it. What a complete list leaves out is gone.
    pub fn listed(&mut self, now: Duration, entries: &[Listed], complete: bool) {
        if complete {
            let named: BTreeSet<&ReplicaId> = entries.iter().map(|entry| &entry.id).collect();
            let unnamed = self.replicas.iter_mut().filter(|(id, _)| !named.contains(id));
            unnamed.for_each(|(_, replica)| replica.ready = false);
        }
        for entry in entries {
            let replica = self.replicas.entry(entry.id.clone()).or_default();
            if replica.started != entry.started || replica.weight == 0.0 {
                // A new process: what was held against the old one says nothing of it.
                replica.started = entry.started;
                replica.judge_anew(now, Health::Fit);
            }
            let ready = entry.phase == Phase::Ready;
            if ready && !replica.ready {
                replica.since = now;
                let probe = self.figures.probe_every.map(|every| (now + every, entry.id.clone()));
                self.due.extend(probe);
            }
            (replica.ready, replica.zone) = (ready, entry.zone);
            replica.weight = entry.weight.max(f64::MIN_POSITIVE);
        }
        let ready = self.replicas.values().filter(|one| one.ready);
        self.nominal = ready.map(|one| one.weight).sum::<f64>().max(self.nominal);
    }

    /// A proxy's stream is up; `fresh` if it holds only its standing table.
    pub fn joined(&mut self, now: Duration, proxy: ProxyId, zone: usize, usual: f64, fresh: bool) {
        self.left(proxy);
        let unlike = |one: &Replica| one.zone == zone && self.part(one, now) < 1.0;
        let unsure = !fresh || self.replicas.values().any(unlike);
        let next = self.numbers.len() as TableId;
        self.numbers.entry(proxy).or_insert(next);
        // What a proxy starting now would draw its standing table from.
        let few = self.replicas.values().filter(|one| one.ready && one.zone == zone).count() < 3;
        let drawn = self.replicas.iter().filter(|(_, one)| one.ready && (few || one.zone == zone));
        let standing = fresh.then(|| drawn.map(|(id, _)| id.clone()).collect());
        let groups = self.levels.len();
        let rates = vec![per(usual, groups as f64); groups];
        self.proxies.insert(proxy, Proxy { zone, rates, standing, unsure });
        self.joined.insert(zone, now);
    }

    pub fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.critical.retain(|(critical, _), _| *critical != proxy);
    }

    pub fn met(&mut self, now: Duration, met: Met) {
        self.heard.insert(met.zone, now);
        let Some(replica) = self.replicas.get_mut(&met.replica) else { return };
        let waiting = self.figures.load_at[1].and_then(|at| met.load.get(at));
        replica.waiting = waiting.map(|waiting| (*waiting, now)).or(replica.waiting);
        let span = seconds(met.span).max(0.001);
        let kept = (-span / self.figures.averaged).exp();
        let delivered = met.tries.saturating_sub(met.dropped) as f64;
        let sight = replica.sights.entry(met.zone).or_default();
        sight.delivered = sight.delivered * kept + delivered;
        sight.dropped = sight.dropped * kept + met.dropped as f64;
        // The first sum stands for what went before, else early answers look like few.
        let kept = if sight.last.is_zero() { 0.0 } else { kept };
        sight.rate += (met.tries as f64 / span - sight.rate) * (1.0 - kept);
        sight.last = now;
        sight.last_answer = if delivered > 0.0 { now } else { sight.last_answer };
        if let Some(mean) = met.mean.map(seconds) {
            self.pulse = (self.pulse.0 + delivered, self.pulse.1 + delivered * mean);
            let share = if sight.time > 0.0 { per(delivered, sight.delivered.max(1.0)) } else { 1.0 };
            sight.time += (mean - sight.time) * share;
        }
    }

    pub fn came(&mut self, came: Came) {
        let proxy = self.proxies.get_mut(&came.proxy);
        let Some(rate) = proxy.and_then(|proxy| proxy.rates.get_mut(came.group)) else { return };
        let span = seconds(came.span).max(0.001);
        let seen = came.flows as f64 / span;
        *rate += (seen - *rate) * (1.0 - (-span / self.figures.averaged).exp());
    }

    /// What a probe found: how long the answer took, if one came.
    pub fn probed(&mut self, now: Duration, id: &ReplicaId, took: Option<Duration>, load: &[f64]) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.unanswered_probes = if took.is_some() { 0 } else { replica.unanswered_probes + 1 };
        let known = replica.in_hand.unwrap_or(1.0);
        replica.in_hand = match self.figures.load_at[0].map(|at| load.get(at)) {
            Some(Some(in_hand)) => Some(known + (in_hand - known) / 3.0),
            // A probe waits behind flows: one unanswered tells of load where those answered tell of none.
            Some(None) if took.is_none() => Some(MUTE_GROWTH * known.max(1.0)),
            _ => replica.in_hand,
        };
        let next = self.figures.probe_every.filter(|_| replica.ready);
        self.due.extend(next.map(|every| (now + every, id.clone())));
    }

    /// A marked message took effect this long after it was ordered.
    pub fn acked(&mut self, took: Duration) {
        let usual = self.figures.transit + self.waiting / self.figures.lines_per_s;
        let slower = per(seconds(took), usual).clamp(1.0, 8.0) - self.slowed;
        self.slowed += slower * if slower > 0.0 { 0.3 } else { 0.05 };
    }

    pub fn beat(&mut self) {
        self.wake = true;
    }
    /// The next decision. What was put in is settled by the first pull after a `None`.
    pub fn decide(&mut self, now: Duration) -> Option<Decision> {
        if !self.settled {
            self.settle(now);
        }
        let next = self.out.pop_front();
        self.settled = next.is_some();
        next
    }

    fn settle(&mut self, now: Duration) {
        let beat = std::mem::take(&mut self.wake);
        if beat {
            self.out.push_back(Decision::Wake(BEAT));
            self.beats += 1;
            self.judge(now);
            if self.beats.is_multiple_of(SHED_BEATS) {
                self.shed(now);
            }
            if self.beats.is_multiple_of(SOLVE_BEATS) {
                self.bend(now);
                self.solve(now);
            }
        }
        let later = self.due.split_off(&(now + Duration::from_nanos(1), ReplicaId::default()));
        let due = std::mem::replace(&mut self.due, later).into_iter().map(|(_, id)| id);
        let ready = |id: &ReplicaId| self.replicas.get(id).is_some_and(|one| one.ready);
        self.out.extend(due.filter(ready).map(Decision::Probe));
        let ordinary = beat && now >= self.publish_at;
        let next = now + self.figures.publish_every.mul_f64(self.slowed);
        self.publish_at = if ordinary { next } else { self.publish_at };
        self.publish(now, ordinary);
    }

    /// What part of its weight a replica may be sent. In stress proxies pile onto those that still answer: a
    /// cold one would fall under a planned trickle.
    fn part(&self, replica: &Replica, now: Duration) -> f64 {
        let capacity = replica.capacity(&self.figures, now);
        let stress = if self.unheard { 0.5 } else { at(&self.stress, &replica.zone) };
        // What is bound to a zone with nothing warm can't go elsewhere: there all bear their part.
        let (bound, thin) = (self.figures.groups[1] != 0, self.thin.contains(&replica.zone));
        let wary = capacity < 1.0 && if bound { stress > 0.0 && !thin } else { stress > 0.0 || thin };
        match replica.health {
            _ if replica.out() || wary && capacity < self.figures.wariness * stress => 0.0,
            Health::Trial(_) => TRIAL_SHARE * capacity,
            _ if wary => capacity * capacity * (1.0 - stress),
            _ => capacity,
        }
    }

    fn default_weight(&self, replica: &Replica, now: Duration) -> f64 {
        let limp = if replica.bend < LIMPS_AT { replica.bend.exp() } else { 1.0 };
        replica.weight * self.part(replica, now) * limp
    }

    fn demand(&self, proxy: &Proxy, groups: GroupSet) -> f64 {
        let rates = proxy.rates.iter().zip(&self.levels).enumerate();
        let rates = rates.filter(|(place, _)| groups >> (*place).min(63) & 1 == 1);
        rates.map(|(_, (rate, (level, _)))| rate * level).sum()
    }

    /// Flows a second by replica that a proxy's tables now stand for.
    fn sends(&self, unit: Unit) -> Lines {
        let Some(proxy) = self.proxies.get(&unit.0) else { return Lines::new() };
        let open = |id: &ReplicaId| self.replicas.get(id).filter(|replica| !replica.withdrawn);
        let mut lines: Lines = match &proxy.standing {
            Some(held) => held.iter().filter_map(|id| Some((id.clone(), open(id)?.weight))).collect(),
            None => self.tables.get(&unit).cloned().unwrap_or_default(),
        };
        lines.retain(|id, _| open(id).is_some());
        let scale = per(self.demand(proxy, self.figures.groups[unit.1]), lines.values().sum());
        lines.values_mut().for_each(|rate| *rate *= scale);
        lines
    }

    /// Health, by symptom: no answers where answers are due, or far more drops than the fleet has.
    fn judge(&mut self, now: Duration) {
        // Drops of what is withdrawn tell nothing of the load on what is left.
        let open = |one: &Replica| if one.out() { (0.0, 0.0) } else { one.evidence() };
        let (tries, dropped) =
            (self.by_zone(|one| open(one).0 + open(one).1), self.by_zone(|one| open(one).1));
        let whole: f64 = tries.values().sum();
        let usual_drops = per(dropped.values().sum(), whole.max(1.0));
        self.unheard = self.unheard && whole < HEARD_ENOUGH;
        let of = |zone: &usize, drops: f64| per(drops, at(&tries, zone).max(0.4 * HEARD_ENOUGH));
        let share = |(zone, drops): (usize, f64)| (zone, of(&zone, drops).max(usual_drops));
        self.stress = dropped.into_iter().map(share).filter(|(_, share)| *share > STRESSED_AT).collect();
        let suspects = self.suspects(now, usual_drops);
        self.withdraw_worst(now, suspects, usual_drops);
        self.take_back(now);
        for replica in self.replicas.values_mut() {
            let (delivered, dropped) = replica.evidence();
            match replica.health {
                Health::Out(until, times) if now >= until && replica.unanswered_probes == 0 => {
                    replica.judge_anew(now, Health::Trial(times));
                }
                Health::Trial(_) if delivered >= 4.0 && dropped < 0.25 * delivered => {
                    replica.health = Health::Fit;
                }
                _ => {}
            }
        }
    }

    /// Replicas that look ill beside the fleet, by how ill; those that failed their trial come first.
    fn suspects(&mut self, now: Duration, usual_drops: f64) -> Vec<(f64, ReplicaId)> {
        let mut sending: BTreeMap<ReplicaId, BTreeMap<usize, f64>> = BTreeMap::new();
        for (&id, proxy) in &self.proxies {
            for (replica, rate) in (0..2).flat_map(|kind| self.sends((id, kind))) {
                *sending.entry(replica).or_default().entry(proxy.zone).or_insert(0.0) += rate;
            }
        }
        let sights = self.replicas.values().flat_map(|replica| replica.sights.values());
        let (flows, time) =
            sights.fold((0.0, 0.0), |(n, t), sight| (n + sight.delivered, t + sight.delivered * sight.time));
        // Tables, answers and sums all take their time before silence means anything.
        let answering = Duration::from_secs_f64(1.5 * time / flows.max(1.0));
        let settling = self.figures.settling + answering;
        let ready = self.replicas.values().filter(|one| one.ready);
        let (ready, mute) =
            ready.fold((0, 0), |(n, m), one| (n + 1, m + u32::from(one.unanswered_probes >= 2)));
        let (mean, _) = self.mean_utilisation(now);
        let mut suspects = Vec::new();
        for (id, replica) in self.replicas.iter().filter(|(_, replica)| replica.ready) {
            let (delivered, dropped) = replica.evidence();
            let last = replica.sights.values().map(|sight| sight.last_answer).max().unwrap_or_default();
            let from = (last + answering).max(replica.since + settling);
            let zones = sending.get(id).into_iter().flatten();
            // A zone whose sums stopped, or whose proxies just came, says nothing by its silence.
            let owed = |zone: &usize| {
                let from = from.max(self.joined.get(zone).copied().unwrap_or(now) + settling);
                seconds(self.heard.get(zone).copied().unwrap_or_default().saturating_sub(from))
            };
            let (rate, due) = zones.fold((0.0, 0.0), |(all, due), (zone, r)| (all + r, due + r * owed(zone)));
            // A line just widened has sent nothing yet.
            let due = due * per(replica.expected, rate).min(1.0);
            let share = per(dropped, (delivered + dropped).max(1.0));
            // A probe waits behind flows: unanswered ones count only where they are rare in the fleet.
            let mute = replica.unanswered_probes >= 2 && 5 * mute <= ready;
            let silent = due >= if mute { 0.25 * SILENT_AFTER } else { SILENT_AFTER };
            let unusual = (3.0 * usual_drops).min(0.5 + 0.5 * usual_drops).max(0.3);
            let failing = dropped >= 4.0 && share >= unusual;
            // One that only drops is dead, however many others are too.
            let silent = silent || dropped >= 4.0 && share > 0.95;
            // One that drops for its queue is overloaded: withdrawing it would tip the next.
            let busy = self.utilisation(replica, now).is_some_and(|held| held > 1.3 * mean)
                || replica.waiting.is_some_and(|(waiting, _)| waiting >= 2.0);
            match replica.health {
                Health::Fit if silent => suspects.push((1.0 + due, id.clone())),
                Health::Fit if failing && !busy => suspects.push((share, id.clone())),
                Health::Trial(_) if silent || dropped > delivered.max(1.0) => {
                    suspects.push((f64::MAX, id.clone()))
                }
                _ => {}
            }
        }
        for (id, replica) in &mut self.replicas {
            let rate: f64 = sending.get(id).map_or(0.0, |zones| zones.values().sum());
            replica.expected += (rate - replica.expected) * seconds(BEAT) / self.figures.averaged;
            // Kept out of all tables it owes no answers, nor for those that the first lines take to come.
            replica.since = if rate == 0.0 { now } else { replica.since };
        }
        suspects.sort_by(|one, other| other.0.total_cmp(&one.0));
        suspects
    }

    /// Withdraws the worst, never so many that the rest, or what is left of a zone, could not bear it.
    fn withdraw_worst(&mut self, now: Duration, suspects: Vec<(f64, ReplicaId)>, usual_drops: f64) {
        let ready = self.replicas.values().filter(|one| one.ready).count();
        let mut out = self.replicas.values().filter(|one| one.ready && one.out()).count();
        // Many that drop in part are the fleet's trouble: of these only the worst one goes.
        let many = 4 * suspects.len() > ready && usual_drops > 0.2;
        for (place, (ill, id)) in suspects.into_iter().enumerate() {
            let zone = self.replicas[&id].zone;
            let own = self.replicas.iter().filter(|(_, one)| one.zone == zone && one.ready);
            let own = own.map(|(other, one)| (!one.out() && *other != id, one.capacity(&self.figures, now)));
            let (all, left, warm) = own.fold((0.0, 0.0, false), |(all, left, warm), (open, capacity)| {
                let open_part = if open { capacity } else { 0.0 };
                (all + capacity, left + open_part, warm || open_part >= 1.0)
            });
            let bares =
                self.figures.groups[1] != 0 && (!warm || left < all * if ill < 1.0 { 0.7 } else { 0.34 });
            let Some(replica) = self.replicas.get_mut(&id) else { continue };
            let times = if let Health::Trial(times) = replica.health { times } else { 0 };
            let spared = many && place > 0 && ill < 1.0 || 10 * (out + 1) > 4 * ready || bares;
            if times > 0 || !spared {
                out += 1;
                let until = now + FIRST_WAIT * 2u32.pow(times.min(4));
                replica.judge_anew(now, Health::Out(until, times + 1));
            }
        }
    }

    /// Where nothing warm is open an ill replica is better than none, as when drains follow a withdrawal.
    fn take_back(&mut self, now: Duration) {
        let mut best: BTreeMap<usize, f64> = BTreeMap::new();
        for one in self.replicas.values().filter(|one| one.ready) {
            let open = if one.out() { 0.0 } else { one.capacity(&self.figures, now) };
            best.entry(one.zone).and_modify(|best| *best = best.max(open)).or_insert(open);
        }
        let (bound, fleet) = (self.figures.groups[1] != 0, best.values().copied().fold(0.0, f64::max));
        for replica in self.replicas.values_mut().filter(|one| one.ready && one.out()) {
            let best = if bound { at(&best, &replica.zone) } else { fleet };
            if best == 0.0 || best < 1.0 && replica.capacity(&self.figures, now) >= 1.0 {
                replica.judge_anew(now, Health::Fit);
            }
        }
        self.thin = best.into_iter().filter(|(_, best)| *best < 1.0).map(|(zone, _)| zone).collect();
    }

    fn by_zone(&self, of: impl Fn(&Replica) -> f64) -> BTreeMap<usize, f64> {
        let mut zones = BTreeMap::new();
        self.replicas.values().for_each(|one| *zones.entry(one.zone).or_insert(0.0) += of(one));
        zones
    }

    /// The default of each zone, by kind of table: own zone first, spilling over where that can't bear it.
    fn defaults(&self, now: Duration) -> BTreeMap<(usize, usize), Lines> {
        let weight = |one: &Replica| self.default_weight(one, now);
        let bears = self.by_zone(weight);
        let (mut bound, mut all) = (BTreeMap::new(), BTreeMap::new());
        for one in self.proxies.values() {
            *bound.entry(one.zone).or_insert(0.0) += self.demand(one, self.figures.groups[1]);
            *all.entry(one.zone).or_insert(0.0) += self.demand(one, GroupSet::MAX);
        }
        let zones: Vec<usize> = all.keys().copied().collect();
        // Other governors' proxies are unheard: taken to be spread as the fleet's sizes are.
        let joined = self.proxies.len() as f64;
        let mine: f64 = all.values().sum();
        let unheard = per(mine, joined) * (self.figures.shared - joined).max(0.0);
        let sizes = self.by_zone(|one| if one.ready { one.weight } else { 0.0 });
        let each = per(unheard, sizes.values().sum());
        sizes.iter().for_each(|(zone, size)| *all.entry(*zone).or_insert(0.0) += each * size);
        let slack = ZONE_SLACK * per(all.values().sum(), bears.values().sum());
        // Demand that the fleet does not answer shows no room: it would only fell the cold.
        let flowing = if self.unheard { 1.0 } else { per(self.answered(), mine).min(1.0) };
        let spare = |zone: &usize| (slack * at(&bears, zone) - at(&all, zone)).max(0.0);
        let mut defaults = BTreeMap::new();
        for zone in zones {
            let (own, bound, all) = (at(&bears, &zone), at(&bound, &zone), at(&all, &zone));
            let mut here = self.replicas.values().filter(|one| one.zone == zone);
            let hurt = here.clone().any(|one| weight(one) < one.weight) || all > OVERFULL * slack * own;
            let cold = here.any(|one| !one.out() && one.capacity(&self.figures, now) < 1.0);
            let slack = slack * if cold { flowing } else { 1.0 };
            // Where nothing is warm, what is bound there needs all of it, and the rest goes elsewhere.
            let kept = match self.figures.groups[1] != 0 && self.thin.contains(&zone) {
                true => 0.0,
                false if hurt => per(slack * own - bound, all - bound).clamp(0.05, 1.0),
                false => 1.0,
            };
            let elsewhere: f64 = bears.keys().filter(|other| **other != zone).map(spare).sum();
            for kind in 0..2 {
                let part = |other: usize| match (other == zone, kind) {
                    (true, 0) => kept,
                    (true, _) => 1.0,
                    (false, 0) if kept < 0.95 => {
                        own.max(1.0) * (1.0 - kept) * per(per(spare(&other), elsewhere), bears[&other])
                    }
                    _ => 0.0,
                };
                let mut lines = self.lines(|one| weight(one) * part(one.zone));
                if lines.is_empty() {
                    let open = |one: &Replica| kind == 0 || one.zone == zone;
                    lines = self.lines(|one| if open(one) { one.bears(&self.figures, now) } else { 0.0 });
                }
                defaults.insert((zone, kind), lines);
            }
        }
        defaults
    }

    fn lines(&self, weigh: impl Fn(&Replica) -> f64) -> Lines {
        let lines = self.replicas.iter().map(|(id, one)| (id.clone(), weigh(one)));
        lines.filter(|(_, weight)| *weight > 0.0).collect()
    }

    /// Whether a standing table, as far as it is open, no longer does what the zone's default would.
    fn rotten(&self, standing: &BTreeSet<ReplicaId>, default: &Lines) -> bool {
        let open = standing.iter().filter(|id| self.replicas.get(*id).is_some_and(|one| !one.out()));
        let less = |(id, weight): (&ReplicaId, &f64)| *weight < self.replicas[id].weight;
        !open.eq(default.keys()) || default.iter().any(less)
    }

    /// Pace: all orders leave here, urgent ones first, as one message to each proxy concerned.
    fn publish(&mut self, now: Duration, ordinary: bool) {
        let drained = seconds(now.saturating_sub(self.drained_at)) * self.figures.lines_per_s / self.slowed;
        (self.waiting, self.drained_at) = ((self.waiting - drained).max(0.0), now);
        let (most, over) = self.figures.flushes;
        self.flushes.retain(|at| *at + over > now);
        let urgent = self.replicas.values().any(|one| one.out() && !one.withdrawn);
        // The fuller the span is, the longer an urgent one waits for others to go with it.
        let gap = over.mul_f64(self.flushes.len() as f64 / (most as f64).powi(2));
        let soon = self.flushes.back().is_some_and(|last| now < *last + gap);
        let flush = (ordinary || urgent && !soon) && self.flushes.len() < most && !self.proxies.is_empty();
        let first = self.out.len();
        if flush {
            self.withdraw(true);
        }
        if flush || self.proxies.values().any(|proxy| proxy.unsure) {
            self.tables(now, flush);
        }
        if !flush {
            return;
        }
        self.withdraw(false);
        self.level(now);
        if self.out.len() > first {
            // At most what was ordered goes to every proxy, and each message has its head.
            let orders = (self.out.len() - first) as f64 + self.figures.head;
            self.waiting += orders * self.proxies.len() as f64;
            self.flushes.push_back(now);
            self.marks = (self.marks + 1) % u16::MAX;
            self.out.push_back(Decision::Mark(self.marks));
        }
    }

    fn withdraw(&mut self, out: bool) {
        for (id, replica) in
            self.replicas.iter_mut().filter(|(_, one)| one.out() == out && one.withdrawn != out)
        {
            replica.withdrawn = out;
            self.out.push_back(Decision::Withdraw(id.clone(), out));
        }
    }

    /// Default repair and solved tables: what each proxy should hold, to those whose table it is not.
    fn tables(&mut self, now: Duration, flush: bool) {
        let defaults = self.defaults(now);
        let mut bearable = self.cold_zones(now);
        let ids: Vec<ProxyId> = self.proxies.keys().copied().collect();
        for id in ids {
            let proxy = &self.proxies[&id];
            let zone = proxy.zone;
            let rotten = proxy.standing.as_ref().is_some_and(|standing| {
                self.critical.keys().any(|(critical, _)| *critical == id)
                    || self.rotten(standing, &defaults[&(zone, 0)])
            });
            let bind = proxy.unsure || flush && rotten;
            if !(bind || flush && proxy.standing.is_none()) {
                continue;
            }
            if self.waiting + self.replicas.len() as f64 > self.figures.waiting_most {
                break;
            }
            let mut sent = 0;
            let groups = self.figures.groups;
            for kind in (0..2).filter(|kind| groups[*kind] != 0) {
                let mut wanted = self.wanted((id, kind), &defaults[&(zone, kind)], now);
                if let Some(left) = bearable.get_mut(&zone).filter(|_| kind == 1) {
                    *left -= self.demand(&self.proxies[&id], groups[1]);
                    wanted.retain(|_, _| *left > 0.0);
                }
                sent += self.lay((id, kind), wanted, bind);
            }
            self.waiting += sent as f64;
            if let Some(proxy) = self.proxies.get_mut(&id).filter(|_| bind) {
                (proxy.unsure, proxy.standing) = (false, None);
            }
        }
    }

    /// Flows a second that may go to zones with nothing warm. What is bound there beyond that goes nowhere.
    fn cold_zones(&self, now: Duration) -> BTreeMap<usize, f64> {
        let bears = self.by_zone(|one| one.bears(&self.figures, now));
        let each = COLD_SLACK * per(self.answered(), bears.values().sum());
        let cold =
            bears.into_iter().filter(|(zone, _)| self.figures.groups[1] != 0 && self.thin.contains(zone));
        cold.map(|(zone, bears)| (zone, each * bears)).collect()
    }

    /// The lines that a proxy should hold: its solved ones while they stand, else its zone's default.
    fn wanted(&self, unit: Unit, default: &Lines, now: Duration) -> Lines {
        let mut solved = self.critical.get(&unit).cloned().unwrap_or_default();
        solved.retain(|id, _| self.part(&self.replicas[id], now) > 0.0);
        // The solver, or the loss of its other lines, would lean on a cold replica beside busy ones.
        let cold = |lines: &Lines| {
            let cold = lines.iter().filter(|(id, _)| self.replicas[*id].capacity(&self.figures, now) < 1.0);
            per(cold.map(|(_, weight)| weight).sum(), lines.values().sum())
        };
        if solved.is_empty() || cold(&solved) > cold(default) { default.clone() } else { solved }
    }

    /// Orders what differs from the table as last sent; gives the lines this costs.
    fn lay(&mut self, unit: Unit, wanted: Lines, bind: bool) -> usize {
        let table = self.tables.entry(unit).or_default();
        let gone = table.keys().filter(|id| !wanted.contains_key(*id));
        let mut lines: Vec<(ReplicaId, f64)> = gone.map(|id| (id.clone(), 0.0)).collect();
        for (id, weight) in &wanted {
            let (weight, held) = ((weight * 1000.0).round().max(1.0) / 1000.0, at(table, id));
            if (weight - held).abs() > WORTH_SENDING * weight.max(held) {
                lines.push((id.clone(), weight));
            }
        }
        table.extend(lines.iter().cloned());
        table.retain(|_, weight| *weight > 0.0);
        let number = 2 * self.numbers[&unit.0] + unit.1 as TableId;
        let cost = if bind { 1 + table.len() } else { lines.len() };
        if !lines.is_empty() {
            self.out.push_back(Decision::Lines(number, lines));
        }
        if bind {
            self.out.push_back(Decision::Follow(unit.0, number, self.figures.groups[unit.1]));
        }
        cost
    }

    /// Heard load by listed weight, where any is heard: flows in hand, by probes or else by Little's law.
    fn utilisation(&self, replica: &Replica, now: Duration) -> Option<f64> {
        let load = |(zone, sight): (&usize, &Sight)| {
            let heard = self.heard.get(zone).copied().unwrap_or_default();
            let age = seconds(heard.saturating_sub(sight.last));
            sight.rate * sight.time * (-age / self.figures.averaged).exp()
        };
        let loads = replica.sights.iter().filter(|(_, sight)| sight.rate > 0.0).map(load);
        let load = replica.in_hand.or_else(|| loads.reduce(|one, other| one + other))?;
        Some(load / replica.weight / replica.capacity(&self.figures, now))
    }

    fn mean_utilisation(&self, now: Duration) -> (f64, f64) {
        let (mut load, mut bears, mut peak) = (0.0, 0.0, 0.0f64);
        for replica in self.replicas.values().filter(|one| self.part(one, now) > 0.0) {
            let Some(utilisation) = self.utilisation(replica, now) else { continue };
            let weight = replica.weight * replica.capacity(&self.figures, now);
            (load, bears, peak) = (load + utilisation * weight, bears + weight, peak.max(utilisation));
        }
        (per(load, bears), peak)
    }

    /// The page's Weak: a slow replica holds more flows at the same rate, so its room bends towards the mean.
    fn bend(&mut self, now: Duration) {
        let (mean, _) = self.mean_utilisation(now);
        let heard: Vec<Option<f64>> = self.replicas.values().map(|one| self.utilisation(one, now)).collect();
        for (replica, heard) in self.replicas.values_mut().zip(heard) {
            let step = heard.map_or(0.0, |heard| BEND_STEP * per(mean, heard.max(1e-9)).max(1e-9).ln());
            replica.bend = (BEND_KEPT * replica.bend + step.clamp(-0.5, 0.2)).clamp(-1.4, 0.25);
        }
    }

    /// The critical set: greedy from the previous one, kept small, taken only at a higher payoff.
    fn solve(&mut self, now: Duration) {
        let (mean, peak) = self.mean_utilisation(now);
        self.cycles_below = if mean < TARGET * peak { self.cycles_below + 1 } else { 0 };
        let field = self.field(now);
        let most = (self.proxies.len() as f64 * CRITICAL_SHARE).ceil() as usize;
        let mut set: BTreeSet<ProxyId> = self.critical.keys().map(|(id, _)| *id).collect();
        let mut best = field.payoff(&Solved::new());
        while self.cycles_below >= CYCLES_BELOW {
            let solved = field.fill(&set, self.figures.crossing);
            let (payoff, ratio) = (field.payoff(&solved), field.ratio(&solved));
            let next = field.sends_most(&solved, &set).filter(|_| ratio < TARGET && set.len() < most);
            if payoff > best && !solved.is_empty() {
                best = payoff;
                self.critical = solved;
                for lines in self.critical.values_mut() {
                    let scale = per(100.0, lines.values().sum());
                    lines.values_mut().for_each(|rate| *rate *= scale);
                    lines.retain(|_, weight| *weight >= 1.5);
                }
            }
            let Some(next) = next else { break };
            set.insert(next);
        }
    }

    fn field(&self, now: Duration) -> Field {
        let mut field = Field::default();
        for (&id, proxy) in &self.proxies {
            for unit in [(id, 0), (id, 1)] {
                let rates = self.sends(unit);
                if rates.values().sum::<f64>() > 0.0 {
                    field.units.insert(unit, (proxy.zone, rates));
                }
            }
        }
        let weight = |one: &Replica| one.weight * self.part(one, now);
        let fleet = per(field.whole(), self.replicas.values().map(weight).sum());
        for (id, replica) in self.replicas.iter().filter(|(_, one)| weight(one) > 0.0) {
            field.rooms.insert(id.clone(), (replica.zone, fleet * weight(replica) * replica.bend.exp()));
        }
        field
    }

    /// Levels go by the fleet's mean answer: a trouble of a few replicas doesn't move that far enough.
    fn shed(&mut self, now: Duration) {
        let (answers, time) = std::mem::take(&mut self.pulse);
        if answers < 0.2 * HEARD_ENOUGH {
            return;
        }
        let late = time / answers / self.figures.budget;
        // What answers took tells of queues that may have drained since: reports of flows waiting say so.
        let reports = self.replicas.values().filter_map(|one| one.waiting);
        let echo = self.figures.settling + 4 * BEAT;
        let reports = reports.filter(|(_, at)| *at + echo > now);
        let (all, queued) = reports.fold((0, 0), |(n, q), (queue, _)| (n + 1, q + u32::from(queue >= 1.0)));
        if late > LATE && 2 * queued >= all && now >= self.cut_at + echo {
            // Jammed replicas answer as many as they can: let in a little less, to drain their queues.
            let bears = DRAINING * self.answered();
            let offered: f64 = self.proxies.values().flat_map(|proxy| &proxy.rates).sum();
            self.limit = per(self.answered(), offered).min(1.0);
            self.let_in = per(bears, offered).min(0.95 * self.let_in).max(0.2);
            self.cut_at = now;
        } else if late < 0.7 * LATE || 3 * queued < all {
            // Beyond what jammed the fleet it feels its way.
            let growth = if self.let_in < self.limit { (0.7 * LATE / late).clamp(1.05, 1.15) } else { 1.02 };
            self.let_in = (self.let_in * growth).min(1.0);
        }
    }

    fn answered(&self) -> f64 {
        let sights = self.replicas.values().flat_map(|one| one.sights.values());
        sights.map(|one| one.rate * per(one.delivered, one.delivered + one.dropped)).sum()
    }

    fn level(&mut self, now: Duration) {
        let demand = |place: &usize| self.proxies.values().map(|proxy| proxy.rates[*place]).sum();
        let demand: Vec<f64> = self.figures.ladder.iter().map(demand).collect();
        // A fleet mostly cold would fall to its usual load: let in what is open can bear of that.
        let bears: f64 = self.replicas.values().map(|one| one.bears(&self.figures, now)).sum();
        let most = per(bears, SIZED_FOR * self.nominal).min(1.0);
        let cut = if self.figures.levels { 1.0 - self.let_in.min(most) } else { 0.0 };
        let mut excess = cut * demand.iter().sum::<f64>();
        // A further try in overload takes a place from a first one; a proven first drop is safe to try again.
        let tries = if self.let_in < 1.0 { FurtherTries::Never } else { FurtherTries::IfNeverRan };
        for (&place, demand) in self.figures.ladder.iter().zip(demand) {
            let level = 1.0 - per(excess.clamp(0.0, demand), demand).min(1.0);
            excess -= demand;
            let level = ((level * 20.0).round() / 20.0, tries);
            if self.levels[place] != level && !self.unheard {
                self.levels[place] = level;
                self.out.push_back(Decision::Level(1 << place, level.0, tries));
            }
        }
    }
}

#[derive(Default)]
struct Field {
    /// By replica: its zone, and the rate at which its utilisation is taken to be the mean one.
    rooms: BTreeMap<ReplicaId, (usize, f64)>,
    units: BTreeMap<Unit, (usize, Lines)>,
}

impl Field {
    fn whole(&self) -> f64 {
        self.units.values().flat_map(|(_, rates)| rates.values()).sum()
    }

    /// Rates by replica with these units' lines in place of their present ones.
    fn totals(&self, solved: &Solved) -> Lines {
        let mut totals = Lines::new();
        for (unit, (_, rates)) in &self.units {
            for (id, rate) in solved.get(unit).unwrap_or(rates) {
                *totals.entry(id.clone()).or_insert(0.0) += rate;
            }
        }
        totals
    }

    fn hottest(&self, solved: &Solved) -> Option<(&ReplicaId, f64)> {
        let totals = self.totals(solved);
        let loads = self.rooms.iter().map(|(id, (_, room))| (id, per(at(&totals, id), *room)));
        loads.max_by(|one, other| one.1.total_cmp(&other.1))
    }

    fn ratio(&self, solved: &Solved) -> f64 {
        let mean = per(self.whole(), self.rooms.values().map(|(_, room)| room).sum());
        self.hottest(solved).map_or(1.0, |(_, peak)| per(mean, peak).min(1.0))
    }

    /// The page's payoff: the ratio, less the rerouted share of traffic times a penalty.
    fn payoff(&self, solved: &Solved) -> f64 {
        let moves = solved.iter().flat_map(|(unit, lines)| {
            let old = &self.units[unit].1;
            lines.iter().map(|(id, rate)| (rate - at(old, id)).max(0.0))
        });
        let ratio = self.ratio(solved);
        ratio - per(moves.sum(), self.whole()) * if ratio < TARGET { PENALTIES.0 } else { PENALTIES.1 }
    }

    /// The proxy outside the set that sends most to the hottest replica.
    fn sends_most(&self, solved: &Solved, set: &BTreeSet<ProxyId>) -> Option<ProxyId> {
        let (hottest, _) = self.hottest(solved)?;
        let mut sends: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for ((id, _), (_, rates)) in self.units.iter().filter(|((id, _), _)| !set.contains(id)) {
            *sends.entry(*id).or_insert(0.0) += at(rates, hottest);
        }
        let most = sends.into_iter().max_by(|one, other| one.1.total_cmp(&other.1));
        most.filter(|(_, rate)| *rate > 0.0).map(|(id, _)| id)
    }

    /// Water-fills the units of the set, largest first, against all others, twice over.
    fn fill(&self, set: &BTreeSet<ProxyId>, crossing: f64) -> Solved {
        let chosen = self.units.iter().filter(|((id, _), _)| set.contains(id));
        let mut chosen: Vec<(&Unit, usize, f64)> =
            chosen.map(|(unit, (zone, rates))| (unit, *zone, rates.values().sum())).collect();
        chosen.sort_by(|one, other| other.2.total_cmp(&one.2));
        let mut solved = Solved::new();
        for &(unit, zone, demand) in chosen.iter().chain(&chosen) {
            solved.insert(*unit, Lines::new());
            let others = self.totals(&solved);
            let reach = self.rooms.iter().filter(|(_, (there, _))| unit.1 == 0 || *there == zone);
            let vessels = reach.map(|(id, (there, room))| {
                let price = if *there == zone { 1.0 } else { crossing };
                (per(at(&others, id) * price, *room), room / price, id)
            });
            let mut vessels: Vec<_> = vessels.collect();
            vessels.sort_by(|one, other| one.0.total_cmp(&other.0));
            vessels.truncate(COOLEST);
            solved.insert(*unit, pour(demand, &vessels));
        }
        solved.retain(|_, lines| !lines.is_empty());
        solved
    }
}

/// Pours a rate into vessels of (level, room), coolest first, so that the highest level stays lowest.
fn pour(rate: f64, vessels: &[(f64, f64, &ReplicaId)]) -> Lines {
    let (mut room, mut held, mut level) = (0.0, rate, 0.0);
    for (place, vessel) in vessels.iter().enumerate() {
        room += vessel.1;
        held += vessel.0 * vessel.1;
        level = per(held, room);
        if vessels.get(place + 1).is_none_or(|next| next.0 >= level) {
            break;
        }
    }
    let poured = vessels.iter().map(|(at, room, id)| ((*id).clone(), (level - at) * room));
    poured.filter(|(_, rate)| *rate > 0.0).collect()
}
