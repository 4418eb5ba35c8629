//! The event loop: the one task that owns all state of a governor.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

use anyhow::{Context, Result};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tonic_health::ServingStatus;
use wrenthread_settings::Settings;
use wrenthread_xds::XdsConfig;
use wrenthread_xds::service::GrpcServices;

use super::reload::accept_settings;
use super::signals::Signals;
use super::startup::{Receivers, Senders};
use super::tasks::{Tasks, reload_settings, watch_roster};
use super::wire::seconds;
use crate::clock::Clock;
use crate::datagrams;
use crate::host::{Host, WorkItem};
use crate::http::Query;
use crate::state::StateWriter;

/// The maximum number of queued events that are handled before decisions are made, so that a burst causes one flush.
const MAX_BATCH: usize = 256;
/// The duration of one round of decisions and flushes.
const ROUND_SECONDS: &str = "wrenthread_pump_seconds";

/// A running governor.
pub struct EventLoop {
    pub settings_path: PathBuf,
    pub settings: Settings,
    pub wire: XdsConfig,
    pub clock: Clock,
    pub host: Host,
    pub state_writer: Option<StateWriter>,
    /// The UDP socket to other governors.
    pub socket: Option<Rc<UdpSocket>>,
    /// Assigns the ids of streams of both fronts.
    pub front: GrpcServices,
    pub metrics: PrometheusHandle,
    pub senders: Senders,
    pub tasks: Tasks,
    /// Whether the gRPC health service reports this governor as draining.
    pub reported_draining: bool,
}

impl EventLoop {
    /// Runs until a signal stops the governor.
    ///
    /// # Errors
    /// The gRPC server failed.
    pub async fn run(mut self, mut receivers: Receivers, mut signals: Signals) -> Result<()> {
        let reason = self.handle_events(&mut receivers, &mut signals).await?;
        tracing::info!(reason, "governor stopping; proxies keep their tables");
        self.stop(receivers).await;
        Ok(())
    }

    /// Handles events until one of them stops the governor. Returns the reason.
    async fn handle_events(
        &mut self,
        receivers: &mut Receivers,
        signals: &mut Signals,
    ) -> Result<&'static str> {
        let mut persist = tokio::time::interval(seconds(self.settings.state_interval));
        persist.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let deadline = self.clock.to_instant(self.host.next_deadline(self.clock.now()));
            tokio::select! {
                biased;
                _ = signals.terminate.recv() => return Ok("terminated"),
                _ = signals.interrupt.recv() => return Ok("interrupted"),
                _ = signals.hangup.recv() => {
                    reload_settings(self.settings_path.clone(), self.senders.reloads.clone());
                }
                Some(read) = receivers.reloads.recv() => self.settings_read(read),
                ended = &mut self.tasks.grpc.task => {
                    ended.context("gRPC server task failed")?;
                    return Ok("gRPC server ended");
                }
                Some(roster) = receivers.rosters.recv() => self.host.update_roster(self.clock.now(), roster),
                Some(datagram) = receivers.datagrams.recv(), if self.socket.is_some() => {
                    let (clock, host) = (&self.clock, &mut self.host);
                    batch(datagram, &mut receivers.datagrams, |datagram| {
                        host.datagram_received(clock.now(), &datagram);
                    });
                }
                Some(event) = receivers.grpc.recv() => {
                    let (clock, host) = (&self.clock, &mut self.host);
                    batch(event, &mut receivers.grpc, |event| host.grpc_event(clock.now(), event));
                }
                Some(request) = receivers.long_poll.recv() => {
                    let (clock, host, front) = (&self.clock, &mut self.host, &self.front);
                    batch(request, &mut receivers.long_poll, |request| {
                        host.long_poll_request(clock.now(), request, || front.next_stream_id());
                    });
                }
                Some(stream) = receivers.streams_with_capacity.recv() => self.host.stream_has_capacity(stream),
                _ = persist.tick(), if self.state_writer.is_some() => self.persist(),
                Some(query) = receivers.queries.recv() => self.answer(query),
                () = tokio::time::sleep_until(deadline) => {}
            }
            self.process();
            self.report_health().await;
        }
    }

    /// Makes decisions and sends the resulting updates.
    fn process(&mut self) {
        let started_at = Instant::now();
        let _span = tracing::debug_span!("pump").entered();
        let (socket, senders) = (self.socket.as_ref(), &self.senders);
        self.host.process(self.clock.now(), |item| match item {
            WorkItem::SendDatagram { to, datagram } => datagrams::send(socket, to, &datagram),
            WorkItem::AwaitCapacity { stream, answers } => {
                let streams_with_capacity = senders.streams_with_capacity.clone();
                tokio::task::spawn_local(async move {
                    if answers.wait_for_capacity().await {
                        let _ = streams_with_capacity.send(stream).await;
                    }
                });
            }
        });
        metrics::histogram!(ROUND_SECONDS).record(started_at.elapsed().as_secs_f64());
    }

    /// Updates the gRPC health service: a draining governor is not serving.
    async fn report_health(&mut self) {
        if self.reported_draining == self.host.is_draining() {
            return;
        }
        self.reported_draining = self.host.is_draining();
        let status = match self.reported_draining {
            true => ServingStatus::NotServing,
            false => ServingStatus::Serving,
        };
        self.tasks.grpc.health.set_service_status("", status).await;
    }

    fn settings_read(&mut self, read: Result<Settings>) {
        let Some(settings) = accept_settings(read, &self.settings) else { return };
        self.settings = settings;
        self.host.engine.set_report_limit(self.settings.report_entries_per_second);
        self.tasks.roster.abort();
        let rosters = self.senders.rosters.clone();
        self.tasks.roster = watch_roster(&self.settings, &self.wire, self.clock, rosters);
    }

    /// Passes the current state to the writer, which stores the changes.
    fn persist(&mut self) {
        let Some(writer) = &mut self.state_writer else { return };
        let now = self.clock.now();
        let unix_seconds = self.clock.to_unix(now);
        let items = self.host.stored_items(now, unix_seconds, writer.previous());
        writer.store(items, unix_seconds);
    }

    /// Answers a query from the HTTP port.
    fn answer(&mut self, query: Query) {
        let now = self.clock.now();
        let host = &mut self.host;
        // Failed replies are ignored: the client may have disconnected.
        match query {
            Query::Ready(reply) => drop(reply.send(host.is_ready() && !host.is_draining())),
            Query::Status(reply) => drop(reply.send(host.status(now, self.clock.uptime()))),
            Query::Governors(reply) => drop(reply.send(host.governors(now))),
            Query::Tables { proxy, reply } => drop(reply.send(host.tables(&proxy))),
            Query::History { proxy, reply } => drop(reply.send(host.history(now, &proxy))),
            Query::Diff { proxy, from, to, reply } => drop(reply.send(host.diff(&proxy, from, to))),
            Query::Refusals { name, reply } => drop(reply.send(host.refusals(now, &name))),
            Query::Record(reply) => drop(reply.send(host.record(now, self.clock.to_unix(now)))),
            Query::Drain { draining, reply } => drop(reply.send(host.set_draining(now, draining))),
            Query::Override { request, reply } => drop(reply.send(host.override_replica(now, &request))),
            Query::Rollback { request, reply } => drop(reply.send(host.rollback(now, &request))),
            Query::Release { request, reply } => drop(reply.send(host.release(now, &request))),
            Query::Metrics(reply) => {
                host.update_gauges(now);
                drop(reply.send(self.metrics.render()));
            }
        }
    }

    /// Stores the state, notifies proxies and other governors, and stops all tasks.
    async fn stop(mut self, receivers: Receivers) {
        self.persist();
        if let Some(writer) = self.state_writer {
            writer.finish().await;
        }
        let socket = self.socket.as_ref();
        self.host.stop(self.clock.now(), |to, datagram| datagrams::send(socket, to, datagram));
        drop(receivers.grpc);
        self.tasks.stop().await;
    }
}

/// Handles an event and up to [`MAX_BATCH`] events queued behind it.
fn batch<T>(first: T, queued: &mut mpsc::Receiver<T>, mut handle: impl FnMut(T)) {
    handle(first);
    for _ in 0..MAX_BATCH {
        let Ok(next) = queued.try_recv() else { break };
        handle(next);
    }
}
