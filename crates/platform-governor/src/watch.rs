//! What the governor does with discovery: the endpoint list, and which watcher of it counts.

use std::time::Duration;

use serde_json::Value;

use crate::endpoint_list::{EndpointListError, EndpointUpdate};
use crate::governor::{Action, PlatformGovernor};

/// Discovery reaches each address within some seconds. An agent that gives older versions for longer is not behind:
/// its numbering has started over.
const MAX_STALE: Duration = Duration::from_secs(20);

/// The number of a watcher of discovery, in the order of starting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatcherId(pub u64);

/// The newest watcher of discovery.
#[derive(Debug, Default)]
pub(crate) struct Watcher {
    id: WatcherId,
    /// It is to fetch a snapshot, and none has come.
    requests_snapshot: bool,
    /// Since when it has given nothing but older versions.
    stale_since: Option<Duration>,
}

impl Watcher {
    /// Whether it has given nothing but older versions for too long.
    fn is_stale(&self, now: Duration) -> bool {
        self.stale_since.is_some_and(|since| now.saturating_sub(since) > MAX_STALE)
    }
}

impl PlatformGovernor {
    /// Loads the list as this governor last had it, before any watch is started.
    ///
    /// `to_host_time` turns Unix time in seconds into the host's time.
    ///
    /// # Errors
    ///
    /// The list can't be used; nothing is known then.
    pub fn load_known_endpoints(
        &mut self,
        now: Duration,
        known: &Value,
        to_host_time: impl Fn(f64) -> Option<Duration>,
    ) -> Result<(), EndpointListError> {
        if let Some(update) = self.endpoints.apply(known, to_host_time)? {
            self.update_replicas(now, update);
        }
        Ok(())
    }

    /// Starts a watcher from the version that is known: at the start, and where discovery's address has moved.
    pub fn start_watch(&mut self) {
        let from_version = self.endpoints.version();
        let id = WatcherId(self.watcher.id.0 + 1);
        self.watcher = Watcher { id, requests_snapshot: from_version.is_none(), stale_since: None };
        self.actions.push_back(Action::Watch { watcher: id, from_version });
    }

    /// Takes in one event of a watcher. Gives the version from which the watch may go on; none if a snapshot is to be
    /// fetched.
    pub fn watch_event(
        &mut self,
        now: Duration,
        watcher: WatcherId,
        bytes: &[u8],
        to_host_time: impl Fn(f64) -> Option<Duration>,
    ) -> Option<u64> {
        match self.endpoints.apply_bytes(bytes, to_host_time) {
            Ok(Some(update)) => self.update_replicas(now, update),
            Ok(None) => {}
            Err(error) => tracing::warn!(%error, "invalid watch event, fetching a snapshot"),
        }
        let version = self.endpoints.version();
        if watcher == self.watcher.id {
            self.watcher.requests_snapshot = version.is_none();
            self.watcher.stale_since = if self.endpoints.last_event_was_stale() {
                Some(self.watcher.stale_since.unwrap_or(now))
            } else {
                None
            };
        } else if version.is_none() && !self.watcher.requests_snapshot {
            // The present watcher started from a version that lies behind the invalid event.
            self.start_watch();
        }
        version
    }

    /// Accepts whatever version comes next, once discovery has given older ones for too long.
    pub(crate) fn check_watcher(&mut self, now: Duration) {
        if self.watcher.is_stale(now) {
            tracing::warn!("discovery gives older versions only, accepting its numbering");
            self.endpoints.restart_numbering();
            self.start_watch();
        }
    }

    fn update_replicas(&mut self, now: Duration, update: EndpointUpdate) {
        for error in &update.invalid_entries {
            tracing::warn!(%error, "invalid discovery entry, keeping what was known");
        }
        let count = self.replica_names.len();
        self.replica_names.extend(update.entries.iter().map(|entry| entry.id.clone()));
        if self.replica_names.len() != count {
            self.actions.push_back(Action::ReplicasChanged);
        }
        self.governor.update_replicas(now, &update.entries, update.scope);
    }
}
