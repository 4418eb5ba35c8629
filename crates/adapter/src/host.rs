//! Hosts the simulated governors and passes the messages of each batch to them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::time::Duration;

use wrenthread::governor::Governor;
use wrenthread::types::ReplicaEntry;

use crate::error::MessageError;
use crate::events::{self, GovernorEvent, GovernorStart, ReplicaNames};
use crate::message::{Message, MessageKind};
use crate::replies;

/// The simulated governors.
#[derive(Default)]
pub struct Host {
    now: Duration,
    governors: BTreeMap<u64, Governor>,
    /// Governors with an event in the current batch; only their decisions are written.
    active_governors: BTreeSet<u64>,
    lists: BTreeMap<u64, Vec<ReplicaEntry>>,
    /// Governors that must subscribe to receive replica lists.
    must_subscribe: BTreeSet<u64>,
    /// Governors whose subscription is to be sent at the end of the batch.
    pending_subscriptions: BTreeSet<u64>,
    names: ReplicaNames,
}

impl Host {
    /// Begins a batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the message has no time.
    pub fn begin_batch(&mut self, message: &Message) -> Result<(), MessageError> {
        self.now = events::batch_time(message)?;
        Ok(())
    }

    /// Processes a message of a batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is invalid or refers to an unknown governor or list. The message then
    /// has no effect.
    pub fn receive(&mut self, message: &Message) -> Result<(), MessageError> {
        if message.kind() == MessageKind::DefineList {
            let list = events::replica_list(message, &mut self.names)?;
            self.lists.insert(list.number, list.entries);
            return Ok(());
        }
        let id = events::governor_id(message)?;
        match message.kind() {
            MessageKind::StartGovernor => self.start_governor(id, events::governor_start(message)?),
            MessageKind::KillGovernor => self.kill_governor(id)?,
            _ => self.receive_event(id, message)?,
        }
        Ok(())
    }

    fn start_governor(&mut self, id: u64, start: GovernorStart) {
        self.governors.insert(id, Governor::new(start.settings, self.now));
        self.active_governors.insert(id);
        self.pending_subscriptions.remove(&id);
        if start.subscribes {
            self.must_subscribe.insert(id);
            self.pending_subscriptions.insert(id);
        }
    }

    fn kill_governor(&mut self, id: u64) -> Result<(), MessageError> {
        self.active_governors.remove(&id);
        self.governors.remove(&id).map(drop).ok_or(MessageError::UnknownGovernor(id))
    }

    fn receive_event(&mut self, id: u64, message: &Message) -> Result<(), MessageError> {
        let now = self.now;
        let governor = self.governors.get_mut(&id).ok_or(MessageError::UnknownGovernor(id))?;
        match events::governor_event(message, &mut self.names)? {
            GovernorEvent::RosterUpdated { list, scope } => {
                let entries = self.lists.get(&list).ok_or(MessageError::UnknownList(list))?;
                governor.update_replicas(now, entries, scope);
            }
            GovernorEvent::SubscriptionEnded => {
                if self.must_subscribe.contains(&id) {
                    self.pending_subscriptions.insert(id);
                }
            }
            GovernorEvent::ProxyConnected(connection) => governor.proxy_connected(now, connection),
            GovernorEvent::ProxyDisconnected(proxy) => governor.proxy_disconnected(proxy),
            GovernorEvent::ReplicaObserved(statistics) => {
                governor.record_replica_statistics(now, statistics);
            }
            GovernorEvent::DemandObserved(statistics) => governor.record_demand(now, statistics),
            GovernorEvent::HealthChecked { replica, response_time, load } => {
                governor.record_health_check(now, &replica, response_time, &load);
            }
            GovernorEvent::Tick => governor.tick(),
            GovernorEvent::Acknowledged(number) => governor.record_acknowledgement(number),
            GovernorEvent::Ignored => {}
        }
        self.active_governors.insert(id);
        Ok(())
    }

    /// Writes the reply to a batch: the decisions of the governors with an event in it.
    ///
    /// # Errors
    ///
    /// Returns the errors of the output.
    pub fn end_batch(&mut self, output: &mut impl Write) -> io::Result<()> {
        for id in std::mem::take(&mut self.active_governors) {
            let Some(governor) = self.governors.get_mut(&id) else { continue };
            if self.pending_subscriptions.remove(&id) {
                replies::write_subscription(id, output)?;
            }
            while let Some(decision) = governor.next_decision(self.now) {
                replies::write_decision(id, &decision, output)?;
            }
        }
        replies::write_end(output)
    }
}
