//! The gRPC services. They only pass messages between sockets and the task that owns the engine and the
//! sessions. Responses go through a bounded channel per stream: a proxy that does not read fills only its own
//! channel, and later changes are merged until it reads again.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};

use crate::pb::envoy::config::core::v3::Node;
use crate::pb::envoy::config::endpoint::v3::ClusterStats;
use crate::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use crate::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use crate::pb::envoy::service::load_stats::v3::load_reporting_service_server::{
    LoadReportingService, LoadReportingServiceServer,
};
use crate::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use crate::pb::envoy::service::status::v3::client_status_discovery_service_server::{
    ClientStatusDiscoveryService, ClientStatusDiscoveryServiceServer,
};
use crate::pb::envoy::service::status::v3::{ClientStatusRequest, ClientStatusResponse};
use crate::session;

/// Capacity of a stream's response channel: the responses of one flush and of a drain after it.
pub const CHANNEL_CAPACITY: usize = 8;
/// Maximum number of responses of one flush: one of each resource type.
pub const MAX_FLUSH_RESPONSES: usize = 4;

/// Sends responses on a stream.
#[derive(Debug, Clone)]
pub enum ResponseSender {
    /// For a state-of-the-world stream.
    Sotw(mpsc::Sender<Result<DiscoveryResponse, Status>>),
    /// For a delta stream.
    Delta(mpsc::Sender<Result<DeltaDiscoveryResponse, Status>>),
}

impl ResponseSender {
    /// Whether the channel has capacity for a complete flush.
    pub fn has_capacity(&self) -> bool {
        match self {
            ResponseSender::Sotw(answers) => answers.capacity() >= MAX_FLUSH_RESPONSES,
            ResponseSender::Delta(answers) => answers.capacity() >= MAX_FLUSH_RESPONSES,
        }
    }

    /// Waits for capacity for a complete flush; false if the stream has ended.
    pub async fn wait_for_capacity(&self) -> bool {
        match self {
            ResponseSender::Sotw(answers) => answers.reserve_many(MAX_FLUSH_RESPONSES).await.is_ok(),
            ResponseSender::Delta(answers) => answers.reserve_many(MAX_FLUSH_RESPONSES).await.is_ok(),
        }
    }

    /// Sends a response. It is dropped if the stream has ended or the channel is full, so check
    /// [`ResponseSender::has_capacity`] first.
    pub fn send(&self, response: session::Response) {
        let _ = match (self, response) {
            (ResponseSender::Sotw(answers), session::Response::Sotw(response)) => {
                answers.try_send(Ok(response)).is_ok()
            }
            (ResponseSender::Delta(answers), session::Response::Delta(response)) => {
                answers.try_send(Ok(response)).is_ok()
            }
            _ => false,
        };
    }

    /// Ends the stream with a status. The status is dropped if the channel is full.
    pub fn end(&self, status: Status) {
        let _ = match self {
            ResponseSender::Sotw(answers) => answers.try_send(Err(status)).is_ok(),
            ResponseSender::Delta(answers) => answers.try_send(Err(status)).is_ok(),
        };
    }
}

/// Events of the streams, for the task that owns all state.
#[derive(Debug)]
pub enum Event {
    /// An ADS stream was opened.
    AdsOpened {
        /// The number of the stream.
        stream: u64,
        /// Sends the stream's responses.
        responses: ResponseSender,
    },
    /// A request was received on an ADS stream.
    AdsRequest {
        /// The number of the stream.
        stream: u64,
        /// The request.
        request: Box<session::Request>,
    },
    /// An ADS stream ended.
    AdsClosed {
        /// The number of the stream.
        stream: u64,
    },
    /// An LRS stream was opened.
    ReportsOpened {
        /// The number of the stream.
        stream: u64,
        /// The node that reports.
        node: Box<Node>,
    },
    /// A load report was received on an LRS stream.
    LoadReported {
        /// The number of the stream.
        stream: u64,
        /// Statistics by cluster.
        stats: Vec<ClusterStats>,
    },
    /// An LRS stream ended.
    ReportsClosed {
        /// The number of the stream.
        stream: u64,
    },
    /// A CSDS request was received.
    ClientStatus {
        /// The request.
        request: Box<ClientStatusRequest>,
        /// Receives the response.
        reply: oneshot::Sender<ClientStatusResponse>,
    },
}

/// Implements the ADS, LRS and CSDS services.
#[derive(Debug, Clone)]
pub struct GrpcServices {
    events: mpsc::Sender<Event>,
    next_stream: Arc<AtomicU64>,
    report_interval: std::time::Duration,
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

impl GrpcServices {
    /// Events are sent to `events`. While that channel is full, streams are not read, which applies back pressure
    /// to the proxies.
    pub fn new(events: mpsc::Sender<Event>, report_interval: std::time::Duration) -> Self {
        GrpcServices { events, next_stream: Arc::new(AtomicU64::new(1)), report_interval }
    }

    /// The services, for the router of a server.
    pub fn services(
        &self,
    ) -> (
        AggregatedDiscoveryServiceServer<GrpcServices>,
        LoadReportingServiceServer<GrpcServices>,
        ClientStatusDiscoveryServiceServer<GrpcServices>,
    ) {
        (
            AggregatedDiscoveryServiceServer::new(self.clone()),
            LoadReportingServiceServer::new(self.clone()),
            ClientStatusDiscoveryServiceServer::new(self.clone()),
        )
    }

    /// Allocates a stream number. All kinds of streams share one sequence, in the order of their opening.
    pub fn next_stream_id(&self) -> u64 {
        self.next_stream.fetch_add(1, Ordering::Relaxed)
    }

    async fn send_event(&self, event: Event) -> Result<(), Status> {
        self.events.send(event).await.map_err(|_| Status::unavailable("the governor is stopping"))
    }

    /// Forwards the requests of a stream as events, until the stream ends.
    async fn forward_requests<R>(
        &self,
        answers: ResponseSender,
        requests: Streaming<R>,
        wrap: fn(R) -> session::Request,
    ) -> Result<(), Status>
    where
        R: Send + 'static,
    {
        let stream = self.next_stream_id();
        self.send_event(Event::AdsOpened { stream, responses: answers.clone() }).await?;
        let front = self.clone();
        tokio::spawn(async move {
            let mut requests = requests;
            loop {
                let request = tokio::select! {
                    request = requests.next() => request,
                    () = closed(&answers) => None,
                };
                let Some(Ok(request)) = request else { break };
                let request = Box::new(wrap(request));
                if front.send_event(Event::AdsRequest { stream, request }).await.is_err() {
                    break;
                }
            }
            let _ = front.send_event(Event::AdsClosed { stream }).await;
        });
        Ok(())
    }
}

async fn closed(answers: &ResponseSender) {
    match answers {
        ResponseSender::Sotw(answers) => answers.closed().await,
        ResponseSender::Delta(answers) => answers.closed().await,
    }
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for GrpcServices {
    type StreamAggregatedResourcesStream = ResponseStream<DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = ResponseStream<DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        let (answers, stream) = mpsc::channel(CHANNEL_CAPACITY);
        self.forward_requests(ResponseSender::Sotw(answers), request.into_inner(), session::Request::Sotw)
            .await?;
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }

    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let (answers, stream) = mpsc::channel(CHANNEL_CAPACITY);
        self.forward_requests(ResponseSender::Delta(answers), request.into_inner(), session::Request::Delta)
            .await?;
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }
}

#[tonic::async_trait]
impl LoadReportingService for GrpcServices {
    type StreamLoadStatsStream = ResponseStream<LoadStatsResponse>;

    async fn stream_load_stats(
        &self,
        request: Request<Streaming<LoadStatsRequest>>,
    ) -> Result<Response<Self::StreamLoadStatsStream>, Status> {
        let (answers, stream) = mpsc::channel(CHANNEL_CAPACITY);
        let (front, mut requests) = (self.clone(), request.into_inner());
        tokio::spawn(async move {
            let Some(Ok(first)) = requests.next().await else { return };
            let Some(node) = first.node else {
                let status = Status::invalid_argument("the stream's first message has no node");
                let _ = answers.send(Err(status)).await;
                return;
            };
            let stream = front.next_stream_id();
            let interval = front.report_interval;
            let interval_request = LoadStatsResponse {
                send_all_clusters: true,
                report_endpoint_granularity: true,
                load_reporting_interval: Some(crate::pb::google::protobuf::Duration {
                    seconds: interval.as_secs() as i64,
                    nanos: interval.subsec_nanos() as i32,
                }),
                ..LoadStatsResponse::default()
            };
            let event = Event::ReportsOpened { stream, node: Box::new(node) };
            if front.send_event(event).await.is_err() || answers.send(Ok(interval_request)).await.is_err() {
                return;
            }
            let mut stats = first.cluster_stats;
            loop {
                if !stats.is_empty() && front.send_event(Event::LoadReported { stream, stats }).await.is_err()
                {
                    break;
                }
                stats = tokio::select! {
                    request = requests.next() => match request {
                        Some(Ok(request)) => request.cluster_stats,
                        _ => break,
                    },
                    () = answers.closed() => break,
                };
            }
            let _ = front.send_event(Event::ReportsClosed { stream }).await;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }
}

#[tonic::async_trait]
impl ClientStatusDiscoveryService for GrpcServices {
    type StreamClientStatusStream = ResponseStream<ClientStatusResponse>;

    async fn stream_client_status(
        &self,
        request: Request<Streaming<ClientStatusRequest>>,
    ) -> Result<Response<Self::StreamClientStatusStream>, Status> {
        let front = self.clone();
        let answers = request.into_inner().then(move |request| {
            let front = front.clone();
            async move { front.status(request?).await }
        });
        Ok(Response::new(Box::pin(answers)))
    }

    async fn fetch_client_status(
        &self,
        request: Request<ClientStatusRequest>,
    ) -> Result<Response<ClientStatusResponse>, Status> {
        self.status(request.into_inner()).await.map(Response::new)
    }
}

impl GrpcServices {
    async fn status(&self, request: ClientStatusRequest) -> Result<ClientStatusResponse, Status> {
        let (reply, answer) = oneshot::channel();
        self.send_event(Event::ClientStatus { request: Box::new(request), reply }).await?;
        answer.await.map_err(|_| Status::unavailable("the governor is stopping"))
    }
}
