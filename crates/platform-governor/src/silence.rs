//! Which streams have fallen silent: those of machines that vanished keep their connections open.

#[cfg(test)]
mod tests;

use std::time::Duration;

use wrenthread::types::ProxyId;

/// An acknowledgement takes as long as entries wait in a channel that may run slower than it ought to.
pub(crate) const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Requests that a silent proxy would have reported: chance alone misses none of so many once in a hundred thousand
/// checks. A live proxy whose clients all went away at once loses its stream, and connects anew.
const MIN_MISSED_REQUESTS: f64 = 12.0;

/// What is known of one stream at a check.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamActivity {
    pub proxy: ProxyId,
    /// Time since bytes last came on the stream.
    pub silent_for: Duration,
    /// Time since the oldest acknowledgement request that nothing was received after.
    pub unacknowledged_for: Option<Duration>,
    /// The request rate that the proxy ordinarily receives.
    pub requests_per_second: f64,
}

impl StreamActivity {
    /// Whether the proxy would have had to send something by now.
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

/// The proxies that have fallen silent; none while fewer than half of all streams are active, as the cause then does not
/// lie with each of them.
pub(crate) fn silent_proxies(streams: &[StreamActivity], report_interval: Duration) -> Vec<ProxyId> {
    let active = streams.iter().filter(|stream| stream.silent_for < ACKNOWLEDGEMENT_TIMEOUT).count();
    if 2 * active < streams.len() {
        return Vec::new();
    }
    let silent = streams.iter().filter(|stream| stream.has_fallen_silent(report_interval));
    silent.map(|stream| stream.proxy).collect()
}
