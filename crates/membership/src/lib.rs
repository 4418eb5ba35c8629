//! Governors among themselves: who is there, who has which proxy, and how one changes hands. No I/O, no
//! clock.
//!
//! [`Membership`] is one governor's part. A host tells it of each datagram, and of each proxy that comes or goes;
//! it pulls [`Membership::next_action`] until `None`, carries out each step, and comes back at [`Membership::next_deadline`] at the
//! latest.
//!
//! Nothing here decides a table, and nothing is agreed on between governors: see `docs/design/takeover.md`
//! for which of what they do could conflict, and why that does no harm.
//!
//! ```
//! use std::time::Duration;
//! use wrenthread_core::ownership::SigningKey;
//! use wrenthread_membership::{Action, Membership, MembershipSettings};
//!
//! let key = SigningKey::new("k", &[7; 32]).unwrap();
//! let at = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
//! let terms = |name: &str, address, peers: &[(String, std::net::SocketAddr)]| MembershipSettings {
//!     name: name.into(), address, peers: peers.to_vec(), keys: vec![key.clone()], moves_per_second: 10.0,
//! };
//! let now = Duration::from_secs(100);
//! let mut one = Membership::new(terms("g0", at(1), &[("g1".into(), at(2))]), 1, now);
//! let mut other = Membership::new(terms("g1", at(2), &[("g0".into(), at(1))]), 1, now);
//! while let Some(Action::Send(_, datagram)) = one.next_action(now) {
//!     other.handle_datagram(now, &datagram).unwrap();
//! }
//! assert!(other.members().get("g0").unwrap().is_live());
//! ```

pub mod assignment;
pub mod members;
pub mod messages;
pub mod migration;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wrenthread_core::ownership::{SigningKey, ranking};

use assignment::{GovernorCapacity, LocalProxy, MIN_RESIDENCE};
use members::{MemberAction, Members, ProbeSettings};
use messages::{DatagramError, MemberState, MessageBody};
use migration::{MigrationAction, Migrations, TransferredState};

/// Who a governor is, and whom it talks to.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    pub name: String,
    /// Where it is heard.
    pub address: SocketAddr,
    /// Where others are, by their names. Those behind them it hears of.
    pub peers: Vec<(String, SocketAddr)>,
    /// The first seals; all are believed. Without any, nothing is said.
    pub keys: Vec<SigningKey>,
    /// Proxies that are moved a second, at most.
    pub moves_per_second: f64,
}

/// One thing for the host to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Send(SocketAddr, Vec<u8>),
    /// Say what is known of the proxy, by [`Membership::offer`].
    CollectState {
        proxy: Arc<str>,
        to: String,
    },
    /// End the proxy's stream and send it there; or, where this governor drains and talks to nobody, away.
    MoveProxy {
        proxy: Arc<str>,
        to: Option<String>,
    },
    Event(MembershipEvent),
}

/// One line for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    MemberStateChanged(String, MemberState),
    Stalled(Duration),
    OfferUnanswered {
        proxy: String,
        to: String,
    },
    /// All proxies are handed over.
    Drained,
}

#[derive(Debug)]
struct Proxy {
    connected_at: Duration,
    /// By place in `open`, this governor last.
    ranking: Vec<usize>,
}

#[derive(Debug)]
pub struct Membership {
    members: Members,
    migrations: Migrations,
    keys: Vec<SigningKey>,
    connected: BTreeMap<Arc<str>, Proxy>,
    /// The others that proxies can be handed to, as the rankings have them.
    candidates: Vec<String>,
    draining: bool,
    drained: bool,
    /// Between two moves.
    move_interval: Duration,
    next_move: Duration,
    /// Who is where has changed since it was judged last, or may be by this time.
    plan_at: Duration,
    proxies_moved: u64,
    proxies_received: u64,
    datagrams_rejected: u64,
    actions: VecDeque<Action>,
}

impl Membership {
    /// `epoch`: this governor's life, higher than any earlier one's.
    pub fn new(terms: MembershipSettings, epoch: u64, now: Duration) -> Self {
        let MembershipSettings { name, address: at, peers, keys, moves_per_second: moves_per_s } = terms;
        Membership {
            members: Members::new(&name, at, epoch, &peers, ProbeSettings::default(), now),
            migrations: Migrations::new(epoch),
            keys,
            connected: BTreeMap::new(),
            candidates: Vec::new(),
            draining: false,
            drained: false,
            move_interval: Duration::from_secs_f64(1.0 / moves_per_s.clamp(0.01, 10_000.0)),
            next_move: now,
            plan_at: now,
            proxies_moved: 0,
            proxies_received: 0,
            datagrams_rejected: 0,
            actions: VecDeque::new(),
        }
    }

    // ---- inputs

    /// A datagram came.
    ///
    /// Errors: it tells nothing, and why; they are counted.
    pub fn handle_datagram(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DatagramError> {
        let message = messages::read(&self.keys, datagram).inspect_err(|_| self.datagrams_rejected += 1)?;
        if !self.members.handle_message(now, &message) {
            return Ok(());
        }
        let from = message.from.name.as_str();
        match &message.body {
            MessageBody::Offer { number, proxy, part, parts, bytes } => {
                let rooms = rooms(&self.candidates, &self.members, &self.migrations);
                let (joined, draining) = (self.connected.len(), self.draining);
                let giver_drains = message.from.load.draining;
                let admits =
                    |expected: usize| assignment::admits(joined + expected, &rooms, draining, giver_drains);
                self.migrations.handle_offer(now, from, *number, proxy, *part, *parts, bytes, admits);
            }
            MessageBody::Accept { number, proxy } => {
                self.migrations.handle_answer(now, from, *number, proxy, true)
            }
            MessageBody::Decline { number, proxy } => {
                self.migrations.handle_answer(now, from, *number, proxy, false)
            }
            _ => {}
        }
        self.plan_at = self.plan_at.min(now);
        Ok(())
    }

    /// A proxy's stream is up here. What was sent ahead of it, if anything was.
    pub fn proxy_connected(&mut self, now: Duration, proxy: &Arc<str>) -> Option<TransferredState> {
        let ranked = self.rank_governors(proxy);
        self.migrations.proxy_disconnected(proxy);
        self.connected.insert(proxy.clone(), Proxy { connected_at: now, ranking: ranked });
        self.plan_at = self.plan_at.min(now + MIN_RESIDENCE);
        self.publish_load();
        let ahead = self.migrations.proxy_connected(now, proxy);
        self.proxies_received += u64::from(ahead.is_some());
        ahead
    }

    /// A proxy's stream is over.
    pub fn proxy_disconnected(&mut self, now: Duration, proxy: &str) {
        self.connected.remove(proxy);
        self.migrations.proxy_disconnected(proxy);
        self.plan_at = self.plan_at.min(now);
        self.publish_load();
    }

    /// From now on all proxies are handed over and none is taken; or no longer so.
    pub fn drain(&mut self, now: Duration, draining: bool) {
        (self.draining, self.drained) = (draining, false);
        self.plan_at = self.plan_at.min(now);
        self.publish_load();
    }

    /// What is known of a proxy, as [`Action::Gather`] asked.
    pub fn offer_proxy(&mut self, now: Duration, proxy: &str, to: &str, known: Vec<u8>) {
        if self.connected.contains_key(proxy) {
            self.migrations.offer(now, proxy, to, known);
        }
    }

    /// This governor stops; the steps that are left tell the others.
    pub fn leave(&mut self) {
        self.members.leave();
    }

    fn publish_load(&mut self) {
        self.members.set_load(self.connected.len(), self.draining);
    }

    fn rank_governors(&self, proxy: &str) -> Vec<usize> {
        let names: Vec<&str> =
            self.candidates.iter().map(String::as_str).chain([self.members.local().name.as_str()]).collect();
        ranking(proxy, &names)
    }

    // ---- steps

    /// The next thing to do, until there is none.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        loop {
            if let Some(step) = self.actions.pop_front() {
                return Some(step);
            }
            if let Some(out) = self.migrations.next_action(now) {
                match out {
                    MigrationAction::Send(to, body) => self.members.send(&to, body),
                    MigrationAction::MoveProxy { proxy, to } => {
                        self.proxies_moved += 1;
                        self.actions.push_back(Action::MoveProxy { proxy: proxy.into(), to: Some(to) });
                    }
                    MigrationAction::OfferUnanswered { proxy, to } => {
                        self.actions.push_back(Action::Event(MembershipEvent::OfferUnanswered { proxy, to }));
                    }
                }
                continue;
            }
            if let Some(out) = self.members.next_action(now) {
                let step = match out {
                    // Without a key nobody would believe it.
                    MemberAction::Send(at, message) => {
                        self.keys.first().map(|key| Action::Send(at, messages::write(key, &message)))
                    }
                    MemberAction::StateChanged(name, standing) => {
                        self.plan_at = self.plan_at.min(now);
                        Some(Action::Event(MembershipEvent::MemberStateChanged(name, standing)))
                    }
                    MemberAction::Stalled(late) => Some(Action::Event(MembershipEvent::Stalled(late))),
                };
                self.actions.extend(step);
                continue;
            }
            if now < self.plan_at || !self.plan_move(now) {
                return None;
            }
        }
    }

    pub fn next_deadline(&self) -> Duration {
        let handover = self.migrations.next_deadline().unwrap_or(Duration::MAX);
        self.members.next_deadline().min(self.plan_at).min(handover)
    }

    /// Looks for a proxy that should be elsewhere. True if there is something to do about it.
    fn plan_move(&mut self, now: Duration) -> bool {
        self.plan_at = Duration::MAX;
        self.refresh_rankings();
        if self.draining && self.connected.is_empty() && !self.drained {
            self.drained = true;
            self.actions.push_back(Action::Event(MembershipEvent::Drained));
            return true;
        }
        if now < self.next_move {
            self.plan_at = self.next_move;
            return false;
        }
        if !self.migrations.can_offer() {
            self.plan_at = self.migrations.next_deadline().filter(|at| *at > now).unwrap_or(Duration::MAX);
            return false;
        }
        // Who can't be moved yet can once it has settled, or once its last offer is a while ago. Where nobody
        // else says anything any more, nothing but this has it looked at again.
        let settled =
            self.connected.values().map(|one| one.connected_at + MIN_RESIDENCE).filter(|at| *at > now);
        let rested = self.migrations.next_deadline().filter(|at| *at > now);
        self.plan_at = settled.chain(rested).min().unwrap_or(Duration::MAX);
        let alone = self.draining && self.candidates.is_empty();
        let movable = |proxy: &str, one: &Proxy| {
            now >= one.connected_at + MIN_RESIDENCE && !self.migrations.is_unavailable(now, proxy)
        };
        if alone {
            // Nobody to hand them to is known of: proxies go to whom they find, one after the other.
            let next = self.connected.iter().find(|(proxy, one)| movable(proxy, one));
            let Some(proxy) = next.map(|(proxy, _)| proxy.clone()) else { return false };
            self.actions.push_back(Action::MoveProxy { proxy, to: None });
            self.proxies_moved += 1;
            return self.move_started(now);
        }
        let staying = self.connected.iter().filter(|(proxy, _)| !self.migrations.is_offered(proxy));
        let here = staying.map(|(proxy, one)| LocalProxy {
            name: proxy,
            ranking: &one.ranking,
            movable: movable(proxy, one),
        });
        let rooms = rooms(&self.candidates, &self.members, &self.migrations);
        let joined = self.connected.len().saturating_sub(self.migrations.outgoing_count())
            + self.migrations.expected_proxies();
        let Some((proxy, to)) = assignment::next_move(&rooms, joined, self.draining, here) else {
            return false;
        };
        let step = Action::CollectState { proxy: proxy.into(), to: to.to_string() };
        self.actions.push_back(step);
        self.move_started(now)
    }

    fn move_started(&mut self, now: Duration) -> bool {
        self.next_move = self.next_move.max(now.saturating_sub(self.move_interval)) + self.move_interval;
        self.plan_at = self.plan_at.min(self.next_move);
        true
    }

    /// Brings the rankings up to date with who is there.
    fn refresh_rankings(&mut self) {
        let open: Vec<String> = self
            .members
            .others()
            .filter(|one| one.accepts_proxies())
            .map(|one| one.update.name.clone())
            .collect();
        if open == self.candidates {
            return;
        }
        self.candidates = open;
        let ranked: Vec<(Arc<str>, Vec<usize>)> =
            self.connected.keys().map(|proxy| (proxy.clone(), self.rank_governors(proxy))).collect();
        for (proxy, ranked) in ranked {
            if let Some(one) = self.connected.get_mut(&proxy) {
                one.ranking = ranked;
            }
        }
    }

    // ---- what operators read

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// How many proxies this governor takes of all, as things stand.
    pub fn max_proxies(&self) -> usize {
        let rooms = rooms(&self.candidates, &self.members, &self.migrations);
        assignment::bound(
            self.connected.len() + rooms.iter().map(|room| room.connected_proxies).sum::<usize>(),
            rooms.len() + 1,
        )
    }

    pub fn statistics(&self) -> MembershipStatistics {
        let Membership { proxies_moved: moved, proxies_received: came, datagrams_rejected: unheard, .. } =
            self;
        MembershipStatistics {
            proxies_moved: *moved,
            proxies_received: *came,
            datagrams_rejected: *unheard,
            proxies_migrating: self.migrations.outgoing_count(),
        }
    }
}

/// The others as places for proxies: those there, by their own word, and those on their way from here.
fn rooms<'a>(open: &'a [String], members: &Members, handover: &Migrations) -> Vec<GovernorCapacity<'a>> {
    let joined = |name: &str| members.get(name).map_or(0, |one| one.update.load.connected_proxies as usize);
    let room = |name: &'a String| GovernorCapacity {
        name,
        connected_proxies: joined(name) + handover.outgoing_to(name),
    };
    open.iter().map(room).collect()
}

/// Counts for status pages and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipStatistics {
    /// Proxies that were sent elsewhere.
    pub proxies_moved: u64,
    /// Proxies that came with what another governor knew of them.
    pub proxies_received: u64,
    /// Datagrams that told nothing.
    pub datagrams_rejected: u64,
    pub proxies_migrating: usize,
}
