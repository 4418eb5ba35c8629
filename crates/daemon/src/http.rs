//! The HTTP port: health, readiness, metrics, and the queries of the command line.

use axum::Router;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use wrenthread_core::recording::Recording;

use crate::host::{
    GovernorStatus, GovernorsStatus, InspectionError, OperatorError, OverrideOutcome, ProxyTables, Refusals,
    ReleaseOutcome, RollbackOutcome, TableDiff, TableHistory,
};

/// The channel for the response to a query.
type Reply<T> = oneshot::Sender<T>;

/// A query to the task that owns all state.
#[derive(Debug)]
pub enum Query {
    Ready(Reply<bool>),
    Metrics(Reply<String>),
    Status(Reply<GovernorStatus>),
    Governors(Reply<GovernorsStatus>),
    Record(Reply<Recording>),
    Tables {
        proxy: String,
        reply: Reply<Option<ProxyTables>>,
    },
    History {
        proxy: String,
        reply: Reply<Option<TableHistory>>,
    },
    Diff {
        proxy: String,
        from: u64,
        to: u64,
        reply: Reply<Result<TableDiff, InspectionError>>,
    },
    /// The guard's refusals that concern a proxy or a replica.
    Refusals {
        name: String,
        reply: Reply<Option<Refusals>>,
    },
    Drain {
        draining: bool,
        reply: Reply<GovernorsStatus>,
    },
    Rollback {
        request: Value,
        reply: Reply<Result<RollbackOutcome, OperatorError>>,
    },
    Release {
        request: Value,
        reply: Reply<Result<ReleaseOutcome, OperatorError>>,
    },
    Override {
        request: Value,
        reply: Reply<Result<OverrideOutcome, OperatorError>>,
    },
}

/// The channel by which handlers send queries.
type Queries = mpsc::Sender<Query>;

/// Serves requests until the listener fails.
pub async fn serve(listener: TcpListener, queries: Queries) {
    let router = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/tables/{proxy}", get(tables))
        .route("/tables/{proxy}/history", get(history))
        .route("/tables/{proxy}/diff/{one}/{other}", get(diff))
        .route("/recording", get(recording))
        .route("/why/{name}", get(refusals))
        .route("/governors", get(governors))
        .route("/drain", post(drain))
        .route("/override", post(override_replica))
        .route("/rollback", post(rollback))
        .route("/release", post(release))
        .with_state(queries);
    if let Err(error) = axum::serve(listener, router).await {
        tracing::error!(%error, "HTTP port closed");
    }
}

/// The response while the governor is stopping.
struct Stopping;

impl IntoResponse for Stopping {
    fn into_response(self) -> Response {
        (StatusCode::SERVICE_UNAVAILABLE, "the governor is stopping\n").into_response()
    }
}

async fn query<T>(queries: &Queries, query: impl FnOnce(Reply<T>) -> Query) -> Result<T, Stopping> {
    let (reply, response) = oneshot::channel();
    queries.send(query(reply)).await.map_err(|_| Stopping)?;
    response.await.map_err(|_| Stopping)
}

/// A response as JSON, with the fields in alphabetical order.
fn json_response(response: &impl Serialize) -> Response {
    match serde_json::to_value(response) {
        Ok(value) => Json(value).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

fn not_found(error: &str) -> Response {
    (StatusCode::NOT_FOUND, Json(json!({"error": error}))).into_response()
}

/// A result as JSON, or its error as status 404.
fn json_or_error<T: Serialize, E: ToString>(response: Result<T, E>) -> Response {
    match response {
        Ok(response) => json_response(&response),
        Err(error) => not_found(&error.to_string()),
    }
}

/// The result of a query about a proxy, or status 404 if it is not connected.
fn json_of_proxy(proxy: &str, found: Option<impl Serialize>) -> Response {
    json_or_error(found.ok_or_else(|| format!("no proxy `{proxy}` is joined")))
}

async fn ready(State(queries): State<Queries>) -> Result<Response, Stopping> {
    Ok(match query(&queries, Query::Ready).await? {
        true => "ready\n".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "no roster yet, or it drains\n").into_response(),
    })
}

async fn metrics(State(queries): State<Queries>) -> Result<String, Stopping> {
    query(&queries, Query::Metrics).await
}

async fn status(State(queries): State<Queries>) -> Result<Response, Stopping> {
    let status = query(&queries, Query::Status).await?;
    Ok(json_response(&status))
}

async fn tables(State(queries): State<Queries>, Path(proxy): Path<String>) -> Result<Response, Stopping> {
    let tables = query(&queries, |reply| Query::Tables { proxy: proxy.clone(), reply }).await?;
    Ok(json_of_proxy(&proxy, tables))
}

async fn history(State(queries): State<Queries>, Path(proxy): Path<String>) -> Result<Response, Stopping> {
    let history = query(&queries, |reply| Query::History { proxy: proxy.clone(), reply }).await?;
    Ok(json_of_proxy(&proxy, history))
}

async fn diff(
    State(queries): State<Queries>,
    Path((proxy, from, to)): Path<(String, u64, u64)>,
) -> Result<Response, Stopping> {
    let diff = query(&queries, |reply| Query::Diff { proxy, from, to, reply }).await?;
    Ok(json_or_error(diff))
}

async fn rollback(State(queries): State<Queries>, Json(request): Json<Value>) -> Result<Response, Stopping> {
    let outcome = query(&queries, |reply| Query::Rollback { request, reply }).await?;
    Ok(json_or_error(outcome))
}

async fn release(State(queries): State<Queries>, Json(request): Json<Value>) -> Result<Response, Stopping> {
    let outcome = query(&queries, |reply| Query::Release { request, reply }).await?;
    Ok(json_or_error(outcome))
}

async fn override_replica(
    State(queries): State<Queries>,
    Json(request): Json<Value>,
) -> Result<Response, Stopping> {
    let outcome = query(&queries, |reply| Query::Override { request, reply }).await?;
    Ok(json_or_error(outcome))
}

async fn recording(State(queries): State<Queries>) -> Result<Response, Stopping> {
    let recording = query(&queries, Query::Record).await?;
    // Tens of megabytes for a large fleet: serialized on another thread so that decisions aren't delayed.
    let text = tokio::task::spawn_blocking(move || serde_json::to_vec(&recording)).await;
    Ok(match text {
        Ok(Ok(text)) => ([(CONTENT_TYPE, "application/json")], text).into_response(),
        _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    })
}

async fn refusals(State(queries): State<Queries>, Path(name): Path<String>) -> Result<Response, Stopping> {
    let found = query(&queries, |reply| Query::Refusals { name: name.clone(), reply }).await?;
    let refusals = found.ok_or_else(|| format!("no proxy is joined and no replica is listed as `{name}`"));
    Ok(json_or_error(refusals))
}

async fn governors(State(queries): State<Queries>) -> Result<Response, Stopping> {
    let governors = query(&queries, Query::Governors).await?;
    Ok(json_response(&governors))
}

async fn drain(State(queries): State<Queries>, Json(request): Json<Value>) -> Result<Response, Stopping> {
    let Some(draining) = request["draining"].as_bool() else {
        let error = json!({"error": "`draining` is true or false"});
        return Ok((StatusCode::BAD_REQUEST, Json(error)).into_response());
    };
    let governors = query(&queries, |reply| Query::Drain { draining, reply }).await?;
    Ok(json_response(&governors))
}
