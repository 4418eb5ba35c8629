//! Validates settings that are reloaded while the governor runs.

use anyhow::Result;
use wrenthread_settings::Settings;

/// Returns the reloaded settings if they can be applied. Returns `None` and logs the reasons if they are invalid or
/// change a setting that is fixed while running; then all present settings stay in force.
pub fn accept_settings(read: Result<Settings>, present: &Settings) -> Option<Settings> {
    let settings = match read {
        Ok(settings) => settings,
        Err(error) => {
            for fault in format!("{error:#}").lines() {
                tracing::error!(%fault, "settings not taken; the present ones stay in force");
            }
            return None;
        }
    };
    let fixed = present.differences_requiring_restart(&settings);
    if !fixed.is_empty() {
        for difference in &fixed {
            tracing::error!(%difference, "setting can't be changed while running; all present settings stay in force");
        }
        return None;
    }
    tracing::info!("settings reloaded");
    Some(settings)
}
