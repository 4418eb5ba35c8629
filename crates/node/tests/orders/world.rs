//! What surrounds a governor: connections that join and end, proxies that do what the platform's page says of
//! orders, an agent of discovery that is late, behind or spoilt. It knows nothing of what is inside the node.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde_json::{Value, json};
use wrenthread::interface::Met;
use wrenthread_info::{Fields, Info};
use wrenthread_lines::decode::{Decoder, Message};
use wrenthread_lines::frames::Frames;
use wrenthread_node::{Joining, Node, Output};

/// What the agent hands to a follower.
#[derive(Debug, Clone, Copy)]
pub enum Object {
    /// What it is owed: changes after its version, or the whole list where it asks for it.
    Sound,
    /// The whole list, in the middle of a watch.
    Whole,
    /// The whole list as it was some versions ago.
    Behind,
    /// Changes, one of which can't be read.
    Spoilt,
    Garbage,
}

#[derive(Debug, Clone)]
pub enum Step {
    /// A connection is accepted, and says who it is; the proxy may have been told elsewhere to shut one out.
    Join {
        proxy: u16,
        fresh: bool,
        shut: Option<usize>,
    },
    /// A connection is accepted, and its joining held up.
    Accept(u16),
    /// One of those says who it is.
    JoinAccepted(usize),
    End(usize),
    /// Answers on a connection, which may have been replaced: the oldest, the newest, the last again, none owed.
    Ack(usize, u8),
    /// Flows reported, cut into two pieces.
    Rate(usize, u64, usize),
    Met(usize, u64, bool),
    Drain(usize),
    Remove(usize),
    Add(bool),
    /// The newest follower, or an earlier one, hears an object.
    Tell(usize, Object),
    /// Discovery moves.
    Move,
    /// The governor dies and starts again, with a list so many versions old.
    Restart(u64),
    /// Time passes, and the governor stands still.
    Stall(u64),
    /// Time passes.
    Pass(u64),
}

const CLASSES: [&str; 2] = ["find", "pay"];
const SPAN: Duration = Duration::from_secs(10);

/// What the channel bears.
#[derive(Debug, Clone, Copy)]
pub struct Channel {
    pub lines_per_s: f64,
    pub most_waiting: f64,
    /// Messages to one proxy within [`SPAN`].
    pub messages_most: usize,
}

/// One that is never in the way.
pub const WIDE: Channel = Channel { lines_per_s: 5000.0, most_waiting: 10_000.0, messages_most: 30 };
/// One that a few joinings fill: what it can't bear in time is not held against the governor, but that no more
/// goes into it is.
pub const NARROW: Channel = Channel { lines_per_s: 100.0, most_waiting: 400.0, messages_most: 12 };

/// What the rules leave for a drain, and for a proxy without a line; with the platform's slack.
const GRACE: Duration = Duration::from_millis(2300);
const TICK: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, PartialEq, Debug)]
enum Status {
    Up,
    Draining,
    Removed,
}

/// A connection that said it is a proxy's.
struct Stream {
    proxy: u16,
    fresh: bool,
    joined: Duration,
    heard: Duration,
    live: bool,
    tables: [Option<BTreeMap<String, f64>>; 2],
    shut: BTreeSet<String>,
    nonces: VecDeque<(u64, Duration)>,
    last: Option<u64>,
    /// Since when it has had nothing to pick.
    bare: Option<Duration>,
}

struct Follower {
    number: u64,
    version: Option<u64>,
}

pub struct World {
    node: Node,
    now: Duration,
    /// Time without that in which the governor stood still.
    served: Duration,
    channel: Channel,
    info: Info,
    accepted: VecDeque<(u64, u16)>,
    connections: u64,
    streams: BTreeMap<u64, Stream>,
    history: Vec<(String, Status, bool)>,
    followers: Vec<Follower>,
    told: u64,
    /// Of replicas told to drain or to be gone: when, by served time.
    drains: BTreeMap<String, Duration>,
    listed: BTreeSet<String>,
    waiting: f64,
    messages: BTreeMap<u16, VecDeque<Duration>>,
    faults: BTreeMap<&'static str, u64>,
}

type Checked = Result<(), String>;

fn info(channel: Channel) -> Info {
    let settings = json!({
        "categories": [
            {"name": CLASSES[0], "deadline_us": 5000000, "effect": "retryable", "objective_us": 2000000},
            {"name": CLASSES[1], "deadline_us": 3000000, "effect": "fragile", "objective_us": 1000000}],
        "extra": {"agents": 5, "bootstrap": 4, "channel_rate": channel.lines_per_s, "cycle_us": 500000, "ejects": 3,
            "level_kind": "ratio", "messages_over_us": SPAN.as_micros() as u64,
            "most_waiting": channel.most_waiting, "per_message": 10.0, "retry_default": 0,
            "update_cap": channel.messages_most, "worst_transit_us": 300000},
        "rules": {"cold_from": 0.3, "warm_after_us": 10000000}, "siblings": 2, "zones": ["a", "b"],
        "report": {"fields": ["queue", "latency_ms"]},
    });
    wrenthread_info::read(&Fields(settings.as_object().expect("an object"))).expect("they are sound")
}

fn none(_: f64) -> Option<Duration> {
    None
}

impl World {
    pub fn new(channel: Channel) -> Self {
        let (info, now) = (info(channel), Duration::from_secs(86_400));
        let history = (0..4).map(|at| (format!("r{at}"), Status::Up, at % 2 == 0)).collect();
        let mut world = World {
            node: Node::new(&info, now),
            now,
            served: Duration::ZERO,
            channel,
            info,
            accepted: VecDeque::new(),
            connections: 0,
            streams: BTreeMap::new(),
            history,
            followers: Vec::new(),
            told: 0,
            drains: BTreeMap::new(),
            listed: BTreeSet::new(),
            waiting: 0.0,
            messages: BTreeMap::new(),
            faults: BTreeMap::new(),
        };
        world.start(4).expect("a start breaks nothing");
        world
    }

    pub fn now(&self) -> Duration {
        self.now - Duration::from_secs(86_400)
    }

    pub fn names(&self) -> usize {
        self.node.names().len()
    }

    pub fn live(&self) -> usize {
        self.streams.values().filter(|stream| stream.live).count()
    }

    pub fn faults(&mut self, why: &str) -> u64 {
        self.faults.extend(self.node.faults());
        self.faults.iter().filter(|(fault, _)| fault.starts_with(why)).map(|(_, count)| count).sum()
    }

    /// A life begins with the list as it was at a version.
    fn start(&mut self, version: u64) -> Checked {
        self.node = Node::new(&self.info, self.now);
        let known = self.whole(version);
        self.node.know(self.now, &known, none).map_err(|fault| fault.to_string())?;
        (self.told, self.waiting) = (version, 0.0);
        self.drains.clear();
        self.heard(version);
        self.messages.clear();
        self.followers.clear();
        self.node.follow();
        self.pull()
    }

    /// Replicas as of a version, with their status; the history's length is the newest.
    fn state(&self, version: u64) -> BTreeMap<String, (Status, bool)> {
        let past = &self.history[..version as usize];
        past.iter().map(|(name, status, here)| (name.clone(), (*status, *here))).collect()
    }

    fn row(name: &str, status: Status, here: bool) -> Value {
        let status = match status {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        };
        json!({"name": name, "zone": if here { "a" } else { "b" }, "status": status, "weight": 1.0, "since_ms": 0})
    }

    fn whole(&self, version: u64) -> Value {
        let state = self.state(version);
        let rows = state.iter().filter(|(_, (status, _))| *status != Status::Removed);
        let rows: Vec<Value> = rows.map(|(name, (status, here))| Self::row(name, *status, *here)).collect();
        json!({"index": version, "snapshot": true, "endpoints": rows})
    }

    /// All up to a version counts as told.
    fn heard(&mut self, version: u64) {
        self.told = self.told.max(version);
        for (name, (status, _)) in self.state(self.told) {
            self.listed.insert(name.clone());
            if status != Status::Up {
                self.drains.entry(name).or_insert(self.served);
            }
        }
    }

    fn change(&mut self, at: usize, to: Status) {
        let state = self.state(self.history.len() as u64);
        // One replica stays, or there would be nothing to hold anybody to.
        let up = state.values().filter(|(status, _)| *status == Status::Up).count();
        let names: BTreeMap<usize, &String> =
            state.keys().map(|name| (name[1..].parse().unwrap(), name)).collect();
        let Some(name) = names.get(&at).copied() else { return };
        let (status, here) = state[name];
        if status != to && status != Status::Removed && (status != Status::Up || up > 1) {
            self.history.push((name.clone(), to, here));
        }
    }

    pub fn take(&mut self, step: &Step) -> Checked {
        match step {
            Step::Join { proxy, fresh, shut } => {
                self.connections += 1;
                self.join(self.connections, *proxy, *fresh, *shut);
            }
            Step::Accept(proxy) => {
                self.connections += 1;
                self.accepted.push_back((self.connections, *proxy));
            }
            Step::JoinAccepted(at) => {
                if let Some((connection, proxy)) = self.accepted.remove(*at) {
                    self.join(connection, proxy, false, None);
                }
            }
            Step::End(of) => {
                if let Some(connection) = self.pick(*of) {
                    let stream = self.streams.get_mut(&connection).expect("it is there");
                    stream.live = false;
                    self.node.ended(connection, stream.proxy);
                }
            }
            Step::Ack(of, how) => {
                if let Some(connection) = self.pick(*of) {
                    self.answer_on(connection, *how);
                }
            }
            Step::Rate(of, flows, cut) => {
                if let Some(connection) = self.pick(*of) {
                    self.rate(connection, *flows, *cut)?;
                }
            }
            Step::Met(at, tries, drop) => {
                let met = Met {
                    zone: 0,
                    replica: format!("r{at}").into(),
                    tries: *tries,
                    dropped: if *drop { *tries } else { 0 },
                    mean: Some(Duration::from_millis(80)).filter(|_| !drop && *tries > 0),
                    span: Duration::from_millis(500),
                    load: vec![0.0],
                };
                self.node.handed(self.now, Message::Met(met));
            }
            Step::Drain(at) => self.change(*at, Status::Draining),
            Step::Remove(at) => self.change(*at, Status::Removed),
            Step::Add(here) => {
                let next = self.state(self.history.len() as u64).len();
                self.history.push((format!("r{next}"), Status::Up, *here));
            }
            Step::Tell(back, object) => self.tell(*back, *object)?,
            Step::Move => self.node.follow(),
            Step::Restart(back) => {
                self.streams.values_mut().for_each(|stream| stream.live = false);
                self.accepted.clear();
                self.start((self.history.len() as u64).saturating_sub(*back).clamp(4, self.told.max(4)))?;
            }
            Step::Stall(millis) => self.now += Duration::from_millis(*millis),
            Step::Pass(millis) => {
                for _ in 0..millis.div_ceil(TICK.as_millis() as u64) {
                    self.tick()?;
                }
            }
        }
        self.pull()
    }

    fn tick(&mut self) -> Checked {
        self.now += TICK;
        self.served += TICK;
        self.waiting = (self.waiting - self.channel.lines_per_s / 5.0 * TICK.as_secs_f64()).max(0.0);
        self.pull()?;
        self.check()
    }

    /// The present follower hears all; then what the rules leave passes.
    pub fn settle(&mut self) -> Checked {
        for _ in 0..60 {
            self.tell(0, Object::Sound)?;
            self.pull()?;
            self.tick()?;
        }
        if self.told != self.history.len() as u64 {
            return Err(format!("{} of {} versions have come through", self.told, self.history.len()));
        }
        self.check()
    }

    fn pick(&self, of: usize) -> Option<u64> {
        let known: Vec<u64> = self.streams.keys().copied().collect();
        (!known.is_empty()).then(|| known[of % known.len()])
    }

    fn join(&mut self, connection: u64, proxy: u16, fresh: bool, shut: Option<usize>) {
        let stream = Stream {
            proxy,
            fresh,
            joined: self.served,
            heard: self.now,
            live: true,
            tables: [None, None],
            shut: shut.map(|at| format!("r{at}")).into_iter().collect(),
            nonces: VecDeque::new(),
            last: None,
            bare: None,
        };
        self.streams.insert(connection, stream);
        let joining = Joining { proxy, zone: usize::from(proxy % 2), usual: 2.0, fresh };
        self.node.joined(self.now, connection, joining);
    }

    /// Answers on the connection that joined as number `at`; whether it owed anything.
    pub fn answer(&mut self, at: usize, how: u8) -> bool {
        let connection = *self.streams.keys().nth(at).expect("it joined");
        self.answer_on(connection, how)
    }

    fn answer_on(&mut self, connection: u64, how: u8) -> bool {
        let stream = self.streams.get_mut(&connection).expect("it joined");
        let owed = match how {
            0 => stream.nonces.pop_front(),
            1 => stream.nonces.drain(..).next_back(),
            2 => stream.last.map(|nonce| (nonce, self.now)),
            _ => Some((60_000, self.now)),
        };
        let Some((nonce, sent)) = owed else { return false };
        (stream.last, stream.heard) = (Some(nonce), self.now);
        let acked = Message::Acked { proxy: stream.proxy, nonce: nonce as u16, took: self.now - sent };
        self.node.said(self.now, connection, stream.proxy, acked);
        true
    }

    /// A report through frames and decoder, in two pieces.
    fn rate(&mut self, connection: u64, flows: u64, cut: usize) -> Checked {
        let stream = self.streams.get_mut(&connection).expect("it joined");
        stream.heard = self.now;
        let proxy = stream.proxy;
        let rate =
            json!({"@type": "RATE", "node": proxy, "route": CLASSES[cut % 2], "total": flows, "errors": 0,
            "interval": 500.0})
            .to_string()
                + "\n";
        let (decoder, mut frames, mut messages) = (Decoder::new(&self.info), Frames::default(), Vec::new());
        let (first, rest) = rate.as_bytes().split_at(cut.min(rate.len()));
        for piece in [first, rest] {
            let pushed = frames.push(piece, 1 << 20, |frame| {
                messages.push(decoder.read(frame, |_| None));
                true
            });
            pushed.map_err(|fault| fault.to_string())?;
        }
        let [Ok(message)] = messages.as_slice() else { return Err(format!("{rate}: {messages:?}")) };
        self.node.said(self.now, connection, proxy, message.clone());
        Ok(())
    }

    fn tell(&mut self, back: usize, object: Object) -> Checked {
        let newest = self.history.len() as u64;
        let Some(at) = self.followers.len().checked_sub(1 + back) else { return Ok(()) };
        let (number, version) = (self.followers[at].number, self.followers[at].version);
        let (bytes, sound) = match (object, version) {
            (Object::Garbage, _) => (b"{\"index\":9,\"snap".to_vec(), None),
            (Object::Sound | Object::Spoilt, Some(from)) if from >= newest => return Ok(()),
            (Object::Sound | Object::Spoilt, Some(from)) => {
                let changed: BTreeSet<&String> =
                    self.history[from as usize..].iter().map(|(name, ..)| name).collect();
                let state = self.state(newest);
                let rows = state.iter().filter(|(name, _)| changed.contains(name));
                let mut rows: Vec<Value> =
                    rows.map(|(name, (status, here))| Self::row(name, *status, *here)).collect();
                let spoilt = matches!(object, Object::Spoilt);
                if spoilt {
                    rows[0]["status"] = json!("drained");
                }
                let object = json!({"index": newest, "snapshot": false, "endpoints": rows});
                // Names that come in it may be ordered from now on.
                self.listed.extend(changed.into_iter().cloned());
                (object.to_string().into_bytes(), (!spoilt).then_some(newest))
            }
            (Object::Behind, _) => {
                let older = newest.saturating_sub(2).max(4);
                (self.whole(older).to_string().into_bytes(), (older >= self.told).then_some(older))
            }
            (..) => (self.whole(newest).to_string().into_bytes(), Some(newest)),
        };
        let known = self.node.object(self.now, number, &bytes, none);
        self.followers[at].version = known;
        if let Some(version) = sound {
            self.heard(version);
        }
        Ok(())
    }

    /// Pulls, and does what the node says, as far as that can be done.
    fn pull(&mut self) -> Checked {
        let streams = &self.streams;
        self.node.pull(self.now, |connection| streams[&connection].heard);
        while let Some(output) = self.node.next() {
            match output {
                Output::Send { connection, bytes } => self.heed(connection, &bytes)?,
                Output::Close { connection } => {
                    let stream = self.streams.get_mut(&connection).ok_or("a close of nothing")?;
                    stream.live = false;
                }
                Output::Follow { follower, from } => {
                    self.followers.push(Follower { number: follower, version: from });
                    if self.followers.len() > 3 {
                        self.followers.remove(0);
                    }
                }
                Output::Names => {}
            }
        }
        let mut live: BTreeMap<u16, u64> = BTreeMap::new();
        for (connection, stream) in self.streams.iter().filter(|(_, stream)| stream.live) {
            if let Some(other) = live.insert(stream.proxy, *connection) {
                return Err(format!("streams {other} and {connection} of proxy {} live", stream.proxy));
            }
            if self.node.stream(stream.proxy) != Some(*connection) {
                return Err(format!("stream {connection} is nobody's, and not closed"));
            }
        }
        Ok(())
    }

    fn heed(&mut self, connection: u64, bytes: &[u8]) -> Checked {
        let Some(stream) = self.streams.get_mut(&connection).filter(|stream| stream.live) else {
            return Err(format!("written to stream {connection}, which has ended"));
        };
        let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
        let parts: Result<Vec<Value>, _> = text.lines().map(serde_json::from_str).collect();
        let parts = parts.map_err(|error| error.to_string())?;
        self.waiting += 10.0;
        for (at, part) in parts.iter().enumerate() {
            if part["more"].as_bool().unwrap_or(false) != (at + 1 < parts.len()) || at >= 64 {
                return Err(format!("parts do not hang together: {text}"));
            }
            self.waiting += stream.heed(part, &self.listed)?;
            stream.nonces.extend(part["ticket"].as_u64().map(|nonce| (nonce, self.now)));
        }
        if self.waiting > self.channel.most_waiting {
            return Err(format!("{} lines wait", self.waiting));
        }
        let sent = self.messages.entry(stream.proxy).or_default();
        sent.push_back(self.now);
        sent.retain(|at| *at + SPAN > self.now);
        if sent.len() > self.channel.messages_most {
            return Err(format!("{} messages to proxy {} within the span", sent.len(), stream.proxy));
        }
        Ok(())
    }

    /// What must hold of each proxy by now.
    fn check(&mut self) -> Checked {
        if self.channel.most_waiting < WIDE.most_waiting {
            return Ok(());
        }
        let state = self.state(self.told);
        let up = state.values().filter(|(status, _)| *status == Status::Up).count();
        for (connection, stream) in self.streams.iter_mut().filter(|(_, stream)| stream.live) {
            for (name, since) in &self.drains {
                // What a standing table drew before its proxy joined is nobody's to know.
                let unknown = stream.fresh && stream.tables[0].is_none() && *since <= stream.joined;
                let due = (*since).max(stream.joined) + GRACE;
                if self.served > due && !unknown && stream.may_send(name) {
                    return Err(format!("stream {connection} may send to {name}, drained {since:?}"));
                }
            }
            let bare = up > 0 && (0..2).any(|class| stream.is_bare(class));
            stream.bare = if bare { stream.bare.or(Some(self.served)) } else { None };
            if stream.bare.is_some_and(|since| since + GRACE < self.served) {
                return Err(format!("stream {connection} has had nothing to pick for too long"));
            }
        }
        Ok(())
    }
}

impl Stream {
    /// Whether it may send to a replica: a table that is not ours names anything.
    fn may_send(&self, name: &str) -> bool {
        let names = |table: &BTreeMap<String, f64>| table.contains_key(name);
        !self.shut.contains(name) && self.tables.iter().any(|table| table.as_ref().is_none_or(names))
    }

    fn is_bare(&self, class: usize) -> bool {
        self.tables[class].as_ref().is_some_and(|table| table.keys().all(|name| self.shut.contains(name)))
    }

    /// Does as a part says; the lines that it counts for in the channel.
    fn heed(&mut self, part: &Value, listed: &BTreeSet<String>) -> Result<f64, String> {
        let wrong = |why: &str| format!("{why}: {part}");
        let rows = |field: &str| part[field].as_array().cloned().unwrap_or_default();
        let classes: Vec<usize> = match part.get("classes") {
            None => vec![0, 1],
            Some(_) => {
                let place = |name: &Value| CLASSES.iter().position(|class| name == class);
                rows("classes").iter().map(place).collect::<Option<_>>().ok_or(wrong("an unknown class"))?
            }
        };
        for class in classes {
            if part["whole"] == true {
                self.tables[class] = Some(BTreeMap::new());
            }
            for line in rows("lines") {
                let (name, weight) = (line[0].as_str().unwrap_or_default(), line[1].as_f64().unwrap_or(-1.0));
                let table =
                    self.tables[class].as_mut().ok_or(wrong("a change of a table it was not given"))?;
                if weight < 0.0 || !listed.contains(name) {
                    return Err(wrong("a line that can't be"));
                }
                table.insert(name.to_string(), weight);
                table.retain(|_, weight| *weight > 0.0);
            }
        }
        for (field, shut) in [("out", true), ("back", false)] {
            for name in rows(field) {
                let name =
                    name.as_str().filter(|name| listed.contains(*name)).ok_or(wrong("never listed"))?;
                if shut {
                    self.shut.insert(name.to_string())
                } else {
                    self.shut.remove(name)
                };
            }
        }
        let level = part["level"].as_f64().is_none_or(|level| (0.0..=1.0).contains(&level));
        if !level || part.get("level").is_some() != part.get("retry").is_some() {
            return Err(wrong("a level that can't be"));
        }
        let marks = ["whole", "level", "ticket"].iter().filter(|field| part.get(**field).is_some()).count();
        Ok((rows("lines").len() + rows("out").len() + rows("back").len() + marks) as f64)
    }
}
