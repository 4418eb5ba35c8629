use super::*;
use proptest::prelude::*;

fn split_frames(pieces: &[&[u8]], limit: usize) -> (Vec<Vec<u8>>, bool) {
    let (mut frames, mut received) = (FrameBuffer::default(), Vec::new());
    let fits = pieces.iter().all(|piece| {
        let pushed = frames.push(piece, limit, |frame| {
            received.push(frame.to_vec());
            ControlFlow::Continue(())
        });
        assert!(frames.incomplete().len() <= limit);
        pushed.is_ok()
    });
    (received, fits)
}

proptest! {
    #[test]
    fn frames_do_not_depend_on_how_the_bytes_are_split(
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
        prop_assert_eq!(split_frames(&pieces, 64), split_frames(&[&bytes], 64));
    }
}

#[test]
fn rejects_a_frame_over_the_limit() {
    assert_eq!(split_frames(&[b"{}\nab", b"cde"], 4), (vec![b"{}".to_vec()], false));
    assert_eq!(split_frames(&[b"abcd\n"], 4), (vec![b"abcd".to_vec()], true));
}
