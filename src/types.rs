//! The plain types that a host and the rules hand each other. Nothing here decides.
//!
//! Times are spans since the zero of the host's clock; the ids of replicas are kept as the host gives them.
//! Proxies, zones, traffic groups and tables are numbers.
//!
//! A host makes one [`crate::rules::Governor`] for each governor, follows the list of replicas for it, and
//!
//! 1. tells it what has happened: [`listed`](crate::rules::Governor::listed) first, with the whole list as
//!    last known, then `joined`, `left`, `met`, `came`, `probed`, `acked` and `beat` as they come;
//! 2. pulls [`decide`](crate::rules::Governor::decide) until it gives `None`, and carries out each decision
//!    in the order given. All that is pulled in one go reaches each proxy concerned as one message.
//!
//! A governor that restarts is made anew; proxies that join it again are told of as not `fresh`.
//!
//! ```
//! use std::time::Duration;
//! use wrenthread::types::*;
//! use wrenthread::rules::Governor;
//!
//! let group = Group {
//!     effect: Effect::Retriable,
//!     latency_budget: Duration::from_secs(1),
//!     expiry: Duration::from_secs(3),
//!     utility: 1.0,
//!     own_zone: false,
//! };
//! let settings = Settings {
//!     governors: 1,
//!     groups: vec![group],
//!     slices: 0,
//!     proxies: 1,
//!     standing_lines: 8,
//!     cold_share: 0.2,
//!     warm_after: Duration::from_secs(15),
//!     proxies_avoid: false,
//!     sums_every: Duration::from_secs(1),
//!     lines_per_s: 1000.0,
//!     head_lines: 5.0,
//!     waiting_most: 2000.0,
//!     transit_most: Duration::from_millis(500),
//!     messages_most: None,
//!     level_kind: LevelKind::None,
//!     usual_tries: FurtherTries::IfNeverRan,
//!     crossing_cost: 0.01,
//!     probe_cost: None,
//!     load_fields: vec![],
//! };
//! let now = Duration::from_secs(100);
//! let mut governor = Governor::new(settings, now);
//! let replica = Listed { id: "r1".into(), phase: Phase::Ready, zone: 0, weight: 2.0, started: None };
//! governor.listed(now, &[replica], true);
//! governor.joined(now, 7, 0, 10.0, false);
//! let decisions: Vec<Decision> = std::iter::from_fn(|| governor.decide(now)).collect();
//! // The proxy holds nobody knows what: it is given its zone's default at once.
//! assert!(decisions.contains(&Decision::Lines(14, vec![("r1".into(), 2.0)])));
//! assert!(decisions.contains(&Decision::Follow(7, 14, 1)));
//! ```

use std::sync::Arc;
use std::time::Duration;

/// A replica's name, as the host spells it. It says nothing of zone, size or age.
pub type ReplicaId = Arc<str>;
/// A proxy's number.
pub type ProxyId = u16;
/// A table's number, chosen by the rules; the host need not know what it stands for.
pub type TableId = u16;
/// A set of traffic groups, the bit `1 << k` for the group at place `k` of [`Settings::groups`].
pub type GroupSet = u64;

/// Which replicas drop a repeat of the same deduped flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dedupers {
    All,
    SameZone,
    SamePack,
}

/// What running a flow of a group a second time would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    Retriable,
    /// Repeats are dropped by `by`, within `window` of the first try that may have run.
    Deduped {
        by: Dedupers,
        window: Duration,
    },
    NonRetriable,
}

/// One traffic group.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    pub effect: Effect,
    /// Within this an answer is worth its whole utility.
    pub latency_budget: Duration,
    /// After this the client has given up.
    pub expiry: Duration,
    pub utility: f64,
    /// Its flows may go only to replicas in the proxy's own zone.
    pub own_zone: bool,
}

/// How the level of a group is said, if proxies heed one at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LevelKind {
    Share,
    Rate,
    None,
}

/// What a proxy does after a try without a good answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FurtherTries {
    #[default]
    Never,
    /// One more, elsewhere, once it is proven that the first never ran.
    IfNeverRan,
    /// One more, elsewhere, whatever became of the first.
    Once,
}

/// What a load report's places mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    InHand,
    Waiting,
    ServiceMillis,
    Other,
}

/// What an instance is told at its start. The rules derive their few figures from it and drop the rest.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many governors there are.
    pub governors: u64,
    pub groups: Vec<Group>,
    /// Slices of the key space; the rules serve deployments without.
    pub slices: u64,
    /// How many proxies all governors have together.
    pub proxies: u64,
    /// Most replicas in a standing table, drawn in the proxy's zone if a few are there.
    pub standing_lines: usize,
    /// A replica starts with this share of its capacity or more, and has all of it `warm_after` later.
    pub cold_share: f64,
    pub warm_after: Duration,
    /// Proxies turn for some seconds from a replica that dropped a few of their own tries in a row.
    pub proxies_avoid: bool,
    /// How often sums are gathered.
    pub sums_every: Duration,
    /// The channel: lines a second, lines a message costs on top, lines that may wait.
    pub lines_per_s: f64,
    pub head_lines: f64,
    pub waiting_most: f64,
    /// The longest way of a message from the channel to its proxy.
    pub transit_most: Duration,
    /// Messages that one proxy may be sent within the span; none where there is no such limit.
    pub messages_most: Option<(usize, Duration)>,
    pub level_kind: LevelKind,
    /// What proxies do about further tries until told otherwise.
    pub usual_tries: FurtherTries,
    /// Points off for a crossing flow, as a share of a delivered one's utility.
    pub crossing_cost: f64,
    /// Points off for probes, each as a share of a flow; none where probing is ruled out.
    pub probe_cost: Option<f64>,
    pub load_fields: Vec<LoadField>,
}

/// What the list says of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    pub id: ReplicaId,
    pub phase: Phase,
    pub zone: usize,
    pub weight: f64,
    /// When it last started; none for long ago.
    pub started: Option<Duration>,
}

/// What the proxies of a zone met at a replica, summed over `span`.
#[derive(Debug, Clone, PartialEq)]
pub struct Met {
    pub zone: usize,
    pub replica: ReplicaId,
    pub tries: u64,
    /// Tries without a good answer.
    pub dropped: u64,
    /// Mean time of the answered ones; none if there was none.
    pub mean: Option<Duration>,
    pub span: Duration,
    /// The replica's latest load report, in the order of [`Settings::load_fields`]; may be empty.
    pub load: Vec<f64>,
}

/// Flows of a group that came to a proxy, summed over `span`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Came {
    pub proxy: ProxyId,
    pub group: usize,
    pub flows: u64,
    /// Let in, and not answered.
    pub dropped: u64,
    pub span: Duration,
}

/// What a governor takes for true, for operators to hold against what they see.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Beliefs {
    /// Flows a second that its proxies are sent, and that replicas answer them.
    pub offered: f64,
    pub answered: f64,
    pub let_in: f64,
    /// Replicas that are ready, less those that it keeps out.
    pub open: usize,
    pub out: usize,
    pub proxies: usize,
    /// Proxies that must be bound before anything else can be said of them.
    pub unsure: usize,
}

/// One thing decided. All that is pulled in one go travels as one message to each proxy concerned.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Call [`crate::rules::Governor::beat`] after this span.
    Wake(Duration),
    /// Joined proxies stop sending to the replica whatever their tables hold, or (false) may send again.
    Withdraw(ReplicaId, bool),
    /// These lines of a table change; a weight of 0 takes the line out.
    Lines(TableId, Vec<(ReplicaId, f64)>),
    /// The proxy follows the table for these groups until its stream breaks.
    Follow(ProxyId, TableId, GroupSet),
    /// For all joined proxies: the level of these groups (1 for all of them let in), and further tries.
    Level(GroupSet, f64, FurtherTries),
    /// Have each proxy that this reply reaches acknowledge by this number.
    Mark(u16),
    Probe(ReplicaId),
}
