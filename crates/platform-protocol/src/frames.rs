//! Cuts bytes into frames, which end with LF.

#[cfg(test)]
mod tests;

use std::ops::ControlFlow;

use thiserror::Error;

/// A frame is longer than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a frame of over {limit} bytes")]
pub struct FrameTooLongError {
    /// The limit, in bytes.
    pub limit: usize,
}

/// Holds the bytes of a frame whose end has not come yet.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    incomplete: Vec<u8>,
}

impl FrameBuffer {
    /// Gives each frame that `bytes` completes to `handle_frame`, without its end; empty ones are left out. The rest is
    /// dropped once `handle_frame` breaks.
    ///
    /// # Errors
    ///
    /// A frame of more than `limit` bytes, complete or not. The frames before it have been handled.
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
            let begun = std::mem::take(&mut self.incomplete);
            let frame = if begun.is_empty() { piece } else { &[begun.as_slice(), piece].concat() };
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

    /// The bytes that wait for the end of their frame.
    pub fn incomplete(&self) -> &[u8] {
        &self.incomplete
    }
}
