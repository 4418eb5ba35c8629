//! Reads the settings object that describes a deployment to its governors. The simulator's first message and the
//! platform's configuration file contain the same object.
//!
//! ```
//! use wrenthread_deployment_config::{Fields, read};
//!
//! let config = serde_json::json!({
//!     "zones": ["a", "b"],
//!     "categories": [{"name": "search", "objective_us": 500_000, "deadline_us": 2_000_000}],
//!     "extra": {"agents": 40},
//! });
//! let config = read(&Fields::new(config.as_object().unwrap())).unwrap();
//! assert_eq!(config.class_names, ["search"]);
//! assert_eq!(config.settings.proxy_count, 40);
//! ```

#![warn(missing_docs)]

mod fields;
mod read;
#[cfg(test)]
mod tests;
mod wire;

use wrenthread::types::Settings;

pub use fields::{FieldError, Fields};
pub use read::read;

/// The contents of the settings object: the decision module's settings, and the names that messages use.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentConfig {
    /// The decision module's settings.
    pub settings: Settings,
    /// Zone names, indexed by zone number.
    pub zone_names: Vec<String>,
    /// Names of the traffic classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the values in a load report, in the order of [`Settings::load_fields`].
    pub load_field_names: Vec<String>,
}
