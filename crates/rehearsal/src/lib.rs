//! Rehearsals: runs a scripted day of faults against real governor processes over loopback sockets, and
//! checks a set of rules on the log of what crossed those sockets.
//!
//! Stand-in proxies follow the governors and send requests to stand-in replicas; the roster file is written
//! with a delay. At the same time, an identical fleet runs the same day on default tables only, for
//! comparison.

pub mod check;
pub mod event_log;
pub mod network_links;
pub mod proxy;
pub mod replica;

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
use wrenthread_settings::day::{self, Day, Fault, ScheduledFault};

use check::RuleResult;
use event_log::{CLASS_TRAFFIC, CLASSES, Entry, Event, EventLog, RequestOutcome, RosterEntry};
use network_links::GossipLinks;
use proxy::{Front, Proxy};
use replica::{Mode, Replica};
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
/// Number of entries in a default table.
const DEFAULT_TABLE_SIZE: usize = 8;
/// Time after the last request for all requests to end and the last table updates to be answered.
const SETTLE_SECONDS: f64 = 6.0;

/// Which protocols the proxies use to follow their governor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fronts {
    /// All proxies use gRPC.
    Grpc,
    /// All proxies use long-polling.
    Poll,
    /// Proxies alternate between the protocols.
    Mixed,
}

impl Fronts {
    /// A proxy's protocol. Each zone with enough proxies has all protocols of a mix.
    fn of(self, proxy: usize, zone_count: usize) -> Front {
        let index = proxy / zone_count + proxy % zone_count;
        match self {
            Fronts::Grpc if index.is_multiple_of(2) => Front::StateOfTheWorld,
            Fronts::Grpc => Front::Delta,
            Fronts::Poll => Front::LongPoll,
            Fronts::Mixed if index.is_multiple_of(2) => Front::LongPoll,
            Fronts::Mixed if index % 4 == 1 => Front::StateOfTheWorld,
            Fronts::Mixed => Front::Delta,
        }
    }
}

/// Request counts of a traffic class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassService {
    /// Requests.
    #[serde(rename = "flows")]
    pub requests: u64,
    /// Requests that succeeded.
    #[serde(rename = "delivered")]
    pub succeeded: u64,
    /// Those that succeeded within the latency objective.
    #[serde(rename = "in_budget")]
    pub within_objective: u64,
    /// Requests that were not admitted.
    #[serde(rename = "blocked")]
    pub rejected: u64,
    /// Requests that failed.
    #[serde(rename = "dropped")]
    pub failed: u64,
}

/// Result of a rehearsed day.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// The day's name.
    pub day: String,
    /// The seed of the run.
    pub seed: u64,
    /// The protocols that proxies used.
    pub fronts: Fronts,
    /// The verdict on each rule.
    pub rules: Vec<RuleResult>,
    /// By traffic class: with governors, and with default tables only.
    pub service: BTreeMap<String, (ClassService, ClassService)>,
    /// Number of messages from governors to proxies.
    #[serde(rename = "orders")]
    pub table_updates: usize,
    /// Number of load reports from proxies.
    pub reports: usize,
    /// Number of table updates received from the killed governor after the roster change that the fault waits
    /// for; none if there were none.
    pub killed_after: Option<usize>,
    /// Number of tables that the guard passed, and of those it refused by reason; counted since each governor
    /// last started.
    pub guard: (u64, BTreeMap<String, u64>),
}

impl Verdict {
    /// Number of tables that the guard refused. With the unmodified decision module this is expected to be 0
    /// on any day.
    pub fn refused(&self) -> u64 {
        self.guard.1.values().sum()
    }

    /// Whether no rule was broken and there was at least one table update and one load report.
    pub fn passed(&self) -> bool {
        self.rules.iter().all(|result| result.violations.is_empty())
            && self.table_updates > 0
            && self.reports > 0
    }

    fn within_objective(&self, of: impl Fn(&(ClassService, ClassService)) -> &ClassService) -> f64 {
        let (good, all) =
            self.service.values().map(of).fold((0, 0), |(good, all), service| {
                (good + service.within_objective, all + service.requests)
            });
        good as f64 / (all as f64).max(1.0)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{} (seed {}, {:?}): ", self.day, self.seed, self.fronts)?;
        writeln!(to, "{}", if self.passed() { "PASS" } else { "FAIL" })?;
        for RuleResult { rule, violations } in &self.rules {
            writeln!(to, "  {:8} {rule}", if violations.is_empty() { "kept" } else { "BROKEN" })?;
            for violation in violations.iter().take(5) {
                writeln!(to, "           {violation}")?;
            }
            if violations.len() > 5 {
                writeln!(to, "           and {} more", violations.len() - 5)?;
            }
        }
        writeln!(to, "  in latency budget          governed   standing tables only")?;
        let share = |service: &ClassService| {
            100.0 * service.within_objective as f64 / (service.requests as f64).max(1.0)
        };
        for (class, (governed, baseline)) in &self.service {
            writeln!(
                to,
                "    {class:22} {:9.2}%  {:9.2}%   of {} flows",
                share(governed),
                share(baseline),
                governed.requests
            )?;
        }
        let (governed, baseline) =
            (self.within_objective(|services| &services.0), self.within_objective(|services| &services.1));
        writeln!(to, "    {:22} {:9.2}%  {:9.2}%", "all", 100.0 * governed, 100.0 * baseline)?;
        write!(to, "  {} orders, {} reports", self.table_updates, self.reports)?;
        match self.killed_after {
            Some(proxies) => {
                writeln!(to, "; the governor was killed when {proxies} orders of its flush were out")
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

/// The governor executable and its additional arguments.
#[derive(Debug, Clone, PartialEq)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that inject faults into its decisions.
    pub fault_arguments: Vec<String>,
}

/// Rehearses a day, given as the name of a built-in day or the path of a script. `program` is the governor to
/// run.
///
/// Errors: an unknown day, an invalid script, or a failure to run the rehearsal (for example, no sockets or
/// no program).
pub fn rehearse(
    program: &Program,
    day: &str,
    seed: u64,
    fronts: Fronts,
    log_folder: Option<&Path>,
) -> Result<Verdict> {
    let built_in = DAYS.iter().find(|(name, _)| *name == day);
    let (file, text) = match built_in {
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
    if parsed.zones.len() > parsed.replicas || parsed.zones.is_empty() {
        bail!("{file}: every hall needs a worker");
    }
    let folder = std::env::temp_dir().join(format!("wrenthread-rehearsal-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).with_context(|| format!("{}", folder.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let outcome = local.block_on(&runtime, async {
        let governed = SimulatedFleet::new(parsed.clone(), seed, fronts).await?;
        let baseline = SimulatedFleet::new(parsed.clone(), seed, fronts).await?;
        let (governed_result, baseline_result) =
            tokio::join!(governed.run_day(Some((program.clone(), folder.clone()))), baseline.run_day(None));
        baseline_result?;
        let (killed_after, guard) = governed_result?;
        Ok::<_, anyhow::Error>((governed.event_log.take(), baseline.event_log.take(), killed_after, guard))
    });
    let (governed, baseline, killed_after, guard) = outcome?;
    if let Some(log_folder) = log_folder {
        std::fs::create_dir_all(log_folder)?;
        let json_lines: Result<Vec<String>, _> = governed.iter().map(serde_json::to_string).collect();
        let path = log_folder.join(format!(
            "{}-{seed}.jsonl",
            Path::new(&file).file_stem().map_or("day".into(), |stem| stem.to_string_lossy())
        ));
        std::fs::write(&path, json_lines?.join("\n")).with_context(|| format!("{}", path.display()))?;
    }
    let count = |wanted: fn(&Event) -> bool| governed.iter().filter(|entry| wanted(&entry.event)).count();
    let verdict = Verdict {
        day: day.to_string(),
        seed,
        fronts,
        rules: check::all(&parsed, &governed),
        service: service(&governed, &baseline),
        table_updates: count(|event| matches!(event, Event::TableUpdate { .. })),
        reports: count(|event| matches!(event, Event::Report { .. })),
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

fn service(governed: &[Entry], baseline: &[Entry]) -> BTreeMap<String, (ClassService, ClassService)> {
    let of = |event_log: &[Entry]| {
        let (mut services, mut arrivals) = (vec![ClassService::default(); 3], HashMap::new());
        for entry in event_log {
            match entry.event {
                Event::RequestArrived { request, class, .. } => {
                    arrivals.insert(request, (entry.at, class));
                    services[class].requests += 1;
                }
                Event::RequestEnded { request, outcome } => {
                    let Some((at, class)) = arrivals.remove(&request) else { continue };
                    let service = &mut services[class];
                    match outcome {
                        RequestOutcome::Succeeded => {
                            service.succeeded += 1;
                            service.within_objective += u64::from(entry.at - at <= CLASS_TRAFFIC[class].0);
                        }
                        RequestOutcome::Rejected => service.rejected += 1,
                        RequestOutcome::Failed => service.failed += 1,
                    }
                }
                _ => {}
            }
        }
        services
    };
    let both = of(governed).into_iter().zip(of(baseline));
    CLASSES.iter().zip(both).map(|(class, both)| ((*class).to_string(), both)).collect()
}

/// A simulated fleet with its replicas, proxies, roster and injected faults.
struct SimulatedFleet {
    day: Rc<Day>,
    seed: u64,
    event_log: EventLog,
    replicas: Rc<Vec<Rc<Replica>>>,
    proxies: Vec<Rc<Proxy>>,
    gossip_links: Rc<GossipLinks>,
    /// Governors whose roster file is currently not updated.
    stale_rosters: RefCell<BTreeSet<usize>>,
    /// Replicas that the roster lists as draining.
    draining: RefCell<BTreeSet<usize>>,
    /// Unix time in seconds at which the event log started.
    log_start_unix_seconds: f64,
}

impl SimulatedFleet {
    async fn new(day: Rc<Day>, seed: u64, fronts: Fronts) -> Result<Rc<SimulatedFleet>> {
        let event_log = EventLog::new();
        let zone_count = day.zones.len();
        let mut replicas = Vec::new();
        for index in 0..day.replicas {
            replicas.push(Replica::start(index, day.clone(), event_log.clone()).await?);
        }
        let by_address: HashMap<String, Rc<Replica>> =
            replicas.iter().map(|replica| (replica.address.clone(), replica.clone())).collect();
        let (replicas, by_address) = (Rc::new(replicas), Rc::new(by_address));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate_per_proxy = day.requests_per_second / day.proxies as f64;
        let proxies: Vec<Rc<Proxy>> = (0..day.proxies)
            .map(|index| {
                // Each proxy draws its default table from the replicas of its zone.
                let mut default_replicas: Vec<usize> =
                    (0..day.replicas).filter(|replica| replica % zone_count == index % zone_count).collect();
                while default_replicas.len() > DEFAULT_TABLE_SIZE {
                    default_replicas.remove(rng.next_u64() as usize % default_replicas.len());
                }
                let zone = day.zones[index % zone_count].clone();
                let identity = ProxyIdentity {
                    name: format!("relay-{index}"),
                    zone,
                    requests_per_second: rate_per_proxy,
                };
                let default_table: Vec<Rc<Replica>> =
                    default_replicas.iter().map(|index| replicas[*index].clone()).collect();
                let front = fronts.of(index, zone_count);
                Proxy::new(
                    index,
                    identity,
                    front,
                    &default_table,
                    by_address.clone(),
                    seed,
                    event_log.clone(),
                )
            })
            .collect();
        let log_start_unix_seconds =
            SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs_f64() - event_log.now();
        let (gossip_links, stale_rosters, draining) = (Rc::default(), RefCell::default(), RefCell::default());
        Ok(Rc::new(SimulatedFleet {
            day,
            seed,
            event_log,
            replicas,
            proxies,
            gossip_links,
            stale_rosters,
            draining,
            log_start_unix_seconds,
        }))
    }

    /// Runs the day, with governors (given their program and a folder for their files) or without.
    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    async fn run_day(
        self: &Rc<Self>,
        governor: Option<(Program, PathBuf)>,
    ) -> Result<(Option<usize>, (u64, BTreeMap<String, u64>))> {
        let mut governors = Vec::new();
        if let Some((program, folder)) = governor {
            std::fs::write(folder.join("fleet.key"), format!("{:032}", self.seed))?;
            for index in 0..self.day.governors {
                governors.push(GovernorProcess::new(program.clone(), folder.clone(), index)?);
            }
            if self.day.gossip {
                let gossip_addresses: Vec<SocketAddr> =
                    governors.iter().map(|governor| governor.gossip_address).collect();
                for governor in &mut governors {
                    let mut peers = Vec::new();
                    for (peer, address) in gossip_addresses.iter().enumerate() {
                        if peer != governor.index {
                            peers.push((
                                peer,
                                self.gossip_links.create_link(governor.index, peer, *address).await?,
                            ));
                        }
                    }
                    governor.peers = peers;
                }
            }
            for governor in &governors {
                match self.day.nginx {
                    true => governor.import(&self.day, &self.replicas)?,
                    false => governor.write_settings(&self.day)?,
                }
            }
        }
        let governors: Vec<Rc<GovernorProcess>> = governors.into_iter().map(Rc::new).collect();
        let zone_count = self.day.zones.len();
        self.event_log.record(Event::Fleet {
            replicas: (0..self.day.replicas).map(|replica| replica % zone_count).collect(),
            proxies: self.proxies.iter().map(|proxy| (proxy.index % zone_count, Vec::new())).collect(),
        });
        let mut tasks = Vec::new();
        if !governors.is_empty() {
            // The import has already written the roster file.
            match self.day.nginx {
                true => self.record_roster(),
                false => self.write_rosters(&governors)?,
            }
            for governor in &governors {
                governor.start(&self.event_log).await?;
            }
            let endpoints: Rc<Vec<_>> =
                Rc::new(governors.iter().map(|governor| governor.endpoint.clone()).collect());
            for proxy in &self.proxies {
                tasks.push(tokio::task::spawn_local(proxy.clone().follow(endpoints.clone())));
                tasks.push(tokio::task::spawn_local(proxy.clone().report()));
            }
        }
        let next_request_id = Rc::new(Cell::new(1));
        let start = self.event_log.now();
        for proxy in &self.proxies {
            let (requests_per_second, end) =
                (self.day.requests_per_second / self.day.proxies as f64, start + self.day.seconds);
            tasks.push(tokio::task::spawn_local(proxy.clone().generate_requests(
                requests_per_second,
                end,
                next_request_id.clone(),
            )));
        }
        for scheduled in self.day.faults.clone() {
            let (this, governors) = (self.clone(), governors.clone());
            tasks.push(tokio::task::spawn_local(async move {
                sleep(Duration::from_secs_f64(scheduled.at)).await;
                if let Err(error) = this.inject_fault(&scheduled, &governors).await {
                    eprintln!("fault injection failed: {error:#}");
                }
            }));
        }
        sleep(Duration::from_secs_f64(self.day.seconds + SETTLE_SECONDS)).await;
        let killed_after = governors.iter().find_map(|governor| governor.killed_after.get());
        let (mut passed, mut refused) = (0, BTreeMap::new());
        for governor in &governors {
            // A governor that is down at the end reports no counts.
            let status = governor.operate(&["status", "--output", "json"]).await.unwrap_or_default();
            let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
            passed += status["guard"]["passed"].as_u64().unwrap_or(0);
            for (why, times) in status["guard"]["refused"].as_object().into_iter().flatten() {
                *refused.entry(why.clone()).or_default() += times.as_u64().unwrap_or(0);
            }
        }
        if !governors.is_empty() {
            governors.iter().for_each(|governor| governor.kill());
            // Table updates in transit at the end of the day are not counted as unanswered.
            self.proxies
                .iter()
                .for_each(|proxy| self.event_log.record(Event::StreamBroken { proxy: proxy.index }));
        }
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        Ok((killed_after, (passed, refused)))
    }

    /// Replaces the governors' roster files with the current state of the replicas, except for stale ones.
    fn write_rosters(&self, governors: &[Rc<GovernorProcess>]) -> Result<()> {
        let draining = self.draining.borrow();
        let entry = |replica: &Rc<Replica>| {
            let phase = if draining.contains(&replica.index) { "draining" } else { "ready" };
            json!({
                "id": replica.id, "address": replica.address, "phase": phase, "weight": 1.0,
                "zone": self.day.zones[replica.index % self.day.zones.len()],
                "started": replica.started().map(|at| self.log_start_unix_seconds + at),
            })
        };
        let roster = json!({"replicas": self.replicas.iter().map(entry).collect::<Vec<_>>()});
        let receivers =
            governors.iter().filter(|governor| !self.stale_rosters.borrow().contains(&governor.index));
        for governor in receivers {
            let written = governor.folder.join("roster.new");
            std::fs::write(&written, format!("{roster:#}"))?;
            std::fs::rename(written, governor.folder.join("roster.json"))?;
        }
        self.record_roster();
        Ok(())
    }

    fn record_roster(&self) {
        let draining = self.draining.borrow();
        let roster_entries = self
            .replicas
            .iter()
            .map(|replica| RosterEntry { replica: replica.index, ready: !draining.contains(&replica.index) });
        self.event_log.record(Event::Roster { roster_entries: roster_entries.collect() });
    }

    /// Stops or resumes updating a governor's roster file.
    fn set_stale_roster(
        &self,
        governors: &[Rc<GovernorProcess>],
        governor: usize,
        stale: bool,
    ) -> Result<()> {
        match stale {
            true => drop(self.stale_rosters.borrow_mut().insert(governor)),
            false => drop(self.stale_rosters.borrow_mut().remove(&governor)),
        }
        self.event_log.record(Event::StaleRoster { governor, stale });
        if stale || governors.is_empty() { Ok(()) } else { self.write_rosters(governors) }
    }

    async fn write_rosters_delayed(&self, governors: &[Rc<GovernorProcess>]) -> Result<()> {
        sleep(Duration::from_secs_f64(self.day.roster_delay)).await;
        if governors.is_empty() { Ok(()) } else { self.write_rosters(governors) }
    }

    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    async fn inject_fault(
        &self,
        scheduled: &ScheduledFault,
        governors: &[Rc<GovernorProcess>],
    ) -> Result<()> {
        let duration = Duration::from_secs_f64(scheduled.duration);
        let zone_count = self.day.zones.len();
        let pick_replicas = |count: usize| {
            // Takes replicas of the first zone, starting at an offset from the seed. The built-in days deploy
            // to other zones.
            let replicas = self.replicas.iter().filter(|replica| replica.index % zone_count == 0);
            let skip = self.seed as usize % (self.day.replicas / zone_count).max(1);
            replicas.cycle().skip(skip).take(count).cloned().collect::<Vec<_>>()
        };
        let proxies = |fraction: f64| {
            let count = (fraction * self.proxies.len() as f64).round() as usize;
            self.proxies.iter().cycle().skip(self.seed as usize % self.proxies.len()).take(count)
        };
        match &scheduled.fault {
            Fault::Silent { count } | Fault::QuickErrors { count } => {
                let silent = matches!(scheduled.fault, Fault::Silent { .. });
                let replicas = pick_replicas(*count);
                let mode = if silent { Mode::Silent } else { Mode::QuickErrors };
                replicas.iter().for_each(|replica| replica.set_mode(mode));
                sleep(duration).await;
                replicas.iter().for_each(|replica| replica.set_mode(Mode::Healthy));
            }
            Fault::Deploy { zone, step } => {
                let replicas = self.replicas.iter().filter(|replica| replica.index % zone_count == *zone);
                for replica in replicas.take((scheduled.duration / step).ceil() as usize) {
                    self.draining.borrow_mut().insert(replica.index);
                    self.write_rosters_delayed(governors).await?;
                    sleep(Duration::from_secs_f64((step - 2.0 * self.day.roster_delay).max(0.5))).await;
                    replica.restart();
                    self.draining.borrow_mut().remove(&replica.index);
                    self.write_rosters_delayed(governors).await?;
                }
            }
            Fault::BrokenStreams { share: part } => proxies(*part).for_each(|proxy| proxy.break_stream()),
            Fault::LateReports { share: part, delay } => {
                proxies(*part).for_each(|proxy| proxy.set_report_delay(*delay));
                sleep(duration).await;
                proxies(*part).for_each(|proxy| proxy.set_report_delay(0.0));
            }
            Fault::Kill { governor, messages_before_kill } => {
                let Some(governor) = governors.get(*governor).cloned() else { return Ok(()) };
                let index = governor.index;
                if *messages_before_kill == 0 {
                    governor.kill();
                }
                let (after, roster_changed, updates_seen) =
                    (*messages_before_kill, Cell::new(false), Cell::new(0));
                let target = governor.clone();
                self.event_log.set_observer(move |entry| match &entry.event {
                    Event::Roster { .. } => roster_changed.set(true),
                    Event::TableUpdate { governor, tables, .. }
                        if *governor == index && roster_changed.get() && !tables.is_empty() =>
                    {
                        updates_seen.set(updates_seen.get() + 1);
                        if updates_seen.get() == after {
                            target.kill();
                        }
                        target.killed_after.set(Some(updates_seen.get()));
                    }
                    _ => {}
                });
                let stopped = async {
                    while !governor.stopped.get() {
                        sleep(Duration::from_millis(5)).await;
                    }
                };
                // If not enough table updates follow a roster change in time, the governor is killed between
                // two flushes.
                let _ = timeout(duration, stopped).await;
                governor.kill();
                sleep(Duration::from_millis(50)).await;
                self.event_log.set_observer(|_| {});
                self.event_log.record(Event::Governor { governor: index, up: false });
                sleep(duration).await;
                governor.start(&self.event_log).await?;
            }
            Fault::RepeatedKills { governor, count } => {
                let Some(governor) = governors.get(*governor) else { return Ok(()) };
                let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5707);
                let interval = scheduled.duration / *count as f64;
                for _ in 0..*count {
                    let random = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                    sleep(Duration::from_secs_f64(interval * (0.1 + 0.8 * random))).await;
                    governor.kill();
                    governor.wait_for_exit().await;
                    self.event_log.record(Event::Governor { governor: governor.index, up: false });
                    // The restart delay of a process supervisor.
                    sleep(Duration::from_millis(200)).await;
                    governor.start(&self.event_log).await?;
                }
            }
            Fault::Stall { governor } => {
                let Some(governor) = governors.get(*governor) else { return Ok(()) };
                governor.signal(Signal::SIGSTOP)?;
                self.event_log.record(Event::Governor { governor: governor.index, up: false });
                sleep(duration).await;
                governor.signal(Signal::SIGCONT)?;
                self.event_log.record(Event::Governor { governor: governor.index, up: true });
            }
            Fault::Partition { governor } if !governors.is_empty() => {
                let (isolated, count) = (*governor, governors.len());
                let set_reachable = |reachable: bool| {
                    for proxy in &self.proxies {
                        let same_zone = proxy.index % zone_count == isolated % zone_count;
                        let unreachable = (0..count).filter(|other| (*other == isolated) != same_zone);
                        unreachable.for_each(|other| proxy.set_reachable(other, reachable));
                    }
                    self.gossip_links.set_blocked(isolated, count, false, !reachable);
                    self.set_stale_roster(governors, isolated, !reachable)
                };
                set_reachable(false)?;
                sleep(duration).await;
                set_reachable(true)?;
            }
            Fault::OutboundLoss { governor } => {
                self.gossip_links.set_blocked(*governor, governors.len(), true, true);
                sleep(duration).await;
                self.gossip_links.set_blocked(*governor, governors.len(), true, false);
            }
            Fault::StaleRoster { governor } if !governors.is_empty() => {
                self.set_stale_roster(governors, *governor, true)?;
                sleep(duration).await;
                self.set_stale_roster(governors, *governor, false)?;
            }
            Fault::RollingRestart => {
                for governor in governors {
                    governor.drain().await?;
                    governor.signal(Signal::SIGTERM)?;
                    governor.wait_for_exit().await;
                    self.event_log.record(Event::Governor { governor: governor.index, up: false });
                    sleep(Duration::from_millis(500)).await;
                    governor.start(&self.event_log).await?;
                    // Like an operator, waits until the governor has recovered before rolling the next one.
                    sleep(Duration::from_secs(3)).await;
                }
            }
            Fault::Rollback => {
                let version = |status: String| -> Result<u64> {
                    let status: serde_json::Value = serde_json::from_str(&status)?;
                    status["governor"]["version"].as_u64().context("status output has no governor.version")
                };
                for governor in governors {
                    let version_before = version(governor.operate(&["status", "--output", "json"]).await?)?;
                    sleep(duration).await;
                    let rollback = [
                        "rollback",
                        &version_before.to_string(),
                        "--all",
                        "--why",
                        "a mistake",
                        "--for",
                        "15",
                    ];
                    governor.operate(&rollback).await?;
                }
            }
            Fault::Partition { .. } | Fault::StaleRoster { .. } => {}
        }
        Ok(())
    }
}

/// A governor process with its files and addresses.
struct GovernorProcess {
    index: usize,
    program: Program,
    folder: PathBuf,
    endpoint: wrenthread_client::Governor,
    http: String,
    ports: (u16, u16),
    /// The address where it receives gossip; `peers` has the addresses for sending to other governors.
    gossip_address: SocketAddr,
    peers: Vec<(usize, SocketAddr)>,
    child: RefCell<Option<Child>>,
    stopped: Cell<bool>,
    killed_after: Cell<Option<usize>>,
}

/// A port below the system's range for outgoing connections: one of those could otherwise occupy a governor's
/// port while the governor is down. Each process starts its search at a different port.
fn free_port() -> Result<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let port = || {
        let offset = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        15_100 + (offset % 17_000) as u16
    };
    let mut ports = std::iter::repeat_with(port).take(1000);
    ports.find(|port| is_free(*port)).context("no free port on 127.0.0.1 after 1000 attempts")
}

/// Whether the port is free. This binds without listening: otherwise, clients that wait for a governor at
/// this port would take the check for the governor.
fn is_free(port: u16) -> bool {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    tokio::net::TcpSocket::new_v4().is_ok_and(|socket| socket.bind(address).is_ok())
}

impl GovernorProcess {
    fn new(program: Program, folder: PathBuf, index: usize) -> Result<Self> {
        let folder = folder.join(format!("g{index}"));
        std::fs::create_dir_all(&folder)?;
        let (grpc, http, poll) = (free_port()?, free_port()?, free_port()?);
        let gossip_address = SocketAddr::from(([127, 0, 0, 1], free_port()?));
        let uri = |port| format!("http://127.0.0.1:{port}");
        let endpoint =
            wrenthread_client::Governor { name: format!("g{index}"), grpc: uri(grpc), poll: uri(poll) };
        let http = format!("127.0.0.1:{http}");
        let (ports, peers, killed_after) = ((grpc, poll), Vec::new(), Cell::new(None));
        let (child, stopped) = (RefCell::new(None), Cell::new(true));
        Ok(GovernorProcess {
            index,
            program,
            folder,
            endpoint,
            http,
            ports,
            gossip_address,
            peers,
            child,
            stopped,
            killed_after,
        })
    }

    /// Writes the settings file.
    fn write_settings(&self, day: &Day) -> Result<()> {
        let GovernorProcess { index, http, ports: (grpc, poll), gossip_address, .. } = self;
        let key = self.folder.join("../fleet.key");
        let peers: Vec<String> =
            self.peers.iter().map(|(peer, address)| format!("g{peer}={address}")).collect();
        let gossip = match peers.is_empty() {
            true => String::new(),
            false => format!(", talk = \"{gossip_address}\", peers = {peers:?}"),
        };
        let classes: String = CLASSES
            .iter()
            .zip(CLASS_TRAFFIC)
            .enumerate()
            .map(|(index, (class, (objective, deadline, _)))| {
                let effect = if index == event_log::NON_RETRIABLE { "non-retriable" } else { "retriable" };
                let utility = if index == 1 { 1.0 } else { 3.0 };
                format!(
                    "group(\"{class}\", effect = \"{effect}\", latency_budget = {objective}, expiry = {deadline}, \
                     utility = {utility}, prefix = \"/{class}\")\n"
                )
            })
            .collect();
        let state = if day.durable_store { "state(folder = \"state\", every = 0.2)\n" } else { "" };
        let settings = format!(
            "{state}fleet(zones = {:?}, proxies = {}, governors = {}, \
             standing_lines = {DEFAULT_TABLE_SIZE}, proxies_avoid = True)\n\
             governor(name = \"g{index}\", keys = [{key:?}]{gossip})\n\
             replicas(cold_share = {}, warm_after = {})\n\
             channel(lines_per_s = {}, head_lines = {}, waiting_most = {}, \
             messages_most = {}, messages_over = {})\n\
             reports(every = 0.5, metrics = [\"waiting\"])\n\
             roster(file = \"roster.json\", look_every = 0.05)\n\
             listen(grpc = \"127.0.0.1:{grpc}\", http = \"{http}\", \
             poll = \"127.0.0.1:{poll}\")\n{classes}",
            day.zones,
            day.proxies,
            day.governors,
            day.initial_capacity_fraction,
            day.slow_start_duration,
            event_log::ENTRIES_PER_SECOND,
            event_log::MESSAGE_OVERHEAD_ENTRIES,
            event_log::MAX_QUEUED_ENTRIES,
            event_log::MESSAGE_LIMIT.0,
            event_log::MESSAGE_LIMIT.1,
        );
        std::fs::write(self.folder.join("settings.star"), settings)?;
        Ok(())
    }

    /// Imports the settings and the first roster from an nginx configuration of this fleet. Adds the settings
    /// that the configuration has no equivalent for, as an operator would.
    fn import(&self, day: &Day, replicas: &[Rc<Replica>]) -> Result<()> {
        let server = |replica: &Rc<Replica>| {
            format!(
                "    server {} slow_start={}ms;\n",
                replica.address,
                (day.slow_start_duration * 1000.0) as u64
            )
        };
        let servers: String = replicas.iter().map(server).collect();
        let location = |(index, (class, (objective, _, _))): (usize, (&&str, (f64, f64, f64)))| {
            let retry_conditions =
                if index == event_log::NON_RETRIABLE { "" } else { "error timeout non_idempotent" };
            let next_upstream = if retry_conditions.is_empty() {
                String::new()
            } else {
                format!("proxy_next_upstream {retry_conditions}; ")
            };
            let read = (objective * 1000.0) as u64 - 250;
            format!(
                "    location /{class} {{ proxy_pass http://gates; proxy_connect_timeout 250ms; \
                 proxy_read_timeout {read}ms; {next_upstream}}}\n"
            )
        };
        let locations: String = CLASSES.iter().zip(CLASS_TRAFFIC).enumerate().map(location).collect();
        let conf = self.folder.join("nginx.conf");
        std::fs::write(&conf, format!("upstream gates {{\n{servers}}}\nserver {{\n{locations}}}\n"))?;
        let (grpc, poll) = self.ports;
        let http = self.http.rsplit_once(':').map_or("", |(_, port)| port);
        let output = std::process::Command::new(&self.program.path)
            .args(["import", "nginx", "--zones", "network", "--strict"])
            .args(["--proxies", &day.proxies.to_string(), "--ports", &format!("{grpc},{http},{poll}")])
            .arg("--output")
            .arg(&self.folder)
            .arg(&conf)
            .output()?;
        if !output.status.success() {
            bail!("nginx import failed: {}", String::from_utf8_lossy(&output.stderr));
        }
        let imported = std::fs::read_to_string(self.folder.join("gates/settings.star"))?;
        let key = self.folder.join("../fleet.key");
        let added = format!(
            "roster(file = \"roster.json\", look_every = 0.05)\n\
             governor(name = \"g{}\", keys = [{key:?}])\n\
             channel(lines_per_s = {}, head_lines = {}, waiting_most = {}, \
             messages_most = {}, messages_over = {})\n\
             reports(every = 0.5, metrics = [\"waiting\"])",
            self.index,
            event_log::ENTRIES_PER_SECOND,
            event_log::MESSAGE_OVERHEAD_ENTRIES,
            event_log::MAX_QUEUED_ENTRIES,
            event_log::MESSAGE_LIMIT.0,
            event_log::MESSAGE_LIMIT.1,
        );
        let settings = imported.replace("roster(file = \"roster.json\")", &added);
        std::fs::write(self.folder.join("settings.star"), settings)?;
        std::fs::copy(self.folder.join("gates/roster.json"), self.folder.join("roster.json"))?;
        Ok(())
    }

    async fn start(&self, event_log: &EventLog) -> Result<()> {
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join("governor.log"))?;
        let child = Command::new(&self.program.path)
            .arg("run")
            .arg(self.folder.join("settings.star"))
            .args(&self.program.fault_arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}", self.program.path.display()))?;
        *self.child.borrow_mut() = Some(child);
        self.stopped.set(false);
        for _ in 0..200 {
            if tokio::net::TcpStream::connect(&self.http).await.is_ok() {
                event_log.record(Event::Governor { governor: self.index, up: true });
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        bail!("the governor does not answer on {}; its log is in {}", self.http, self.folder.display())
    }

    /// Sends a signal to the process.
    fn signal(&self, signal: Signal) -> Result<()> {
        let id = self
            .child
            .borrow()
            .as_ref()
            .and_then(Child::id)
            .context("the governor process is not running")?;
        Ok(nix::sys::signal::kill(nix::unistd::Pid::from_raw(id as i32), signal)?)
    }

    /// Hands its proxies over to other governors with the `drain-governor` command.
    async fn drain(&self) -> Result<()> {
        // A failed drain is not an error: the remaining proxies reconnect by themselves, and an operator
        // would continue too.
        self.operate(&["drain-governor", "--wait", "20"]).await.map(drop)
    }

    /// Runs a command of the command line against this governor and returns its standard output.
    async fn operate(&self, arguments: &[&str]) -> Result<String> {
        let address = ["--at", &self.http];
        let output = Command::new(&self.program.path).args(arguments).args(address).output().await?;
        if !output.status.success() {
            eprintln!("{}", String::from_utf8_lossy(&output.stderr).trim());
        }
        Ok(String::from_utf8(output.stdout)?)
    }

    /// Waits up to 5 seconds for the process to exit.
    async fn wait_for_exit(&self) {
        let child = self.child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = timeout(Duration::from_secs(5), child.wait()).await;
        }
        self.stopped.set(true);
    }

    /// Kills the process without a shutdown, as a power failure would.
    fn kill(&self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            let _ = child.start_kill();
        }
        self.stopped.set(true);
    }
}
