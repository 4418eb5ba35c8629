//! Assignment of proxies to governors: rendezvous hashing with bounded load.
//!
//! A proxy is assigned to the first governor in its ranking that is live and below capacity. The capacity is an even
//! share of the proxies plus [`CAPACITY_MARGIN_FRACTION`]. Proxies that choose a governor by themselves use the same
//! ranking ([`wrenthread_core::ownership::ranking`]), so the assignments with and without gossip differ only by this
//! bound.
//!
//! No governor needs to know all proxies. Each governor decides for the proxies connected to it, from the proxy counts
//! that the other governors report. A governor above capacity moves away the proxies that rank it lowest, and a proxy
//! that ranks another governor with free capacity higher is moved there. [`assign`] computes the result from a list of
//! all proxies.

use std::collections::BTreeSet;
use std::time::Duration;

use wrenthread_core::ownership::ranking;

use crate::ServiceMode;

/// How far a governor may exceed an even share of the proxies, as a fraction of that share. A lower value causes more
/// moves when a governor joins or leaves; a higher value allows more load on the fullest governor.
pub const CAPACITY_MARGIN_FRACTION: f64 = 0.25;
/// How long a proxy must have been connected to a governor before it may be moved.
pub const MIN_RESIDENCE: Duration = Duration::from_secs(2);

/// Returns the capacity of a governor: how many of `proxies` each of `governors` may have.
pub fn max_proxies_per_governor(proxies: usize, governors: usize) -> usize {
    let even_share = proxies as f64 * (1.0 + CAPACITY_MARGIN_FRACTION) / governors.max(1) as f64;
    even_share.ceil().max(1.0) as usize
}

/// A proxy that is assigned to a governor in [`assign`], ordered by the rank that the proxy gives that governor.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Assigned<'a> {
    rank: usize,
    name: &'a str,
    index: usize,
}

/// Assigns all proxies. Returns the governor of each proxy, as an index into `governors`.
///
/// Each proxy applies to governors in the order of its ranking, and a full governor keeps the proxies that rank it
/// highest. The result does not depend on the order of `proxies`.
pub fn assign(proxies: &[&str], governors: &[&str]) -> Vec<usize> {
    if governors.is_empty() {
        return Vec::new();
    }
    let limit = max_proxies_per_governor(proxies.len(), governors.len());
    let rankings: Vec<Vec<usize>> = proxies.iter().map(|proxy| ranking(proxy, governors)).collect();
    let mut rank_of = vec![0; proxies.len()];
    let mut assigned: Vec<BTreeSet<Assigned>> = vec![BTreeSet::new(); governors.len()];
    let mut unassigned: Vec<usize> = (0..proxies.len()).collect();
    while let Some(index) = unassigned.pop() {
        let rank = rank_of[index];
        let governor = rankings[index][rank];
        assigned[governor].insert(Assigned { rank, name: proxies[index], index });
        if assigned[governor].len() > limit
            && let Some(rejected) = assigned[governor].pop_last()
        {
            // The total capacity exceeds the number of proxies, so each proxy is assigned in the end.
            rank_of[rejected.index] = (rejected.rank + 1) % governors.len();
            unassigned.push(rejected.index);
        }
    }
    (0..proxies.len()).map(|index| rankings[index][rank_of[index]]).collect()
}

/// Another governor as a possible destination for proxies.
#[derive(Debug, Clone, PartialEq)]
pub struct GovernorCapacity<'a> {
    /// The governor's name.
    pub name: &'a str,
    /// Proxies connected there, including those being moved there.
    pub connected_proxies: usize,
}

/// The load and mode of this governor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalGovernor {
    /// Proxies connected here, less those being moved away, plus those accepted but not connected yet.
    pub connected_proxies: usize,
    /// Whether it drains.
    pub mode: ServiceMode,
}

/// A proxy that is connected to this governor.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalProxy<'a> {
    /// The proxy's name.
    pub name: &'a str,
    /// Indices into the list of other governors, best first. An index equal to the list's length stands for this
    /// governor.
    pub ranking: &'a [usize],
    /// Whether it has been connected for [`MIN_RESIDENCE`], with no open or recent offer.
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

/// The other governors and the capacity of each.
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

/// A move that would reduce the load of this governor, and the rank that the proxy gives this governor.
struct Relief<'a> {
    own_rank: usize,
    proxy_move: ProxyMove<'a>,
}

/// Returns the next proxy to move and its destination, or `None` if no proxy has to move.
///
/// `others` are the live governors that don't drain. `proxies` are the proxies connected here that are not being moved.
pub fn next_move<'a>(
    others: &[GovernorCapacity<'a>],
    local: LocalGovernor,
    mut proxies: impl Iterator<Item = LocalProxy<'a>>,
) -> Option<ProxyMove<'a>> {
    if others.is_empty() {
        return None;
    }
    let serving = others.len() + usize::from(local.mode == ServiceMode::Serving);
    let limit = max_proxies_per_governor(total_proxies(local, others), serving);
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
    // Proxies that will move away once they are movable. Other proxies are not moved to make room for them, since those
    // would move back afterwards.
    let mut pending_moves = 0;
    for proxy in proxies {
        let own_rank =
            proxy.ranking.iter().position(|index| *index == local_index).unwrap_or(proxy.ranking.len());
        let better = destinations.first_below_limit(&proxy.ranking[..own_rank]);
        if !proxy.movable {
            pending_moves += usize::from(better.is_some());
            continue;
        }
        if let Some(to) = better {
            return Some(destinations.move_to(proxy.name, to));
        }
        if connected_proxies <= destinations.limit {
            continue;
        }
        // Above the limit, the proxy that ranks this governor lowest is moved first.
        let worse = proxy.ranking.get(own_rank + 1..).unwrap_or_default();
        if let Some(to) = destinations.first_below_limit(worse)
            && relief.as_ref().is_none_or(|lowest| own_rank > lowest.own_rank)
        {
            relief = Some(Relief { own_rank, proxy_move: destinations.move_to(proxy.name, to) });
        }
    }
    if connected_proxies.saturating_sub(pending_moves) > destinations.limit {
        relief.map(|relief| relief.proxy_move)
    } else {
        None
    }
}

fn total_proxies(local: LocalGovernor, others: &[GovernorCapacity]) -> usize {
    let other_proxies: usize = others.iter().map(|other| other.connected_proxies).sum();
    local.connected_proxies + other_proxies
}

/// Whether this governor accepts a proxy offered by another governor. It declines while it drains, and also at full
/// capacity unless the other governor drains.
pub fn admits(local: LocalGovernor, others: &[GovernorCapacity], offered_by: ServiceMode) -> bool {
    let limit = max_proxies_per_governor(total_proxies(local, others), others.len() + 1);
    let has_capacity = local.connected_proxies < limit;
    local.mode == ServiceMode::Serving && (offered_by == ServiceMode::Draining || has_capacity)
}

#[cfg(test)]
mod tests;
