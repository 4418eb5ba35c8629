//! Speaks the bench's wire on standard input and output: what [`wrenthread`] decides, without a platform.
//!
//! A line that can't be understood is named on standard error and left out; what the rest of its batch says
//! still counts. A batch without its end is never answered.

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
            // Standard error may be closed too; the exit code still tells.
            let _ = writeln!(io::stderr(), "wrenthread-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
