//! `wrenthread run`: sockets, files, signals and the one task that owns all state, on one thread.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, LocalSet};
use tokio_stream::wrappers::TcpListenerStream;
use wrenthread_core::ownership::SigningKey;
use wrenthread_core::roster::RosterEntry;
use wrenthread_core::snapshot::StoredItem;
use wrenthread_membership::{Membership, MembershipSettings, Peer};
use wrenthread_settings::{PathRoute, RosterSource, Route, Settings};
use wrenthread_xds::service::Front;
use wrenthread_xds::{Wire, WireGroup, upstream};

use crate::clock::Clock;
use crate::host::{Chore, Host, WAIT_MOST};
use crate::http::{self, Query};
use crate::{membership, roster_file, state};

/// Events that may wait for the one task; streams beyond it wait on their sockets.
const EVENTS: usize = 1024;
/// Events taken before decisions are pulled, so that a burst is one flush.
const AT_ONCE: usize = 256;
/// How long streams get to hear of their end.
const PARTING: Duration = Duration::from_millis(300);

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Reads settings in a process of their own, so that no script can take the governor's memory or time.
///
/// Errors: all that is wrong with them.
pub fn load(path: &Path) -> Result<Settings> {
    let program = std::env::current_exe().context("the program's own path")?;
    Ok(wrenthread_settings::load_apart(&program, &["read-settings"], path)?)
}

fn path(path: PathRoute) -> wrenthread_xds::Path {
    match path {
        PathRoute::Prefix(prefix) => wrenthread_xds::Path::Prefix(prefix),
        PathRoute::Exact(path) => wrenthread_xds::Path::Exact(path),
        PathRoute::Firm(prefix) => wrenthread_xds::Path::Firm(prefix),
        PathRoute::Pattern(pattern) => wrenthread_xds::Path::Pattern(pattern, false),
        PathRoute::AnyCase(pattern) => wrenthread_xds::Path::Pattern(pattern, true),
    }
}

pub fn wire(settings: &Settings, epoch: u64) -> Wire {
    let group = |group: &wrenthread_settings::Group| WireGroup {
        name: group.name.clone(),
        route: match &group.route {
            Route::Prefix(prefix) => wrenthread_xds::Route::Prefix(prefix.clone()),
            Route::Header(name, value) => wrenthread_xds::Route::Header(name.clone(), value.clone()),
            Route::Paths(paths) => wrenthread_xds::Route::Paths(paths.iter().cloned().map(path).collect()),
        },
        expiry: span(group.expiry),
    };
    Wire {
        epoch,
        governor: settings.governor.clone(),
        key: None,
        zones: settings.zones.clone(),
        groups: settings.groups.iter().map(group).collect(),
        report_every: span(settings.report_every),
        load_metrics: settings.load.clone(),
        answer_metric: settings.answer.clone(),
    }
}

/// The keys that the settings name, by their files' names. A file holds nothing but the secret.
fn keys(settings: &Settings) -> Result<Vec<SigningKey>> {
    let key = |path: &PathBuf| {
        let secret = std::fs::read(path).with_context(|| format!("key {}", path.display()))?;
        let name = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        SigningKey::new(&name, secret.trim_ascii()).with_context(|| format!("key {}", path.display()))
    };
    settings.keys.iter().map(key).collect()
}

/// Runs until a signal to stop.
///
/// Errors: settings that can't be taken, sockets that can't be had.
///
/// `suspect`: what takes the module's place, in a program that is built for it.
pub fn run(path: &Path, suspect: &[String]) -> Result<()> {
    let settings = load(path)?;
    let recorder = metrics_exporter_prometheus::PrometheusBuilder::new();
    let metrics = recorder.install_recorder().context("metrics")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context("tokio")?;
    let local = LocalSet::new();
    local.block_on(&runtime, governor(path.to_path_buf(), settings, metrics, suspect))
}

fn follow_roster(
    settings: &Settings,
    wire: &Wire,
    clock: Clock,
    lists: mpsc::Sender<Vec<RosterEntry>>,
) -> JoinHandle<()> {
    match &settings.roster {
        RosterSource::File(path) => {
            let every = span(settings.look_every);
            tokio::task::spawn_local(roster_file::watch(
                path.clone(),
                every,
                wire.zones.clone(),
                clock,
                lists,
            ))
        }
        RosterSource::Upstream { uri, clusters } => {
            let started = move |at| clock.at(at);
            tokio::task::spawn_local(upstream::follow(
                wire.clone(),
                uri.clone(),
                clusters.clone(),
                started,
                lists,
            ))
        }
    }
}

async fn governor(
    path: PathBuf,
    mut settings: Settings,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
    suspect: &[String],
) -> Result<()> {
    let clock = Clock::start();
    let keys = keys(&settings)?;
    let names = StoredItem::Names {
        governor: settings.governor.clone(),
        zones: settings.zones.clone(),
        groups: settings.groups.iter().map(|group| group.name.clone()).collect(),
    };
    let start =
        settings.state.as_ref().map(|folder| state::start(folder, names, clock.calendar(clock.now())));
    let (epoch, recalled, mut keeper) = match start {
        Some(start) => (start.epoch, Some(start.recalled), start.keeper),
        None => (clock.epoch(), None, None),
    };
    let wire = Wire { key: keys.first().cloned(), ..wire(&settings, epoch) };
    let grpc =
        TcpListener::bind(settings.grpc).await.with_context(|| format!("gRPC on {}", settings.grpc))?;
    let pages =
        TcpListener::bind(settings.http).await.with_context(|| format!("HTTP on {}", settings.http))?;
    let socket = match settings.talk {
        None => None,
        Some(at) => Some(Rc::new(UdpSocket::bind(at).await.with_context(|| format!("talk on {at}"))?)),
    };
    let (datagrams, mut said) = mpsc::channel(EVENTS);
    let listening =
        socket.clone().map(|socket| tokio::task::spawn_local(membership::listen(socket, datagrams)));
    let (events, mut heard) = mpsc::channel(EVENTS);
    let (questions, mut polled) = mpsc::channel(EVENTS);
    let (queries, mut asked) = mpsc::channel(64);
    let (lists, mut listed) = mpsc::channel(4);
    let (chores, mut done) = mpsc::channel::<u64>(EVENTS);
    let (reloads, mut reloaded) = mpsc::channel::<Result<Settings>>(4);
    let (stop, stopped) = oneshot::channel::<()>();

    tracing::info!(
        grpc = %grpc.local_addr()?, http = %pages.local_addr()?, epoch = format!("{:x}", wire.epoch),
        groups = wire.groups.len(), "the governor runs"
    );
    let polling = match settings.poll {
        None => None,
        Some(at) => {
            let listener = TcpListener::bind(at).await.with_context(|| format!("long-poll on {at}"))?;
            let router = wrenthread_long_poll::service::router(questions, WAIT_MOST);
            Some(tokio::task::spawn_local(async move { axum::serve(listener, router).await }))
        }
    };
    let front = Front::new(events, wire.report_every);
    let numbers = front.clone();
    let (ads, lrs, csds) = front.services();
    // What says to proxies and to those who balance over governors whether they should come here.
    let (health, healthy) = tonic_health::server::health_reporter();
    let mut draining = false;
    let server = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(span(settings.keepalive)))
        .http2_keepalive_timeout(Some(span(settings.keepalive_timeout)))
        .max_concurrent_streams(Some(1024))
        .tcp_nodelay(true)
        .add_service(ads)
        .add_service(lrs)
        .add_service(csds)
        .add_service(healthy)
        .serve_with_incoming_shutdown(TcpListenerStream::new(grpc), async {
            let _ = stopped.await;
        });
    let mut server = tokio::task::spawn_local(server);
    let pages = tokio::task::spawn_local(http::serve(pages, queries));
    let mut roster = follow_roster(&settings, &wire, clock, lists.clone());

    let terms = MembershipSettings {
        local: Peer { name: settings.governor.clone(), address: settings.talk.unwrap_or(settings.grpc) },
        peers: settings.peers.iter().cloned().map(|(name, address)| Peer { name, address }).collect(),
        keys: if socket.is_some() { keys.clone() } else { Vec::new() },
        moves_per_second: settings.moves_per_s,
    };
    let talking = Membership::new(terms, epoch, clock.now());
    let mut host = Host::new(settings.setup(), wire.clone(), keys, settings.usual, talking, clock.now());
    if let Some(recalled) = recalled {
        host.engine.restore(clock.now(), recalled);
    }
    let mut keeps = tokio::time::interval(span(settings.state_every));
    keeps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    distrust(&mut host, suspect)?;
    let mut hangup = signal(SignalKind::hangup()).context("signals")?;
    let mut terminate = signal(SignalKind::terminate()).context("signals")?;
    let why = loop {
        let due = clock.instant(host.next_due(clock.now()));
        tokio::select! {
            biased;
            _ = terminate.recv() => break "asked to stop",
            _ = tokio::signal::ctrl_c() => break "interrupted",
            _ = hangup.recv() => {
                // Reading may take seconds: decisions don't wait for it.
                let (path, reloads) = (path.clone(), reloads.clone());
                tokio::task::spawn_local(async move {
                    if let Ok(read) = tokio::task::spawn_blocking(move || load(&path)).await {
                        let _ = reloads.send(read).await;
                    }
                });
            }
            Some(read) = reloaded.recv() => {
                if let Some(new) = taken(read, &settings) {
                    settings = new;
                    host.engine.limit_reports(settings.report_lines_per_s);
                    roster.abort();
                    roster = follow_roster(&settings, &wire, clock, lists.clone());
                }
            }
            ended = &mut server => {
                ended.context("the gRPC server")?.context("the gRPC server")?;
                break "the gRPC server ended";
            }
            Some(entries) = listed.recv() => host.roster(clock.now(), entries),
            Some(datagram) = said.recv(), if socket.is_some() => {
                host.heard(clock.now(), &datagram);
                for _ in 0..AT_ONCE {
                    let Ok(datagram) = said.try_recv() else { break };
                    host.heard(clock.now(), &datagram);
                }
            }
            Some(event) = heard.recv() => {
                host.event(clock.now(), event);
                for _ in 0..AT_ONCE {
                    let Ok(event) = heard.try_recv() else { break };
                    host.event(clock.now(), event);
                }
            }
            Some(event) = polled.recv() => {
                host.poll(clock.now(), event, || numbers.number());
                for _ in 0..AT_ONCE {
                    let Ok(event) = polled.try_recv() else { break };
                    host.poll(clock.now(), event, || numbers.number());
                }
            }
            Some(stream) = done.recv() => host.roomy(stream),
            _ = keeps.tick(), if keeper.is_some() => {
                if let Some(keeper) = &mut keeper {
                    let now = clock.now();
                    keeper.keep(host.known(now, clock.calendar(now), keeper.before()), clock.calendar(now));
                }
            }
            Some(query) = asked.recv() => answer(&mut host, &clock, &metrics, query),
            () = tokio::time::sleep_until(due) => {}
        }
        let began = std::time::Instant::now();
        let _span = tracing::debug_span!("pump").entered();
        host.pump(clock.now(), |chore| match chore {
            Chore::Say(at, datagram) => membership::say(socket.as_ref(), at, &datagram),
            Chore::AwaitRoom(stream, answers) => {
                let chores = chores.clone();
                tokio::task::spawn_local(async move {
                    if answers.room().await {
                        let _ = chores.send(stream).await;
                    }
                });
            }
        });
        if draining != host.is_draining() {
            draining = host.is_draining();
            let status = match draining {
                true => tonic_health::ServingStatus::NotServing,
                false => tonic_health::ServingStatus::Serving,
            };
            health.set_service_status("", status).await;
        }
        metrics::histogram!("wrenthread_pump_seconds").record(began.elapsed().as_secs_f64());
    };
    tracing::info!(why, "the governor stops; proxies keep their tables");
    if let Some(mut keeper) = keeper {
        let now = clock.now();
        keeper.keep(host.known(now, clock.calendar(now), keeper.before()), clock.calendar(now));
        keeper.end().await;
    }
    host.stop(clock.now(), |at, datagram| membership::say(socket.as_ref(), at, datagram));
    if let Some(listening) = listening {
        listening.abort();
    }
    let _ = stop.send(());
    drop(heard);
    // Streams hear of their end before the sockets close.
    let _ = tokio::time::timeout(PARTING, &mut server).await;
    roster.abort();
    if let Some(polling) = polling {
        polling.abort();
    }
    pages.abort();
    Ok(())
}

/// Puts deciders that have gone wrong in the module's place, or switches the guard off.
fn distrust(host: &mut Host, suspect: &[String]) -> Result<()> {
    for kind in suspect {
        #[cfg(feature = "suspect")]
        match wrenthread_core::fault_injection::of(kind) {
            Some(decider) => host.engine.replace_decider(decider),
            None if kind == "none" => host.engine.switch_guard_off(),
            None => {
                let known: Vec<_> =
                    wrenthread_core::fault_injection::FAULTS.iter().map(|(name, _)| *name).collect();
                anyhow::bail!("no decider `{kind}`; there are {}, and `none` for no guard", known.join(", "));
            }
        }
        tracing::error!(kind, ready = host.is_ready(), "the module is not followed");
    }
    Ok(())
}

/// Settings read anew. What can't be taken, or can't be changed while running, is said and left as it is.
fn taken(read: Result<Settings>, now: &Settings) -> Option<Settings> {
    let later = match read {
        Ok(later) => later,
        Err(error) => {
            format!("{error:#}").lines().for_each(|fault| {
                tracing::error!(%fault, "settings not taken; the old ones stay");
            });
            return None;
        }
    };
    let fixed = now.fixed_differences(&later);
    if !fixed.is_empty() {
        for difference in &fixed {
            tracing::error!(%difference, "can't be changed while running; nothing was changed");
        }
        return None;
    }
    tracing::info!("settings reloaded");
    Some(later)
}

fn answer(
    host: &mut Host,
    clock: &Clock,
    metrics: &metrics_exporter_prometheus::PrometheusHandle,
    query: Query,
) {
    let now = clock.now();
    // Who asked may be gone; that is no concern of the governor's.
    match query {
        Query::Ready(reply) => drop(reply.send(host.is_ready() && !host.is_draining())),
        Query::Override(asked, reply) => drop(reply.send(host.override_replica(now, &asked))),
        Query::Record(reply) => drop(reply.send(host.record(now, clock.calendar(now)))),
        Query::Why(name, reply) => drop(reply.send(host.why(now, &name))),
        Query::Governors(reply) => drop(reply.send(host.governors(now))),
        Query::Drain(draining, reply) => drop(reply.send(host.drain(now, draining))),
        Query::Status(reply) => drop(reply.send(host.status(now, clock.up()))),
        Query::Tables(proxy, reply) => drop(reply.send(host.tables(&proxy))),
        Query::History(proxy, reply) => drop(reply.send(host.history(now, &proxy))),
        Query::Diff(proxy, one, other, reply) => drop(reply.send(host.diff(&proxy, one, other))),
        Query::Rollback(asked, reply) => drop(reply.send(host.rollback(now, &asked))),
        Query::Release(asked, reply) => drop(reply.send(host.release(now, &asked))),
        Query::Metrics(reply) => {
            host.measure(now);
            drop(reply.send(metrics.render()));
        }
    }
}
