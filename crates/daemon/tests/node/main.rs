//! Tests of `wrenthread node` as a process, with a discovery agent, proxies and unidentified peers on loopback.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

#[path = "../common/mod.rs"]
mod common;
mod discovery_agent;
mod governor_process;
mod outages;
mod standstill;

use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use discovery_agent::{Events, event, start_discovery};
use governor_process::{GovernorProcess, Peer, config};

fn replica_names(message: &Value, field: &str) -> Vec<String> {
    let name = |row: &Value| row.as_str().or(row[0].as_str()).unwrap_or_default().to_string();
    message[field].as_array().map(|rows| rows.iter().map(name).collect()).unwrap_or_default()
}

#[test]
fn serves_a_proxy_until_the_governor_stops() {
    let mut governor = GovernorProcess::start("path");
    let mut collector = governor.connect();
    collector.send(&json!({"@type": "SOURCE", "locality": "a"}));
    let mut proxy = governor.connect_proxy(17);
    let whole = proxy.wait_for(|message| message["whole"] == true);
    assert_eq!(replica_names(&whole, "lines"), ["r1", "r2", "r3", "r4"]);
    assert_eq!(
        replica_names(&whole, "back"),
        ["r1", "r2", "r3", "r4"],
        "ejections by other governors are lifted"
    );
    // A report in fragments, followed by an invalid one.
    let load =
        json!({"@type": "LOAD", "locality": "a", "endpoint": "r1", "total": 9, "errors": 1, "rtt": 41.5,
        "interval": 500.0})
        .to_string()
            + "\n{\"@type\":\"LOAD\",\"locality\":\"z\"}\n";
    for piece in load.as_bytes().chunks(11) {
        collector.write(piece).unwrap();
        std::thread::sleep(Duration::from_millis(2));
    }
    proxy.send(
        &json!({"@type": "RATE", "node": 17, "route": "find", "total": 9, "errors": 0, "interval": 500.0}),
    );
    governor.events.lock().unwrap().push(event(2, false, &[("r2", "draining")]));
    let drained = proxy.wait_for(|message| replica_names(message, "lines").contains(&"r2".into()));
    assert!(drained["lines"].as_array().unwrap().contains(&json!(["r2", 0.0])), "{drained}");
    let last =
        if drained["more"] == true { proxy.wait_for(|message| message["more"] != true) } else { drained };
    proxy.send(&json!({"@type": "ACK", "node": 17, "nonce": last["ticket"], "latency": 3.5}));
    proxy.send(&json!({"@type": "PING"}));
    assert_eq!(proxy.wait_for(|message| message["@type"] == "PONG")["@type"], "PONG");
    // A newer stream of the same proxy stays connected when the older one ends.
    let mut newer = governor.connect_proxy(17);
    let whole = newer.wait_for(|message| message["whole"] == true);
    assert_eq!(replica_names(&whole, "lines"), ["r1", "r3", "r4"]);
    assert!(proxy.is_rejected_or_closed_within(Duration::from_secs(5)));
    // A drain whose event is invalid is learned from the snapshot.
    let whole = event(3, true, &[("r1", "up"), ("r3", "draining"), ("r4", "up")]);
    governor.events.lock().unwrap().extend([event(3, false, &[("r3", "drained")]), whole]);
    newer.wait_for(|message| replica_names(message, "lines").contains(&"r3".into()));
    governor.signal("-TERM");
    assert_eq!(governor.child.wait().unwrap().code(), Some(0));
}

#[test]
fn unidentified_peers_are_disconnected_and_do_not_block_a_proxy() {
    let governor = GovernorProcess::start("unidentified");
    let mut silent_peers: Vec<Peer> = (0..300).map(|_| governor.connect()).collect();
    let mut proxy = governor.connect_proxy(3);
    proxy.wait_for(|message| message["whole"] == true);
    let invalid_inputs: [&[u8]; 8] = [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"{\"@type\":\"SUBSCRIBE\",\"node\":1,",
        b"\xff\xff\xff\xff\x00\x01",
        b"{\"@type\":\"SUBSCRIBE\",\"node\":20,\"locality\":\"a\",\"w\":1,\"cold\":true}\n",
        b"{\"@type\":\"SOURCE\",\"locality\":\"z\"}\n",
        b"{\"@type\":\"RATE\",\"node\":3,\"route\":\"find\",\"total\":1,\"errors\":0,\"interval\":500}\n",
        b"{\"@type\":\"CONFIG\",\"lines\":[]}\n",
        b"{\"@type\":\"PING\"}\n",
    ];
    for bytes in invalid_inputs {
        let mut peer = governor.connect();
        let _ = peer.write(bytes);
        assert!(
            peer.is_rejected_or_closed_within(Duration::from_secs(3)),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    let mut endless_peer = governor.connect();
    let began = Instant::now();
    while endless_peer.write(&[b'{'; 512]).is_ok() {
        assert!(began.elapsed() < Duration::from_secs(3), "the governor accepts an endless first message");
        std::thread::sleep(Duration::from_millis(5));
    }
    for peer in &mut silent_peers {
        assert!(peer.is_rejected_or_closed_within(Duration::from_secs(3)));
    }
    proxy.send(&json!({"@type": "PING"}));
    proxy.wait_for(|message| message["@type"] == "PONG");
}

#[test]
fn a_reload_moves_discovery_and_an_invalid_file_changes_nothing() {
    let governor = GovernorProcess::start("reload");
    let mut proxy = governor.connect_proxy(3);
    proxy.wait_for(|message| message["whole"] == true);
    let path = governor.folder.join("config.json");
    std::fs::write(&path, "{\"discovery\": \"127.0").unwrap();
    governor.signal("-HUP");
    std::thread::sleep(Duration::from_millis(200));
    proxy.send(&json!({"@type": "PING"}));
    proxy.wait_for(|message| message["@type"] == "PONG");
    // The governor reads the file again without another signal.
    let moved = Events::default();
    moved.lock().unwrap().push(event(2, false, &[("r4", "removed")]));
    std::fs::write(&path, config(start_discovery(moved)).to_string()).unwrap();
    let message = proxy.wait_for(|message| replica_names(message, "lines").contains(&"r4".into()));
    assert!(message["lines"].as_array().unwrap().contains(&json!(["r4", 0.0])), "{message}");
}

#[test]
fn errors_name_missing_and_invalid_variables_at_startup() {
    let start = |variables: &[(&str, &str)]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wrenthread"));
        command.arg("node").envs(variables.iter().copied());
        let output = command.output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
    };
    let mut variables = vec![("RELAY_NAME", "n0")];
    for (name, invalid, valid) in [
        ("RELAY_LISTEN", "here", "127.0.0.1:0"),
        ("RELAY_DISCOVERY", "127.0.0.1", "127.0.0.1:1"),
        ("RELAY_CONFIG", "/nowhere/at/all", ""),
    ] {
        let (code, message) = start(&variables);
        assert!(code == Some(2) && message.contains(name), "{message}");
        let (code, message) = start(&[variables.as_slice(), &[(name, invalid)]].concat());
        assert!(code == Some(2) && (message.contains(name) || message.contains(invalid)), "{message}");
        variables.push((name, valid));
    }
}

/// Guards against a valid configuration with which the governor ends when its first proxy joins.
#[test]
fn serves_and_drains_where_the_platform_allows_one_two_or_three_messages() {
    for messages in 1..=3 {
        let mut governor = GovernorProcess::start_with(&format!("limit-{messages}"), |config| {
            let extra = &mut config["settings"]["extra"];
            (extra["update_cap"], extra["messages_over_us"]) = (json!(messages), json!(1_000_000));
        });
        let mut proxies = [governor.connect_proxy(3), governor.connect_proxy(4)];
        for proxy in &mut proxies {
            proxy.wait_for(|message| message["whole"] == true);
        }
        governor.events.lock().unwrap().push(event(2, false, &[("r2", "draining")]));
        for proxy in &mut proxies {
            proxy.wait_for(|message| {
                replica_names(message, "out").contains(&"r2".into())
                    || message["lines"].as_array().is_some_and(|lines| lines.contains(&json!(["r2", 0.0])))
            });
        }
        governor.signal("-TERM");
        assert_eq!(governor.child.wait().unwrap().code(), Some(0), "{}", governor.log());
    }
}

#[test]
fn stops_with_connections_open_and_restarts_at_its_address() {
    let mut governor = GovernorProcess::start("again");
    for (signal, code) in [("-TERM", Some(0)), ("-KILL", None)] {
        let mut reading = governor.connect_proxy(17);
        reading.wait_for(|message| message["whole"] == true);
        // Connections that are open when the governor stops: a proxy that reads nothing, a peer that has sent half of
        // its first message, and a peer that sends nothing.
        let _reads_nothing = governor.connect_proxy(3);
        let mut half_identified = governor.connect();
        half_identified.write(b"{\"@type\":\"SUBSCRIBE\",").unwrap();
        let _sends_nothing = governor.connect();
        governor.signal(signal);
        assert_eq!(governor.child.wait().unwrap().code(), code);
        assert!(reading.is_rejected_or_closed_within(Duration::from_secs(5)));
        governor.events.lock().unwrap().push(event(9, false, &[("r2", "draining")]));
        governor.restart();
    }
    // The governor starts with its old list, and learns of the drain that happened since.
    let mut proxy = governor.connect_proxy(17);
    let message = proxy.wait_for(|message| message["whole"] == true);
    if replica_names(&message, "lines").contains(&"r2".into()) {
        proxy.wait_for(|message| {
            message["lines"].as_array().is_some_and(|lines| lines.contains(&json!(["r2", 0.0])))
        });
    }
}
