//! Validated settings. Their serialised names are used to compare settings, to display them, and to pass them between
//! processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PathRouteError;

/// A traffic class: a cluster of its own, and the route to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The name, unique among groups.
    pub name: String,
    /// `retriable`, `deduped` or `non-retriable`.
    #[serde(rename = "effect")]
    pub idempotency: String,
    /// Which replicas recognise a repeated request: `all`, `zone` or `pack`.
    #[serde(rename = "deduped_by")]
    pub deduplication_scope: Option<String>,
    /// How long after the first attempt replicas recognise a repeated request, in seconds.
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
    /// Whether requests may only go to replicas in the proxy's zone.
    #[serde(rename = "own_zone")]
    pub same_zone_only: bool,
    /// Which requests belong to the group.
    pub route: Route,
}

/// Which requests belong to a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// Requests whose path has this prefix.
    Prefix(String),
    /// Requests with a header of this name (in lower case) and value.
    Header(String, String),
    /// Requests whose path matches one of several.
    Paths(Vec<PathRoute>),
}

impl Route {
    /// The paths of this route; none for a header.
    pub(crate) fn paths(&self) -> Vec<PathRoute> {
        match self {
            Route::Prefix(prefix) => vec![PathRoute::Prefix(prefix.clone())],
            Route::Header(..) => Vec::new(),
            Route::Paths(paths) => paths.clone(),
        }
    }
}

/// One of several paths that lead to a group. Of those that match a request, the first in this order is taken: an exact
/// path, the longest prefix if it is [`PathRoute::PriorityPrefix`], the first pattern, the longest prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PathRoute {
    /// A prefix.
    Prefix(String),
    /// The whole path.
    Exact(String),
    /// A prefix that takes precedence over patterns.
    #[serde(rename = "firm")]
    PriorityPrefix(String),
    /// A regular expression that matches some part of the path.
    Pattern(String),
    /// A regular expression that matches some part of the path, ignoring case.
    #[serde(rename = "any_case")]
    CaseInsensitivePattern(String),
}

impl PathRoute {
    /// Parses a path as written in a script: `/prefix`, `= /exact`, `^~ /firm`, `~ pattern` or `~* pattern`.
    ///
    /// # Errors
    /// The path is not absolute, or its pattern is invalid.
    pub fn parse(text: &str) -> Result<Self, PathRouteError> {
        let (operator, rest) = match text.split_once(' ') {
            Some((operator, rest)) if ["=", "^~", "~", "~*"].contains(&operator) => (operator, rest.trim()),
            _ => ("", text),
        };
        let operand = rest.to_string();
        match (operator, rest.starts_with('/')) {
            ("~", _) => check_pattern(text, operand).map(PathRoute::Pattern),
            ("~*", _) => check_pattern(text, operand).map(PathRoute::CaseInsensitivePattern),
            ("", true) => Ok(PathRoute::Prefix(operand)),
            ("=", true) => Ok(PathRoute::Exact(operand)),
            ("^~", true) => Ok(PathRoute::PriorityPrefix(operand)),
            _ => Err(PathRouteError::NotAbsolute { text: text.to_string() }),
        }
    }
}

fn check_pattern(text: &str, pattern: String) -> Result<String, PathRouteError> {
    match regex::Regex::new(&pattern) {
        Ok(_) => Ok(pattern),
        Err(_) => Err(PathRouteError::InvalidPattern { text: text.to_string() }),
    }
}

/// Settings of an nginx that gets its tables from this governor as a generated configuration file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nginx {
    /// The generated file, which the nginx configuration includes.
    #[serde(rename = "include")]
    pub include_file: PathBuf,
    /// The command that makes nginx reload its configuration; empty if none is run.
    #[serde(rename = "reload")]
    pub reload_command: Vec<String>,
    /// Minimum time between two versions of the file, in seconds.
    #[serde(rename = "every")]
    pub min_interval: f64,
    /// Minimum time before a version of the file that drains or ejects a replica, in seconds.
    #[serde(rename = "drains_every")]
    pub min_drain_interval: f64,
    /// Timeout of the reload command, in seconds.
    #[serde(rename = "reload_within")]
    pub reload_timeout: f64,
    /// nginx's access log, from which load reports are made.
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

/// Validated settings. Times are in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The traffic classes, in the order of the script.
    pub groups: Vec<Group>,
    /// The zones, by the names used in xDS nodes and in the roster.
    pub zones: Vec<String>,
    /// This governor's name; empty if it has none.
    pub governor: String,
    /// Files with the fleet's keys. The first key signs; signatures by any of them are valid.
    pub keys: Vec<PathBuf>,
    /// The UDP address at which other governors reach this one.
    #[serde(rename = "talk")]
    pub gossip_address: Option<SocketAddr>,
    /// Other governors, by name and address.
    pub peers: Vec<(String, SocketAddr)>,
    /// Maximum number of proxies moved to other governors per second.
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
    /// Requests per second assumed for a proxy that does not state its own.
    #[serde(rename = "usual")]
    pub default_requests_per_second: f64,
    /// Whether proxies eject replicas locally.
    #[serde(rename = "proxies_avoid")]
    pub proxies_eject_locally: bool,
    /// The default retry policy: `never`, `if-never-ran` or `once`.
    #[serde(rename = "tries")]
    pub default_retry_policy: String,
    /// Whether proxies enforce admission fractions.
    #[serde(rename = "levels")]
    pub admission_control: bool,
    /// Maximum number of proxies connected to this governor.
    #[serde(rename = "joined_most")]
    pub max_proxies: u64,
    /// Lowest capacity fraction of a replica at its start.
    #[serde(rename = "cold_share")]
    pub initial_capacity_fraction: f64,
    /// Duration of slow start.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: f64,
    /// Maximum number of table entries sent per second, over all proxies.
    #[serde(rename = "lines_per_s")]
    pub entries_per_second: f64,
    /// Overhead of a message in addition to its entries, in entries.
    #[serde(rename = "head_lines")]
    pub message_overhead_entries: f64,
    /// Maximum number of queued entries.
    #[serde(rename = "waiting_most")]
    pub max_queued_entries: f64,
    /// Maximum transit delay of a message.
    #[serde(rename = "transit_most")]
    pub max_transit_delay: f64,
    /// Maximum number of messages to one proxy within [`Settings::message_limit_interval`].
    #[serde(rename = "messages_most")]
    pub message_limit: Option<u64>,
    /// The interval to which [`Settings::message_limit`] applies.
    #[serde(rename = "messages_over")]
    pub message_limit_interval: f64,
    /// Cost of a request to another zone.
    #[serde(rename = "crossing_cost")]
    pub cross_zone_cost: f64,
    /// Interval between load reports of a proxy.
    #[serde(rename = "report_every")]
    pub report_interval: f64,
    /// Maximum number of report entries processed per second.
    #[serde(rename = "report_lines_per_s")]
    pub report_entries_per_second: f64,
    /// The load metrics that replicas report.
    #[serde(rename = "load")]
    pub load_metrics: Vec<String>,
    /// The metric that contains response times.
    #[serde(rename = "answer")]
    pub answer_time_metric: String,
    /// Where the endpoint list comes from.
    pub roster: RosterSource,
    /// Interval between checks of the roster file for changes.
    #[serde(rename = "look_every")]
    pub roster_poll_interval: f64,
    /// How long the endpoint list must stay empty before the engine applies it.
    #[serde(rename = "empty_after")]
    pub empty_roster_timeout: f64,
    /// Number of retained versions of a proxy's tables.
    pub history_versions: u64,
    /// Maximum number of entries in all retained versions.
    #[serde(rename = "history_lines")]
    pub history_entries: u64,
    /// The listening address for proxies that use gRPC.
    #[serde(rename = "grpc")]
    pub grpc_address: SocketAddr,
    /// The listening address for health, metrics and status.
    #[serde(rename = "http")]
    pub http_address: SocketAddr,
    /// The listening address for proxies that use long polling.
    #[serde(rename = "poll")]
    pub long_poll_address: Option<SocketAddr>,
    /// Interval between keepalive pings on a stream.
    #[serde(rename = "keepalive")]
    pub keepalive_interval: f64,
    /// Timeout of a keepalive ping, after which the stream is closed.
    pub keepalive_timeout: f64,
    /// The settings of an nginx that follows this governor.
    pub nginx: Nginx,
    /// The folder of the durable store.
    #[serde(rename = "state")]
    pub state_folder: Option<PathBuf>,
    /// Interval between writes of changes to the durable store.
    #[serde(rename = "state_every")]
    pub state_interval: f64,
}

/// Settings that can change while a governor runs, by their serialised names.
const RELOADABLE: [&str; 4] = ["report_lines_per_s", "roster", "look_every", "nginx"];

impl Settings {
    /// Describes the differences to new settings that can't take effect while a governor runs, by serialised name.
    pub fn differences_requiring_restart(&self, later: &Settings) -> Vec<String> {
        let (current, later) = (self.to_json_map(), later.to_json_map());
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

    fn to_json_map(&self) -> serde_json::Map<String, Value> {
        match serde_json::to_value(self) {
            Ok(Value::Object(map)) => map,
            _ => serde_json::Map::new(),
        }
    }
}
