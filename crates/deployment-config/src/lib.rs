//! The object that describes a deployment to its governors: the simulator's first message and the platform's
//! configuration file hold the same one, which is read here for both.
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

/// What the object says: the decision module's settings, and the names that messages use.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentConfig {
    /// The decision module's settings.
    pub settings: Settings,
    /// The zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// The traffic classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The values of a load report, in the order of [`Settings::load_fields`].
    pub load_field_names: Vec<String>,
}
