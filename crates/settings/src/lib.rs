//! The settings script, checked: Starlark in, [`Settings`] out, or all that is wrong with it at once.
//!
//! ```
//! let script = r#"
//! fleet(zones = ["north"], proxies = 16)
//! for name in ["match", "charge"]:
//!     group(name, latency_budget = 1, expiry = 3, prefix = "/" + name)
//! roster(file = "roster.json")
//! "#;
//! let settings = wrenthread_settings::parse("settings.star", script).unwrap();
//! assert_eq!(settings.groups.len(), 2);
//!
//! let wrong = wrenthread_settings::parse("settings.star", "fleet(zoness = [])").unwrap_err();
//! assert!(wrong.to_string().starts_with("settings.star:1: `fleet` has no `zoness`; did you mean `zones`?"));
//! ```

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wrenthread::types::{self, AdmissionControl, DeduplicationScope, Idempotency, LoadField, RetryPolicy};
use wrenthread_core::engine::EngineSettings;

pub mod day;
pub mod schema;
pub mod script;

use schema::{Otherwise, Section, Takes};
use script::Said;

/// One thing that is wrong, and where. Line 0 is the file as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub file: String,
    pub line: usize,
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(to, "{}: {}", self.file, self.why),
            line => write!(to, "{}:{line}: {}", self.file, self.why),
        }
    }
}

/// All that is wrong with a script.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        to.write_str(&lines.join("\n"))
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    pub name: String,
    pub effect: String,
    pub deduped_by: Option<String>,
    pub deduped_for: Option<f64>,
    pub latency_budget: f64,
    pub expiry: f64,
    pub utility: f64,
    pub own_zone: bool,
    pub route: Route,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    Prefix(String),
    Header(String, String),
    Paths(Vec<PathRoute>),
}

/// One path of several that lead to a group. Which comes first of those that fit a flow: an exact one, the
/// longest prefix if it is a firm one, the first pattern, the longest prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PathRoute {
    Prefix(String),
    Exact(String),
    /// A prefix that goes before patterns.
    Firm(String),
    /// A regular expression that some part of the path fits.
    Pattern(String),
    /// The same, in upper and lower case alike.
    AnyCase(String),
}

impl PathRoute {
    /// Errors: what is wrong with it.
    pub fn read(text: &str) -> Result<Self, String> {
        let (kind, rest) = match text.split_once(' ') {
            Some((kind, rest)) if ["=", "^~", "~", "~*"].contains(&kind) => (kind, rest.trim()),
            _ => ("", text),
        };
        let pattern = |route: fn(String) -> PathRoute| match regex::Regex::new(rest) {
            Ok(_) => Ok(route(rest.to_string())),
            Err(_) => Err(format!("\"{text}\" is no regular expression that proxies take")),
        };
        match (kind, rest.starts_with('/')) {
            ("~", _) => pattern(PathRoute::Pattern),
            ("~*", _) => pattern(PathRoute::AnyCase),
            ("", true) => Ok(PathRoute::Prefix(rest.to_string())),
            ("=", true) => Ok(PathRoute::Exact(rest.to_string())),
            ("^~", true) => Ok(PathRoute::Firm(rest.to_string())),
            _ => Err(format!("path \"{text}\" does not begin with `/`")),
        }
    }
}

/// An nginx that follows by files.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nginx {
    pub include: PathBuf,
    pub reload: Vec<String>,
    pub every: f64,
    pub drains_every: f64,
    pub reload_within: f64,
    pub access_log: Option<PathBuf>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RosterSource {
    File(PathBuf),
    Upstream { uri: String, clusters: Vec<String> },
}

/// Checked settings. Spans are in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    pub groups: Vec<Group>,
    pub zones: Vec<String>,
    pub governor: String,
    pub keys: Vec<PathBuf>,
    pub talk: Option<SocketAddr>,
    pub peers: Vec<(String, SocketAddr)>,
    pub moves_per_s: f64,
    pub governors: u64,
    pub proxies: u64,
    pub standing_lines: u64,
    pub usual: f64,
    pub proxies_avoid: bool,
    pub tries: String,
    pub levels: bool,
    pub joined_most: u64,
    pub cold_share: f64,
    pub warm_after: f64,
    pub lines_per_s: f64,
    pub head_lines: f64,
    pub waiting_most: f64,
    pub transit_most: f64,
    pub messages_most: Option<u64>,
    pub messages_over: f64,
    pub crossing_cost: f64,
    pub report_every: f64,
    pub report_lines_per_s: f64,
    pub load: Vec<String>,
    pub answer: String,
    pub roster: RosterSource,
    pub look_every: f64,
    pub empty_after: f64,
    pub history_versions: u64,
    pub history_lines: u64,
    pub grpc: SocketAddr,
    pub http: SocketAddr,
    pub poll: Option<SocketAddr>,
    pub keepalive: f64,
    pub keepalive_timeout: f64,
    pub nginx: Nginx,
    /// Where what is known lasts.
    pub state: Option<PathBuf>,
    pub state_every: f64,
}

/// Reads and checks a script. Paths in it are taken from its own folder.
///
/// Errors: the file can't be read, or what is wrong with it.
pub fn load(path: &Path) -> Result<Settings, Faults> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Faults(vec![Fault { file: file.clone(), line: 0, why: error.to_string() }]))?;
    let mut settings = parse(&file, &text)?;
    if let Some(folder) = path.parent() {
        if let RosterSource::File(roster) = &mut settings.roster {
            *roster = folder.join(&*roster);
        }
        settings.state = settings.state.map(|state| folder.join(state));
        let nginx = &mut settings.nginx;
        nginx.include = folder.join(&nginx.include);
        nginx.access_log = nginx.access_log.as_ref().map(|log| folder.join(log));
        settings.keys.iter_mut().for_each(|key| *key = folder.join(&*key));
    }
    Ok(settings)
}

/// Bounds this process for the reading of a script: the interpreter counts steps and looks at its memory now
/// and then only, and a few steps can ask for all the memory there is. To be called in a process of its own,
/// which ends where it goes beyond: [`load_apart`] does that.
///
/// Errors: the system does not allow it.
pub fn bound_process() -> std::io::Result<()> {
    let memory = 1 << 30;
    rlimit::Resource::AS.set(memory, memory)?;
    rlimit::Resource::CPU.set(10, 10)
}

/// Reads and checks a script as [`load`] does, in a process of its own with bounded time and memory.
/// `program` with `arguments` and the path is to call [`bound_process`], then [`load`], and write the result
/// as JSON.
///
/// Errors: as [`load`]; a script that goes beyond the bounds.
pub fn load_apart(program: &Path, arguments: &[&str], path: &Path) -> Result<Settings, Faults> {
    let fault = |why: String| Faults(vec![Fault { file: path.display().to_string(), line: 0, why }]);
    let read = std::process::Command::new(program).args(arguments).arg(path).output();
    let read = read.map_err(|error| fault(format!("can't be read apart: {error}")))?;
    let result: Option<Result<Settings, Faults>> = serde_json::from_slice(&read.stdout).ok();
    result.unwrap_or_else(|| {
        let why = "the script takes more than 10 s or 1 GiB; settings are to be small and quick to make";
        Err(fault(format!("{why} ({})", read.status)))
    })
}

/// Checks a script's text; `file` is for the errors.
///
/// Errors: all that is wrong with it.
pub fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let draft = script::run(file, text, script::About::Settings)?;
    let mut check = Check { file, faults: Vec::new() };
    let said = draft.said.take();
    let one = |name: &str| said.get(name).and_then(|said| said.first());
    let mut groups = Vec::new();
    for said in said.get("group").into_iter().flatten() {
        groups.extend(check.group(said, &groups));
    }
    if !(1..=64).contains(&groups.len()) && check.faults.is_empty() {
        check.fault(0, format!("{} groups; say `group(...)` for 1 to 64", groups.len()));
    }
    let fleet = check.read("fleet", one("fleet"));
    let governor = check.read("governor", one("governor"));
    let name = governor.text("name").unwrap_or_default();
    if name.len() > 64 || !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_') {
        check.fault(
            governor.line,
            format!("`name` is \"{name}\"; it takes up to 64 letters, digits, `-` and `_`"),
        );
    }
    if fleet.whole("governors") > 1 && name.is_empty() && check.faults.is_empty() {
        check.fault(
            fleet.line,
            "several governors share the fleet: say this one's `governor(name = ...)`".into(),
        );
    }
    let talk = governor.text("talk").map(|text| (text.parse::<SocketAddr>().ok(), text));
    if let Some((None, text)) = &talk {
        check.fault(governor.line, format!("`talk` is \"{text}\"; it takes `address:port`"));
    }
    let talk = talk.and_then(|(at, _)| at);
    let mut peers: Vec<(String, SocketAddr)> = Vec::new();
    for text in governor.texts("peers") {
        let peer = text.split_once('=').and_then(|(name, at)| Some((name.to_string(), at.parse().ok()?)));
        match peer {
            Some((peer, at))
                if !peer.is_empty() && peer != name && peers.iter().all(|(one, _)| *one != peer) =>
            {
                peers.push((peer, at));
            }
            Some((peer, _)) => {
                check.fault(governor.line, format!("peer `{peer}` is this governor, or twice there"))
            }
            None => check.fault(governor.line, format!("peer \"{text}\"; it takes \"name=address:port\"")),
        }
    }
    if (talk.is_some() || !peers.is_empty())
        && (talk.is_none() || name.is_empty() || governor.texts("keys").is_empty())
    {
        check.fault(governor.line, "governors that talk need `name`, `keys` and `talk`, each".into());
    }
    let replicas = check.read("replicas", one("replicas"));
    let channel = check.read("channel", one("channel"));
    let reports = check.read("reports", one("reports"));
    let roster = check.read("roster", one("roster"));
    let listen = check.read("listen", one("listen"));
    let nginx = check.read("nginx", one("nginx"));
    let state = check.read("state", one("state"));
    let zones = fleet.texts("zones");
    if zones.is_empty() && one("fleet").is_some_and(|fleet| fleet.fields.contains_key("zones")) {
        check.fault(fleet.line, "`zones` is empty; name at least one".into());
    }
    let load = reports.texts("metrics");
    for metric in &load {
        if load_field(metric).is_none() {
            let near = schema::nearest(metric, LOAD_FIELDS.iter().map(|(name, _)| *name));
            let near = near.map_or_else(String::new, |near| format!("; did you mean `{near}`?"));
            check.fault(
                reports.line,
                format!("`{metric}` is no load metric{near} (waiting, in_hand, service_ms)"),
            );
        }
    }
    let source = match (roster.text("file"), roster.text("upstream"), roster.texts("clusters")) {
        (Some(file), None, clusters) if clusters.is_empty() => Some(RosterSource::File(file.into())),
        (None, Some(uri), clusters) if !clusters.is_empty() => Some(RosterSource::Upstream { uri, clusters }),
        _ => {
            check.fault(roster.line, "`roster` needs a `file`, or an `upstream` and its `clusters`".into());
            None
        }
    };
    let mut socket = |field: &str| -> Option<SocketAddr> {
        let text = listen.text(field).unwrap_or_default();
        let parsed = text.parse::<SocketAddr>().ok();
        if parsed.is_none() {
            check.fault(listen.line, format!("`{field}` is \"{text}\"; it takes `address:port`"));
        }
        parsed
    };
    let (grpc, http) = (socket("grpc"), socket("http"));
    let poll = listen.text("poll").and_then(|_| socket("poll"));
    let waiting_most = channel.number("waiting_most");
    let least = fleet.number("standing_lines") * groups.len() as f64 + channel.number("head_lines");
    if waiting_most < least && check.faults.is_empty() {
        let why =
            format!("`waiting_most` is {waiting_most}; the tables of one proxy alone come to {least} lines");
        check.fault(channel.line, why);
    }
    let (Some(roster_source), Some(grpc), Some(http), true) = (source, grpc, http, check.faults.is_empty())
    else {
        return Err(Faults(check.faults));
    };
    Ok(Settings {
        groups,
        zones,
        governor: name,
        keys: governor.texts("keys").into_iter().map(PathBuf::from).collect(),
        talk,
        peers,
        moves_per_s: governor.number("moves_per_s"),
        governors: fleet.whole("governors"),
        proxies: fleet.whole("proxies"),
        standing_lines: fleet.whole("standing_lines"),
        usual: fleet.number("usual"),
        proxies_avoid: fleet.truth("proxies_avoid"),
        tries: fleet.text("tries").unwrap_or_default(),
        levels: fleet.truth("levels"),
        joined_most: fleet.whole("joined_most"),
        cold_share: replicas.number("cold_share"),
        warm_after: replicas.number("warm_after"),
        lines_per_s: channel.number("lines_per_s"),
        head_lines: channel.number("head_lines"),
        waiting_most,
        transit_most: channel.number("transit_most"),
        messages_most: channel.said("messages_most").and_then(Value::as_u64),
        messages_over: channel.number("messages_over"),
        crossing_cost: channel.number("crossing_cost"),
        report_every: reports.number("every"),
        report_lines_per_s: reports.number("lines_per_s"),
        load,
        answer: reports.text("answer").unwrap_or_default(),
        roster: roster_source,
        look_every: roster.number("look_every"),
        empty_after: roster.number("empty_after"),
        history_versions: channel.whole("history_versions"),
        history_lines: channel.whole("history_lines"),
        grpc,
        http,
        poll,
        keepalive: listen.number("keepalive"),
        keepalive_timeout: listen.number("keepalive_timeout"),
        nginx: Nginx {
            include: nginx.text("include").unwrap_or_default().into(),
            reload: nginx.texts("reload"),
            every: nginx.number("every"),
            drains_every: nginx.number("drains_every"),
            reload_within: nginx.number("reload_within"),
            access_log: nginx.text("access_log").map(PathBuf::from),
        },
        state: state.text("folder").map(PathBuf::from),
        state_every: state.number("every"),
    })
}

const LOAD_FIELDS: [(&str, LoadField); 3] = [
    ("waiting", LoadField::Queued),
    ("in_hand", LoadField::InFlight),
    ("service_ms", LoadField::ServiceMillis),
];

fn load_field(name: &str) -> Option<LoadField> {
    LOAD_FIELDS.iter().find(|(known, _)| *known == name).map(|(_, field)| *field)
}

pub(crate) struct Check<'a> {
    pub(crate) file: &'a str,
    pub(crate) faults: Vec<Fault>,
}

/// A section's fields, checked, with what stands where nothing was said.
pub(crate) struct Read {
    pub(crate) line: usize,
    fields: serde_json::Map<String, Value>,
}

impl Read {
    pub(crate) fn said(&self, name: &str) -> Option<&Value> {
        self.fields.get(name)
    }

    pub(crate) fn number(&self, name: &str) -> f64 {
        self.said(name).and_then(Value::as_f64).unwrap_or_default()
    }

    pub(crate) fn whole(&self, name: &str) -> u64 {
        self.number(name) as u64
    }

    pub(crate) fn truth(&self, name: &str) -> bool {
        self.said(name).and_then(Value::as_bool).unwrap_or_default()
    }

    pub(crate) fn text(&self, name: &str) -> Option<String> {
        self.said(name).and_then(Value::as_str).map(str::to_string)
    }

    pub(crate) fn texts(&self, name: &str) -> Vec<String> {
        let texts = self.said(name).and_then(Value::as_array).into_iter().flatten();
        texts.filter_map(Value::as_str).map(str::to_string).collect()
    }
}

fn fits(takes: &Takes, value: &Value) -> bool {
    let within = |least: f64, most: f64| value.as_f64().is_some_and(|one| (least..=most).contains(&one));
    match takes {
        Takes::Number(least, most) | Takes::Seconds(least, most) => within(*least, *most),
        Takes::Whole(least, most) => value.is_u64() && within(*least as f64, *most as f64),
        Takes::Truth => value.is_boolean(),
        Takes::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        Takes::Texts => value.as_array().is_some_and(|all| {
            let texts: BTreeSet<_> =
                all.iter().filter_map(Value::as_str).filter(|one| !one.is_empty()).collect();
            texts.len() == all.len()
        }),
        Takes::OneOf(names) => value.as_str().is_some_and(|text| names.contains(&text)),
    }
}

impl Check<'_> {
    pub(crate) fn fault(&mut self, line: usize, why: String) {
        self.faults.push(Fault { file: self.file.to_string(), line, why });
    }

    pub(crate) fn read(&mut self, name: &str, said: Option<&Said>) -> Read {
        let section: &Section = schema::section(name).unwrap_or(&schema::SECTIONS[0]);
        let line = said.map_or(0, |said| said.line);
        let of = said.map_or_else(
            || name.to_string(),
            |said| match said.name.is_empty() {
                true => name.to_string(),
                false => format!("{name} {}", said.name),
            },
        );
        let mut fields = serde_json::Map::new();
        for field in section.fields {
            let value = said.and_then(|said| said.fields.get(field.name)).filter(|value| !value.is_null());
            if let Some(value) = value {
                if fits(&field.takes, value) {
                    fields.insert(field.name.into(), value.clone());
                } else {
                    let why =
                        format!("`{}` of `{of}` is {value}; it takes {}", field.name, field.takes.says());
                    self.fault(line, why);
                }
                continue;
            }
            match field.otherwise {
                Otherwise::Needed => {
                    let why =
                        format!("`{of}` needs `{}`: {} ({})", field.name, field.says, field.takes.says());
                    self.fault(line, why);
                }
                Otherwise::Open => {}
                Otherwise::Number(number) => drop(fields.insert(field.name.into(), number.into())),
                Otherwise::Truth(truth) => drop(fields.insert(field.name.into(), truth.into())),
                Otherwise::Text(text) => drop(fields.insert(field.name.into(), text.into())),
            }
        }
        Read { line, fields }
    }

    fn group(&mut self, said: &Said, others: &[Group]) -> Option<Group> {
        let before = self.faults.len();
        let read = self.read("group", Some(said));
        let (name, line) = (&said.name, said.line);
        if name.is_empty() {
            self.fault(line, "a group needs a name".into());
        }
        if others.iter().any(|other| other.name == *name) {
            self.fault(line, format!("group `{name}` was said already"));
        }
        let (budget, expiry) = (read.number("latency_budget"), read.number("expiry"));
        if budget > expiry && expiry > 0.0 {
            let why = format!(
                "the latency budget of group `{name}` ({budget} s) is beyond its expiry ({expiry} s)"
            );
            self.fault(line, why);
        }
        let effect = read.text("effect").unwrap_or_default();
        let (deduped_by, deduped_for) = (read.text("deduped_by"), read.said("deduped_for"));
        if (effect == "deduped") != (deduped_by.is_some() && deduped_for.is_some()) {
            let why = format!(
                "group `{name}`: `deduped_by` and `deduped_for` go with effect \"deduped\", and it with both"
            );
            self.fault(line, why);
        }
        let paths: Vec<PathRoute> = read
            .texts("paths")
            .iter()
            .filter_map(|path| PathRoute::read(path).map_err(|why| self.fault(line, why)).ok())
            .collect();
        let route = match (read.text("prefix"), read.text("header")) {
            (None, None) if !read.texts("paths").is_empty() => Some(Route::Paths(paths)),
            _ if !read.texts("paths").is_empty() => None,
            (Some(prefix), None) if prefix.starts_with('/') => Some(Route::Prefix(prefix)),
            (None, Some(header)) => header
                .split_once(':')
                .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_string()))
                .filter(|(name, value)| !name.is_empty() && !value.is_empty())
                .map(|(name, value)| Route::Header(name, value)),
            _ => None,
        };
        if route.is_none() {
            let why = format!(
                "group `{name}` needs a `prefix` that begins with `/`, a `header` as \"name: value\", or \
                 `paths`"
            );
            self.fault(line, why);
        }
        let paths = |route: &Route| match route {
            Route::Prefix(prefix) => vec![PathRoute::Prefix(prefix.clone())],
            Route::Header(..) => Vec::new(),
            Route::Paths(paths) => paths.clone(),
        };
        let same = |other: &&Group| {
            let here = route.as_ref().map(paths).unwrap_or_default();
            Some(&other.route) == route.as_ref() || paths(&other.route).iter().any(|path| here.contains(path))
        };
        if let Some(other) = others.iter().find(same) {
            self.fault(line, format!("groups `{name}` and `{}` have the same route", other.name));
        }
        let route = route.filter(|_| self.faults.len() == before)?;
        Some(Group {
            name: name.clone(),
            effect,
            deduped_by,
            deduped_for: deduped_for.and_then(Value::as_f64),
            latency_budget: budget,
            expiry,
            utility: read.number("utility"),
            own_zone: read.truth("own_zone"),
            route,
        })
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

impl Settings {
    /// What an engine is told at its start.
    pub fn setup(&self) -> EngineSettings {
        let group = |group: &Group| types::TrafficClass {
            idempotency: match group.effect.as_str() {
                "retriable" => Idempotency::Idempotent,
                "deduped" => Idempotency::IdempotentWithKey {
                    scope: match group.deduped_by.as_deref() {
                        Some("all") => DeduplicationScope::All,
                        Some("pack") => DeduplicationScope::SameCell,
                        _ => DeduplicationScope::SameZone,
                    },
                    window: span(group.deduped_for.unwrap_or_default()),
                },
                _ => Idempotency::NotIdempotent,
            },
            latency_objective: span(group.latency_budget),
            request_deadline: span(group.expiry),
            priority_weight: group.utility,
            same_zone_only: group.own_zone,
        };
        EngineSettings {
            governor: types::Settings {
                governor_count: self.governors,
                classes: self.groups.iter().map(group).collect(),
                key_slices: 0,
                proxy_count: self.proxies,
                default_table_size: self.standing_lines as usize,
                initial_capacity_fraction: self.cold_share,
                slow_start_duration: span(self.warm_after),
                proxies_eject_locally: self.proxies_avoid,
                report_interval: span(self.report_every),
                entries_per_second: self.lines_per_s,
                message_overhead_entries: self.head_lines,
                max_queued_entries: self.waiting_most,
                max_transit_delay: span(self.transit_most),
                message_limit: self.messages_most.map(|most| types::MessageLimit {
                    messages: most as usize,
                    interval: span(self.messages_over),
                }),
                admission_control: if self.levels {
                    AdmissionControl::Fraction
                } else {
                    AdmissionControl::Unsupported
                },
                default_retry_policy: match self.tries.as_str() {
                    "once" => RetryPolicy::OnAnyFailure,
                    "if-never-ran" => RetryPolicy::IfNotExecuted,
                    _ => RetryPolicy::Never,
                },
                cross_zone_cost: self.crossing_cost,
                health_check_cost: None,
                load_fields: self.load.iter().filter_map(|name| load_field(name)).collect(),
            },
            max_proxies: self.joined_most as usize,
            max_report_entries_per_second: self.report_lines_per_s,
            empty_roster_timeout: span(self.empty_after),
            history: (self.history_versions as usize, self.history_lines as usize),
        }
    }

    /// Differences to later settings that can't take effect while a governor runs, by section and field.
    pub fn fixed_differences(&self, later: &Settings) -> Vec<String> {
        let as_map = |one: &Settings| match serde_json::to_value(one) {
            Ok(Value::Object(map)) => map,
            _ => serde_json::Map::new(),
        };
        let (now, then) = (as_map(self), as_map(later));
        let loose = ["report_lines_per_s", "roster", "look_every", "nginx"];
        let fixed = now.iter().filter(|(name, _)| !loose.contains(&name.as_str()));
        fixed
            .filter(|(name, value)| then.get(*name) != Some(value))
            .map(|(name, value)| {
                format!("`{name}`: {value} runs, {} is asked for", then.get(name).unwrap_or(&Value::Null))
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
fleet(zones = ["north", "south"], proxies = 16, tries = "if-never-ran")
def plain(name, budget):
    group(name, latency_budget = budget, expiry = 5, prefix = "/" + name)
for name in ["match", "count"]:
    plain(name, 2)
group("charge", effect = "deduped", deduped_by = "all", deduped_for = 60, latency_budget = 2, expiry = 5,
      header = "X-Group: charge", utility = 3.0)
reports(every = 0.5, metrics = ["waiting"])
roster(file = "roster.json")
"#;

    fn why(script: &str) -> String {
        parse("s.star", script).unwrap_err().to_string()
    }

    #[test]
    fn functions_and_loops_make_groups() {
        let settings = parse("s.star", GOOD).unwrap();
        let names: Vec<_> = settings.groups.iter().map(|group| group.name.as_str()).collect();
        assert_eq!(names, ["match", "count", "charge"]);
        assert_eq!(settings.groups[2].route, Route::Header("x-group".into(), "charge".into()));
        let setup = settings.setup();
        assert_eq!(setup.governor.default_retry_policy, RetryPolicy::IfNotExecuted);
        assert!(matches!(
            setup.governor.classes[2].idempotency,
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
        ));
        assert_eq!(setup.governor.report_interval, Duration::from_millis(500));
    }

    #[test]
    fn governors_that_talk_say_where_and_with_which_key() {
        let talk =
            "governor(name = 'g0', keys = ['k'], talk = '10.0.0.1:15012', peers = ['g1=10.0.0.2:15012'])";
        let settings = parse("s.star", &format!("{GOOD}{talk}")).unwrap();
        assert_eq!(settings.peers, [("g1".to_string(), "10.0.0.2:15012".parse().unwrap())]);
        let why = |from: &str, to: &str| why(&format!("{GOOD}{}", talk.replace(from, to)));
        assert!(why("10.0.0.1:15012", "here").contains("`talk` is \"here\"; it takes `address:port`"));
        assert!(why("g1=", "").contains("it takes \"name=address:port\""));
        assert!(why("g1=", "g0=").contains("peer `g0` is this governor, or twice there"));
        for gone in ["keys = ['k'], ", "talk = '10.0.0.1:15012', ", "name = 'g0', "] {
            assert!(why(gone, "").contains("need `name`, `keys` and `talk`"), "{gone}");
        }
    }

    #[test]
    fn faults_name_the_line_and_what_would_be_right_all_at_once() {
        let script = GOOD.replace("every = 0.5", "evry = 0.5").replace("utility", "utilty");
        let said = why(&script);
        assert!(said.contains("s.star:7: `group` has no `utilty`; did you mean `utility`?"), "{said}");
        assert!(said.contains("s.star:9: `reports` has no `evry`; did you mean `every`?"), "{said}");
        let said = why(&GOOD
            .replace("proxies = 16", "proxies = -1")
            .replace("expiry = 5, prefix", "expiry = 1, prefix"));
        assert!(
            said.contains("s.star:2: `proxies` of `fleet` is -1; it takes a whole number from 1"),
            "{said}"
        );
        assert!(said.contains("s.star:4: the latency budget of group `match` (2 s) is beyond"), "{said}");
        assert!(why("grup('x')").contains("s.star:1"));
        assert!(why("fleet(").starts_with("s.star:1"));
        assert!(
            why(&format!("{GOOD}\nfleet(zones = ['x'], proxies = 1)"))
                .contains("s.star:12: `fleet` was said already, on line 2")
        );
    }

    #[test]
    fn what_needs_another_thing_is_said() {
        assert!(why(&GOOD.replace("roster(", "#")).contains("needs a `file`, or an `upstream`"));
        assert!(why(&GOOD.replace("deduped_by = \"all\", ", "")).contains("go with effect"));
        assert!(why(&GOOD.replace("X-Group: charge", "X-Group")).contains("needs a `prefix`"));
        let paths = |paths: &str| GOOD.replace("header = \"X-Group: charge\"", &format!("paths = {paths}"));
        assert!(why(&paths("[\"= x\"]")).contains("path \"= x\" does not begin with `/`"));
        assert!(why(&paths("[\"~ (\"]")).contains("no regular expression"));
        assert!(why(&paths("[\"/x\", \"/match\"]")).contains("have the same route"));
        assert!(why(&GOOD.replace("plain(name, 2)", "plain('match', 2)")).contains("was said already"));
        assert!(why(&GOOD.replace("\"waiting\"", "\"wating\"")).contains("did you mean `waiting`"));
        assert!(
            why("roster(file = 'x')").contains("0 groups")
                || why("roster(file = 'x')").contains("needs `zones`")
        );
    }

    #[test]
    fn scripts_that_never_end_or_grow_for_ever_are_stopped() {
        let endless = "def f():\n    for i in range(1000000000):\n        pass\nf()";
        assert!(why(endless).contains("s.star"));
        let growing =
            "x = []\ndef f():\n    for i in range(1000000000):\n        x.append('y' * 10000 + str(i))\nf()";
        assert!(why(growing).contains("s.star"));
        let deep = "def f(n):\n    return f(n + 1)\nf(0)";
        assert!(why(deep).contains("s.star"));
        assert!(why(&"#".repeat(2 << 20)).contains("bytes"));
    }

    #[test]
    fn what_can_not_change_while_running_is_named() {
        let now = parse("s.star", GOOD).unwrap();
        let later = parse(
            "s.star",
            &GOOD.replace("proxies = 16", "proxies = 17").replace("roster.json", "other.json"),
        );
        assert_eq!(now.fixed_differences(&later.unwrap()), ["`proxies`: 16 runs, 17 is asked for"]);
        assert!(now.fixed_differences(&now).is_empty());
    }
}
