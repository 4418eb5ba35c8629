//! Connecting proxies, and the queue of those that wait for channel capacity before they are passed to the
//! module.

use std::time::Duration;

use wrenthread::types::{HeldTables, Phase, ProxyConnection, ProxyId, ReplicaId};

use crate::fleet::{JoinError, JoinOutcome, JoinRequest, StreamId};
use crate::frozen_tables::{FrozenTable, ReleaseReason};

use super::{Action, Cause, Engine, EngineEvent};

/// If a zone has fewer ready replicas than this, the default tables of its proxies may name replicas of other
/// zones.
const MIN_REPLICAS_IN_ZONE: usize = 3;

/// A proxy in the join queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedJoin {
    pub(super) proxy: ProxyId,
    /// Its usual request rate.
    pub(super) requests_per_second: f64,
}

impl Engine {
    /// A proxy opened a stream.
    ///
    /// The proxy counts as holding only its default table if it says so, has no tables of a governor, and
    /// every entry of the table could be sampled from the current roster: ready, and in the proxy's zone
    /// unless that has fewer than three ready replicas. The module takes a default table for such a sample. A
    /// table that names draining or gone replicas counts as unknown, and the module assigns new tables at
    /// once.
    ///
    /// # Errors
    /// See [`JoinError`]; a rejected join changes nothing.
    pub fn proxy_connected(
        &mut self,
        now: Duration,
        stream: StreamId,
        join: &JoinRequest,
    ) -> Result<JoinOutcome, JoinError> {
        let without_governor_tables = !join.holds_governor_tables && join.ownership_proof.is_none();
        // The proxy proved the version that it was sent before the restart, so its tables are known.
        let restored = self.restored.proxies.remove(&join.name).filter(|known| {
            join.proven_version == Some((known.epoch, known.version)) && known.zone == join.zone
        });
        let was_on_default_table = restored.as_ref().is_some_and(|known| !known.has_dedicated_table);
        let holds_default_table = (without_governor_tables || was_on_default_table)
            && !join.default_table.is_empty()
            && join.default_table.iter().all(|entry| self.could_be_sampled(join.zone, entry));
        // A join gets a new version, because the id's earlier tables belong to another state.
        let retry_policies = (self.version + 1, self.tables.retry_policies());
        let joined =
            self.fleet.connect(now, stream, join, holds_default_table, self.class_count, retry_policies)?;
        self.version += 1;
        self.forget_previous(&joined, join);

        let requests_per_second = self.ordinary_demand(join, restored.as_ref());
        self.guard.proxy_connected(joined.proxy, requests_per_second, &join.default_table);
        if let Some(known) = restored {
            self.resume_proxy(now, joined.proxy, known);
        }
        self.refreeze(now, joined.proxy, join);
        // From now on ejections and admission fractions apply to the proxy, on any kind of table.
        self.refresh(now, &[joined.proxy]);
        self.store_version(now, joined.proxy);
        self.join_queue.push_back(QueuedJoin { proxy: joined.proxy, requests_per_second });
        self.causes.insert(Cause::ProxyConnected);
        Ok(joined)
    }

    fn could_be_sampled(&self, zone: usize, (id, weight): &(ReplicaId, f64)) -> bool {
        let ready = self.roster.get(id).filter(|known| known.phase == Phase::Ready);
        let zone_allowed = ready
            .is_some_and(|known| known.zone == zone || self.roster.ready_count(zone) < MIN_REPLICAS_IN_ZONE);
        zone_allowed && *weight > 0.0
    }

    /// Drops the state of the replaced stream, or of the proxy that had the reused id.
    fn forget_previous(&mut self, joined: &JoinOutcome, join: &JoinRequest) {
        let id = joined.proxy;
        if joined.id_reused {
            self.reports.forget(id);
            self.history.forget(id);
            let dropped = self.frozen_tables.extract_if(.., |(proxy, _), _| *proxy == id);
            let released = dropped.map(|((_, class), _)| EngineEvent::FrozenTableReleased {
                proxy: join.name.clone(),
                class,
                reason: ReleaseReason::ProxyIdReused,
            });
            self.pending_actions.extend(released.map(Action::Report));
        }
        self.send_limiter.forget(id);
        self.join_queue.retain(|waiting| waiting.proxy != id);
        if joined.replaced_stream.is_some() {
            self.governor.proxy_disconnected(id);
        }
        self.pending_actions.extend(joined.replaced_stream.map(Action::CloseStream));
        self.guard.proxy_disconnected(id);
    }

    /// Restores the tables that operators froze before a restart.
    fn refreeze(&mut self, now: Duration, proxy: ProxyId, join: &JoinRequest) {
        for class in 0..self.class_count {
            let Some(restored) = self.awaited_frozen_tables.remove(&(join.name.clone(), class)) else {
                continue;
            };
            let frozen = FrozenTable {
                version: restored.stored.version,
                published_at: restored.published_at,
                table: restored.stored.published(),
                since: now,
                until: restored.until,
                reason: restored.stored.reason,
                migrated: false,
            };
            self.frozen_tables.insert((proxy, class), frozen);
        }
    }

    /// Passes queued proxies to the module while the channel has capacity for their tables.
    pub(super) fn drain_join_queue(&mut self, now: Duration) {
        let queued_before = self.join_queue.len();
        while let Some(join) = self.join_queue.front().copied() {
            // Admits one proxy at a time even if the channel never has capacity; otherwise none would ever be
            // admitted.
            let fits = self.send_limiter.has_capacity(self.reserved_entries + self.join_cost_entries);
            if !fits && (self.reserved_entries > 0.0 || self.send_limiter.queued_entries(now) > 0) {
                break;
            }
            self.join_queue.pop_front();
            let Some(proxy) = self.fleet.get(join.proxy) else { continue };
            let held_tables =
                if proxy.holds_default_table { HeldTables::CheckedDefault } else { HeldTables::Unknown };
            let connection = ProxyConnection {
                proxy: join.proxy,
                zone: proxy.zone,
                requests_per_second: join.requests_per_second,
                held_tables,
            };
            self.governor.proxy_connected(now, connection);
            self.reserved_entries += self.join_cost_entries;
            self.causes.insert(Cause::ProxyConnected);
        }
        let queued = self.join_queue.len();
        if queued > 0 && queued != queued_before {
            self.pending_actions.push_back(Action::Report(EngineEvent::JoinsQueued(queued)));
        }
    }
}
