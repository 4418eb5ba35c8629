//! Every way in which a small world can go: two governors, two relays, orders and words between governors
//! lost, doubled and reordered, crashes, streams that break, a governor that wakes with old orders in its
//! queue. What decides is the real thing: [`FencingState`] and [`GovernorSelector`] at the relay, [`Migrations`] at the
//! governor.
//!
//! A message stays in flight once it is sent: that it may be delivered at any time, again, or never, is loss,
//! doubling and reordering in one.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use wrenthread_core::ownership::{FencingState, GovernorSelector};
use wrenthread_membership::messages::MessageBody;
use wrenthread_membership::migration::{MigrationAction, Migrations, OfferAnswer};

const NAMES: [&str; 2] = ["g0", "g1"];
const NOW: Duration = Duration::ZERO;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Governor {
    up: bool,
    epoch: u64,
    version: u64,
    migrations: Migrations,
}

/// An order: from whom, of which life and version.
type Order = (usize, u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Relay {
    name: &'static str,
    dialer: GovernorSelector,
    fence: FencingState,
    stream: Option<usize>,
    held: Option<Order>,
    /// All that it ever took in.
    applied: BTreeSet<Order>,
    /// Dials in a row that found nobody while somebody was there.
    vain: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    governors: Vec<Governor>,
    relays: Vec<Relay>,
    orders: BTreeSet<(usize, Order)>,
    /// To, from, what.
    words: Vec<(usize, usize, MessageBody)>,
    left: Budget,
}

/// How much may go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    relays: usize,
    crashes: usize,
    /// Streams that a relay gives up.
    breaks: usize,
    /// Relays that go home.
    homes: usize,
    decisions: usize,
    offers: usize,
}

fn world(budget: Budget) -> World {
    let relay = |name| Relay {
        name,
        dialer: GovernorSelector::new(name, &NAMES, Duration::ZERO, Duration::ZERO),
        fence: FencingState::default(),
        stream: None,
        held: None,
        applied: BTreeSet::new(),
        vain: 0,
    };
    let governor = Governor { up: true, epoch: 1, version: 0, migrations: Migrations::new(0) };
    World {
        governors: vec![governor.clone(), governor],
        relays: ["relay-1", "relay-3"].into_iter().take(budget.relays).map(relay).collect(),
        orders: BTreeSet::new(),
        words: Vec::new(),
        left: budget,
    }
}

impl World {
    /// A governor says something to a relay: what it should hold, under a version of its own.
    fn order(&mut self, governor: usize, relay: usize) {
        let one = &mut self.governors[governor];
        one.version += 1;
        self.orders.insert((relay, (governor, one.epoch, one.version)));
    }

    fn dial(&mut self, relay: usize) {
        let to = self.relays[relay].dialer.current();
        if self.governors[to].up {
            let one = &mut self.relays[relay];
            (one.stream, one.vain) = (Some(to), 0);
            one.fence.follow(NAMES[to]);
            self.order(to, relay);
        } else {
            let somebody = self.governors.iter().any(|one| one.up);
            let one = &mut self.relays[relay];
            one.dialer.connection_lost();
            one.vain = if somebody { one.vain + 1 } else { 0 };
        }
    }

    /// A relay hears an order. What is wrong with it, if it took it in.
    fn deliver(&mut self, relay: usize, order: Order) -> Option<String> {
        let one = &mut self.relays[relay];
        let (governor, epoch, version) = order;
        if one.fence.accept(NAMES[governor], epoch, version).is_err() || one.held == Some(order) {
            return None;
        }
        let newer = |taken: &&Order| taken.0 == governor && (taken.1, taken.2) > (epoch, version);
        let wrong = match one.applied.iter().find(newer) {
            _ if one.stream.is_some_and(|stream| stream != governor) => Some("another's than it follows"),
            Some(_) => Some("an older one after a newer one"),
            None if one.applied.contains(&order) => Some("one twice"),
            None => None,
        };
        one.applied.insert(order);
        one.held = Some(order);
        wrong.map(|wrong| format!("relay {relay} takes {order:?}: {wrong}"))
    }

    fn lose_stream(&mut self, relay: usize) {
        if let Some(governor) = self.relays[relay].stream.take() {
            let name = self.relays[relay].name;
            self.governors[governor].migrations.proxy_disconnected(name);
        }
    }

    fn hear(&mut self, to: usize, from: usize, body: &MessageBody) {
        let one = &mut self.governors[to];
        if !one.up {
            return;
        }
        match body {
            MessageBody::Offer(part) => {
                one.migrations.handle_offer(NOW, NAMES[from], part, |_| true);
            }
            MessageBody::Accept { offer_id, proxy } => {
                one.migrations.handle_answer(NOW, NAMES[from], *offer_id, proxy, OfferAnswer::Accepted)
            }
            MessageBody::Decline { offer_id, proxy } => {
                one.migrations.handle_answer(NOW, NAMES[from], *offer_id, proxy, OfferAnswer::Declined)
            }
            _ => {}
        }
        self.pump(to);
    }

    fn pump(&mut self, governor: usize) {
        while let Some(out) = self.governors[governor].migrations.next_action(NOW) {
            match out {
                MigrationAction::Send { to, body } => {
                    let to = NAMES.iter().position(|name| *name == to).unwrap();
                    let said = (to, governor, body);
                    if !self.words.contains(&said) {
                        self.words.push(said);
                    }
                }
                MigrationAction::MoveProxy { proxy, to } => {
                    let to = NAMES.iter().position(|name| *name == to);
                    let of = self.relays.iter().position(|one| one.name == proxy).unwrap();
                    // Ends the stream, if it is still this governor's to end.
                    if self.relays[of].stream == Some(governor) {
                        self.lose_stream(of);
                        self.relays[of].dialer.redirected(to);
                    }
                }
                MigrationAction::OfferUnanswered { .. } => {}
            }
        }
    }

    /// All worlds that this one may be next, and what is wrong with a step that leads there.
    fn next(&self) -> Vec<(World, Option<String>)> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut World) -> Option<String>| {
            let mut world = self.clone();
            let wrong = change(&mut world);
            if world != *self || wrong.is_some() {
                next.push((world, wrong));
            }
        };
        for relay in 0..self.relays.len() {
            if self.relays[relay].stream.is_none() {
                step(&|world| {
                    world.dial(relay);
                    let vain = world.relays[relay].vain;
                    (vain >= NAMES.len()).then(|| format!("relay {relay} found nobody in {vain} dials"))
                });
            } else if self.left.breaks > 0 {
                // It waits in vain for a governor that stalls: that one's orders are still on their way.
                step(&|world| {
                    world.left.breaks -= 1;
                    world.lose_stream(relay);
                    world.relays[relay].dialer.connection_lost();
                    None
                });
            }
            let home = self.relays[relay].dialer.home();
            if self.relays[relay].stream.is_some() && self.governors[home].up && self.left.homes > 0 {
                step(&|world| {
                    world.left.homes -= 1;
                    if world.relays[relay].dialer.home_checked(NOW, true) {
                        world.lose_stream(relay);
                    }
                    None
                });
            }
            for (to, order) in self.orders.iter().filter(|(to, _)| *to == relay) {
                step(&|world| world.deliver(*to, *order));
            }
        }
        for governor in 0..NAMES.len() {
            if self.governors[governor].up && self.left.crashes > 0 {
                step(&|world| {
                    world.left.crashes -= 1;
                    world.governors[governor].up = false;
                    for relay in 0..world.relays.len() {
                        if world.relays[relay].stream == Some(governor) {
                            world.relays[relay].stream = None;
                        }
                        world.relays[relay].vain = 0;
                    }
                    None
                });
            }
            if !self.governors[governor].up {
                step(&|world| {
                    let epoch = world.governors[governor].epoch + 1;
                    let migrations = Migrations::new(epoch << 8);
                    world.governors[governor] = Governor { up: true, epoch, version: 0, migrations };
                    world.relays.iter_mut().for_each(|relay| relay.vain = 0);
                    None
                });
            }
            for relay in 0..self.relays.len() {
                if self.relays[relay].stream != Some(governor) {
                    continue;
                }
                if self.left.decisions > 0 {
                    step(&|world| {
                        world.left.decisions -= 1;
                        world.order(governor, relay);
                        None
                    });
                }
                if self.left.offers > 0 {
                    step(&|world| {
                        world.left.offers -= 1;
                        let name = world.relays[relay].name;
                        world.governors[governor].migrations.offer(NOW, name, NAMES[1 - governor], vec![1]);
                        world.pump(governor);
                        None
                    });
                }
            }
        }
        for (to, from, body) in &self.words {
            step(&|world| {
                world.hear(*to, *from, body);
                None
            });
        }
        next
    }
}

/// Looks at every world within reach; how many there are, or how the first wrong one came about.
fn explore(budget: Budget, most: usize) -> Result<usize, String> {
    let (mut seen, mut ahead) = (HashSet::new(), VecDeque::new());
    let digest = |world: &World| {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let (mut one, mut other) = (DefaultHasher::new(), DefaultHasher::new());
        world.hash(&mut one);
        (1, world).hash(&mut other);
        (one.finish(), other.finish())
    };
    let first = world(budget);
    seen.insert(digest(&first));
    ahead.push_back(first);
    while let Some(world) = ahead.pop_front() {
        for (next, wrong) in world.next() {
            if let Some(wrong) = wrong {
                return Err(format!("{wrong}\nin {next:#?}"));
            }
            if seen.insert(digest(&next)) {
                assert!(seen.len() <= most, "the world is larger than it should be");
                ahead.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_order_is_applied_twice_or_out_of_order_and_no_relay_is_stranded() {
    // One relay and much that goes wrong, then two relays with less.
    let few = Budget { relays: 1, crashes: 1, breaks: 1, homes: 1, decisions: 0, offers: 1 };
    let mut worlds = 0;
    for budget in [
        few,
        Budget { crashes: 2, homes: 0, ..few },
        Budget { crashes: 0, breaks: 2, decisions: 2, offers: 0, ..few },
        Budget { breaks: 0, homes: 0, offers: 2, ..few },
        Budget { relays: 2, breaks: 0, homes: 0, ..few },
        Budget { relays: 2, crashes: 0, homes: 0, decisions: 1, ..few },
    ] {
        let more = explore(budget, 100_000).unwrap_or_else(|wrong| panic!("{budget:?}: {wrong}"));
        println!("{more} worlds with {budget:?}");
        worlds += more;
    }
    assert!(worlds > 20_000, "{worlds}: little was looked at");
}
