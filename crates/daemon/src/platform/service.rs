//! The task that owns the state machine: passes events to it and executes its actions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use wrenthread_discovery::{EventSender, WatchEvent, watch_endpoints};
use wrenthread_platform_governor::{Action, ConnectionId, DisconnectReason, PlatformGovernor, WatcherId};
use wrenthread_platform_protocol::decode::Decoder;

use super::config::{Config, Variables};
use super::connection::ConnectionEvent;
use super::connections::{ConnectionLimits, Connections, accept};
use super::send_queue::StreamHandle;
use crate::clock::Clock;

/// Capacity of the connection event queue; beyond it, readers wait and data stays in the sockets.
const MAX_CONNECTION_EVENTS: usize = 1024;
/// Capacity of the discovery event queue.
const MAX_WATCH_EVENTS: usize = 4;
/// Connection events handled before the governor advances, so that a burst is answered at once.
const MAX_EVENTS_PER_PULL: usize = 512;
/// A governor that is this late for its own deadline was paused or not scheduled; this is logged as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);
/// How often the state estimate and the counts of discarded input are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How long the watcher of discovery's former address keeps running: events written to it are still valid, and the new
/// address may not send any yet.
pub(super) const FORMER_WATCHER_LIFETIME: Duration = Duration::from_millis(2500);
/// The delay before an invalid configuration file, which may be partly written, is read again.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// How often an invalid configuration file is read again.
const MAX_RELOAD_RETRIES: u32 = 40;

/// A scheduled retry after a configuration file that could not be used.
#[derive(Debug, Clone, Copy)]
struct ReloadRetry {
    at: Instant,
    /// Retries left after this one.
    retries_left: u32,
}

/// The governor's state machine, its event queues and the resources that its actions use.
pub(super) struct Service {
    pub(super) clock: Clock,
    variables: Variables,
    config: Config,
    discovery: SocketAddr,
    pub(super) governor: PlatformGovernor,
    /// The handle to each proxy's stream.
    pub(super) streams: BTreeMap<ConnectionId, StreamHandle>,
    pub(super) connections: Rc<Connections>,
    pub(super) connection_events: mpsc::Receiver<ConnectionEvent>,
    pub(super) watch_events: mpsc::Receiver<WatchEvent>,
    watch_event_sender: mpsc::Sender<WatchEvent>,
    watcher: Option<JoinHandle<()>>,
    log_at: Instant,
    reload_retry: Option<ReloadRetry>,
}

impl Service {
    /// Starts accepting connections and watching discovery.
    pub(super) fn start(variables: Variables, config: Config, listener: TcpListener) -> Self {
        let clock = Clock::start();
        let (connection_event_sender, connection_events) = mpsc::channel(MAX_CONNECTION_EVENTS);
        let (watch_event_sender, watch_events) = mpsc::channel(MAX_WATCH_EVENTS);
        let mut governor = PlatformGovernor::new(&config.deployment, clock.now());
        let loaded = governor.load_known_endpoints(clock.now(), &config.known_endpoints, |unix| {
            clock.host_time_from_unix(unix)
        });
        if let Err(error) = loaded {
            tracing::warn!(%error, "ignoring the invalid endpoint list in the configuration");
        }
        governor.start_watch();
        let connections = Rc::new(Connections::new(Decoder::new(&config.deployment)));
        spawn_local(accept(listener, connections.clone(), connection_event_sender));
        let discovery = config.discovery.unwrap_or(variables.discovery);
        tracing::info!(governor = %variables.name, listen = %variables.listen, %discovery, "governor listening");
        let mut service = Service {
            clock,
            variables,
            config,
            discovery,
            governor,
            streams: BTreeMap::new(),
            connections,
            connection_events,
            watch_events,
            watch_event_sender,
            watcher: None,
            log_at: Instant::now() + LOG_INTERVAL,
            reload_retry: None,
        };
        service.set_connection_limits();
        service.advance();
        service
    }

    fn set_connection_limits(&self) {
        self.connections.set_limits(ConnectionLimits {
            sockets: self.config.sockets,
            memory_bytes: self.config.memory_bytes,
            proxies: self.config.deployment.settings.proxy_count,
            zones: self.config.deployment.zone_names.len(),
        });
    }

    /// Waits for the next events or deadline, and handles the events.
    pub(super) async fn receive(&mut self) {
        let deadline = self.next_deadline().max(Instant::now());
        tokio::select! {
            biased;
            Some(event) = self.watch_events.recv() => self.handle_watch_event(event),
            Some(event) = self.connection_events.recv() => {
                self.handle_connection_event(event);
                for _ in 1..MAX_EVENTS_PER_PULL {
                    let Ok(event) = self.connection_events.try_recv() else { break };
                    self.handle_connection_event(event);
                }
            }
            () = sleep_until(deadline) => {}
        }
        let late = deadline.elapsed();
        if late >= STALL_THRESHOLD {
            tracing::warn!(late_ms = late.as_millis() as u64, "governor stalled");
        }
    }

    fn next_deadline(&self) -> Instant {
        let deadline = self.clock.to_instant(self.governor.next_deadline()).min(self.log_at);
        match self.reload_retry {
            Some(retry) => retry.at.min(deadline),
            None => deadline,
        }
    }

    pub(super) fn handle_watch_event(&mut self, event: WatchEvent) {
        let clock = self.clock;
        let watcher = WatcherId(event.watcher);
        let known_version = self
            .governor
            .watch_event(clock.now(), watcher, &event.bytes, |unix| clock.host_time_from_unix(unix));
        // The watcher may have ended; its event is handled anyway.
        let _ = event.known_version.send(known_version);
    }

    pub(super) fn handle_connection_event(&mut self, event: ConnectionEvent) {
        let now = self.clock.now();
        match event {
            ConnectionEvent::ProxyConnected { connection, proxy, handle } => {
                self.streams.insert(connection, handle);
                self.governor.proxy_connected(now, connection, proxy);
            }
            ConnectionEvent::Ended { connection, proxy } => {
                self.streams.remove(&connection);
                self.governor.connection_ended(connection, proxy);
            }
            ConnectionEvent::ProxyMessage { connection, proxy, message } => {
                self.governor.proxy_message(now, connection, proxy, message);
            }
            ConnectionEvent::CollectorMessage(message) => self.governor.collector_message(now, message),
        }
    }

    /// Handles expired deadlines, and executes the governor's actions.
    pub(super) fn advance(&mut self) {
        let now = Instant::now();
        if let Some(retry) = self.reload_retry.filter(|retry| now >= retry.at) {
            self.try_reload(retry.retries_left);
        }
        let clock = self.clock;
        let streams = &self.streams;
        self.governor.advance(clock.now(), |connection| match streams.get(&connection) {
            Some(stream) => clock.host_time(stream.last_received()),
            None => clock.now(),
        });
        while let Some(action) = self.governor.next_action() {
            self.execute(action);
        }
        if now >= self.log_at {
            self.log_at = now + LOG_INTERVAL;
            self.log();
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { connection, bytes } => {
                if let Some(stream) = self.streams.get(&connection)
                    && stream.send(bytes).is_err()
                {
                    self.governor.send_buffer_full(connection);
                }
            }
            Action::Close { connection, proxy, reason } => {
                if reason != DisconnectReason::Ended {
                    self.connections.log_closing(reason, |reason| {
                        tracing::info!(connection = connection.0, proxy, "proxy disconnected: {reason}");
                    });
                }
                // Dropping the handle closes the connection.
                drop(self.streams.remove(&connection));
            }
            Action::Watch { watcher, from_version } => self.start_watcher(watcher, from_version),
            Action::ReplicasChanged => {
                self.connections.replica_names.borrow_mut().clone_from(self.governor.replica_names());
            }
        }
    }

    fn start_watcher(&mut self, watcher: WatcherId, from_version: Option<u64>) {
        let sender = EventSender { watcher: watcher.0, events: self.watch_event_sender.clone() };
        let task = spawn_local(watch_endpoints(self.discovery.to_string(), from_version, sender));
        if let Some(former) = self.watcher.replace(task) {
            spawn_local(async move {
                sleep(FORMER_WATCHER_LIFETIME).await;
                former.abort();
            });
        }
    }

    fn log(&mut self) {
        let estimate = self.governor.state_estimate(self.clock.now());
        let channel = estimate.channel;
        tracing::info!(
            offered_per_second = estimate.offered_per_second,
            answered_per_second = estimate.answered_per_second,
            admission_fraction = estimate.admission_fraction,
            available_replicas = estimate.available_replicas,
            ejected_replicas = estimate.ejected_replicas,
            proxies = estimate.proxies,
            unsynchronised_proxies = estimate.unsynchronised_proxies,
            longest_unsynchronised_ms = estimate.longest_unsynchronised.as_millis() as u64,
            unverified_proxies = estimate.unverified_proxies,
            unsent_ejections = estimate.unsent_ejections,
            oldest_unsent_drain_ms = estimate.oldest_unsent_drain.as_millis() as u64,
            unsent_readmissions = estimate.unsent_readmissions,
            proxies_without_replicas = estimate.proxies_without_replicas,
            "state estimate"
        );
        tracing::info!(
            queued = channel.queued_entries,
            limit = channel.max_queued_entries,
            remaining_flushes = channel.remaining_flushes,
            ejections = channel.sent.ejections,
            first_tables = channel.sent.first_tables,
            tables = channel.sent.tables,
            readmissions = channel.sent.readmissions,
            admissions = channel.sent.admissions,
            "channel entries sent"
        );
        let mut discarded = self.connections.take_discard_counts();
        for (reason, count) in self.governor.take_discard_counts() {
            discarded.insert(reason.to_string(), count);
        }
        if !discarded.is_empty() {
            tracing::info!(?discarded, "input discarded");
        }
    }

    /// Reloads the configuration. If it is invalid, the current one stays in effect and the file is read again up to
    /// [`MAX_RELOAD_RETRIES`] times.
    pub(super) fn reload_config(&mut self) {
        self.try_reload(MAX_RELOAD_RETRIES);
    }

    fn try_reload(&mut self, retries_left: u32) {
        self.reload_retry = None;
        match Config::read(&self.variables.config) {
            Ok(config) => self.apply_config(config),
            Err(error) => {
                tracing::warn!(%error, retries_left, "configuration reload failed");
                if retries_left > 0 {
                    let at = Instant::now() + RELOAD_RETRY_INTERVAL;
                    self.reload_retry = Some(ReloadRetry { at, retries_left: retries_left - 1 });
                }
            }
        }
    }

    /// Applies discovery's address and the limits; changed settings apply at the next start.
    fn apply_config(&mut self, config: Config) {
        if config.deployment != self.config.deployment {
            tracing::warn!("settings changed; restart the governor to apply them");
        }
        let deployment = self.config.deployment.clone();
        self.config = Config { deployment, ..config };
        self.set_connection_limits();
        let discovery = self.config.discovery.unwrap_or(self.discovery);
        if discovery != self.discovery {
            self.discovery = discovery;
            self.governor.start_watch();
        }
        tracing::info!(%discovery, "configuration reloaded");
    }
}
