//! Cooperation with other governors: membership datagrams, migration of proxies, drains.

use std::time::Duration;

use serde::Serialize;
use tonic::Status;
use wrenthread_core::fleet::StreamId;
use wrenthread_long_poll::service::RequestError;
use wrenthread_membership::members::Member;
use wrenthread_membership::{Action, MembershipEvent, ServiceMode};
use wrenthread_xds::REDIRECT_METADATA_KEY;

use super::{Host, WorkItem};
use crate::migration;

/// The maximum number of redirects stored for proxies that had no poll pending. Beyond it the oldest are dropped, and
/// their proxies join the same governor again.
const MAX_PENDING_REDIRECTS: usize = 1024;

/// The state of a governor that has not been heard from yet, in the list of governors.
const NOT_HEARD_YET: &str = "not heard yet";

/// The governors as shown by `status --governors`.
#[derive(Debug, Serialize)]
pub struct GovernorsStatus {
    name: String,
    draining: bool,
    joined: usize,
    /// The maximum number of proxies that each governor should have at present.
    #[serde(rename = "most")]
    max_joined: usize,
    #[serde(rename = "on_way")]
    migrating: usize,
    #[serde(rename = "moved")]
    migrated_away: u64,
    #[serde(rename = "came")]
    migrated_here: u64,
    #[serde(rename = "unheard")]
    ignored_datagrams: u64,
    others: Vec<MemberStatus>,
}

#[derive(Debug, Serialize)]
struct MemberStatus {
    name: String,
    #[serde(rename = "standing")]
    state: &'static str,
    at: String,
    joined: u32,
    draining: bool,
    #[serde(rename = "since_s")]
    in_state_seconds: f64,
    #[serde(rename = "heard_s")]
    last_heard_seconds: Option<f64>,
    incarnation: String,
}

impl MemberStatus {
    fn new(now: Duration, member: &Member) -> Self {
        let seconds_since = |at: Duration| now.saturating_sub(at).as_secs_f64();
        let state = match member.last_heard {
            None if !member.is_live() => NOT_HEARD_YET,
            _ => member.update.state.name(),
        };
        MemberStatus {
            name: member.update.name.clone(),
            state,
            at: member.update.address.to_string(),
            joined: member.update.load.connected_proxies,
            draining: member.update.load.draining,
            in_state_seconds: seconds_since(member.state_since),
            last_heard_seconds: member.last_heard.map(seconds_since),
            incarnation: format!("{:x}", member.update.incarnation),
        }
    }
}

impl Host {
    /// Handles a datagram from another governor.
    pub fn datagram_received(&mut self, now: Duration, datagram: &[u8]) {
        if let Err(error) = self.membership.handle_datagram(now, datagram) {
            tracing::debug!(%error, "datagram ignored");
        }
    }

    /// Starts to migrate all proxies to other governors, or ends the drain and accepts proxies again.
    pub fn set_draining(&mut self, now: Duration, draining: bool) -> GovernorsStatus {
        tracing::warn!(draining, proxies = self.engine.fleet().len(), "drain requested by operator");
        let mode = if draining { ServiceMode::Draining } else { ServiceMode::Serving };
        self.membership.set_mode(now, mode);
        self.governors(now)
    }

    /// Whether this governor is migrating all its proxies away.
    pub fn is_draining(&self) -> bool {
        self.membership.is_draining()
    }

    /// The governors as seen by this one.
    pub fn governors(&self, now: Duration) -> GovernorsStatus {
        let statistics = self.membership.statistics();
        let others = self.membership.members().others();
        GovernorsStatus {
            name: self.wire.governor.clone(),
            draining: self.membership.is_draining(),
            joined: self.engine.fleet().len(),
            max_joined: self.membership.max_proxies(),
            migrating: statistics.proxies_migrating,
            migrated_away: statistics.proxies_moved,
            migrated_here: statistics.proxies_received,
            ignored_datagrams: statistics.datagrams_rejected,
            others: others.map(|member| MemberStatus::new(now, member)).collect(),
        }
    }

    /// Carries out the actions that membership has due.
    pub(super) fn process_membership(&mut self, now: Duration, mut work: impl FnMut(WorkItem)) {
        while let Some(action) = self.membership.next_action(now) {
            match action {
                Action::Send { address, datagram } => work(WorkItem::SendDatagram { to: address, datagram }),
                Action::CollectState { proxy, to } => self.offer_proxy(now, &proxy, &to),
                Action::MoveProxy { proxy, to } => self.redirect(now, &proxy, to),
                Action::Event(event) => log_event(&event),
            }
        }
    }

    /// Offers a proxy, with its state, to another governor.
    fn offer_proxy(&mut self, now: Duration, proxy: &str, to: &str) {
        let proxy_id = self.engine.fleet().named(proxy).map(|(proxy_id, _)| proxy_id);
        let state =
            proxy_id.map(|proxy_id| migration::encode(&self.engine, &self.session_parameters, now, proxy_id));
        self.membership.offer_proxy(now, proxy, to, state.unwrap_or_default());
    }

    /// Ends a proxy's stream or session and names the governor to connect to. With `None` the proxy uses the next
    /// governor in its own order.
    fn redirect(&mut self, now: Duration, proxy: &str, to: Option<String>) {
        let Some(stream) = self.engine.fleet().named(proxy).map(|(_, proxy)| proxy.stream) else { return };
        tracing::info!(proxy, to = to.as_deref().unwrap_or("next in its order"), "proxy redirected");
        if self.sessions.proxy_name(stream).is_some() {
            self.redirect_session(stream, to);
        } else if let Some(open) = self.streams.remove(&stream) {
            let mut status = Status::unavailable("this proxy is to go to another governor");
            // Always parses: governor names consist of letters, digits, `-` and `_`.
            if let Ok(to) = to.unwrap_or_default().parse() {
                status.metadata_mut().insert(REDIRECT_METADATA_KEY, to);
            }
            open.answers.end(status);
        }
        self.disconnected(now, stream);
    }

    fn redirect_session(&mut self, session: StreamId, to: Option<String>) {
        match self.sessions.close(session) {
            Some(reply) => drop(reply.send(Err(RequestError::Redirected(to)))),
            None => {
                self.pending_redirects.insert(session, to);
                while self.pending_redirects.len() > MAX_PENDING_REDIRECTS {
                    self.pending_redirects.pop_first();
                }
            }
        }
    }
}

fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::MemberStateChanged { governor, state } => {
            tracing::info!(governor, state = state.name(), "governor state changed");
        }
        MembershipEvent::Stalled { late } => tracing::warn!(?late, "event loop stalled"),
        MembershipEvent::OfferUnanswered { proxy, to } => {
            tracing::warn!(proxy, to, "migration offer unanswered");
        }
        MembershipEvent::Drained => tracing::info!("drain complete"),
    }
}
