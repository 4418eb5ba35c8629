//! Handling of newly connected proxies, for both fronts: verifies which governor's tables a proxy has, counts takeovers,
//! and adopts the state that its former governor sent.

use std::sync::Arc;
use std::time::Duration;

use tonic::Status;
use wrenthread::types::ProxyId;
use wrenthread_core::fleet::StreamId;
use wrenthread_core::ownership;
use wrenthread_core::reports::LoadReport;
use wrenthread_long_poll::sessions::PollOutcome;

use super::{Host, metrics};
use crate::migration;

impl Host {
    /// The epoch and version in an ownership proof, if it is valid and of this governor in any epoch.
    pub(super) fn proven_version(&self, proxy: &str, proof: Option<&str>) -> Option<(u64, u64)> {
        let claim = ownership::verify(&self.signing_keys, proxy, proof?).ok()?;
        (claim.governor == self.wire.governor).then_some((claim.epoch, claim.version))
    }

    /// Called when a proxy has connected. The proof is checked first because it may raise the epoch, which ends all
    /// streams.
    pub(super) fn connected(&mut self, now: Duration, proxy_id: ProxyId, name: &str, proof: Option<&str>) {
        let former_governor = self.check_ownership(now, name, proof);
        self.adopt_migrated(now, proxy_id, former_governor.as_deref());
    }

    /// The governor whose tables a proxy has, if that is proven. No table depends on it: the module gives complete
    /// tables to every proxy that connects with tables, so neither a stale nor a forged proof restores old ones.
    fn check_ownership(&mut self, now: Duration, proxy: &str, proof: Option<&str>) -> Option<String> {
        let claim = match ownership::verify(&self.signing_keys, proxy, proof?) {
            Ok(claim) => claim,
            Err(error) => {
                ::metrics::counter!(metrics::PROOFS_INVALID).increment(1);
                tracing::warn!(proxy, %error, "ownership proof rejected");
                return None;
            }
        };
        if claim.governor != self.wire.governor {
            self.takeovers += 1;
            ::metrics::counter!(metrics::TAKEOVERS).increment(1);
            let epoch = format!("{:x}", claim.epoch);
            tracing::info!(proxy, from = claim.governor, epoch, version = claim.version, "proxy taken over");
        } else if claim.epoch > self.wire.epoch {
            self.raise_epoch(now, claim.epoch);
        }
        Some(claim.governor)
    }

    /// Raises the epoch above that of an earlier run of this governor whose clock was ahead, because proxies ignore
    /// lower epochs. All proxies have to connect again.
    ///
    /// Done once per run: two governors with the same name would otherwise raise their epochs in turn without end.
    fn raise_epoch(&mut self, now: Duration, earlier: u64) {
        if self.epoch_raised {
            let epoch = format!("{earlier:x}");
            tracing::error!(epoch, "another governor uses this one's name or key");
            return;
        }
        self.epoch_raised = true;
        self.wire.epoch = earlier.saturating_add(1);
        self.session_parameters.epoch = format!("{:x}", self.wire.epoch);
        tracing::warn!(epoch = self.session_parameters.epoch, "epoch raised because the clock was set back");
        for (stream, open) in std::mem::take(&mut self.streams) {
            open.answers.end(Status::unavailable("the governor takes up a later epoch; come back"));
            self.disconnected(now, stream);
        }
        for session in self.sessions.ids() {
            self.end_session(now, session, PollOutcome::SessionClosed);
        }
    }

    /// Announces the proxy to the other governors and adopts the state that was sent for it, if the sender is the
    /// governor that the proxy was connected to last.
    fn adopt_migrated(&mut self, now: Duration, proxy_id: ProxyId, former_governor: Option<&str>) {
        let Some(proxy) = self.engine.proxy(proxy_id).map(|proxy| proxy.name.clone()) else { return };
        let Some(transferred) = self.membership.proxy_connected(now, &proxy) else { return };
        if former_governor.is_some_and(|governor| governor != transferred.from) {
            tracing::info!(%proxy, from = transferred.from, "migrated tables outdated");
            return;
        }
        match migration::decode(&self.session_parameters, now, transferred) {
            Ok(migrated) => {
                let from = migrated.from.clone();
                let tables = self.engine.adopt_migrated_tables(now, proxy_id, migrated);
                ::metrics::counter!(metrics::TABLES_MIGRATED).increment(1);
                tracing::info!(%proxy, %from, tables, "migrated tables adopted");
            }
            Err(error) => tracing::warn!(%proxy, %error, "migrated tables can't be decoded"),
        }
    }

    /// Records a load report, or returns why it is discarded.
    pub(super) fn record_report(
        &mut self,
        now: Duration,
        proxy: &Arc<str>,
        stream: StreamId,
        report: &LoadReport,
    ) -> Result<(), wrenthread_core::reports::DiscardReason> {
        ::metrics::counter!(metrics::REPORTS).increment(1);
        let recorded = self.engine.record_report(now, proxy, stream, report);
        if let Err(reason) = &recorded {
            let label = reason.to_string();
            ::metrics::counter!(metrics::REPORTS_DISCARDED, metrics::DISCARD_REASON_LABEL => label)
                .increment(1);
            tracing::debug!(%proxy, %reason, "load report discarded");
        }
        recorded
    }
}
