//! The wire messages, as JSON or CBOR. Their wire names and the OpenAPI document generated from these types are a
//! public interface: serde attributes keep the wire names of renamed fields, and doc comments of fields become the
//! descriptions in the document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use utoipa::ToSchema;

/// Parameters of a session: zones, traffic classes, the epoch, and the limits for polls and reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = Terms, description = "Session parameters: zones, groups, the epoch, and limits for polls and reports.")]
pub struct SessionParameters {
    /// The governor's epoch, with which its versions begin.
    pub epoch: String,
    /// The governor's name among those that share the fleet; empty for a single governor.
    #[serde(default)]
    pub governor: String,
    /// The zones. Digests depend on the order of zones and groups.
    pub zones: Vec<String>,
    #[allow(missing_docs, reason = "a doc comment would change the OpenAPI document")]
    #[serde(rename = "groups")]
    pub classes: Vec<String>,
    /// Interval between load reports, in seconds.
    #[serde(rename = "report_every_s")]
    pub report_interval_seconds: String,
    /// Load metrics that reports may contain, in this order.
    #[serde(rename = "load")]
    pub load_metrics: Vec<String>,
    /// Maximum time that a poll may wait, in seconds.
    #[serde(rename = "wait_most_s")]
    pub max_wait_seconds: u64,
}

/// An entry of the default table that a joining proxy holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[schema(as = StandingLine, description = "An entry of a default table.")]
#[allow(missing_docs, reason = "doc comments of fields would change the OpenAPI document")]
pub struct DefaultTableEntry {
    pub replica: String,
    pub weight: f64,
}

/// A request to join.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
#[schema(as = JoinAsked)]
pub struct JoinRequest {
    #[allow(missing_docs, reason = "a doc comment would change the OpenAPI document")]
    #[serde(default)]
    pub zone: String,
    /// Requests per second that the proxy usually receives.
    #[serde(rename = "usual")]
    pub requests_per_second: Option<f64>,
    /// The default table that the proxy holds, if it has one.
    #[serde(default, rename = "standing")]
    pub default_table: Vec<DefaultTableEntry>,
    /// Whether the proxy also holds tables from this or another governor.
    #[serde(default, rename = "holds_orders")]
    pub holds_tables: bool,
    /// The signed proof of which governor owns the proxy, as received with its tables.
    #[serde(default, rename = "claim")]
    pub ownership_proof: Option<String>,
}

// The session of a proxy that has joined. (No doc comment: it would change the OpenAPI document.)
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, ToSchema)]
#[schema(as = JoinTold)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct JoinResponse {
    /// The session number, required in all further requests.
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
    /// Omitted in a delta if unchanged from the base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

// The table of one traffic class, or the changes to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = GroupTold)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct ClassUpdate {
    /// If set, the proxy uses its default table from now on and ignores the other fields.
    #[serde(default, rename = "standing", skip_serializing_if = "std::ops::Not::not")]
    pub use_default_table: bool,
    #[serde(default, rename = "lines", skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<TableEntry>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
    /// Fraction of requests to admit, in millionths.
    #[serde(rename = "level")]
    pub admission_millionths: u32,
    /// Retry policy: `never`, `if-never-ran` or `once`.
    #[serde(rename = "tries")]
    pub retry_policy: String,
}

/// Changes since the version that the proxy holds, or complete tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = TablesTold, description = "Changes since the version that the proxy holds, or complete tables.")]
pub struct TablesResponse {
    /// The version, as `EPOCH.NUMBER`.
    pub version: String,
    /// Digest of the complete state at this version, in hexadecimal.
    pub digest: String,
    /// Digest of the state that the delta applies to; absent for complete tables.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// Signed proof of ownership, to be sent with the next join.
    #[serde(default, rename = "claim", skip_serializing_if = "Option::is_none")]
    pub ownership_proof: Option<String>,
    #[allow(missing_docs, reason = "a doc comment would change the OpenAPI document")]
    #[serde(rename = "groups")]
    pub classes: BTreeMap<String, ClassUpdate>,
}

/// What a proxy observed of a replica during the interval of a report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields, default)]
#[schema(as = MetTold, description = "What a proxy observed of a replica during the interval of a report.")]
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
    /// Sum of the response times of the delivered requests, in milliseconds.
    #[serde(rename = "answer_ms")]
    pub total_latency_millis: f64,
    /// The load that the replica reported last, in the order of the session's load metrics; may be empty.
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
    /// Requests rejected before any attempt, by group.
    #[serde(default, rename = "blocked")]
    pub rejected: BTreeMap<String, u64>,
}

// Whether a load report was counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = ReportTold)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct ReportResponse {
    /// Whether the report was counted. A duplicate is not counted again, which is no error.
    pub counted: bool,
    /// Why the report was not counted.
    #[serde(default, rename = "why", skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[schema(as = Trouble)]
#[allow(missing_docs, reason = "doc comments would change the OpenAPI document")]
pub struct ErrorResponse {
    pub error: String,
    /// The governor to join instead; empty: the next one in the proxy's own order.
    #[serde(default, rename = "go_to", skip_serializing_if = "Option::is_none")]
    pub redirect_to: Option<String>,
}
