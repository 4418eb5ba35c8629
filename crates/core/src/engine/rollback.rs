//! Tables that operators freeze at an earlier version, and their release. See `docs/design/versions.md`.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{ProxyId, ReplicaId};

use crate::frozen_tables::{self, FrozenTable, OmissionReason, ReleaseReason};

use super::inputs::truncate_reason;
use super::{Action, Engine, EngineEvent};

/// The tables that a rollback or a release applies to.
#[derive(Debug, Clone, PartialEq)]
pub enum TableScope {
    /// All tables of one proxy, by its name.
    Proxy(Arc<str>),
    /// The tables of one traffic class, of all proxies.
    Class(usize),
    /// All tables of all proxies.
    All,
}

/// The result of a rollback.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RollbackReport {
    /// The number of tables that were frozen.
    pub frozen: usize,
    /// Proxies for which the version is no longer retained, or that were on their default tables then.
    pub without: Vec<Arc<str>>,
    /// Entries of the frozen tables that are not published, by proxy and traffic class.
    pub omitted: Vec<(Arc<str>, usize, ReplicaId, OmissionReason)>,
    /// The number of tables that were not frozen because no usable entry is left of them.
    pub unfreezable: usize,
}

/// Why a rollback or a release was rejected.
///
/// The texts are part of responses and must not change.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RollbackError {
    /// No proxy of this name is connected.
    #[error("no proxy `{0}` is joined")]
    NoProxy(Arc<str>),
    /// The requested version is newer than the newest one.
    #[error("version {0} is not given out yet; the newest is {1}")]
    UnknownVersion(u64, u64),
    /// The history retains this version for none of the proxies.
    #[error("of version {0} nothing is kept for anyone concerned")]
    NotRetained(u64),
}

impl Engine {
    /// Freezes tables at an earlier version: until `until` these proxies hold the tables published to them as
    /// of that version, less what the rules forbid now. The module continues to decide, but its decisions for
    /// these tables are not published meanwhile.
    ///
    /// # Errors
    /// See [`RollbackError`]; on error nothing changes.
    pub fn rollback(
        &mut self,
        now: Duration,
        scope: &TableScope,
        version: u64,
        reason: &str,
        until: Duration,
    ) -> Result<RollbackReport, RollbackError> {
        if version > self.version {
            return Err(RollbackError::UnknownVersion(version, self.version));
        }
        let (proxies, classes) = self.resolve_scope(scope)?;
        let reason = truncate_reason(reason);
        let mut report = RollbackReport::default();
        let mut changed = Vec::new();
        for id in proxies {
            let Some(name) = self.fleet.get(id).map(|proxy| proxy.name.clone()) else { continue };
            let Some(past) = self.history.as_of(id, version).cloned() else {
                report.without.push(name);
                continue;
            };
            let mut had_tables = false;
            for class in classes.clone() {
                let Some(table) = past.state.classes.get(class).cloned().flatten() else { continue };
                had_tables = true;
                let frozen = FrozenTable {
                    version: past.version,
                    published_at: past.published_at,
                    table,
                    since: now,
                    until,
                    reason: reason.clone(),
                    migrated: false,
                };
                self.freeze(id, &name, class, frozen, &mut report);
            }
            if had_tables {
                changed.push(id);
            } else {
                report.without.push(name);
            }
        }
        if changed.is_empty() {
            return Err(RollbackError::NotRetained(version));
        }
        self.refresh(now, &changed);
        Ok(report)
    }

    fn freeze(
        &mut self,
        id: ProxyId,
        name: &Arc<str>,
        class: usize,
        frozen: FrozenTable,
        report: &mut RollbackReport,
    ) {
        let current = self.current_table(id, class);
        let ejected = |id: &ReplicaId| self.tables.is_ejected(id);
        let (table, omitted) = frozen_tables::resolve(&frozen, &current, &self.roster, ejected);
        if table.is_none() {
            report.unfreezable += 1;
            return;
        }
        let omitted = omitted.into_iter().map(|(replica, reason)| (name.clone(), class, replica, reason));
        report.omitted.extend(omitted);
        report.frozen += 1;
        if let Some(before) = self.frozen_tables.insert((id, class), frozen) {
            let event = EngineEvent::FrozenTableReleased {
                proxy: name.clone(),
                class,
                reason: ReleaseReason::Replaced(before.reason),
            };
            self.pending_actions.push_back(Action::Report(event));
        }
    }

    /// Releases frozen tables, so that the module's current tables are published again. Returns the number of
    /// released tables.
    ///
    /// # Errors
    /// [`RollbackError::NoProxy`].
    pub fn release(&mut self, now: Duration, scope: &TableScope) -> Result<usize, RollbackError> {
        let (proxies, classes) = self.resolve_scope(scope)?;
        let proxies: BTreeSet<ProxyId> = proxies.into_iter().collect();
        Ok(self.release_where(now, &ReleaseReason::Released, |(id, class), _| {
            proxies.contains(id) && classes.contains(class)
        }))
    }

    /// Releases expired frozen tables.
    pub(super) fn release_expired(&mut self, now: Duration) {
        if self.frozen_tables.values().any(|frozen| frozen.until <= now) {
            self.release_where(now, &ReleaseReason::Expired, |_, frozen| frozen.until <= now);
        }
    }

    fn release_where(
        &mut self,
        now: Duration,
        reason: &ReleaseReason,
        matches: impl Fn(&(ProxyId, usize), &FrozenTable) -> bool,
    ) -> usize {
        let released: Vec<(ProxyId, usize)> = self
            .frozen_tables
            .extract_if(.., |key, frozen| matches(key, frozen))
            .map(|(key, _)| key)
            .collect();
        for (id, class) in &released {
            let event = EngineEvent::FrozenTableReleased {
                proxy: self.name_of(*id),
                class: *class,
                reason: reason.clone(),
            };
            self.pending_actions.push_back(Action::Report(event));
        }
        let proxies: BTreeSet<ProxyId> = released.iter().map(|(id, _)| *id).collect();
        self.refresh(now, &proxies.into_iter().collect::<Vec<_>>());
        released.len()
    }

    /// The proxies and traffic classes of a scope.
    fn resolve_scope(&self, scope: &TableScope) -> Result<(Vec<ProxyId>, Range<usize>), RollbackError> {
        Ok(match scope {
            TableScope::All => (self.fleet.proxy_ids(), 0..self.class_count),
            TableScope::Class(class) => (self.fleet.proxy_ids(), *class..(class + 1).min(self.class_count)),
            TableScope::Proxy(name) => {
                let named = self.fleet.named(name);
                let (id, _) = named.ok_or_else(|| RollbackError::NoProxy(name.clone()))?;
                (vec![id], 0..self.class_count)
            }
        })
    }
}
