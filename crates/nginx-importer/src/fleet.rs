//! What a configuration becomes: for each pool of replicas a fleet of its own (a governor's settings and its
//! roster), with the traffic groups that lead there. See `docs/design/nginx.md`.
//!
//! Nothing here reads a file or writes one; the same configuration comes to the same fleets.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::directive_support::{DirectiveSupport, ImportReport, Outcome};
use crate::files::Configuration;
use crate::syntax::{Body, Directive, Position, Word};
use crate::values::{Target, name, seconds, share, target};

/// Groups of one governor, at the most.
const MOST_GROUPS: usize = 64;
/// What nginx takes where nothing is said: seconds to connect, and to read.
const CONNECT: f64 = 60.0;
const READ: f64 = 60.0;
/// The longest expiry that settings take.
const LONGEST: f64 = 3600.0;

/// How zones are told, as nginx has none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ZoneAssignment {
    /// All in one.
    #[default]
    One,
    /// By the network of the address: the first three numbers (IPv4), the first four groups (IPv6).
    Network,
}

/// A server of an upstream, as the roster lists it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ImportedReplica {
    /// Its address, so that it keeps its name over repeated imports.
    pub id: String,
    /// Its address, `host:port`.
    pub address: String,
    /// Its zone's name.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
    /// `ready`, `draining` or `gone`.
    pub phase: &'static str,
    /// It is listed only while no other is ready.
    pub backup: bool,
    /// Where it is written, `file:line`.
    pub origin: String,
}

/// What leads requests to a class.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Routes {
    /// As the settings spell them.
    Paths(Vec<String>),
    /// A header and its value.
    Header(String),
}

/// What nginx does after a failed attempt, in the terms of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ImportedRetryPolicy {
    /// Nothing.
    Never,
    /// One more attempt if the first was not executed.
    #[serde(rename = "if-never-ran")]
    IfNotExecuted,
    /// One more attempt whatever became of the first.
    #[serde(rename = "once")]
    OnAnyFailure,
}

impl ImportedRetryPolicy {
    /// As the settings spell it.
    pub fn name(self) -> &'static str {
        match self {
            ImportedRetryPolicy::Never => "never",
            ImportedRetryPolicy::IfNotExecuted => "if-never-ran",
            ImportedRetryPolicy::OnAnyFailure => "once",
        }
    }
}

/// A traffic class: locations that are alike.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ImportedClass {
    /// Its name.
    pub name: String,
    /// What leads requests to it.
    pub routes: Routes,
    /// Repeats do no harm.
    #[serde(rename = "retriable")]
    pub idempotent: bool,
    /// Seconds.
    #[serde(rename = "latency_budget")]
    pub latency_objective: f64,
    /// How long a request may take in all, in seconds.
    #[serde(rename = "expiry")]
    pub request_deadline: f64,
    /// What becomes of failed attempts.
    #[serde(rename = "tries")]
    pub retry_policy: ImportedRetryPolicy,
    /// The locations it comes from: what they are, and `file:line`.
    pub origins: Vec<String>,
}

/// A pool of replicas with the traffic classes that lead there.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ImportedFleet {
    /// Its name.
    pub name: String,
    /// Where it is written.
    pub origin: String,
    /// The zones' names.
    pub zones: Vec<String>,
    /// The replicas.
    pub replicas: Vec<ImportedReplica>,
    /// The traffic classes.
    #[serde(rename = "groups")]
    pub classes: Vec<ImportedClass>,
    /// Seconds; none where nothing is said.
    #[serde(rename = "warm_after")]
    pub slow_start_seconds: Option<f64>,
    /// The most cautious retry policy of its classes.
    #[serde(rename = "tries")]
    pub retry_policy: ImportedRetryPolicy,
}

/// What a configuration becomes.
#[derive(Debug, Clone)]
pub struct ImportResult {
    /// A fleet for each pool of replicas.
    pub fleets: Vec<ImportedFleet>,
    /// What becomes of each directive.
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
    /// Itself and what stands in it, for their fates.
    heads: Vec<Directive>,
}

/// What is said outside a location, and holds within it unless it says otherwise.
#[derive(Debug, Clone, Default)]
struct InheritedSettings {
    connect: Option<f64>,
    read: Option<f64>,
    next: Option<Vec<String>>,
    tries: Option<u64>,
    next_within: Option<f64>,
    reads_only: bool,
}

/// Upstreams, and the part of flows that each gets.
type Shares = Vec<(String, f64)>;

/// One location that passes flows on.
struct RoutedLocation {
    shares: Shares,
    route: LocationRoute,
    idempotent: bool,
    latency_objective: f64,
    request_deadline: f64,
    retry_policy: ImportedRetryPolicy,
    position: Position,
    /// As it is written.
    written: String,
    /// The location and what passes its flows on, for their fates.
    directives: [Directive; 2],
}

#[derive(Debug, Clone, PartialEq)]
enum LocationRoute {
    Path(String),
    Header(String),
}

/// A variable that chooses an upstream.
enum UpstreamSelector {
    /// By chance: upstreams and their parts.
    Split(Shares),
    /// By a header: its name, upstreams by value, and by default.
    Header(String, Vec<(String, String)>, Option<String>),
}

struct Importer<'a> {
    whole: &'a Configuration,
    zones: ZoneAssignment,
    account: ImportReport,
    upstreams: BTreeMap<String, Upstream>,
    /// By the variable, with the directive that says it.
    choices: BTreeMap<String, (UpstreamSelector, Directive)>,
    leads: Vec<RoutedLocation>,
}

/// Directives with what is included among them in its place.
fn each(directives: &[Directive]) -> Vec<&Directive> {
    let mut all = Vec::new();
    for directive in directives {
        match &directive.body {
            Body::Included(within) => all.extend(each(within)),
            _ => all.push(directive),
        }
    }
    all
}

/// Imports a configuration.
pub fn import(whole: &Configuration, zones: ZoneAssignment) -> ImportResult {
    let mut importer = Importer {
        whole,
        zones,
        account: ImportReport::default(),
        upstreams: BTreeMap::new(),
        choices: BTreeMap::new(),
        leads: Vec::new(),
    };
    let top = each(&whole.directives);
    let mut blocks: Vec<Vec<&Directive>> = Vec::new();
    for http in top.iter().filter(|one| one.is("http")) {
        importer.account.record(http, DirectiveSupport::of("http"));
        blocks.push(each(http.block()));
    }
    // A file that is included elsewhere within `http` may be given by itself.
    if blocks.is_empty() {
        blocks.push(top);
    }
    for block in &blocks {
        importer.upstreams(block);
        importer.choices(block);
    }
    for block in &blocks {
        let inherited = importer.inherited(&InheritedSettings::default(), block);
        for server in block.iter().filter(|one| one.is("server") && matches!(one.body, Body::Block(_))) {
            importer.account.record(server, DirectiveSupport::of("server"));
            let within = each(server.block());
            let inherited = importer.inherited(&inherited, &within);
            importer.locations(&within, &inherited, None);
        }
    }
    let fleets = importer.fleets();
    importer.account.complete(&whole.directives);
    ImportResult { fleets, report: importer.account }
}

impl Importer<'_> {
    fn left(&mut self, directive: &Directive, why: impl Into<String>) {
        let advice = DirectiveSupport::of(&directive.name.text()).advice;
        self.account.record(directive, DirectiveSupport::new(Outcome::Unsupported, true, why.into(), advice));
    }

    // ---- upstreams

    fn upstreams(&mut self, block: &[&Directive]) {
        for directive in block.iter().filter(|one| one.is("upstream")) {
            let (Some(name), Body::Block(_)) = (directive.word(0), &directive.body) else {
                self.left(directive, "an upstream has a name and a block");
                continue;
            };
            if self.upstreams.contains_key(&*name) {
                self.left(directive, format!("`{name}` was said already; nginx takes no second one"));
                continue;
            }
            self.account.record(directive, DirectiveSupport::of("upstream"));
            let mut upstream = Upstream { at: directive.name.at, ..Upstream::default() };
            upstream.heads.push(directive.head());
            for one in each(directive.block()) {
                upstream.heads.push(one.head());
                if one.is("server") {
                    self.server(one, &mut upstream);
                } else {
                    // Not what an `http` block's directive of the same name is, but its own meaning here.
                    self.account.record(one, DirectiveSupport::of(&one.name.text()));
                }
            }
            self.upstreams.insert(name.into_owned(), upstream);
        }
    }

    fn server(&mut self, directive: &Directive, upstream: &mut Upstream) {
        let Some(said) = directive.word(0) else {
            return self.left(directive, "a server without an address");
        };
        let mut fate = DirectiveSupport::new(Outcome::Supported, true, "a replica on the roster", "");
        let address = match target(&said, 80) {
            Some(Target::Address(address)) => address,
            Some(Target::Name(address)) => {
                let why = "the name is handed to proxies as it is, and looked up by nobody here";
                let advice = "list the addresses: public proxies take nothing else";
                fate = DirectiveSupport::new(Outcome::Partial, true, why, advice);
                address
            }
            Some(Target::Unix(_)) => {
                return self.left(directive, "a roster holds hosts and ports, and no local sockets");
            }
            None => return self.left(directive, format!("`{said}` is no address")),
        };
        let mut server =
            Server { address, weight: 1.0, phase: "ready", backup: false, at: directive.name.at };
        for word in &directive.words[1..] {
            let text = word.text();
            let (parameter, value) = text.split_once('=').map_or((&*text, None), |(one, of)| (one, Some(of)));
            let mut ended = DirectiveSupport::of(parameter);
            match (parameter, value) {
                ("weight", Some(value)) => match value.parse::<u32>() {
                    Ok(weight) if weight > 0 => server.weight = f64::from(weight),
                    _ => ended = odd(value, "a whole number above 0"),
                },
                ("down", None) => server.phase = "gone",
                ("drain", None) if server.phase == "ready" => server.phase = "draining",
                ("backup", None) => server.backup = true,
                ("slow_start", Some(value)) => match seconds(value) {
                    Some(span) => {
                        let longest = upstream.slow_start.unwrap_or(0.0).max(span.min(LONGEST));
                        upstream.slow_start = Some(longest);
                    }
                    None => ended = odd(value, "a span"),
                },
                ("max_fails" | "fail_timeout" | "max_conns" | "service" | "route", Some(_)) => {}
                ("resolve" | "drain", None) => {}
                _ => ended = odd(&text, "a parameter that this importer knows"),
            }
            self.account.record_parameter(word.at, parameter, ended);
        }
        self.account.record(directive, fate);
        match upstream.servers.iter_mut().find(|known| known.address == server.address) {
            // Said twice, it gets twice as much.
            Some(known) if known.backup == server.backup && known.phase == server.phase => {
                known.weight += server.weight;
            }
            Some(_) => self.left(directive, "the same address stands there as something else"),
            None => upstream.servers.push(server),
        }
    }

    // ---- variables that choose

    fn choices(&mut self, block: &[&Directive]) {
        for directive in block.iter().filter(|one| one.is("split_clients") || one.is("map")) {
            let variable = directive.word(1).and_then(|word| Some(word.strip_prefix('$')?.to_string()));
            let (Some(from), Some(variable)) = (directive.word(0), variable) else {
                self.left(directive, "it takes what it looks at, and a variable");
                continue;
            };
            let choice = match directive.is("map") {
                true => self.header_choice(&from, directive),
                false => self.split(directive),
            };
            // Whether it chooses upstreams is known once a location uses it.
            match choice {
                Ok(Some(choice)) => drop(self.choices.insert(variable, (choice, directive.head()))),
                Ok(None) => {
                    let why = "it chooses no upstream";
                    self.account.record(
                        directive,
                        DirectiveSupport::new(Outcome::Unsupported, false, why, "keep it in the proxy"),
                    );
                }
                Err(why) => self.left(directive, why),
            }
        }
    }

    fn split(&self, directive: &Directive) -> Result<Option<UpstreamSelector>, String> {
        let (mut parts, mut rest) = (Vec::new(), 1.0);
        for entry in each(directive.block()) {
            let Some(to) = entry.word(0) else { return Err("an entry without its value".to_string()) };
            if !self.upstreams.contains_key(&*to) {
                return Ok(None);
            }
            let part = match entry.is("*") {
                true => f64::max(rest, 0.0),
                false => {
                    share(&entry.name.text()).ok_or_else(|| format!("`{}` is no part", entry.name.text()))?
                }
            };
            rest -= part;
            if part > 0.0 {
                parts.push((to.into_owned(), part));
            }
        }
        if rest < -1e-9 {
            return Err("its parts are more than the whole".to_string());
        }
        // Without `*`, what is left goes to an empty value: nowhere.
        Ok((!parts.is_empty()).then_some(UpstreamSelector::Split(parts)))
    }

    fn header_choice(&self, from: &str, directive: &Directive) -> Result<Option<UpstreamSelector>, String> {
        let (mut values, mut otherwise, mut any) = (Vec::new(), None, false);
        for entry in each(directive.block()) {
            let value = entry.name.text().into_owned();
            if entry.words.is_empty() && (entry.is("hostnames") || entry.is("volatile")) {
                continue;
            }
            let Some(to) = entry.word(0) else { return Err("an entry without its value".to_string()) };
            any |= self.upstreams.contains_key(&*to);
            match &*value {
                "default" => otherwise = Some(to.into_owned()),
                _ => values.push((value.strip_prefix('\\').unwrap_or(&value).to_string(), to.into_owned())),
            }
        }
        if !any {
            return Ok(None);
        }
        let Some(header) = from.strip_prefix("$http_") else {
            return Err(format!("groups are told by paths and headers, and not by `{from}`"));
        };
        let odd = values
            .iter()
            .find(|(value, _)| value.is_empty() || value.starts_with('~') || value.contains('*'));
        if let Some((value, _)) = odd {
            return Err(format!("a group's header has one value, and `{value}` is a pattern or none"));
        }
        let all = values.iter().map(|(_, to)| to).chain(&otherwise);
        if let Some(stray) = all.clone().find(|to| !to.is_empty() && !self.upstreams.contains_key(*to)) {
            return Err(format!("`{stray}` is no upstream"));
        }
        values.retain(|(_, to)| !to.is_empty());
        Ok(Some(UpstreamSelector::Header(
            header.replace('_', "-"),
            values,
            otherwise.filter(|to| !to.is_empty()),
        )))
    }

    // ---- locations

    /// What a block says for all within it.
    fn inherited(&mut self, outer: &InheritedSettings, block: &[&Directive]) -> InheritedSettings {
        let mut here = outer.clone();
        for directive in block {
            let name = directive.name.text();
            let (text, span) =
                (directive.word(0).unwrap_or_default(), directive.word(0).and_then(|one| seconds(&one)));
            let odd_span = || odd(&text, "a span");
            let mut fate = DirectiveSupport::of(&name);
            let is_span = span.is_some();
            match &*name {
                "proxy_connect_timeout" | "grpc_connect_timeout" if is_span => here.connect = span,
                "proxy_read_timeout" | "grpc_read_timeout" if is_span => here.read = span,
                "proxy_next_upstream_timeout" | "grpc_next_upstream_timeout" if is_span => {
                    here.next_within = span;
                }
                "proxy_connect_timeout" | "proxy_read_timeout" | "proxy_next_upstream_timeout" => {
                    fate = odd_span();
                }
                "grpc_connect_timeout" | "grpc_read_timeout" | "grpc_next_upstream_timeout" => {
                    fate = odd_span();
                }
                "proxy_next_upstream_tries" | "grpc_next_upstream_tries" => match text.parse() {
                    Ok(tries) => here.tries = Some(tries),
                    Err(_) => fate = odd(&text, "a number"),
                },
                "proxy_next_upstream" | "grpc_next_upstream" => {
                    here.next = Some(directive.words.iter().map(|word| word.text().into_owned()).collect());
                }
                "proxy_method" => here.reads_only = ["GET", "HEAD"].contains(&&*text),
                "server_name" | "limit_req" | "limit_conn" => {}
                _ => continue,
            }
            if let Some(known) = name.strip_prefix("grpc_").filter(|_| fate.reason.contains("does not know"))
            {
                fate = DirectiveSupport::of(&format!("proxy_{known}"));
            }
            self.account.record(directive, fate);
        }
        here
    }

    /// `within`: the path of the location that these stand in.
    fn locations(&mut self, block: &[&Directive], inherited: &InheritedSettings, within: Option<&str>) {
        for directive in block.iter().filter(|one| one.is("location")) {
            let Body::Block(_) = &directive.body else {
                self.left(directive, "a location has a block");
                continue;
            };
            let inner = each(directive.block());
            let path = match path(&directive.words) {
                Ok(path) => path,
                Err(why) => {
                    self.left(directive, why);
                    continue;
                }
            };
            let here = self.inherited(inherited, &inner);
            // Not for locations within: nginx does not hand it on.
            let mut own = here.clone();
            for except in inner.iter().filter(|one| one.is("limit_except")) {
                if only_reads(except) {
                    own.reads_only = true;
                    self.account.record(except, DirectiveSupport::of("limit_except"));
                } else {
                    let why =
                        "some flows that write are let in by it, too: the group is not retriable for it";
                    let fate =
                        DirectiveSupport::new(Outcome::Unsupported, false, why, "keep it in the proxy");
                    self.account.record(except, fate);
                }
            }
            if inner.iter().any(|one| one.is("internal")) {
                self.left(directive, "no client reaches an internal location: it is no route");
                continue;
            }
            let passes: Vec<&&Directive> =
                inner.iter().filter(|one| one.is("proxy_pass") || one.is("grpc_pass")).collect();
            match passes.as_slice() {
                [] => {
                    let why = "no flows are passed on from here: the proxy answers by itself";
                    let fate =
                        DirectiveSupport::new(Outcome::Unsupported, false, why, "keep it in the proxy");
                    self.account.record(directive, fate);
                }
                [pass] => self.pass(directive, pass, &path, &own),
                [first, second, ..] => {
                    self.left(second, "a second one in one location");
                    self.nowhere(directive, first, "nginx takes one in a location".to_string());
                }
            }
            if within.is_some() && path.starts_with('~') {
                let why = "a pattern within a location counts for all paths, and not only for those there";
                self.account.record(
                    directive,
                    DirectiveSupport::new(Outcome::Partial, true, why, "begin it with the path"),
                );
            }
            self.locations(&inner, &here, Some(&path));
        }
    }

    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    fn pass(&mut self, location: &Directive, pass: &Directive, path: &str, here: &InheritedSettings) {
        self.account.record(location, DirectiveSupport::of("location"));
        let said = pass.word(0).unwrap_or_default().into_owned();
        let (scheme, rest) = said.split_once("://").unwrap_or(("", &said));
        let at = rest.find('/').unwrap_or(rest.len());
        let (to, uri) = (&rest[..at], &rest[at..]);
        let default = match scheme {
            "http" | "grpc" => 80,
            "https" | "grpcs" => 443,
            "" if pass.is("grpc_pass") => 80,
            _ => return self.nowhere(location, pass, format!("`{said}` is neither HTTP nor HTTPS")),
        };
        let mut fate = DirectiveSupport::of("proxy_pass");
        if default == 443 {
            let why = "it is followed, and encryption to replicas is the proxy's own";
            fate = DirectiveSupport::new(Outcome::Partial, true, why, "keep `proxy_ssl_...` in the proxy");
        }
        if !uri.is_empty() && uri != path.trim_start_matches("^~ ") {
            let why = format!("it replaces the location's path by `{uri}`, and flows keep theirs");
            fate =
                DirectiveSupport::new(Outcome::Partial, true, why, "have replicas take the path as it comes");
        }
        let path_route = || LocationRoute::Path(path.to_string());
        let variable = to.strip_prefix("${").and_then(|to| to.strip_suffix('}')).or(to.strip_prefix('$'));
        let leads: Result<Vec<(Shares, LocationRoute)>, String> = match variable {
            Some(variable) => match self.choices.get(variable) {
                Some((UpstreamSelector::Split(parts), _)) => Ok(vec![(parts.clone(), path_route())]),
                Some((UpstreamSelector::Header(header, values, otherwise), _)) if path == "/" => {
                    let by_value = |(value, to): &(String, String)| {
                        (vec![(to.clone(), 1.0)], LocationRoute::Header(format!("{header}: {value}")))
                    };
                    let otherwise = otherwise.iter().map(|to| (vec![(to.clone(), 1.0)], path_route()));
                    Ok(values.iter().map(by_value).chain(otherwise).collect())
                }
                Some((UpstreamSelector::Header(..), _)) => {
                    Err("a group is told by paths or by a header: with both only the location `/` is"
                        .to_string())
                }
                None => Err(format!("nothing here says which upstream `${variable}` is")),
            },
            None if to.contains('$') => Err(format!("nothing here says which upstream `{to}` is")),
            None if self.upstreams.contains_key(to) => Ok(vec![(vec![(to.to_string(), 1.0)], path_route())]),
            None => match target(to, default) {
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
                _ => Err(format!("`{to}` is no upstream and no address")),
            },
        };
        let leads = match leads {
            Ok(leads) => leads,
            Err(why) => return self.nowhere(location, pass, why),
        };
        let listed = |(to, _): &(String, f64)| !self.upstreams[to].servers.is_empty();
        if !leads.iter().all(|(to, _)| to.iter().any(listed)) {
            return self.nowhere(location, pass, "none of its servers can be listed".to_string());
        }
        self.account.record(pass, fate);
        if let Some((_, said)) = variable.and_then(|variable| self.choices.get(variable)) {
            self.account.record(said, DirectiveSupport::of(&said.name.text()));
        }
        let attempt = (here.connect.unwrap_or(CONNECT) + here.read.unwrap_or(READ)).clamp(0.001, LONGEST);
        let next: Vec<&str> = match &here.next {
            Some(next) => next.iter().map(String::as_str).collect(),
            None => vec!["error", "timeout"],
        };
        let repeats = next.contains(&"non_idempotent");
        let tries = match (next.contains(&"off") || here.tries == Some(1), repeats) {
            (true, _) => ImportedRetryPolicy::Never,
            (false, false) => ImportedRetryPolicy::IfNotExecuted,
            (false, true) => ImportedRetryPolicy::OnAnyFailure,
        };
        let expiry = match (tries, here.next_within.unwrap_or(0.0)) {
            (ImportedRetryPolicy::Never, _) => attempt,
            (_, 0.0) => 2.0 * attempt,
            // The first try is not cut short by it.
            (_, within) => (2.0 * attempt).min(within.max(attempt)),
        };
        for (to, route) in leads {
            let written = location.words.iter().map(Word::text).collect::<Vec<_>>().join(" ");
            self.leads.push(RoutedLocation {
                shares: to,
                route,
                idempotent: here.reads_only || repeats,
                latency_objective: attempt,
                request_deadline: expiry.min(LONGEST),
                retry_policy: tries,
                position: location.name.at,
                written,
                directives: [location.head(), pass.head()],
            });
        }
    }

    fn nowhere(&mut self, location: &Directive, pass: &Directive, why: String) {
        self.left(pass, why);
        self.left(location, "its flows lead nowhere here");
    }

    // ---- fleets

    fn fleets(&mut self) -> Vec<ImportedFleet> {
        let mut fleets: Vec<ImportedFleet> = Vec::new();
        let (mut known, mut taken): (BTreeMap<String, usize>, BTreeSet<String>) = Default::default();
        for place in 0..self.leads.len() {
            let lead = &self.leads[place];
            let (replicas, warm_after) = self.pool(&lead.shares);
            let bare = |one: &ImportedReplica| (one.id.clone(), one.weight, one.phase, one.backup);
            // Upstreams that say the same are one pool.
            let same = format!("{warm_after:?} {:?}", replicas.iter().map(bare).collect::<Vec<_>>());
            let at = match known.get(&same) {
                Some(at) => *at,
                None => {
                    let fleet = self.fleet(lead, replicas, warm_after, &taken);
                    taken.insert(fleet.name.clone());
                    known.insert(same, fleets.len());
                    fleets.push(fleet);
                    fleets.len() - 1
                }
            };
            self.group(place, at, &mut fleets);
        }
        let led: BTreeSet<&String> =
            self.leads.iter().flat_map(|lead| &lead.shares).map(|(to, _)| to).collect();
        for (_, upstream) in self.upstreams.iter().filter(|(name, _)| !led.contains(name)) {
            if upstream.servers.is_empty() {
                let why = "none of its servers can be listed";
                upstream.heads.first().into_iter().for_each(|head| self.account.revoke(head, true, why, ""));
                continue;
            }
            let (why, advice) = ("no location leads to this upstream", "import the file that does, too");
            upstream.heads.iter().for_each(|head| self.account.revoke(head, false, why, advice));
        }
        self.shared(&fleets);
        fleets.retain(|fleet| !fleet.classes.is_empty());
        for fleet in &mut fleets {
            fleet.retry_policy = fleet
                .classes
                .iter()
                .map(|group| group.retry_policy)
                .min()
                .unwrap_or(ImportedRetryPolicy::Never);
        }
        fleets
    }

    /// The replicas of some upstreams together, each with its part.
    fn pool(&self, to: &[(String, f64)]) -> (Vec<ImportedReplica>, Option<f64>) {
        let mut all: BTreeMap<String, ImportedReplica> = BTreeMap::new();
        let mut warm_after: Option<f64> = None;
        for (name, part) in to {
            let upstream = &self.upstreams[name];
            if let Some(span) = upstream.slow_start {
                warm_after = Some(warm_after.unwrap_or(0.0).max(span));
            }
            let counts = |server: &&Server| !server.backup && server.phase != "gone";
            let sum: f64 = upstream.servers.iter().filter(counts).map(|server| server.weight).sum();
            // One upstream by itself keeps the weights that are written.
            let scale = if to.len() == 1 { 1.0 } else { part * 100.0 / sum.max(1.0) };
            for server in &upstream.servers {
                let weight = (server.weight * scale * 1e6).round().max(1.0) / 1e6;
                let replica = ImportedReplica {
                    id: server.address.clone(),
                    address: server.address.clone(),
                    zone: self.zone(&server.address),
                    weight,
                    phase: server.phase,
                    backup: server.backup,
                    origin: self.whole.origin(server.at),
                };
                all.entry(server.address.clone()).and_modify(|one| one.weight += weight).or_insert(replica);
            }
        }
        (all.into_values().collect(), warm_after)
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
        lead: &RoutedLocation,
        replicas: Vec<ImportedReplica>,
        warm_after: Option<f64>,
        taken: &BTreeSet<String>,
    ) -> ImportedFleet {
        let names: Vec<&str> = lead.shares.iter().map(|(to, _)| to.as_str()).collect();
        let first = &self.upstreams[names[0]];
        let zones: BTreeSet<String> = replicas.iter().map(|replica| replica.zone.clone()).collect();
        ImportedFleet {
            name: unlike(&name(&names.join(" ")), "pool", taken),
            origin: format!("upstream {} ({})", names.join(" and "), self.whole.origin(first.at)),
            zones: zones.into_iter().collect(),
            replicas,
            classes: Vec::new(),
            slow_start_seconds: warm_after,
            retry_policy: ImportedRetryPolicy::Never,
        }
    }

    /// Puts a lead into the group of its fleet that is like it, or into a new one.
    fn group(&mut self, place: usize, at: usize, fleets: &mut [ImportedFleet]) {
        let lead = &self.leads[place];
        let origin = format!("location {} ({})", lead.written, self.whole.origin(lead.position));
        let groups = &mut fleets[at].classes;
        if let LocationRoute::Path(path) = &lead.route {
            let holds =
                |group: &ImportedClass| matches!(&group.routes, Routes::Paths(paths) if paths.contains(path));
            if let Some(known) = groups.iter_mut().find(|group| holds(group)) {
                if alike(known, lead) {
                    known.origins.push(origin);
                    return;
                }
                let why = format!("`{path}` leads to group `{}` already, said otherwise there", known.name);
                let advice = "governors do not tell hosts apart: run one for each";
                lead.directives.iter().for_each(|head| self.account.revoke(head, true, &why, advice));
                return;
            }
            let joins =
                |group: &&mut ImportedClass| matches!(group.routes, Routes::Paths(_)) && alike(group, lead);
            if let Some(group) = groups.iter_mut().find(joins) {
                if let Routes::Paths(paths) = &mut group.routes {
                    paths.push(path.clone());
                }
                group.origins.push(origin);
                return;
            }
        }
        let same_header = |group: &ImportedClass| match (&group.routes, &lead.route) {
            (Routes::Header(one), LocationRoute::Header(other)) => one == other,
            _ => false,
        };
        let full = groups.len() >= MOST_GROUPS;
        if full || groups.iter().any(same_header) {
            let why = match full {
                true => format!("a governor has {MOST_GROUPS} groups at the most"),
                false => "the same header leads to a group already".to_string(),
            };
            lead.directives
                .iter()
                .for_each(|head| self.account.revoke(head, true, &why, "run a governor of its own"));
            return;
        }
        let (said, routes) = match &lead.route {
            LocationRoute::Path(path) => (name(path), Routes::Paths(vec![path.clone()])),
            LocationRoute::Header(header) => (name(header), Routes::Header(header.clone())),
        };
        let taken = groups.iter().map(|group| group.name.clone()).collect();
        groups.push(ImportedClass {
            name: unlike(&said, "root", &taken),
            routes,
            idempotent: lead.idempotent,
            latency_objective: lead.latency_objective,
            request_deadline: lead.request_deadline,
            retry_policy: lead.retry_policy,
            origins: vec![origin],
        });
    }

    /// Says of replicas that several fleets send to.
    fn shared(&mut self, fleets: &[ImportedFleet]) {
        let mut of: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for fleet in fleets {
            fleet.replicas.iter().for_each(|one| of.entry(&one.address).or_default().push(&fleet.name));
        }
        let mut upstreams: Vec<(Position, String)> = Vec::new();
        for upstream in self.upstreams.values() {
            upstreams.extend(upstream.servers.iter().map(|server| (server.at, server.address.clone())));
        }
        for (at, address) in upstreams {
            let Some(fleets) = of.get(address.as_str()).filter(|fleets| fleets.len() > 1) else { continue };
            let why =
                format!("{} send there, and none of them sees what the others do", fleets.join(" and "));
            let advice = "say in each roster the part of its weight that is meant for it";
            self.account.record_parameter(
                at,
                "shared address",
                DirectiveSupport::new(Outcome::Partial, true, why, advice),
            );
        }
    }
}

impl Directive {
    /// Itself without its block, to be named later.
    fn head(&self) -> Directive {
        Directive { name: self.name.clone(), words: self.words.clone(), body: Body::None }
    }
}

fn odd(said: &str, wanted: &str) -> DirectiveSupport {
    DirectiveSupport::new(
        Outcome::Unsupported,
        true,
        format!("`{said}` is not {wanted}"),
        "mend it: nginx takes none of it, either",
    )
}

/// Whether a `limit_except` lets in nothing but methods that read, from anywhere: its block must turn all
/// else away, and make no exception.
fn only_reads(except: &Directive) -> bool {
    let reads = |word: &Word| ["GET", "HEAD", "OPTIONS"].iter().any(|method| word.is(method));
    let denies = |one: &&Directive| one.is("deny") && one.words.len() == 1 && one.words[0].is("all");
    let within = each(except.block());
    !except.words.is_empty()
        && except.words.iter().all(reads)
        && !within.is_empty()
        && within.iter().all(denies)
}

/// Whether a lead may be in a group: all that matters is the same.
fn alike(group: &ImportedClass, lead: &RoutedLocation) -> bool {
    group.idempotent == lead.idempotent
        && group.latency_objective == lead.latency_objective
        && group.request_deadline == lead.request_deadline
        && group.retry_policy == lead.retry_policy
}

/// A name that none of the taken ones is.
fn unlike(wanted: &str, otherwise: &str, taken: &BTreeSet<String>) -> String {
    let wanted = if wanted.is_empty() { otherwise } else { wanted };
    let numbered = (2..).map(|number| format!("{wanted}-{number}"));
    std::iter::once(wanted.to_string()).chain(numbered).find(|name| !taken.contains(name)).unwrap_or_default()
}

/// A location's path, as the settings spell it.
fn path(words: &[Word]) -> Result<String, String> {
    let texts: Vec<String> = words.iter().map(|word| word.text().into_owned()).collect();
    let (kind, path) = match texts.as_slice() {
        [kind, path] if ["=", "^~", "~", "~*"].contains(&kind.as_str()) => (kind.as_str(), path.as_str()),
        [glued] => {
            let kinds = ["^~", "~*", "~", "="];
            let kind = kinds.into_iter().find(|kind| glued.starts_with(kind)).unwrap_or("");
            (kind, &glued[kind.len()..])
        }
        _ => return Err("a location has one path".to_string()),
    };
    if path.starts_with('@') {
        return Err("a named location is reached from others only: it is no route".to_string());
    }
    match kind {
        "~" | "~*" => match regex::Regex::new(path) {
            Ok(_) => Ok(format!("{kind} {path}")),
            Err(_) => Err(format!("`{path}` is not a pattern that public proxies take (RE2)")),
        },
        _ if !path.starts_with('/') || path.contains('"') => {
            Err(format!("path `{path}` does not begin with `/`"))
        }
        "" => Ok(path.to_string()),
        kind => Ok(format!("{kind} {path}")),
    }
}
