//! Logs the engine's events and counts them in metrics.

use wrenthread_core::engine::{Cause, DecisionSummary, EngineEvent};
use wrenthread_core::guard::Refusal;
use wrenthread_long_poll::conversion::retry_policy_name;

use super::{Host, metrics};
use crate::labels;

impl Host {
    pub(super) fn log_engine_event(&self, event: &EngineEvent) {
        match event {
            EngineEvent::Decided { summary, version, causes } => self.log_decision(summary, *version, causes),
            EngineEvent::EmptyRosterUnconfirmed(_) => {
                tracing::warn!("roster is empty; keeping the last one until the empty roster is confirmed");
            }
            EngineEvent::VersionRejected { proxy, version, reason } => {
                tracing::warn!(%proxy, version, reason, "tables rejected by proxy");
            }
            EngineEvent::FrozenTableReleased { proxy, class, reason } => {
                let class = self.class_name(*class);
                tracing::warn!(%proxy, class, %reason, "frozen table released");
            }
            EngineEvent::OverrideExpired(replica) => tracing::warn!(%replica, "override expired"),
            EngineEvent::TableRefused(refusal) => self.log_refusal(refusal),
            EngineEvent::JoinsQueued(queued) => {
                tracing::info!(queued, "joins queued because the send channel is full");
            }
        }
    }

    fn log_decision(&self, decision: &DecisionSummary, version: u64, causes: &[Cause]) {
        let causes = causes.iter().map(labels::cause).collect::<Vec<_>>().join(", ");
        match decision {
            DecisionSummary::Ejection(replica, true) => {
                ::metrics::counter!(metrics::EJECTIONS).increment(1);
                let reason = self.engine.ejection_reason(replica).unwrap_or("");
                tracing::info!(%replica, reason, version, causes, "replica ejected");
            }
            DecisionSummary::Ejection(replica, false) => {
                ::metrics::counter!(metrics::EJECTIONS).increment(0);
                tracing::info!(%replica, version, causes, "replica reinstated");
            }
            DecisionSummary::TableUpdate(proxy, entries) => {
                tracing::info!(%proxy, entries, version, causes, "table changed");
            }
            DecisionSummary::TableAssignment(proxy, classes) => {
                let classes = self.class_names(*classes);
                tracing::info!(%proxy, classes, version, causes, "table assigned");
            }
            DecisionSummary::Admission(classes, admission_fraction, retry_policy) => {
                let classes = self.class_names(*classes);
                let retries = retry_policy_name(*retry_policy);
                tracing::info!(classes, admission_fraction, retries, version, causes, "admission changed");
            }
        }
    }

    fn log_refusal(&self, refusal: &Refusal) {
        let label = labels::refusal_reason(refusal.reason);
        ::metrics::counter!(metrics::REFUSALS, metrics::REFUSAL_REASON_LABEL => label).increment(1);
        let proxy = refusal.proxy.and_then(|proxy_id| self.engine.proxy(proxy_id));
        tracing::warn!(
            proxy = proxy.map(|proxy| &*proxy.name),
            class = self.class_name(refusal.class),
            replica = refusal.replica.as_deref(),
            reason = %refusal.reason,
            asked = refusal.asked,
            allowed = refusal.allowed,
            outcome = labels::refusal_outcome(refusal.outcome),
            "change refused by the guard"
        );
    }

    /// The names of a set of traffic classes.
    fn class_names(&self, set: u64) -> String {
        let classes = self.wire.classes.iter().enumerate();
        let members = classes.filter(|(class, _)| set >> class & 1 == 1);
        members.map(|(_, class)| class.name.as_str()).collect::<Vec<_>>().join(",")
    }
}
