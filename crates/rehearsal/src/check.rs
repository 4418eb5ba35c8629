//! The checkers: each reads the tape alone and says where its rule was broken.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wrenthread_settings::day::Day;

use crate::event_log::{
    Entry, FLOWS, GROUPS, HEAD_LINES, LINES_PER_S, MESSAGES, NON_RETRIABLE, WAITING_MOST, What, capacity,
};

/// One rule, and where it was broken.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Ruled {
    /// The rule.
    pub rule: &'static str,
    /// What broke it; empty if nothing did.
    pub broken: Vec<String>,
}

/// All rules on one tape.
pub fn all(day: &Day, tape: &[Entry]) -> Vec<Ruled> {
    let ruled = |rule, broken| Ruled { rule, broken };
    vec![
        ruled("no proxy left without a replica", bare(day, tape)),
        ruled("no effect twice", twice(tape)),
        ruled("drains kept", drains(day, tape)),
        ruled("no cold replica pushed over", cold(day, tape)),
        ruled("short queue", queue(tape)),
        ruled("every flow has its one end, before its expiry", ends(tape)),
        ruled("every order is answered", answers(tape)),
        ruled("every relay in a governor's care", care(day, tape)),
        ruled("no order of an older life, or of another's", fenced(tape)),
    ]
}

/// Since when each relay is joined, and to which governor, as the tape goes on.
#[derive(Default)]
struct Joined(BTreeMap<usize, (f64, usize)>);

impl Joined {
    fn see(&mut self, entry: &Entry) {
        match &entry.what {
            What::Joined { relay, governor } => drop(self.0.insert(*relay, (entry.at, *governor))),
            What::Broken { relay } => drop(self.0.remove(relay)),
            What::Governor { governor, up: false } => self.0.retain(|_, (_, of)| of != governor),
            _ => {}
        }
    }
}

/// Since when each governor is told what the roster file says; none for one that is not.
#[derive(Default)]
struct Told(BTreeMap<usize, Option<f64>>);

impl Told {
    fn see(&mut self, entry: &Entry) {
        if let What::Stale { governor, stale } = entry.what {
            self.0.insert(governor, (!stale).then_some(entry.at));
        }
    }

    /// No governor can heed a list that it was not given.
    fn since(&self, governor: usize) -> Option<f64> {
        self.0.get(&governor).copied().unwrap_or(Some(0.0))
    }
}

/// A joined relay whose table for a group has no line, for longer than allowed, while the list shows a worker
/// that is ready and no longer cold.
pub fn bare(day: &Day, tape: &[Entry]) -> Vec<String> {
    let (mut joined, mut broken) = (Joined::default(), Vec::new());
    let mut empty: BTreeMap<(usize, String), (f64, bool)> = BTreeMap::new();
    let (mut ready, mut started, mut listed_to) = (BTreeSet::new(), BTreeMap::new(), Told::default());
    for entry in tape {
        joined.see(entry);
        listed_to.see(entry);
        match &entry.what {
            What::Roster { listed } => {
                ready = listed.iter().filter(|one| one.ready).map(|one| one.worker).collect();
            }
            What::Started { worker, cold } => drop(started.insert(*worker, cold.then_some(entry.at))),
            What::Order { relay, tables, .. } => {
                for (group, (lines, _)) in tables {
                    let place = (*relay, group.clone());
                    if lines.is_empty() {
                        empty.entry(place).or_insert((entry.at, false));
                    } else {
                        empty.remove(&place);
                    }
                }
            }
            _ => {}
        }
        let warm = |worker: &usize| {
            started.get(worker).copied().flatten().is_none_or(|at| entry.at - at >= day.warm_after)
        };
        let open = ready.iter().any(warm);
        for ((relay, group), (since, told)) in &mut empty {
            match joined.0.get(relay) {
                Some((_, governor)) if listed_to.since(*governor).is_none() => *since = entry.at,
                Some((at, _)) if open && entry.at - since.max(*at) > day.bare_for && !*told => {
                    *told = true;
                    broken.push(format!(
                        "{:.2} s: relay {relay} has no line for {group} since {since:.2} s",
                        entry.at
                    ));
                }
                Some(_) if open => {}
                // Not joined, or nobody is there: it counts from when that is over.
                _ => *since = entry.at,
            }
        }
    }
    broken
}

/// Work of a non-retriable flow that was done more than once.
pub fn twice(tape: &[Entry]) -> Vec<String> {
    let mut done: BTreeMap<u64, Vec<(f64, usize)>> = BTreeMap::new();
    for entry in tape {
        if let What::Effect { flow, worker, group: NON_RETRIABLE } = entry.what {
            done.entry(flow).or_default().push((entry.at, worker));
        }
    }
    let twice = done.into_iter().filter(|(_, done)| done.len() > 1);
    twice
        .map(|(flow, done)| format!("flow {flow} of {} took effect at {done:.2?}", GROUPS[NON_RETRIABLE]))
        .collect()
}

/// Tries of joined relays at a worker that was listed as draining, or not at all, longer ago than the grace.
pub fn drains(day: &Day, tape: &[Entry]) -> Vec<String> {
    let (mut joined, mut broken) = (Joined::default(), Vec::new());
    let (mut shut, mut known): (BTreeMap<usize, f64>, BTreeSet<usize>) = Default::default();
    let mut listed_to = Told::default();
    for entry in tape {
        joined.see(entry);
        listed_to.see(entry);
        match &entry.what {
            What::Roster { listed } => {
                let ready: BTreeSet<usize> =
                    listed.iter().filter(|one| one.ready).map(|one| one.worker).collect();
                known.extend(&ready);
                shut.retain(|worker, _| !ready.contains(worker));
                for worker in known.difference(&ready) {
                    shut.entry(*worker).or_insert(entry.at);
                }
            }
            What::Try { flow, relay, worker } => {
                let told = shut.get(worker).zip(joined.0.get(relay));
                let told = told.and_then(|(shut, (joined, governor))| {
                    Some(shut.max(*joined).max(listed_to.since(*governor)?))
                });
                if let Some(told) = told.filter(|told| entry.at > told + day.drain_grace) {
                    let at = entry.at;
                    broken.push(format!(
                        "{at:.2} s: relay {relay} tries worker {worker} (flow {flow}), shut since {told:.2} s"
                    ));
                }
            }
            _ => {}
        }
    }
    broken
}

/// A cold worker that got the stated multiple of what it could do, for the stated time.
pub fn cold(day: &Day, tape: &[Entry]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut started: BTreeMap<usize, f64> = BTreeMap::new();
    let mut got: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for entry in tape {
        match entry.what {
            What::Started { worker, cold: true } => {
                started.insert(worker, entry.at);
                got.remove(&worker);
            }
            What::Got { worker, .. } => {
                let Some(since) = started.get(&worker) else { continue };
                if entry.at - since > day.warm_after {
                    continue;
                }
                let times = got.entry(worker).or_default();
                times.push(entry.at);
                times.retain(|at| entry.at - at <= day.overload_for);
                // At its age at the end of the span it can do most: what it could do then is exceeded for
                // sure.
                let part = day.worker_flows_per_s * capacity(day, entry.at - since);
                if times.len() as f64 > day.fall_multiple * part * day.overload_for {
                    let (n, at) = (times.len(), entry.at);
                    broken.push(format!(
                        "{at:.2} s: worker {worker} got {n} flows in {} s; it can do {part:.1} a second",
                        day.overload_for
                    ));
                    times.clear();
                }
            }
            _ => {}
        }
    }
    broken
}

/// More lines than a channel of the stated pace and length lets out in a span, or too many messages to a
/// relay.
///
/// What waits inside the governor never crosses a socket: this sees what must follow from it.
pub fn queue(tape: &[Entry]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut lines: Vec<(f64, f64)> = Vec::new();
    let mut messages: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for entry in tape {
        let at = entry.at;
        match &entry.what {
            What::Governor { up: true, .. } => (lines.clear(), messages.clear()).0,
            What::Order { relay, lines: count, .. } => {
                lines.push((at, *count as f64 + HEAD_LINES));
                lines.retain(|(then, _)| at - then <= 1.0);
                let second: f64 = lines.iter().map(|(_, count)| count).sum();
                if second > LINES_PER_S + WAITING_MOST {
                    broken.push(format!("{at:.2} s: {second} lines within a second"));
                    lines.clear();
                }
                let times = messages.entry(*relay).or_default();
                times.push(at);
                times.retain(|then| at - then <= MESSAGES.1);
                if times.len() > MESSAGES.0 {
                    broken.push(format!(
                        "{at:.2} s: {} messages to relay {relay} within {} s",
                        times.len(),
                        MESSAGES.1
                    ));
                    times.clear();
                }
            }
            _ => {}
        }
    }
    broken
}

/// Flows without an end, with several, or with a late one. A tape ends some seconds after its last flow.
pub fn ends(tape: &[Entry]) -> Vec<String> {
    let (mut open, mut broken): (BTreeMap<u64, (f64, usize)>, _) = (BTreeMap::new(), Vec::new());
    for entry in tape {
        match entry.what {
            What::Came { flow, group, .. } => drop(open.insert(flow, (entry.at, group))),
            What::Ended { flow, .. } => match open.remove(&flow) {
                // A timer may be a little late on a busy machine.
                Some((came, group)) if entry.at - came > FLOWS[group].1 + 0.25 => {
                    broken.push(format!(
                        "flow {flow} of {} ended after {:.2} s",
                        GROUPS[group],
                        entry.at - came
                    ));
                }
                Some(_) => {}
                None => broken.push(format!("flow {flow} ended twice, or before it came")),
            },
            _ => {}
        }
    }
    broken.extend(
        open.into_iter().map(|(flow, (at, _))| format!("flow {flow}, come at {at:.2} s, has no end")),
    );
    broken
}

/// Orders that a relay neither took nor turned down while its stream stood.
pub fn answers(tape: &[Entry]) -> Vec<String> {
    let mut open: BTreeMap<usize, BTreeMap<&str, f64>> = BTreeMap::new();
    let mut broken = Vec::new();
    for entry in tape {
        match &entry.what {
            What::Order { relay, nonce, .. } => {
                open.entry(*relay).or_default().insert(nonce, entry.at);
            }
            What::Answer { relay, nonce, .. } => {
                let sent = open.get_mut(relay).and_then(|open| open.remove(nonce.as_str()));
                let why = format!("{:.2} s: relay {relay} answers {nonce}, which it was not sent", entry.at);
                broken.extend(sent.is_none().then_some(why));
            }
            What::Broken { relay } => drop(open.remove(relay)),
            _ => {}
        }
    }
    let left = open.into_iter().flat_map(|(relay, open)| open.into_iter().map(move |one| (relay, one)));
    broken
        .extend(left.map(|(relay, (nonce, at))| format!("{at:.2} s: relay {relay} never answered {nonce}")));
    broken
}

/// A relay that was with no governor for longer than allowed while one was there.
pub fn care(day: &Day, tape: &[Entry]) -> Vec<String> {
    let (mut joined, mut up, mut broken) = (Joined::default(), BTreeSet::new(), Vec::new());
    let mut alone: BTreeMap<usize, (f64, bool)> = BTreeMap::new();
    for entry in tape {
        joined.see(entry);
        match &entry.what {
            What::Governor { governor, up: true } => drop(up.insert(*governor)),
            What::Governor { governor, up: false } => drop(up.remove(governor)),
            What::Fleet { relays, .. } => {
                alone = (0..relays.len()).map(|relay| (relay, (entry.at, false))).collect();
            }
            _ => {}
        }
        for (relay, (since, told)) in &mut alone {
            if joined.0.contains_key(relay) || up.is_empty() {
                (*since, *told) = (entry.at, false);
            } else if entry.at - *since > day.care_for && !*told {
                *told = true;
                broken
                    .push(format!("{:.2} s: relay {relay} is with no governor since {since:.2} s", entry.at));
            }
        }
    }
    broken
}

/// Orders that a relay took in from an older life of a governor than one before, or from one that it was not
/// with.
pub fn fenced(tape: &[Entry]) -> Vec<String> {
    let (mut joined, mut broken) = (Joined::default(), Vec::new());
    let mut lives: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    for entry in tape {
        // What was on its way when a governor died still comes in.
        if !matches!(entry.what, What::Governor { .. }) {
            joined.see(entry);
        }
        let What::Order { relay, governor, nonce, .. } = &entry.what else { continue };
        let life = nonce.split('.').next().and_then(|life| u64::from_str_radix(life, 16).ok()).unwrap_or(0);
        let newest = lives.entry((*relay, *governor)).or_insert(life);
        if life < *newest {
            broken
                .push(format!("{:.2} s: relay {relay} heeds life {life:x} of governor {governor}", entry.at));
        }
        *newest = life.max(*newest);
        if joined.0.get(relay).is_none_or(|(_, of)| of != governor) {
            broken.push(format!(
                "{:.2} s: relay {relay} heeds governor {governor}, which it is not with",
                entry.at
            ));
        }
    }
    broken
}

#[cfg(test)]
mod tests;
