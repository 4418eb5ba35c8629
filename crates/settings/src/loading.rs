//! Reading a script from its file, in this process or in one of its own with bounded time and memory.

use std::path::Path;
use std::process::Command;

use crate::error::{Problem, SettingErrors};
use crate::model::{RosterSource, Settings};
use crate::validation::parse;

/// Memory limit of a process that reads a script, in bytes.
const MAX_PROCESS_BYTES: u64 = 1 << 30;
/// Limit of its processor time, in seconds.
const MAX_PROCESS_SECONDS: u64 = 10;

/// Reads and checks a script. Relative paths in it are resolved against its own folder.
///
/// # Errors
/// The file can't be read, or what is wrong with it.
pub fn load(path: &Path) -> Result<Settings, SettingErrors> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingErrors::single(&file, 0, &Problem::Unreadable(error)))?;
    let mut settings = parse(&file, &text)?;
    if let Some(folder) = path.parent() {
        resolve_paths(&mut settings, folder);
    }
    Ok(settings)
}

fn resolve_paths(settings: &mut Settings, folder: &Path) {
    if let RosterSource::File(roster) = &mut settings.roster {
        *roster = folder.join(&*roster);
    }
    if let Some(state) = &mut settings.state_folder {
        *state = folder.join(&*state);
    }
    let nginx = &mut settings.nginx;
    nginx.include_file = folder.join(&nginx.include_file);
    if let Some(access_log) = &mut nginx.access_log {
        *access_log = folder.join(&*access_log);
    }
    for key in &mut settings.keys {
        *key = folder.join(&*key);
    }
}

/// Bounds this process for the reading of a script: the interpreter checks its steps and its memory only now and then,
/// and a few steps can ask for all the memory there is. To be called in a process of its own, which ends where it exceeds
/// the bounds: [`load_apart`] does that.
///
/// # Errors
/// The system does not allow it.
pub fn bound_process() -> std::io::Result<()> {
    rlimit::Resource::AS.set(MAX_PROCESS_BYTES, MAX_PROCESS_BYTES)?;
    rlimit::Resource::CPU.set(MAX_PROCESS_SECONDS, MAX_PROCESS_SECONDS)
}

/// Reads and checks a script as [`load`] does, in a process of its own with bounded time and memory. `program` with
/// `arguments` and the path has to call [`bound_process`], then [`load`], and write the result as JSON.
///
/// # Errors
/// As [`load`]; a script that exceeds the bounds.
pub fn load_apart(program: &Path, arguments: &[&str], path: &Path) -> Result<Settings, SettingErrors> {
    let file = path.display().to_string();
    let output = Command::new(program)
        .args(arguments)
        .arg(path)
        .output()
        .map_err(|error| SettingErrors::single(&file, 0, &Problem::NoReaderProcess(error)))?;
    let result: Option<Result<Settings, SettingErrors>> = serde_json::from_slice(&output.stdout).ok();
    result.unwrap_or_else(|| {
        let problem = Problem::ReaderStopped { status: output.status };
        Err(SettingErrors::single(&file, 0, &problem))
    })
}
