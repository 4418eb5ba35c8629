//! `wrenthread node`: sockets, files and signals of one governor by the platform's protocol. What they bring
//! goes to the state machine in `wrenthread-platform-governor`, and what that says is done.

pub mod config;
mod connection;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use wrenthread_discovery::{EventSender, WatchEvent, watch_endpoints};
use wrenthread_platform_governor::{Action, ConnectionId, PlatformGovernor};
use wrenthread_platform_protocol::decode::Decoder;

use crate::clock::Clock;
use config::{Config, Variables};
use connection::{ConnectionEvent, Connections, StreamHandle};

/// Events that may wait for the one task; connections beyond it wait on their sockets.
const EVENTS: usize = 1024;
/// Events taken before decisions are pulled, so that a burst is one pull.
const AT_ONCE: usize = 512;
/// How often it is logged what is believed, and what was left out.
const LOGGED: Duration = Duration::from_secs(5);
/// A connection to the address that discovery moved from is heard out for so long: what was written to it
/// counts as told, and the new address may be silent yet. It is closed sooner, most likely.
const HEARD_OUT: Duration = Duration::from_millis(2500);
/// Connections that may wait to be accepted: a whole fleet may dial at once as other governors die.
const BACKLOG: u32 = 4096;
/// A file that is being written is read again after this, and so often.
const REREAD: (Duration, u32) = (Duration::from_millis(300), 40);

/// Runs until SIGTERM.
///
/// Errors: variables, a configuration or an address that can't be used.
pub fn run() -> Result<()> {
    let variables = Variables::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context("tokio")?;
    LocalSet::new().block_on(&runtime, serve(variables))
}

async fn serve(variables: Variables) -> Result<()> {
    // Before all else: a signal that comes meanwhile waits.
    let mut terminate = signal(SignalKind::terminate()).context("signals")?;
    let mut hangup = signal(SignalKind::hangup()).context("signals")?;
    let config = Config::read(&variables.config)?;
    let listener = listen(variables.listen)?;
    let mut service = Service::start(variables, config, listener);
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => service.reread(REREAD.1),
            () = service.heed() => {}
        }
        service.pull();
    }
    tracing::info!("it ends: told to");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, config::ConfigError> {
    let listener = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?; // its earlier life's connections may linger
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listener().map_err(|error: std::io::Error| {
        config::ConfigError::Address(
            "RELAY_LISTEN",
            format!("{address}, which can't be listened on: {error}"),
        )
    })
}

/// The node, what comes to it, and what it has the host do.
struct Service {
    clock: Clock,
    variables: Variables,
    config: Config,
    discovery: SocketAddr,
    governor: PlatformGovernor,
    /// By connection, the sending side of each stream.
    handles: BTreeMap<ConnectionId, StreamHandle>,
    connections: Rc<Connections>,
    events: mpsc::Receiver<ConnectionEvent>,
    objects: mpsc::Receiver<WatchEvent>,
    subscribers: mpsc::Sender<WatchEvent>,
    follower: Option<JoinHandle<()>>,
    log_at: Instant,
    rereads: u32,
    reread_at: Option<Instant>,
}

impl Service {
    fn start(variables: Variables, config: Config, listener: TcpListener) -> Self {
        let clock = Clock::start();
        let (events, heard) = mpsc::channel(EVENTS);
        let (subscribers, objects) = mpsc::channel(4);
        let mut governor = PlatformGovernor::new(&config.deployment, clock.now());
        if let Err(fault) = governor.load_known_endpoints(clock.now(), &config.known, |at| clock.at(at)) {
            tracing::warn!(%fault, "the configuration's list can't be used");
        }
        governor.start_watch();
        let connections = Rc::new(Connections::new(Decoder::new(&config.deployment)));
        spawn_local(connection::open(listener, connections.clone(), events));
        let discovery = config.discovery.unwrap_or(variables.discovery);
        tracing::info!(governor = %variables.name, listen = %variables.listen, %discovery, "it serves");
        let mut service = Service {
            clock,
            variables,
            config,
            discovery,
            governor,
            handles: BTreeMap::new(),
            connections,
            events: heard,
            objects,
            subscribers,
            follower: None,
            log_at: Instant::now() + LOGGED,
            rereads: 0,
            reread_at: None,
        };
        service.limit();
        service.pull();
        service
    }

    fn limit(&self) {
        let (config, info) = (&self.config, &self.config.deployment);
        self.connections.limit(
            config.sockets,
            config.memory,
            info.settings.proxy_count,
            info.zone_names.len(),
        );
    }

    /// Waits for what comes next, and takes it in.
    async fn heed(&mut self) {
        let due = self.clock.instant(self.governor.next_deadline()).min(self.log_at);
        tokio::select! {
            biased;
            Some(object) = self.objects.recv() => self.watch_event(object),
            Some(event) = self.events.recv() => {
                self.take(event);
                for _ in 1..AT_ONCE {
                    let Ok(event) = self.events.try_recv() else { break };
                    self.take(event);
                }
            }
            () = sleep_until(self.reread_at.map_or(due, |at| at.min(due))) => {}
        }
    }

    fn watch_event(&mut self, event: WatchEvent) {
        let clock = self.clock;
        let known = self.governor.watch_event(clock.now(), event.watcher, &event.bytes, |at| clock.at(at));
        let _ = event.known_version.send(known); // its follower may be gone; the object counts all the same
    }

    fn take(&mut self, event: ConnectionEvent) {
        let now = self.clock.now();
        match event {
            ConnectionEvent::ProxyConnected { connection, proxy, handle } => {
                self.handles.insert(connection, handle);
                self.governor.proxy_connected(now, connection, proxy);
            }
            ConnectionEvent::Ended { connection, proxy } => {
                self.handles.remove(&connection);
                self.governor.connection_ended(connection, proxy);
            }
            ConnectionEvent::ProxyMessage { connection, proxy, message } => {
                self.governor.proxy_message(now, connection, proxy, message)
            }
            ConnectionEvent::CollectorMessage(message) => self.governor.collector_message(now, message),
        }
    }

    /// Lets the node see what has become due, and does what it says.
    fn pull(&mut self) {
        let at = Instant::now();
        if self.reread_at.is_some_and(|due| at >= due) {
            self.reread(self.rereads);
        }
        let (clock, handles) = (self.clock, &self.handles);
        let heard = |connection| handles.get(&connection).map_or(clock.now(), |one| clock.since(one.heard()));
        self.governor.advance(clock.now(), heard);
        while let Some(output) = self.governor.next_action() {
            match output {
                Action::Send { connection, bytes } => {
                    if self.handles.get(&connection).is_some_and(|handle| !handle.send(bytes)) {
                        self.governor.send_buffer_full(connection);
                    }
                }
                // Dropping the handle ends the connection.
                Action::Close { connection } => drop(self.handles.remove(&connection)),
                Action::Watch { watcher, from_version } => self.watch(watcher, from_version),
                Action::ReplicasChanged => {
                    self.connections.names.borrow_mut().clone_from(self.governor.replica_names())
                }
            }
        }
        if at >= self.log_at {
            self.log_at = at + LOGGED;
            tracing::info!("{:?}", self.governor.state_estimate());
            let mut faults = std::mem::take(&mut *self.connections.faults.borrow_mut());
            faults.extend(
                self.governor.take_discard_counts().into_iter().map(|(why, count)| (why.to_string(), count)),
            );
            if !faults.is_empty() {
                tracing::info!(?faults, "left out or ended");
            }
        }
    }

    fn watch(&mut self, watcher: u64, from: Option<u64>) {
        let subscriber = EventSender { watcher, events: self.subscribers.clone() };
        let follower = spawn_local(watch_endpoints(self.discovery.to_string(), from, subscriber));
        if let Some(earlier) = self.follower.replace(follower) {
            spawn_local(async move {
                sleep(HEARD_OUT).await;
                earlier.abort();
            });
        }
    }

    /// Reads the configuration again. A broken one leaves what stands, and is tried again for a while.
    fn reread(&mut self, tries: u32) {
        self.reread_at = None;
        let config = match Config::read(&self.variables.config) {
            Ok(config) => config,
            Err(fault) => {
                tracing::warn!(%fault, tries, "a new configuration can't be used: what stands stays");
                self.rereads = tries.saturating_sub(1);
                self.reread_at = (tries > 0).then(|| Instant::now() + REREAD.0);
                return;
            }
        };
        if config.deployment != self.config.deployment {
            tracing::warn!("the settings changed: they take effect at the next start");
        }
        let info = self.config.deployment.clone();
        self.config = Config { deployment: info, ..config };
        self.limit();
        let discovery = self.config.discovery.unwrap_or(self.discovery);
        if discovery != self.discovery {
            self.discovery = discovery;
            self.governor.start_watch();
        }
        tracing::info!(%discovery, "a new configuration is in force");
    }
}

#[cfg(test)]
mod tests;
