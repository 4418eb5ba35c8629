//! Which proxies are connected: names and numbers, streams, what each proxy holds, what it was sent and has not
//! acknowledged.
//!
//! Proxies come with names, the module knows numbers. A number stays with its name for as long as it can: the module
//! retains what it last put into a number's tables, so a proxy that reconnects is sent only changes. It goes to another
//! name only once its holder has been away for [`REUSE_AFTER`], the longest away first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId, RetryPolicy, TableId};

use crate::tables::VersionedTable;

/// Numbers are 16 bits wide, and the module gives two tables to each proxy out of as many table numbers,
/// three of which are reserved: a proxy numbered from here on would never get a dedicated table.
pub const MOST_PROXIES: usize = (u16::MAX as usize - 2) / 2;
/// Reports and acknowledgements of the former holder are long over by then.
pub const REUSE_AFTER: Duration = Duration::from_secs(600);
/// So many replaced streams of one name within [`CONTEST_PERIOD`] mean two proxies of one name, not a reconnect.
const MAX_REPLACED_STREAMS: usize = 4;
/// How long replaced streams are counted.
const CONTEST_PERIOD: Duration = Duration::from_secs(10);
/// Acknowledgement requests beyond this many are with a proxy that acknowledges nothing: the oldest are dropped.
const MAX_OUTSTANDING_ACKNOWLEDGEMENTS: usize = 16;
/// Characters that are kept of a proxy's reason for rejecting a version: it might be of any length.
const MAX_REJECTION_LENGTH: usize = 500;

/// A front's stream. Numbers are given by the host and never used twice in a governor's run.
pub type StreamId = u64;

/// What a proxy says of itself when its stream opens.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinRequest {
    /// Its name (node id).
    pub name: Arc<str>,
    /// Its place in the zones of the settings.
    pub zone: usize,
    /// Requests a second that it ordinarily receives.
    pub requests_per_second: f64,
    /// Replicas and weights of the default table that it holds, if it names any.
    pub default_table: Vec<(ReplicaId, f64)>,
    /// It says that it holds tables of this or another governor besides.
    pub holds_governor_tables: bool,
    /// Its signed proof of whose they are, if it has one.
    pub ownership_proof: Option<String>,
    /// The epoch and the version of this governor's that the proof names, if it is valid.
    pub proven_version: Option<(u64, u64)>,
}

/// Why a proxy may not connect.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum JoinError {
    /// All numbers are taken.
    #[error(
        "{joined} proxies are joined, and no more numbers are free (at most {most}); join another governor"
    )]
    Full {
        /// Proxies that are connected.
        joined: usize,
        /// Proxies that may be.
        most: usize,
    },
    /// Two proxies seem to have the same name.
    #[error(
        "streams under the name `{name}` replaced each other {times} times in {over:?}: two proxies have it; \
             give each its own node id"
    )]
    Contested {
        /// The name.
        name: Arc<str>,
        /// How often its stream was replaced lately.
        times: usize,
        /// Within how long.
        over: Duration,
    },
    /// It gave no name.
    #[error("a proxy must come with a name (node id)")]
    Nameless,
}

/// Which kind of table a proxy is on, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableKind {
    /// Its own default table.
    Standing,
    /// A dedicated table of the module's.
    Own,
}

/// One connected proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Its name (node id).
    pub name: Arc<str>,
    /// Its newest stream.
    pub stream: StreamId,
    /// Its place in the zones of the settings.
    pub zone: usize,
    /// When that stream opened.
    pub joined_at: Duration,
    /// Replicas and weights of its default table.
    pub default_table: Vec<(ReplicaId, f64)>,
    /// Whether it held nothing but that when it connected.
    pub holds_default_table: bool,
    /// By traffic class: the table that the module assigned to it.
    pub assigned_tables: Vec<Option<TableId>>,
    /// By traffic class: what it should hold, if the governor publishes anything for it.
    pub tables: Vec<Option<VersionedTable>>,
    /// The version of the last change, and the policies by traffic class.
    pub retry_policies: (u64, Vec<RetryPolicy>),
    /// The newest version that was sent.
    pub sent_version: u64,
    /// The newest version that was acknowledged.
    pub acknowledged_version: u64,
    /// The version that the proxy rejected last and its reason, until it accepts that or a later one.
    pub rejected: Option<(u64, String)>,
    outstanding_acknowledgements: VecDeque<(u64, Duration)>,
}

impl Proxy {
    /// The version of the newest change to what this proxy should hold.
    pub fn newest(&self) -> u64 {
        self.tables.iter().flatten().map(|table| table.version).fold(self.retry_policies.0, u64::max)
    }

    /// Which kind of table it is on.
    pub fn kind(&self) -> TableKind {
        if self.assigned_tables.iter().any(Option::is_some) { TableKind::Own } else { TableKind::Standing }
    }

    /// Whether it is known what it should hold: tables, or its default table. For a proxy that came with tables of
    /// its own, or with none that are known, nothing can be published before the module has decided: "no table"
    /// would take away what it holds.
    pub fn has_known_tables(&self) -> bool {
        self.holds_default_table || self.tables.iter().any(Option::is_some)
    }

    /// The module wants the acknowledgement of this version, which was published now.
    pub fn request_acknowledgement(&mut self, version: u64, now: Duration) {
        if self.outstanding_acknowledgements.len() == MAX_OUTSTANDING_ACKNOWLEDGEMENTS {
            self.outstanding_acknowledgements.pop_front();
        }
        self.outstanding_acknowledgements.push_back((version, now));
    }

    /// How long the oldest acknowledgement that the module wants has been outstanding.
    pub fn acknowledgement_delay(&self, now: Duration) -> Duration {
        self.outstanding_acknowledgements.front().map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }

    /// When the acknowledgement requests were made that an acknowledgement of a version answers. An older
    /// acknowledgement than one before answers nothing.
    fn acknowledge(&mut self, version: u64) -> Vec<Duration> {
        self.acknowledged_version = self.acknowledged_version.max(version);
        let mut answered = Vec::new();
        while let Some((_, at)) =
            self.outstanding_acknowledgements.pop_front_if(|(requested, _)| *requested <= version)
        {
            answered.push(at);
        }
        answered
    }
}

/// Assigns proxies their numbers.
#[derive(Debug)]
pub struct ProxyIdAllocator {
    by_name: BTreeMap<Arc<str>, ProxyId>,
    /// Names that are away, by since when.
    release: BTreeSet<(Duration, Arc<str>)>,
    next: usize,
    capacity: usize,
}

impl ProxyIdAllocator {
    /// At most `capacity` numbers; never more than [`MOST_PROXIES`].
    pub fn new(capacity: usize) -> Self {
        ProxyIdAllocator {
            by_name: BTreeMap::new(),
            release: BTreeSet::new(),
            next: 0,
            capacity: capacity.min(MOST_PROXIES),
        }
    }

    /// A name's own number, or a free one, or one whose holder has been away for long: then the second value is the
    /// name that loses it.
    pub fn assign(&mut self, now: Duration, name: &Arc<str>) -> Option<(ProxyId, Option<Arc<str>>)> {
        if let Some(number) = self.by_name.get(name) {
            self.release.retain(|(_, away)| away != name);
            return Some((*number, None));
        }
        if self.next < self.capacity {
            let number = self.next as ProxyId;
            self.next += 1;
            self.by_name.insert(name.clone(), number);
            return Some((number, None));
        }
        let (since, _) = self.release.first()?;
        if now < *since + REUSE_AFTER {
            return None;
        }
        let (_, former) = self.release.pop_first()?;
        let number = self.by_name.remove(&former)?;
        self.by_name.insert(name.clone(), number);
        Some((number, Some(former)))
    }

    /// The holder of a number has disconnected. The number stays with its name as long as others are free.
    pub fn release(&mut self, now: Duration, name: &Arc<str>) {
        if self.by_name.contains_key(name) {
            self.release.insert((now, name.clone()));
        }
    }

    /// Numbers in all.
    pub fn capacity(&self) -> usize {
        self.capacity
    }
}

/// Connected proxies, by number, stream and name.
#[derive(Debug)]
pub struct Fleet {
    proxies: BTreeMap<ProxyId, Proxy>,
    by_stream: BTreeMap<StreamId, ProxyId>,
    by_name: BTreeMap<Arc<str>, ProxyId>,
    ids: ProxyIdAllocator,
    /// By name: when its streams were replaced while they were still up.
    replaced_streams: BTreeMap<Arc<str>, VecDeque<Duration>>,
}

/// A proxy that was let in.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinOutcome {
    /// Its number.
    pub proxy: ProxyId,
    /// An older stream under the same name, which is over with this.
    pub replaced_stream: Option<StreamId>,
    /// Its number was another proxy's.
    pub id_reused: bool,
}

impl Fleet {
    /// `max_proxies` at once; never more than [`MOST_PROXIES`].
    pub fn new(max_proxies: usize) -> Self {
        Fleet {
            proxies: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            by_name: BTreeMap::new(),
            ids: ProxyIdAllocator::new(max_proxies),
            replaced_streams: BTreeMap::new(),
        }
    }

    /// Lets a proxy in. The newest stream of a name is the true one: a proxy whose stream broke unnoticed reconnects
    /// before its old one is known to be gone. A newcomer under a name whose streams are replaced again and again is
    /// rejected for a while, or two proxies of one name would throw each other out for ever.
    ///
    /// # Errors
    /// As [`JoinError`]; nothing but the count of replaced streams is changed then.
    pub fn connect(
        &mut self,
        now: Duration,
        stream: StreamId,
        join: &JoinRequest,
        holds_default_table: bool,
        class_count: usize,
        retry_policies: (u64, Vec<RetryPolicy>),
    ) -> Result<JoinOutcome, JoinError> {
        if join.name.is_empty() {
            return Err(JoinError::Nameless);
        }
        let connected = self.by_name.get(&join.name).and_then(|id| self.proxies.get(id));
        let replaced_stream = connected.map(|proxy| proxy.stream);
        if replaced_stream.is_some() {
            let times = self.replaced_streams.entry(join.name.clone()).or_default();
            while times.pop_front_if(|at| *at + CONTEST_PERIOD <= now).is_some() {}
            if times.len() >= MAX_REPLACED_STREAMS {
                return Err(JoinError::Contested {
                    name: join.name.clone(),
                    times: times.len(),
                    over: CONTEST_PERIOD,
                });
            }
            times.push_back(now);
        }
        self.replaced_streams
            .retain(|_, times| times.back().is_some_and(|last| *last + CONTEST_PERIOD > now));
        let Some((number, former)) = self.ids.assign(now, &join.name) else {
            return Err(JoinError::Full { joined: self.proxies.len(), most: self.ids.capacity() });
        };
        if let Some(old) = replaced_stream {
            self.by_stream.remove(&old);
        }
        self.by_stream.insert(stream, number);
        self.by_name.insert(join.name.clone(), number);
        let proxy = Proxy {
            name: join.name.clone(),
            stream,
            zone: join.zone,
            joined_at: now,
            default_table: join.default_table.clone(),
            holds_default_table,
            assigned_tables: vec![None; class_count],
            tables: vec![None; class_count],
            retry_policies,
            sent_version: 0,
            acknowledged_version: 0,
            rejected: None,
            outstanding_acknowledgements: VecDeque::new(),
        };
        self.proxies.insert(number, proxy);
        Ok(JoinOutcome { proxy: number, replaced_stream, id_reused: former.is_some() })
    }

    /// A stream is over. None if a later one under the same name has taken its place.
    pub fn disconnect(&mut self, now: Duration, stream: StreamId) -> Option<ProxyId> {
        let number = self.by_stream.remove(&stream)?;
        let proxy = self.proxies.remove(&number)?;
        self.by_name.remove(&proxy.name);
        self.ids.release(now, &proxy.name);
        Some(number)
    }

    /// A proxy accepted everything up to a version: when the acknowledgement requests were made that this answers.
    pub fn acknowledge(&mut self, stream: StreamId, version: u64) -> Vec<Duration> {
        let Some(proxy) = self.proxy_on_stream_mut(stream) else { return Vec::new() };
        if proxy.rejected.as_ref().is_some_and(|(rejected, _)| *rejected <= version) {
            proxy.rejected = None;
        }
        proxy.acknowledge(version)
    }

    /// A proxy rejected a version. What it held before stands.
    pub fn reject(&mut self, stream: StreamId, version: u64, words: &str) {
        if let Some(proxy) = self.proxy_on_stream_mut(stream) {
            proxy.rejected = Some((version, words.chars().take(MAX_REJECTION_LENGTH).collect()));
        }
    }

    /// A connected proxy.
    pub fn get(&self, number: ProxyId) -> Option<&Proxy> {
        self.proxies.get(&number)
    }

    /// A connected proxy, to change.
    pub fn get_mut(&mut self, number: ProxyId) -> Option<&mut Proxy> {
        self.proxies.get_mut(&number)
    }

    /// The number of the proxy on a stream.
    pub fn number_of(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    /// The connected proxy of a name.
    pub fn named(&self, name: &str) -> Option<(ProxyId, &Proxy)> {
        let number = self.by_name.get(name)?;
        Some((*number, self.proxies.get(number)?))
    }

    /// All connected proxies, by number.
    pub fn iter(&self) -> impl Iterator<Item = (ProxyId, &Proxy)> {
        self.proxies.iter().map(|(number, proxy)| (*number, proxy))
    }

    /// Numbers of all connected proxies.
    pub fn proxy_ids(&self) -> Vec<ProxyId> {
        self.proxies.keys().copied().collect()
    }

    /// Proxies that are connected.
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.proxies.is_empty()
    }

    fn proxy_on_stream_mut(&mut self, stream: StreamId) -> Option<&mut Proxy> {
        self.by_stream.get(&stream).and_then(|number| self.proxies.get_mut(number))
    }
}

#[cfg(test)]
mod tests;
