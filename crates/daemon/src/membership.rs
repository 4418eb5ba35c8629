//! The socket to other governors, and what is sent ahead of a proxy that changes hands.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use wrenthread::types::ProxyId;
use wrenthread_core::engine::{Engine, MigratedProxy};
use wrenthread_long_poll::messages::{ReportAsked, TablesTold, Terms};
use wrenthread_membership::messages::MAX_DATAGRAM_BYTES;
use wrenthread_membership::migration::TransferredState;

/// A report older than this says nothing of the present, wherever it was heard.
const FRESH: Duration = Duration::from_secs(5);

/// What is known of a proxy, as it goes ahead of it: the forms of the long-poll front, with ages instead of
/// times, as clocks differ.
#[derive(Debug, Serialize, Deserialize)]
struct Known {
    tables: TablesTold,
    told_ms: u64,
    report: Option<(u64, ReportAsked)>,
}

fn millis(span: Duration) -> u64 {
    span.as_millis().try_into().unwrap_or(u64::MAX)
}

/// What this governor knows of a proxy. Nothing, if it has not told it anything: then it goes without.
pub fn gather(engine: &Engine, terms: &Terms, now: Duration, number: ProxyId) -> Vec<u8> {
    let Some((newest, last)) = engine.migration_state(now, number) else { return Vec::new() };
    let report = last.filter(|(age, _)| *age < FRESH);
    let known = Known {
        tables: terms.whole(newest.version, &newest.digest, &newest.state),
        told_ms: millis(now.saturating_sub(newest.published_at)),
        report: report.map(|(age, report)| (millis(age), terms.report_again(report))),
    };
    let mut bytes = Vec::new();
    match ciborium::into_writer(&known, &mut bytes) {
        Ok(()) => bytes,
        Err(_) => Vec::new(),
    }
}

/// What another governor knew, for the engine.
///
/// Errors: why it can't be understood, as when that governor's settings are others.
pub fn read(terms: &Terms, now: Duration, ahead: TransferredState) -> Result<MigratedProxy, String> {
    let known: Known = ciborium::from_reader(ahead.bytes.as_slice()).map_err(|error| error.to_string())?;
    let tables = terms.read(&known.tables).map_err(|error| error.to_string())?;
    let whole = tables.map_err(|_| "a delta went ahead of a proxy, not the whole".to_string())?;
    let report = match &known.report {
        Some((age, report)) if Duration::from_millis(*age) + ahead.held_for < FRESH => {
            Some(terms.report(report).map_err(|error| error.to_string())?)
        }
        _ => None,
    };
    let told_at = now.saturating_sub(Duration::from_millis(known.told_ms).saturating_add(ahead.held_for));
    Ok(MigratedProxy { from: ahead.from.into(), state: whole, published_at: told_at, report })
}

/// Carries datagrams to the one task that owns all state. What comes faster than it takes them is lost, as
/// datagrams may be.
pub async fn listen(socket: Rc<UdpSocket>, heard: mpsc::Sender<Vec<u8>>) {
    let mut room = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut room).await {
            Ok((length, _)) => drop(heard.try_send(room[..length].to_vec())),
            // An earlier datagram found nobody: that is not this one's fault.
            Err(error) => tracing::debug!(%error, "the socket to other governors"),
        }
    }
}

/// Says something to another governor. What the socket has no room for is lost.
pub fn say(socket: Option<&Rc<UdpSocket>>, at: SocketAddr, datagram: &[u8]) {
    if let Some(socket) = socket
        && let Err(error) = socket.try_send_to(datagram, at)
    {
        tracing::debug!(%error, %at, "a word to another governor is lost");
    }
}
