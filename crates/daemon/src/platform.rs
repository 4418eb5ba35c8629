//! `wrenthread node`: the sockets, files and signals of one governor on the platform.
//!
//! Incoming messages are passed to the state machine in `wrenthread-platform-governor`, and its actions are executed
//! here.

pub mod config;
mod connection;
mod connections;
mod send_queue;
mod service;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use anyhow::{Context, Result};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use config::{Config, ConfigError, LISTEN_VARIABLE, Variables};
use service::Service;

/// Length of the accept queue: a whole fleet may connect at once when other governors fail.
const ACCEPT_BACKLOG: u32 = 4096;

/// Runs until SIGTERM.
///
/// # Errors
///
/// Invalid environment variables, an invalid configuration file, or an address that can't be listened on.
pub fn run() -> Result<()> {
    let variables = Variables::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the tokio runtime")?;
    LocalSet::new().block_on(&runtime, serve(variables))
}

async fn serve(variables: Variables) -> Result<()> {
    // Installed first, so that signals that arrive during startup wait instead of ending the process.
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot handle SIGHUP")?;
    let config = Config::read(&variables.config)?;
    let listener = listen(variables.listen)?;
    let mut service = Service::start(variables, config, listener);
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => service.reload_config(),
            () = service.receive() => {}
        }
        service.advance();
    }
    tracing::info!("governor stopping on SIGTERM");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, ConfigError> {
    let listener = || -> std::io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?; // connections of the previous process may be in TIME_WAIT
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    listener().map_err(|error| ConfigError::InvalidAddress {
        variable: LISTEN_VARIABLE,
        value: format!("{address} (cannot listen: {error})"),
    })
}
