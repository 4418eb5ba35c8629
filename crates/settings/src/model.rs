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
    pub effect: String,
    /// Which replicas recognise a repeated request: `all`, `zone` or `pack`.
    pub deduped_by: Option<String>,
    /// How long after the first attempt they do, in seconds.
    pub deduped_for: Option<f64>,
    /// The latency objective, in seconds.
    pub latency_budget: f64,
    /// The request deadline, in seconds.
    pub expiry: f64,
    /// The priority weight.
    pub utility: f64,
    /// Requests may only go to replicas in the proxy's zone.
    pub own_zone: bool,
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
    pub include: PathBuf,
    /// The command that has it read the file; empty if none is run.
    pub reload: Vec<String>,
    /// From one file to the next, in seconds, at the least.
    pub every: f64,
    /// The same for a file that drains or ejects a replica.
    pub drains_every: f64,
    /// Timeout of the command, in seconds.
    pub reload_within: f64,
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
    pub talk: Option<SocketAddr>,
    /// Other governors, by name and address.
    pub peers: Vec<(String, SocketAddr)>,
    /// Limit of the proxies moved to other governors per second.
    pub moves_per_s: f64,
    /// Number of governors that share the proxies.
    pub governors: u64,
    /// Number of proxies of all governors together.
    pub proxies: u64,
    /// Replicas in a default table.
    pub standing_lines: u64,
    /// Requests per second of a proxy that reports none.
    pub usual: f64,
    /// Proxies eject replicas locally.
    pub proxies_avoid: bool,
    /// The default retry policy: `never`, `if-never-ran` or `once`.
    pub tries: String,
    /// Proxies enforce admission fractions.
    pub levels: bool,
    /// Limit of the proxies connected here.
    pub joined_most: u64,
    /// Capacity fraction of a replica at its start, at the worst.
    pub cold_share: f64,
    /// Duration of slow start.
    pub warm_after: f64,
    /// Limit of the table entries sent per second.
    pub lines_per_s: f64,
    /// Cost of a message on top of its entries, in entries.
    pub head_lines: f64,
    /// Limit of the queued entries.
    pub waiting_most: f64,
    /// Longest transit delay of a message.
    pub transit_most: f64,
    /// Limit of the messages to one proxy within `messages_over`.
    pub messages_most: Option<u64>,
    /// The interval for that.
    pub messages_over: f64,
    /// Cost of a request into another zone.
    pub crossing_cost: f64,
    /// How often proxies report.
    pub report_every: f64,
    /// Limit of the report entries that are taken per second.
    pub report_lines_per_s: f64,
    /// The load metrics that replicas report.
    pub load: Vec<String>,
    /// The metric that holds an answer's time.
    pub answer: String,
    /// Where the endpoint list comes from.
    pub roster: RosterSource,
    /// How often its file is looked at.
    pub look_every: f64,
    /// How long an empty list must last before it is believed.
    pub empty_after: f64,
    /// Versions of a proxy's tables that are retained.
    pub history_versions: u64,
    /// Entries in all of them.
    pub history_lines: u64,
    /// The address for proxies by gRPC.
    pub grpc: SocketAddr,
    /// The address for health, metrics and status.
    pub http: SocketAddr,
    /// The address for proxies by long poll.
    pub poll: Option<SocketAddr>,
    /// How often a stream is asked for a sign of life.
    pub keepalive: f64,
    /// How long it may take to answer.
    pub keepalive_timeout: f64,
    /// The nginx that follows by files.
    pub nginx: Nginx,
    /// The folder of the durable store.
    pub state: Option<PathBuf>,
    /// How often changes are written to it.
    pub state_every: f64,
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
