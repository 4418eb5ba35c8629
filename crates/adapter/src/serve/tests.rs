use super::serve;

const INFO: &str = r#"{"categories":[{"deadline_us":5000000,"effect":"retryable","objective_us":2000000}],
"extra":{"agents":1,"channel_rate":900,"most_waiting":900,"cycle_us":500000},"zones":["a"],"new":{"x":[1]}}"#;

/// An unfinished batch that starts one governor with one ready replica and one proxy.
fn start() -> String {
    let info = INFO.replace('\n', "");
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

fn answer(input: &str) -> (bool, String, String) {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let good = serve(input.as_bytes(), &mut output, &mut errors).is_ok();
    let text = |bytes| String::from_utf8(bytes).expect("the adapter writes UTF-8");
    (good, text(output), text(errors))
}

#[test]
fn answers_an_empty_batch() {
    let (good, output, errors) = answer("{\"begin_batch\":{\"ts_us\":5}}\n{\"go\":{}}\n");
    assert_eq!((good, output.as_str(), errors.as_str()), (true, "{\"ok\":{}}\n", ""));
}

#[test]
fn assigns_a_table_to_a_connected_proxy_after_its_entries() {
    let (_, output, errors) = answer(&(start() + "{\"go\":{}}\n"));
    assert_eq!(errors, "");
    let assign = output.find(r#"{"assign":"#).expect("a line");
    assert!(output.find(r#"{"bind":"#).is_some_and(|bind| assign < bind));
    assert!(output.ends_with("{\"ok\":{}}\n"));
}

#[test]
fn names_and_skips_bad_lines() {
    let bad = [
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
    let (_, clean, _) = answer(&(start() + "{\"go\":{}}\n"));
    for (line, why) in bad {
        let (good, output, errors) = answer(&format!("{}{line}\n{{\"go\":{{}}}}\n", start()));
        assert!(good && errors.contains(why), "{line}: {errors}");
        assert_eq!(output, clean, "{line}");
    }
}

#[test]
fn does_not_answer_a_batch_without_its_end() {
    let (good, output, _) = answer(&start());
    assert_eq!((good, output.as_str()), (false, ""));
}

#[test]
fn names_an_event_outside_a_batch() {
    let (good, output, errors) = answer("{\"left\":{\"governor_id\":3,\"forwarder\":0}}\n");
    assert!(good && output.is_empty() && errors.contains("line 1: `left` outside a batch"));
}

#[test]
fn restarts_a_killed_governor_in_one_batch() {
    let again = start().lines().skip(1).map(|line| format!("{line}\n")).collect::<String>();
    let killed = format!("{}{{\"crash_now\":{{\"governor_id\":3}}}}\n{again}{{\"go\":{{}}}}\n", start());
    let (good, output, errors) = answer(&killed);
    assert!(good && errors.is_empty());
    assert_eq!(output, answer(&(start() + "{\"go\":{}}\n")).1);
}

#[test]
fn takes_the_newest_list_of_a_number() {
    let newer =
        "{\"define_list\":{\"list\":0,\"elements\":[{\"replica\":\"r2\",\"phase\":1,\"weight\":1}]}}\n";
    let update = "{\"directory_update\":{\"governor_id\":3,\"kind\":1,\"list\":0,\"version\":2}}\n";
    let (_, output, _) = answer(&format!("{}{newer}{update}{{\"go\":{{}}}}\n", start()));
    assert!(
        output.contains(r#""replica":"r2""#)
            && !output.contains(r#""assign":{"governor_id":3,"replica":"r1""#)
    );
}
