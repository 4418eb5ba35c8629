//! `wrenthread run`: runs a governor with its sockets, files and signals on one thread.

mod event_loop;
mod reload;
mod signals;
mod startup;
mod tasks;
mod wire;

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::task::LocalSet;
use wrenthread_core::ownership::SigningKey;
use wrenthread_membership::{Membership, MembershipSettings, Peer};
use wrenthread_settings::Settings;
use wrenthread_xds::XdsConfig;
use wrenthread_xds::service::GrpcServices;

use crate::clock::Clock;
use crate::host::{Host, HostParts};
use event_loop::EventLoop;
use signals::Signals;
use startup::{Sockets, channels, signing_keys, stored_state};
use tasks::Tasks;

/// Reads settings in a separate process, so that a script can't use up the governor's memory or time.
///
/// # Errors
/// The settings are invalid; the error lists all faults.
pub fn load_settings(path: &Path) -> Result<Settings> {
    let program = std::env::current_exe().context("finding the path of the running program")?;
    Ok(wrenthread_settings::load_in_subprocess(&program, &["read-settings"], path)?)
}

/// Runs a governor until a signal stops it. `faults` names faulty deciders that replace the decision module, in a
/// program built with the feature `suspect`.
///
/// # Errors
/// The settings are invalid, or a socket can't be bound.
pub fn run(path: &Path, faults: &[String]) -> Result<()> {
    let recorder = metrics_exporter_prometheus::PrometheusBuilder::new();
    let metrics = recorder.install_recorder().context("installing the metrics recorder")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the tokio runtime")?;
    let local = LocalSet::new();
    local.block_on(&runtime, governor(path.to_path_buf(), metrics, faults))
}

async fn governor(settings_path: PathBuf, metrics: PrometheusHandle, faults: &[String]) -> Result<()> {
    // Done first: reading the settings may take seconds, and signals that arrive meanwhile are queued.
    let signals = Signals::listen()?;
    let settings = load_settings(&settings_path)?;
    let clock = Clock::start();
    let signing_keys = signing_keys(&settings)?;
    let (epoch, restored, state_writer) = match stored_state(&settings, &clock) {
        Some(stored) => (stored.epoch, Some(stored.restored), stored.writer),
        None => (clock.epoch(), None, None),
    };
    let wire = XdsConfig { key: signing_keys.first().cloned(), ..wire::wire(&settings, epoch) };
    let sockets = Sockets::bind(&settings).await?;
    tracing::info!(
        grpc = %sockets.grpc.local_addr()?,
        http = %sockets.http.local_addr()?,
        epoch = format!("{:x}", wire.epoch),
        classes = wire.classes.len(),
        "governor running"
    );
    let socket = sockets.membership.clone();
    let mut host = host(&settings, wire.clone(), signing_keys, &clock, socket.is_some());
    let (senders, receivers) = channels();
    let front = GrpcServices::new(senders.grpc.clone(), wire.report_interval);
    let tasks = Tasks::start(&settings, &wire, clock, sockets, &senders, front.clone());
    if let Some(restored) = restored {
        host.engine.restore(clock.now(), restored);
    }
    inject_faults(&mut host, faults)?;
    let event_loop = EventLoop {
        settings_path,
        settings,
        wire,
        clock,
        host,
        state_writer,
        socket,
        front,
        metrics,
        senders,
        tasks,
        reported_draining: false,
    };
    event_loop.run(receivers, signals).await
}

/// Creates the host from the settings.
fn host(
    settings: &Settings,
    wire: XdsConfig,
    signing_keys: Vec<SigningKey>,
    clock: &Clock,
    has_membership: bool,
) -> Host {
    let peers = settings.peers.iter().cloned();
    let membership_settings = MembershipSettings {
        local: Peer {
            name: settings.governor.clone(),
            address: settings.gossip_address.unwrap_or(settings.grpc_address),
        },
        peers: peers.map(|(name, address)| Peer { name, address }).collect(),
        keys: if has_membership { signing_keys.clone() } else { Vec::new() },
        moves_per_second: settings.moves_per_second,
    };
    let parts = HostParts {
        engine_settings: settings.engine_settings(),
        membership: Membership::new(membership_settings, wire.epoch, clock.now()),
        wire,
        signing_keys,
        default_requests_per_second: settings.default_requests_per_second,
    };
    Host::new(parts, clock.now())
}

/// Replaces the decision module by faulty deciders, or switches the guard off.
fn inject_faults(host: &mut Host, faults: &[String]) -> Result<()> {
    for kind in faults {
        #[cfg(feature = "suspect")]
        match wrenthread_core::fault_injection::faulty_decider(kind) {
            Some(decider) => host.engine.replace_decider(decider),
            None if kind == "none" => host.engine.switch_guard_off(),
            None => {
                let known = wrenthread_core::fault_injection::FAULTS.iter().map(|(name, _)| *name);
                let known = known.collect::<Vec<_>>().join(", ");
                anyhow::bail!(
                    "unknown fault `{kind}`; expected one of {known}, or `none` to switch the guard off"
                );
            }
        }
        tracing::error!(kind, ready = host.is_ready(), "fault injected");
    }
    Ok(())
}
