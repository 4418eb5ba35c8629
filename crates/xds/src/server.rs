//! The HTTP/2 server of the gRPC services. It gives up proxies that do not answer keepalive pings, but never because of a
//! pause of its own process.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use hyper::server::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tonic::service::Routes;

use crate::stall_tolerant_timer::StallTolerantTimer;

/// The delay after a connection could not be accepted, for example as no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of the server.
#[derive(Debug, Clone, Copy)]
pub struct ServerSettings {
    /// Interval between keepalive pings on a connection.
    pub keepalive_interval: Duration,
    /// Timeout of a keepalive ping, after which the connection is closed.
    pub keepalive_timeout: Duration,
    /// Maximum number of streams of one connection.
    pub max_streams_per_connection: u32,
}

/// Serves connections until `stopped` is ready and all streams have ended.
pub async fn serve(
    listener: TcpListener,
    routes: Routes,
    settings: ServerSettings,
    stopped: impl Future<Output = ()>,
) {
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(StallTolerantTimer)
        .keep_alive_interval(settings.keepalive_interval)
        .keep_alive_timeout(settings.keepalive_timeout)
        .max_concurrent_streams(settings.max_streams_per_connection);
    let connections = GracefulShutdown::new();
    let mut stopped = pin!(stopped);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => break,
        };
        match accepted {
            Ok((socket, _)) => serve_connection(&builder, &connections, socket, routes.clone()),
            Err(error) => {
                tracing::warn!(%error, "gRPC connection could not be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
}

fn serve_connection(
    builder: &http2::Builder<TokioExecutor>,
    connections: &GracefulShutdown,
    socket: TcpStream,
    routes: Routes,
) {
    if let Err(error) = socket.set_nodelay(true) {
        tracing::debug!(%error, "TCP_NODELAY could not be set");
    }
    let connection = builder.serve_connection(TokioIo::new(socket), TowerToHyperService::new(routes));
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "gRPC connection ended");
        }
    });
}
