//! Direct and indirect probes, and the handling of their timeouts.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::{DEAD_MEMBER_TTL, Member, MemberAction, Members};
use crate::messages::{MemberState, MemberUpdate, MessageBody};

/// One dead member is probed each time this number of intervals has passed.
const INTERVALS_PER_DEAD_PROBE: u64 = 4;
/// Maximum number of open probes on behalf of other governors.
const MAX_RELAYED_PROBES: usize = 64;

/// A probe that is waiting for its answer.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Probe {
    pub(super) target: String,
    pub(super) sequence: u64,
    /// Whether other governors were asked to probe the target too.
    pub(super) indirect: bool,
    pub(super) sent_at: Duration,
}

/// An open probe on behalf of another governor.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RelayedProbe {
    requester: String,
    /// The requester's sequence number.
    sequence: u64,
    expires: Duration,
}

impl Members {
    pub(super) fn ping(&mut self, target: &str) {
        self.last_sequence += 1;
        self.send(target, MessageBody::Ping { sequence: self.last_sequence });
    }

    /// Probes `target` on behalf of the governor `requester`.
    pub(super) fn relay_probe(&mut self, now: Duration, requester: &str, sequence: u64, target: &str) {
        if !self.others.contains_key(target) {
            return;
        }
        self.last_sequence += 1;
        self.relayed_probes.retain(|_, probe| probe.expires > now);
        if self.relayed_probes.len() < MAX_RELAYED_PROBES {
            let expires = now + self.settings.probe_interval * 2;
            let relayed = RelayedProbe { requester: requester.to_string(), sequence, expires };
            self.relayed_probes.insert(self.last_sequence, relayed);
            self.send(target, MessageBody::Ping { sequence: self.last_sequence });
        }
    }

    pub(super) fn handle_ack(&mut self, from: &str, sequence: u64, governor: &str) {
        let answers = |probe: &Probe| probe.sequence == sequence && probe.target == governor;
        if self.probe.as_ref().is_some_and(answers) {
            self.probe = None;
        }
        if governor == from
            && let Some(relayed) = self.relayed_probes.remove(&sequence)
        {
            let ack = MessageBody::Ack { sequence: relayed.sequence, governor: from.to_string() };
            self.send(&relayed.requester, ack);
        }
    }

    /// Carries out everything that is due at `now`.
    pub(super) fn advance(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next_probe);
        if late > self.settings.probe_interval {
            self.recover_from_stall(now, late);
        }
        self.probe_indirectly(now);
        self.declare_dead(now);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.intervals += 1;
            self.suspect_unanswered(now);
            self.forget_dead_members(now);
            self.probe_dead_member();
            self.probe_next(now);
        }
    }

    /// Discards the open probe and gives all suspected members more time, because this governor could not receive
    /// answers while it stalled. A governor that is always late therefore never declares another one dead.
    fn recover_from_stall(&mut self, now: Duration, late: Duration) {
        self.probe = None;
        self.next_probe = now;
        let suspected_since = now.saturating_sub(self.settings.probe_interval);
        for member in self.others.values_mut() {
            if member.update.state == MemberState::Suspect {
                member.state_since = member.state_since.max(suspected_since);
            }
        }
        self.actions.push_back(MemberAction::Stalled { late });
    }

    fn probe_indirectly(&mut self, now: Duration) {
        let Some(probe) = self.probe.clone().filter(|probe| !probe.indirect) else { return };
        if now < probe.sent_at + self.settings.ack_timeout {
            return;
        }
        for helper in self.choose_helpers(&probe) {
            let body = MessageBody::PingRequest { sequence: probe.sequence, target: probe.target.clone() };
            self.send(&helper, body);
        }
        self.probe = Some(Probe { indirect: true, ..probe });
    }

    fn declare_dead(&mut self, now: Duration) {
        let timeout = self.suspicion_timeout();
        let is_overdue = |member: &&Member| {
            member.update.state == MemberState::Suspect && now >= member.state_since + timeout
        };
        let overdue: Vec<MemberUpdate> =
            self.others.values().filter(is_overdue).map(|member| member.update.clone()).collect();
        for update in overdue {
            self.apply_update(now, &MemberUpdate { state: MemberState::Dead, ..update });
        }
    }

    fn suspect_unanswered(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else { return };
        let Some(update) = self.others.get(&probe.target).map(|member| member.update.clone()) else { return };
        if update.state == MemberState::Alive {
            self.apply_update(now, &MemberUpdate { state: MemberState::Suspect, ..update });
        }
    }

    fn forget_dead_members(&mut self, now: Duration) {
        self.others.retain(|_, member| {
            member.configured || member.is_live() || now < member.state_since + DEAD_MEMBER_TTL
        });
    }

    fn probe_dead_member(&mut self) {
        if !self.intervals.is_multiple_of(INTERVALS_PER_DEAD_PROBE) {
            return;
        }
        let dead = self.others.values().filter(|member| !member.is_live());
        let names: Vec<String> = dead.map(|member| member.update.name.clone()).collect();
        if let Some(name) = names.get(self.pseudo_random(1, names.len())) {
            self.ping(name);
        }
    }

    fn probe_next(&mut self, now: Duration) {
        if self.probe_order.is_empty() {
            self.probe_order = self.shuffled_live_members();
        }
        while let Some(target) = self.probe_order.pop() {
            if self.others.get(&target).is_some_and(Member::is_live) {
                self.ping(&target);
                let sequence = self.last_sequence;
                self.probe = Some(Probe { target, sequence, indirect: false, sent_at: now });
                break;
            }
        }
    }

    fn shuffled_live_members(&self) -> Vec<String> {
        let mut names: Vec<String> = self.live().map(|member| member.update.name.clone()).collect();
        for index in (1..names.len()).rev() {
            names.swap(index, self.pseudo_random(index as u64 + 2, index + 1));
        }
        names
    }

    fn choose_helpers(&self, probe: &Probe) -> Vec<String> {
        let candidates = self.live().filter(|member| member.update.name != probe.target);
        let mut candidates: Vec<String> = candidates.map(|member| member.update.name.clone()).collect();
        let mut chosen = Vec::new();
        while chosen.len() < self.settings.indirect_probes && !candidates.is_empty() {
            let choice_key = probe.sequence << 8 | candidates.len() as u64;
            let index = self.pseudo_random(choice_key, candidates.len());
            chosen.push(candidates.swap_remove(index));
        }
        chosen
    }

    /// Returns a number below `limit` that depends only on this governor's name, the number of the interval and
    /// `choice_key`.
    fn pseudo_random(&self, choice_key: u64, limit: usize) -> usize {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.intervals, choice_key).hash(&mut hasher);
        (hasher.finish() % limit.max(1) as u64) as usize
    }
}
