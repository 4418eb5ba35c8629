//! The settings script, checked: Starlark in, [`Settings`] out, or all that is wrong with it at once.
//!
//! The words of the script are an interface: `schema` has them all, and `validation` maps them to the fields of
//! [`Settings`], which [`Settings::engine_settings`] maps to those of the engine.
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
pub use loading::{bound_process, load, load_apart};
pub use model::{Group, Nginx, PathRoute, RosterSource, Route, Settings};
pub use validation::parse;

#[cfg(test)]
mod tests;
