//! `check` and the hidden `read-settings`: evaluate a settings script.

use std::path::Path;

use anyhow::Result;

use super::OutputFormat;
use crate::{render, run};

pub fn check(path: &Path, output: OutputFormat) -> Result<()> {
    let settings = run::load_settings(path)?;
    let text = render::settings(&settings)?;
    output.print(&serde_json::to_value(&settings)?, |_| text);
    Ok(())
}

/// Reads settings in this process, with limits on its memory and time. Prints the settings or the errors as JSON for
/// the parent process (`wrenthread_settings::load_in_subprocess`).
pub fn read_settings(path: &Path) -> Result<()> {
    wrenthread_settings::limit_process_resources()?;
    let settings_or_faults = wrenthread_settings::load(path);
    println!("{}", serde_json::to_string(&settings_or_faults)?);
    Ok(())
}
