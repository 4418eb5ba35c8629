use super::*;

#[test]
fn reads_a_day_and_reports_its_errors_with_their_lines() {
    let valid = "day(seconds = 30, halls = ['a', 'b'])\ntrouble('deploy', at = 5, lasts = 9, hall = 'b')";
    let day = parse("d.star", valid).unwrap();
    assert_eq!(day.faults[0].fault, Fault::Deploy { zone: 1, step: 2.0 });
    let error = |text: &str| parse("d.star", text).unwrap_err().to_string();
    assert!(
        error(&valid.replace("deploy", "deplo")).contains("d.star:2: unknown trouble `deplo`; did you mean")
    );
    assert!(error(&valid.replace("'b')", "'c')")).contains("needs a `hall`"));
    assert!(error(&valid.replace("at = 5", "at = 25")).contains("after the day's end"));
}
