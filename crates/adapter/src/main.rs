//! Speaks the bench's wire on standard input and output; see the README for what it does on bad input.

mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match wire::serve(input, &mut output, &mut io::stderr()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Standard error may be closed too; the exit code still tells.
            let _ = writeln!(io::stderr(), "wrenthread-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
