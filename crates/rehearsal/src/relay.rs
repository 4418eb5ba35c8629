//! Stand-in relays: plain proxies that follow their tables and nothing more, over the public protocol. One
//! half speaks state of the world, the other delta.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use prost::Message;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use wrenthread_xds::clients::ads::AggregatedDiscoveryServiceClient;
use wrenthread_xds::clients::lrs::LoadReportingServiceClient;
use wrenthread_xds::decode::{METADATA, host_port};
use wrenthread_xds::encode::{self, Kind};
use wrenthread_xds::pb::envoy::config::core::v3::{Locality, Node};
use wrenthread_xds::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use wrenthread_xds::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats,
    UpstreamLocalityStats,
};
use wrenthread_xds::pb::envoy::config::route::v3::{RouteConfiguration, route};
use wrenthread_xds::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use wrenthread_xds::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use wrenthread_xds::pb::google::protobuf::{Any, ListValue, Struct, Value, value};

use crate::tape::{End, FLOWS, GROUPS, Tape, What};
use crate::worker::Worker;

/// A relay keeps away from a worker for so long after so many of its own tries in a row were dropped there.
const AVOID: (u32, Duration) = (3, Duration::from_secs(3));
const CONNECT: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, PartialEq)]
enum Tries {
    Never,
    IfNeverRan,
    Once,
}

#[derive(Default, Clone)]
struct Met {
    issued: u64,
    delivered: u64,
    dropped: u64,
    answer_ms: f64,
    waiting: f64,
}

struct State {
    rng: ChaCha8Rng,
    /// By group, what the governor gave: worker and weight, and the level.
    tables: BTreeMap<String, (Vec<(usize, f64)>, f64)>,
    tries: Vec<Tries>,
    /// Delta: the mark of each resource held; state of the world: the version of each type.
    versions: BTreeMap<(Kind, String), String>,
    met: BTreeMap<(usize, usize), Met>,
    blocked: [u64; 3],
    failing: BTreeMap<usize, u32>,
    avoided: BTreeMap<usize, f64>,
}

pub struct Relay {
    pub place: usize,
    hall: String,
    delta: bool,
    usual: f64,
    standing: Vec<usize>,
    workers: Rc<Vec<Rc<Worker>>>,
    by_address: Rc<HashMap<String, usize>>,
    tape: Tape,
    state: RefCell<State>,
    cut: Notify,
    /// Reports come so many seconds late, and twice.
    late: Cell<f64>,
}

enum Tried {
    Ok(f64),
    Refused,
    Bad,
}

fn text(text: &str) -> Value {
    Value { kind: Some(value::Kind::StringValue(text.into())) }
}

fn number(number: f64) -> Value {
    Value { kind: Some(value::Kind::NumberValue(number)) }
}

fn structure(fields: Vec<(&str, Value)>) -> Value {
    let fields = fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    Value { kind: Some(value::Kind::StructValue(Struct { fields })) }
}

impl Relay {
    /// `standing`: the workers of the table that it drew from the list at its start, as proxies do.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        place: usize,
        hall: String,
        usual: f64,
        standing: Vec<usize>,
        workers: Rc<Vec<Rc<Worker>>>,
        by_address: Rc<HashMap<String, usize>>,
        seed: u64,
        tape: Tape,
    ) -> Rc<Relay> {
        let state = State {
            rng: ChaCha8Rng::seed_from_u64(seed ^ (place as u64) << 32),
            tables: BTreeMap::new(),
            tries: vec![Tries::Never; 3],
            versions: BTreeMap::new(),
            met: BTreeMap::new(),
            blocked: [0; 3],
            failing: BTreeMap::new(),
            avoided: BTreeMap::new(),
        };
        Rc::new(Relay {
            place,
            hall,
            delta: place % 2 == 1,
            usual,
            standing,
            workers,
            by_address,
            tape,
            state: RefCell::new(state),
            cut: Notify::new(),
            late: Cell::new(0.0),
        })
    }

    /// Breaks its stream to the governor, if it has one.
    pub fn cut(&self) {
        self.cut.notify_waiters();
    }

    pub fn report_late(&self, seconds: f64) {
        self.late.set(seconds);
    }

    fn chance(&self) -> f64 {
        self.state.borrow_mut().rng.next_u64() as f64 / u64::MAX as f64
    }

    fn node(&self) -> Node {
        let line =
            |worker: &usize| structure(vec![("replica", text(&name(*worker))), ("weight", number(1.0))]);
        let standing = ListValue { values: self.standing.iter().map(line).collect() };
        let standing = Value { kind: Some(value::Kind::ListValue(standing)) };
        let said = structure(vec![("usual", number(self.usual)), ("standing", standing)]);
        Node {
            id: format!("relay-{}", self.place),
            locality: Some(Locality { zone: self.hall.clone(), ..Locality::default() }),
            metadata: Some(Struct { fields: [(METADATA.to_string(), said)].into() }),
            ..Node::default()
        }
    }

    // ---- flows

    /// Brings flows at a rate until the day's end; each is a task of its own.
    pub async fn bring(self: Rc<Self>, flows_per_s: f64, until: f64, next: Rc<Cell<u64>>) {
        while self.tape.now() < until {
            sleep(Duration::from_secs_f64(-(1.0 - self.chance()).max(1e-9).ln() / flows_per_s)).await;
            let pick = self.chance();
            let group = if pick < FLOWS[0].2 {
                0
            } else if pick < FLOWS[0].2 + FLOWS[1].2 {
                1
            } else {
                2
            };
            let flow = next.get();
            next.set(flow + 1);
            let this = self.clone();
            tokio::task::spawn_local(async move {
                this.tape.add(What::Came { flow, relay: this.place, group });
                // The client has given up by its expiry, and has its answer then.
                let expiry = Duration::from_secs_f64(FLOWS[group].1);
                let end = timeout(expiry, this.carry(flow, group)).await.unwrap_or(End::Dropped);
                this.tape.add(What::Ended { flow, end });
            });
        }
    }

    async fn carry(self: &Rc<Self>, flow: u64, group: usize) -> End {
        let level = self.state.borrow().tables.get(GROUPS[group]).map_or(1.0, |(_, level)| *level);
        let first = if self.chance() < level { self.pick(group, None) } else { None };
        let Some(first) = first else {
            self.state.borrow_mut().blocked[group] += 1;
            return End::Blocked;
        };
        let outcome = self.attempt(flow, group, first).await;
        let tries = self.state.borrow().tries[group];
        let again = match outcome {
            Tried::Ok(_) => return End::Delivered,
            Tried::Refused => tries != Tries::Never,
            Tried::Bad => tries == Tries::Once,
        };
        let Some(second) = again.then(|| self.pick(group, Some(first))).flatten() else {
            return End::Dropped;
        };
        match self.attempt(flow, group, second).await {
            Tried::Ok(_) => End::Delivered,
            _ => End::Dropped,
        }
    }

    fn pick(&self, group: usize, but: Option<usize>) -> Option<usize> {
        let (now, chance) = (self.tape.now(), self.chance());
        let state = self.state.borrow();
        let standing: Vec<(usize, f64)>;
        let lines = match state.tables.get(GROUPS[group]) {
            Some((lines, _)) => lines,
            None => {
                standing = self.standing.iter().map(|worker| (*worker, 1.0)).collect();
                &standing
            }
        };
        let avoided = |worker: usize| state.avoided.get(&worker).is_some_and(|until| now < *until);
        let mut open: Vec<_> = lines.iter().filter(|(one, _)| !avoided(*one) && Some(*one) != but).collect();
        if open.is_empty() {
            open = lines.iter().filter(|(one, _)| Some(*one) != but).collect();
        }
        let mut left = chance * open.iter().map(|(_, weight)| weight).sum::<f64>();
        let picked = open.iter().find(|(_, weight)| {
            left -= weight;
            left <= 0.0
        });
        picked.or(open.last()).map(|(worker, _)| *worker)
    }

    async fn attempt(self: &Rc<Self>, flow: u64, group: usize, worker: usize) -> Tried {
        self.tape.add(What::Try { flow, relay: self.place, worker });
        self.state.borrow_mut().met.entry((group, worker)).or_default().issued += 1;
        // Counted as dropped unless it comes to something: also when the client gives up in the midst of it.
        let mut count = Count { relay: self.clone(), group, worker, outcome: None };
        let began = self.tape.now();
        let tried = exchange(&self.workers[worker].address, flow, group).await.unwrap_or(Tried::Bad);
        if let Tried::Ok(waiting) = tried {
            count.outcome = Some(((self.tape.now() - began) * 1000.0, waiting));
        }
        tried
    }

    // ---- the governor

    /// Follows the governor, again and again, over broken streams and dead governors.
    pub async fn follow(self: Rc<Self>, uri: String) {
        loop {
            let mut joined = false;
            let cut = self.cut.notified();
            let stream = async {
                match self.delta {
                    true => self.delta(&uri, &mut joined).await,
                    false => self.sotw(&uri, &mut joined).await,
                }
            };
            tokio::select! {
                _ = stream => {}
                () = cut => {}
            }
            if joined {
                self.tape.add(What::Broken { relay: self.place });
            }
            sleep(Duration::from_secs_f64(0.2 + 0.3 * self.chance())).await;
        }
    }

    fn subscriptions() -> [(Kind, Vec<String>); 3] {
        let groups = GROUPS.map(str::to_string).to_vec();
        [(Kind::Clusters, vec![]), (Kind::Endpoints, groups), (Kind::Routes, vec![encode::ROUTES.into()])]
    }

    async fn sotw(&self, uri: &str, joined: &mut bool) -> Result<()> {
        let mut client = AggregatedDiscoveryServiceClient::new(connect(uri).await?);
        let (requests, stream) = mpsc::channel(16);
        let names: BTreeMap<Kind, Vec<String>> = Self::subscriptions().into();
        let ask = |kind: Kind, version: String, nonce: &str, node: Option<Node>| DiscoveryRequest {
            version_info: version,
            node,
            resource_names: names[&kind].clone(),
            type_url: kind.url(),
            response_nonce: nonce.into(),
            ..DiscoveryRequest::default()
        };
        for (place, kind) in [Kind::Endpoints, Kind::Clusters, Kind::Routes].into_iter().enumerate() {
            let held = self.state.borrow().versions.get(&(kind, String::new())).cloned().unwrap_or_default();
            requests.send(ask(kind, held, "", (place == 0).then(|| self.node()))).await?;
        }
        self.joined(joined);
        let mut responses =
            client.stream_aggregated_resources(ReceiverStream::new(stream)).await?.into_inner();
        while let Some(response) = responses.next().await {
            let DiscoveryResponse { version_info, resources, type_url, nonce, .. } = response?;
            let kind = Kind::of(&type_url).context("a type that was not asked for")?;
            self.take(kind, &nonce, &resources)?;
            self.state.borrow_mut().versions.insert((kind, String::new()), version_info.clone());
            requests.send(ask(kind, version_info, &nonce, None)).await?;
            self.tape.add(What::Answer { relay: self.place, nonce, taken: true });
        }
        Ok(())
    }

    async fn delta(&self, uri: &str, joined: &mut bool) -> Result<()> {
        let mut client = AggregatedDiscoveryServiceClient::new(connect(uri).await?);
        let (requests, stream) = mpsc::channel(16);
        let mut node = Some(self.node());
        let mut kinds = Self::subscriptions();
        // Who holds orders says so in its first request.
        kinds.swap(0, 1);
        for (kind, names) in kinds {
            let held = self.state.borrow().versions.clone();
            let held = held.into_iter().filter(|((of, _), _)| *of == kind);
            let request = DeltaDiscoveryRequest {
                node: node.take(),
                type_url: kind.url(),
                resource_names_subscribe: if names.is_empty() { vec!["*".into()] } else { names },
                initial_resource_versions: held.map(|((_, name), mark)| (name, mark)).collect(),
                ..DeltaDiscoveryRequest::default()
            };
            requests.send(request).await?;
        }
        self.joined(joined);
        let mut responses =
            client.delta_aggregated_resources(ReceiverStream::new(stream)).await?.into_inner();
        while let Some(response) = responses.next().await {
            let DeltaDiscoveryResponse { resources, type_url, removed_resources, nonce, .. } = response?;
            let kind = Kind::of(&type_url).context("a type that was not asked for")?;
            let whole: Vec<Any> = resources.iter().filter_map(|one| one.resource.clone()).collect();
            self.take(kind, &nonce, &whole)?;
            for one in resources {
                self.state.borrow_mut().versions.insert((kind, one.name), one.version);
            }
            for name in removed_resources {
                // A table that is no more leaves the standing one.
                self.state.borrow_mut().tables.remove(&name);
                self.state.borrow_mut().versions.remove(&(kind, name));
            }
            let answer = DeltaDiscoveryRequest {
                type_url,
                response_nonce: nonce.clone(),
                ..DeltaDiscoveryRequest::default()
            };
            requests.send(answer).await?;
            self.tape.add(What::Answer { relay: self.place, nonce, taken: true });
        }
        Ok(())
    }

    fn joined(&self, joined: &mut bool) {
        *joined = true;
        self.tape.add(What::Joined { relay: self.place });
    }

    /// Takes a response in, whole.
    fn take(&self, kind: Kind, nonce: &str, resources: &[Any]) -> Result<()> {
        let (mut tables, mut lines) = (BTreeMap::new(), 0);
        for resource in resources {
            match kind {
                Kind::Endpoints => {
                    let table = ClusterLoadAssignment::decode(resource.value.as_slice())?;
                    let overloads = table.policy.as_ref().and_then(|policy| policy.drop_overloads.first());
                    let blocked =
                        overloads.and_then(|one| one.drop_percentage).map_or(0, |part| part.numerator);
                    let mut open = Vec::new();
                    for endpoint in table.endpoints.iter().flat_map(|zone| &zone.lb_endpoints) {
                        let Some(HostIdentifier::Endpoint(host)) = &endpoint.host_identifier else {
                            continue;
                        };
                        let worker = host_port(host.address.as_ref()).and_then(|at| self.by_address.get(&at));
                        let weight = endpoint.load_balancing_weight.map_or(0, |weight| weight.value);
                        open.push((*worker.context("a line to nowhere")?, f64::from(weight)));
                    }
                    lines += open.len().max(1);
                    tables.insert(table.cluster_name, (open, 1.0 - f64::from(blocked) / 1e6));
                }
                Kind::Routes => {
                    let routes = RouteConfiguration::decode(resource.value.as_slice())?;
                    for one in routes.virtual_hosts.iter().flat_map(|host| &host.routes) {
                        let Some(group) = GROUPS.iter().position(|group| **group == one.name) else {
                            continue;
                        };
                        let Some(route::Action::Route(action)) = &one.action else { continue };
                        let on = action.retry_policy.as_ref().map(|policy| policy.retry_on.as_str());
                        self.state.borrow_mut().tries[group] = match on {
                            None => Tries::Never,
                            Some(on) if on.contains("5xx") => Tries::Once,
                            Some(_) => Tries::IfNeverRan,
                        };
                        lines += 1;
                    }
                }
                Kind::Clusters | Kind::Listeners => lines += 1,
            }
        }
        let mut taped = BTreeMap::new();
        for (group, (open, level)) in &tables {
            let open: &Vec<(usize, f64)> = open;
            taped.insert(String::clone(group), (open.iter().map(|(worker, _)| *worker).collect(), *level));
        }
        self.tape.add(What::Order { relay: self.place, nonce: nonce.into(), lines, tables: taped });
        self.state.borrow_mut().tables.extend(tables);
        Ok(())
    }

    /// Reports what it met, by LRS, again and again.
    pub async fn report(self: Rc<Self>, uri: String) {
        loop {
            let _ = self.reporting(&uri).await;
            sleep(Duration::from_millis(400)).await;
        }
    }

    async fn reporting(&self, uri: &str) -> Result<()> {
        let mut client = LoadReportingServiceClient::new(connect(uri).await?);
        let (requests, stream) = mpsc::channel(16);
        requests.send(LoadStatsRequest { node: Some(self.node()), cluster_stats: vec![] }).await?;
        let mut asked = client.stream_load_stats(ReceiverStream::new(stream)).await?.into_inner();
        let asked_for = asked.next().await.context("the stream ended")??;
        let every = asked_for.load_reporting_interval.context("no interval")?;
        let every = Duration::new(every.seconds as u64, every.nanos as u32);
        let mut last = self.tape.now();
        loop {
            tokio::select! {
                () = sleep(every) => {}
                _ = asked.next() => anyhow::bail!("the stream ended"),
            }
            let now = self.tape.now();
            let request = LoadStatsRequest { node: None, cluster_stats: self.stats(now - last) };
            last = now;
            let (late, tape, place) = (self.late.get(), self.tape.clone(), self.place);
            if late == 0.0 {
                tape.add(What::Report { relay: place, late: false });
                requests.send(request).await?;
                continue;
            }
            let requests = requests.clone();
            tokio::task::spawn_local(async move {
                sleep(Duration::from_secs_f64(late)).await;
                for _ in 0..2 {
                    tape.add(What::Report { relay: place, late: true });
                    let _ = requests.send(request.clone()).await;
                }
            });
        }
    }

    fn stats(&self, interval: f64) -> Vec<ClusterStats> {
        let (met, blocked) = {
            let mut state = self.state.borrow_mut();
            (std::mem::take(&mut state.met), std::mem::take(&mut state.blocked))
        };
        let interval = Duration::from_secs_f64(interval);
        let metric = |name: &str, count: u64, total: f64| EndpointLoadMetricStats {
            metric_name: name.into(),
            num_requests_finished_with_metric: count,
            total_metric_value: total,
        };
        let group = |(place, name): (usize, &&str)| {
            let here = met.iter().filter(|((group, _), _)| *group == place);
            let endpoints = here.map(|((_, worker), met)| UpstreamEndpointStats {
                address: Some(encode::address(&self.workers[*worker].address)),
                total_successful_requests: met.delivered,
                total_error_requests: met.dropped,
                total_issued_requests: met.issued,
                load_metric_stats: vec![
                    metric("answer_ms", met.delivered, met.answer_ms),
                    metric("waiting", met.delivered, met.waiting),
                ],
                ..UpstreamEndpointStats::default()
            });
            ClusterStats {
                cluster_name: (*name).into(),
                upstream_locality_stats: vec![UpstreamLocalityStats {
                    upstream_endpoint_stats: endpoints.collect(),
                    ..UpstreamLocalityStats::default()
                }],
                total_dropped_requests: blocked[place],
                load_report_interval: Some(wrenthread_xds::pb::google::protobuf::Duration {
                    seconds: interval.as_secs() as i64,
                    nanos: interval.subsec_nanos() as i32,
                }),
                ..ClusterStats::default()
            }
        };
        GROUPS.iter().enumerate().map(group).collect()
    }
}

/// Counts a try when it is over, however it ends.
struct Count {
    relay: Rc<Relay>,
    group: usize,
    worker: usize,
    outcome: Option<(f64, f64)>,
}

impl Drop for Count {
    fn drop(&mut self) {
        let now = self.relay.tape.now();
        let mut state = self.relay.state.borrow_mut();
        let met = state.met.entry((self.group, self.worker)).or_default();
        match self.outcome {
            Some((answer_ms, waiting)) => {
                met.delivered += 1;
                met.answer_ms += answer_ms;
                met.waiting += waiting;
                state.failing.remove(&self.worker);
            }
            None => {
                met.dropped += 1;
                let in_a_row = state.failing.entry(self.worker).or_default();
                *in_a_row += 1;
                if *in_a_row >= AVOID.0 {
                    *in_a_row = 0;
                    state.avoided.insert(self.worker, now + AVOID.1.as_secs_f64());
                }
            }
        }
    }
}

/// A worker's name in roster and tables.
pub fn name(worker: usize) -> String {
    format!("worker-{worker:02}")
}

async fn connect(uri: &str) -> Result<tonic::transport::Channel> {
    let endpoint = Endpoint::from_shared(uri.to_string())?.connect_timeout(Duration::from_secs(1));
    Ok(endpoint.tcp_nodelay(true).connect().await?)
}

async fn exchange(address: &str, flow: u64, group: usize) -> Result<Tried> {
    let Ok(Ok(mut connection)) = timeout(CONNECT, TcpStream::connect(address)).await else {
        return Ok(Tried::Refused);
    };
    connection.write_all(format!("{flow} {group}\n").as_bytes()).await?;
    let mut line = String::new();
    BufReader::new(connection).read_line(&mut line).await?;
    Ok(match line.trim().split_once(' ') {
        Some(("ok", waiting)) => Tried::Ok(waiting.parse().unwrap_or(0.0)),
        _ if line.trim() == "refused" => Tried::Refused,
        _ => Tried::Bad,
    })
}
