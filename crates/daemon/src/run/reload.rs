//! Settings that are read again while the governor runs.

use anyhow::Result;
use wrenthread_settings::Settings;

/// The settings to go on with. None, with the reasons in the log, if they can't be read or differ in what can't be
/// changed while running: then the present ones stay, all of them.
pub fn accept_settings(read: Result<Settings>, present: &Settings) -> Option<Settings> {
    let settings = match read {
        Ok(settings) => settings,
        Err(error) => {
            for fault in format!("{error:#}").lines() {
                tracing::error!(%fault, "settings not taken; the old ones stay");
            }
            return None;
        }
    };
    let fixed = present.fixed_differences(&settings);
    if !fixed.is_empty() {
        for difference in &fixed {
            tracing::error!(%difference, "can't be changed while running; nothing was changed");
        }
        return None;
    }
    tracing::info!("settings reloaded");
    Some(settings)
}
