//! One governor's state and what to do with each thing that happens: engine, streams and sessions, in the
//! hands of one task. Everything here is plain calls; sockets, files and waiting are the loop's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tonic::Status;
use wrenthread::types::{Phase, ProxyId};
use wrenthread_core::engine::{
    Action, DecisionSummary, Engine, EngineEvent, EngineSettings, RollbackError, TableScope,
};
use wrenthread_core::fleet::{self, JoinError, Proxy, TableKind};
use wrenthread_core::guard::Refusal;
use wrenthread_core::overrides::OverrideKind;
use wrenthread_core::ownership::{self, SigningKey};
use wrenthread_core::recording::Recording;
use wrenthread_core::roster::RosterEntry;
use wrenthread_core::snapshot::StoredItems;
use wrenthread_core::table_versions;
use wrenthread_long_poll::messages::{JoinTold, ReportTold, TablesTold, Terms, digest_of, tries_word};
use wrenthread_long_poll::service as poll;
use wrenthread_long_poll::sessions::{Due, Polls, Told};
use wrenthread_membership::{Action as MembershipAction, Membership, MembershipEvent, ServiceMode};
use wrenthread_xds::pb::envoy::admin::v3::ClientResourceStatus;
use wrenthread_xds::pb::envoy::config::core::v3::{Locality, Node};
use wrenthread_xds::pb::envoy::service::status::v3::client_config::GenericXdsConfig;
use wrenthread_xds::pb::envoy::service::status::v3::{
    ClientConfig, ClientStatusRequest, ClientStatusResponse, ConfigStatus,
};
use wrenthread_xds::pb::envoy::r#type::matcher::v3::string_matcher::MatchPattern;
use wrenthread_xds::service::{Answers, Event};
use wrenthread_xds::session::{Heard, Request, Session, Standing};
use wrenthread_xds::{GO_TO, Wire, decode, encode};

use crate::membership;

/// The longest that a long-poll question waits.
pub const WAIT_MOST: Duration = Duration::from_secs(60);

/// An ADS stream.
struct Stream {
    answers: Answers,
    /// None until its first request.
    session: Option<Session>,
}

/// Something for the loop to do.
pub enum Chore {
    /// Wait until the stream has room, then call [`Host::roomy`].
    AwaitRoom(u64, Answers),
    /// Say this to another governor.
    Say(SocketAddr, Vec<u8>),
}

/// Sessions that were sent on while no question of theirs waited; beyond so many the oldest are forgotten,
/// and join again wherever they were.
const MOST_SENT_ON: usize = 1024;

/// How long something asked for is to last, and why.
fn lasting(asked: &Value) -> Result<(Duration, &str), String> {
    let lasts = asked["for_s"].as_f64().and_then(|lasts| Duration::try_from_secs_f64(lasts).ok());
    let lasts = lasts.filter(|lasts| !lasts.is_zero()).ok_or("`for_s` is a number of seconds above 0")?;
    let why = asked["why"].as_str().filter(|why| !why.is_empty()).ok_or("`why` is needed")?;
    Ok((lasts, why))
}

pub struct Host {
    pub engine: Engine,
    wire: Wire,
    keys: Vec<SigningKey>,
    /// Proxies that came with another governor's orders, or another life's.
    taken_over: u64,
    /// It learnt that an earlier life of its own had a later calendar, and took that up.
    outlived: bool,
    talk: Membership,
    sent_on: BTreeMap<u64, Option<String>>,
    usual: f64,
    streams: BTreeMap<u64, Stream>,
    /// Load report streams, by the name that their node gave.
    reporters: BTreeMap<u64, Arc<str>>,
    polls: Polls<poll::Reply<poll::Answer>>,
    terms: Terms,
    listed: bool,
}

impl Host {
    pub fn new(
        setup: EngineSettings,
        wire: Wire,
        keys: Vec<SigningKey>,
        usual: f64,
        talk: Membership,
        now: Duration,
    ) -> Self {
        let terms = Terms {
            epoch: format!("{:x}", wire.epoch),
            governor: wire.governor.clone(),
            zones: wire.zones.clone(),
            groups: wire.groups.iter().map(|group| group.name.clone()).collect(),
            report_every_s: wire.report_every.as_secs_f64().to_string(),
            load: wire.load_metrics.clone(),
            wait_most_s: WAIT_MOST.as_secs(),
        };
        Host {
            engine: Engine::new(setup, now),
            polls: Polls::default(),
            terms,
            wire,
            keys,
            taken_over: 0,
            outlived: false,
            talk,
            sent_on: BTreeMap::new(),
            usual,
            streams: BTreeMap::new(),
            reporters: BTreeMap::new(),
            listed: false,
        }
    }

    /// Whether a first list has come.
    pub fn is_ready(&self) -> bool {
        self.listed
    }

    pub fn roster(&mut self, now: Duration, entries: Vec<RosterEntry>) {
        tracing::info!(replicas = entries.len(), "a roster came");
        metrics::counter!("wrenthread_rosters_total").increment(1);
        self.listed = true;
        self.engine.update_roster(now, entries);
    }

    pub fn event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Opened { stream, answers } => {
                self.streams.insert(stream, Stream { answers, session: None });
            }
            Event::Asked { stream, request } => self.asked(now, stream, *request),
            Event::Closed { stream } => {
                if let Some(number) = self.engine.number_of(stream) {
                    let name = self.engine.proxy(number).map(|proxy| proxy.name.clone());
                    tracing::info!(proxy = name.as_deref(), stream, "a proxy's stream is over");
                }
                self.streams.remove(&stream);
                self.left(now, stream);
            }
            Event::ReportsOpened { stream, node } => match decode::name(Some(&node)) {
                Ok(name) => drop(self.reporters.insert(stream, name.into())),
                Err(error) => tracing::warn!(%error, stream, "load reports that can't be placed"),
            },
            Event::Reported { stream, stats } => self.reported(now, stream, &stats),
            Event::ReportsClosed { stream } => drop(self.reporters.remove(&stream)),
            Event::Status { request, reply } => drop(reply.send(self.client_status(&request))),
        }
    }

    fn asked(&mut self, now: Duration, stream: u64, request: Request) {
        let (mut claim, mut newly) = (None, None);
        if self.streams.get(&stream).is_some_and(|open| open.session.is_none()) {
            let join = decode::join(&self.wire, request.node(), self.usual, request.holds_orders());
            let join = join.map(|join| {
                let proven = self.proven(&join.name, join.ownership_proof.as_deref());
                fleet::JoinRequest { proven_version: proven, ..join }
            });
            let Some(open) = self.streams.get_mut(&stream) else { return };
            let joined =
                join.map_err(|unclear| Status::invalid_argument(unclear.to_string())).and_then(|join| {
                    let joined =
                        self.engine.proxy_connected(now, stream, &join).map_err(|refused| match refused {
                            JoinError::Full { .. } => Status::resource_exhausted(refused.to_string()),
                            JoinError::Contested { .. } => Status::already_exists(refused.to_string()),
                            JoinError::Nameless => Status::invalid_argument(refused.to_string()),
                        })?;
                    (claim, newly) =
                        (Some((join.name.clone(), join.ownership_proof.clone())), Some(joined.proxy));
                    let fresh =
                        self.engine.proxy(joined.proxy).is_some_and(|proxy| proxy.holds_default_table);
                    tracing::info!(proxy = %join.name, zone = join.zone, fresh, stream, "a proxy joined");
                    Ok(())
                });
            if let Err(status) = joined {
                tracing::warn!(stream, why = status.message(), "a stream is turned away");
                metrics::counter!("wrenthread_joins_refused_total").increment(1);
                open.answers.end(status);
                self.streams.remove(&stream);
                return;
            }
        }
        if let Some(number) = newly {
            let (proxy, claim) = claim.unwrap_or_default();
            let claimed = self.claimed(now, &proxy, claim.as_deref());
            self.came(now, number, claimed.as_deref());
        }
        let Some(open) = self.streams.get_mut(&stream) else { return };
        let session = open.session.get_or_insert_with(|| Session::new(self.wire.epoch, &request));
        match session.request(request) {
            Ok(heard) => {
                let settled = session.settled();
                for heard in heard {
                    match heard {
                        Heard::Acked(version) => self.engine.version_acknowledged(now, stream, version),
                        Heard::Nacked(version, words) => {
                            metrics::counter!("wrenthread_nacks_total").increment(1);
                            self.engine.version_rejected(stream, version, &words);
                        }
                        Heard::Wants => self.engine.resend_requested(now, stream, 1),
                        Heard::Unserved(url) => tracing::debug!(stream, url, "a type that is not served"),
                    }
                }
                if settled {
                    self.engine.settled(stream);
                }
            }
            Err(bad) => {
                tracing::warn!(stream, %bad, "a stream is ended");
                open.answers.end(Status::invalid_argument(bad.to_string()));
                self.streams.remove(&stream);
                self.left(now, stream);
            }
        }
    }

    fn reported(
        &mut self,
        now: Duration,
        stream: u64,
        stats: &[wrenthread_xds::pb::envoy::config::endpoint::v3::ClusterStats],
    ) {
        let Some(name) = self.reporters.get(&stream).cloned() else { return };
        let roster = self.engine.known_roster();
        let (reports, unknown) = decode::reports(&self.wire, stats, |address| roster.at(address).cloned());
        if unknown > 0 {
            metrics::counter!("wrenthread_report_lines_unknown_total").increment(unknown as u64);
        }
        for report in reports {
            metrics::counter!("wrenthread_reports_total").increment(1);
            if let Err(why) = self.engine.record_report(now, &name, stream, &report) {
                metrics::counter!("wrenthread_reports_discarded_total", "why" => why.to_string())
                    .increment(1);
                tracing::debug!(proxy = %name, %why, "a load report does not count");
            }
        }
    }

    /// Whose orders a proxy says that it holds, if that is proven. No table hangs on it: whoever came with
    /// orders is given a whole state by the module, so neither a stale claim nor a forged one brings old
    /// orders back.
    fn claimed(&mut self, now: Duration, proxy: &str, claim: Option<&str>) -> Option<String> {
        match ownership::prove(&self.keys, proxy, claim?) {
            Ok(claim) if claim.governor == self.wire.governor && claim.epoch <= self.wire.epoch => {
                Some(claim.governor)
            }
            Ok(claim) if claim.governor == self.wire.governor => {
                self.outlive(now, claim.epoch);
                Some(claim.governor)
            }
            Ok(claim) => {
                self.taken_over += 1;
                metrics::counter!("wrenthread_taken_over_total").increment(1);
                let epoch = format!("{:x}", claim.epoch);
                tracing::info!(proxy, from = claim.governor, epoch, version = claim.version, "taken over");
                Some(claim.governor)
            }
            Err(unproven) => {
                metrics::counter!("wrenthread_claims_unproven_total").increment(1);
                tracing::warn!(proxy, why = %unproven, "a claim is not believed");
                None
            }
        }
    }

    /// An earlier life of this governor had a later calendar: its proxies would not heed this one. It takes
    /// up a later epoch, and has all come anew.
    ///
    /// Once in a life: two governors of one name would drive each other up for ever, and their proxies about.
    fn outlive(&mut self, now: Duration, epoch: u64) {
        if self.outlived {
            tracing::error!(epoch = format!("{epoch:x}"), "another governor has this one's name, or its key");
            return;
        }
        self.outlived = true;
        self.wire.epoch = epoch.saturating_add(1);
        self.terms.epoch = format!("{:x}", self.wire.epoch);
        tracing::warn!(epoch = self.terms.epoch, "the calendar was set back: a later epoch is taken up");
        for (stream, open) in std::mem::take(&mut self.streams) {
            open.answers.end(Status::unavailable("the governor takes up a later epoch; come back"));
            self.left(now, stream);
        }
        for session in self.polls.sessions() {
            self.end_session(now, session, Told::Over);
        }
    }

    /// A proxy has joined: governors hear of it, and what was sent ahead of it is used, if it comes from whom
    /// it says that it was with.
    fn came(&mut self, now: Duration, number: ProxyId, claimed: Option<&str>) {
        let Some(name) = self.engine.proxy(number).map(|proxy| proxy.name.clone()) else { return };
        let Some(ahead) = self.talk.proxy_connected(now, &name) else { return };
        if claimed.is_some_and(|governor| governor != ahead.from) {
            return tracing::info!(proxy = %name, from = ahead.from, "it has been elsewhere since");
        }
        match membership::read(&self.terms, now, ahead) {
            Ok(handed) => {
                let from = handed.from.clone();
                let tables = self.engine.adopt_migrated_tables(now, number, handed);
                metrics::counter!("wrenthread_handed_over_total").increment(1);
                tracing::info!(proxy = %name, %from, tables, "handed over");
            }
            Err(why) => tracing::warn!(proxy = %name, why, "what went ahead of it can't be understood"),
        }
    }

    /// A proxy's stream or session is over.
    fn left(&mut self, now: Duration, stream: u64) {
        let proxy = self.engine.number_of(stream).and_then(|number| self.engine.proxy(number));
        if let Some(name) = proxy.map(|proxy| proxy.name.clone()) {
            self.talk.proxy_disconnected(now, &name);
        }
        self.engine.stream_closed(now, stream);
    }

    /// Ends a proxy's stream with word of where to go.
    fn send_on(&mut self, now: Duration, proxy: &str, to: Option<String>) {
        let Some(stream) = self.engine.fleet().named(proxy).map(|(_, proxy)| proxy.stream) else { return };
        tracing::info!(proxy, to = to.as_deref().unwrap_or("whoever is next"), "sent on");
        if self.polls.name(stream).is_some() {
            match self.polls.close(stream) {
                Some(reply) => drop(reply.send(Err(poll::Refusal::Moved(to)))),
                None => {
                    self.sent_on.insert(stream, to);
                    while self.sent_on.len() > MOST_SENT_ON {
                        self.sent_on.pop_first();
                    }
                }
            }
        } else if let Some(open) = self.streams.remove(&stream) {
            let mut status = Status::unavailable("this proxy is to go to another governor");
            // Names are of letters, digits, `-` and `_`: they always fit.
            if let Ok(to) = to.unwrap_or_default().parse() {
                status.metadata_mut().insert(GO_TO, to);
            }
            open.answers.end(status);
        }
        self.left(now, stream);
    }

    /// A word of another governor's.
    pub fn heard(&mut self, now: Duration, datagram: &[u8]) {
        if let Err(why) = self.talk.handle_datagram(now, datagram) {
            tracing::debug!(%why, "a datagram tells nothing");
        }
    }

    /// From now on this governor hands its proxies over; or no longer.
    pub fn drain(&mut self, now: Duration, draining: bool) -> Value {
        tracing::warn!(draining, joined = self.engine.fleet().len(), "an operator drains this governor");
        let mode = if draining { ServiceMode::Draining } else { ServiceMode::Serving };
        self.talk.set_mode(now, mode);
        self.governors(now)
    }

    pub fn is_draining(&self) -> bool {
        self.talk.is_draining()
    }

    /// Governors as they are seen from here.
    pub fn governors(&self, now: Duration) -> Value {
        let tally = self.talk.statistics();
        let others: Vec<Value> = self
            .talk
            .members()
            .others()
            .map(|one| {
                let standing = match one.last_heard {
                    None if !one.is_live() => "not heard yet".to_string(),
                    _ => one.update.state.name().to_string(),
                };
                let ago = |at: Duration| now.saturating_sub(at).as_secs_f64();
                json!({
                    "name": one.update.name, "standing": standing, "at": one.update.address.to_string(),
                    "joined": one.update.load.connected_proxies, "draining": one.update.load.draining,
                    "since_s": ago(one.state_since), "heard_s": one.last_heard.map(ago),
                    "incarnation": format!("{:x}", one.update.incarnation),
                })
            })
            .collect();
        json!({
            "name": self.wire.governor, "draining": self.talk.is_draining(),
            "joined": self.engine.fleet().len(), "most": self.talk.max_proxies(), "on_way": tally.proxies_migrating,
            "moved": tally.proxies_moved, "came": tally.proxies_received, "unheard": tally.datagrams_rejected, "others": others,
        })
    }

    /// A question on the long-poll front. `stream`: a number for a new session, in the order of all streams.
    pub fn poll(&mut self, now: Duration, event: poll::Event, stream: impl FnOnce() -> u64) {
        // Whoever asked may be gone by the time of the answer; nothing hangs on that.
        match event {
            poll::Event::Join { proxy, asked, reply } => {
                let session = stream();
                let told = self.poll_join(now, session, &proxy, asked);
                if let Err(refusal) = &told {
                    tracing::warn!(proxy, ?refusal, "a proxy is turned away");
                    metrics::counter!("wrenthread_joins_refused_total").increment(1);
                }
                let _ = reply.send(told);
            }
            poll::Event::Poll { session, held, wait, reply } => {
                self.question(now, session, held, wait, reply)
            }
            poll::Event::Report { session, number, report, reply } => {
                let _ = reply.send(self.poll_report(now, session, number, &report));
            }
            poll::Event::Leave { session, reply } => {
                let known = self.polls.name(session).is_some();
                self.end_session(now, session, Told::Over);
                let _ = reply.send(if known { Ok(()) } else { Err(poll::Refusal::NoSession) });
            }
        }
    }

    fn poll_join(
        &mut self,
        now: Duration,
        session: u64,
        proxy: &str,
        asked: wrenthread_long_poll::messages::JoinAsked,
    ) -> Result<JoinTold, poll::Refusal> {
        let unclear =
            |error: wrenthread_long_poll::messages::Unclear| poll::Refusal::Unclear(error.to_string());
        let mut join = self.terms.join(proxy, asked, self.usual).map_err(unclear)?;
        join.proven_version = self.proven(proxy, join.ownership_proof.as_deref());
        let joined = self.engine.proxy_connected(now, session, &join).map_err(|refused| match refused {
            JoinError::Full { .. } => poll::Refusal::Full(refused.to_string()),
            JoinError::Contested { .. } => poll::Refusal::Conflict(refused.to_string()),
            JoinError::Nameless => poll::Refusal::Unclear(refused.to_string()),
        })?;
        let fresh = self.engine.proxy(joined.proxy).is_some_and(|proxy| proxy.holds_default_table);
        tracing::info!(proxy, zone = join.zone, fresh, session, "a proxy joined by long-poll");
        self.polls.opened(now, session, join.name);
        let claimed = self.claimed(now, proxy, join.ownership_proof.as_deref());
        self.came(now, joined.proxy, claimed.as_deref());
        Ok(JoinTold { session, terms: self.terms.clone() })
    }

    fn question(
        &mut self,
        now: Duration,
        session: u64,
        held: Option<(String, String)>,
        wait: Duration,
        reply: poll::Reply<poll::Answer>,
    ) {
        // A version of another life is none of this one's, but its content may be the same.
        let held = held.map(|(version, digest)| {
            Ok::<_, wrenthread_long_poll::messages::Unclear>((
                self.terms.number(&version)?.unwrap_or(0),
                digest_of(&digest)?,
            ))
        });
        let held = match held.transpose() {
            Ok(held) => held,
            Err(unclear) => return drop(reply.send(Err(poll::Refusal::Unclear(unclear.to_string())))),
        };
        let Some(number) = self.engine.number_of(session) else {
            let refusal =
                self.sent_on.remove(&session).map_or(poll::Refusal::NoSession, poll::Refusal::Moved);
            return drop(reply.send(Err(refusal)));
        };
        match self.polls.asked(now, session, number, held, wait, self.engine.history(), reply) {
            Err((_, reply)) => drop(reply.send(Err(poll::Refusal::NoSession))),
            Ok(asked) => {
                if let Some(old) = asked.superseded {
                    self.reply(old, Told::Superseded);
                }
                if let Some(version) = asked.acked {
                    self.engine.version_acknowledged(now, session, version);
                    self.engine.settled(session);
                }
                let newest = self.engine.history().newest(number).map(|newest| newest.version);
                if asked.acked != newest {
                    self.engine.settled(session);
                    self.engine.resend_requested(now, session, 1);
                }
                self.engine.stream_has_capacity(session);
            }
        }
    }

    fn poll_report(
        &mut self,
        now: Duration,
        session: u64,
        number: u64,
        report: &wrenthread_long_poll::messages::ReportAsked,
    ) -> Result<ReportTold, poll::Refusal> {
        let read = self.terms.report(report).map_err(|error| poll::Refusal::Unclear(error.to_string()))?;
        let name = self.polls.name(session).cloned().ok_or(poll::Refusal::NoSession)?;
        let not = |why: String| Ok(ReportTold { counted: false, why: Some(why) });
        if !self.polls.reported(session, number).map_err(|_| poll::Refusal::NoSession)? {
            return not("this number was taken before".into());
        }
        metrics::counter!("wrenthread_reports_total").increment(1);
        match self.engine.record_report(now, &name, session, &read) {
            Ok(()) => Ok(ReportTold { counted: true, why: None }),
            Err(why) => {
                metrics::counter!("wrenthread_reports_discarded_total", "why" => why.to_string())
                    .increment(1);
                not(why.to_string())
            }
        }
    }

    fn end_session(&mut self, now: Duration, session: u64, told: Told) {
        if let Some(name) = self.polls.name(session) {
            tracing::info!(proxy = %name, session, "a proxy's session is over");
        }
        if let Some(reply) = self.polls.close(session) {
            self.reply(reply, told);
        }
        self.left(now, session);
    }

    fn reply(&self, reply: poll::Reply<poll::Answer>, told: Told) {
        self.reply_to("", reply, told);
    }

    fn reply_to(&self, proxy: &str, reply: poll::Reply<poll::Answer>, told: Told) {
        let claim = |version| self.wire.claim(proxy, version);
        let _ = reply.send(match told {
            Told::Whole(version) => {
                let told = self.terms.whole(version.version, &version.digest, &version.state);
                Ok(poll::Answer::Tables(TablesTold { claim: claim(version.version), ..told }))
            }
            Told::Delta(version, delta) => {
                let told = self.terms.delta(version, &delta);
                Ok(poll::Answer::Tables(TablesTold { claim: claim(version), ..told }))
            }
            Told::Unchanged(..) => Ok(poll::Answer::Unchanged),
            Told::Superseded => Err(poll::Refusal::Conflict("a later question took its place".into())),
            Told::Over => Err(poll::Refusal::NoSession),
        });
    }

    /// When [`Host::pump`] is to be called at the latest.
    pub fn next_due(&self, now: Duration) -> Duration {
        let polls = self.polls.next_due().unwrap_or(Duration::MAX);
        self.engine.next_deadline(now).min(polls).min(self.talk.next_deadline())
    }

    /// A stream has room again.
    pub fn roomy(&mut self, stream: u64) {
        self.engine.stream_has_capacity(stream);
    }

    /// Carries out all that there is to do now. What takes waiting is handed to the loop.
    pub fn pump(&mut self, now: Duration, mut chore: impl FnMut(Chore)) {
        while let Some(due) = self.polls.due(now) {
            match due {
                Due::Waited(reply, told) => self.reply(reply, told),
                Due::Lost(session) => self.end_session(now, session, Told::Over),
            }
        }
        while let Some(step) = self.talk.next_action(now) {
            match step {
                MembershipAction::Send { address, datagram } => chore(Chore::Say(address, datagram)),
                MembershipAction::CollectState { proxy, to } => {
                    let number = self.engine.fleet().named(&proxy).map(|(number, _)| number);
                    let known =
                        number.map(|number| membership::gather(&self.engine, &self.terms, now, number));
                    self.talk.offer_proxy(now, &proxy, &to, known.unwrap_or_default());
                }
                MembershipAction::MoveProxy { proxy, to } => self.send_on(now, &proxy, to),
                MembershipAction::Event(note) => match note {
                    MembershipEvent::MemberStateChanged { governor, state } => {
                        tracing::info!(governor, standing = ?state, "another governor");
                    }
                    MembershipEvent::Stalled { late } => {
                        tracing::warn!(?late, "this governor did nothing for a while")
                    }
                    MembershipEvent::OfferUnanswered { proxy, to } => {
                        tracing::warn!(proxy, to, "an offer was not answered");
                    }
                    MembershipEvent::Drained => tracing::info!("all proxies are handed over"),
                },
            }
        }
        while let Some(step) = self.engine.next_action(now) {
            match step {
                Action::Flush(number) => self.flush(now, number).into_iter().for_each(&mut chore),
                Action::CloseStream(session) if self.polls.name(session).is_some() => {
                    if let Some(reply) = self.polls.close(session) {
                        let why = "a later stream or session of this name took over";
                        let _ = reply.send(Err(poll::Refusal::Conflict(why.into())));
                    }
                }
                Action::CloseStream(stream) => {
                    if let Some(old) = self.streams.remove(&stream) {
                        let why = "a later stream of this node id took over";
                        old.answers.end(Status::aborted(why));
                    }
                }
                Action::CheckHealth(_) => {}
                Action::Report(note) => self.note(&note),
            }
        }
    }

    fn flush(&mut self, now: Duration, number: ProxyId) -> Option<Chore> {
        let stream = self.engine.proxy(number).map(|proxy| proxy.stream);
        if let Some(session) = stream.filter(|session| self.polls.name(*session).is_some()) {
            self.flush_poll(now, number, session);
            return None;
        }
        let open = stream.and_then(|stream| self.streams.get_mut(&stream));
        let (Some(stream), Some(open)) = (stream, open) else {
            self.engine.tables_sent(now, number, 0, 0);
            return None;
        };
        if !open.answers.has_room() {
            self.engine.stream_full(number);
            metrics::counter!("wrenthread_stalls_total").increment(1);
            return Some(Chore::AwaitRoom(stream, open.answers.clone()));
        }
        let (Some(session), Some(proxy)) = (open.session.as_mut(), self.engine.proxy(number)) else {
            self.engine.tables_sent(now, number, 0, 0);
            return None;
        };
        let flushed = session.flush(&self.wire, proxy);
        let settled = session.settled();
        metrics::counter!("wrenthread_lines_sent_total").increment(flushed.lines as u64);
        metrics::counter!("wrenthread_responses_total").increment(flushed.responses.len() as u64);
        let messages = flushed.responses.len();
        for response in flushed.responses {
            open.answers.send(response);
        }
        self.engine.tables_sent(now, number, flushed.lines, messages);
        if let Some(version) = flushed.acked {
            self.engine.version_acknowledged(now, stream, version);
        }
        if settled {
            self.engine.settled(stream);
        }
        None
    }

    fn flush_poll(&mut self, now: Duration, number: ProxyId, session: u64) {
        if !self.engine.proxy(number).is_some_and(Proxy::has_known_tables) {
            return self.engine.tables_sent(now, number, 0, 0);
        }
        match self.polls.flush(now, session, number, self.engine.history()) {
            Some((reply, told, lines)) => {
                metrics::counter!("wrenthread_lines_sent_total").increment(lines as u64);
                metrics::counter!("wrenthread_responses_total").increment(1);
                let name = self.polls.name(session).cloned().unwrap_or_default();
                self.reply_to(&name, reply, told);
                self.engine.tables_sent(now, number, lines, 1);
            }
            // It holds that already.
            None if self.polls.waits(session) => {
                self.engine.tables_sent(now, number, 0, 0);
                let newest = self.engine.history().newest(number).map_or(0, |newest| newest.version);
                self.engine.version_acknowledged(now, session, newest);
            }
            // It is told when it asks next.
            None => self.engine.stream_full(number),
        }
    }

    fn groups(&self, set: u64) -> String {
        let named = self.wire.groups.iter().enumerate().filter(|(place, _)| set >> place & 1 == 1);
        named.map(|(_, group)| group.name.as_str()).collect::<Vec<_>>().join(",")
    }

    fn note(&self, note: &EngineEvent) {
        match note {
            EngineEvent::Decided { what, version, answers } => {
                let answers = format!("{answers:?}").to_lowercase();
                match what {
                    DecisionSummary::Withdraw(replica, out) => {
                        metrics::counter!("wrenthread_withdrawals_total").increment(u64::from(*out));
                        let why = self.engine.ejection_reason(replica).unwrap_or("");
                        let decision = if *out { "withdraw" } else { "let back" };
                        tracing::info!(decision, %replica, why, version, answers);
                    }
                    DecisionSummary::Lines(proxy, lines) => {
                        tracing::info!(decision = "lines", %proxy, lines, version, answers);
                    }
                    DecisionSummary::Follow(proxy, groups) => {
                        let groups = self.groups(*groups);
                        tracing::info!(decision = "bind", %proxy, groups, version, answers);
                    }
                    DecisionSummary::Level(groups, level, tries) => {
                        let (groups, tries) = (self.groups(*groups), tries_word(*tries));
                        tracing::info!(decision = "level", groups, level, tries, version, answers);
                    }
                }
            }
            EngineEvent::EmptyRosterDoubted(_) => {
                tracing::warn!("the roster is empty; the last one stays until it has been so for long")
            }
            EngineEvent::VersionRejected { proxy, version, words } => {
                tracing::warn!(%proxy, version, words, "turned down; the last good tables stand");
            }
            EngineEvent::FrozenTableReleased { proxy, group, over } => {
                let group = self.wire.groups.get(*group).map_or("?", |group| &group.name);
                tracing::warn!(%proxy, group, %over, "a hold is over; the module's tables are told again");
            }
            EngineEvent::OverrideExpired(replica) => {
                tracing::warn!(%replica, "what an operator said of it is over")
            }
            EngineEvent::TableRefused(one) => {
                metrics::counter!("wrenthread_refusals_total", "reason" => format!("{:?}", one.reason))
                    .increment(1);
                let proxy = one.proxy.and_then(|number| self.engine.proxy(number));
                let proxy = proxy.map_or("", |proxy| &proxy.name);
                let group = self.wire.groups.get(one.class).map_or("?", |group| &group.name);
                let (why, done) = (one.reason.to_string(), format!("{:?}", one.outcome).to_lowercase());
                let (replica, asked, allowed) =
                    (one.replica.as_deref().unwrap_or(""), one.asked, one.allowed);
                tracing::warn!(proxy, group, replica, why, asked, allowed, done, "the guard refuses");
            }
            EngineEvent::JoinsQueued(waiting) => {
                tracing::info!(waiting, "proxies wait to be let in: the channel is full")
            }
        }
    }

    /// Ends all streams, with a word; proxies keep their tables. Other governors hear of it: what is to be
    /// said to them is handed to `say`.
    pub fn stop(&mut self, now: Duration, mut say: impl FnMut(SocketAddr, &[u8])) {
        self.talk.leave();
        while let Some(step) = self.talk.next_action(now) {
            if let MembershipAction::Send { address, datagram } = step {
                say(address, &datagram);
            }
        }
        for stream in std::mem::take(&mut self.streams).into_values() {
            stream.answers.end(Status::unavailable("the governor stops; keep your tables and come back"));
        }
        for reply in self.polls.stop() {
            let _ = reply.send(Err(poll::Refusal::Stopping));
        }
    }

    // ---- what operators see

    fn kind(&self, number: ProxyId, proxy: &Proxy) -> &'static str {
        match proxy.kind() {
            TableKind::Standing => "standing",
            TableKind::Own if self.engine.is_critical(number) => "critical",
            TableKind::Own => "default",
        }
    }

    fn zone(&self, zone: usize) -> &str {
        self.wire.zones.get(zone).map_or("?", String::as_str)
    }

    pub fn status(&self, now: Duration, up: Duration) -> Value {
        let figures = self.engine.status(now);
        let proxies: Vec<Value> = self
            .engine
            .fleet()
            .iter()
            .map(|(number, proxy)| {
                let nacked = |(version, words): &(u64, String)| json!({"version": version, "words": words});
                json!({
                    "name": &*proxy.name, "zone": self.zone(proxy.zone), "kind": self.kind(number, proxy),
                    "newest": proxy.newest(), "sent": proxy.sent_version, "acked": proxy.acknowledged_version,
                    "lag_s": proxy.acknowledgement_delay(now).as_secs_f64(),
                    "nacked": proxy.rejected.as_ref().map(nacked),
                })
            })
            .collect();
        let replicas: Vec<Value> = self
            .engine
            .replicas()
            .map(|(id, known)| {
                let why = self.engine.ejection_reason(id);
                let state = match known.phase {
                    Phase::Gone => "gone",
                    Phase::Draining => "draining",
                    Phase::Ready if self.engine.is_ejected(id) => "withdrawn",
                    Phase::Ready if why.is_some() => "on trial",
                    Phase::Ready => "open",
                };
                json!({
                    "id": &**id, "zone": self.zone(known.zone), "weight": known.weight,
                    "address": &*known.address,
                    "state": state, "why": why,
                    "up_s": known.started_at.map(|at| now.saturating_sub(at).as_secs_f64()),
                })
            })
            .collect();
        let groups: Vec<Value> = self
            .wire
            .groups
            .iter()
            .zip(self.engine.admission())
            .map(|(group, (level, tries))| {
                json!({"name": group.name, "level": level, "tries": tries_word(*tries)})
            })
            .collect();
        let holds: Vec<Value> = self
            .engine
            .frozen_tables()
            .map(|(proxy, group, hold)| {
                json!({
                    "proxy": &**proxy, "group": self.wire.groups.get(group).map(|group| &group.name),
                    "version": hold.version, "left_s": hold.until.saturating_sub(now).as_secs_f64(),
                    "why": &*hold.why,
                })
            })
            .collect();
        let overrides: Vec<Value> = self
            .engine
            .overrides()
            .iter()
            .map(|(replica, one)| {
                let weight = match one.what {
                    OverrideKind::Exclude => 0.0,
                    OverrideKind::Weight(factor) => factor,
                };
                json!({
                    "replica": &**replica, "weight": weight, "why": &*one.why,
                    "left_s": one.until.saturating_sub(now).as_secs_f64(),
                })
            })
            .collect();
        let (refused, passed) = self.engine.guard().tally();
        let refused: BTreeMap<String, u64> =
            refused.iter().map(|(why, times)| (why.to_string(), *times)).collect();
        let guard = json!({
            "passed": passed, "refused": refused, "alarms": self.engine.guard().alarms(now),
        });
        let (discarded, counted) = self.engine.reports();
        let discarded: BTreeMap<String, u64> =
            discarded.iter().map(|(why, times)| (why.to_string(), *times)).collect();
        json!({
            "governor": {
                "name": self.wire.governor, "taken_over": self.taken_over,
                "epoch": format!("{:x}", self.wire.epoch), "up_s": up.as_secs_f64(), "ready": self.listed,
                "version": figures.version, "joined": figures.connected_proxies, "lobby": figures.queued_joins,
                "lines_waiting": figures.queued_entries, "lines_waited_most": figures.max_queued_entries,
                "roster_doubted": figures.roster_doubted,
                "reports": {"counted": counted, "waiting": figures.queued_reports, "discarded": discarded},
            },
            "groups": groups, "proxies": proxies, "replicas": replicas, "holds": holds, "guard": guard,
            "overrides": overrides,
        })
    }

    /// What one proxy should hold, by group; none if it is not joined.
    pub fn tables(&self, name: &str) -> Option<Value> {
        let (number, proxy) = self.engine.fleet().named(name)?;
        let groups = self.wire.groups.iter().zip(&proxy.tables).map(|(group, kept)| {
            let lines = kept.as_ref().map(|kept| {
                let lines = kept.table.entries.iter().map(|line| {
                    json!({"replica": &*line.replica, "address": &*line.address, "zone": self.zone(line.zone),
                        "weight": line.weight, "open": line.routable})
                });
                lines.collect::<Vec<_>>()
            });
            json!({
                "group": group.name, "version": kept.as_ref().map(|kept| kept.version),
                "level": kept.as_ref().map(|kept| kept.table.admission_fraction), "lines": lines,
            })
        });
        let standing: Vec<Value> = proxy
            .default_table
            .iter()
            .map(|(id, weight)| json!({"replica": &**id, "weight": weight}))
            .collect();
        Some(json!({
            "name": name, "kind": self.kind(number, proxy), "sent": proxy.sent_version, "acked": proxy.acknowledged_version,
            "standing": standing, "groups": groups.collect::<Vec<_>>(),
        }))
    }

    /// What was refused about a proxy or a replica, newest first, and where it stands; none if nobody knows
    /// it.
    pub fn why(&self, now: Duration, name: &str) -> Option<Value> {
        let number = self.engine.fleet().named(name).map(|(number, _)| number);
        let known = self.engine.replicas().find(|(id, _)| &***id == name);
        if number.is_none() && known.is_none() {
            return None;
        }
        let guard = self.engine.guard();
        let about = |one: &&Refusal| {
            number.is_some() && one.proxy == number || known.is_some() && one.replica.as_deref() == Some(name)
        };
        let refusals = guard.refusals().rev().filter(about).take(50).map(|one| self.refusal(now, one));
        let refusals: Vec<Value> = refusals.collect();
        let out = known.and_then(|(id, _)| self.engine.ejection_reason(id));
        let sent = known.map(|(id, _)| guard.sent_to(id));
        Some(json!({"name": name, "out": out, "sent_per_s": sent, "refusals": refusals}))
    }

    fn refusal(&self, now: Duration, one: &Refusal) -> Value {
        let proxy = one.proxy.and_then(|number| self.engine.proxy(number));
        json!({
            "age_s": now.saturating_sub(one.at).as_secs_f64(),
            "lasts_s": one.at.saturating_sub(one.since).as_secs_f64(),
            "proxy": proxy.map(|proxy| &*proxy.name), "replica": one.replica.as_deref(),
            "group": self.wire.groups.get(one.class).map(|group| &group.name),
            "why": one.reason.to_string(), "asked": one.asked, "allowed": one.allowed,
            "done": format!("{:?}", one.outcome).to_lowercase(),
        })
    }

    /// What is to be known beyond this life.
    pub fn known(&self, now: Duration, calendar: f64, before: &StoredItems) -> StoredItems {
        self.engine.stored_items(now, before, calendar, self.wire.epoch, &self.terms.groups)
    }

    /// The life and version that a proxy's word proves to be this governor's, whichever life of it.
    fn proven(&self, proxy: &str, claim: Option<&str>) -> Option<(u64, u64)> {
        let claim = ownership::prove(&self.keys, proxy, claim?).ok()?;
        (claim.governor == self.wire.governor).then_some((claim.epoch, claim.version))
    }

    /// What is known now, for tables to be tried against. `calendar`: what time it is.
    pub fn record(&self, now: Duration, calendar: f64) -> Recording {
        Recording {
            governor: self.wire.governor.clone(),
            taken_at: calendar,
            zones: self.wire.zones.clone(),
            groups: self.wire.groups.iter().map(|group| group.name.clone()).collect(),
            ..self.engine.record(now)
        }
    }

    /// The kept versions of a proxy's tables; none if it is not joined.
    pub fn history(&self, now: Duration, name: &str) -> Option<Value> {
        let (number, proxy) = self.engine.fleet().named(name)?;
        let versions: Vec<Value> = self
            .engine
            .history()
            .of(number)
            .map(|one| {
                json!({
                    "version": one.version, "age_s": now.saturating_sub(one.published_at).as_secs_f64(),
                    "lines": one.state.entry_count(), "digest": table_versions::hex(&one.digest)[..16],
                    "acked": one.version <= proxy.acknowledged_version,
                })
            })
            .collect();
        Some(json!({"name": name, "versions": versions}))
    }

    /// What differs between two kept versions of a proxy's tables.
    pub fn diff(&self, name: &str, one: u64, other: u64) -> Result<Value, String> {
        let named = self.engine.fleet().named(name);
        let (number, _) = named.ok_or_else(|| format!("no proxy `{name}` is joined"))?;
        let of = |version| {
            let of = self.engine.history().as_of(number, version);
            of.ok_or_else(|| format!("of `{name}` nothing as old as version {version} is kept"))
        };
        let (from, to) = (of(one)?, of(other)?);
        let delta = table_versions::delta(&from.state, from.digest, &to.state, to.digest);
        let told = self.terms.delta(to.version, &delta);
        let groups = serde_json::to_value(&told.groups).map_err(|error| error.to_string())?;
        Ok(json!({"name": name, "from": from.version, "to": to.version, "groups": groups}))
    }

    fn scope(&self, asked: &Value) -> Result<TableScope, String> {
        match (asked["proxy"].as_str(), asked["group"].as_str(), asked["all"].as_bool()) {
            (Some(proxy), None, None) => Ok(TableScope::Proxy(proxy.into())),
            (None, Some(group), None) => {
                let place = self.wire.groups.iter().position(|known| known.name == group);
                place.map(TableScope::Group).ok_or_else(|| format!("no group `{group}` in the settings"))
            }
            (None, None, Some(true)) => Ok(TableScope::All),
            _ => Err("say one of `proxy`, `group` and `all`".into()),
        }
    }

    /// Steps back, as an operator asks.
    pub fn rollback(&mut self, now: Duration, asked: &Value) -> Result<Value, String> {
        let scope = self.scope(asked)?;
        let version = asked["version"].as_u64().ok_or("`version` is a number")?;
        let (lasts, why) = lasting(asked)?;
        let until = now.saturating_add(lasts);
        let rolled = self.engine.rollback(now, &scope, version, why, until).map_err(|no| no.to_string())?;
        tracing::warn!(
            ?scope,
            version,
            why,
            held = rolled.frozen,
            bare = rolled.unfreezable,
            "an operator steps back"
        );
        let left_out = rolled.left_out.iter().map(|(proxy, group, replica, why)| {
            let group = self.wire.groups.get(*group).map(|group| &group.name);
            json!({"proxy": &**proxy, "group": group, "replica": &**replica, "why": why.to_string()})
        });
        let without: Vec<&str> = rolled.without.iter().map(|name| &**name).collect();
        Ok(json!({
            "held": rolled.frozen, "bare": rolled.unfreezable, "without": without,
            "left_out": left_out.collect::<Vec<_>>(),
        }))
    }

    /// Says something of a replica for a while, or ends that, as an operator asks.
    pub fn override_replica(&mut self, now: Duration, asked: &Value) -> Result<Value, String> {
        let replica = asked["replica"].as_str().ok_or("`replica` is needed")?;
        if asked["undo"].as_bool() == Some(true) {
            tracing::warn!(replica, "an operator ends what was said of it");
            return Ok(json!({"replica": replica, "ended": self.engine.end_override(now, replica)}));
        }
        let what = match asked["weight"].as_f64() {
            Some(factor) => OverrideKind::Weight(factor),
            None => OverrideKind::Exclude,
        };
        let (lasts, why) = lasting(asked)?;
        let until = now.saturating_add(lasts);
        let said = self.engine.override_replica(now, &replica.into(), what, until, why);
        said.map_err(|no| no.to_string())?;
        tracing::warn!(replica, ?what, ?lasts, why, "an operator overrides");
        let refused = self.engine.guard().refusals().filter(|one| one.at == now).count();
        Ok(json!({"replica": replica, "refused": refused}))
    }

    /// Ends holds, as an operator asks.
    pub fn release(&mut self, now: Duration, asked: &Value) -> Result<Value, String> {
        let scope = self.scope(asked)?;
        let released = self.engine.release(now, &scope).map_err(|no: RollbackError| no.to_string())?;
        Ok(json!({"released": released}))
    }

    pub fn measure(&self, now: Duration) {
        let figures = self.engine.status(now);
        metrics::gauge!("wrenthread_proxies_joined").set(figures.connected_proxies as f64);
        metrics::gauge!("wrenthread_proxies_in_lobby").set(figures.queued_joins as f64);
        metrics::gauge!("wrenthread_lines_waiting").set(figures.queued_entries as f64);
        metrics::gauge!("wrenthread_history_lines").set(figures.history_entries as f64);
        metrics::gauge!("wrenthread_guard_alarms").set(self.engine.guard().alarms(now) as f64);
        metrics::gauge!("wrenthread_guard_passed").set(self.engine.guard().tally().1 as f64);
        metrics::gauge!("wrenthread_holds").set(figures.frozen_tables as f64);
        let tally = self.talk.statistics();
        metrics::gauge!("wrenthread_governors_there").set(self.talk.members().live_governors() as f64);
        metrics::gauge!("wrenthread_draining").set(f64::from(u8::from(self.talk.is_draining())));
        metrics::gauge!("wrenthread_proxies_sent_on").set(tally.proxies_moved as f64);
        metrics::gauge!("wrenthread_datagrams_unheard").set(tally.datagrams_rejected as f64);
        metrics::gauge!("wrenthread_version").set(figures.version as f64);
        metrics::gauge!("wrenthread_report_lines_waiting").set(figures.queued_reports as f64);
        for (group, (level, _)) in self.wire.groups.iter().zip(self.engine.admission()) {
            metrics::gauge!("wrenthread_level", "group" => group.name.clone()).set(*level);
        }
        let lag = self
            .engine
            .fleet()
            .iter()
            .map(|(_, proxy)| proxy.acknowledgement_delay(now))
            .max()
            .unwrap_or_default();
        metrics::gauge!("wrenthread_lag_seconds").set(lag.as_secs_f64());
    }

    fn client_status(&self, request: &ClientStatusRequest) -> ClientStatusResponse {
        // Exact ids are heeded; matchers of other kinds match all, as too much is better than nothing here.
        let wanted: Vec<&str> = request
            .node_matchers
            .iter()
            .filter_map(|matcher| match &matcher.node_id.as_ref()?.match_pattern {
                Some(MatchPattern::Exact(id)) => Some(id.as_str()),
                _ => None,
            })
            .collect();
        let named = |proxy: &Proxy| wanted.is_empty() || wanted.contains(&&*proxy.name);
        let config = |(_, proxy): (ProxyId, &Proxy)| {
            let session = self.streams.get(&proxy.stream).and_then(|stream| stream.session.as_ref())?;
            let configs =
                session.status(&self.wire, proxy).into_iter().map(|(kind, name, version, standing)| {
                    let (config, client) = match standing {
                        Standing::Acked => (ConfigStatus::Synced, ClientResourceStatus::Acked),
                        Standing::Sent => (ConfigStatus::Stale, ClientResourceStatus::Requested),
                        Standing::Nacked => (ConfigStatus::Error, ClientResourceStatus::Nacked),
                        Standing::NotSent => (ConfigStatus::NotSent, ClientResourceStatus::Requested),
                    };
                    let contents =
                        || encode::resource(&self.wire, proxy, kind, &name).map(|(resource, _)| resource);
                    GenericXdsConfig {
                        type_url: kind.url(),
                        xds_config: if request.exclude_resource_contents { None } else { contents() },
                        name,
                        version_info: format!("{:x}.{version}", self.wire.epoch),
                        config_status: config as i32,
                        client_status: client as i32,
                        ..GenericXdsConfig::default()
                    }
                });
            let locality = Locality { zone: self.zone(proxy.zone).to_string(), ..Locality::default() };
            Some(ClientConfig {
                node: Some(Node { id: proxy.name.to_string(), locality: Some(locality), ..Node::default() }),
                generic_xds_configs: configs.collect(),
                ..ClientConfig::default()
            })
        };
        let config =
            self.engine.fleet().iter().filter(|(_, proxy)| named(proxy)).filter_map(config).collect();
        ClientStatusResponse { config }
    }
}
