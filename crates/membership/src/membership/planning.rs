//! Planning of moves: which proxy is moved next, its destination, and when to plan again.

use std::sync::Arc;
use std::time::Duration;

use wrenthread_core::ownership::ranking;

use super::{ConnectedProxy, Membership, capacities};
use crate::assignment::{self, LocalGovernor, LocalProxy, MIN_RESIDENCE};
use crate::{Action, MembershipEvent};

impl Membership {
    /// Plans the next move, or reports the end of a drain. Returns whether this added an action.
    pub(super) fn plan_move(&mut self, now: Duration) -> bool {
        self.next_plan = Duration::MAX;
        self.refresh_candidates();
        if self.is_draining() && self.connected.is_empty() && !self.drain_reported {
            self.drain_reported = true;
            self.report(MembershipEvent::Drained);
            return true;
        }
        if now < self.next_move {
            self.next_plan = self.next_move;
            return false;
        }
        if !self.migrations.can_offer() {
            let next_answer = self.migrations.next_deadline().filter(|at| *at > now);
            self.next_plan = next_answer.unwrap_or(Duration::MAX);
            return false;
        }
        self.next_plan = self.next_change_of_movable_proxies(now);
        let action = if self.is_draining() && self.candidates.is_empty() {
            self.redirect_without_destination(now)
        } else {
            self.next_offer(now)
        };
        let Some(action) = action else { return false };
        self.actions.push_back(action);
        self.schedule_next_move(now);
        true
    }

    /// Returns when a proxy that can't be moved now becomes movable. If no other governor sends messages any more,
    /// moves are planned again only because of this time.
    fn next_change_of_movable_proxies(&self, now: Duration) -> Duration {
        let settled = self.connected.values().map(|proxy| proxy.connected_at + MIN_RESIDENCE);
        let deadlines = settled.chain(self.migrations.next_deadline());
        deadlines.filter(|at| *at > now).min().unwrap_or(Duration::MAX)
    }

    /// Redirects the next movable proxy without a destination, because no other governor is known. The proxy then
    /// chooses a governor by itself.
    fn redirect_without_destination(&mut self, now: Duration) -> Option<Action> {
        let mut connected = self.connected.iter();
        let (proxy, _) = connected.find(|(name, proxy)| self.is_movable(now, name, proxy))?;
        let action = Action::MoveProxy { proxy: proxy.clone(), to: None };
        self.proxies_moved += 1;
        Some(action)
    }

    fn next_offer(&self, now: Duration) -> Option<Action> {
        let staying = self.connected.iter().filter(|(name, _)| !self.migrations.is_offered(name));
        let proxies = staying.map(|(name, proxy)| LocalProxy {
            name,
            ranking: &proxy.ranking,
            movable: self.is_movable(now, name, proxy),
        });
        let others = capacities(&self.candidates, &self.members, &self.migrations);
        let remaining = self.connected.len().saturating_sub(self.migrations.outgoing_count());
        let connected_proxies = remaining + self.migrations.expected_proxies();
        let local = LocalGovernor { connected_proxies, mode: self.mode };
        let next = assignment::next_move(&others, local, proxies)?;
        Some(Action::CollectState { proxy: next.proxy.into(), to: next.to.to_string() })
    }

    fn is_movable(&self, now: Duration, name: &str, proxy: &ConnectedProxy) -> bool {
        now >= proxy.connected_at + MIN_RESIDENCE && !self.migrations.is_unavailable(now, name)
    }

    fn schedule_next_move(&mut self, now: Duration) {
        let earliest = now.saturating_sub(self.move_interval);
        self.next_move = self.next_move.max(earliest) + self.move_interval;
        self.schedule_plan(self.next_move);
    }

    /// Updates the candidates, and the rankings of all connected proxies, to the current members.
    fn refresh_candidates(&mut self) {
        let accepting = self.members.others().filter(|member| member.accepts_proxies());
        let candidates: Vec<String> = accepting.map(|member| member.update.name.clone()).collect();
        if candidates == self.candidates {
            return;
        }
        self.candidates = candidates;
        let names: Vec<Arc<str>> = self.connected.keys().cloned().collect();
        for name in names {
            let ranking = self.rank_governors(&name);
            if let Some(proxy) = self.connected.get_mut(&name) {
                proxy.ranking = ranking;
            }
        }
    }

    /// Ranks the candidates and this governor for a proxy. This governor has the index after the last candidate.
    pub(super) fn rank_governors(&self, proxy: &str) -> Vec<usize> {
        let mut names: Vec<&str> = self.candidates.iter().map(String::as_str).collect();
        names.push(self.members.local().name.as_str());
        ranking(proxy, &names)
    }
}
