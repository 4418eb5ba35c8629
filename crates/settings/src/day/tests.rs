use super::*;

#[test]
fn reads_a_day_and_reports_its_errors_with_their_lines() {
    let good = "day(seconds = 30, halls = ['a', 'b'])\ntrouble('deploy', at = 5, lasts = 9, hall = 'b')";
    let day = parse("d.star", good).unwrap();
    assert_eq!(day.troubles[0].trouble, Trouble::Deploy { hall: 1, step: 2.0 });
    let why = |text: &str| parse("d.star", text).unwrap_err().to_string();
    assert!(
        why(&good.replace("deploy", "deplo")).contains("d.star:2: unknown trouble `deplo`; did you mean")
    );
    assert!(why(&good.replace("'b')", "'c')")).contains("needs a `hall`"));
    assert!(why(&good.replace("at = 5", "at = 25")).contains("after the day's end"));
}
