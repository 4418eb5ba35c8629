//! All decisions: which tables a service's plain proxies hold, and when they hear of it.
//!
//! A host makes one [`Governor`] for each governor process, calls its inputs (`listed`, `joined`, `left`, `met`,
//! `came`, `probed`, `acked`, `beat`) as things happen, which only update what is known, and after each batch
//! of inputs pulls [`Governor::decide`] until it gives `None`. What is pulled in one go is one message to each
//! proxy concerned. The types both sides use stand in `interface.rs`.
//!
//! The mechanism is FlexDATE's (`docs/design.md`): proxies stay on standing default tables, a few critical
//! ones get solved tables. The parts, in order of precedence: withdraw, health, cold, default repair, critical
//! set and solve, levels and further tries, pace.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::interface::*;

#[cfg(test)]
mod tests;

/// Everything due is looked at this often; finer would only split what one message could carry.
const BEAT: Duration = Duration::from_millis(250);
/// The design page's periods: gathered changes, and re-solving.
const PUBLISH_EVERY: Duration = Duration::from_millis(500);
const SOLVE_EVERY: Duration = Duration::from_secs(2);
/// The paper's target for the ratio, and the cycles below it before the solver runs.
const TARGET: f64 = 0.9;
const CYCLES_BELOW: u32 = 3;
/// Levels are looked at this often, and cut once the mean answer takes this share of the latency budget.
const SHED_EVERY: Duration = Duration::from_secs(1);
const LATE: f64 = 0.5;
/// What is let in of what jammed replicas answer, until their queues have drained.
const DRAINING: f64 = 0.77;
/// The design page's penalties on rerouted traffic, below and above the target.
const PENALTIES: (f64, f64) = (0.5, 1.0);
/// A new critical set must beat the old by more than this, else the sums' noise would move it.
const WORTH_CHANGING: f64 = 0.01;
/// Share of this governor's proxies that may be critical.
const CRITICAL_SHARE: f64 = 0.15;
/// Probes are cheap, but each costs its replica work.
const PROBE_EVERY: Duration = Duration::from_secs(2);
/// Flows in hand are taken to grow by this with each unanswered probe, up to what swamps any replica.
const MUTE_GROWTH: f64 = 1.3;
const MUTE_MOST: f64 = 50.0;
/// Most lines in a solved table.
const COOLEST: usize = 30;
/// A line goes out again once its weight has moved by this share: less is within the noise of the sums.
const WORTH_SENDING: f64 = 0.12;
/// A zone carries up to this multiple of the fleet's utilisation before its default spills over.
const ZONE_SLACK: f64 = 1.15;
/// Tries heard before their drops mean anything, and the share of drops from which the fleet counts as stressed.
const HEARD_ENOUGH: f64 = 50.0;
const STRESSED_AT: f64 = 0.05;
/// A cold replica must have this multiple of the stress as capacity to be sent anything: the second where proxies
/// avoid replicas that fail them, and so may leave it alone with all their flows.
const WARINESS: (f64, f64) = (1.2, 3.0);
/// What the cold replicas of a zone without warm ones are sent, by what the fleet's replicas answer for their
/// capacity: they fall at a stated multiple, 2 or more, and chance takes its part.
const COLD_SLACK: f64 = 1.2;
/// How far one cycle bends a room towards the mean utilisation (an exponent).
const BEND_STEP: f64 = 0.25;
/// A room bent below this (to 0.7 of its fair share) is no noise: the few critical proxies can't unload that replica alone.
const LIMPS_AT: f64 = -0.35;
/// What one cycle keeps of a bend: without news it fades over some twenty.
const BEND_KEPT: f64 = 0.95;
/// Answers that should have come by now: with this many, chance leaves none once in some thousand looks.
const SILENT_AFTER: f64 = 8.0;
/// First wait before a withdrawn replica is tried again; each failed trial doubles it.
const FIRST_WAIT: Duration = Duration::from_secs(4);
/// A replica on trial is sent this share of its usual part, and all of it once the trial is over.
const TRIAL_SHARE: f64 = 0.1;

/// What the settings come down to.
#[derive(Default)]
struct Figures {
    /// The two kinds of table of a proxy: for groups free to cross, and for those bound to the own zone.
    groups: [GroupSet; 2],
    /// The groups from the least utility per work up.
    ladder: Vec<usize>,
    levels: bool,
    /// Seconds within which a typical flow wants its answer.
    budget: f64,
    subscribes: bool,
    standing: usize,
    /// All proxies, where other governors have some of them; else none.
    shared: f64,
    /// Worst-case share of its capacity that a replica starts with, and by how much it grows a second.
    cold: (f64, f64),
    /// What multiple of the stress a cold replica must have as capacity.
    wariness: f64,
    /// How much cooler a replica of another zone must be to be preferred.
    crossing: f64,
    /// Seconds over which sums are averaged: the page's 5 reports.
    averaged: f64,
    /// How long an order takes to show in the sums.
    settling: Duration,
    publish_every: Duration,
    /// Flushes within a span; one message to each proxy is kept for its joining.
    flushes: (usize, Duration),
    lines_per_s: f64,
    head: f64,
    /// Lines that may wait, less a reserve for what is urgent.
    waiting_most: f64,
    transit: f64,
    probe_every: Option<Duration>,
    in_hand_at: Option<usize>,
    waiting_at: Option<usize>,
}

#[derive(Clone, Copy, Default, PartialEq, Debug)]
enum Health {
    #[default]
    Fit,
    /// Withdrawn until then, after so many failures in a row.
    Out(Duration, u32),
    /// On trial, after so many failures in a row.
    Trial(u32),
}

/// What one zone's proxies met at a replica; evidence fades with time.
#[derive(Clone, Default)]
struct Sight {
    delivered: f64,
    dropped: f64,
    /// Tries a second and seconds an answer, averaged.
    rate: f64,
    time: f64,
    last: Duration,
    last_answer: Duration,
}

#[derive(Default)]
struct Replica {
    zone: usize,
    weight: f64,
    phase: Phase,
    started: Option<Duration>,
    health: Health,
    /// Told to joined proxies.
    withdrawn: bool,
    /// Silence counts only from here on: what went before was met under other tables.
    since: Duration,
    sights: BTreeMap<usize, Sight>,
    /// Flows a second it should have been sent of late, averaged.
    expected: f64,
    /// How its room bends from its fair share (a logarithm): below 0 for one that holds more than its part.
    bend: f64,
    /// Its room has bent so far that defaults must heed it too.
    limps: bool,
    in_hand: Option<f64>,
    /// Flows waiting there, by its last report, and when that came.
    waiting: Option<(f64, Duration)>,
    unanswered_probes: u32,
}

struct Proxy {
    zone: usize,
    /// Flows a second by group, blocked ones too: what is usual, until more is heard.
    rates: Vec<f64>,
    /// What its standing table is taken to hold, while it is on it.
    standing: Option<BTreeSet<ReplicaId>>,
    /// Holds nobody knows what: must follow own tables before anything else can be said of it.
    unsure: bool,
}

type Lines = BTreeMap<ReplicaId, f64>;
/// A proxy's flows of one kind of table.
type Unit = (ProxyId, usize);

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Publish,
    Solve,
    Shed,
    Probe(ReplicaId),
}

/// One governor's knowledge, and the decisions that wait to be pulled.
#[derive(Default)]
pub struct Governor {
    figures: Figures,
    replicas: BTreeMap<ReplicaId, Replica>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// The lines of each own table as last sent, kept over a broken stream: tables outlive it here.
    tables: BTreeMap<Unit, Lines>,
    numbers: BTreeMap<ProxyId, TableId>,
    /// Critical proxies and their solved lines.
    critical: BTreeMap<Unit, Lines>,
    cycles_below: u32,
    /// By zone: the share of tries dropped by its replicas, or the fleet's if that is more, where it is not little.
    stress: BTreeMap<usize, f64>,
    /// Too little is heard yet to tell: half is assumed, as a governor may restart in mid-trouble.
    unheard: bool,
    /// Scopes with no warm replica open: nothing to hold load on instead.
    thin: BTreeSet<usize>,
    /// By zone: when sums of it last came, and when a proxy of it last joined.
    heard: BTreeMap<usize, Duration>,
    joined: BTreeMap<usize, Duration>,
    /// The share of flows let in, when it was last cut, and answers and their seconds since the last look.
    let_in: f64,
    cut_at: Duration,
    pulse: (f64, f64),
    levels: Vec<(f64, FurtherTries)>,
    due: BTreeSet<(Duration, Due)>,
    flushes: VecDeque<Duration>,
    /// Lines taken to wait in the channel, as of then, and how much slower than stated it seems.
    waiting: f64,
    drained_at: Duration,
    slowed: f64,
    marks: u16,
    wake: bool,
    stirred: bool,
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
        let bits = |wanted: &dyn Fn(&Group) -> bool| -> GroupSet {
            // Slices have tables of their own, which nothing here is laid into yet.
            let tabled = if settings.slices > 0 { 0 } else { 64 };
            let places = settings.groups.iter().take(tabled).enumerate().filter(|(_, group)| wanted(group));
            places.map(|(place, _)| 1 << place).sum()
        };
        // The wire tells no group's work: its latency budget stands in, as what needs longer is given longer.
        let value = |place: &usize| {
            let group = &settings.groups[*place];
            per(group.utility, seconds(group.latency_budget))
        };
        let mut ladder: Vec<usize> = (0..settings.groups.len().min(64)).collect();
        ladder.sort_by(|one, other| value(one).total_cmp(&value(other)));
        let budgets = settings.groups.iter().map(|group| seconds(group.latency_budget));
        let field = |wanted| settings.load_fields.iter().position(|field| *field == wanted);
        let (most, over) = settings.messages_most.unwrap_or((usize::MAX, Duration::ZERO));
        let cold = settings.cold_share.clamp(0.01, 1.0);
        Figures {
            groups: [bits(&|group| !group.own_zone), bits(&|group| group.own_zone)],
            ladder,
            levels: settings.level_kind == LevelKind::Share,
            budget: per(budgets.sum(), settings.groups.len() as f64),
            subscribes: settings.list_on_request,
            standing: settings.standing,
            shared: if settings.governors > 1 { settings.proxies as f64 } else { 0.0 },
            cold: (cold, per(1.0 - cold, seconds(settings.warm_after))),
            wariness: if settings.proxies_avoid { WARINESS.1 } else { WARINESS.0 },
            crossing: 1.0 + 4.0 * settings.crossing_cost,
            averaged: 5.0 * seconds(settings.sums_every),
            settling: settings.transit_most + 3 * settings.sums_every,
            publish_every: PUBLISH_EVERY.max(over.mul_f64(1.5 / most.max(1) as f64)),
            flushes: (most.saturating_sub(2), over),
            lines_per_s: settings.lines_per_s.max(1.0),
            head: settings.head_lines,
            waiting_most: 0.8 * settings.waiting_most,
            transit: seconds(settings.transit_most),
            probe_every: settings.probe_cost.map(|_| PROBE_EVERY),
            in_hand_at: field(LoadField::InHand),
            waiting_at: field(LoadField::Waiting),
        }
    }
}

impl Replica {
    fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    fn out(&self) -> bool {
        !self.ready() || matches!(self.health, Health::Out(..))
    }

    /// The share of its warm capacity that it has at the worst.
    fn capacity(&self, figures: &Figures, now: Duration) -> f64 {
        let (cold, growth) = figures.cold;
        self.started.map_or(1.0, |at| (cold + growth * seconds(now.saturating_sub(at))).min(1.0))
    }

    /// Tries delivered and dropped of late, as all zones' proxies met them.
    fn evidence(&self) -> (f64, f64) {
        self.sights.values().fold((0.0, 0.0), |(d, m), sight| (d + sight.delivered, m + sight.dropped))
    }

    /// From here on it is judged by what comes, not by what was.
    fn judge_anew(&mut self, now: Duration, health: Health) {
        self.health = health;
        self.since = now;
        self.sights.clear();
        (self.expected, self.bend, self.limps) = (0.0, 0.0, false);
        (self.in_hand, self.unanswered_probes) = (None, 0);
    }
}

/// Inputs: they only update what is known.
impl Governor {
    pub fn new(settings: Settings, now: Duration) -> Self {
        let figures = Figures::new(&settings);
        Governor {
            unheard: true,
            let_in: 1.0,
            levels: vec![(1.0, settings.usual_tries); figures.ladder.len()],
            due: [(now, Due::Publish), (now + SOLVE_EVERY, Due::Solve), (now + SOLVE_EVERY, Due::Shed)]
                .into(),
            drained_at: now,
            slowed: 1.0,
            wake: true,
            stirred: true,
            out: figures.subscribes.then_some(Decision::Subscribe).into_iter().collect(),
            figures,
            ..Governor::default()
        }
    }

    /// The list, or what changed in it. What a complete list leaves out is gone.
    pub fn listed(&mut self, now: Duration, entries: &[Listed], complete: bool) {
        if complete {
            let named: BTreeSet<&ReplicaId> = entries.iter().map(|entry| &entry.id).collect();
            let unnamed = self.replicas.iter_mut().filter(|(id, _)| !named.contains(id));
            unnamed.for_each(|(_, replica)| replica.phase = Phase::Gone);
        }
        for entry in entries {
            let replica = self.replicas.entry(entry.id.clone()).or_default();
            if replica.started != entry.started || replica.weight == 0.0 {
                // A new process: what was held against the old one says nothing of it.
                replica.started = entry.started;
                replica.judge_anew(now, Health::Fit);
            }
            if !replica.ready() && entry.phase == Phase::Ready {
                replica.since = now;
                let probe = self.figures.probe_every.map(|every| (now + every, Due::Probe(entry.id.clone())));
                self.due.extend(probe);
            }
            (replica.phase, replica.zone) = (entry.phase, entry.zone);
            replica.weight = entry.weight.max(f64::MIN_POSITIVE);
        }
        self.stirred = true;
    }

    /// The subscription to the list dropped, or could not be had.
    pub fn list_lost(&mut self) {
        self.out.extend(self.figures.subscribes.then_some(Decision::Subscribe));
    }

    /// A proxy's stream is up; `fresh` if it holds only its standing table.
    pub fn joined(&mut self, now: Duration, proxy: ProxyId, zone: usize, usual: f64, fresh: bool) {
        self.left(proxy);
        let unlike =
            |one: &Replica| one.zone == zone && one.phase != Phase::Gone && self.part(one, now) < 1.0;
        let unsure = !fresh || self.replicas.values().any(unlike);
        let next = self.numbers.len() as TableId;
        self.numbers.entry(proxy).or_insert(next);
        let standing = fresh.then(|| self.drawn(zone));
        let groups = self.levels.len();
        let rates = vec![per(usual, groups as f64); groups];
        self.proxies.insert(proxy, Proxy { zone, rates, standing, unsure });
        self.joined.insert(zone, now);
        self.stirred = true;
    }

    pub fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.critical.retain(|(critical, _), _| *critical != proxy);
    }

    /// What a zone's proxies met at a replica.
    pub fn met(&mut self, now: Duration, met: Met) {
        self.heard.insert(met.zone, now);
        self.stirred = true;
        let Some(replica) = self.replicas.get_mut(&met.replica) else { return };
        if let Some(&waiting) = self.figures.waiting_at.and_then(|at| met.load.get(at)) {
            replica.waiting = Some((waiting, now));
        }
        let span = seconds(met.span).max(0.001);
        let kept = (-span / self.figures.averaged).exp();
        let delivered = met.tries.saturating_sub(met.dropped) as f64;
        let sight = replica.sights.entry(met.zone).or_default();
        sight.delivered = sight.delivered * kept + delivered;
        sight.dropped = sight.dropped * kept + met.dropped as f64;
        sight.rate += (met.tries as f64 / span - sight.rate) * (1.0 - kept);
        sight.last = now;
        if let Some(mean) = met.mean.map(seconds) {
            self.pulse = (self.pulse.0 + delivered, self.pulse.1 + delivered * mean);
            let share = if sight.time > 0.0 { per(delivered, sight.delivered.max(1.0)) } else { 1.0 };
            sight.time += (mean - sight.time) * share;
        }
        if delivered > 0.0 {
            sight.last_answer = now;
        }
    }

    /// Flows of a group that came to a proxy.
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
        let known = replica.in_hand.or(self.figures.in_hand_at.map(|_| 1.0));
        replica.in_hand = match self.figures.in_hand_at.and_then(|at| load.get(at)) {
            Some(in_hand) => known.map(|known| known + (in_hand - known) / 3.0),
            // A probe waits behind flows: one unanswered tells of load where those answered tell of none.
            None if took.is_none() => known.map(|known| (MUTE_GROWTH * known.max(1.0)).min(MUTE_MOST)),
            None => known,
        };
        let next = self.figures.probe_every.filter(|_| replica.ready());
        self.due.extend(next.map(|every| (now + every, Due::Probe(id.clone()))));
        self.stirred = true;
    }

    /// A marked message took effect this long after it was ordered.
    pub fn acked(&mut self, took: Duration) {
        let usual = self.figures.transit + self.waiting / self.figures.lines_per_s;
        let seen = per(seconds(took), usual).clamp(1.0, 8.0);
        self.slowed += (seen - self.slowed) * if seen > self.slowed { 0.3 } else { 0.05 };
    }

    /// The timer asked for by [`Decision::Wake`] fell due.
    pub fn beat(&mut self) {
        (self.wake, self.stirred) = (true, true);
    }

    /// The replicas that a proxy starting now would draw its standing table from.
    fn drawn(&self, zone: usize) -> BTreeSet<ReplicaId> {
        let ready = self.replicas.iter().filter(|(_, replica)| replica.ready());
        let (own, other): (Vec<_>, Vec<_>) = ready.partition(|(_, replica)| replica.zone == zone);
        let few = own.len() < 3;
        own.into_iter().chain(other.into_iter().filter(|_| few)).map(|(id, _)| id.clone()).collect()
    }
}

/// Decisions.
impl Governor {
    /// The next decision, or none until more is put in.
    pub fn decide(&mut self, now: Duration) -> Option<Decision> {
        if std::mem::take(&mut self.stirred) {
            self.settle(now);
        }
        self.out.pop_front()
    }

    fn settle(&mut self, now: Duration) {
        if std::mem::take(&mut self.wake) {
            self.out.push_back(Decision::Wake(BEAT));
            self.judge(now);
        }
        let mut ordinary = false;
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            let next = match self.due.pop_first() {
                Some((_, Due::Publish)) => {
                    ordinary = true;
                    Some((now + self.figures.publish_every.mul_f64(self.slowed), Due::Publish))
                }
                Some((_, Due::Solve)) => {
                    self.bend(now);
                    self.solve(now);
                    Some((now + SOLVE_EVERY, Due::Solve))
                }
                Some((_, Due::Shed)) => {
                    self.shed(now);
                    Some((now + SHED_EVERY, Due::Shed))
                }
                Some((_, Due::Probe(id))) => {
                    let ready = self.replicas.get(&id).is_some_and(Replica::ready);
                    self.out.extend(ready.then_some(Decision::Probe(id)));
                    None
                }
                None => None,
            };
            self.due.extend(next);
        }
        self.publish(now, ordinary);
    }

    /// Within what a replica's load could go elsewhere: its zone where a group is bound to zones, else the fleet.
    fn scope(&self, replica: &Replica) -> usize {
        if self.figures.groups[1] != 0 { replica.zone } else { 0 }
    }

    /// What part of its listed weight a replica may be sent now. While many tries are dropped, proxies turn from
    /// their usual replicas and pile onto any that still answers, and overload brings every replica a multiple of what it can do: a cold
    /// one would fall under a planned trickle.
    fn part(&self, replica: &Replica, now: Duration) -> f64 {
        let capacity = replica.capacity(&self.figures, now);
        let stress = if self.unheard { 0.5 } else { at(&self.stress, &replica.zone) };
        let wary = stress > 0.0 && capacity < 1.0 && !self.thin.contains(&self.scope(replica));
        match replica.health {
            _ if replica.out() || wary && capacity < self.figures.wariness * stress => 0.0,
            Health::Trial(_) => TRIAL_SHARE * capacity,
            _ if wary => capacity * capacity * (1.0 - stress),
            _ => capacity,
        }
    }

    /// The weight that goes by default: less for one that limps.
    fn default_weight(&self, replica: &Replica, now: Duration) -> f64 {
        let limp = if replica.limps { replica.bend.exp() } else { 1.0 };
        replica.weight * self.part(replica, now) * limp
    }

    /// Flows a second of these groups that a proxy lets in.
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
        let mut zones: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for replica in self.replicas.values().filter(|one| !one.out()) {
            let (seen, (delivered, dropped)) = (zones.entry(replica.zone).or_default(), replica.evidence());
            *seen = (seen.0 + delivered, seen.1 + dropped);
        }
        let (delivered, dropped) = zones.values().fold((0.0, 0.0), |(d, m), one| (d + one.0, m + one.1));
        let usual_drops = per(dropped, (delivered + dropped).max(1.0));
        self.unheard = self.unheard && delivered + dropped < HEARD_ENOUGH;
        let share = |(d, m): (f64, f64)| per(m, (d + m).max(0.4 * HEARD_ENOUGH)).max(usual_drops);
        let shares = zones.into_iter().map(|(zone, seen)| (zone, share(seen)));
        self.stress = shares.filter(|(_, share)| *share > STRESSED_AT).collect();
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
        let ready = self.replicas.values().filter(|one| one.ready());
        let (ready, mute) =
            ready.fold((0, 0), |(n, m), one| (n + 1, m + u32::from(one.unanswered_probes >= 2)));
        let (mean, _) = self.mean_utilisation(now);
        let mut suspects = Vec::new();
        for (id, replica) in self.replicas.iter().filter(|(_, replica)| replica.ready()) {
            let (delivered, dropped) = replica.evidence();
            let last = replica.sights.values().map(|sight| sight.last_answer).max().unwrap_or_default();
            let from = (last + answering).max(replica.since + settling);
            let zones = sending.get(id).into_iter().flatten();
            let (rate, due) = zones.fold((0.0, 0.0), |(all, due), (zone, rate)| {
                // A zone whose sums stopped, or whose proxies just came, says nothing by its silence.
                let from = from.max(self.joined.get(zone).copied().unwrap_or(now) + settling);
                let heard = self.heard.get(zone).copied().unwrap_or_default();
                (all + rate, due + rate * seconds(heard.saturating_sub(from)))
            });
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
                Health::Trial(_) if silent || dropped >= 2.0 && dropped > delivered => {
                    suspects.push((f64::MAX, id.clone()));
                }
                _ => {}
            }
        }
        for (id, replica) in &mut self.replicas {
            let rate: f64 = sending.get(id).map_or(0.0, |zones| zones.values().sum());
            replica.expected += (rate - replica.expected) * seconds(BEAT) / self.figures.averaged;
            // Kept out of all tables it owes no answers, nor for those that the first lines take to come.
            if rate == 0.0 {
                replica.since = now;
            }
        }
        suspects.sort_by(|one, other| other.0.total_cmp(&one.0));
        suspects
    }

    /// Withdraws the worst, never so many that the rest, or what is left of a zone, could not bear it.
    fn withdraw_worst(&mut self, now: Duration, mut suspects: Vec<(f64, ReplicaId)>, usual_drops: f64) {
        let ready = self.replicas.values().filter(|one| one.ready()).count();
        let mut out = self.replicas.values().filter(|one| one.ready() && one.out()).count();
        // Many that drop in part are the fleet's trouble: of these only the worst one goes.
        if 4 * suspects.len() > ready && usual_drops > 0.2 {
            let worst = suspects.first().map_or(0.0, |(ill, _)| *ill);
            suspects.retain(|(ill, _)| *ill >= worst.min(1.0));
        }
        for (_, id) in suspects {
            let zone = self.replicas[&id].zone;
            let own = self.replicas.iter().filter(|(_, one)| one.zone == zone && one.ready());
            let (mut whole, mut left, mut warm) = (0.0, 0.0, false);
            for (other, one) in own {
                let (capacity, open) = (one.capacity(&self.figures, now), !one.out() && *other != id);
                whole += one.weight * capacity;
                left += if open { one.weight * capacity } else { 0.0 };
                warm |= open && capacity >= 1.0;
            }
            let bares = self.figures.groups[1] != 0 && (!warm || 3.0 * left < whole);
            let Some(replica) = self.replicas.get_mut(&id) else { continue };
            let times = if let Health::Trial(times) = replica.health { times } else { 0 };
            if times == 0 && (10 * (out + 1) > 4 * ready || bares) {
                continue;
            }
            out += 1;
            let until = now + FIRST_WAIT * 2u32.pow(times.min(4));
            replica.judge_anew(now, Health::Out(until, times + 1));
        }
    }

    /// Where nothing warm is left open, an ill replica is better than none: guards against drains that follow a
    /// withdrawal, and against a cold replica left to bear a zone alone.
    fn take_back(&mut self, now: Duration) {
        let warm = |one: &&Replica| !one.out() && one.capacity(&self.figures, now) >= 1.0;
        let warm: BTreeSet<usize> = self.replicas.values().filter(warm).map(|one| self.scope(one)).collect();
        let bound = self.figures.groups[1] != 0;
        self.thin.clear();
        for replica in self.replicas.values_mut().filter(|one| one.ready()) {
            let scope = if bound { replica.zone } else { 0 };
            if !warm.contains(&scope) {
                self.thin.insert(scope);
                if replica.out() {
                    replica.judge_anew(now, Health::Fit);
                }
            }
        }
    }

    /// The default of each zone, by kind of table: own zone first, spilling over where that can't bear it.
    fn defaults(&self, now: Duration) -> BTreeMap<(usize, usize), Lines> {
        let mut bears: BTreeMap<usize, f64> = BTreeMap::new();
        let mut bound: BTreeMap<usize, f64> = BTreeMap::new();
        let mut all: BTreeMap<usize, f64> = BTreeMap::new();
        for proxy in self.proxies.values() {
            *bound.entry(proxy.zone).or_insert(0.0) += self.demand(proxy, self.figures.groups[1]);
            *all.entry(proxy.zone).or_insert(0.0) += self.demand(proxy, GroupSet::MAX);
        }
        let zones: Vec<usize> = all.keys().copied().collect();
        // Other governors' proxies are unheard: taken to be spread as the fleet's sizes are.
        let joined = self.proxies.len() as f64;
        let unheard = per(all.values().sum(), joined) * (self.figures.shared - joined).max(0.0);
        let sizes: f64 = self.replicas.values().filter(|one| one.ready()).map(|one| one.weight).sum();
        let mut hurt = BTreeSet::new();
        for replica in self.replicas.values() {
            let weight = self.default_weight(replica, now);
            *bears.entry(replica.zone).or_insert(0.0) += weight;
            if replica.ready() {
                *all.entry(replica.zone).or_insert(0.0) += unheard * replica.weight / sizes;
            }
            if weight < replica.weight {
                hurt.insert(replica.zone);
            }
        }
        let slack = ZONE_SLACK * per(all.values().sum(), bears.values().sum());
        let spare = |zone: &usize| (slack * at(&bears, zone) - at(&all, zone)).max(0.0);
        // Where nothing is warm, what is bound there needs all of it, and the rest goes elsewhere.
        let coldest = if self.figures.groups[1] != 0 { self.thin.clone() } else { BTreeSet::new() };
        let mut defaults = BTreeMap::new();
        for zone in zones {
            let own = at(&bears, &zone);
            let (bound, all) = (at(&bound, &zone), at(&all, &zone));
            let kept = match (hurt.contains(&zone), coldest.contains(&zone)) {
                (false, _) => 1.0,
                (true, true) => 0.0,
                (true, false) => per(slack * own - bound, all - bound).clamp(0.05, 1.0),
            };
            let elsewhere: f64 = bears.keys().filter(|other| **other != zone).map(spare).sum();
            for kind in 0..2 {
                let weigh = |replica: &Replica| match (replica.zone == zone, kind) {
                    (true, 0) => kept * self.default_weight(replica, now),
                    (true, _) => self.default_weight(replica, now),
                    (false, 0) if kept < 0.95 => {
                        let share = per(spare(&replica.zone), elsewhere) * (1.0 - kept);
                        own.max(1.0) * share * per(self.default_weight(replica, now), bears[&replica.zone])
                    }
                    _ => 0.0,
                };
                let lines = self.replicas.iter().map(|(id, one)| (id.clone(), weigh(one)));
                let mut lines: Lines = lines.filter(|(_, weight)| *weight > 0.0).collect();
                if lines.is_empty() {
                    let any =
                        self.replicas.iter().filter(|(_, one)| !one.out() && (kind == 0 || one.zone == zone));
                    lines = any
                        .map(|(id, one)| (id.clone(), one.weight * one.capacity(&self.figures, now)))
                        .collect();
                }
                defaults.insert((zone, kind), lines);
            }
        }
        defaults
    }

    /// Whether a standing table no longer does what the zone's default would.
    fn rotten(&self, proxy: &Proxy, standing: &BTreeSet<ReplicaId>, default: &Lines, now: Duration) -> bool {
        let whole = standing.len() <= self.figures.standing;
        let open = |id: &ReplicaId| self.replicas.get(id).is_some_and(|one| !one.out());
        let differs = |(id, replica): (&ReplicaId, &Replica)| {
            let weight = self.default_weight(replica, now);
            match (standing.contains(id), replica.zone == proxy.zone) {
                (true, _) => weight > 0.0 && weight < replica.weight,
                (false, true) => whole && weight > 0.0,
                (false, false) => default.contains_key(id),
            }
        };
        !standing.iter().any(open) || self.replicas.iter().any(differs)
    }

    /// Pace: all orders leave here, urgent ones first, as one message to each proxy concerned.
    fn publish(&mut self, now: Duration, ordinary: bool) {
        let drained = seconds(now.saturating_sub(self.drained_at)) * self.figures.lines_per_s / self.slowed;
        (self.waiting, self.drained_at) = ((self.waiting - drained).max(0.0), now);
        let (most, over) = self.figures.flushes;
        self.flushes.retain(|at| *at + over > now);
        let due = self.replicas.iter_mut().filter(|(_, one)| one.out() && !one.withdrawn);
        let mut due = due.peekable();
        let urgent = due.peek().is_some();
        // The fuller the span already is, the longer an urgent one waits for others to go with it.
        let gap = over.mul_f64(self.flushes.len() as f64 / (most as f64).powi(2));
        let soon = self.flushes.back().is_some_and(|last| now < *last + gap);
        let flush = (ordinary || urgent && !soon) && self.flushes.len() < most && !self.proxies.is_empty();
        let first = self.out.len();
        if flush {
            for (id, replica) in due {
                replica.withdrawn = true;
                self.out.push_back(Decision::Withdraw(id.clone(), true));
            }
        }
        if flush || self.proxies.values().any(|proxy| proxy.unsure) {
            self.tables(now, flush);
        }
        if flush {
            for (id, replica) in self.replicas.iter_mut().filter(|(_, one)| one.withdrawn && !one.out()) {
                replica.withdrawn = false;
                self.out.push_back(Decision::Withdraw(id.clone(), false));
            }
            if !self.unheard {
                self.level();
            }
        }
        let to_all = |one: &&Decision| matches!(one, Decision::Withdraw(..) | Decision::Level(..));
        self.waiting += (self.out.iter().skip(first).filter(to_all).count() * self.proxies.len()) as f64;
        if flush && self.out.len() > first {
            self.flushes.push_back(now);
            self.marks = (self.marks + 1) % u16::MAX;
            self.out.push_back(Decision::Mark(self.marks));
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
                    || self.rotten(proxy, standing, &defaults[&(zone, 0)], now)
            });
            let bind = proxy.unsure || flush && rotten;
            if !(bind || flush && proxy.standing.is_none()) {
                continue;
            }
            let dearest = self.figures.head + 2.0 + self.replicas.len() as f64;
            if self.waiting + dearest > self.figures.waiting_most {
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
            self.waiting += if sent > 0 { self.figures.head + sent as f64 } else { 0.0 };
            if let Some(proxy) = self.proxies.get_mut(&id).filter(|_| bind) {
                (proxy.unsure, proxy.standing) = (false, None);
            }
        }
    }

    /// Flows a second that the proxies here may send within zones where nothing is warm. What is bound to such a
    /// zone and more than its cold replicas bear goes nowhere: some proxies keep no line until one is warm.
    fn cold_zones(&self, now: Duration) -> BTreeMap<usize, f64> {
        let (mut fleet, mut bears) = (0.0, BTreeMap::new());
        for replica in self.replicas.values().filter(|one| !one.out()) {
            let weight = replica.weight * replica.capacity(&self.figures, now);
            fleet += weight;
            *bears.entry(replica.zone).or_insert(0.0) += COLD_SLACK * self.answered() * weight;
        }
        bears.retain(|zone, _| self.figures.groups[1] != 0 && self.thin.contains(zone));
        bears.values_mut().for_each(|bears| *bears = per(*bears, fleet));
        bears
    }

    /// The lines that a proxy should hold: its solved ones while they stand, else its zone's default.
    fn wanted(&self, unit: Unit, default: &Lines, now: Duration) -> Lines {
        let mut solved = self.critical.get(&unit).cloned().unwrap_or_default();
        solved.retain(|id, _| self.part(&self.replicas[id], now) > 0.0);
        // The solver, or the loss of its other lines, would lean on a cold replica while its neighbours suffer.
        let cold = |lines: &Lines| {
            let cold = lines.iter().filter(|(id, _)| self.replicas[*id].capacity(&self.figures, now) < 1.0);
            per(cold.map(|(_, weight)| weight).sum(), lines.values().sum())
        };
        if solved.is_empty() || cold(&solved) > cold(default) { default.clone() } else { solved }
    }

    /// Orders what differs from the table as last sent; gives the lines that this costs.
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
        let bears = replica.weight * replica.capacity(&self.figures, now);
        let load = |(zone, sight): (&usize, &Sight)| {
            let heard = self.heard.get(zone).copied().unwrap_or_default();
            sight.rate
                * sight.time
                * (-seconds(heard.saturating_sub(sight.last)) / self.figures.averaged).exp()
        };
        let loads = replica.sights.iter().filter(|(_, sight)| sight.rate > 0.0).map(load);
        replica.in_hand.or_else(|| loads.reduce(|one, other| one + other)).map(|load| load / bears)
    }

    /// Total heard load over total weight, and the peak of the single ones.
    fn mean_utilisation(&self, now: Duration) -> (f64, f64) {
        let (mut load, mut bears, mut peak) = (0.0, 0.0, 0.0f64);
        for replica in self.replicas.values().filter(|one| self.part(one, now) > 0.0) {
            if let Some(utilisation) = self.utilisation(replica, now) {
                let weight = replica.weight * replica.capacity(&self.figures, now);
                (load, bears) = (load + utilisation * weight, bears + weight);
                peak = peak.max(utilisation);
            }
        }
        (per(load, bears), peak)
    }

    /// The page's Weak: a slow replica holds more flows at the same rate. Room bends towards the rate at which
    /// its utilisation would be the mean one, by steps, as one step's effect is heard only seconds later.
    fn bend(&mut self, now: Duration) {
        let (mean, _) = self.mean_utilisation(now);
        let heard: Vec<Option<f64>> = self.replicas.values().map(|one| self.utilisation(one, now)).collect();
        for (replica, heard) in self.replicas.values_mut().zip(heard) {
            let step = heard.map_or(0.0, |heard| BEND_STEP * per(mean, heard.max(1e-9)).max(1e-9).ln());
            replica.bend = (BEND_KEPT * replica.bend + step.clamp(-0.5, 0.2)).clamp(-1.4, 0.25);
            replica.limps = replica.bend < LIMPS_AT * if replica.limps { 0.5 } else { 1.0 };
        }
    }

    /// The critical set: greedy from the previous one, kept small, taken only at a higher payoff.
    fn solve(&mut self, now: Duration) {
        let (mean, peak) = self.mean_utilisation(now);
        self.cycles_below = if mean < TARGET * peak { self.cycles_below + 1 } else { 0 };
        if self.cycles_below < CYCLES_BELOW {
            return;
        }
        let field = self.field(now);
        let most = (self.proxies.len() as f64 * CRITICAL_SHARE).ceil() as usize;
        let mut set: BTreeSet<ProxyId> = self.critical.keys().map(|(id, _)| *id).collect();
        let mut best = field.payoff(&Solved::new()) + WORTH_CHANGING;
        loop {
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
            match next {
                Some(next) => set.insert(next),
                None => break,
            };
        }
    }

    /// What the solver works on: rooms, and who sends what where.
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
        field.whole = field.totals(&Solved::new()).values().sum();
        let fleet = per(field.whole, self.replicas.values().map(weight).sum());
        for (id, replica) in self.replicas.iter().filter(|(_, one)| weight(one) > 0.0) {
            field.rooms.insert(id.clone(), (replica.zone, fleet * weight(replica) * replica.bend.exp()));
        }
        field
    }

    /// Levels: lets in less of what brings least utility for its work while the mean answer of the whole fleet
    /// eats the latency budget; a trouble of a few replicas, or of one zone, doesn't move that mean far enough.
    fn shed(&mut self, now: Duration) {
        let (answers, time) = std::mem::take(&mut self.pulse);
        if answers < 0.2 * HEARD_ENOUGH {
            return;
        }
        let late = time / answers / self.figures.budget;
        // What answers took tells of queues that may have drained since: reports of flows waiting say so.
        let reports = self.replicas.values().filter_map(|one| one.waiting);
        let echo = self.figures.settling + SHED_EVERY;
        let reports = reports.filter(|(_, at)| *at + echo > now);
        let (all, queued) = reports.fold((0, 0), |(n, q), (queue, _)| (n + 1, q + u32::from(queue >= 1.0)));
        let jammed = 2 * queued >= all;
        let calm = 3 * queued < all;
        if late > LATE && jammed && now >= self.cut_at + echo {
            // Jammed replicas answer as many as they can: let in a little less than that, to drain their queues.
            let bears = DRAINING * self.answered();
            let offered: f64 = self.proxies.values().flat_map(|proxy| &proxy.rates).sum();
            self.let_in = per(bears, offered).min(0.95 * self.let_in).max(0.2);
            self.cut_at = now;
        } else if late < 0.7 * LATE || calm {
            self.let_in = (self.let_in * (0.7 * LATE / late).clamp(1.05, 1.15)).min(1.0);
        }
    }

    /// Answers a second, as the sums tell of late.
    fn answered(&self) -> f64 {
        let sights = self.replicas.values().flat_map(|one| one.sights.values());
        sights.map(|one| one.rate * per(one.delivered, one.delivered + one.dropped)).sum()
    }

    /// Orders the levels and further tries that changed.
    fn level(&mut self) {
        let demand = |place: &usize| -> f64 {
            self.proxies.values().filter_map(|proxy| proxy.rates.get(*place)).sum()
        };
        let demand: Vec<f64> = self.figures.ladder.iter().map(demand).collect();
        let cut = if self.figures.levels { 1.0 - self.let_in } else { 0.0 };
        let mut excess = cut * demand.iter().sum::<f64>();
        // A further try in overload takes a place from a first one; a proven first drop is safe to try again.
        let tries = if self.let_in < 1.0 { FurtherTries::Never } else { FurtherTries::IfNeverRan };
        for (&place, demand) in self.figures.ladder.iter().zip(demand) {
            let level = 1.0 - per(excess.clamp(0.0, demand), demand).min(1.0);
            excess -= demand;
            let level = ((level * 20.0).round() / 20.0, tries);
            if self.levels[place] != level {
                self.levels[place] = level;
                self.out.push_back(Decision::Level(1 << place, level.0, tries));
            }
        }
    }
}

type Solved = BTreeMap<Unit, Lines>;

/// What the solver works on.
#[derive(Default)]
struct Field {
    /// By replica: its zone, and the rate at which its utilisation is taken to be the mean one.
    rooms: BTreeMap<ReplicaId, (usize, f64)>,
    /// By unit: its zone, and its present rates.
    units: BTreeMap<Unit, (usize, Lines)>,
    whole: f64,
}

impl Field {
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
        let mean = per(self.whole, self.rooms.values().map(|(_, room)| room).sum());
        self.hottest(solved).map_or(1.0, |(_, peak)| per(mean, peak).min(1.0))
    }

    /// The page's payoff: the ratio, less the rerouted share of traffic times a penalty.
    fn payoff(&self, solved: &Solved) -> f64 {
        let moves = solved.iter().flat_map(|(unit, lines)| {
            let old = &self.units[unit].1;
            lines.iter().map(|(id, rate)| (rate - at(old, id)).max(0.0))
        });
        let ratio = self.ratio(solved);
        ratio - per(moves.sum(), self.whole) * if ratio < TARGET { PENALTIES.0 } else { PENALTIES.1 }
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
