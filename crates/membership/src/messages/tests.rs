use super::*;
use proptest::prelude::*;

fn update(name: &str) -> MemberUpdate {
    MemberUpdate {
        name: name.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: u64::MAX,
        state: MemberState::Suspect,
        load: GovernorLoad { version: 3, connected_proxies: 70_000, draining: true },
    }
}

fn offer_of(length: usize) -> MessageBody {
    let bytes = vec![7; length];
    MessageBody::Offer(OfferPart { offer_id: 1, proxy: "p".into(), part_index: 1, part_count: 2, bytes })
}

fn message() -> Message {
    let updates = vec![update("g2"), update("g3")];
    Message { from: update("g0"), to: "g1".into(), body: offer_of(300), updates }
}

fn key() -> SigningKey {
    SigningKey::new("k", &[1; 32]).unwrap()
}

#[test]
fn decodes_what_it_encoded_and_rejects_long_and_nameless_messages() {
    let key = key();
    let keys = [key.clone()];
    assert_eq!(decode(&keys, &encode(&key, &message())), Ok(message()));
    let long = Message { body: offer_of(1300), ..message() };
    assert_eq!(decode(&keys, &encode(&key, &long)), Err(DatagramError::TooLong));
    let mut nameless = message();
    nameless.updates[0].name.clear();
    assert_eq!(decode(&keys, &encode(&key, &nameless)), Err(DatagramError::Malformed));
    assert!(encoded_length(&message().updates[0]) < 40);
}

#[test]
fn state_names_are_those_that_status_pages_always_showed() {
    let states = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    assert_eq!(states.map(MemberState::name), ["alive", "suspect", "dead", "left"]);
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_no_harm(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let key = key();
        prop_assert!(decode(std::slice::from_ref(&key), &bytes).is_err());
        // A correctly sealed datagram may be malformed too.
        let _ = decode(std::slice::from_ref(&key), &seal(&key, &bytes));
    }
}
