//! The handlers: they read and write messages, in JSON or CBOR as asked, and hand questions to the task that
//! owns all state.

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
    GroupTold, JoinAsked, JoinTold, LineTold, MetTold, ReportAsked, ReportTold, StandingLine, TablesTold,
    Terms, Trouble,
};

/// Larger bodies are turned away.
pub const MOST_BYTES: usize = 1 << 20;
pub const CBOR: &str = "application/cbor";
const JSON: &str = "application/json";

/// Why a question is turned away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    Unclear(String),
    /// Another stream or session has the name, or took the question's place.
    Conflict(String),
    NoSession,
    /// The proxy is to go to this governor, or (none) to whoever is next in its order.
    Moved(Option<String>),
    /// No room for more proxies: try again after a while.
    Full(String),
    Stopping,
}

/// What a question for tables is answered by.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Tables(TablesTold),
    Unchanged,
}

pub type Reply<T> = oneshot::Sender<Result<T, Refusal>>;

/// What is asked of the task that owns all state.
#[derive(Debug)]
pub enum Event {
    Join {
        proxy: String,
        asked: JoinAsked,
        reply: Reply<JoinTold>,
    },
    /// Version and digest as the proxy says it holds them.
    Poll {
        session: u64,
        held: Option<(String, String)>,
        wait: Duration,
        reply: Reply<Answer>,
    },
    Report {
        session: u64,
        number: u64,
        report: ReportAsked,
        reply: Reply<ReportTold>,
    },
    Leave {
        session: u64,
        reply: Reply<()>,
    },
}

#[derive(Debug, Deserialize, IntoParams)]
pub struct Of {
    /// As told when joining.
    session: u64,
}

#[derive(Debug, Deserialize, IntoParams)]
pub struct Question {
    /// As told when joining.
    session: u64,
    /// The version that is held, as it was told.
    version: Option<String>,
    /// And its digest.
    digest: Option<String>,
    /// How long the question may wait, in seconds.
    wait: Option<f64>,
}

#[derive(OpenApi)]
#[openapi(
    info(title = "wrenthread long-poll front", description = "Tables as deltas, load reports by number"),
    paths(join, leave, tables, report),
    components(schemas(
        JoinAsked,
        JoinTold,
        Terms,
        StandingLine,
        TablesTold,
        GroupTold,
        LineTold,
        ReportAsked,
        MetTold,
        ReportTold,
        Trouble
    ))
)]
struct Description;

/// The description of this front, as it is served.
pub fn description() -> utoipa::openapi::OpenApi {
    Description::openapi()
}

#[derive(Debug, Clone)]
struct Front {
    events: mpsc::Sender<Event>,
    wait_most: Duration,
}

/// The routes. Questions wait for `wait_most` at the longest.
pub fn router(events: mpsc::Sender<Event>, wait_most: Duration) -> Router {
    Router::new()
        .route("/v1/proxies/{proxy}", post(join).delete(leave))
        .route("/v1/proxies/{proxy}/tables", get(tables))
        .route("/v1/proxies/{proxy}/reports/{number}", post(report))
        .route("/v1/openapi.json", get(|| async { axum::Json(description()) }))
        // The limit holds for what comes out of a compressed body, too.
        .layer(DefaultBodyLimit::max(MOST_BYTES))
        .layer(RequestDecompressionLayer::new())
        .layer(RequestBodyLimitLayer::new(MOST_BYTES))
        .layer(CompressionLayer::new())
        .with_state(Front { events, wait_most })
}

fn wants_cbor(headers: &HeaderMap) -> bool {
    let accept = headers.get(header::ACCEPT).and_then(|value| value.to_str().ok()).unwrap_or_default();
    accept.split(',').any(|one| one.split(';').next().is_some_and(|one| one.trim() == CBOR))
}

fn write<T: Serialize>(headers: &HeaderMap, status: StatusCode, value: &T) -> Response {
    let (kind, body) = if wants_cbor(headers) {
        let mut body = Vec::new();
        (CBOR, ciborium::into_writer(value, &mut body).map(|()| body).map_err(|error| error.to_string()))
    } else {
        (JSON, serde_json::to_vec(value).map_err(|error| error.to_string()))
    };
    match body {
        Ok(body) => (status, [(header::CONTENT_TYPE, kind)], body).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error).into_response(),
    }
}

fn refuse(headers: &HeaderMap, refusal: &Refusal) -> Response {
    let mut go_to = None;
    let (status, error, again) = match refusal {
        Refusal::Moved(to) => {
            go_to = Some(to.clone().unwrap_or_default());
            (StatusCode::MISDIRECTED_REQUEST, "this proxy is to go to another governor".into(), None)
        }
        Refusal::Unclear(why) => (StatusCode::BAD_REQUEST, why.clone(), None),
        Refusal::Conflict(why) => (StatusCode::CONFLICT, why.clone(), None),
        Refusal::NoSession => (StatusCode::GONE, "no such session here: join again".into(), None),
        Refusal::Full(why) => (StatusCode::SERVICE_UNAVAILABLE, why.clone(), Some("10")),
        Refusal::Stopping => {
            let why = "the governor stops: keep your tables and come back";
            (StatusCode::SERVICE_UNAVAILABLE, why.into(), Some("2"))
        }
    };
    let mut response = write(headers, status, &Trouble { error, go_to });
    if let Some(again) = again {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(again));
    }
    response
}

fn read<T: DeserializeOwned>(headers: &HeaderMap, body: &Bytes) -> Result<T, Refusal> {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or(JSON);
    let unclear = |error: String| Refusal::Unclear(format!("the body: {error}"));
    match kind.split(';').next().map(str::trim) {
        Some(CBOR) => ciborium::from_reader(body.as_ref()).map_err(|error| unclear(error.to_string())),
        Some(JSON) => serde_json::from_slice(body).map_err(|error| unclear(error.to_string())),
        _ => Err(unclear(format!("content type `{kind}`; it takes {JSON} or {CBOR}"))),
    }
}

impl Front {
    async fn ask<T>(&self, event: impl FnOnce(Reply<T>) -> Event) -> Result<T, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.events.send(event(reply)).await.map_err(|_| Refusal::Stopping)?;
        answer.await.map_err(|_| Refusal::Stopping)?
    }
}

/// Join: say who you are, and learn the terms.
#[utoipa::path(post, path = "/v1/proxies/{proxy}", request_body = JoinAsked,
    params(("proxy" = String, Path, description = "the proxy's name, its own")),
    responses((status = 200, body = JoinTold), (status = 400, body = Trouble), (status = 409, body = Trouble),
        (status = 503, body = Trouble)))]
async fn join(
    State(front): State<Front>,
    Path(proxy): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let asked = match read::<JoinAsked>(&headers, &body) {
        Ok(asked) => asked,
        Err(refusal) => return refuse(&headers, &refusal),
    };
    match front.ask(|reply| Event::Join { proxy, asked, reply }).await {
        Ok(told) => write(&headers, StatusCode::OK, &told),
        Err(refusal) => refuse(&headers, &refusal),
    }
}

/// Leave: the session is over.
#[utoipa::path(delete, path = "/v1/proxies/{proxy}", params(("proxy" = String, Path), Of),
    responses((status = 204), (status = 410, body = Trouble)))]
async fn leave(
    State(front): State<Front>,
    Path(_proxy): Path<String>,
    Query(of): Query<Of>,
    headers: HeaderMap,
) -> Response {
    match front.ask(|reply| Event::Leave { session: of.session, reply }).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(refusal) => refuse(&headers, &refusal),
    }
}

/// What differs from the version held; the question itself acknowledges that version.
#[utoipa::path(get, path = "/v1/proxies/{proxy}/tables", params(("proxy" = String, Path), Question),
    responses((status = 200, body = TablesTold), (status = 304, description = "nothing differs"),
        (status = 400, body = Trouble), (status = 409, body = Trouble), (status = 410, body = Trouble),
        (status = 421, body = Trouble, description = "go to another governor")))]
async fn tables(
    State(front): State<Front>,
    Path(_proxy): Path<String>,
    Query(question): Query<Question>,
    headers: HeaderMap,
) -> Response {
    let tag = headers.get(header::IF_NONE_MATCH).and_then(|tag| tag.to_str().ok());
    let tag = tag.and_then(|tag| tag.trim_matches('"').split_once('-'));
    let held = question
        .version
        .zip(question.digest)
        .or_else(|| tag.map(|(version, digest)| (version.to_string(), digest.to_string())));
    let wait = Duration::try_from_secs_f64(question.wait.unwrap_or(0.0)).unwrap_or_default();
    let (session, wait) = (question.session, wait.min(front.wait_most));
    match front.ask(|reply| Event::Poll { session, held, wait, reply }).await {
        Ok(Answer::Tables(told)) => {
            let tag = HeaderValue::from_str(&format!("\"{}-{}\"", told.version, told.digest));
            let mut response = write(&headers, StatusCode::OK, &told);
            if let Ok(tag) = tag {
                response.headers_mut().insert(header::ETAG, tag);
            }
            response
        }
        Ok(Answer::Unchanged) => StatusCode::NOT_MODIFIED.into_response(),
        Err(refusal) => refuse(&headers, &refusal),
    }
}

/// A load report; one number counts once.
#[utoipa::path(post, path = "/v1/proxies/{proxy}/reports/{number}", request_body = ReportAsked,
    params(("proxy" = String, Path), ("number" = u64, Path), Of),
    responses((status = 200, body = ReportTold), (status = 400, body = Trouble),
        (status = 410, body = Trouble)))]
async fn report(
    State(front): State<Front>,
    Path((_proxy, number)): Path<(String, u64)>,
    Query(of): Query<Of>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let report = match read::<ReportAsked>(&headers, &body) {
        Ok(report) => report,
        Err(refusal) => return refuse(&headers, &refusal),
    };
    match front.ask(|reply| Event::Report { session: of.session, number, report, reply }).await {
        Ok(told) => write(&headers, StatusCode::OK, &told),
        Err(refusal) => refuse(&headers, &refusal),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use axum::body::Body;
    use axum::http::Request;
    use std::collections::BTreeMap;
    use tower::ServiceExt;

    /// A router whose owner answers everything plainly.
    fn served() -> Router {
        let (events, mut heard) = mpsc::channel(8);
        tokio::spawn(async move {
            while let Some(event) = heard.recv().await {
                match event {
                    Event::Join { reply, .. } => {
                        let terms = Terms {
                            epoch: "a".into(),
                            governor: String::new(),
                            zones: vec![],
                            groups: vec![],
                            report_every_s: "1".into(),
                            load: vec![],
                            wait_most_s: 30,
                        };
                        drop(reply.send(Ok(JoinTold { session: 7, terms })));
                    }
                    Event::Poll { held: None, reply, .. } => {
                        let told = TablesTold {
                            version: "a.1".into(),
                            digest: "00".into(),
                            base: None,
                            claim: None,
                            groups: BTreeMap::new(),
                        };
                        drop(reply.send(Ok(Answer::Tables(told))));
                    }
                    Event::Poll { session: 9, reply, .. } => drop(reply.send(Err(Refusal::NoSession))),
                    Event::Poll { reply, .. } => drop(reply.send(Ok(Answer::Unchanged))),
                    Event::Report { reply, .. } => {
                        drop(reply.send(Ok(ReportTold { counted: true, why: None })))
                    }
                    Event::Leave { reply, .. } => drop(reply.send(Err(Refusal::Full("full".into())))),
                }
            }
        });
        router(events, Duration::from_secs(30))
    }

    async fn call(method: &str, uri: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Response {
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        served().oneshot(request.body(Body::from(body)).unwrap()).await.unwrap()
    }

    async fn bytes(response: Response) -> Bytes {
        axum::body::to_bytes(response.into_body(), MOST_BYTES).await.unwrap()
    }

    #[tokio::test]
    async fn what_the_description_says_is_what_is_served() {
        let described: serde_json::Value =
            serde_json::from_slice(&bytes(call("GET", "/v1/openapi.json", &[], vec![]).await).await).unwrap();
        let (mut seen, report) = (0, br#"{"interval_ms": 1000}"#.to_vec());
        for (path, methods) in described["paths"].as_object().unwrap() {
            let uri = path.replace("{proxy}", "p").replace("{number}", "1") + "?session=1";
            for (method, described) in methods.as_object().unwrap() {
                let body = if path.contains("reports") { report.clone() } else { b"{}".to_vec() };
                let response = call(&method.to_uppercase(), &uri, &[], body).await;
                let status = response.status();
                assert!(status != 404 && status != 405, "{method} {path} is described and not served");
                if status == 200 {
                    let schema =
                        &described["responses"]["200"]["content"]["application/json"]["schema"]["$ref"];
                    let name = schema.as_str().unwrap().rsplit('/').next().unwrap().to_string();
                    let whole: serde_json::Value = serde_json::from_slice(&bytes(response).await).unwrap();
                    let schema =
                        serde_json::to_value(description()).unwrap()["components"]["schemas"][&name].clone();
                    let said: Vec<&String> = whole.as_object().unwrap().keys().collect();
                    let known = schema["properties"].as_object().unwrap();
                    assert!(said.iter().all(|field| known.contains_key(*field)), "{name}: {said:?}");
                    let needed = schema["required"].as_array().into_iter().flatten();
                    assert!(
                        needed.clone().all(|field| whole.get(field.as_str().unwrap()).is_some()),
                        "{name}"
                    );
                }
                seen += 1;
            }
        }
        assert_eq!(seen, 4);
    }

    #[tokio::test]
    async fn forms_tags_and_refusals() {
        let json = call("GET", "/v1/proxies/p/tables?session=1", &[], vec![]).await;
        assert_eq!(json.headers()["etag"], "\"a.1-00\"");
        let unchanged =
            call("GET", "/v1/proxies/p/tables?session=1", &[("if-none-match", "\"a.1-00\"")], vec![]).await;
        assert_eq!(unchanged.status(), 304);
        let cbor = call("GET", "/v1/proxies/p/tables?session=1", &[("accept", CBOR)], vec![]).await;
        assert_eq!(cbor.headers()["content-type"], CBOR);
        let told: TablesTold = ciborium::from_reader(bytes(cbor).await.as_ref()).unwrap();
        assert_eq!(told.version, "a.1");
        let gone = call("GET", "/v1/proxies/p/tables?session=9&version=a.1&digest=00", &[], vec![]).await;
        assert_eq!(gone.status(), 410);
        let full = call("DELETE", "/v1/proxies/p?session=1", &[], vec![]).await;
        assert_eq!(
            (full.status().as_u16(), &full.headers()["retry-after"]),
            (503, &HeaderValue::from_static("10"))
        );
        let unclear = call("POST", "/v1/proxies/p", &[], b"{\"zoen\": 1}".to_vec()).await;
        assert_eq!(unclear.status(), 400);
        assert!(String::from_utf8_lossy(&bytes(unclear).await).contains("zoen"));
        let kind = call("POST", "/v1/proxies/p", &[("content-type", "text/plain")], b"{}".to_vec()).await;
        assert_eq!(kind.status(), 400);
        let large =
            call("POST", "/v1/proxies/p", &[("content-length", "1048577")], vec![b' '; MOST_BYTES + 1]).await;
        assert_eq!(large.status(), 413);
    }
}
