//! Loads a script from its file, in this process or in a separate process with limited processor time and memory.

use std::path::Path;
use std::process::Command;

use crate::error::{Problem, SettingErrors};
use crate::model::{RosterSource, Settings};
use crate::validation::parse;

/// Memory limit of a separate process that reads a script, in bytes.
const MAX_PROCESS_BYTES: u64 = 1 << 30;
/// Processor time limit of a separate process that reads a script, in seconds.
const MAX_PROCESS_SECONDS: u64 = 10;

/// Reads and validates a script. Relative paths in it are resolved against the script's folder.
///
/// # Errors
/// The file can't be read, or the script has errors.
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

/// Limits the memory and processor time of this process before it reads a script. The interpreter's own limits are not
/// enough: it checks its steps and memory only at intervals, and a few steps can allocate all available memory. To be
/// called in a separate process, which is terminated if it exceeds the limits; see [`load_in_subprocess`].
///
/// # Errors
/// The operating system rejects the limits.
pub fn limit_process_resources() -> std::io::Result<()> {
    rlimit::Resource::AS.set(MAX_PROCESS_BYTES, MAX_PROCESS_BYTES)?;
    rlimit::Resource::CPU.set(MAX_PROCESS_SECONDS, MAX_PROCESS_SECONDS)
}

/// Reads and validates a script like [`load`], but in a separate process with limited processor time and memory.
/// `program`, started with `arguments` and the path, must call [`limit_process_resources`] and [`load`], and write the
/// result to standard output as JSON.
///
/// # Errors
/// Those of [`load`]; also if the process can't be started, or ends without a result because it exceeds the limits.
pub fn load_in_subprocess(
    program: &Path,
    arguments: &[&str],
    path: &Path,
) -> Result<Settings, SettingErrors> {
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
