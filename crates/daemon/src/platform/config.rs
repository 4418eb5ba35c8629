//! The governor's configuration on the platform: four environment variables, and the configuration file that one of
//! them names.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;
use thiserror::Error;
use wrenthread_deployment_config::{DeploymentConfig, FieldError, Fields};

/// The environment variables.
const NAME_VARIABLE: &str = "RELAY_NAME";
pub const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

/// Names of the fields of the configuration and of its sections.
const DISCOVERY: &str = "discovery";
const KNOWN_ENDPOINTS: &str = "known";
const SETTINGS: &str = "settings";
const EXTRA: &str = "extra";
const PROXY_COUNT: &str = "agents";
const LIMITS: &str = "limits";
const MEMORY_MEGABYTES: &str = "memory_mb";
const SOCKETS: &str = "sockets";

/// A complete configuration has some hundred KB; the limit is there because a file takes several times its size in
/// memory once parsed.
const MAX_FILE_BYTES: u64 = 2 << 20;
const DEFAULT_MEMORY_MEGABYTES: f64 = 2048.0;
const DEFAULT_SOCKETS: f64 = 4096.0;
/// Limits of this value or more are invalid.
const MAX_LIMIT: f64 = 1e9;

/// Why a governor can't start.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable is missing or empty.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// A variable's value is not an address, or the address can't be listened on.
    #[error("{variable} is not a usable address and port: `{value}`")]
    InvalidAddress { variable: &'static str, value: String },
    /// The configuration file can't be used.
    #[error("cannot use the configuration file {}: {error}", path.display())]
    File { path: PathBuf, error: ConfigFileError },
}

/// Why a configuration file can't be used.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    #[error("the file is too large: {bytes} bytes")]
    TooLarge { bytes: u64 },
    #[error("{0}")]
    InvalidJson(#[from] serde_json::Error),
    #[error("the file is not a JSON object")]
    NotAnObject,
    #[error("`discovery` is not an address and a port: {0}")]
    InvalidDiscovery(Value),
    #[error("`settings` is missing or not an object")]
    NoSettings,
    #[error("{0}")]
    InvalidField(#[from] FieldError),
    /// The simulator reads a missing count as one proxy; a governor here would become ready and serve no proxy.
    #[error("`settings.extra.agents` is missing or 0: no proxy could join")]
    NoProxies,
    /// Zones or classes, which messages refer to by name, are missing, unnamed or not unique.
    #[error("`{0}` must be a non-empty list with unique, non-empty names")]
    InvalidNames(&'static str),
    #[error("`limits.{0}` is out of range")]
    InvalidLimit(&'static str),
}

/// The validated environment variables.
#[derive(Debug, Clone)]
pub struct Variables {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub config: PathBuf,
}

impl Variables {
    /// Reads the environment.
    ///
    /// # Errors
    ///
    /// A variable is missing or invalid.
    pub fn read() -> Result<Self, ConfigError> {
        Ok(Variables {
            name: variable(NAME_VARIABLE)?,
            listen: address(LISTEN_VARIABLE)?,
            discovery: address(DISCOVERY_VARIABLE)?,
            config: variable(CONFIG_VARIABLE)?.into(),
        })
    }
}

fn variable(name: &'static str) -> Result<String, ConfigError> {
    let value = std::env::var(name).ok().filter(|value| !value.is_empty());
    value.ok_or(ConfigError::Missing(name))
}

fn address(name: &'static str) -> Result<SocketAddr, ConfigError> {
    let value = variable(name)?;
    value.parse().map_err(|_| ConfigError::InvalidAddress { variable: name, value })
}

/// The parts of the configuration that a governor uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Discovery's address, if the file contains one.
    pub discovery: Option<SocketAddr>,
    /// The memory limit, in bytes.
    pub memory_bytes: usize,
    /// The limit on file descriptors.
    pub sockets: usize,
    /// The endpoint list that this governor last received; it may be outdated.
    pub known_endpoints: Value,
    pub deployment: DeploymentConfig,
}

impl Config {
    /// Reads and validates the file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or a field is missing or invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        Config::read_file(path).map_err(|error| ConfigError::File { path: path.to_path_buf(), error })
    }

    fn read_file(path: &Path) -> Result<Self, ConfigFileError> {
        let bytes = std::fs::metadata(path)?.len();
        if bytes > MAX_FILE_BYTES {
            return Err(ConfigFileError::TooLarge { bytes });
        }
        let text = std::fs::read(path)?;
        Config::from_value(serde_json::from_slice(&text)?)
    }

    fn from_value(config: Value) -> Result<Self, ConfigFileError> {
        let Value::Object(mut config) = config else { return Err(ConfigFileError::NotAnObject) };
        let known_endpoints = config.remove(KNOWN_ENDPOINTS).unwrap_or_default();
        let fields = Fields::new(&config);
        let discovery = discovery(&fields)?;
        let deployment = deployment(&fields)?;
        let limits = fields.object_or_empty(LIMITS);
        Ok(Config {
            discovery,
            memory_bytes: limit(&limits, MEMORY_MEGABYTES, DEFAULT_MEMORY_MEGABYTES)? << 20,
            sockets: limit(&limits, SOCKETS, DEFAULT_SOCKETS)?,
            known_endpoints,
            deployment,
        })
    }
}

fn discovery(config: &Fields) -> Result<Option<SocketAddr>, ConfigFileError> {
    let Some(address) = config.get(DISCOVERY) else { return Ok(None) };
    let parsed = address.as_str().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| ConfigFileError::InvalidDiscovery(address.clone()))
}

fn deployment(config: &Fields) -> Result<DeploymentConfig, ConfigFileError> {
    let settings = config.get(SETTINGS).and_then(Value::as_object);
    let settings = Fields::new(settings.ok_or(ConfigFileError::NoSettings)?);
    let deployment = wrenthread_deployment_config::read(&settings)?;
    let states_proxies = settings.object_or_empty(EXTRA).get(PROXY_COUNT).is_some();
    if !states_proxies || deployment.settings.proxy_count == 0 {
        return Err(ConfigFileError::NoProxies);
    }
    check_names("settings.zones", &deployment.zone_names)?;
    check_names("settings.categories", &deployment.class_names)?;
    Ok(deployment)
}

fn limit(limits: &Fields, name: &'static str, default: f64) -> Result<usize, ConfigFileError> {
    let limit = if limits.get(name).is_some() { limits.number_or(name, -1.0) } else { default };
    if (1.0..MAX_LIMIT).contains(&limit) {
        Ok(limit as usize)
    } else {
        Err(ConfigFileError::InvalidLimit(name))
    }
}

/// Checks that names that messages refer to are present, non-empty and unique.
fn check_names(field: &'static str, names: &[String]) -> Result<(), ConfigFileError> {
    let mut unique: Vec<&String> = names.iter().collect();
    unique.sort();
    unique.dedup();
    if names.is_empty() || names.iter().any(String::is_empty) || unique.len() < names.len() {
        return Err(ConfigFileError::InvalidNames(field));
    }
    Ok(())
}
