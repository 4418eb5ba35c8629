//! Handles events of discovery: applies them to the endpoint list, and replaces watchers.

use std::time::Duration;

use serde_json::Value;

use crate::endpoint_list::{EndpointListError, EndpointUpdate};
use crate::governor::{Action, PlatformGovernor};

/// How long an agent may send only older versions. Changes reach every agent within a few seconds: one that sends older
/// versions for longer is not lagging, but its numbering has restarted.
const MAX_STALE: Duration = Duration::from_secs(20);

/// The number of a watcher of discovery, assigned in the order of starting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatcherId(pub u64);

/// The newest watcher of discovery.
#[derive(Debug, Default)]
pub(crate) struct Watcher {
    id: WatcherId,
    /// It has to fetch a snapshot, and none has arrived.
    requests_snapshot: bool,
    /// When it began to send only older versions; `None` if its last event was not older.
    stale_since: Option<Duration>,
}

impl Watcher {
    /// Whether it has sent only older versions for too long.
    fn is_stale(&self, now: Duration) -> bool {
        self.stale_since.is_some_and(|since| now.saturating_sub(since) > MAX_STALE)
    }
}

impl PlatformGovernor {
    /// Loads the last endpoint list that this governor had, before a watch is started.
    ///
    /// `to_host_time` converts Unix time in seconds to the host's time.
    ///
    /// # Errors
    ///
    /// The list is invalid, and nothing is loaded.
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

    /// Starts a watcher from the known version. Called at the start, and when discovery's address has changed.
    pub fn start_watch(&mut self) {
        let from_version = self.endpoints.version();
        let id = WatcherId(self.watcher.id.0 + 1);
        self.watcher = Watcher { id, requests_snapshot: from_version.is_none(), stale_since: None };
        self.actions.push_back(Action::Watch { watcher: id, from_version });
    }

    /// Handles one event from a watcher. Returns the version from which the watch can continue, or `None` if a snapshot
    /// has to be fetched.
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
            Err(error) => tracing::warn!(%error, "invalid watch event; fetching a snapshot"),
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
            // A previous watcher received the invalid event, and the current one is not fetching the snapshot needed.
            self.start_watch();
        }
        version
    }

    /// Restarts the watch, and accepts any version, once discovery has sent only older ones for too long.
    pub(crate) fn check_watcher(&mut self, now: Duration) {
        if self.watcher.is_stale(now) {
            tracing::warn!("discovery sends only older versions; accepting its restarted numbering");
            self.endpoints.restart_numbering();
            self.start_watch();
        }
    }

    fn update_replicas(&mut self, now: Duration, update: EndpointUpdate) {
        for error in &update.invalid_entries {
            tracing::warn!(%error, "invalid discovery entry; keeping the last valid one, if any");
        }
        let count = self.replica_names.len();
        self.replica_names.extend(update.entries.iter().map(|entry| entry.id.clone()));
        if self.replica_names.len() != count {
            self.actions.push_back(Action::ReplicasChanged);
        }
        self.governor.update_replicas(now, &update.entries, update.scope);
    }
}
