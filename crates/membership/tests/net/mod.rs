//! Governors on a made-up network in made-up time: datagrams take a while, get lost, come twice, and links
//! are cut. By seed, the same every time.
#![allow(dead_code)] // each of those that share this uses a part of it

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wrenthread_core::ownership::SigningKey;
use wrenthread_membership::migration::TransferredState;
use wrenthread_membership::{Action, Membership, MembershipEvent, MembershipSettings, Peer};

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub struct Net {
    pub now: Duration,
    pub governors: Vec<Option<Membership>>,
    /// What nobody gets: from, to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Of a thousand datagrams, so many get lost, and so many come twice.
    pub lost: u64,
    pub doubled: u64,
    /// Governors that do nothing.
    pub stalled: BTreeSet<usize>,
    pub bytes: u64,
    pub datagrams: u64,
    pub longest: usize,
    pub events: Vec<(Duration, usize, MembershipEvent)>,
    /// Where each proxy's stream is, and how often it moved.
    pub at: BTreeMap<Arc<str>, Option<usize>>,
    pub moves: usize,
    pub ahead: Vec<(Arc<str>, TransferredState)>,
    way: BTreeMap<(Duration, u64), (usize, usize, Vec<u8>)>,
    moving: BTreeMap<(Duration, u64), (Arc<str>, usize)>,
    epochs: u64,
    numbers: u64,
    chance: u64,
}

pub fn key() -> SigningKey {
    SigningKey::new("k", &[7; 32]).unwrap()
}

fn peer(place: usize) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + place as u16));
    Peer { name: format!("g{place}"), address }
}

impl Net {
    pub fn new(count: usize, seed: u64) -> Net {
        let mut net = Net {
            now: ms(100_000),
            governors: Vec::new(),
            cut: BTreeSet::new(),
            lost: 0,
            doubled: 0,
            stalled: BTreeSet::new(),
            bytes: 0,
            datagrams: 0,
            longest: 0,
            events: Vec::new(),
            at: BTreeMap::new(),
            moves: 0,
            ahead: Vec::new(),
            way: BTreeMap::new(),
            moving: BTreeMap::new(),
            epochs: 0,
            numbers: 0,
            chance: seed,
        };
        net.governors = (0..count).map(|_| None).collect();
        (0..count).for_each(|place| net.start(place));
        net
    }

    /// A new life of a governor.
    pub fn start(&mut self, place: usize) {
        self.epochs += 1;
        let peers = (0..self.governors.len()).filter(|one| *one != place);
        let settings = MembershipSettings {
            local: peer(place),
            peers: peers.map(peer).collect(),
            keys: vec![key()],
            moves_per_second: 50.0,
        };
        self.governors[place] = Some(Membership::new(settings, self.epochs, self.now));
    }

    /// A governor is dead; its proxies are with nobody.
    pub fn kill(&mut self, place: usize) {
        self.governors[place] = None;
        self.at.values_mut().filter(|at| **at == Some(place)).for_each(|at| *at = None);
    }

    pub fn governor(&mut self, place: usize) -> &mut Membership {
        self.governors[place].as_mut().expect("it is up")
    }

    pub fn sees(&self, place: usize, other: usize) -> bool {
        let governor = self.governors[place].as_ref().expect("it is up");
        governor.members().get(&format!("g{other}")).is_some_and(|one| one.is_live())
    }

    /// A proxy's stream goes up at a governor.
    pub fn join(&mut self, proxy: &Arc<str>, place: usize) {
        let now = self.now;
        if let Some(governor) = self.governors[place].as_mut() {
            let ahead = governor.proxy_connected(now, proxy);
            self.ahead.extend(ahead.map(|ahead| (proxy.clone(), ahead)));
            self.at.insert(proxy.clone(), Some(place));
        }
    }

    pub fn counts(&self) -> Vec<usize> {
        let count = |place| self.at.values().filter(|at| **at == Some(place)).count();
        (0..self.governors.len()).map(count).collect()
    }

    fn drawn(&mut self) -> u64 {
        // splitmix64: all that is asked of it is to be the same every time.
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.chance;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Goes on until a time.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + ms(millis);
        while self.now < until {
            for place in 0..self.governors.len() {
                if !self.stalled.contains(&place) {
                    self.pump(place);
                }
            }
            self.now += ms(5);
            while let Some(entry) = self.way.first_entry().filter(|one| one.key().0 <= self.now) {
                let (number, (from, to, datagram)) = entry.remove_entry();
                if self.stalled.contains(&to) {
                    // It waits in the socket.
                    self.way.insert((self.now + ms(5), number.1), (from, to, datagram));
                    continue;
                }
                let now = self.now;
                if let Some(governor) = self.governors[to].as_mut() {
                    governor.handle_datagram(now, &datagram).expect("it was sealed with the key");
                }
            }
            while let Some(entry) = self.moving.first_entry().filter(|one| one.key().0 <= self.now) {
                let (proxy, to) = entry.remove();
                // Whom it was sent to may be dead by now: it goes to the next that is there.
                let there = (0..self.governors.len()).map(|one| (to + one) % self.governors.len());
                if let Some(place) = there.into_iter().find(|one| self.governors[*one].is_some()) {
                    self.join(&proxy, place);
                }
            }
        }
    }

    fn pump(&mut self, place: usize) {
        let now = self.now;
        while let Some(action) = self.governors[place].as_mut().and_then(|governor| governor.next_action(now))
        {
            match action {
                Action::Send { address, datagram } => {
                    self.datagrams += 1;
                    self.bytes += datagram.len() as u64;
                    self.longest = self.longest.max(datagram.len());
                    let to = usize::from(address.port()) - 10_000;
                    let lost = self.drawn() % 1000 < self.lost;
                    let copies = if self.drawn() % 1000 < self.doubled { 2 } else { 1 };
                    for _ in 0..if lost || self.cut.contains(&(place, to)) { 0 } else { copies } {
                        let at = now + ms(1 + self.drawn() % 30);
                        self.numbers += 1;
                        self.way.insert((at, self.numbers), (place, to, datagram.clone()));
                    }
                }
                Action::CollectState { proxy, to } => {
                    let known = format!("all about {proxy}, ").repeat(100).into_bytes();
                    self.governor(place).offer_proxy(now, &proxy, &to, known);
                }
                Action::MoveProxy { proxy, to } => {
                    self.moves += 1;
                    self.governor(place).proxy_disconnected(now, &proxy);
                    self.at.insert(proxy.clone(), None);
                    let to = to.map_or(place, |to| to[1..].parse().unwrap());
                    self.numbers += 1;
                    self.moving.insert((now + ms(50), self.numbers), (proxy, to));
                }
                Action::Event(event) => self.events.push((now, place, event)),
            }
        }
    }
}
