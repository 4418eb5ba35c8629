//! Tests of [`super`].

use proptest::prelude::*;

use super::*;

#[test]
fn ranking_spreads_a_dead_governors_proxies_evenly_and_moves_nobody_else() {
    let (all, left) = (["g0", "g1", "g2", "g3"], ["g0", "g1", "g3"]);
    let mut homes = [0; 4];
    let mut taken = [0; 3];
    for n in 0..4000 {
        let proxy = format!("relay-{n}");
        let home = ranking(&proxy, &all)[0];
        let now = ranking(&proxy, &left)[0];
        homes[home] += 1;
        match home {
            2 => taken[now] += 1,
            _ => assert_eq!(all[home], left[now]),
        }
    }
    assert!(homes.iter().all(|count| (900..1100).contains(count)), "{homes:?}");
    assert!(taken.iter().all(|count| (280..390).contains(count)), "{taken:?}");
}

fn key(id: &str, byte: u8) -> SigningKey {
    SigningKey::new(id, &[byte; 32]).unwrap()
}

fn claim() -> OwnershipClaim {
    OwnershipClaim { governor: "g.1".into(), epoch: 7, version: 99, proxy: "relay é".into() }
}

#[test]
fn verifies_claims_with_any_live_key_and_nothing_else() {
    let (old, new) = (key("2026-a", 1), key("2026-b", 2));
    let signed = sign(&old, &claim());
    assert_eq!(verify(&[new.clone(), old], "relay é", &signed), Ok(claim()));
    assert_eq!(verify(&[new], "relay é", &signed), Err(ProofError::UnknownKey), "the key was rotated out");
    assert_eq!(verify(&[key("2026-a", 3)], "relay é", &signed), Err(ProofError::InvalidSignature));
    assert_eq!(verify(&[key("2026-a", 1)], "relay-2", &signed), Err(ProofError::OtherProxy));
    assert_eq!(verify(&[key("2026-a", 1)], "relay é", "nothing"), Err(ProofError::Malformed));
    assert_eq!(format!("{:?}", key("a", 1)), "Key(a)");
    assert!(SigningKey::new("a.b", &[0; 32]).is_err() && SigningKey::new("a", &[0; 31]).is_err());
}

proptest! {
    #[test]
    fn rejects_a_changed_proof(at in 0usize..200, byte in any::<u8>()) {
        let signed = sign(&key("a", 1), &claim());
        let mut changed = signed.clone().into_bytes();
        let position = at % changed.len();
        changed[position] = byte;
        if let Ok(changed) = String::from_utf8(changed) {
            let same = changed == signed || changed.eq_ignore_ascii_case(&signed);
            prop_assert_eq!(verify(&[key("a", 1)], "relay é", &changed).is_ok(), same);
        }
    }
}

#[test]
fn unseals_with_a_live_key_and_rejects_a_proof_as_a_datagram() {
    let (old, new) = (key("a", 1), key("b", 2));
    let sealed = seal(&old, b"hello");
    assert_eq!(unseal(&[new.clone(), old.clone()], &sealed), Ok(&b"hello"[..]));
    assert_eq!(unseal(&[new], &sealed), Err(ProofError::UnknownKey));
    for position in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[position] ^= 1;
        assert!(unseal(std::slice::from_ref(&old), &changed).is_err(), "byte {position}");
        assert!(unseal(std::slice::from_ref(&old), &sealed[..position]).is_err());
    }
    let signed = sign(&old, &claim());
    let (text, mac) = signed.rsplit_once('.').unwrap();
    let mut forged = vec![1, b'a'];
    forged.extend_from_slice(blake3::Hash::from_hex(mac).unwrap().as_bytes());
    forged.extend_from_slice(text.as_bytes());
    assert_eq!(unseal(&[old], &forged), Err(ProofError::InvalidSignature));
}
