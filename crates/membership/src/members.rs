//! Failure detection between governors with the SWIM protocol (Das, Gupta and Motivala, 2002). In each interval a
//! governor probes one other governor, in shuffled round-robin order. If it does not answer, it is probed indirectly
//! through others. If it still does not answer it is suspected; it may refute the suspicion with a higher incarnation,
//! and is declared dead after the suspicion timeout. Updates are piggybacked on these messages, each often enough to
//! reach all governors.
//!
//! Additions to the published protocol: an update that says its receiver is not alive is always sent to that receiver,
//! so that it can refute it at once; dead members are probed occasionally, so that a partition heals without
//! intervention; and a governor that detects that it stalled does not suspect others because of it.

mod gossip;
mod probing;

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::messages::{GovernorLoad, MemberState, MemberUpdate, Message, MessageBody};
use crate::{Peer, ServiceMode};
use probing::{Probe, RelayedProbe};

/// Settings of probes and gossip.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeSettings {
    /// Interval between probes; each interval probes one other governor.
    pub probe_interval: Duration,
    /// How long to wait for the answer to a probe before indirect probes are sent.
    pub ack_timeout: Duration,
    /// Number of governors that are asked to probe the target indirectly.
    pub indirect_probes: usize,
    /// Suspicion timeout in probe intervals, as a multiple of the binary logarithm of the number of governors.
    pub suspicion_multiplier: f64,
    /// How often each update is sent, as a multiple of the binary logarithm of the number of governors.
    pub transmission_multiplier: f64,
    /// Maximum size of the updates in one message, in bytes.
    pub max_update_bytes: usize,
}

impl Default for ProbeSettings {
    /// Detects a dead governor within one or two seconds, and tolerates a few lost datagrams.
    fn default() -> Self {
        ProbeSettings {
            probe_interval: Duration::from_millis(400),
            ack_timeout: Duration::from_millis(120),
            indirect_probes: 2,
            suspicion_multiplier: 3.0,
            transmission_multiplier: 3.0,
            max_update_bytes: 500,
        }
    }
}

/// Maximum number of known members, so that a holder of the key can't exhaust memory with invented members.
const MAX_MEMBERS: usize = 1000;
/// How long a dead member that is not in the settings is kept.
const DEAD_MEMBER_TTL: Duration = Duration::from_secs(600);

/// The state of another governor, as seen by this one.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The latest update about it.
    pub update: MemberUpdate,
    /// When its state last changed at this governor.
    pub state_since: Duration,
    /// When the last message was received directly from it.
    pub last_heard: Option<Duration>,
    /// Whether it is listed in the settings. Its address is then taken from the settings, and it is never removed.
    configured: bool,
}

impl Member {
    /// Whether proxies can be moved to it.
    pub fn accepts_proxies(&self) -> bool {
        self.is_live() && !self.update.load.draining
    }

    /// Whether it is alive or suspected, but not dead or left.
    pub fn is_live(&self) -> bool {
        self.update.state <= MemberState::Suspect
    }
}

/// What the owner of [`Members`] has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send {
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Handle the changed state of a governor.
    StateChanged {
        /// The governor's name.
        governor: String,
        /// Its new state.
        state: MemberState,
    },
    /// Log that this governor was not running for a while. Missing answers during that time raise no suspicion.
    Stalled {
        /// Delay of its timer.
        late: Duration,
    },
}

/// The governors of the fleet, as seen by one governor.
#[derive(Debug)]
pub struct Members {
    local: MemberUpdate,
    others: BTreeMap<String, Member>,
    settings: ProbeSettings,
    /// The probe that is waiting for an answer.
    probe: Option<Probe>,
    /// When the next probe is sent.
    next_probe: Duration,
    /// Members still to be probed in this round; the last is probed first.
    probe_order: Vec<String>,
    /// How often the latest update about each member was sent, by name.
    transmissions: BTreeMap<String, u32>,
    /// Probes on behalf of other governors, by the sequence number that this governor sent.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    last_sequence: u64,
    /// Number of probe intervals since the start.
    intervals: u64,
    /// Seed of this governor's pseudo-random choices.
    seed: u64,
    actions: VecDeque<MemberAction>,
}

impl Members {
    /// Starts membership of the governor `local`, and pings all `peers` at once. `incarnation` has to be higher than in
    /// any earlier run; an update that shows a later one makes this governor raise it further.
    pub fn new(
        local: Peer,
        incarnation: u64,
        peers: &[Peer],
        settings: ProbeSettings,
        now: Duration,
    ) -> Self {
        let configured = peers.iter().filter(|peer| peer.name != local.name).take(MAX_MEMBERS);
        let others = configured.map(|peer| (peer.name.clone(), configured_member(peer, now))).collect();
        let mut hasher = DefaultHasher::new();
        local.name.hash(&mut hasher);
        let mut members = Members {
            local: initial_update(&local, incarnation, MemberState::Alive),
            others,
            settings,
            probe: None,
            next_probe: now + settings.probe_interval,
            probe_order: Vec::new(),
            transmissions: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            last_sequence: 0,
            intervals: 0,
            seed: hasher.finish(),
            actions: VecDeque::new(),
        };
        let names: Vec<String> = members.others.keys().cloned().collect();
        for name in names {
            members.ping(&name);
        }
        members
    }

    /// Returns the update about this governor.
    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// Returns all other governors, in the order of their names.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// Returns another governor by its name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.others.get(name)
    }

    /// Returns the number of live governors, including this one.
    pub fn live_governors(&self) -> usize {
        1 + self.live().count()
    }

    fn live(&self) -> impl Iterator<Item = &Member> {
        self.others.values().filter(|member| member.is_live())
    }

    // ---- inputs

    /// Sets the load that this governor reports to others.
    pub fn set_load(&mut self, connected_proxies: usize, mode: ServiceMode) {
        let load = GovernorLoad {
            version: self.local.load.version,
            connected_proxies: u32::try_from(connected_proxies).unwrap_or(u32::MAX),
            draining: mode == ServiceMode::Draining,
        };
        if load != self.local.load {
            self.local.load = GovernorLoad { version: load.version + 1, ..load };
        }
    }

    /// Handles a message. Returns `false` if it was ignored because it is addressed to another governor, or because
    /// this governor sent it.
    pub fn handle_message(&mut self, now: Duration, message: &Message) -> bool {
        let from = &message.from.name;
        if message.to != self.local.name || *from == self.local.name {
            return false;
        }
        self.apply_update(now, &message.from);
        for update in &message.updates {
            self.apply_update(now, update);
        }
        if let Some(member) = self.others.get_mut(from) {
            member.last_heard = Some(now);
        }
        match &message.body {
            MessageBody::Ping { sequence } => {
                let governor = self.local.name.clone();
                self.send(from, MessageBody::Ack { sequence: *sequence, governor });
            }
            MessageBody::PingRequest { sequence, target } => {
                self.relay_probe(now, from, *sequence, target);
            }
            MessageBody::Ack { sequence, governor } => self.handle_ack(from, *sequence, governor),
            MessageBody::Offer(_) | MessageBody::Accept { .. } | MessageBody::Decline { .. } => {}
        }
        true
    }

    /// Announces to all live members, once, that this governor stops.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Left;
        let live: Vec<String> = self.live().map(|member| member.update.name.clone()).collect();
        for name in live {
            self.ping(&name);
        }
    }

    /// Sends a message to another governor, with as many updates as fit. Messages to unknown governors are dropped.
    pub fn send(&mut self, to: &str, body: MessageBody) {
        let Some(address) = self.others.get(to).map(|member| member.update.address) else { return };
        let update_bytes = match &body {
            MessageBody::Offer(_) => 0,
            _ => self.settings.max_update_bytes,
        };
        let updates = self.updates_for(to, update_bytes);
        let message = Message { from: self.local.clone(), to: to.to_string(), body, updates };
        self.actions.push_back(MemberAction::Send { address, message: Box::new(message) });
    }

    // ---- actions

    /// Returns the next action, or `None` if there is nothing to do now.
    pub fn next_action(&mut self, now: Duration) -> Option<MemberAction> {
        self.advance(now);
        self.actions.pop_front()
    }

    /// Returns the time at which [`Members::next_action`] has to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        let direct_probe = self.probe.as_ref().filter(|probe| !probe.indirect);
        let ack_deadline = direct_probe.map(|probe| probe.sent_at + self.settings.ack_timeout);
        let suspects = self.others.values().filter(|member| member.update.state == MemberState::Suspect);
        let deaths = suspects.map(|member| member.state_since + self.suspicion_timeout());
        deaths.chain(ack_deadline).fold(self.next_probe, Duration::min)
    }

    /// Returns how long a suspected governor has to refute the suspicion.
    pub fn suspicion_timeout(&self) -> Duration {
        let intervals = self.settings.suspicion_multiplier * self.log_of_members();
        self.settings.probe_interval.mul_f64(intervals)
    }

    fn log_of_members(&self) -> f64 {
        ((self.others.len() + 1) as f64).log2().max(1.0)
    }
}

fn initial_update(governor: &Peer, incarnation: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: governor.name.clone(),
        address: governor.address,
        incarnation,
        state,
        load: GovernorLoad::default(),
    }
}

/// The initial state of a configured peer. Any update takes precedence over it.
fn configured_member(peer: &Peer, now: Duration) -> Member {
    Member {
        update: initial_update(peer, 0, MemberState::Dead),
        state_since: now,
        last_heard: None,
        configured: true,
    }
}
