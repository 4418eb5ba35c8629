//! The output of `status`. Programs read the serialized field names.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use wrenthread::types::{Phase, ProxyId, ReplicaId};
use wrenthread_core::engine::Engine;
use wrenthread_core::fleet::{Proxy, TableKind};
use wrenthread_core::overrides::{Override, OverrideKind};
use wrenthread_core::roster::KnownReplica;
use wrenthread_long_poll::conversion::retry_policy_name;

use super::Host;

/// One governor with its proxies, replicas, frozen tables and overrides.
#[derive(Debug, Serialize)]
pub struct GovernorStatus {
    governor: GovernorSection,
    #[serde(rename = "groups")]
    classes: Vec<ClassStatus>,
    proxies: Vec<ProxyStatus>,
    replicas: Vec<ReplicaStatus>,
    #[serde(rename = "holds")]
    frozen_tables: Vec<FrozenTableStatus>,
    guard: GuardStatus,
    overrides: Vec<OverrideStatus>,
}

#[derive(Debug, Serialize)]
struct GovernorSection {
    name: String,
    #[serde(rename = "taken_over")]
    takeovers: u64,
    epoch: String,
    #[serde(rename = "up_s")]
    up_seconds: f64,
    ready: bool,
    version: u64,
    #[serde(rename = "joined")]
    connected_proxies: usize,
    #[serde(rename = "lobby")]
    queued_joins: usize,
    #[serde(rename = "lines_waiting")]
    queued_entries: usize,
    #[serde(rename = "lines_waited_most")]
    max_queued_entries: usize,
    #[serde(rename = "roster_doubted")]
    empty_roster_doubted: bool,
    reports: ReportsSection,
}

#[derive(Debug, Serialize)]
struct ReportsSection {
    counted: u64,
    #[serde(rename = "waiting")]
    queued: usize,
    /// Counts by reason.
    discarded: BTreeMap<String, u64>,
}

#[derive(Debug, Serialize)]
struct ClassStatus {
    name: String,
    #[serde(rename = "level")]
    admission_fraction: f64,
    #[serde(rename = "tries")]
    retry_policy: &'static str,
}

#[derive(Debug, Serialize)]
struct ProxyStatus {
    name: String,
    zone: String,
    kind: &'static str,
    newest: u64,
    sent: u64,
    #[serde(rename = "acked")]
    acknowledged: u64,
    #[serde(rename = "lag_s")]
    acknowledgement_delay_seconds: f64,
    #[serde(rename = "nacked")]
    rejected: Option<RejectedVersion>,
}

#[derive(Debug, Serialize)]
struct RejectedVersion {
    version: u64,
    #[serde(rename = "words")]
    reason: String,
}

#[derive(Debug, Serialize)]
struct ReplicaStatus {
    id: String,
    zone: String,
    weight: f64,
    address: String,
    state: &'static str,
    #[serde(rename = "why")]
    reason: Option<&'static str>,
    #[serde(rename = "up_s")]
    up_seconds: Option<f64>,
}

#[derive(Debug, Serialize)]
struct FrozenTableStatus {
    proxy: String,
    #[serde(rename = "group")]
    class: Option<String>,
    version: u64,
    #[serde(rename = "left_s")]
    remaining_seconds: f64,
    #[serde(rename = "why")]
    reason: String,
}

#[derive(Debug, Serialize)]
struct GuardStatus {
    passed: u64,
    /// Counts by reason.
    refused: BTreeMap<String, u64>,
    alarms: usize,
}

#[derive(Debug, Serialize)]
struct OverrideStatus {
    replica: String,
    /// The factor for its weights; 0 if it is excluded.
    weight: f64,
    #[serde(rename = "why")]
    reason: String,
    #[serde(rename = "left_s")]
    remaining_seconds: f64,
}

impl Host {
    /// The status of this governor. `up` is its uptime.
    pub fn status(&self, now: Duration, up: Duration) -> GovernorStatus {
        let engine = &self.engine;
        let proxies = engine.fleet().iter();
        let replicas = engine.replicas();
        let overrides = engine.overrides().iter();
        GovernorStatus {
            governor: self.governor_section(now, up),
            classes: self.class_statuses(),
            proxies: proxies.map(|(proxy_id, proxy)| self.proxy_status(now, proxy_id, proxy)).collect(),
            replicas: replicas.map(|(id, replica)| self.replica_status(now, id, replica)).collect(),
            frozen_tables: self.frozen_table_statuses(now),
            guard: guard_status(engine, now),
            overrides: overrides
                .map(|(replica, replica_override)| override_status(now, replica, replica_override))
                .collect(),
        }
    }

    fn governor_section(&self, now: Duration, up: Duration) -> GovernorSection {
        let status = self.engine.status(now);
        let (discarded, counted) = self.engine.reports();
        GovernorSection {
            name: self.wire.governor.clone(),
            takeovers: self.takeovers,
            epoch: format!("{:x}", self.wire.epoch),
            up_seconds: up.as_secs_f64(),
            ready: self.roster_received,
            version: status.version,
            connected_proxies: status.connected_proxies,
            queued_joins: status.queued_joins,
            queued_entries: status.queued_entries,
            max_queued_entries: status.max_queued_entries,
            empty_roster_doubted: status.empty_roster_unconfirmed,
            reports: ReportsSection {
                counted,
                queued: status.queued_reports,
                discarded: count_by_text(discarded),
            },
        }
    }

    fn class_statuses(&self) -> Vec<ClassStatus> {
        let admission = self.engine.admission().iter();
        let classes = self.wire.classes.iter().zip(admission);
        let status =
            |(class, (admission_fraction, retry_policy)): (&wrenthread_xds::TrafficClass, &(f64, _))| {
                ClassStatus {
                    name: class.name.clone(),
                    admission_fraction: *admission_fraction,
                    retry_policy: retry_policy_name(*retry_policy),
                }
            };
        classes.map(status).collect()
    }

    fn proxy_status(&self, now: Duration, proxy_id: ProxyId, proxy: &Proxy) -> ProxyStatus {
        let rejected = proxy.rejected.as_ref();
        ProxyStatus {
            name: proxy.name.to_string(),
            zone: self.zone_name(proxy.zone).to_string(),
            kind: self.table_kind(proxy_id, proxy),
            newest: proxy.newest_version(),
            sent: proxy.sent_version,
            acknowledged: proxy.acknowledged_version,
            acknowledgement_delay_seconds: proxy.acknowledgement_delay(now).as_secs_f64(),
            rejected: rejected
                .map(|(version, reason)| RejectedVersion { version: *version, reason: reason.clone() }),
        }
    }

    /// The kind of tables that a proxy uses: its own default (`standing`), its zone's (`default`), or one solved for it
    /// (`critical`).
    pub(super) fn table_kind(&self, proxy_id: ProxyId, proxy: &Proxy) -> &'static str {
        match proxy.kind() {
            TableKind::ProxyDefault => "standing",
            TableKind::Assigned if self.engine.is_critical(proxy_id) => "critical",
            TableKind::Assigned => "default",
        }
    }

    fn replica_status(&self, now: Duration, id: &ReplicaId, replica: &KnownReplica) -> ReplicaStatus {
        let reason = self.engine.ejection_reason(id);
        let state = match replica.phase {
            Phase::Gone => "gone",
            Phase::Draining => "draining",
            Phase::Ready if self.engine.is_ejected(id) => "withdrawn",
            Phase::Ready if reason.is_some() => "on trial",
            Phase::Ready => "open",
        };
        ReplicaStatus {
            id: id.to_string(),
            zone: self.zone_name(replica.zone).to_string(),
            weight: replica.weight,
            address: replica.address.to_string(),
            state,
            reason,
            up_seconds: replica.started_at.map(|at| now.saturating_sub(at).as_secs_f64()),
        }
    }

    fn frozen_table_statuses(&self, now: Duration) -> Vec<FrozenTableStatus> {
        let frozen = self.engine.frozen_tables();
        let statuses = frozen.map(|(proxy, class, table)| FrozenTableStatus {
            proxy: proxy.to_string(),
            class: self.class_name(class),
            version: table.version,
            remaining_seconds: table.until.saturating_sub(now).as_secs_f64(),
            reason: table.reason.to_string(),
        });
        statuses.collect()
    }
}

fn guard_status(engine: &Engine, now: Duration) -> GuardStatus {
    let (refused, passed) = engine.guard().counts();
    GuardStatus { passed, refused: count_by_text(refused), alarms: engine.guard().alarms(now) }
}

fn override_status(now: Duration, replica: &ReplicaId, replica_override: &Override) -> OverrideStatus {
    let weight = match replica_override.kind {
        OverrideKind::Exclude => 0.0,
        OverrideKind::Weight(factor) => factor,
    };
    OverrideStatus {
        replica: replica.to_string(),
        weight,
        reason: replica_override.reason.to_string(),
        remaining_seconds: replica_override.until.saturating_sub(now).as_secs_f64(),
    }
}

/// Replaces the keys of counts by their texts.
fn count_by_text<K: ToString>(counts: &BTreeMap<K, u64>) -> BTreeMap<String, u64> {
    counts.iter().map(|(key, count)| (key.to_string(), *count)).collect()
}
