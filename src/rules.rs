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
/// Share of this governor's proxies that may be critical.
const CRITICAL_SHARE: f64 = 0.15;
/// Most lines in a solved table.
const COOLEST: usize = 30;
/// A line goes out again once its weight has moved by this share: less is within the noise of the sums.
const WORTH_SENDING: f64 = 0.12;
/// A zone carries up to this multiple of the fleet's utilisation before its default spills over.
const ZONE_SLACK: f64 = 1.15;
/// Missed share of all tries from which the fleet counts as stressed, and the worst-case share of its capacity
/// that a cold replica must then have to be sent anything.
const HEARD_ENOUGH: f64 = 50.0;
const STRESSED_AT: f64 = 0.05;
const STRESSED_FLOOR: f64 = 0.6;
/// How far one cycle bends a room towards the mean utilisation (an exponent).
const BEND_STEP: f64 = 0.25;
/// A room bent below this is no noise: the few critical proxies can't unload that replica alone.
const LIMPS_AT: f64 = 0.7;
/// Answers that should have come by now: with this many, chance leaves none once in some thousand looks.
const SILENT_AFTER: f64 = 8.0;
/// First wait before a withdrawn replica is tried again; each failed trial doubles it.
const FIRST_WAIT: Duration = Duration::from_secs(4);
/// A replica on trial is sent this share of its usual part, and all of it once the trial is over.
const TRIAL_SHARE: f64 = 0.1;

/// What the settings come down to.
struct Figures {
    /// The two kinds of table of a proxy: for groups free to cross, and for those bound to the own zone.
    groups: [GroupSet; 2],
    /// Levels: the groups from the least utility per work up, with what further tries they bear.
    ladder: Vec<(usize, FurtherTries)>,
    levels: bool,
    usual_tries: FurtherTries,
    /// Seconds within which a typical flow wants its answer.
    budget: f64,
    sliced: bool,
    subscribes: bool,
    standing: usize,
    proxies: f64,
    /// 1 where other governors have proxies too, else 0.
    unseen: f64,
    cold_share: f64,
    warm_after: Duration,
    /// How much cooler a replica of another zone must be to be preferred.
    crossing: f64,
    /// Seconds over which sums are averaged: the page's 5 reports.
    averaged: f64,
    sums_every: Duration,
    /// How long an order's effect takes to be heard.
    echo: Duration,
    publish_every: Duration,
    /// Messages to one proxy within a span, one kept for its joining.
    messages: Option<(usize, Duration)>,
    lines_per_s: f64,
    head: f64,
    waiting_most: f64,
    transit_most: Duration,
    probe_every: Option<Duration>,
    in_hand_at: Option<usize>,
    waiting_at: Option<usize>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Health {
    Fit,
    /// Withdrawn until then, after so many failures in a row.
    Out(Duration, u32),
    /// On trial since then.
    Trial(Duration, u32),
}

/// What one zone's proxies met at a replica; evidence fades with time.
#[derive(Clone, Default)]
struct Sight {
    answered: f64,
    missed: f64,
    /// Tries a second and seconds an answer, averaged.
    rate: f64,
    time: f64,
    last: Duration,
    last_answer: Duration,
}

struct Replica {
    zone: usize,
    weight: f64,
    phase: Phase,
    started: Option<Duration>,
    health: Health,
    /// Told to joined proxies.
    withdrawn: bool,
    /// Counts in the evidence only from here on: what went before was met under other tables.
    since: Duration,
    sights: BTreeMap<usize, Sight>,
    /// Flows a second it should have been sent of late, averaged.
    expected: f64,
    /// How its room bends from its fair share: below 1 for one that holds more than its part.
    bend: f64,
    /// Its room has bent so far that defaults must heed it too.
    limps: bool,
    in_hand: Option<f64>,
    /// Flows waiting there, by its last report, and when that came.
    waiting: Option<(f64, Duration)>,
    unanswered_probes: u32,
}

#[derive(Clone, Default)]
struct Proxy {
    zone: usize,
    usual: f64,
    rates: BTreeMap<usize, f64>,
    /// What its standing table is taken to hold, while it is on it.
    standing: Option<BTreeSet<ReplicaId>>,
    /// Holds it knows not what: must follow own tables before anything else can be said of it.
    unsure: bool,
}

type Lines = BTreeMap<ReplicaId, f64>;

/// One governor's knowledge, and the decisions that wait to be pulled.
pub struct Governor {
    figures: Figures,
    replicas: BTreeMap<ReplicaId, Replica>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// The lines of each own table as last sent, kept over a broken stream: tables outlive it here.
    tables: BTreeMap<(ProxyId, usize), Lines>,
    numbers: BTreeMap<ProxyId, TableId>,
    /// Critical proxies, by kind of table, and their solved lines.
    critical: BTreeMap<(ProxyId, usize), Lines>,
    below_target: u32,
    /// Tries miss all over the fleet; so taken until enough is heard, as after a restart in mid-trouble.
    stressed: bool,
    /// Zones (or the fleet, as 0) whose open replicas are mostly cold: nothing warm to hold load on instead.
    thin: BTreeSet<usize>,
    /// By zone: when sums of it last came, and when a proxy of it last joined.
    heard: BTreeMap<usize, Duration>,
    joined: BTreeMap<usize, Duration>,
    /// The share of flows let in, when it was last cut, and answers and their seconds since it was last looked at.
    let_in: f64,
    cut_at: Duration,
    pulse: (f64, f64),
    levels: Vec<(f64, FurtherTries)>,
    due: BTreeSet<(Duration, Due)>,
    flushes: VecDeque<Duration>,
    waiting: f64,
    drained_at: Duration,
    slowed: f64,
    marks: u16,
    wake: bool,
    stirred: bool,
    out: VecDeque<Decision>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Publish,
    Solve,
    Shed,
    Probe(ReplicaId),
}

fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

impl Figures {
    fn new(settings: &Settings) -> Self {
        let bit = |place: usize| 1u64.checked_shl(place as u32).unwrap_or(0);
        let own = settings.groups.iter().enumerate().filter(|(_, group)| group.own_zone);
        let own = own.map(|(place, _)| bit(place)).sum::<GroupSet>();
        let all = (0..settings.groups.len()).map(bit).sum::<GroupSet>();
        // The wire tells no group's work: its latency budget stands in, as what needs longer is given longer.
        let mut ladder: Vec<usize> = (0..settings.groups.len()).collect();
        let value =
            |place: &usize| settings.groups[*place].utility / seconds(settings.groups[*place].latency_budget);
        ladder.sort_by(|one, other| value(one).total_cmp(&value(other)));
        let budgets = settings.groups.iter().map(|group| seconds(group.latency_budget));
        let publish_every = match settings.messages_most {
            Some((most, over)) => PUBLISH_EVERY.max(over.mul_f64(1.5 / most.max(1) as f64)),
            None => PUBLISH_EVERY,
        };
        Figures {
            groups: [all & !own, own],
            ladder: ladder.into_iter().map(|place| (place, FurtherTries::IfNeverRan)).collect(),
            levels: settings.level_kind == LevelKind::Share,
            usual_tries: settings.usual_tries,
            budget: budgets.sum::<f64>() / settings.groups.len().max(1) as f64,
            sliced: settings.slices > 0,
            subscribes: settings.list_on_request,
            standing: settings.standing,
            proxies: settings.proxies as f64,
            unseen: if settings.governors > 1 { 1.0 } else { 0.0 },
            cold_share: settings.cold_share.clamp(0.01, 1.0),
            warm_after: settings.warm_after,
            crossing: 1.0 + 4.0 * settings.crossing_cost,
            averaged: 5.0 * seconds(settings.sums_every),
            sums_every: settings.sums_every,
            echo: settings.transit_most + 3 * settings.sums_every + Duration::from_secs(1),
            publish_every,
            messages: settings.messages_most,
            lines_per_s: settings.lines_per_s.max(1.0),
            head: settings.head_lines,
            waiting_most: settings.waiting_most,
            transit_most: settings.transit_most,
            probe_every: settings.probe_cost.map(|_| Duration::from_secs(2)),
            in_hand_at: settings.load_fields.iter().position(|field| *field == LoadField::InHand),
            waiting_at: settings.load_fields.iter().position(|field| *field == LoadField::Waiting),
        }
    }
}

impl Sight {
    fn fade(&mut self, by: f64) {
        self.answered *= by;
        self.missed *= by;
    }

    /// Flows in hand (Little's law), fading while nothing more is heard.
    fn load(&self, heard: Duration, averaged: f64) -> f64 {
        self.rate * self.time * (-seconds(heard.saturating_sub(self.last)) / averaged).exp()
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
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started);
        if age >= figures.warm_after {
            return 1.0;
        }
        figures.cold_share + (1.0 - figures.cold_share) * seconds(age) / seconds(figures.warm_after)
    }

    fn evidence(&self) -> (f64, f64) {
        self.sights.values().fold((0.0, 0.0), |(a, m), sight| (a + sight.answered, m + sight.missed))
    }

    fn restart(&mut self, now: Duration) {
        self.sights.clear();
        self.since = now;
        self.expected = 0.0;
        self.bend = 1.0;
        self.limps = false;
        self.in_hand = None;
        self.unanswered_probes = 0;
    }
}

impl Proxy {
    fn demand(&self, groups: GroupSet) -> f64 {
        if self.rates.is_empty() {
            return if groups == 0 { 0.0 } else { self.usual };
        }
        let of = |place: &usize| groups >> (*place).min(63) & 1 == 1;
        self.rates.iter().filter(|(place, _)| of(place)).map(|(_, rate)| rate).sum()
    }
}

/// Inputs: they only update what is known.
impl Governor {
    pub fn new(settings: Settings, now: Duration) -> Self {
        let figures = Figures::new(&settings);
        let due =
            [(now, Due::Publish), (now + SOLVE_EVERY, Due::Solve), (now + SOLVE_EVERY, Due::Shed)].into();
        let levels = vec![(1.0, figures.usual_tries); settings.groups.len()];
        let out = figures.subscribes.then_some(Decision::Subscribe).into_iter().collect();
        Governor {
            figures,
            replicas: BTreeMap::new(),
            proxies: BTreeMap::new(),
            tables: BTreeMap::new(),
            numbers: BTreeMap::new(),
            critical: BTreeMap::new(),
            below_target: 0,
            stressed: true,
            thin: BTreeSet::new(),
            heard: BTreeMap::new(),
            joined: BTreeMap::new(),
            let_in: 1.0,
            cut_at: now,
            pulse: (0.0, 0.0),
            levels,
            due,
            flushes: VecDeque::new(),
            waiting: 0.0,
            drained_at: now,
            slowed: 1.0,
            marks: 0,
            wake: true,
            stirred: true,
            out,
        }
    }

    /// The list, or what changed in it. What a complete list leaves out is gone.
    pub fn listed(&mut self, now: Duration, entries: &[Listed], complete: bool) {
        if complete {
            let named: BTreeSet<&ReplicaId> = entries.iter().map(|entry| &entry.id).collect();
            for (id, replica) in &mut self.replicas {
                if !named.contains(id) {
                    replica.phase = Phase::Gone;
                }
            }
        }
        for entry in entries {
            let replica = self.replicas.entry(entry.id.clone()).or_insert_with(|| Replica {
                zone: entry.zone,
                weight: entry.weight,
                phase: Phase::Gone,
                started: entry.started,
                health: Health::Fit,
                withdrawn: false,
                since: now,
                sights: BTreeMap::new(),
                expected: 0.0,
                bend: 1.0,
                limps: false,
                in_hand: None,
                waiting: None,
                unanswered_probes: 0,
            });
            if replica.started != entry.started {
                // A new process: what was held against the old one says nothing of it.
                replica.started = entry.started;
                replica.health = Health::Fit;
                replica.restart(now);
            }
            if replica.phase != Phase::Ready && entry.phase == Phase::Ready {
                replica.since = now;
                if let Some(every) = self.figures.probe_every {
                    self.due.insert((now + every, Due::Probe(entry.id.clone())));
                }
            }
            replica.phase = entry.phase;
            replica.zone = entry.zone;
            replica.weight = entry.weight.max(f64::MIN_POSITIVE);
        }
        self.stirred = true;
    }

    /// The subscription to the list dropped, or could not be had.
    pub fn list_lost(&mut self) {
        if self.figures.subscribes {
            self.out.push_back(Decision::Subscribe);
        }
    }

    /// A proxy's stream is up; `fresh` if it holds only its standing table.
    pub fn joined(&mut self, now: Duration, proxy: ProxyId, zone: usize, usual: f64, fresh: bool) {
        let here = |replica: &&Replica| replica.zone == zone && self.part(replica, now) < 1.0;
        let rotten = self.replicas.values().any(|replica| here(&replica) && replica.phase != Phase::Gone);
        let standing = fresh.then(|| self.drawn(zone));
        let unsure = !fresh || rotten;
        let next = self.numbers.len() as TableId;
        self.numbers.entry(proxy).or_insert(next);
        self.critical.retain(|(critical, _), _| *critical != proxy);
        let known = Proxy { zone, usual, rates: BTreeMap::new(), standing, unsure };
        self.proxies.insert(proxy, known);
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
        let (averaged, waiting_at) = (self.figures.averaged, self.figures.waiting_at);
        let Some(replica) = self.replicas.get_mut(&met.replica) else { return };
        if let Some(&waiting) = waiting_at.and_then(|at| met.load.get(at)) {
            replica.waiting = Some((waiting, now));
        }
        let span = seconds(met.span).max(0.001);
        let answered = met.tries.saturating_sub(met.missed) as f64;
        let sight = replica.sights.entry(met.zone).or_default();
        sight.fade((-span / averaged).exp());
        sight.answered += answered;
        sight.missed += met.missed as f64;
        let blend = 1.0 - (-span / averaged).exp();
        sight.rate += (met.tries as f64 / span - sight.rate) * blend;
        if let Some(mean) = met.mean {
            self.pulse.0 += answered;
            self.pulse.1 += answered * seconds(mean);
            let share = answered / sight.answered.max(1.0);
            sight.time += (seconds(mean) - sight.time) * if sight.time > 0.0 { share.min(1.0) } else { 1.0 };
        }
        sight.last = now;
        if answered > 0.0 {
            sight.last_answer = now;
        }
    }

    /// Flows of a group that came to a proxy.
    pub fn came(&mut self, came: Came) {
        let averaged = self.figures.averaged;
        let Some(proxy) = self.proxies.get_mut(&came.proxy) else { return };
        let span = seconds(came.span).max(0.001);
        let seen = came.flows as f64 / span;
        let rate = proxy.rates.entry(came.group).or_insert(seen);
        *rate += (seen - *rate) * (1.0 - (-span / averaged).exp());
    }

    /// What a probe found: how long the answer took, if one came.
    pub fn probed(&mut self, now: Duration, id: &ReplicaId, took: Option<Duration>, load: &[f64]) {
        let at = self.figures.in_hand_at;
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.unanswered_probes = if took.is_some() { 0 } else { replica.unanswered_probes + 1 };
        if let Some(&in_hand) = at.and_then(|at| load.get(at)) {
            let known = replica.in_hand.unwrap_or(in_hand);
            replica.in_hand = Some(known + (in_hand - known) / 3.0);
        }
        if let Some(every) = self.figures.probe_every.filter(|_| replica.ready()) {
            self.due.insert((now + every, Due::Probe(id.clone())));
        }
        self.stirred = true;
    }

    /// A marked message took effect this long after it was ordered.
    pub fn acked(&mut self, took: Duration) {
        let usual = seconds(self.figures.transit_most) + self.waiting / self.figures.lines_per_s;
        let seen = (seconds(took) / usual.max(0.01)).clamp(1.0, 8.0);
        self.slowed += (seen - self.slowed) * if seen > self.slowed { 0.3 } else { 0.05 };
    }

    /// The timer asked for by [`Decision::Wake`] fell due.
    pub fn beat(&mut self, _now: Duration) {
        self.wake = true;
        self.stirred = true;
    }

    /// The replicas that a proxy starting now would draw its standing table from.
    fn drawn(&self, zone: usize) -> BTreeSet<ReplicaId> {
        let ready = || self.replicas.iter().filter(|(_, replica)| replica.ready());
        let own = ready().filter(|(_, replica)| replica.zone == zone);
        let own: BTreeSet<ReplicaId> = own.map(|(id, _)| id.clone()).collect();
        if own.len() >= 3 { own } else { ready().map(|(id, _)| id.clone()).collect() }
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
        let mut publish = false;
        while let Some((at, _)) = self.due.first()
            && *at <= now
        {
            match self.due.pop_first() {
                Some((_, Due::Publish)) => {
                    publish = true;
                    let every = self.figures.publish_every.mul_f64(self.slowed);
                    self.due.insert((now + every, Due::Publish));
                }
                Some((_, Due::Solve)) => {
                    self.solve(now);
                    self.due.insert((now + SOLVE_EVERY, Due::Solve));
                }
                Some((_, Due::Shed)) => {
                    self.shed(now);
                    self.due.insert((now + SHED_EVERY, Due::Shed));
                }
                Some((_, Due::Probe(id))) => {
                    if self.replicas.get(&id).is_some_and(Replica::ready) {
                        self.out.push_back(Decision::Probe(id));
                    }
                }
                None => break,
            }
        }
        self.publish(now, publish);
    }

    /// What part of its listed weight a replica may be sent now. While many tries miss, proxies turn from their
    /// usual replicas and pile onto any that still answers: a cold one would be pushed over by a planned trickle.
    fn part(&self, replica: &Replica, now: Duration) -> f64 {
        let capacity = replica.capacity(&self.figures, now);
        match replica.health {
            _ if replica.out() => 0.0,
            _ if self.stressed && capacity < STRESSED_FLOOR && !self.thin.contains(&self.scope(replica)) => {
                0.0
            }
            Health::Trial(..) => TRIAL_SHARE * capacity,
            _ => capacity,
        }
    }

    /// The part that goes by default: less for one that limps.
    fn default_part(&self, replica: &Replica, now: Duration) -> f64 {
        self.part(replica, now) * if replica.limps { replica.bend } else { 1.0 }
    }

    /// Shares of a proxy's flows by replica, as its tables now stand.
    fn holds(&self, id: ProxyId, kind: usize) -> Vec<(&ReplicaId, f64)> {
        let Some(proxy) = self.proxies.get(&id) else { return Vec::new() };
        let open = |id: &ReplicaId| self.replicas.get(id).filter(|replica| !replica.withdrawn);
        let mut lines: Vec<(&ReplicaId, f64)> = match &proxy.standing {
            Some(standing) => {
                standing.iter().filter_map(|id| open(id).map(|known| (id, known.weight))).collect()
            }
            None => {
                let lines = self.tables.get(&(id, kind)).into_iter().flatten();
                lines.filter(|(id, _)| open(id).is_some()).map(|(id, weight)| (id, *weight)).collect()
            }
        };
        let whole: f64 = lines.iter().map(|(_, weight)| weight).sum();
        lines.iter_mut().for_each(|(_, weight)| *weight /= whole.max(f64::MIN_POSITIVE));
        lines
    }

    /// Flows a second that each zone's proxies should be sending to each replica.
    fn sending(&self) -> BTreeMap<(ReplicaId, usize), f64> {
        let mut rates = BTreeMap::new();
        for (&id, proxy) in &self.proxies {
            for kind in 0..2 {
                let demand = proxy.demand(self.figures.groups[kind]);
                for (replica, share) in self.holds(id, kind) {
                    *rates.entry((replica.clone(), proxy.zone)).or_insert(0.0) += demand * share;
                }
            }
        }
        rates
    }

    /// Health, by symptom: no answers where answers are due, or far more misses than the fleet has.
    fn judge(&mut self, now: Duration) {
        let figures = &self.figures;
        let sending = self.sending();
        let (mean, _) = self.mean_utilisation(now);
        let fleet = self.replicas.values().map(Replica::evidence);
        let (answered, missed) = fleet.fold((0.0, 0.0), |(a, m), one| (a + one.0, m + one.1));
        let usual_miss = missed / (answered + missed).max(1.0);
        let unheard = answered + missed < HEARD_ENOUGH;
        let stressed = unheard && self.stressed
            || usual_miss > if self.stressed { 0.5 * STRESSED_AT } else { STRESSED_AT };
        let mute = self.replicas.values().filter(|one| one.ready() && one.unanswered_probes >= 2).count();
        let ready = self.replicas.values().filter(|one| one.ready()).count();
        let times = self.replicas.values().flat_map(|replica| replica.sights.values());
        let (flows, time) =
            times.fold((0.0, 0.0), |(n, t), sight| (n + sight.answered, t + sight.answered * sight.time));
        let usual_time = time / flows.max(1.0);
        // Tables, answers and sums all take their time before silence means anything.
        let settling =
            figures.transit_most + 3 * figures.sums_every + Duration::from_secs_f64(1.5 * usual_time);
        let mut suspects = Vec::new();
        let mut rates = Vec::new();
        for (id, replica) in self.replicas.iter().filter(|(_, replica)| replica.ready()) {
            let (answered, missed) = replica.evidence();
            let last = replica.sights.values().map(|sight| sight.last_answer).max().unwrap_or_default();
            let from = (last + Duration::from_secs_f64(1.5 * usual_time)).max(replica.since + settling);
            let zones = sending.range((id.clone(), 0)..=(id.clone(), usize::MAX));
            let (rate, due) = zones.fold((0.0, 0.0), |(all, due), ((_, zone), rate)| {
                // A zone whose sums stopped, or whose proxies just came, says nothing by its silence.
                let from = from.max(self.joined.get(zone).copied().unwrap_or(now) + settling);
                let heard = self.heard.get(zone).copied().unwrap_or_default();
                (all + rate, due + rate * seconds(heard.saturating_sub(from)))
            });
            // A line just widened has sent nothing yet.
            let due = if rate > 0.0 { due * (replica.expected / rate).min(1.0) } else { 0.0 };
            rates.push((id.clone(), rate));
            let share = missed / (answered + missed).max(1.0);
            // A probe waits behind flows: unanswered ones count only where they are rare in the fleet.
            let mute = replica.unanswered_probes >= 2 && 5 * mute <= ready;
            let silent = due >= if mute { 0.25 * SILENT_AFTER } else { SILENT_AFTER };
            let failing = missed >= 4.0 && share >= (0.3f64).max(3.0 * usual_miss);
            // One that misses for its queue is overloaded: withdrawing it would tip the next.
            let busy = self.utilisation(replica, now).is_some_and(|held| held > 1.3 * mean)
                || replica.waiting.is_some_and(|(waiting, _)| waiting >= 2.0);
            match replica.health {
                Health::Fit if silent || failing && !busy => {
                    suspects.push((share + due, id.clone(), 0));
                }
                Health::Trial(_, times) if silent || missed >= 2.0 && missed > answered => {
                    suspects.push((f64::MAX, id.clone(), times));
                }
                _ => {}
            }
        }
        for (id, rate) in rates {
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.expected += (rate - replica.expected) * seconds(BEAT) / figures.averaged;
            }
        }
        suspects.sort_by(|one, other| other.0.total_cmp(&one.0));
        // Many suspects at once are the fleet's trouble, or the sums': only the worst one goes.
        if 4 * suspects.len() > ready && usual_miss > 0.2 {
            suspects.truncate(1);
        }
        let mut out = self.replicas.values().filter(|replica| replica.ready() && replica.out()).count();
        for (_, id, times) in suspects {
            let zone = self.replicas[&id].zone;
            let own = self.replicas.values().filter(|replica| replica.zone == zone && replica.ready());
            let (own, left) = own.fold((0, 0), |(own, left), one| (own + 1, left + usize::from(!one.out())));
            let bares = self.figures.groups[1] != 0 && 3 * (left - 1) < own;
            if times == 0 && (10 * (out + 1) > 4 * ready || bares || left == 0) {
                continue;
            }
            out += 1;
            let wait = FIRST_WAIT * 2u32.pow(times.min(4));
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.health = Health::Out(now + wait, times + 1);
                replica.restart(now);
            }
        }
        self.stressed = stressed;
        self.keep_one(now);
        for replica in self.replicas.values_mut() {
            let (answered, missed) = replica.evidence();
            match replica.health {
                Health::Out(until, times) if now >= until && replica.unanswered_probes == 0 => {
                    replica.health = Health::Trial(now, times);
                    replica.restart(now);
                }
                Health::Trial(..) if answered >= 4.0 && missed < 0.25 * answered => {
                    replica.health = Health::Fit
                }
                _ => {}
            }
        }
    }

    /// Where all that is left of a zone (or, with no group bound to zones, of the fleet) is withdrawn for its
    /// health, a bad replica is better than none: guards against drains that follow a withdrawal.
    fn keep_one(&mut self, now: Duration) {
        let fit = self.replicas.values().filter(|one| !one.out());
        let fit: BTreeSet<usize> = fit.map(|one| self.scope(one)).collect();
        let bound = self.figures.groups[1] != 0;
        let mut open: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for replica in self.replicas.values_mut() {
            let scope = if bound { replica.zone } else { 0 };
            if replica.ready() && !fit.contains(&scope) {
                replica.health = Health::Fit;
                replica.restart(now);
            }
            if !replica.out() {
                let capacity = replica.capacity(&self.figures, now);
                let (warm, all) = open.entry(scope).or_default();
                *warm += if capacity >= STRESSED_FLOOR { replica.weight * capacity } else { 0.0 };
                *all += replica.weight * capacity;
            }
        }
        self.thin =
            open.into_iter().filter(|(_, (warm, all))| *warm < 0.6 * all).map(|(scope, _)| scope).collect();
    }

    /// Within what a replica's load could go elsewhere: its zone where a group is bound to zones.
    fn scope(&self, replica: &Replica) -> usize {
        if self.figures.groups[1] != 0 { replica.zone } else { 0 }
    }

    /// The default of each zone, by kind of table: own zone first, spilling over where that can't bear it.
    fn defaults(&self, now: Duration) -> BTreeMap<(usize, usize), Lines> {
        let part = |replica: &Replica| replica.weight * self.default_part(replica, now);
        let zones: BTreeSet<usize> = self.proxies.values().map(|proxy| proxy.zone).collect();
        let mut bears: BTreeMap<usize, f64> = BTreeMap::new();
        // By zone: flows a second bound to it, and all of them.
        let mut demand: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        self.replicas.values().for_each(|one| *bears.entry(one.zone).or_insert(0.0) += part(one));
        for proxy in self.proxies.values() {
            let (bound, all) = demand.entry(proxy.zone).or_default();
            *bound += proxy.demand(self.figures.groups[1]);
            *all += proxy.demand(GroupSet::MAX);
        }
        // Other governors' proxies are unheard: taken to be spread as the fleet's sizes are.
        let usual: f64 =
            self.proxies.values().map(|proxy| proxy.usual).sum::<f64>() / self.proxies.len().max(1) as f64;
        let unheard =
            (self.figures.proxies - self.proxies.len() as f64).max(0.0) * usual * self.figures.unseen;
        let sizes: f64 = self.replicas.values().filter(|one| one.ready()).map(|one| one.weight).sum();
        for replica in self.replicas.values().filter(|one| one.ready()) {
            demand.entry(replica.zone).or_default().1 += unheard * replica.weight / sizes;
        }
        let less = |one: &&Replica| self.default_part(one, now) < 1.0;
        let hurt: BTreeSet<usize> = self.replicas.values().filter(less).map(|one| one.zone).collect();
        let whole: f64 = demand.values().map(|(_, all)| all).sum();
        let mean = whole / bears.values().sum::<f64>().max(f64::MIN_POSITIVE);
        let bearable = |zone: usize| ZONE_SLACK * mean * bears.get(&zone).copied().unwrap_or(0.0);
        let spare = |zone: usize| (bearable(zone) - demand.get(&zone).map_or(0.0, |(_, all)| *all)).max(0.0);
        let mut defaults = BTreeMap::new();
        for zone in zones {
            let own = bears.get(&zone).copied().unwrap_or(0.0);
            let (bound, all) = demand.get(&zone).copied().unwrap_or_default();
            let kept = if !hurt.contains(&zone) && own > 0.0 {
                1.0
            } else if own > 0.0 {
                ((bearable(zone) - bound) / (all - bound).max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
            } else {
                0.0
            };
            let elsewhere: f64 =
                bears.keys().filter(|other| **other != zone).map(|other| spare(*other)).sum();
            let lines = |kind: usize| -> Lines {
                let weigh = |replica: &Replica| {
                    let whole = bears[&replica.zone].max(f64::MIN_POSITIVE);
                    if replica.zone == zone {
                        part(replica) * if kind == 0 { kept.max(0.05) } else { 1.0 }
                    } else if kind == 0 && kept < 0.95 {
                        let share = spare(replica.zone) / elsewhere.max(f64::MIN_POSITIVE);
                        own.max(1.0) * (1.0 - kept) * share * part(replica) / whole
                    } else {
                        0.0
                    }
                };
                let lines = self.replicas.iter().map(|(id, replica)| (id.clone(), weigh(replica)));
                let lines: Lines = lines.filter(|(_, weight)| *weight > 0.0).collect();
                if !lines.is_empty() {
                    return lines;
                }
                let any =
                    self.replicas.iter().filter(|(_, one)| !one.out() && (kind == 0 || one.zone == zone));
                any.map(|(id, one)| (id.clone(), one.weight * one.capacity(&self.figures, now))).collect()
            };
            defaults.insert((zone, 0), lines(0));
            defaults.insert((zone, 1), lines(1));
        }
        defaults
    }

    /// Whether a standing table no longer does what the zone's default would.
    fn rotten(&self, proxy: &Proxy, standing: &BTreeSet<ReplicaId>, default: &Lines, now: Duration) -> bool {
        let whole = standing.len() <= self.figures.standing;
        let left = standing.iter().filter(|id| self.replicas.get(*id).is_some_and(|one| !one.out())).count();
        left == 0
            || self.replicas.iter().any(|(id, replica)| {
                let held = standing.contains(id);
                let part = self.default_part(replica, now);
                held && part > 0.0 && part < 1.0
                    || whole && !held && replica.zone == proxy.zone && part > 0.0
                    || replica.zone != proxy.zone && !held && default.contains_key(id)
            })
    }

    /// Pace: all orders leave here, urgent ones first, as one message to each proxy concerned.
    fn publish(&mut self, now: Duration, ordinary: bool) {
        let drained = seconds(now - self.drained_at) * self.figures.lines_per_s / self.slowed;
        self.waiting = (self.waiting - drained).max(0.0);
        self.drained_at = now;
        if let Some((_, over)) = self.figures.messages {
            while self.flushes.front().is_some_and(|at| *at + over <= now) {
                self.flushes.pop_front();
            }
        }
        let withdraw: Vec<ReplicaId> = {
            let due = self.replicas.iter().filter(|(_, one)| one.out() && !one.withdrawn);
            due.map(|(id, _)| id.clone()).collect()
        };
        let unsure = self.proxies.values().any(|proxy| proxy.unsure);
        let urgent = !withdraw.is_empty();
        let most = self.figures.messages.map_or(usize::MAX, |(most, _)| most.saturating_sub(2));
        let flush = (ordinary || urgent) && self.flushes.len() < most && !self.proxies.is_empty();
        if !flush && !unsure || self.figures.sliced && !urgent {
            return;
        }
        if flush {
            for id in withdraw {
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.withdrawn = true;
                }
                self.waiting += self.proxies.len() as f64;
                self.out.push_back(Decision::Withdraw(id, true));
            }
        }
        if self.figures.sliced {
            return;
        }
        let defaults = self.defaults(now);
        let ids: Vec<ProxyId> = self.proxies.keys().copied().collect();
        let mut reached = 0;
        for id in ids {
            let proxy = &self.proxies[&id];
            let bind = proxy.unsure
                || proxy.standing.as_ref().is_some_and(|standing| {
                    self.critical.keys().any(|(critical, _)| *critical == id)
                        || self.rotten(proxy, standing, &defaults[&(proxy.zone, 0)], now)
                });
            if !(flush && (bind || proxy.standing.is_none()) || proxy.unsure) {
                continue;
            }
            let cost = self.figures.head + 2.0 + self.replicas.len() as f64;
            if self.waiting + cost > 0.8 * self.figures.waiting_most {
                break;
            }
            let zone = proxy.zone;
            let mut sent = 0;
            for kind in 0..2 {
                if self.figures.groups[kind] == 0 {
                    continue;
                }
                let wanted = self.wanted(id, kind, &defaults[&(zone, kind)], now);
                sent += self.lay(id, kind, wanted, bind);
            }
            if sent > 0 {
                reached += 1;
                self.waiting += self.figures.head + sent as f64;
            }
            if bind && let Some(proxy) = self.proxies.get_mut(&id) {
                proxy.unsure = false;
                proxy.standing = None;
            }
        }
        if !flush {
            return;
        }
        for (id, replica) in &mut self.replicas {
            if replica.withdrawn && !replica.out() {
                replica.withdrawn = false;
                reached += 1;
                self.out.push_back(Decision::Withdraw(id.clone(), false));
            }
        }
        reached += self.level();
        if reached > 0 || urgent {
            self.flushes.push_back(now);
            self.marks = (self.marks + 1) % u16::MAX;
            self.out.push_back(Decision::Mark(self.marks));
        }
    }

    /// The lines that a proxy should hold: its solved ones while they stand, else its zone's default.
    fn wanted(&self, id: ProxyId, kind: usize, default: &Lines, now: Duration) -> Lines {
        let open = |id: &ReplicaId| self.replicas.get(id).is_some_and(|one| self.part(one, now) > 0.0);
        let solved = self.critical.get(&(id, kind)).into_iter().flatten().filter(|(id, _)| open(id));
        let mut solved: Lines = solved.map(|(id, weight)| (id.clone(), *weight)).collect();
        if solved.is_empty() {
            return default.clone();
        }
        // The solver would lean on a cold replica while its neighbours suffer: no more than by default.
        let scale = solved.values().sum::<f64>() / default.values().sum::<f64>().max(f64::MIN_POSITIVE);
        for (id, weight) in &mut solved {
            if self.replicas[id].capacity(&self.figures, now) < 1.0 {
                *weight = weight.min(scale * default.get(id).copied().unwrap_or(0.01));
            }
        }
        solved
    }

    /// Orders what differs from the table as last sent; gives the lines that this costs.
    fn lay(&mut self, id: ProxyId, kind: usize, wanted: Lines, bind: bool) -> usize {
        if wanted.is_empty() {
            return 0;
        }
        let table = self.tables.entry((id, kind)).or_default();
        let mut lines = Vec::new();
        for (replica, weight) in &wanted {
            let weight = (weight * 1000.0).round().max(1.0) / 1000.0;
            let held = table.get(replica).copied().unwrap_or(0.0);
            if (weight - held).abs() > WORTH_SENDING * weight.max(held) {
                lines.push((replica.clone(), weight));
            }
        }
        let gone = table.keys().filter(|replica| !wanted.contains_key(*replica));
        lines.extend(gone.map(|replica| (replica.clone(), 0.0)));
        for (replica, weight) in &lines {
            if *weight > 0.0 {
                table.insert(replica.clone(), *weight);
            } else {
                table.remove(replica);
            }
        }
        let mut cost = lines.len();
        let number = 2 * self.numbers[&id] + kind as TableId;
        if !lines.is_empty() {
            self.out.push_back(Decision::Lines(number, lines));
        }
        if bind {
            cost = 1 + table.len();
            self.out.push_back(Decision::Follow(id, number, self.figures.groups[kind]));
        }
        cost
    }

    /// Heard load by listed weight, where any is heard.
    fn utilisation(&self, replica: &Replica, now: Duration) -> Option<f64> {
        let bears = replica.weight * replica.capacity(&self.figures, now);
        let load = replica.in_hand.or_else(|| {
            let sums = replica.sights.iter().filter(|(_, sight)| sight.rate > 0.0);
            let heard = |zone: &usize| self.heard.get(zone).copied().unwrap_or_default();
            let loads = sums.map(|(zone, sight)| sight.load(heard(zone), self.figures.averaged));
            loads.reduce(|one, other| one + other)
        });
        load.map(|load| load / bears)
    }

    /// The critical set: greedy from the previous one, kept small, taken only at a higher payoff.
    fn solve(&mut self, now: Duration) {
        self.bend(now);
        let field = self.field(now);
        if field.rooms.is_empty() || field.ratio >= TARGET {
            self.below_target = 0;
            return;
        }
        self.below_target += 1;
        if self.below_target < CYCLES_BELOW {
            return;
        }
        let most = (self.proxies.len() as f64 * CRITICAL_SHARE).ceil() as usize;
        let mut set: BTreeSet<ProxyId> = self.critical.keys().map(|(id, _)| *id).collect();
        let stay = field.payoff(&BTreeMap::new());
        let mut best = (stay + 0.01, None);
        loop {
            let solved = field.fill(&set, self.figures.crossing);
            let payoff = field.payoff(&solved);
            let ratio = field.ratio_with(&solved);
            if payoff > best.0 && !solved.is_empty() {
                best = (payoff, Some(solved.clone()));
            }
            if ratio >= TARGET || set.len() >= most {
                break;
            }
            match field.sends_most(&solved, &set) {
                Some(next) => set.insert(next),
                None => break,
            };
        }
        if let (_, Some(solved)) = best {
            let whole = |rates: &Lines| rates.values().sum::<f64>().max(f64::MIN_POSITIVE);
            let tables = solved.into_iter().map(|(unit, rates)| {
                let whole = whole(&rates);
                let lines = rates.into_iter().map(|(id, rate)| (id, 100.0 * rate / whole));
                (unit, lines.filter(|(_, weight)| *weight >= 1.5).collect())
            });
            self.critical = tables.collect();
        }
    }

    /// Total heard load over total weight, and the peak of the single ones.
    fn mean_utilisation(&self, now: Duration) -> (f64, f64) {
        let (mut load, mut bears, mut peak) = (0.0, 0.0, 0.0f64);
        for replica in self.replicas.values().filter(|one| self.part(one, now) > 0.0) {
            if let Some(utilisation) = self.utilisation(replica, now) {
                let weight = replica.weight * replica.capacity(&self.figures, now);
                load += utilisation * weight;
                bears += weight;
                peak = peak.max(utilisation);
            }
        }
        (if bears > 0.0 { load / bears } else { 0.0 }, peak)
    }

    /// The page's Weak: a slow replica holds more flows at the same rate. Room bends towards the rate at which
    /// its utilisation would be the mean one, by steps, as one step's effect is heard only seconds later.
    fn bend(&mut self, now: Duration) {
        let (mean, _) = self.mean_utilisation(now);
        let heard: Vec<Option<f64>> =
            self.replicas.values().map(|replica| self.utilisation(replica, now)).collect();
        for (replica, utilisation) in self.replicas.values_mut().zip(heard) {
            let aside = utilisation.map_or(1.0, |heard| (mean / heard.max(1e-9)).powf(BEND_STEP));
            replica.bend = (replica.bend.powf(0.95) * aside.clamp(0.6, 1.2)).clamp(0.25, 1.3);
            replica.limps = replica.bend < if replica.limps { 0.85 } else { LIMPS_AT };
        }
    }

    /// What the solver works on: rooms, present rates, and who sends what where.
    fn field(&self, now: Duration) -> Field {
        let mut field = Field::default();
        let open = self.replicas.iter().filter(|(_, one)| self.part(one, now) > 0.0);
        let open: Vec<(&ReplicaId, &Replica)> = open.collect();
        let (mean, peak) = self.mean_utilisation(now);
        if mean <= 0.0 {
            return field;
        }
        field.ratio = mean / peak;
        for (&id, proxy) in &self.proxies {
            for kind in 0..2 {
                let demand = proxy.demand(self.figures.groups[kind]);
                let rates = self.holds(id, kind).into_iter().map(|(id, share)| (id.clone(), share * demand));
                let rates: Lines = rates.collect();
                if demand > 0.0 && !rates.is_empty() {
                    field.units.insert((id, kind), (proxy.zone, demand, rates));
                }
            }
        }
        field.rates = field.totals(&BTreeMap::new());
        let part = |replica: &Replica| replica.weight * self.part(replica, now);
        let fleet = field.rates.values().sum::<f64>() / open.iter().map(|(_, one)| part(one)).sum::<f64>();
        for (id, replica) in open {
            let room = part(replica) * fleet * replica.bend;
            field.rooms.insert(id.clone(), (replica.zone, room.max(1e-6)));
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
        let fresh = |one: &&Replica| one.waiting.is_some_and(|(_, at)| at + self.figures.echo > now);
        let reports: Vec<f64> = self
            .replicas
            .values()
            .filter(fresh)
            .filter_map(|one| one.waiting)
            .map(|(queue, _)| queue)
            .collect();
        let queued = reports.iter().filter(|queue| **queue >= 1.0).count();
        let calm = !reports.is_empty() && 3 * queued < reports.len();
        let jammed = reports.is_empty() || 2 * queued >= reports.len();
        if late > LATE && jammed && now >= self.cut_at + self.figures.echo {
            // Jammed replicas answer as many as they can: let in a little less than that, to drain their queues.
            let bears = DRAINING * answers / seconds(SHED_EVERY);
            let offered: f64 = self.proxies.values().map(|proxy| proxy.demand(GroupSet::MAX)).sum();
            self.let_in = (bears / offered.max(bears)).min(0.95 * self.let_in).max(0.2);
            self.cut_at = now;
        } else if late < 0.7 * LATE || calm {
            self.let_in = (self.let_in * (0.7 * LATE / late).clamp(1.05, 1.15)).min(1.0);
        }
    }

    /// Orders the levels and further tries that changed; gives the number of orders.
    fn level(&mut self) -> usize {
        let demand = |place: usize| -> f64 {
            self.proxies.values().map(|proxy| proxy.rates.get(&place).copied().unwrap_or(0.0)).sum()
        };
        let whole: f64 = self.figures.ladder.iter().map(|(place, _)| demand(*place)).sum();
        let mut excess = if self.figures.levels { (1.0 - self.let_in) * whole } else { 0.0 };
        let mut orders = 0;
        for &(place, tries) in &self.figures.ladder {
            let shed = excess.min(demand(place)).max(0.0);
            excess -= shed;
            let level = 1.0 - if shed > 0.0 { shed / demand(place) } else { 0.0 };
            let level = (level * 20.0).round() / 20.0;
            // A further try in overload takes a place from a first one.
            let tries = if self.let_in < 1.0 { FurtherTries::Never } else { tries };
            if self.levels[place] != (level, tries) {
                self.levels[place] = (level, tries);
                self.out.push_back(Decision::Level(1 << place, level, tries));
                orders += 1;
            }
        }
        self.waiting += (orders * self.proxies.len()) as f64;
        orders
    }
}

/// A proxy's flows of one kind: its zone, flows a second, and where they now go.
type Unit = (usize, f64, Lines);
type Solved = BTreeMap<(ProxyId, usize), Lines>;

#[derive(Default)]
struct Field {
    ratio: f64,
    /// By replica: its zone, and the rate at which its utilisation is taken to be the mean one.
    rooms: BTreeMap<ReplicaId, (usize, f64)>,
    rates: Lines,
    units: BTreeMap<(ProxyId, usize), Unit>,
}

impl Field {
    /// Rates by replica with these units' lines in place of their present ones.
    fn totals(&self, solved: &Solved) -> Lines {
        let mut totals = Lines::new();
        for (unit, (_, _, rates)) in &self.units {
            for (id, rate) in solved.get(unit).unwrap_or(rates) {
                *totals.entry(id.clone()).or_insert(0.0) += rate;
            }
        }
        totals
    }

    fn hottest(&self, solved: &Solved) -> Option<(ReplicaId, f64)> {
        let totals = self.totals(solved);
        let loads =
            self.rooms.iter().map(|(id, (_, room))| (id, totals.get(id).copied().unwrap_or(0.0) / room));
        loads.max_by(|one, other| one.1.total_cmp(&other.1)).map(|(id, load)| (id.clone(), load))
    }

    fn ratio_with(&self, solved: &Solved) -> f64 {
        let rooms: f64 = self.rooms.values().map(|(_, room)| room).sum();
        let mean = self.rates.values().sum::<f64>() / rooms;
        self.hottest(solved).map_or(1.0, |(_, peak)| (mean / peak.max(1e-9)).min(1.0))
    }

    /// The page's payoff: the ratio, less the rerouted share of traffic times a penalty.
    fn payoff(&self, solved: &Solved) -> f64 {
        let mut moved = 0.0;
        for (unit, lines) in solved {
            let old = &self.units[unit].2;
            moved +=
                lines.iter().map(|(id, rate)| (rate - old.get(id).unwrap_or(&0.0)).max(0.0)).sum::<f64>();
        }
        let ratio = self.ratio_with(solved);
        let whole = self.rates.values().sum::<f64>().max(f64::MIN_POSITIVE);
        ratio - moved / whole * if ratio < TARGET { PENALTIES.0 } else { PENALTIES.1 }
    }

    /// The proxy outside the set that sends most to the hottest replica.
    fn sends_most(&self, solved: &Solved, set: &BTreeSet<ProxyId>) -> Option<ProxyId> {
        let (hottest, _) = self.hottest(solved)?;
        let mut sends: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for ((id, _), (_, _, rates)) in self.units.iter().filter(|((id, _), _)| !set.contains(id)) {
            *sends.entry(*id).or_insert(0.0) += rates.get(&hottest).copied().unwrap_or(0.0);
        }
        let most = sends.into_iter().max_by(|one, other| one.1.total_cmp(&other.1));
        most.filter(|(_, rate)| *rate > 0.0).map(|(id, _)| id)
    }

    /// Water-fills the units of the set, largest first, against all others, twice over.
    fn fill(&self, set: &BTreeSet<ProxyId>, crossing: f64) -> Solved {
        let chosen = self.units.iter().filter(|((id, _), _)| set.contains(id));
        let mut chosen: Vec<(&(ProxyId, usize), &Unit)> = chosen.collect();
        chosen.sort_by(|one, other| other.1.1.total_cmp(&one.1.1));
        let mut solved = Solved::new();
        for _ in 0..2 {
            for &(unit, (zone, demand, _)) in &chosen {
                solved.insert(*unit, Lines::new());
                let others = self.totals(&solved);
                let reach = self.rooms.iter().filter(|(_, (there, _))| unit.1 == 0 || there == zone);
                let mut vessels: Vec<(f64, f64, &ReplicaId)> = reach
                    .map(|(id, (there, room))| {
                        let price = if there == zone { 1.0 } else { crossing };
                        (others.get(id).copied().unwrap_or(0.0) * price / room, room / price, id)
                    })
                    .collect();
                vessels.sort_by(|one, other| one.0.total_cmp(&other.0));
                vessels.truncate(COOLEST);
                solved.insert(*unit, pour(*demand, &vessels));
            }
        }
        solved
    }
}

/// Pours a rate into vessels of (level, room), coolest first, so that the highest level stays lowest.
fn pour(rate: f64, vessels: &[(f64, f64, &ReplicaId)]) -> Lines {
    let (mut room, mut held, mut level) = (0.0, 0.0, 0.0);
    for (place, vessel) in vessels.iter().enumerate() {
        room += vessel.1;
        held += vessel.0 * vessel.1;
        level = (rate + held) / room;
        if vessels.get(place + 1).is_none_or(|next| next.0 >= level) {
            break;
        }
    }
    let poured = vessels.iter().map(|(at, room, id)| ((*id).clone(), (level - at) * room));
    poured.filter(|(_, rate)| *rate > 0.0).collect()
}
