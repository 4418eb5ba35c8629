//! Stand-in proxies, which route requests by their tables only. The client library does the work of a proxy;
//! this module generates the requests and injects faults into streams and reports.

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
use wrenthread_client::{Error, Governor, Observer, ProxyIdentity, UpdatedTables, grpc, is_serving, poll};
use wrenthread_core::failover::GovernorSelector;

use crate::event_log::{CLASS_TRAFFIC, CLASSES, Event, EventLog, RequestOutcome};
use crate::replica::Replica;

/// A proxy ejects a replica after this many consecutive failures of its own attempts there, for this long.
const EJECTION: (u32, Duration) = (3, Duration::from_secs(3));
/// How long the home governor must answer before proxies return to it, and the time within which they do.
const FAILBACK: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The protocol by which a proxy follows its governor.
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
pub struct Proxy {
    /// Index in the fleet.
    pub index: usize,
    identity: ProxyIdentity,
    front: Front,
    replicas: Rc<HashMap<String, Rc<Replica>>>,
    event_log: EventLog,
    rng: RefCell<ChaCha8Rng>,
    cache: Rc<RefCell<TableCache>>,
    versions: Rc<RefCell<grpc::Versions>>,
    session: RefCell<Option<Rc<poll::Session>>>,
    /// The governor that it currently follows.
    governor: RefCell<Governor>,
    governor_changed: Notify,
    break_requested: Notify,
    /// Indexes of the governors that it cannot reach.
    unreachable: RefCell<BTreeSet<usize>>,
    /// Delay of load reports in seconds. Delayed reports are sent twice.
    report_delay: Cell<f64>,
    next_report_number: Cell<u64>,
}

enum AttemptResult {
    Succeeded(f64),
    Refused,
    Failed,
}

/// Records in the event log what the client library reports.
struct EventLogObserver<'a> {
    proxy: &'a Proxy,
    governor: usize,
    joined: Cell<bool>,
    got_update: Cell<bool>,
}

impl Observer for EventLogObserver<'_> {
    fn connected(&self) {
        self.joined.set(true);
        self.proxy.event_log.record(Event::Joined { proxy: self.proxy.index, governor: self.governor });
    }

    fn disconnected(&self) {
        if self.joined.take() {
            self.proxy.event_log.record(Event::StreamBroken { proxy: self.proxy.index });
        }
    }

    fn update_received(&self, nonce: &str, entries: usize, tables: &UpdatedTables) {
        let replica = |address: &Arc<str>| {
            self.proxy.replicas.get(&**address).map_or(usize::MAX, |replica| replica.index)
        };
        let tables = tables.iter().map(|(class, (entries, admission_fraction))| {
            (
                class.clone(),
                (entries.iter().map(|(address, _)| replica(address)).collect(), *admission_fraction),
            )
        });
        // A connection attempt counts as successful only after a response from the governor.
        self.got_update.set(true);
        let (proxy, governor, nonce) = (self.proxy.index, self.governor, nonce.to_string());
        self.proxy.event_log.record(Event::TableUpdate {
            proxy,
            governor,
            nonce,
            entries,
            tables: tables.collect(),
        });
    }

    fn update_answered(&self, nonce: &str, accepted: bool) {
        self.proxy.event_log.record(Event::UpdateAnswered {
            proxy: self.proxy.index,
            nonce: nonce.to_string(),
            accepted,
        });
    }
}

impl Proxy {
    /// `default_table`: the replicas drawn from the roster at start, as proxies do.
    pub fn new(
        index: usize,
        identity: ProxyIdentity,
        front: Front,
        default_table: &[Rc<Replica>],
        replicas: Rc<HashMap<String, Rc<Replica>>>,
        seed: u64,
        event_log: EventLog,
    ) -> Rc<Proxy> {
        let entry = |replica: &Rc<Replica>| DefaultEntry {
            replica: replica.id.clone(),
            address: replica.address.as_str().into(),
            weight: 1.0,
        };
        let classes = CLASSES.map(str::to_string).to_vec();
        let cache = TableCache::new(classes, default_table.iter().map(entry).collect(), Some(EJECTION));
        Rc::new(Proxy {
            index,
            identity,
            front,
            replicas,
            event_log,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ (index as u64) << 32)),
            cache: Rc::new(RefCell::new(cache)),
            versions: Rc::default(),
            session: RefCell::new(None),
            governor: RefCell::default(),
            governor_changed: Notify::new(),
            break_requested: Notify::new(),
            unreachable: RefCell::default(),
            report_delay: Cell::new(0.0),
            next_report_number: Cell::new(0),
        })
    }

    /// Breaks the stream to the governor, if there is one.
    pub fn break_stream(&self) {
        self.break_requested.notify_waiters();
    }

    /// Sets whether the proxy can reach a governor. A stream to a governor that becomes unreachable breaks.
    pub fn set_reachable(&self, governor: usize, reachable: bool) {
        match reachable {
            true => drop(self.unreachable.borrow_mut().remove(&governor)),
            false => drop(self.unreachable.borrow_mut().insert(governor)),
        }
    }

    /// Sets the delay of load reports.
    pub fn set_report_delay(&self, seconds: f64) {
        self.report_delay.set(seconds);
    }

    fn random(&self) -> f64 {
        (self.rng.borrow_mut().next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn now(&self) -> Duration {
        Duration::from_secs_f64(self.event_log.now())
    }

    // ---- requests

    /// Generates requests at a rate until `end`, each in a task of its own.
    pub async fn generate_requests(
        self: Rc<Self>,
        requests_per_second: f64,
        end: f64,
        next_request_id: Rc<Cell<u64>>,
    ) {
        while self.event_log.now() < end {
            sleep(Duration::from_secs_f64(-(1.0 - self.random()).max(1e-9).ln() / requests_per_second)).await;
            let mut remaining = self.random();
            let class = CLASS_TRAFFIC.iter().position(|(_, _, share)| {
                remaining -= share;
                remaining < 0.0
            });
            let class = class.unwrap_or(0);
            let request = next_request_id.replace(next_request_id.get() + 1);
            let this = self.clone();
            tokio::task::spawn_local(async move {
                this.event_log.record(Event::RequestArrived { request, proxy: this.index, class });
                // The client gives up at the request deadline, which counts as a failure.
                let expiry = Duration::from_secs_f64(CLASS_TRAFFIC[class].1);
                let outcome =
                    timeout(expiry, this.route(request, class)).await.unwrap_or(RequestOutcome::Failed);
                this.event_log.record(Event::RequestEnded { request, outcome });
            });
        }
    }

    async fn route(&self, request: u64, class: usize) -> RequestOutcome {
        let random = (self.random(), self.random());
        let Some(first) = self.cache.borrow_mut().pick(self.now(), class, random, None) else {
            return RequestOutcome::Rejected;
        };
        let outcome = self.attempt(request, class, &first).await;
        let policy = self.cache.borrow().retry_policy(class);
        let retries = match outcome {
            AttemptResult::Succeeded(_) => return RequestOutcome::Succeeded,
            AttemptResult::Refused => policy != RetryPolicy::Never,
            AttemptResult::Failed => policy == RetryPolicy::OnAnyFailure,
        };
        let random = (0.0, self.random());
        let second = retries.then(|| self.cache.borrow_mut().pick(self.now(), class, random, Some(&first)));
        let Some(second) = second.flatten() else { return RequestOutcome::Failed };
        match self.attempt(request, class, &second).await {
            AttemptResult::Succeeded(_) => RequestOutcome::Succeeded,
            _ => RequestOutcome::Failed,
        }
    }

    async fn attempt(&self, request: u64, class: usize, address: &Arc<str>) -> AttemptResult {
        let replica = self.replicas.get(&**address).map_or(usize::MAX, |replica| replica.index);
        self.event_log.record(Event::AttemptSent { request, proxy: self.index, replica });
        self.cache.borrow_mut().attempt_started(class, address);
        // Counts as failed unless an outcome is set, also if the client gives up during the attempt.
        let mut guard = AttemptGuard { proxy: self, class, address, outcome: None };
        let start = self.event_log.now();
        let result = send_attempt(address, request, class).await.unwrap_or(AttemptResult::Failed);
        if let AttemptResult::Succeeded(queued) = result {
            guard.outcome = Some((Duration::from_secs_f64(self.event_log.now() - start), queued));
        }
        result
    }

    // ---- the governor

    /// Follows a governor, and reconnects when a stream breaks or the governor dies. Uses the home governor,
    /// or the next one in rank while that is unavailable.
    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    pub async fn follow(self: Rc<Self>, governors: Rc<Vec<Governor>>) {
        let names: Vec<&str> = governors.iter().map(|governor| governor.name.as_str()).collect();
        let mut selector = GovernorSelector::new(&self.identity.name, &names, FAILBACK.0, FAILBACK.1);
        loop {
            let index = selector.current();
            let governor = &governors[index];
            self.governor.replace(governor.clone());
            self.governor_changed.notify_waiters();
            let observer = EventLogObserver {
                proxy: &self,
                governor: index,
                joined: Cell::new(false),
                got_update: Cell::new(false),
            };
            let break_requested = self.break_requested.notified();
            let (cache, versions) = (&self.cache, &self.versions);
            let is_unreachable = || self.unreachable.borrow().contains(&index);
            let became_unreachable = async {
                while !is_unreachable() {
                    sleep(Duration::from_millis(50)).await;
                }
            };
            let stream = async {
                if is_unreachable() {
                    // Simulates a connection attempt without an answer, with a shorter timeout.
                    sleep(Duration::from_millis(200)).await;
                    return Err(Error::StreamEnded);
                }
                match self.front {
                    Front::StateOfTheWorld => {
                        grpc::follow(governor, &self.identity, false, cache, versions, &observer).await
                    }
                    Front::Delta => {
                        grpc::follow(governor, &self.identity, true, cache, versions, &observer).await
                    }
                    Front::LongPoll => {
                        let session =
                            Rc::new(poll::Session::join(&governor.poll, &self.identity, cache).await?);
                        observer.connected();
                        *self.session.borrow_mut() = Some(session.clone());
                        poll::follow(&session, cache, &observer).await
                    }
                }
            };
            let home = governors[selector.home()].grpc.clone();
            let home_available = async {
                loop {
                    sleep(Duration::from_millis(500)).await;
                    let reachable = !self.unreachable.borrow().contains(&selector.home());
                    let available = selector.is_home() || reachable && is_serving(&home).await;
                    if selector.home_checked(self.now(), available) {
                        return;
                    }
                }
            };
            let result = tokio::select! {
                result = stream => result.err(),
                () = break_requested => None,
                () = home_available => Some(Error::Redirected(Some(names[selector.home()].to_string()))),
                () = became_unreachable => Some(Error::StreamEnded),
            };
            *self.session.borrow_mut() = None;
            let got_update = observer.got_update.get();
            observer.disconnected();
            match result {
                Some(Error::Redirected(Some(to))) if selector.is_home() && to == names[selector.home()] => {}
                Some(Error::Redirected(to)) => {
                    selector.redirected(to.and_then(|to| names.iter().position(|name| *name == to)));
                }
                // A broken stream is retried at the same governor. Only an unreachable governor is skipped.
                _ if !got_update || self.unreachable.borrow().contains(&index) => selector.connection_lost(),
                _ => {}
            }
            sleep(Duration::from_secs_f64(0.1 + 0.2 * self.random())).await;
        }
    }

    /// Sends load reports to the governor that it currently follows.
    pub async fn report(self: Rc<Self>) {
        loop {
            let governor_changed = self.governor_changed.notified();
            let uri = self.governor.borrow().grpc.clone();
            let reporting = async {
                match self.front {
                    Front::LongPoll => self.report_by_poll().await,
                    _ => self.report_by_grpc(&uri).await,
                }
            };
            tokio::select! {
                _ = reporting => {}
                () = governor_changed => {}
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Sends a report now; or, with a delay set, late and twice.
    fn send_report<F: Future<Output = ()> + 'static>(&self, send: impl Fn() -> F + 'static) {
        let (report_delay, event_log, proxy) = (self.report_delay.get(), self.event_log.clone(), self.index);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_secs_f64(report_delay)).await;
            for _ in 0..if report_delay > 0.0 { 2 } else { 1 } {
                event_log.record(Event::Report { proxy, delayed: report_delay > 0.0 });
                send().await;
            }
        });
    }

    async fn report_by_grpc(&self, uri: &str) -> Result<(), wrenthread_client::Error> {
        let mut stream = grpc::Reports::open(uri, &self.identity, &self.cache).await?;
        let mut last = self.now();
        loop {
            stream.wait().await?;
            let (now, counters) = (self.now(), self.cache.borrow_mut().take_counters());
            let request =
                grpc::load_stats_request(&CLASSES.map(str::to_string), now - last, &counters, &["waiting"]);
            last = now;
            let sender = stream.sender();
            self.send_report(move || {
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
            let (now, counters) = (self.now(), self.cache.borrow_mut().take_counters());
            let report = poll::report_request(&self.cache.borrow(), now - last, &counters);
            last = now;
            let number = self.next_report_number.replace(self.next_report_number.get() + 1);
            self.send_report(move || {
                let (session, report) = (session.clone(), report.clone());
                async move { drop(session.report(number, &report).await) }
            });
        }
    }
}

/// Records the outcome of an attempt when dropped, however the attempt ends.
struct AttemptGuard<'a> {
    proxy: &'a Proxy,
    class: usize,
    address: &'a Arc<str>,
    outcome: Option<(Duration, f64)>,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let mut cache = self.proxy.cache.borrow_mut();
        let now = self.proxy.now();
        match self.outcome {
            Some((elapsed, queued)) => {
                cache.attempt_ended(
                    now,
                    self.class,
                    self.address,
                    Outcome::Succeeded { latency: elapsed, load: &[queued] },
                );
            }
            None => cache.attempt_ended(now, self.class, self.address, Outcome::Failed),
        }
    }
}

async fn send_attempt(address: &str, request: u64, class: usize) -> Result<AttemptResult> {
    let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return Ok(AttemptResult::Refused);
    };
    connection.write_all(format!("{request} {class}\n").as_bytes()).await?;
    let mut response = String::new();
    BufReader::new(connection).read_line(&mut response).await?;
    Ok(match response.trim().split_once(' ') {
        Some(("ok", queued)) => AttemptResult::Succeeded(queued.parse().unwrap_or(0.0)),
        _ if response.trim() == "refused" => AttemptResult::Refused,
        _ => AttemptResult::Failed,
    })
}
