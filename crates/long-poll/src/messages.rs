//! The messages, as JSON or CBOR. Their names on the wire, and the OpenAPI document that is made of these types, are an
//! interface: fields are renamed by serde attributes alone, and doc comments of fields are the document's text.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use utoipa::ToSchema;

/// What names and numbers on the wire stand for: zones, traffic classes, the epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = Terms, description = "What names and numbers on the wire stand for.")]
pub struct SessionParameters {
    /// This governor's life.
    pub epoch: String,
    /// Its name among those that share the fleet; empty where it is alone.
    #[serde(default)]
    pub governor: String,
    /// Zones and groups, in the order in which digests are made over them.
    pub zones: Vec<String>,
    #[allow(missing_docs, reason = "a doc comment would change the OpenAPI document")]
    #[serde(rename = "groups")]
    pub classes: Vec<String>,
    /// How often to report, in seconds.
    #[serde(rename = "report_every_s")]
    pub report_interval_seconds: String,
    /// Load metrics that reports may carry, in order.
    #[serde(rename = "load")]
    pub load_metrics: Vec<String>,
    /// The longest that a question may wait, in seconds.
    #[serde(rename = "wait_most_s")]
    pub max_wait_seconds: u64,
}

/// An entry of the default table that a proxy came with.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[schema(as = StandingLine, description = "A standing table's line.")]
#[allow(missing_docs, reason = "doc comments of fields would change the OpenAPI document")]
pub struct DefaultTableEntry {
    pub replica: String,
    pub weight: f64,
}

/// A proxy says who it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
#[schema(as = JoinAsked)]
pub struct JoinRequest {
    #[allow(missing_docs, reason = "a doc comment would change the OpenAPI document")]
    #[serde(default)]
    pub zone: String,
    /// Flows a second that it ordinarily receives.
    #[serde(rename = "usual")]
    pub requests_per_second: Option<f64>,
    /// The standing table that it holds, if it has one.
    #[serde(default, rename = "standing")]
    pub default_table: Vec<DefaultTableEntry>,
    /// It holds tables of this or another governor besides.
    #[serde(default, rename = "holds_orders")]
    pub holds_tables: bool,
    /// The signed word of whose they are, as it was told.
    #[serde(default, rename = "claim")]
    pub ownership_proof: Option<String>,
}

// The session that a proxy has from now on. (No doc comment: it would change the OpenAPI document.)
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[schema(as = JoinTold)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct JoinResponse {
    /// To be named in everything that follows.
    pub session: u64,
    #[serde(rename = "terms")]
    pub parameters: SessionParameters,
}

// An entry of a table: a replica and its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = LineTold)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct TableEntry {
    pub replica: String,
    pub weight: u32,
    /// Left out where it is as in the base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

// The table of one traffic class, or what changes in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = GroupTold)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct ClassUpdate {
    /// The proxy stays on its standing table from here on; nothing else counts then.
    #[serde(default, rename = "standing", skip_serializing_if = "std::ops::Not::not")]
    pub use_default_table: bool,
    #[serde(default, rename = "lines", skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<TableEntry>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
    /// Flows to let in, in parts of a million.
    #[serde(rename = "level")]
    pub admission_millionths: u32,
    /// `never`, `if-never-ran` or `once`.
    #[serde(rename = "tries")]
    pub retry_policy: String,
}

/// What differs from the version that was held, or complete tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = TablesTold, description = "What differs from the version that was held, or all there is.")]
pub struct TablesResponse {
    /// `EPOCH.NUMBER`.
    pub version: String,
    /// Of the whole state that this comes to, in hexadecimal.
    pub digest: String,
    /// The digest that a delta starts from; without it this is the whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// To be shown to whichever governor the proxy joins next.
    #[serde(default, rename = "claim", skip_serializing_if = "Option::is_none")]
    pub ownership_proof: Option<String>,
    #[allow(missing_docs, reason = "a doc comment would change the OpenAPI document")]
    #[serde(rename = "groups")]
    pub classes: BTreeMap<String, ClassUpdate>,
}

/// What a proxy observed at a replica, within a report's interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields, default)]
#[schema(as = MetTold, description = "What a proxy met at a replica, within a report's interval.")]
#[allow(missing_docs, reason = "doc comments of fields would change the OpenAPI document")]
pub struct ReplicaStatistics {
    #[serde(rename = "group")]
    pub class: String,
    pub replica: String,
    pub issued: u64,
    #[serde(rename = "delivered")]
    pub succeeded: u64,
    #[serde(rename = "dropped")]
    pub failed: u64,
    /// Sum of the answer times of the delivered ones, in milliseconds.
    #[serde(rename = "answer_ms")]
    pub total_latency_millis: f64,
    /// The replica's latest word of its load, in the order of the terms' metrics; may be empty.
    pub load: Vec<f64>,
}

// A load report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
#[schema(as = ReportAsked)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct ReportRequest {
    #[serde(rename = "interval_ms")]
    pub interval_millis: f64,
    #[serde(default, rename = "met")]
    pub replicas: Vec<ReplicaStatistics>,
    /// By group: flows that were blocked before any try.
    #[serde(default, rename = "blocked")]
    pub rejected: BTreeMap<String, u64>,
}

// Whether a load report counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = ReportTold)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct ReportResponse {
    /// Whether it counts; a copy of one that was counted does not, and all is well.
    pub counted: bool,
    /// Why not.
    #[serde(default, rename = "why", skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

// Why a request is not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = Trouble)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct ErrorResponse {
    pub error: String,
    /// The governor to go to; empty: whoever is next in the proxy's own order.
    #[serde(default, rename = "go_to", skip_serializing_if = "Option::is_none")]
    pub redirect_to: Option<String>,
}
