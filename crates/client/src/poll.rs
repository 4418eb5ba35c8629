//! Follows a governor by long polls over HTTP, and reports load to it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, StatusCode};
use wrenthread_core::table_versions::hex;
use wrenthread_long_poll::conversion::DecodedTables;
use wrenthread_long_poll::messages::{
    DefaultTableEntry, ErrorResponse, JoinRequest, JoinResponse, ReplicaStatistics, ReportRequest,
    ReportResponse, SessionParameters, TablesResponse,
};
use wrenthread_long_poll::service::CBOR;

use crate::table_cache::{ReportCounters, TableCache};
use crate::{Error, Observer, ProxyIdentity, UpdatedTables};

/// How long the governor may delay the response to a poll. Plain HTTP has no keepalive besides responses, so a governor
/// that hangs is detected after this time plus [`ANSWER_TIMEOUT`].
const POLL_WAIT: Duration = Duration::from_secs(4);
/// Timeout of a response, in addition to the delay of a poll.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A session with a governor.
#[derive(Debug, Clone)]
pub struct Session {
    client: Client,
    base: String,
    session: u64,
    /// The parameters that the governor stated in its response to the join.
    pub parameters: SessionParameters,
}

fn unreachable(base: &str) -> impl Fn(reqwest::Error) -> Error + '_ {
    move |error| Error::Unreachable(base.to_string(), error.to_string())
}

async fn send(base: &str, request: RequestBuilder) -> Result<(StatusCode, Vec<u8>), Error> {
    let response = request.header("accept", CBOR).send().await.map_err(unreachable(base))?;
    let status = response.status();
    let body = response.bytes().await.map_err(unreachable(base))?;
    match status.is_success() || status == StatusCode::NOT_MODIFIED {
        true => Ok((status, body.to_vec())),
        false => {
            let error: Result<ErrorResponse, Error> = decode(&body);
            if let Ok(ErrorResponse { redirect_to: Some(to), .. }) = &error {
                return Err(Error::Redirected((!to.is_empty()).then(|| to.clone())));
            }
            Err(Error::Rejected(
                error.map_or_else(|_| status.to_string(), |error| format!("{status}: {}", error.error)),
            ))
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(body).map_err(|error| Error::Decode(error.to_string()))
}

fn with_cbor_body<T: serde::Serialize>(request: RequestBuilder, value: &T) -> Result<RequestBuilder, Error> {
    let mut body = Vec::new();
    ciborium::into_writer(value, &mut body).map_err(|error| Error::Decode(error.to_string()))?;
    Ok(request.header("content-type", CBOR).body(body))
}

impl Session {
    /// Joins at `http://host:port`.
    ///
    /// # Errors
    /// The governor can't be reached, or rejects the proxy.
    pub async fn join(
        base_url: &str,
        identity: &ProxyIdentity,
        cache: &Rc<RefCell<TableCache>>,
    ) -> Result<Session, Error> {
        let client = Client::builder().connect_timeout(CONNECT_TIMEOUT).build();
        let client = client.map_err(unreachable(base_url))?;
        let base = format!("{base_url}/v1/proxies/{}", identity.name);
        let join_request = {
            let cache = cache.borrow();
            let entry = |entry: &crate::table_cache::DefaultEntry| DefaultTableEntry {
                replica: entry.replica.clone(),
                weight: entry.weight,
            };
            JoinRequest {
                zone: identity.zone.clone(),
                requests_per_second: Some(identity.requests_per_second),
                default_table: cache.default_table().iter().map(entry).collect(),
                holds_tables: cache.holds_governor_tables(),
                ownership_proof: cache.ownership_proof().map(str::to_string),
            }
        };
        let request = with_cbor_body(client.post(&base).timeout(ANSWER_TIMEOUT), &join_request)?;
        let response: JoinResponse = decode(&send(&base, request).await?.1)?;
        cache.borrow_mut().follow_governor(&response.parameters.governor);
        Ok(Session { client, base, session: response.session, parameters: response.parameters })
    }

    /// Polls once, and applies the response.
    ///
    /// # Errors
    /// The session ended, or the response is invalid; join again.
    pub async fn poll(&self, cache: &Rc<RefCell<TableCache>>, observer: &impl Observer) -> Result<(), Error> {
        let mut url = format!("{}/tables?session={}&wait={}", self.base, self.session, POLL_WAIT.as_secs());
        if let Some((version, digest)) = cache.borrow().held_version() {
            url += &format!("&version={version}&digest={}", hex(digest));
        }
        let request = self.client.get(url).timeout(POLL_WAIT + ANSWER_TIMEOUT);
        let (status, body) = send(&self.base, request).await?;
        if status == StatusCode::NOT_MODIFIED {
            return Ok(());
        }
        let response: TablesResponse = decode(&body)?;
        let parts = response.version.split_once('.');
        let epoch_and_version = parts
            .and_then(|(epoch, version)| Some((u64::from_str_radix(epoch, 16).ok()?, version.parse().ok()?)));
        let (epoch, version) =
            epoch_and_version.ok_or_else(|| Error::Decode(format!("version `{}`", response.version)))?;
        cache.borrow_mut().accept(
            &self.parameters.governor,
            epoch,
            version,
            response.ownership_proof.as_deref(),
        )?;
        let decoded =
            self.parameters.decode_tables(&response).map_err(|error| Error::Decode(error.to_string()))?;
        let entry_count: usize =
            response.classes.values().map(|class| 1 + class.entries.len() + class.removed.len()).sum();
        let accepted = match decoded {
            DecodedTables::Complete(state) => {
                cache.borrow_mut().set_state(response.version.clone(), state);
                true
            }
            DecodedTables::Delta(delta) => {
                cache.borrow_mut().apply_delta(response.version.clone(), &delta).is_ok()
            }
        };
        let tables = if accepted { cache.borrow().updated_tables() } else { UpdatedTables::new() };
        observer.update_received(&response.version, entry_count, &tables);
        observer.update_answered(&response.version, accepted);
        Ok(())
    }

    /// Sends a report; repeat it with the same number if the response is lost. False if it was counted already.
    ///
    /// # Errors
    /// As [`Session::ask`].
    pub async fn report(&self, number: u64, report: &ReportRequest) -> Result<bool, Error> {
        let url = format!("{}/reports/{number}?session={}", self.base, self.session);
        let request = with_cbor_body(self.client.post(url).timeout(ANSWER_TIMEOUT), report)?;
        let response: ReportResponse = decode(&send(&self.base, request).await?.1)?;
        Ok(response.counted)
    }
}

/// Follows a governor over one session until it ends. The cached tables are kept.
///
/// # Errors
/// Why the session ended.
pub async fn follow(
    session: &Session,
    cache: &Rc<RefCell<TableCache>>,
    observer: &impl Observer,
) -> Result<(), Error> {
    loop {
        session.poll(cache, observer).await?;
    }
}

/// Encodes a report as a long-poll message. Replicas have the names from the tables; addresses without a known replica
/// are omitted.
pub fn report_request(cache: &TableCache, interval: Duration, stats: &ReportCounters) -> ReportRequest {
    let groups = cache.classes();
    let replicas = stats.replicas.iter().filter_map(|((group, address), counters)| {
        let successes = counters.succeeded.max(1) as f64;
        Some(ReplicaStatistics {
            class: groups.get(*group)?.clone(),
            replica: cache.replica_at(address)?,
            issued: counters.attempts,
            succeeded: counters.succeeded,
            failed: counters.failed,
            total_latency_millis: counters.latency_sum.as_secs_f64() * 1000.0,
            load: counters.load.iter().map(|sum| sum / successes).collect(),
        })
    });
    let rejected_requests = groups.iter().zip(&stats.rejected).map(|(group, count)| (group.clone(), *count));
    ReportRequest {
        interval_millis: interval.as_secs_f64() * 1000.0,
        replicas: replicas.collect(),
        rejected: rejected_requests.collect(),
    }
}
