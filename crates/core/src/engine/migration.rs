//! Handover of proxies between governors: tables taken over from another governor, and the state passed on to
//! one. See `docs/design/takeover.md`.

use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ProxyId, ReplicaId};

use crate::fleet::TableKind;
use crate::frozen_tables::{self, FrozenTable};
use crate::history::HistoryEntry;
use crate::reports::LoadReport;
use crate::table_versions::PublishedState;

use super::Engine;
use super::recovery::MIGRATED_TABLE_TIMEOUT;

/// The state of a proxy at the governor that handed it over.
#[derive(Debug, Clone, PartialEq)]
pub struct MigratedProxy {
    /// The name of the other governor.
    pub from: Arc<str>,
    /// The state published to the proxy by that governor.
    pub state: PublishedState,
    /// When it was published, on the local clock.
    pub published_at: Duration,
    /// The proxy's last load report, if recent.
    pub report: Option<LoadReport>,
}

impl Engine {
    /// Takes over the tables of a newly connected proxy that another governor handed over. They apply, less
    /// what the rules forbid here, until the module decides for the proxy. Its last load report is counted as
    /// well.
    ///
    /// Returns the number of tables taken over: 0 if the module has already decided for the proxy, or if the
    /// proxy is on its default table.
    pub fn adopt_migrated_tables(&mut self, now: Duration, id: ProxyId, migrated: MigratedProxy) -> usize {
        let Some(proxy) = self.fleet.get(id) else { return 0 };
        if proxy.holds_default_table || proxy.kind() == TableKind::Assigned {
            return 0;
        }
        let zone = proxy.zone;
        let stream = proxy.stream;
        let reason: Arc<str> = format!("handed over by {}", migrated.from).into();
        let mut adopted = 0;
        for (class, table) in migrated.state.classes.into_iter().enumerate().take(self.class_count) {
            let Some(table) = table else { continue };
            let frozen = FrozenTable {
                version: self.version,
                published_at: migrated.published_at,
                table,
                since: now,
                until: now + MIGRATED_TABLE_TIMEOUT,
                reason: reason.clone(),
                migrated: true,
            };
            let current = self.current_table(id, class);
            let ejected = |id: &ReplicaId| self.tables.is_ejected(id);
            // A table frozen by an operator of this governor takes precedence.
            if !self.frozen_tables.contains_key(&(id, class))
                && frozen_tables::resolve(&frozen, &current, &self.roster, ejected).0.is_some()
            {
                self.frozen_tables.insert((id, class), frozen);
                adopted += 1;
            }
        }
        self.refresh(now, &[id]);
        if let Some(report) = migrated.report {
            let roster = &self.roster;
            let listed = |id: &ReplicaId| roster.get(id).is_some_and(|known| known.phase != Phase::Gone);
            // A discarded report is counted as such; the next report follows soon.
            let _ = self.reports.record(now, id, zone, stream, &report, listed);
        }
        adopted
    }

    /// The state to hand over with a proxy: its newest version, and its last report with the report's age.
    pub fn migration_state(
        &self,
        now: Duration,
        id: ProxyId,
    ) -> Option<(&HistoryEntry, Option<(Duration, &LoadReport)>)> {
        let newest = self.history.newest(id)?;
        let last = self.reports.last(id).map(|(at, report)| (now.saturating_sub(*at), report));
        Some((newest, last))
    }
}
