//! Scripts of rehearsals: a simulated day with its fleet, its request load and its faults.

use serde::Serialize;

use crate::error::{Problem, SettingErrors};
use crate::schema;
use crate::script::{self, Call, ScriptKind};
use crate::validation::{Fields, Validator};

/// A fault to inject.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// Workers accept requests and answer none.
    Silent {
        /// Number of workers.
        count: usize,
    },
    /// Workers answer at once, with errors.
    QuickErrors {
        /// Number of workers.
        count: usize,
    },
    /// The workers of a zone are replaced by cold ones, one after another.
    Deploy {
        /// Index of the zone.
        hall: usize,
        /// Time between the replacements of two workers, in seconds.
        step: f64,
    },
    /// The streams of some relays break at the same time.
    BrokenStreams {
        /// Fraction of the relays.
        share: f64,
    },
    /// The load reports of some relays arrive late and twice.
    LateReports {
        /// Fraction of the relays.
        share: f64,
        /// Delay of the reports, in seconds.
        late: f64,
    },
    /// The governor is killed, and started again at the end.
    Kill {
        /// Index of the governor.
        governor: usize,
        /// Number of messages of a flush that are sent before the kill; 0 kills at once.
        after_orders: usize,
    },
    /// The governor's process is paused.
    Stall {
        /// Index of the governor.
        governor: usize,
    },
    /// The governor and its zone are partitioned from relays, governors and roster.
    Cut {
        /// Index of the governor.
        governor: usize,
    },
    /// Messages from the governor to other governors are lost; messages from them arrive.
    OneWay {
        /// Index of the governor.
        governor: usize,
    },
    /// The governor's roster is no longer updated.
    Stale {
        /// Index of the governor.
        governor: usize,
    },
    /// All governors are drained, stopped and started again, one after another.
    Roll,
    /// The governor is killed several times at random moments, and started again at once.
    Storm {
        /// Index of the governor.
        governor: usize,
        /// How many times.
        count: usize,
    },
    /// An operator rolls back to the current version at the end, for fifteen seconds.
    StepBack,
}

/// A fault with its time, in seconds from the day's start.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Planned {
    /// When it begins.
    pub at: f64,
    /// How long it lasts.
    pub lasts: f64,
    /// What goes wrong.
    pub trouble: Trouble,
}

/// The fleet, the request load, the faults, and the limits for the rules that a rehearsal checks. Times are in seconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Day {
    /// Duration of the request load.
    pub seconds: f64,
    /// The zones.
    pub halls: Vec<String>,
    /// Number of workers, distributed over the zones.
    pub workers: usize,
    /// Number of relays, distributed over the zones.
    pub relays: usize,
    /// Requests per second over all relays.
    pub flows_per_s: f64,
    /// Capacity of a worker that is warmed up, in requests per second.
    pub worker_flows_per_s: f64,
    /// Delay until the roster shows a change.
    pub roster_late: f64,
    /// Capacity fraction of a cold worker.
    pub cold_share: f64,
    /// How long a worker takes to warm up.
    pub warm_after: f64,
    /// No attempt may go to a replica later than this after the roster lists it as draining.
    pub drain_grace: f64,
    /// Number of governors that share the relays.
    pub governors: usize,
    /// Whether governors send gossip to each other.
    pub talk: bool,
    /// Whether settings and roster are imported from an nginx configuration.
    pub nginx: bool,
    /// Whether governors have a durable store.
    pub state: bool,
    /// Maximum time that a relay may be without a governor.
    pub care_for: f64,
    /// Maximum time that a relay may be without a table entry.
    pub bare_for: f64,
    /// The multiple of its even share of the requests above which a cold worker fails.
    pub fall_multiple: f64,
    /// How long a cold worker must be overloaded until it fails.
    pub overload_for: f64,
    /// The faults, in the order of the script.
    pub troubles: Vec<Planned>,
}

/// The kinds of faults, as scripts name them.
const TROUBLE_KINDS: [&str; 13] = [
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
    let halls = day.text_list("halls");
    let mut troubles = Vec::new();
    for call in calls.all("trouble") {
        let fields = validator.fields("trouble", Some(call));
        match parse_trouble(call, &fields, &halls) {
            Ok(trouble) => {
                let (at, lasts) = (fields.number("at"), fields.number("lasts"));
                if at + lasts > day.number("seconds") {
                    validator.report(call.line, Problem::TroubleAfterEnd { kind: call.name.clone() });
                }
                troubles.push(Planned { at, lasts, trouble });
            }
            Err(problem) => validator.report(call.line, problem),
        }
    }
    if !validator.is_clean() {
        return Err(validator.into_errors());
    }
    Ok(Day {
        seconds: day.number("seconds"),
        halls,
        workers: day.integer("workers") as usize,
        relays: day.integer("relays") as usize,
        flows_per_s: day.number("flows_per_s"),
        worker_flows_per_s: day.number("worker_flows_per_s"),
        roster_late: day.number("roster_late"),
        cold_share: day.number("cold_share"),
        warm_after: day.number("warm_after"),
        drain_grace: day.number("drain_grace"),
        governors: day.integer("governors") as usize,
        talk: day.boolean("talk"),
        nginx: day.boolean("nginx"),
        state: day.boolean("state"),
        care_for: day.number("care_for"),
        bare_for: day.number("bare_for"),
        fall_multiple: day.number("fall_multiple"),
        overload_for: day.number("overload_for"),
        troubles,
    })
}

fn parse_trouble(call: &Call, fields: &Fields, halls: &[String]) -> Result<Trouble, Problem> {
    let count = fields.integer("count") as usize;
    let share = fields.number("share");
    let governor = fields.integer("governor") as usize;
    let trouble = match call.name.as_str() {
        "silent" => Trouble::Silent { count },
        "quick_errors" => Trouble::QuickErrors { count },
        "deploy" => {
            let hall_name = fields.text("hall");
            let hall = hall_name.and_then(|name| halls.iter().position(|hall| *hall == name));
            let hall = hall.ok_or(Problem::DeployWithoutHall)?;
            Trouble::Deploy { hall, step: fields.number("step") }
        }
        "broken_streams" => Trouble::BrokenStreams { share },
        "late_reports" => Trouble::LateReports { share, late: fields.number("late") },
        "kill_governor" => Trouble::Kill { governor, after_orders: fields.integer("after_orders") as usize },
        "stall_governor" => Trouble::Stall { governor },
        "cut_governor" => Trouble::Cut { governor },
        "one_way" => Trouble::OneWay { governor },
        "stale_roster" => Trouble::Stale { governor },
        "storm" => Trouble::Storm { governor, count },
        "roll_governors" => Trouble::Roll,
        "step_back" => Trouble::StepBack,
        kind => {
            let hint = match schema::most_similar(kind, TROUBLE_KINDS.into_iter()) {
                Some(similar) => format!("did you mean `{similar}`?"),
                None => TROUBLE_KINDS.join(", "),
            };
            return Err(Problem::UnknownTrouble { kind: kind.to_string(), hint });
        }
    };
    Ok(trouble)
}

#[cfg(test)]
mod tests;
