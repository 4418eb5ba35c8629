//! The small HTTP port: health, readiness, metrics, and what the command line asks for.

use axum::Router;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use wrenthread_core::recording::Recording;

/// A question to the task that owns all state.
#[derive(Debug)]
pub enum Query {
    Ready(oneshot::Sender<bool>),
    Status(oneshot::Sender<Value>),
    Tables(String, oneshot::Sender<Option<Value>>),
    Metrics(oneshot::Sender<String>),
    History(String, oneshot::Sender<Option<Value>>),
    Diff(String, u64, u64, oneshot::Sender<Result<Value, String>>),
    Rollback(Value, oneshot::Sender<Result<Value, String>>),
    Governors(oneshot::Sender<Value>),
    Why(String, oneshot::Sender<Option<Value>>),
    Override(Value, oneshot::Sender<Result<Value, String>>),
    Record(oneshot::Sender<Recording>),
    Drain(bool, oneshot::Sender<Value>),
    Release(Value, oneshot::Sender<Result<Value, String>>),
}

type Asked = mpsc::Sender<Query>;

pub async fn serve(listener: TcpListener, queries: Asked) {
    let router = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/tables/{proxy}", get(tables))
        .route("/tables/{proxy}/history", get(history))
        .route("/tables/{proxy}/diff/{one}/{other}", get(diff))
        .route("/recording", get(recording))
        .route("/why/{name}", get(why))
        .route("/governors", get(governors))
        .route("/drain", post(drain))
        .route("/override", post(override_replica))
        .route("/rollback", post(rollback))
        .route("/release", post(release))
        .with_state(queries);
    if let Err(error) = axum::serve(listener, router).await {
        tracing::error!(%error, "the HTTP port is closed");
    }
}

async fn ask<T>(asked: &Asked, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Result<T, Response> {
    let (reply, answer) = oneshot::channel();
    let stopping = || (StatusCode::SERVICE_UNAVAILABLE, "the governor is stopping\n").into_response();
    asked.send(query(reply)).await.map_err(|_| stopping())?;
    answer.await.map_err(|_| stopping())
}

async fn ready(State(asked): State<Asked>) -> Response {
    match ask(&asked, Query::Ready).await {
        Ok(true) => "ready\n".into_response(),
        Ok(false) => (StatusCode::SERVICE_UNAVAILABLE, "no roster yet, or it drains\n").into_response(),
        Err(response) => response,
    }
}

async fn metrics(State(asked): State<Asked>) -> Response {
    ask(&asked, Query::Metrics).await.map_or_else(|response| response, IntoResponse::into_response)
}

async fn status(State(asked): State<Asked>) -> Response {
    ask(&asked, Query::Status).await.map_or_else(|response| response, |status| Json(status).into_response())
}

fn of_proxy(proxy: &str, answer: Result<Option<Value>, Response>) -> Response {
    answer.map_or_else(
        |response| response,
        |found| plain(found.ok_or_else(|| format!("no proxy `{proxy}` is joined"))),
    )
}

fn plain(answer: Result<Value, String>) -> Response {
    match answer {
        Ok(value) => Json(value).into_response(),
        Err(error) => (StatusCode::NOT_FOUND, Json(json!({"error": error}))).into_response(),
    }
}

async fn tables(State(asked): State<Asked>, Path(proxy): Path<String>) -> Response {
    of_proxy(&proxy, ask(&asked, |reply| Query::Tables(proxy.clone(), reply)).await)
}

async fn history(State(asked): State<Asked>, Path(proxy): Path<String>) -> Response {
    of_proxy(&proxy, ask(&asked, |reply| Query::History(proxy.clone(), reply)).await)
}

async fn diff(State(asked): State<Asked>, Path((proxy, one, other)): Path<(String, u64, u64)>) -> Response {
    ask(&asked, |reply| Query::Diff(proxy, one, other, reply)).await.map_or_else(|response| response, plain)
}

async fn rollback(State(asked): State<Asked>, Json(body): Json<Value>) -> Response {
    ask(&asked, |reply| Query::Rollback(body, reply)).await.map_or_else(|response| response, plain)
}

async fn override_replica(State(asked): State<Asked>, Json(body): Json<Value>) -> Response {
    ask(&asked, |reply| Query::Override(body, reply)).await.map_or_else(|response| response, plain)
}

async fn recording(State(asked): State<Asked>) -> Response {
    let recording = match ask(&asked, Query::Record).await {
        Ok(recording) => recording,
        Err(response) => return response,
    };
    // Many millions of bytes for a large fleet: decisions don't wait for them.
    match tokio::task::spawn_blocking(move || serde_json::to_vec(&recording)).await {
        Ok(Ok(text)) => ([(CONTENT_TYPE, "application/json")], text).into_response(),
        _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn why(State(asked): State<Asked>, Path(name): Path<String>) -> Response {
    ask(&asked, |reply| Query::Why(name.clone(), reply)).await.map_or_else(
        |response| response,
        |found| {
            plain(found.ok_or_else(|| format!("no proxy is joined and no replica is listed as `{name}`")))
        },
    )
}

async fn governors(State(asked): State<Asked>) -> Response {
    ask(&asked, Query::Governors).await.map_or_else(|response| response, |seen| Json(seen).into_response())
}

async fn drain(State(asked): State<Asked>, Json(body): Json<Value>) -> Response {
    let Some(draining) = body["draining"].as_bool() else {
        let error = json!({"error": "`draining` is true or false"});
        return (StatusCode::BAD_REQUEST, Json(error)).into_response();
    };
    let answer = ask(&asked, |reply| Query::Drain(draining, reply)).await;
    answer.map_or_else(|response| response, |seen| Json(seen).into_response())
}

async fn release(State(asked): State<Asked>, Json(body): Json<Value>) -> Response {
    ask(&asked, |reply| Query::Release(body, reply)).await.map_or_else(|response| response, plain)
}
