//! The governor's representation of tables, and their numbers towards the host.

use std::collections::BTreeMap;

use crate::types::{ProxyId, ReplicaId, TableId};

/// Maximum number of traffic classes: one for each bit of a class set.
pub(super) const MAX_CLASSES: usize = 64;
/// Maximum number of entries of a solved table, or of a default table that is sent.
pub(super) const MAX_TABLE_ENTRIES: usize = 30;

/// The zones that the requests routed by a table may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RouteScope {
    AnyZone,
    OwnZone,
}

impl RouteScope {
    pub(super) const ALL: [RouteScope; 2] = [RouteScope::AnyZone, RouteScope::OwnZone];
}

/// A proxy's dedicated table for the classes of one scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TableKey {
    pub(super) proxy: ProxyId,
    pub(super) scope: RouteScope,
}

impl TableKey {
    pub(super) fn new(proxy: ProxyId, scope: RouteScope) -> Self {
        TableKey { proxy, scope }
    }

    /// The table's number; `None` if the proxy's number is too large. Each proxy has two table numbers.
    pub(super) fn table_id(self) -> Option<TableId> {
        let first = self.proxy.checked_mul(2).filter(|first| *first < TableId::MAX - 2)?;
        match self.scope {
            RouteScope::AnyZone => Some(first),
            RouteScope::OwnZone => Some(first + 1),
        }
    }
}

/// The entries of a table: replicas and their weights.
pub(super) type Weights = BTreeMap<ReplicaId, f64>;
/// Dedicated tables by proxy and scope.
pub(super) type Tables = BTreeMap<TableKey, Weights>;

/// The fraction of the requests routed by a table that goes to replicas which satisfy a condition.
pub(super) fn weight_fraction(weights: &Weights, condition: impl Fn(&ReplicaId) -> bool) -> f64 {
    let matching = weights.iter().filter(|(id, _)| condition(id)).map(|(_, weight)| weight).sum();
    super::arithmetic::ratio(matching, weights.values().sum())
}
