//! Validation of the recorded calls of a script. All problems are collected, each with its line.

mod fields;
mod groups;
mod sections;

pub(crate) use fields::Fields;

use crate::error::{Problem, SettingError, SettingErrors};
use crate::model::Settings;
use crate::script::{self, Calls, ScriptKind};

/// Collects the problems of one script.
pub(crate) struct Validator<'a> {
    file: &'a str,
    errors: Vec<SettingError>,
}

impl<'a> Validator<'a> {
    pub(crate) fn new(file: &'a str) -> Self {
        Validator { file, errors: Vec::new() }
    }

    pub(crate) fn report(&mut self, line: usize, problem: Problem) {
        let reason = problem.to_string();
        self.errors.push(SettingError { file: self.file.to_string(), line, reason });
    }

    /// Whether no problem has been reported so far.
    pub(crate) fn is_clean(&self) -> bool {
        self.errors.is_empty()
    }

    /// The collected problems, as an error.
    pub(crate) fn into_errors(self) -> SettingErrors {
        SettingErrors { errors: self.errors }
    }
}

/// Parses and validates a settings script. `file` is the name that errors show.
///
/// # Errors
/// All errors of the script.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingErrors> {
    let calls: Calls = script::run(file, text, ScriptKind::Settings)?;
    sections::settings(file, &calls)
}
