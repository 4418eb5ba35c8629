//! Model checking by exhaustive search of a small system: two governors, one or two proxies, crashes, broken streams,
//! and messages that are lost, duplicated and reordered. The model runs the production code: [`FencingState`] and
//! [`GovernorSelector`] at the proxy, [`Migrations`] at the governor.
//!
//! A sent message stays in flight, and may be delivered at any time, repeatedly or never. This covers loss, duplication
//! and reordering.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use wrenthread_core::failover::GovernorSelector;
use wrenthread_core::fencing::FencingState;
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

/// Tables that a governor published to a proxy. The derived order compares the epoch before the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Order {
    governor: usize,
    epoch: u64,
    version: u64,
}

/// A message between governors, in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentMessage {
    to: usize,
    from: usize,
    body: MessageBody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    name: &'static str,
    selector: GovernorSelector,
    fencing: FencingState,
    stream: Option<usize>,
    current: Option<Order>,
    /// All tables that it applied so far.
    applied: BTreeSet<Order>,
    /// Consecutive failed dials while at least one governor was up.
    failed_dials: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    governors: Vec<Governor>,
    proxies: Vec<Proxy>,
    orders: BTreeSet<(usize, Order)>,
    messages: Vec<SentMessage>,
    left: Budget,
}

/// How many faults and decisions are left in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    proxies: usize,
    crashes: usize,
    /// Streams that a proxy abandons.
    breaks: usize,
    /// Proxies that return to their preferred governor.
    failbacks: usize,
    decisions: usize,
    offers: usize,
}

fn world(budget: Budget) -> World {
    let proxy = |name| Proxy {
        name,
        selector: GovernorSelector::new(name, &NAMES, Duration::ZERO, Duration::ZERO),
        fencing: FencingState::default(),
        stream: None,
        current: None,
        applied: BTreeSet::new(),
        failed_dials: 0,
    };
    let governor = Governor { up: true, epoch: 1, version: 0, migrations: Migrations::new(0) };
    World {
        governors: vec![governor.clone(), governor],
        proxies: ["relay-1", "relay-3"].into_iter().take(budget.proxies).map(proxy).collect(),
        orders: BTreeSet::new(),
        messages: Vec::new(),
        left: budget,
    }
}

impl World {
    /// A governor publishes tables to a proxy, under its next version.
    fn publish(&mut self, governor: usize, proxy: usize) {
        let one = &mut self.governors[governor];
        one.version += 1;
        let order = Order { governor, epoch: one.epoch, version: one.version };
        self.orders.insert((proxy, order));
    }

    fn dial(&mut self, proxy: usize) {
        let to = self.proxies[proxy].selector.current();
        if self.governors[to].up {
            let one = &mut self.proxies[proxy];
            (one.stream, one.failed_dials) = (Some(to), 0);
            one.fencing.follow(NAMES[to]);
            self.publish(to, proxy);
        } else {
            let somebody = self.governors.iter().any(|one| one.up);
            let one = &mut self.proxies[proxy];
            one.selector.connection_lost();
            one.failed_dials = if somebody { one.failed_dials + 1 } else { 0 };
        }
    }

    /// A proxy receives tables. Returns a violation if it applies tables that it should have rejected.
    fn deliver_order(&mut self, proxy: usize, order: Order) -> Option<String> {
        let one = &mut self.proxies[proxy];
        let Order { governor, epoch, version } = order;
        if one.fencing.accept(NAMES[governor], epoch, version).is_err() || one.current == Some(order) {
            return None;
        }
        let newer = |applied: &&Order| applied.governor == governor && **applied > order;
        let violation = match one.applied.iter().find(newer) {
            _ if one.stream.is_some_and(|stream| stream != governor) => Some("from another governor"),
            Some(_) => Some("older than tables that it applied before"),
            None if one.applied.contains(&order) => Some("applied twice"),
            None => None,
        };
        one.applied.insert(order);
        one.current = Some(order);
        violation.map(|violation| format!("proxy {proxy} applies {order:?}: {violation}"))
    }

    fn lose_stream(&mut self, proxy: usize) {
        if let Some(governor) = self.proxies[proxy].stream.take() {
            let name = self.proxies[proxy].name;
            self.governors[governor].migrations.proxy_disconnected(name);
        }
    }

    fn deliver_message(&mut self, message: &SentMessage) {
        let SentMessage { to, from, body } = message;
        let one = &mut self.governors[*to];
        if !one.up {
            return;
        }
        match body {
            MessageBody::Offer(part) => {
                one.migrations.handle_offer(NOW, NAMES[*from], part, |_| true);
            }
            MessageBody::Accept { offer_id, proxy } => {
                one.migrations.handle_answer(NOW, NAMES[*from], *offer_id, proxy, OfferAnswer::Accepted);
            }
            MessageBody::Decline { offer_id, proxy } => {
                one.migrations.handle_answer(NOW, NAMES[*from], *offer_id, proxy, OfferAnswer::Declined);
            }
            _ => {}
        }
        self.carry_out_actions(*to);
    }

    fn carry_out_actions(&mut self, governor: usize) {
        while let Some(out) = self.governors[governor].migrations.next_action(NOW) {
            match out {
                MigrationAction::Send { to, body } => {
                    let to = NAMES.iter().position(|name| *name == to).unwrap();
                    let sent = SentMessage { to, from: governor, body };
                    if !self.messages.contains(&sent) {
                        self.messages.push(sent);
                    }
                }
                MigrationAction::MoveProxy { proxy, to } => {
                    let to = NAMES.iter().position(|name| *name == to);
                    let of = self.proxies.iter().position(|one| one.name == proxy).unwrap();
                    // Ends the stream if it is still connected to this governor.
                    if self.proxies[of].stream == Some(governor) {
                        self.lose_stream(of);
                        self.proxies[of].selector.redirected(to);
                    }
                }
                MigrationAction::OfferUnanswered { .. } => {}
            }
        }
    }

    /// Returns all successor states, each with the violation that the step to it causes, if any.
    fn next(&self) -> Vec<(World, Option<String>)> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut World) -> Option<String>| {
            let mut world = self.clone();
            let violation = change(&mut world);
            if world != *self || violation.is_some() {
                next.push((world, violation));
            }
        };
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].stream.is_none() {
                step(&|world| {
                    world.dial(proxy);
                    let failed_dials = world.proxies[proxy].failed_dials;
                    (failed_dials >= NAMES.len())
                        .then(|| format!("proxy {proxy} reached no governor in {failed_dials} dials"))
                });
            } else if self.left.breaks > 0 {
                // The proxy abandons the stream of a stalled governor, whose tables may still arrive later.
                step(&|world| {
                    world.left.breaks -= 1;
                    world.lose_stream(proxy);
                    world.proxies[proxy].selector.connection_lost();
                    None
                });
            }
            let home = self.proxies[proxy].selector.home();
            if self.proxies[proxy].stream.is_some() && self.governors[home].up && self.left.failbacks > 0 {
                step(&|world| {
                    world.left.failbacks -= 1;
                    if world.proxies[proxy].selector.home_checked(NOW, true) {
                        world.lose_stream(proxy);
                    }
                    None
                });
            }
            for (to, order) in self.orders.iter().filter(|(to, _)| *to == proxy) {
                step(&|world| world.deliver_order(*to, *order));
            }
        }
        for governor in 0..NAMES.len() {
            if self.governors[governor].up && self.left.crashes > 0 {
                step(&|world| {
                    world.left.crashes -= 1;
                    world.governors[governor].up = false;
                    for proxy in 0..world.proxies.len() {
                        if world.proxies[proxy].stream == Some(governor) {
                            world.proxies[proxy].stream = None;
                        }
                        world.proxies[proxy].failed_dials = 0;
                    }
                    None
                });
            }
            if !self.governors[governor].up {
                step(&|world| {
                    let epoch = world.governors[governor].epoch + 1;
                    let migrations = Migrations::new(epoch << 8);
                    world.governors[governor] = Governor { up: true, epoch, version: 0, migrations };
                    world.proxies.iter_mut().for_each(|proxy| proxy.failed_dials = 0);
                    None
                });
            }
            for proxy in 0..self.proxies.len() {
                if self.proxies[proxy].stream != Some(governor) {
                    continue;
                }
                if self.left.decisions > 0 {
                    step(&|world| {
                        world.left.decisions -= 1;
                        world.publish(governor, proxy);
                        None
                    });
                }
                if self.left.offers > 0 {
                    step(&|world| {
                        world.left.offers -= 1;
                        let name = world.proxies[proxy].name;
                        world.governors[governor].migrations.offer(NOW, name, NAMES[1 - governor], vec![1]);
                        world.carry_out_actions(governor);
                        None
                    });
                }
            }
        }
        for message in &self.messages {
            step(&|world| {
                world.deliver_message(message);
                None
            });
        }
        next
    }
}

/// Visits every reachable state. Returns the number of states, or the first violation.
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
        for (next, violation) in world.next() {
            if let Some(violation) = violation {
                return Err(format!("{violation}\nin {next:#?}"));
            }
            if seen.insert(digest(&next)) {
                assert!(seen.len() <= most, "more states are reachable than expected");
                ahead.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_order_is_applied_twice_or_out_of_order_and_no_proxy_is_stranded() {
    // One proxy with many faults, then two proxies with fewer.
    let few = Budget { proxies: 1, crashes: 1, breaks: 1, failbacks: 1, decisions: 0, offers: 1 };
    let mut worlds = 0;
    for budget in [
        few,
        Budget { crashes: 2, failbacks: 0, ..few },
        Budget { crashes: 0, breaks: 2, decisions: 2, offers: 0, ..few },
        Budget { breaks: 0, failbacks: 0, offers: 2, ..few },
        Budget { proxies: 2, breaks: 0, failbacks: 0, ..few },
        Budget { proxies: 2, crashes: 0, failbacks: 0, decisions: 1, ..few },
    ] {
        let more = explore(budget, 100_000).unwrap_or_else(|violation| panic!("{budget:?}: {violation}"));
        println!("{more} states with {budget:?}");
        worlds += more;
    }
    assert!(worlds > 20_000, "only {worlds} states were explored");
}
