//! One instance of the decision module with all that it needs to act on proxies: inputs in, steps out.
//!
//! A host calls the inputs as things happen, then pulls [`Engine::next_action`] until `None`, carries out each step,
//! and comes back at [`Engine::next_deadline`] at the latest. All that the module decides in one go is one flush:
//! it shares a version and reaches each proxy concerned in one piece.
//!
//! ```
//! use std::time::Duration;
//! use wrenthread::types::*;
//! use wrenthread_core::engine::{Action, Engine, EngineSettings};
//! use wrenthread_core::fleet::JoinRequest;
//! use wrenthread_core::roster::RosterEntry;
//!
//! let now = Duration::from_secs(100);
//! let mut engine = Engine::new(EngineSettings::example(1), now);
//! engine.update_roster(now, vec![RosterEntry {
//!     id: "r1".into(), address: "10.0.0.1:80".into(), zone: 0, weight: 1.0, phase: Phase::Ready,
//!     started_at: None, backup: false,
//! }]);
//! let request = JoinRequest {
//!     name: "p".into(),
//!     zone: 0,
//!     requests_per_second: 1.0,
//!     default_table: vec![],
//!     holds_governor_tables: false,
//!     ownership_proof: None,
//!     proven_version: None,
//! };
//! let proxy = engine.proxy_connected(now, 1, &request).unwrap().proxy;
//! // What the proxy holds is not known: the module gives it tables.
//! let later = now + Duration::from_millis(250);
//! let actions: Vec<Action> = std::iter::from_fn(|| {
//!     let action = engine.next_action(later)?;
//!     if let Action::Flush(proxy) = action {
//!         engine.tables_sent(later, proxy, 1, 1); // here a front writes what `Engine::proxy` says
//!     }
//!     Some(action)
//! }).collect();
//! assert!(actions.contains(&Action::Flush(proxy)));
//! let table = &engine.proxy(proxy).unwrap().tables[0].as_ref().unwrap().table;
//! assert_eq!(&*table.entries[0].address, "10.0.0.1:80");
//! ```

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::governor::Governor;
use wrenthread::types::{
    ClassSet, Decision, Idempotency, Phase, ProxyConnection, ProxyId, ReplicaId, ReplicaStatistics,
    RetryPolicy, RosterScope, Settings, TableId, TrafficClass,
};

use crate::backup_replicas::BackupReplicas;
use crate::fleet::{Fleet, JoinError, JoinOutcome, JoinRequest, Proxy, StreamId, TableKind};
use crate::frozen_tables::{self, FrozenTable, OmissionReason, ReleaseReason};
use crate::guard::{Guard, GuardLimits, ProposedTable, Refusal, RefusalReason};
use crate::history::{History, HistoryEntry};
use crate::overrides::{Override, OverrideError, OverrideKind, Overrides};
use crate::recording::{self, Recording};
use crate::reports::{AggregatedStatistics, DiscardReason, LoadReport, ReportAggregator};
use crate::roster::{KnownReplica, Roster, RosterChange, RosterEntry};
use crate::send_limiter::{ChannelLimits, SendLimiter};
use crate::snapshot::{self, RestoredState, StoredItem, StoredItems};
use crate::table_versions::{PublishedState, PublishedTable};
use crate::tables::{Table, Tables, VersionedTable};

/// What an engine is told at its start.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub governor: Settings,
    /// Proxies at once.
    pub max_proxies: usize,
    /// Lines of folded reports that the module is given a second, at most.
    pub max_report_entries_per_second: f64,
    /// How long an empty roster must stand before it is believed.
    pub empty_roster_timeout: Duration,
    /// Versions of a proxy's tables that are kept, and lines in all of them.
    pub history: (usize, usize),
}

impl EngineSettings {
    /// Plain settings with so many like groups, for examples and tests.
    pub fn example(groups: usize) -> EngineSettings {
        use wrenthread::types::{AdmissionControl, LoadField};
        let group = TrafficClass {
            idempotency: Idempotency::NotIdempotent,
            latency_objective: Duration::from_secs(1),
            request_deadline: Duration::from_secs(3),
            priority_weight: 1.0,
            same_zone_only: false,
        };
        EngineSettings {
            governor: Settings {
                governor_count: 1,
                classes: vec![group; groups],
                key_slices: 0,
                proxy_count: 16,
                default_table_size: 12,
                initial_capacity_fraction: 0.25,
                slow_start_duration: Duration::from_secs(20),
                proxies_eject_locally: true,
                report_interval: Duration::from_millis(500),
                entries_per_second: 10_000.0,
                message_overhead_entries: 10.0,
                max_queued_entries: 20_000.0,
                max_transit_delay: Duration::from_millis(500),
                message_limit: None,
                admission_control: AdmissionControl::Fraction,
                default_retry_policy: RetryPolicy::Never,
                cross_zone_cost: 0.05,
                health_check_cost: None,
                load_fields: vec![LoadField::Queued],
            },
            max_proxies: 1000,
            max_report_entries_per_second: 1000.0,
            empty_roster_timeout: Duration::from_secs(30),
            history: (16, 1_000_000),
        }
    }
}

/// One thing for the host to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Have the proxy's front write what it should hold and was not sent; then call [`Engine::tables_sent`], or
    /// [`Engine::stream_full`] if its stream has no room.
    Flush(ProxyId),
    /// A stream is over, as a later one has taken its place.
    CloseStream(StreamId),
    CheckHealth(ReplicaId),
    /// Something to write to the log.
    Report(EngineEvent),
}

/// What the engine was told since the module was last asked.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    Beat,
    Roster,
    Reports,
    Joined,
    Left,
    Acked,
    Probed,
}

/// One line for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineEvent {
    /// What the module decided, and the inputs that it answers.
    Decided { what: DecisionSummary, version: u64, answers: Arc<[Cause]> },
    /// An empty roster is not believed before this time.
    EmptyRosterDoubted(Duration),
    /// A proxy would not take a version; its last good tables stand.
    VersionRejected { proxy: Arc<str>, version: u64, words: String },
    /// So many proxies wait to be let in, as the channel is full.
    JoinsQueued(usize),
    /// What operators said of a replica is over.
    OverrideExpired(ReplicaId),
    /// Something is not sent as it was decided. What goes on being refused is said once.
    TableRefused(Refusal),
    /// A hold has ended.
    FrozenTableReleased { proxy: Arc<str>, group: usize, over: ReleaseReason },
}

/// Whose tables an operator means.
#[derive(Debug, Clone, PartialEq)]
pub enum TableScope {
    Proxy(Arc<str>),
    Group(usize),
    All,
}

/// What a step back came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RollbackReport {
    /// Tables that are held now.
    pub frozen: usize,
    /// Proxies of which so old a version is not kept, or which were on their standing tables then.
    pub without: Vec<Arc<str>>,
    /// What is not told of the held tables, by proxy and group.
    pub left_out: Vec<(Arc<str>, usize, ReplicaId, OmissionReason)>,
    /// Tables that can't be held, as nothing of them is left.
    pub unfreezable: usize,
}

/// What another governor knew of a proxy that it handed over.
#[derive(Debug, Clone, PartialEq)]
pub struct MigratedProxy {
    pub from: Arc<str>,
    /// What it was told there, and when that was, by the clock here.
    pub state: PublishedState,
    pub published_at: Duration,
    /// What it met last, if that is not long ago.
    pub report: Option<LoadReport>,
}

/// The module is asked again this long after it was, at the soonest and at the latest, whatever it says.
const SOONEST: Duration = Duration::from_millis(1);
const LATEST: Duration = Duration::from_secs(60);
/// Decisions of one go. A fleet of the largest size has fewer changes at once.
const MOST_DECISIONS: usize = 100_000;

/// Beyond this past its beat a governor has stood still: stopped, swapped out, asleep.
const STOOD_STILL: Duration = Duration::from_secs(3);
/// It then hears for so long what has come meanwhile, before the module judges: to that the gap is a silence of
/// replicas, and its own proxies, who have long gone elsewhere, are still there. *Harm:* a worker that went bad in
/// the gap is held back so much later; drains are not, as they go with the list.
const CATCH_UP: Duration = Duration::from_secs(1);

/// Tables that were handed over hold for so long if the module does not speak before.
const HANDED_FOR: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RollbackError {
    #[error("no proxy `{0}` is joined")]
    NoProxy(Arc<str>),
    #[error("version {0} is not given out yet; the newest is {1}")]
    NotYet(u64, u64),
    #[error("of version {0} nothing is kept for anyone concerned")]
    NotKept(u64),
}

#[derive(Debug, Clone, PartialEq)]
pub enum DecisionSummary {
    Withdraw(ReplicaId, bool),
    /// Changed lines of a table, and the proxy that it is for.
    Lines(Arc<str>, usize),
    Follow(Arc<str>, ClassSet),
    Level(ClassSet, f64, RetryPolicy),
}

pub struct Engine {
    rules: Governor,
    standby: BackupReplicas,
    update_roster: Roster,
    fleet: Fleet,
    tables: Tables,
    pace: SendLimiter,
    reports: ReportAggregator,
    history: History,
    frozen_tables: BTreeMap<(ProxyId, usize), FrozenTable>,
    overrides: Overrides,
    guard: Guard,
    recheck_all: bool,
    /// What an earlier life knew, as far as it is not used yet; and until when its levels hold.
    recalled: RestoredState,
    recalled_at: Duration,
    levels_until: Duration,
    /// Holds of proxies that are not back yet: when they were told, and until when they hold.
    recalled_holds: BTreeMap<(Arc<str>, usize), (Duration, Duration, snapshot::StoredFrozenTable)>,
    groups: usize,
    /// Lines that a proxy costs which is given all of its tables.
    join_cost: f64,
    /// Joined, but not yet told to the module, as what it gives them would not fit the channel.
    lobby: VecDeque<(ProxyId, f64)>,
    /// Lines set aside for those let in since the module last had its beat.
    set_aside: f64,
    version: u64,
    beat_at: Duration,
    /// It has stood still, and hears what came meanwhile.
    catching_up: bool,
    sums_every: Duration,
    causes: BTreeSet<Cause>,
    out: VecDeque<Action>,
    offered: Option<ProxyId>,
    pulls: u64,
    #[cfg(any(test, feature = "suspect"))]
    replace_decider: Option<FaultyDecider>,
}

/// Decides in the module's stead, with the module at hand.
#[cfg(any(test, feature = "suspect"))]
pub type FaultyDecider = Box<dyn FnMut(Duration, &mut Governor) -> Option<Decision>>;

impl Engine {
    pub fn new(setup: EngineSettings, now: Duration) -> Self {
        let EngineSettings {
            governor: module,
            max_proxies: proxies,
            max_report_entries_per_second: reports_per_s,
            empty_roster_timeout: empty_after,
            history,
        } = setup;
        let groups = module.classes.len().min(64);
        let channel = ChannelLimits {
            entries_per_second: module.entries_per_second.max(1.0),
            message_overhead_entries: module.message_overhead_entries,
            max_queued_entries: module.max_queued_entries,
            message_limit: module.message_limit,
        };
        let limits = GuardLimits {
            initial_capacity_fraction: module.initial_capacity_fraction,
            slow_start_duration: module.slow_start_duration,
            proxy_count: usize::try_from(module.proxy_count).unwrap_or(usize::MAX),
            max_entries: module.max_queued_entries,
            same_zone_only: module.classes.iter().take(groups).map(|group| group.same_zone_only).collect(),
            not_idempotent: module
                .classes
                .iter()
                .take(groups)
                .map(|one| one.idempotency == Idempotency::NotIdempotent)
                .collect(),
        };
        let join_cost =
            module.message_overhead_entries + (groups * module.default_table_size.clamp(1, 100)) as f64;
        Engine {
            standby: BackupReplicas::new(module.slow_start_duration),
            update_roster: Roster::new(empty_after),
            fleet: Fleet::new(proxies),
            tables: Tables::new(groups, module.default_retry_policy),
            pace: SendLimiter::new(channel, now),
            reports: ReportAggregator::new(module.report_interval, reports_per_s),
            history: History::new(history.0, history.1),
            frozen_tables: BTreeMap::new(),
            overrides: Overrides::default(),
            guard: Guard::new(limits),
            recheck_all: false,
            recalled: RestoredState::default(),
            recalled_at: now,
            levels_until: Duration::ZERO,
            recalled_holds: BTreeMap::new(),
            groups,
            join_cost,
            lobby: VecDeque::new(),
            set_aside: 0.0,
            version: 1,
            beat_at: now,
            catching_up: false,
            sums_every: module.report_interval,
            causes: BTreeSet::new(),
            out: VecDeque::new(),
            offered: None,
            pulls: 0,
            #[cfg(any(test, feature = "suspect"))]
            replace_decider: None,
            rules: Governor::new(module, now),
        }
    }

    // ---- inputs

    /// The whole list of replicas, as its source now says it.
    pub fn update_roster(&mut self, now: Duration, entries: Vec<RosterEntry>) {
        let entries = self.standby.update(now, entries);
        self.take_list(now, entries);
    }

    fn take_list(&mut self, now: Duration, entries: Vec<RosterEntry>) {
        match self.update_roster.update(now, entries) {
            RosterChange::Same => {}
            RosterChange::Doubted(until) => {
                self.out.push_back(Action::Report(EngineEvent::EmptyRosterDoubted(until)))
            }
            RosterChange::Changed(listed) => self.listed(now, &listed),
        }
    }

    /// A proxy's stream is up. It holds only its standing table if it says so, came with no orders, and every
    /// line of it is one that could be drawn from the list as it is now: ready, and of its zone where three
    /// are there. The module takes a standing table for such a draw; one that names what drains or is gone is
    /// nobody knows what, and is answered by tables of its own at once.
    ///
    /// Errors: as [`JoinError`]; nothing is changed by a join that is refused.
    pub fn proxy_connected(
        &mut self,
        now: Duration,
        stream: StreamId,
        join: &JoinRequest,
    ) -> Result<JoinOutcome, JoinError> {
        let drawn = |(id, weight): &(ReplicaId, f64)| {
            let known = self.update_roster.get(id).filter(|one| one.phase == Phase::Ready);
            known.is_some_and(|one| one.zone == join.zone || self.update_roster.ready_count(join.zone) < 3)
                && *weight > 0.0
        };
        let bare = !join.holds_governor_tables && join.ownership_proof.is_none();
        // It holds what an earlier life told it last, by its own proven word: then it is known what that is.
        let recalled = self.recalled.proxies.remove(&join.name).filter(|known| {
            join.proven_version == Some((known.epoch, known.version)) && known.zone == join.zone
        });
        let still = recalled.as_ref().is_some_and(|known| !known.own);
        let fresh = (bare || still) && !join.default_table.is_empty() && join.default_table.iter().all(drawn);
        // A join has a version of its own: what the number's tables were before is another state.
        let tries = (self.version + 1, self.tables.retry_policies());
        let joined = self.fleet.connect(now, stream, join, fresh, self.groups, tries)?;
        self.version += 1;
        if joined.id_reused {
            self.reports.forget(joined.proxy);
            self.history.forget(joined.proxy);
            let former = self.frozen_tables.extract_if(.., |(number, _), _| *number == joined.proxy);
            let over = former.map(|((_, group), _)| EngineEvent::FrozenTableReleased {
                proxy: join.name.clone(),
                group,
                over: ReleaseReason::Reused,
            });
            self.out.extend(over.map(Action::Report));
        }
        self.pace.forget(joined.proxy);
        self.lobby.retain(|(waiting, _)| *waiting != joined.proxy);
        if joined.replaced_stream.is_some() {
            self.rules.proxy_disconnected(joined.proxy);
        }
        self.out.extend(joined.replaced_stream.map(Action::CloseStream));
        self.guard.proxy_disconnected(joined.proxy);
        let usual = self.usual(join, recalled.as_ref());
        self.guard.proxy_connected(joined.proxy, usual, &join.default_table);
        if let Some(known) = recalled {
            self.resume(now, joined.proxy, known);
        }
        for group in 0..self.groups {
            if let Some((told_at, until, held)) = self.recalled_holds.remove(&(join.name.clone(), group)) {
                let (version, said, why) = (held.version, held.said(), held.why);
                let hold = FrozenTable {
                    version,
                    published_at: told_at,
                    table: said,
                    since: now,
                    until,
                    why,
                    migrated: false,
                };
                self.frozen_tables.insert((joined.proxy, group), hold);
            }
        }
        // What is withdrawn holds for it from now on, whatever it stands on; levels likewise.
        self.refresh(now, &[joined.proxy], None);
        self.remember(now, joined.proxy);
        self.lobby.push_back((joined.proxy, usual));
        self.causes.insert(Cause::Joined);
        Ok(joined)
    }

    /// What a proxy ordinarily receives: its own word, mixed with what an earlier life saw of it.
    fn usual(&self, join: &JoinRequest, recalled: Option<&snapshot::StoredProxy>) -> f64 {
        let Some(known) = recalled else { return join.requests_per_second };
        let left = snapshot::counts(self.recalled.age, snapshot::DEMAND);
        join.requests_per_second + (known.flows.iter().sum::<f64>() - join.requests_per_second) * left
    }

    /// A proxy that has just joined holds what an earlier life told it: it is told only what differs. Tables
    /// of the module's hold until it has spoken, less what the rules forbid.
    fn resume(&mut self, now: Duration, number: ProxyId, known: snapshot::StoredProxy) {
        let version = self.version;
        let tries: Vec<RetryPolicy> = known.tries.iter().map(|tries| (*tries).into()).collect();
        let why: Arc<str> = "known from before a restart".into();
        for (group, held) in known.tables.into_iter().enumerate().take(self.groups) {
            let Some(held) = held else { continue };
            let table = Table::from(held);
            self.guard.set_current_table(
                number,
                group,
                known.flows.get(group).copied().unwrap_or(0.0),
                Some(&table),
            );
            if known.own {
                let said = PublishedTable::of(&table, tries.get(group).copied().unwrap_or_default());
                let (told_at, until) = (now.saturating_sub(self.recalled.age), now + HANDED_FOR);
                let hold = FrozenTable {
                    version,
                    published_at: told_at,
                    table: said,
                    since: now,
                    until,
                    why: why.clone(),
                    migrated: true,
                };
                self.frozen_tables.entry((number, group)).or_insert(hold);
            }
            if let Some(proxy) = self.fleet.get_mut(number) {
                proxy.tables[group] = Some(VersionedTable { version, table: Arc::new(table) });
            }
        }
        if let Some(proxy) =
            self.fleet.get_mut(number).filter(|proxy| proxy.retry_policies.1.len() == tries.len())
        {
            proxy.retry_policies = (version, tries);
        }
    }

    /// What an earlier life knew. To be told before the first list and the first proxy.
    pub fn restore(&mut self, now: Duration, recalled: RestoredState) {
        (self.recalled_at, self.levels_until) = (now, now + recalled.levels_for);
        let times = |(place, (ago, left, hold)): (_, (Duration, Duration, snapshot::StoredFrozenTable))| {
            (place, (now.saturating_sub(ago), now + left, hold))
        };
        self.recalled_holds = recalled.holds.clone().into_iter().map(times).collect();
        for ((id, zone), per_s) in &recalled.seen {
            self.guard.restore_throughput(now, id, *zone, *per_s);
        }
        self.recalled = recalled;
    }

    /// What is to be known beyond this life, by name. `before`: what it was the last time; `calendar`: what
    /// time it is; `epoch`: which life it is; `groups`: their names.
    pub fn stored_items(
        &self,
        now: Duration,
        before: &StoredItems,
        calendar: f64,
        epoch: u64,
        groups: &[String],
    ) -> StoredItems {
        let mut known = StoredItems::new();
        for (number, proxy) in self.fleet.iter() {
            let (name, version) = (format!("proxy/{}", proxy.name), proxy.newest());
            let flows: Vec<f64> = (0..self.groups)
                .map(|group| snapshot::stepped(self.guard.requests_per_second(number, group)))
                .collect();
            // Tables are of their version: they are not copied and compared again each time.
            let same = before.get(&name).filter(|item| {
                matches!(&***item, StoredItem::Proxy(old)
                    if old.epoch == epoch && old.version == version && old.flows == flows)
            });
            if let Some(same) = same {
                known.insert(name, same.clone());
                continue;
            }
            let held = |kept: &Option<VersionedTable>| kept.as_ref().map(|kept| (&*kept.table).into());
            let item = snapshot::StoredProxy {
                zone: proxy.zone,
                epoch,
                version,
                own: proxy.kind() == TableKind::Own,
                tables: proxy.tables.iter().map(held).collect(),
                tries: proxy.retry_policies.1.iter().map(|tries| (*tries).into()).collect(),
                flows,
                away: 0.0,
            };
            known.insert(name, Arc::new(StoredItem::Proxy(item)));
        }
        // Who has not come back yet is not forgotten by a second restart.
        // Minutes: what grows all the time is not written all the time.
        let since = (self.recalled.age + now.saturating_sub(self.recalled_at)).as_secs() / 60 * 60;
        for (name, proxy) in &self.recalled.proxies {
            let item = || snapshot::StoredProxy { away: proxy.away + since as f64, ..proxy.clone() };
            known.entry(format!("proxy/{name}")).or_insert_with(|| Arc::new(StoredItem::Proxy(item())));
        }
        let mut replicas: BTreeMap<&ReplicaId, snapshot::StoredReplica> = BTreeMap::new();
        for (id, zone, per_s) in self.guard.throughput(now) {
            replicas.entry(id).or_default().seen.push((zone, snapshot::stepped(per_s)));
        }
        let ready =
            |one: &(&ReplicaId, &KnownReplica)| one.1.phase == Phase::Ready && self.tables.is_ejected(one.0);
        for (id, _) in self.update_roster.iter().filter(ready) {
            replicas.entry(id).or_default().withdrawn = true;
        }
        let named = |(id, item): (&ReplicaId, snapshot::StoredReplica)| {
            (format!("replica/{id}"), Arc::new(StoredItem::Replica(item)))
        };
        known.extend(replicas.into_iter().map(named));
        for ((level, tries), group) in
            self.tables.admission().iter().zip(groups).filter(|((level, _), _)| *level < 1.0)
        {
            known.insert(
                format!("level/{group}"),
                Arc::new(StoredItem::Level { level: *level, tries: (*tries).into() }),
            );
        }
        for (name, group, hold) in self.frozen_tables().filter(|(.., hold)| !hold.migrated) {
            let line = |(id, line): (&ReplicaId, &crate::table_versions::PublishedEntry)| {
                (id.clone(), line.address.clone(), line.zone, line.weight)
            };
            let item = snapshot::StoredFrozenTable {
                version: hold.version,
                told_at: (calendar - now.saturating_sub(hold.published_at).as_secs_f64()).round(),
                until: (calendar + hold.until.saturating_sub(now).as_secs_f64()).round(),
                why: hold.why.clone(),
                lines: hold.table.entries.iter().map(line).collect(),
                level: hold.table.admission_millionths,
                tries: hold.table.retry_policy.into(),
            };
            let group = groups.get(group).map_or("", String::as_str);
            known.insert(format!("hold/{group}/{name}"), Arc::new(StoredItem::Hold(item)));
        }
        for (id, one) in self.overrides.iter() {
            let weight = match one.what {
                OverrideKind::Exclude => None,
                OverrideKind::Weight(factor) => Some(factor),
            };
            let until = (calendar + one.until.saturating_sub(now).as_secs_f64()).round();
            known.insert(
                format!("override/{id}"),
                Arc::new(StoredItem::Override { weight, until, why: one.why.clone() }),
            );
        }
        known
    }

    fn tell_met(&mut self, now: Duration, zone: usize, replica: ReplicaId, tries: u64, dropped: u64) {
        let (span, load) = (self.sums_every, Vec::new());
        self.rules.record_replica_statistics(
            now,
            ReplicaStatistics {
                zone,
                replica,
                attempts: tries,
                failed: dropped,
                mean_latency: None,
                interval: span,
                load,
            },
        );
        self.causes.insert(Cause::Reports);
    }

    /// What an earlier life knew of replicas, now that there is a list of them.
    fn recall_replicas(&mut self, now: Duration) {
        let seen = std::mem::take(&mut self.recalled.seen);
        if !self.recalled.withdrawn.is_empty() {
            for ((id, zone), per_s) in seen {
                let delivered = (per_s * snapshot::LAST.as_secs_f64()).round().min(1e6) as u64;
                let here = self.update_roster.get(&id).is_some_and(|known| known.phase == Phase::Ready);
                if here && delivered > 0 && !self.recalled.withdrawn.contains_key(&id) {
                    self.tell_met(now, zone, id, delivered, 0);
                }
            }
        }
        for (id, tries) in std::mem::take(&mut self.recalled.withdrawn) {
            let Some(known) = self.update_roster.get(&id).filter(|known| known.phase == Phase::Ready) else {
                continue;
            };
            // Replaced under its name since: what was known is of another process.
            if known.started_at.is_some_and(|started| now.saturating_sub(started) < self.recalled.age) {
                continue;
            }
            self.tell_met(now, known.zone, id, tries, tries);
        }
        for (id, (weight, left, why)) in std::mem::take(&mut self.recalled.overrides) {
            let what = weight.map_or(OverrideKind::Exclude, OverrideKind::Weight);
            // One that is not listed any more needs no word.
            let _ = self.override_replica(now, &id, what, now + left, &why);
        }
    }

    /// A proxy that has just joined was handed over by another governor: until the module speaks for it, it
    /// is told what it was told there, less what the rules forbid here now; and what it met last is heard.
    /// How many of its tables that keeps. A proxy that the module has spoken for is left as it is.
    pub fn adopt_migrated_tables(&mut self, now: Duration, number: ProxyId, handed: MigratedProxy) -> usize {
        let Some(proxy) = self.fleet.get(number) else { return 0 };
        if proxy.holds_default_table || proxy.kind() == TableKind::Own {
            return 0;
        }
        let (zone, stream) = (proxy.zone, proxy.stream);
        let why: Arc<str> = format!("handed over by {}", handed.from).into();
        let (version, told_at, until) = (self.version, handed.published_at, now + HANDED_FOR);
        let mut kept = 0;
        for (group, said) in handed.state.classes.into_iter().enumerate().take(self.groups) {
            let Some(said) = said else { continue };
            let hold = FrozenTable {
                version,
                published_at: told_at,
                table: said,
                since: now,
                until,
                why: why.clone(),
                migrated: true,
            };
            let present = self.present(number, group);
            let withdrawn = |id: &ReplicaId| self.tables.is_ejected(id);
            // An operator's hold here goes before.
            if !self.frozen_tables.contains_key(&(number, group))
                && frozen_tables::told(&hold, &present, &self.update_roster, withdrawn).0.is_some()
            {
                self.frozen_tables.insert((number, group), hold);
                kept += 1;
            }
        }
        self.refresh(now, &[number], None);
        if let Some(report) = handed.report {
            let roster = &self.update_roster;
            let listed = |id: &ReplicaId| roster.get(id).is_some_and(|one| one.phase != Phase::Gone);
            // One that does not count is counted as such; the next comes soon.
            let _ = self.reports.record(now, number, zone, stream, &report, listed);
        }
        kept
    }

    /// What to hand over with a proxy: what it is told, since when, and what it met last, with its age.
    pub fn migration_state(
        &self,
        now: Duration,
        number: ProxyId,
    ) -> Option<(&HistoryEntry, Option<(Duration, &LoadReport)>)> {
        let newest = self.history.newest(number)?;
        let last = self.reports.last(number).map(|(at, report)| (now.saturating_sub(*at), report));
        Some((newest, last))
    }

    /// A stream is over; the proxy may be dead, or still at work with what it holds.
    pub fn stream_closed(&mut self, now: Duration, stream: StreamId) {
        let Some(number) = self.fleet.disconnect(now, stream) else { return };
        self.pace.forget(number);
        self.lobby.retain(|(waiting, _)| *waiting != number);
        self.frozen_tables.retain(|(of, _), hold| *of != number || !hold.migrated);
        self.rules.proxy_disconnected(number);
        self.guard.proxy_disconnected(number);
        self.causes.insert(Cause::Left);
    }

    /// A load report, by the name of the proxy. Streams are numbered in the order of their opening.
    ///
    /// Errors: why it did not count; it is counted as such.
    pub fn record_report(
        &mut self,
        now: Duration,
        name: &str,
        stream: StreamId,
        report: &LoadReport,
    ) -> Result<(), DiscardReason> {
        let Some((number, proxy)) = self.fleet.named(name) else {
            return Err(self.reports.discard(DiscardReason::NotJoined));
        };
        let (zone, roster) = (proxy.zone, &self.update_roster);
        let listed = |id: &ReplicaId| roster.get(id).is_some_and(|one| one.phase != Phase::Gone);
        self.reports.record(now, number, zone, stream, report, listed)
    }

    /// The proxy on a stream took all that it was sent up to a version.
    pub fn version_acknowledged(&mut self, now: Duration, stream: StreamId, version: u64) {
        let Some(number) = self.fleet.number_of(stream) else { return };
        for ordered in self.fleet.acknowledge(stream, version) {
            self.rules.acknowledged(now.saturating_sub(ordered));
            self.causes.insert(Cause::Acked);
        }
        if self.fleet.get(number).is_some_and(|proxy| proxy.acknowledged_version >= proxy.sent_version) {
            self.pace.acknowledged(number);
        }
    }

    /// The proxy on a stream would not take a version, and says why. Its last good tables stand; it is sent
    /// nothing again before something has changed.
    pub fn version_rejected(&mut self, stream: StreamId, version: u64, words: &str) {
        let Some(number) = self.fleet.number_of(stream) else { return };
        self.fleet.reject(stream, version, words);
        self.pace.acknowledged(number);
        if let Some(proxy) = self.fleet.get(number) {
            let words = proxy.rejected.as_ref().map(|(_, words)| words.clone()).unwrap_or_default();
            self.out.push_back(Action::Report(EngineEvent::VersionRejected {
                proxy: proxy.name.clone(),
                version,
                words,
            }));
        }
    }

    /// The proxy on a stream has answered all that it was sent, whatever that was.
    pub fn settled(&mut self, stream: StreamId) {
        if let Some(number) = self.fleet.number_of(stream) {
            self.pace.acknowledged(number);
        }
    }

    /// The proxy on a stream asks for something that it was not sent yet.
    pub fn resend_requested(&mut self, now: Duration, stream: StreamId, lines: usize) {
        if let Some(number) = self.fleet.number_of(stream) {
            self.pace.request(now, number, lines, true);
        }
    }

    /// A flush was written, as so many lines in so many messages; none if there was nothing to say.
    pub fn tables_sent(&mut self, now: Duration, number: ProxyId, lines: usize, messages: usize) {
        self.offered = None;
        if let Some(proxy) = self.fleet.get_mut(number).filter(|_| lines > 0) {
            proxy.sent_version = proxy.newest();
        }
        self.pace.sent(now, number, lines, messages);
    }

    /// The proxy's stream has no room for a flush.
    pub fn stream_full(&mut self, number: ProxyId) {
        self.offered = None;
        self.pace.stream_full(number);
    }

    /// The proxy's stream has room again.
    pub fn stream_has_capacity(&mut self, stream: StreamId) {
        if let Some(number) = self.fleet.number_of(stream) {
            self.pace.stream_has_capacity(number);
        }
    }

    /// What a probe found: how long the answer took, if one came.
    pub fn health_checked(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        took: Option<Duration>,
        load: &[f64],
    ) {
        self.rules.record_health_check(now, replica, took, load);
        self.causes.insert(Cause::Probed);
    }

    /// Steps back: these proxies are told, from now on and until `until`, what they were told as of a
    /// version, less what the rules forbid now. The module goes on deciding; what it decides for them waits.
    ///
    /// Errors: nothing is changed by a step back that comes to nothing.
    pub fn rollback(
        &mut self,
        now: Duration,
        scope: &TableScope,
        version: u64,
        why: &str,
        until: Duration,
    ) -> Result<RollbackReport, RollbackError> {
        if version > self.version {
            return Err(RollbackError::NotYet(version, self.version));
        }
        let (numbers, groups) = self.scoped(scope)?;
        let why: Arc<str> = why.chars().take(500).collect::<String>().into();
        let mut rolled = RollbackReport::default();
        let mut touched = Vec::new();
        for number in numbers {
            let Some(name) = self.fleet.get(number).map(|proxy| proxy.name.clone()) else { continue };
            let then = self.history.as_of(number, version).cloned();
            let mut any = false;
            for group in groups.clone() {
                let said = then.as_ref().and_then(|then| then.state.classes.get(group)?.clone());
                let (Some(then), Some(said)) = (&then, said) else { continue };
                any = true;
                let told_at = then.published_at;
                let (version, why) = (then.version, why.clone());
                let hold = FrozenTable {
                    version,
                    published_at: told_at,
                    table: said,
                    since: now,
                    until,
                    why,
                    migrated: false,
                };
                let present = self.present(number, group);
                let (told, left_out) = frozen_tables::told(&hold, &present, &self.update_roster, |id| {
                    self.tables.is_ejected(id)
                });
                if told.is_none() {
                    rolled.unfreezable += 1;
                    continue;
                }
                let named = |(id, why)| (name.clone(), group, id, why);
                rolled.left_out.extend(left_out.into_iter().map(named));
                rolled.frozen += 1;
                if let Some(before) = self.frozen_tables.insert((number, group), hold) {
                    let over = ReleaseReason::Replaced(before.why);
                    let over = EngineEvent::FrozenTableReleased { proxy: name.clone(), group, over };
                    self.out.push_back(Action::Report(over));
                }
            }
            match any {
                true => touched.push(number),
                false => rolled.without.push(name),
            }
        }
        if touched.is_empty() {
            return Err(RollbackError::NotKept(version));
        }
        self.refresh(now, &touched, None);
        Ok(rolled)
    }

    /// Ends holds: the module's present tables are told again. How many there were.
    ///
    /// Errors: no such proxy.
    pub fn release(&mut self, now: Duration, scope: &TableScope) -> Result<usize, RollbackError> {
        let (numbers, groups) = self.scoped(scope)?;
        let (numbers, groups): (BTreeSet<_>, BTreeSet<_>) = (numbers.into_iter().collect(), groups.collect());
        let meant = |(number, group): &(ProxyId, usize)| numbers.contains(number) && groups.contains(group);
        Ok(self.end_holds(now, ReleaseReason::Released, |key, _| meant(key)))
    }

    /// Operators say of a replica that nothing, or another part, is to be sent there, until a time.
    ///
    /// Errors: as [`OverrideError`].
    pub fn override_replica(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        what: OverrideKind,
        until: Duration,
        why: &str,
    ) -> Result<(), OverrideError> {
        if self.update_roster.get(replica).is_none_or(|known| known.phase == Phase::Gone) {
            return Err(OverrideError::NoReplica(replica.clone()));
        }
        let why = why.chars().take(500).collect::<String>().into();
        self.overrides.set(replica.clone(), Override { what, since: now, until, why })?;
        self.refresh(now, &self.fleet.proxy_ids(), None);
        Ok(())
    }

    /// Ends what operators said of a replica; whether they said anything.
    pub fn end_override(&mut self, now: Duration, replica: &str) -> bool {
        let ended = self.overrides.end(replica);
        self.refresh(now, &self.fleet.proxy_ids(), None);
        ended
    }

    /// What operators say of replicas.
    pub fn overrides(&self) -> &Overrides {
        &self.overrides
    }

    fn end_holds(
        &mut self,
        now: Duration,
        over: ReleaseReason,
        meant: impl Fn(&(ProxyId, usize), &FrozenTable) -> bool,
    ) -> usize {
        let ended: Vec<(ProxyId, usize)> =
            self.frozen_tables.extract_if(.., |key, hold| meant(key, hold)).map(|(key, _)| key).collect();
        for (number, group) in &ended {
            let over = EngineEvent::FrozenTableReleased {
                proxy: self.name_of(Some(*number)),
                group: *group,
                over: over.clone(),
            };
            self.out.push_back(Action::Report(over));
        }
        let numbers: BTreeSet<ProxyId> = ended.iter().map(|(number, _)| *number).collect();
        self.refresh(now, &numbers.into_iter().collect::<Vec<_>>(), None);
        ended.len()
    }

    fn scoped(&self, scope: &TableScope) -> Result<(Vec<ProxyId>, std::ops::Range<usize>), RollbackError> {
        Ok(match scope {
            TableScope::All => (self.fleet.proxy_ids(), 0..self.groups),
            TableScope::Group(group) => (self.fleet.proxy_ids(), *group..(group + 1).min(self.groups)),
            TableScope::Proxy(name) => {
                let named = self.fleet.named(name);
                let (number, _) = named.ok_or_else(|| RollbackError::NoProxy(name.clone()))?;
                (vec![number], 0..self.groups)
            }
        })
    }

    /// The module's present table for a proxy's group, held or not.
    fn present(&self, number: ProxyId, group: usize) -> Table {
        let present = self.fleet.get(number).and_then(|proxy| {
            self.tables.resolve(
                &self.update_roster,
                group,
                proxy.assigned_tables[group],
                &proxy.default_table,
                true,
            )
        });
        present.unwrap_or(Table { entries: Vec::new(), admission_fraction: 1.0 })
    }

    /// A changed limit on lines of reports.
    pub fn limit_reports(&mut self, lines_per_s: f64) {
        self.reports.set_limit(lines_per_s);
    }

    // ---- steps

    /// The next thing to do, until there is none.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        // A host that left a flush undone would be offered it for ever.
        if let Some(number) = self.offered.take() {
            self.pace.stream_full(number);
        }
        self.settle(now);
        if let Some(step) = self.out.pop_front() {
            return Some(step);
        }
        let number = self.pace.next_proxy(now)?;
        self.offered = Some(number);
        Some(Action::Flush(number))
    }

    /// When to pull [`Engine::next_action`] again, if nothing else happens.
    pub fn next_deadline(&self, now: Duration) -> Duration {
        let holds = self.frozen_tables.values().map(|hold| hold.until).min();
        let overrides = self.overrides.next_deadline();
        let dues = [
            self.update_roster.next_deadline(),
            self.standby.next_deadline(),
            self.reports.next_deadline(),
            self.pace.next_deadline(now),
            holds,
            overrides,
            (!self.recalled.levels.is_empty()).then_some(self.levels_until),
        ];
        dues.into_iter().flatten().fold(self.beat_at, Duration::min)
    }

    fn settle(&mut self, now: Duration) {
        // Once for each gap: on a machine that is always so late the module must judge all the same.
        if now > self.beat_at + STOOD_STILL && !self.catching_up {
            (self.beat_at, self.catching_up) = (now + CATCH_UP, true);
        }
        if let Some(listed) = self.update_roster.believe_empty(now) {
            self.listed(now, &listed);
        }
        if let Some(entries) = self.standby.release_due(now) {
            self.take_list(now, entries);
        }
        if self.frozen_tables.values().any(|hold| hold.until <= now) {
            self.end_holds(now, ReleaseReason::Time, |_, hold| hold.until <= now);
        }
        if !self.recalled.levels.is_empty() && now >= self.levels_until {
            self.recalled.levels.clear();
            self.refresh(now, &self.fleet.proxy_ids(), None);
        }
        if now >= self.recalled_at + snapshot::TABLES {
            // Who has not come back by now was elsewhere, or is no more.
            self.recalled.proxies.clear();
        }
        self.recalled_holds.retain(|_, (_, until, _)| now < *until);
        let over = self.overrides.take_expired(now);
        if !over.is_empty() {
            self.out.extend(over.into_iter().map(|id| Action::Report(EngineEvent::OverrideExpired(id))));
            self.refresh(now, &self.fleet.proxy_ids(), None);
        }
        for told in self.reports.take_due(now) {
            self.causes.insert(Cause::Reports);
            match told {
                AggregatedStatistics::Replica(met) => {
                    let delivered = met.attempts.saturating_sub(met.failed);
                    self.guard.record_throughput(now, &met.replica, met.zone, delivered, met.interval);
                    self.rules.record_replica_statistics(now, met);
                }
                AggregatedStatistics::Demand(came) => {
                    self.guard.record_demand(came.proxy, came.class, came.requests, came.interval);
                    self.rules.record_demand(now, came);
                }
            }
        }
        let waited = self.lobby.len();
        while let Some((number, usual)) = self.lobby.front().copied() {
            // One at a time goes in even where the channel never has room, or nobody ever would.
            let fits = self.pace.has_capacity(self.set_aside + self.join_cost);
            if !fits && (self.set_aside > 0.0 || self.pace.queued_entries(now) > 0) {
                break;
            }
            self.lobby.pop_front();
            let Some(proxy) = self.fleet.get(number) else { continue };
            let connection = ProxyConnection {
                proxy: number,
                zone: proxy.zone,
                requests_per_second: usual,
                holds_default_table: proxy.holds_default_table,
            };
            self.rules.proxy_connected(now, connection);
            self.set_aside += self.join_cost;
            self.causes.insert(Cause::Joined);
        }
        if waited > 0 && !self.lobby.is_empty() && waited != self.lobby.len() {
            self.out.push_back(Action::Report(EngineEvent::JoinsQueued(self.lobby.len())));
        }
        if now >= self.beat_at {
            self.causes.insert(Cause::Beat);
            self.catching_up = false;
            self.set_aside = 0.0;
            self.rules.tick();
        }
        if !self.causes.is_empty() {
            let beat = self.causes.contains(&Cause::Beat);
            self.pull(now);
            if std::mem::take(&mut self.recheck_all) {
                let all = self.fleet.proxy_ids();
                self.refresh_as(now, &all, None, true, true);
            } else if beat {
                self.recheck(now);
            }
        }
    }

    /// Replicas for whose sake a table that stands is judged again: they are shut by now, or sent too much.
    fn suspects(&self, now: Duration) -> BTreeSet<ReplicaId> {
        let shut = |(id, known): &(&ReplicaId, &KnownReplica)| known.phase != Phase::Ready || self.is_out(id);
        let mut suspects = self.guard.overloaded_replicas(now, &self.update_roster, |id| self.is_out(id));
        suspects.extend(self.update_roster.iter().filter(shut).map(|(id, _)| id.clone()));
        suspects
    }

    /// Judges again what was refused, and, if some replica is sent too much by tables that stand, those.
    fn recheck(&mut self, now: Duration) {
        let troubled = self.guard.overloaded_replicas(now, &self.update_roster, |id| self.is_out(id));
        let held = self.guard.proxies_with_refusals();
        let names = |proxy: &Proxy| {
            let lines = proxy.tables.iter().flatten().flat_map(|kept| &kept.table.entries);
            lines.filter(|line| line.routable).any(|line| troubled.contains(&line.replica))
        };
        let concerned = |(number, proxy): (ProxyId, &Proxy)| {
            (held.contains(&number) || !troubled.is_empty() && names(proxy)).then_some(number)
        };
        let concerned: Vec<ProxyId> = self.fleet.iter().filter_map(concerned).collect();
        if !concerned.is_empty() {
            self.refresh_as(now, &concerned, None, false, true);
        }
    }

    fn listed(&mut self, now: Duration, listed: &[wrenthread::types::ReplicaEntry]) {
        self.rules.update_replicas(now, listed, RosterScope::Complete);
        self.recall_replicas(now);
        let tables = &self.tables;
        let held: BTreeSet<&ReplicaId> =
            self.fleet.iter().flat_map(|(_, one)| &one.default_table).map(|(id, _)| id).collect();
        self.update_roster.forget_gone(|id| tables.names_replica(id) || held.contains(id));
        // Addresses may have changed under the same names.
        let all = self.fleet.proxy_ids();
        self.guard.roster_changed(&self.update_roster);
        self.refresh(now, &all, None);
        // What stands may be harmful by the new list, once the module has had its say.
        self.recheck_all = true;
        self.causes.insert(Cause::Roster);
    }

    /// One flush: all that the module decides now, under one version.
    fn pull(&mut self, now: Duration) {
        let answers: Arc<[Cause]> = std::mem::take(&mut self.causes).into_iter().collect();
        let (mut concerned, mut everyone, mut marked) = (BTreeSet::new(), false, false);
        let (mut decided, mut touched) = (Vec::new(), Vec::new());
        self.pulls += 1;
        let version = self.version + 1;
        let moving = [Cause::Roster, Cause::Joined, Cause::Left, Cause::Probed];
        let mut asked = answers.iter().any(|cause| moving.contains(cause));
        while let Some(decision) = self.decide(now) {
            let what = match decision {
                Decision::ScheduleTick(after) => {
                    // Neither at once, for ever, nor never again.
                    self.beat_at = now + after.clamp(SOONEST, LATEST);
                    continue;
                }
                Decision::RequestAcknowledgement(_) => {
                    marked = true;
                    continue;
                }
                Decision::CheckHealth(replica) => {
                    self.out.push_back(Action::CheckHealth(replica));
                    continue;
                }
                Decision::SetEjected { replica, ejected: out } => {
                    self.tables.set_ejected(replica.clone(), out);
                    (everyone, asked) = (true, true);
                    DecisionSummary::Withdraw(replica, out)
                }
                Decision::UpdateTable { table, entries } => {
                    // Who follows it may be said only later in the same go.
                    touched.push((decided.len(), table));
                    let count = entries.len();
                    self.tables.update_entries(table, entries);
                    DecisionSummary::Lines("".into(), count)
                }
                Decision::AssignTable { proxy: number, table, classes: groups } => {
                    if let Some(proxy) = self.fleet.get_mut(number) {
                        for (place, follows) in proxy.assigned_tables.iter_mut().enumerate() {
                            if groups >> place & 1 == 1 {
                                *follows = Some(table);
                                // It has spoken: what another governor told gives way.
                                if self.frozen_tables.get(&(number, place)).is_some_and(|hold| hold.migrated)
                                {
                                    self.frozen_tables.remove(&(number, place));
                                }
                            }
                        }
                        concerned.insert(number);
                    }
                    DecisionSummary::Follow(self.name_of(Some(number)), groups)
                }
                Decision::SetAdmission { classes: groups, fraction: level, retry_policy: tries } => {
                    // It has seen for itself: what an earlier life said of these gives way. That all is let
                    // in it says at its start, having seen nothing.
                    if level < 1.0 {
                        self.recalled.levels.retain(|group, _| groups >> *group & 1 == 0);
                    }
                    for (groups, tries) in self.guard.check_retry_policy(now, groups, tries) {
                        self.tables.set_admission(groups, level, tries);
                    }
                    everyone = true;
                    DecisionSummary::Level(groups, level, tries)
                }
            };
            decided.push(what);
            if decided.len() >= MOST_DECISIONS {
                // A module that goes on for ever must not hold up drains: the rest is asked for next time.
                self.guard.record_refusal(
                    now,
                    0,
                    RefusalReason::Flood,
                    decided.len() as f64,
                    MOST_DECISIONS as f64,
                );
                self.beat_at = now + Duration::from_millis(250);
                break;
            }
        }
        let followers = if touched.is_empty() { BTreeMap::new() } else { self.followers() };
        for (place, table) in touched {
            let Some(number) = followers.get(&table) else { continue };
            concerned.insert(*number);
            if let DecisionSummary::Lines(name, _) = &mut decided[place] {
                *name = self.name_of(Some(*number));
            }
        }
        let note = |what| Action::Report(EngineEvent::Decided { what, version, answers: answers.clone() });
        self.out.extend(decided.into_iter().map(note));
        let concerned: Vec<ProxyId> =
            if everyone { self.fleet.proxy_ids() } else { concerned.into_iter().collect() };
        self.refresh_as(now, &concerned, marked.then_some(now), asked, false);
    }

    /// The module's next decision.
    fn decide(&mut self, now: Duration) -> Option<Decision> {
        #[cfg(any(test, feature = "suspect"))]
        if let Some(distort) = &mut self.replace_decider {
            return distort(now, &mut self.rules);
        }
        self.rules.next_decision(now)
    }

    /// Puts something between the module and what becomes of its decisions: for tests and rehearsals of a
    /// module that has gone wrong. It is asked as the module would be.
    #[cfg(any(test, feature = "suspect"))]
    pub fn replace_decider(&mut self, decider: FaultyDecider) {
        self.replace_decider = Some(decider);
    }

    /// Lets all through, for measurements of what the guard is worth.
    #[cfg(any(test, feature = "suspect"))]
    pub fn switch_guard_off(&mut self) {
        self.guard.switch_off();
    }

    /// Who follows which table: each is one proxy's.
    fn followers(&self) -> BTreeMap<TableId, ProxyId> {
        let follows = |(number, proxy): (ProxyId, &Proxy)| {
            proxy.assigned_tables.clone().into_iter().flatten().map(move |table| (table, number))
        };
        self.fleet.iter().flat_map(follows).collect()
    }

    fn name_of(&self, number: Option<ProxyId>) -> Arc<str> {
        number.and_then(|number| self.fleet.get(number)).map_or_else(|| "".into(), |one| one.name.clone())
    }

    /// Brings what these proxies should hold up to date; what changed is due to them.
    fn refresh(&mut self, now: Duration, numbers: &[ProxyId], marked: Option<Duration>) {
        self.refresh_as(now, numbers, marked, true, false);
    }

    /// What a proxy's group should hold, as the module and those who hold its tables have it; none where
    /// there is nothing to say.
    fn wanted(&self, number: ProxyId, group: usize) -> Option<(Table, bool)> {
        let proxy = self.fleet.get(number)?;
        let overridden = proxy.default_table.iter().any(|(id, _)| self.overrides.contains(id));
        let (follows, told) = (proxy.assigned_tables[group], proxy.tables[group].is_some() || overridden);
        let wanted = self.tables.resolve(&self.update_roster, group, follows, &proxy.default_table, told);
        // A level of before a restart holds until the module says another, and for some seconds at the most:
        // it begins with all let in, and an overload that goes on would be let in until it is seen again.
        let level = self.recalled.levels.get(&group).copied();
        let wanted = match (wanted, level) {
            (Some(wanted), Some(level)) => {
                Some(Table { admission_fraction: wanted.admission_fraction.min(level), ..wanted })
            }
            (wanted, _) => wanted,
        };
        let nothing = Table { entries: Vec::new(), admission_fraction: 1.0 };
        let (mut table, bare) = match self.frozen_tables.get(&(number, group)) {
            None => (wanted?, false),
            Some(hold) => {
                let present = wanted.as_ref().unwrap_or(&nothing);
                match frozen_tables::told(hold, present, &self.update_roster, |id| self.tables.is_ejected(id))
                {
                    (Some(held), _) => (held, false),
                    (None, _) => (wanted.unwrap_or(nothing), true),
                }
            }
        };
        self.overrides.apply(&mut table);
        Some((table, bare))
    }

    /// Whether nothing is to be sent to a replica: by the module, or by an operator.
    fn is_out(&self, replica: &ReplicaId) -> bool {
        self.tables.is_ejected(replica) || self.overrides.excludes(replica)
    }

    /// As [`Engine::refresh`]. `asked`: the cause asks for as many moves as it takes. `recheck`: tables that
    /// did not change are judged again, too, as what they are judged by has.
    fn refresh_as(
        &mut self,
        now: Duration,
        numbers: &[ProxyId],
        marked: Option<Duration>,
        asked: bool,
        recheck: bool,
    ) {
        let version = self.version + 1;
        let suspects = if recheck { self.suspects(now) } else { BTreeSet::new() };
        let held = if recheck { self.guard.proxies_with_refusals() } else { BTreeSet::new() };
        let mut wanted: Vec<(ProxyId, usize, Table)> = Vec::new();
        for (number, group) in numbers.iter().flat_map(|number| (0..self.groups).map(move |at| (*number, at)))
        {
            let Some((table, bare)) = self.wanted(number, group) else { continue };
            if bare {
                self.frozen_tables.remove(&(number, group));
                let (proxy, over) = (self.name_of(Some(number)), ReleaseReason::Bare);
                self.out.push_back(Action::Report(EngineEvent::FrozenTableReleased { proxy, group, over }));
            }
            let kept = self.fleet.get(number).and_then(|proxy| proxy.tables[group].as_ref());
            let same = kept.is_some_and(|kept| *kept.table == table);
            if same {
                self.guard.clear_refusals(number, group);
            }
            let suspect =
                |line: &crate::tables::ResolvedEntry| line.routable && suspects.contains(&line.replica);
            let again = recheck && (held.contains(&number) || table.entries.iter().any(suspect));
            if (!same || again) && (kept.is_some() || !table.entries.is_empty()) {
                wanted.push((number, group, table));
            }
        }
        let places: Vec<(ProxyId, usize)> =
            wanted.iter().map(|(number, group, _)| (*number, *group)).collect();
        let (fleet, tables, overrides) = (&self.fleet, &self.tables, &self.overrides);
        let change = |(number, group, wanted): (ProxyId, usize, Table)| {
            let proxy = fleet.get(number)?;
            let held = proxy.tables[group].as_ref().map(|kept| &*kept.table);
            Some(ProposedTable {
                proxy: number,
                zone: proxy.zone,
                class: group,
                held,
                default_table: &proxy.default_table,
                wanted,
            })
        };
        let changes: Vec<ProposedTable> = wanted.into_iter().filter_map(change).collect();
        let withdrawn = |id: &ReplicaId| tables.is_ejected(id) || overrides.excludes(id);
        let judged = self.guard.check(now, &self.update_roster, withdrawn, asked, changes);
        let mut judged: BTreeMap<(ProxyId, usize), Table> = places.into_iter().zip(judged).collect();
        while let Some(refusal) = self.guard.next_new_refusal() {
            self.out.push_back(Action::Report(EngineEvent::TableRefused(refusal)));
        }
        let mut changed = Vec::new();
        let tries = self.tables.retry_policies();
        for number in numbers {
            let Some(proxy) = self.fleet.get_mut(*number) else { continue };
            let (mut lines, mut urgent) = (0, false);
            for group in 0..self.groups {
                let Some(table) = judged.remove(&(*number, group)) else { continue };
                let kept = proxy.tables[group].take();
                proxy.tables[group] = match kept {
                    Some(kept) if *kept.table == table => Some(kept),
                    kept => {
                        lines += kept
                            .as_ref()
                            .map_or(table.entries.len() + 1, |kept| table.count_differences(&kept.table));
                        // Who came with holdings that nobody knows, or may send to a drain, can't wait.
                        let drains = |(id, _): &(ReplicaId, f64)| self.tables.is_ejected(id);
                        urgent |= match &kept {
                            Some(kept) => {
                                let excluded = |line: &crate::tables::ResolvedEntry| {
                                    line.routable && self.overrides.excludes(&line.replica)
                                };
                                self.tables.routes_to_ejected(&kept.table)
                                    || kept.table.entries.iter().any(excluded)
                            }
                            None => !proxy.holds_default_table || proxy.default_table.iter().any(drains),
                        };
                        // Groups that follow one table share one copy.
                        let alike = proxy.tables[..group].iter().flatten().find(|one| *one.table == table);
                        let table = alike.map_or_else(|| Arc::new(table), |one| one.table.clone());
                        Some(VersionedTable { version, table })
                    }
                };
            }
            if proxy.retry_policies.1 != tries {
                proxy.retry_policies = (version, tries.clone());
                lines += self.groups;
            }
            if lines > 0 {
                changed.push(*number);
                if let Some(at) = marked {
                    proxy.request_acknowledgement(version, at);
                }
                self.pace.request(now, *number, lines, urgent);
            }
        }
        self.version += u64::from(!changed.is_empty());
        for number in changed {
            self.remember(now, number);
        }
    }

    /// Keeps what a proxy is told by now as a version of it.
    fn remember(&mut self, now: Duration, number: ProxyId) {
        let Some(proxy) = self.fleet.get(number) else { return };
        let said = |(kept, tries): (&Option<VersionedTable>, &RetryPolicy)| {
            kept.as_ref().map(|kept| PublishedTable::of(&kept.table, *tries))
        };
        let whole =
            PublishedState { classes: proxy.tables.iter().zip(&proxy.retry_policies.1).map(said).collect() };
        let version = HistoryEntry {
            version: proxy.newest(),
            published_at: now,
            digest: whole.digest(),
            state: Arc::new(whole),
        };
        self.history.push(number, version);
    }

    // ---- what fronts and operators read

    pub fn proxy(&self, number: ProxyId) -> Option<&Proxy> {
        self.fleet.get(number)
    }

    pub fn number_of(&self, stream: StreamId) -> Option<ProxyId> {
        self.fleet.number_of(stream)
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub fn replicas(&self) -> impl Iterator<Item = (&ReplicaId, &KnownReplica)> {
        self.update_roster.iter()
    }

    pub fn known_roster(&self) -> &Roster {
        &self.update_roster
    }

    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.tables.is_ejected(replica)
    }

    /// Why the module has a ready replica out, in its own words.
    pub fn ejection_reason(&self, replica: &ReplicaId) -> Option<&'static str> {
        self.rules.ejection_reason(replica)
    }

    /// Whether a proxy is one of the few on solved tables.
    pub fn is_critical(&self, number: ProxyId) -> bool {
        self.rules.is_critical(number)
    }

    /// By group.
    pub fn admission(&self) -> &[(f64, RetryPolicy)] {
        self.tables.admission()
    }

    pub fn reports(&self) -> (&BTreeMap<DiscardReason, u64>, u64) {
        self.reports.tally()
    }

    /// What is known now, as far as the guard judges by it, for tables to be tried against. Names of zones
    /// and groups are the caller's to fill in.
    pub fn record(&self, now: Duration) -> Recording {
        let replica = |(id, known): (&ReplicaId, &KnownReplica)| recording::RecordedReplica {
            id: id.clone(),
            address: known.address.clone(),
            zone: known.zone,
            weight: known.weight,
            phase: known.phase.into(),
            age_s: known.started_at.map(|started| now.saturating_sub(started).as_secs_f64()),
            out: self.is_out(id),
        };
        let held = |(number, proxy): (ProxyId, &Proxy)| {
            let table = |(group, kept): (usize, &Option<VersionedTable>)| {
                let table = kept.as_ref().map(|kept| &*kept.table);
                let line =
                    |line: &crate::tables::ResolvedEntry| (line.replica.clone(), line.weight, line.routable);
                recording::RecordedTable {
                    flows: self.guard.requests_per_second(number, group),
                    level: table.map_or(1.0, |table| table.admission_fraction),
                    lines: table.map(|table| table.entries.iter().map(line).collect()),
                }
            };
            recording::RecordedProxy {
                name: proxy.name.clone(),
                zone: proxy.zone,
                standing: proxy.default_table.clone(),
                groups: proxy.tables.iter().enumerate().map(table).collect(),
            }
        };
        let seen = |(id, zone, per_s): (&ReplicaId, usize, f64)| recording::RecordedThroughput {
            replica: id.clone(),
            zone,
            per_s,
        };
        Recording {
            form: recording::FORM,
            governor: String::new(),
            taken_at: 0.0,
            zones: Vec::new(),
            groups: Vec::new(),
            limits: self.guard.limits().into(),
            replicas: self.update_roster.iter().map(replica).collect(),
            proxies: self.fleet.iter().map(held).collect(),
            seen: self.guard.throughput(now).map(seen).collect(),
        }
    }

    /// What was refused, and the account that it is judged by.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Versions of what each proxy was told.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Holds in force, by proxy and group.
    pub fn frozen_tables(&self) -> impl Iterator<Item = (&Arc<str>, usize, &FrozenTable)> {
        self.frozen_tables
            .iter()
            .filter_map(|((number, group), hold)| Some((&self.fleet.get(*number)?.name, *group, hold)))
    }

    pub fn status(&self, now: Duration) -> EngineStatus {
        EngineStatus {
            version: self.version,
            flushes: self.pulls,
            connected_proxies: self.fleet.len(),
            queued_joins: self.lobby.len(),
            queued_entries: self.pace.queued_entries(now),
            max_queued_entries: self.pace.max_queued_entries(),
            queued_reports: self.reports.queued_entries(),
            history_entries: self.history.entry_count(),
            frozen_tables: self.frozen_tables.len(),
            roster_doubted: self.update_roster.empty_roster_doubted(),
        }
    }
}

/// Counts for status pages and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineStatus {
    pub version: u64,
    pub flushes: u64,
    pub connected_proxies: usize,
    pub queued_joins: usize,
    pub queued_entries: usize,
    pub max_queued_entries: usize,
    pub queued_reports: usize,
    pub history_entries: usize,
    pub frozen_tables: usize,
    pub roster_doubted: bool,
}

#[cfg(test)]
mod hostile;
#[cfg(test)]
mod tests;
