//! FrameBuffer are cut at LF, in whatever pieces the bytes come.

use thiserror::Error;

/// A frame that goes on beyond what it may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a frame of over {0} bytes")]
pub struct FrameTooLongError(pub usize);

/// Holds no more than the piece of a frame whose end has not come yet.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    tail: Vec<u8>,
}

impl FrameBuffer {
    /// Hands on each frame that is whole by now, without its end; empty ones are left out. Once `each` says
    /// false the rest is dropped.
    ///
    /// Errors: a frame of more than `most` bytes, whole or not. What came before it was handed on.
    pub fn push(
        &mut self,
        bytes: &[u8],
        most: usize,
        mut each: impl FnMut(&[u8]) -> bool,
    ) -> Result<(), FrameTooLongError> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let (piece, after) = (&rest[..end], &rest[end + 1..]);
            if self.tail.len() + piece.len() > most {
                return Err(FrameTooLongError(most));
            }
            let held = std::mem::take(&mut self.tail);
            let whole = if held.is_empty() { piece } else { &[held.as_slice(), piece].concat() };
            let whole = whole.trim_ascii();
            if !whole.is_empty() && !each(whole) {
                return Ok(());
            }
            rest = after;
        }
        if self.tail.len() + rest.len() > most {
            return Err(FrameTooLongError(most));
        }
        self.tail.extend_from_slice(rest);
        Ok(())
    }

    /// The bytes that wait for the end of their frame.
    pub fn incomplete(&self) -> &[u8] {
        &self.tail
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn cut(pieces: &[&[u8]], most: usize) -> (Vec<Vec<u8>>, bool) {
        let (mut frames, mut got) = (FrameBuffer::default(), Vec::new());
        let fits = pieces.iter().all(|piece| {
            let pushed = frames.push(piece, most, |frame| {
                got.push(frame.to_vec());
                true
            });
            assert!(frames.incomplete().len() <= most);
            pushed.is_ok()
        });
        (got, fits)
    }

    proptest! {
        #[test]
        fn any_split_gives_the_same_frames(
            bytes in proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>()], 0..200),
            at in proptest::collection::vec(0usize..200, 0..8),
        ) {
            let mut at: Vec<usize> = at.into_iter().map(|at| at.min(bytes.len())).collect();
            at.sort_unstable();
            let mut pieces = Vec::new();
            let mut from = 0;
            for at in at.into_iter().chain([bytes.len()]) {
                pieces.push(&bytes[from..at]);
                from = at;
            }
            prop_assert_eq!(cut(&pieces, 64), cut(&[&bytes], 64));
        }
    }

    #[test]
    fn a_frame_without_end_is_not_kept() {
        assert_eq!(cut(&[b"{}\nab", b"cde"], 4), (vec![b"{}".to_vec()], false));
        assert_eq!(cut(&[b"abcd\n"], 4), (vec![b"abcd".to_vec()], true));
    }
}
