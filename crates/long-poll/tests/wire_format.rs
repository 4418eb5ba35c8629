//! Golden files: messages keep their wire format byte for byte, whatever the Rust types are called.
//!
//! They fix the responses, the fields of the requests, and the OpenAPI document except for its descriptions and
//! summaries, as of commit b735929. `tables_delta_default.json` was written by hand from the fields of that commit's
//! types.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use serde::Serialize;
use serde::de::DeserializeOwned;
use wrenthread_long_poll::messages::{
    ErrorResponse, JoinRequest, JoinResponse, ReportRequest, ReportResponse, TablesResponse,
};
use wrenthread_long_poll::service::openapi_document;

/// Reads a golden message and writes it again; the result must be the same bytes, also after a round trip as CBOR.
fn reads_and_writes<T: DeserializeOwned + Serialize>(golden: &str) -> T {
    let message: T = serde_json::from_str(golden).expect("the message can be read");
    let written = serde_json::to_string(&message).expect("the message can be written");
    assert_eq!(written, golden);
    let mut cbor = Vec::new();
    ciborium::into_writer(&message, &mut cbor).expect("the message can be written as CBOR");
    let read: T = ciborium::from_reader(cbor.as_slice()).expect("the message can be read as CBOR");
    assert_eq!(serde_json::to_string(&read).unwrap(), golden);
    message
}

#[test]
fn join_messages_keep_their_wire_format() {
    reads_and_writes::<JoinRequest>(include_str!("golden/join_request.json"));
    reads_and_writes::<JoinResponse>(include_str!("golden/join_response.json"));
}

#[test]
fn a_join_request_may_leave_out_its_optional_fields() {
    let request: JoinRequest = serde_json::from_str("{}").unwrap();
    assert_eq!(
        serde_json::to_string(&request).unwrap(),
        r#"{"zone":"","usual":null,"standing":[],"holds_orders":false,"claim":null}"#
    );
    assert!(serde_json::from_str::<JoinRequest>(r#"{"zoen":"north"}"#).is_err());
}

#[test]
fn tables_keep_their_wire_format() {
    reads_and_writes::<TablesResponse>(include_str!("golden/tables_complete.json"));
    reads_and_writes::<TablesResponse>(include_str!("golden/tables_delta.json"));
    reads_and_writes::<TablesResponse>(include_str!("golden/tables_delta_default.json"));
}

#[test]
fn load_reports_keep_their_wire_format() {
    reads_and_writes::<ReportRequest>(include_str!("golden/report_request.json"));
    reads_and_writes::<ReportResponse>(include_str!("golden/report_response_counted.json"));
    reads_and_writes::<ReportResponse>(include_str!("golden/report_response_not_counted.json"));
}

#[test]
fn a_load_report_may_leave_out_its_optional_fields() {
    let report: ReportRequest = serde_json::from_str(r#"{"interval_ms":1.0,"met":[{}]}"#).unwrap();
    let met = r#"{"group":"","replica":"","issued":0,"delivered":0,"dropped":0,"answer_ms":0.0,"load":[]}"#;
    assert_eq!(
        serde_json::to_string(&report).unwrap(),
        format!(r#"{{"interval_ms":1.0,"met":[{met}],"blocked":{{}}}}"#)
    );
}

#[test]
fn errors_keep_their_wire_format() {
    reads_and_writes::<ErrorResponse>(include_str!("golden/error.json"));
    reads_and_writes::<ErrorResponse>(include_str!("golden/error_moved.json"));
}

#[test]
fn the_openapi_document_matches_the_golden_file() {
    let document = serde_json::to_string(&openapi_document()).unwrap();
    assert_eq!(document, include_str!("golden/openapi.json"));
}
