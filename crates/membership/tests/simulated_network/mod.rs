//! Simulates governors on a network in simulated time: datagrams are delayed, lost and duplicated, and links are cut.
//! Runs with the same seed are identical.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wrenthread_core::ownership::SigningKey;
use wrenthread_membership::migration::TransferredState;
use wrenthread_membership::{Action, Membership, MembershipEvent, MembershipSettings, Peer};

/// Port of governor 0; the other governors use the ports after it.
const FIRST_PORT: usize = 10_000;
/// How long a redirected proxy takes to connect elsewhere.
const RECONNECT_DELAY: Duration = ms(50);
const TICK: Duration = ms(5);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An event and the governor that reported it.
pub struct ReportedEvent {
    pub at: Duration,
    pub governor: usize,
    pub event: MembershipEvent,
}

struct DatagramInFlight {
    to: usize,
    datagram: Vec<u8>,
}

struct RedirectedProxy {
    proxy: Arc<str>,
    to: usize,
}

/// The time of an arrival, and a sequence number that orders arrivals at the same time.
type Arrival = (Duration, u64);

pub struct SimulatedNetwork {
    pub now: Duration,
    pub governors: Vec<Option<Membership>>,
    /// Links (from, to) that deliver no datagrams.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// How many of a thousand datagrams are lost.
    pub lost_per_mille: u64,
    /// How many of a thousand datagrams are delivered twice.
    pub duplicated_per_mille: u64,
    /// Governors that are not running at present.
    pub stalled: BTreeSet<usize>,
    pub bytes_sent: u64,
    pub datagrams_sent: u64,
    pub longest_datagram: usize,
    pub events: Vec<ReportedEvent>,
    /// The governor that each proxy is connected to, if any.
    pub connected_to: BTreeMap<Arc<str>, Option<usize>>,
    pub moves: usize,
    /// The state transferred ahead of each proxy that connected.
    pub transferred: Vec<(Arc<str>, TransferredState)>,
    in_flight: BTreeMap<Arrival, DatagramInFlight>,
    redirected: BTreeMap<Arrival, RedirectedProxy>,
    epochs: u64,
    arrivals: u64,
    random_state: u64,
}

pub fn key() -> SigningKey {
    SigningKey::new("k", &[7; 32]).unwrap()
}

fn peer(governor: usize) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + governor) as u16));
    Peer { name: format!("g{governor}"), address }
}

impl SimulatedNetwork {
    pub fn new(count: usize, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            now: ms(100_000),
            governors: Vec::new(),
            cut_links: BTreeSet::new(),
            lost_per_mille: 0,
            duplicated_per_mille: 0,
            stalled: BTreeSet::new(),
            bytes_sent: 0,
            datagrams_sent: 0,
            longest_datagram: 0,
            events: Vec::new(),
            connected_to: BTreeMap::new(),
            moves: 0,
            transferred: Vec::new(),
            in_flight: BTreeMap::new(),
            redirected: BTreeMap::new(),
            epochs: 0,
            arrivals: 0,
            random_state: seed,
        };
        network.governors = (0..count).map(|_| None).collect();
        (0..count).for_each(|governor| network.start(governor));
        network
    }

    /// Starts or restarts a governor, with a new epoch.
    pub fn start(&mut self, governor: usize) {
        self.epochs += 1;
        let others = (0..self.governors.len()).filter(|other| *other != governor);
        let settings = MembershipSettings {
            local: peer(governor),
            peers: others.map(peer).collect(),
            keys: vec![key()],
            moves_per_second: 50.0,
        };
        self.governors[governor] = Some(Membership::new(settings, self.epochs, self.now));
    }

    /// Stops a governor without notice and disconnects its proxies.
    pub fn kill(&mut self, governor: usize) {
        self.governors[governor] = None;
        for connected_to in self.connected_to.values_mut() {
            if *connected_to == Some(governor) {
                *connected_to = None;
            }
        }
    }

    pub fn governor(&mut self, governor: usize) -> &mut Membership {
        self.governors[governor].as_mut().expect("the governor is up")
    }

    /// Whether a governor considers another one live.
    pub fn considers_live(&self, governor: usize, other: usize) -> bool {
        let governor = self.governors[governor].as_ref().expect("the governor is up");
        governor
            .members()
            .get(&format!("g{other}"))
            .is_some_and(wrenthread_membership::members::Member::is_live)
    }

    /// Whether all governors consider each other live.
    pub fn all_live(&self) -> bool {
        let all = 0..self.governors.len();
        all.clone().all(|from| all.clone().all(|to| from == to || self.considers_live(from, to)))
    }

    /// Connects a proxy to a governor.
    pub fn connect(&mut self, proxy: &Arc<str>, governor: usize) {
        let now = self.now;
        if let Some(membership) = self.governors[governor].as_mut() {
            let transferred = membership.proxy_connected(now, proxy);
            self.transferred.extend(transferred.map(|state| (proxy.clone(), state)));
            self.connected_to.insert(proxy.clone(), Some(governor));
        }
    }

    /// Returns the number of proxies connected to each governor.
    pub fn proxy_counts(&self) -> Vec<usize> {
        let count = |governor| self.connected_to.values().filter(|at| **at == Some(governor)).count();
        (0..self.governors.len()).map(count).collect()
    }

    /// Returns the next pseudo-random number (splitmix64).
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn arrival(&mut self, at: Duration) -> Arrival {
        self.arrivals += 1;
        (at, self.arrivals)
    }

    /// Runs the simulation for `millis` milliseconds of simulated time.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + ms(millis);
        while self.now < until {
            for governor in 0..self.governors.len() {
                if !self.stalled.contains(&governor) {
                    self.carry_out_actions(governor);
                }
            }
            self.now += TICK;
            self.deliver_datagrams();
            self.reconnect_proxies();
        }
    }

    fn deliver_datagrams(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (arrival, sent) = entry.remove_entry();
            if self.stalled.contains(&sent.to) {
                // The datagram stays in the socket buffer.
                self.in_flight.insert((self.now + TICK, arrival.1), sent);
                continue;
            }
            let now = self.now;
            if let Some(membership) = self.governors[sent.to].as_mut() {
                membership.handle_datagram(now, &sent.datagram).expect("the datagram is sealed with the key");
            }
        }
    }

    fn reconnect_proxies(&mut self) {
        while let Some(entry) = self.redirected.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let RedirectedProxy { proxy, to } = entry.remove();
            // The destination may be down by now; the proxy then connects to the next governor that is up.
            let mut candidates = (0..self.governors.len()).map(|step| (to + step) % self.governors.len());
            if let Some(governor) = candidates.find(|governor| self.governors[*governor].is_some()) {
                self.connect(&proxy, governor);
            }
        }
    }

    fn carry_out_actions(&mut self, governor: usize) {
        let now = self.now;
        while let Some(action) =
            self.governors[governor].as_mut().and_then(|membership| membership.next_action(now))
        {
            match action {
                Action::Send { address, datagram } => {
                    self.send(governor, usize::from(address.port()) - FIRST_PORT, &datagram);
                }
                Action::CollectState { proxy, to } => {
                    let state = format!("all about {proxy}, ").repeat(100).into_bytes();
                    self.governor(governor).offer_proxy(now, &proxy, &to, state);
                }
                Action::MoveProxy { proxy, to } => {
                    self.moves += 1;
                    self.governor(governor).proxy_disconnected(now, &proxy);
                    self.connected_to.insert(proxy.clone(), None);
                    let to = to.map_or(governor, |to| to[1..].parse().unwrap());
                    let arrival = self.arrival(now + RECONNECT_DELAY);
                    self.redirected.insert(arrival, RedirectedProxy { proxy, to });
                }
                Action::Event(event) => self.events.push(ReportedEvent { at: now, governor, event }),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: &[u8]) {
        self.datagrams_sent += 1;
        self.bytes_sent += datagram.len() as u64;
        self.longest_datagram = self.longest_datagram.max(datagram.len());
        let lost = self.next_random() % 1000 < self.lost_per_mille;
        let duplicated = self.next_random() % 1000 < self.duplicated_per_mille;
        if lost || self.cut_links.contains(&(from, to)) {
            return;
        }
        for _ in 0..if duplicated { 2 } else { 1 } {
            let delay = ms(1 + self.next_random() % 30);
            let arrival = self.arrival(self.now + delay);
            self.in_flight.insert(arrival, DatagramInFlight { to, datagram: datagram.to_vec() });
        }
    }
}
