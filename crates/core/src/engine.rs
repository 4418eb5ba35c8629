//! The engine: one instance of the decision module and the state needed to apply its decisions to proxies.
//! Inputs go in, actions come out; it does no I/O and reads no clock.
//!
//! A host calls an input method for each event, then calls [`Engine::next_action`] until it returns `None`,
//! carries out each action, and calls again at [`Engine::next_deadline`] at the latest. All decisions that
//! the module makes in one call belong to one flush: they share a version, and each affected proxy receives
//! them together.
//!
//! | file | content |
//! | --- | --- |
//! | `settings` | the settings of an engine |
//! | `actions` | actions for the host and events for the log |
//! | `inputs` | inputs from the host: roster, reports, acknowledgements, streams, health checks, overrides |
//! | `joining` | connecting proxies, and the queue of those waiting for channel capacity |
//! | `recovery` | state stored across restarts, and its use after one |
//! | `migration` | proxies handed over by other governors |
//! | `rollback` | tables frozen by operators at an earlier version, and their release |
//! | `scheduling` | deadlines, ticks and the next action |
//! | `decisions` | a flush: the decisions that the module makes in one call |
//! | `publishing` | the tables of each proxy, checked by the guard and versioned |
//! | `inspection` | read access for front ends and operators |
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
//! // The tables that the proxy holds are unknown, so the module assigns it new ones.
//! let later = now + Duration::from_millis(250);
//! let actions: Vec<Action> = std::iter::from_fn(|| {
//!     let action = engine.next_action(later)?;
//!     if let Action::Flush(proxy) = action {
//!         engine.tables_sent(later, proxy, 1, 1); // a front end would send the tables of `Engine::proxy` here
//!     }
//!     Some(action)
//! }).collect();
//! assert!(actions.contains(&Action::Flush(proxy)));
//! let table = &engine.proxy(proxy).unwrap().tables[0].as_ref().unwrap().table;
//! assert_eq!(&*table.entries[0].address, "10.0.0.1:80");
//! ```

mod actions;
mod decisions;
mod inputs;
mod inspection;
mod joining;
mod migration;
mod publishing;
mod recovery;
mod rollback;
mod scheduling;
mod settings;

pub use actions::{Action, Cause, DecisionSummary, EngineEvent};
pub use inspection::EngineStatus;
pub use migration::MigratedProxy;
pub use rollback::{RollbackError, RollbackReport, TableScope};
pub use settings::EngineSettings;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::governor::Governor;
#[cfg(any(test, feature = "suspect"))]
use wrenthread::types::Decision;
use wrenthread::types::{Idempotency, ProxyId, Settings};

use crate::backup_replicas::BackupReplicas;
use crate::fleet::Fleet;
use crate::frozen_tables::FrozenTable;
use crate::guard::{Guard, GuardLimits};
use crate::history::History;
use crate::overrides::Overrides;
use crate::reports::ReportAggregator;
use crate::roster::Roster;
use crate::send_limiter::{ChannelLimits, SendLimiter};
use crate::snapshot::RestoredState;
use crate::tables::Tables;

use joining::QueuedJoin;
use recovery::AwaitedFrozenTable;

/// The number of traffic classes that a [`ClassSet`](wrenthread::types::ClassSet) can represent; further
/// classes are ignored.
const MAX_CLASSES: usize = 64;
/// The maximum length of an operator's reason in characters; the rest is cut off.
const MAX_REASON_LENGTH: usize = 500;

/// One instance of the decision module and the state needed to apply its decisions to proxies.
pub struct Engine {
    governor: Governor,
    backups: BackupReplicas,
    roster: Roster,
    fleet: Fleet,
    tables: Tables,
    send_limiter: SendLimiter,
    reports: ReportAggregator,
    history: History,
    /// By proxy and traffic class.
    frozen_tables: BTreeMap<(ProxyId, usize), FrozenTable>,
    overrides: Overrides,
    guard: Guard,
    /// Set when the roster has changed: all current tables are checked again after the next flush.
    recheck_all: bool,
    /// State from before a restart that has not been used yet.
    restored: RestoredState,
    restored_at: Duration,
    /// When the admission fractions from before a restart expire.
    restored_admission_until: Duration,
    /// Frozen tables of proxies that have not reconnected since a restart, by proxy and traffic class.
    awaited_frozen_tables: BTreeMap<(Arc<str>, usize), AwaitedFrozenTable>,
    class_count: usize,
    /// The estimated number of entries sent to a proxy that receives a table for every class.
    join_cost_entries: f64,
    /// Connected proxies not yet passed to the module, because their tables would exceed the channel's
    /// capacity.
    join_queue: VecDeque<QueuedJoin>,
    /// Entries reserved for the proxies that left the join queue since the last tick.
    reserved_entries: f64,
    version: u64,
    next_tick: Duration,
    /// Set after a process pause, while inputs from the meantime are processed before the module decides.
    catching_up: bool,
    report_interval: Duration,
    /// Kinds of input since the module was last asked for decisions.
    causes: BTreeSet<Cause>,
    pending_actions: VecDeque<Action>,
    /// The flush offered to the host last and not yet confirmed.
    offered_flush: Option<ProxyId>,
    flush_count: u64,
    #[cfg(any(test, feature = "suspect"))]
    replace_decider: Option<FaultyDecider>,
}

/// Replaces the module's decisions; it is given the module to consult.
#[cfg(any(test, feature = "suspect"))]
pub type FaultyDecider = Box<dyn FnMut(Duration, &mut Governor) -> Option<Decision>>;

impl Engine {
    /// Creates an engine with an empty roster and no proxies. `now` is the host's clock, as in all other
    /// methods.
    pub fn new(settings: EngineSettings, now: Duration) -> Self {
        let EngineSettings {
            governor: module,
            max_proxies,
            max_report_entries_per_second,
            empty_roster_timeout,
            history: (max_versions, max_history_entries),
        } = settings;
        let class_count = module.classes.len().min(MAX_CLASSES);
        Engine {
            backups: BackupReplicas::new(module.slow_start_duration),
            roster: Roster::new(empty_roster_timeout),
            fleet: Fleet::new(max_proxies),
            tables: Tables::new(class_count, module.default_retry_policy),
            send_limiter: SendLimiter::new(channel_limits(&module), now),
            reports: ReportAggregator::new(module.report_interval, max_report_entries_per_second),
            history: History::new(max_versions, max_history_entries),
            frozen_tables: BTreeMap::new(),
            overrides: Overrides::default(),
            guard: Guard::new(guard_limits(&module, class_count)),
            recheck_all: false,
            restored: RestoredState::default(),
            restored_at: now,
            restored_admission_until: Duration::ZERO,
            awaited_frozen_tables: BTreeMap::new(),
            class_count,
            join_cost_entries: join_cost_entries(&module, class_count),
            join_queue: VecDeque::new(),
            reserved_entries: 0.0,
            version: 1,
            next_tick: now,
            catching_up: false,
            report_interval: module.report_interval,
            causes: BTreeSet::new(),
            pending_actions: VecDeque::new(),
            offered_flush: None,
            flush_count: 0,
            #[cfg(any(test, feature = "suspect"))]
            replace_decider: None,
            governor: Governor::new(module, now),
        }
    }

    /// Replaces the source of decisions, for tests and rehearsals of a faulty module. It is called in place
    /// of [`Governor::next_decision`].
    #[cfg(any(test, feature = "suspect"))]
    pub fn replace_decider(&mut self, decider: FaultyDecider) {
        self.replace_decider = Some(decider);
    }

    /// Disables all checks of the guard, to measure what the guard costs and prevents.
    #[cfg(any(test, feature = "suspect"))]
    pub fn switch_guard_off(&mut self) {
        self.guard.disable();
    }
}

fn channel_limits(module: &Settings) -> ChannelLimits {
    ChannelLimits {
        entries_per_second: module.entries_per_second.max(1.0),
        message_overhead_entries: module.message_overhead_entries,
        max_queued_entries: module.max_queued_entries,
        message_limit: module.message_limit,
    }
}

fn guard_limits(module: &Settings, class_count: usize) -> GuardLimits {
    let classes = || module.classes.iter().take(class_count);
    GuardLimits {
        initial_capacity_fraction: module.initial_capacity_fraction,
        slow_start_duration: module.slow_start_duration,
        proxy_count: usize::try_from(module.proxy_count).unwrap_or(usize::MAX),
        max_entries: module.max_queued_entries,
        same_zone_only: classes().map(|class| class.same_zone_only).collect(),
        not_idempotent: classes().map(|class| class.idempotency == Idempotency::NotIdempotent).collect(),
    }
}

fn join_cost_entries(module: &Settings, class_count: usize) -> f64 {
    module.message_overhead_entries + (class_count * module.default_table_size.clamp(1, 100)) as f64
}

#[cfg(test)]
mod tests;
