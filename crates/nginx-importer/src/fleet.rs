//! Converts a configuration to fleets: one for each pool of replicas (a governor's settings and roster), with
//! the traffic classes routed to it. See `docs/design/nginx.md`.
//!
//! Reads and writes no files. The same configuration always gives the same fleets.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::directive_support::{DirectiveSupport, ImportReport, Outcome};
use crate::files::Configuration;
use crate::syntax::{Body, Directive, Position, Word};
use crate::values::{Target, parse_percentage, parse_seconds, parse_target, slugify};

/// Maximum number of traffic classes of one governor.
const MAX_CLASSES: usize = 64;
/// nginx's defaults of the timeouts, in seconds.
const DEFAULT_CONNECT_SECONDS: f64 = 60.0;
const DEFAULT_READ_SECONDS: f64 = 60.0;
/// The longest request deadline that settings accept, in seconds.
const MAX_DEADLINE_SECONDS: f64 = 3600.0;

/// How zones are assigned, as nginx has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ZoneAssignment {
    /// All replicas are in one zone.
    #[default]
    One,
    /// The zone is the network of the address: the first three numbers (IPv4) or the first four groups
    /// (IPv6).
    Network,
}

/// A server of an upstream as a roster entry.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ImportedReplica {
    /// Its address, so that the name stays the same over repeated imports.
    pub id: String,
    /// Its address, `host:port`.
    pub address: String,
    /// Its zone's name.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
    /// `ready`, `draining` or `gone`.
    pub phase: &'static str,
    /// Whether it is listed only while no other replica is ready.
    pub backup: bool,
    /// Its position, `file:line`.
    pub origin: String,
}

/// How requests are matched to a class.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Routes {
    /// Path patterns in the syntax of the settings.
    Paths(Vec<String>),
    /// A header and its value.
    Header(String),
}

/// The retry policy of nginx in terms of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ImportedRetryPolicy {
    /// No retry.
    Never,
    /// One retry if the first attempt was not executed.
    #[serde(rename = "if-never-ran")]
    IfNotExecuted,
    /// One retry after any failure.
    #[serde(rename = "once")]
    OnAnyFailure,
}

impl ImportedRetryPolicy {
    /// The name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            ImportedRetryPolicy::Never => "never",
            ImportedRetryPolicy::IfNotExecuted => "if-never-ran",
            ImportedRetryPolicy::OnAnyFailure => "once",
        }
    }
}

/// A traffic class, made of locations with the same settings.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ImportedClass {
    /// Its name.
    pub name: String,
    /// How requests are matched to it.
    pub routes: Routes,
    /// Whether requests may be executed more than once.
    #[serde(rename = "retriable")]
    pub idempotent: bool,
    /// In seconds.
    #[serde(rename = "latency_budget")]
    pub latency_objective: f64,
    /// Total time limit of a request, in seconds.
    #[serde(rename = "expiry")]
    pub request_deadline: f64,
    /// How failed attempts are retried.
    #[serde(rename = "tries")]
    pub retry_policy: ImportedRetryPolicy,
    /// The locations it was made of, with `file:line`.
    pub origins: Vec<String>,
}

/// A pool of replicas with the traffic classes routed to it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ImportedFleet {
    /// Its name.
    pub name: String,
    /// The upstreams it comes from, with `file:line`.
    pub origin: String,
    /// The zones' names.
    pub zones: Vec<String>,
    /// The replicas.
    pub replicas: Vec<ImportedReplica>,
    /// The traffic classes.
    #[serde(rename = "groups")]
    pub classes: Vec<ImportedClass>,
    /// Slow start time in seconds; none if no server sets one.
    #[serde(rename = "warm_after")]
    pub slow_start_seconds: Option<f64>,
    /// The most cautious retry policy of its classes.
    #[serde(rename = "tries")]
    pub retry_policy: ImportedRetryPolicy,
}

/// The result of an import.
#[derive(Debug, Clone)]
pub struct ImportResult {
    /// A fleet for each pool of replicas.
    pub fleets: Vec<ImportedFleet>,
    /// The report on all directives.
    pub report: ImportReport,
}

#[derive(Debug, Clone)]
struct Server {
    address: String,
    weight: f64,
    phase: &'static str,
    backup: bool,
    at: Position,
}

#[derive(Debug, Clone, Default)]
struct Upstream {
    servers: Vec<Server>,
    slow_start: Option<f64>,
    at: Position,
    /// The upstream directive and those in its block, for the report.
    directives: Vec<Directive>,
}

/// Settings of the enclosing blocks that a location inherits unless it sets its own.
#[derive(Debug, Clone, Default)]
struct InheritedSettings {
    connect: Option<f64>,
    read: Option<f64>,
    retry_conditions: Option<Vec<String>>,
    max_attempts: Option<u64>,
    retry_timeout: Option<f64>,
    safe_methods_only: bool,
}

/// Upstreams, each with its fraction of the requests.
type Shares = Vec<(String, f64)>;

/// A location that passes requests to upstreams.
struct RoutedLocation {
    shares: Shares,
    route: LocationRoute,
    idempotent: bool,
    latency_objective: f64,
    request_deadline: f64,
    retry_policy: ImportedRetryPolicy,
    position: Position,
    /// The words of the location directive.
    pattern: String,
    /// The location and its `proxy_pass` or `grpc_pass` directive, for the report.
    directives: [Directive; 2],
}

#[derive(Debug, Clone, PartialEq)]
enum LocationRoute {
    Path(String),
    Header(String),
}

/// How a variable selects an upstream.
enum UpstreamSelector {
    /// At random: upstreams with their fractions.
    Split(Shares),
    /// By a header: its name, the upstreams by value, and the default upstream.
    Header(String, Vec<(String, String)>, Option<String>),
}

struct Importer<'a> {
    configuration: &'a Configuration,
    zones: ZoneAssignment,
    report: ImportReport,
    upstreams: BTreeMap<String, Upstream>,
    /// By variable name, with the directive that defines it.
    selectors: BTreeMap<String, (UpstreamSelector, Directive)>,
    routed_locations: Vec<RoutedLocation>,
}

/// Lists directives, with included ones in place of their `include`.
fn flatten_includes(directives: &[Directive]) -> Vec<&Directive> {
    let mut all = Vec::new();
    for directive in directives {
        match &directive.body {
            Body::Included(children) => all.extend(flatten_includes(children)),
            _ => all.push(directive),
        }
    }
    all
}

/// Imports a configuration.
pub fn import(configuration: &Configuration, zones: ZoneAssignment) -> ImportResult {
    let mut importer = Importer {
        configuration,
        zones,
        report: ImportReport::default(),
        upstreams: BTreeMap::new(),
        selectors: BTreeMap::new(),
        routed_locations: Vec::new(),
    };
    let top = flatten_includes(&configuration.directives);
    let mut blocks: Vec<Vec<&Directive>> = Vec::new();
    for http in top.iter().filter(|child| child.is("http")) {
        importer.report.record(http, DirectiveSupport::by_name("http"));
        blocks.push(flatten_includes(http.block()));
    }
    // A file that is normally included in an `http` block may also be imported by itself.
    if blocks.is_empty() {
        blocks.push(top);
    }
    for block in &blocks {
        importer.upstreams(block);
        importer.selectors(block);
    }
    for block in &blocks {
        let inherited = importer.inherited(&InheritedSettings::default(), block);
        for server in block.iter().filter(|child| child.is("server") && matches!(child.body, Body::Block(_)))
        {
            importer.report.record(server, DirectiveSupport::by_name("server"));
            let children = flatten_includes(server.block());
            let inherited = importer.inherited(&inherited, &children);
            importer.locations(&children, &inherited, None);
        }
    }
    let fleets = importer.fleets();
    importer.report.complete(&configuration.directives);
    ImportResult { fleets, report: importer.report }
}

impl Importer<'_> {
    fn record_unsupported(&mut self, directive: &Directive, why: impl Into<String>) {
        let advice = DirectiveSupport::by_name(&directive.name.text()).advice;
        self.report.record(directive, DirectiveSupport::new(Outcome::Unsupported, true, why.into(), advice));
    }

    // ---- upstreams

    fn upstreams(&mut self, block: &[&Directive]) {
        for directive in block.iter().filter(|child| child.is("upstream")) {
            let (Some(name), Body::Block(_)) = (directive.word(0), &directive.body) else {
                self.record_unsupported(directive, "an upstream has a name and a block");
                continue;
            };
            if self.upstreams.contains_key(&*name) {
                self.record_unsupported(
                    directive,
                    format!("`{name}` was said already; nginx takes no second one"),
                );
                continue;
            }
            self.report.record(directive, DirectiveSupport::by_name("upstream"));
            let mut upstream = Upstream { at: directive.name.at, ..Upstream::default() };
            upstream.directives.push(directive.shallow());
            for child in flatten_includes(directive.block()) {
                upstream.directives.push(child.shallow());
                if child.is("server") {
                    self.server(child, &mut upstream);
                } else {
                    // Reported by name only: in an upstream, a directive may have another meaning than in an
                    // `http` block.
                    self.report.record(child, DirectiveSupport::by_name(&child.name.text()));
                }
            }
            self.upstreams.insert(name.into_owned(), upstream);
        }
    }

    fn server(&mut self, directive: &Directive, upstream: &mut Upstream) {
        let Some(value_text) = directive.word(0) else {
            return self.record_unsupported(directive, "a server without an address");
        };
        let mut support = DirectiveSupport::new(Outcome::Supported, true, "a replica on the roster", "");
        let address = match parse_target(&value_text, 80) {
            Some(Target::Address(address)) => address,
            Some(Target::Name(address)) => {
                let why = "the name is handed to proxies as it is, and looked up by nobody here";
                let advice = "list the addresses: public proxies take nothing else";
                support = DirectiveSupport::new(Outcome::Partial, true, why, advice);
                address
            }
            Some(Target::Unix(_)) => {
                return self
                    .record_unsupported(directive, "a roster holds hosts and ports, and no local sockets");
            }
            None => return self.record_unsupported(directive, format!("`{value_text}` is no address")),
        };
        let mut server =
            Server { address, weight: 1.0, phase: "ready", backup: false, at: directive.name.at };
        for word in &directive.words[1..] {
            let text = word.text();
            let (parameter, value) =
                text.split_once('=').map_or((&*text, None), |(name, value)| (name, Some(value)));
            let mut parameter_support = DirectiveSupport::by_name(parameter);
            match (parameter, value) {
                ("weight", Some(value)) => match value.parse::<u32>() {
                    Ok(weight) if weight > 0 => server.weight = f64::from(weight),
                    _ => parameter_support = invalid_value(value, "a whole number above 0"),
                },
                ("down", None) => server.phase = "gone",
                ("drain", None) if server.phase == "ready" => server.phase = "draining",
                ("backup", None) => server.backup = true,
                ("slow_start", Some(value)) => match parse_seconds(value) {
                    Some(duration) => {
                        let longest =
                            upstream.slow_start.unwrap_or(0.0).max(duration.min(MAX_DEADLINE_SECONDS));
                        upstream.slow_start = Some(longest);
                    }
                    None => parameter_support = invalid_value(value, "a span"),
                },
                ("max_fails" | "fail_timeout" | "max_conns" | "service" | "route", Some(_)) => {}
                ("resolve" | "drain", None) => {}
                _ => parameter_support = invalid_value(&text, "a parameter that this importer knows"),
            }
            self.report.record_parameter(word.at, parameter, parameter_support);
        }
        self.report.record(directive, support);
        match upstream.servers.iter_mut().find(|known| known.address == server.address) {
            // A server listed twice gets the sum of its weights, as in nginx.
            Some(known) if known.backup == server.backup && known.phase == server.phase => {
                known.weight += server.weight;
            }
            Some(_) => self.record_unsupported(directive, "the same address stands there as something else"),
            None => upstream.servers.push(server),
        }
    }

    // ---- variables that select upstreams

    fn selectors(&mut self, block: &[&Directive]) {
        for directive in block.iter().filter(|child| child.is("split_clients") || child.is("map")) {
            let variable = directive.word(1).and_then(|word| Some(word.strip_prefix('$')?.to_string()));
            let (Some(from), Some(variable)) = (directive.word(0), variable) else {
                self.record_unsupported(directive, "it takes what it looks at, and a variable");
                continue;
            };
            let selector = match directive.is("map") {
                true => self.header_selector(&from, directive),
                false => self.split_selector(directive),
            };
            // Recorded as supported only when a location uses the variable.
            match selector {
                Ok(Some(selector)) => drop(self.selectors.insert(variable, (selector, directive.shallow()))),
                Ok(None) => {
                    let why = "it chooses no upstream";
                    self.report.record(
                        directive,
                        DirectiveSupport::new(Outcome::Unsupported, false, why, "keep it in the proxy"),
                    );
                }
                Err(why) => self.record_unsupported(directive, why),
            }
        }
    }

    fn split_selector(&self, directive: &Directive) -> Result<Option<UpstreamSelector>, String> {
        let (mut shares, mut remaining) = (Vec::new(), 1.0);
        for entry in flatten_includes(directive.block()) {
            let Some(target) = entry.word(0) else { return Err("an entry without its value".to_string()) };
            if !self.upstreams.contains_key(&*target) {
                return Ok(None);
            }
            let fraction = match entry.is("*") {
                true => f64::max(remaining, 0.0),
                false => parse_percentage(&entry.name.text())
                    .ok_or_else(|| format!("`{}` is no part", entry.name.text()))?,
            };
            remaining -= fraction;
            if fraction > 0.0 {
                shares.push((target.into_owned(), fraction));
            }
        }
        if remaining < -1e-9 {
            return Err("its parts are more than the whole".to_string());
        }
        // Without `*`, the rest is mapped to an empty value, that is, to no upstream.
        Ok((!shares.is_empty()).then_some(UpstreamSelector::Split(shares)))
    }

    fn header_selector(&self, from: &str, directive: &Directive) -> Result<Option<UpstreamSelector>, String> {
        let (mut values, mut default_target, mut has_upstream) = (Vec::new(), None, false);
        for entry in flatten_includes(directive.block()) {
            let value = entry.name.text().into_owned();
            if entry.words.is_empty() && (entry.is("hostnames") || entry.is("volatile")) {
                continue;
            }
            let Some(to) = entry.word(0) else { return Err("an entry without its value".to_string()) };
            has_upstream |= self.upstreams.contains_key(&*to);
            match &*value {
                "default" => default_target = Some(to.into_owned()),
                _ => values.push((value.strip_prefix('\\').unwrap_or(&value).to_string(), to.into_owned())),
            }
        }
        if !has_upstream {
            return Ok(None);
        }
        let Some(header) = from.strip_prefix("$http_") else {
            return Err(format!("groups are told by paths and headers, and not by `{from}`"));
        };
        let pattern_value = values
            .iter()
            .find(|(value, _)| value.is_empty() || value.starts_with('~') || value.contains('*'));
        if let Some((value, _)) = pattern_value {
            return Err(format!("a group's header has one value, and `{value}` is a pattern or none"));
        }
        let targets = values.iter().map(|(_, to)| to).chain(&default_target);
        if let Some(unknown) = targets.clone().find(|to| !to.is_empty() && !self.upstreams.contains_key(*to))
        {
            return Err(format!("`{unknown}` is no upstream"));
        }
        values.retain(|(_, to)| !to.is_empty());
        Ok(Some(UpstreamSelector::Header(
            header.replace('_', "-"),
            values,
            default_target.filter(|to| !to.is_empty()),
        )))
    }

    // ---- locations

    /// The settings that a block passes on to the blocks within it.
    fn inherited(&mut self, outer: &InheritedSettings, block: &[&Directive]) -> InheritedSettings {
        let mut settings = outer.clone();
        for directive in block {
            let name = directive.name.text();
            let (text, duration) = (
                directive.word(0).unwrap_or_default(),
                directive.word(0).and_then(|word| parse_seconds(&word)),
            );
            let invalid_duration = || invalid_value(&text, "a span");
            let mut support = DirectiveSupport::by_name(&name);
            let valid = duration.is_some();
            match &*name {
                "proxy_connect_timeout" | "grpc_connect_timeout" if valid => settings.connect = duration,
                "proxy_read_timeout" | "grpc_read_timeout" if valid => settings.read = duration,
                "proxy_next_upstream_timeout" | "grpc_next_upstream_timeout" if valid => {
                    settings.retry_timeout = duration;
                }
                "proxy_connect_timeout" | "proxy_read_timeout" | "proxy_next_upstream_timeout" => {
                    support = invalid_duration();
                }
                "grpc_connect_timeout" | "grpc_read_timeout" | "grpc_next_upstream_timeout" => {
                    support = invalid_duration();
                }
                "proxy_next_upstream_tries" | "grpc_next_upstream_tries" => match text.parse() {
                    Ok(count) => settings.max_attempts = Some(count),
                    Err(_) => support = invalid_value(&text, "a number"),
                },
                "proxy_next_upstream" | "grpc_next_upstream" => {
                    settings.retry_conditions =
                        Some(directive.words.iter().map(|word| word.text().into_owned()).collect());
                }
                "proxy_method" => settings.safe_methods_only = ["GET", "HEAD"].contains(&&*text),
                "server_name" | "limit_req" | "limit_conn" => {}
                _ => continue,
            }
            if let Some(known) =
                name.strip_prefix("grpc_").filter(|_| support.reason.contains("does not know"))
            {
                support = DirectiveSupport::by_name(&format!("proxy_{known}"));
            }
            self.report.record(directive, support);
        }
        settings
    }

    /// Imports the locations of a block. `outer_path`: the path of the enclosing location.
    fn locations(&mut self, block: &[&Directive], inherited: &InheritedSettings, outer_path: Option<&str>) {
        for directive in block.iter().filter(|child| child.is("location")) {
            let Body::Block(_) = &directive.body else {
                self.record_unsupported(directive, "a location has a block");
                continue;
            };
            let inner = flatten_includes(directive.block());
            let path = match path(&directive.words) {
                Ok(path) => path,
                Err(why) => {
                    self.record_unsupported(directive, why);
                    continue;
                }
            };
            let settings = self.inherited(inherited, &inner);
            // `limit_except` applies to this location only: nginx does not pass it on to nested ones.
            let mut location_settings = settings.clone();
            for except in inner.iter().filter(|child| child.is("limit_except")) {
                if allows_safe_methods_only(except) {
                    location_settings.safe_methods_only = true;
                    self.report.record(except, DirectiveSupport::by_name("limit_except"));
                } else {
                    let why =
                        "some flows that write are let in by it, too: the group is not retriable for it";
                    let support =
                        DirectiveSupport::new(Outcome::Unsupported, false, why, "keep it in the proxy");
                    self.report.record(except, support);
                }
            }
            if inner.iter().any(|child| child.is("internal")) {
                self.record_unsupported(directive, "no client reaches an internal location: it is no route");
                continue;
            }
            let passes: Vec<&&Directive> =
                inner.iter().filter(|child| child.is("proxy_pass") || child.is("grpc_pass")).collect();
            match passes.as_slice() {
                [] => {
                    let why = "no flows are passed on from here: the proxy answers by itself";
                    let support =
                        DirectiveSupport::new(Outcome::Unsupported, false, why, "keep it in the proxy");
                    self.report.record(directive, support);
                }
                [pass] => self.pass(directive, pass, &path, &location_settings),
                [first, second, ..] => {
                    self.record_unsupported(second, "a second one in one location");
                    self.record_unsupported_pass(
                        directive,
                        first,
                        "nginx takes one in a location".to_string(),
                    );
                }
            }
            if outer_path.is_some() && path.starts_with('~') {
                let why = "a pattern within a location counts for all paths, and not only for those there";
                self.report.record(
                    directive,
                    DirectiveSupport::new(Outcome::Partial, true, why, "begin it with the path"),
                );
            }
            self.locations(&inner, &settings, Some(&path));
        }
    }

    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    fn pass(&mut self, location: &Directive, pass: &Directive, path: &str, settings: &InheritedSettings) {
        self.report.record(location, DirectiveSupport::by_name("location"));
        let value_text = pass.word(0).unwrap_or_default().into_owned();
        let (scheme, remaining) = value_text.split_once("://").unwrap_or(("", &value_text));
        let at = remaining.find('/').unwrap_or(remaining.len());
        let (target, uri) = (&remaining[..at], &remaining[at..]);
        let default_port = match scheme {
            "http" | "grpc" => 80,
            "https" | "grpcs" => 443,
            "" if pass.is("grpc_pass") => 80,
            _ => {
                return self.record_unsupported_pass(
                    location,
                    pass,
                    format!("`{value_text}` is neither HTTP nor HTTPS"),
                );
            }
        };
        let mut support = DirectiveSupport::by_name("proxy_pass");
        if default_port == 443 {
            let why = "it is followed, and encryption to replicas is the proxy's own";
            support = DirectiveSupport::new(Outcome::Partial, true, why, "keep `proxy_ssl_...` in the proxy");
        }
        if !uri.is_empty() && uri != path.trim_start_matches("^~ ") {
            let why = format!("it replaces the location's path by `{uri}`, and flows keep theirs");
            support =
                DirectiveSupport::new(Outcome::Partial, true, why, "have replicas take the path as it comes");
        }
        let path_route = || LocationRoute::Path(path.to_string());
        let variable = target
            .strip_prefix("${")
            .and_then(|target| target.strip_suffix('}'))
            .or(target.strip_prefix('$'));
        let targets: Result<Vec<(Shares, LocationRoute)>, String> = match variable {
            Some(variable) => match self.selectors.get(variable) {
                Some((UpstreamSelector::Split(shares), _)) => Ok(vec![(shares.clone(), path_route())]),
                Some((UpstreamSelector::Header(header, values, default_target), _)) if path == "/" => {
                    let by_value = |(value, target): &(String, String)| {
                        (vec![(target.clone(), 1.0)], LocationRoute::Header(format!("{header}: {value}")))
                    };
                    let default_target =
                        default_target.iter().map(|target| (vec![(target.clone(), 1.0)], path_route()));
                    Ok(values.iter().map(by_value).chain(default_target).collect())
                }
                Some((UpstreamSelector::Header(..), _)) => {
                    Err("a group is told by paths or by a header: with both only the location `/` is"
                        .to_string())
                }
                None => Err(format!("nothing here says which upstream `${variable}` is")),
            },
            None if target.contains('$') => Err(format!("nothing here says which upstream `{target}` is")),
            None if self.upstreams.contains_key(target) => {
                Ok(vec![(vec![(target.to_string(), 1.0)], path_route())])
            }
            None => match parse_target(target, default_port) {
                Some(Target::Address(address) | Target::Name(address)) => {
                    let server = Server {
                        address: address.clone(),
                        weight: 1.0,
                        phase: "ready",
                        backup: false,
                        at: pass.name.at,
                    };
                    let at = pass.name.at;
                    let upstream = Upstream { servers: vec![server], at, ..Upstream::default() };
                    self.upstreams.entry(address.clone()).or_insert(upstream);
                    Ok(vec![(vec![(address, 1.0)], path_route())])
                }
                _ => Err(format!("`{target}` is no upstream and no address")),
            },
        };
        let targets = match targets {
            Ok(targets) => targets,
            Err(why) => return self.record_unsupported_pass(location, pass, why),
        };
        let listed = |(target, _): &(String, f64)| !self.upstreams[target].servers.is_empty();
        if !targets.iter().all(|(target, _)| target.iter().any(listed)) {
            return self.record_unsupported_pass(
                location,
                pass,
                "none of its servers can be listed".to_string(),
            );
        }
        self.report.record(pass, support);
        if let Some((_, selector)) = variable.and_then(|variable| self.selectors.get(variable)) {
            self.report.record(selector, DirectiveSupport::by_name(&selector.name.text()));
        }
        let attempt_seconds = (settings.connect.unwrap_or(DEFAULT_CONNECT_SECONDS)
            + settings.read.unwrap_or(DEFAULT_READ_SECONDS))
        .clamp(0.001, MAX_DEADLINE_SECONDS);
        let retry_conditions: Vec<&str> = match &settings.retry_conditions {
            Some(retry_conditions) => retry_conditions.iter().map(String::as_str).collect(),
            None => vec!["error", "timeout"],
        };
        let retries_any_failure = retry_conditions.contains(&"non_idempotent");
        let policy = match (
            retry_conditions.contains(&"off") || settings.max_attempts == Some(1),
            retries_any_failure,
        ) {
            (true, _) => ImportedRetryPolicy::Never,
            (false, false) => ImportedRetryPolicy::IfNotExecuted,
            (false, true) => ImportedRetryPolicy::OnAnyFailure,
        };
        let deadline = match (policy, settings.retry_timeout.unwrap_or(0.0)) {
            (ImportedRetryPolicy::Never, _) => attempt_seconds,
            (_, 0.0) => 2.0 * attempt_seconds,
            // The timeout limits the start of a retry and does not cut the first attempt short.
            (_, timeout) => (2.0 * attempt_seconds).min(timeout.max(attempt_seconds)),
        };
        for (target, route) in targets {
            let pattern = location.words.iter().map(Word::text).collect::<Vec<_>>().join(" ");
            self.routed_locations.push(RoutedLocation {
                shares: target,
                route,
                idempotent: settings.safe_methods_only || retries_any_failure,
                latency_objective: attempt_seconds,
                request_deadline: deadline.min(MAX_DEADLINE_SECONDS),
                retry_policy: policy,
                position: location.name.at,
                pattern,
                directives: [location.shallow(), pass.shallow()],
            });
        }
    }

    fn record_unsupported_pass(&mut self, location: &Directive, pass: &Directive, why: String) {
        self.record_unsupported(pass, why);
        self.record_unsupported(location, "its flows lead nowhere here");
    }

    // ---- fleets

    fn fleets(&mut self) -> Vec<ImportedFleet> {
        let mut fleets: Vec<ImportedFleet> = Vec::new();
        let (mut known, mut taken): (BTreeMap<String, usize>, BTreeSet<String>) = Default::default();
        for index in 0..self.routed_locations.len() {
            let location = &self.routed_locations[index];
            let (replicas, slow_start) = self.merge_replicas(&location.shares);
            let identity = |replica: &ImportedReplica| {
                (replica.id.clone(), replica.weight, replica.phase, replica.backup)
            };
            // Upstreams with the same replicas form one pool.
            let pool_key = format!("{slow_start:?} {:?}", replicas.iter().map(identity).collect::<Vec<_>>());
            let at = match known.get(&pool_key) {
                Some(at) => *at,
                None => {
                    let fleet = self.fleet(location, replicas, slow_start, &taken);
                    taken.insert(fleet.name.clone());
                    known.insert(pool_key, fleets.len());
                    fleets.push(fleet);
                    fleets.len() - 1
                }
            };
            self.assign_class(index, at, &mut fleets);
        }
        let used: BTreeSet<&String> = self
            .routed_locations
            .iter()
            .flat_map(|location| &location.shares)
            .map(|(target, _)| target)
            .collect();
        for (_, upstream) in self.upstreams.iter().filter(|(name, _)| !used.contains(name)) {
            if upstream.servers.is_empty() {
                let why = "none of its servers can be listed";
                upstream
                    .directives
                    .first()
                    .into_iter()
                    .for_each(|item| self.report.revoke(item, true, why, ""));
                continue;
            }
            let (why, advice) = ("no location leads to this upstream", "import the file that does, too");
            upstream.directives.iter().for_each(|item| self.report.revoke(item, false, why, advice));
        }
        self.record_shared_addresses(&fleets);
        fleets.retain(|fleet| !fleet.classes.is_empty());
        for fleet in &mut fleets {
            fleet.retry_policy = fleet
                .classes
                .iter()
                .map(|class| class.retry_policy)
                .min()
                .unwrap_or(ImportedRetryPolicy::Never);
        }
        fleets
    }

    /// Merges the replicas of upstreams, each weighted by the fraction of its upstream. Also returns the
    /// longest slow start time.
    fn merge_replicas(&self, shares: &[(String, f64)]) -> (Vec<ImportedReplica>, Option<f64>) {
        let mut replicas: BTreeMap<String, ImportedReplica> = BTreeMap::new();
        let mut slow_start: Option<f64> = None;
        for (name, fraction) in shares {
            let upstream = &self.upstreams[name];
            if let Some(duration) = upstream.slow_start {
                slow_start = Some(slow_start.unwrap_or(0.0).max(duration));
            }
            let is_counted = |server: &&Server| !server.backup && server.phase != "gone";
            let sum: f64 = upstream.servers.iter().filter(is_counted).map(|server| server.weight).sum();
            // A single upstream keeps its configured weights.
            let scale = if shares.len() == 1 { 1.0 } else { fraction * 100.0 / sum.max(1.0) };
            for server in &upstream.servers {
                let weight = (server.weight * scale * 1e6).round().max(1.0) / 1e6;
                let replica = ImportedReplica {
                    id: server.address.clone(),
                    address: server.address.clone(),
                    zone: self.zone(&server.address),
                    weight,
                    phase: server.phase,
                    backup: server.backup,
                    origin: self.configuration.origin(server.at),
                };
                replicas
                    .entry(server.address.clone())
                    .and_modify(|replica| replica.weight += weight)
                    .or_insert(replica);
            }
        }
        (replicas.into_values().collect(), slow_start)
    }

    fn zone(&self, address: &str) -> String {
        let host = address.rsplit_once(':').map_or(address, |(host, _)| host).trim_matches(['[', ']']);
        match (self.zones, host.parse::<std::net::IpAddr>()) {
            (ZoneAssignment::One, _) => "all".to_string(),
            (ZoneAssignment::Network, Ok(std::net::IpAddr::V4(at))) => {
                let [a, b, c, _] = at.octets();
                format!("{a}.{b}.{c}")
            }
            (ZoneAssignment::Network, Ok(std::net::IpAddr::V6(at))) => {
                let [a, b, c, d, ..] = at.segments();
                format!("{a:x}:{b:x}:{c:x}:{d:x}")
            }
            (ZoneAssignment::Network, Err(_)) => "names".to_string(),
        }
    }

    fn fleet(
        &self,
        location: &RoutedLocation,
        replicas: Vec<ImportedReplica>,
        slow_start: Option<f64>,
        taken: &BTreeSet<String>,
    ) -> ImportedFleet {
        let names: Vec<&str> = location.shares.iter().map(|(target, _)| target.as_str()).collect();
        let first = &self.upstreams[names[0]];
        let zones: BTreeSet<String> = replicas.iter().map(|replica| replica.zone.clone()).collect();
        ImportedFleet {
            name: unique_name(&slugify(&names.join(" ")), "pool", taken),
            origin: format!("upstream {} ({})", names.join(" and "), self.configuration.origin(first.at)),
            zones: zones.into_iter().collect(),
            replicas,
            classes: Vec::new(),
            slow_start_seconds: slow_start,
            retry_policy: ImportedRetryPolicy::Never,
        }
    }

    /// Adds a location to the class of its fleet with the same settings, or to a new class.
    fn assign_class(&mut self, index: usize, at: usize, fleets: &mut [ImportedFleet]) {
        let location = &self.routed_locations[index];
        let origin =
            format!("location {} ({})", location.pattern, self.configuration.origin(location.position));
        let classes = &mut fleets[at].classes;
        if let LocationRoute::Path(path) = &location.route {
            let has_path =
                |class: &ImportedClass| matches!(&class.routes, Routes::Paths(paths) if paths.contains(path));
            if let Some(known) = classes.iter_mut().find(|class| has_path(class)) {
                if has_same_settings(known, location) {
                    known.origins.push(origin);
                    return;
                }
                let why = format!("`{path}` leads to group `{}` already, said otherwise there", known.name);
                let advice = "governors do not tell hosts apart: run one for each";
                location.directives.iter().for_each(|item| self.report.revoke(item, true, &why, advice));
                return;
            }
            let accepts_path = |class: &&mut ImportedClass| {
                matches!(class.routes, Routes::Paths(_)) && has_same_settings(class, location)
            };
            if let Some(class) = classes.iter_mut().find(accepts_path) {
                if let Routes::Paths(paths) = &mut class.routes {
                    paths.push(path.clone());
                }
                class.origins.push(origin);
                return;
            }
        }
        let same_header = |class: &ImportedClass| match (&class.routes, &location.route) {
            (Routes::Header(known), LocationRoute::Header(header)) => known == header,
            _ => false,
        };
        let is_full = classes.len() >= MAX_CLASSES;
        if is_full || classes.iter().any(same_header) {
            let why = match is_full {
                true => format!("a governor has {MAX_CLASSES} groups at the most"),
                false => "the same header leads to a group already".to_string(),
            };
            location
                .directives
                .iter()
                .for_each(|item| self.report.revoke(item, true, &why, "run a governor of its own"));
            return;
        }
        let (base_name, routes) = match &location.route {
            LocationRoute::Path(path) => (slugify(path), Routes::Paths(vec![path.clone()])),
            LocationRoute::Header(header) => (slugify(header), Routes::Header(header.clone())),
        };
        let taken = classes.iter().map(|class| class.name.clone()).collect();
        classes.push(ImportedClass {
            name: unique_name(&base_name, "root", &taken),
            routes,
            idempotent: location.idempotent,
            latency_objective: location.latency_objective,
            request_deadline: location.request_deadline,
            retry_policy: location.retry_policy,
            origins: vec![origin],
        });
    }

    /// Reports replicas that several fleets send requests to.
    fn record_shared_addresses(&mut self, fleets: &[ImportedFleet]) {
        let mut fleets_by_address: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for fleet in fleets {
            fleet
                .replicas
                .iter()
                .for_each(|replica| fleets_by_address.entry(&replica.address).or_default().push(&fleet.name));
        }
        let mut upstreams: Vec<(Position, String)> = Vec::new();
        for upstream in self.upstreams.values() {
            upstreams.extend(upstream.servers.iter().map(|server| (server.at, server.address.clone())));
        }
        for (at, address) in upstreams {
            let Some(fleets) = fleets_by_address.get(address.as_str()).filter(|fleets| fleets.len() > 1)
            else {
                continue;
            };
            let why =
                format!("{} send there, and none of them sees what the others do", fleets.join(" and "));
            let advice = "say in each roster the part of its weight that is meant for it";
            self.report.record_parameter(
                at,
                "shared address",
                DirectiveSupport::new(Outcome::Partial, true, why, advice),
            );
        }
    }
}

impl Directive {
    /// A copy without the block, for the report.
    fn shallow(&self) -> Directive {
        Directive { name: self.name.clone(), words: self.words.clone(), body: Body::None }
    }
}

fn invalid_value(value_text: &str, expected: &str) -> DirectiveSupport {
    DirectiveSupport::new(
        Outcome::Unsupported,
        true,
        format!("`{value_text}` is not {expected}"),
        "mend it: nginx takes none of it, either",
    )
}

/// Whether a `limit_except` block admits only methods that read: it has to deny everything else, without
/// exceptions.
fn allows_safe_methods_only(except: &Directive) -> bool {
    let is_safe_method = |word: &Word| ["GET", "HEAD", "OPTIONS"].iter().any(|method| word.is(method));
    let denies = |child: &&Directive| child.is("deny") && child.words.len() == 1 && child.words[0].is("all");
    let children = flatten_includes(except.block());
    !except.words.is_empty()
        && except.words.iter().all(is_safe_method)
        && !children.is_empty()
        && children.iter().all(denies)
}

/// Whether a location has the settings of a class and may be added to it.
fn has_same_settings(class: &ImportedClass, location: &RoutedLocation) -> bool {
    class.idempotent == location.idempotent
        && class.latency_objective == location.latency_objective
        && class.request_deadline == location.request_deadline
        && class.retry_policy == location.retry_policy
}

/// A name that is not taken yet.
fn unique_name(preferred: &str, fallback: &str, taken: &BTreeSet<String>) -> String {
    let preferred = if preferred.is_empty() { fallback } else { preferred };
    let numbered = (2..).map(|number| format!("{preferred}-{number}"));
    std::iter::once(preferred.to_string())
        .chain(numbered)
        .find(|name| !taken.contains(name))
        .unwrap_or_default()
}

/// The path of a location in the syntax of the settings.
fn path(words: &[Word]) -> Result<String, String> {
    let texts: Vec<String> = words.iter().map(|word| word.text().into_owned()).collect();
    let (operator, path) = match texts.as_slice() {
        [operator, path] if ["=", "^~", "~", "~*"].contains(&operator.as_str()) => {
            (operator.as_str(), path.as_str())
        }
        [combined] => {
            let operators = ["^~", "~*", "~", "="];
            let operator =
                operators.into_iter().find(|operator| combined.starts_with(operator)).unwrap_or("");
            (operator, &combined[operator.len()..])
        }
        _ => return Err("a location has one path".to_string()),
    };
    if path.starts_with('@') {
        return Err("a named location is reached from others only: it is no route".to_string());
    }
    match operator {
        "~" | "~*" => match regex::Regex::new(path) {
            Ok(_) => Ok(format!("{operator} {path}")),
            Err(_) => Err(format!("`{path}` is not a pattern that public proxies take (RE2)")),
        },
        _ if !path.starts_with('/') || path.contains('"') => {
            Err(format!("path `{path}` does not begin with `/`"))
        }
        "" => Ok(path.to_string()),
        operator => Ok(format!("{operator} {path}")),
    }
}
