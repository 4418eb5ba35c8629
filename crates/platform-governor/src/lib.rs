//! One governor by the platform's protocol, without I/O or clock: what connections and discovery say goes in
//! with its time, the rules are pulled, and what streams are owed comes out. It decides nothing itself.
//!
//! A host calls the inputs as things happen, then [`Node::pull`], then [`Node::next`] until it gives `None`, and
//! pulls again no later than [`Node::due`]. Connections and followers of discovery go by numbers that the host,
//! for connections, gives in the order of accepting, and the node, for followers, in the order of starting them:
//! what comes from one that was replaced is told apart by its number, never by luck of order.

pub mod list;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde_json::Value;
use wrenthread::governor::Governor;
use wrenthread::types::{Decision, ProxyConnection, ProxyId, ReplicaId, RosterScope, StateEstimate};
use wrenthread_deployment_config::Info;
use wrenthread_platform_protocol::decode::Message;
use wrenthread_platform_protocol::outbox::Outbox;

use list::{Change, Fault, List};

/// How often streams are looked over for silence, and names that are gone forgotten.
const HOUSEKEEPING: Duration = Duration::from_secs(1);
/// The rules ask for their next call themselves, each time.
const NEVER: Duration = Duration::from_secs(3600);
/// An answer to a nonce takes as long as lines wait in a channel that may run slower than it ought to, and
/// some.
const ANSWER_WITHIN: Duration = Duration::from_secs(12);
/// Flows that a proxy would have been sent meanwhile: chance alone leaves none of so many out once in a
/// hundred thousand looks. It guards against streams of machines that vanished; a live proxy whose clients
/// went away all at once would lose its stream, and join anew.
const FLOWS_MISSED: f64 = 12.0;
/// What discovery has to tell reaches each address within some seconds. One that tells of older versions for
/// longer is not behind: it counts anew.
const BEHIND_MOST: Duration = Duration::from_secs(20);

/// Who a connection says it is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Joining {
    pub proxy: ProxyId,
    pub zone: usize,
    pub usual: f64,
    pub fresh: bool,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Bytes for a stream, after those of earlier ones.
    Send { connection: u64, bytes: Vec<u8> },
    /// The connection is no proxy's stream any more.
    Close { connection: u64 },
    /// Discovery is followed anew, from a version on, or where there is none by asking for all of the list. The
    /// earlier follower may be heard out.
    Follow { follower: u64, from: Option<u64> },
    /// Other replicas have names: [`Node::names`].
    Names,
}

/// A proxy's newest stream.
#[derive(Debug, Clone, Copy)]
struct Stream {
    connection: u64,
    usual: f64,
}

#[derive(Default)]
struct Follower {
    number: u64,
    /// It has been told to ask for the whole list, and has not had it.
    asks_whole: bool,
    /// Since when it has told of nothing but older versions.
    behind: Option<Duration>,
}

pub struct Node {
    governor: Governor,
    outbox: Outbox,
    list: List,
    sums_every: Duration,
    streams: BTreeMap<ProxyId, Stream>,
    follower: Follower,
    /// Replicas by name, as the list has them or lately had them.
    names: BTreeSet<ReplicaId>,
    faults: BTreeMap<&'static str, u64>,
    /// When the rules asked to be called.
    due: Duration,
    housekeeping: Duration,
    outputs: VecDeque<Output>,
}

impl Node {
    /// A node that knows of no list yet; its first output starts its first follower.
    pub fn new(info: &Info, now: Duration) -> Self {
        Node {
            governor: Governor::new(info.settings.clone(), now),
            outbox: Outbox::new(info.groups.clone(), info.settings.default_retry_policy),
            list: List::new(&info.zones),
            sums_every: info.settings.report_interval,
            streams: BTreeMap::new(),
            follower: Follower::default(),
            names: BTreeSet::new(),
            faults: BTreeMap::new(),
            due: now + NEVER,
            housekeeping: now + HOUSEKEEPING,
            outputs: VecDeque::new(),
        }
    }

    /// The list as this governor last had it, before anything is followed.
    ///
    /// Errors: one that can't be used; nothing is known then.
    pub fn know(
        &mut self,
        now: Duration,
        known: &Value,
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Result<(), Fault> {
        let change = self.list.take(known, started)?;
        change.into_iter().for_each(|change| self.tell(now, change));
        Ok(())
    }

    /// Discovery is followed from what the list has: at the start, and where its address has moved.
    pub fn follow(&mut self) {
        let from = self.list.version();
        let number = self.follower.number + 1;
        self.follower = Follower { number, asks_whole: from.is_none(), behind: None };
        self.outputs.push_back(Output::Follow { follower: number, from });
    }

    /// What a follower heard. The version from which it may go on; none if it is to ask for all of the list.
    pub fn object(
        &mut self,
        now: Duration,
        follower: u64,
        bytes: &[u8],
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Option<u64> {
        match self.list.read(bytes, started) {
            Ok(change) => change.into_iter().for_each(|change| self.tell(now, change)),
            Err(fault) => tracing::warn!(%fault, "an object of discovery can't be used: all is asked for"),
        }
        let known = self.list.version();
        if follower == self.follower.number {
            self.follower.asks_whole = known.is_none();
            self.follower.behind = self.list.is_behind().then(|| self.follower.behind.unwrap_or(now));
        } else if known.is_none() && !self.follower.asks_whole {
            // The present one watches from a version that has what was spoilt behind it.
            self.follow();
        }
        known
    }

    fn tell(&mut self, now: Duration, change: Change) {
        for why in &change.spoilt {
            tracing::warn!(%why, "an entry of discovery is spoilt and left out");
        }
        let before = self.names.len();
        self.names.extend(change.entries.iter().map(|entry| entry.id.clone()));
        self.outputs.extend((self.names.len() != before).then_some(Output::Names));
        let scope = if change.complete { RosterScope::Complete } else { RosterScope::Changes };
        self.governor.update_replicas(now, &change.entries, scope);
    }

    /// A connection says that it is a proxy's stream.
    pub fn joined(&mut self, now: Duration, connection: u64, joining: Joining) {
        let Joining { proxy, zone, usual, fresh } = joining;
        if let Some(Stream { connection: newest, .. }) = self.streams.get(&proxy).copied() {
            if newest > connection {
                // Its joining was held up while the proxy dialled anew.
                self.fault("late: a joining on a stream older than the proxy's");
                self.outputs.push_back(Output::Close { connection });
                return;
            }
            self.outputs.push_back(Output::Close { connection: newest });
        }
        self.streams.insert(proxy, Stream { connection, usual });
        self.outbox.joined(proxy);
        let connection =
            ProxyConnection { proxy, zone, requests_per_second: usual, holds_default_table: fresh };
        self.governor.proxy_connected(now, connection);
    }

    /// A connection that said it was this proxy's has ended.
    pub fn ended(&mut self, connection: u64, proxy: ProxyId) {
        if self.is_newest(connection, proxy) {
            self.leave(proxy);
        }
    }

    /// The proxy takes nothing of what is sent to it.
    pub fn unread(&mut self, connection: u64) {
        let mut streams = self.streams.iter();
        if let Some((&proxy, _)) = streams.find(|(_, stream)| stream.connection == connection) {
            tracing::warn!(proxy, "a proxy leaves its orders unread: its stream ends");
            self.leave(proxy);
        }
    }

    /// What comes on a proxy's stream.
    pub fn said(&mut self, now: Duration, connection: u64, proxy: ProxyId, message: Message) {
        if !self.is_newest(connection, proxy) {
            self.fault("late: said on a stream that ended or was replaced");
            return;
        }
        match message {
            Message::DemandStatistics(came) => self.governor.record_demand(now, came),
            Message::Acked { nonce, took, .. } => {
                if self.outbox.acked(now, proxy, nonce, took) {
                    self.governor.acknowledged(took);
                } else {
                    self.fault("spoilt: an answer to no nonce");
                }
            }
            _ => {}
        }
    }

    /// What a collector hands on, of whichever proxies.
    pub fn handed(&mut self, now: Duration, message: Message) {
        match message {
            Message::ReplicaStatistics(met) => self.governor.record_replica_statistics(now, met),
            Message::DemandStatistics(came) => self.governor.record_demand(now, came),
            _ => {}
        }
    }

    /// Lets the rules see what has become due, and has what they decide sent. `heard` tells when bytes last came
    /// on a connection, good or spoilt.
    pub fn pull(&mut self, now: Duration, heard: impl Fn(u64) -> Duration) {
        if now >= self.due {
            self.due = now + NEVER;
            self.governor.tick();
        }
        if now >= self.housekeeping {
            let late = now > self.housekeeping + HOUSEKEEPING;
            self.housekeeping = now + HOUSEKEEPING;
            self.keep_house(now, late, heard);
        }
        while let Some(decision) = self.governor.next_decision(now) {
            if let Some(Decision::ScheduleTick(after)) = self.outbox.take(decision) {
                self.due = now + after;
            }
        }
        let (streams, outputs) = (&self.streams, &mut self.outputs);
        self.outbox.flush(now, |proxy, bytes| {
            let stream = streams.get(&proxy);
            outputs.extend(stream.map(|stream| Output::Send { connection: stream.connection, bytes }));
        });
    }

    /// What the host is to do next.
    #[expect(clippy::should_implement_trait)] // it goes on after a `None`
    pub fn next(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When it wants to be pulled again, at the latest.
    pub fn due(&self) -> Duration {
        self.due.min(self.housekeeping)
    }

    /// Replicas by name, as the list has them or lately had them.
    pub fn names(&self) -> &BTreeSet<ReplicaId> {
        &self.names
    }

    /// The connection that is the proxy's stream.
    pub fn stream(&self, proxy: ProxyId) -> Option<u64> {
        self.streams.get(&proxy).map(|stream| stream.connection)
    }

    pub fn beliefs(&self) -> StateEstimate {
        self.governor.state_estimate()
    }

    /// What was left out, by reason, since this was last asked.
    pub fn faults(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.faults)
    }

    fn is_newest(&self, connection: u64, proxy: ProxyId) -> bool {
        self.stream(proxy) == Some(connection)
    }

    fn fault(&mut self, why: &'static str) {
        *self.faults.entry(why).or_insert(0) += 1;
    }

    fn leave(&mut self, proxy: ProxyId) {
        if let Some(Stream { connection, .. }) = self.streams.remove(&proxy) {
            self.outputs.push_back(Output::Close { connection });
        }
        self.outbox.left(proxy);
        self.governor.proxy_disconnected(proxy);
    }

    fn keep_house(&mut self, now: Duration, late: bool, heard: impl Fn(u64) -> Duration) {
        // A governor that stood still has heard of nobody: what waits is read before the next look.
        if !late {
            for proxy in self.silent(now, heard) {
                tracing::info!(proxy, "a proxy has fallen silent: its stream ends");
                self.leave(proxy);
            }
        }
        if self.follower.behind.is_some_and(|since| now.saturating_sub(since) > BEHIND_MOST) {
            tracing::warn!("discovery tells of older versions only: it is taken to count anew");
            self.list.renumber();
            self.follow();
        }
        let governor = &self.governor;
        self.outbox.retain(|id| governor.tracks(id));
        let before = self.names.len();
        self.names.retain(|id| governor.tracks(id));
        self.outputs.extend((self.names.len() != before).then_some(Output::Names));
    }

    /// Proxies that said nothing for as long as they would have had to say something, while others did.
    fn silent(&self, now: Duration, heard: impl Fn(u64) -> Duration) -> Vec<ProxyId> {
        let heard: Vec<(ProxyId, Stream, Duration)> =
            self.streams.iter().map(|(proxy, stream)| (*proxy, *stream, heard(stream.connection))).collect();
        let silence = |at: Duration| now.saturating_sub(at);
        let speaking = heard.iter().filter(|(.., at)| silence(*at) < ANSWER_WITHIN).count();
        if 2 * speaking < heard.len() {
            return Vec::new(); // whatever keeps them all from being heard, it is not each of them
        }
        let silent = heard.into_iter().filter(|(proxy, stream, at)| {
            let owed = self.outbox.owes_since(*proxy, *at).map(|sent| now.saturating_sub(sent));
            // Whether what it owes an answer to has left or is stuck on its way: nothing is heard either way.
            has_fallen_silent(silence(*at), owed, stream.usual, self.sums_every)
        });
        silent.map(|(proxy, ..)| proxy).collect()
    }
}

/// Whether a stream that was silent so long, and has owed an answer since, would have had to say something by
/// now. Sums come `every` so often, where there are any flows.
fn has_fallen_silent(silence: Duration, owed: Option<Duration>, usual: f64, every: Duration) -> bool {
    let due = ANSWER_WITHIN + 2 * every;
    let flows = silence.saturating_sub(due).as_secs_f64() * usual;
    owed.is_some_and(|owed| owed > due) || flows > FLOWS_MISSED
}
