//! The stored types. Later and earlier releases read them: the serde attributes give the names in the store,
//! and `tests/stored_formats.rs` checks the bytes.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use wrenthread::types::RetryPolicy;

use crate::table_versions::{PublishedEntry, PublishedTable};
use crate::tables::{ResolvedEntry, Table};

/// Items by name. An unchanged item is shared with the previous snapshot.
pub type StoredItems = BTreeMap<String, Arc<StoredItem>>;

/// One item. Traffic classes and zones are indices into the lists of [`StoredItem::Names`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoredItem {
    /// The governor that the items belong to, and the names behind the indices.
    Names {
        /// The governor's name.
        governor: String,
        /// Names of the zones.
        zones: Vec<String>,
        /// Names of the traffic classes.
        groups: Vec<String>,
    },
    /// The time until which all items were current.
    Alive {
        /// Unix time in seconds.
        at: f64,
    },
    /// A proxy and what it holds.
    Proxy(StoredProxy),
    /// What is known of a replica.
    Replica(StoredReplica),
    /// Admission control of a traffic class.
    #[serde(rename = "Level")]
    Admission {
        /// The fraction of requests that is admitted.
        #[serde(rename = "level")]
        fraction: f64,
        /// Its retry policy.
        #[serde(rename = "tries")]
        retry_policy: StoredRetryPolicy,
    },
    /// An operator's override of a replica.
    Override {
        /// A factor for its weights; none if the replica is excluded.
        weight: Option<f64>,
        /// When the override ends, as Unix time in seconds.
        until: f64,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: Arc<str>,
    },
    /// A table that an operator froze.
    #[serde(rename = "Hold")]
    FrozenTable(StoredFrozenTable),
}

/// A table that an operator froze, by proxy and traffic class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Hold")]
pub struct StoredFrozenTable {
    /// The version that the table belongs to.
    pub version: u64,
    /// When that version was published, as Unix time in seconds.
    #[serde(rename = "told_at")]
    pub published_at: f64,
    /// When the freeze ends, as Unix time in seconds.
    pub until: f64,
    /// The operator's reason.
    #[serde(rename = "why")]
    pub reason: Arc<str>,
    /// Its entries.
    #[serde(rename = "lines")]
    pub entries: Vec<StoredFrozenEntry>,
    /// Admission fraction in millionths.
    #[serde(rename = "level")]
    pub admission_millionths: u32,
    /// Its retry policy.
    #[serde(rename = "tries")]
    pub retry_policy: StoredRetryPolicy,
}

/// One entry of a frozen table, stored as a tuple in this order.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredFrozenEntry {
    /// The replica's name.
    pub replica: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// Its zone.
    pub zone: usize,
    /// Its weight, at least 1.
    pub weight: u32,
}

impl Serialize for StoredFrozenEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.replica, &self.address, self.zone, self.weight).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StoredFrozenEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (replica, address, zone, weight) = Deserialize::deserialize(deserializer)?;
        Ok(StoredFrozenEntry { replica, address, zone, weight })
    }
}

impl StoredFrozenTable {
    /// The table as it was published.
    pub fn published(&self) -> PublishedTable {
        let entry = |entry: &StoredFrozenEntry| {
            let published =
                PublishedEntry { address: entry.address.clone(), zone: entry.zone, weight: entry.weight };
            (entry.replica.clone(), published)
        };
        PublishedTable {
            entries: self.entries.iter().map(entry).collect(),
            admission_millionths: self.admission_millionths,
            retry_policy: self.retry_policy.into(),
        }
    }
}

/// A proxy and what it holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Proxy")]
pub struct StoredProxy {
    /// Its zone.
    pub zone: usize,
    /// The epoch in which it was last sent tables.
    pub epoch: u64,
    /// The version of those tables.
    pub version: u64,
    /// Whether it was assigned a dedicated table.
    #[serde(rename = "own")]
    pub has_dedicated_table: bool,
    /// By traffic class; none where the proxy uses its default table.
    pub tables: Vec<Option<StoredTable>>,
    /// By traffic class.
    #[serde(rename = "tries")]
    pub retry_policies: Vec<StoredRetryPolicy>,
    /// By traffic class, rounded to powers of 1.1.
    #[serde(rename = "flows")]
    pub requests_per_second: Vec<f64>,
    /// How long it has not been connected, summed over restarts.
    #[serde(rename = "away")]
    pub absent_seconds: f64,
}

/// A table that a proxy held.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Held")]
pub struct StoredTable {
    /// The fraction of requests that is admitted.
    #[serde(rename = "level")]
    pub admission_fraction: f64,
    /// Its entries.
    #[serde(rename = "lines")]
    pub entries: Vec<StoredTableEntry>,
}

/// One entry of a table, stored as a tuple in this order.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredTableEntry {
    /// The replica's name.
    pub replica: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// Its zone.
    pub zone: usize,
    /// Its weight.
    pub weight: f64,
    /// Whether the replica could get requests.
    pub routable: bool,
}

impl Serialize for StoredTableEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.replica, &self.address, self.zone, self.weight, self.routable).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StoredTableEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (replica, address, zone, weight, routable) = Deserialize::deserialize(deserializer)?;
        Ok(StoredTableEntry { replica, address, zone, weight, routable })
    }
}

impl From<&Table> for StoredTable {
    fn from(table: &Table) -> Self {
        let entry = |entry: &ResolvedEntry| StoredTableEntry {
            replica: entry.replica.clone(),
            address: entry.address.clone(),
            zone: entry.zone,
            weight: entry.weight,
            routable: entry.routable,
        };
        StoredTable {
            admission_fraction: table.admission_fraction,
            entries: table.entries.iter().map(entry).collect(),
        }
    }
}

impl From<StoredTable> for Table {
    fn from(stored: StoredTable) -> Self {
        let entry = |entry: StoredTableEntry| ResolvedEntry {
            replica: entry.replica,
            address: entry.address,
            zone: entry.zone,
            weight: entry.weight,
            routable: entry.routable,
        };
        Table {
            entries: stored.entries.into_iter().map(entry).collect(),
            admission_fraction: stored.admission_fraction,
        }
    }
}

/// What is known of a replica.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Replica")]
pub struct StoredReplica {
    /// Whether the module had ejected it.
    #[serde(rename = "withdrawn")]
    pub ejected: bool,
    /// By zone: the recent peak throughput in requests per second, rounded to powers of 1.1.
    #[serde(rename = "seen")]
    pub throughput: Vec<(usize, f64)>,
}

/// [`RetryPolicy`] under its stored names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredRetryPolicy {
    /// As [`RetryPolicy::Never`].
    Never,
    /// As [`RetryPolicy::IfNotExecuted`].
    #[serde(rename = "IfNeverRan")]
    IfNotExecuted,
    /// As [`RetryPolicy::OnAnyFailure`].
    #[serde(rename = "Once")]
    OnAnyFailure,
}

impl From<RetryPolicy> for StoredRetryPolicy {
    fn from(policy: RetryPolicy) -> Self {
        match policy {
            RetryPolicy::Never => StoredRetryPolicy::Never,
            RetryPolicy::IfNotExecuted => StoredRetryPolicy::IfNotExecuted,
            RetryPolicy::OnAnyFailure => StoredRetryPolicy::OnAnyFailure,
        }
    }
}

impl From<StoredRetryPolicy> for RetryPolicy {
    fn from(policy: StoredRetryPolicy) -> Self {
        match policy {
            StoredRetryPolicy::Never => RetryPolicy::Never,
            StoredRetryPolicy::IfNotExecuted => RetryPolicy::IfNotExecuted,
            StoredRetryPolicy::OnAnyFailure => RetryPolicy::OnAnyFailure,
        }
    }
}
