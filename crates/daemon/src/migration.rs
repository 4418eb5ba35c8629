//! The state of a proxy that a governor sends to another one when the proxy migrates there: its newest tables and its
//! last load report.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wrenthread::types::ProxyId;
use wrenthread_core::engine::{Engine, MigratedProxy};
use wrenthread_core::table_versions::PublishedState;
use wrenthread_long_poll::conversion::{DecodedTables, InvalidMessageError};
use wrenthread_long_poll::messages::{ReportRequest, SessionParameters, TablesResponse};
use wrenthread_membership::migration::TransferredState;

/// Load reports older than this are outdated: they are neither sent nor used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The encoded state of a proxy: messages of the long-poll front, with ages instead of times because the governors'
/// clocks differ.
#[derive(Debug, Serialize, Deserialize)]
struct ProxyState {
    tables: TablesResponse,
    #[serde(rename = "told_ms")]
    age_millis: u64,
    /// The last load report with its age in milliseconds.
    report: Option<(u64, ReportRequest)>,
}

/// Why the state sent by another governor can't be used, for example because its settings differ.
#[derive(Debug, thiserror::Error)]
pub enum MigrationError {
    #[error(transparent)]
    Encoding(#[from] ciborium::de::Error<std::io::Error>),
    #[error(transparent)]
    Message(#[from] InvalidMessageError),
    #[error("the transferred tables are a delta instead of the complete state")]
    DeltaOnly,
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis().try_into().unwrap_or(u64::MAX)
}

/// Encodes the state of a proxy. Empty if nothing has been published to it: then it migrates without state.
pub fn encode(engine: &Engine, parameters: &SessionParameters, now: Duration, proxy: ProxyId) -> Vec<u8> {
    let Some((newest, last_report)) = engine.migration_state(now, proxy) else { return Vec::new() };
    let report = last_report.filter(|(age, _)| *age < MAX_REPORT_AGE);
    let state = ProxyState {
        tables: parameters.encode_complete(newest.version, &newest.digest, &newest.state),
        age_millis: millis(now.saturating_sub(newest.published_at)),
        report: report.map(|(age, report)| (millis(age), parameters.encode_report(report))),
    };
    let mut bytes = Vec::new();
    match ciborium::into_writer(&state, &mut bytes) {
        Ok(()) => bytes,
        Err(_) => Vec::new(),
    }
}

/// Decodes the state of a proxy that another governor sent.
///
/// # Errors
/// The state can't be decoded, or is not complete.
pub fn decode(
    parameters: &SessionParameters,
    now: Duration,
    transferred: TransferredState,
) -> Result<MigratedProxy, MigrationError> {
    let state: ProxyState = ciborium::from_reader(transferred.bytes.as_slice())?;
    let report = match &state.report {
        Some((age, report)) if Duration::from_millis(*age) + transferred.age < MAX_REPORT_AGE => {
            Some(parameters.decode_report(report)?)
        }
        _ => None,
    };
    let age = Duration::from_millis(state.age_millis).saturating_add(transferred.age);
    Ok(MigratedProxy {
        from: transferred.from.into(),
        state: complete_state(parameters, &state.tables)?,
        published_at: now.saturating_sub(age),
        report,
    })
}

fn complete_state(
    parameters: &SessionParameters,
    tables: &TablesResponse,
) -> Result<PublishedState, MigrationError> {
    match parameters.decode_tables(tables)? {
        DecodedTables::Complete(state) => Ok(state),
        DecodedTables::Delta(_) => Err(MigrationError::DeltaOnly),
    }
}
