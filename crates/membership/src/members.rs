//! Which governors are live: SWIM, as published (Das, Gupta and Motivala, 2002). Each governor probes one other in each
//! interval, in a shuffled round; one that does not answer is probed indirectly through others; one that still does not
//! answer is suspected, may refute that with a higher incarnation, and is declared dead after the suspicion timeout.
//! Updates are piggybacked on these messages, each as often as it takes to reach all.
//!
//! Added to the published protocol: an update that says its receiver is not alive is always sent to it, so that it can
//! refute it at once; dead members are probed now and then, so that a partition heals by itself; and a governor that
//! finds that it stalled suspects nobody for it.

mod gossip;
mod probing;

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::messages::{GovernorLoad, MemberState, MemberUpdate, Message, MessageBody};
use crate::{Peer, ServiceMode};
use probing::{Probe, RelayedProbe};

/// Timing and extent of probes and gossip.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeSettings {
    /// One other governor is probed in each interval.
    pub probe_interval: Duration,
    /// How long a probe waits for its answer before indirect probes are sent.
    pub ack_timeout: Duration,
    /// Number of governors that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The suspicion timeout in intervals, as a multiple of the logarithm of the number of governors.
    pub suspicion_multiplier: f64,
    /// How often an update is sent, as a multiple of the logarithm of the number of governors.
    pub transmission_multiplier: f64,
    /// Size limit of the updates in one message, in bytes.
    pub max_update_bytes: usize,
}

impl Default for ProbeSettings {
    /// A dead governor is found within a second or two, and a few lost datagrams do no harm.
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

/// Limit of the members known at once: made-up ones (by a holder of the key) must not fill the memory.
const MAX_MEMBERS: usize = 1000;
/// How long a dead member that is not configured is remembered.
const DEAD_MEMBER_TTL: Duration = Duration::from_secs(600);

/// What is known of another governor.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The newest update about it.
    pub update: MemberUpdate,
    /// When its state changed last, as seen here.
    pub state_since: Duration,
    /// When a message came from it directly.
    pub last_heard: Option<Duration>,
    /// The settings name it: its address is theirs to say, and it is never forgotten.
    configured: bool,
}

impl Member {
    /// Whether proxies can be moved to it.
    pub fn accepts_proxies(&self) -> bool {
        self.is_live() && !self.update.load.draining
    }

    /// Whether it is alive or only suspected.
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
    /// Take note that a governor's state changed.
    StateChanged {
        /// The governor's name.
        governor: String,
        /// Its new state.
        state: MemberState,
    },
    /// Log that this governor did nothing for a while; nobody is suspected for silence meanwhile.
    Stalled {
        /// How late its timer was.
        late: Duration,
    },
}

/// The members of the fleet as one governor knows them.
#[derive(Debug)]
pub struct Members {
    local: MemberUpdate,
    others: BTreeMap<String, Member>,
    settings: ProbeSettings,
    /// The open probe.
    probe: Option<Probe>,
    /// When the next probe is sent.
    next_probe: Duration,
    /// Who is still to be probed in this round; the last comes first.
    probe_order: Vec<String>,
    /// By name: how often the update about it was sent since it changed.
    transmissions: BTreeMap<String, u32>,
    /// Probes on behalf of others, by their sequence number here.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    last_sequence: u64,
    /// Intervals since the start.
    intervals: u64,
    /// Seeds the choices of this governor.
    seed: u64,
    actions: VecDeque<MemberAction>,
}

impl Members {
    /// Starts as `local`, and probes all `peers` at once. `incarnation`: one that is higher than in any earlier run, as
    /// far as is known.
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
            local: first_update(&local, incarnation, MemberState::Alive),
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

    /// This governor's own update.
    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// All other governors, by name.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// Another governor by its name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.others.get(name)
    }

    /// Number of live governors, this one included.
    pub fn live_governors(&self) -> usize {
        1 + self.live().count()
    }

    fn live(&self) -> impl Iterator<Item = &Member> {
        self.others.values().filter(|member| member.is_live())
    }

    // ---- inputs

    /// Sets the load that this governor reports.
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

    /// Handles a message. False if it is not meant for this governor, or from itself, and was ignored.
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

    /// This governor stops: all live members are told, once.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Left;
        let live: Vec<String> = self.live().map(|member| member.update.name.clone()).collect();
        for name in live {
            self.ping(&name);
        }
    }

    /// Sends a message to another governor, with as many updates as fit. One to an unknown governor is dropped.
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

    /// The next action, until there is none.
    pub fn next_action(&mut self, now: Duration) -> Option<MemberAction> {
        self.advance(now);
        self.actions.pop_front()
    }

    /// When [`Members::next_action`] has to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        let direct_probe = self.probe.as_ref().filter(|probe| !probe.indirect);
        let ack_deadline = direct_probe.map(|probe| probe.sent_at + self.settings.ack_timeout);
        let suspects = self.others.values().filter(|member| member.update.state == MemberState::Suspect);
        let deaths = suspects.map(|member| member.state_since + self.suspicion_timeout());
        deaths.chain(ack_deadline).fold(self.next_probe, Duration::min)
    }

    /// How long a suspect has to refute.
    pub fn suspicion_timeout(&self) -> Duration {
        let intervals = self.settings.suspicion_multiplier * self.log_of_members();
        self.settings.probe_interval.mul_f64(intervals)
    }

    fn log_of_members(&self) -> f64 {
        ((self.others.len() + 1) as f64).log2().max(1.0)
    }
}

fn first_update(governor: &Peer, incarnation: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: governor.name.clone(),
        address: governor.address,
        incarnation,
        state,
        load: GovernorLoad::default(),
    }
}

/// A peer of which nothing is known yet: the first update that comes takes precedence.
fn configured_member(peer: &Peer, now: Duration) -> Member {
    Member {
        update: first_update(peer, 0, MemberState::Dead),
        state_since: now,
        last_heard: None,
        configured: true,
    }
}
