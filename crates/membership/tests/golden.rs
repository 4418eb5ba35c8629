//! Compatibility with stored datagrams of the release at commit b735929. Governors of different versions exchange
//! datagrams, so the encoding must stay the same byte for byte.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use wrenthread_core::ownership::SigningKey;
use wrenthread_membership::messages::{
    GovernorLoad, MemberState, MemberUpdate, Message, MessageBody, OfferPart, decode, encode,
};

const DATAGRAMS: &str = include_str!("golden/datagrams-b735929.hex");

fn key() -> SigningKey {
    SigningKey::new("golden", &[42; 32]).unwrap()
}

fn bytes_from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

fn update(
    name: &str,
    address: &str,
    incarnation: u64,
    state: MemberState,
    load: GovernorLoad,
) -> MemberUpdate {
    MemberUpdate { name: name.into(), address: address.parse().unwrap(), incarnation, state, load }
}

fn load(version: u64, connected_proxies: u32, draining: bool) -> GovernorLoad {
    GovernorLoad { version, connected_proxies, draining }
}

fn message(body: MessageBody) -> Message {
    Message {
        from: update(
            "governor-0",
            "192.168.1.2:9000",
            1_700_000_000_065_543,
            MemberState::Alive,
            load(5, 61, false),
        ),
        to: "governor-1".into(),
        body,
        updates: vec![
            update("g1", "127.0.0.1:7001", 1, MemberState::Alive, load(2, 3, false)),
            update("g2", "10.20.30.40:65535", 300, MemberState::Suspect, load(70_000, 4_000_000_000, true)),
            update("g3", "[2001:db8::5]:80", u64::MAX, MemberState::Dead, load(u64::MAX, 0, false)),
            update("g4", "[::1]:1", 1_700_000_000_000_000, MemberState::Left, load(0, 129, true)),
        ],
    }
}

fn body(kind: &str) -> MessageBody {
    match kind {
        "ping" => MessageBody::Ping { sequence: 7 },
        "ping_for" => MessageBody::PingRequest { sequence: 1000, target: "g2".into() },
        "ack" => MessageBody::Ack { sequence: u64::MAX, governor: "governor-0".into() },
        "offer" => MessageBody::Offer(OfferPart {
            offer_id: 65_543,
            proxy: "relay-1".into(),
            part_index: 1,
            part_count: 300,
            bytes: vec![0, 127, 128, 255],
        }),
        "accept" => MessageBody::Accept { offer_id: 65_544, proxy: "relay-2".into() },
        "decline" => MessageBody::Decline { offer_id: 65_545, proxy: "relay-ü".into() },
        other => panic!("no message kind `{other}`"),
    }
}

#[test]
fn reads_and_writes_each_datagram_of_the_earlier_release_byte_for_byte() {
    let mut kinds = Vec::new();
    for line in DATAGRAMS.lines() {
        let (kind, hex) = line.split_once(' ').unwrap();
        let datagram = bytes_from_hex(hex);
        let expected = message(body(kind));
        assert_eq!(decode(&[key()], &datagram), Ok(expected.clone()), "{kind}");
        assert_eq!(encode(&key(), &expected), datagram, "{kind}");
        kinds.push(kind);
    }
    assert_eq!(kinds, ["ping", "ping_for", "ack", "offer", "accept", "decline"]);
}
