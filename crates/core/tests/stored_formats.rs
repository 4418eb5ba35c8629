//! Fixes the stored, signed and sent formats that earlier releases wrote: the golden files hold them, and are
//! read and written again here, byte for byte.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::too_many_lines,
    reason = "a test fails by panicking, and reads top-down"
)]

use std::time::Duration;

use wrenthread::types::RetryPolicy;
use wrenthread_core::failover::Failback;
use wrenthread_core::ownership::{self, OwnershipClaim, SigningKey};
use wrenthread_core::recording::Recording;
use wrenthread_core::snapshot::{self, StoredItem, StoredRetryPolicy};
use wrenthread_core::table_versions::{PublishedEntry, PublishedState, PublishedTable, hex, unhex};

/// The golden items have a distinct value in every field, a replica in every phase and an item with every
/// retry policy.
fn golden_items() -> Vec<(&'static str, Vec<u8>)> {
    include_str!("golden/snapshot_items.txt")
        .lines()
        .map(|line| line.split_once(' ').unwrap())
        .map(|(name, bytes)| (name, unhex(bytes).unwrap()))
        .collect()
}

fn signing_key() -> SigningKey {
    SigningKey::new("2026-a", &[7; 32]).unwrap()
}

#[test]
fn reads_and_writes_a_stored_recording_byte_for_byte() {
    let golden = include_str!("golden/recording.json");
    let recording: Recording = serde_json::from_str(golden).unwrap();
    assert_eq!(serde_json::to_string(&recording).unwrap(), golden);
}

#[test]
fn reads_and_writes_every_kind_of_stored_item_byte_for_byte() {
    let items = golden_items();
    assert_eq!(items.len(), 12);
    for (name, golden) in items {
        let item = snapshot::decode(&golden).unwrap_or_else(|| panic!("item `{name}` can't be decoded"));
        assert_eq!(hex(&snapshot::encode(&item)), hex(&golden), "{name}");
    }
}

#[test]
fn reads_stored_retry_policies_as_what_they_were() {
    let policies: Vec<(&str, RetryPolicy)> = golden_items()
        .into_iter()
        .filter_map(|(name, bytes)| match snapshot::decode(&bytes)? {
            StoredItem::Admission { retry_policy, .. } => Some((name, retry_policy.into())),
            StoredItem::FrozenTable(frozen) => Some((name, frozen.retry_policy.into())),
            _ => None,
        })
        .collect();
    let expected = [
        ("level-never", RetryPolicy::Never),
        ("level-if-not-executed", RetryPolicy::IfNotExecuted),
        ("level-on-any-failure", RetryPolicy::OnAnyFailure),
        ("hold-never", RetryPolicy::Never),
        ("hold-if-not-executed", RetryPolicy::IfNotExecuted),
        ("hold-on-any-failure", RetryPolicy::OnAnyFailure),
    ];
    assert_eq!(policies, expected);
    for (_, policy) in policies {
        assert_eq!(RetryPolicy::from(StoredRetryPolicy::from(policy)), policy);
    }
}

#[test]
fn signs_and_verifies_an_ownership_claim_byte_for_byte() {
    let golden = include_str!("golden/ownership_proof.txt").trim_end();
    let claim =
        OwnershipClaim { governor: "governor-a".into(), epoch: 7, version: 90_000, proxy: "proxy é".into() };
    assert_eq!(ownership::verify(&[signing_key()], "proxy é", golden), Ok(claim.clone()));
    assert_eq!(ownership::sign(&signing_key(), &claim), golden);
}

#[test]
fn seals_and_unseals_a_datagram_byte_for_byte() {
    let golden = unhex(include_str!("golden/sealed_datagram.txt").trim_end()).unwrap();
    let body = b"a body of a datagram";
    assert_eq!(ownership::unseal(&[signing_key()], &golden), Ok(&body[..]));
    assert_eq!(ownership::seal(&signing_key(), body), golden);
}

#[test]
fn ranks_governors_and_spreads_failback_as_other_releases_do() {
    let governors = ["g0", "g1", "g2", "g3", "g4"];
    let mut written = String::new();
    for line in include_str!("golden/failover.txt").lines() {
        let proxy = line.split(' ').next().unwrap();
        let ranking: Vec<String> =
            ownership::ranking(proxy, &governors).iter().map(usize::to_string).collect();
        let mut failback = Failback::new(proxy, Duration::from_secs(5), Duration::from_secs(60));
        failback.home_checked(Duration::from_secs(100), true);
        let at = failback.due_at().unwrap().as_nanos();
        written += &format!("{proxy} {} {at}\n", ranking.join(","));
    }
    assert_eq!(written, include_str!("golden/failover.txt"));
    assert_eq!(written.lines().count(), 8);
}

#[test]
fn digests_a_published_state_as_other_releases_do() {
    let table = |retry_policy, admission_millionths| {
        let entries = [("a", "10.0.0.1:80", 0, 7), ("b", "10.0.0.2:80", 1, 70_000)];
        let entry = |(replica, address, zone, weight): (&str, &str, usize, u32)| {
            (replica.into(), PublishedEntry { address: address.into(), zone, weight })
        };
        Some(PublishedTable {
            entries: entries.into_iter().map(entry).collect(),
            admission_millionths,
            retry_policy,
        })
    };
    let state = PublishedState {
        classes: vec![
            table(RetryPolicy::Never, 1_000_000),
            None,
            table(RetryPolicy::IfNotExecuted, 250_000),
            table(RetryPolicy::OnAnyFailure, 0),
        ],
    };
    assert_eq!(hex(&state.digest()), include_str!("golden/state_digest.txt").trim_end());
}
