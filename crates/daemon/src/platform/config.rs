//! What the platform tells a governor: four variables, and the configuration file that one of them names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;
use thiserror::Error;
use wrenthread_deployment_config::{DeploymentConfig, Fields};

/// What keeps a governor from starting, or a new configuration from taking effect.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("{0} is not set")]
    Missing(&'static str),
    #[error("{0} is not an address and a port: `{1}`")]
    Address(&'static str, String),
    #[error("the configuration {}: {why}", path.display())]
    File { path: PathBuf, why: String },
}

/// The variables, checked.
#[derive(Debug, Clone)]
pub struct Variables {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub config: PathBuf,
}

impl Variables {
    /// Errors: one that is missing or broken, by its name.
    pub fn read() -> Result<Self, ConfigError> {
        let text = |name: &'static str| {
            let value = std::env::var(name).ok().filter(|value| !value.is_empty());
            value.ok_or(ConfigError::Missing(name))
        };
        let address = |name| {
            text(name).and_then(|text| text.parse().map_err(|_| ConfigError::Address(name, text.clone())))
        };
        Ok(Variables {
            name: text("RELAY_NAME")?,
            listen: address("RELAY_LISTEN")?,
            discovery: address("RELAY_DISCOVERY")?,
            config: text("RELAY_CONFIG")?.into(),
        })
    }
}

/// The configuration, as far as a governor heeds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    pub discovery: Option<SocketAddr>,
    pub memory: usize,
    pub sockets: usize,
    /// The list as this governor last had it; it may be old.
    pub known: Value,
    pub deployment: DeploymentConfig,
}

/// A whole configuration is some hundred KB, and several times as much in memory.
const FILE_MOST: u64 = 2 << 20;

impl Config {
    /// Errors: the file with what is wrong in it.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let fault = |why: String| ConfigError::File { path: path.to_path_buf(), why };
        let size = std::fs::metadata(path).map_err(|error| fault(error.to_string()))?.len();
        if size > FILE_MOST {
            return Err(fault(format!("{size} bytes are too many")));
        }
        let bytes = std::fs::read(path).map_err(|error| fault(error.to_string()))?;
        let whole = serde_json::from_slice(&bytes).map_err(|error| fault(error.to_string()))?;
        Config::take(whole).map_err(fault)
    }

    fn take(whole: Value) -> Result<Self, String> {
        let Value::Object(mut whole) = whole else { return Err("it is no object".into()) };
        let known = whole.remove("known").unwrap_or_default();
        let fields = Fields::new(&whole);
        let discovery = match fields.get("discovery") {
            None => None,
            Some(address) => {
                let parsed = address.as_str().and_then(|text| text.parse().ok());
                Some(parsed.ok_or_else(|| format!("`discovery` is not an address and a port: {address}"))?)
            }
        };
        let settings = whole.get("settings").and_then(Value::as_object);
        let settings = Fields::new(settings.ok_or("`settings` is no object")?);
        let info = wrenthread_deployment_config::read(&settings)?;
        // Where the simulator tells of no number there is one proxy; here it would be ready and serve nobody.
        if settings.object_or_empty("extra").get("agents").is_none() || info.settings.proxy_count == 0 {
            return Err("`settings.extra.agents` is missing or 0: no proxy could join".into());
        }
        named("settings.zones", &info.zone_names)?;
        named("settings.categories", &info.class_names)?;
        let limits = fields.object_or_empty("limits");
        Ok(Config {
            discovery,
            memory: limit(&limits, "memory_mb", 2048)? << 20,
            sockets: limit(&limits, "sockets", 4096)?,
            known,
            deployment: info,
        })
    }
}

fn limit(limits: &Fields, name: &str, usual: u64) -> Result<usize, String> {
    let most = if limits.get(name).is_some() { limits.number_or(name, -1.0) } else { usual as f64 };
    if (1.0..1e9).contains(&most) {
        Ok(most as usize)
    } else {
        Err(format!("`limits.{name}` is out of range"))
    }
}

/// What messages name must have a name, and one of its own.
fn named(what: &str, names: &[String]) -> Result<(), String> {
    let mut sorted: Vec<&String> = names.iter().collect();
    sorted.sort();
    sorted.dedup();
    if names.is_empty() || names.iter().any(String::is_empty) || sorted.len() < names.len() {
        return Err(format!("`{what}` are none, without names, or alike in name"));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
