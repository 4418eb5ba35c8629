//! The protocol of one ADS stream, without I/O: its subscriptions, sent resources and acknowledgements.
//!
//! A session holds no tables. [`Session::flush`] compares what the proxy should hold with what was sent on this
//! stream and sends the difference, so intermediate states are never sent. Both variants of the protocol use the
//! same versions and digests: state-of-the-world responses contain changed resources (or all resources, for types
//! that require it), delta responses also list removed ones.
//!
//! Types are sent in the order clusters, endpoints, listeners, routes, so that no resource refers to a missing
//! one. If endpoints that were sent before have changed, endpoints come first: they carry drains.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wrenthread_core::fleet::Proxy;

use crate::XdsConfig;
use crate::encode::{self, ResourceType};
use crate::pb::envoy::config::core::v3::ControlPlane;
use crate::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};

/// Maximum number of names per type, more than the classes of any settings; the stream is ended beyond it.
const MAX_NAMES_PER_TYPE: usize = 4096;
/// Maximum number of unacknowledged responses per type; beyond it the oldest is considered lost.
const MAX_OUTSTANDING: usize = 32;

/// A request of either variant of ADS.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// A state-of-the-world request.
    Sotw(DiscoveryRequest),
    /// A delta request.
    Delta(DeltaDiscoveryRequest),
}

/// A response of either variant of ADS.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// A state-of-the-world response.
    Sotw(DiscoveryResponse),
    /// A delta response.
    Delta(DeltaDiscoveryResponse),
}

impl Request {
    /// The node of the request, if it has one.
    pub fn node(&self) -> Option<&crate::pb::envoy::config::core::v3::Node> {
        match self {
            Request::Sotw(request) => request.node.as_ref(),
            Request::Delta(request) => request.node.as_ref(),
        }
    }

    /// Whether the first request of a stream states that the proxy holds tables of a governor.
    pub fn holds_governor_tables(&self) -> bool {
        match self {
            Request::Sotw(request) => !request.version_info.is_empty(),
            Request::Delta(request) => !request.initial_resource_versions.is_empty(),
        }
    }
}

/// An effect of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestEffect {
    /// Everything up to this version is acknowledged.
    Acked(u64),
    /// The response with this version was rejected, for this reason.
    Nacked(u64, String),
    /// Resources were requested.
    ResourcesRequested,
    /// The resource type with this URL is not supported.
    UnsupportedType(String),
}

/// Why a stream has to be ended.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SessionError {
    /// It subscribes to too many names of one type.
    #[error("subscribes to {0} names of one type; {MAX_NAMES_PER_TYPE} are allowed")]
    TooManyNames(usize),
    /// It mixes requests of both variants.
    #[error("mixes the delta and the state-of-the-world variant on one stream")]
    MixedVariants,
}

#[derive(Debug, Default)]
struct Subscription {
    wildcard: bool,
    names: BTreeSet<String>,
    ever_named: bool,
    /// The version and digest last sent on this stream, by name.
    sent: BTreeMap<String, (u64, String)>,
    /// Delta: names that were reported as removed or missing.
    reported_absent: BTreeSet<String>,
    /// Delta: the versions that the proxy stated in its first request, by name, until they are compared.
    initial_versions: BTreeMap<String, String>,
    /// Names that must be sent even if they did not change.
    must_send: BTreeSet<String>,
    /// Whether a response is due even if it is empty (types that require the full state).
    response_due: bool,
    outstanding: VecDeque<(String, u64)>,
    /// The nonce of the last response.
    last_nonce: String,
    /// The newest rejected version, if no later one was accepted.
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
    subscriptions: BTreeMap<ResourceType, Subscription>,
    last_nonce_number: u64,
    /// The newest version that was flushed to this stream.
    flushed_version: u64,
    acked_version: u64,
    stale_requests: u64,
}

/// The result of a flush.
#[derive(Debug, Default, PartialEq)]
pub struct FlushOutcome {
    /// The responses to send, in order.
    pub responses: Vec<Response>,
    /// The number of entries in them; 0 if there are no responses.
    pub entries: usize,
    /// Set if everything up to this version is already acknowledged.
    pub acked: Option<u64>,
}

/// The status of a resource on a stream, for CSDS.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResourceStatus {
    /// The proxy acknowledged it.
    Acked,
    /// It was sent, but not answered yet.
    Sent,
    /// The proxy rejected it.
    Nacked,
    /// It was not sent, or has changed since.
    NotSent,
}

impl Session {
    /// Creates a session of the variant of the stream's first request.
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

    /// Whether the proxy has answered all responses.
    pub fn all_answered(&self) -> bool {
        self.subscriptions.values().all(|subscription| subscription.outstanding.is_empty())
    }

    /// The number of requests with a nonce that is outdated or unknown.
    pub fn stale(&self) -> u64 {
        self.stale_requests
    }

    /// Processes a request and returns its effects.
    ///
    /// # Errors
    /// The request violates the protocol or a limit; the stream has to be ended with the error.
    pub fn request(&mut self, request: Request) -> Result<Vec<RequestEffect>, SessionError> {
        match request {
            Request::Sotw(request) if !self.delta => self.sotw_request(request),
            Request::Delta(request) if self.delta => self.delta_request(request),
            _ => Err(SessionError::MixedVariants),
        }
    }

    fn sotw_request(&mut self, request: DiscoveryRequest) -> Result<Vec<RequestEffect>, SessionError> {
        let Some(kind) = ResourceType::from_type_url(&request.type_url) else {
            return Ok(vec![RequestEffect::UnsupportedType(request.type_url)]);
        };
        if request.resource_names.len() > MAX_NAMES_PER_TYPE {
            return Err(SessionError::TooManyNames(request.resource_names.len()));
        }
        let error = request.error_detail.map(|status| status.message);
        let (mut effects, newest) = self.acknowledge(kind, &request.response_nonce, error);
        let subscription = self.subscriptions.entry(kind).or_default();
        // An answer to an older response has outdated names: the answer to the newest one will replace them.
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
            // Forgets names that the proxy unsubscribed from: it drops their resources, so that a later
            // subscription has to send them again.
            subscription.sent.retain(|name, _| wildcard || names.contains(name));
            subscription.ever_named |= !names.is_empty();
            subscription.response_due |= kind.requires_full_state();
            (subscription.names, subscription.wildcard) = (names, wildcard);
            effects.push(RequestEffect::ResourcesRequested);
        }
        Ok(effects)
    }

    fn delta_request(&mut self, request: DeltaDiscoveryRequest) -> Result<Vec<RequestEffect>, SessionError> {
        let Some(kind) = ResourceType::from_type_url(&request.type_url) else {
            return Ok(vec![RequestEffect::UnsupportedType(request.type_url)]);
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
                effects.push(RequestEffect::ResourcesRequested);
            }
        }
        for name in subscribe {
            match name.as_str() {
                "*" => subscription.wildcard = true,
                _ => {
                    // A repeated subscription requests the resource again, even if it was sent before.
                    subscription.must_send.insert(name.clone());
                    subscription.names.insert(name);
                }
            }
            effects.push(RequestEffect::ResourcesRequested);
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

    /// Processes the ACK or NACK of the response with this nonce. Also returns whether the names in the request
    /// apply: it has no nonce, answers the newest response, or no response is outstanding.
    fn acknowledge(
        &mut self,
        kind: ResourceType,
        nonce: &str,
        error: Option<String>,
    ) -> (Vec<RequestEffect>, bool) {
        let subscription = self.subscriptions.entry(kind).or_default();
        if nonce.is_empty() {
            return (Vec::new(), true);
        }
        let Some(position) = subscription.outstanding.iter().position(|(sent, _)| sent == nonce) else {
            // Answered before, or from an earlier stream. The names in the request apply if no response is
            // outstanding, for example when a proxy subscribes to more names between two responses.
            let settled = subscription.outstanding.is_empty();
            self.stale_requests += u64::from(nonce != subscription.last_nonce);
            return (Vec::new(), settled);
        };
        let newest = position + 1 == subscription.outstanding.len();
        // An answer to a response also answers earlier ones: the stream delivers them in order.
        let version =
            subscription.outstanding.drain(..=position).next_back().map_or(0, |(_, version)| version);
        self.stale_requests += u64::from(!newest);
        match error {
            Some(reason) => {
                subscription.rejected_version = Some(version);
                (vec![RequestEffect::Nacked(version, reason)], newest)
            }
            None => {
                subscription.rejected_version =
                    subscription.rejected_version.filter(|rejected| *rejected > version);
                (self.newly_acknowledged().map(RequestEffect::Acked).into_iter().collect(), newest)
            }
        }
    }

    /// The newest version up to which everything is acknowledged, if it is newer than the last one returned.
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

    /// Returns what the proxy should hold and was not sent on this stream.
    pub fn flush(&mut self, wire: &XdsConfig, proxy: &Proxy) -> FlushOutcome {
        let mut flushed = FlushOutcome::default();
        let newest = proxy.newest_version();
        let has_update = |subscription: &Subscription| {
            let available = encode::resource_versions(wire, proxy, ResourceType::Endpoints);
            available
                .iter()
                .any(|(name, version)| subscription.sent.get(name).is_some_and(|(sent, _)| sent < version))
        };
        let endpoints_first = self.subscriptions.get(&ResourceType::Endpoints).is_some_and(has_update);
        let order = match endpoints_first {
            true => [
                ResourceType::Endpoints,
                ResourceType::Clusters,
                ResourceType::Listeners,
                ResourceType::Routes,
            ],
            false => ResourceType::ALL,
        };
        for kind in order {
            let Some((response, count)) = self.next_response(wire, proxy, kind, newest) else { continue };
            flushed.responses.push(response);
            flushed.entries += count;
        }
        let endpoints_subscribed = self
            .subscriptions
            .get(&ResourceType::Endpoints)
            .is_some_and(|subscription| subscription.wildcard || !subscription.names.is_empty());
        if endpoints_subscribed {
            if self.flushed_version == 0 {
                // Older versions were never sent on this stream, so they must not count as newly acknowledged.
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
        wire: &XdsConfig,
        proxy: &Proxy,
        kind: ResourceType,
        newest: u64,
    ) -> Option<(Response, usize)> {
        let subscription = self.subscriptions.get_mut(&kind)?;
        let available = encode::resource_versions(wire, proxy, kind);
        let covered: Vec<(&String, u64)> = available
            .iter()
            .filter(|(name, _)| subscription.covers(name))
            .map(|(name, version)| (name, *version))
            .collect();
        let (mut resources, mut entry_count) = (Vec::new(), 0);
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
            // Content that the proxy already holds is sent again only on explicit request. A first delta
            // subscription that states the same version is not such a request.
            if unchanged && (!must_send.contains(*name) || self.delta && sent.is_none()) {
                continue;
            }
            changed = true;
            resources.push(((*name).clone(), digest, resource));
            entry_count += count;
        }
        let removed: Vec<String> = if self.delta {
            let sent = subscription.sent.keys().chain(subscription.initial_versions.keys());
            // A table that is not published yet must not be reported as removed: a proxy that holds an older
            // one keeps it until then.
            let undecided = |name: &String| {
                kind == ResourceType::Endpoints
                    && !proxy.has_known_tables()
                    && wire.classes.iter().any(|group| group.name == *name)
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
            // Only types that require the full state can express a removal in this variant.
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
            entry_count = 0;
            for (name, _) in &covered {
                if let Some((resource, count)) = encode::resource(wire, proxy, kind, name) {
                    resources.push(((*name).clone(), String::new(), resource));
                    entry_count += count;
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
        let entry_count = (entry_count + removed.len()).max(1);
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
                type_url: kind.type_url(),
                removed_resources: removed,
                nonce,
                control_plane,
                ..DeltaDiscoveryResponse::default()
            }),
            false => Response::Sotw(DiscoveryResponse {
                version_info: version,
                resources: resources.into_iter().map(|(_, _, resource)| resource).collect(),
                type_url: kind.type_url(),
                nonce,
                control_plane,
                ..DiscoveryResponse::default()
            }),
        };
        Some((response, entry_count))
    }

    /// The subscribed resources: type, name, version last sent (0 if none), and status.
    pub fn status(
        &self,
        wire: &XdsConfig,
        proxy: &Proxy,
    ) -> Vec<(ResourceType, String, u64, ResourceStatus)> {
        let mut status = Vec::new();
        for (kind, subscription) in &self.subscriptions {
            for (name, version) in encode::resource_versions(wire, proxy, *kind) {
                if !subscription.covers(&name) {
                    continue;
                }
                let sent = subscription.sent.get(&name).map(|(sent, _)| *sent);
                let resource_status = match sent {
                    Some(_) if subscription.rejected_version.is_some() => ResourceStatus::Nacked,
                    Some(sent) if sent < version => ResourceStatus::NotSent,
                    Some(_) if subscription.outstanding.is_empty() => ResourceStatus::Acked,
                    Some(_) => ResourceStatus::Sent,
                    None => ResourceStatus::NotSent,
                };
                status.push((*kind, name, sent.unwrap_or(0), resource_status));
            }
        }
        status
    }
}

#[cfg(test)]
mod tests;
