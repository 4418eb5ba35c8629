//! Checks a change of tables step by step, as the state that all proxies would be in after it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wrenthread::types::{Phase, ProxyId, ReplicaId};

use crate::roster::Roster;
use crate::tables::{ResolvedEntry, Table};

use super::Guard;
use super::capacity::Overload;
use super::limits::{MAX_HOLD_BACK, MAX_PASSES, MAX_SHIFTED_FRACTION, MIN_WEIGHT_FRACTION};
use super::refusals::{Finding, RefusalOutcome, RefusalReason};
use super::repair::{SingleTableCheck, has_route, last_good_table, last_resort_table, route_count};

/// How much of all traffic one change may move to other replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftLimit {
    /// No limit: the cause requires the shift, such as a change of the roster, a proxy that connected or
    /// disconnected, an ejection, or an operation of an operator.
    Unlimited,
    /// At most [`MAX_SHIFTED_FRACTION`], because no event requires more.
    Limited,
}

/// A table that is to be published to a proxy.
#[derive(Debug, Clone)]
pub struct ProposedTable<'a> {
    /// The proxy that the table is for.
    pub proxy: ProxyId,
    /// That proxy's zone.
    pub zone: usize,
    /// The traffic class that the table is for.
    pub class: usize,
    /// The table that the proxy holds; none if it was sent none.
    pub held: Option<&'a Table>,
    /// The proxy's own default table.
    pub default_table: &'a [(ReplicaId, f64)],
    /// The table to be published.
    pub wanted: Table,
}

/// A check in progress: the changes, and the tables and findings so far.
struct Check<'a, Open> {
    now: Duration,
    roster: &'a Roster,
    /// Whether a replica may get requests.
    open: &'a Open,
    changes: &'a [ProposedTable<'a>],
    /// In the order of the changes.
    tables: Vec<Table>,
    findings: Vec<Finding>,
}

impl Guard {
    /// Checks changes as the state that all proxies would be in after them, and returns the tables that may
    /// be published, in the order of the changes.
    pub fn check(
        &mut self,
        now: Duration,
        roster: &Roster,
        ejected: impl Fn(&ReplicaId) -> bool,
        shift_limit: ShiftLimit,
        mut changes: Vec<ProposedTable>,
    ) -> Vec<Table> {
        if self.disabled {
            return changes.into_iter().map(|change| change.wanted).collect();
        }
        let follows = self.follows_ejections(now, roster, &ejected);
        let open = |id: &ReplicaId| {
            roster.get(id).is_some_and(|known| known.phase == Phase::Ready) && !(follows && ejected(id))
        };
        let mut findings = Vec::new();
        if !follows {
            reopen_ejected(&mut changes, &open, &mut findings);
        }
        let tables = Vec::with_capacity(changes.len());
        let mut check = Check { now, roster, open: &open, changes: &changes, tables, findings };
        self.check_each_table(&mut check);
        self.defer_excess_entries(&mut check);
        if shift_limit == ShiftLimit::Limited {
            self.hold_back_shift(&mut check);
        }
        for (change, table) in changes.iter().zip(&check.tables) {
            self.ledger.set_table(change.proxy, change.class, table);
        }
        self.limit_loads(&mut check);
        let Check { tables, findings, .. } = check;
        self.refusals.record(now, &changes, findings);
        tables
    }

    fn check_each_table<Open: Fn(&ReplicaId) -> bool>(&self, check: &mut Check<'_, Open>) {
        for (index, change) in check.changes.iter().enumerate() {
            let single = SingleTableCheck {
                index,
                change,
                same_zone_only: self.limits.is_same_zone_only(change.class),
                roster: check.roster,
                open: check.open,
                findings: &mut check.findings,
            };
            let table = single.run();
            check.tables.push(table);
        }
    }

    /// Limits the number of entries to what the channel can carry: the first changes are carried out, and the
    /// other proxies keep their current tables for now.
    fn defer_excess_entries<Open: Fn(&ReplicaId) -> bool>(&self, check: &mut Check<'_, Open>) {
        let limit = self.limits.max_entries;
        let entries: usize = check.tables.iter().map(|table| table.entries.len()).sum();
        if entries as f64 <= limit || check.tables.len() <= 1 {
            return;
        }
        let mut capacity = limit;
        for index in 0..check.changes.len() {
            capacity -= check.tables[index].entries.len() as f64;
            if capacity >= 0.0 {
                continue;
            }
            if let Some(held) = self.last_good(check, index) {
                check.add_finding(
                    index,
                    RefusalReason::TooManyEntries,
                    RefusalOutcome::Kept,
                    entries as f64,
                    limit,
                );
                check.tables[index] = held;
            }
        }
    }

    /// Holds back a change that moves too much traffic at once, for at most [`MAX_HOLD_BACK`].
    fn hold_back_shift<Open: Fn(&ReplicaId) -> bool>(&self, check: &mut Check<'_, Open>) {
        let shifted = self.ledger.shifted_fraction(check.changes, &check.tables);
        let too_much = shifted > MAX_SHIFTED_FRACTION;
        if !too_much {
            return;
        }
        for (index, change) in check.changes.iter().enumerate() {
            let since = self.refusals.refused_since(change.proxy, change.class, RefusalReason::ShiftTooLarge);
            let held_long_enough = since.is_some_and(|since| check.now >= since + MAX_HOLD_BACK);
            let held = self.last_good(check, index).filter(|_| !held_long_enough);
            let outcome = if held.is_some() { RefusalOutcome::Kept } else { RefusalOutcome::LetThrough };
            check.add_finding(index, RefusalReason::ShiftTooLarge, outcome, shifted, MAX_SHIFTED_FRACTION);
            if let Some(held) = held {
                check.tables[index] = held;
            }
        }
    }

    fn last_good<Open: Fn(&ReplicaId) -> bool>(
        &self,
        check: &Check<'_, Open>,
        index: usize,
    ) -> Option<Table> {
        let change = &check.changes[index];
        last_good_table(change, self.limits.is_same_zone_only(change.class), check.open)
    }

    /// Reduces the weights of overloaded replicas in the tables that change. Load that is taken off one
    /// replica moves to others, which may then be overloaded, so this takes several passes.
    fn limit_loads<Open: Fn(&ReplicaId) -> bool>(&mut self, check: &mut Check<'_, Open>) {
        let open = check.open;
        let capacity = self.capacity(check.now, check.roster, &|id: &ReplicaId| !open(id));
        // Weights in a table that is kept have been reduced before: the minimum is a fraction of the table's
        // mean weight, so that repeated checks do not reduce an entry further and further.
        let mut min_weights: Vec<f64> = check.tables.iter().map(min_weight).collect();
        for pass in 0..MAX_PASSES {
            let routable =
                check.tables.iter().flat_map(|table| &table.entries).filter(|entry| entry.routable);
            let replicas: BTreeSet<&ReplicaId> = routable.map(|entry| &entry.replica).collect();
            let overload =
                |id: &ReplicaId| Some((id.clone(), self.overload(check.now, check.roster, capacity, id)?));
            let overloads: Overloads = replicas.into_iter().filter_map(overload).collect();
            if overloads.is_empty() {
                return;
            }
            let mut any_reduced = false;
            for (index, min_weight) in min_weights.iter_mut().enumerate() {
                any_reduced |= self.limit_table(check, index, &overloads, min_weight, pass == 0);
            }
            if !any_reduced {
                return;
            }
        }
    }

    /// One pass over one table. Returns whether the weights of its overloaded entries were reduced, as far as
    /// `min_weight` allows.
    fn limit_table<Open: Fn(&ReplicaId) -> bool>(
        &mut self,
        check: &mut Check<'_, Open>,
        index: usize,
        overloads: &Overloads,
        min_weight: &mut f64,
        first_pass: bool,
    ) -> bool {
        let table = &check.tables[index];
        let overloaded = table.entries.iter().filter(|entry| is_overloaded(entry, overloads)).count();
        if overloaded == 0 {
            return false;
        }
        let mut all_overloaded = overloaded == route_count(table);
        if all_overloaded
            && first_pass
            && has_cold_overload(table, overloads)
            && let Some(replacement) = self.table_with_headroom(check, index, overloads)
        {
            check.add_overload_findings(index, overloads, RefusalOutcome::Kept);
            *min_weight = self::min_weight(&replacement);
            let admission_fraction = check.tables[index].admission_fraction;
            check.tables[index] = Table { admission_fraction, ..replacement };
            all_overloaded = false;
        }
        if first_pass {
            // Where no other replica is available, an overloaded one is better than none.
            let outcome = if all_overloaded { RefusalOutcome::LetThrough } else { RefusalOutcome::Corrected };
            check.add_overload_findings(index, overloads, outcome);
        }
        if !all_overloaded {
            reduce_weights(&mut check.tables[index], overloads, *min_weight);
        }
        let change = &check.changes[index];
        self.ledger.set_table(change.proxy, change.class, &check.tables[index]);
        !all_overloaded
    }

    /// A replacement for a table whose replicas are all overloaded, at least one of them cold: the last good
    /// table, else a last-resort table, if it has a replica that is not overloaded. A table that only
    /// overloads warm replicas is published as requested.
    fn table_with_headroom<Open: Fn(&ReplicaId) -> bool>(
        &self,
        check: &Check<'_, Open>,
        index: usize,
        overloads: &Overloads,
    ) -> Option<Table> {
        let has_headroom = |table: &Table| {
            table.entries.iter().any(|entry| entry.routable && !overloads.contains_key(&entry.replica))
        };
        let last_resort = || {
            let table = last_resort_table(&check.changes[index], check.roster, check.open);
            Some(table).filter(has_route)
        };
        self.last_good(check, index).filter(has_headroom).or_else(last_resort).filter(has_headroom)
    }
}

impl<Open> Check<'_, Open> {
    fn add_finding(
        &mut self,
        change: usize,
        reason: RefusalReason,
        outcome: RefusalOutcome,
        asked: f64,
        allowed: f64,
    ) {
        self.findings.push(Finding { change, reason, outcome, replica: None, asked, allowed });
    }

    /// Adds a finding for each routable entry whose replica is overloaded.
    fn add_overload_findings(&mut self, index: usize, overloads: &Overloads, outcome: RefusalOutcome) {
        for entry in self.tables[index].entries.iter().filter(|entry| entry.routable) {
            let Some(overload) = overloads.get(&entry.replica) else { continue };
            self.findings.push(Finding {
                change: index,
                reason: overload.reason,
                outcome,
                replica: Some(entry.replica.clone()),
                asked: overload.load,
                allowed: overload.allowed,
            });
        }
    }
}

/// Overloaded replicas.
type Overloads = BTreeMap<ReplicaId, Overload>;

fn is_overloaded(entry: &ResolvedEntry, overloads: &Overloads) -> bool {
    entry.routable && overloads.contains_key(&entry.replica)
}

fn has_cold_overload(table: &Table, overloads: &Overloads) -> bool {
    let is_cold = |entry: &ResolvedEntry| {
        overloads.get(&entry.replica).is_some_and(|overload| overload.reason == RefusalReason::ColdOverload)
    };
    table.entries.iter().any(|entry| entry.routable && is_cold(entry))
}

/// The weight below which no entry of the table is reduced.
fn min_weight(table: &Table) -> f64 {
    let routable = table.entries.iter().filter(|entry| entry.routable);
    let mean = routable.clone().map(|entry| entry.weight).sum::<f64>() / routable.count().max(1) as f64;
    MIN_WEIGHT_FRACTION * mean
}

fn reduce_weights(table: &mut Table, overloads: &Overloads, min_weight: f64) {
    for entry in table.entries.iter_mut().filter(|entry| entry.routable) {
        let Some(overload) = overloads.get(&entry.replica) else { continue };
        // If the overload comes from other tables, removing all weight here would not end it.
        let weight = (entry.weight * rounded_down(overload.allowed / overload.load)).max(min_weight);
        if weight < entry.weight {
            entry.weight = weight;
        }
    }
}

/// Rounds down to a power of 1.1: a limit that moves slightly with each report must not cause a new table
/// each time.
fn rounded_down(factor: f64) -> f64 {
    1.1f64.powf((factor.clamp(1e-3, 1.0).ln() / 1.1f64.ln()).floor())
}

/// Opens the entries of ejected replicas again, where the decision module's ejections are not followed.
fn reopen_ejected(
    changes: &mut [ProposedTable],
    open: &impl Fn(&ReplicaId) -> bool,
    findings: &mut Vec<Finding>,
) {
    for (index, change) in changes.iter_mut().enumerate() {
        let mut reopened = 0;
        for entry in &mut change.wanted.entries {
            if !entry.routable && open(&entry.replica) {
                entry.routable = true;
                reopened += 1;
            }
        }
        if reopened > 0 {
            findings.push(Finding {
                change: index,
                reason: RefusalReason::TooManyEjections,
                outcome: RefusalOutcome::Corrected,
                replica: None,
                asked: f64::from(reopened),
                allowed: 0.0,
            });
        }
    }
}
