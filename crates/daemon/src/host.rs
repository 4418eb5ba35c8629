//! The state of one governor and its handling of each event: the engine, the streams and the sessions, owned by one
//! task. Nothing here blocks or awaits: sockets, files and timers belong to the event loop in [`crate::run`].

mod client_status;
mod engine_events;
mod grpc;
mod inspection;
mod joining;
mod long_poll;
mod membership;
mod metrics;
mod operations;
mod status;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tonic::Status;
use wrenthread::types::ProxyId;
use wrenthread_core::engine::{Action, Engine, EngineSettings};
use wrenthread_core::fleet::StreamId;
use wrenthread_core::ownership::SigningKey;
use wrenthread_core::roster::RosterEntry;
use wrenthread_core::snapshot::StoredItems;
use wrenthread_long_poll::messages::SessionParameters;
use wrenthread_long_poll::service::{PollResponse, Reply, RequestError};
use wrenthread_long_poll::sessions::Sessions;
use wrenthread_membership::{Action as MembershipAction, Membership};
use wrenthread_xds::XdsConfig;
use wrenthread_xds::service::ResponseSender;

use grpc::AdsStream;
pub use inspection::InspectionError;
pub use inspection::{ProxyTables, Refusals, TableDiff, TableHistory};
pub use membership::GovernorsStatus;
pub use operations::{OperatorError, OverrideOutcome, ReleaseOutcome, RollbackOutcome};
pub use status::GovernorStatus;

/// The longest time that a long-poll request waits for a change.
pub const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

/// Socket operations that the event loop carries out for the host.
pub enum WorkItem {
    /// Wait until the stream has capacity, then call [`Host::stream_has_capacity`].
    AwaitCapacity { stream: StreamId, answers: ResponseSender },
    /// Send a datagram to another governor.
    SendDatagram { to: SocketAddr, datagram: Vec<u8> },
}

/// The parts that a [`Host`] is built from.
pub struct HostParts {
    /// The settings of the engine.
    pub engine_settings: EngineSettings,
    /// The parameters of the xDS resources.
    pub wire: XdsConfig,
    /// Keys for ownership proofs: the first one signs, all of them verify.
    pub signing_keys: Vec<SigningKey>,
    /// The load assumed for a proxy that does not report its own.
    pub default_requests_per_second: f64,
    /// The group of governors that this one belongs to.
    pub membership: Membership,
}

/// One governor: the engine, its fronts' streams and sessions, and its membership in the group of governors.
pub struct Host {
    /// The engine that drives the decision module.
    pub engine: Engine,
    wire: XdsConfig,
    signing_keys: Vec<SigningKey>,
    /// The number of proxies that connected with tables of another governor.
    takeovers: u64,
    /// Whether the epoch was raised above that of an earlier run whose clock was ahead.
    epoch_raised: bool,
    membership: Membership,
    /// Closed long-poll sessions whose proxies have not been told yet which governor to connect to.
    pending_redirects: BTreeMap<StreamId, Option<String>>,
    default_requests_per_second: f64,
    streams: BTreeMap<StreamId, AdsStream>,
    /// Load report streams, with the proxy name in the node that opened them.
    report_streams: BTreeMap<StreamId, Arc<str>>,
    sessions: Sessions<Reply<PollResponse>>,
    session_parameters: SessionParameters,
    roster_received: bool,
}

impl Host {
    /// Creates a host without proxies or replicas.
    pub fn new(parts: HostParts, now: Duration) -> Self {
        let HostParts { engine_settings, wire, signing_keys, default_requests_per_second, membership } =
            parts;
        Host {
            engine: Engine::new(engine_settings, now),
            session_parameters: session_parameters(&wire),
            wire,
            signing_keys,
            takeovers: 0,
            epoch_raised: false,
            membership,
            pending_redirects: BTreeMap::new(),
            default_requests_per_second,
            streams: BTreeMap::new(),
            report_streams: BTreeMap::new(),
            sessions: Sessions::default(),
            roster_received: false,
        }
    }

    /// Whether a first roster has been received.
    pub fn is_ready(&self) -> bool {
        self.roster_received
    }

    /// Replaces the roster.
    pub fn update_roster(&mut self, now: Duration, entries: Vec<RosterEntry>) {
        tracing::info!(replicas = entries.len(), "roster received");
        ::metrics::counter!(metrics::ROSTERS).increment(1);
        self.roster_received = true;
        self.engine.update_roster(now, entries);
    }

    /// The time by which [`Host::process`] must be called next.
    pub fn next_deadline(&self, now: Duration) -> Duration {
        let sessions = self.sessions.next_deadline().unwrap_or(Duration::MAX);
        self.engine.next_deadline(now).min(sessions).min(self.membership.next_deadline())
    }

    /// Called when a stream that was full has capacity again.
    pub fn stream_has_capacity(&mut self, stream: StreamId) {
        self.engine.stream_has_capacity(stream);
    }

    /// Carries out everything that is due. Socket operations are passed to `work`.
    pub fn process(&mut self, now: Duration, mut work: impl FnMut(WorkItem)) {
        self.expire_polls(now);
        self.process_membership(now, &mut work);
        while let Some(action) = self.engine.next_action(now) {
            match action {
                Action::Flush(proxy) => {
                    if let Some(item) = self.flush(now, proxy) {
                        work(item);
                    }
                }
                Action::CloseStream(stream) => self.close_replaced_stream(stream),
                Action::CheckHealth(_) => {}
                Action::Report(event) => self.log_engine_event(&event),
            }
        }
    }

    /// Sends a proxy its pending updates, through the front that it is connected by.
    fn flush(&mut self, now: Duration, proxy: ProxyId) -> Option<WorkItem> {
        let stream = self.engine.proxy(proxy).map(|proxy| proxy.stream);
        match stream {
            Some(session) if self.sessions.proxy_name(session).is_some() => {
                self.flush_session(now, proxy, session);
                None
            }
            stream => self.flush_stream(now, proxy, stream),
        }
    }

    /// Ends a stream or session whose proxy has connected again.
    fn close_replaced_stream(&mut self, stream: StreamId) {
        if self.sessions.proxy_name(stream).is_some() {
            self.close_replaced_session(stream);
        } else if let Some(replaced) = self.streams.remove(&stream) {
            replaced.answers.end(Status::aborted("a later stream of this node id took over"));
        }
    }

    /// Called when a proxy's stream or session has ended.
    fn disconnected(&mut self, now: Duration, stream: StreamId) {
        let proxy = self.engine.id_on_stream(stream).and_then(|proxy_id| self.engine.proxy(proxy_id));
        if let Some(name) = proxy.map(|proxy| proxy.name.clone()) {
            self.membership.proxy_disconnected(now, &name);
        }
        self.engine.stream_closed(now, stream);
    }

    /// Ends all streams and sessions with a reason that makes proxies keep their tables. Notifies the other governors
    /// by datagrams that are passed to `send`.
    pub fn stop(&mut self, now: Duration, mut send: impl FnMut(SocketAddr, &[u8])) {
        self.membership.leave();
        while let Some(action) = self.membership.next_action(now) {
            if let MembershipAction::Send { address, datagram } = action {
                send(address, &datagram);
            }
        }
        for stream in std::mem::take(&mut self.streams).into_values() {
            stream.answers.end(Status::unavailable("the governor stops; keep your tables and come back"));
        }
        for reply in self.sessions.close_all() {
            let _ = reply.send(Err(RequestError::Stopping));
        }
    }

    /// The state to store across restarts. `previous` is the state that was stored last.
    pub fn stored_items(&self, now: Duration, unix_seconds: f64, previous: &StoredItems) -> StoredItems {
        let classes = &self.session_parameters.classes;
        self.engine.stored_items(now, previous, unix_seconds, self.wire.epoch, classes)
    }

    /// The name of a zone.
    fn zone_name(&self, zone: usize) -> &str {
        self.wire.zones.get(zone).map_or("?", String::as_str)
    }

    /// The name of a traffic class; `None` if the class does not exist.
    fn class_name(&self, class: usize) -> Option<String> {
        self.wire.classes.get(class).map(|class| class.name.clone())
    }
}

/// The parameters that the long-poll front sends to proxies when they join.
fn session_parameters(wire: &XdsConfig) -> SessionParameters {
    SessionParameters {
        epoch: format!("{:x}", wire.epoch),
        governor: wire.governor.clone(),
        zones: wire.zones.clone(),
        classes: wire.classes.iter().map(|class| class.name.clone()).collect(),
        report_interval_seconds: wire.report_interval.as_secs_f64().to_string(),
        load_metrics: wire.load_metrics.clone(),
        max_wait_seconds: MAX_POLL_WAIT.as_secs(),
    }
}
