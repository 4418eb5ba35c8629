//! Stand-in relays: plain proxies that follow their tables and nothing more. What makes them proxies is the
//! client library; here are their flows, and what goes wrong with their streams and reports.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use wrenthread::types::RetryPolicy;
use wrenthread_client::table_cache::{DefaultEntry, Outcome, TableCache};
use wrenthread_client::{Error, Governor, Observer, ProxyIdentity, UpdatedTables, answers, grpc, poll};
use wrenthread_core::failover::GovernorSelector;

use crate::event_log::{End, FLOWS, GROUPS, Tape, What};
use crate::worker::Worker;

/// A relay keeps away from a worker for so long after so many of its own tries in a row were dropped there.
const AVOID: (u32, Duration) = (3, Duration::from_secs(3));
/// A home must answer for so long before relays go there, and they do within so long.
const HOME: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));
const CONNECT: Duration = Duration::from_millis(250);

/// By which front a relay follows its governor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Front {
    /// gRPC, state of the world.
    StateOfTheWorld,
    /// gRPC, deltas.
    Delta,
    /// Long-poll HTTP.
    LongPoll,
}

/// A stand-in proxy.
pub struct Relay {
    /// Its number.
    pub place: usize,
    who: ProxyIdentity,
    front: Front,
    workers: Rc<HashMap<String, Rc<Worker>>>,
    tape: Tape,
    rng: RefCell<ChaCha8Rng>,
    cache: Rc<RefCell<TableCache>>,
    versions: Rc<RefCell<grpc::Versions>>,
    session: RefCell<Option<Rc<poll::Session>>>,
    /// Whom it follows now.
    at: RefCell<Governor>,
    moved: Notify,
    cut: Notify,
    /// Governors that it can't reach, by place.
    out_of_reach: RefCell<BTreeSet<usize>>,
    /// Reports come so many seconds late, and twice.
    late: Cell<f64>,
    reports: Cell<u64>,
}

enum Tried {
    Ok(f64),
    Refused,
    Bad,
}

/// Tapes what the client library sees.
struct Taped<'a> {
    relay: &'a Relay,
    governor: usize,
    joined: Cell<bool>,
    ever: Cell<bool>,
}

impl Observer for Taped<'_> {
    fn connected(&self) {
        self.joined.set(true);
        self.relay.tape.add(What::Joined { relay: self.relay.place, governor: self.governor });
    }

    fn disconnected(&self) {
        if self.joined.take() {
            self.relay.tape.add(What::Broken { relay: self.relay.place });
        }
    }

    fn update_received(&self, mark: &str, lines: usize, tables: &UpdatedTables) {
        let worker = |at: &Arc<str>| self.relay.workers.get(&**at).map_or(usize::MAX, |worker| worker.place);
        let tables = tables.iter().map(|(group, (lines, level))| {
            (group.clone(), (lines.iter().map(|(at, _)| worker(at)).collect(), *level))
        });
        // A dial that got no further than its first message found nobody.
        self.ever.set(true);
        let (relay, governor, nonce) = (self.relay.place, self.governor, mark.to_string());
        self.relay.tape.add(What::Order { relay, governor, nonce, lines, tables: tables.collect() });
    }

    fn update_answered(&self, mark: &str, taken: bool) {
        self.relay.tape.add(What::Answer { relay: self.relay.place, nonce: mark.to_string(), taken });
    }
}

impl Relay {
    /// `standing`: the workers of the table that it drew from the list at its start, as proxies do.
    pub fn new(
        place: usize,
        who: ProxyIdentity,
        front: Front,
        standing: &[Rc<Worker>],
        workers: Rc<HashMap<String, Rc<Worker>>>,
        seed: u64,
        tape: Tape,
    ) -> Rc<Relay> {
        let line = |worker: &Rc<Worker>| DefaultEntry {
            replica: worker.id.clone(),
            address: worker.address.as_str().into(),
            weight: 1.0,
        };
        let groups = GROUPS.map(str::to_string).to_vec();
        let cache = TableCache::new(groups, standing.iter().map(line).collect(), Some(AVOID));
        Rc::new(Relay {
            place,
            who,
            front,
            workers,
            tape,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ (place as u64) << 32)),
            cache: Rc::new(RefCell::new(cache)),
            versions: Rc::default(),
            session: RefCell::new(None),
            at: RefCell::default(),
            moved: Notify::new(),
            cut: Notify::new(),
            out_of_reach: RefCell::default(),
            late: Cell::new(0.0),
            reports: Cell::new(0),
        })
    }

    /// Breaks its stream to the governor, if it has one.
    pub fn cut(&self) {
        self.cut.notify_waiters();
    }

    /// Governors are out of its reach, or within it again; a stream to one of them breaks.
    pub fn reach(&self, governor: usize, reaches: bool) {
        match reaches {
            true => drop(self.out_of_reach.borrow_mut().remove(&governor)),
            false => drop(self.out_of_reach.borrow_mut().insert(governor)),
        }
    }

    /// Load reports are sent so many seconds late from now on.
    pub fn report_late(&self, seconds: f64) {
        self.late.set(seconds);
    }

    fn chance(&self) -> f64 {
        (self.rng.borrow_mut().next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn now(&self) -> Duration {
        Duration::from_secs_f64(self.tape.now())
    }

    // ---- flows

    /// Brings flows at a rate until the day's end; each is a task of its own.
    pub async fn bring(self: Rc<Self>, flows_per_s: f64, until: f64, next: Rc<Cell<u64>>) {
        while self.tape.now() < until {
            sleep(Duration::from_secs_f64(-(1.0 - self.chance()).max(1e-9).ln() / flows_per_s)).await;
            let mut pick = self.chance();
            let group = FLOWS.iter().position(|(_, _, share)| {
                pick -= share;
                pick < 0.0
            });
            let group = group.unwrap_or(0);
            let flow = next.replace(next.get() + 1);
            let this = self.clone();
            tokio::task::spawn_local(async move {
                this.tape.add(What::Came { flow, relay: this.place, group });
                // The client has given up by its expiry, and has its answer then.
                let expiry = Duration::from_secs_f64(FLOWS[group].1);
                let end = timeout(expiry, this.carry(flow, group)).await.unwrap_or(End::Dropped);
                this.tape.add(What::Ended { flow, end });
            });
        }
    }

    async fn carry(&self, flow: u64, group: usize) -> End {
        let chance = (self.chance(), self.chance());
        let Some(first) = self.cache.borrow_mut().pick(self.now(), group, chance, None) else {
            return End::Blocked;
        };
        let outcome = self.attempt(flow, group, &first).await;
        let tries = self.cache.borrow().retry_policy(group);
        let again = match outcome {
            Tried::Ok(_) => return End::Delivered,
            Tried::Refused => tries != RetryPolicy::Never,
            Tried::Bad => tries == RetryPolicy::OnAnyFailure,
        };
        let chance = (0.0, self.chance());
        let second = again.then(|| self.cache.borrow_mut().pick(self.now(), group, chance, Some(&first)));
        let Some(second) = second.flatten() else { return End::Dropped };
        match self.attempt(flow, group, &second).await {
            Tried::Ok(_) => End::Delivered,
            _ => End::Dropped,
        }
    }

    async fn attempt(&self, flow: u64, group: usize, at: &Arc<str>) -> Tried {
        let worker = self.workers.get(&**at).map_or(usize::MAX, |worker| worker.place);
        self.tape.add(What::Try { flow, relay: self.place, worker });
        self.cache.borrow_mut().attempt_started(group, at);
        // Counted as dropped unless it comes to something: also when the client gives up in the midst of it.
        let mut count = Count { relay: self, group, at, outcome: None };
        let began = self.tape.now();
        let tried = exchange(at, flow, group).await.unwrap_or(Tried::Bad);
        if let Tried::Ok(waiting) = tried {
            count.outcome = Some((Duration::from_secs_f64(self.tape.now() - began), waiting));
        }
        tried
    }

    // ---- the governor

    /// Follows a governor, again and again, over broken streams and dead governors: its home, or the next in
    /// rank while that can't be had.
    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    pub async fn follow(self: Rc<Self>, governors: Rc<Vec<Governor>>) {
        let names: Vec<&str> = governors.iter().map(|governor| governor.name.as_str()).collect();
        let mut dialer = GovernorSelector::new(&self.who.name, &names, HOME.0, HOME.1);
        loop {
            let place = dialer.current();
            let governor = &governors[place];
            self.at.replace(governor.clone());
            self.moved.notify_waiters();
            let watch =
                Taped { relay: &self, governor: place, joined: Cell::new(false), ever: Cell::new(false) };
            let cut = self.cut.notified();
            let (cache, versions) = (&self.cache, &self.versions);
            let out_of_reach = || self.out_of_reach.borrow().contains(&place);
            let cut_off = async {
                while !out_of_reach() {
                    sleep(Duration::from_millis(50)).await;
                }
            };
            let stream = async {
                if out_of_reach() {
                    // As a connection that nobody answers, only sooner.
                    sleep(Duration::from_millis(200)).await;
                    return Err(Error::Ended);
                }
                match self.front {
                    Front::StateOfTheWorld => {
                        grpc::follow(governor, &self.who, false, cache, versions, &watch).await
                    }
                    Front::Delta => grpc::follow(governor, &self.who, true, cache, versions, &watch).await,
                    Front::LongPoll => {
                        let session = Rc::new(poll::Session::join(&governor.poll, &self.who, cache).await?);
                        watch.connected();
                        *self.session.borrow_mut() = Some(session.clone());
                        poll::follow(&session, cache, &watch).await
                    }
                }
            };
            let home = governors[dialer.home()].grpc.clone();
            let going_home = async {
                loop {
                    sleep(Duration::from_millis(500)).await;
                    let reaches = !self.out_of_reach.borrow().contains(&dialer.home());
                    let there = dialer.is_home() || reaches && answers(&home).await;
                    if dialer.home_checked(self.now(), there) {
                        return;
                    }
                }
            };
            let ended = tokio::select! {
                ended = stream => ended.err(),
                () = cut => None,
                () = going_home => Some(Error::Moved(Some(names[dialer.home()].to_string()))),
                () = cut_off => Some(Error::Ended),
            };
            *self.session.borrow_mut() = None;
            let ever = watch.ever.get();
            watch.disconnected();
            match ended {
                Some(Error::Moved(Some(to))) if dialer.is_home() && to == names[dialer.home()] => {}
                Some(Error::Moved(to)) => {
                    dialer.redirected(to.and_then(|to| names.iter().position(|name| *name == to)));
                }
                // A broken stream is tried again where it was; only who can't be had is passed over.
                _ if !ever || self.out_of_reach.borrow().contains(&place) => dialer.connection_lost(),
                _ => {}
            }
            sleep(Duration::from_secs_f64(0.1 + 0.2 * self.chance())).await;
        }
    }

    /// Reports what it met to whichever governor it follows, again and again.
    pub async fn report(self: Rc<Self>) {
        loop {
            let moved = self.moved.notified();
            let uri = self.at.borrow().grpc.clone();
            let reporting = async {
                match self.front {
                    Front::LongPoll => self.report_by_poll().await,
                    _ => self.report_by_grpc(&uri).await,
                }
            };
            tokio::select! {
                _ = reporting => {}
                () = moved => {}
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Does what a report takes: now, or late and twice.
    fn deliver<F: Future<Output = ()> + 'static>(&self, send: impl Fn() -> F + 'static) {
        let (late, tape, relay) = (self.late.get(), self.tape.clone(), self.place);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(late)).await;
            for _ in 0..if late > 0.0 { 2 } else { 1 } {
                tape.add(What::Report { relay, late: late > 0.0 });
                send().await;
            }
        });
    }

    async fn report_by_grpc(&self, uri: &str) -> Result<(), wrenthread_client::Error> {
        let mut stream = grpc::Reports::open(uri, &self.who, &self.cache).await?;
        let mut last = self.now();
        loop {
            stream.wait().await?;
            let (now, stats) = (self.now(), self.cache.borrow_mut().take_counters());
            let request = grpc::request(&GROUPS.map(str::to_string), now - last, &stats, &["waiting"]);
            last = now;
            let sender = stream.sender();
            self.deliver(move || {
                let (sender, request) = (sender.clone(), request.clone());
                async move { drop(sender.send(request).await) }
            });
        }
    }

    async fn report_by_poll(&self) -> Result<(), wrenthread_client::Error> {
        let mut last = self.now();
        loop {
            sleep(Duration::from_millis(500)).await;
            let Some(session) = self.session.borrow().clone() else { continue };
            let (now, stats) = (self.now(), self.cache.borrow_mut().take_counters());
            let report = poll::report(&self.cache.borrow(), now - last, &stats);
            last = now;
            let number = self.reports.replace(self.reports.get() + 1);
            self.deliver(move || {
                let (session, report) = (session.clone(), report.clone());
                async move { drop(session.report(number, &report).await) }
            });
        }
    }
}

/// Counts a try when it is over, however it ends.
struct Count<'a> {
    relay: &'a Relay,
    group: usize,
    at: &'a Arc<str>,
    outcome: Option<(Duration, f64)>,
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        let mut cache = self.relay.cache.borrow_mut();
        let now = self.relay.now();
        match self.outcome {
            Some((took, waiting)) => {
                cache.attempt_ended(
                    now,
                    self.group,
                    self.at,
                    Outcome::Succeeded { latency: took, load: &[waiting] },
                );
            }
            None => cache.attempt_ended(now, self.group, self.at, Outcome::Failed),
        }
    }
}

async fn exchange(address: &str, flow: u64, group: usize) -> Result<Tried> {
    let Ok(Ok(mut connection)) = timeout(CONNECT, TcpStream::connect(address)).await else {
        return Ok(Tried::Refused);
    };
    connection.write_all(format!("{flow} {group}\n").as_bytes()).await?;
    let mut line = String::new();
    BufReader::new(connection).read_line(&mut line).await?;
    Ok(match line.trim().split_once(' ') {
        Some(("ok", waiting)) => Tried::Ok(waiting.parse().unwrap_or(0.0)),
        _ if line.trim() == "refused" => Tried::Refused,
        _ => Tried::Bad,
    })
}
