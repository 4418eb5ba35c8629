//! Determines when decisions are sent. Decisions that are sent together form one message to each proxy that
//! they affect.

use std::time::Duration;

use super::Governor;
use super::flush_limiter::Urgency;
use super::send_queue::Purpose;
use super::table_updates::Recipients;
use crate::types::Decision;

/// The reason for a publishing pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PublishTrigger {
    /// An input other than the timer arrived.
    Event,
    /// The timer fired.
    Tick,
    /// The timer fired, and an ordinary flush is due.
    FlushDue,
}

impl Governor {
    /// Sends the decisions that are due. Ejections are sent before tables, and readmissions after them.
    pub(super) fn publish(&mut self, now: Duration, trigger: PublishTrigger) {
        self.send_queue.drain(now, self.parameters.assured_entries_per_second);
        let totals_before = self.send_queue.totals();
        let decisions_before = self.pending.len();
        let unsynchronised = self.proxies.values().any(|proxy| proxy.unsynchronised);
        let first_tables_due = trigger != PublishTrigger::Event && unsynchronised;
        let first_tables_need_flush = self.parameters.flush_limit.first_tables_need_flush;
        let flush = self.should_flush(now, trigger, first_tables_due && first_tables_need_flush);
        // A flush that the limit holds back stays due.
        if trigger == PublishTrigger::FlushDue && (flush || self.proxies.is_empty()) {
            self.next_flush_at = now + self.parameters.flush_interval;
        }
        if flush {
            // A table costs less than the ejections of several replicas, and makes them unnecessary. Proxies
            // without a replica must not wait for room that the ejections of a release leave.
            let unserved = unsynchronised || !self.proxies_without_replicas().is_empty();
            if unserved || self.tables_replace_ejections() {
                self.send_tables(now, Recipients::Unserved);
            }
            self.send_ejections();
            let readmissions = self.plan_readmissions(now);
            self.send_queue.add(readmissions.entries, readmissions.messages, Purpose::Readmission);
            self.send_tables(now, Recipients::All);
            self.send_readmissions();
            self.publish_admission(now);
            self.forget_gone_replicas(now);
        } else {
            self.discard_planned_readmissions();
            if first_tables_due && !first_tables_need_flush {
                self.send_tables(now, Recipients::Unsynchronised);
            }
        }
        if self.pending.len() > decisions_before {
            if flush {
                self.flush_limiter.record_flush(now, &self.parameters.flush_limit);
            }
            // First tables are acknowledged, too: they can fill the channel for seconds.
            let number = self.send_queue.record_batch(totals_before);
            self.pending.push_back(Decision::RequestAcknowledgement(number));
        }
    }

    fn should_flush(&self, now: Duration, trigger: PublishTrigger, needed_for_first_tables: bool) -> bool {
        let urgent = needed_for_first_tables
            || self.unsent_ejections().next().is_some()
            || self.readmission_is_urgent(now);
        let urgency = if urgent { Urgency::Urgent } else { Urgency::Ordinary };
        let due = urgent || trigger == PublishTrigger::FlushDue;
        let allowed = self.flush_limiter.allowed_at(&self.parameters.flush_limit, urgency) <= now;
        due && allowed && !self.proxies.is_empty()
    }
}
