//! What the release at commit b735929 made of scripts, as JSON: the text of errors, and the names by which settings are
//! compared, shown and handed from one process to another.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use wrenthread_settings::day;

fn read(file: &str) -> String {
    let path = format!("{}/tests/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

fn settings_as_json(file: &str) -> String {
    serde_json::to_string(&wrenthread_settings::parse(file, &read(file))).unwrap()
}

#[test]
fn settings_are_serialised_as_in_the_earlier_release() {
    assert_eq!(settings_as_json("settings.star"), read("settings.json").trim_end());
}

#[test]
fn errors_are_those_of_the_earlier_release_in_the_same_order() {
    assert_eq!(settings_as_json("faults.star"), read("faults.json").trim_end());
}

#[test]
fn serialised_settings_and_errors_are_read_again() {
    for file in ["settings", "faults"] {
        let parsed = wrenthread_settings::parse(&format!("{file}.star"), &read(&format!("{file}.star")));
        assert_eq!(serde_json::from_str::<Result<_, _>>(&read(&format!("{file}.json"))).unwrap(), parsed);
    }
}

#[test]
fn a_day_is_serialised_as_in_the_earlier_release() {
    let day = day::parse("day.star", &read("day.star"));
    assert_eq!(serde_json::to_string(&day).unwrap(), read("day.json").trim_end());
}
