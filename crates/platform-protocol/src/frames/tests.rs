use super::*;
use proptest::prelude::*;

fn cut(pieces: &[&[u8]], most: usize) -> (Vec<Vec<u8>>, bool) {
    let (mut frames, mut got) = (FrameBuffer::default(), Vec::new());
    let fits = pieces.iter().all(|piece| {
        let pushed = frames.push(piece, most, |frame| {
            got.push(frame.to_vec());
            ControlFlow::Continue(())
        });
        assert!(frames.incomplete().len() <= most);
        pushed.is_ok()
    });
    (got, fits)
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_gives_the_same_frames(
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
fn rejects_a_frame_over_the_limit() {
    assert_eq!(cut(&[b"{}\nab", b"cde"], 4), (vec![b"{}".to_vec()], false));
    assert_eq!(cut(&[b"abcd\n"], 4), (vec![b"abcd".to_vec()], true));
}
