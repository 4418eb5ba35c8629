//! The platform's names of messages and of their fields.

pub const TYPE: &str = "@type";

pub const PING: &str = "PING";
pub const SOURCE: &str = "SOURCE";
pub const SUBSCRIBE: &str = "SUBSCRIBE";
pub const ACK: &str = "ACK";
pub const LOAD: &str = "LOAD";
pub const RATE: &str = "RATE";

pub const PROXY: &str = "node";
pub const ZONE: &str = "locality";
pub const REQUESTS_PER_SECOND: &str = "w";
pub const HOLDS_DEFAULT_TABLE: &str = "cold";
pub const NONCE: &str = "nonce";
pub const LATENCY_MILLIS: &str = "latency";
pub const REPLICA: &str = "endpoint";
pub const CLASS: &str = "route";
pub const TOTAL: &str = "total";
pub const FAILED: &str = "errors";
pub const MEAN_LATENCY_MILLIS: &str = "rtt";
pub const INTERVAL_MILLIS: &str = "interval";
pub const LOAD_REPORT: &str = "metrics";
