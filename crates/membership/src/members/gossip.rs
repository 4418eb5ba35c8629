//! Gossip: which updates take precedence, and which are sent with each message.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{MAX_MEMBERS, Member, MemberAction, Members};
use crate::messages::{MemberState, MemberUpdate, encoded_length};

impl Members {
    /// Applies an update if it takes precedence over the stored one.
    pub(super) fn apply_update(&mut self, now: Duration, update: &MemberUpdate) {
        if update.name == self.local.name {
            return self.refute(update);
        }
        let Some(member) = self.others.get_mut(&update.name) else {
            return self.add_member(now, update);
        };
        let load_is_newer = update.load.version > member.update.load.version;
        if precedence(update) <= precedence(&member.update) {
            // The load may be newer even though the state is not.
            if update.incarnation == member.update.incarnation && load_is_newer {
                member.update.load = update.load;
                self.transmissions.insert(update.name.clone(), 0);
            }
            return;
        }
        let state_changed = member.update.state != update.state;
        let address = if member.configured { member.update.address } else { update.address };
        let is_new_incarnation = update.incarnation > member.update.incarnation;
        let load_is_current = update.load.version >= member.update.load.version;
        let load = if is_new_incarnation || load_is_current { update.load } else { member.update.load };
        member.update = MemberUpdate { address, load, ..update.clone() };
        if state_changed {
            member.state_since = now;
            self.announce(&update.name, update.state);
        } else {
            self.transmissions.insert(update.name.clone(), 0);
        }
    }

    /// Refutes an update about this governor that says it is not alive, or that has a higher incarnation, by raising
    /// its own incarnation above it.
    fn refute(&mut self, update: &MemberUpdate) {
        let says_not_alive =
            update.state != MemberState::Alive && update.incarnation >= self.local.incarnation;
        let has_higher_incarnation = update.incarnation > self.local.incarnation;
        if (says_not_alive || has_higher_incarnation) && self.local.state == MemberState::Alive {
            self.local.incarnation = update.incarnation.saturating_add(1);
        }
    }

    fn add_member(&mut self, now: Duration, update: &MemberUpdate) {
        if self.others.len() >= MAX_MEMBERS || update.state > MemberState::Suspect {
            return;
        }
        let member = Member { update: update.clone(), state_since: now, last_heard: None, configured: false };
        self.others.insert(update.name.clone(), member);
        self.announce(&update.name, update.state);
    }

    fn announce(&mut self, name: &str, state: MemberState) {
        self.transmissions.insert(name.to_string(), 0);
        self.actions.push_back(MemberAction::StateChanged { governor: name.to_string(), state });
    }

    /// Selects the updates to send with a message to `receiver`, of at most `max_bytes`: first an update that says the
    /// receiver is not alive, then those that were sent least often. The update about this governor is not among them,
    /// since every message has it in its field `from`.
    pub(super) fn updates_for(&mut self, receiver: &str, max_bytes: usize) -> Vec<MemberUpdate> {
        let max_transmissions = self.settings.transmission_multiplier * self.log_of_members();
        let max_transmissions = max_transmissions.ceil() as u32;
        self.transmissions.retain(|_, count| *count < max_transmissions);
        let mut bytes_left = max_bytes;
        let mut updates = Vec::new();
        if bytes_left > 0
            && let Some(update) = self.refutable_update(receiver)
        {
            bytes_left = bytes_left.saturating_sub(encoded_length(&update));
            updates.push(update);
        }
        let least_sent_first: BTreeSet<(u32, String)> =
            self.transmissions.iter().map(|(name, count)| (*count, name.clone())).collect();
        for (_, name) in least_sent_first {
            let update = self.others.get(&name).map(|member| member.update.clone());
            let Some(update) = update.filter(|update| update.name != receiver) else { continue };
            let length = encoded_length(&update);
            if length > bytes_left {
                break;
            }
            bytes_left -= length;
            *self.transmissions.entry(name).or_default() += 1;
            updates.push(update);
        }
        updates
    }

    /// Returns the update about a governor if it says that the governor is not alive. A configured peer without any
    /// update yet (incarnation 0) has none.
    fn refutable_update(&self, name: &str) -> Option<MemberUpdate> {
        let update = &self.others.get(name)?.update;
        let is_refutable = update.state != MemberState::Alive && update.incarnation > 0;
        is_refutable.then(|| update.clone())
    }
}

/// The precedence of an update: compares the incarnation, then the state, then the version of the load.
fn precedence(update: &MemberUpdate) -> (u64, MemberState, u64) {
    (update.incarnation, update.state, update.load.version)
}
