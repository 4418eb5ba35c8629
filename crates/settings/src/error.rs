//! What can be wrong with a script, and where.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::schema::FieldType;

/// One thing that is wrong with a script.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingError {
    /// The script's file.
    pub file: String,
    /// The line, from 1; 0 is the file as a whole.
    pub line: usize,
    /// What is wrong, and what would be right.
    #[serde(rename = "why")]
    pub reason: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(to, "{}: {}", self.file, self.reason),
            line => write!(to, "{}:{line}: {}", self.file, self.reason),
        }
    }
}

/// All that is wrong with a script.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct SettingErrors {
    /// At least one.
    pub errors: Vec<SettingError>,
}

impl SettingErrors {
    /// A single error; line 0 is the file as a whole.
    pub(crate) fn single(file: &str, line: usize, problem: &Problem) -> Self {
        let reason = problem.to_string();
        SettingErrors { errors: vec![SettingError { file: file.to_string(), line, reason }] }
    }
}

impl fmt::Display for SettingErrors {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(SettingError::to_string).collect();
        to.write_str(&lines.join("\n"))
    }
}

/// Why a path of a group is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathRouteError {
    /// It is neither a pattern nor an absolute path.
    #[error("path \"{text}\" does not begin with `/`")]
    NotAbsolute {
        /// The path as it was written.
        text: String,
    },
    /// Its pattern does not parse.
    #[error("\"{text}\" is no regular expression that proxies take")]
    InvalidPattern {
        /// The path as it was written.
        text: String,
    },
}

/// What is wrong at one place of a script. The texts are shown to users.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Problem {
    // ---- the file
    #[error("{0}")]
    Unreadable(std::io::Error),
    #[error("can't be read apart: {0}")]
    NoReaderProcess(std::io::Error),
    #[error(
        "the script takes more than 10 s or 1 GiB; settings are to be small and quick to make ({status})"
    )]
    ReaderStopped { status: std::process::ExitStatus },
    #[error("{bytes} bytes; {limit} are allowed")]
    ScriptTooLarge { bytes: usize, limit: usize },
    #[error("{0}")]
    Script(String),

    // ---- names and values of fields
    #[error("`{section}` has no `{field}`; {hint}")]
    UnknownField { section: &'static str, field: String, hint: String },
    #[error("`{field}` of `{section}` is a {kind}, which is no setting")]
    NotASetting { section: &'static str, field: String, kind: &'static str },
    #[error("`{section}` was said already, on line {line}; say it once")]
    RepeatedSection { section: &'static str, line: usize },
    #[error("`{field}` of `{section}` is {value}; it takes {}", expected.description())]
    WrongValue { section: String, field: &'static str, value: Value, expected: FieldType },
    #[error("`{section}` needs `{field}`: {meaning} ({})", expected.description())]
    MissingValue { section: String, field: &'static str, meaning: &'static str, expected: FieldType },
    #[error("`{field}` is \"{text}\"; it takes `address:port`")]
    InvalidAddress { field: &'static str, text: String },

    // ---- groups
    #[error("{count} groups; say `group(...)` for 1 to 64")]
    GroupCount { count: usize },
    #[error("a group needs a name")]
    UnnamedGroup,
    #[error("group `{name}` was said already")]
    RepeatedGroup { name: String },
    #[error("the latency budget of group `{name}` ({budget} s) is beyond its expiry ({expiry} s)")]
    BudgetBeyondExpiry { name: String, budget: f64, expiry: f64 },
    #[error("group `{name}`: `deduped_by` and `deduped_for` go with effect \"deduped\", and it with both")]
    IncompleteDeduplication { name: String },
    #[error(transparent)]
    Path(#[from] PathRouteError),
    #[error(
        "group `{name}` needs a `prefix` that begins with `/`, a `header` as \"name: value\", or `paths`"
    )]
    InvalidRoute { name: String },
    #[error("groups `{name}` and `{other}` have the same route")]
    SameRoute { name: String, other: String },

    // ---- sections
    #[error("`name` is \"{name}\"; it takes up to 64 letters, digits, `-` and `_`")]
    InvalidGovernorName { name: String },
    #[error("several governors share the fleet: say this one's `governor(name = ...)`")]
    UnnamedGovernor,
    #[error("peer `{name}` is this governor, or twice there")]
    RepeatedPeer { name: String },
    #[error("peer \"{text}\"; it takes \"name=address:port\"")]
    InvalidPeer { text: String },
    #[error("governors that talk need `name`, `keys` and `talk`, each")]
    IncompleteGossip,
    #[error("`zones` is empty; name at least one")]
    NoZones,
    #[error("`{metric}` is no load metric{hint} (waiting, in_hand, service_ms)")]
    UnknownLoadMetric { metric: String, hint: String },
    #[error("`roster` needs a `file`, or an `upstream` and its `clusters`")]
    InvalidRosterSource,
    #[error("`waiting_most` is {limit}; the tables of one proxy alone come to {needed} lines")]
    QueueLimitTooLow { limit: f64, needed: f64 },

    // ---- rehearsed days
    #[error("a `deploy` needs a `hall` of the day")]
    DeployWithoutHall,
    #[error("no such trouble: `{kind}`; {hint}")]
    UnknownTrouble { kind: String, hint: String },
    #[error("`{kind}` goes on after the day's end")]
    TroubleAfterEnd { kind: String },
}
