//! Tests of the engine, by topic, and their shared helpers.

mod connecting;
mod faulty_module;
mod inspection;
mod migration;
mod overrides;
mod publishing;
mod recovery;
mod rollback;
mod scheduling;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wrenthread::types::{Decision, Phase, ProxyId, ReplicaId, RetryPolicy};

use super::*;
use crate::fleet::{JoinError, JoinRequest};
use crate::frozen_tables::{OmissionReason, ReleaseReason};
use crate::guard::RefusalReason;
use crate::overrides::{OverrideError, OverrideKind};
use crate::recording::{CandidateError, CandidateTable, Recording};
use crate::reports::{DiscardReason, LoadReport, ReplicaObservation};
use crate::roster::RosterEntry;
use crate::snapshot::{self, StoredItem, StoredItems};
use crate::table_versions::{PublishedState, PublishedTable};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn entry(id: &str, phase: Phase) -> RosterEntry {
    RosterEntry {
        id: id.into(),
        address: format!("{id}:1").into(),
        zone: 0,
        weight: 1.0,
        phase,
        started_at: None,
        backup: false,
    }
}

fn ready(names: &[&str]) -> Vec<RosterEntry> {
    names.iter().map(|name| entry(name, Phase::Ready)).collect()
}

fn join(name: &str, default_table: &[&str]) -> JoinRequest {
    let default_entries = default_table.iter().map(|id| ((*id).into(), 1.0)).collect();
    JoinRequest {
        name: name.into(),
        zone: 0,
        requests_per_second: 5.0,
        default_table: default_entries,
        holds_governor_tables: false,
        ownership_proof: None,
        proven_version: None,
    }
}

fn engine(names: &[&str]) -> Engine {
    let mut engine = Engine::new(EngineSettings::example(2), ms(0));
    engine.update_roster(ms(0), ready(names));
    engine
}

/// Acts as a host whose proxies accept everything at once. Returns the proxies that were flushed, and the
/// events.
fn run(engine: &mut Engine, now: Duration) -> (Vec<ProxyId>, Vec<EngineEvent>) {
    let (mut flushed, mut events) = (Vec::new(), Vec::new());
    while let Some(action) = engine.next_action(now) {
        match action {
            Action::Flush(id) => {
                flushed.push(id);
                engine.tables_sent(now, id, 3, 1);
            }
            Action::Report(event) => events.push(event),
            Action::CloseStream(_) | Action::CheckHealth(_) => {}
        }
    }
    (flushed, events)
}

fn routable_replicas(engine: &Engine, id: ProxyId) -> Vec<String> {
    let table = &engine.proxy(id).unwrap().tables[0];
    let routable_entries =
        table.iter().flat_map(|versioned| &versioned.table.entries).filter(|entry| entry.routable);
    routable_entries.map(|entry| entry.replica.to_string()).collect()
}
