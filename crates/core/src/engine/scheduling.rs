//! Scheduling: due work, the next call of the module, and the next action for the host.

use std::time::Duration;

use crate::reports::AggregatedStatistics;

use super::{Action, Cause, Engine, EngineEvent};

/// A tick late by more than this means that the process was paused: stopped, swapped out, or on a machine
/// that was suspended.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// After a pause, inputs are processed for this long before the module decides. Otherwise the module would
/// take the gap for silence of the replicas, and would count proxies as connected that have long moved to
/// other governors. *Harm:* a replica that failed during the gap is ejected later by this time; drains are
/// not delayed, as they follow from the roster.
pub(super) const CATCH_UP: Duration = Duration::from_secs(1);

impl Engine {
    /// The next action for the host; `None` if there is nothing to do.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        // A flush that the host did not carry out must not be offered again and again.
        if let Some(id) = self.offered_flush.take() {
            self.send_limiter.stream_full(id);
        }
        self.process_due(now);
        if let Some(action) = self.pending_actions.pop_front() {
            return Some(action);
        }
        let id = self.send_limiter.next_proxy(now)?;
        self.offered_flush = Some(id);
        Some(Action::Flush(id))
    }

    /// When to call [`Engine::next_action`] again if no other event occurs.
    pub fn next_deadline(&self, now: Duration) -> Duration {
        let deadlines = [
            self.roster.next_deadline(),
            self.backups.next_deadline(),
            self.reports.next_deadline(),
            self.send_limiter.next_deadline(now),
            self.frozen_tables.values().map(|frozen| frozen.until).min(),
            self.overrides.next_deadline(),
            (!self.restored.admission_fractions.is_empty()).then_some(self.restored_admission_until),
        ];
        deadlines.into_iter().flatten().fold(self.next_tick, Duration::min)
    }

    fn process_due(&mut self, now: Duration) {
        self.detect_pause(now);
        self.process_roster_deadlines(now);
        self.release_expired(now);
        self.expire_restored(now);
        self.expire_overrides(now);
        self.forward_reports(now);
        self.drain_join_queue(now);
        self.tick_if_due(now);
        if !self.causes.is_empty() {
            self.ask_module(now);
        }
    }

    /// Postpones the tick once per pause, so that the module still decides on a machine that is always this
    /// late.
    fn detect_pause(&mut self, now: Duration) {
        if now > self.next_tick + PAUSE_THRESHOLD && !self.catching_up {
            self.next_tick = now + CATCH_UP;
            self.catching_up = true;
        }
    }

    fn process_roster_deadlines(&mut self, now: Duration) {
        if let Some(listed) = self.roster.accept_empty(now) {
            self.roster_changed(now, &listed);
        }
        if let Some(entries) = self.backups.release_due(now) {
            self.apply_roster(now, entries);
        }
    }

    fn expire_overrides(&mut self, now: Duration) {
        let expired = self.overrides.take_expired(now);
        if expired.is_empty() {
            return;
        }
        let events = expired.into_iter().map(|id| Action::Report(EngineEvent::OverrideExpired(id)));
        self.pending_actions.extend(events);
        self.refresh(now, &self.fleet.proxy_ids());
    }

    fn forward_reports(&mut self, now: Duration) {
        for statistics in self.reports.take_due(now) {
            self.causes.insert(Cause::Reports);
            match statistics {
                AggregatedStatistics::Replica(statistics) => {
                    let succeeded = statistics.attempts.saturating_sub(statistics.failed);
                    self.guard.record_throughput(
                        now,
                        &statistics.replica,
                        statistics.zone,
                        succeeded,
                        statistics.interval,
                    );
                    self.governor.record_replica_statistics(now, statistics);
                }
                AggregatedStatistics::Demand(demand) => {
                    self.guard.record_demand(demand.proxy, demand.class, demand.requests, demand.interval);
                    self.governor.record_demand(now, demand);
                }
            }
        }
    }

    fn tick_if_due(&mut self, now: Duration) {
        if now >= self.next_tick {
            self.causes.insert(Cause::Tick);
            self.catching_up = false;
            self.reserved_entries = 0.0;
            self.governor.tick();
        }
    }

    fn ask_module(&mut self, now: Duration) {
        let ticked = self.causes.contains(&Cause::Tick);
        self.flush_decisions(now);
        if std::mem::take(&mut self.recheck_all) {
            self.recheck_everything(now);
        } else if ticked {
            self.recheck_overloaded(now);
        }
    }
}
