//! Operators' requests to a governor: roll back tables, release them, override a replica. Requests are JSON objects; a
//! field with the wrong type counts as absent.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use wrenthread::types::ReplicaId;
use wrenthread_core::engine::{RollbackError, RollbackReport, TableScope};
use wrenthread_core::overrides::{OverrideError, OverrideKind};

use super::Host;

/// Why an operator's request is rejected.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    #[error("`for_s` is a number of seconds above 0")]
    InvalidDuration,
    #[error("`why` is needed")]
    MissingReason,
    #[error("`version` is a number")]
    InvalidVersion,
    #[error("`replica` is needed")]
    MissingReplica,
    #[error("say one of `proxy`, `group` and `all`")]
    InvalidScope,
    #[error("no group `{0}` in the settings")]
    UnknownClass(String),
    #[error(transparent)]
    Rollback(#[from] RollbackError),
    #[error(transparent)]
    Override(#[from] OverrideError),
}

/// The outcome of a rollback.
#[derive(Debug, Serialize)]
pub struct RollbackOutcome {
    #[serde(rename = "held")]
    frozen: usize,
    #[serde(rename = "bare")]
    unfreezable: usize,
    /// Proxies that have no retained version that old.
    without: Vec<String>,
    #[serde(rename = "left_out")]
    omitted: Vec<OmittedEntry>,
}

#[derive(Debug, Serialize)]
struct OmittedEntry {
    proxy: String,
    #[serde(rename = "group")]
    class: Option<String>,
    replica: String,
    #[serde(rename = "why")]
    reason: String,
}

/// The outcome of an override.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum OverrideOutcome {
    /// The override is in force. `refused` counts the resulting changes that the guard refused.
    Set { replica: String, refused: usize },
    /// The override was ended, if there was one.
    Ended { replica: String, ended: bool },
}

/// The number of frozen tables that were released.
#[derive(Debug, Serialize)]
pub struct ReleaseOutcome {
    released: usize,
}

impl Host {
    /// Freezes tables at an earlier version for a while.
    ///
    /// # Errors
    /// The request is incomplete, or no proxy in its scope was sent the version.
    pub fn rollback(&mut self, now: Duration, request: &Value) -> Result<RollbackOutcome, OperatorError> {
        let scope = self.scope(request)?;
        let version = request["version"].as_u64().ok_or(OperatorError::InvalidVersion)?;
        let duration = duration(request)?;
        let reason = reason(request)?;
        let until = now.saturating_add(duration);
        let report = self.engine.rollback(now, &scope, version, reason, until)?;
        tracing::warn!(
            ?scope,
            version,
            reason,
            frozen = report.frozen,
            unfreezable = report.unfreezable,
            "rollback requested by operator"
        );
        Ok(self.rollback_outcome(&report))
    }

    fn rollback_outcome(&self, report: &RollbackReport) -> RollbackOutcome {
        let omitted = report.omitted.iter();
        let omitted = omitted.map(|(proxy, class, replica, reason)| OmittedEntry {
            proxy: proxy.to_string(),
            class: self.class_name(*class),
            replica: replica.to_string(),
            reason: reason.to_string(),
        });
        RollbackOutcome {
            frozen: report.frozen,
            unfreezable: report.unfreezable,
            without: report.without.iter().map(ToString::to_string).collect(),
            omitted: omitted.collect(),
        }
    }

    /// Excludes a replica or changes its weights for a while, or ends such an override.
    ///
    /// # Errors
    /// The request is incomplete, the replica is not listed, or the factor is out of range.
    pub fn override_replica(
        &mut self,
        now: Duration,
        request: &Value,
    ) -> Result<OverrideOutcome, OperatorError> {
        let name = request["replica"].as_str().ok_or(OperatorError::MissingReplica)?;
        if request["undo"].as_bool() == Some(true) {
            tracing::warn!(replica = name, "override ended by operator");
            let ended = self.engine.end_override(now, name);
            return Ok(OverrideOutcome::Ended { replica: name.to_string(), ended });
        }
        let kind = match request["weight"].as_f64() {
            Some(factor) => OverrideKind::Weight(factor),
            None => OverrideKind::Exclude,
        };
        let duration = duration(request)?;
        let reason = reason(request)?;
        let until = now.saturating_add(duration);
        let replica: ReplicaId = name.into();
        self.engine.override_replica(now, &replica, kind, until, reason)?;
        tracing::warn!(replica = name, ?kind, ?duration, reason, "override requested by operator");
        let refused = self.engine.guard().refusals().filter(|refusal| refusal.at == now).count();
        Ok(OverrideOutcome::Set { replica: name.to_string(), refused })
    }

    /// Releases frozen tables.
    ///
    /// # Errors
    /// The scope names an unknown proxy or class.
    pub fn release(&mut self, now: Duration, request: &Value) -> Result<ReleaseOutcome, OperatorError> {
        let scope = self.scope(request)?;
        let released = self.engine.release(now, &scope)?;
        Ok(ReleaseOutcome { released })
    }

    /// The tables that a request applies to.
    fn scope(&self, request: &Value) -> Result<TableScope, OperatorError> {
        let proxy = request["proxy"].as_str();
        let class = request["group"].as_str();
        let all = request["all"].as_bool();
        match (proxy, class, all) {
            (Some(proxy), None, None) => Ok(TableScope::Proxy(proxy.into())),
            (None, Some(class), None) => self.class_scope(class),
            (None, None, Some(true)) => Ok(TableScope::All),
            _ => Err(OperatorError::InvalidScope),
        }
    }

    fn class_scope(&self, name: &str) -> Result<TableScope, OperatorError> {
        let class = self.wire.classes.iter().position(|class| class.name == name);
        class.map(TableScope::Class).ok_or_else(|| OperatorError::UnknownClass(name.to_string()))
    }
}

/// The duration in a request.
fn duration(request: &Value) -> Result<Duration, OperatorError> {
    let seconds = request["for_s"].as_f64();
    let duration = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    duration.filter(|duration| !duration.is_zero()).ok_or(OperatorError::InvalidDuration)
}

/// The operator's reason in a request.
fn reason(request: &Value) -> Result<&str, OperatorError> {
    let reason = request["why"].as_str();
    reason.filter(|reason| !reason.is_empty()).ok_or(OperatorError::MissingReason)
}
