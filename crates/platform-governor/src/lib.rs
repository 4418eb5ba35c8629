//! One governor by the platform's protocol, without I/O or clock: what connections and discovery say goes in
//! with its time, the rules are pulled, and what streams are owed comes out. It decides nothing itself.
//!
//! A host calls the inputs as things happen, then [`PlatformGovernor::advance`], then [`PlatformGovernor::next_action`] until it gives `None`, and
//! pulls again no later than [`PlatformGovernor::next_deadline`]. Connections and watchers of discovery go by numbers that the host,
//! for connections, gives in the order of accepting, and the node, for watchers, in the order of starting them:
//! what comes from one that was replaced is told apart by its number, never by luck of order.

pub mod endpoint_list;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde_json::Value;
use wrenthread::governor::Governor;
use wrenthread::types::{Decision, ProxyConnection, ProxyId, ReplicaId, RosterScope, StateEstimate};
use wrenthread_deployment_config::DeploymentConfig;
use wrenthread_platform_protocol::decode::Message;
use wrenthread_platform_protocol::outbox::Outbox;

use endpoint_list::{EndpointList, EndpointListError, EndpointUpdate};

/// How often streams are looked over for silence, and names that are gone forgotten.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// The rules ask for their next call themselves, each time.
const NEVER: Duration = Duration::from_secs(3600);
/// An answer to a nonce takes as long as lines wait in a channel that may run slower than it ought to, and
/// some.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Flows that a proxy would have been sent meanwhile: chance alone leaves none of so many out once in a
/// hundred thousand looks. It guards against streams of machines that vanished; a live proxy whose clients
/// went away all at once would lose its stream, and join anew.
const MIN_MISSED_REQUESTS: f64 = 12.0;
/// What discovery has to tell reaches each address within some seconds. One that tells of older versions for
/// longer is not stale_since: it counts anew.
const MAX_STALE: Duration = Duration::from_secs(20);

/// What the host is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Bytes for a stream, after those of earlier ones.
    Send { connection: u64, bytes: Vec<u8> },
    /// The connection is no proxy's stream any more.
    Close { connection: u64 },
    /// Discovery is followed anew, from a version on, or where there is none by asking for all of the list. The
    /// earlier watcher may be last_heard out.
    Watch { watcher: u64, from_version: Option<u64> },
    /// Other replicas have names: [`PlatformGovernor::replica_names`].
    ReplicasChanged,
}

/// A proxy's newest stream.
#[derive(Debug, Clone, Copy)]
struct Stream {
    connection: u64,
    requests_per_second: f64,
}

#[derive(Default)]
struct Watcher {
    number: u64,
    /// It has been told to ask for the whole list, and has not had it.
    requests_snapshot: bool,
    /// Since when it has told of nothing but older versions.
    stale_since: Option<Duration>,
}

pub struct PlatformGovernor {
    governor: Governor,
    outbox: Outbox,
    endpoints: EndpointList,
    report_interval: Duration,
    streams: BTreeMap<ProxyId, Stream>,
    watcher: Watcher,
    /// Replicas by name, as the list has them or lately had them.
    names: BTreeSet<ReplicaId>,
    discarded: BTreeMap<&'static str, u64>,
    /// When the rules asked to be called.
    due: Duration,
    housekeeping: Duration,
    actions: VecDeque<Action>,
}

impl PlatformGovernor {
    /// A node that knows of no list yet; its first output starts its first watcher.
    pub fn new(info: &DeploymentConfig, now: Duration) -> Self {
        PlatformGovernor {
            governor: Governor::new(info.settings.clone(), now),
            outbox: Outbox::new(info.class_names.clone(), info.settings.default_retry_policy),
            endpoints: EndpointList::new(&info.zone_names),
            report_interval: info.settings.report_interval,
            streams: BTreeMap::new(),
            watcher: Watcher::default(),
            names: BTreeSet::new(),
            discarded: BTreeMap::new(),
            due: now + NEVER,
            housekeeping: now + HOUSEKEEPING_INTERVAL,
            actions: VecDeque::new(),
        }
    }

    /// The list as this governor last had it, before anything is followed.
    ///
    /// Errors: one that can't be used; nothing is known then.
    pub fn load_known_endpoints(
        &mut self,
        now: Duration,
        known: &Value,
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Result<(), EndpointListError> {
        let change = self.endpoints.take(known, started)?;
        change.into_iter().for_each(|change| self.apply(now, change));
        Ok(())
    }

    /// Discovery is followed from what the list has: at the start, and where its address has moved.
    pub fn start_watch(&mut self) {
        let from = self.endpoints.version();
        let number = self.watcher.number + 1;
        self.watcher = Watcher { number, requests_snapshot: from.is_none(), stale_since: None };
        self.actions.push_back(Action::Watch { watcher: number, from_version: from });
    }

    /// What a watcher last_heard. The version from which it may go on; none if it is to ask for all of the list.
    pub fn watch_event(
        &mut self,
        now: Duration,
        watcher: u64,
        bytes: &[u8],
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Option<u64> {
        match self.endpoints.read(bytes, started) {
            Ok(change) => change.into_iter().for_each(|change| self.apply(now, change)),
            Err(fault) => tracing::warn!(%fault, "an object of discovery can't be used: all is asked for"),
        }
        let known = self.endpoints.version();
        if watcher == self.watcher.number {
            self.watcher.requests_snapshot = known.is_none();
            self.watcher.stale_since =
                self.endpoints.last_was_stale().then(|| self.watcher.stale_since.unwrap_or(now));
        } else if known.is_none() && !self.watcher.requests_snapshot {
            // The present one watches from a version that has what was spoilt behind it.
            self.start_watch();
        }
        known
    }

    fn apply(&mut self, now: Duration, change: EndpointUpdate) {
        for why in &change.invalid_entries {
            tracing::warn!(%why, "an entry of discovery is spoilt and left out");
        }
        let before = self.names.len();
        self.names.extend(change.entries.iter().map(|entry| entry.id.clone()));
        self.actions.extend((self.names.len() != before).then_some(Action::ReplicasChanged));
        let scope = if change.complete { RosterScope::Complete } else { RosterScope::Changes };
        self.governor.update_replicas(now, &change.entries, scope);
    }

    /// A connection says that it is a proxy's stream.
    pub fn proxy_connected(&mut self, now: Duration, connection: u64, proxy_connection: ProxyConnection) {
        let proxy = proxy_connection.proxy;
        if let Some(Stream { connection: newest, .. }) = self.streams.get(&proxy).copied() {
            if newest > connection {
                // Its joining was held up while the proxy dialled anew.
                self.discard("late: a joining on a stream older than the proxy's");
                self.actions.push_back(Action::Close { connection });
                return;
            }
            self.actions.push_back(Action::Close { connection: newest });
        }
        self.streams
            .insert(proxy, Stream { connection, requests_per_second: proxy_connection.requests_per_second });
        self.outbox.proxy_connected(proxy);
        self.governor.proxy_connected(now, proxy_connection);
    }

    /// A connection that said it was this proxy's has ended.
    pub fn connection_ended(&mut self, connection: u64, proxy: ProxyId) {
        if self.is_newest(connection, proxy) {
            self.disconnect(proxy);
        }
    }

    /// The proxy takes nothing of what is sent to it.
    pub fn send_buffer_full(&mut self, connection: u64) {
        let mut streams = self.streams.iter();
        if let Some((&proxy, _)) = streams.find(|(_, stream)| stream.connection == connection) {
            tracing::warn!(proxy, "a proxy leaves its orders unread: its stream ends");
            self.disconnect(proxy);
        }
    }

    /// What comes on a proxy's stream.
    pub fn proxy_message(&mut self, now: Duration, connection: u64, proxy: ProxyId, message: Message) {
        if !self.is_newest(connection, proxy) {
            self.discard("late: said on a stream that ended or was replaced");
            return;
        }
        match message {
            Message::DemandStatistics(came) => self.governor.record_demand(now, came),
            Message::Acknowledged { nonce, latency: took, .. } => {
                if self.outbox.acknowledge(now, proxy, nonce, took) {
                    self.governor.acknowledged(took);
                } else {
                    self.discard("spoilt: an answer to no nonce");
                }
            }
            _ => {}
        }
    }

    /// What a collector hands on, of whichever proxies.
    pub fn collector_message(&mut self, now: Duration, message: Message) {
        match message {
            Message::ReplicaStatistics(met) => self.governor.record_replica_statistics(now, met),
            Message::DemandStatistics(came) => self.governor.record_demand(now, came),
            _ => {}
        }
    }

    /// Lets the rules see what has become due, and has what they decide sent. `last_heard` tells when bytes last came
    /// on a connection, good or spoilt.
    pub fn advance(&mut self, now: Duration, last_heard: impl Fn(u64) -> Duration) {
        if now >= self.due {
            self.due = now + NEVER;
            self.governor.tick();
        }
        if now >= self.housekeeping {
            let late = now > self.housekeeping + HOUSEKEEPING_INTERVAL;
            self.housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.run_housekeeping(now, late, last_heard);
        }
        while let Some(decision) = self.governor.next_decision(now) {
            if let Some(Decision::ScheduleTick(after)) = self.outbox.record(decision) {
                self.due = now + after;
            }
        }
        let (streams, actions) = (&self.streams, &mut self.actions);
        self.outbox.flush(now, |proxy, bytes| {
            let stream = streams.get(&proxy);
            actions.extend(stream.map(|stream| Action::Send { connection: stream.connection, bytes }));
        });
    }

    /// What the host is to do next.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When it wants to be pulled again, at the latest.
    pub fn next_deadline(&self) -> Duration {
        self.due.min(self.housekeeping)
    }

    /// Replicas by name, as the list has them or lately had them.
    pub fn replica_names(&self) -> &BTreeSet<ReplicaId> {
        &self.names
    }

    /// The connection that is the proxy's stream.
    pub fn connection_of(&self, proxy: ProxyId) -> Option<u64> {
        self.streams.get(&proxy).map(|stream| stream.connection)
    }

    pub fn state_estimate(&self) -> StateEstimate {
        self.governor.state_estimate()
    }

    /// What was left out, by reason, since this was last asked.
    pub fn take_discard_counts(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.discarded)
    }

    fn is_newest(&self, connection: u64, proxy: ProxyId) -> bool {
        self.connection_of(proxy) == Some(connection)
    }

    fn discard(&mut self, why: &'static str) {
        *self.discarded.entry(why).or_insert(0) += 1;
    }

    fn disconnect(&mut self, proxy: ProxyId) {
        if let Some(Stream { connection, .. }) = self.streams.remove(&proxy) {
            self.actions.push_back(Action::Close { connection });
        }
        self.outbox.proxy_disconnected(proxy);
        self.governor.proxy_disconnected(proxy);
    }

    fn run_housekeeping(&mut self, now: Duration, late: bool, last_heard: impl Fn(u64) -> Duration) {
        // A governor that stood still has last_heard of nobody: what waits is read before the next look.
        if !late {
            for proxy in self.silent_proxies(now, last_heard) {
                tracing::info!(proxy, "a proxy has fallen silent: its stream ends");
                self.disconnect(proxy);
            }
        }
        if self.watcher.stale_since.is_some_and(|since| now.saturating_sub(since) > MAX_STALE) {
            tracing::warn!("discovery tells of older versions only: it is taken to count anew");
            self.endpoints.restart_numbering();
            self.start_watch();
        }
        let governor = &self.governor;
        self.outbox.retain_replicas(|id| governor.tracks(id));
        let before = self.names.len();
        self.names.retain(|id| governor.tracks(id));
        self.actions.extend((self.names.len() != before).then_some(Action::ReplicasChanged));
    }

    /// Proxies that said nothing for as long as they would have had to say something, while others did.
    fn silent_proxies(&self, now: Duration, last_heard: impl Fn(u64) -> Duration) -> Vec<ProxyId> {
        let last_heard: Vec<(ProxyId, Stream, Duration)> = self
            .streams
            .iter()
            .map(|(proxy, stream)| (*proxy, *stream, last_heard(stream.connection)))
            .collect();
        let silence = |at: Duration| now.saturating_sub(at);
        let speaking = last_heard.iter().filter(|(.., at)| silence(*at) < ACKNOWLEDGEMENT_TIMEOUT).count();
        if 2 * speaking < last_heard.len() {
            return Vec::new(); // whatever keeps them all from being last_heard, it is not each of them
        }
        let silent = last_heard.into_iter().filter(|(proxy, stream, at)| {
            let owed = self.outbox.outstanding_since(*proxy, *at).map(|sent| now.saturating_sub(sent));
            // Whether what it owes an answer to has left or is stuck on its way: nothing is last_heard either way.
            has_fallen_silent(silence(*at), owed, stream.requests_per_second, self.report_interval)
        });
        silent.map(|(proxy, ..)| proxy).collect()
    }
}

/// Whether a stream that was silent so long, and has owed an answer since, would have had to say something by
/// now. Sums come `every` so often, where there are any flows.
fn has_fallen_silent(silence: Duration, owed: Option<Duration>, usual: f64, every: Duration) -> bool {
    let due = ACKNOWLEDGEMENT_TIMEOUT + 2 * every;
    let flows = silence.saturating_sub(due).as_secs_f64() * usual;
    owed.is_some_and(|owed| owed > due) || flows > MIN_MISSED_REQUESTS
}
