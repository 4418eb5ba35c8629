//! Following a governor by long polls over HTTP, and reporting to it.

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

/// How long the governor may keep a poll waiting. Plain HTTP has no sign of life besides its answers: a governor that
/// stands still is found after this and [`ANSWER_TIMEOUT`].
const POLL_WAIT: Duration = Duration::from_secs(4);
/// How long an answer may take, beside the time that a poll waits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A session with a governor.
#[derive(Debug, Clone)]
pub struct Session {
    client: Client,
    base: String,
    session: u64,
    /// What the governor stated when it was joined.
    pub parameters: SessionParameters,
}

fn reach(base: &str) -> impl Fn(reqwest::Error) -> Error + '_ {
    move |error| Error::Reach(base.to_string(), error.to_string())
}

async fn answered(base: &str, request: RequestBuilder) -> Result<(StatusCode, Vec<u8>), Error> {
    let response = request.header("accept", CBOR).send().await.map_err(reach(base))?;
    let status = response.status();
    let body = response.bytes().await.map_err(reach(base))?;
    match status.is_success() || status == StatusCode::NOT_MODIFIED {
        true => Ok((status, body.to_vec())),
        false => {
            let said: Result<ErrorResponse, Error> = read(&body);
            if let Ok(ErrorResponse { redirect_to: Some(to), .. }) = &said {
                return Err(Error::Moved((!to.is_empty()).then(|| to.clone())));
            }
            Err(Error::Refused(
                said.map_or_else(|_| status.to_string(), |said| format!("{status}: {}", said.error)),
            ))
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(body).map_err(|error| Error::Unclear(error.to_string()))
}

fn written<T: serde::Serialize>(request: RequestBuilder, value: &T) -> Result<RequestBuilder, Error> {
    let mut body = Vec::new();
    ciborium::into_writer(value, &mut body).map_err(|error| Error::Unclear(error.to_string()))?;
    Ok(request.header("content-type", CBOR).body(body))
}

impl Session {
    /// Joins at `http://host:port`.
    ///
    /// # Errors
    /// The governor can't be reached, or rejects the proxy.
    pub async fn join(
        at: &str,
        who: &ProxyIdentity,
        cache: &Rc<RefCell<TableCache>>,
    ) -> Result<Session, Error> {
        let client = Client::builder().connect_timeout(CONNECT_TIMEOUT).build();
        let client = client.map_err(reach(at))?;
        let base = format!("{at}/v1/proxies/{}", who.name);
        let asked = {
            let cache = cache.borrow();
            let line = |line: &crate::table_cache::DefaultEntry| DefaultTableEntry {
                replica: line.replica.clone(),
                weight: line.weight,
            };
            JoinRequest {
                zone: who.zone.clone(),
                requests_per_second: Some(who.requests_per_second),
                default_table: cache.default_table().iter().map(line).collect(),
                holds_tables: cache.holds_governor_tables(),
                ownership_proof: cache.ownership_proof().map(str::to_string),
            }
        };
        let request = written(client.post(&base).timeout(ANSWER_TIMEOUT), &asked)?;
        let told: JoinResponse = read(&answered(&base, request).await?.1)?;
        cache.borrow_mut().follow_governor(&told.parameters.governor);
        Ok(Session { client, base, session: told.session, parameters: told.parameters })
    }

    /// Polls once, and applies what comes.
    ///
    /// # Errors
    /// The session is over, or the response does not decode; join again.
    pub async fn ask(&self, cache: &Rc<RefCell<TableCache>>, watch: &impl Observer) -> Result<(), Error> {
        let mut url = format!("{}/tables?session={}&wait={}", self.base, self.session, POLL_WAIT.as_secs());
        if let Some((version, digest)) = cache.borrow().held_version() {
            url += &format!("&version={version}&digest={}", hex(digest));
        }
        let request = self.client.get(url).timeout(POLL_WAIT + ANSWER_TIMEOUT);
        let (status, body) = answered(&self.base, request).await?;
        if status == StatusCode::NOT_MODIFIED {
            return Ok(());
        }
        let told: TablesResponse = read(&body)?;
        let of = told.version.split_once('.');
        let life = of.and_then(|(epoch, at)| Some((u64::from_str_radix(epoch, 16).ok()?, at.parse().ok()?)));
        let (epoch, at) = life.ok_or_else(|| Error::Unclear(format!("version `{}`", told.version)))?;
        cache.borrow_mut().accept(&self.parameters.governor, epoch, at, told.ownership_proof.as_deref())?;
        let understood =
            self.parameters.decode_tables(&told).map_err(|error| Error::Unclear(error.to_string()))?;
        let lines: usize =
            told.classes.values().map(|class| 1 + class.entries.len() + class.removed.len()).sum();
        let taken = match understood {
            DecodedTables::Complete(whole) => {
                cache.borrow_mut().set_state(told.version.clone(), whole);
                true
            }
            DecodedTables::Delta(delta) => {
                cache.borrow_mut().apply_delta(told.version.clone(), &delta).is_ok()
            }
        };
        let tables = if taken { cache.borrow().updated_tables() } else { UpdatedTables::new() };
        watch.update_received(&told.version, lines, &tables);
        watch.update_answered(&told.version, taken);
        Ok(())
    }

    /// Sends a report; repeat it under the same number if the answer is lost. False if it was counted already.
    ///
    /// # Errors
    /// As [`Session::ask`].
    pub async fn report(&self, number: u64, report: &ReportRequest) -> Result<bool, Error> {
        let url = format!("{}/reports/{number}?session={}", self.base, self.session);
        let request = written(self.client.post(url).timeout(ANSWER_TIMEOUT), report)?;
        let told: ReportResponse = read(&answered(&self.base, request).await?.1)?;
        Ok(told.counted)
    }
}

/// Follows one session until it ends. The tables stay as they are then.
///
/// # Errors
/// Why it ended.
pub async fn follow(
    session: &Session,
    cache: &Rc<RefCell<TableCache>>,
    watch: &impl Observer,
) -> Result<(), Error> {
    loop {
        session.ask(cache, watch).await?;
    }
}

/// A report as a long-poll message. Replicas are named as the tables named them; an address that is forgotten is left
/// out.
pub fn report(cache: &TableCache, interval: Duration, stats: &ReportCounters) -> ReportRequest {
    let groups = cache.classes();
    let met = stats.replicas.iter().filter_map(|((group, at), met)| {
        let delivered = met.succeeded.max(1) as f64;
        Some(ReplicaStatistics {
            class: groups.get(*group)?.clone(),
            replica: cache.replica_at(at)?,
            issued: met.attempts,
            succeeded: met.succeeded,
            failed: met.failed,
            total_latency_millis: met.latency_sum.as_secs_f64() * 1000.0,
            load: met.load.iter().map(|sum| sum / delivered).collect(),
        })
    });
    let blocked = groups.iter().zip(&stats.rejected).map(|(group, flows)| (group.clone(), *flows));
    ReportRequest {
        interval_millis: interval.as_secs_f64() * 1000.0,
        replicas: met.collect(),
        rejected: blocked.collect(),
    }
}
