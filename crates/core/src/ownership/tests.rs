//! Tests of [`super`].

use super::*;
use proptest::prelude::*;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_dead_governors_proxies_spread_evenly_and_nobody_else_moves() {
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
fn claims_are_proven_by_any_live_key_and_by_nothing_else() {
    let (old, new) = (key("2026-a", 1), key("2026-b", 2));
    let signed = sign(&old, &claim());
    assert_eq!(prove(&[new.clone(), old], "relay é", &signed), Ok(claim()));
    assert_eq!(prove(&[new], "relay é", &signed), Err(ProofError::Key), "out of rotation");
    assert_eq!(prove(&[key("2026-a", 3)], "relay é", &signed), Err(ProofError::Signature));
    assert_eq!(prove(&[key("2026-a", 1)], "relay-2", &signed), Err(ProofError::NotItsOwn));
    assert_eq!(prove(&[key("2026-a", 1)], "relay é", "nothing"), Err(ProofError::Unclear));
    assert_eq!(format!("{:?}", key("a", 1)), "Key(a)");
    assert!(SigningKey::new("a.b", &[0; 32]).is_err() && SigningKey::new("a", &[0; 31]).is_err());
}

proptest! {
    #[test]
    fn a_changed_claim_is_never_proven(at in 0usize..200, byte in any::<u8>()) {
        let signed = sign(&key("a", 1), &claim());
        let mut changed = signed.clone().into_bytes();
        let place = at % changed.len();
        changed[place] = byte;
        if let Ok(changed) = String::from_utf8(changed) {
            let same = changed == signed || changed.eq_ignore_ascii_case(&signed);
            prop_assert_eq!(prove(&[key("a", 1)], "relay é", &changed).is_ok(), same);
        }
    }
}

#[test]
fn of_two_governors_that_believe_they_own_a_proxy_one_is_heeded() {
    let mut fence = FencingState::default();
    assert_eq!(fence.accept("g1", 1, 1), Err(FencingError::NotFollowed));
    fence.follow("g1");
    assert_eq!(fence.accept("g1", 5, 10), Ok(()));
    assert_eq!(fence.accept("g2", 9, 1), Err(FencingError::NotFollowed));
    fence.follow("g2");
    assert_eq!(fence.accept("g2", 9, 1), Ok(()));
    assert_eq!(fence.accept("g1", 5, 11), Err(FencingError::NotFollowed), "it stalled, and wakes");
    // It comes back after another has taken over, with its old orders or as an older life.
    fence.follow("g1");
    assert_eq!(fence.accept("g1", 4, 99), Err(FencingError::OlderLife));
    assert_eq!(fence.accept("g1", 5, 9), Err(FencingError::OlderVersion));
    assert_eq!(fence.accept("g1", 5, 10), Err(FencingError::OlderStream), "a copy of the stream before");
    assert_eq!((fence.accept("g1", 5, 11), fence.accept("g1", 5, 11)), (Ok(()), Ok(())), "in two pieces");
    assert_eq!(fence.accept("g1", 6, 1), Ok(()));
    (0..200).for_each(|n| {
        fence.follow(&format!("made up {n}"));
        assert_eq!(fence.accept(&format!("made up {n}"), 1, 1), Ok(()));
    });
    assert!(fence.newest.len() <= MOST_GOVERNORS);
}

#[test]
fn what_is_sealed_is_read_with_a_live_key_and_no_claim_is_taken_for_it() {
    let (old, new) = (key("a", 1), key("b", 2));
    let sealed = seal(&old, b"hello");
    assert_eq!(unseal(&[new.clone(), old.clone()], &sealed), Ok(&b"hello"[..]));
    assert_eq!(unseal(&[new], &sealed), Err(ProofError::Key));
    for place in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[place] ^= 1;
        assert!(unseal(std::slice::from_ref(&old), &changed).is_err(), "byte {place}");
        assert!(unseal(std::slice::from_ref(&old), &sealed[..place]).is_err());
    }
    let signed = sign(&old, &claim());
    let (said, mac) = signed.rsplit_once('.').unwrap();
    let mut forged = vec![1, b'a'];
    forged.extend_from_slice(blake3::Hash::from_hex(mac).unwrap().as_bytes());
    forged.extend_from_slice(said.as_bytes());
    assert_eq!(unseal(&[old], &forged), Err(ProofError::Signature));
}

#[test]
fn who_is_sent_on_stays_there_until_it_is_lost() {
    let names = ["g0", "g1", "g2"];
    let mut dialer = GovernorSelector::new("relay-1", &names, s(2), Duration::ZERO);
    let ranked = ranking("relay-1", &names);
    dialer.redirected(Some(ranked[2]));
    assert_eq!(dialer.current(), ranked[2]);
    assert!((10..20).all(|at| !dialer.home_checked(s(at), true)), "placed");
    dialer.connection_lost();
    assert_eq!(dialer.current(), dialer.home());
    dialer.redirected(None);
    assert_eq!(dialer.current(), ranked[1]);
    assert!(!dialer.home_checked(s(30), true) && dialer.home_checked(s(32), true));
    dialer.redirected(Some(9));
    assert_eq!(dialer.current(), ranked[1], "not on its list: whoever is next");
}

#[test]
fn a_fleet_comes_home_evenly_and_not_to_one_that_comes_and_goes() {
    let mut seconds = [0; 10];
    for n in 0..1000 {
        let mut homeward = Failback::new(&format!("relay-{n}"), s(5), s(10));
        homeward.asked(s(100), true);
        homeward.asked(s(103), false);
        assert_eq!(homeward.goes_at(), None);
        homeward.asked(s(104), true);
        homeward.asked(s(106), true);
        let at = homeward.goes_at().unwrap();
        assert!(at >= s(109) && !homeward.goes(s(108)) && homeward.goes(s(120)));
        seconds[(at - s(109)).as_secs().min(9) as usize] += 1;
    }
    assert!(seconds.iter().all(|count| (60..140).contains(count)), "{seconds:?}");
}

#[test]
fn a_proxy_goes_round_its_governors_and_home_once_home_is_steady() {
    let names = ["g0", "g1", "g2"];
    let mut dialer = GovernorSelector::new("relay-1", &names, s(2), Duration::ZERO);
    let ranked = ranking("relay-1", &names);
    assert_eq!((dialer.current(), dialer.is_home()), (ranked[0], true));
    dialer.connection_lost();
    dialer.connection_lost();
    assert_eq!(dialer.current(), ranked[2]);
    assert!(!dialer.home_checked(s(10), true) && !dialer.home_checked(s(11), false));
    assert!(!dialer.home_checked(s(12), true) && !dialer.home_checked(s(13), true));
    assert!(dialer.home_checked(s(14), true) && dialer.is_home());
    assert!(!dialer.home_checked(s(15), true), "it is there");
    (0..3).for_each(|_| dialer.connection_lost());
    assert_eq!(dialer.current(), dialer.home(), "all dead: round again");
    assert_eq!(GovernorSelector::new("p", &[], s(1), s(1)).current(), 0);
}
