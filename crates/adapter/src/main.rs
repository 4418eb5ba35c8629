//! Adapter between [`wrenthread`] and the simulator: reads the simulator's messages from standard input and
//! writes decisions to standard output.
//!
//! An invalid line is reported on standard error and skipped; the other lines of its batch are processed. An
//! incomplete batch is not answered.

#![warn(missing_docs)]

mod error;
mod events;
mod host;
mod message;
mod replies;
mod serve;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// The size of the buffers for standard input and output, in bytes.
const BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match serve::serve(input, &mut output, &mut io::stderr()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // A failed write is ignored, as standard error may be closed too. The exit code still reports the
            // error.
            let _ = writeln!(io::stderr(), "wrenthread-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
