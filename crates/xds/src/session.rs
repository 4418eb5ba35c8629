//! One ADS stream, without I/O: what it subscribed to, what it was sent, what it acknowledged.
//!
//! A session holds no tables. [`Session::flush`] compares what the proxy should hold with what this stream
//! was sent and says the difference, so that states which came and went in between are never sent. Both
//! variants of the protocol are served from the same marks: state of the world says changed resources (or all
//! of a type that must be whole), delta also what is no more.
//!
//! Order: clusters, endpoints, listeners, routes, so that nothing is named before it exists; but endpoints
//! that the proxy holds already go first of all, as that is how it hears of drains.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wrenthread_core::fleet::Proxy;

use crate::Wire;
use crate::encode::{self, Kind};
use crate::pb::envoy::config::core::v3::ControlPlane;
use crate::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};

/// A type's names beyond this are more than any settings have groups; the stream is ended.
const MOST_NAMES: usize = 4096;
/// Responses of a type that may be unacknowledged before the oldest is given up for lost.
const MOST_OUTSTANDING: usize = 32;

/// A request of either variant of ADS.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Of the state-of-the-world variant.
    Sotw(DiscoveryRequest),
    /// Of the delta variant.
    Delta(DeltaDiscoveryRequest),
}

/// A response of either variant of ADS.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// Of the state-of-the-world variant.
    Sotw(DiscoveryResponse),
    /// Of the delta variant.
    Delta(DeltaDiscoveryResponse),
}

impl Request {
    /// The node that it names, if it names one.
    pub fn node(&self) -> Option<&crate::pb::envoy::config::core::v3::Node> {
        match self {
            Request::Sotw(request) => request.node.as_ref(),
            Request::Delta(request) => request.node.as_ref(),
        }
    }

    /// Whether a stream's first message says that the proxy holds orders of some governor.
    pub fn holds_orders(&self) -> bool {
        match self {
            Request::Sotw(request) => !request.version_info.is_empty(),
            Request::Delta(request) => !request.initial_resource_versions.is_empty(),
        }
    }
}

/// What a request came to.
#[derive(Debug, Clone, PartialEq)]
pub enum Heard {
    /// All that was sent up to this version is acknowledged.
    Acked(u64),
    /// A response of this version was turned down, with these words.
    Nacked(u64, String),
    /// Something was asked for that is to be answered.
    Wants,
    /// A type that is not served here.
    Unserved(String),
}

/// Why a stream is ended.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Bad {
    /// It subscribes to more names than a stream may.
    #[error("subscribes to {0} names of one type; {MOST_NAMES} are allowed")]
    TooManyNames(usize),
    /// It has requests of both variants.
    #[error("mixes the delta and the state-of-the-world variant on one stream")]
    Mixed,
}

#[derive(Debug, Default)]
struct Subscription {
    wildcard: bool,
    names: BTreeSet<String>,
    named_before: bool,
    /// By name: version and content mark as sent on this stream.
    sent: BTreeMap<String, (u64, String)>,
    /// Delta: names that the proxy was told there is nothing of.
    absent: BTreeSet<String>,
    /// Delta: what the proxy said it holds, by name and mark, until it is compared.
    initial: BTreeMap<String, String>,
    /// Names that must be answered even if nothing about them changed.
    asked: BTreeSet<String>,
    /// Something must be answered even if there is nothing (types that are sent whole).
    answer: bool,
    outstanding: VecDeque<(String, u64)>,
    /// The nonce of the last response.
    last: String,
    /// The newest version that was turned down, if nothing later was taken.
    refused: Option<u64>,
}

impl Subscription {
    fn covers(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }
}

/// One ADS stream.
#[derive(Debug)]
pub struct Session {
    delta: bool,
    epoch: u64,
    subscriptions: BTreeMap<Kind, Subscription>,
    nonces: u64,
    /// The newest version that a flush brought this stream to.
    flushed: u64,
    acked: u64,
    stale: u64,
}

/// What a flush came to.
#[derive(Debug, Default, PartialEq)]
pub struct Flushed {
    /// The responses to send, in their order.
    pub responses: Vec<Response>,
    /// Lines in them; 0 if there was nothing to say.
    pub lines: usize,
    /// The proxy holds all up to this version already.
    pub acked: Option<u64>,
}

/// Where a resource stands, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The proxy acknowledged the version.
    Acked,
    /// It was sent, and the proxy has not answered yet.
    Sent,
    /// The proxy rejected it.
    Nacked,
    /// It was not sent.
    NotSent,
}

impl Session {
    /// A stream of the variant that its first request is of.
    pub fn new(epoch: u64, first: &Request) -> Self {
        Session {
            delta: matches!(first, Request::Delta(_)),
            epoch,
            subscriptions: BTreeMap::new(),
            nonces: 0,
            flushed: 0,
            acked: 0,
            stale: 0,
        }
    }

    /// Whether the proxy has answered all that it was sent.
    pub fn settled(&self) -> bool {
        self.subscriptions.values().all(|one| one.outstanding.is_empty())
    }

    /// Requests that answered responses which were no longer the newest, or none that was ever given.
    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// Takes a request in.
    ///
    /// Errors: requests that no proxy of good will sends; the stream is to be ended with the error's words.
    pub fn request(&mut self, request: Request) -> Result<Vec<Heard>, Bad> {
        match request {
            Request::Sotw(request) if !self.delta => self.sotw(request),
            Request::Delta(request) if self.delta => self.delta(request),
            _ => Err(Bad::Mixed),
        }
    }

    fn sotw(&mut self, request: DiscoveryRequest) -> Result<Vec<Heard>, Bad> {
        let Some(kind) = Kind::of(&request.type_url) else {
            return Ok(vec![Heard::Unserved(request.type_url)]);
        };
        if request.resource_names.len() > MOST_NAMES {
            return Err(Bad::TooManyNames(request.resource_names.len()));
        }
        let error = request.error_detail.map(|status| status.message);
        let (mut heard, newest) = self.answer(kind, &request.response_nonce, error);
        let subscription = self.subscriptions.entry(kind).or_default();
        // Names beside an answer to an older response are older than those that will come with the newest.
        if !newest {
            return Ok(heard);
        }
        let starred = request.resource_names.iter().any(|name| name == "*");
        let names: BTreeSet<String> = request.resource_names.into_iter().filter(|name| name != "*").collect();
        let wildcard = starred || kind.whole() && names.is_empty() && !subscription.named_before;
        if names != subscription.names || wildcard != subscription.wildcard {
            let new: Vec<&String> = names.difference(&subscription.names).collect();
            subscription.asked.extend(new.into_iter().cloned());
            // A name that is given up and taken again is asked for anew: the proxy dropped what it had.
            subscription.sent.retain(|name, _| wildcard || names.contains(name));
            subscription.named_before |= !names.is_empty();
            subscription.answer |= kind.whole();
            (subscription.names, subscription.wildcard) = (names, wildcard);
            heard.push(Heard::Wants);
        }
        Ok(heard)
    }

    fn delta(&mut self, request: DeltaDiscoveryRequest) -> Result<Vec<Heard>, Bad> {
        let Some(kind) = Kind::of(&request.type_url) else {
            return Ok(vec![Heard::Unserved(request.type_url)]);
        };
        let first = !self.subscriptions.contains_key(&kind);
        let error = request.error_detail.map(|status| status.message);
        let (mut heard, _) = match request.response_nonce.is_empty() {
            true => (Vec::new(), true),
            false => self.answer(kind, &request.response_nonce, error),
        };
        let subscription = self.subscriptions.entry(kind).or_default();
        let (subscribe, unsubscribe) = (request.resource_names_subscribe, request.resource_names_unsubscribe);
        if subscription.names.len() + subscribe.len() > MOST_NAMES {
            return Err(Bad::TooManyNames(subscription.names.len() + subscribe.len()));
        }
        if first {
            subscription.initial = request.initial_resource_versions.into_iter().collect();
            if subscribe.is_empty() && kind.whole() {
                subscription.wildcard = true;
                heard.push(Heard::Wants);
            }
        }
        for name in subscribe {
            match name.as_str() {
                "*" => subscription.wildcard = true,
                _ => {
                    // Asked for again means sent again, whatever it was sent before.
                    subscription.asked.insert(name.clone());
                    subscription.names.insert(name);
                }
            }
            heard.push(Heard::Wants);
        }
        for name in unsubscribe {
            match name.as_str() {
                "*" => subscription.wildcard = false,
                _ => {
                    subscription.names.remove(&name);
                }
            }
            let wildcard = subscription.wildcard;
            let names = &subscription.names;
            subscription.sent.retain(|name, _| wildcard || names.contains(name));
            subscription.absent.retain(|name| names.contains(name));
            subscription.asked.retain(|name| names.contains(name));
        }
        heard.dedup();
        Ok(heard)
    }

    /// An answer to a response, by its nonce; and whether it is to the newest (or to none, at the beginning).
    fn answer(&mut self, kind: Kind, nonce: &str, error: Option<String>) -> (Vec<Heard>, bool) {
        let subscription = self.subscriptions.entry(kind).or_default();
        if nonce.is_empty() {
            return (Vec::new(), true);
        }
        let Some(place) = subscription.outstanding.iter().position(|(sent, _)| sent == nonce) else {
            // Answered before, or given on a stream that is gone. Names beside it count if nothing newer is
            // on its way, as when a proxy asks for more between two responses.
            let settled = subscription.outstanding.is_empty();
            self.stale += u64::from(nonce != subscription.last);
            return (Vec::new(), settled);
        };
        let newest = place + 1 == subscription.outstanding.len();
        // An answer to a later response answers those before it: they came on one stream.
        let version = subscription.outstanding.drain(..=place).next_back().map_or(0, |(_, version)| version);
        self.stale += u64::from(!newest);
        match error {
            Some(words) => {
                subscription.refused = Some(version);
                (vec![Heard::Nacked(version, words)], newest)
            }
            None => {
                subscription.refused = subscription.refused.filter(|refused| *refused > version);
                (self.all_acked().map(Heard::Acked).into_iter().collect(), newest)
            }
        }
    }

    /// The newest version up to which all is acknowledged, if that is news.
    fn all_acked(&mut self) -> Option<u64> {
        let open = self.subscriptions.values().filter_map(|one| one.outstanding.front()).map(|(_, at)| *at);
        let refused = self.subscriptions.values().filter_map(|one| one.refused);
        let all = open.chain(refused).map(|version| version.saturating_sub(1)).fold(self.flushed, u64::min);
        if all > self.acked {
            self.acked = all;
            return Some(all);
        }
        None
    }

    /// All that the proxy should hold and this stream was not sent.
    pub fn flush(&mut self, wire: &Wire, proxy: &Proxy) -> Flushed {
        let mut flushed = Flushed::default();
        let newest = proxy.newest();
        let updates = |one: &Subscription| {
            let there = encode::catalogue(wire, proxy, Kind::Endpoints);
            there.iter().any(|(name, version)| one.sent.get(name).is_some_and(|(sent, _)| sent < version))
        };
        let first = self.subscriptions.get(&Kind::Endpoints).is_some_and(updates);
        let order = match first {
            true => [Kind::Endpoints, Kind::Clusters, Kind::Listeners, Kind::Routes],
            false => Kind::ALL,
        };
        for kind in order {
            let Some((response, lines)) = self.difference(wire, proxy, kind, newest) else { continue };
            flushed.responses.push(response);
            flushed.lines += lines;
        }
        let subscribed =
            self.subscriptions.get(&Kind::Endpoints).is_some_and(|one| one.wildcard || !one.names.is_empty());
        if subscribed {
            if self.flushed == 0 {
                // What was before this stream was never sent on it, and none of it is news.
                self.acked = newest.saturating_sub(1);
            }
            self.flushed = self.flushed.max(newest);
            flushed.acked = self.all_acked();
        }
        flushed
    }

    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    fn difference(
        &mut self,
        wire: &Wire,
        proxy: &Proxy,
        kind: Kind,
        newest: u64,
    ) -> Option<(Response, usize)> {
        let subscription = self.subscriptions.get_mut(&kind)?;
        let there = encode::catalogue(wire, proxy, kind);
        let covered: Vec<(&String, u64)> = there
            .iter()
            .filter(|(name, _)| subscription.covers(name))
            .map(|(name, at)| (name, *at))
            .collect();
        let (mut resources, mut lines) = (Vec::new(), 0);
        let asked = std::mem::take(&mut subscription.asked);
        let mut changed = std::mem::take(&mut subscription.answer);
        for (name, version) in &covered {
            let sent = subscription.sent.get(*name).cloned();
            if sent.as_ref().is_some_and(|(sent, _)| sent == version) && !asked.contains(*name) {
                continue;
            }
            let Some((resource, count)) = encode::resource(wire, proxy, kind, name) else { continue };
            let mark = encode::digest(&resource);
            let same = sent.as_ref().is_some_and(|(_, held)| *held == mark)
                || subscription.initial.get(*name).is_some_and(|held| *held == mark);
            subscription.initial.remove(*name);
            subscription.sent.insert((*name).clone(), (*version, mark.clone()));
            subscription.absent.remove(*name);
            // What the proxy holds to the letter need not be sent, unless it asks without holding it.
            if same && (!asked.contains(*name) || self.delta && sent.is_none()) {
                continue;
            }
            changed = true;
            resources.push(((*name).clone(), mark, resource));
            lines += count;
        }
        let gone: Vec<String> = if self.delta {
            let sent = subscription.sent.keys().chain(subscription.initial.keys());
            // A table that is not made yet is none that does not exist: who holds one keeps it until then.
            let pending = |name: &String| {
                kind == Kind::Endpoints
                    && !proxy.has_known_tables()
                    && wire.groups.iter().any(|group| group.name == *name)
            };
            let named = sent.chain(subscription.names.iter());
            let named = named.filter(|name| !there.contains_key(*name) && !pending(name));
            named
                .filter(|name| !subscription.absent.contains(*name) || asked.contains(*name))
                .cloned()
                .collect()
        } else {
            let gone = |name: &&String| !there.contains_key(*name);
            let gone: Vec<String> = subscription.sent.keys().filter(gone).cloned().collect();
            // Only types that are sent whole can say that something is no more.
            changed |= kind.whole() && !gone.is_empty();
            gone
        };
        for name in &gone {
            subscription.sent.remove(name);
            subscription.initial.remove(name);
            if self.delta {
                subscription.absent.insert(name.clone());
            }
        }
        if !changed && (!self.delta || gone.is_empty()) {
            return None;
        }
        if !self.delta && kind.whole() {
            resources.clear();
            lines = 0;
            for (name, _) in &covered {
                if let Some((resource, count)) = encode::resource(wire, proxy, kind, name) {
                    resources.push(((*name).clone(), String::new(), resource));
                    lines += count;
                }
            }
        }
        self.nonces += 1;
        let nonce = format!("{:x}.{}", self.epoch, self.nonces);
        if subscription.outstanding.len() == MOST_OUTSTANDING {
            subscription.outstanding.pop_front();
        }
        subscription.outstanding.push_back((nonce.clone(), newest));
        subscription.last.clone_from(&nonce);
        let control_plane = Some(ControlPlane { identifier: wire.identifier(&proxy.name, newest) });
        let version = format!("{:x}.{newest}", self.epoch);
        let lines = (lines + gone.len()).max(1);
        let response = match self.delta {
            true => Response::Delta(DeltaDiscoveryResponse {
                system_version_info: version,
                resources: resources
                    .into_iter()
                    .map(|(name, version, resource)| Resource {
                        name,
                        version,
                        resource: Some(resource),
                        ..Resource::default()
                    })
                    .collect(),
                type_url: kind.url(),
                removed_resources: gone,
                nonce,
                control_plane,
                ..DeltaDiscoveryResponse::default()
            }),
            false => Response::Sotw(DiscoveryResponse {
                version_info: version,
                resources: resources.into_iter().map(|(_, _, resource)| resource).collect(),
                type_url: kind.url(),
                nonce,
                control_plane,
                ..DiscoveryResponse::default()
            }),
        };
        Some((response, lines))
    }

    /// Each subscribed resource: kind, name, version as sent, and where it stands.
    pub fn status(&self, wire: &Wire, proxy: &Proxy) -> Vec<(Kind, String, u64, Standing)> {
        let mut status = Vec::new();
        for (kind, subscription) in &self.subscriptions {
            for (name, version) in encode::catalogue(wire, proxy, *kind) {
                if !subscription.covers(&name) {
                    continue;
                }
                let sent = subscription.sent.get(&name).map(|(sent, _)| *sent);
                let standing = match sent {
                    Some(_) if subscription.refused.is_some() => Standing::Nacked,
                    Some(sent) if sent < version => Standing::NotSent,
                    Some(_) if subscription.outstanding.is_empty() => Standing::Acked,
                    Some(_) => Standing::Sent,
                    None => Standing::NotSent,
                };
                status.push((*kind, name, sent.unwrap_or(0), standing));
            }
        }
        status
    }
}

#[cfg(test)]
mod tests;
