//! Inputs from the host: the roster, streams and their acknowledgements, load reports, health checks and
//! operators' overrides. Connecting proxies are handled in `joining`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Phase, ProxyId, ReplicaEntry, ReplicaId, RosterScope};

use crate::fleet::StreamId;
use crate::overrides::{Override, OverrideError, OverrideKind, Overrides};
use crate::reports::{DiscardReason, LoadReport};
use crate::roster::{RosterChange, RosterEntry};

use super::{Action, Cause, Engine, EngineEvent, MAX_REASON_LENGTH};

impl Engine {
    /// Processes a complete roster from its source.
    pub fn update_roster(&mut self, now: Duration, entries: Vec<RosterEntry>) {
        let active = self.backups.update(now, entries);
        self.apply_roster(now, active);
    }

    pub(super) fn apply_roster(&mut self, now: Duration, entries: Vec<RosterEntry>) {
        match self.roster.update(now, entries) {
            RosterChange::Same => {}
            RosterChange::Unconfirmed(until) => {
                self.pending_actions.push_back(Action::Report(EngineEvent::EmptyRosterUnconfirmed(until)));
            }
            RosterChange::Changed(listed) => self.roster_changed(now, &listed),
        }
    }

    pub(super) fn roster_changed(&mut self, now: Duration, listed: &[ReplicaEntry]) {
        self.governor.update_replicas(now, listed, RosterScope::Complete);
        self.apply_restored_replicas(now);
        let tables = &self.tables;
        let in_default_tables: BTreeSet<&ReplicaId> =
            self.fleet.iter().flat_map(|(_, proxy)| &proxy.default_table).map(|(id, _)| id).collect();
        self.roster.forget_gone(|id| tables.names_replica(id) || in_default_tables.contains(id));
        // Replicas may have new addresses under unchanged names.
        let everyone = self.fleet.proxy_ids();
        self.guard.roster_changed(&self.roster);
        self.refresh(now, &everyone);
        // Current tables may break rules under the new roster. They are checked again after the module's next
        // decisions.
        self.recheck_all = true;
        self.causes.insert(Cause::Roster);
    }

    /// A stream was closed. The proxy may be dead, or may go on serving with the tables that it holds.
    pub fn stream_closed(&mut self, now: Duration, stream: StreamId) {
        let Some(proxy) = self.fleet.disconnect(now, stream) else { return };
        self.send_limiter.forget(proxy);
        self.join_queue.retain(|join| join.proxy != proxy);
        self.frozen_tables.retain(|(of, _), frozen| *of != proxy || !frozen.migrated);
        self.governor.proxy_disconnected(proxy);
        self.guard.proxy_disconnected(proxy);
        self.causes.insert(Cause::ProxyDisconnected);
    }

    /// Processes a load report of the proxy with this name. Stream ids increase in the order of opening.
    ///
    /// # Errors
    /// The reason why the report was discarded; it is added to the count of discarded reports.
    pub fn record_report(
        &mut self,
        now: Duration,
        name: &str,
        stream: StreamId,
        report: &LoadReport,
    ) -> Result<(), DiscardReason> {
        let Some((id, proxy)) = self.fleet.named(name) else {
            return Err(self.reports.discard(DiscardReason::NotJoined));
        };
        let zone = proxy.zone;
        let roster = &self.roster;
        let listed = |id: &ReplicaId| roster.get(id).is_some_and(|known| known.phase != Phase::Gone);
        self.reports.record(now, id, zone, stream, report, listed)
    }

    /// The proxy on a stream acknowledged all versions up to this one.
    pub fn version_acknowledged(&mut self, stream: StreamId, version: u64) {
        let Some(id) = self.fleet.id_on_stream(stream) else { return };
        for request in self.fleet.acknowledge(stream, version) {
            self.governor.record_acknowledgement(request.number);
            self.causes.insert(Cause::Acknowledged);
        }
        if self.fleet.get(id).is_some_and(|proxy| proxy.acknowledged_version >= proxy.sent_version) {
            self.send_limiter.acknowledged(id);
        }
    }

    /// The proxy on a stream rejected a version with this reason. It keeps its last accepted tables and is
    /// sent nothing until they change.
    pub fn version_rejected(&mut self, stream: StreamId, version: u64, reason: &str) {
        let Some(id) = self.fleet.id_on_stream(stream) else { return };
        self.fleet.reject(stream, version, reason);
        self.send_limiter.acknowledged(id);
        if let Some(proxy) = self.fleet.get(id) {
            let reason = proxy.rejected.as_ref().map(|(_, reason)| reason.clone()).unwrap_or_default();
            self.pending_actions.push_back(Action::Report(EngineEvent::VersionRejected {
                proxy: proxy.name.clone(),
                version,
                reason,
            }));
        }
    }

    /// The proxy on a stream responded to everything that it was sent, with an acknowledgement or a
    /// rejection.
    pub fn clear_in_flight(&mut self, stream: StreamId) {
        if let Some(id) = self.fleet.id_on_stream(stream) {
            self.send_limiter.acknowledged(id);
        }
    }

    /// The proxy on a stream requests resources that it was not sent yet, with this number of table entries.
    pub fn resend_requested(&mut self, now: Duration, stream: StreamId, entries: usize) {
        if let Some(id) = self.fleet.id_on_stream(stream) {
            self.send_limiter.request(now, id, entries, true);
        }
    }

    /// A flush was written, as `entries` table entries in `messages` messages; both are 0 if there was
    /// nothing to send.
    pub fn tables_sent(&mut self, now: Duration, id: ProxyId, entries: usize, messages: usize) {
        self.offered_flush = None;
        if let Some(proxy) = self.fleet.get_mut(id).filter(|_| entries > 0) {
            proxy.sent_version = proxy.newest_version();
        }
        self.send_limiter.sent(now, id, entries, messages);
    }

    /// The proxy's stream has no capacity for a flush.
    pub fn stream_full(&mut self, id: ProxyId) {
        self.offered_flush = None;
        self.send_limiter.stream_full(id);
    }

    /// The proxy's stream has capacity again.
    pub fn stream_has_capacity(&mut self, stream: StreamId) {
        if let Some(id) = self.fleet.id_on_stream(stream) {
            self.send_limiter.stream_has_capacity(id);
        }
    }

    /// The result of a health check: its latency if the replica responded, and the load fields of the
    /// replica.
    pub fn health_checked(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        latency: Option<Duration>,
        load: &[f64],
    ) {
        self.governor.record_health_check(now, replica, latency, load);
        self.causes.insert(Cause::HealthChecked);
    }

    /// Changes the limit on aggregated report entries passed to the module per second.
    pub fn set_report_limit(&mut self, entries_per_second: f64) {
        self.reports.set_limit(entries_per_second);
    }

    /// Excludes a replica or scales its weight until a given time, on behalf of an operator.
    ///
    /// # Errors
    /// See [`OverrideError`]; on error nothing changes.
    pub fn override_replica(
        &mut self,
        now: Duration,
        replica: &ReplicaId,
        kind: OverrideKind,
        until: Duration,
        reason: &str,
    ) -> Result<(), OverrideError> {
        if self.roster.get(replica).is_none_or(|known| known.phase == Phase::Gone) {
            return Err(OverrideError::NoReplica(replica.clone()));
        }
        let reason = truncate_reason(reason);
        self.overrides.set(replica.clone(), Override { kind, since: now, until, reason })?;
        self.refresh(now, &self.fleet.proxy_ids());
        Ok(())
    }

    /// Ends an operator's override of a replica. Returns whether there was one.
    pub fn end_override(&mut self, now: Duration, replica: &str) -> bool {
        let ended = self.overrides.end(replica);
        self.refresh(now, &self.fleet.proxy_ids());
        ended
    }

    /// The overrides in force.
    pub fn overrides(&self) -> &Overrides {
        &self.overrides
    }
}

/// Truncates an operator's reason to the maximum length.
pub(super) fn truncate_reason(reason: &str) -> Arc<str> {
    reason.chars().take(MAX_REASON_LENGTH).collect::<String>().into()
}
