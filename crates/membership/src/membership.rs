//! [`Membership`]: the inputs and actions of one governor's membership state machine.

mod planning;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread_core::ownership::SigningKey;

use crate::assignment::{self, GovernorCapacity, LocalGovernor, MIN_RESIDENCE};
use crate::members::{MemberAction, Members, ProbeSettings};
use crate::messages::{self, DatagramError, MessageBody};
use crate::migration::{MigrationAction, Migrations, OfferAnswer, TransferredState};
use crate::{Action, MembershipEvent, MembershipSettings, MembershipStatistics, ServiceMode};

/// Lower bound of the configured rate of moves, per second.
const MIN_MOVES_PER_SECOND: f64 = 0.01;
/// Upper bound of the configured rate of moves, per second.
const MAX_MOVES_PER_SECOND: f64 = 10_000.0;

/// A proxy that is connected to this governor.
#[derive(Debug)]
struct ConnectedProxy {
    connected_at: Duration,
    /// Indices into `candidates`, best first. An index equal to the list's length stands for this governor.
    ranking: Vec<usize>,
}

/// The membership state machine of one governor; see the crate documentation.
#[derive(Debug)]
pub struct Membership {
    members: Members,
    migrations: Migrations,
    keys: Vec<SigningKey>,
    connected: BTreeMap<Arc<str>, ConnectedProxy>,
    /// The other governors that proxies can be moved to. The rankings of connected proxies index into this list.
    candidates: Vec<String>,
    mode: ServiceMode,
    /// Whether the end of the current drain was reported.
    drain_reported: bool,
    move_interval: Duration,
    next_move: Duration,
    /// When the next move is planned.
    next_plan: Duration,
    proxies_moved: u64,
    proxies_received: u64,
    datagrams_rejected: u64,
    actions: VecDeque<Action>,
}

impl Membership {
    /// Creates the state machine. `epoch` identifies this run and is higher than in any earlier run of this governor.
    pub fn new(settings: MembershipSettings, epoch: u64, now: Duration) -> Self {
        let MembershipSettings { local, peers, keys, moves_per_second } = settings;
        let moves_per_second = moves_per_second.clamp(MIN_MOVES_PER_SECOND, MAX_MOVES_PER_SECOND);
        Membership {
            members: Members::new(local, epoch, &peers, ProbeSettings::default(), now),
            migrations: Migrations::new(epoch),
            keys,
            connected: BTreeMap::new(),
            candidates: Vec::new(),
            mode: ServiceMode::Serving,
            drain_reported: false,
            move_interval: Duration::from_secs_f64(1.0 / moves_per_second),
            next_move: now,
            next_plan: now,
            proxies_moved: 0,
            proxies_received: 0,
            datagrams_rejected: 0,
            actions: VecDeque::new(),
        }
    }

    // ---- inputs

    /// Handles a datagram from another governor.
    ///
    /// # Errors
    /// The datagram is not a valid message of this fleet. It is counted and otherwise ignored.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DatagramError> {
        let message = messages::decode(&self.keys, datagram).inspect_err(|_| self.datagrams_rejected += 1)?;
        if !self.members.handle_message(now, &message) {
            return Ok(());
        }
        let from = message.from.name.as_str();
        match &message.body {
            MessageBody::Offer(part) => {
                let others = capacities(&self.candidates, &self.members, &self.migrations);
                let (mode, connected) = (self.mode, self.connected.len());
                let offered_by = message.from.load.mode();
                self.migrations.handle_offer(now, from, part, |expected| {
                    let local = LocalGovernor { connected_proxies: connected + expected, mode };
                    assignment::admits(local, &others, offered_by)
                });
            }
            MessageBody::Accept { offer_id, proxy } => {
                self.migrations.handle_answer(now, from, *offer_id, proxy, OfferAnswer::Accepted);
            }
            MessageBody::Decline { offer_id, proxy } => {
                self.migrations.handle_answer(now, from, *offer_id, proxy, OfferAnswer::Declined);
            }
            MessageBody::Ping { .. } | MessageBody::PingRequest { .. } | MessageBody::Ack { .. } => {}
        }
        self.schedule_plan(now);
        Ok(())
    }

    /// Registers a proxy that connected to this governor. Returns the state that another governor transferred ahead of
    /// it, if any.
    pub fn proxy_connected(&mut self, now: Duration, proxy: &Arc<str>) -> Option<TransferredState> {
        let ranking = self.rank_governors(proxy);
        self.migrations.proxy_disconnected(proxy);
        self.connected.insert(proxy.clone(), ConnectedProxy { connected_at: now, ranking });
        self.schedule_plan(now + MIN_RESIDENCE);
        self.publish_load();
        let transferred = self.migrations.proxy_connected(now, proxy);
        if transferred.is_some() {
            self.proxies_received += 1;
        }
        transferred
    }

    /// Unregisters a proxy whose stream to this governor ended.
    pub fn proxy_disconnected(&mut self, now: Duration, proxy: &str) {
        self.connected.remove(proxy);
        self.migrations.proxy_disconnected(proxy);
        self.schedule_plan(now);
        self.publish_load();
    }

    /// Starts or ends a drain.
    pub fn set_mode(&mut self, now: Duration, mode: ServiceMode) {
        self.mode = mode;
        self.drain_reported = false;
        self.schedule_plan(now);
        self.publish_load();
    }

    /// Offers a proxy, with its encoded state, to another governor. Called in response to [`Action::CollectState`].
    pub fn offer_proxy(&mut self, now: Duration, proxy: &str, to: &str, state: Vec<u8>) {
        if self.connected.contains_key(proxy) {
            self.migrations.offer(now, proxy, to, state);
        }
    }

    /// Announces that this governor stops. The remaining actions send the announcement to the others.
    pub fn leave(&mut self) {
        self.members.leave();
    }

    fn publish_load(&mut self) {
        self.members.set_load(self.connected.len(), self.mode);
    }

    fn schedule_plan(&mut self, at: Duration) {
        self.next_plan = self.next_plan.min(at);
    }

    // ---- actions

    /// Returns the next action, or `None` if there is nothing to do now.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        loop {
            if let Some(action) = self.actions.pop_front() {
                return Some(action);
            }
            if let Some(action) = self.migrations.next_action(now) {
                self.handle_migration_action(action);
            } else if let Some(action) = self.members.next_action(now) {
                self.handle_member_action(now, action);
            } else if now < self.next_plan || !self.plan_move(now) {
                return None;
            }
        }
    }

    fn handle_migration_action(&mut self, action: MigrationAction) {
        match action {
            MigrationAction::Send { to, body } => self.members.send(&to, body),
            MigrationAction::MoveProxy { proxy, to } => {
                self.proxies_moved += 1;
                self.actions.push_back(Action::MoveProxy { proxy: proxy.into(), to: Some(to) });
            }
            MigrationAction::OfferUnanswered { proxy, to } => {
                self.report(MembershipEvent::OfferUnanswered { proxy, to });
            }
        }
    }

    fn handle_member_action(&mut self, now: Duration, action: MemberAction) {
        match action {
            MemberAction::Send { address, message } => {
                // Without a key the datagram could not be sealed, and no receiver would accept it.
                if let Some(key) = self.keys.first() {
                    let datagram = messages::encode(key, &message);
                    self.actions.push_back(Action::Send { address, datagram });
                }
            }
            MemberAction::StateChanged { governor, state } => {
                self.schedule_plan(now);
                self.report(MembershipEvent::MemberStateChanged { governor, state });
            }
            MemberAction::Stalled { late } => self.report(MembershipEvent::Stalled { late }),
        }
    }

    fn report(&mut self, event: MembershipEvent) {
        self.actions.push_back(Action::Event(event));
    }

    /// Returns the time at which [`Membership::next_action`] has to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        let migrations = self.migrations.next_deadline().unwrap_or(Duration::MAX);
        self.members.next_deadline().min(self.next_plan).min(migrations)
    }

    // ---- status

    /// Returns the governors of the fleet, as seen by this one.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether this governor drains.
    pub fn is_draining(&self) -> bool {
        self.mode == ServiceMode::Draining
    }

    /// Returns the current capacity of this governor, in proxies.
    pub fn max_proxies(&self) -> usize {
        let others = capacities(&self.candidates, &self.members, &self.migrations);
        let other_proxies: usize = others.iter().map(|other| other.connected_proxies).sum();
        assignment::max_proxies_per_governor(self.connected.len() + other_proxies, others.len() + 1)
    }

    /// Returns counters for status pages and metrics.
    pub fn statistics(&self) -> MembershipStatistics {
        MembershipStatistics {
            proxies_moved: self.proxies_moved,
            proxies_received: self.proxies_received,
            datagrams_rejected: self.datagrams_rejected,
            proxies_migrating: self.migrations.outgoing_count(),
        }
    }
}

/// Returns the load of each candidate: the proxies that it reports, plus those with an open offer to it from here.
fn capacities<'a>(
    candidates: &'a [String],
    members: &Members,
    migrations: &Migrations,
) -> Vec<GovernorCapacity<'a>> {
    let capacity = |name: &'a String| {
        let reported = members.get(name).map_or(0, |member| member.update.load.connected_proxies as usize);
        GovernorCapacity { name, connected_proxies: reported + migrations.outgoing_to(name) }
    };
    candidates.iter().map(capacity).collect()
}
