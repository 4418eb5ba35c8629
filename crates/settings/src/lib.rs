//! Reads and validates settings scripts, which are written in Starlark. The result is [`Settings`], or all errors of
//! the script at once.
//!
//! The names used in scripts are a public interface. `schema` defines them, `validation` maps them to the fields of
//! [`Settings`], and [`Settings::engine_settings`] maps these to the settings of the engine.
//!
//! ```
//! let script = r#"
//! fleet(zones = ["north"], proxies = 16)
//! for name in ["match", "charge"]:
//!     group(name, latency_budget = 1, expiry = 3, prefix = "/" + name)
//! roster(file = "roster.json")
//! "#;
//! let settings = wrenthread_settings::parse("settings.star", script).unwrap();
//! assert_eq!(settings.groups.len(), 2);
//!
//! let wrong = wrenthread_settings::parse("settings.star", "fleet(zoness = [])").unwrap_err();
//! assert!(wrong.to_string().starts_with("settings.star:1: `fleet` has no `zoness`; did you mean `zones`?"));
//! ```
#![warn(missing_docs)]

pub mod day;
mod engine_settings;
mod error;
mod loading;
mod model;
mod schema;
mod script;
mod validation;

pub use error::{PathRouteError, SettingError, SettingErrors};
pub use loading::{limit_process_resources, load, load_in_subprocess};
pub use model::{Group, Nginx, PathRoute, RosterSource, Route, Settings};
pub use validation::parse;

#[cfg(test)]
mod tests;
