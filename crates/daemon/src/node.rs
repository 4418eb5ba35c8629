//! `wrenthread node`: one governor by the platform's protocol. It feeds the rules what comes over the
//! sockets, pulls what they decide, and sends it; it decides nothing itself.

pub mod config;
mod connection;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use wrenthread::interface::{Decision, ProxyId};
use wrenthread::rules::Governor;
use wrenthread_discovery::list::{Change, List};
use wrenthread_discovery::watch::{self, Object, Subscriber};
use wrenthread_lines::decode::{Decoder, Message};
use wrenthread_lines::outbox::Outbox;

use crate::clock::Clock;
use config::{Config, Variables};
use connection::{Connections, Event, Handle};

/// Events that may wait for the one task; connections beyond it wait on their sockets.
const EVENTS: usize = 1024;
/// Events taken before decisions are pulled, so that a burst is one pull.
const AT_ONCE: usize = 512;
/// How often streams are looked over for silence, and names that are gone forgotten.
const HOUSEKEEPING: Duration = Duration::from_secs(1);
/// How many times of those pass before what was left out is logged.
const LOGGED: u32 = 5;
/// An answer to a nonce takes as long as lines wait in a channel that may run slower than it ought to, and
/// some.
const ANSWER_WITHIN: Duration = Duration::from_secs(12);
/// Flows that a proxy would have been sent meanwhile: chance alone leaves none of so many out once in a
/// hundred thousand looks. It guards against streams of machines that vanished; a live proxy whose clients
/// went away all at once would lose its stream, and join anew.
const FLOWS_MISSED: f64 = 12.0;
/// A connection to the address that discovery moved from is heard out for so long: what was written to it
/// counts as told, and the new address may be silent yet. It is closed sooner, most likely.
const HEARD_OUT: Duration = Duration::from_millis(2500);
/// What discovery has to tell reaches each address within some seconds. One that tells of older versions for
/// longer is not behind: it counts anew.
const BEHIND_MOST: Duration = Duration::from_secs(20);
/// Connections that may wait to be accepted: a whole fleet may dial at once as other governors die.
const BACKLOG: u32 = 4096;
/// A file that is being written is read again after this, and so often.
const REREAD: (Duration, u32) = (Duration::from_millis(300), 40);

/// Runs until SIGTERM.
///
/// Errors: variables, a configuration or an address that can't be used.
pub fn run() -> Result<()> {
    let variables = Variables::read()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context("tokio")?;
    LocalSet::new().block_on(&runtime, serve(variables))
}

async fn serve(variables: Variables) -> Result<()> {
    // Before all else: a signal that comes meanwhile waits.
    let mut terminate = signal(SignalKind::terminate()).context("signals")?;
    let mut hangup = signal(SignalKind::hangup()).context("signals")?;
    let config = Config::read(&variables.config)?;
    let listener = listen(variables.listen)?;
    let mut service = Service::start(variables, config, listener);
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = hangup.recv() => service.node.reread(REREAD.1),
            () = service.heed() => {}
        }
        service.node.pull();
    }
    tracing::info!("it ends: told to");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, config::Fault> {
    let listener = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?; // its earlier life's connections may linger
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listener().map_err(|error: std::io::Error| {
        config::Fault::Address("RELAY_LISTEN", format!("{address}, which can't be listened on: {error}"))
    })
}

/// The node, and what comes to it.
struct Service {
    node: Node,
    events: mpsc::Receiver<Event>,
    objects: mpsc::Receiver<Object>,
}

impl Service {
    fn start(variables: Variables, config: Config, listener: TcpListener) -> Self {
        let (events, heard) = mpsc::channel(EVENTS);
        let (objects, lists) = mpsc::channel(4);
        let mut node = Node::new(Clock::start(), variables, config, objects);
        spawn_local(connection::open(listener, node.connections.clone(), events));
        let (governor, listen) = (&node.variables.name, node.variables.listen);
        tracing::info!(%governor, %listen, discovery = %node.discovery, "it serves");
        node.pull();
        Service { node, events: heard, objects: lists }
    }

    /// Waits for what comes next, and takes it in.
    async fn heed(&mut self) {
        let node = &mut self.node;
        let due = node.due.min(node.housekeeping);
        tokio::select! {
            biased;
            Some(object) = self.objects.recv() => node.listed(object),
            Some(event) = self.events.recv() => {
                node.take(event);
                for _ in 1..AT_ONCE {
                    let Ok(event) = self.events.try_recv() else { break };
                    node.take(event);
                }
            }
            () = sleep_until(node.reread_at.map_or(due, |at| at.min(due))) => {}
        }
    }
}

/// A proxy's newest stream.
struct Stream {
    connection: u64,
    handle: Handle,
    usual: f64,
}

/// Who follows discovery at its present address.
struct Follower {
    /// It tells this one's objects from those of earlier ones.
    number: u64,
    /// It has been told to ask for the whole list, and has not had it.
    asks_whole: bool,
    task: JoinHandle<()>,
}

struct Node {
    clock: Clock,
    variables: Variables,
    config: Config,
    discovery: SocketAddr,
    follower: Follower,
    objects: mpsc::Sender<Object>,
    /// Since when discovery has told of nothing but older versions.
    behind: Option<Instant>,
    governor: Governor,
    list: List,
    outbox: Outbox,
    connections: Rc<Connections>,
    streams: BTreeMap<ProxyId, Stream>,
    /// When the rules asked to be called.
    due: Instant,
    housekeeping: Instant,
    houses_kept: u32,
    rereads: u32,
    reread_at: Option<Instant>,
}

impl Follower {
    fn start(number: u64, address: SocketAddr, list: &List, objects: &mpsc::Sender<Object>) -> Self {
        let subscriber = Subscriber { follower: number, objects: objects.clone() };
        let task = spawn_local(watch::follow(address.to_string(), list.version(), subscriber));
        Follower { number, asks_whole: list.version().is_none(), task }
    }
}

impl Node {
    fn new(clock: Clock, variables: Variables, config: Config, objects: mpsc::Sender<Object>) -> Self {
        let info = &config.info;
        let connections = Rc::new(Connections::new(Decoder::new(info)));
        let discovery = config.discovery.unwrap_or(variables.discovery);
        let mut list = List::new(&info.zones);
        let known = list.take(&config.known, |at| clock.at(at));
        let mut node = Node {
            governor: Governor::new(info.settings.clone(), clock.now()),
            outbox: Outbox::new(info.groups.clone(), info.settings.usual_tries),
            follower: Follower::start(1, discovery, &list, &objects),
            connections,
            list,
            objects,
            behind: None,
            discovery,
            streams: BTreeMap::new(),
            due: Instant::now() + Duration::from_secs(3600),
            housekeeping: Instant::now() + HOUSEKEEPING,
            houses_kept: 0,
            rereads: 0,
            reread_at: None,
            clock,
            variables,
            config,
        };
        node.limit();
        match known {
            Ok(Some(change)) => node.tell(change),
            Ok(None) => {}
            Err(fault) => tracing::warn!(%fault, "the configuration's list can't be used"),
        }
        node
    }

    fn limit(&self) {
        let (config, info) = (&self.config, &self.config.info);
        self.connections.limit(config.sockets, config.memory, info.settings.proxies, info.zones.len());
    }

    fn listed(&mut self, object: Object) {
        let clock = self.clock;
        match self.list.read(&object.bytes, |at| clock.at(at)) {
            Ok(change) => change.into_iter().for_each(|change| self.tell(change)),
            Err(fault) => tracing::warn!(%fault, "an object of discovery can't be used: all is asked for"),
        }
        let known = self.list.version();
        let _ = object.known.send(known); // its follower may be gone; the object counts all the same
        if object.follower == self.follower.number {
            self.follower.asks_whole = known.is_none();
            self.behind = self.list.is_behind().then(|| self.behind.unwrap_or_else(Instant::now));
        } else if known.is_none() && !self.follower.asks_whole {
            // The present one watches from a version that has what was spoilt behind it.
            self.follow();
        }
    }

    /// Follows discovery anew, from what the list has. The earlier follower is heard out.
    fn follow(&mut self) {
        let next = Follower::start(self.follower.number + 1, self.discovery, &self.list, &self.objects);
        let earlier = std::mem::replace(&mut self.follower, next).task;
        self.behind = None;
        spawn_local(async move {
            sleep(HEARD_OUT).await;
            earlier.abort();
        });
    }

    fn tell(&mut self, change: Change) {
        for why in &change.spoilt {
            tracing::warn!(%why, "an entry of discovery is spoilt and left out");
        }
        self.connections.names.borrow_mut().extend(change.entries.iter().map(|entry| entry.id.clone()));
        self.governor.listed(self.clock.now(), &change.entries, change.complete);
    }

    fn take(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Joined { connection, proxy, zone, usual, fresh, handle } => {
                if self.streams.get(&proxy).is_some_and(|newest| newest.connection > connection) {
                    // Its joining was held up while the proxy dialled anew. Its handle ends it.
                    self.connections.count("late: a joining on a stream older than the proxy's");
                    return;
                }
                // An older stream of the proxy ends with its handle.
                self.streams.insert(proxy, Stream { connection, handle, usual });
                self.outbox.joined(proxy);
                self.governor.joined(now, proxy, zone, usual, fresh);
            }
            Event::Ended { connection, proxy } => {
                if self.streams.get(&proxy).is_some_and(|stream| stream.connection == connection) {
                    self.leave(proxy);
                }
            }
            Event::Handed(Message::Met(met)) => self.governor.met(now, met),
            Event::Handed(Message::Came(came)) => self.governor.came(now, came),
            Event::Said { connection, proxy, .. }
                if self.streams.get(&proxy).is_none_or(|stream| stream.connection != connection) =>
            {
                self.connections.count("late: said on a stream that ended or was replaced");
            }
            Event::Said { message: Message::Came(came), .. } => self.governor.came(now, came),
            Event::Said { message: Message::Acked { proxy, nonce, took }, .. } => {
                if self.outbox.acked(now, proxy, nonce, took) {
                    self.governor.acked(took);
                } else {
                    self.connections.count("spoilt: an answer to no nonce");
                }
            }
            Event::Said { .. } | Event::Handed(_) => {}
        }
    }

    fn leave(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
        self.outbox.left(proxy);
        self.governor.left(proxy);
    }

    /// Lets the rules see what has become due, and sends what they decide.
    fn pull(&mut self) {
        let at = Instant::now();
        if at >= self.due {
            self.due = at + Duration::from_secs(3600);
            self.governor.beat();
        }
        if at >= self.housekeeping {
            let late = at > self.housekeeping + HOUSEKEEPING;
            self.housekeeping = at + HOUSEKEEPING;
            self.keep_house(late);
        }
        if self.reread_at.is_some_and(|due| at >= due) {
            self.reread(self.rereads);
        }
        let now = self.clock.now();
        while let Some(decision) = self.governor.decide(now) {
            if let Some(Decision::Wake(after)) = self.outbox.take(decision) {
                self.due = at + after;
            }
        }
        let mut unread = Vec::new();
        self.outbox.flush(now, |proxy, bytes| {
            if self.streams.get(&proxy).is_some_and(|stream| !stream.handle.send(bytes)) {
                unread.push(proxy);
            }
        });
        for proxy in unread {
            tracing::warn!(proxy, "a proxy leaves its orders unread: its stream ends");
            self.leave(proxy);
        }
    }

    fn keep_house(&mut self, late: bool) {
        // A governor that stood still has heard of nobody: what waits is read before the next look.
        if !late {
            for proxy in self.silent() {
                tracing::info!(proxy, "a proxy has fallen silent: its stream ends");
                self.leave(proxy);
            }
        }
        if self.behind.is_some_and(|since| since.elapsed() > BEHIND_MOST) {
            tracing::warn!("discovery tells of older versions only: it is taken to count anew");
            self.list.renumber();
            self.follow();
        }
        let governor = &self.governor;
        self.outbox.retain(|id| governor.knows(id));
        self.connections.names.borrow_mut().retain(|id| governor.knows(id));
        self.houses_kept += 1;
        if !self.houses_kept.is_multiple_of(LOGGED) {
            return;
        }
        tracing::info!("{:?}", governor.beliefs());
        let faults = std::mem::take(&mut *self.connections.faults.borrow_mut());
        if !faults.is_empty() {
            tracing::info!(?faults, "left out or ended");
        }
    }

    /// Proxies that said nothing for as long as they would have had to say something, while others did.
    fn silent(&self) -> Vec<ProxyId> {
        let (at, now) = (Instant::now(), self.clock.now());
        let every = self.config.info.settings.sums_every;
        let silence = |stream: &Stream| at.saturating_duration_since(stream.handle.heard());
        let speaking = self.streams.values().filter(|stream| silence(stream) < ANSWER_WITHIN).count();
        if 2 * speaking < self.streams.len() {
            return Vec::new(); // whatever keeps them all from being heard, it is not each of them
        }
        let silent = self.streams.iter().filter(|(proxy, stream)| {
            let heard = self.clock.since(stream.handle.heard());
            let owed = self.outbox.owes_since(**proxy, heard).map(|sent| now.saturating_sub(sent));
            // Whether what it owes an answer to has left or is stuck on its way: nothing is heard either way.
            has_fallen_silent(silence(stream), owed, stream.usual, every)
        });
        silent.map(|(proxy, _)| *proxy).collect()
    }

    /// Reads the configuration again. A broken one leaves what stands, and is tried again for a while.
    fn reread(&mut self, tries: u32) {
        self.reread_at = None;
        let config = match Config::read(&self.variables.config) {
            Ok(config) => config,
            Err(fault) => {
                tracing::warn!(%fault, tries, "a new configuration can't be used: what stands stays");
                self.rereads = tries.saturating_sub(1);
                self.reread_at = (tries > 0).then(|| Instant::now() + REREAD.0);
                return;
            }
        };
        if config.info != self.config.info {
            tracing::warn!("the settings changed: they take effect at the next start");
        }
        let info = self.config.info.clone();
        self.config = Config { info, ..config };
        self.limit();
        let discovery = self.config.discovery.unwrap_or(self.discovery);
        if discovery != self.discovery {
            self.discovery = discovery;
            self.follow();
        }
        tracing::info!(%discovery, "a new configuration is in force");
    }
}

/// Whether a stream that was silent so long, and has owed an answer since, would have had to say something by
/// now. Sums come `every` so often, where there are any flows.
fn has_fallen_silent(silence: Duration, owed: Option<Duration>, usual: f64, every: Duration) -> bool {
    let due = ANSWER_WITHIN + 2 * every;
    let flows = silence.saturating_sub(due).as_secs_f64() * usual;
    owed.is_some_and(|owed| owed > due) || flows > FLOWS_MISSED
}

#[cfg(test)]
mod tests;
