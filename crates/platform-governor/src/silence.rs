//! Detects silent streams. The connection to a machine that disappears stays open.

#[cfg(test)]
mod tests;

use std::time::Duration;

use wrenthread::types::ProxyId;

/// How long an acknowledgement may take. It waits for entries queued in the channel, which may be slower than
/// configured.
pub(crate) const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(12);
/// The number of requests that the proxy should have reported while it was silent. In less than one of a hundred
/// thousand checks, a live proxy receives none where this many are expected. A live proxy that loses all its clients at
/// once loses its stream, and reconnects.
const MIN_MISSED_REQUESTS: f64 = 12.0;

/// The activity on one stream at the time of a check.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamActivity {
    pub proxy: ProxyId,
    /// Time since bytes were last received on the stream.
    pub silent_for: Duration,
    /// Time since the oldest acknowledgement request after which nothing was received.
    pub unacknowledged_for: Option<Duration>,
    /// The usual request rate of the proxy.
    pub requests_per_second: f64,
}

impl StreamActivity {
    /// Whether the proxy should have sent something by now.
    fn has_fallen_silent(&self, report_interval: Duration) -> bool {
        let timeout = ACKNOWLEDGEMENT_TIMEOUT + 2 * report_interval;
        if self.unacknowledged_for.is_some_and(|unacknowledged| unacknowledged > timeout) {
            return true;
        }
        let missed_requests =
            self.silent_for.saturating_sub(timeout).as_secs_f64() * self.requests_per_second;
        missed_requests > MIN_MISSED_REQUESTS
    }
}

/// The proxies that have fallen silent; none while fewer than half of all streams are active, as the cause is then
/// unlikely to be the individual proxies.
pub(crate) fn silent_proxies(streams: &[StreamActivity], report_interval: Duration) -> Vec<ProxyId> {
    let active = streams.iter().filter(|stream| stream.silent_for < ACKNOWLEDGEMENT_TIMEOUT).count();
    if 2 * active < streams.len() {
        return Vec::new();
    }
    let silent = streams.iter().filter(|stream| stream.has_fallen_silent(report_interval));
    silent.map(|stream| stream.proxy).collect()
}
