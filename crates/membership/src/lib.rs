//! Governors among themselves: who is there, who has which proxy, and how one changes hands. No I/O, no
//! clock.
//!
//! [`Talk`] is one governor's part. A host tells it of each datagram, and of each proxy that comes or goes;
//! it pulls [`Talk::step`] until `None`, carries out each step, and comes back at [`Talk::next_due`] at the
//! latest.
//!
//! Nothing here decides a table, and nothing is agreed on between governors: see `docs/design/takeover.md`
//! for which of what they do could conflict, and why that does no harm.
//!
//! ```
//! use std::time::Duration;
//! use wrenthread_core::ownership::Key;
//! use wrenthread_membership::{Step, Talk, Terms};
//!
//! let key = Key::new("k", &[7; 32]).unwrap();
//! let at = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
//! let terms = |name: &str, at, peers: &[(String, std::net::SocketAddr)]| Terms {
//!     name: name.into(), at, peers: peers.to_vec(), keys: vec![key.clone()], moves_per_s: 10.0,
//! };
//! let now = Duration::from_secs(100);
//! let mut one = Talk::new(terms("g0", at(1), &[("g1".into(), at(2))]), 1, now);
//! let mut other = Talk::new(terms("g1", at(2), &[("g0".into(), at(1))]), 1, now);
//! while let Some(Step::Send(_, datagram)) = one.step(now) {
//!     other.heard(now, &datagram).unwrap();
//! }
//! assert!(other.members().get("g0").unwrap().is_there());
//! ```

pub mod assignment;
pub mod members;
pub mod messages;
pub mod migration;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wrenthread_core::ownership::{SigningKey, ranking};

use assignment::{Here, Room, SETTLE};
use members::{Members, Pace};
use messages::{Body, Standing, Unheard};
use migration::{Ahead, Handover};

/// Who a governor is, and whom it talks to.
#[derive(Debug, Clone)]
pub struct Terms {
    pub name: String,
    /// Where it is heard.
    pub at: SocketAddr,
    /// Where others are, by their names. Those behind them it hears of.
    pub peers: Vec<(String, SocketAddr)>,
    /// The first seals; all are believed. Without any, nothing is said.
    pub keys: Vec<SigningKey>,
    /// Proxies that are moved a second, at most.
    pub moves_per_s: f64,
}

/// One thing for the host to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    Send(SocketAddr, Vec<u8>),
    /// Say what is known of the proxy, by [`Talk::offer`].
    Gather {
        proxy: Arc<str>,
        to: String,
    },
    /// End the proxy's stream and send it there; or, where this governor drains and talks to nobody, away.
    Move {
        proxy: Arc<str>,
        to: Option<String>,
    },
    Note(Note),
}

/// One line for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    Stands(String, Standing),
    Stalled(Duration),
    Unanswered {
        proxy: String,
        to: String,
    },
    /// All proxies are handed over.
    Drained,
}

#[derive(Debug)]
struct Proxy {
    since: Duration,
    /// By place in `open`, this governor last.
    ranked: Vec<usize>,
}

#[derive(Debug)]
pub struct Talk {
    members: Members,
    handover: Handover,
    keys: Vec<SigningKey>,
    here: BTreeMap<Arc<str>, Proxy>,
    /// The others that proxies can be handed to, as the rankings have them.
    open: Vec<String>,
    draining: bool,
    drained: bool,
    /// Between two moves.
    between: Duration,
    next_move: Duration,
    /// Who is where has changed since it was judged last, or may be by this time.
    judge_at: Duration,
    moved: u64,
    came: u64,
    unheard: u64,
    out: VecDeque<Step>,
}

impl Talk {
    /// `epoch`: this governor's life, higher than any earlier one's.
    pub fn new(terms: Terms, epoch: u64, now: Duration) -> Self {
        let Terms { name, at, peers, keys, moves_per_s } = terms;
        Talk {
            members: Members::new(&name, at, epoch, &peers, Pace::default(), now),
            handover: Handover::new(epoch),
            keys,
            here: BTreeMap::new(),
            open: Vec::new(),
            draining: false,
            drained: false,
            between: Duration::from_secs_f64(1.0 / moves_per_s.clamp(0.01, 10_000.0)),
            next_move: now,
            judge_at: now,
            moved: 0,
            came: 0,
            unheard: 0,
            out: VecDeque::new(),
        }
    }

    // ---- inputs

    /// A datagram came.
    ///
    /// Errors: it tells nothing, and why; they are counted.
    pub fn heard(&mut self, now: Duration, datagram: &[u8]) -> Result<(), Unheard> {
        let message = messages::read(&self.keys, datagram).inspect_err(|_| self.unheard += 1)?;
        if !self.members.heard(now, &message) {
            return Ok(());
        }
        let from = message.from.name.as_str();
        match &message.body {
            Body::Offer { number, proxy, part, parts, bytes } => {
                let rooms = rooms(&self.open, &self.members, &self.handover);
                let (joined, draining) = (self.here.len(), self.draining);
                let giver_drains = message.from.figures.draining;
                let admits =
                    |expected: usize| assignment::admits(joined + expected, &rooms, draining, giver_drains);
                self.handover.offered(now, from, *number, proxy, *part, *parts, bytes, admits);
            }
            Body::Accept { number, proxy } => self.handover.answered(now, from, *number, proxy, true),
            Body::Decline { number, proxy } => self.handover.answered(now, from, *number, proxy, false),
            _ => {}
        }
        self.judge_at = self.judge_at.min(now);
        Ok(())
    }

    /// A proxy's stream is up here. What was sent ahead of it, if anything was.
    pub fn here(&mut self, now: Duration, proxy: &Arc<str>) -> Option<Ahead> {
        let ranked = self.ranked(proxy);
        self.handover.gone(proxy);
        self.here.insert(proxy.clone(), Proxy { since: now, ranked });
        self.judge_at = self.judge_at.min(now + SETTLE);
        self.figures();
        let ahead = self.handover.came(now, proxy);
        self.came += u64::from(ahead.is_some());
        ahead
    }

    /// A proxy's stream is over.
    pub fn gone(&mut self, now: Duration, proxy: &str) {
        self.here.remove(proxy);
        self.handover.gone(proxy);
        self.judge_at = self.judge_at.min(now);
        self.figures();
    }

    /// From now on all proxies are handed over and none is taken; or no longer so.
    pub fn drain(&mut self, now: Duration, draining: bool) {
        (self.draining, self.drained) = (draining, false);
        self.judge_at = self.judge_at.min(now);
        self.figures();
    }

    /// What is known of a proxy, as [`Step::Gather`] asked.
    pub fn offer(&mut self, now: Duration, proxy: &str, to: &str, known: Vec<u8>) {
        if self.here.contains_key(proxy) {
            self.handover.offer(now, proxy, to, known);
        }
    }

    /// This governor stops; the steps that are left tell the others.
    pub fn leave(&mut self) {
        self.members.leave();
    }

    fn figures(&mut self) {
        self.members.say_figures(self.here.len(), self.draining);
    }

    fn ranked(&self, proxy: &str) -> Vec<usize> {
        let names: Vec<&str> =
            self.open.iter().map(String::as_str).chain([self.members.me().name.as_str()]).collect();
        ranking(proxy, &names)
    }

    // ---- steps

    /// The next thing to do, until there is none.
    pub fn step(&mut self, now: Duration) -> Option<Step> {
        loop {
            if let Some(step) = self.out.pop_front() {
                return Some(step);
            }
            if let Some(out) = self.handover.step(now) {
                match out {
                    migration::Out::Say(to, body) => self.members.say(&to, body),
                    migration::Out::Move { proxy, to } => {
                        self.moved += 1;
                        self.out.push_back(Step::Move { proxy: proxy.into(), to: Some(to) });
                    }
                    migration::Out::Unanswered { proxy, to } => {
                        self.out.push_back(Step::Note(Note::Unanswered { proxy, to }));
                    }
                }
                continue;
            }
            if let Some(out) = self.members.step(now) {
                let step = match out {
                    // Without a key nobody would believe it.
                    members::Out::Send(at, message) => {
                        self.keys.first().map(|key| Step::Send(at, messages::write(key, &message)))
                    }
                    members::Out::Stands(name, standing) => {
                        self.judge_at = self.judge_at.min(now);
                        Some(Step::Note(Note::Stands(name, standing)))
                    }
                    members::Out::Stalled(late) => Some(Step::Note(Note::Stalled(late))),
                };
                self.out.extend(step);
                continue;
            }
            if now < self.judge_at || !self.judge(now) {
                return None;
            }
        }
    }

    pub fn next_due(&self) -> Duration {
        let handover = self.handover.next_due().unwrap_or(Duration::MAX);
        self.members.next_due().min(self.judge_at).min(handover)
    }

    /// Looks for a proxy that should be elsewhere. True if there is something to do about it.
    fn judge(&mut self, now: Duration) -> bool {
        self.judge_at = Duration::MAX;
        self.refresh();
        if self.draining && self.here.is_empty() && !self.drained {
            self.drained = true;
            self.out.push_back(Step::Note(Note::Drained));
            return true;
        }
        if now < self.next_move {
            self.judge_at = self.next_move;
            return false;
        }
        if !self.handover.has_room() {
            self.judge_at = self.handover.next_due().filter(|at| *at > now).unwrap_or(Duration::MAX);
            return false;
        }
        // Who can't be moved yet can once it has settled, or once its last offer is a while ago. Where nobody
        // else says anything any more, nothing but this has it looked at again.
        let settled = self.here.values().map(|one| one.since + SETTLE).filter(|at| *at > now);
        let rested = self.handover.next_due().filter(|at| *at > now);
        self.judge_at = settled.chain(rested).min().unwrap_or(Duration::MAX);
        let alone = self.draining && self.open.is_empty();
        let movable =
            |proxy: &str, one: &Proxy| now >= one.since + SETTLE && !self.handover.is_busy(now, proxy);
        if alone {
            // Nobody to hand them to is known of: proxies go to whom they find, one after the other.
            let next = self.here.iter().find(|(proxy, one)| movable(proxy, one));
            let Some(proxy) = next.map(|(proxy, _)| proxy.clone()) else { return false };
            self.out.push_back(Step::Move { proxy, to: None });
            self.moved += 1;
            return self.move_made(now);
        }
        let staying = self.here.iter().filter(|(proxy, _)| !self.handover.is_offered(proxy));
        let here =
            staying.map(|(proxy, one)| Here { proxy, ranked: &one.ranked, movable: movable(proxy, one) });
        let rooms = rooms(&self.open, &self.members, &self.handover);
        let joined = self.here.len().saturating_sub(self.handover.on_way()) + self.handover.expected();
        let Some((proxy, to)) = assignment::next_move(&rooms, joined, self.draining, here) else {
            return false;
        };
        let step = Step::Gather { proxy: proxy.into(), to: to.to_string() };
        self.out.push_back(step);
        self.move_made(now)
    }

    fn move_made(&mut self, now: Duration) -> bool {
        self.next_move = self.next_move.max(now.saturating_sub(self.between)) + self.between;
        self.judge_at = self.judge_at.min(self.next_move);
        true
    }

    /// Brings the rankings up to date with who is there.
    fn refresh(&mut self) {
        let open: Vec<String> =
            self.members.others().filter(|one| one.is_open()).map(|one| one.word.name.clone()).collect();
        if open == self.open {
            return;
        }
        self.open = open;
        let ranked: Vec<(Arc<str>, Vec<usize>)> =
            self.here.keys().map(|proxy| (proxy.clone(), self.ranked(proxy))).collect();
        for (proxy, ranked) in ranked {
            if let Some(one) = self.here.get_mut(&proxy) {
                one.ranked = ranked;
            }
        }
    }

    // ---- what operators read

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// How many proxies this governor takes of all, as things stand.
    pub fn bound(&self) -> usize {
        let rooms = rooms(&self.open, &self.members, &self.handover);
        assignment::bound(
            self.here.len() + rooms.iter().map(|room| room.joined).sum::<usize>(),
            rooms.len() + 1,
        )
    }

    pub fn tally(&self) -> Tally {
        let Talk { moved, came, unheard, .. } = self;
        Tally { moved: *moved, came: *came, unheard: *unheard, on_way: self.handover.on_way() }
    }
}

/// The others as places for proxies: those there, by their own word, and those on their way from here.
fn rooms<'a>(open: &'a [String], members: &Members, handover: &Handover) -> Vec<Room<'a>> {
    let joined = |name: &str| members.get(name).map_or(0, |one| one.word.figures.joined as usize);
    let room = |name: &'a String| Room { name, joined: joined(name) + handover.on_way_to(name) };
    open.iter().map(room).collect()
}

/// Counts for status pages and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tally {
    /// Proxies that were sent elsewhere.
    pub moved: u64,
    /// Proxies that came with what another governor knew of them.
    pub came: u64,
    /// Datagrams that told nothing.
    pub unheard: u64,
    pub on_way: usize,
}
