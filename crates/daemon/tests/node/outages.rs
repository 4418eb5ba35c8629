//! Missing inputs: a configuration that is still being read when signals arrive, no endpoint list, no discovery.

use std::net::TcpListener;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::common::{make_pipe, until_signals_are_handled, write_pipe};
use super::discovery_agent::{Events, event, start_discovery};
use super::governor_process::{GovernorProcess, Peer, config, spawn_governor};
use super::replica_names;

const REPLICAS: [(&str, &str); 4] = [("r1", "up"), ("r2", "up"), ("r3", "up"), ("r4", "up")];
/// Longer than a watch may be silent: the governor has given it up once by then.
const LONGER_THAN_WATCH_TIMEOUT: Duration = Duration::from_millis(3200);

/// Reads until a message removes a replica from the table.
fn wait_for_removal(proxy: &mut Peer, name: &str) {
    proxy.wait_for(|message| {
        replica_names(message, "out").contains(&name.to_string())
            || message["lines"].as_array().is_some_and(|lines| lines.contains(&json!([name, 0.0])))
    });
}

fn reload(governor: &GovernorProcess, config: &Value) {
    std::fs::write(governor.folder.join("config.json"), config.to_string()).unwrap();
    governor.signal("-HUP");
}

#[test]
fn signals_during_startup_wait_until_the_configuration_is_read() {
    let mut governor = GovernorProcess::start("early");
    let path = governor.folder.join("config.json");
    let text = std::fs::read_to_string(&path).unwrap();
    governor.child.kill().unwrap();
    governor.child.wait().unwrap();
    for signals in [&["-TERM"][..], &["-HUP", "-TERM"], &["-HUP", "-HUP", "-TERM", "-TERM"]] {
        make_pipe(&path);
        let discovery = start_discovery(governor.events.clone());
        governor.child = spawn_governor(Path::new(&governor.folder), "127.0.0.1:0", discovery);
        until_signals_are_handled(&mut governor.child);
        signals.iter().for_each(|signal| governor.signal(signal));
        assert!(governor.child.try_wait().unwrap().is_none(), "{signals:?}: {}", governor.log());
        write_pipe(&path, &text);
        assert_eq!(governor.child.wait().unwrap().code(), Some(0), "{signals:?}: {}", governor.log());
    }
}

/// Without an endpoint list no table can be published; an empty complete table would remove the replicas that a proxy
/// uses.
#[test]
fn a_governor_without_an_endpoint_list_is_ready_and_publishes_no_table_until_it_has_one() {
    let refused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let governor = GovernorProcess::start_with("no-list", |config| {
        config["discovery"] = json!(refused.to_string());
        config["known"] = Value::Null;
    });
    let mut proxy = governor.connect_proxy(3);
    proxy.send(&json!({"@type": "PING"}));
    let pong = proxy.wait_for(|message| message["@type"] == "PONG" || message.get("lines").is_some());
    assert_eq!(pong["@type"], "PONG", "the first message is not a table");
    let events = Events::default();
    events.lock().unwrap().push(event(2, true, &REPLICAS));
    let mut found = config(start_discovery(events));
    found["known"] = Value::Null;
    reload(&governor, &found);
    let first = proxy.wait_for(|message| message.get("lines").is_some() || message.get("whole").is_some());
    assert_eq!(replica_names(&first, "lines"), ["r1", "r2", "r3", "r4"], "{first}");
}

/// Checks that a governor serves its initial list while discovery is unavailable, and follows discovery to a new
/// address.
fn check_serves_and_follows_discovery(name: &str, unavailable: &str, outage: Duration) {
    let mut governor = GovernorProcess::start_with(name, |config| config["discovery"] = json!(unavailable));
    let mut proxy = governor.connect_proxy(3);
    let whole = proxy.wait_for(|message| message["whole"] == true);
    assert_eq!(replica_names(&whole, "lines"), ["r1", "r2", "r3", "r4"]);
    let until = Instant::now() + outage;
    while Instant::now() < until {
        proxy.send(&json!({"@type": "PING"}));
        proxy.wait_for(|message| message["@type"] == "PONG");
        std::thread::sleep(Duration::from_millis(50));
    }
    let moved = Events::default();
    moved.lock().unwrap().push(event(2, false, &[("r4", "draining")]));
    reload(&governor, &config(start_discovery(moved)));
    wait_for_removal(&mut proxy, "r4");
    governor.signal("-TERM");
    assert_eq!(governor.child.wait().unwrap().code(), Some(0), "{}", governor.log());
}

#[test]
fn serves_while_discovery_refuses_connections_and_follows_it_to_a_new_address() {
    let refused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    check_serves_and_follows_discovery("refused", &refused.to_string(), Duration::from_millis(600));
}

#[test]
fn serves_while_discovery_is_silent_and_follows_it_to_a_new_address() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    check_serves_and_follows_discovery(
        "silent",
        &silent.local_addr().unwrap().to_string(),
        LONGER_THAN_WATCH_TIMEOUT,
    );
}

/// The listener's backlog is full, so connections to it are never established.
#[test]
fn serves_while_discovery_is_unreachable_and_follows_it_to_a_new_address() {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _fills_the_backlog = std::net::TcpStream::connect(address).unwrap();
    check_serves_and_follows_discovery("unreachable", &address.to_string(), Duration::from_millis(1500));
}
