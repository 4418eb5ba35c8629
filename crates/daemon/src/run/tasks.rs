//! The tasks besides the event loop: the servers, the roster watch and the datagram receiver.

use std::path::PathBuf;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tonic::service::Routes;
use tonic_health::server::HealthReporter;
use wrenthread_core::roster::RosterEntry;
use wrenthread_settings::{RosterSource, Settings};
use wrenthread_xds::server::{ServerSettings, serve};
use wrenthread_xds::service::GrpcServices;
use wrenthread_xds::{XdsConfig, upstream};

use super::load_settings;
use super::startup::{Senders, Sockets};
use super::wire::seconds;
use crate::clock::Clock;
use crate::host::MAX_POLL_WAIT;
use crate::{datagrams, http, roster_file};

/// The maximum number of streams per connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 1024;
/// How long streams have to receive their final status before the sockets close.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(300);

/// The gRPC server.
pub struct GrpcServer {
    pub task: JoinHandle<()>,
    /// Reports to proxies, and to load balancers in front of governors, whether this governor accepts proxies.
    pub health: HealthReporter,
    stop: oneshot::Sender<()>,
}

impl GrpcServer {
    fn start(settings: &Settings, listener: TcpListener, front: GrpcServices) -> Self {
        let (ads, lrs, csds) = front.services();
        let (health, health_service) = tonic_health::server::health_reporter();
        let (stop, stopped) = oneshot::channel::<()>();
        let routes =
            Routes::new(ads).add_service(lrs).add_service(csds).add_service(health_service).prepare();
        let server_settings = ServerSettings {
            keepalive_interval: seconds(settings.keepalive_interval),
            keepalive_timeout: seconds(settings.keepalive_timeout),
            max_streams_per_connection: MAX_STREAMS_PER_CONNECTION,
        };
        let server = serve(listener, routes, server_settings, async {
            let _ = stopped.await;
        });
        GrpcServer { task: tokio::task::spawn_local(server), health, stop }
    }
}

/// All tasks besides the event loop.
pub struct Tasks {
    pub grpc: GrpcServer,
    http: JoinHandle<()>,
    long_poll: Option<JoinHandle<std::io::Result<()>>>,
    datagrams: Option<JoinHandle<()>>,
    pub roster: JoinHandle<()>,
}

impl Tasks {
    /// Starts all tasks. The tasks of gRPC streams start with their connections.
    pub fn start(
        settings: &Settings,
        wire: &XdsConfig,
        clock: Clock,
        sockets: Sockets,
        senders: &Senders,
        front: GrpcServices,
    ) -> Self {
        let received = senders.datagrams.clone();
        let datagrams =
            sockets.membership.map(|socket| tokio::task::spawn_local(datagrams::receive(socket, received)));
        let long_poll = sockets.long_poll.map(|listener| {
            let router = wrenthread_long_poll::service::router(senders.long_poll.clone(), MAX_POLL_WAIT);
            tokio::task::spawn_local(async move { axum::serve(listener, router).await })
        });
        Tasks {
            grpc: GrpcServer::start(settings, sockets.grpc, front),
            http: tokio::task::spawn_local(http::serve(sockets.http, senders.queries.clone())),
            long_poll,
            datagrams,
            roster: watch_roster(settings, wire, clock, senders.rosters.clone()),
        }
    }

    /// Stops all tasks. Streams receive their final status before the sockets close.
    pub async fn stop(mut self) {
        if let Some(datagrams) = self.datagrams {
            datagrams.abort();
        }
        let _ = self.grpc.stop.send(());
        let _ = tokio::time::timeout(SHUTDOWN_GRACE, &mut self.grpc.task).await;
        self.roster.abort();
        if let Some(long_poll) = self.long_poll {
            long_poll.abort();
        }
        self.http.abort();
    }
}

/// Starts to watch the source of the roster.
pub fn watch_roster(
    settings: &Settings,
    wire: &XdsConfig,
    clock: Clock,
    rosters: mpsc::Sender<Vec<RosterEntry>>,
) -> JoinHandle<()> {
    match &settings.roster {
        RosterSource::File(path) => {
            let interval = seconds(settings.roster_poll_interval);
            let zones = wire.zones.clone();
            tokio::task::spawn_local(roster_file::watch(path.clone(), interval, zones, clock, rosters))
        }
        RosterSource::Upstream { uri, clusters } => {
            let started_at = move |unix_seconds| clock.host_time_from_unix(unix_seconds);
            let (wire, uri, clusters) = (wire.clone(), uri.clone(), clusters.clone());
            tokio::task::spawn_local(upstream::follow(wire, uri, clusters, started_at, rosters))
        }
    }
}

/// Reloads the settings on another thread, because that may take seconds and must not delay decisions.
pub fn reload_settings(path: PathBuf, reloads: mpsc::Sender<anyhow::Result<Settings>>) {
    tokio::task::spawn_local(async move {
        if let Ok(read) = tokio::task::spawn_blocking(move || load_settings(&path)).await {
            let _ = reloads.send(read).await;
        }
    });
}
