//! The connected proxies: their names, ids and streams, the tables that each should hold, the versions that
//! were sent, and outstanding acknowledgements.
//!
//! Proxies identify themselves by name; the module uses numeric ids. An id stays with its name as long as
//! possible: the module retains the last content of an id's tables, so a proxy that reconnects is sent only
//! changes. An id is reassigned to another name only when its proxy has been away for [`REUSE_AFTER`], the
//! longest absent first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId, RetryPolicy, TableId};

use crate::tables::VersionedTable;

/// The maximum number of proxies. Ids have 16 bits. The module assigns two tables to each proxy, and table
/// ids have 16 bits as well, three of which are reserved; so a proxy with a higher id could never get a
/// dedicated table.
pub const MAX_PROXIES: usize = (u16::MAX as usize - 2) / 2;
/// How long a proxy must be away before its id may be reused. By then none of its reports and
/// acknowledgements can arrive any more.
pub const REUSE_AFTER: Duration = Duration::from_secs(600);
/// More replaced streams of one name than this within [`CONTEST_PERIOD`] mean that two proxies use the name,
/// not that one reconnects.
const MAX_REPLACED_STREAMS: usize = 4;
/// The time within which replaced streams are counted.
const CONTEST_PERIOD: Duration = Duration::from_secs(10);
/// The maximum number of outstanding acknowledgements of a proxy. If there are more, the proxy acknowledges
/// nothing and the oldest requests are dropped.
const MAX_OUTSTANDING_ACKNOWLEDGEMENTS: usize = 16;
/// The maximum length of a proxy's reason for a rejection in characters; proxies can send texts of any
/// length.
const MAX_REJECTION_LENGTH: usize = 500;

/// A stream of a front end. The host assigns the ids and never reuses one within a run of the governor.
pub type StreamId = u64;

/// The information that a proxy gives when it opens its stream.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinRequest {
    /// The name of the proxy (node id).
    pub name: Arc<str>,
    /// The index of its zone in the settings.
    pub zone: usize,
    /// Its usual number of requests per second.
    pub requests_per_second: f64,
    /// The replicas and weights of its default table; empty if it reports none.
    pub default_table: Vec<(ReplicaId, f64)>,
    /// Whether it reports that it holds tables of this or another governor besides.
    pub holds_governor_tables: bool,
    /// Its signed proof of which governor issued those tables, if it has one.
    pub ownership_proof: Option<String>,
    /// The epoch and version of this governor in the proof, if the proof is valid.
    pub proven_version: Option<(u64, u64)>,
}

/// Why a join was rejected.
///
/// The texts are part of responses and must not change.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum JoinError {
    /// No id is free.
    #[error(
        "{connected} proxies are joined, and no more numbers are free (at most {capacity}); join another governor"
    )]
    Full {
        /// The number of connected proxies.
        connected: usize,
        /// The maximum number of proxies.
        capacity: usize,
    },
    /// Two proxies seem to use the same name.
    #[error(
        "streams under the name `{name}` replaced each other {replacements} times in {period:?}: two proxies have it; \
             give each its own node id"
    )]
    Contested {
        /// The name.
        name: Arc<str>,
        /// How often its stream was replaced recently.
        replacements: usize,
        /// The time within which the replacements were counted.
        period: Duration,
    },
    /// The name is empty.
    #[error("a proxy must come with a name (node id)")]
    EmptyName,
}

/// The kind of table that a proxy uses, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableKind {
    /// The proxy's own default table.
    ProxyDefault,
    /// A table that the module has assigned to the proxy.
    Assigned,
}

/// One connected proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The name of the proxy (node id).
    pub name: Arc<str>,
    /// The id of its newest stream.
    pub stream: StreamId,
    /// The index of its zone in the settings.
    pub zone: usize,
    /// When its newest stream was opened.
    pub joined_at: Duration,
    /// Replicas and weights of its default table.
    pub default_table: Vec<(ReplicaId, f64)>,
    /// Whether it held only its default table when it connected.
    pub holds_default_table: bool,
    /// By traffic class: the table that the module has assigned to it.
    pub assigned_tables: Vec<Option<TableId>>,
    /// By traffic class: the table that it should hold, if the governor publishes one.
    pub tables: Vec<Option<VersionedTable>>,
    /// The retry policies by traffic class, with the version of their last change.
    pub retry_policies: (u64, Vec<RetryPolicy>),
    /// The newest version that was sent.
    pub sent_version: u64,
    /// The newest version that was acknowledged.
    pub acknowledged_version: u64,
    /// The last version that the proxy rejected and its reason, until it accepts that version or a later one.
    pub rejected: Option<(u64, String)>,
    outstanding_acknowledgements: VecDeque<AcknowledgementRequest>,
}

/// The module's request for an acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcknowledgementRequest {
    /// The version to be acknowledged.
    pub version: u64,
    /// The module's number for the request.
    pub number: u16,
    /// When the version was published.
    pub at: Duration,
}

impl Proxy {
    /// The version of the newest change to this proxy's tables or retry policies.
    pub fn newest_version(&self) -> u64 {
        self.tables.iter().flatten().map(|table| table.version).fold(self.retry_policies.0, u64::max)
    }

    /// The kind of table that it uses.
    pub fn kind(&self) -> TableKind {
        if self.assigned_tables.iter().any(Option::is_some) {
            TableKind::Assigned
        } else {
            TableKind::ProxyDefault
        }
    }

    /// Whether the tables that it should hold are known: published ones, or its default table. Nothing can be
    /// published to a proxy with unknown tables, or with tables of another governor, before the module has
    /// decided: an empty state would remove the tables that it holds.
    pub fn has_known_tables(&self) -> bool {
        self.holds_default_table || self.tables.iter().any(Option::is_some)
    }

    /// Records that the module requested an acknowledgement.
    pub fn request_acknowledgement(&mut self, request: AcknowledgementRequest) {
        if self.outstanding_acknowledgements.len() == MAX_OUTSTANDING_ACKNOWLEDGEMENTS {
            self.outstanding_acknowledgements.pop_front();
        }
        self.outstanding_acknowledgements.push_back(request);
    }

    /// How long the oldest requested acknowledgement has been outstanding.
    pub fn acknowledgement_delay(&self, now: Duration) -> Duration {
        let oldest = self.outstanding_acknowledgements.front();
        oldest.map_or(Duration::ZERO, |request| now.saturating_sub(request.at))
    }

    /// Records an acknowledgement. Returns the requests that it answers; an acknowledgement older than an
    /// earlier one answers none.
    fn acknowledge(&mut self, version: u64) -> Vec<AcknowledgementRequest> {
        self.acknowledged_version = self.acknowledged_version.max(version);
        let mut answered = Vec::new();
        while let Some(request) =
            self.outstanding_acknowledgements.pop_front_if(|request| request.version <= version)
        {
            answered.push(request);
        }
        answered
    }
}

/// Allocates ids for proxies.
#[derive(Debug)]
pub struct ProxyIdAllocator {
    by_name: BTreeMap<Arc<str>, ProxyId>,
    /// Names of disconnected proxies, ordered by the time of disconnection.
    release: BTreeSet<(Duration, Arc<str>)>,
    next: usize,
    capacity: usize,
}

impl ProxyIdAllocator {
    /// Allocates at most `capacity` ids, and never more than [`MAX_PROXIES`].
    pub fn new(capacity: usize) -> Self {
        ProxyIdAllocator {
            by_name: BTreeMap::new(),
            release: BTreeSet::new(),
            next: 0,
            capacity: capacity.min(MAX_PROXIES),
        }
    }

    /// Returns the id that belongs to the name, else an unused one, else the id of the proxy that has been
    /// away longest; in the last case the second value is the name that loses the id.
    pub fn assign(&mut self, now: Duration, name: &Arc<str>) -> Option<(ProxyId, Option<Arc<str>>)> {
        if let Some(id) = self.by_name.get(name) {
            self.release.retain(|(_, away)| away != name);
            return Some((*id, None));
        }
        if self.next < self.capacity {
            let id = self.next as ProxyId;
            self.next += 1;
            self.by_name.insert(name.clone(), id);
            return Some((id, None));
        }
        let (since, _) = self.release.first()?;
        if now < *since + REUSE_AFTER {
            return None;
        }
        let (_, previous_name) = self.release.pop_first()?;
        let id = self.by_name.remove(&previous_name)?;
        self.by_name.insert(name.clone(), id);
        Some((id, Some(previous_name)))
    }

    /// The proxy of this name has disconnected. It keeps its id while unused ids are left.
    pub fn release(&mut self, now: Duration, name: &Arc<str>) {
        if self.by_name.contains_key(name) {
            self.release.insert((now, name.clone()));
        }
    }

    /// The maximum number of ids.
    pub fn capacity(&self) -> usize {
        self.capacity
    }
}

/// The connected proxies, by id, stream and name.
#[derive(Debug)]
pub struct Fleet {
    proxies: BTreeMap<ProxyId, Proxy>,
    by_stream: BTreeMap<StreamId, ProxyId>,
    by_name: BTreeMap<Arc<str>, ProxyId>,
    ids: ProxyIdAllocator,
    /// By name: the times when a stream was replaced while still open.
    replaced_streams: BTreeMap<Arc<str>, VecDeque<Duration>>,
}

/// The result of an accepted join.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinOutcome {
    /// The id of the proxy.
    pub proxy: ProxyId,
    /// The older stream of the same name that this one replaces.
    pub replaced_stream: Option<StreamId>,
    /// Whether the id belonged to another proxy before.
    pub id_reused: bool,
}

impl Fleet {
    /// Allows `max_proxies` connected proxies, and never more than [`MAX_PROXIES`].
    pub fn new(max_proxies: usize) -> Self {
        Fleet {
            proxies: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            by_name: BTreeMap::new(),
            ids: ProxyIdAllocator::new(max_proxies),
            replaced_streams: BTreeMap::new(),
        }
    }

    /// Connects a proxy. The newest stream of a name counts, since a proxy whose stream broke reconnects
    /// before the old stream is detected as closed. If the streams of a name are replaced repeatedly, new
    /// ones are rejected for a while; otherwise two proxies of one name would disconnect each other forever.
    ///
    /// # Errors
    /// See [`JoinError`]; on error only the count of replaced streams changes.
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
            return Err(JoinError::EmptyName);
        }
        let connected = self.by_name.get(&join.name).and_then(|id| self.proxies.get(id));
        let replaced_stream = connected.map(|proxy| proxy.stream);
        if replaced_stream.is_some() {
            let times = self.replaced_streams.entry(join.name.clone()).or_default();
            while times.pop_front_if(|at| *at + CONTEST_PERIOD <= now).is_some() {}
            if times.len() >= MAX_REPLACED_STREAMS {
                return Err(JoinError::Contested {
                    name: join.name.clone(),
                    replacements: times.len(),
                    period: CONTEST_PERIOD,
                });
            }
            times.push_back(now);
        }
        self.replaced_streams
            .retain(|_, times| times.back().is_some_and(|last| *last + CONTEST_PERIOD > now));
        let Some((id, previous_name)) = self.ids.assign(now, &join.name) else {
            return Err(JoinError::Full { connected: self.proxies.len(), capacity: self.ids.capacity() });
        };
        if let Some(old) = replaced_stream {
            self.by_stream.remove(&old);
        }
        self.by_stream.insert(stream, id);
        self.by_name.insert(join.name.clone(), id);
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
        self.proxies.insert(id, proxy);
        Ok(JoinOutcome { proxy: id, replaced_stream, id_reused: previous_name.is_some() })
    }

    /// Removes a closed stream. Returns `None` if a newer stream of the same proxy has replaced it.
    pub fn disconnect(&mut self, now: Duration, stream: StreamId) -> Option<ProxyId> {
        let id = self.by_stream.remove(&stream)?;
        let proxy = self.proxies.remove(&id)?;
        self.by_name.remove(&proxy.name);
        self.ids.release(now, &proxy.name);
        Some(id)
    }

    /// A proxy acknowledged all versions up to this one. Returns the acknowledgement requests that this
    /// answers.
    pub fn acknowledge(&mut self, stream: StreamId, version: u64) -> Vec<AcknowledgementRequest> {
        let Some(proxy) = self.proxy_on_stream_mut(stream) else { return Vec::new() };
        if proxy.rejected.as_ref().is_some_and(|(rejected, _)| *rejected <= version) {
            proxy.rejected = None;
        }
        proxy.acknowledge(version)
    }

    /// A proxy rejected a version and keeps its earlier tables.
    pub fn reject(&mut self, stream: StreamId, version: u64, reason: &str) {
        if let Some(proxy) = self.proxy_on_stream_mut(stream) {
            proxy.rejected = Some((version, reason.chars().take(MAX_REJECTION_LENGTH).collect()));
        }
    }

    /// A connected proxy.
    pub fn get(&self, id: ProxyId) -> Option<&Proxy> {
        self.proxies.get(&id)
    }

    /// A connected proxy, mutable.
    pub fn get_mut(&mut self, id: ProxyId) -> Option<&mut Proxy> {
        self.proxies.get_mut(&id)
    }

    /// The id of the proxy on a stream.
    pub fn id_on_stream(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    /// The connected proxy of this name.
    pub fn named(&self, name: &str) -> Option<(ProxyId, &Proxy)> {
        let id = self.by_name.get(name)?;
        Some((*id, self.proxies.get(id)?))
    }

    /// All connected proxies, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (ProxyId, &Proxy)> {
        self.proxies.iter().map(|(id, proxy)| (*id, proxy))
    }

    /// The ids of all connected proxies.
    pub fn proxy_ids(&self) -> Vec<ProxyId> {
        self.proxies.keys().copied().collect()
    }

    /// The number of connected proxies.
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// Whether no proxy is connected.
    pub fn is_empty(&self) -> bool {
        self.proxies.is_empty()
    }

    fn proxy_on_stream_mut(&mut self, stream: StreamId) -> Option<&mut Proxy> {
        self.by_stream.get(&stream).and_then(|id| self.proxies.get_mut(id))
    }
}

#[cfg(test)]
mod tests;
