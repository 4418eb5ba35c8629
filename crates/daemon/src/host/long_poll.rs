//! The long-poll front: sessions of proxies, their polls and load reports.

use std::time::Duration;

use wrenthread::types::ProxyId;
use wrenthread_core::fleet::{JoinError, Proxy, StreamId};
use wrenthread_core::table_versions::Digest;
use wrenthread_long_poll::messages::{
    JoinAsked, JoinTold, ReportAsked, ReportTold, TablesTold, Unclear, digest_of,
};
use wrenthread_long_poll::service as poll;
use wrenthread_long_poll::sessions::{Due, Told};

use super::{Host, metrics};

type PollReply = poll::Reply<poll::Answer>;

impl Host {
    /// A request of the long-poll front. `next_stream`: a number for a new session, in the order of all streams.
    pub fn long_poll_request(
        &mut self,
        now: Duration,
        request: poll::Event,
        next_stream: impl FnOnce() -> StreamId,
    ) {
        // Whoever asked may be gone by the time of the reply; nothing depends on that.
        match request {
            poll::Event::Join { proxy, asked, reply } => {
                let joined = self.join_by_session(now, next_stream(), &proxy, asked);
                if let Err(error) = &joined {
                    tracing::warn!(proxy, ?error, "proxy rejected");
                    ::metrics::counter!(metrics::JOINS_REFUSED).increment(1);
                }
                let _ = reply.send(joined);
            }
            poll::Event::Poll { session, held, wait, reply } => {
                self.poll_requested(now, session, held, wait, reply);
            }
            poll::Event::Report { session, number, report, reply } => {
                let _ = reply.send(self.session_report(now, session, number, &report));
            }
            poll::Event::Leave { session, reply } => {
                let known = self.sessions.name(session).is_some();
                self.end_session(now, session, Told::Over);
                let _ = reply.send(if known { Ok(()) } else { Err(poll::Refusal::NoSession) });
            }
        }
    }

    fn join_by_session(
        &mut self,
        now: Duration,
        session: StreamId,
        proxy: &str,
        request: JoinAsked,
    ) -> Result<JoinTold, poll::Refusal> {
        let join = self.session_terms.join(proxy, request, self.default_requests_per_second);
        let mut join = join.map_err(invalid)?;
        join.proven_version = self.proven_version(proxy, join.ownership_proof.as_deref());
        let joined = self.engine.proxy_connected(now, session, &join).map_err(join_refusal)?;
        let holds_default_table =
            self.engine.proxy(joined.proxy).is_some_and(|proxy| proxy.holds_default_table);
        tracing::info!(proxy, zone = join.zone, holds_default_table, session, "proxy connected by long-poll");
        self.sessions.opened(now, session, join.name);
        self.connected(now, joined.proxy, proxy, join.ownership_proof.as_deref());
        Ok(JoinTold { session, terms: self.session_terms.clone() })
    }

    fn poll_requested(
        &mut self,
        now: Duration,
        session: StreamId,
        held: Option<(String, String)>,
        wait: Duration,
        reply: PollReply,
    ) {
        let held = match held.map(|(version, digest)| self.held_version(&version, &digest)).transpose() {
            Ok(held) => held,
            Err(error) => return drop(reply.send(Err(invalid(error)))),
        };
        let Some(number) = self.engine.number_of(session) else {
            let redirect = self.pending_redirects.remove(&session);
            let refusal = redirect.map_or(poll::Refusal::NoSession, poll::Refusal::Moved);
            return drop(reply.send(Err(refusal)));
        };
        let polled = self.sessions.asked(now, session, number, held, wait, self.engine.history(), reply);
        let accepted = match polled {
            Ok(accepted) => accepted,
            Err((_, reply)) => return drop(reply.send(Err(poll::Refusal::NoSession))),
        };
        if let Some(superseded) = accepted.superseded {
            self.reply(superseded, Told::Superseded);
        }
        if let Some(version) = accepted.acked {
            self.engine.version_acknowledged(now, session, version);
            self.engine.settled(session);
        }
        let newest = self.engine.history().newest(number).map(|newest| newest.version);
        if accepted.acked != newest {
            self.engine.settled(session);
            self.engine.resend_requested(now, session, 1);
        }
        self.engine.stream_has_capacity(session);
    }

    /// The version that a proxy says it holds. A version of another epoch counts as version 0: its content may still be
    /// the same as a later one's here.
    fn held_version(&self, version: &str, digest: &str) -> Result<(u64, Digest), Unclear> {
        let number = self.session_terms.number(version)?.unwrap_or(0);
        Ok((number, digest_of(digest)?))
    }

    fn session_report(
        &mut self,
        now: Duration,
        session: StreamId,
        number: u64,
        report: &ReportAsked,
    ) -> Result<ReportTold, poll::Refusal> {
        let report = self.session_terms.report(report).map_err(invalid)?;
        let proxy = self.sessions.name(session).cloned().ok_or(poll::Refusal::NoSession)?;
        if !self.sessions.reported(session, number).map_err(|_| poll::Refusal::NoSession)? {
            return Ok(ReportTold { counted: false, why: Some("this number was taken before".into()) });
        }
        Ok(match self.record_report(now, &proxy, session, &report) {
            Ok(()) => ReportTold { counted: true, why: None },
            Err(reason) => ReportTold { counted: false, why: Some(reason.to_string()) },
        })
    }

    /// Answers polls that have waited for as long as they may, and ends sessions that were not heard from.
    pub(super) fn expire_polls(&mut self, now: Duration) {
        while let Some(expired) = self.sessions.due(now) {
            match expired {
                Due::Waited(reply, outcome) => self.reply(reply, outcome),
                Due::Lost(session) => self.end_session(now, session, Told::Over),
            }
        }
    }

    pub(super) fn end_session(&mut self, now: Duration, session: StreamId, outcome: Told) {
        if let Some(proxy) = self.sessions.name(session) {
            tracing::info!(%proxy, session, "proxy disconnected");
        }
        if let Some(reply) = self.sessions.close(session) {
            self.reply(reply, outcome);
        }
        self.disconnected(now, session);
    }

    /// Ends a session whose proxy has connected again.
    pub(super) fn close_replaced_session(&mut self, session: StreamId) {
        if let Some(reply) = self.sessions.close(session) {
            let reason = "a later stream or session of this name took over";
            let _ = reply.send(Err(poll::Refusal::Conflict(reason.into())));
        }
    }

    /// Answers the pending poll of a session, if there is something new for it.
    pub(super) fn flush_session(&mut self, now: Duration, number: ProxyId, session: StreamId) {
        if !self.engine.proxy(number).is_some_and(Proxy::has_known_tables) {
            return self.engine.tables_sent(now, number, 0, 0);
        }
        match self.sessions.flush(now, session, number, self.engine.history()) {
            Some((reply, outcome, entries)) => {
                ::metrics::counter!(metrics::ENTRIES_SENT).increment(entries as u64);
                ::metrics::counter!(metrics::RESPONSES_SENT).increment(1);
                let proxy = self.sessions.name(session).cloned().unwrap_or_default();
                self.reply_with_tables(&proxy, reply, outcome);
                self.engine.tables_sent(now, number, entries, 1);
            }
            // The proxy holds the newest version already.
            None if self.sessions.waits(session) => {
                self.engine.tables_sent(now, number, 0, 0);
                let newest = self.engine.history().newest(number).map_or(0, |newest| newest.version);
                self.engine.version_acknowledged(now, session, newest);
            }
            // Its next poll is answered.
            None => self.engine.stream_full(number),
        }
    }

    /// Replies with an outcome that has no tables.
    fn reply(&self, reply: PollReply, outcome: Told) {
        self.reply_with_tables("", reply, outcome);
    }

    fn reply_with_tables(&self, proxy: &str, reply: PollReply, outcome: Told) {
        let terms = &self.session_terms;
        let answer = match outcome {
            Told::Whole(version) => {
                let tables = terms.whole(version.version, &version.digest, &version.state);
                Ok(self.with_proof(proxy, version.version, tables))
            }
            Told::Delta(version, delta) => Ok(self.with_proof(proxy, version, terms.delta(version, &delta))),
            Told::Unchanged(..) => Ok(poll::Answer::Unchanged),
            Told::Superseded => Err(poll::Refusal::Conflict("a later question took its place".into())),
            Told::Over => Err(poll::Refusal::NoSession),
        };
        let _ = reply.send(answer);
    }

    /// Tables with the proof that they are this governor's.
    fn with_proof(&self, proxy: &str, version: u64, tables: TablesTold) -> poll::Answer {
        poll::Answer::Tables(TablesTold { claim: self.wire.claim(proxy, version), ..tables })
    }
}

fn invalid(error: Unclear) -> poll::Refusal {
    poll::Refusal::Unclear(error.to_string())
}

fn join_refusal(error: JoinError) -> poll::Refusal {
    match error {
        JoinError::Full { .. } => poll::Refusal::Full(error.to_string()),
        JoinError::Contested { .. } => poll::Refusal::Conflict(error.to_string()),
        JoinError::Nameless => poll::Refusal::Unclear(error.to_string()),
    }
}
