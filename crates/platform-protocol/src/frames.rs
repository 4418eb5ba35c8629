//! Splits bytes into frames, which end with LF.

#[cfg(test)]
mod tests;

use std::ops::ControlFlow;

use thiserror::Error;

/// A frame exceeds the maximum length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("frame longer than {limit} bytes")]
pub struct FrameTooLongError {
    /// The maximum length in bytes.
    pub limit: usize,
}

/// Buffers the bytes of an incomplete frame.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    incomplete: Vec<u8>,
}

impl FrameBuffer {
    /// Calls `handle_frame` with each frame that `bytes` completes, without its LF. Empty frames are skipped. Once
    /// `handle_frame` breaks, the remaining bytes are dropped.
    ///
    /// # Errors
    ///
    /// A frame, complete or not, is longer than `limit` bytes. The frames before it have been handled.
    pub fn push(
        &mut self,
        bytes: &[u8],
        limit: usize,
        mut handle_frame: impl FnMut(&[u8]) -> ControlFlow<()>,
    ) -> Result<(), FrameTooLongError> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let piece = &rest[..end];
            rest = &rest[end + 1..];
            if self.incomplete.len() + piece.len() > limit {
                return Err(FrameTooLongError { limit });
            }
            let buffered = std::mem::take(&mut self.incomplete);
            let frame = if buffered.is_empty() { piece } else { &[buffered.as_slice(), piece].concat() };
            let frame = frame.trim_ascii();
            if !frame.is_empty() && handle_frame(frame).is_break() {
                return Ok(());
            }
        }
        if self.incomplete.len() + rest.len() > limit {
            return Err(FrameTooLongError { limit });
        }
        self.incomplete.extend_from_slice(rest);
        Ok(())
    }

    /// The bytes received so far of an incomplete frame.
    pub fn incomplete(&self) -> &[u8] {
        &self.incomplete
    }
}
