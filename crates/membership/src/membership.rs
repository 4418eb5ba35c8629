//! One governor's part in sharing the proxies: its inputs and actions.

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

/// The lowest rate of moves that is used, per second.
const MIN_MOVES_PER_SECOND: f64 = 0.01;
/// The highest.
const MAX_MOVES_PER_SECOND: f64 = 10_000.0;

/// A proxy that is connected here.
#[derive(Debug)]
struct ConnectedProxy {
    connected_at: Duration,
    /// Indices into `candidates`, best first; the list's length stands for this governor.
    ranking: Vec<usize>,
}

/// The state machine of one governor; see the crate's documentation.
#[derive(Debug)]
pub struct Membership {
    members: Members,
    migrations: Migrations,
    keys: Vec<SigningKey>,
    connected: BTreeMap<Arc<str>, ConnectedProxy>,
    /// The other governors that proxies can be moved to, as the rankings have them.
    candidates: Vec<String>,
    mode: ServiceMode,
    /// The end of this drain was reported.
    drain_reported: bool,
    move_interval: Duration,
    next_move: Duration,
    /// When moves are planned next.
    plan_at: Duration,
    proxies_moved: u64,
    proxies_received: u64,
    datagrams_rejected: u64,
    actions: VecDeque<Action>,
}

impl Membership {
    /// `epoch`: this run's, higher than that of any earlier run of this governor.
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
            plan_at: now,
            proxies_moved: 0,
            proxies_received: 0,
            datagrams_rejected: 0,
            actions: VecDeque::new(),
        }
    }

    // ---- inputs

    /// Handles a datagram of another governor.
    ///
    /// # Errors
    /// It is not a message of this fleet. It is counted and otherwise ignored.
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
        self.plan_by(now);
        Ok(())
    }

    /// A proxy connected here. Returns what another governor transferred ahead of it, if anything.
    pub fn proxy_connected(&mut self, now: Duration, proxy: &Arc<str>) -> Option<TransferredState> {
        let ranking = self.rank_governors(proxy);
        self.migrations.proxy_disconnected(proxy);
        self.connected.insert(proxy.clone(), ConnectedProxy { connected_at: now, ranking });
        self.plan_by(now + MIN_RESIDENCE);
        self.publish_load();
        let transferred = self.migrations.proxy_connected(now, proxy);
        if transferred.is_some() {
            self.proxies_received += 1;
        }
        transferred
    }

    /// A proxy's stream here ended.
    pub fn proxy_disconnected(&mut self, now: Duration, proxy: &str) {
        self.connected.remove(proxy);
        self.migrations.proxy_disconnected(proxy);
        self.plan_by(now);
        self.publish_load();
    }

    /// Begins or ends a drain.
    pub fn set_mode(&mut self, now: Duration, mode: ServiceMode) {
        self.mode = mode;
        self.drain_reported = false;
        self.plan_by(now);
        self.publish_load();
    }

    /// Offers a proxy with its encoded state, as [`Action::CollectState`] asked.
    pub fn offer_proxy(&mut self, now: Duration, proxy: &str, to: &str, state: Vec<u8>) {
        if self.connected.contains_key(proxy) {
            self.migrations.offer(now, proxy, to, state);
        }
    }

    /// This governor stops; the remaining actions tell the others.
    pub fn leave(&mut self) {
        self.members.leave();
    }

    fn publish_load(&mut self) {
        self.members.set_load(self.connected.len(), self.mode);
    }

    fn plan_by(&mut self, at: Duration) {
        self.plan_at = self.plan_at.min(at);
    }

    // ---- actions

    /// The next action, until there is none.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        loop {
            if let Some(action) = self.actions.pop_front() {
                return Some(action);
            }
            if let Some(action) = self.migrations.next_action(now) {
                self.handle_migration_action(action);
            } else if let Some(action) = self.members.next_action(now) {
                self.handle_member_action(now, action);
            } else if now < self.plan_at || !self.plan_move(now) {
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
                // Without a key nobody would accept it.
                if let Some(key) = self.keys.first() {
                    let datagram = messages::encode(key, &message);
                    self.actions.push_back(Action::Send { address, datagram });
                }
            }
            MemberAction::StateChanged { governor, state } => {
                self.plan_by(now);
                self.report(MembershipEvent::MemberStateChanged { governor, state });
            }
            MemberAction::Stalled { late } => self.report(MembershipEvent::Stalled { late }),
        }
    }

    fn report(&mut self, event: MembershipEvent) {
        self.actions.push_back(Action::Event(event));
    }

    /// When [`Membership::next_action`] has to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        let migrations = self.migrations.next_deadline().unwrap_or(Duration::MAX);
        self.members.next_deadline().min(self.plan_at).min(migrations)
    }

    // ---- state, for operators

    /// The members of the fleet as this governor knows them.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether this governor hands its proxies over.
    pub fn is_draining(&self) -> bool {
        self.mode == ServiceMode::Draining
    }

    /// How many proxies this governor may have at present.
    pub fn max_proxies(&self) -> usize {
        let others = capacities(&self.candidates, &self.members, &self.migrations);
        let elsewhere: usize = others.iter().map(|other| other.connected_proxies).sum();
        assignment::max_proxies_per_governor(self.connected.len() + elsewhere, others.len() + 1)
    }

    /// Counts for status pages and metrics.
    pub fn statistics(&self) -> MembershipStatistics {
        MembershipStatistics {
            proxies_moved: self.proxies_moved,
            proxies_received: self.proxies_received,
            datagrams_rejected: self.datagrams_rejected,
            proxies_migrating: self.migrations.outgoing_count(),
        }
    }
}

/// The candidates as destinations: the proxies that they report, and those on their way there from here.
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
