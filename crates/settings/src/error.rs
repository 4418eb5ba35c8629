//! Errors in scripts, with their file and line.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::schema::FieldType;

/// An error in a script.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingError {
    /// The script's file.
    pub file: String,
    /// The line number, from 1; 0 stands for the file as a whole.
    pub line: usize,
    /// What is wrong, and what is expected.
    #[serde(rename = "why")]
    pub reason: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(formatter, "{}: {}", self.file, self.reason),
            line => write!(formatter, "{}:{line}: {}", self.file, self.reason),
        }
    }
}

/// All errors of a script.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct SettingErrors {
    /// The errors; at least one.
    pub errors: Vec<SettingError>,
}

impl SettingErrors {
    /// A single error; line 0 stands for the file as a whole.
    pub(crate) fn single(file: &str, line: usize, problem: &Problem) -> Self {
        let reason = problem.to_string();
        SettingErrors { errors: vec![SettingError { file: file.to_string(), line, reason }] }
    }
}

impl fmt::Display for SettingErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(SettingError::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Why a path of a group is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathRouteError {
    /// The path is neither a pattern nor absolute.
    #[error("path \"{text}\" does not begin with `/`")]
    NotAbsolute {
        /// The path as it was written.
        text: String,
    },
    /// The path's pattern is no valid regular expression.
    #[error("\"{text}\" is no regular expression that proxies take")]
    InvalidPattern {
        /// The path as it was written.
        text: String,
    },
}

/// A problem in a script, reported as a [`SettingError`]. The texts are shown to users.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Problem {
    // ---- the file
    #[error("{0}")]
    Unreadable(std::io::Error),
    #[error("can't start the process that reads the settings: {0}")]
    NoReaderProcess(std::io::Error),
    #[error(
        "the process that reads the settings failed ({status}); a script may use 10 s of processor time and 1 GiB of memory"
    )]
    ReaderStopped { status: std::process::ExitStatus },
    #[error("the script has {bytes} bytes; at most {limit} are allowed")]
    ScriptTooLarge { bytes: usize, limit: usize },
    #[error("{0}")]
    Script(String),

    // ---- names and values of fields
    #[error("`{section}` has no `{field}`; {hint}")]
    UnknownField { section: &'static str, field: String, hint: String },
    #[error("`{field}` of `{section}` has type {type_name}, which is not allowed in settings")]
    UnsupportedType { section: &'static str, field: String, type_name: &'static str },
    #[error("`{section}` is already given on line {line}; it may be given once")]
    RepeatedSection { section: &'static str, line: usize },
    #[error("`{field}` of `{section}` is {value}; it takes {}", expected.describe())]
    WrongValue { section: String, field: &'static str, value: Value, expected: FieldType },
    #[error("`{section}` needs `{field}`: {description} ({})", expected.describe())]
    MissingValue { section: String, field: &'static str, description: &'static str, expected: FieldType },
    #[error("`{field}` is \"{text}\"; it takes `address:port`")]
    InvalidAddress { field: &'static str, text: String },

    // ---- groups
    #[error("{count} groups; define 1 to 64 with `group(...)`")]
    GroupCount { count: usize },
    #[error("a group needs a name")]
    UnnamedGroup,
    #[error("group `{name}` is already defined")]
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
    #[error("several governors share the fleet, so this one needs a name: `governor(name = ...)`")]
    UnnamedGovernor,
    #[error("peer `{name}` is this governor, or twice there")]
    RepeatedPeer { name: String },
    #[error("peer \"{text}\"; it takes \"name=address:port\"")]
    InvalidPeer { text: String },
    #[error("governors that exchange gossip need `name`, `keys` and `talk`")]
    IncompleteGossip,
    #[error("`zones` is empty; name at least one")]
    NoZones,
    #[error("`{metric}` is no load metric{hint} (waiting, in_hand, service_ms)")]
    UnknownLoadMetric { metric: String, hint: String },
    #[error("`roster` needs a `file`, or an `upstream` and its `clusters`")]
    InvalidRosterSource,
    #[error("`waiting_most` is {limit}; the tables of a single proxy need {needed} lines")]
    QueueLimitTooLow { limit: f64, needed: f64 },

    // ---- rehearsed days
    #[error("a `deploy` needs a `hall` that is in the `halls` of the day")]
    DeployWithoutHall,
    #[error("unknown trouble `{kind}`; {hint}")]
    UnknownTrouble { kind: String, hint: String },
    #[error("`{kind}` lasts until after the day's end")]
    TroubleAfterEnd { kind: String },
}
