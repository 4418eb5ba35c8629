use super::serve;

const GOVERNOR_INFO: &str = r#"{"categories":[{"deadline_us":5000000,"effect":"retryable","objective_us":2000000}],
"extra":{"agents":1,"channel_rate":900,"most_waiting":900,"cycle_us":500000},"zones":["a"],"new":{"x":[1]}}"#;

/// An unfinished batch that starts one governor with one ready replica and one proxy.
fn unfinished_batch() -> String {
    let info = GOVERNOR_INFO.replace('\n', "");
    [
        r#"{"begin_batch":{"ts_us":1000000}}"#,
        &format!(r#"{{"init":{{"governor_id":3,"init_seed":1,"info":{info}}}}}"#),
        r#"{"define_list":{"list":0,"elements":[{"replica":"r1","phase":1,"weight":1}]}}"#,
        r#"{"directory_update":{"governor_id":3,"kind":2,"list":0,"version":1}}"#,
        r#"{"subscribed":{"governor_id":3,"weight":5,"forwarder":0,"hall":0}}"#,
        "",
    ]
    .join("\n")
}

fn run_adapter(input: &str) -> (bool, String, String) {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let succeeded = serve(input.as_bytes(), &mut output, &mut errors).is_ok();
    let text = |bytes| String::from_utf8(bytes).expect("the adapter writes UTF-8");
    (succeeded, text(output), text(errors))
}

#[test]
fn answers_an_empty_batch() {
    let (succeeded, output, errors) = run_adapter("{\"begin_batch\":{\"ts_us\":5}}\n{\"go\":{}}\n");
    assert_eq!((succeeded, output.as_str(), errors.as_str()), (true, "{\"ok\":{}}\n", ""));
}

#[test]
fn assigns_a_table_to_a_connected_proxy_after_its_entries() {
    let (_, output, errors) = run_adapter(&(unfinished_batch() + "{\"go\":{}}\n"));
    assert_eq!(errors, "");
    let assign = output.find(r#"{"assign":"#).expect("a line");
    assert!(output.find(r#"{"bind":"#).is_some_and(|bind| assign < bind));
    assert!(output.ends_with("{\"ok\":{}}\n"));
}

#[test]
fn reports_and_skips_invalid_lines() {
    let invalid_lines = [
        ("nonsense", "line 6: not JSON"),
        ("[1]", "line 6: not a JSON object"),
        ("{}", "line 6: a message must have exactly one key"),
        (r#"{"go":1}"#, "line 6: the value of `go` is not an object"),
        (r#"{"surprise":{"governor_id":3}}"#, "line 6: unknown message `surprise`"),
        (r#"{"left":{"governor_id":9,"forwarder":0}}"#, "line 6: unknown `governor_id` 9"),
        (r#"{"left":{"governor_id":3,"forwarder":70000}}"#, "line 6: `forwarder` is too large"),
        (r#"{"tally":{"governor_id":3,"hall":0,"replica":"r1"}}"#, "line 6: `total` is not a whole number"),
        (r#"{"directory_update":{"governor_id":3,"kind":1,"list":7}}"#, "line 6: undefined `list` 7"),
        (r#"{"begin_batch":{"ts_us":2000000}}"#, "line 6: `begin_batch` before"),
    ];
    let (_, expected_output, _) = run_adapter(&(unfinished_batch() + "{\"go\":{}}\n"));
    for (line, expected_error) in invalid_lines {
        let (succeeded, output, errors) =
            run_adapter(&format!("{}{line}\n{{\"go\":{{}}}}\n", unfinished_batch()));
        assert!(succeeded && errors.contains(expected_error), "{line}: {errors}");
        assert_eq!(output, expected_output, "{line}");
    }
}

#[test]
fn does_not_answer_an_unfinished_batch() {
    let (succeeded, output, _) = run_adapter(&unfinished_batch());
    assert_eq!((succeeded, output.as_str()), (false, ""));
}

#[test]
fn reports_an_event_outside_a_batch() {
    let (succeeded, output, errors) = run_adapter("{\"left\":{\"governor_id\":3,\"forwarder\":0}}\n");
    assert!(succeeded && output.is_empty() && errors.contains("line 1: `left` outside a batch"));
}

#[test]
fn restarts_a_killed_governor_in_one_batch() {
    let again = unfinished_batch().lines().skip(1).map(|line| format!("{line}\n")).collect::<String>();
    let killed =
        format!("{}{{\"crash_now\":{{\"governor_id\":3}}}}\n{again}{{\"go\":{{}}}}\n", unfinished_batch());
    let (succeeded, output, errors) = run_adapter(&killed);
    assert!(succeeded && errors.is_empty());
    assert_eq!(output, run_adapter(&(unfinished_batch() + "{\"go\":{}}\n")).1);
}

#[test]
fn uses_the_latest_list_with_a_number() {
    let newer =
        "{\"define_list\":{\"list\":0,\"elements\":[{\"replica\":\"r2\",\"phase\":1,\"weight\":1}]}}\n";
    let update = "{\"directory_update\":{\"governor_id\":3,\"kind\":1,\"list\":0,\"version\":2}}\n";
    let (_, output, _) = run_adapter(&format!("{}{newer}{update}{{\"go\":{{}}}}\n", unfinished_batch()));
    assert!(
        output.contains(r#""replica":"r2""#)
            && !output.contains(r#""assign":{"governor_id":3,"replica":"r1""#)
    );
}
