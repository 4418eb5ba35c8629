//! Reads batches line by line and answers each batch at its end.

#[cfg(test)]
mod tests;

use std::io::{self, BufRead, Write};

use crate::error::MessageError;
use crate::host::Host;
use crate::message::{Message, MessageKind};

/// Serves batches until the end of the input.
///
/// # Errors
///
/// Returns the errors of the streams, or an error if the input ends inside a batch.
pub fn serve(input: impl BufRead, output: &mut impl Write, errors: &mut impl Write) -> io::Result<()> {
    let mut session = Session::default();
    for (index, line) in input.split(b'\n').enumerate() {
        let line = line?;
        if line.trim_ascii().is_empty() {
            continue;
        }
        match session.receive(&line) {
            Ok(BatchState::Open) => {}
            Ok(BatchState::Ended) => session.host.end_batch(output)?,
            Err(error) => writeln!(errors, "wrenthread-adapter: line {}: {error}", index + 1)?,
        }
    }
    if session.in_batch {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the input ends inside a batch"));
    }
    Ok(())
}

/// Whether a line ended its batch.
enum BatchState {
    Open,
    Ended,
}

/// The state of one run: the host, and whether a batch is open.
#[derive(Default)]
struct Session {
    host: Host,
    in_batch: bool,
}

impl Session {
    fn receive(&mut self, line: &[u8]) -> Result<BatchState, MessageError> {
        let message = Message::parse(line)?;
        match message.kind() {
            MessageKind::BeginBatch if self.in_batch => Err(MessageError::BatchNotEnded),
            MessageKind::BeginBatch => {
                self.host.begin_batch(&message)?;
                self.in_batch = true;
                Ok(BatchState::Open)
            }
            _ if !self.in_batch => Err(MessageError::OutsideBatch { name: message.name().into() }),
            MessageKind::EndBatch => {
                self.in_batch = false;
                Ok(BatchState::Ended)
            }
            _ => {
                self.host.receive(&message)?;
                Ok(BatchState::Open)
            }
        }
    }
}
