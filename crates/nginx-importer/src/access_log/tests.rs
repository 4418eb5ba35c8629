//! Tests of `access_log`.

use super::*;
use proptest::prelude::*;

#[test]
fn reads_the_attempts_of_a_request() {
    let read = |line: &str| parse_line(line).unwrap().unwrap();
    let attempt = |address: &str, ms: Option<u64>| Attempt {
        address: address.into(),
        latency: ms.map(Duration::from_millis),
    };
    assert_eq!(read("entry|10.0.0.1:80|200|0.020").attempts, [attempt("10.0.0.1:80", Some(20))]);
    let again = read("entry|10.0.0.1:80, [fd00::1]:80|502, 200|0.001, 0.030");
    assert_eq!(again.attempts, [attempt("10.0.0.1:80", None), attempt("[fd00::1]:80", Some(30))]);
    let inner = read("entry|10.0.0.1:80 : 10.0.0.2:80|404 : 200|0.001 : 0.002");
    assert_eq!(inner.attempts, [attempt("10.0.0.1:80", Some(1)), attempt("10.0.0.2:80", Some(2))]);
    assert_eq!(read("entry|10.0.0.1:80|-|-").attempts, [attempt("10.0.0.1:80", None)], "the client gave up");
    assert_eq!(
        (read("entry|-|-|-").attempts, read("entry|wrenthread_entry|502|0.000").attempts),
        (vec![], vec![])
    );
    assert_eq!((parse_line("-|-|-|-"), parse_line("|10.0.0.1:80|200|0.1")), (Ok(None), Ok(None)));
    assert_eq!(parse_line("entry|10.0.0.1:80|200"), Err(LineError::FieldCount));
    assert_eq!(parse_line("entry|10.0.0.1:80|200, 200|0.1"), Err(LineError::AttemptCount));
    assert_eq!(parse_line("entry|10.0.0.1:80|ok|0.1"), Err(LineError::InvalidNumber));
    assert_eq!(parse_line("entry|10.0.0.1:80|200|-5"), Err(LineError::InvalidNumber));
}

#[test]
fn completes_lines_over_reads_rotations_and_long_lines() {
    let mut splitter = LineSplitter::from_mid_line();
    assert_eq!(splitter.push(b"cut\nwhole\nbegi"), ["whole"]);
    assert_eq!(splitter.push(b"nning\r\n"), ["beginning"]);
    splitter.push(b"lost");
    splitter.rotated();
    assert_eq!(splitter.push(b"new\n"), ["new"]);
    let long = vec![b'x'; MAX_LINE_BYTES + 1];
    assert!(splitter.push(&long).is_empty() && splitter.push(&long).is_empty());
    assert_eq!(
        (splitter.push(b"x\nnext\n"), splitter.take_too_long_count(), splitter.take_too_long_count()),
        (vec!["next".into()], 1, 0)
    );
}

proptest! {
    #[test]
    fn lines_do_not_depend_on_the_read_sizes(
        text in "([a-z|]{0,9}\n){0,9}", cuts in prop::collection::vec(1usize..7, 0..40),
    ) {
        let (mut splitter, mut rest, mut all) = (LineSplitter::default(), text.as_bytes(), Vec::new());
        for cut in cuts {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            all.extend(splitter.push(now));
            rest = later;
        }
        all.extend(splitter.push(rest));
        prop_assert_eq!(all, text.lines().map(str::to_string).collect::<Vec<_>>());
    }

    #[test]
    fn no_line_causes_a_panic(line in ".{0,80}") {
        let _ = parse_line(&line);
    }
}
