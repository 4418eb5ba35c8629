//! Golden files, captured from the release at commit b735929: scripts and their results as JSON. They pin the error
//! texts and the serialised names of settings, which are used to compare settings, to display them, and to pass them
//! between processes.

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
fn serialises_settings_as_the_earlier_release() {
    assert_eq!(settings_as_json("settings.star"), read("settings.json").trim_end());
}

#[test]
fn reports_the_errors_of_the_earlier_release_in_the_same_order() {
    assert_eq!(settings_as_json("faults.star"), read("faults.json").trim_end());
}

#[test]
fn deserialises_settings_and_errors() {
    for file in ["settings", "faults"] {
        let parsed = wrenthread_settings::parse(&format!("{file}.star"), &read(&format!("{file}.star")));
        assert_eq!(serde_json::from_str::<Result<_, _>>(&read(&format!("{file}.json"))).unwrap(), parsed);
    }
}

#[test]
fn serialises_a_day_as_the_earlier_release() {
    let day = day::parse("day.star", &read("day.star"));
    assert_eq!(serde_json::to_string(&day).unwrap(), read("day.json").trim_end());
}
