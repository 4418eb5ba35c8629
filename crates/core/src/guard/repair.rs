//! Rules for a single table, independent of all others, and replacements for a table that breaks them.

use wrenthread::types::{Phase, ReplicaId};

use crate::roster::Roster;
use crate::tables::{ResolvedEntry, Table};

use super::checks::ProposedTable;
use super::limits::MAX_WEIGHT_RATIO;
use super::refusals::{Finding, RefusalOutcome, RefusalReason};

pub(super) fn has_route(table: &Table) -> bool {
    table.entries.iter().any(|entry| entry.routable)
}

pub(super) fn route_count(table: &Table) -> usize {
    table.entries.iter().filter(|entry| entry.routable).count()
}

/// A published table with its entries opened or closed by the current state of their replicas: those that
/// drain, are gone or are ejected are closed, and those that are available again are opened. If closed
/// entries stayed closed, a table that is kept through a deployment would shrink to its last entries and
/// overload them.
fn with_current_states(held: &Table, open: &impl Fn(&ReplicaId) -> bool) -> Table {
    let mut table = held.clone();
    table.entries.iter_mut().for_each(|entry| entry.routable = open(&entry.replica));
    table
}

/// The proxy's last good table as it may be published now; none if no entry of it is routable.
pub(super) fn last_good_table(
    change: &ProposedTable,
    same_zone_only: bool,
    open: &impl Fn(&ReplicaId) -> bool,
) -> Option<Table> {
    let mut last = change.held.map(|held| with_current_states(held, open))?;
    if same_zone_only {
        last.entries.iter_mut().for_each(|entry| entry.routable &= entry.zone == change.zone);
    }
    Some(last).filter(has_route)
}

/// The replicas of the proxy's default table that `fits` accepts. If there are none, all replicas that it
/// accepts, restricted to the proxy's zone if any is there.
pub(super) fn last_resort_table(
    change: &ProposedTable,
    roster: &Roster,
    fits: &impl Fn(&ReplicaId) -> bool,
) -> Table {
    let entry = |id: &ReplicaId, weight: f64| {
        let known = roster.get(id).filter(|_| fits(id))?;
        Some(ResolvedEntry {
            replica: id.clone(),
            address: known.address.clone(),
            zone: known.zone,
            weight: if weight > 0.0 { weight } else { 1.0 },
            routable: true,
        })
    };
    let mut entries: Vec<ResolvedEntry> =
        change.default_table.iter().filter_map(|(id, weight)| entry(id, *weight)).collect();
    if entries.is_empty() {
        let is_local = |id: &ReplicaId| roster.get(id).is_some_and(|known| known.zone == change.zone);
        let any_local = roster.iter().any(|(id, _)| fits(id) && is_local(id));
        let candidates = roster.iter().filter(|(id, _)| !any_local || is_local(id));
        entries = candidates.filter_map(|(id, known)| entry(id, known.weight)).collect();
    }
    entries.sort_by(|a, b| a.replica.cmp(&b.replica));
    Table { entries, admission_fraction: 1.0 }
}

/// Checks a single table and corrects it.
pub(super) struct SingleTableCheck<'a, Open> {
    /// The index of the change.
    pub(super) index: usize,
    pub(super) change: &'a ProposedTable<'a>,
    pub(super) same_zone_only: bool,
    pub(super) roster: &'a Roster,
    /// Whether a replica may get requests.
    pub(super) open: &'a Open,
    pub(super) findings: &'a mut Vec<Finding>,
}

impl<Open: Fn(&ReplicaId) -> bool> SingleTableCheck<'_, Open> {
    pub(super) fn run(mut self) -> Table {
        let mut table = self.change.wanted.clone();
        self.check_admission_fraction(&mut table);
        let asked = route_count(&table);
        self.check_weights(&mut table);
        self.check_weight_range(&mut table);
        self.close_entries(&mut table);
        if self.same_zone_only {
            self.close_other_zones(&mut table);
        }
        if has_route(&table) {
            return table;
        }
        self.replace_unroutable_table(table, asked)
    }

    fn add_finding(
        &mut self,
        reason: RefusalReason,
        outcome: RefusalOutcome,
        replica: Option<&ReplicaId>,
        asked: f64,
        allowed: f64,
    ) {
        let replica = replica.cloned();
        self.findings.push(Finding { change: self.index, reason, outcome, replica, asked, allowed });
    }

    fn check_admission_fraction(&mut self, table: &mut Table) {
        if (0.0..=1.0).contains(&table.admission_fraction) {
            return;
        }
        self.add_finding(
            RefusalReason::InvalidAdmissionFraction,
            RefusalOutcome::Corrected,
            None,
            table.admission_fraction,
            1.0,
        );
        table.admission_fraction = self.change.held.map_or(1.0, |held| held.admission_fraction);
    }

    fn check_weights(&mut self, table: &mut Table) {
        let has_valid_weight = |entry: &ResolvedEntry| entry.weight.is_finite() && entry.weight > 0.0;
        for entry in table.entries.iter().filter(|entry| entry.routable && !has_valid_weight(entry)) {
            let replica = Some(&entry.replica);
            self.add_finding(
                RefusalReason::InvalidWeight,
                RefusalOutcome::Corrected,
                replica,
                entry.weight,
                f64::MAX,
            );
        }
        // The weight of a closed entry is never used, so an invalid one is replaced.
        table.entries.retain(|entry| !entry.routable || has_valid_weight(entry));
        table
            .entries
            .iter_mut()
            .filter(|entry| !has_valid_weight(entry))
            .for_each(|entry| entry.weight = 1.0);
    }

    fn check_weight_range(&mut self, table: &mut Table) {
        let routable = table.entries.iter().filter(|entry| entry.routable);
        let largest = routable.map(|entry| entry.weight).fold(0.0, f64::max);
        for entry in &mut table.entries {
            if entry.routable && entry.weight * MAX_WEIGHT_RATIO < largest {
                let (asked, allowed) = (entry.weight / largest, 1.0 / MAX_WEIGHT_RATIO);
                let replica = Some(&entry.replica);
                self.add_finding(
                    RefusalReason::WeightRatio,
                    RefusalOutcome::Corrected,
                    replica,
                    asked,
                    allowed,
                );
                entry.weight = largest / MAX_WEIGHT_RATIO;
            }
        }
    }

    fn close_entries(&mut self, table: &mut Table) {
        let open = self.open;
        let closed = table.entries.iter().filter(|entry| entry.routable && !open(&entry.replica)).count();
        if closed > 0 && closed == route_count(table) {
            self.add_finding(RefusalReason::AllEntriesClosed, RefusalOutcome::Kept, None, closed as f64, 0.0);
        }
        table.entries.iter_mut().for_each(|entry| entry.routable &= open(&entry.replica));
    }

    fn close_other_zones(&mut self, table: &mut Table) {
        for entry in &mut table.entries {
            if entry.routable && entry.zone != self.change.zone {
                let replica = Some(&entry.replica);
                self.add_finding(RefusalReason::OutOfZone, RefusalOutcome::Corrected, replica, 0.0, 0.0);
                entry.routable = false;
            }
        }
    }

    /// A replacement for a table without a routable entry: the last good one, else a last resort, else, where
    /// no replica that it may use is ready, the requested table, whose entries all stay, not routable.
    fn replace_unroutable_table(&mut self, table: Table, asked: usize) -> Table {
        let (roster, change, open) = (self.roster, self.change, self.open);
        let in_allowed_zone = |id: &ReplicaId| {
            !self.same_zone_only || roster.get(id).is_some_and(|known| known.zone == change.zone)
        };
        // If the module has ejected every replica, its ejections are ignored: a replica that may be bad is
        // better than none.
        let any_open = roster.iter().any(|(id, _)| open(id) && in_allowed_zone(id));
        let is_ready = |id: &ReplicaId| roster.get(id).is_some_and(|known| known.phase == Phase::Ready);
        let fits = |id: &ReplicaId| in_allowed_zone(id) && if any_open { open(id) } else { is_ready(id) };
        if !roster.iter().any(|(id, _)| fits(id)) {
            return table;
        }
        let reason = if self.same_zone_only { RefusalReason::NoRouteInZone } else { RefusalReason::NoRoute };
        let held = change.held.map(|held| with_current_states(held, &fits)).filter(has_route);
        let (outcome, replacement) = match held {
            Some(held) => (RefusalOutcome::Kept, held),
            None => {
                let last_resort = last_resort_table(change, roster, &fits);
                let table = Table { admission_fraction: table.admission_fraction, ..last_resort };
                (RefusalOutcome::LastResort, table)
            }
        };
        self.add_finding(reason, outcome, None, asked as f64, 1.0);
        replacement
    }
}
