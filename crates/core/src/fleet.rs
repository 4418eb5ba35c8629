//! Who is joined: names and numbers, streams, what each proxy holds, what it was sent and has not
//! acknowledged.
//!
//! Proxies come with names, the module knows numbers. A number stays with its name for as long as it can: the
//! module keeps what it last laid into a number's tables, so a proxy that comes back is sent only changes. It
//! goes to another name only once its holder has been away for [`REUSE_AFTER`], the longest away first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId, RetryPolicy, TableId};

use crate::tables::VersionedTable;

/// Numbers are 16 bits wide, and the module gives two tables to each proxy out of as many table numbers,
/// three of which are kept for other ends: a proxy numbered from here on would never get a table of its own.
pub const MOST_PROXIES: usize = (u16::MAX as usize - 2) / 2;
/// Reports and acknowledgements of the former holder are long over by then.
pub const REUSE_AFTER: Duration = Duration::from_secs(600);
/// So many takeovers of one name within [`CONTEST_OVER`] mean two proxies of one name, not a reconnect.
const CONTESTED: usize = 4;
const CONTEST_OVER: Duration = Duration::from_secs(10);
/// Marks beyond this many wait for a proxy that acknowledges nothing: the oldest are dropped.
const MOST_MARKS: usize = 16;

/// A front's stream. Numbers are given by the host and never used twice in a governor's life.
pub type StreamId = u64;

/// What a proxy says of itself when its stream opens.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinRequest {
    pub name: Arc<str>,
    pub zone: usize,
    /// Flows a second that it ordinarily receives.
    pub requests_per_second: f64,
    /// The lines of the standing table that it holds, if it names any.
    pub default_table: Vec<(ReplicaId, f64)>,
    /// It says that it holds tables of this or another governor besides.
    pub holds_governor_tables: bool,
    /// Its signed word of whose they are, if it has one.
    pub ownership_proof: Option<String>,
    /// The life and the version of this governor's that the word is proven to name.
    pub proven_version: Option<(u64, u64)>,
}

#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum JoinError {
    #[error(
        "{joined} proxies are joined, and no more numbers are free (at most {most}); join another governor"
    )]
    Full { joined: usize, most: usize },
    #[error(
        "streams under the name `{name}` replaced each other {times} times in {over:?}: two proxies have it; \
             give each its own node id"
    )]
    Contested { name: Arc<str>, times: usize, over: Duration },
    #[error("a proxy must come with a name (node id)")]
    Nameless,
}

/// Which kind of tables a proxy stands on; told to operators only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableKind {
    Standing,
    Own,
}

/// One joined proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub name: Arc<str>,
    pub stream: StreamId,
    pub zone: usize,
    pub joined_at: Duration,
    pub default_table: Vec<(ReplicaId, f64)>,
    pub holds_default_table: bool,
    /// By group: the table that it follows.
    pub assigned_tables: Vec<Option<TableId>>,
    /// By group: what it should hold, if the governor has anything to say about it.
    pub tables: Vec<Option<VersionedTable>>,
    /// By group, and the version of the last change.
    pub retry_policies: (u64, Vec<RetryPolicy>),
    pub sent_version: u64,
    pub acknowledged_version: u64,
    /// Version and words of the last table that the proxy would not take, until it takes a later one.
    pub rejected: Option<(u64, String)>,
    outstanding_acknowledgements: VecDeque<(u64, Duration)>,
}

impl Proxy {
    /// The version of the newest change to what this proxy should hold.
    pub fn newest(&self) -> u64 {
        self.tables.iter().flatten().map(|kept| kept.version).fold(self.retry_policies.0, u64::max)
    }

    pub fn kind(&self) -> TableKind {
        if self.assigned_tables.iter().any(Option::is_some) { TableKind::Own } else { TableKind::Standing }
    }

    /// Whether there is a word for it: tables, or that it stays on its standing one. Of a proxy that came
    /// with orders of its own, or with none that are known, nothing can be said before the module has spoken:
    /// "no table" would take away what it holds.
    pub fn has_known_tables(&self) -> bool {
        self.holds_default_table || self.tables.iter().any(Option::is_some)
    }

    /// A marked order of this version left at this time.
    pub fn request_acknowledgement(&mut self, version: u64, now: Duration) {
        if self.outstanding_acknowledgements.len() == MOST_MARKS {
            self.outstanding_acknowledgements.pop_front();
        }
        self.outstanding_acknowledgements.push_back((version, now));
    }

    /// How long the oldest marked order has waited for its acknowledgement.
    pub fn acknowledgement_delay(&self, now: Duration) -> Duration {
        self.outstanding_acknowledgements.front().map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at))
    }

    /// Marks that an acknowledgement of a version answers, by the time that they were ordered. An older
    /// acknowledgement than one heard before answers nothing.
    fn acknowledge(&mut self, version: u64) -> Vec<Duration> {
        self.acknowledged_version = self.acknowledged_version.max(version);
        let mut answered = Vec::new();
        while let Some((_, at)) =
            self.outstanding_acknowledgements.pop_front_if(|(marked, _)| *marked <= version)
        {
            answered.push(at);
        }
        answered
    }
}

/// Gives a number back to its name, or a free one, or none.
#[derive(Debug)]
pub struct ProxyIdAllocator {
    by_name: BTreeMap<Arc<str>, ProxyId>,
    /// Names that are away, by since when.
    release: BTreeSet<(Duration, Arc<str>)>,
    next: usize,
    capacity: usize,
}

impl ProxyIdAllocator {
    pub fn new(most: usize) -> Self {
        ProxyIdAllocator {
            by_name: BTreeMap::new(),
            release: BTreeSet::new(),
            next: 0,
            capacity: most.min(MOST_PROXIES),
        }
    }

    /// The second value is the name that loses the number.
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

    pub fn release(&mut self, now: Duration, name: &Arc<str>) {
        if self.by_name.contains_key(name) {
            self.release.insert((now, name.clone()));
        }
    }

    pub fn capacity(&self) -> usize {
        self.capacity
    }
}

#[derive(Debug)]
pub struct Fleet {
    proxies: BTreeMap<ProxyId, Proxy>,
    by_stream: BTreeMap<StreamId, ProxyId>,
    by_name: BTreeMap<Arc<str>, ProxyId>,
    proxy_ids: ProxyIdAllocator,
    /// By name: when streams under it were replaced while they were still up.
    contests: BTreeMap<Arc<str>, VecDeque<Duration>>,
}

/// A join that was let in.
#[derive(Debug, Clone, PartialEq)]
pub struct JoinOutcome {
    pub proxy: ProxyId,
    /// An older stream under the same name, which is over with this.
    pub replaced_stream: Option<StreamId>,
    /// Its number was another proxy's.
    pub id_reused: bool,
}

impl Fleet {
    /// `most` proxies at once; never more than [`MOST_PROXIES`].
    pub fn new(most: usize) -> Self {
        Fleet {
            proxies: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            by_name: BTreeMap::new(),
            proxy_ids: ProxyIdAllocator::new(most),
            contests: BTreeMap::new(),
        }
    }

    /// Lets a proxy in. The newest stream of a name is the true one: a proxy whose stream broke unnoticed
    /// comes back before its old one is known to be gone. Names that are taken over again and again are
    /// refused to the newcomer for a while, or two proxies of one name would throw each other out for ever.
    pub fn connect(
        &mut self,
        now: Duration,
        stream: StreamId,
        join: &JoinRequest,
        fresh: bool,
        groups: usize,
        tries: (u64, Vec<RetryPolicy>),
    ) -> Result<JoinOutcome, JoinError> {
        if join.name.is_empty() {
            return Err(JoinError::Nameless);
        }
        let held = self.by_name.get(&join.name).and_then(|number| self.proxies.get(number));
        let replaced = held.map(|held| held.stream);
        if replaced.is_some() {
            let times = self.contests.entry(join.name.clone()).or_default();
            while times.pop_front_if(|at| *at + CONTEST_OVER <= now).is_some() {}
            if times.len() >= CONTESTED {
                return Err(JoinError::Contested {
                    name: join.name.clone(),
                    times: times.len(),
                    over: CONTEST_OVER,
                });
            }
            times.push_back(now);
        }
        self.contests.retain(|_, times| times.back().is_some_and(|last| *last + CONTEST_OVER > now));
        let Some((number, former)) = self.proxy_ids.assign(now, &join.name) else {
            return Err(JoinError::Full { joined: self.proxies.len(), most: self.proxy_ids.capacity() });
        };
        if let Some(old) = replaced {
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
            holds_default_table: fresh,
            assigned_tables: vec![None; groups],
            tables: vec![None; groups],
            retry_policies: tries,
            sent_version: 0,
            acknowledged_version: 0,
            rejected: None,
            outstanding_acknowledgements: VecDeque::new(),
        };
        self.proxies.insert(number, proxy);
        Ok(JoinOutcome { proxy: number, replaced_stream: replaced, id_reused: former.is_some() })
    }

    /// A stream is over. None if a later one under the same name has taken its place.
    pub fn disconnect(&mut self, now: Duration, stream: StreamId) -> Option<ProxyId> {
        let number = self.by_stream.remove(&stream)?;
        let proxy = self.proxies.remove(&number)?;
        self.by_name.remove(&proxy.name);
        self.proxy_ids.release(now, &proxy.name);
        Some(number)
    }

    /// A proxy took all up to a version: the times at which the marks that this answers were ordered.
    pub fn acknowledge(&mut self, stream: StreamId, version: u64) -> Vec<Duration> {
        let Some(proxy) = self.proxy_on_stream_mut(stream) else { return Vec::new() };
        if proxy.rejected.as_ref().is_some_and(|(refused, _)| *refused <= version) {
            proxy.rejected = None;
        }
        proxy.acknowledge(version)
    }

    /// A proxy would not take a version. What it held before stands.
    pub fn reject(&mut self, stream: StreamId, version: u64, words: &str) {
        if let Some(proxy) = self.proxy_on_stream_mut(stream) {
            // The words are the proxy's, and might be of any length.
            proxy.rejected = Some((version, words.chars().take(500).collect()));
        }
    }

    pub fn get(&self, number: ProxyId) -> Option<&Proxy> {
        self.proxies.get(&number)
    }

    pub fn get_mut(&mut self, number: ProxyId) -> Option<&mut Proxy> {
        self.proxies.get_mut(&number)
    }

    pub fn number_of(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    pub fn named(&self, name: &str) -> Option<(ProxyId, &Proxy)> {
        let number = self.by_name.get(name)?;
        Some((*number, self.proxies.get(number)?))
    }

    pub fn iter(&self) -> impl Iterator<Item = (ProxyId, &Proxy)> {
        self.proxies.iter().map(|(number, proxy)| (*number, proxy))
    }

    pub fn proxy_ids(&self) -> Vec<ProxyId> {
        self.proxies.keys().copied().collect()
    }

    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    pub fn is_empty(&self) -> bool {
        self.proxies.is_empty()
    }

    fn proxy_on_stream_mut(&mut self, stream: StreamId) -> Option<&mut Proxy> {
        self.by_stream.get(&stream).and_then(|number| self.proxies.get_mut(number))
    }
}

#[cfg(test)]
mod tests;
