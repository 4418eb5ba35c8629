//! What operators ask the governor to do: roll back, release, override a replica. Requests are JSON objects; a field of
//! another type counts as left out.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use wrenthread::types::ReplicaId;
use wrenthread_core::engine::{RollbackError, RollbackReport, TableScope};
use wrenthread_core::overrides::{OverrideError, OverrideKind};

use super::Host;

/// Why an operator's request is not carried out.
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

/// What a rollback came to.
#[derive(Debug, Serialize)]
pub struct RollbackOutcome {
    #[serde(rename = "held")]
    frozen: usize,
    #[serde(rename = "bare")]
    unfreezable: usize,
    /// Proxies of which so old a version is not retained.
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

/// What came of an override.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum OverrideOutcome {
    /// It is in force, but the guard refuses some of what follows from it.
    Set { replica: String, refused: usize },
    /// Whether there was one to end.
    Ended { replica: String, ended: bool },
}

/// How many frozen tables were released.
#[derive(Debug, Serialize)]
pub struct ReleaseOutcome {
    released: usize,
}

impl Host {
    /// Freezes tables at an earlier version for a while.
    ///
    /// # Errors
    /// A request that is incomplete, or a version that nobody concerned was sent.
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

    /// Excludes a replica or changes its weights for a while, or ends that.
    ///
    /// # Errors
    /// A request that is incomplete, a replica that is not listed, a factor out of range.
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
    /// A scope that names no proxy or class that is there.
    pub fn release(&mut self, now: Duration, request: &Value) -> Result<ReleaseOutcome, OperatorError> {
        let scope = self.scope(request)?;
        let released = self.engine.release(now, &scope)?;
        Ok(ReleaseOutcome { released })
    }

    /// Whose tables are meant.
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
        let class = self.wire.groups.iter().position(|class| class.name == name);
        class.map(TableScope::Class).ok_or_else(|| OperatorError::UnknownClass(name.to_string()))
    }
}

/// How long a request is to last.
fn duration(request: &Value) -> Result<Duration, OperatorError> {
    let seconds = request["for_s"].as_f64();
    let duration = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    duration.filter(|duration| !duration.is_zero()).ok_or(OperatorError::InvalidDuration)
}

/// Why an operator asks for it.
fn reason(request: &Value) -> Result<&str, OperatorError> {
    let reason = request["why"].as_str();
    reason.filter(|reason| !reason.is_empty()).ok_or(OperatorError::MissingReason)
}
