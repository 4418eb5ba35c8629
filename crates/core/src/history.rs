//! The last versions of what each proxy was told, within a bound on memory, to step back to and to make
//! deltas from.
//!
//! What is bounded is lines: each costs about as much as its names. Where the bound is met the oldest version
//! of all proxies goes first, so that a proxy that changes all the time does not push out the one version of
//! others before its own older ones; the newest of each joined proxy is never dropped, as it is what the
//! proxy holds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::ProxyId;

use crate::table_versions::{Digest, PublishedState};

/// One version of one proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct HistoryEntry {
    pub version: u64,
    pub published_at: Duration,
    pub digest: Digest,
    pub state: Arc<PublishedState>,
}

#[derive(Debug)]
pub struct History {
    by_proxy: BTreeMap<ProxyId, VecDeque<HistoryEntry>>,
    /// All but the newest of each proxy, oldest first.
    order: BTreeSet<(u64, ProxyId)>,
    max_versions: usize,
    max_entries: usize,
    entry_count: usize,
}

/// What a version costs besides its lines, in lines.
const HEAD: usize = 2;

fn cost(version: &HistoryEntry) -> usize {
    HEAD + version.state.entry_count()
}

impl History {
    /// The last `each` versions of a proxy, and `lines_most` lines in all.
    pub fn new(each: usize, lines_most: usize) -> Self {
        History {
            by_proxy: BTreeMap::new(),
            order: BTreeSet::new(),
            max_versions: each.max(1),
            max_entries: lines_most,
            entry_count: 0,
        }
    }

    /// A proxy is told something new. Versions grow.
    pub fn push(&mut self, proxy: ProxyId, version: HistoryEntry) {
        let kept = self.by_proxy.entry(proxy).or_default();
        if let Some(last) = kept.back() {
            if version.version <= last.version {
                return;
            }
            self.order.insert((last.version, proxy));
        }
        self.entry_count += cost(&version);
        kept.push_back(version);
        if kept.len() > self.max_versions {
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

    /// A version that a proxy says it holds, if it is kept and its content is what the proxy says.
    pub fn held(&self, proxy: ProxyId, version: u64, digest: &Digest) -> Option<&HistoryEntry> {
        let kept = self.by_proxy.get(&proxy)?;
        kept.iter().rev().find(|one| one.version == version && one.digest == *digest)
    }

    /// What a proxy was told as of a version: the newest one up to it.
    pub fn as_of(&self, proxy: ProxyId, version: u64) -> Option<&HistoryEntry> {
        self.by_proxy.get(&proxy)?.iter().rev().find(|one| one.version <= version)
    }

    /// Oldest first.
    pub fn of(&self, proxy: ProxyId) -> impl Iterator<Item = &HistoryEntry> {
        self.by_proxy.get(&proxy).into_iter().flatten()
    }

    pub fn forget(&mut self, proxy: ProxyId) {
        for version in self.by_proxy.remove(&proxy).into_iter().flatten() {
            self.entry_count -= cost(&version);
            self.order.remove(&(version.version, proxy));
        }
    }

    /// Lines kept in all.
    pub fn entry_count(&self) -> usize {
        self.entry_count
    }
}

#[cfg(test)]
mod tests;
