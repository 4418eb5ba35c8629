//! Scripts of rehearsals: a simulated day with its fleet, its request load and its faults.

use serde::Serialize;

use crate::error::{Problem, SettingErrors};
use crate::schema;
use crate::script::{self, Call, ScriptKind};
use crate::validation::{Fields, Validator};

/// A fault to inject.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Replicas accept requests and answer none.
    Silent {
        /// Number of replicas.
        count: usize,
    },
    /// Replicas answer at once, with errors.
    QuickErrors {
        /// Number of replicas.
        count: usize,
    },
    /// The replicas of a zone are replaced by cold ones, one after another.
    Deploy {
        /// Index of the zone.
        #[serde(rename = "hall")]
        zone: usize,
        /// Time between the replacements of two replicas, in seconds.
        step: f64,
    },
    /// The streams of some proxies break at the same time.
    BrokenStreams {
        /// Fraction of the proxies.
        share: f64,
    },
    /// The load reports of some proxies arrive late and twice.
    LateReports {
        /// Fraction of the proxies.
        share: f64,
        /// Delay of the reports, in seconds.
        #[serde(rename = "late")]
        delay: f64,
    },
    /// The governor is killed, at the latest after the fault's duration, and started again that duration after the
    /// kill.
    Kill {
        /// Index of the governor.
        governor: usize,
        /// Number of messages of a flush that are sent before the kill; 0 kills at once.
        #[serde(rename = "after_orders")]
        messages_before_kill: usize,
    },
    /// The governor's process is paused.
    Stall {
        /// Index of the governor.
        governor: usize,
    },
    /// The governor and its zone are partitioned from proxies, governors and roster.
    #[serde(rename = "cut")]
    Partition {
        /// Index of the governor.
        governor: usize,
    },
    /// Messages from the governor to other governors are lost; messages from them arrive.
    #[serde(rename = "one_way")]
    OutboundLoss {
        /// Index of the governor.
        governor: usize,
    },
    /// The governor's roster is no longer updated.
    #[serde(rename = "stale")]
    StaleRoster {
        /// Index of the governor.
        governor: usize,
    },
    /// All governors are drained, stopped and started again, one after another.
    #[serde(rename = "roll")]
    RollingRestart,
    /// The governor is killed several times at random moments, and started again at once.
    #[serde(rename = "storm")]
    RepeatedKills {
        /// Index of the governor.
        governor: usize,
        /// How many times.
        count: usize,
    },
    /// An operator rolls back to the current version at the end, for fifteen seconds.
    #[serde(rename = "step_back")]
    Rollback,
}

/// A fault with its time, in seconds from the day's start.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: f64,
    /// How long it lasts.
    #[serde(rename = "lasts")]
    pub duration: f64,
    /// The fault.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

/// The fleet, the request load, the faults, and the limits for the rules that a rehearsal checks. Times are in seconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Day {
    /// Duration of the request load.
    pub seconds: f64,
    /// The zones.
    #[serde(rename = "halls")]
    pub zones: Vec<String>,
    /// Number of replicas, distributed over the zones.
    #[serde(rename = "workers")]
    pub replicas: usize,
    /// Number of proxies, distributed over the zones.
    #[serde(rename = "relays")]
    pub proxies: usize,
    /// Requests per second over all proxies.
    #[serde(rename = "flows_per_s")]
    pub requests_per_second: f64,
    /// Capacity of a replica after its slow start, in requests per second.
    #[serde(rename = "worker_flows_per_s")]
    pub worker_capacity: f64,
    /// Delay until the roster shows a change.
    #[serde(rename = "roster_late")]
    pub roster_delay: f64,
    /// Capacity fraction of a cold replica.
    #[serde(rename = "cold_share")]
    pub initial_capacity_fraction: f64,
    /// How long the slow start of a replica takes.
    #[serde(rename = "warm_after")]
    pub slow_start_duration: f64,
    /// No attempt may go to a replica later than this after the roster lists it as draining.
    pub drain_grace: f64,
    /// Number of governors that share the proxies.
    pub governors: usize,
    /// Whether governors send gossip to each other.
    #[serde(rename = "talk")]
    pub gossip: bool,
    /// Whether settings and roster are imported from an nginx configuration.
    pub nginx: bool,
    /// Whether governors have a durable store.
    #[serde(rename = "state")]
    pub durable_store: bool,
    /// Maximum time that a proxy may be without a governor.
    #[serde(rename = "care_for")]
    pub max_time_without_governor: f64,
    /// Maximum time that a proxy may be without a table entry.
    #[serde(rename = "bare_for")]
    pub max_time_without_entry: f64,
    /// The multiple of its current capacity above which a cold replica is overloaded.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The time over which the requests of a cold replica are counted to find an overload.
    #[serde(rename = "overload_for")]
    pub overload_duration: f64,
    /// The faults, in the order of the script.
    #[serde(rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

/// The kinds of faults, as scripts name them.
const FAULT_KINDS: [&str; 13] = [
    "silent",
    "quick_errors",
    "deploy",
    "broken_streams",
    "late_reports",
    "kill_governor",
    "stall_governor",
    "cut_governor",
    "one_way",
    "stale_roster",
    "roll_governors",
    "step_back",
    "storm",
];

/// Parses and validates the script of a rehearsal. `file` is the name that errors show.
///
/// # Errors
/// All errors of the script.
pub fn parse(file: &str, text: &str) -> Result<Day, SettingErrors> {
    let calls = script::run(file, text, ScriptKind::Day)?;
    let mut validator = Validator::new(file);
    let day = validator.fields("day", calls.first("day"));
    let zones = day.text_list("halls");
    let mut faults = Vec::new();
    for call in calls.all("trouble") {
        let fields = validator.fields("trouble", Some(call));
        match parse_fault(call, &fields, &zones) {
            Ok(fault) => {
                let (at, duration) = (fields.number("at"), fields.number("lasts"));
                if at + duration > day.number("seconds") {
                    validator.report(call.line, Problem::TroubleAfterEnd { kind: call.name.clone() });
                }
                faults.push(ScheduledFault { at, duration, fault });
            }
            Err(problem) => validator.report(call.line, problem),
        }
    }
    if !validator.is_clean() {
        return Err(validator.into_errors());
    }
    Ok(Day {
        seconds: day.number("seconds"),
        zones,
        replicas: day.integer("workers") as usize,
        proxies: day.integer("relays") as usize,
        requests_per_second: day.number("flows_per_s"),
        worker_capacity: day.number("worker_flows_per_s"),
        roster_delay: day.number("roster_late"),
        initial_capacity_fraction: day.number("cold_share"),
        slow_start_duration: day.number("warm_after"),
        drain_grace: day.number("drain_grace"),
        governors: day.integer("governors") as usize,
        gossip: day.boolean("talk"),
        nginx: day.boolean("nginx"),
        durable_store: day.boolean("state"),
        max_time_without_governor: day.number("care_for"),
        max_time_without_entry: day.number("bare_for"),
        overload_multiple: day.number("fall_multiple"),
        overload_duration: day.number("overload_for"),
        faults,
    })
}

fn parse_fault(call: &Call, fields: &Fields, zones: &[String]) -> Result<Fault, Problem> {
    let count = fields.integer("count") as usize;
    let share = fields.number("share");
    let governor = fields.integer("governor") as usize;
    let fault = match call.name.as_str() {
        "silent" => Fault::Silent { count },
        "quick_errors" => Fault::QuickErrors { count },
        "deploy" => {
            let zone_name = fields.text("hall");
            let zone = zone_name.and_then(|name| zones.iter().position(|zone| *zone == name));
            let zone = zone.ok_or(Problem::DeployWithoutHall)?;
            Fault::Deploy { zone, step: fields.number("step") }
        }
        "broken_streams" => Fault::BrokenStreams { share },
        "late_reports" => Fault::LateReports { share, delay: fields.number("late") },
        "kill_governor" => {
            Fault::Kill { governor, messages_before_kill: fields.integer("after_orders") as usize }
        }
        "stall_governor" => Fault::Stall { governor },
        "cut_governor" => Fault::Partition { governor },
        "one_way" => Fault::OutboundLoss { governor },
        "stale_roster" => Fault::StaleRoster { governor },
        "storm" => Fault::RepeatedKills { governor, count },
        "roll_governors" => Fault::RollingRestart,
        "step_back" => Fault::Rollback,
        kind => {
            let hint = match schema::most_similar(kind, FAULT_KINDS.into_iter()) {
                Some(similar) => format!("did you mean `{similar}`?"),
                None => FAULT_KINDS.join(", "),
            };
            return Err(Problem::UnknownTrouble { kind: kind.to_string(), hint });
        }
    };
    Ok(fault)
}

#[cfg(test)]
mod tests;
