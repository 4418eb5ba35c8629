//! A governor process that is paused for longer than its timeouts while its peers continue.

use std::time::Duration;

use serde_json::json;

use super::governor_process::{GovernorProcess, Peer};

/// Longer than the time a peer has to identify itself. It is real time, as the process uses the system's clock.
const PAUSE: Duration = Duration::from_millis(2400);
const PEERS: u16 = 8;

/// Connects a peer that the governor has accepted and that has sent this many bytes of its first message.
fn connect_partly_identified(governor: &GovernorProcess, message: &str, sent: usize) -> Peer {
    let mut peer = governor.connect();
    peer.write(format!("{}\n{}", json!({"@type": "PING"}), &message[..sent]).as_bytes()).unwrap();
    peer.wait_for(|message| message["@type"] == "PONG");
    peer
}

/// Guards against closing a stream before its first table: after the pause the identification timer has expired, and
/// bytes that arrived during the pause must be read before it is checked.
#[test]
fn bytes_that_arrived_during_a_pause_are_read_before_a_timeout() {
    let governor = GovernorProcess::start("standstill");
    let mut peers = Vec::new();
    for proxy in 0..PEERS {
        let subscribe =
            json!({"@type": "SUBSCRIBE", "node": proxy, "locality": "a", "w": 2.0, "cold": false});
        let message = format!("{subscribe}\n");
        let sent = if proxy % 2 == 0 { 0 } else { message.len() / 2 };
        peers.push((connect_partly_identified(&governor, &message, sent), message, sent));
    }
    governor.signal("-STOP");
    for (peer, message, sent) in &mut peers {
        peer.write(&message.as_bytes()[*sent..]).unwrap();
    }
    std::thread::sleep(PAUSE);
    governor.signal("-CONT");
    for (peer, ..) in &mut peers {
        peer.wait_for(|message| message["whole"] == true);
    }
}
