//! Which governor a proxy is assigned to: rendezvous hashing with bounded load.
//!
//! A proxy is assigned to the first governor in its ranking that is live and below capacity. Capacity is the even share
//! plus [`CAPACITY_MARGIN_FRACTION`]. Proxies that choose a governor by themselves use the same ranking
//! ([`wrenthread_core::ownership::ranking`]), so assignments with and without gossip differ only by the bound.
//!
//! No governor needs to know all proxies: each decides for those connected to it, by the number of proxies that the
//! others report. A governor above capacity moves the proxies that rank it lowest; a proxy that ranks another governor
//! with free capacity higher is moved there. [`assign`] gives the result where all proxies are known.

use std::collections::BTreeSet;
use std::time::Duration;

use wrenthread_core::ownership::ranking;

use crate::ServiceMode;

/// How far above its even share a governor may go. Less means more moves whenever a governor comes or goes; more means
/// a higher load on the fullest.
pub const CAPACITY_MARGIN_FRACTION: f64 = 0.25;
/// How long a proxy stays where it connected before it may be moved.
pub const MIN_RESIDENCE: Duration = Duration::from_secs(2);

/// The most proxies that one of `governors` may have of `proxies` in all.
pub fn max_proxies_per_governor(proxies: usize, governors: usize) -> usize {
    let even_share = proxies as f64 * (1.0 + CAPACITY_MARGIN_FRACTION) / governors.max(1) as f64;
    even_share.ceil().max(1.0) as usize
}

/// A proxy that a governor holds in [`assign`]; ordered by how the proxy ranks that governor.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Assigned<'a> {
    rank: usize,
    name: &'a str,
    index: usize,
}

/// The governor of each proxy, by index into `governors`, where all proxies are known.
///
/// Proxies apply in the order of their ranking, and a full governor keeps those that rank it highest. The result does
/// not depend on the order in which proxies apply.
pub fn assign(proxies: &[&str], governors: &[&str]) -> Vec<usize> {
    if governors.is_empty() {
        return Vec::new();
    }
    let limit = max_proxies_per_governor(proxies.len(), governors.len());
    let rankings: Vec<Vec<usize>> = proxies.iter().map(|proxy| ranking(proxy, governors)).collect();
    let mut rank_of = vec![0; proxies.len()];
    let mut assigned: Vec<BTreeSet<Assigned>> = vec![BTreeSet::new(); governors.len()];
    let mut applying: Vec<usize> = (0..proxies.len()).collect();
    while let Some(index) = applying.pop() {
        let rank = rank_of[index];
        let governor = rankings[index][rank];
        assigned[governor].insert(Assigned { rank, name: proxies[index], index });
        if assigned[governor].len() > limit
            && let Some(rejected) = assigned[governor].pop_last()
        {
            // All limits together exceed the number of proxies, so each finds a place.
            rank_of[rejected.index] = (rejected.rank + 1) % governors.len();
            applying.push(rejected.index);
        }
    }
    (0..proxies.len()).map(|index| rankings[index][rank_of[index]]).collect()
}

/// Another governor as a destination for proxies.
#[derive(Debug, Clone, PartialEq)]
pub struct GovernorCapacity<'a> {
    /// The governor's name.
    pub name: &'a str,
    /// Proxies connected there, including those being moved there.
    pub connected_proxies: usize,
}

/// This governor's part in a decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalGovernor {
    /// Proxies connected here, without those being moved away and including those expected.
    pub connected_proxies: usize,
    /// Whether it hands all its proxies over.
    pub mode: ServiceMode,
}

/// A proxy that is connected to this governor.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalProxy<'a> {
    /// The proxy's name.
    pub name: &'a str,
    /// Indices into the list of other governors, best first; the list's length stands for this governor.
    pub ranking: &'a [usize],
    /// It has been connected for [`MIN_RESIDENCE`], and no recent offer of it failed.
    pub movable: bool,
}

/// A decision to move a proxy to another governor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProxyMove<'a> {
    /// The proxy's name.
    pub proxy: &'a str,
    /// The destination's name.
    pub to: &'a str,
}

/// The other governors, and how many proxies each may have.
struct Destinations<'a, 'b> {
    others: &'b [GovernorCapacity<'a>],
    limit: usize,
}

impl<'a> Destinations<'a, '_> {
    fn first_below_limit(&self, ranking: &[usize]) -> Option<usize> {
        ranking.iter().copied().find(|index| self.is_below_limit(*index))
    }

    fn is_below_limit(&self, index: usize) -> bool {
        self.others.get(index).is_some_and(|other| other.connected_proxies < self.limit)
    }

    fn least_loaded(&self) -> Option<usize> {
        (0..self.others.len()).min_by_key(|index| self.others[*index].connected_proxies)
    }

    fn move_to(&self, proxy: &'a str, index: usize) -> ProxyMove<'a> {
        ProxyMove { proxy, to: self.others[index].name }
    }
}

/// A move that would relieve this governor, and how low the proxy ranks it.
struct Relief<'a> {
    own_rank: usize,
    proxy_move: ProxyMove<'a>,
}

/// The next proxy to move, and its destination; none if all are where they should be.
///
/// `others`: the live governors that don't drain; `proxies`: those connected here that are not being moved away.
pub fn next_move<'a>(
    others: &[GovernorCapacity<'a>],
    local: LocalGovernor,
    mut proxies: impl Iterator<Item = LocalProxy<'a>>,
) -> Option<ProxyMove<'a>> {
    if others.is_empty() {
        return None;
    }
    let serving = others.len() + usize::from(local.mode == ServiceMode::Serving);
    let limit = max_proxies_per_governor(all_proxies(local, others), serving);
    let destinations = Destinations { others, limit };
    match local.mode {
        ServiceMode::Draining => {
            let proxy = proxies.find(|proxy| proxy.movable)?;
            let to = destinations.first_below_limit(proxy.ranking).or(destinations.least_loaded())?;
            Some(destinations.move_to(proxy.name, to))
        }
        ServiceMode::Serving => next_move_while_serving(&destinations, local.connected_proxies, proxies),
    }
}

fn next_move_while_serving<'a>(
    destinations: &Destinations<'a, '_>,
    connected_proxies: usize,
    proxies: impl Iterator<Item = LocalProxy<'a>>,
) -> Option<ProxyMove<'a>> {
    let local_index = destinations.others.len();
    let mut relief: Option<Relief> = None;
    // Proxies that will move once they may: they are no reason to move others meanwhile, who would only come back.
    let mut about_to_leave = 0;
    for proxy in proxies {
        let own_rank =
            proxy.ranking.iter().position(|index| *index == local_index).unwrap_or(proxy.ranking.len());
        let better = destinations.first_below_limit(&proxy.ranking[..own_rank]);
        if !proxy.movable {
            about_to_leave += usize::from(better.is_some());
            continue;
        }
        if let Some(to) = better {
            return Some(destinations.move_to(proxy.name, to));
        }
        if connected_proxies <= destinations.limit {
            continue;
        }
        // Above the limit the proxy that ranks this governor lowest goes first.
        let worse = proxy.ranking.get(own_rank + 1..).unwrap_or_default();
        if let Some(to) = destinations.first_below_limit(worse)
            && relief.as_ref().is_none_or(|lowest| own_rank > lowest.own_rank)
        {
            relief = Some(Relief { own_rank, proxy_move: destinations.move_to(proxy.name, to) });
        }
    }
    if connected_proxies.saturating_sub(about_to_leave) > destinations.limit {
        relief.map(|relief| relief.proxy_move)
    } else {
        None
    }
}

fn all_proxies(local: LocalGovernor, others: &[GovernorCapacity]) -> usize {
    let elsewhere: usize = others.iter().map(|other| other.connected_proxies).sum();
    local.connected_proxies + elsewhere
}

/// Whether this governor admits a proxy that another offers: not while it drains, and not above its capacity unless the
/// other governor drains.
pub fn admits(local: LocalGovernor, others: &[GovernorCapacity], offered_by: ServiceMode) -> bool {
    let limit = max_proxies_per_governor(all_proxies(local, others), others.len() + 1);
    let has_capacity = local.connected_proxies < limit;
    local.mode == ServiceMode::Serving && (offered_by == ServiceMode::Draining || has_capacity)
}

#[cfg(test)]
mod tests;
