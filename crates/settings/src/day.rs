//! A rehearsed day, from its script.

use serde::Serialize;

use crate::schema;
use crate::script::{self, About};
use crate::{Check, Faults};

/// What goes wrong. Times are in seconds from the day's start.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// Workers take flows and answer none.
    Silent { count: usize },
    /// Workers answer at once, and badly.
    QuickErrors { count: usize },
    /// The workers of a hall are replaced, one after another, by cold ones.
    Deploy { hall: usize, step: f64 },
    /// Streams of a share of the relays break at once.
    BrokenStreams { share: f64 },
    /// Load reports of a share of the relays come late, and twice.
    LateReports { share: f64, late: f64 },
    /// The governor is killed once so many orders of a flush are out (none: at once), and is started again at
    /// the end.
    Kill { governor: usize, after_orders: usize },
    /// The governor's process stands still.
    Stall { governor: usize },
    /// The governor and its hall are cut off from all else: relays, governors, roster.
    Cut { governor: usize },
    /// What the governor says to others is lost; what they say is heard.
    OneWay { governor: usize },
    /// The governor's roster stays as it is.
    Stale { governor: usize },
    /// All governors are drained, stopped and started again, one after another.
    Roll,
    /// A governor is killed so many times within the span, at chance moments, and started again at once.
    Storm { governor: usize, count: usize },
    /// An operator has the version of now told again at the end, for fifteen seconds.
    StepBack,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Planned {
    pub at: f64,
    pub lasts: f64,
    pub trouble: Trouble,
}

/// Fleet, flows, troubles, and the figures of the rules.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Day {
    pub seconds: f64,
    pub halls: Vec<String>,
    pub workers: usize,
    pub relays: usize,
    pub flows_per_s: f64,
    pub worker_flows_per_s: f64,
    pub roster_late: f64,
    pub cold_share: f64,
    pub warm_after: f64,
    pub drain_grace: f64,
    pub governors: usize,
    pub talk: bool,
    /// Settings and roster are imported from an nginx configuration.
    pub nginx: bool,
    /// Governors know what they knew before a restart.
    pub state: bool,
    pub care_for: f64,
    pub bare_for: f64,
    pub fall_multiple: f64,
    pub overload_for: f64,
    pub troubles: Vec<Planned>,
}

const KINDS: [&str; 13] = [
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

/// Checks a day's script.
///
/// Errors: all that is wrong with it.
pub fn parse(file: &str, text: &str) -> Result<Day, Faults> {
    let draft = script::run(file, text, About::Day)?;
    let mut check = Check { file, faults: Vec::new() };
    let said = draft.said.take();
    let day = check.read("day", said.get("day").and_then(|said| said.first()));
    let halls = day.texts("halls");
    let mut troubles = Vec::new();
    for said in said.get("trouble").into_iter().flatten() {
        let read = check.read("trouble", Some(said));
        let hall = read.text("hall").map(|name| halls.iter().position(|hall| *hall == name));
        let (count, share) = (read.whole("count") as usize, read.number("share"));
        let governor = read.whole("governor") as usize;
        let trouble = match said.name.as_str() {
            "silent" => Trouble::Silent { count },
            "quick_errors" => Trouble::QuickErrors { count },
            "deploy" => match hall {
                Some(Some(hall)) => Trouble::Deploy { hall, step: read.number("step") },
                _ => {
                    check.fault(said.line, "a `deploy` needs a `hall` of the day".into());
                    continue;
                }
            },
            "broken_streams" => Trouble::BrokenStreams { share },
            "late_reports" => Trouble::LateReports { share, late: read.number("late") },
            "kill_governor" => Trouble::Kill { governor, after_orders: read.whole("after_orders") as usize },
            "stall_governor" => Trouble::Stall { governor },
            "cut_governor" => Trouble::Cut { governor },
            "one_way" => Trouble::OneWay { governor },
            "stale_roster" => Trouble::Stale { governor },
            "storm" => Trouble::Storm { governor, count },
            "roll_governors" => Trouble::Roll,
            "step_back" => Trouble::StepBack,
            other => {
                let near = schema::nearest(other, KINDS.into_iter());
                let near = near.map_or_else(|| KINDS.join(", "), |near| format!("did you mean `{near}`?"));
                check.fault(said.line, format!("no such trouble: `{other}`; {near}"));
                continue;
            }
        };
        let (at, lasts) = (read.number("at"), read.number("lasts"));
        if at + lasts > day.number("seconds") {
            check.fault(said.line, format!("`{}` goes on after the day's end", said.name));
        }
        troubles.push(Planned { at, lasts, trouble });
    }
    if !check.faults.is_empty() {
        return Err(Faults(check.faults));
    }
    Ok(Day {
        seconds: day.number("seconds"),
        halls,
        workers: day.whole("workers") as usize,
        relays: day.whole("relays") as usize,
        flows_per_s: day.number("flows_per_s"),
        worker_flows_per_s: day.number("worker_flows_per_s"),
        roster_late: day.number("roster_late"),
        cold_share: day.number("cold_share"),
        warm_after: day.number("warm_after"),
        drain_grace: day.number("drain_grace"),
        governors: day.whole("governors") as usize,
        talk: day.truth("talk"),
        nginx: day.truth("nginx"),
        state: day.truth("state"),
        care_for: day.number("care_for"),
        bare_for: day.number("bare_for"),
        fall_multiple: day.number("fall_multiple"),
        overload_for: day.number("overload_for"),
        troubles,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_day_is_read_and_its_faults_are_placed() {
        let good = "day(seconds = 30, halls = ['a', 'b'])\ntrouble('deploy', at = 5, lasts = 9, hall = 'b')";
        let day = parse("d.star", good).unwrap();
        assert_eq!(day.troubles[0].trouble, Trouble::Deploy { hall: 1, step: 2.0 });
        let why = |text: &str| parse("d.star", text).unwrap_err().to_string();
        assert!(
            why(&good.replace("deploy", "deplo"))
                .contains("d.star:2: no such trouble: `deplo`; did you mean")
        );
        assert!(why(&good.replace("'b')", "'c')")).contains("needs a `hall`"));
        assert!(why(&good.replace("at = 5", "at = 25")).contains("after the day's end"));
    }
}
