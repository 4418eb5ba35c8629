//! Checks an event log against the platform's rules. It uses only what is visible from outside a governor: messages,
//! signals, exit codes and logs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::Value;

use super::event_log::{
    Entry, Event, GovernorIndex, PeerOutcome, ReplicaStatus, Signal, StreamEnd, StreamNumber,
};
use super::governor::{KNOWN_LIST_AGE, MEMORY_MEGABYTES};
use super::runner::Outcome;
use super::table::ProxyTable;

const READY_WITHIN: Duration = Duration::from_secs(10);
/// Time limits start this long after a governor first answered, at the earliest.
const RULES_BEGIN_AFTER: Duration = Duration::from_secs(1);
/// Time limits for a drain and for a first table, with an allowance for a busy machine.
const DRAIN_WITHIN: Duration = Duration::from_millis(2500);
const TABLE_WITHIN: Duration = Duration::from_millis(3000);
/// Additional time for a governor to catch up after a pause.
const CATCH_UP: Duration = Duration::from_millis(500);
/// A stream's time limits are checked if its governor was ready at most this long after the stream connected.
const END_WITHIN: Duration = Duration::from_millis(500);
/// Up to this many replicas, every table contains all of them; with more, tables contain a subset.
const DEFAULT_TABLE_SIZE: usize = 8;

#[derive(Default)]
struct GovernorState {
    started_at: Duration,
    ready_at: Option<Duration>,
    signals: Vec<(Duration, Signal)>,
    agent_statuses: BTreeMap<String, (ReplicaStatus, Duration)>,
}

struct StreamState {
    proxy: u16,
    governor: GovernorIndex,
    connected_at: Duration,
    holds_default_table: bool,
    has_complete_table: bool,
}

struct Pause {
    governor: GovernorIndex,
    from: Duration,
    until: Duration,
}

/// Replays an event log and collects violations of the rules.
struct Checker {
    pauses: Vec<Pause>,
    governors: BTreeMap<GovernorIndex, GovernorState>,
    streams: BTreeMap<StreamNumber, StreamState>,
    tables: BTreeMap<u16, ProxyTable>,
    default_table: Vec<String>,
    statuses: BTreeMap<String, ReplicaStatus>,
    /// When each replica was first listed.
    listed_at: BTreeMap<String, Duration>,
    violations: BTreeSet<String>,
}

/// The violations of the rules in a scenario's outcome; empty if there are none.
pub fn check(outcome: &Outcome) -> Vec<String> {
    let mut checker = Checker {
        pauses: pauses(&outcome.entries),
        governors: BTreeMap::new(),
        streams: BTreeMap::new(),
        tables: BTreeMap::new(),
        default_table: Vec::new(),
        statuses: BTreeMap::new(),
        listed_at: BTreeMap::new(),
        violations: BTreeSet::new(),
    };
    for entry in &outcome.entries {
        checker.check_limits(entry.at);
        checker.handle_event(entry);
    }
    if let Some(panic) = outcome.governor_logs.lines().find(|line| line.contains("panicked")) {
        checker.violations.insert(format!("a governor panicked: {panic}"));
    }
    checker.violations.into_iter().collect()
}

fn pauses(entries: &[Entry]) -> Vec<Pause> {
    let mut pauses = Vec::new();
    let mut stopped: BTreeMap<GovernorIndex, Duration> = BTreeMap::new();
    for entry in entries {
        let Event::Signalled { governor, signal } = entry.event else { continue };
        match signal {
            Signal::Stop => drop(stopped.insert(governor, entry.at)),
            Signal::Continue => {
                let from = stopped.remove(&governor).unwrap_or(entry.at);
                pauses.push(Pause { governor, from, until: entry.at + CATCH_UP });
            }
            _ => {}
        }
    }
    pauses
}

impl Checker {
    /// The time between two points, without the governor's pauses.
    fn unpaused_time(&self, governor: GovernorIndex, from: Duration, until: Duration) -> Duration {
        let overlap = |pause: &Pause| pause.until.min(until).saturating_sub(pause.from.max(from));
        let pauses = self.pauses.iter().filter(|pause| pause.governor == governor);
        until.saturating_sub(from).saturating_sub(pauses.map(overlap).sum())
    }

    fn add_violation(&mut self, text: String) {
        self.violations.insert(text);
    }

    fn handle_event(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Started { governor } => {
                let state = GovernorState { started_at: at, ..GovernorState::default() };
                self.governors.insert(*governor, state);
            }
            Event::Ready { governor } => self.handle_ready(at, *governor),
            Event::Signalled { governor, signal } => {
                self.governors.entry(*governor).or_default().signals.push((at, *signal));
            }
            Event::Exited { governor, code } => self.handle_exit(at, *governor, *code),
            Event::PeakMemory { governor, bytes } => {
                if *bytes > MEMORY_MEGABYTES << 20 {
                    self.add_violation(format!("governor {governor} used {bytes} bytes of memory"));
                }
            }
            Event::StatusChanged { replica, status } => {
                if self.governors.is_empty() {
                    self.default_table.push(replica.clone());
                }
                self.statuses.insert(replica.clone(), *status);
                self.listed_at.entry(replica.clone()).or_insert(at);
            }
            Event::StatusWritten { governor, replica, status } => {
                let agent_statuses = &mut self.governors.entry(*governor).or_default().agent_statuses;
                let since = agent_statuses
                    .get(replica)
                    .filter(|(_, since)| *since <= at && *status != ReplicaStatus::Up);
                let since =
                    since.filter(|(former, _)| *former != ReplicaStatus::Up).map_or(at, |(_, since)| *since);
                agent_statuses.insert(replica.clone(), (*status, since));
            }
            Event::Connected { stream, proxy, governor, holds_default_table } => {
                let default_table = &self.default_table;
                self.tables.entry(*proxy).or_insert_with(|| ProxyTable::of(default_table));
                let state = StreamState {
                    proxy: *proxy,
                    governor: *governor,
                    connected_at: at,
                    holds_default_table: *holds_default_table,
                    has_complete_table: false,
                };
                self.streams.insert(*stream, state);
            }
            Event::Received { stream, message } => self.handle_message(at, *stream, message),
            Event::Ended { stream, end } => self.handle_end(at, *stream, *end),
            Event::Crowd { governor, outcome } => {
                if *outcome == PeerOutcome::LeftOpen {
                    self.add_violation(format!("governor {governor} left a peer of a crowd open"));
                }
            }
        }
    }

    fn handle_ready(&mut self, at: Duration, governor: GovernorIndex) {
        let state = self.governors.entry(governor).or_default();
        state.ready_at = Some(at);
        let startup_time = at - state.started_at;
        if startup_time > READY_WITHIN {
            self.add_violation(format!("governor {governor} was ready after {startup_time:?}"));
        }
    }

    fn handle_exit(&mut self, at: Duration, governor: GovernorIndex, code: Option<i32>) {
        let signals = &self.governors.entry(governor).or_default().signals;
        let was_sent = |wanted: Signal| signals.iter().any(|(_, signal)| *signal == wanted);
        let violation = match (was_sent(Signal::Terminate), was_sent(Signal::Kill), code) {
            (true, false, Some(0)) | (false, true, None) => return,
            (true, true, _) => "did not exit between SIGTERM and SIGKILL".to_string(),
            (false, false, code) => format!("exited without a signal, with code {code:?}"),
            (.., code) => format!("exited with code {code:?} after signals {signals:?}"),
        };
        self.add_violation(format!("{at:?}: governor {governor} {violation}"));
    }

    fn handle_message(&mut self, at: Duration, number: StreamNumber, message: &Value) {
        let Some(stream) = self.streams.get_mut(&number) else { return };
        let proxy = stream.proxy;
        if message["@type"] == "NACK" {
            self.add_violation(format!("{at:?}: proxy {proxy} was rejected on stream {number}"));
            return;
        }
        stream.has_complete_table |= message["whole"] == true;
        let table = self.tables.entry(proxy).or_default();
        let before: BTreeSet<String> = table.usable().into_iter().cloned().collect();
        table.apply(message);
        if message["whole"] == true {
            self.check_complete_table(at, number);
        }
        let table = &self.tables[&proxy];
        let removed: Vec<String> = before.into_iter().filter(|name| !table.usable().contains(name)).collect();
        let are_all_in_tables = self.statuses.len() <= DEFAULT_TABLE_SIZE;
        for name in removed {
            let is_up = self.statuses.get(&name) == Some(&ReplicaStatus::Up);
            let is_ejected = self.tables[&proxy].ejected.contains(&name);
            // A restarted governor's complete table may be based on a list from before the replica was added.
            let is_change = message["whole"] != true;
            if is_up && (is_ejected || (are_all_in_tables && is_change)) {
                self.add_violation(format!(
                    "{at:?}: {name} is up but was removed from the table of proxy {proxy} on stream {number}"
                ));
            }
        }
    }

    /// Checks that a complete table contains all replicas that are up and were in the governor's initial list.
    fn check_complete_table(&mut self, at: Duration, number: StreamNumber) {
        let stream = &self.streams[&number];
        let (proxy, governor) = (stream.proxy, stream.governor);
        let Some(state) = self.governors.get(&governor) else { return };
        if self.statuses.len() > DEFAULT_TABLE_SIZE {
            return;
        }
        let was_listed = |name: &String| {
            let listed_at = self.listed_at.get(name).copied().unwrap_or_default();
            self.default_table.contains(name) || listed_at + KNOWN_LIST_AGE < state.started_at
        };
        let up = self.statuses.iter().filter(|(_, status)| **status == ReplicaStatus::Up);
        let missing: Vec<String> = up
            .map(|(name, _)| name.clone())
            .filter(|name| was_listed(name) && !self.tables[&proxy].weights.contains_key(name))
            .collect();
        for name in missing {
            self.add_violation(format!(
                "{at:?}: {name} is up but not in the first table of proxy {proxy} on stream {number}"
            ));
        }
    }

    fn handle_end(&mut self, at: Duration, number: StreamNumber, end: StreamEnd) {
        let Some(stream) = self.streams.remove(&number) else { return };
        if end == StreamEnd::ByProxy {
            return;
        }
        let state = self.governors.entry(stream.governor).or_default();
        let is_stop = |signal: &Signal| matches!(signal, Signal::Terminate | Signal::Kill);
        let was_stopped = state.signals.iter().any(|(_, signal)| is_stop(signal));
        // The governor was restarted after the stream connected.
        let is_from_earlier_start = stream.connected_at < state.started_at;
        let is_before_start = state.ready_at.is_none_or(|ready| stream.connected_at < ready);
        if !was_stopped && !is_from_earlier_start && !is_before_start {
            let (proxy, governor) = (stream.proxy, stream.governor);
            self.add_violation(format!(
                "{at:?}: stream {number} of proxy {proxy} was ended by governor {governor}"
            ));
        }
    }

    /// Checks the time limits of all open streams.
    fn check_limits(&mut self, now: Duration) {
        let mut violations = Vec::new();
        for (number, stream) in &self.streams {
            let Some(state) = self.governors.get(&stream.governor) else { continue };
            let Some(ready_at) = state.ready_at.filter(|ready| *ready <= stream.connected_at + END_WITHIN)
            else {
                continue;
            };
            let is_stopping =
                state.signals.iter().any(|(_, signal)| matches!(signal, Signal::Terminate | Signal::Kill));
            if is_stopping || stream.connected_at < state.started_at {
                continue;
            }
            let began = stream.connected_at.max(ready_at + RULES_BEGIN_AFTER);
            let joined_for = self.unpaused_time(stream.governor, began, now);
            let table = &self.tables[&stream.proxy];
            let proxy = stream.proxy;
            if joined_for > TABLE_WITHIN {
                if !stream.holds_default_table && !stream.has_complete_table {
                    violations.push(format!("proxy {proxy} received no first table on stream {number}"));
                }
                let is_up = |name: &&String| self.statuses.get(*name) == Some(&ReplicaStatus::Up);
                if !table.usable().iter().any(is_up) {
                    violations.push(format!("proxy {proxy} has no usable replica on stream {number}"));
                }
            }
            for (replica, (status, since)) in &state.agent_statuses {
                let overdue_for = self.unpaused_time(stream.governor, began.max(*since), now);
                if *status != ReplicaStatus::Up
                    && overdue_for > DRAIN_WITHIN
                    && table.usable().contains(replica)
                {
                    violations.push(format!(
                        "{replica} is {status:?} but still in use by proxy {proxy} on stream {number}"
                    ));
                }
            }
        }
        self.violations.extend(violations);
    }
}
