//! `check` and the hidden `read-settings`: what a settings script comes to.

use std::path::Path;

use anyhow::Result;

use super::OutputFormat;
use crate::{render, run};

pub fn check(path: &Path, output: OutputFormat) -> Result<()> {
    let settings = run::load(path)?;
    let text = render::settings(&settings)?;
    output.print(&serde_json::to_value(&settings)?, |_| text);
    Ok(())
}

/// Reads settings in this process, within bounds on its memory and time, for the process that started it: that reads the
/// settings or the faults as JSON (`wrenthread_settings::load_apart`).
pub fn read_settings(path: &Path) -> Result<()> {
    wrenthread_settings::bound_process()?;
    let settings_or_faults = wrenthread_settings::load(path);
    println!("{}", serde_json::to_string(&settings_or_faults)?);
    Ok(())
}
