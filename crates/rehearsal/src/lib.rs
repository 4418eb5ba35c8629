//! The rehearsal kit: a bad day, on the real program and real sockets on loopback, judged by what crossed
//! them.
//!
//! Stand-in relays follow a governor, which runs as a process of its own; stand-in workers do the work, a
//! roster file is written some seconds late, and everything is taped. Beside it, in the same minutes, a like
//! fleet has the same day on standing tables only.

pub mod check;
pub mod event_log;
pub mod network_links;
pub mod relay;
pub mod worker;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail};
use nix::sys::signal::Signal;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use wrenthread_settings::day::{self, Day, Planned, Trouble};

use check::Ruled;
use event_log::{End, Entry, FLOWS, GROUPS, Listed, Tape, What};
use network_links::Links;
use relay::{Front, Relay};
use worker::{Mode, Worker};
use wrenthread_client::ProxyIdentity;

const DAYS: [(&str, &str); 11] = [
    ("bad-day", include_str!("../days/bad-day.star")),
    ("short", include_str!("../days/short.star")),
    ("takeover", include_str!("../days/takeover.star")),
    ("split", include_str!("../days/split.star")),
    ("stall", include_str!("../days/stall.star")),
    ("roll", include_str!("../days/roll.star")),
    ("dark", include_str!("../days/dark.star")),
    ("friday", include_str!("../days/friday.star")),
    ("imported", include_str!("../days/imported.star")),
    ("storms", include_str!("../days/storms.star")),
    ("storms-bare", include_str!("../days/storms-bare.star")),
];
/// Lines of a standing table.
const STANDING: usize = 8;
/// After the last flow came: time for the ends of all, and for the last orders' answers.
const AFTER: f64 = 6.0;

/// By which fronts the relays follow their governor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fronts {
    /// All by gRPC.
    Grpc,
    /// All by long-poll.
    Poll,
    /// By turns.
    Mixed,
}

impl Fronts {
    /// The front of a relay; within a hall all of a mix are met.
    fn of(self, relay: usize, halls: usize) -> Front {
        let place = relay / halls + relay % halls;
        match self {
            Fronts::Grpc if place.is_multiple_of(2) => Front::StateOfTheWorld,
            Fronts::Grpc => Front::Delta,
            Fronts::Poll => Front::LongPoll,
            Fronts::Mixed if place.is_multiple_of(2) => Front::LongPoll,
            Fronts::Mixed if place % 4 == 1 => Front::StateOfTheWorld,
            Fronts::Mixed => Front::Delta,
        }
    }
}

/// How a group fared.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Service {
    /// Requests.
    pub flows: u64,
    /// Requests that succeeded.
    pub delivered: u64,
    /// Those that succeeded within the latency objective.
    pub in_budget: u64,
    /// Requests that were not admitted.
    pub blocked: u64,
    /// Requests that failed.
    pub dropped: u64,
}

/// What a day came to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// The day's name.
    pub day: String,
    /// The seed it was played with.
    pub seed: u64,
    /// The fronts that proxies used.
    pub fronts: Fronts,
    /// The verdict on each rule.
    pub rules: Vec<Ruled>,
    /// By group: with the governor, and on standing tables only.
    pub service: BTreeMap<String, (Service, Service)>,
    /// Messages from governors to proxies.
    pub orders: usize,
    /// Load reports of proxies.
    pub reports: usize,
    /// Relays that had the orders of the flush in which the governor was killed, of those joined.
    pub killed_after: Option<usize>,
    /// Tables that the guard let pass, and what it refused, by why; of the governors' last lives.
    pub guard: (u64, BTreeMap<String, u64>),
}

impl Verdict {
    /// Tables that the guard refused: with the module as it is, on any day, none should be.
    pub fn refused(&self) -> u64 {
        self.guard.1.values().sum()
    }

    /// Whether no rule was broken.
    pub fn passed(&self) -> bool {
        self.rules.iter().all(|ruled| ruled.broken.is_empty()) && self.orders > 0 && self.reports > 0
    }

    fn in_budget(&self, of: impl Fn(&(Service, Service)) -> &Service) -> f64 {
        let (good, all) = self
            .service
            .values()
            .map(of)
            .fold((0, 0), |(good, all), one| (good + one.in_budget, all + one.flows));
        good as f64 / (all as f64).max(1.0)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{} (seed {}, {:?}): ", self.day, self.seed, self.fronts)?;
        writeln!(to, "{}", if self.passed() { "PASS" } else { "FAIL" })?;
        for Ruled { rule, broken } in &self.rules {
            writeln!(to, "  {:8} {rule}", if broken.is_empty() { "kept" } else { "BROKEN" })?;
            for one in broken.iter().take(5) {
                writeln!(to, "           {one}")?;
            }
            if broken.len() > 5 {
                writeln!(to, "           and {} more", broken.len() - 5)?;
            }
        }
        writeln!(to, "  in latency budget          governed   standing tables only")?;
        let share = |one: &Service| 100.0 * one.in_budget as f64 / (one.flows as f64).max(1.0);
        for (group, (governed, standing)) in &self.service {
            writeln!(
                to,
                "    {group:22} {:9.2}%  {:9.2}%   of {} flows",
                share(governed),
                share(standing),
                governed.flows
            )?;
        }
        let (governed, standing) = (self.in_budget(|one| &one.0), self.in_budget(|one| &one.1));
        writeln!(to, "    {:22} {:9.2}%  {:9.2}%", "all", 100.0 * governed, 100.0 * standing)?;
        write!(to, "  {} orders, {} reports", self.orders, self.reports)?;
        match self.killed_after {
            Some(relays) => {
                writeln!(to, "; the governor was killed when {relays} orders of its flush were out")
            }
            None => writeln!(to),
        }?;
        let (passed, refused) = &self.guard;
        writeln!(to, "  {passed} tables passed the guard, {} were refused", self.refused())?;
        for (why, times) in refused {
            writeln!(to, "    {times:6} {why}")?;
        }
        Ok(())
    }
}

/// The governor to run, and what it is told besides its settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Program {
    /// Where it is.
    pub path: PathBuf,
    /// Arguments by which it decides wrongly.
    pub wrongs: Vec<String>,
}

/// Rehearses a day: one of the kit's by name, or a script's path. `program` is the governor to run.
///
/// Errors: no such day, faults in its script, or a rehearsal that can't be held (no sockets, no program).
pub fn rehearse(
    program: &Program,
    day: &str,
    seed: u64,
    fronts: Fronts,
    keep: Option<&Path>,
) -> Result<Verdict> {
    let known = DAYS.iter().find(|(name, _)| *name == day);
    let (file, text) = match known {
        Some((name, text)) => (format!("{name}.star"), (*text).to_string()),
        None => {
            let names: Vec<&str> = DAYS.iter().map(|(name, _)| *name).collect();
            let text = std::fs::read_to_string(day).with_context(|| {
                format!("no day `{day}` (there are {}), and no such script", names.join(", "))
            })?;
            (day.to_string(), text)
        }
    };
    let parsed = Rc::new(day::parse(&file, &text)?);
    if parsed.halls.len() > parsed.workers || parsed.halls.is_empty() {
        bail!("{file}: every hall needs a worker");
    }
    let folder = std::env::temp_dir().join(format!("wrenthread-rehearsal-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).with_context(|| format!("{}", folder.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let held = local.block_on(&runtime, async {
        let governed = Field::new(parsed.clone(), seed, fronts).await?;
        let standing = Field::new(parsed.clone(), seed, fronts).await?;
        let (one, other) =
            tokio::join!(governed.hold(Some((program.clone(), folder.clone()))), standing.hold(None));
        other?;
        let (killed_after, guard) = one?;
        Ok::<_, anyhow::Error>((governed.tape.take(), standing.tape.take(), killed_after, guard))
    });
    let (governed, standing, killed_after, guard) = held?;
    if let Some(keep) = keep {
        std::fs::create_dir_all(keep)?;
        let lines: Result<Vec<String>, _> = governed.iter().map(serde_json::to_string).collect();
        let path = keep.join(format!(
            "{}-{seed}.jsonl",
            Path::new(&file).file_stem().map_or("day".into(), |one| one.to_string_lossy())
        ));
        std::fs::write(&path, lines?.join("\n")).with_context(|| format!("{}", path.display()))?;
    }
    let count = |wanted: fn(&What) -> bool| governed.iter().filter(|entry| wanted(&entry.what)).count();
    let verdict = Verdict {
        day: day.to_string(),
        seed,
        fronts,
        rules: check::all(&parsed, &governed),
        service: service(&governed, &standing),
        orders: count(|what| matches!(what, What::Order { .. })),
        reports: count(|what| matches!(what, What::Report { .. })),
        killed_after,
        guard,
    };
    if verdict.passed() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("the governor's log is in {}", folder.display());
    }
    Ok(verdict)
}

fn service(governed: &[Entry], standing: &[Entry]) -> BTreeMap<String, (Service, Service)> {
    let of = |tape: &[Entry]| {
        let (mut services, mut came) = (vec![Service::default(); 3], HashMap::new());
        for entry in tape {
            match entry.what {
                What::Came { flow, group, .. } => {
                    came.insert(flow, (entry.at, group));
                    services[group].flows += 1;
                }
                What::Ended { flow, end } => {
                    let Some((at, group)) = came.remove(&flow) else { continue };
                    let service = &mut services[group];
                    match end {
                        End::Delivered => {
                            service.delivered += 1;
                            service.in_budget += u64::from(entry.at - at <= FLOWS[group].0);
                        }
                        End::Blocked => service.blocked += 1,
                        End::Dropped => service.dropped += 1,
                    }
                }
                _ => {}
            }
        }
        services
    };
    let both = of(governed).into_iter().zip(of(standing));
    GROUPS.iter().zip(both).map(|(group, both)| ((*group).to_string(), both)).collect()
}

/// One fleet: workers, relays, a roster, and what goes wrong with them.
struct Field {
    day: Rc<Day>,
    seed: u64,
    tape: Tape,
    workers: Rc<Vec<Rc<Worker>>>,
    relays: Vec<Rc<Relay>>,
    links: Rc<Links>,
    /// Governors whose roster file is not replaced.
    stale: RefCell<BTreeSet<usize>>,
    /// Workers that are listed as draining.
    draining: RefCell<BTreeSet<usize>>,
    /// Seconds of the calendar at the tape's beginning.
    calendar: f64,
}

impl Field {
    async fn new(day: Rc<Day>, seed: u64, fronts: Fronts) -> Result<Rc<Field>> {
        let tape = Tape::new();
        let halls = day.halls.len();
        let mut workers = Vec::new();
        for place in 0..day.workers {
            workers.push(Worker::start(place, day.clone(), tape.clone()).await?);
        }
        let by_address: HashMap<String, Rc<Worker>> =
            workers.iter().map(|worker| (worker.address.clone(), worker.clone())).collect();
        let (workers, by_address) = (Rc::new(workers), Rc::new(by_address));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let usual = day.flows_per_s / day.relays as f64;
        let relays: Vec<Rc<Relay>> = (0..day.relays)
            .map(|place| {
                // A relay draws its standing table from its hall, as the list then shows it.
                let mut drawn: Vec<usize> =
                    (0..day.workers).filter(|worker| worker % halls == place % halls).collect();
                while drawn.len() > STANDING {
                    drawn.remove(rng.next_u64() as usize % drawn.len());
                }
                let zone = day.halls[place % halls].clone();
                let who = ProxyIdentity { name: format!("relay-{place}"), zone, requests_per_second: usual };
                let standing: Vec<Rc<Worker>> = drawn.iter().map(|place| workers[*place].clone()).collect();
                let front = fronts.of(place, halls);
                Relay::new(place, who, front, &standing, by_address.clone(), seed, tape.clone())
            })
            .collect();
        let calendar = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs_f64() - tape.now();
        let (links, stale, draining) = (Rc::default(), RefCell::default(), RefCell::default());
        Ok(Rc::new(Field { day, seed, tape, workers, relays, links, stale, draining, calendar }))
    }

    /// Holds the day; with a governor (its program, and a folder for its files) or without.
    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    async fn hold(
        self: &Rc<Self>,
        governor: Option<(Program, PathBuf)>,
    ) -> Result<(Option<usize>, (u64, BTreeMap<String, u64>))> {
        let mut governors = Vec::new();
        if let Some((program, folder)) = governor {
            std::fs::write(folder.join("fleet.key"), format!("{:032}", self.seed))?;
            for place in 0..self.day.governors {
                governors.push(Governor::new(program.clone(), folder.clone(), place)?);
            }
            if self.day.talk {
                let heard_at: Vec<SocketAddr> = governors.iter().map(|one| one.talk).collect();
                for governor in &mut governors {
                    let mut peers = Vec::new();
                    for (other, at) in heard_at.iter().enumerate() {
                        if other != governor.place {
                            peers.push((other, self.links.lay(governor.place, other, *at).await?));
                        }
                    }
                    governor.peers = peers;
                }
            }
            for governor in &governors {
                match self.day.nginx {
                    true => governor.import(&self.day, &self.workers)?,
                    false => governor.settle(&self.day)?,
                }
            }
        }
        let governors: Vec<Rc<Governor>> = governors.into_iter().map(Rc::new).collect();
        let halls = self.day.halls.len();
        self.tape.add(What::Fleet {
            workers: (0..self.day.workers).map(|worker| worker % halls).collect(),
            relays: self.relays.iter().map(|relay| (relay.place % halls, Vec::new())).collect(),
        });
        let mut tasks = Vec::new();
        if !governors.is_empty() {
            // An imported roster is there already.
            match self.day.nginx {
                true => self.tape_list(),
                false => self.list(&governors)?,
            }
            for governor in &governors {
                governor.start(&self.tape).await?;
            }
            let dialled: Rc<Vec<_>> =
                Rc::new(governors.iter().map(|governor| governor.dialled.clone()).collect());
            for relay in &self.relays {
                tasks.push(tokio::task::spawn_local(relay.clone().follow(dialled.clone())));
                tasks.push(tokio::task::spawn_local(relay.clone().report()));
            }
        }
        let numbers = Rc::new(Cell::new(1));
        let begins = self.tape.now();
        for relay in &self.relays {
            let (each, until) = (self.day.flows_per_s / self.day.relays as f64, begins + self.day.seconds);
            tasks.push(tokio::task::spawn_local(relay.clone().bring(each, until, numbers.clone())));
        }
        for planned in self.day.troubles.clone() {
            let (this, governors) = (self.clone(), governors.clone());
            tasks.push(tokio::task::spawn_local(async move {
                sleep(Duration::from_secs_f64(planned.at)).await;
                if let Err(error) = this.go_wrong(&planned, &governors).await {
                    eprintln!("a trouble could not be made: {error:#}");
                }
            }));
        }
        sleep(Duration::from_secs_f64(self.day.seconds + AFTER)).await;
        let killed = governors.iter().find_map(|governor| governor.killed_after.get());
        let (mut passed, mut refused) = (0, BTreeMap::new());
        for governor in &governors {
            // One that is down at the end has nothing to say.
            let status = governor.operate(&["status", "--output", "json"]).await.unwrap_or_default();
            let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
            passed += status["guard"]["passed"].as_u64().unwrap_or(0);
            for (why, times) in status["guard"]["refused"].as_object().into_iter().flatten() {
                *refused.entry(why.clone()).or_default() += times.as_u64().unwrap_or(0);
            }
        }
        if !governors.is_empty() {
            governors.iter().for_each(|governor| governor.kill());
            // Orders on their way when the day ended are nobody's fault.
            self.relays.iter().for_each(|relay| self.tape.add(What::Broken { relay: relay.place }));
        }
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        Ok((killed, (passed, refused)))
    }

    /// Replaces the governors' roster files by what holds now.
    fn list(&self, governors: &[Rc<Governor>]) -> Result<()> {
        let draining = self.draining.borrow();
        let entry = |worker: &Rc<Worker>| {
            let phase = if draining.contains(&worker.place) { "draining" } else { "ready" };
            json!({
                "id": worker.id, "address": worker.address, "phase": phase, "weight": 1.0,
                "zone": self.day.halls[worker.place % self.day.halls.len()],
                "started": worker.started().map(|at| self.calendar + at),
            })
        };
        let list = json!({"replicas": self.workers.iter().map(entry).collect::<Vec<_>>()});
        let told = governors.iter().filter(|governor| !self.stale.borrow().contains(&governor.place));
        for governor in told {
            let written = governor.folder.join("roster.new");
            std::fs::write(&written, format!("{list:#}"))?;
            std::fs::rename(written, governor.folder.join("roster.json"))?;
        }
        self.tape_list();
        Ok(())
    }

    fn tape_list(&self) {
        let draining = self.draining.borrow();
        let listed = self
            .workers
            .iter()
            .map(|worker| Listed { worker: worker.place, ready: !draining.contains(&worker.place) });
        self.tape.add(What::Roster { listed: listed.collect() });
    }

    /// A governor's roster file is not replaced any more, or is again.
    fn set_stale(&self, governors: &[Rc<Governor>], governor: usize, stale: bool) -> Result<()> {
        match stale {
            true => drop(self.stale.borrow_mut().insert(governor)),
            false => drop(self.stale.borrow_mut().remove(&governor)),
        }
        self.tape.add(What::Stale { governor, stale });
        if stale || governors.is_empty() { Ok(()) } else { self.list(governors) }
    }

    async fn list_late(&self, governors: &[Rc<Governor>]) -> Result<()> {
        sleep(Duration::from_secs_f64(self.day.roster_late)).await;
        if governors.is_empty() { Ok(()) } else { self.list(governors) }
    }

    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    async fn go_wrong(&self, planned: &Planned, governors: &[Rc<Governor>]) -> Result<()> {
        let lasts = Duration::from_secs_f64(planned.lasts);
        let halls = self.day.halls.len();
        let some = |count: usize| {
            // The first hall's workers, by seed: deploys are of other halls, as the days have it.
            let workers = self.workers.iter().filter(|worker| worker.place % halls == 0);
            let skip = self.seed as usize % (self.day.workers / halls).max(1);
            workers.cycle().skip(skip).take(count).cloned().collect::<Vec<_>>()
        };
        let share = |share: f64| {
            let count = (share * self.relays.len() as f64).round() as usize;
            self.relays.iter().cycle().skip(self.seed as usize % self.relays.len()).take(count)
        };
        match &planned.trouble {
            Trouble::Silent { count } | Trouble::QuickErrors { count } => {
                let silent = matches!(planned.trouble, Trouble::Silent { .. });
                let workers = some(*count);
                let mode = if silent { Mode::Silent } else { Mode::QuickErrors };
                workers.iter().for_each(|worker| worker.set(mode));
                sleep(lasts).await;
                workers.iter().for_each(|worker| worker.set(Mode::Well));
            }
            Trouble::Deploy { hall, step } => {
                let workers = self.workers.iter().filter(|worker| worker.place % halls == *hall);
                for worker in workers.take((planned.lasts / step).ceil() as usize) {
                    self.draining.borrow_mut().insert(worker.place);
                    self.list_late(governors).await?;
                    sleep(Duration::from_secs_f64((step - 2.0 * self.day.roster_late).max(0.5))).await;
                    worker.restart();
                    self.draining.borrow_mut().remove(&worker.place);
                    self.list_late(governors).await?;
                }
            }
            Trouble::BrokenStreams { share: part } => share(*part).for_each(|relay| relay.cut()),
            Trouble::LateReports { share: part, late } => {
                share(*part).for_each(|relay| relay.report_late(*late));
                sleep(lasts).await;
                share(*part).for_each(|relay| relay.report_late(0.0));
            }
            Trouble::Kill { governor, after_orders } => {
                let Some(governor) = governors.get(*governor).cloned() else { return Ok(()) };
                let place = governor.place;
                if *after_orders == 0 {
                    governor.kill();
                }
                let (after, armed, seen) = (*after_orders, Cell::new(false), Cell::new(0));
                let killer = governor.clone();
                self.tape.watch(move |entry| match &entry.what {
                    What::Roster { .. } => armed.set(true),
                    What::Order { governor, tables, .. }
                        if *governor == place && armed.get() && !tables.is_empty() =>
                    {
                        seen.set(seen.get() + 1);
                        if seen.get() == after {
                            killer.kill();
                        }
                        killer.killed_after.set(Some(seen.get()));
                    }
                    _ => {}
                });
                let dead = async {
                    while !governor.dead.get() {
                        sleep(Duration::from_millis(5)).await;
                    }
                };
                // Where no roster change comes in time, it is killed between two flushes.
                let _ = timeout(lasts, dead).await;
                governor.kill();
                sleep(Duration::from_millis(50)).await;
                self.tape.watch(|_| {});
                self.tape.add(What::Governor { governor: place, up: false });
                sleep(lasts).await;
                governor.start(&self.tape).await?;
            }
            Trouble::Storm { governor, count } => {
                let Some(governor) = governors.get(*governor) else { return Ok(()) };
                let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5707);
                let each = planned.lasts / *count as f64;
                for _ in 0..*count {
                    let chance = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                    sleep(Duration::from_secs_f64(each * (0.1 + 0.8 * chance))).await;
                    governor.kill();
                    governor.ended().await;
                    self.tape.add(What::Governor { governor: governor.place, up: false });
                    // As soon as a supervisor would.
                    sleep(Duration::from_millis(200)).await;
                    governor.start(&self.tape).await?;
                }
            }
            Trouble::Stall { governor } => {
                let Some(governor) = governors.get(*governor) else { return Ok(()) };
                governor.signal(Signal::SIGSTOP)?;
                self.tape.add(What::Governor { governor: governor.place, up: false });
                sleep(lasts).await;
                governor.signal(Signal::SIGCONT)?;
                self.tape.add(What::Governor { governor: governor.place, up: true });
            }
            Trouble::Cut { governor } if !governors.is_empty() => {
                let (here, count) = (*governor, governors.len());
                let reach = |reaches: bool| {
                    for relay in &self.relays {
                        let within = relay.place % halls == here % halls;
                        let lost = (0..count).filter(|other| (*other == here) != within);
                        lost.for_each(|other| relay.reach(other, reaches));
                    }
                    self.links.cut(here, count, false, !reaches);
                    self.set_stale(governors, here, !reaches)
                };
                reach(false)?;
                sleep(lasts).await;
                reach(true)?;
            }
            Trouble::OneWay { governor } => {
                self.links.cut(*governor, governors.len(), true, true);
                sleep(lasts).await;
                self.links.cut(*governor, governors.len(), true, false);
            }
            Trouble::Stale { governor } if !governors.is_empty() => {
                self.set_stale(governors, *governor, true)?;
                sleep(lasts).await;
                self.set_stale(governors, *governor, false)?;
            }
            Trouble::Roll => {
                for governor in governors {
                    governor.drain().await?;
                    governor.signal(Signal::SIGTERM)?;
                    governor.ended().await;
                    self.tape.add(What::Governor { governor: governor.place, up: false });
                    sleep(Duration::from_millis(500)).await;
                    governor.start(&self.tape).await?;
                    // As an operator would: the next once this one is well.
                    sleep(Duration::from_secs(3)).await;
                }
            }
            Trouble::StepBack => {
                let version = |status: String| -> Result<u64> {
                    let status: serde_json::Value = serde_json::from_str(&status)?;
                    status["governor"]["version"].as_u64().context("a status without a version")
                };
                for governor in governors {
                    let then = version(governor.operate(&["status", "--output", "json"]).await?)?;
                    sleep(lasts).await;
                    let back = ["rollback", &then.to_string(), "--all", "--why", "a mistake", "--for", "15"];
                    governor.operate(&back).await?;
                }
            }
            Trouble::Cut { .. } | Trouble::Stale { .. } => {}
        }
        Ok(())
    }
}

/// The real program, as a process of its own.
struct Governor {
    place: usize,
    program: Program,
    folder: PathBuf,
    dialled: wrenthread_client::Governor,
    http: String,
    ports: (u16, u16),
    /// Where it is heard by others, and where it finds them.
    talk: SocketAddr,
    peers: Vec<(usize, SocketAddr)>,
    child: RefCell<Option<Child>>,
    dead: Cell<bool>,
    killed_after: Cell<Option<usize>>,
}

/// A port below those that the system gives to outgoing connections: one of these must not sit on a
/// governor's port while the governor is down. Each process begins to look elsewhere.
fn free_port() -> Result<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let port = || {
        let place = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        15_100 + (place % 17_000) as u16
    };
    let mut ports = std::iter::repeat_with(port).take(1000);
    ports.find(|port| is_free(*port)).context("no free port on loopback")
}

/// Whether the port is free. Looking does not listen there: whoever waits for a governor at this port would take the look
/// for it.
fn is_free(port: u16) -> bool {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    tokio::net::TcpSocket::new_v4().is_ok_and(|socket| socket.bind(address).is_ok())
}

impl Governor {
    fn new(program: Program, folder: PathBuf, place: usize) -> Result<Self> {
        let folder = folder.join(format!("g{place}"));
        std::fs::create_dir_all(&folder)?;
        let (grpc, http, poll) = (free_port()?, free_port()?, free_port()?);
        let talk = SocketAddr::from(([127, 0, 0, 1], free_port()?));
        let uri = |port| format!("http://127.0.0.1:{port}");
        let dialled =
            wrenthread_client::Governor { name: format!("g{place}"), grpc: uri(grpc), poll: uri(poll) };
        let http = format!("127.0.0.1:{http}");
        let (ports, peers, killed_after) = ((grpc, poll), Vec::new(), Cell::new(None));
        let (child, dead) = (RefCell::new(None), Cell::new(true));
        Ok(Governor { place, program, folder, dialled, http, ports, talk, peers, child, dead, killed_after })
    }

    /// Writes its settings.
    fn settle(&self, day: &Day) -> Result<()> {
        let Governor { place, http, ports: (grpc, poll), talk, .. } = self;
        let key = self.folder.join("../fleet.key");
        let peers: Vec<String> = self.peers.iter().map(|(other, at)| format!("g{other}={at}")).collect();
        let talking = match peers.is_empty() {
            true => String::new(),
            false => format!(", talk = \"{talk}\", peers = {peers:?}"),
        };
        let groups: String = GROUPS
            .iter()
            .zip(FLOWS)
            .enumerate()
            .map(|(place, (group, (budget, expiry, _)))| {
                let effect = if place == event_log::NON_RETRIABLE { "non-retriable" } else { "retriable" };
                let utility = if place == 1 { 1.0 } else { 3.0 };
                format!(
                    "group(\"{group}\", effect = \"{effect}\", latency_budget = {budget}, expiry = {expiry}, \
                     utility = {utility}, prefix = \"/{group}\")\n"
                )
            })
            .collect();
        let state = if day.state { "state(folder = \"state\", every = 0.2)\n" } else { "" };
        let settings = format!(
            "{state}fleet(zones = {:?}, proxies = {}, governors = {}, \
             standing_lines = {STANDING}, proxies_avoid = True)\n\
             governor(name = \"g{place}\", keys = [{key:?}]{talking})\n\
             replicas(cold_share = {}, warm_after = {})\n\
             channel(lines_per_s = {}, head_lines = {}, waiting_most = {}, \
             messages_most = {}, messages_over = {})\n\
             reports(every = 0.5, metrics = [\"waiting\"])\n\
             roster(file = \"roster.json\", look_every = 0.05)\n\
             listen(grpc = \"127.0.0.1:{grpc}\", http = \"{http}\", \
             poll = \"127.0.0.1:{poll}\")\n{groups}",
            day.halls,
            day.relays,
            day.governors,
            day.cold_share,
            day.warm_after,
            event_log::LINES_PER_S,
            event_log::HEAD_LINES,
            event_log::WAITING_MOST,
            event_log::MESSAGES.0,
            event_log::MESSAGES.1,
        );
        std::fs::write(self.folder.join("settings.star"), settings)?;
        Ok(())
    }

    /// Has its settings and its first roster imported from an nginx's configuration of this fleet; what that
    /// does not say is added as an operator would.
    fn import(&self, day: &Day, workers: &[Rc<Worker>]) -> Result<()> {
        let server = |worker: &Rc<Worker>| {
            format!("    server {} slow_start={}ms;\n", worker.address, (day.warm_after * 1000.0) as u64)
        };
        let servers: String = workers.iter().map(server).collect();
        let location = |(place, (group, (budget, _, _))): (usize, (&&str, (f64, f64, f64)))| {
            let repeats = if place == event_log::NON_RETRIABLE { "" } else { "error timeout non_idempotent" };
            let next =
                if repeats.is_empty() { String::new() } else { format!("proxy_next_upstream {repeats}; ") };
            let read = (budget * 1000.0) as u64 - 250;
            format!(
                "    location /{group} {{ proxy_pass http://gates; proxy_connect_timeout 250ms; \
                 proxy_read_timeout {read}ms; {next}}}\n"
            )
        };
        let locations: String = GROUPS.iter().zip(FLOWS).enumerate().map(location).collect();
        let conf = self.folder.join("nginx.conf");
        std::fs::write(&conf, format!("upstream gates {{\n{servers}}}\nserver {{\n{locations}}}\n"))?;
        let (grpc, poll) = self.ports;
        let http = self.http.rsplit_once(':').map_or("", |(_, port)| port);
        let ran = std::process::Command::new(&self.program.path)
            .args(["import", "nginx", "--zones", "network", "--strict"])
            .args(["--proxies", &day.relays.to_string(), "--ports", &format!("{grpc},{http},{poll}")])
            .arg("--output")
            .arg(&self.folder)
            .arg(&conf)
            .output()?;
        if !ran.status.success() {
            bail!("the import failed: {}", String::from_utf8_lossy(&ran.stderr));
        }
        let imported = std::fs::read_to_string(self.folder.join("gates/settings.star"))?;
        let key = self.folder.join("../fleet.key");
        let added = format!(
            "roster(file = \"roster.json\", look_every = 0.05)\n\
             governor(name = \"g{}\", keys = [{key:?}])\n\
             channel(lines_per_s = {}, head_lines = {}, waiting_most = {}, \
             messages_most = {}, messages_over = {})\n\
             reports(every = 0.5, metrics = [\"waiting\"])",
            self.place,
            event_log::LINES_PER_S,
            event_log::HEAD_LINES,
            event_log::WAITING_MOST,
            event_log::MESSAGES.0,
            event_log::MESSAGES.1,
        );
        let settings = imported.replace("roster(file = \"roster.json\")", &added);
        std::fs::write(self.folder.join("settings.star"), settings)?;
        std::fs::copy(self.folder.join("gates/roster.json"), self.folder.join("roster.json"))?;
        Ok(())
    }

    async fn start(&self, tape: &Tape) -> Result<()> {
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join("governor.log"))?;
        let child = Command::new(&self.program.path)
            .arg("run")
            .arg(self.folder.join("settings.star"))
            .args(&self.program.wrongs)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}", self.program.path.display()))?;
        *self.child.borrow_mut() = Some(child);
        self.dead.set(false);
        for _ in 0..200 {
            if tokio::net::TcpStream::connect(&self.http).await.is_ok() {
                tape.add(What::Governor { governor: self.place, up: true });
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        bail!("the governor does not answer on {}; its log is in {}", self.http, self.folder.display())
    }

    /// Sends its process a signal, by its id.
    fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.child.borrow().as_ref().and_then(Child::id).context("the governor is not up")?;
        Ok(nix::sys::signal::kill(nix::unistd::Pid::from_raw(id as i32), signal)?)
    }

    /// Has it hand its relays over, as an operator does.
    async fn drain(&self) -> Result<()> {
        // An operator would go on, too: what is left comes back by itself.
        self.operate(&["drain-governor", "--wait", "20"]).await.map(drop)
    }

    /// Does what an operator does at the command line; what it prints.
    async fn operate(&self, arguments: &[&str]) -> Result<String> {
        let at = ["--at", &self.http];
        let ran = Command::new(&self.program.path).args(arguments).args(at).output().await?;
        if !ran.status.success() {
            eprintln!("{}", String::from_utf8_lossy(&ran.stderr).trim());
        }
        Ok(String::from_utf8(ran.stdout)?)
    }

    /// Waits for its end.
    async fn ended(&self) {
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = timeout(Duration::from_secs(5), child.wait()).await;
        }
        self.dead.set(true);
    }

    /// Kills it, as by a power cut.
    fn kill(&self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            let _ = child.start_kill();
        }
        self.dead.set(true);
    }
}
