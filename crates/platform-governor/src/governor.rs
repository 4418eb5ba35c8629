//! The state machine: connections and messages in, [`Action`]s out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wrenthread::governor::Governor;
use wrenthread::types::{Decision, ProxyConnection, ProxyId, ReplicaId, StateEstimate};
use wrenthread_deployment_config::DeploymentConfig;
use wrenthread_platform_protocol::decode::Message;
use wrenthread_platform_protocol::outbox::Outbox;

use crate::discard::DiscardReason;
use crate::disconnect::DisconnectReason;
use crate::endpoint_list::EndpointList;
use crate::silence::{StreamActivity, silent_proxies};
use crate::watch::{Watcher, WatcherId};

/// How often streams are checked for silence and replicas that are gone are discarded.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// The delay to the next tick until the decision module schedules one, as it does at each tick.
const UNSCHEDULED_TICK_DELAY: Duration = Duration::from_secs(3600);

/// The number of a connection, assigned by the host in the order of accepting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// An action that the host has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send bytes on a stream, after the bytes of earlier actions.
    Send {
        /// The stream's connection.
        connection: ConnectionId,
        /// One message, including its line ends.
        bytes: Vec<u8>,
    },
    /// Close a connection that is no longer a proxy's stream.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// The proxy whose stream it was.
        proxy: ProxyId,
        /// Why it is closed.
        reason: DisconnectReason,
    },
    /// Start a watcher of discovery. The previous one may continue to run for a while.
    Watch {
        /// The watcher.
        watcher: WatcherId,
        /// The version to watch from; `None` to fetch a snapshot first.
        from_version: Option<u64>,
    },
    /// [`PlatformGovernor::replica_names`] has changed.
    ReplicasChanged,
}

/// A proxy's newest stream.
#[derive(Debug, Clone, Copy)]
struct Stream {
    connection: ConnectionId,
    requests_per_second: f64,
}

/// A governor on the platform's protocol.
pub struct PlatformGovernor {
    pub(crate) governor: Governor,
    outbox: Outbox,
    pub(crate) endpoints: EndpointList,
    report_interval: Duration,
    streams: BTreeMap<ProxyId, Stream>,
    pub(crate) watcher: Watcher,
    pub(crate) replica_names: BTreeSet<ReplicaId>,
    discarded: BTreeMap<DiscardReason, u64>,
    tick_at: Duration,
    housekeeping_at: Duration,
    pub(crate) actions: VecDeque<Action>,
}

impl PlatformGovernor {
    /// Creates a governor without endpoints and without a watcher.
    pub fn new(config: &DeploymentConfig, now: Duration) -> Self {
        PlatformGovernor {
            governor: Governor::new(config.settings.clone(), now),
            outbox: Outbox::new(config.class_names.clone(), config.settings.default_retry_policy),
            endpoints: EndpointList::new(&config.zone_names),
            report_interval: config.settings.report_interval,
            streams: BTreeMap::new(),
            watcher: Watcher::default(),
            replica_names: BTreeSet::new(),
            discarded: BTreeMap::new(),
            tick_at: now + UNSCHEDULED_TICK_DELAY,
            housekeeping_at: now + HOUSEKEEPING_INTERVAL,
            actions: VecDeque::new(),
        }
    }

    /// Handles a connection that identified itself as a proxy's stream.
    pub fn proxy_connected(&mut self, now: Duration, connection: ConnectionId, proxy: ProxyConnection) {
        if let Some(newest) = self.connection_of(proxy.proxy) {
            if newest > connection {
                // The first message on this connection was delayed, and the proxy has reconnected since.
                self.discard(DiscardReason::StaleConnection);
                self.close(connection, proxy.proxy, DisconnectReason::StaleConnection);
                return;
            }
            self.close(newest, proxy.proxy, DisconnectReason::Replaced);
        }
        let stream = Stream { connection, requests_per_second: proxy.requests_per_second };
        self.streams.insert(proxy.proxy, stream);
        self.outbox.proxy_connected(proxy.proxy);
        self.governor.proxy_connected(now, proxy);
    }

    /// Handles the end of a connection that had identified itself as this proxy's stream.
    pub fn connection_ended(&mut self, connection: ConnectionId, proxy: ProxyId) {
        if self.is_newest(connection, proxy) {
            self.disconnect(proxy, DisconnectReason::Ended);
        }
    }

    /// Handles a full send buffer: the proxy does not read from the connection.
    pub fn send_buffer_full(&mut self, connection: ConnectionId) {
        let mut streams = self.streams.iter();
        if let Some((&proxy, _)) = streams.find(|(_, stream)| stream.connection == connection) {
            self.disconnect(proxy, DisconnectReason::SendBufferFull);
        }
    }

    /// Handles a message on a proxy's stream.
    pub fn proxy_message(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        proxy: ProxyId,
        message: Message,
    ) {
        if !self.is_newest(connection, proxy) {
            self.discard(DiscardReason::StaleMessage);
            return;
        }
        match message {
            Message::DemandStatistics(statistics) => self.governor.record_demand(now, statistics),
            Message::Acknowledged { nonce, latency, .. } => {
                if self.outbox.acknowledge(now, proxy, nonce, latency) {
                    self.governor.record_acknowledgement(nonce);
                } else {
                    self.discard(DiscardReason::UnexpectedAcknowledgement);
                }
            }
            _ => {}
        }
    }

    /// Handles a report that a collector forwarded, from any proxies.
    pub fn collector_message(&mut self, now: Duration, message: Message) {
        match message {
            Message::ReplicaStatistics(statistics) => {
                self.governor.record_replica_statistics(now, statistics);
            }
            Message::UnlistedReplicaFailed { zone } => self.governor.record_unlisted_replica(zone),
            Message::DemandStatistics(statistics) => self.governor.record_demand(now, statistics),
            _ => {}
        }
    }

    /// Runs the timers that are due, and converts the decision module's decisions to actions. `last_received` returns
    /// the time at which bytes, valid or not, were last received on a connection.
    pub fn advance(&mut self, now: Duration, last_received: impl Fn(ConnectionId) -> Duration) {
        if now >= self.tick_at {
            self.tick_at = now + UNSCHEDULED_TICK_DELAY;
            self.governor.tick();
        }
        if now >= self.housekeeping_at {
            let is_late = now > self.housekeeping_at + HOUSEKEEPING_INTERVAL;
            self.housekeeping_at = now + HOUSEKEEPING_INTERVAL;
            // After a stall, data may be waiting on connections: it is read before streams are checked for silence.
            if !is_late {
                self.disconnect_silent_proxies(now, last_received);
            }
            self.check_watcher(now);
            self.forget_replicas();
        }
        self.pull_decisions(now);
    }

    fn pull_decisions(&mut self, now: Duration) {
        while let Some(decision) = self.governor.next_decision(now) {
            if let Some(Decision::ScheduleTick(after)) = self.outbox.record(decision) {
                self.tick_at = now + after;
            }
        }
        let streams = &self.streams;
        let actions = &mut self.actions;
        self.outbox.flush(now, |proxy, bytes| {
            if let Some(stream) = streams.get(&proxy) {
                actions.push_back(Action::Send { connection: stream.connection, bytes });
            }
        });
    }

    /// Returns the next action that the host has to perform.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The latest time at which [`PlatformGovernor::advance`] must be called again.
    pub fn next_deadline(&self) -> Duration {
        self.tick_at.min(self.housekeeping_at)
    }

    /// Replicas that are in the endpoint list, or that the decision module still tracks.
    pub fn replica_names(&self) -> &BTreeSet<ReplicaId> {
        &self.replica_names
    }

    /// The connection of the proxy's current stream.
    pub fn connection_of(&self, proxy: ProxyId) -> Option<ConnectionId> {
        self.streams.get(&proxy).map(|stream| stream.connection)
    }

    /// The decision module's estimate of the state.
    pub fn state_estimate(&self, now: Duration) -> StateEstimate {
        self.governor.state_estimate(now)
    }

    /// The number of inputs discarded since the last call, by reason.
    pub fn take_discard_counts(&mut self) -> BTreeMap<DiscardReason, u64> {
        std::mem::take(&mut self.discarded)
    }

    fn is_newest(&self, connection: ConnectionId, proxy: ProxyId) -> bool {
        self.connection_of(proxy) == Some(connection)
    }

    fn discard(&mut self, reason: DiscardReason) {
        *self.discarded.entry(reason).or_insert(0) += 1;
    }

    fn close(&mut self, connection: ConnectionId, proxy: ProxyId, reason: DisconnectReason) {
        self.actions.push_back(Action::Close { connection, proxy, reason });
    }

    fn disconnect(&mut self, proxy: ProxyId, reason: DisconnectReason) {
        if let Some(Stream { connection, .. }) = self.streams.remove(&proxy) {
            self.close(connection, proxy, reason);
        }
        self.outbox.proxy_disconnected(proxy);
        self.governor.proxy_disconnected(proxy);
    }

    fn disconnect_silent_proxies(&mut self, now: Duration, last_received: impl Fn(ConnectionId) -> Duration) {
        let mut activities = Vec::with_capacity(self.streams.len());
        for (proxy, stream) in &self.streams {
            let received_at = last_received(stream.connection);
            // Messages that are still queued count as well: whether they were sent or are stuck, nothing is received.
            let outstanding_since = self.outbox.outstanding_since(*proxy, received_at);
            activities.push(StreamActivity {
                proxy: *proxy,
                silent_for: now.saturating_sub(received_at),
                unacknowledged_for: outstanding_since.map(|sent_at| now.saturating_sub(sent_at)),
                requests_per_second: stream.requests_per_second,
            });
        }
        for proxy in silent_proxies(&activities, self.report_interval) {
            self.disconnect(proxy, DisconnectReason::Silent);
        }
    }

    /// Discards replicas that the decision module no longer tracks.
    fn forget_replicas(&mut self) {
        let governor = &self.governor;
        self.outbox.retain_replicas(|replica| governor.tracks(replica));
        let count = self.replica_names.len();
        self.replica_names.retain(|replica| governor.tracks(replica));
        if self.replica_names.len() != count {
            self.actions.push_back(Action::ReplicasChanged);
        }
    }
}
