//! Which governors are there: SWIM, as published (Das, Gupta and Motivala, 2002). Each asks one other a
//! period, in a shuffled round; who doesn't answer is asked through some others; who still doesn't is
//! suspect, says so itself with a higher incarnation if it hears of it, and is dead otherwise after a while.
//! Words travel on these messages, each so many times as it takes to reach all.
//!
//! Added to what was published, each against something met: a word about the receiver always travels to it if
//! it is not well spoken of, so that it can say otherwise at once; the dead are asked again now and then, as
//! a split heals without a word; and who finds that it stalled itself blames nobody for it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::messages::{GovernorLoad, MemberState, MemberUpdate, Message, MessageBody, length};

/// How membership is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeSettings {
    /// One other is asked so often.
    pub probe_interval: Duration,
    /// An answer is due within it; then others are asked to ask.
    pub ack_timeout: Duration,
    /// How many.
    pub indirect_probes: usize,
    /// A suspect has so many periods, times the logarithm of the number of governors, to say otherwise.
    pub suspicion_multiplier: f64,
    /// A word is sent so many times the logarithm of their number.
    pub transmission_multiplier: f64,
    /// Bytes of words about others on one message.
    pub max_update_bytes: usize,
}

impl Default for ProbeSettings {
    /// A dead governor is found within a second or two, and a lost datagram or two does no harm.
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

/// Governors known at once: made-up ones (by somebody with the key) must not fill the memory.
const MAX_MEMBERS: usize = 1000;
/// One of the dead is asked in each so many periods.
const PERIODS_PER_DEAD_PROBE: u64 = 4;
/// The dead that nobody stated are forgotten after it.
const DEAD_MEMBER_TTL: Duration = Duration::from_secs(600);
/// Pings for others that may be open.
const MAX_RELAYED_PROBES: usize = 64;

/// What is known of another governor.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    pub update: MemberUpdate,
    /// When its standing changed last, as seen here.
    pub state_since: Duration,
    /// When something came from it directly.
    pub last_heard: Option<Duration>,
    /// The settings name it: its address is theirs to say, and it is never forgotten.
    configured: bool,
}

impl Member {
    /// Whether proxies can be handed to it.
    pub fn accepts_proxies(&self) -> bool {
        self.update.state <= MemberState::Suspect && !self.update.load.draining
    }

    pub fn is_live(&self) -> bool {
        self.update.state <= MemberState::Suspect
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Probe {
    target: String,
    sequence: u64,
    indirect: bool,
    sent_at: Duration,
}

/// What membership comes to.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberAction {
    Send(SocketAddr, Box<Message>),
    /// A governor's standing changed.
    StateChanged(String, MemberState),
    /// This governor did nothing for so long: nobody is blamed for what was not heard meanwhile.
    Stalled(Duration),
}

#[derive(Debug)]
pub struct Members {
    local: MemberUpdate,
    others: BTreeMap<String, Member>,
    settings: ProbeSettings,
    probe: Option<Probe>,
    /// When the next is asked.
    next_probe: Duration,
    probe_order: Vec<String>,
    /// By name: how often the word about it was sent since it changed.
    transmissions: BTreeMap<String, u32>,
    /// Pings for others: under my number, who asked under which, and until when it matters.
    relayed_probes: BTreeMap<u64, (String, u64, Duration)>,
    last_sequence: u64,
    periods: u64,
    seed: u64,
    actions: std::collections::VecDeque<MemberAction>,
}

impl Members {
    /// `incarnation`: one that is higher than in any earlier life, as far as is known. `peers` are asked at
    /// once.
    pub fn new(
        name: &str,
        at: SocketAddr,
        incarnation: u64,
        peers: &[(String, SocketAddr)],
        pace: ProbeSettings,
        now: Duration,
    ) -> Self {
        let word = |name: &str, at, incarnation, standing| MemberUpdate {
            name: name.to_string(),
            address: at,
            incarnation,
            state: standing,
            load: GovernorLoad::default(),
        };
        let stated = peers.iter().filter(|(peer, _)| peer != name).take(MAX_MEMBERS).map(|(peer, at)| {
            // Nobody knows of it yet: the first word that comes holds.
            let word = word(peer, *at, 0, MemberState::Dead);
            (peer.clone(), Member { update: word, state_since: now, last_heard: None, configured: true })
        });
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let mut members = Members {
            local: word(name, at, incarnation, MemberState::Alive),
            others: stated.collect(),
            settings: pace,
            probe: None,
            next_probe: now + pace.probe_interval,
            probe_order: Vec::new(),
            transmissions: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            last_sequence: 0,
            periods: 0,
            seed: hasher.finish(),
            actions: std::collections::VecDeque::new(),
        };
        let names: Vec<String> = members.others.keys().cloned().collect();
        for name in names {
            members.last_sequence += 1;
            members.send(&name, MessageBody::Ping { number: members.last_sequence });
        }
        members
    }

    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.others.get(name)
    }

    /// Governors that are there, this one included.
    pub fn live_governors(&self) -> usize {
        1 + self.others.values().filter(|member| member.is_live()).count()
    }

    // ---- inputs

    /// What this governor says of itself.
    pub fn set_load(&mut self, joined: usize, draining: bool) {
        let joined = u32::try_from(joined).unwrap_or(u32::MAX);
        if (self.local.load.connected_proxies, self.local.load.draining) == (joined, draining) {
            return;
        }
        let turn = self.local.load.version + 1;
        self.local.load = GovernorLoad { version: turn, connected_proxies: joined, draining };
    }

    /// Takes a message in. False: it is not for this governor, or from itself, and tells nothing.
    pub fn handle_message(&mut self, now: Duration, message: &Message) -> bool {
        if message.to != self.local.name || message.from.name == self.local.name {
            return false;
        }
        let from = message.from.name.clone();
        self.apply_update(now, &message.from);
        for word in &message.updates {
            self.apply_update(now, word);
        }
        if let Some(member) = self.others.get_mut(&from) {
            member.last_heard = Some(now);
        }
        match &message.body {
            MessageBody::Ping { number } => {
                let of = self.local.name.clone();
                self.send(&from, MessageBody::Ack { number: *number, of });
            }
            MessageBody::PingRequest { number, target } if self.others.contains_key(target) => {
                self.last_sequence += 1;
                self.relayed_probes.retain(|_, (_, _, until)| *until > now);
                if self.relayed_probes.len() < MAX_RELAYED_PROBES {
                    let until = now + self.settings.probe_interval * 2;
                    self.relayed_probes.insert(self.last_sequence, (from, *number, until));
                    self.send(target, MessageBody::Ping { number: self.last_sequence });
                }
            }
            MessageBody::Ack { number, of } => {
                let answers = |asking: &Probe| asking.sequence == *number && asking.target == *of;
                if self.probe.as_ref().is_some_and(answers) {
                    self.probe = None;
                }
                if *of == from
                    && let Some((asker, asked, _)) = self.relayed_probes.remove(number)
                {
                    self.send(&asker, MessageBody::Ack { number: asked, of: from });
                }
            }
            _ => {}
        }
        true
    }

    /// This governor stops: all that are there are told, once.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Left;
        let there: Vec<String> =
            self.others.values().filter(|one| one.is_live()).map(|one| one.update.name.clone()).collect();
        for name in there {
            self.last_sequence += 1;
            self.send(&name, MessageBody::Ping { number: self.last_sequence });
        }
    }

    /// A message to another governor, with as many words as fit behind it. One that nobody knows gets none.
    pub fn send(&mut self, to: &str, body: MessageBody) {
        let Some(at) = self.others.get(to).map(|member| member.update.address) else { return };
        let room = match &body {
            MessageBody::Offer { .. } => 0,
            _ => self.settings.max_update_bytes,
        };
        let words = self.updates_for(to, room);
        let message = Message { from: self.local.clone(), to: to.to_string(), body, updates: words };
        self.actions.push_back(MemberAction::Send(at, Box::new(message)));
    }

    // ---- steps

    /// The next thing to do, until there is none.
    pub fn next_action(&mut self, now: Duration) -> Option<MemberAction> {
        self.advance(now);
        self.actions.pop_front()
    }

    pub fn next_deadline(&self) -> Duration {
        let asking = self.probe.as_ref().filter(|asking| !asking.indirect);
        let help = asking.map_or(self.next_probe, |asking| asking.sent_at + self.settings.ack_timeout);
        let suspects = self.others.values().filter(|one| one.update.state == MemberState::Suspect);
        let deaths = suspects.map(|one| one.state_since + self.suspicion_timeout());
        deaths.chain([help, self.next_probe]).fold(self.next_probe, Duration::min)
    }

    /// How long a suspect has.
    pub fn suspicion_timeout(&self) -> Duration {
        self.settings.probe_interval.mul_f64(self.settings.suspicion_multiplier * self.log_of_members())
    }

    fn log_of_members(&self) -> f64 {
        ((self.others.len() + 1) as f64).log2().max(1.0)
    }

    fn advance(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next_probe);
        if late > self.settings.probe_interval {
            // What was not heard while nothing was done here is nobody's fault: all get their time anew.
            // Harm: a governor that is always late finds no dead one.
            self.probe = None;
            self.next_probe = now;
            for member in self.others.values_mut().filter(|one| one.update.state == MemberState::Suspect) {
                member.state_since = member.state_since.max(now.saturating_sub(self.settings.probe_interval));
            }
            self.actions.push_back(MemberAction::Stalled(late));
        }
        if let Some(asking) = self.probe.clone().filter(|asking| !asking.indirect)
            && now >= asking.sent_at + self.settings.ack_timeout
        {
            for helper in self.choose_helpers(&asking) {
                let body =
                    MessageBody::PingRequest { number: asking.sequence, target: asking.target.clone() };
                self.send(&helper, body);
            }
            self.probe = Some(Probe { indirect: true, ..asking });
        }
        let patience = self.suspicion_timeout();
        let dead =
            |one: &&Member| one.update.state == MemberState::Suspect && now >= one.state_since + patience;
        let dead: Vec<MemberUpdate> =
            self.others.values().filter(dead).map(|one| one.update.clone()).collect();
        for word in dead {
            self.apply_update(now, &MemberUpdate { state: MemberState::Dead, ..word });
        }
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.periods += 1;
            if let Some(asking) = self.probe.take() {
                let word = self.others.get(&asking.target).map(|one| one.update.clone());
                if let Some(word) = word.filter(|word| word.state == MemberState::Alive) {
                    self.apply_update(now, &MemberUpdate { state: MemberState::Suspect, ..word });
                }
            }
            self.others
                .retain(|_, one| one.configured || one.is_live() || now < one.state_since + DEAD_MEMBER_TTL);
            self.probe_next(now);
        }
    }

    fn probe_next(&mut self, now: Duration) {
        if self.periods.is_multiple_of(PERIODS_PER_DEAD_PROBE) {
            let gone: Vec<String> = self
                .others
                .values()
                .filter(|one| !one.is_live())
                .map(|one| one.update.name.clone())
                .collect();
            if let Some(name) = gone.get(self.pseudo_random(1, gone.len())) {
                self.last_sequence += 1;
                self.send(&name.clone(), MessageBody::Ping { number: self.last_sequence });
            }
        }
        if self.probe_order.is_empty() {
            let there = self.others.values().filter(|one| one.is_live());
            let mut names: Vec<String> = there.map(|one| one.update.name.clone()).collect();
            for place in (1..names.len()).rev() {
                names.swap(place, self.pseudo_random(place as u64 + 2, place + 1));
            }
            self.probe_order = names;
        }
        while let Some(target) = self.probe_order.pop() {
            if self.others.get(&target).is_some_and(Member::is_live) {
                self.last_sequence += 1;
                let number = self.last_sequence;
                self.send(&target, MessageBody::Ping { number });
                self.probe = Some(Probe { target, sequence: number, indirect: false, sent_at: now });
                break;
            }
        }
    }

    fn choose_helpers(&self, asking: &Probe) -> Vec<String> {
        let able = self.others.values().filter(|one| one.is_live() && one.update.name != asking.target);
        let mut able: Vec<String> = able.map(|one| one.update.name.clone()).collect();
        let mut chosen = Vec::new();
        while chosen.len() < self.settings.indirect_probes && !able.is_empty() {
            chosen.push(
                able.swap_remove(self.pseudo_random(asking.sequence << 8 | able.len() as u64, able.len())),
            );
        }
        chosen
    }

    /// A number below `most`, by this governor's name and how far it is.
    fn pseudo_random(&self, which: u64, most: usize) -> usize {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.periods, which).hash(&mut hasher);
        (hasher.finish() % most.max(1) as u64) as usize
    }

    // ---- words

    /// Takes a word in, if it is newer than what is known.
    fn apply_update(&mut self, now: Duration, word: &MemberUpdate) {
        if word.name == self.local.name {
            // Spoken ill of, or taken for an older life: it says otherwise, above all that was said.
            let ill = word.state != MemberState::Alive && word.incarnation >= self.local.incarnation;
            if (ill || word.incarnation > self.local.incarnation) && self.local.state == MemberState::Alive {
                self.local.incarnation = word.incarnation.saturating_add(1);
            }
            return;
        }
        let Some(known) = self.others.get_mut(&word.name) else {
            if self.others.len() < MAX_MEMBERS && word.state <= MemberState::Suspect {
                let member =
                    Member { update: word.clone(), state_since: now, last_heard: None, configured: false };
                self.others.insert(word.name.clone(), member);
                self.announce(&word.name, word.state);
            }
            return;
        };
        let order = |one: &MemberUpdate| (one.incarnation, one.state, one.load.version);
        if order(word) <= order(&known.update) {
            // Its figures may be newer though its standing is not.
            if word.incarnation == known.update.incarnation && word.load.version > known.update.load.version {
                known.update.load = word.load;
                self.transmissions.insert(word.name.clone(), 0);
            }
            return;
        }
        let stands = known.update.state != word.state;
        let at = if known.configured { known.update.address } else { word.address };
        let newer =
            word.incarnation > known.update.incarnation || word.load.version >= known.update.load.version;
        let figures = if newer { word.load } else { known.update.load };
        known.update = MemberUpdate { address: at, load: figures, ..word.clone() };
        if stands {
            known.state_since = now;
            self.announce(&word.name, word.state);
        } else {
            self.transmissions.insert(word.name.clone(), 0);
        }
    }

    fn announce(&mut self, name: &str, standing: MemberState) {
        self.transmissions.insert(name.to_string(), 0);
        self.actions.push_back(MemberAction::StateChanged(name.to_string(), standing));
    }

    /// Words that travel with a message: first what is not well said of the receiver, then what was sent
    /// least often.
    fn updates_for(&mut self, to: &str, mut room: usize) -> Vec<MemberUpdate> {
        let most = (self.settings.transmission_multiplier * self.log_of_members()).ceil() as u32;
        self.transmissions.retain(|_, times| *times < most);
        let mut words = Vec::new();
        let ill = self
            .others
            .get(to)
            .filter(|one| one.update.state != MemberState::Alive && one.update.incarnation > 0);
        if let Some(one) = ill.filter(|_| room > 0) {
            room = room.saturating_sub(length(&one.update));
            words.push(one.update.clone());
        }
        let order: BTreeSet<(u32, String)> =
            self.transmissions.iter().map(|(name, times)| (*times, name.clone())).collect();
        for (_, name) in order {
            // This governor's own word is at the head of every message.
            let word = self.others.get(&name).map(|one| one.update.clone());
            let Some(word) = word.filter(|word| word.name != to) else { continue };
            let long = length(&word);
            if long > room {
                break;
            }
            room -= long;
            *self.transmissions.entry(name).or_default() += 1;
            words.push(word);
        }
        words
    }
}
