//! The gRPC front: handles proxies' ADS and load report streams and sends tables on them.

use std::time::Duration;

use tonic::Status;
use wrenthread::types::ProxyId;
use wrenthread_core::fleet::{self, JoinError, StreamId};
use wrenthread_xds::decode;
use wrenthread_xds::pb::envoy::config::core::v3::Node;
use wrenthread_xds::pb::envoy::config::endpoint::v3::ClusterStats;
use wrenthread_xds::service::{Event, ResponseSender};
use wrenthread_xds::session::{Request, RequestEffect, Session};

use super::{Host, WorkItem, metrics};

/// An ADS stream.
pub(super) struct AdsStream {
    pub(super) answers: ResponseSender,
    /// `None` until the first request arrives.
    pub(super) session: Option<Session>,
}

impl Host {
    /// Handles an event on one of the gRPC front's streams.
    pub fn grpc_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::AdsOpened { stream, responses } => {
                self.streams.insert(stream, AdsStream { answers: responses, session: None });
            }
            Event::AdsRequest { stream, request } => self.ads_request(now, stream, *request),
            Event::AdsClosed { stream } => self.ads_closed(now, stream),
            Event::ReportsOpened { stream, node } => self.report_stream_opened(stream, &node),
            Event::LoadReported { stream, stats } => self.load_reported(now, stream, &stats),
            Event::ReportsClosed { stream } => {
                self.report_streams.remove(&stream);
            }
            // The client may have disconnected.
            Event::ClientStatus { request, reply } => drop(reply.send(self.client_status(&request))),
        }
    }

    fn ads_closed(&mut self, now: Duration, stream: StreamId) {
        if let Some(proxy_id) = self.engine.id_on_stream(stream) {
            let name = self.engine.proxy(proxy_id).map(|proxy| proxy.name.clone());
            tracing::info!(proxy = name.as_deref(), stream, "proxy disconnected");
        }
        self.streams.remove(&stream);
        self.disconnected(now, stream);
    }

    fn ads_request(&mut self, now: Duration, stream: StreamId, request: Request) {
        let Some(open) = self.streams.get(&stream) else { return };
        if open.session.is_none()
            && let Err(status) = self.join_by_stream(now, stream, &request)
        {
            tracing::warn!(stream, reason = status.message(), "stream rejected");
            ::metrics::counter!(metrics::JOINS_REFUSED).increment(1);
            self.end_stream(stream, status);
            return;
        }
        // Joining may have raised the epoch, which ends all streams.
        let Some(open) = self.streams.get_mut(&stream) else { return };
        let session = open.session.get_or_insert_with(|| Session::new(self.wire.epoch, &request));
        match session.request(request) {
            Ok(messages) => {
                let settled = session.all_answered();
                for message in messages {
                    self.ads_message(now, stream, message);
                }
                if settled {
                    self.engine.clear_in_flight(stream);
                }
            }
            Err(error) => {
                tracing::warn!(stream, %error, "stream ended");
                self.end_stream(stream, Status::invalid_argument(error.to_string()));
                self.disconnected(now, stream);
            }
        }
    }

    fn ads_message(&mut self, now: Duration, stream: StreamId, message: RequestEffect) {
        match message {
            RequestEffect::Acked(version) => self.engine.version_acknowledged(stream, version),
            RequestEffect::Nacked(version, reason) => {
                ::metrics::counter!(metrics::VERSIONS_REJECTED).increment(1);
                self.engine.version_rejected(stream, version, &reason);
            }
            RequestEffect::ResourcesRequested => self.engine.resend_requested(now, stream, 1),
            RequestEffect::UnsupportedType(url) => tracing::debug!(stream, url, "resource type not served"),
        }
    }

    /// Connects the proxy that the first request of a stream identifies.
    fn join_by_stream(&mut self, now: Duration, stream: StreamId, request: &Request) -> Result<(), Status> {
        let holds_tables = request.holds_governor_tables();
        let join =
            decode::join_request(&self.wire, request.node(), self.default_requests_per_second, holds_tables);
        let join = join.map_err(|error| Status::invalid_argument(error.to_string()))?;
        let proven_version = self.proven_version(&join.name, join.ownership_proof.as_deref());
        let join = fleet::JoinRequest { proven_version, ..join };
        let joined = self.engine.proxy_connected(now, stream, &join).map_err(join_status)?;
        let holds_default_table =
            self.engine.proxy(joined.proxy).is_some_and(|proxy| proxy.holds_default_table);
        tracing::info!(proxy = %join.name, zone = join.zone, holds_default_table, stream, "proxy connected");
        self.connected(now, joined.proxy, &join.name, join.ownership_proof.as_deref());
        Ok(())
    }

    fn end_stream(&mut self, stream: StreamId, status: Status) {
        if let Some(open) = self.streams.remove(&stream) {
            open.answers.end(status);
        }
    }

    fn report_stream_opened(&mut self, stream: StreamId, node: &Node) {
        match decode::node_id(Some(node)) {
            Ok(name) => drop(self.report_streams.insert(stream, name.into())),
            Err(error) => tracing::warn!(%error, stream, "load report stream does not identify a proxy"),
        }
    }

    fn load_reported(&mut self, now: Duration, stream: StreamId, statistics: &[ClusterStats]) {
        let Some(proxy) = self.report_streams.get(&stream).cloned() else { return };
        let roster = self.engine.accepted_roster();
        let (reports, unknown_entries) =
            decode::load_reports(&self.wire, statistics, |address| roster.replica_at(address).cloned());
        if unknown_entries > 0 {
            ::metrics::counter!(metrics::REPORT_ENTRIES_UNKNOWN).increment(unknown_entries as u64);
        }
        for report in reports {
            // `record_report` counts and logs the reason of a discarded report.
            let _ = self.record_report(now, &proxy, stream, &report);
        }
    }

    /// Sends the pending updates of a proxy on its stream, if the stream has capacity.
    pub(super) fn flush_stream(
        &mut self,
        now: Duration,
        proxy_id: ProxyId,
        stream: Option<StreamId>,
    ) -> Option<WorkItem> {
        let open = stream.and_then(|stream| self.streams.get_mut(&stream));
        let (Some(stream), Some(open)) = (stream, open) else {
            self.engine.tables_sent(now, proxy_id, 0, 0);
            return None;
        };
        if !open.answers.has_capacity() {
            self.engine.stream_full(proxy_id);
            ::metrics::counter!(metrics::STREAMS_FULL).increment(1);
            return Some(WorkItem::AwaitCapacity { stream, answers: open.answers.clone() });
        }
        let (Some(session), Some(proxy)) = (open.session.as_mut(), self.engine.proxy(proxy_id)) else {
            self.engine.tables_sent(now, proxy_id, 0, 0);
            return None;
        };
        let flushed = session.flush(&self.wire, proxy);
        let settled = session.all_answered();
        let messages = flushed.responses.len();
        ::metrics::counter!(metrics::ENTRIES_SENT).increment(flushed.entries as u64);
        ::metrics::counter!(metrics::RESPONSES_SENT).increment(messages as u64);
        for response in flushed.responses {
            open.answers.send(response);
        }
        self.engine.tables_sent(now, proxy_id, flushed.entries, messages);
        if let Some(version) = flushed.acked {
            self.engine.version_acknowledged(stream, version);
        }
        if settled {
            self.engine.clear_in_flight(stream);
        }
        None
    }
}

/// The gRPC status for a join that was refused.
fn join_status(error: JoinError) -> Status {
    match error {
        JoinError::Full { .. } => Status::resource_exhausted(error.to_string()),
        JoinError::Contested { .. } => Status::already_exists(error.to_string()),
        JoinError::EmptyName => Status::invalid_argument(error.to_string()),
    }
}
