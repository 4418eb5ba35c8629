//! The import report: for each directive whether it is supported, and why. The report covers every directive.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::Serialize;

use crate::files::Configuration;
use crate::syntax::{Body, Directive, Position};

/// How a directive is imported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is imported.
    #[serde(rename = "carried")]
    Supported,
    /// It is imported with a stated difference.
    #[serde(rename = "differs")]
    Partial,
    /// It is not imported.
    #[serde(rename = "left")]
    Unsupported,
}

/// How one directive is imported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DirectiveSupport {
    /// Whether it is imported.
    pub outcome: Outcome,
    /// It affects where requests go, when they are retried or how many are admitted. `--strict` fails if such
    /// a directive is not imported; other directives remain with the proxy.
    #[serde(rename = "routing")]
    pub affects_routing: bool,
    /// Why.
    #[serde(rename = "why")]
    pub reason: Cow<'static, str>,
    /// What to do about it; empty if there is nothing to do.
    pub advice: Cow<'static, str>,
}

/// How directives of a name are imported unless their parameters or context change it.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct KnownDirective {
    /// The directive's name.
    pub name: &'static str,
    /// Whether directives of this name are imported.
    pub outcome: Outcome,
    /// As in [`DirectiveSupport`].
    #[serde(rename = "routing")]
    pub affects_routing: bool,
    /// Why.
    #[serde(rename = "why")]
    pub reason: &'static str,
    /// What to do about it; empty if there is nothing to do.
    pub advice: &'static str,
}

const fn rule(
    name: &'static str,
    outcome: Outcome,
    routing: bool,
    why: &'static str,
    advice: &'static str,
) -> KnownDirective {
    KnownDirective { name, outcome, affects_routing: routing, reason: why, advice }
}

use Outcome::{Partial, Supported, Unsupported};

/// Directives that affect routing, by name.
pub const KNOWN_DIRECTIVES: &[KnownDirective] = &[
    rule("http", Supported, false, "what is in it is read", ""),
    rule("server", Supported, false, "what is in it is read", ""),
    rule("include", Supported, false, "what it names stands in its place", ""),
    rule("upstream", Supported, true, "a pool of replicas: a governor's settings and roster", ""),
    rule("location", Supported, true, "a path of a traffic group", ""),
    rule("proxy_pass", Supported, true, "leads the location's flows to its pool", ""),
    rule("weight", Supported, true, "the replica's weight on the roster", ""),
    rule("down", Supported, true, "the replica is listed as gone", "change `phase` to bring it back"),
    rule(
        "backup",
        Partial,
        true,
        "on the list only while no other replica is ready, and until one of those has been for as long as a \
         replica takes to warm up; nginx lets backups in when its own tries at the others fail",
        "",
    ),
    rule(
        "max_conns",
        Unsupported,
        true,
        "a governor knows no bound on connections",
        "say a lower weight; proxies keep their own bound",
    ),
    rule(
        "max_fails",
        Partial,
        true,
        "the governor holds a replica back by what all proxies report, and not by a count",
        "",
    ),
    rule(
        "fail_timeout",
        Partial,
        true,
        "a replica that is held back is tried again in steps of the governor's own",
        "",
    ),
    rule(
        "resolve",
        Unsupported,
        true,
        "a roster holds addresses, and names are looked up by nobody",
        "have the roster written anew where the name's addresses change",
    ),
    rule(
        "slow_start",
        Partial,
        true,
        "the longest of a pool is the time to warm up, from a twentieth of its part and not from nothing; it \
         holds after a start that the roster tells, not after each failure",
        "let the roster say `started`",
    ),
    rule("drain", Supported, true, "the replica is listed as draining", ""),
    rule("service", Unsupported, true, "names are looked up by nobody", "list the addresses"),
    rule("route", Unsupported, true, "sessions are not bound to replicas", ""),
    rule(
        "zone",
        Partial,
        true,
        "workers of a proxy share nothing through the governor: its proxies all follow it",
        "",
    ),
    rule(
        "least_conn",
        Partial,
        true,
        "weights are solved from reported load, so that the busiest replica is least busy",
        "",
    ),
    rule("least_time", Partial, true, "weights are solved from reported load", ""),
    rule(
        "random",
        Partial,
        true,
        "picks are by weight and chance; weights are solved from reported load",
        "",
    ),
    rule(
        "ip_hash",
        Unsupported,
        true,
        "flows of one client do not stay with one replica",
        "where replicas keep sessions, leave this upstream to nginx",
    ),
    rule(
        "hash",
        Unsupported,
        true,
        "flows of one key do not stay with one replica",
        "where replicas keep state by key, leave this upstream to nginx",
    ),
    rule("sticky", Unsupported, true, "sessions are not bound to replicas", "leave this upstream to nginx"),
    rule(
        "queue",
        Unsupported,
        true,
        "flows do not wait for a replica",
        "levels let in what can be done in time",
    ),
    rule("state", Unsupported, true, "the roster is the list", ""),
    rule("keepalive", Unsupported, false, "connections are the proxy's own", "keep it in the proxy"),
    rule("keepalive_requests", Unsupported, false, "connections are the proxy's own", "keep it in the proxy"),
    rule("keepalive_time", Unsupported, false, "connections are the proxy's own", "keep it in the proxy"),
    rule("keepalive_timeout", Unsupported, false, "connections are the proxy's own", "keep it in the proxy"),
    rule("ntlm", Unsupported, true, "connections are not bound to clients", "leave this upstream to nginx"),
    rule(
        "proxy_next_upstream",
        Partial,
        true,
        "which failures may be tried again: by the group's effect, and at most one further try",
        "say `effect` where a group's flows may run twice",
    ),
    rule(
        "proxy_next_upstream_tries",
        Partial,
        true,
        "one further try at the most; more of them are not made",
        "",
    ),
    rule("proxy_next_upstream_timeout", Partial, true, "bounds the expiry of the group", ""),
    rule(
        "proxy_connect_timeout",
        Partial,
        true,
        "with the time to read it is the latency budget, as nginx takes any answer within both",
        "say the latency budget that clients really have",
    ),
    rule(
        "proxy_read_timeout",
        Partial,
        true,
        "with the time to connect it is the latency budget; it bounds the whole answer, not the time between \
         two reads",
        "say the latency budget that clients really have",
    ),
    rule(
        "proxy_send_timeout",
        Unsupported,
        true,
        "there is a latency budget for the whole, and none for sending",
        "",
    ),
    rule(
        "limit_req",
        Partial,
        true,
        "the governor sets the share of a group that is let in by load, and knows no rate",
        "keep limits by client in the proxy",
    ),
    rule(
        "limit_conn",
        Partial,
        true,
        "the governor sets the share of a group that is let in by load, and knows no count",
        "keep limits by client in the proxy",
    ),
    rule("limit_req_zone", Unsupported, true, "keys of limits are the proxy's own", "keep it in the proxy"),
    rule("limit_conn_zone", Unsupported, true, "keys of limits are the proxy's own", "keep it in the proxy"),
    rule("limit_except", Supported, true, "flows that only read may run twice: the group is retriable", ""),
    rule("proxy_method", Partial, true, "a method that only reads makes the group retriable", ""),
    rule(
        "split_clients",
        Partial,
        true,
        "one pool of all its upstreams with their weights in these parts; a client may change its part",
        "",
    ),
    rule("map", Partial, true, "a group for each value of the header, in its upstream's pool", ""),
    rule("stream", Unsupported, true, "connections without HTTP are not followed", "leave them to nginx"),
    rule("mail", Unsupported, false, "mail is not followed", "leave it to nginx"),
    rule(
        "rewrite",
        Unsupported,
        true,
        "flows are matched by their path as it comes",
        "keep it in the proxy, ahead of the route",
    ),
    rule("if", Unsupported, true, "conditions are not followed", "say what it chooses by paths or a header"),
    rule("error_page", Unsupported, true, "answers are passed as they come", "keep it in the proxy"),
    rule("try_files", Unsupported, true, "files are the proxy's own", "keep it in the proxy"),
    rule("mirror", Unsupported, true, "flows are not doubled", "keep it in the proxy"),
    rule("server_name", Partial, true, "governors do not tell hosts apart", "run a governor for each host"),
    rule("listen", Unsupported, false, "where proxies listen is their own", ""),
    rule("return", Unsupported, false, "the proxy answers by itself", "keep it in the proxy"),
    rule("internal", Unsupported, true, "a location that no client reaches is no route", ""),
    rule("fastcgi_pass", Unsupported, true, "only HTTP and gRPC are followed", "leave it to nginx"),
    rule("uwsgi_pass", Unsupported, true, "only HTTP and gRPC are followed", "leave it to nginx"),
    rule("scgi_pass", Unsupported, true, "only HTTP and gRPC are followed", "leave it to nginx"),
    rule("memcached_pass", Unsupported, true, "only HTTP and gRPC are followed", "leave it to nginx"),
    rule("grpc_pass", Supported, true, "leads the location's flows to its pool", ""),
];

/// Directives that remain with the proxy: listening, logging, caching, compression, encryption and access
/// control.
const PROXY_DIRECTIVES: &[&str] = &[
    "accept_mutex",
    "access_log",
    "add_header",
    "add_trailer",
    "aio",
    "alias",
    "allow",
    "auth_basic",
    "auth_basic_user_file",
    "auth_request",
    "autoindex",
    "charset",
    "chunked_transfer_encoding",
    "client_body_buffer_size",
    "client_body_timeout",
    "client_header_buffer_size",
    "client_header_timeout",
    "client_max_body_size",
    "daemon",
    "default_type",
    "deny",
    "error_log",
    "etag",
    "events",
    "expires",
    "geo",
    "gzip",
    "gzip_comp_level",
    "gzip_disable",
    "gzip_http_version",
    "gzip_min_length",
    "gzip_proxied",
    "gzip_static",
    "gzip_types",
    "gzip_vary",
    "http2",
    "ignore_invalid_headers",
    "index",
    "keepalive_disable",
    "large_client_header_buffers",
    "limit_conn_log_level",
    "limit_conn_status",
    "limit_rate",
    "limit_req_log_level",
    "limit_req_status",
    "lingering_timeout",
    "load_module",
    "log_format",
    "log_not_found",
    "map_hash_bucket_size",
    "map_hash_max_size",
    "merge_slashes",
    "multi_accept",
    "open_file_cache",
    "pid",
    "port_in_redirect",
    "proxy_bind",
    "proxy_buffer_size",
    "proxy_buffering",
    "proxy_buffers",
    "proxy_busy_buffers_size",
    "proxy_cache",
    "proxy_cache_bypass",
    "proxy_cache_key",
    "proxy_cache_lock",
    "proxy_cache_path",
    "proxy_cache_use_stale",
    "proxy_cache_valid",
    "proxy_cookie_domain",
    "proxy_cookie_path",
    "proxy_headers_hash_bucket_size",
    "proxy_headers_hash_max_size",
    "proxy_hide_header",
    "proxy_http_version",
    "proxy_ignore_client_abort",
    "proxy_ignore_headers",
    "proxy_intercept_errors",
    "proxy_max_temp_file_size",
    "proxy_no_cache",
    "proxy_pass_header",
    "proxy_pass_request_body",
    "proxy_pass_request_headers",
    "proxy_redirect",
    "proxy_request_buffering",
    "proxy_set_body",
    "proxy_set_header",
    "proxy_socket_keepalive",
    "proxy_ssl_certificate",
    "proxy_ssl_certificate_key",
    "proxy_ssl_ciphers",
    "proxy_ssl_name",
    "proxy_ssl_protocols",
    "proxy_ssl_server_name",
    "proxy_ssl_session_reuse",
    "proxy_ssl_trusted_certificate",
    "proxy_ssl_verify",
    "proxy_ssl_verify_depth",
    "proxy_temp_path",
    "real_ip_header",
    "real_ip_recursive",
    "reset_timedout_connection",
    "resolver",
    "resolver_timeout",
    "root",
    "satisfy",
    "send_timeout",
    "sendfile",
    "server_names_hash_bucket_size",
    "server_names_hash_max_size",
    "server_tokens",
    "set",
    "set_real_ip_from",
    "ssl",
    "ssl_certificate",
    "ssl_certificate_key",
    "ssl_ciphers",
    "ssl_dhparam",
    "ssl_prefer_server_ciphers",
    "ssl_protocols",
    "ssl_session_cache",
    "ssl_session_tickets",
    "ssl_session_timeout",
    "ssl_stapling",
    "ssl_stapling_verify",
    "ssl_trusted_certificate",
    "stub_status",
    "sub_filter",
    "sub_filter_once",
    "tcp_nodelay",
    "tcp_nopush",
    "types",
    "types_hash_bucket_size",
    "types_hash_max_size",
    "underscores_in_headers",
    "use",
    "user",
    "valid_referers",
    "worker_connections",
    "worker_cpu_affinity",
    "worker_priority",
    "worker_processes",
    "worker_rlimit_nofile",
    "worker_shutdown_timeout",
];

/// Directives whose blocks contain table entries instead of directives.
pub const TABLE_DIRECTIVES: &[&str] = &["types", "map", "geo", "split_clients"];

impl DirectiveSupport {
    /// Creates an entry from its parts.
    pub fn new(
        outcome: Outcome,
        routing: bool,
        why: impl Into<Cow<'static, str>>,
        advice: impl Into<Cow<'static, str>>,
    ) -> Self {
        DirectiveSupport { outcome, affects_routing: routing, reason: why.into(), advice: advice.into() }
    }

    /// The support for a directive, by its name alone.
    pub fn by_name(name: &str) -> DirectiveSupport {
        match explain(name) {
            Some(rule) => DirectiveSupport::new(rule.outcome, rule.affects_routing, rule.reason, rule.advice),
            None => DirectiveSupport::new(
                Unsupported,
                true,
                "this importer does not know it",
                "look up whether it bears on where flows go",
            ),
        }
    }
}

/// The support for a name; none if it is unknown.
pub fn explain(name: &str) -> Option<KnownDirective> {
    let proxy_directive = |_: &&str| {
        let why = "it is the proxy's own business";
        rule("", Unsupported, false, why, "keep it in the proxy")
    };
    let known = KNOWN_DIRECTIVES.iter().find(|rule| rule.name == name).copied();
    known.or_else(|| PROXY_DIRECTIVES.iter().find(|directive| **directive == name).map(proxy_directive))
}

/// An entry of the report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReportEntry {
    /// `file:line`.
    pub at: String,
    /// The line in its file, from 1 on.
    pub line: u32,
    /// The column in its line, from 1 on.
    pub column: u32,
    /// The directive's or the parameter's name.
    pub directive: String,
    /// How it is imported.
    #[serde(flatten)]
    pub support: DirectiveSupport,
}

/// The report on all directives, by position.
#[derive(Debug, Clone, Default)]
pub struct ImportReport {
    entries: BTreeMap<Position, Vec<(String, DirectiveSupport)>>,
}

impl ImportReport {
    /// Records how a directive is imported. The worse of two outcomes for the same directive is kept: a
    /// directive that two locations inherit is supported only if both support it.
    pub fn record(&mut self, directive: &Directive, support: DirectiveSupport) {
        let name = directive.name.text().into_owned();
        let recorded = self.entries.entry(directive.name.at).or_default();
        match recorded.iter_mut().find(|(known, _)| *known == name) {
            Some((_, known)) if known.outcome < support.outcome => *known = support,
            Some(_) => {}
            None => recorded.push((name, support)),
        }
    }

    /// Records how a parameter of a directive is imported, such as `weight` of a `server`.
    pub fn record_parameter(&mut self, at: Position, name: &str, support: DirectiveSupport) {
        self.entries.entry(at).or_default().push((name.to_string(), support));
    }

    /// Marks a directive and its words as unsupported, whatever was recorded before.
    pub fn revoke(&mut self, directive: &Directive, routing: bool, why: &str, advice: &str) {
        let words = directive.words.iter().map(|word| word.at);
        for at in std::iter::once(directive.name.at).chain(words) {
            for (_, support) in self.entries.get_mut(&at).into_iter().flatten() {
                *support = DirectiveSupport::new(Unsupported, routing, why.to_string(), advice.to_string());
            }
        }
    }

    /// Records all directives that have no entry yet. Directives that are supported elsewhere are unsupported
    /// here, as nothing reads them in this context.
    pub fn complete(&mut self, directives: &[Directive]) {
        for directive in directives {
            let name = directive.name.text();
            if !self.entries.contains_key(&directive.name.at) {
                let mut support = DirectiveSupport::by_name(&name);
                if support.outcome != Unsupported && name != "include" {
                    let why = "it stands where nothing of it is followed";
                    support = DirectiveSupport::new(Unsupported, true, why, support.advice);
                }
                self.record(directive, support);
            }
            // Entries of a table are not directives.
            if TABLE_DIRECTIVES.contains(&&*name) {
                continue;
            }
            if let Body::Block(block) | Body::Included(block) = &directive.body {
                self.complete(block);
            }
        }
    }

    /// All entries, sorted by file and position.
    pub fn entries(&self, configuration: &Configuration) -> Vec<ReportEntry> {
        let each =
            self.entries.iter().flat_map(|(at, supports)| supports.iter().map(move |support| (at, support)));
        each.map(|(at, (directive, support))| ReportEntry {
            at: configuration.origin(*at),
            line: at.line,
            column: at.column,
            directive: directive.clone(),
            support: support.clone(),
        })
        .collect()
    }

    /// Whether there is an entry for a position.
    pub fn covers(&self, at: Position) -> bool {
        self.entries.contains_key(&at)
    }

    /// Number of entries by outcome.
    pub fn outcome_counts(&self) -> BTreeMap<Outcome, usize> {
        let mut counts = BTreeMap::new();
        self.entries
            .values()
            .flatten()
            .for_each(|(_, support)| *counts.entry(support.outcome).or_default() += 1);
        counts
    }

    /// Number of entries that affect routing and are unsupported.
    pub fn routing_losses(&self) -> usize {
        self.entries
            .values()
            .flatten()
            .filter(|(_, support)| support.outcome == Unsupported && support.affects_routing)
            .count()
    }
}
