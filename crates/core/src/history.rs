//! The last published versions of each proxy, within a memory bound. They serve for rollbacks and as bases of
//! deltas.
//!
//! The bound is on table entries, whose size is mainly that of their names. When it is exceeded, the oldest
//! version of all proxies is dropped first, so that a proxy that changes often loses its own old versions
//! before the only versions of others. The newest version of each connected proxy is never dropped, as it is
//! the state that the proxy holds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ProxyId;

use crate::table_versions::{Digest, PublishedState};

/// A published version of a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct HistoryEntry {
    /// The version number.
    pub version: u64,
    /// When it was published.
    pub published_at: Duration,
    /// The digest of its state.
    pub digest: Digest,
    /// The state that the proxy should hold as of this version.
    pub state: Arc<PublishedState>,
}

/// The retained versions by proxy.
#[derive(Debug)]
pub struct History {
    by_proxy: BTreeMap<ProxyId, VecDeque<HistoryEntry>>,
    /// All versions but the newest of each proxy, oldest first.
    order: BTreeSet<(u64, ProxyId)>,
    max_versions: usize,
    max_entries: usize,
    entry_count: usize,
}

/// The cost of a version besides its entries, in entries.
const VERSION_OVERHEAD: usize = 2;

fn cost(version: &HistoryEntry) -> usize {
    VERSION_OVERHEAD + version.state.entry_count()
}

impl History {
    /// Retains at most `max_versions` versions per proxy, at a total cost of at most `max_entries` table
    /// entries, with `VERSION_OVERHEAD` for each version. The newest version of each proxy is always kept.
    pub fn new(max_versions: usize, max_entries: usize) -> Self {
        History {
            by_proxy: BTreeMap::new(),
            order: BTreeSet::new(),
            max_versions: max_versions.max(1),
            max_entries,
            entry_count: 0,
        }
    }

    /// Adds a version of a proxy. Versions increase; one that does not is ignored.
    pub fn push(&mut self, proxy: ProxyId, version: HistoryEntry) {
        let versions = self.by_proxy.entry(proxy).or_default();
        if let Some(last) = versions.back() {
            if version.version <= last.version {
                return;
            }
            self.order.insert((last.version, proxy));
        }
        self.entry_count += cost(&version);
        versions.push_back(version);
        if versions.len() > self.max_versions {
            self.drop_oldest_of(proxy);
        }
        while self.entry_count > self.max_entries {
            let Some((_, oldest)) = self.order.first().copied() else { break };
            self.drop_oldest_of(oldest);
        }
    }

    fn drop_oldest_of(&mut self, proxy: ProxyId) {
        let Some(dropped) = self.by_proxy.get_mut(&proxy).and_then(VecDeque::pop_front) else { return };
        self.entry_count -= cost(&dropped);
        self.order.remove(&(dropped.version, proxy));
    }

    /// The newest version of a proxy.
    pub fn newest(&self, proxy: ProxyId) -> Option<&HistoryEntry> {
        self.by_proxy.get(&proxy)?.back()
    }

    /// The version that a proxy reports to hold, if it is retained and has the reported digest.
    pub fn find(&self, proxy: ProxyId, version: u64, digest: &Digest) -> Option<&HistoryEntry> {
        let versions = self.by_proxy.get(&proxy)?;
        versions.iter().rev().find(|entry| entry.version == version && entry.digest == *digest)
    }

    /// The state of a proxy as of a version: the newest one up to it.
    pub fn as_of(&self, proxy: ProxyId, version: u64) -> Option<&HistoryEntry> {
        self.by_proxy.get(&proxy)?.iter().rev().find(|entry| entry.version <= version)
    }

    /// The retained versions of a proxy, oldest first.
    pub fn of(&self, proxy: ProxyId) -> impl Iterator<Item = &HistoryEntry> {
        self.by_proxy.get(&proxy).into_iter().flatten()
    }

    /// Drops all versions of a proxy.
    pub fn forget(&mut self, proxy: ProxyId) {
        for version in self.by_proxy.remove(&proxy).into_iter().flatten() {
            self.entry_count -= cost(&version);
            self.order.remove(&(version.version, proxy));
        }
    }

    /// The cost of the retained versions in table entries, with `VERSION_OVERHEAD` for each version.
    pub fn entry_count(&self) -> usize {
        self.entry_count
    }
}

#[cfg(test)]
mod tests;
