//! Connecting proxies, and what is known of the default tables that they bring with them.

use std::time::Duration;

use super::Governor;
use super::arithmetic::ratio;
use super::gone_replicas::GONE_REPLICA_RETENTION;
use super::proxy_state::{DefaultTable, DefaultTableContents, DefaultTableSample, ProxyState};
use crate::types::{HeldTables, ProxyConnection, ProxyId};

/// Minimum number of ready replicas in a proxy's zone for its default table to be sampled from that zone
/// only; with fewer, it is sampled from all zones.
const MIN_SAMPLED_REPLICAS: usize = 3;

/// Time after a governor's start in which the proxies of its previous process reconnect. They avoid what that
/// process told them to avoid.
const RECONNECT_TIME: Duration = Duration::from_secs(3);

impl Governor {
    /// Records that a proxy has opened its stream.
    pub fn proxy_connected(&mut self, now: Duration, connection: ProxyConnection) {
        let ProxyConnection { proxy, zone, requests_per_second, held_tables } = connection;
        self.proxy_disconnected(proxy);
        let default_table = self.held_default_table(now, zone, held_tables);
        let class_count = self.admission.classes.len();
        let class_rate = ratio(requests_per_second, class_count as f64);
        let state = ProxyState {
            zone,
            request_rates: vec![class_rate; class_count],
            connected_at: now,
            last_reports: vec![now; class_count],
            default_table,
            unsynchronised: default_table.is_none() || !self.default_table_is_valid(zone, now),
        };
        self.proxies.insert(proxy, state);
        self.last_connections.insert(zone, now);
    }

    /// Records that a proxy's stream has closed.
    pub fn proxy_disconnected(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.critical_set.remove(proxy);
    }

    /// Records that proxies of a zone sent requests to a replica that no roster has listed, and that all failed. Other
    /// default tables of the zone may contain it, too.
    pub fn record_unlisted_replica(&mut self, zone: usize) {
        let in_zone = self.proxies.values_mut().filter(|proxy| proxy.zone == zone);
        for table in in_zone.filter_map(|proxy| proxy.default_table.as_mut()) {
            if table.contents == DefaultTableContents::Sampled {
                table.contents = DefaultTableContents::Unverified;
            }
        }
    }

    fn held_default_table(
        &self,
        now: Duration,
        zone: usize,
        held_tables: HeldTables,
    ) -> Option<DefaultTable> {
        let contents = match held_tables {
            HeldTables::Unknown => return None,
            HeldTables::UncheckedDefault if self.may_hold_unlisted_replicas(now) => {
                DefaultTableContents::Unverified
            }
            HeldTables::CheckedDefault | HeldTables::UncheckedDefault => DefaultTableContents::Sampled,
        };
        let sample = DefaultTableSample { roster_at: self.roster_updated_at, zone };
        Some(DefaultTable { sample, contents })
    }

    /// Whether the default table of a proxy that connects now may contain replicas that this governor never knew.
    /// It knows those that are gone once it has followed the roster for as long as it remembers them.
    fn may_hold_unlisted_replicas(&self, now: Duration) -> bool {
        let followed_for = self.first_roster_at.map_or(Duration::ZERO, |first| now.saturating_sub(first));
        (RECONNECT_TIME..GONE_REPLICA_RETENTION).contains(&followed_for)
    }

    /// Whether a newly sampled default table is certain to contain only ready replicas of the zone, at full
    /// weight.
    fn default_table_is_valid(&self, zone: usize, now: Duration) -> bool {
        let mut in_zone = self.replicas.values().filter(|replica| replica.zone == zone);
        let ready = in_zone.clone().filter(|replica| replica.ready).count();
        ready >= MIN_SAMPLED_REPLICAS && in_zone.all(|replica| self.usable_fraction(replica, now) >= 1.0)
    }
}
