use super::*;
use axum::body::Body;
use axum::http;
use std::collections::BTreeMap;
use tower::ServiceExt;

/// A router whose requests are answered with fixed responses, without any state.
fn router_with_fixed_responses() -> Router {
    let (requests, mut received) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Some(request) = received.recv().await {
            match request {
                Request::Join { reply, .. } => {
                    let parameters = SessionParameters {
                        epoch: "a".into(),
                        governor: String::new(),
                        zones: vec![],
                        classes: vec![],
                        report_interval_seconds: "1".into(),
                        load_metrics: vec![],
                        max_wait_seconds: 30,
                    };
                    drop(reply.send(Ok(JoinResponse { session: 7, parameters })));
                }
                Request::Poll { held: None, reply, .. } => {
                    let tables = TablesResponse {
                        version: "a.1".into(),
                        digest: "00".into(),
                        base: None,
                        ownership_proof: None,
                        classes: BTreeMap::new(),
                    };
                    drop(reply.send(Ok(PollResponse::Tables(tables))));
                }
                Request::Poll { session: 9, reply, .. } => {
                    drop(reply.send(Err(RequestError::UnknownSession)));
                }
                Request::Poll { reply, .. } => drop(reply.send(Ok(PollResponse::Unchanged))),
                Request::Report { reply, .. } => {
                    drop(reply.send(Ok(ReportResponse { counted: true, reason: None })));
                }
                Request::Leave { reply, .. } => drop(reply.send(Err(RequestError::Full("full".into())))),
            }
        }
    });
    router(requests, Duration::from_secs(30))
}

async fn call(method: &str, uri: &str, headers: &[(&str, &str)], body: Vec<u8>) -> Response {
    let mut request = http::Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    router_with_fixed_responses().oneshot(request.body(Body::from(body)).unwrap()).await.unwrap()
}

async fn bytes(response: Response) -> Bytes {
    axum::body::to_bytes(response.into_body(), MAX_BODY_BYTES).await.unwrap()
}

#[tokio::test]
async fn the_openapi_document_describes_what_is_served() {
    let described: serde_json::Value =
        serde_json::from_slice(&bytes(call("GET", "/v1/openapi.json", &[], vec![]).await).await).unwrap();
    let (mut operations, report) = (0, br#"{"interval_ms": 1000}"#.to_vec());
    for (path, methods) in described["paths"].as_object().unwrap() {
        let uri = path.replace("{proxy}", "p").replace("{number}", "1") + "?session=1";
        for (method, described) in methods.as_object().unwrap() {
            let body = if path.contains("reports") { report.clone() } else { b"{}".to_vec() };
            let response = call(&method.to_uppercase(), &uri, &[], body).await;
            let status = response.status();
            assert!(status != 404 && status != 405, "{method} {path} is described but not served");
            if status == 200 {
                let schema = &described["responses"]["200"]["content"]["application/json"]["schema"]["$ref"];
                let name = schema.as_str().unwrap().rsplit('/').next().unwrap().to_string();
                let message: serde_json::Value = serde_json::from_slice(&bytes(response).await).unwrap();
                let schema =
                    serde_json::to_value(openapi_document()).unwrap()["components"]["schemas"][&name].clone();
                let fields: Vec<&String> = message.as_object().unwrap().keys().collect();
                let properties = schema["properties"].as_object().unwrap();
                assert!(fields.iter().all(|field| properties.contains_key(*field)), "{name}: {fields:?}");
                let required = schema["required"].as_array().into_iter().flatten();
                assert!(
                    required.clone().all(|field| message.get(field.as_str().unwrap()).is_some()),
                    "{name}"
                );
            }
            operations += 1;
        }
    }
    assert_eq!(operations, 4);
}

#[tokio::test]
async fn serves_content_types_entity_tags_and_errors() {
    let json = call("GET", "/v1/proxies/p/tables?session=1", &[], vec![]).await;
    assert_eq!(json.headers()["etag"], "\"a.1-00\"");
    let unchanged =
        call("GET", "/v1/proxies/p/tables?session=1", &[("if-none-match", "\"a.1-00\"")], vec![]).await;
    assert_eq!(unchanged.status(), 304);
    let cbor = call("GET", "/v1/proxies/p/tables?session=1", &[("accept", CBOR)], vec![]).await;
    assert_eq!(cbor.headers()["content-type"], CBOR);
    let tables: TablesResponse = ciborium::from_reader(bytes(cbor).await.as_ref()).unwrap();
    assert_eq!(tables.version, "a.1");
    let unknown_session =
        call("GET", "/v1/proxies/p/tables?session=9&version=a.1&digest=00", &[], vec![]).await;
    assert_eq!(unknown_session.status(), 410);
    let full = call("DELETE", "/v1/proxies/p?session=1", &[], vec![]).await;
    assert_eq!(
        (full.status().as_u16(), &full.headers()["retry-after"]),
        (503, &HeaderValue::from_static("10"))
    );
    let unknown_field = call("POST", "/v1/proxies/p", &[], b"{\"zoen\": 1}".to_vec()).await;
    assert_eq!(unknown_field.status(), 400);
    assert!(String::from_utf8_lossy(&bytes(unknown_field).await).contains("zoen"));
    let unsupported = call("POST", "/v1/proxies/p", &[("content-type", "text/plain")], b"{}".to_vec()).await;
    assert_eq!(unsupported.status(), 400);
    let large =
        call("POST", "/v1/proxies/p", &[("content-length", "1048577")], vec![b' '; MAX_BODY_BYTES + 1]).await;
    assert_eq!(large.status(), 413);
}
