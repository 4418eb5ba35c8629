//! Validation of all sections other than groups, and construction of the settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use super::Validator;
use super::fields::Fields;
use crate::engine_settings::LOAD_METRICS;
use crate::error::{Problem, SettingErrors};
use crate::model::{Nginx, RosterSource, Settings};
use crate::schema;
use crate::script::{Call, Calls};

/// Maximum length of a governor's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The addresses for gossip with other governors.
struct Gossip {
    address: Option<SocketAddr>,
    peers: Vec<(String, SocketAddr)>,
}

/// Validates all sections.
///
/// Errors: all problems found.
#[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
pub(super) fn settings(file: &str, calls: &Calls) -> Result<Settings, SettingErrors> {
    let mut validator = Validator::new(file);
    let groups = validator.groups(calls.all("group"));
    let fleet = validator.section("fleet", calls);
    let governor = validator.section("governor", calls);
    let name = validator.governor_name(&fleet, &governor);
    let gossip = validator.gossip(&name, &governor);
    let replicas = validator.section("replicas", calls);
    let channel = validator.section("channel", calls);
    let reports = validator.section("reports", calls);
    let roster = validator.section("roster", calls);
    let listen = validator.section("listen", calls);
    let nginx = validator.section("nginx", calls);
    let state = validator.section("state", calls);
    let zones = validator.zones(&fleet, calls.first("fleet"));
    let load = validator.load_metrics(&reports);
    let roster_source = validator.roster_source(&roster);
    let grpc = validator.address(&listen, "grpc");
    let http = validator.address(&listen, "http");
    let poll = listen.text("poll").and_then(|_| validator.address(&listen, "poll"));
    validator.check_queue_limit(groups.len(), &fleet, &channel);
    let (Some(roster_source), Some(grpc), Some(http), true) =
        (roster_source, grpc, http, validator.is_clean())
    else {
        return Err(validator.into_errors());
    };
    Ok(Settings {
        groups,
        zones,
        governor: name,
        keys: governor.text_list("keys").into_iter().map(PathBuf::from).collect(),
        gossip_address: gossip.address,
        peers: gossip.peers,
        moves_per_second: governor.number("moves_per_s"),
        governor_count: fleet.integer("governors"),
        proxy_count: fleet.integer("proxies"),
        default_table_size: fleet.integer("standing_lines"),
        default_requests_per_second: fleet.number("usual"),
        proxies_eject_locally: fleet.boolean("proxies_avoid"),
        default_retry_policy: fleet.text("tries").unwrap_or_default(),
        admission_control: fleet.boolean("levels"),
        max_proxies: fleet.integer("joined_most"),
        initial_capacity_fraction: replicas.number("cold_share"),
        slow_start_duration: replicas.number("warm_after"),
        entries_per_second: channel.number("lines_per_s"),
        message_overhead_entries: channel.number("head_lines"),
        max_queued_entries: channel.number("waiting_most"),
        max_transit_delay: channel.number("transit_most"),
        message_limit: channel.value("messages_most").and_then(Value::as_u64),
        message_limit_interval: channel.number("messages_over"),
        cross_zone_cost: channel.number("crossing_cost"),
        report_interval: reports.number("every"),
        report_entries_per_second: reports.number("lines_per_s"),
        load_metrics: load,
        answer_time_metric: reports.text("answer").unwrap_or_default(),
        roster: roster_source,
        roster_poll_interval: roster.number("look_every"),
        empty_roster_timeout: roster.number("empty_after"),
        history_versions: channel.integer("history_versions"),
        history_entries: channel.integer("history_lines"),
        grpc_address: grpc,
        http_address: http,
        long_poll_address: poll,
        keepalive_interval: listen.number("keepalive"),
        keepalive_timeout: listen.number("keepalive_timeout"),
        nginx: nginx_settings(&nginx),
        state_folder: state.text("folder").map(PathBuf::from),
        state_interval: state.number("every"),
    })
}

fn nginx_settings(nginx: &Fields) -> Nginx {
    Nginx {
        include_file: nginx.text("include").unwrap_or_default().into(),
        reload_command: nginx.text_list("reload"),
        min_interval: nginx.number("every"),
        min_drain_interval: nginx.number("drains_every"),
        reload_timeout: nginx.number("reload_within"),
        access_log: nginx.text("access_log").map(PathBuf::from),
    }
}

impl Validator<'_> {
    fn section(&mut self, name: &str, calls: &Calls) -> Fields {
        self.fields(name, calls.first(name))
    }

    fn governor_name(&mut self, fleet: &Fields, governor: &Fields) -> String {
        let name = governor.text("name").unwrap_or_default();
        let is_valid_character = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.len() > MAX_NAME_BYTES || !name.chars().all(is_valid_character) {
            self.report(governor.line, Problem::InvalidGovernorName { name: name.clone() });
        }
        if fleet.integer("governors") > 1 && name.is_empty() && self.is_clean() {
            self.report(fleet.line, Problem::UnnamedGovernor);
        }
        name
    }

    fn gossip(&mut self, local_name: &str, governor: &Fields) -> Gossip {
        let address = governor.text("talk").and_then(|_| self.address(governor, "talk"));
        let mut peers: Vec<(String, SocketAddr)> = Vec::new();
        for text in governor.text_list("peers") {
            match parse_peer(&text) {
                None => self.report(governor.line, Problem::InvalidPeer { text }),
                Some((name, address)) => {
                    let is_known = peers.iter().any(|(known, _)| *known == name);
                    if name.is_empty() || name == local_name || is_known {
                        self.report(governor.line, Problem::RepeatedPeer { name });
                    } else {
                        peers.push((name, address));
                    }
                }
            }
        }
        let is_used = address.is_some() || !peers.is_empty();
        let has_identity = !local_name.is_empty() && !governor.text_list("keys").is_empty();
        if is_used && !(address.is_some() && has_identity) {
            self.report(governor.line, Problem::IncompleteGossip);
        }
        Gossip { address, peers }
    }

    fn zones(&mut self, fleet: &Fields, call: Option<&Call>) -> Vec<String> {
        let zones = fleet.text_list("zones");
        if zones.is_empty() && call.is_some_and(|call| call.fields.contains_key("zones")) {
            self.report(fleet.line, Problem::NoZones);
        }
        zones
    }

    fn load_metrics(&mut self, reports: &Fields) -> Vec<String> {
        let metrics = reports.text_list("metrics");
        let metric_names = || LOAD_METRICS.iter().map(|metric| metric.name);
        for metric in &metrics {
            if metric_names().all(|name| name != metric) {
                let similar = schema::most_similar(metric, metric_names());
                let hint = similar.map_or_else(String::new, |name| format!("; did you mean `{name}`?"));
                self.report(reports.line, Problem::UnknownLoadMetric { metric: metric.clone(), hint });
            }
        }
        metrics
    }

    fn roster_source(&mut self, roster: &Fields) -> Option<RosterSource> {
        let clusters = roster.text_list("clusters");
        match (roster.text("file"), roster.text("upstream")) {
            (Some(file), None) if clusters.is_empty() => Some(RosterSource::File(file.into())),
            (None, Some(uri)) if !clusters.is_empty() => Some(RosterSource::Upstream { uri, clusters }),
            _ => {
                self.report(roster.line, Problem::InvalidRosterSource);
                None
            }
        }
    }

    fn address(&mut self, fields: &Fields, field: &'static str) -> Option<SocketAddr> {
        let text = fields.text(field).unwrap_or_default();
        let address = text.parse().ok();
        if address.is_none() {
            self.report(fields.line, Problem::InvalidAddress { field, text });
        }
        address
    }

    /// Checks that the queue can hold the tables of one proxy.
    fn check_queue_limit(&mut self, groups: usize, fleet: &Fields, channel: &Fields) {
        let limit = channel.number("waiting_most");
        let needed = fleet.number("standing_lines") * groups as f64 + channel.number("head_lines");
        if limit < needed && self.is_clean() {
            self.report(channel.line, Problem::QueueLimitTooLow { limit, needed });
        }
    }
}

/// Parses a peer, written as `name=address:port`.
fn parse_peer(text: &str) -> Option<(String, SocketAddr)> {
    let (name, address) = text.split_once('=')?;
    Some((name.to_string(), address.parse().ok()?))
}
