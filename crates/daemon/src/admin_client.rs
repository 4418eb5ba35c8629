//! The command line's client for the HTTP port of a running governor.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use serde_json::Value;

/// The size limit of a response. A recording of a thousand proxies is some ten million bytes.
const MAX_RESPONSE_BYTES: u64 = 512 << 20;
/// A governor that takes longer to respond is considered unreachable.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a GET request to the governor whose HTTP port is at this address.
///
/// # Errors
/// No governor answers at the address, or it responds with an error.
pub fn get(at: &str, path: &str) -> Result<Value> {
    request(at, path, None)
}

/// Sends a POST request to the governor whose HTTP port is at this address.
///
/// # Errors
/// No governor answers at the address, or it responds with an error.
pub fn post(at: &str, path: &str, body: &Value) -> Result<Value> {
    request(at, path, Some(body))
}

fn request(at: &str, path: &str, body: Option<&Value>) -> Result<Value> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{at}{path}");
    let response = match body {
        None => agent.get(&url).call(),
        Some(body) => agent.post(&url).header("content-type", "application/json").send(body.to_string()),
    };
    let mut response = response.with_context(|| format!("no governor answers at {at}"))?;
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    let text = body.read_to_string().with_context(|| format!("reading the response of {url}"))?;
    let value: Value = serde_json::from_str(&text)
        .with_context(|| format!("{url} returned invalid JSON: {}", text.trim()))?;
    match value.get("error").and_then(Value::as_str) {
        Some(error) => bail!("{error}"),
        None => Ok(value),
    }
}
