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
struct PublishedTables {
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
    current: Option<PublishedTables>,
    /// All tables that it applied so far.
    applied: BTreeSet<PublishedTables>,
    /// Consecutive failed dials while at least one governor was up.
    failed_dials: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    governors: Vec<Governor>,
    proxies: Vec<Proxy>,
    published: BTreeSet<(usize, PublishedTables)>,
    messages: Vec<SentMessage>,
    remaining: Budget,
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

fn initial_state(budget: Budget) -> SystemState {
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
    SystemState {
        governors: vec![governor.clone(), governor],
        proxies: ["relay-1", "relay-3"].into_iter().take(budget.proxies).map(proxy).collect(),
        published: BTreeSet::new(),
        messages: Vec::new(),
        remaining: budget,
    }
}

impl SystemState {
    /// A governor publishes tables to a proxy, under its next version.
    fn publish(&mut self, governor: usize, proxy: usize) {
        let publisher = &mut self.governors[governor];
        publisher.version += 1;
        let tables = PublishedTables { governor, epoch: publisher.epoch, version: publisher.version };
        self.published.insert((proxy, tables));
    }

    fn dial(&mut self, proxy: usize) {
        let to = self.proxies[proxy].selector.current();
        if self.governors[to].up {
            let dialing = &mut self.proxies[proxy];
            (dialing.stream, dialing.failed_dials) = (Some(to), 0);
            dialing.fencing.follow(NAMES[to]);
            self.publish(to, proxy);
        } else {
            let any_governor_up = self.governors.iter().any(|governor| governor.up);
            let dialing = &mut self.proxies[proxy];
            dialing.selector.connection_lost();
            dialing.failed_dials = if any_governor_up { dialing.failed_dials + 1 } else { 0 };
        }
    }

    /// A proxy receives tables. Returns a violation if it applies tables that it should have rejected.
    fn deliver_tables(&mut self, proxy: usize, tables: PublishedTables) -> Option<String> {
        let receiver = &mut self.proxies[proxy];
        let PublishedTables { governor, epoch, version } = tables;
        if receiver.fencing.accept(NAMES[governor], epoch, version).is_err()
            || receiver.current == Some(tables)
        {
            return None;
        }
        let newer = |applied: &&PublishedTables| applied.governor == governor && **applied > tables;
        let violation = match receiver.applied.iter().find(newer) {
            _ if receiver.stream.is_some_and(|stream| stream != governor) => Some("from another governor"),
            Some(_) => Some("older than tables that it applied before"),
            None if receiver.applied.contains(&tables) => Some("applied twice"),
            None => None,
        };
        receiver.applied.insert(tables);
        receiver.current = Some(tables);
        violation.map(|violation| format!("proxy {proxy} applies {tables:?}: {violation}"))
    }

    fn lose_stream(&mut self, proxy: usize) {
        if let Some(governor) = self.proxies[proxy].stream.take() {
            let name = self.proxies[proxy].name;
            self.governors[governor].migrations.proxy_disconnected(name);
        }
    }

    fn deliver_message(&mut self, message: &SentMessage) {
        let SentMessage { to, from, body } = message;
        let receiver = &mut self.governors[*to];
        if !receiver.up {
            return;
        }
        match body {
            MessageBody::Offer(part) => {
                receiver.migrations.handle_offer(NOW, NAMES[*from], part, |_| true);
            }
            MessageBody::Accept { offer_id, proxy } => {
                receiver.migrations.handle_answer(NOW, NAMES[*from], *offer_id, proxy, OfferAnswer::Accepted);
            }
            MessageBody::Decline { offer_id, proxy } => {
                receiver.migrations.handle_answer(NOW, NAMES[*from], *offer_id, proxy, OfferAnswer::Declined);
            }
            _ => {}
        }
        self.carry_out_actions(*to);
    }

    fn carry_out_actions(&mut self, governor: usize) {
        while let Some(action) = self.governors[governor].migrations.next_action(NOW) {
            match action {
                MigrationAction::Send { to, body } => {
                    let to = NAMES.iter().position(|name| *name == to).unwrap();
                    let sent = SentMessage { to, from: governor, body };
                    if !self.messages.contains(&sent) {
                        self.messages.push(sent);
                    }
                }
                MigrationAction::MoveProxy { proxy, to } => {
                    let to = NAMES.iter().position(|name| *name == to);
                    let index = self.proxies.iter().position(|candidate| candidate.name == proxy).unwrap();
                    // Ends the stream if it is still connected to this governor.
                    if self.proxies[index].stream == Some(governor) {
                        self.lose_stream(index);
                        self.proxies[index].selector.redirected(to);
                    }
                }
                MigrationAction::OfferUnanswered { .. } => {}
            }
        }
    }

    /// Returns all successor states, each with the violation that the step to it causes, if any.
    fn successors(&self) -> Vec<(SystemState, Option<String>)> {
        let mut successors = Vec::new();
        let mut step = |change: &dyn Fn(&mut SystemState) -> Option<String>| {
            let mut state = self.clone();
            let violation = change(&mut state);
            if state != *self || violation.is_some() {
                successors.push((state, violation));
            }
        };
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].stream.is_none() {
                step(&|state| {
                    state.dial(proxy);
                    let failed_dials = state.proxies[proxy].failed_dials;
                    (failed_dials >= NAMES.len())
                        .then(|| format!("proxy {proxy} reached no governor in {failed_dials} dials"))
                });
            } else if self.remaining.breaks > 0 {
                // The proxy abandons the stream of a stalled governor, whose tables may still arrive later.
                step(&|state| {
                    state.remaining.breaks -= 1;
                    state.lose_stream(proxy);
                    state.proxies[proxy].selector.connection_lost();
                    None
                });
            }
            let home = self.proxies[proxy].selector.home();
            if self.proxies[proxy].stream.is_some() && self.governors[home].up && self.remaining.failbacks > 0
            {
                step(&|state| {
                    state.remaining.failbacks -= 1;
                    if state.proxies[proxy].selector.home_checked(NOW, true) {
                        state.lose_stream(proxy);
                    }
                    None
                });
            }
            for (to, tables) in self.published.iter().filter(|(to, _)| *to == proxy) {
                step(&|state| state.deliver_tables(*to, *tables));
            }
        }
        for governor in 0..NAMES.len() {
            if self.governors[governor].up && self.remaining.crashes > 0 {
                step(&|state| {
                    state.remaining.crashes -= 1;
                    state.governors[governor].up = false;
                    for proxy in 0..state.proxies.len() {
                        if state.proxies[proxy].stream == Some(governor) {
                            state.proxies[proxy].stream = None;
                        }
                        state.proxies[proxy].failed_dials = 0;
                    }
                    None
                });
            }
            if !self.governors[governor].up {
                step(&|state| {
                    let epoch = state.governors[governor].epoch + 1;
                    let migrations = Migrations::new(epoch << 8);
                    state.governors[governor] = Governor { up: true, epoch, version: 0, migrations };
                    state.proxies.iter_mut().for_each(|proxy| proxy.failed_dials = 0);
                    None
                });
            }
            for proxy in 0..self.proxies.len() {
                if self.proxies[proxy].stream != Some(governor) {
                    continue;
                }
                if self.remaining.decisions > 0 {
                    step(&|state| {
                        state.remaining.decisions -= 1;
                        state.publish(governor, proxy);
                        None
                    });
                }
                if self.remaining.offers > 0 {
                    step(&|state| {
                        state.remaining.offers -= 1;
                        let name = state.proxies[proxy].name;
                        state.governors[governor].migrations.offer(NOW, name, NAMES[1 - governor], vec![1]);
                        state.carry_out_actions(governor);
                        None
                    });
                }
            }
        }
        for message in &self.messages {
            step(&|state| {
                state.deliver_message(message);
                None
            });
        }
        successors
    }
}

/// Visits every reachable state. Returns the number of states, or the first violation.
fn explore(budget: Budget, max_states: usize) -> Result<usize, String> {
    let (mut visited, mut frontier) = (HashSet::new(), VecDeque::new());
    let digest = |state: &SystemState| {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let (mut first_hasher, mut second_hasher) = (DefaultHasher::new(), DefaultHasher::new());
        state.hash(&mut first_hasher);
        (1, state).hash(&mut second_hasher);
        (first_hasher.finish(), second_hasher.finish())
    };
    let initial = initial_state(budget);
    visited.insert(digest(&initial));
    frontier.push_back(initial);
    while let Some(state) = frontier.pop_front() {
        for (next, violation) in state.successors() {
            if let Some(violation) = violation {
                return Err(format!("{violation}\nin {next:#?}"));
            }
            if visited.insert(digest(&next)) {
                assert!(visited.len() <= max_states, "more states are reachable than expected");
                frontier.push_back(next);
            }
        }
    }
    Ok(visited.len())
}

#[test]
fn no_table_is_applied_twice_or_out_of_order_and_no_proxy_is_stranded() {
    // One proxy with many faults, then two proxies with fewer.
    let one_proxy = Budget { proxies: 1, crashes: 1, breaks: 1, failbacks: 1, decisions: 0, offers: 1 };
    let mut states = 0;
    for budget in [
        one_proxy,
        Budget { crashes: 2, failbacks: 0, ..one_proxy },
        Budget { crashes: 0, breaks: 2, decisions: 2, offers: 0, ..one_proxy },
        Budget { breaks: 0, failbacks: 0, offers: 2, ..one_proxy },
        Budget { proxies: 2, breaks: 0, failbacks: 0, ..one_proxy },
        Budget { proxies: 2, crashes: 0, failbacks: 0, decisions: 1, ..one_proxy },
    ] {
        let count = explore(budget, 100_000).unwrap_or_else(|violation| panic!("{budget:?}: {violation}"));
        println!("{count} states with {budget:?}");
        states += count;
    }
    assert!(states > 20_000, "only {states} states were explored");
}
