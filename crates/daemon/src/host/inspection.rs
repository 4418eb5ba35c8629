//! Operators' queries about a proxy or a replica: tables, their versions and differences, refusals, recordings.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use wrenthread::types::{ProxyId, ReplicaId};
use wrenthread_core::fleet::Proxy;
use wrenthread_core::guard::Refusal;
use wrenthread_core::history::HistoryEntry;
use wrenthread_core::recording::Recording;
use wrenthread_core::table_versions;
use wrenthread_core::tables::ResolvedEntry;
use wrenthread_long_poll::messages::ClassUpdate;

use super::Host;
use crate::labels;

/// The maximum number of refusals that `why` lists.
const MAX_REFUSALS_LISTED: usize = 50;
/// The number of hexadecimal digits of a digest that the history shows.
const DIGEST_DIGITS_SHOWN: usize = 16;

/// Why a query about a proxy's versions fails.
#[derive(Debug, thiserror::Error)]
pub enum InspectionError {
    #[error("no proxy `{0}` is joined")]
    NotConnected(String),
    #[error("of `{proxy}` nothing as old as version {version} is kept")]
    VersionNotRetained { proxy: String, version: u64 },
}

/// The tables that one proxy should have.
#[derive(Debug, Serialize)]
pub struct ProxyTables {
    name: String,
    kind: &'static str,
    sent: u64,
    #[serde(rename = "acked")]
    acknowledged: u64,
    #[serde(rename = "standing")]
    default_table: Vec<DefaultTableEntry>,
    #[serde(rename = "groups")]
    classes: Vec<ClassTable>,
}

#[derive(Debug, Serialize)]
struct DefaultTableEntry {
    replica: String,
    weight: f64,
}

/// The table of a traffic class. `entries` is `None` while the proxy uses its default table.
#[derive(Debug, Serialize)]
struct ClassTable {
    #[serde(rename = "group")]
    class: String,
    version: Option<u64>,
    #[serde(rename = "level")]
    admission_fraction: Option<f64>,
    #[serde(rename = "lines")]
    entries: Option<Vec<TableEntry>>,
}

#[derive(Debug, Serialize)]
struct TableEntry {
    replica: String,
    address: String,
    zone: String,
    weight: f64,
    #[serde(rename = "open")]
    routable: bool,
}

/// The retained versions of a proxy's tables.
#[derive(Debug, Serialize)]
pub struct TableHistory {
    name: String,
    versions: Vec<VersionSummary>,
}

#[derive(Debug, Serialize)]
struct VersionSummary {
    version: u64,
    #[serde(rename = "age_s")]
    age_seconds: f64,
    #[serde(rename = "lines")]
    entries: usize,
    digest: String,
    #[serde(rename = "acked")]
    acknowledged: bool,
}

/// The differences between two versions of a proxy's tables.
#[derive(Debug, Serialize)]
pub struct TableDiff {
    name: String,
    from: u64,
    to: u64,
    #[serde(rename = "groups")]
    classes: BTreeMap<String, ClassUpdate>,
}

/// The guard's refusals that concern a proxy or a replica, newest first.
#[derive(Debug, Serialize)]
pub struct Refusals {
    name: String,
    #[serde(rename = "out")]
    ejection_reason: Option<&'static str>,
    #[serde(rename = "sent_per_s")]
    requests_per_second: Option<f64>,
    refusals: Vec<RefusalSummary>,
}

#[derive(Debug, Serialize)]
struct RefusalSummary {
    #[serde(rename = "age_s")]
    age_seconds: f64,
    #[serde(rename = "lasts_s")]
    lasting_seconds: f64,
    proxy: Option<String>,
    replica: Option<String>,
    #[serde(rename = "group")]
    class: Option<String>,
    #[serde(rename = "why")]
    reason: String,
    asked: f64,
    allowed: f64,
    #[serde(rename = "done")]
    outcome: &'static str,
}

impl Host {
    /// The tables that one proxy should have; `None` if it is not connected.
    pub fn tables(&self, name: &str) -> Option<ProxyTables> {
        let (proxy_id, proxy) = self.engine.fleet().named(name)?;
        let default_table = proxy.default_table.iter();
        let default_table = default_table
            .map(|(replica, weight)| DefaultTableEntry { replica: replica.to_string(), weight: *weight });
        Some(ProxyTables {
            name: name.to_string(),
            kind: self.table_kind(proxy_id, proxy),
            sent: proxy.sent_version,
            acknowledged: proxy.acknowledged_version,
            default_table: default_table.collect(),
            classes: self.class_tables(proxy),
        })
    }

    fn class_tables(&self, proxy: &Proxy) -> Vec<ClassTable> {
        let classes = self.wire.classes.iter().zip(&proxy.tables);
        let tables = classes.map(|(class, published)| {
            let published = published.as_ref();
            let entries = published.map(|published| published.table.entries.iter());
            ClassTable {
                class: class.name.clone(),
                version: published.map(|published| published.version),
                admission_fraction: published.map(|published| published.table.admission_fraction),
                entries: entries.map(|entries| entries.map(|entry| self.table_entry(entry)).collect()),
            }
        });
        tables.collect()
    }

    fn table_entry(&self, entry: &ResolvedEntry) -> TableEntry {
        TableEntry {
            replica: entry.replica.to_string(),
            address: entry.address.to_string(),
            zone: self.zone_name(entry.zone).to_string(),
            weight: entry.weight,
            routable: entry.routable,
        }
    }

    /// The refusals that concern a proxy or a replica, with the replica's load and ejection reason; `None` if neither
    /// has this name.
    pub fn refusals(&self, now: Duration, name: &str) -> Option<Refusals> {
        let proxy = self.engine.fleet().named(name).map(|(proxy_id, _)| proxy_id);
        let replica = self.engine.replicas().map(|(id, _)| id).find(|id| &***id == name);
        if proxy.is_none() && replica.is_none() {
            return None;
        }
        let guard = self.engine.guard();
        let newest_first = guard.refusals().rev();
        let concerning = newest_first.filter(|refusal| concerns(refusal, proxy, replica));
        Some(Refusals {
            name: name.to_string(),
            ejection_reason: replica.and_then(|replica| self.engine.ejection_reason(replica)),
            requests_per_second: replica.map(|replica| guard.expected_load(replica)),
            refusals: concerning
                .take(MAX_REFUSALS_LISTED)
                .map(|refusal| self.refusal_summary(now, refusal))
                .collect(),
        })
    }

    fn refusal_summary(&self, now: Duration, refusal: &Refusal) -> RefusalSummary {
        let proxy = refusal.proxy.and_then(|proxy_id| self.engine.proxy(proxy_id));
        RefusalSummary {
            age_seconds: now.saturating_sub(refusal.at).as_secs_f64(),
            lasting_seconds: refusal.at.saturating_sub(refusal.since).as_secs_f64(),
            proxy: proxy.map(|proxy| proxy.name.to_string()),
            replica: refusal.replica.as_ref().map(ToString::to_string),
            class: self.class_name(refusal.class),
            reason: refusal.reason.to_string(),
            asked: refusal.asked,
            allowed: refusal.allowed,
            outcome: labels::refusal_outcome(refusal.outcome),
        }
    }

    /// Records the present state, so that tables can be checked against it later. `unix_seconds` is the current time.
    pub fn record(&self, now: Duration, unix_seconds: f64) -> Recording {
        Recording {
            governor: self.wire.governor.clone(),
            taken_at: unix_seconds,
            zones: self.wire.zones.clone(),
            groups: self.session_parameters.classes.clone(),
            ..self.engine.record(now)
        }
    }

    /// The retained versions of a proxy's tables; `None` if it is not connected.
    pub fn history(&self, now: Duration, name: &str) -> Option<TableHistory> {
        let (proxy_id, proxy) = self.engine.fleet().named(name)?;
        let retained = self.engine.history().of(proxy_id);
        let versions = retained.map(|entry| VersionSummary {
            version: entry.version,
            age_seconds: now.saturating_sub(entry.published_at).as_secs_f64(),
            entries: entry.state.entry_count(),
            digest: table_versions::hex(&entry.digest)[..DIGEST_DIGITS_SHOWN].to_string(),
            acknowledged: entry.version <= proxy.acknowledged_version,
        });
        Some(TableHistory { name: name.to_string(), versions: versions.collect() })
    }

    /// The differences between two retained versions of a proxy's tables.
    ///
    /// # Errors
    /// The proxy is not connected, or a version is older than those retained.
    pub fn diff(&self, name: &str, from: u64, to: u64) -> Result<TableDiff, InspectionError> {
        let connected = self.engine.fleet().named(name);
        let (proxy_id, _) = connected.ok_or_else(|| InspectionError::NotConnected(name.to_string()))?;
        let (from, to) = (self.retained(name, proxy_id, from)?, self.retained(name, proxy_id, to)?);
        let delta = table_versions::delta(&from.state, from.digest, &to.state, to.digest);
        Ok(TableDiff {
            name: name.to_string(),
            from: from.version,
            to: to.version,
            classes: self.session_parameters.encode_delta(to.version, &delta).classes,
        })
    }

    fn retained(&self, name: &str, proxy: ProxyId, version: u64) -> Result<&HistoryEntry, InspectionError> {
        let entry = self.engine.history().as_of(proxy, version);
        entry.ok_or_else(|| InspectionError::VersionNotRetained { proxy: name.to_string(), version })
    }
}

/// Whether a refusal concerns the proxy or the replica.
fn concerns(refusal: &Refusal, proxy: Option<ProxyId>, replica: Option<&ReplicaId>) -> bool {
    let of_proxy = proxy.is_some() && refusal.proxy == proxy;
    let of_replica = replica.is_some() && refusal.replica.as_ref() == replica;
    of_proxy || of_replica
}
