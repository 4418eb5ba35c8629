//! All decisions: which tables a service's plain proxies hold, and when they hear of it.
//! A host makes one [`Governor`] for each governor process, calls its inputs as things happen, and pulls
//! [`Governor::next_decision`] until it gives `None`: what comes in one go is one message to each proxy concerned.
//! The types of both sides stand in `types.rs`. The mechanism is FlexDATE's (`docs/design.md`); parts, in
//! order of precedence: withdraw, health, cold, default repair, critical set, levels and tries, pace.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::types::*;

#[cfg(test)]
mod tests;

const BEAT: Duration = Duration::from_millis(250); // the one timer; orders are gathered for two beats
const TARGET: f64 = 0.9; // the paper's, for the ratio
const PENALTIES: (f64, f64) = (0.5, 1.0); // the page's, on rerouted traffic below and above the target
const COOLEST: usize = 30; // the page's, lines at most
const WORTH_SENDING: f64 = 0.12; // a line that moved by less is within the noise of the sums
const BEND: (f64, f64) = (0.25, 0.95); // how far a cycle bends a room to the mean; what it keeps
const LIMPS_AT: f64 = -0.25; // bent to 0.78, which is no noise, and critical proxies can't unload it alone
const ZONE_SLACK: (f64, f64) = (1.15, 1.4); // of the mean, where a hurt zone spills; of that, a whole one
const LATE: f64 = 0.5; // levels are cut once answers take this share of the budget
const DRAINING: f64 = 0.77; // to this much of what jammed replicas answer
const SIZED_FOR: f64 = 0.7; // the share of its capacity that a fleet is sized to carry
const HEARD_ENOUGH: f64 = 50.0; // tries, before their drops mean anything
const STRESSED_AT: f64 = 0.05; // share of drops from which a zone counts as stressed
const WARINESS: (f64, f64) = (2.0, 3.0); // times the stress that cold ones must bear; where proxies avoid
const SILENT_AFTER: f64 = 8.0; // answers due: chance leaves none of so many once in some thousand looks
const REMEMBERED: Duration = Duration::from_secs(120); // what is gone, as standing tables may be that old
const FIRST_WAIT: Duration = Duration::from_secs(4); // before a trial, doubled by each failure

#[derive(Default)]
struct Figures {
    groups: [ClassSet; 2], // by kind of table: free to cross, and bound to the proxy's own zone
    values: Vec<f64>,      // by group: utility per work
    levels: bool,
    budget: f64,
    shared: f64,      // all proxies, where other governors have some of them; else none
    cold: (f64, f64), // worst-case share of its capacity that a replica starts with, growth a second
    wariness: f64,
    crossing: f64,
    averaged: f64, // five periods of the sums
    subset: usize, // lines of a standing table, and of an own default where the zone's has too many
    settling: Duration,
    every: Duration,            // ordinary flush
    flushes: (usize, Duration), // within a span; one message to each proxy is kept for its joining
    lines_per_s: f64,
    head: f64,
    waiting_most: f64, // less a reserve
    transit: Duration,
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
    gone: Option<Duration>, // since when it is not listed at all
    started: Option<Duration>,
    known: Option<Duration>, // first listed as ready: tables drawn later may name it
    held: bool,              // too cold for the whole weight at which tables that can't be read may name it
    health: Health,
    withdrawn: bool,
    since: Duration, // silence counts from here on: what went before was met under other tables
    sights: BTreeMap<usize, Sight>, // by zone, what its proxies met; evidence fades with time
    expected: f64,
    bend: f64,
    in_hand: Option<f64>,
    waiting: Option<(f64, Duration)>,
    unanswered_probes: u32,
}

type Draw = (Duration, usize); // what a standing table was drawn from: what was listed by then in a zone

struct Proxy {
    zone: usize,
    rates: Vec<f64>, // by group, blocked flows too: what is usual, until more is heard
    since: Duration,
    heard: Vec<Duration>, // by group, when its last line came; no flow, no line
    standing: Option<Draw>,
    unsure: bool, // holds nobody knows what: must follow own tables before anything else can be said of it
}

type Lines = BTreeMap<ReplicaId, f64>;
type Unit = (ProxyId, usize);
type Tables = BTreeMap<Unit, Lines>;
type Vessel = (f64, f64, usize); // level, room, a replica's place in the field
type Places = Vec<(usize, f64)>; // a share or a rate by a replica's place in the field

/// One governor's knowledge, and the decisions that wait to be pulled.
#[derive(Default)]
pub struct Governor {
    figures: Figures,
    replicas: BTreeMap<ReplicaId, Replica>,
    proxies: BTreeMap<ProxyId, Proxy>,
    tables: Tables, // own ones as last sent, kept over a broken stream: they outlive it here
    critical: Tables,
    cycles_below: u32,
    stress: BTreeMap<usize, f64>, // by zone: share of tries dropped, or the fleet's if more
    common: bool,                 // the middle replica drops much, which is no single one's trouble
    unheard: bool, // too little to tell: half is assumed, as a governor may restart in mid-trouble
    thin: BTreeSet<usize>,
    nominal: f64,
    listed_at: Duration,
    lag: Duration, // how long lines wait behind others before they are heard
    least: Option<Duration>,
    heard: BTreeMap<usize, Duration>,
    joined: BTreeMap<usize, Duration>,
    let_in: f64,          // the share of flows let in
    cut: (f64, Duration), // what was answered at the last one, beyond which levels feel their way; when
    pulse: (f64, f64),
    unanswered: Vec<f64>, // by group, of the flows let in, over some hundred lines of the sums
    levels: Vec<(f64, RetryPolicy)>,
    due: BTreeSet<(Duration, ReplicaId)>,
    beats: u64,
    publish_at: Duration,
    flushes: VecDeque<Duration>,
    waiting: f64,
    ordered: VecDeque<(Duration, f64)>, // when, and how many lines, of what may wait
    drained_at: Duration,
    wake: bool,
    settled: bool,
    out: VecDeque<Decision>,
}

fn at<K: Ord, V: Copy + Default>(map: &BTreeMap<K, V>, key: &K) -> V {
    map.get(key).copied().unwrap_or_default()
}

fn per(whole: f64, parts: f64) -> f64 {
    whole / parts.max(f64::MIN_POSITIVE)
}

impl Figures {
    fn new(settings: &Settings) -> Self {
        let tabled = if settings.key_slices > 0 { 0 } else { 64 }; // slices' own tables are not laid into yet
        let groups = || settings.classes.iter().take(tabled).enumerate();
        let set =
            |own| groups().filter(|(_, one)| one.same_zone_only == own).map(|(place, _)| 1 << place).sum();
        // The wire tells no group's work: its latency budget stands in, as what needs longer is given longer.
        let budget = |place: usize| settings.classes[place].latency_objective.as_secs_f64();
        let value = |place: usize| per(settings.classes[place].priority_weight, budget(place));
        let places = 0..settings.classes.len().min(64);
        let field = |wanted| settings.load_fields.iter().position(|field| *field == wanted);
        let (most, over) = match settings.message_limit {
            Some(limit) => (limit.messages, limit.interval),
            None => (usize::MAX, Duration::ZERO),
        };
        let cold = settings.initial_capacity_fraction.clamp(0.01, 1.0);
        Figures {
            groups: [set(false), set(true)],
            levels: settings.admission_control == AdmissionControl::Fraction,
            budget: per(places.clone().map(budget).sum(), places.len() as f64),
            values: places.map(value).collect(),
            shared: if settings.governor_count > 1 { settings.proxy_count as f64 } else { 0.0 },
            cold: (cold, per(1.0 - cold, settings.slow_start_duration.as_secs_f64())),
            wariness: if settings.proxies_eject_locally { WARINESS.1 } else { WARINESS.0 },
            crossing: 1.0 + 4.0 * settings.cross_zone_cost,
            averaged: 5.0 * settings.report_interval.as_secs_f64(),
            subset: settings.default_table_size.max(1),
            settling: settings.max_transit_delay + 3 * settings.report_interval,
            every: (2 * BEAT).max(over.mul_f64(1.5 / most.max(1) as f64)),
            flushes: (most.saturating_sub(2), over),
            lines_per_s: 0.2 * settings.entries_per_second.max(1.0), // as in trouble, while no answer tells more
            head: settings.message_overhead_entries + settings.classes.len() as f64, // levels travel with each message
            waiting_most: 0.8 * settings.max_queued_entries,
            transit: settings.max_transit_delay,
            probe_every: settings.health_check_cost.map(|_| Duration::from_secs(1)), // each costs its replica work
            load_at: [field(LoadField::InFlight), field(LoadField::Queued)],
        }
    }
}

impl Replica {
    fn out(&self) -> bool {
        !self.ready || self.held || matches!(self.health, Health::Out(..))
    }

    fn named(&self, (at, zone): Draw) -> bool {
        self.known.is_some_and(|known| known <= at) && zone == self.zone
    }

    fn capacity(&self, figures: &Figures, now: Duration) -> f64 {
        let (cold, growth) = figures.cold;
        self.started.map_or(1.0, |at| (cold + growth * now.saturating_sub(at).as_secs_f64()).min(1.0))
    }

    fn bears(&self, figures: &Figures, now: Duration) -> f64 {
        if self.out() { 0.0 } else { self.weight * self.capacity(figures, now) }
    }

    fn evidence(&self) -> (f64, f64) {
        self.sights.values().fold((0.0, 0.0), |(d, m), sight| (d + sight.delivered, m + sight.dropped))
    }

    fn judge_anew(&mut self, now: Duration, health: Health) {
        (self.health, self.since, self.expected, self.bend) = (health, now, 0.0, 0.0);
        self.sights.clear();
        (self.in_hand, self.unanswered_probes) = (None, 0);
    }
}

/// Inputs only update what is known.
impl Governor {
    pub fn new(settings: Settings, now: Duration) -> Self {
        Governor {
            figures: Figures::new(&settings),
            unheard: true,
            let_in: 1.0,
            cut: (1.0, Duration::ZERO),
            levels: vec![(1.0, settings.default_retry_policy); settings.classes.len().min(64)],
            drained_at: now,
            unanswered: vec![0.0; settings.classes.len()],
            wake: true,
            ..Governor::default()
        }
    }

    /// The list, or what changed in it. What a complete list leaves out is gone.
    pub fn update_replicas(&mut self, now: Duration, entries: &[ReplicaEntry], scope: RosterScope) {
        let complete = scope == RosterScope::Complete;
        let named: BTreeSet<&ReplicaId> = entries.iter().map(|entry| &entry.id).collect();
        let unnamed = self.replicas.iter_mut().filter(|(id, _)| complete && !named.contains(id));
        unnamed.for_each(|(_, replica)| (replica.ready, replica.gone) = (false, replica.gone.or(Some(now))));
        for entry in entries {
            let replica = self.replicas.entry(entry.id.clone()).or_default();
            if replica.started != entry.started_at || replica.weight == 0.0 {
                replica.started = entry.started_at;
                replica.judge_anew(now, Health::Fit); // the old process's faults are not its own
            }
            let ready = entry.phase == Phase::Ready;
            if ready && !replica.ready {
                (replica.since, replica.known) = (now, replica.known.or(Some(now)));
                self.due.extend(self.figures.probe_every.map(|every| (now + every, entry.id.clone())));
            }
            replica.ready = ready;
            replica.gone = (entry.phase == Phase::Gone).then_some(replica.gone.unwrap_or(now));
            (replica.zone, replica.weight) = (entry.zone, entry.weight.max(f64::MIN_POSITIVE));
        }
        let ready = self.sum(|one| if one.ready { one.weight } else { 0.0 });
        (self.listed_at, self.nominal) = (now, ready.max(self.nominal));
        self.hold(now);
    }

    /// A standing table can't be given a cold replica by parts: it waits until it bears its usual load.
    fn hold(&mut self, now: Duration) {
        let draws: BTreeSet<Draw> = self.proxies.values().filter_map(|one| one.standing).collect();
        let unread: Vec<Draw> = draws.into_iter().filter(|draw| self.unread(*draw)).collect();
        for replica in self.replicas.values_mut() {
            let drawn = unread.iter().any(|draw| replica.named(*draw));
            replica.held = drawn && replica.capacity(&self.figures, now) < SIZED_FOR;
        }
    }

    fn unread(&self, draw: Draw) -> bool {
        self.replicas.values().filter(|one| one.named(draw)).count() > self.figures.subset.max(COOLEST)
    }

    /// A proxy's stream is up; `fresh` if it holds only its standing table.
    pub fn proxy_connected(&mut self, now: Duration, connection: ProxyConnection) {
        let ProxyConnection { proxy, zone, requests_per_second: usual, holds_default_table: fresh } =
            connection;
        self.proxy_disconnected(proxy);
        let mut here = self.replicas.values().filter(|one| one.zone == zone);
        let few = here.clone().filter(|one| one.ready).count() < 3; // it draws from all zones then
        let unsure = !fresh || few || here.any(|one| self.part(one, now) < 1.0);
        let standing = fresh.then_some((self.listed_at, zone));
        let rates = vec![per(usual, self.levels.len() as f64); self.levels.len()];
        let heard = vec![now; self.levels.len()];
        self.proxies.insert(proxy, Proxy { zone, rates, since: now, heard, standing, unsure });
        self.joined.insert(zone, now);
    }

    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.critical.retain(|(critical, _), _| *critical != proxy);
    }

    pub fn record_replica_statistics(&mut self, now: Duration, met: ReplicaStatistics) {
        self.heard.insert(met.zone, now);
        // What comes all the time has a span as long as its lines wait; that of rare lines is longer.
        self.least = self.least.or(Some(met.interval)).min(Some(met.interval));
        let Some(replica) = self.replicas.get_mut(&met.replica) else { return };
        let waiting = self.figures.load_at[1].and_then(|at| met.load.get(at));
        replica.waiting = waiting.map(|waiting| (*waiting, now)).or(replica.waiting);
        let span = met.interval.as_secs_f64().max(0.001);
        let kept = (-span / self.figures.averaged).exp();
        let delivered = met.attempts.saturating_sub(met.failed) as f64;
        let sight = replica.sights.entry(met.zone).or_default();
        sight.delivered = sight.delivered * kept + delivered;
        sight.dropped = sight.dropped * kept + met.failed as f64;
        let kept = if sight.last.is_zero() { 0.0 } else { kept }; // else early answers look like few
        sight.rate += (met.attempts as f64 / span - sight.rate) * (1.0 - kept);
        (sight.last, sight.last_answer) = (now, if delivered > 0.0 { now } else { sight.last_answer });
        if let Some(mean) = met.mean_latency.map(|mean| mean.as_secs_f64()) {
            self.pulse = (self.pulse.0 + delivered, self.pulse.1 + delivered * mean);
            let share = if sight.time > 0.0 { per(delivered, sight.delivered.max(1.0)) } else { 1.0 };
            sight.time += (mean - sight.time) * share;
        }
    }

    pub fn record_demand(&mut self, now: Duration, came: DemandStatistics) {
        self.least = self.least.or(Some(came.interval)).min(Some(came.interval));
        let Some(proxy) = self.proxies.get_mut(&came.proxy) else { return };
        let (rate, heard) = (proxy.rates.get_mut(came.class), proxy.heard.get_mut(came.class));
        let Some((rate, heard)) = rate.zip(heard) else { return };
        let unanswered = &mut self.unanswered[came.class];
        let share = per(came.failed as f64, came.requests as f64 * self.levels[came.class].0).min(1.0);
        *unanswered += 0.01 * self.levels[came.class].0 * (share - *unanswered);
        // A line's span may be cut short, and silence has none: where flows are rare both would look like
        // more of them. Over fewer than some four flows chance would do the same.
        let span =
            came.interval.max(now.saturating_sub(std::mem::replace(heard, now))).as_secs_f64().max(0.001);
        let averaged = per(4.0, *rate).clamp(self.figures.averaged, 12.0 * self.figures.averaged);
        *rate += (came.requests as f64 / span - *rate) * (1.0 - (-span / averaged).exp());
    }

    /// What a probe found: how long the answer took, if one came.
    pub fn record_health_check(
        &mut self,
        now: Duration,
        id: &ReplicaId,
        took: Option<Duration>,
        load: &[f64],
    ) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        replica.unanswered_probes = if took.is_some() { 0 } else { replica.unanswered_probes + 1 };
        let known = replica.in_hand.unwrap_or(1.0);
        replica.in_hand = match self.figures.load_at[0].map(|at| load.get(at)) {
            Some(Some(in_hand)) => Some(known + (in_hand - known) / 3.0),
            // A probe waits behind flows: one unanswered tells of load where those answered tell of none.
            Some(None) if took.is_none() => Some(1.3 * known.max(1.0)), // that much more each
            _ => replica.in_hand,
        };
        self.due
            .extend(self.figures.probe_every.filter(|_| replica.ready).map(|then| (now + then, id.clone())));
    }

    /// A marked message took effect this long after it was ordered: what went well before it has left.
    pub fn acknowledged(&mut self, took: Duration) {
        let ordered = self.drained_at.saturating_sub(took + self.figures.transit);
        self.ordered.retain(|(at, _)| *at >= ordered);
        self.waiting = self.waiting.min(self.ordered.iter().map(|(_, lines)| lines).sum());
    }

    pub fn tick(&mut self) {
        self.wake = true;
    }

    /// Whether anything is still known of a replica; of what is gone and in no table nothing is.
    pub fn tracks(&self, id: &ReplicaId) -> bool {
        self.replicas.contains_key(id)
    }

    pub fn state_estimate(&self) -> StateEstimate {
        let (offered, answered) = (self.proxies.values().flat_map(|one| &one.rates).sum(), self.answered());
        let out = self.replicas.values().filter(|one| one.ready && one.out()).count();
        let open = self.replicas.values().filter(|one| one.ready && !one.out()).count();
        let unsure = self.proxies.values().filter(|one| one.unsure).count();
        StateEstimate {
            offered_per_second: offered,
            answered_per_second: answered,
            admission_fraction: self.let_in,
            available_replicas: open,
            ejected_replicas: out,
            proxies: self.proxies.len(),
            unsynchronised_proxies: unsure,
        }
    }

    pub fn is_critical(&self, proxy: ProxyId) -> bool {
        self.critical.range((proxy, 0)..=(proxy, 1)).next().is_some()
    }

    /// For operators: why a replica gets nothing, or little, if that is so.
    pub fn ejection_reason(&self, id: &ReplicaId) -> Option<&'static str> {
        let replica = self.replicas.get(id)?;
        match replica.health {
            _ if !replica.ready => Some("drains or is gone"),
            _ if replica.held => Some("too cold for tables that can't be read"),
            Health::Out(..) => Some("withdrawn: does not answer, or drops far more than the fleet"),
            Health::Trial(_) => Some("on trial after a withdrawal"),
            Health::Fit => None,
        }
    }

    /// The next decision. What was put in is settled by the first pull after a `None`.
    pub fn next_decision(&mut self, now: Duration) -> Option<Decision> {
        if !self.settled {
            self.settle(now);
        }
        self.settled = !self.out.is_empty();
        self.out.pop_front()
    }

    fn settle(&mut self, now: Duration) {
        let beat = std::mem::take(&mut self.wake);
        if beat {
            self.out.push_back(Decision::ScheduleTick(BEAT));
            self.beats += 1;
            self.judge(now);
            if self.beats.is_multiple_of(4) {
                self.shed(now);
            }
            if self.beats.is_multiple_of(8) {
                let period = Duration::from_secs_f64(self.figures.averaged / 5.0);
                self.lag = self.least.take().map_or(self.lag, |least| least.saturating_sub(period));
                self.bend(now);
                self.solve(now);
            }
        }
        for (_, id) in self.due.extract_if(.., |(at, _)| *at <= now) {
            self.out
                .extend(self.replicas.get(&id).filter(|one| one.ready).map(|_| Decision::CheckHealth(id)));
        }
        let ordinary = beat && now >= self.publish_at;
        self.publish_at = if ordinary { now + self.figures.every } else { self.publish_at };
        self.publish(now, beat, ordinary);
    }

    /// What part of its weight a replica may be sent: in stress proxies pile onto those that still answer.
    fn part(&self, replica: &Replica, now: Duration) -> f64 {
        let capacity = replica.capacity(&self.figures, now);
        let stress = if self.unheard { 0.5 } else { at(&self.stress, &replica.zone) };
        // What is bound to a zone with nothing warm can't go elsewhere: there all bear their part.
        let (bound, thin) = (self.figures.groups[1] != 0, self.thin.contains(&replica.zone));
        let wary = capacity < 1.0 && if bound { stress > 0.0 && !thin } else { stress > 0.0 || thin };
        match replica.health {
            _ if replica.out() || wary && capacity < self.figures.wariness * stress => 0.0,
            Health::Trial(_) => 0.1 * capacity, // enough for four answers in some seconds
            _ if wary => capacity * capacity * (1.0 - stress),
            _ => capacity,
        }
    }

    fn demand(&self, proxy: &Proxy, groups: ClassSet) -> f64 {
        let rates = proxy.rates.iter().zip(&self.levels).enumerate();
        rates
            .filter(|(at, _)| groups >> (*at).min(63) & 1 == 1)
            .map(|(_, (rate, (level, _)))| rate * level)
            .sum()
    }

    /// Health, by symptom: no answers where answers are due, or far more drops than the fleet has.
    fn judge(&mut self, now: Duration) {
        let open = |one: &Replica| if one.out() { (0.0, 0.0) } else { one.evidence() }; // tells of no load
        let tries = self.by_zone(|a, b| a + b, |one| open(one).0 + open(one).1);
        let dropped = self.by_zone(|a, b| a + b, |one| open(one).1);
        let whole: f64 = tries.values().sum();
        let usual_drops = per(dropped.values().sum(), whole.max(1.0));
        self.unheard = self.unheard && whole < HEARD_ENOUGH;
        let tried = self.replicas.values().map(open).filter(|(d, m)| d + m >= 4.0);
        self.common = 2 * tried.clone().filter(|(d, m)| *m > 0.1 * (d + m)).count() > tried.count();
        let of = |zone: &usize, drops: f64| per(drops, at(&tries, zone).max(0.4 * HEARD_ENOUGH));
        let share = |(zone, drops): (usize, f64)| (zone, of(&zone, drops).max(usual_drops));
        self.stress = dropped.into_iter().map(share).filter(|(_, share)| *share > STRESSED_AT).collect();
        let suspects = self.suspects(now, usual_drops);
        self.withdraw_worst(now, suspects);
        self.take_back(now);
        self.hold(now);
        for replica in self.replicas.values_mut() {
            let (delivered, dropped) = replica.evidence();
            let passes = delivered >= 4.0 && dropped < 0.25 * delivered;
            match replica.health {
                Health::Out(at, times) if now >= at && replica.unanswered_probes == 0 => {
                    replica.judge_anew(now, Health::Trial(times));
                }
                Health::Trial(_) if passes => replica.health = Health::Fit,
                _ => {}
            }
        }
    }

    /// Replicas that look ill beside the fleet, by how ill; those that failed their trial come first.
    fn suspects(&mut self, now: Duration, usual: f64) -> Vec<(f64, ReplicaId)> {
        let sending = self.field(now).sending();
        let sights = self.replicas.values().flat_map(|replica| replica.sights.values());
        let (flows, time) = sights.fold((0.0, 0.0), |(n, t), s| (n + s.delivered, t + s.delivered * s.time));
        let answering = Duration::from_secs_f64(1.5 * time / flows.max(1.0));
        let settling = self.figures.settling + self.lag + answering; // before silence means anything
        let ready = self.replicas.values().filter(|one| one.ready);
        let (ready, mute) = (ready.clone().count(), ready.filter(|one| one.unanswered_probes >= 2).count());
        let (mean, _) = self.mean_utilisation(now);
        let mut suspects = Vec::new();
        for ((id, replica), zones) in self.replicas.iter().zip(&sending).filter(|((_, one), _)| one.ready) {
            let (delivered, dropped) = replica.evidence();
            let last = replica.sights.values().map(|sight| sight.last_answer).max().unwrap_or_default();
            let from = (last + answering).max(replica.since + settling);
            // A zone whose sums stopped, or whose proxies just came, says nothing by its silence.
            let owed = |zone: &usize| {
                let from = from.max(self.joined.get(zone).copied().unwrap_or(now) + settling);
                at(&self.heard, zone).saturating_sub(from + self.lag).as_secs_f64()
            };
            let due: f64 = zones.iter().map(|(zone, rate)| rate * owed(zone)).sum();
            let due = due * per(replica.expected, zones.values().sum()).min(1.0); // not if just widened
            let share = per(dropped, (delivered + dropped).max(1.0));
            // A probe waits behind flows: unanswered ones count only where they are rare in the fleet.
            let mute = replica.unanswered_probes >= 2 && 5 * mute <= ready;
            let silent = due >= if mute { 0.25 * SILENT_AFTER } else { SILENT_AFTER };
            let failing = dropped >= 4.0 && share >= (3.0 * usual).min(0.5 + 0.5 * usual).max(0.3);
            let silent = silent || dropped >= 4.0 && share > 0.95; // dead, however many others are too
            // One that drops for its queue is overloaded: withdrawing it would tip the next.
            let busy = self.utilisation(replica, now).is_some_and(|held| held > 1.3 * mean)
                || replica.waiting.is_some_and(|(waiting, _)| waiting >= 2.0);
            let ill = match replica.health {
                Health::Fit if silent => 1.0 + due,
                Health::Fit if failing && !busy => share,
                Health::Trial(_) if silent || dropped > delivered.max(1.0) => f64::MAX,
                _ => continue,
            };
            suspects.push((ill, id.clone()));
        }
        for (replica, zones) in self.replicas.values_mut().zip(sending) {
            let rate: f64 = zones.values().sum();
            replica.expected += (rate - replica.expected) * BEAT.as_secs_f64() / self.figures.averaged;
            replica.since = if rate == 0.0 { now } else { replica.since }; // in no table it owes no answers
        }
        suspects.sort_by(|one, other| other.0.total_cmp(&one.0));
        suspects
    }

    /// Withdraws the worst, never so many that the rest, or what is left of a zone, could not bear it.
    fn withdraw_worst(&mut self, now: Duration, suspects: Vec<(f64, ReplicaId)>) {
        let ready = self.replicas.values().filter(|one| one.ready).count();
        let mut out = self.replicas.values().filter(|one| one.ready && one.out()).count();
        for (ill, id) in suspects {
            let zone = self.replicas[&id].zone;
            let own = self.replicas.iter().filter(|(_, one)| one.zone == zone && one.ready);
            let own = own.map(|(other, one)| (*other != id && !one.out(), one.capacity(&self.figures, now)));
            let all: f64 = own.clone().map(|(_, capacity)| capacity).sum();
            let rest = own.filter(|(open, _)| *open).map(|(_, capacity)| capacity);
            let (left, warm) = rest.fold((0.0, 0.0), |(left, warm), one| (left + one, one.max(warm)));
            let least = all * if ill < 1.0 { 0.7 } else { 0.34 };
            let bares = self.figures.groups[1] != 0 && (warm < 1.0 || left < least);
            let Some(replica) = self.replicas.get_mut(&id) else { continue };
            let times = if let Health::Trial(times) = replica.health { times } else { 0 };
            let spared = self.common || 10 * (out + 1) > 4 * ready || bares;
            if times > 0 || !spared {
                out += 1;
                replica.judge_anew(now, Health::Out(now + FIRST_WAIT * 2u32.pow(times.min(4)), times + 1));
            }
        }
    }

    /// Where nothing warm is open an ill replica is better than none, as when drains follow a withdrawal.
    fn take_back(&mut self, now: Duration) {
        let open = |one: &Replica| if one.out() { 0.0 } else { one.capacity(&self.figures, now) };
        let best = self.by_zone(f64::max, open);
        let (bound, fleet) = (self.figures.groups[1] != 0, best.values().copied().fold(0.0, f64::max));
        for replica in self.replicas.values_mut().filter(|one| one.ready && one.out()) {
            let best = if bound { at(&best, &replica.zone) } else { fleet };
            if best == 0.0 || best < 1.0 && replica.capacity(&self.figures, now) >= 1.0 {
                replica.judge_anew(now, Health::Fit);
            }
        }
        self.thin = best.into_iter().filter(|(_, best)| *best < 1.0).map(|(zone, _)| zone).collect();
    }

    fn sum(&self, of: impl Fn(&Replica) -> f64) -> f64 {
        self.replicas.values().map(of).sum()
    }

    fn by_zone(&self, join: fn(f64, f64) -> f64, of: impl Fn(&Replica) -> f64) -> BTreeMap<usize, f64> {
        let mut zones = BTreeMap::new();
        for one in self.replicas.values() {
            zones.entry(one.zone).and_modify(|all| *all = join(*all, of(one))).or_insert_with(|| of(one));
        }
        zones
    }

    /// The default of each zone, by kind of table: own zone first, spilling over where that can't bear it.
    fn defaults(&self, now: Duration) -> BTreeMap<(usize, usize), Lines> {
        let limp = |one: &Replica| if one.bend < LIMPS_AT { one.bend.exp() } else { 1.0 };
        let weight = |one: &Replica| one.weight * self.part(one, now) * limp(one);
        let bears = self.by_zone(|a, b| a + b, weight);
        let (mut bound, mut all, mut joined) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for one in self.proxies.values() {
            *joined.entry(one.zone).or_insert(0.0) += 1.0;
            *bound.entry(one.zone).or_insert(0.0) += self.demand(one, self.figures.groups[1]);
            *all.entry(one.zone).or_insert(0.0) += self.demand(one, ClassSet::MAX);
        }
        // Other governors' proxies are unheard: taken to be where fewer are here than the fleet's sizes tell.
        let (here, mine) = (self.proxies.len() as f64, all.values().sum::<f64>());
        let sizes = self.by_zone(|a, b| a + b, |one| if one.ready { one.weight } else { 0.0 });
        let each = per(self.figures.shared, sizes.values().sum());
        let away = |(zone, size): (&usize, &f64)| (each * size - at(&joined, zone)).max(0.0);
        let more = per(mine, here) * per((self.figures.shared - here).max(0.0), sizes.iter().map(away).sum());
        sizes.iter().for_each(|one| *all.entry(*one.0).or_insert(0.0) += more * away(one));
        let slack = ZONE_SLACK.0 * per(all.values().sum(), bears.values().sum());
        // Demand that the fleet does not answer shows no room: it would only fell the cold.
        let flowing = if self.unheard { 1.0 } else { per(self.answered(), mine).min(1.0) };
        let spare = |zone: &usize| (slack * at(&bears, zone) - at(&all, zone)).max(0.0);
        let mut defaults = BTreeMap::new();
        for &zone in joined.keys() {
            let (own, bound, all) = (at(&bears, &zone), at(&bound, &zone), at(&all, &zone));
            let mut here = self.replicas.values().filter(|one| one.zone == zone);
            let hurt = here.clone().any(|one| weight(one) < one.weight) || all > ZONE_SLACK.1 * slack * own;
            let cold = here.any(|one| !one.out() && one.capacity(&self.figures, now) < 1.0);
            let slack = slack * if cold { flowing } else { 1.0 };
            // Where nothing is warm, what is bound there needs all of it, and the rest goes elsewhere.
            let kept = if hurt { per(slack * own - bound, all - bound).clamp(0.05, 1.0) } else { 1.0 };
            let kept = if self.figures.groups[1] != 0 && self.thin.contains(&zone) { 0.0 } else { kept };
            let rest: f64 = bears.keys().filter(|other| **other != zone).map(spare).sum();
            let out = if kept < 0.95 { own.max(1.0) * (1.0 - kept) } else { 0.0 };
            let free = |to| if to == zone { kept } else { out * per(per(spare(&to), rest), bears[&to]) };
            let own = |other: usize| f64::from(u8::from(other == zone));
            for kind in 0..2 {
                let part = |other| if kind == 0 { free(other) } else { own(other) };
                let mut lines = self.lines(|one| weight(one) * part(one.zone));
                if lines.is_empty() {
                    let open = |one: &Replica| f64::from(u8::from(kind == 0 || one.zone == zone));
                    lines = self.lines(|one| open(one) * one.bears(&self.figures, now));
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

    /// Whether tables of a draw no longer do what the zone's default would, and whether that can't wait.
    fn rotten(&self, draw: Draw, default: &Lines) -> (bool, bool) {
        if !self.unread(draw) {
            let named = self.replicas.iter().filter(|(_, one)| one.named(draw) && !one.out());
            let less = |(id, weight): (&ReplicaId, &f64)| *weight < self.replicas[id].weight;
            let rotten = !named.map(|(id, _)| id).eq(default.keys()) || default.iter().any(less);
            return (rotten, rotten);
        }
        // Expectation tells of what can't be read: worn below 0.6 of its part, all bound if one may be bare.
        let open = |one: &Replica| if one.out() { 0.0 } else { one.weight };
        let left = self.sum(|one| if one.named(draw) { open(one) } else { 0.0 });
        let all = self.sum(|one| if one.named(draw) { one.weight } else { 0.0 });
        let here = self.sum(|one| if one.zone == draw.1 { open(one) } else { 0.0 });
        let tables = self.proxies.values().filter(|one| one.standing == Some(draw)).count() as f64;
        let bare = tables * (1.0 - per(left, all)).powi(self.figures.subset as i32) > 0.02;
        (bare || left < 0.6 * here.max(all), bare)
    }

    /// Pace: all orders leave here, urgent ones first, as one message to each proxy concerned.
    fn publish(&mut self, now: Duration, beat: bool, ordinary: bool) {
        let sent = now.saturating_sub(self.drained_at).as_secs_f64() * self.figures.lines_per_s;
        (self.waiting, self.drained_at) = ((self.waiting - sent).max(0.0), now);
        self.ordered.retain(|_| self.waiting > 0.0);
        let before = self.waiting;
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
        if flush || beat && self.proxies.values().any(|proxy| proxy.unsure) {
            self.tables(now, flush);
        }
        if flush {
            self.withdraw(false);
            self.level(now);
            self.forget(now);
        }
        self.ordered.extend((self.waiting > before).then_some((now, self.waiting - before)));
        if flush && self.out.len() > first {
            self.flushes.push_back(now);
            self.out.push_back(Decision::RequestAcknowledgement((self.beats % u64::from(u16::MAX)) as u16));
        }
    }

    /// Years of deploys under new names would add up. What a table may still name stays, with its withdrawal:
    /// a proxy would send to it again. So does what went lately: joiners may have drawn from an older list.
    fn forget(&mut self, now: Duration) {
        let over = |one: &Replica| one.gone.filter(|gone| *gone + REMEMBERED < now);
        let count = self.replicas.values().filter(|one| over(one).is_some()).count();
        if count == 0 || self.waiting + self.told(count) > 0.5 * self.figures.waiting_most {
            return;
        }
        let tables = self.tables.values().chain(self.critical.values());
        let named: BTreeSet<&ReplicaId> = tables.flat_map(BTreeMap::keys).collect();
        let draws: BTreeSet<Draw> = self.proxies.values().filter_map(|one| one.standing).collect();
        let drawn = |zone, gone| draws.iter().any(|(at, of)| *of == zone && *at < gone + REMEMBERED);
        let forgotten = |one: &Replica| over(one).is_some_and(|gone| !drawn(one.zone, gone));
        let gone = self.replicas.extract_if(.., |id, one| !named.contains(id) && forgotten(one));
        let told: Vec<_> = gone.filter(|(_, one)| one.withdrawn).collect();
        self.waiting += self.told(told.len());
        self.out.extend(told.into_iter().map(|(id, _)| Decision::SetEjected { replica: id, ejected: false }));
    }

    /// The lines of so many withdrawals: to all whose tables can't be read, and twice as many as name one.
    fn told(&self, replicas: usize) -> f64 {
        let named = (2.0 * per(self.figures.subset as f64, self.sum(|one| one.ready.into()))).min(1.0);
        let part = |one: &Proxy| if one.unsure || one.standing.is_some() { 1.0 } else { named };
        let lines = self.proxies.values().map(|one| replicas as f64 * part(one));
        lines.map(|lines| lines + lines.min(1.0) * self.figures.head).sum()
    }

    /// What does not fit waits, drains least; what may come back leaves room for all else.
    fn withdraw(&mut self, out: bool) {
        let room = if out { 1.1 } else { 0.5 } * self.figures.waiting_most - self.waiting;
        let concerned = self.replicas.iter().filter(|(_, one)| one.out() == out && one.withdrawn != out);
        let concerned: BTreeSet<_> = concerned.map(|(id, one)| (one.ready, id.clone())).collect();
        let fitting = (1..=concerned.len()).take_while(|count| self.told(*count) <= room).count();
        self.waiting += self.told(fitting);
        for (_, id) in concerned.into_iter().take(fitting) {
            self.replicas.entry(id.clone()).and_modify(|one| one.withdrawn = out);
            self.out.push_back(Decision::SetEjected { replica: id, ejected: out });
        }
    }

    /// Default repair and solved tables: what each proxy should hold, to those whose table it is not.
    fn tables(&mut self, now: Duration, flush: bool) {
        let (defaults, mut bearable, mut field) = (self.defaults(now), self.cold_zones(now), self.field(now));
        let critical: BTreeSet<ProxyId> = self.critical.keys().map(|(id, _)| *id).collect();
        // Few lines of a busy one make hot spots, from 0.07 of a replica's due. Others' proxies count alike.
        let like = per(self.figures.shared, self.proxies.len() as f64).max(1.0) * self.figures.subset as f64;
        let due = field.totals.iter().sum::<f64>() / self.sum(|one| f64::from(u8::from(one.ready))).max(1.0);
        let (mut draws, mut concerned) = (BTreeMap::new(), Vec::new());
        for (&id, proxy) in &self.proxies {
            let (default, stands) = (&defaults[&(proxy.zone, 0)], proxy.standing.is_some());
            let rot = |draw| *draws.entry(draw).or_insert_with(|| self.rotten(draw, default));
            let (rotten, pressing) = proxy.standing.map_or((false, false), rot);
            let unread = || proxy.standing.is_some_and(|draw| self.unread(draw));
            let busy = self.demand(proxy, ClassSet::MAX) > 0.07 * like * due && unread();
            let bind = proxy.unsure || flush && (rotten || busy || stands && critical.contains(&id));
            if bind || flush && !stands {
                let open = |kind| field.units.get(&(id, kind)).map_or(0, |(.., at)| field.shares[*at].len());
                let few = !stands && (0..2).any(|kind| self.figures.groups[kind] != 0 && open(kind) < 3);
                let rank = if proxy.unsure { 0 } else { 2 - usize::from(pressing || few) };
                concerned.push((rank, -self.demand(proxy, ClassSet::MAX), id, bind));
            }
        }
        // Who can't wait first, then the busiest: the channel may not bear all at once.
        concerned.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        for (rank, _, id, bind) in concerned {
            let spared = [0.8, 0.8, 0.5][rank]; // the rest is for drains, which joiners heed, too
            if self.waiting + 2.0 * COOLEST as f64 > spared * self.figures.waiting_most {
                break;
            }
            let (zone, groups, mut sent) = (self.proxies[&id].zone, self.figures.groups, 0);
            for kind in (0..2).filter(|kind| groups[*kind] != 0) {
                let mut wanted = self.wanted((id, kind), &defaults[&(zone, kind)], &mut field, now);
                if let Some(left) = bearable.get_mut(&zone).filter(|_| kind == 1) {
                    *left -= self.demand(&self.proxies[&id], groups[1]);
                    wanted.retain(|_, _| *left > 0.0);
                }
                sent += self.lay((id, kind), wanted, bind);
            }
            self.waiting += sent as f64 + if sent > 0 { self.figures.head + 1.0 } else { 0.0 };
            if let Some(proxy) = self.proxies.get_mut(&id).filter(|_| bind) {
                (proxy.unsure, proxy.standing) = (false, None);
            }
        }
    }

    /// Flows for zones with nothing warm: 1.2 times what the fleet answers for its capacity fells none.
    fn cold_zones(&self, now: Duration) -> BTreeMap<usize, f64> {
        let bears = self.by_zone(|a, b| a + b, |one| one.bears(&self.figures, now));
        let each = 1.2 * per(self.answered(), bears.values().sum());
        let cold = |zone: &usize| self.figures.groups[1] != 0 && self.thin.contains(zone);
        bears.into_iter().filter(|(zone, _)| cold(zone)).map(|(zone, bears)| (zone, each * bears)).collect()
    }

    /// The lines that a proxy should hold: its solved ones while they stand, else its zone's default.
    fn wanted(&self, unit: Unit, default: &Lines, field: &mut Field, now: Duration) -> Lines {
        let mut solved = self.critical.get(&unit).cloned().unwrap_or_default();
        solved.retain(|id, _| self.part(&self.replicas[id], now) > 0.0);
        // The solver, or the loss of its other lines, would lean on a cold replica beside busy ones.
        let cold = |lines: &Lines| {
            let cold = lines.iter().filter(|(id, _)| self.replicas[*id].capacity(&self.figures, now) < 1.0);
            per(cold.map(|(_, weight)| weight).sum(), lines.values().sum())
        };
        if !solved.is_empty() && cold(&solved) <= cold(default) {
            return solved;
        }
        let (proxy, held) = (&self.proxies[&unit.0], self.tables.get(&unit).cloned().unwrap_or_default());
        let size = (proxy.zone, self.demand(proxy, self.figures.groups[unit.1]), self.figures.subset);
        let whole = (default.len() <= COOLEST).then(|| default.clone());
        whole.unwrap_or_else(|| field.subset(unit, size, default, &held))
    }

    fn lay(&mut self, unit: Unit, wanted: Lines, bind: bool) -> usize {
        let table = self.tables.entry(unit).or_default();
        let gone = table.keys().filter(|id| !wanted.contains_key(*id));
        let rounded = wanted.iter().map(|(id, weight)| (id, (weight * 1000.0).round().max(1.0) / 1000.0));
        let moved = |id, part: f64| (part - at(table, id)).abs() > WORTH_SENDING * part.max(at(table, id));
        let lines = gone.map(|id| (id, 0.0)).chain(rounded.filter(|(id, weight)| moved(*id, *weight)));
        let lines: Vec<(ReplicaId, f64)> = lines.map(|(id, weight)| (id.clone(), weight)).collect();
        table.extend(lines.iter().cloned());
        table.retain(|_, weight| *weight > 0.0);
        // A proxy whose number leaves none for two tables stays on what it holds.
        let Some(n) = unit.0.checked_mul(2).filter(|n| *n < TableId::MAX - 2) else { return 0 };
        let (n, cost) = (n + unit.1 as TableId, if bind { 1 + 2 * table.len() } else { lines.len() });
        self.out.extend((!lines.is_empty()).then(|| {
            let entries = lines.into_iter().map(|(replica, weight)| TableEntry { replica, weight });
            Decision::UpdateTable { table: n, entries: entries.collect() }
        }));
        self.out.extend(bind.then_some(Decision::AssignTable {
            proxy: unit.0,
            table: n,
            classes: self.figures.groups[unit.1],
        }));
        cost
    }

    /// Heard load by listed weight, where any is heard: flows in hand, by probes or else by Little's law.
    fn utilisation(&self, replica: &Replica, now: Duration) -> Option<f64> {
        let load = |(zone, sight): (&usize, &Sight)| {
            let age = at(&self.heard, zone).saturating_sub(sight.last + self.lag);
            sight.rate * sight.time * (-age.as_secs_f64() / self.figures.averaged).exp()
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
            let step = heard.map_or(0.0, |heard| BEND.0 * per(mean, heard.max(1e-9)).max(1e-9).ln());
            replica.bend = (BEND.1 * replica.bend + step.clamp(-0.5, 0.2)).clamp(-1.4, 0.25);
        }
    }

    /// The critical set: greedy from the previous one, by the page's cycles below target, share and payoff.
    fn solve(&mut self, now: Duration) {
        let (mean, peak) = self.mean_utilisation(now);
        self.cycles_below = if mean < TARGET * peak { self.cycles_below + 1 } else { 0 };
        let most = (self.proxies.len() as f64 * 0.15).ceil() as usize;
        let mut set: BTreeSet<ProxyId> = self.critical.keys().map(|(id, _)| *id).collect();
        let mut field = self.field(now);
        let mut best = field.payoff().0;
        while self.cycles_below >= 3 && !self.common {
            field.fill(&set);
            let (payoff, ratio) = field.payoff();
            if payoff > best && !field.solved.is_empty() {
                (best, self.critical) = (payoff, field.tables());
            }
            // A quarter of the set joins at a time, or large fleets would take too long.
            let joining = field.send_most(&set, (1 + set.len() / 4).min(most.saturating_sub(set.len())));
            let done = ratio >= TARGET || joining.is_empty();
            set.extend(if done { break } else { joining });
        }
    }

    fn field(&self, now: Duration) -> Field {
        // Where many tries fail a new line mostly brings a connection that fails as well: all stay.
        let favour = if self.common { f64::MAX } else { 1.5 };
        let ids = self.replicas.keys().cloned().collect();
        let mut field = Field { ids, crossing: self.figures.crossing, favour, ..Field::default() };
        let mut known = BTreeMap::new();
        for (&id, proxy) in &self.proxies {
            for unit in [(id, 0), (id, 1)] {
                let demand = self.demand(proxy, self.figures.groups[unit.1]);
                let place = *known.entry(proxy.standing.ok_or(unit)).or_insert_with_key(|held| {
                    let drawn = |draw| self.lines(|one| if one.named(draw) { one.weight } else { 0.0 });
                    let own = |unit| self.tables.get(&unit).cloned().unwrap_or_default();
                    let mut lines = held.map_or_else(own, drawn);
                    lines.retain(|id, _| self.replicas.get(id).is_some_and(|one| !one.withdrawn));
                    let whole = lines.values().sum();
                    let place = |id: &ReplicaId| field.ids.binary_search(id).unwrap_or_default();
                    let shares = lines.iter().map(|(id, part)| (place(id), per(*part, whole))).collect();
                    field.shares.push(shares);
                    field.shares.len() - 1
                });
                if demand > 0.0 && !field.shares[place].is_empty() {
                    field.units.insert(unit, (proxy.zone, demand, place));
                    *field.alike.entry((proxy.zone, place)).or_insert(0.0) += demand;
                }
            }
        }
        field.fill(&BTreeSet::new());
        let weight = |one: &Replica| one.weight * self.part(one, now);
        let fleet = per(field.totals.iter().sum(), self.sum(weight));
        let room = |one: &Replica| (one.zone, fleet * weight(one) * one.bend.exp());
        field.rooms = self.replicas.values().map(room).collect();
        field
    }

    /// Levels go by the fleet's mean answer: a trouble of a few replicas doesn't move that far enough.
    fn shed(&mut self, now: Duration) {
        let (answers, time) = std::mem::take(&mut self.pulse);
        let late = if answers < 0.2 * HEARD_ENOUGH { return } else { time / answers / self.figures.budget };
        let echo = self.figures.settling + self.lag + 4 * BEAT;
        // What answers took tells of queues that may have drained since: reports of flows waiting say so.
        let reports = self.replicas.values().filter_map(|one| one.waiting).filter(|(_, at)| *at + echo > now);
        let (all, queued) = reports.fold((0, 0), |(n, q), (queue, _)| (n + 1, q + u32::from(queue >= 1.0)));
        if late > LATE && 2 * queued >= all && now >= self.cut.1 + echo {
            let offered = self.offered(now);
            self.cut = (per(self.answered(), offered).min(1.0), now);
            self.let_in = per(DRAINING * self.answered(), offered).min(0.95 * self.let_in).max(0.2);
        } else if late < 0.7 * LATE || 3 * queued < all {
            let growth = if self.let_in < self.cut.0 { (0.7 * LATE / late).clamp(1.05, 1.15) } else { 1.02 };
            self.let_in = (self.let_in * growth).min(1.0);
        }
    }

    /// What those offer whose answers are heard of by now, as averages go: of others none count yet, and when
    /// many join at once, as after another governor's end, the fleet would seem to answer a third of it.
    fn offered(&self, now: Duration) -> f64 {
        let settled = |one: &Proxy| {
            let age = now.saturating_sub(one.since + self.figures.settling + self.lag).as_secs_f64();
            per(age, 2.0 * self.figures.averaged).min(1.0)
        };
        self.proxies.values().map(|one| settled(one) * one.rates.iter().sum::<f64>()).sum()
    }

    fn answered(&self) -> f64 {
        let sights = self.replicas.values().flat_map(|one| &one.sights);
        let flows = sights.map(|(zone, one)| {
            // What is gone or given nothing has no more lines, nor has a rare one between two tries.
            let silent = at(&self.heard, zone).saturating_sub(one.last + self.lag).as_secs_f64();
            let over = (silent - per(2.0, one.rate).min(4.0 * self.figures.averaged)).max(0.0);
            let share = per(one.delivered, one.delivered + one.dropped);
            one.rate * share * (-over / self.figures.averaged).exp()
        });
        flows.sum()
    }

    fn level(&mut self, now: Duration) {
        // What a group brings is what gets answered: one whose flows hang would jam the fleet for the others.
        let value = |place: &usize| self.figures.values[*place] * (1.0 - self.unanswered[*place]);
        let mut ladder: Vec<usize> = (0..self.figures.values.len()).collect();
        ladder.sort_by(|one, other| value(one).total_cmp(&value(other)));
        let came = |place: &usize| self.proxies.values().map(|proxy| proxy.rates[*place]).sum();
        let demand: Vec<f64> = ladder.iter().map(came).collect();
        // A fleet mostly cold would fall to its usual load: let in what is open can bear of that.
        let most = per(self.sum(|one| one.bears(&self.figures, now)), SIZED_FOR * self.nominal).min(1.0);
        let cut = if self.figures.levels { 1.0 - self.let_in.min(most) } else { 0.0 };
        let mut excess = cut * demand.iter().sum::<f64>();
        // A further try in overload takes a place from a first one; a proven first drop is safe to try again.
        let tries = if self.let_in < 1.0 { RetryPolicy::Never } else { RetryPolicy::IfNotExecuted };
        for (place, demand) in ladder.into_iter().zip(demand) {
            let level = 1.0 - per(excess.clamp(0.0, demand), demand).min(1.0);
            excess -= demand;
            let level = ((level * 20.0).round() / 20.0, tries);
            // A level goes to all proxies: where that fills the channel it waits for its turn, a rise longer.
            let cost = (1.0 + self.figures.head) * self.proxies.len() as f64;
            let spared = if level.0 > self.levels[place].0 { 0.6 } else { 1.0 };
            let fits = self.waiting + cost <= spared * self.figures.waiting_most;
            if self.levels[place] != level && !self.unheard && fits {
                self.levels[place] = level;
                self.out.push_back(Decision::SetAdmission {
                    classes: 1 << place,
                    fraction: level.0,
                    retry_policy: tries,
                });
                self.waiting += cost;
            }
        }
    }
}

#[derive(Default)]
struct Field {
    ids: Vec<ReplicaId>,
    rooms: Vec<(usize, f64)>, // its zone, and the rate at which its utilisation is taken to be the mean one
    totals: Vec<f64>,
    shares: Vec<Places>,
    units: BTreeMap<Unit, (usize, f64, usize)>, // its zone, its flows a second, the place of its shares
    alike: BTreeMap<(usize, usize), f64>,       // the flows of all units of a zone with the same shares
    solved: BTreeMap<Unit, Places>,
    crossing: f64,
    favour: f64,
}

impl Field {
    fn sending(&self) -> Vec<BTreeMap<usize, f64>> {
        let mut sending = vec![BTreeMap::new(); self.ids.len()];
        for ((zone, shares), demand) in &self.alike {
            for (place, share) in &self.shares[*shares] {
                *sending[*place].entry(*zone).or_insert(0.0) += demand * share;
            }
        }
        sending
    }

    fn hottest(&self) -> Option<(usize, f64)> {
        let load = |((_, room), total): (&(usize, f64), &f64)| if *room > 0.0 { total / room } else { 0.0 };
        let loads = self.rooms.iter().zip(&self.totals).map(load).enumerate();
        loads.max_by(|one, other| one.1.total_cmp(&other.1))
    }

    /// The page's payoff, the ratio less the rerouted share of traffic times a penalty; and the ratio.
    fn payoff(&self) -> (f64, f64) {
        let moves = self.solved.iter().map(|(unit, rates)| {
            let (_, demand, shares) = self.units[unit];
            let old: BTreeMap<usize, f64> = self.shares[shares].iter().copied().collect();
            rates.iter().map(|(place, rate)| (rate - demand * at(&old, place)).max(0.0)).sum::<f64>()
        });
        let (whole, room) = (self.totals.iter().sum(), self.rooms.iter().map(|(_, room)| room).sum());
        let ratio = self.hottest().map_or(1.0, |(_, peak)| per(per(whole, room), peak).min(1.0));
        let penalty = if ratio < TARGET { PENALTIES.0 } else { PENALTIES.1 };
        (ratio - penalty * per(moves.sum(), whole), ratio)
    }

    fn send_most(&self, set: &BTreeSet<ProxyId>, most: usize) -> Vec<ProxyId> {
        let Some((hottest, _)) = self.hottest() else { return Vec::new() };
        let mut sends: BTreeMap<ProxyId, f64> = BTreeMap::new();
        for ((id, _), (_, demand, shares)) in self.units.iter().filter(|((id, _), _)| !set.contains(id)) {
            let share = self.shares[*shares].iter().find(|(place, _)| *place == hottest);
            *sends.entry(*id).or_insert(0.0) += demand * share.map_or(0.0, |(_, share)| *share);
        }
        let mut sends: Vec<_> = sends.into_iter().filter(|(_, rate)| *rate > 0.0).collect();
        sends.sort_by(|one, other| other.1.total_cmp(&one.1).then(other.0.cmp(&one.0)));
        sends.into_iter().take(most).map(|(id, _)| id).collect()
    }

    fn lift(&mut self, unit: &Unit) -> Places {
        let (_, demand, shares) = self.units.get(unit).copied().unwrap_or_default();
        let shares = self.shares.get(shares).into_iter().flatten();
        let present = || shares.map(|(place, share)| (*place, demand * share)).collect();
        let rates = self.solved.remove(unit).unwrap_or_else(present);
        rates.iter().for_each(|(place, rate)| self.totals[*place] -= rate);
        rates
    }

    /// Replicas from the coolest up for a zone: their level with `more` on top at their price, their room.
    fn coolest(&self, zone: usize, more: f64, price: impl Fn(usize) -> Option<f64>) -> Vec<Vessel> {
        let vessel = |(place, (&(there, room), total)): (usize, (&(usize, f64), &f64))| {
            let price = price(place)? * if there == zone { 1.0 } else { self.crossing };
            Some((per((total + more) * price, room), room / price, place))
        };
        let reach = self.rooms.iter().zip(&self.totals).enumerate();
        let mut vessels: Vec<Vessel> = reach.filter_map(vessel).collect();
        vessels.sort_by(|one, other| one.0.total_cmp(&other.0));
        vessels
    }

    /// Water-fills the units of the set, largest first, against all others, twice over.
    fn fill(&mut self, set: &BTreeSet<ProxyId>) {
        self.solved.clear();
        self.totals = self.sending().iter().map(|zones| zones.values().sum()).collect();
        let mut chosen: Vec<Unit> = self.units.keys().filter(|(id, _)| set.contains(id)).copied().collect();
        chosen.sort_by(|one, other| self.units[other].1.total_cmp(&self.units[one].1));
        for unit in chosen.iter().chain(&chosen) {
            let (present, (zone, demand, _)) = (self.lift(unit), self.units[unit]);
            let open = |(there, room)| room > 0.0 && (unit.1 == 0 || there == zone);
            let mut vessels = self.coolest(zone, 0.0, |place| open(self.rooms[place]).then_some(1.0));
            vessels.truncate(COOLEST);
            let poured = Some(pour(demand, &vessels)).filter(|rates| !rates.is_empty()).unwrap_or(present);
            poured.iter().for_each(|(place, rate)| self.totals[*place] += rate);
            self.solved.insert(*unit, poured);
        }
    }

    /// Solved tables in parts of a hundred, without what would not be worth a line.
    fn tables(&self) -> Tables {
        let lines = |rates: &Places| {
            let scale = per(100.0, rates.iter().map(|(_, rate)| rate).sum());
            let rates = rates.iter().map(|(place, rate)| (self.ids[*place].clone(), rate * scale));
            rates.filter(|(_, weight)| *weight >= 1.5).collect()
        };
        self.solved.iter().map(|(unit, rates)| (*unit, lines(rates))).collect()
    }

    /// A default as small as a standing table: an equal part on each of the coolest, those held favoured.
    fn subset(&mut self, unit: Unit, size: (usize, f64, usize), all: &Lines, held: &Lines) -> Lines {
        let (zone, part, most, favour) = (size.0, size.1 / size.2 as f64, size.2, self.favour);
        self.lift(&unit);
        let lines = self.coolest(zone, part, |place| {
            let id = &self.ids[place];
            all.contains_key(id).then(|| if held.contains_key(id) { 1.0 / favour } else { 1.0 })
        });
        // Among many more elsewhere some are always cooler: crossing goes by what the default spills.
        let here = |id: &ReplicaId| self.ids.binary_search(id).is_ok_and(|place| self.rooms[place].0 == zone);
        let own: f64 = all.iter().filter(|(id, _)| here(id)).map(|(_, weight)| weight).sum();
        let own = (most as f64 * per(own, all.values().sum())).round() as usize;
        let (mut lines, mut beyond): (Vec<_>, Vec<_>) =
            lines.into_iter().partition(|(_, _, place)| self.rooms[*place].0 == zone);
        lines.truncate(own);
        beyond.truncate(most.saturating_sub(own));
        lines.extend(beyond);
        lines.iter().for_each(|(_, _, place)| self.totals[*place] += part);
        lines.into_iter().map(|(_, _, place)| (self.ids[place].clone(), 1.0)).collect()
    }
}

/// Pours a rate into vessels of (level, room), coolest first, so that the highest level stays lowest.
fn pour(rate: f64, vessels: &[Vessel]) -> Places {
    let (room, held) = vessels.iter().fold((0.0, rate), |(room, held), (level, more, _)| {
        if level * room < held { (room + more, held + level * more) } else { (room, held) }
    });
    let level = per(held, room);
    let poured = vessels.iter().map(|(at, room, place)| (*place, (level - at) * room));
    poured.filter(|(_, rate)| *rate > 0.0).collect()
}
