//! The long-poll front: handles proxies' sessions, polls and load reports.

use std::time::Duration;

use wrenthread::types::ProxyId;
use wrenthread_core::fleet::{JoinError, Proxy, StreamId};
use wrenthread_long_poll::conversion::{InvalidMessageError, parse_digest};
use wrenthread_long_poll::messages::{
    JoinRequest, JoinResponse, ReportRequest, ReportResponse, TablesResponse,
};
use wrenthread_long_poll::service::{ClaimedVersion, PollResponse, Reply, Request, RequestError};
use wrenthread_long_poll::sessions::{Expired, HeldVersion, Poll, PollAnswer, PollOutcome, ReportNumber};

use super::{Host, metrics};

type PollReply = Reply<PollResponse>;

impl Host {
    /// Handles a request of the long-poll front. `next_stream` returns the id for a new session, from the same sequence
    /// as the ids of gRPC streams.
    pub fn long_poll_request(
        &mut self,
        now: Duration,
        request: Request,
        next_stream: impl FnOnce() -> StreamId,
    ) {
        // Failed replies are ignored: the client may have disconnected.
        match request {
            Request::Join { proxy, join, reply } => {
                let joined = self.join_by_session(now, next_stream(), &proxy, join);
                if let Err(error) = &joined {
                    tracing::warn!(proxy, ?error, "proxy rejected");
                    ::metrics::counter!(metrics::JOINS_REFUSED).increment(1);
                }
                let _ = reply.send(joined);
            }
            Request::Poll { session, held, wait, reply } => {
                self.poll_requested(now, session, held, wait, reply);
            }
            Request::Report { session, number, report, reply } => {
                let _ = reply.send(self.session_report(now, session, number, &report));
            }
            Request::Leave { session, reply } => {
                let known = self.sessions.proxy_name(session).is_some();
                self.end_session(now, session, PollOutcome::SessionClosed);
                let _ = reply.send(if known { Ok(()) } else { Err(RequestError::UnknownSession) });
            }
        }
    }

    fn join_by_session(
        &mut self,
        now: Duration,
        session: StreamId,
        proxy: &str,
        request: JoinRequest,
    ) -> Result<JoinResponse, RequestError> {
        let join = self.session_parameters.decode_join(proxy, request, self.default_requests_per_second);
        let mut join = join.map_err(invalid)?;
        join.proven_version = self.proven_version(proxy, join.ownership_proof.as_deref());
        let joined = self.engine.proxy_connected(now, session, &join).map_err(join_refusal)?;
        let holds_default_table =
            self.engine.proxy(joined.proxy).is_some_and(|proxy| proxy.holds_default_table);
        tracing::info!(proxy, zone = join.zone, holds_default_table, session, "proxy connected by long-poll");
        self.sessions.open(now, session, join.name);
        self.connected(now, joined.proxy, proxy, join.ownership_proof.as_deref());
        Ok(JoinResponse { session, parameters: self.session_parameters.clone() })
    }

    fn poll_requested(
        &mut self,
        now: Duration,
        session: StreamId,
        held: Option<ClaimedVersion>,
        wait: Duration,
        reply: PollReply,
    ) {
        let held = match held.map(|held| self.held_version(&held)).transpose() {
            Ok(held) => held,
            Err(error) => return drop(reply.send(Err(invalid(error)))),
        };
        let Some(proxy_id) = self.engine.id_on_stream(session) else {
            let redirect = self.pending_redirects.remove(&session);
            let refusal = redirect.map_or(RequestError::UnknownSession, RequestError::Redirected);
            return drop(reply.send(Err(refusal)));
        };
        let poll = Poll { session, proxy: proxy_id, held, wait, reply };
        let accepted = match self.sessions.poll(now, poll, self.engine.history()) {
            Ok(accepted) => accepted,
            Err((_, reply)) => return drop(reply.send(Err(RequestError::UnknownSession))),
        };
        if let Some(superseded) = accepted.superseded {
            self.reply(superseded, PollOutcome::Superseded);
        }
        if let Some(version) = accepted.acknowledged_version {
            self.engine.version_acknowledged(session, version);
            self.engine.clear_in_flight(session);
        }
        let newest = self.engine.history().newest(proxy_id).map(|newest| newest.version);
        if accepted.acknowledged_version != newest {
            self.engine.clear_in_flight(session);
            self.engine.resend_requested(now, session, 1);
        }
        self.engine.stream_has_capacity(session);
    }

    /// The version that a proxy claims to have. A version of another epoch counts as version 0, with its digest: its
    /// content may still be equal to that of a later version of this governor.
    fn held_version(&self, held: &ClaimedVersion) -> Result<HeldVersion, InvalidMessageError> {
        let version = self.session_parameters.parse_version(&held.version)?.unwrap_or(0);
        Ok(HeldVersion { version, digest: parse_digest(&held.digest)? })
    }

    fn session_report(
        &mut self,
        now: Duration,
        session: StreamId,
        number: u64,
        report: &ReportRequest,
    ) -> Result<ReportResponse, RequestError> {
        let report = self.session_parameters.decode_report(report).map_err(invalid)?;
        let proxy = self.sessions.proxy_name(session).cloned().ok_or(RequestError::UnknownSession)?;
        let recorded = self.sessions.record_report_number(session, number);
        if recorded.map_err(|_| RequestError::UnknownSession)? == ReportNumber::Duplicate {
            return Ok(not_counted("this number was taken before"));
        }
        Ok(match self.record_report(now, &proxy, session, &report) {
            Ok(()) => ReportResponse { counted: true, reason: None },
            Err(reason) => not_counted(&reason.to_string()),
        })
    }

    /// Answers polls that have reached their wait limit, and ends sessions that have timed out.
    pub(super) fn expire_polls(&mut self, now: Duration) {
        while let Some(expired) = self.sessions.next_expired(now) {
            match expired {
                Expired::Poll { reply, outcome } => self.reply(reply, outcome),
                Expired::Session(session) => self.end_session(now, session, PollOutcome::SessionClosed),
            }
        }
    }

    pub(super) fn end_session(&mut self, now: Duration, session: StreamId, outcome: PollOutcome) {
        if let Some(proxy) = self.sessions.proxy_name(session) {
            tracing::info!(%proxy, session, "proxy disconnected");
        }
        if let Some(reply) = self.sessions.close(session) {
            self.reply(reply, outcome);
        }
        self.disconnected(now, session);
    }

    /// Ends a session that was replaced because its proxy has connected again.
    pub(super) fn close_replaced_session(&mut self, session: StreamId) {
        if let Some(reply) = self.sessions.close(session) {
            let reason = "a later stream or session of this name took over";
            let _ = reply.send(Err(RequestError::Conflict(reason.into())));
        }
    }

    /// Answers the pending poll of a session if its proxy lacks the newest version.
    pub(super) fn flush_session(&mut self, now: Duration, proxy_id: ProxyId, session: StreamId) {
        if !self.engine.proxy(proxy_id).is_some_and(Proxy::has_known_tables) {
            return self.engine.tables_sent(now, proxy_id, 0, 0);
        }
        match self.sessions.answer_pending(now, session, proxy_id, self.engine.history()) {
            Some(PollAnswer { reply, outcome, entries }) => {
                ::metrics::counter!(metrics::ENTRIES_SENT).increment(entries as u64);
                ::metrics::counter!(metrics::RESPONSES_SENT).increment(1);
                let proxy = self.sessions.proxy_name(session).cloned().unwrap_or_default();
                self.reply_with_tables(&proxy, reply, outcome);
                self.engine.tables_sent(now, proxy_id, entries, 1);
            }
            // The proxy already has the newest version.
            None if self.sessions.has_pending_poll(session) => {
                self.engine.tables_sent(now, proxy_id, 0, 0);
                let newest = self.engine.history().newest(proxy_id).map_or(0, |newest| newest.version);
                self.engine.version_acknowledged(session, newest);
            }
            // No poll is pending: the update is sent with the answer to the next poll.
            None => self.engine.stream_full(proxy_id),
        }
    }

    /// Replies to a poll with an outcome that contains no tables.
    fn reply(&self, reply: PollReply, outcome: PollOutcome) {
        self.reply_with_tables("", reply, outcome);
    }

    fn reply_with_tables(&self, proxy: &str, reply: PollReply, outcome: PollOutcome) {
        let parameters = &self.session_parameters;
        let answer = match outcome {
            PollOutcome::Complete(version) => {
                let tables = parameters.encode_complete(version.version, &version.digest, &version.state);
                Ok(self.with_proof(proxy, version.version, tables))
            }
            PollOutcome::Delta { version, delta } => {
                let tables = parameters.encode_delta(version, &delta);
                Ok(self.with_proof(proxy, version, tables))
            }
            PollOutcome::Unchanged { .. } => Ok(PollResponse::Unchanged),
            PollOutcome::Superseded => Err(RequestError::Conflict("a later question took its place".into())),
            PollOutcome::SessionClosed => Err(RequestError::UnknownSession),
        };
        let _ = reply.send(answer);
    }

    /// Adds the proof that this governor published the tables.
    fn with_proof(&self, proxy: &str, version: u64, tables: TablesResponse) -> PollResponse {
        let ownership_proof = self.wire.ownership_proof(proxy, version);
        PollResponse::Tables(TablesResponse { ownership_proof, ..tables })
    }
}

fn not_counted(reason: &str) -> ReportResponse {
    ReportResponse { counted: false, reason: Some(reason.to_string()) }
}

fn invalid(error: InvalidMessageError) -> RequestError {
    RequestError::Invalid(error.to_string())
}

fn join_refusal(error: JoinError) -> RequestError {
    match error {
        JoinError::Full { .. } => RequestError::Full(error.to_string()),
        JoinError::Contested { .. } => RequestError::Conflict(error.to_string()),
        JoinError::EmptyName => RequestError::Invalid(error.to_string()),
    }
}
