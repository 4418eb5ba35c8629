//! An nginx's access log as load reports: what its flows met, try by try. The log has our format:
//!
//! ```text
//! log_format wrenthread '$wrenthread_group|$upstream_addr|$upstream_status|$upstream_response_time';
//! ```
//!
//! No time is read from it: what comes in between two looks counts for that span, so a calendar that steps
//! changes nothing.

use std::time::Duration;

/// A line is no longer than this; one that is is passed over.
pub const MAX_LINE_BYTES: usize = 16 << 10;
/// Tries of one flow that are read.
const MAX_ATTEMPTS: usize = 16;

/// One try, as the log has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The replica's address.
    pub address: String,
    /// How long its answer took; none if there was no good one.
    pub answered: Option<Duration>,
}

/// One flow: its group, and its tries; none if it was blocked.
#[derive(Debug, Clone, PartialEq)]
pub struct Flow {
    /// The traffic class.
    pub group: String,
    /// The attempts, in their order.
    pub tries: Vec<Attempt>,
}

/// Why a line does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Odd {
    /// It has too few fields.
    #[error("it has not the four fields of our format")]
    FieldCount,
    /// Its lists of attempts differ in length.
    #[error("its tries have different numbers of addresses, states and times")]
    AttemptCount,
    /// A field is no number.
    #[error("a state or a time is no number")]
    InvalidNumber,
    /// It is too long.
    #[error("it is longer than a line may be")]
    TooLong,
}

/// Reads one line; none for a flow of no group of ours.
///
/// Errors: why it does not count.
pub fn flow(line: &str) -> Result<Option<Flow>, Odd> {
    let fields: Vec<&str> = line.trim_end_matches('\r').split('|').collect();
    let [group, addresses, statuses, latencies] = fields.as_slice() else { return Err(Odd::FieldCount) };
    if group.is_empty() || *group == "-" {
        return Ok(None);
    }
    // Tries of one upstream stand behind commas, those after a redirect within nginx behind a colon.
    fn split(text: &str) -> Vec<&str> {
        text.split(", ").flat_map(|part| part.split(" : ")).map(str::trim).collect()
    }
    let group = (*group).to_string();
    if addresses.is_empty() || *addresses == "-" {
        return Ok(Some(Flow { group, tries: Vec::new() }));
    }
    let (addresses, statuses, latencies) = (split(addresses), split(statuses), split(latencies));
    if addresses.len() != statuses.len()
        || addresses.len() != latencies.len()
        || addresses.len() > MAX_ATTEMPTS
    {
        return Err(Odd::AttemptCount);
    }
    let mut tries = Vec::new();
    for ((address, status), latency_text) in addresses.into_iter().zip(statuses).zip(latencies) {
        let status = match status {
            "-" => None,
            text => Some(text.parse::<u16>().map_err(|_| Odd::InvalidNumber)?),
        };
        let latency = match latency_text {
            "-" => None,
            text => {
                let seconds = text.parse::<f64>().map_err(|_| Odd::InvalidNumber)?;
                Some(Duration::try_from_secs_f64(seconds).map_err(|_| Odd::InvalidNumber)?)
            }
        };
        // Where no server was live it names the upstream: nothing was tried.
        if address.rsplit_once(':').is_none() {
            continue;
        }
        let succeeded = status.is_some_and(|status| (100..500).contains(&status));
        tries.push(Attempt { address: address.to_string(), answered: latency.filter(|_| succeeded) });
    }
    Ok(Some(Flow { group, tries }))
}

/// Bytes of a log that grows, as whole lines.
#[derive(Debug, Default)]
pub struct Lines {
    partial_line: Vec<u8>,
    /// The line that goes on is passed over: it is too long, or its beginning was not seen.
    skipping: bool,
    too_long: u64,
}

impl Lines {
    /// From the midst of a log: what comes up to the next end of a line is passed over.
    pub fn from_the_midst() -> Self {
        Lines { skipping: true, ..Lines::default() }
    }

    /// More of it: the lines that are whole now.
    pub fn more(&mut self, bytes: &[u8]) -> Vec<String> {
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

    /// The log goes on in another file: a line that was cut there has no rest.
    pub fn rotated(&mut self) {
        self.partial_line.clear();
        self.skipping = false;
    }

    /// Lines that were too long, since the last time.
    pub fn take_long(&mut self) -> u64 {
        std::mem::take(&mut self.too_long)
    }
}

#[cfg(test)]
mod tests;
