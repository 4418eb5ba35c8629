//! Inspection for operators: the governor's estimate of the state, and reasons for its decisions.

use std::time::Duration;

use super::Governor;
use super::replica_state::HealthState;
use crate::types::{ChannelEstimate, ProxyId, ReplicaId, StateEstimate};

// Operators' tools match these texts, so they must not change.
const REASON_NOT_READY: &str = "drains or is gone";
const REASON_WITHHELD: &str = "too cold for tables that can't be read";
const REASON_EJECTED: &str = "withdrawn: does not answer, or drops far more than the fleet";
const REASON_PROBATION: &str = "on trial after a withdrawal";

/// Inspection methods for operators.
impl Governor {
    /// Whether the governor still has state for a replica; it drops gone replicas that are in no table.
    pub fn tracks(&self, id: &ReplicaId) -> bool {
        self.replicas.contains_key(id)
    }

    /// Returns the governor's current estimate of the fleet's state.
    pub fn state_estimate(&self, now: Duration) -> StateEstimate {
        let ready = self.replicas.values().filter(|replica| replica.ready);
        let ready_replicas = ready.clone().count();
        let ejected_replicas = ready.filter(|replica| replica.is_unavailable()).count();
        StateEstimate {
            offered_per_second: self.proxies.values().flat_map(|proxy| &proxy.request_rates).sum(),
            answered_per_second: self.success_rate(),
            admission_fraction: self.admission.fraction,
            available_replicas: ready_replicas - ejected_replicas,
            ejected_replicas,
            proxies: self.proxies.len(),
            unsynchronised_proxies: self.proxies.values().filter(|proxy| proxy.unsynchronised).count(),
            longest_unsynchronised: self.longest_unsynchronised(now),
            unverified_proxies: self.proxies.values().filter(|proxy| proxy.is_unverified()).count(),
            unsent_ejections: self.unsent_ejections().count(),
            oldest_unsent_drain: self.oldest_unsent_drain(now),
            unsent_readmissions: self.unsent_readmissions().count(),
            proxies_without_replicas: self.proxies_without_replicas().len(),
            channel: self.channel_estimate(now),
        }
    }

    fn longest_unsynchronised(&self, now: Duration) -> Duration {
        let waiting = self.proxies.values().filter(|proxy| proxy.unsynchronised);
        waiting.map(|proxy| now.saturating_sub(proxy.connected_at)).max().unwrap_or_default()
    }

    fn oldest_unsent_drain(&self, now: Duration) -> Duration {
        let listed_at = self.unsent_ejections().filter_map(|replica| replica.not_ready_since);
        listed_at.map(|at| now.saturating_sub(at)).max().unwrap_or_default()
    }

    fn channel_estimate(&self, now: Duration) -> ChannelEstimate {
        ChannelEstimate {
            queued_entries: self.send_queue.entries,
            max_queued_entries: self.parameters.max_queued_entries,
            remaining_flushes: self.flush_limiter.remaining(now, &self.parameters.flush_limit),
            sent: self.send_queue.sent,
        }
    }

    /// Whether a proxy is in the critical set and thus has solved tables.
    pub fn is_critical(&self, proxy: ProxyId) -> bool {
        self.critical_set.contains(proxy)
    }

    /// Returns the reason why a replica is sent no requests or only a few, if that is so.
    pub fn ejection_reason(&self, id: &ReplicaId) -> Option<&'static str> {
        let replica = self.replicas.get(id)?;
        match replica.health {
            _ if !replica.ready => Some(REASON_NOT_READY),
            _ if replica.withheld => Some(REASON_WITHHELD),
            HealthState::Ejected { .. } => Some(REASON_EJECTED),
            HealthState::Probation { .. } => Some(REASON_PROBATION),
            HealthState::Healthy => None,
        }
    }
}
