//! The small HTTP port: health, readiness, metrics, and what the command line asks for.

use axum::Router;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// A question to the task that owns all state.
#[derive(Debug)]
pub enum Query {
    Ready(oneshot::Sender<bool>),
    Status(oneshot::Sender<Value>),
    Tables(String, oneshot::Sender<Option<Value>>),
    Metrics(oneshot::Sender<String>),
}

type Asked = mpsc::Sender<Query>;

pub async fn serve(listener: TcpListener, queries: Asked) {
    let router = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .route("/tables/{proxy}", get(tables))
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
        Ok(false) => (StatusCode::SERVICE_UNAVAILABLE, "no roster yet\n").into_response(),
        Err(response) => response,
    }
}

async fn metrics(State(asked): State<Asked>) -> Response {
    ask(&asked, Query::Metrics).await.map_or_else(|response| response, IntoResponse::into_response)
}

async fn status(State(asked): State<Asked>) -> Response {
    ask(&asked, Query::Status).await.map_or_else(|response| response, |status| Json(status).into_response())
}

async fn tables(State(asked): State<Asked>, Path(proxy): Path<String>) -> Response {
    match ask(&asked, |reply| Query::Tables(proxy.clone(), reply)).await {
        Ok(Some(tables)) => Json(tables).into_response(),
        Ok(None) => {
            let why = json!({"error": format!("no proxy `{proxy}` is joined")});
            (StatusCode::NOT_FOUND, Json(why)).into_response()
        }
        Err(response) => response,
    }
}
