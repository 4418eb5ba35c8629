//! Checked settings. Their serialised names are those that a governor compares, shows and hands between processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PathRouteError;

/// A traffic class: a cluster of its own, and the route to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Its name, of which there is one.
    pub name: String,
    /// `retriable`, `deduped` or `non-retriable`.
    #[serde(rename = "effect")]
    pub idempotency: String,
    /// Which replicas recognise a repeated request: `all`, `zone` or `pack`.
    #[serde(rename = "deduped_by")]
    pub deduplication_scope: Option<String>,
    /// How long after the first attempt they do, in seconds.
    #[serde(rename = "deduped_for")]
    pub deduplication_window: Option<f64>,
    /// The latency objective, in seconds.
    #[serde(rename = "latency_budget")]
    pub latency_objective: f64,
    /// The request deadline, in seconds.
    #[serde(rename = "expiry")]
    pub request_deadline: f64,
    /// The priority weight.
    #[serde(rename = "utility")]
    pub priority_weight: f64,
    /// Requests may only go to replicas in the proxy's zone.
    #[serde(rename = "own_zone")]
    pub same_zone_only: bool,
    /// Which requests belong to it.
    pub route: Route,
}

/// Which requests belong to a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// Those whose path has this prefix.
    Prefix(String),
    /// Those that carry a header of this name, in lower case, with this value.
    Header(String, String),
    /// Those whose path fits one of several.
    Paths(Vec<PathRoute>),
}

impl Route {
    /// The paths that lead here; none for a header.
    pub(crate) fn paths(&self) -> Vec<PathRoute> {
        match self {
            Route::Prefix(prefix) => vec![PathRoute::Prefix(prefix.clone())],
            Route::Header(..) => Vec::new(),
            Route::Paths(paths) => paths.clone(),
        }
    }
}

/// One path of several that lead to a group. Of those that fit a request the first in this order is taken: an exact one,
/// the longest prefix if it is a firm one, the first pattern, the longest prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PathRoute {
    /// A prefix.
    Prefix(String),
    /// The whole path.
    Exact(String),
    /// A prefix that goes before patterns.
    Firm(String),
    /// A regular expression that some part of the path fits.
    Pattern(String),
    /// The same, in upper and lower case alike.
    AnyCase(String),
}

impl PathRoute {
    /// Reads a path as it is written in a script: `/prefix`, `= /exact`, `^~ /firm`, `~ pattern` or `~* pattern`.
    ///
    /// # Errors
    /// A path that is not absolute, or a pattern that does not parse.
    pub fn read(text: &str) -> Result<Self, PathRouteError> {
        let (operator, rest) = match text.split_once(' ') {
            Some((operator, rest)) if ["=", "^~", "~", "~*"].contains(&operator) => (operator, rest.trim()),
            _ => ("", text),
        };
        let operand = rest.to_string();
        match (operator, rest.starts_with('/')) {
            ("~", _) => valid_pattern(text, operand).map(PathRoute::Pattern),
            ("~*", _) => valid_pattern(text, operand).map(PathRoute::AnyCase),
            ("", true) => Ok(PathRoute::Prefix(operand)),
            ("=", true) => Ok(PathRoute::Exact(operand)),
            ("^~", true) => Ok(PathRoute::Firm(operand)),
            _ => Err(PathRouteError::NotAbsolute { text: text.to_string() }),
        }
    }
}

fn valid_pattern(text: &str, pattern: String) -> Result<String, PathRouteError> {
    match regex::Regex::new(&pattern) {
        Ok(_) => Ok(pattern),
        Err(_) => Err(PathRouteError::InvalidPattern { text: text.to_string() }),
    }
}

/// An nginx that follows this governor by files.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nginx {
    /// The file that it includes.
    #[serde(rename = "include")]
    pub include_file: PathBuf,
    /// The command that has it read the file; empty if none is run.
    #[serde(rename = "reload")]
    pub reload_command: Vec<String>,
    /// From one file to the next, in seconds, at the least.
    #[serde(rename = "every")]
    pub min_interval: f64,
    /// The same for a file that drains or ejects a replica.
    #[serde(rename = "drains_every")]
    pub min_drain_interval: f64,
    /// Timeout of the command, in seconds.
    #[serde(rename = "reload_within")]
    pub reload_timeout: f64,
    /// Its access log, read as load reports.
    pub access_log: Option<PathBuf>,
}

/// Where the endpoint list comes from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterSource {
    /// A JSON file.
    File(PathBuf),
    /// An xDS server.
    Upstream {
        /// Its URI.
        uri: String,
        /// The clusters whose endpoints are the replicas.
        clusters: Vec<String>,
    },
}

/// Checked settings. Times are in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The traffic classes, in the order of the script.
    pub groups: Vec<Group>,
    /// The zones, by the names that nodes and roster use.
    pub zones: Vec<String>,
    /// This governor's name; empty if it has none.
    pub governor: String,
    /// Files with the fleet's keys; the first signs.
    pub keys: Vec<PathBuf>,
    /// Where other governors reach this one, by UDP.
    #[serde(rename = "talk")]
    pub gossip_address: Option<SocketAddr>,
    /// Other governors, by name and address.
    pub peers: Vec<(String, SocketAddr)>,
    /// Limit of the proxies moved to other governors per second.
    #[serde(rename = "moves_per_s")]
    pub moves_per_second: f64,
    /// Number of governors that share the proxies.
    #[serde(rename = "governors")]
    pub governor_count: u64,
    /// Number of proxies of all governors together.
    #[serde(rename = "proxies")]
    pub proxy_count: u64,
    /// Replicas in a default table.
    #[serde(rename = "standing_lines")]
    pub default_table_size: u64,
    /// Requests per second of a proxy that reports none.
    #[serde(rename = "usual")]
    pub default_requests_per_second: f64,
    /// Proxies eject replicas locally.
    #[serde(rename = "proxies_avoid")]
    pub proxies_eject_locally: bool,
    /// The default retry policy: `never`, `if-never-ran` or `once`.
    #[serde(rename = "tries")]
    pub default_retry_policy: String,
    /// Proxies enforce admission fractions.
    #[serde(rename = "levels")]
    pub admission_control: bool,
    /// Limit of the proxies connected here.
    #[serde(rename = "joined_most")]
    pub max_proxies: u64,
    /// Capacity fraction of a replica at its start, at the worst.
    #[serde(rename = "cold_share")]
    pub initial_capacity_fraction: f64,
    /// Duration of slow start.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: f64,
    /// Limit of the table entries sent per second.
    #[serde(rename = "lines_per_s")]
    pub entries_per_second: f64,
    /// Cost of a message on top of its entries, in entries.
    #[serde(rename = "head_lines")]
    pub message_overhead_entries: f64,
    /// Limit of the queued entries.
    #[serde(rename = "waiting_most")]
    pub max_queued_entries: f64,
    /// Longest transit delay of a message.
    #[serde(rename = "transit_most")]
    pub max_transit_delay: f64,
    /// Limit of the messages to one proxy within `messages_over`.
    #[serde(rename = "messages_most")]
    pub message_limit: Option<u64>,
    /// The interval for that.
    #[serde(rename = "messages_over")]
    pub message_limit_interval: f64,
    /// Cost of a request into another zone.
    #[serde(rename = "crossing_cost")]
    pub cross_zone_cost: f64,
    /// How often proxies report.
    #[serde(rename = "report_every")]
    pub report_interval: f64,
    /// Limit of the report entries that are taken per second.
    #[serde(rename = "report_lines_per_s")]
    pub report_entries_per_second: f64,
    /// The load metrics that replicas report.
    #[serde(rename = "load")]
    pub load_metrics: Vec<String>,
    /// The metric that holds an answer's time.
    #[serde(rename = "answer")]
    pub answer_time_metric: String,
    /// Where the endpoint list comes from.
    pub roster: RosterSource,
    /// How often its file is looked at.
    #[serde(rename = "look_every")]
    pub roster_poll_interval: f64,
    /// How long an empty list must last before it is believed.
    #[serde(rename = "empty_after")]
    pub empty_roster_timeout: f64,
    /// Versions of a proxy's tables that are retained.
    pub history_versions: u64,
    /// Entries in all of them.
    #[serde(rename = "history_lines")]
    pub history_entries: u64,
    /// The address for proxies by gRPC.
    #[serde(rename = "grpc")]
    pub grpc_address: SocketAddr,
    /// The address for health, metrics and status.
    #[serde(rename = "http")]
    pub http_address: SocketAddr,
    /// The address for proxies by long poll.
    #[serde(rename = "poll")]
    pub long_poll_address: Option<SocketAddr>,
    /// How often a stream is asked for a sign of life.
    #[serde(rename = "keepalive")]
    pub keepalive_interval: f64,
    /// How long it may take to answer.
    pub keepalive_timeout: f64,
    /// The nginx that follows by files.
    pub nginx: Nginx,
    /// The folder of the durable store.
    #[serde(rename = "state")]
    pub state_folder: Option<PathBuf>,
    /// How often changes are written to it.
    #[serde(rename = "state_every")]
    pub state_interval: f64,
}

/// Settings that take effect while a governor runs, by their serialised names.
const RELOADABLE: [&str; 4] = ["report_lines_per_s", "roster", "look_every", "nginx"];

impl Settings {
    /// Differences to later settings that can't take effect while a governor runs, by section and field.
    pub fn fixed_differences(&self, later: &Settings) -> Vec<String> {
        let (current, later) = (self.by_name(), later.by_name());
        let mut differences = Vec::new();
        for (name, value) in &current {
            if RELOADABLE.contains(&name.as_str()) || later.get(name) == Some(value) {
                continue;
            }
            let wanted = later.get(name).unwrap_or(&Value::Null);
            differences.push(format!("`{name}`: {value} runs, {wanted} is asked for"));
        }
        differences
    }

    fn by_name(&self) -> serde_json::Map<String, Value> {
        match serde_json::to_value(self) {
            Ok(Value::Object(map)) => map,
            _ => serde_json::Map::new(),
        }
    }
}
