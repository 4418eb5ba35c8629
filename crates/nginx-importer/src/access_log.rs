//! Reads the attempts of each request from an nginx access log, for load reports. The required log format:
//!
//! ```text
//! log_format wrenthread '$wrenthread_group|$upstream_addr|$upstream_status|$upstream_response_time';
//! ```
//!
//! The log's time stamps are not used: lines count for the interval in which they are read, so that steps of
//! the wall clock have no effect.

use std::time::Duration;

/// Maximum length of a line; longer ones are skipped.
pub const MAX_LINE_BYTES: usize = 16 << 10;
/// Maximum number of attempts of one request; lines with more are rejected.
const MAX_ATTEMPTS: usize = 16;

/// One attempt of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The replica's address.
    pub address: String,
    /// The latency of the response; none if there was no response or it was an error.
    pub latency: Option<Duration>,
}

/// One request.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedRequest {
    /// The traffic class.
    pub class: String,
    /// The attempts in order; empty if the request was not admitted.
    pub attempts: Vec<Attempt>,
}

/// Why a line is rejected. The texts are values of a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum LineError {
    /// It does not have four fields.
    #[error("it has not the four fields of our format")]
    FieldCount,
    /// Its lists of attempts differ in length, or there are too many attempts.
    #[error("its tries have different numbers of addresses, states and times")]
    AttemptCount,
    /// A status or a latency is not a valid number.
    #[error("a state or a time is no number")]
    InvalidNumber,
    /// It is too long.
    #[error("it is longer than a line may be")]
    TooLong,
}

/// Reads one line; none for a request without a traffic class.
///
/// Errors: why the line is rejected.
pub fn parse_line(line: &str) -> Result<Option<LoggedRequest>, LineError> {
    let fields: Vec<&str> = line.trim_end_matches('\r').split('|').collect();
    let [class, addresses, statuses, latencies] = fields.as_slice() else {
        return Err(LineError::FieldCount);
    };
    if class.is_empty() || *class == "-" {
        return Ok(None);
    }
    // nginx separates attempts with commas, and those after an internal redirect with colons.
    fn split(text: &str) -> Vec<&str> {
        text.split(", ").flat_map(|part| part.split(" : ")).map(str::trim).collect()
    }
    let class = (*class).to_string();
    if addresses.is_empty() || *addresses == "-" {
        return Ok(Some(LoggedRequest { class, attempts: Vec::new() }));
    }
    let (addresses, statuses, latencies) = (split(addresses), split(statuses), split(latencies));
    if addresses.len() != statuses.len()
        || addresses.len() != latencies.len()
        || addresses.len() > MAX_ATTEMPTS
    {
        return Err(LineError::AttemptCount);
    }
    let mut attempts = Vec::new();
    for ((address, status), latency_text) in addresses.into_iter().zip(statuses).zip(latencies) {
        let status = match status {
            "-" => None,
            text => Some(text.parse::<u16>().map_err(|_| LineError::InvalidNumber)?),
        };
        let latency = match latency_text {
            "-" => None,
            text => {
                let seconds = text.parse::<f64>().map_err(|_| LineError::InvalidNumber)?;
                Some(Duration::try_from_secs_f64(seconds).map_err(|_| LineError::InvalidNumber)?)
            }
        };
        // Without a live server, nginx logs the upstream's name; no attempt was made.
        if address.rsplit_once(':').is_none() {
            continue;
        }
        let succeeded = status.is_some_and(|status| (100..500).contains(&status));
        attempts.push(Attempt { address: address.to_string(), latency: latency.filter(|_| succeeded) });
    }
    Ok(Some(LoggedRequest { class, attempts }))
}

/// Splits a growing log into complete lines.
#[derive(Debug, Default)]
pub struct LineSplitter {
    partial_line: Vec<u8>,
    /// The current line is skipped: it is too long, or its start was not read.
    skipping: bool,
    too_long: u64,
}

impl LineSplitter {
    /// For reading from the middle of a log: skips everything up to the next line end.
    pub fn from_mid_line() -> Self {
        LineSplitter { skipping: true, ..LineSplitter::default() }
    }

    /// Adds bytes and returns the lines that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        let mut lines = Vec::new();
        for chunk in bytes.split_inclusive(|byte| *byte == b'\n') {
            let is_complete = chunk.ends_with(b"\n");
            if !self.skipping {
                self.partial_line.extend(chunk);
                if self.partial_line.len() > MAX_LINE_BYTES {
                    (self.skipping, self.too_long) = (true, self.too_long + 1);
                    self.partial_line.clear();
                }
            }
            if is_complete {
                if !self.skipping {
                    let line = String::from_utf8_lossy(&self.partial_line)
                        .trim_end_matches(['\r', '\n'])
                        .to_string();
                    lines.push(line);
                }
                self.partial_line.clear();
                self.skipping = false;
            }
        }
        lines
    }

    /// Drops an incomplete line, because the log continues in another file.
    pub fn rotated(&mut self) {
        self.partial_line.clear();
        self.skipping = false;
    }

    /// The number of lines since the last call that were too long.
    pub fn take_too_long_count(&mut self) -> u64 {
        std::mem::take(&mut self.too_long)
    }
}

#[cfg(test)]
mod tests;
