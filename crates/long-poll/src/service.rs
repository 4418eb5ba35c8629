//! The HTTP handlers. They decode requests and encode responses, in JSON or CBOR as the client asks, and pass the
//! requests to the task that owns all state.

#[cfg(test)]
mod tests;

use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tower_http::compression::CompressionLayer;
use tower_http::decompression::RequestDecompressionLayer;
use tower_http::limit::RequestBodyLimitLayer;
use utoipa::{IntoParams, OpenApi};

use crate::messages::{
    ClassUpdate, DefaultTableEntry, ErrorResponse, JoinRequest, JoinResponse, ReplicaStatistics,
    ReportRequest, ReportResponse, SessionParameters, TableEntry, TablesResponse,
};

/// Maximum size of a request body; larger ones are rejected.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// The content type of CBOR.
pub const CBOR: &str = "application/cbor";
/// The content type of JSON.
const JSON: &str = "application/json";
/// `Retry-After` in seconds when the limit of connected proxies is reached.
const RETRY_AFTER_FULL: &str = "10";
/// `Retry-After` in seconds when the governor is stopping.
const RETRY_AFTER_STOP: &str = "2";

/// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestError {
    /// The request is malformed or has invalid values.
    Invalid(String),
    /// Another stream or session uses the same proxy name, or a later poll replaced this one.
    Conflict(String),
    /// The session does not exist.
    UnknownSession,
    /// The proxy must join this governor instead, or, if `None`, the next one in its own order.
    Redirected(Option<String>),
    /// The limit of connected proxies is reached; the proxy may retry later.
    Full(String),
    /// The governor is stopping.
    Stopping,
}

/// The response to a poll.
#[derive(Debug, Clone, PartialEq)]
pub enum PollResponse {
    /// Tables that the proxy does not hold yet.
    Tables(TablesResponse),
    /// There is nothing newer than the version that the proxy holds.
    Unchanged,
}

/// The channel for the response to a request.
pub type Reply<T> = oneshot::Sender<Result<T, RequestError>>;

/// The version that a proxy claims to hold, not yet parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimedVersion {
    /// The version, as `EPOCH.NUMBER`.
    pub version: String,
    /// The digest of its content, in hexadecimal.
    pub digest: String,
}

/// A request to the task that owns all state.
#[derive(Debug)]
pub enum Request {
    /// A proxy joins.
    Join {
        /// The proxy's name.
        proxy: String,
        /// The decoded body.
        join: JoinRequest,
        /// The channel for the response.
        reply: Reply<JoinResponse>,
    },
    /// A proxy polls for tables.
    Poll {
        /// Its session.
        session: u64,
        /// The version that it claims to hold.
        held: Option<ClaimedVersion>,
        /// How long the poll may wait.
        wait: Duration,
        /// The channel for the response.
        reply: Reply<PollResponse>,
    },
    /// A proxy reports its load.
    Report {
        /// Its session.
        session: u64,
        /// The report's number; a report with a number already received is not counted again.
        number: u64,
        /// The decoded body.
        report: ReportRequest,
        /// The channel for the response.
        reply: Reply<ReportResponse>,
    },
    /// A proxy leaves.
    Leave {
        /// Its session.
        session: u64,
        /// The channel for the response.
        reply: Reply<()>,
    },
}

// Doc comments of these parameters are the descriptions in the OpenAPI document.
#[derive(Debug, Deserialize, IntoParams)]
struct SessionQuery {
    /// The session number from the join response.
    session: u64,
}

#[derive(Debug, Deserialize, IntoParams)]
struct TablesQuery {
    /// The session number from the join response.
    session: u64,
    /// The version that the proxy holds, as received with its tables.
    version: Option<String>,
    /// The digest of that version.
    digest: Option<String>,
    /// How long the poll may wait for a change, in seconds.
    wait: Option<f64>,
}

#[derive(OpenApi)]
#[openapi(
    info(
        title = "wrenthread long-poll front",
        description = "Tables as deltas, and load reports that are numbered so that a repeated one is not counted twice"
    ),
    paths(join, leave, tables, report),
    components(schemas(
        JoinRequest,
        JoinResponse,
        SessionParameters,
        DefaultTableEntry,
        TablesResponse,
        ClassUpdate,
        TableEntry,
        ReportRequest,
        ReplicaStatistics,
        ReportResponse,
        ErrorResponse
    ))
)]
struct ApiDocument;

/// The OpenAPI document that is served at `/v1/openapi.json`.
pub fn openapi_document() -> utoipa::openapi::OpenApi {
    ApiDocument::openapi()
}

#[derive(Debug, Clone)]
struct ServiceState {
    requests: mpsc::Sender<Request>,
    max_wait: Duration,
}

/// The routes of the HTTP service. Polls wait for at most `max_wait`.
pub fn router(requests: mpsc::Sender<Request>, max_wait: Duration) -> Router {
    Router::new()
        .route("/v1/proxies/{proxy}", post(join).delete(leave))
        .route("/v1/proxies/{proxy}/tables", get(tables))
        .route("/v1/proxies/{proxy}/reports/{number}", post(report))
        .route("/v1/openapi.json", get(|| async { axum::Json(openapi_document()) }))
        // The body size is limited both before and after decompression.
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(RequestDecompressionLayer::new())
        .layer(RequestBodyLimitLayer::new(MAX_BODY_BYTES))
        .layer(CompressionLayer::new())
        .with_state(ServiceState { requests, max_wait })
}

fn wants_cbor(headers: &HeaderMap) -> bool {
    let accept = headers.get(header::ACCEPT).and_then(|value| value.to_str().ok()).unwrap_or_default();
    accept.split(',').any(|range| range.split(';').next().is_some_and(|media_type| media_type.trim() == CBOR))
}

fn encode_response<T: Serialize>(headers: &HeaderMap, status: StatusCode, value: &T) -> Response {
    let (content_type, body) = if wants_cbor(headers) {
        let mut body = Vec::new();
        (CBOR, ciborium::into_writer(value, &mut body).map(|()| body).map_err(|error| error.to_string()))
    } else {
        (JSON, serde_json::to_vec(value).map_err(|error| error.to_string()))
    };
    match body {
        Ok(body) => (status, [(header::CONTENT_TYPE, content_type)], body).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error).into_response(),
    }
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::Invalid(_) => StatusCode::BAD_REQUEST,
            RequestError::Conflict(_) => StatusCode::CONFLICT,
            RequestError::UnknownSession => StatusCode::GONE,
            RequestError::Redirected(_) => StatusCode::MISDIRECTED_REQUEST,
            RequestError::Full(_) | RequestError::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The `Retry-After` header in seconds, for errors where a retry can succeed.
    fn retry_after(&self) -> Option<&'static str> {
        match self {
            RequestError::Full(_) => Some(RETRY_AFTER_FULL),
            RequestError::Stopping => Some(RETRY_AFTER_STOP),
            _ => None,
        }
    }

    fn response(&self) -> ErrorResponse {
        let mut redirect_to = None;
        let error: &str = match self {
            RequestError::Invalid(reason) | RequestError::Conflict(reason) | RequestError::Full(reason) => {
                reason
            }
            RequestError::UnknownSession => "no such session here: join again",
            RequestError::Redirected(to) => {
                redirect_to = Some(to.clone().unwrap_or_default());
                "this proxy is to go to another governor"
            }
            RequestError::Stopping => "the governor stops: keep your tables and come back",
        };
        ErrorResponse { error: error.to_string(), redirect_to }
    }
}

fn error_response(headers: &HeaderMap, error: &RequestError) -> Response {
    let mut response = encode_response(headers, error.status(), &error.response());
    if let Some(seconds) = error.retry_after() {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(seconds));
    }
    response
}

fn decode_body<T: DeserializeOwned>(headers: &HeaderMap, body: &Bytes) -> Result<T, RequestError> {
    let content_type =
        headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or(JSON);
    let invalid = |error: String| RequestError::Invalid(format!("the body: {error}"));
    match content_type.split(';').next().map(str::trim) {
        Some(CBOR) => ciborium::from_reader(body.as_ref()).map_err(|error| invalid(error.to_string())),
        Some(JSON) => serde_json::from_slice(body).map_err(|error| invalid(error.to_string())),
        _ => Err(invalid(format!("content type `{content_type}`; it takes {JSON} or {CBOR}"))),
    }
}

impl ServiceState {
    async fn request<T>(&self, request: impl FnOnce(Reply<T>) -> Request) -> Result<T, RequestError> {
        let (reply, answer) = oneshot::channel();
        self.requests.send(request(reply)).await.map_err(|_| RequestError::Stopping)?;
        answer.await.map_err(|_| RequestError::Stopping)?
    }
}

/// Joins this governor: opens a session and returns its parameters.
#[utoipa::path(post, path = "/v1/proxies/{proxy}", request_body = JoinRequest,
    params(("proxy" = String, Path, description = "the proxy's name; no two proxies share one")),
    responses((status = 200, body = JoinResponse), (status = 400, body = ErrorResponse), (status = 409, body = ErrorResponse),
        (status = 503, body = ErrorResponse)))]
async fn join(
    State(state): State<ServiceState>,
    Path(proxy): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let join = match decode_body::<JoinRequest>(&headers, &body) {
        Ok(join) => join,
        Err(error) => return error_response(&headers, &error),
    };
    match state.request(|reply| Request::Join { proxy, join, reply }).await {
        Ok(response) => encode_response(&headers, StatusCode::OK, &response),
        Err(error) => error_response(&headers, &error),
    }
}

/// Leaves this governor and closes the session.
#[utoipa::path(delete, path = "/v1/proxies/{proxy}", params(("proxy" = String, Path), SessionQuery),
    responses((status = 204), (status = 410, body = ErrorResponse)))]
async fn leave(
    State(state): State<ServiceState>,
    Path(_proxy): Path<String>,
    Query(query): Query<SessionQuery>,
    headers: HeaderMap,
) -> Response {
    match state.request(|reply| Request::Leave { session: query.session, reply }).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => error_response(&headers, &error),
    }
}

/// Polls for changes since the version that the proxy holds. The poll also acknowledges that version.
#[utoipa::path(get, path = "/v1/proxies/{proxy}/tables", params(("proxy" = String, Path), TablesQuery),
    responses((status = 200, body = TablesResponse), (status = 304, description = "the proxy holds the newest version"),
        (status = 400, body = ErrorResponse), (status = 409, body = ErrorResponse), (status = 410, body = ErrorResponse),
        (status = 421, body = ErrorResponse, description = "the proxy must join another governor")))]
async fn tables(
    State(state): State<ServiceState>,
    Path(_proxy): Path<String>,
    Query(query): Query<TablesQuery>,
    headers: HeaderMap,
) -> Response {
    let held = match (query.version, query.digest) {
        (Some(version), Some(digest)) => Some(ClaimedVersion { version, digest }),
        _ => version_in_tag(&headers),
    };
    let wait = Duration::try_from_secs_f64(query.wait.unwrap_or(0.0)).unwrap_or_default();
    let (session, wait) = (query.session, wait.min(state.max_wait));
    match state.request(|reply| Request::Poll { session, held, wait, reply }).await {
        Ok(PollResponse::Tables(tables)) => {
            let mut response = encode_response(&headers, StatusCode::OK, &tables);
            if let Ok(tag) = HeaderValue::from_str(&format!("\"{}-{}\"", tables.version, tables.digest)) {
                response.headers_mut().insert(header::ETAG, tag);
            }
            response
        }
        Ok(PollResponse::Unchanged) => StatusCode::NOT_MODIFIED.into_response(),
        Err(error) => error_response(&headers, &error),
    }
}

/// The version in `If-None-Match`, which repeats the `ETag` of an earlier response with tables.
fn version_in_tag(headers: &HeaderMap) -> Option<ClaimedVersion> {
    let tag = headers.get(header::IF_NONE_MATCH)?.to_str().ok()?;
    let (version, digest) = tag.trim_matches('"').split_once('-')?;
    Some(ClaimedVersion { version: version.to_string(), digest: digest.to_string() })
}

/// Accepts a load report. A report with a number already received is not counted again.
#[utoipa::path(post, path = "/v1/proxies/{proxy}/reports/{number}", request_body = ReportRequest,
    params(("proxy" = String, Path), ("number" = u64, Path), SessionQuery),
    responses((status = 200, body = ReportResponse), (status = 400, body = ErrorResponse),
        (status = 410, body = ErrorResponse)))]
async fn report(
    State(state): State<ServiceState>,
    Path((_proxy, number)): Path<(String, u64)>,
    Query(query): Query<SessionQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let report = match decode_body::<ReportRequest>(&headers, &body) {
        Ok(report) => report,
        Err(error) => return error_response(&headers, &error),
    };
    match state.request(|reply| Request::Report { session: query.session, number, report, reply }).await {
        Ok(response) => encode_response(&headers, StatusCode::OK, &response),
        Err(error) => error_response(&headers, &error),
    }
}
