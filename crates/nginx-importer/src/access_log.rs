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
pub const LONGEST: usize = 16 << 10;
/// Tries of one flow that are read.
const MOST_TRIES: usize = 16;

/// One try, as the log has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
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
    pub tries: Vec<Try>,
}

/// Why a line does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Odd {
    /// It has too few fields.
    #[error("it has not the four fields of our format")]
    Fields,
    /// Its lists of attempts differ in length.
    #[error("its tries have different numbers of addresses, states and times")]
    Tries,
    /// A field is no number.
    #[error("a state or a time is no number")]
    Number,
    /// It is too long.
    #[error("it is longer than a line may be")]
    Long,
}

/// Reads one line; none for a flow of no group of ours.
///
/// Errors: why it does not count.
pub fn flow(line: &str) -> Result<Option<Flow>, Odd> {
    let fields: Vec<&str> = line.trim_end_matches('\r').split('|').collect();
    let [group, addresses, states, times] = fields.as_slice() else { return Err(Odd::Fields) };
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
    let (addresses, states, times) = (split(addresses), split(states), split(times));
    if addresses.len() != states.len() || addresses.len() != times.len() || addresses.len() > MOST_TRIES {
        return Err(Odd::Tries);
    }
    let mut tries = Vec::new();
    for ((address, state), time) in addresses.into_iter().zip(states).zip(times) {
        let state = match state {
            "-" => None,
            text => Some(text.parse::<u16>().map_err(|_| Odd::Number)?),
        };
        let took = match time {
            "-" => None,
            text => {
                let seconds = text.parse::<f64>().map_err(|_| Odd::Number)?;
                Some(Duration::try_from_secs_f64(seconds).map_err(|_| Odd::Number)?)
            }
        };
        // Where no server was live it names the upstream: nothing was tried.
        if address.rsplit_once(':').is_none() {
            continue;
        }
        let good = state.is_some_and(|state| (100..500).contains(&state));
        tries.push(Try { address: address.to_string(), answered: took.filter(|_| good) });
    }
    Ok(Some(Flow { group, tries }))
}

/// Bytes of a log that grows, as whole lines.
#[derive(Debug, Default)]
pub struct Lines {
    part: Vec<u8>,
    /// The line that goes on is passed over: it is too long, or its beginning was not seen.
    skipping: bool,
    long: u64,
}

impl Lines {
    /// From the midst of a log: what comes up to the next end of a line is passed over.
    pub fn from_the_midst() -> Self {
        Lines { skipping: true, ..Lines::default() }
    }

    /// More of it: the lines that are whole now.
    pub fn more(&mut self, bytes: &[u8]) -> Vec<String> {
        let mut whole = Vec::new();
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            let ends = piece.ends_with(b"\n");
            if !self.skipping {
                self.part.extend(piece);
                if self.part.len() > LONGEST {
                    (self.skipping, self.long) = (true, self.long + 1);
                    self.part.clear();
                }
            }
            if ends {
                if !self.skipping {
                    let line = String::from_utf8_lossy(&self.part).trim_end_matches(['\r', '\n']).to_string();
                    whole.push(line);
                }
                self.part.clear();
                self.skipping = false;
            }
        }
        whole
    }

    /// The log goes on in another file: a line that was cut there has no rest.
    pub fn rotated(&mut self) {
        self.part.clear();
        self.skipping = false;
    }

    /// Lines that were too long, since the last time.
    pub fn take_long(&mut self) -> u64 {
        std::mem::take(&mut self.long)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn flows_are_read_try_by_try() {
        let read = |line: &str| flow(line).unwrap().unwrap();
        let one = |address: &str, ms: Option<u64>| Try {
            address: address.into(),
            answered: ms.map(Duration::from_millis),
        };
        assert_eq!(read("entry|10.0.0.1:80|200|0.020").tries, [one("10.0.0.1:80", Some(20))]);
        let again = read("entry|10.0.0.1:80, [fd00::1]:80|502, 200|0.001, 0.030");
        assert_eq!(again.tries, [one("10.0.0.1:80", None), one("[fd00::1]:80", Some(30))]);
        let inner = read("entry|10.0.0.1:80 : 10.0.0.2:80|404 : 200|0.001 : 0.002");
        assert_eq!(inner.tries, [one("10.0.0.1:80", Some(1)), one("10.0.0.2:80", Some(2))]);
        assert_eq!(read("entry|10.0.0.1:80|-|-").tries, [one("10.0.0.1:80", None)], "the client gave up");
        assert_eq!(
            (read("entry|-|-|-").tries, read("entry|wrenthread_entry|502|0.000").tries),
            (vec![], vec![])
        );
        assert_eq!((flow("-|-|-|-"), flow("|10.0.0.1:80|200|0.1")), (Ok(None), Ok(None)));
        assert_eq!(flow("entry|10.0.0.1:80|200"), Err(Odd::Fields));
        assert_eq!(flow("entry|10.0.0.1:80|200, 200|0.1"), Err(Odd::Tries));
        assert_eq!(flow("entry|10.0.0.1:80|ok|0.1"), Err(Odd::Number));
        assert_eq!(flow("entry|10.0.0.1:80|200|-5"), Err(Odd::Number));
    }

    #[test]
    fn lines_are_whole_over_looks_rotations_and_cuts() {
        let mut lines = Lines::from_the_midst();
        assert_eq!(lines.more(b"cut\nwhole\nbegi"), ["whole"]);
        assert_eq!(lines.more(b"nning\r\n"), ["beginning"]);
        lines.more(b"lost");
        lines.rotated();
        assert_eq!(lines.more(b"new\n"), ["new"]);
        let long = vec![b'x'; LONGEST + 1];
        assert!(lines.more(&long).is_empty() && lines.more(&long).is_empty());
        assert_eq!(
            (lines.more(b"x\nnext\n"), lines.take_long(), lines.take_long()),
            (vec!["next".into()], 1, 0)
        );
    }

    proptest! {
        #[test]
        fn lines_do_not_depend_on_how_they_are_looked_at(
            text in "([a-z|]{0,9}\n){0,9}", cuts in prop::collection::vec(1usize..7, 0..40),
        ) {
            let (mut lines, mut rest, mut all) = (Lines::default(), text.as_bytes(), Vec::new());
            for cut in cuts {
                let (now, later) = rest.split_at(cut.min(rest.len()));
                all.extend(lines.more(now));
                rest = later;
            }
            all.extend(lines.more(rest));
            prop_assert_eq!(all, text.lines().map(str::to_string).collect::<Vec<_>>());
        }

        #[test]
        fn no_line_makes_it_panic(line in ".{0,80}") {
            let _ = flow(&line);
        }
    }
}
