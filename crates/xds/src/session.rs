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
const MAX_NAMES_PER_TYPE: usize = 4096;
/// Responses of a type that may be unacknowledged before the oldest is given up for lost.
const MAX_OUTSTANDING: usize = 32;

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
pub enum SessionError {
    /// It subscribes to more names than a stream may.
    #[error("subscribes to {0} names of one type; {MAX_NAMES_PER_TYPE} are allowed")]
    TooManyNames(usize),
    /// It has requests of both variants.
    #[error("mixes the delta and the state-of-the-world variant on one stream")]
    MixedVariants,
}

#[derive(Debug, Default)]
struct Subscription {
    wildcard: bool,
    names: BTreeSet<String>,
    ever_named: bool,
    /// By name: version and content mark as sent on this stream.
    sent: BTreeMap<String, (u64, String)>,
    /// Delta: names that the proxy was told there is nothing of.
    reported_absent: BTreeSet<String>,
    /// Delta: what the proxy said it holds, by name and mark, until it is compared.
    initial_versions: BTreeMap<String, String>,
    /// Names that must be answered even if nothing about them changed.
    must_send: BTreeSet<String>,
    /// Something must be answered even if there is nothing (types that are sent whole).
    response_due: bool,
    outstanding: VecDeque<(String, u64)>,
    /// The nonce of the last response.
    last_nonce: String,
    /// The newest version that was turned down, if nothing later was taken.
    rejected_version: Option<u64>,
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
    last_nonce_number: u64,
    /// The newest version that a flush brought this stream to.
    flushed_version: u64,
    acked_version: u64,
    stale_requests: u64,
}

/// What a flush came to.
#[derive(Debug, Default, PartialEq)]
pub struct FlushOutcome {
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
            last_nonce_number: 0,
            flushed_version: 0,
            acked_version: 0,
            stale_requests: 0,
        }
    }

    /// Whether the proxy has answered all that it was sent.
    pub fn settled(&self) -> bool {
        self.subscriptions.values().all(|subscription| subscription.outstanding.is_empty())
    }

    /// Requests that answered responses which were no longer the newest, or none that was ever given.
    pub fn stale(&self) -> u64 {
        self.stale_requests
    }

    /// Takes a request in.
    ///
    /// Errors: requests that no proxy of good will sends; the stream is to be ended with the error's words.
    pub fn request(&mut self, request: Request) -> Result<Vec<Heard>, SessionError> {
        match request {
            Request::Sotw(request) if !self.delta => self.sotw_request(request),
            Request::Delta(request) if self.delta => self.delta_request(request),
            _ => Err(SessionError::MixedVariants),
        }
    }

    fn sotw_request(&mut self, request: DiscoveryRequest) -> Result<Vec<Heard>, SessionError> {
        let Some(kind) = Kind::of(&request.type_url) else {
            return Ok(vec![Heard::Unserved(request.type_url)]);
        };
        if request.resource_names.len() > MAX_NAMES_PER_TYPE {
            return Err(SessionError::TooManyNames(request.resource_names.len()));
        }
        let error = request.error_detail.map(|status| status.message);
        let (mut effects, newest) = self.acknowledge(kind, &request.response_nonce, error);
        let subscription = self.subscriptions.entry(kind).or_default();
        // Names beside an answer to an older response are older than those that will come with the newest.
        if !newest {
            return Ok(effects);
        }
        let has_wildcard = request.resource_names.iter().any(|name| name == "*");
        let names: BTreeSet<String> = request.resource_names.into_iter().filter(|name| name != "*").collect();
        let wildcard =
            has_wildcard || kind.requires_full_state() && names.is_empty() && !subscription.ever_named;
        if names != subscription.names || wildcard != subscription.wildcard {
            let new: Vec<&String> = names.difference(&subscription.names).collect();
            subscription.must_send.extend(new.into_iter().cloned());
            // A name that is given up and taken again is asked for anew: the proxy dropped what it had.
            subscription.sent.retain(|name, _| wildcard || names.contains(name));
            subscription.ever_named |= !names.is_empty();
            subscription.response_due |= kind.requires_full_state();
            (subscription.names, subscription.wildcard) = (names, wildcard);
            effects.push(Heard::Wants);
        }
        Ok(effects)
    }

    fn delta_request(&mut self, request: DeltaDiscoveryRequest) -> Result<Vec<Heard>, SessionError> {
        let Some(kind) = Kind::of(&request.type_url) else {
            return Ok(vec![Heard::Unserved(request.type_url)]);
        };
        let first = !self.subscriptions.contains_key(&kind);
        let error = request.error_detail.map(|status| status.message);
        let (mut effects, _) = match request.response_nonce.is_empty() {
            true => (Vec::new(), true),
            false => self.acknowledge(kind, &request.response_nonce, error),
        };
        let subscription = self.subscriptions.entry(kind).or_default();
        let (subscribe, unsubscribe) = (request.resource_names_subscribe, request.resource_names_unsubscribe);
        if subscription.names.len() + subscribe.len() > MAX_NAMES_PER_TYPE {
            return Err(SessionError::TooManyNames(subscription.names.len() + subscribe.len()));
        }
        if first {
            subscription.initial_versions = request.initial_resource_versions.into_iter().collect();
            if subscribe.is_empty() && kind.requires_full_state() {
                subscription.wildcard = true;
                effects.push(Heard::Wants);
            }
        }
        for name in subscribe {
            match name.as_str() {
                "*" => subscription.wildcard = true,
                _ => {
                    // Asked for again means sent again, whatever it was sent before.
                    subscription.must_send.insert(name.clone());
                    subscription.names.insert(name);
                }
            }
            effects.push(Heard::Wants);
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
            subscription.reported_absent.retain(|name| names.contains(name));
            subscription.must_send.retain(|name| names.contains(name));
        }
        effects.dedup();
        Ok(effects)
    }

    /// An answer to a response, by its nonce; and whether it is to the newest (or to none, at the beginning).
    fn acknowledge(&mut self, kind: Kind, nonce: &str, error: Option<String>) -> (Vec<Heard>, bool) {
        let subscription = self.subscriptions.entry(kind).or_default();
        if nonce.is_empty() {
            return (Vec::new(), true);
        }
        let Some(position) = subscription.outstanding.iter().position(|(sent, _)| sent == nonce) else {
            // Answered before, or given on a stream that is gone. Names beside it count if nothing newer is
            // on its way, as when a proxy asks for more between two responses.
            let settled = subscription.outstanding.is_empty();
            self.stale_requests += u64::from(nonce != subscription.last_nonce);
            return (Vec::new(), settled);
        };
        let newest = position + 1 == subscription.outstanding.len();
        // An answer to a later response answers those before it: they came on one stream.
        let version =
            subscription.outstanding.drain(..=position).next_back().map_or(0, |(_, version)| version);
        self.stale_requests += u64::from(!newest);
        match error {
            Some(reason) => {
                subscription.rejected_version = Some(version);
                (vec![Heard::Nacked(version, reason)], newest)
            }
            None => {
                subscription.rejected_version =
                    subscription.rejected_version.filter(|rejected| *rejected > version);
                (self.newly_acknowledged().map(Heard::Acked).into_iter().collect(), newest)
            }
        }
    }

    /// The newest version up to which all is acknowledged, if that is news.
    fn newly_acknowledged(&mut self) -> Option<u64> {
        let unanswered = self
            .subscriptions
            .values()
            .filter_map(|subscription| subscription.outstanding.front())
            .map(|(_, version)| *version);
        let rejected = self.subscriptions.values().filter_map(|subscription| subscription.rejected_version);
        let all = unanswered
            .chain(rejected)
            .map(|version| version.saturating_sub(1))
            .fold(self.flushed_version, u64::min);
        if all > self.acked_version {
            self.acked_version = all;
            return Some(all);
        }
        None
    }

    /// All that the proxy should hold and this stream was not sent.
    pub fn flush(&mut self, wire: &Wire, proxy: &Proxy) -> FlushOutcome {
        let mut flushed = FlushOutcome::default();
        let newest = proxy.newest();
        let has_update = |subscription: &Subscription| {
            let available = encode::resource_versions(wire, proxy, Kind::Endpoints);
            available
                .iter()
                .any(|(name, version)| subscription.sent.get(name).is_some_and(|(sent, _)| sent < version))
        };
        let endpoints_first = self.subscriptions.get(&Kind::Endpoints).is_some_and(has_update);
        let order = match endpoints_first {
            true => [Kind::Endpoints, Kind::Clusters, Kind::Listeners, Kind::Routes],
            false => Kind::ALL,
        };
        for kind in order {
            let Some((response, lines)) = self.next_response(wire, proxy, kind, newest) else { continue };
            flushed.responses.push(response);
            flushed.lines += lines;
        }
        let endpoints_subscribed = self
            .subscriptions
            .get(&Kind::Endpoints)
            .is_some_and(|subscription| subscription.wildcard || !subscription.names.is_empty());
        if endpoints_subscribed {
            if self.flushed_version == 0 {
                // What was before this stream was never sent on it, and none of it is news.
                self.acked_version = newest.saturating_sub(1);
            }
            self.flushed_version = self.flushed_version.max(newest);
            flushed.acked = self.newly_acknowledged();
        }
        flushed
    }

    #[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
    fn next_response(
        &mut self,
        wire: &Wire,
        proxy: &Proxy,
        kind: Kind,
        newest: u64,
    ) -> Option<(Response, usize)> {
        let subscription = self.subscriptions.get_mut(&kind)?;
        let available = encode::resource_versions(wire, proxy, kind);
        let covered: Vec<(&String, u64)> = available
            .iter()
            .filter(|(name, _)| subscription.covers(name))
            .map(|(name, version)| (name, *version))
            .collect();
        let (mut resources, mut lines) = (Vec::new(), 0);
        let must_send = std::mem::take(&mut subscription.must_send);
        let mut changed = std::mem::take(&mut subscription.response_due);
        for (name, version) in &covered {
            let sent = subscription.sent.get(*name).cloned();
            if sent.as_ref().is_some_and(|(sent, _)| sent == version) && !must_send.contains(*name) {
                continue;
            }
            let Some((resource, count)) = encode::resource(wire, proxy, kind, name) else { continue };
            let digest = encode::digest(&resource);
            let unchanged = sent.as_ref().is_some_and(|(_, held_digest)| *held_digest == digest)
                || subscription.initial_versions.get(*name).is_some_and(|held_digest| *held_digest == digest);
            subscription.initial_versions.remove(*name);
            subscription.sent.insert((*name).clone(), (*version, digest.clone()));
            subscription.reported_absent.remove(*name);
            // What the proxy holds to the letter need not be sent, unless it asks without holding it.
            if unchanged && (!must_send.contains(*name) || self.delta && sent.is_none()) {
                continue;
            }
            changed = true;
            resources.push(((*name).clone(), digest, resource));
            lines += count;
        }
        let removed: Vec<String> = if self.delta {
            let sent = subscription.sent.keys().chain(subscription.initial_versions.keys());
            // A table that is not made yet is none that does not exist: who holds one keeps it until then.
            let undecided = |name: &String| {
                kind == Kind::Endpoints
                    && !proxy.has_known_tables()
                    && wire.groups.iter().any(|group| group.name == *name)
            };
            let known = sent.chain(subscription.names.iter());
            let missing = known.filter(|name| !available.contains_key(*name) && !undecided(name));
            missing
                .filter(|name| !subscription.reported_absent.contains(*name) || must_send.contains(*name))
                .cloned()
                .collect()
        } else {
            let is_removed = |name: &&String| !available.contains_key(*name);
            let removed: Vec<String> = subscription.sent.keys().filter(is_removed).cloned().collect();
            // Only types that are sent whole can say that something is no more.
            changed |= kind.requires_full_state() && !removed.is_empty();
            removed
        };
        for name in &removed {
            subscription.sent.remove(name);
            subscription.initial_versions.remove(name);
            if self.delta {
                subscription.reported_absent.insert(name.clone());
            }
        }
        if !changed && (!self.delta || removed.is_empty()) {
            return None;
        }
        if !self.delta && kind.requires_full_state() {
            resources.clear();
            lines = 0;
            for (name, _) in &covered {
                if let Some((resource, count)) = encode::resource(wire, proxy, kind, name) {
                    resources.push(((*name).clone(), String::new(), resource));
                    lines += count;
                }
            }
        }
        self.last_nonce_number += 1;
        let nonce = format!("{:x}.{}", self.epoch, self.last_nonce_number);
        if subscription.outstanding.len() == MAX_OUTSTANDING {
            subscription.outstanding.pop_front();
        }
        subscription.outstanding.push_back((nonce.clone(), newest));
        subscription.last_nonce.clone_from(&nonce);
        let control_plane = Some(ControlPlane { identifier: wire.identifier(&proxy.name, newest) });
        let version = format!("{:x}.{newest}", self.epoch);
        let lines = (lines + removed.len()).max(1);
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
                removed_resources: removed,
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
            for (name, version) in encode::resource_versions(wire, proxy, *kind) {
                if !subscription.covers(&name) {
                    continue;
                }
                let sent = subscription.sent.get(&name).map(|(sent, _)| *sent);
                let standing = match sent {
                    Some(_) if subscription.rejected_version.is_some() => Standing::Nacked,
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
