//! A governor that is stopped for longer than its timeouts while its peers go on.

use std::time::Duration;

use serde_json::json;

use super::governor_process::{GovernorProcess, Peer};

/// Longer than a peer has to identify itself. The program goes by the system's clock: no test can move that.
const STANDSTILL: Duration = Duration::from_millis(2400);
const PEERS: u16 = 8;

/// A peer that the governor reads, and that has sent this many bytes of its first message.
fn begin(governor: &GovernorProcess, message: &str, sent: usize) -> Peer {
    let mut peer = governor.connect();
    peer.write(format!("{}\n{}", json!({"@type": "PING"}), &message[..sent]).as_bytes()).unwrap();
    peer.wait_for(|message| message["@type"] == "PONG");
    peer
}

/// Guards against a stream that ends before its first table: the timer ran out while the governor stood still, and what
/// had come meanwhile was not read.
#[test]
fn what_came_while_the_governor_stood_still_counts_before_a_timeout() {
    let governor = GovernorProcess::start("standstill");
    let mut peers = Vec::new();
    for proxy in 0..PEERS {
        let subscribe =
            json!({"@type": "SUBSCRIBE", "node": proxy, "locality": "a", "w": 2.0, "cold": false});
        let message = format!("{subscribe}\n");
        let sent = if proxy % 2 == 0 { 0 } else { message.len() / 2 };
        peers.push((begin(&governor, &message, sent), message, sent));
    }
    governor.signal("-STOP");
    for (peer, message, sent) in &mut peers {
        peer.write(&message.as_bytes()[*sent..]).unwrap();
    }
    std::thread::sleep(STANDSTILL);
    governor.signal("-CONT");
    for (peer, ..) in &mut peers {
        peer.wait_for(|message| message["whole"] == true);
    }
}
