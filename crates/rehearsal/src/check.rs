//! Rule checks. Each check reads the event log only and returns the violations of its rule.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wrenthread_settings::day::Day;

use crate::event_log::{
    CLASS_TRAFFIC, CLASSES, ENTRIES_PER_SECOND, Entry, Event, MAX_QUEUED_ENTRIES, MESSAGE_LIMIT,
    MESSAGE_OVERHEAD_ENTRIES, NON_RETRIABLE, capacity,
};

/// A rule and its violations.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RuleResult {
    /// The rule.
    pub rule: &'static str,
    /// Descriptions of the violations; empty if there are none.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Checks all rules on one event log.
pub fn all(day: &Day, event_log: &[Entry]) -> Vec<RuleResult> {
    let result = |rule, violations| RuleResult { rule, violations };
    vec![
        result("no proxy left without a replica", empty_tables(day, event_log)),
        result("no effect twice", repeated_effects(event_log)),
        result("drains kept", drained_replica_attempts(day, event_log)),
        result("no cold replica pushed over", cold_replica_overloads(day, event_log)),
        result("short queue", exceeded_send_limits(event_log)),
        result("every flow has its one end, before its expiry", unended_requests(event_log)),
        result("every order is answered", unanswered_updates(event_log)),
        result("every relay in a governor's care", unattended_proxies(day, event_log)),
        result("no order of an older life, or of another's", stale_updates(event_log)),
    ]
}

/// For each joined proxy, since when and to which governor, up to the current entry.
#[derive(Default)]
struct JoinedProxies(BTreeMap<usize, (f64, usize)>);

impl JoinedProxies {
    fn observe(&mut self, entry: &Entry) {
        match &entry.event {
            Event::Joined { proxy, governor } => drop(self.0.insert(*proxy, (entry.at, *governor))),
            Event::StreamBroken { proxy } => drop(self.0.remove(proxy)),
            Event::Governor { governor, up: false } => self.0.retain(|_, (_, of)| of != governor),
            _ => {}
        }
    }
}

/// For each governor, since when its roster file is kept up to date; none while it is not.
#[derive(Default)]
struct RosterDelivery(BTreeMap<usize, Option<f64>>);

impl RosterDelivery {
    fn observe(&mut self, entry: &Entry) {
        if let Event::StaleRoster { governor, stale } = entry.event {
            self.0.insert(governor, (!stale).then_some(entry.at));
        }
    }

    /// Since when the governor gets rosters; none while its file is not updated, as it cannot act on those.
    fn since(&self, governor: usize) -> Option<f64> {
        self.0.get(&governor).copied().unwrap_or(Some(0.0))
    }
}

/// Finds joined proxies with an empty table for longer than allowed, while the roster lists a replica that is
/// ready and warm.
pub fn empty_tables(day: &Day, event_log: &[Entry]) -> Vec<String> {
    let (mut joined, mut violations) = (JoinedProxies::default(), Vec::new());
    let mut empty: BTreeMap<(usize, String), (f64, bool)> = BTreeMap::new();
    let (mut ready, mut started, mut delivery) =
        (BTreeSet::new(), BTreeMap::new(), RosterDelivery::default());
    for entry in event_log {
        joined.observe(entry);
        delivery.observe(entry);
        match &entry.event {
            Event::Roster { roster_entries } => {
                ready = roster_entries.iter().filter(|item| item.ready).map(|item| item.replica).collect();
            }
            Event::Started { replica, cold } => drop(started.insert(*replica, cold.then_some(entry.at))),
            Event::TableUpdate { proxy, tables, .. } => {
                for (class, (entries, _)) in tables {
                    let table = (*proxy, class.clone());
                    if entries.is_empty() {
                        empty.entry(table).or_insert((entry.at, false));
                    } else {
                        empty.remove(&table);
                    }
                }
            }
            _ => {}
        }
        let warm = |replica: &usize| {
            started.get(replica).copied().flatten().is_none_or(|at| entry.at - at >= day.slow_start_duration)
        };
        let replica_available = ready.iter().any(warm);
        for ((proxy, class), (since, reported)) in &mut empty {
            match joined.0.get(proxy) {
                Some((_, governor)) if delivery.since(*governor).is_none() => *since = entry.at,
                Some((at, _))
                    if replica_available
                        && entry.at - since.max(*at) > day.max_time_without_entry
                        && !*reported =>
                {
                    *reported = true;
                    violations.push(format!(
                        "{:.2} s: relay {proxy} has no line for {class} since {since:.2} s",
                        entry.at
                    ));
                }
                Some(_) if replica_available => {}
                // While the proxy is not joined or no replica is available, the time does not count.
                _ => *since = entry.at,
            }
        }
    }
    violations
}

/// Finds non-retriable requests that were executed more than once.
pub fn repeated_effects(event_log: &[Entry]) -> Vec<String> {
    let mut done: BTreeMap<u64, Vec<(f64, usize)>> = BTreeMap::new();
    for entry in event_log {
        if let Event::EffectApplied { request, replica, class: NON_RETRIABLE } = entry.event {
            done.entry(request).or_default().push((entry.at, replica));
        }
    }
    let twice = done.into_iter().filter(|(_, done)| done.len() > 1);
    twice
        .map(|(request, done)| {
            format!("flow {request} of {} took effect at {done:.2?}", CLASSES[NON_RETRIABLE])
        })
        .collect()
}

/// Finds attempts of joined proxies at a replica that has been draining or off the roster for longer than the
/// grace period.
pub fn drained_replica_attempts(day: &Day, event_log: &[Entry]) -> Vec<String> {
    let (mut joined, mut violations) = (JoinedProxies::default(), Vec::new());
    let (mut unavailable, mut ever_ready): (BTreeMap<usize, f64>, BTreeSet<usize>) = Default::default();
    let mut delivery = RosterDelivery::default();
    for entry in event_log {
        joined.observe(entry);
        delivery.observe(entry);
        match &entry.event {
            Event::Roster { roster_entries } => {
                let ready: BTreeSet<usize> =
                    roster_entries.iter().filter(|item| item.ready).map(|item| item.replica).collect();
                ever_ready.extend(&ready);
                unavailable.retain(|replica, _| !ready.contains(replica));
                for replica in ever_ready.difference(&ready) {
                    unavailable.entry(*replica).or_insert(entry.at);
                }
            }
            Event::AttemptSent { request, proxy, replica } => {
                let unavailable_since = unavailable.get(replica).zip(joined.0.get(proxy));
                let unavailable_since = unavailable_since.and_then(|(unavailable, (joined, governor))| {
                    Some(unavailable.max(*joined).max(delivery.since(*governor)?))
                });
                if let Some(unavailable_since) = unavailable_since
                    .filter(|unavailable_since| entry.at > unavailable_since + day.drain_grace)
                {
                    let at = entry.at;
                    violations.push(format!(
                        "{at:.2} s: relay {proxy} tries worker {replica} (flow {request}), shut since {unavailable_since:.2} s"
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Finds cold replicas that received the configured multiple of their capacity for the configured time.
pub fn cold_replica_overloads(day: &Day, event_log: &[Entry]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut started: BTreeMap<usize, f64> = BTreeMap::new();
    let mut attempt_times: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for entry in event_log {
        match entry.event {
            Event::Started { replica, cold: true } => {
                started.insert(replica, entry.at);
                attempt_times.remove(&replica);
            }
            Event::AttemptReceived { replica, .. } => {
                let Some(since) = started.get(&replica) else { continue };
                if entry.at - since > day.slow_start_duration {
                    continue;
                }
                let times = attempt_times.entry(replica).or_default();
                times.push(entry.at);
                times.retain(|at| entry.at - at <= day.overload_duration);
                // Uses the capacity at the end of the span, which is the highest within it, so that the
                // overload is certain.
                let per_second = day.worker_capacity * capacity(day, entry.at - since);
                if times.len() as f64 > day.overload_multiple * per_second * day.overload_duration {
                    let (count, at) = (times.len(), entry.at);
                    violations.push(format!(
                        "{at:.2} s: worker {replica} got {count} flows in {} s; it can do {per_second:.1} a second",
                        day.overload_duration
                    ));
                    times.clear();
                }
            }
            _ => {}
        }
    }
    violations
}

/// Finds seconds with more entries than the send rate and the queue allow, and proxies that got too many
/// messages.
///
/// The queue itself is inside the governor and not visible here; this checks its limits by the messages that
/// were sent.
pub fn exceeded_send_limits(event_log: &[Entry]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut entries: Vec<(f64, f64)> = Vec::new();
    let mut messages: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for entry in event_log {
        let at = entry.at;
        match &entry.event {
            Event::Governor { up: true, .. } => (entries.clear(), messages.clear()).0,
            Event::TableUpdate { proxy, entries: count, .. } => {
                entries.push((at, *count as f64 + MESSAGE_OVERHEAD_ENTRIES));
                entries.retain(|(sent_at, _)| at - sent_at <= 1.0);
                let last_second: f64 = entries.iter().map(|(_, count)| count).sum();
                if last_second > ENTRIES_PER_SECOND + MAX_QUEUED_ENTRIES {
                    violations.push(format!("{at:.2} s: {last_second} lines within a second"));
                    entries.clear();
                }
                let times = messages.entry(*proxy).or_default();
                times.push(at);
                times.retain(|sent_at| at - sent_at <= MESSAGE_LIMIT.1);
                if times.len() > MESSAGE_LIMIT.0 {
                    violations.push(format!(
                        "{at:.2} s: {} messages to relay {proxy} within {} s",
                        times.len(),
                        MESSAGE_LIMIT.1
                    ));
                    times.clear();
                }
            }
            _ => {}
        }
    }
    violations
}

/// Finds requests that did not end, ended more than once or ended late. The event log goes on for some
/// seconds after the last request.
pub fn unended_requests(event_log: &[Entry]) -> Vec<String> {
    let (mut pending, mut violations): (BTreeMap<u64, (f64, usize)>, _) = (BTreeMap::new(), Vec::new());
    for entry in event_log {
        match entry.event {
            Event::RequestArrived { request, class, .. } => drop(pending.insert(request, (entry.at, class))),
            Event::RequestEnded { request, .. } => match pending.remove(&request) {
                // Tolerates 0.25 s for late timers on a busy machine.
                Some((arrived, class)) if entry.at - arrived > CLASS_TRAFFIC[class].1 + 0.25 => {
                    violations.push(format!(
                        "flow {request} of {} ended after {:.2} s",
                        CLASSES[class],
                        entry.at - arrived
                    ));
                }
                Some(_) => {}
                None => violations.push(format!("flow {request} ended twice, or before it came")),
            },
            _ => {}
        }
    }
    violations.extend(
        pending
            .into_iter()
            .map(|(request, (at, _))| format!("flow {request}, come at {at:.2} s, has no end")),
    );
    violations
}

/// Finds table updates that a proxy neither accepted nor rejected while its stream was up, and answers to
/// updates that were not sent.
pub fn unanswered_updates(event_log: &[Entry]) -> Vec<String> {
    let mut pending: BTreeMap<usize, BTreeMap<&str, f64>> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in event_log {
        match &entry.event {
            Event::TableUpdate { proxy, nonce, .. } => {
                pending.entry(*proxy).or_default().insert(nonce, entry.at);
            }
            Event::UpdateAnswered { proxy, nonce, .. } => {
                let sent_at = pending.get_mut(proxy).and_then(|pending| pending.remove(nonce.as_str()));
                let why = format!("{:.2} s: relay {proxy} answers {nonce}, which it was not sent", entry.at);
                violations.extend(sent_at.is_none().then_some(why));
            }
            Event::StreamBroken { proxy } => drop(pending.remove(proxy)),
            _ => {}
        }
    }
    let unanswered = pending
        .into_iter()
        .flat_map(|(proxy, pending)| pending.into_iter().map(move |update| (proxy, update)));
    violations.extend(
        unanswered.map(|(proxy, (nonce, at))| format!("{at:.2} s: relay {proxy} never answered {nonce}")),
    );
    violations
}

/// Finds proxies that were joined to no governor for longer than allowed while at least one was running.
pub fn unattended_proxies(day: &Day, event_log: &[Entry]) -> Vec<String> {
    let (mut joined, mut up, mut violations) = (JoinedProxies::default(), BTreeSet::new(), Vec::new());
    let mut unattended: BTreeMap<usize, (f64, bool)> = BTreeMap::new();
    for entry in event_log {
        joined.observe(entry);
        match &entry.event {
            Event::Governor { governor, up: true } => drop(up.insert(*governor)),
            Event::Governor { governor, up: false } => drop(up.remove(governor)),
            Event::Fleet { proxies, .. } => {
                unattended = (0..proxies.len()).map(|proxy| (proxy, (entry.at, false))).collect();
            }
            _ => {}
        }
        for (proxy, (since, reported)) in &mut unattended {
            if joined.0.contains_key(proxy) || up.is_empty() {
                (*since, *reported) = (entry.at, false);
            } else if entry.at - *since > day.max_time_without_governor && !*reported {
                *reported = true;
                violations
                    .push(format!("{:.2} s: relay {proxy} is with no governor since {since:.2} s", entry.at));
            }
        }
    }
    violations
}

/// Finds table updates with a lower epoch than an earlier update from the same governor to the same proxy, and
/// updates from a governor that the proxy was not joined to.
pub fn stale_updates(event_log: &[Entry]) -> Vec<String> {
    let (mut joined, mut violations) = (JoinedProxies::default(), Vec::new());
    let mut epochs: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    for entry in event_log {
        // Messages in transit when a governor dies still arrive, so its end does not count here.
        if !matches!(entry.event, Event::Governor { .. }) {
            joined.observe(entry);
        }
        let Event::TableUpdate { proxy, governor, nonce, .. } = &entry.event else { continue };
        let epoch =
            nonce.split('.').next().and_then(|epoch| u64::from_str_radix(epoch, 16).ok()).unwrap_or(0);
        let newest = epochs.entry((*proxy, *governor)).or_insert(epoch);
        if epoch < *newest {
            violations.push(format!(
                "{:.2} s: relay {proxy} heeds life {epoch:x} of governor {governor}",
                entry.at
            ));
        }
        *newest = epoch.max(*newest);
        if joined.0.get(proxy).is_none_or(|(_, of)| of != governor) {
            violations.push(format!(
                "{:.2} s: relay {proxy} heeds governor {governor}, which it is not with",
                entry.at
            ));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
