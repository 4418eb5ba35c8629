//! Tests of [`super`].

use super::*;

fn join(name: &str) -> JoinRequest {
    JoinRequest {
        name: name.into(),
        zone: 0,
        requests_per_second: 1.0,
        default_table: vec![],
        holds_governor_tables: false,
        ownership_proof: None,
        proven_version: None,
    }
}

fn connect(fleet: &mut Fleet, now: u64, stream: StreamId, name: &str) -> Result<JoinOutcome, JoinError> {
    fleet.connect(Duration::from_secs(now), stream, &join(name), false, 1, (0, vec![]))
}

#[test]
fn keeps_the_id_of_a_name_and_reuses_it_only_after_the_timeout() {
    let mut fleet = Fleet::new(2);
    assert_eq!(connect(&mut fleet, 1, 1, "a").unwrap().proxy, 0);
    assert_eq!(connect(&mut fleet, 1, 2, "b").unwrap().proxy, 1);
    fleet.disconnect(Duration::from_secs(2), 1);
    assert!(matches!(connect(&mut fleet, 3, 3, "c"), Err(JoinError::Full { connected: 1, capacity: 2 })));
    assert_eq!(connect(&mut fleet, 4, 4, "a").unwrap().proxy, 0, "gets its former id back");
    fleet.disconnect(Duration::from_secs(5), 4);
    assert_eq!(connect(&mut fleet, 700, 5, "c").unwrap().proxy, 0);
    assert!(connect(&mut fleet, 701, 6, "a").is_err(), "its id was reassigned");
}

#[test]
fn assigns_no_id_beyond_those_that_can_have_tables() {
    let mut ids = ProxyIdAllocator::new(usize::MAX);
    let assigned = (0..70_000).map_while(|n| ids.assign(Duration::ZERO, &format!("p{n}").into()));
    assert_eq!(assigned.map(|(id, _)| id).last(), Some(32_765));
}

#[test]
fn newest_stream_of_a_name_counts_and_closing_the_old_one_does_not_disconnect() {
    let mut fleet = Fleet::new(9);
    connect(&mut fleet, 1, 1, "a").unwrap();
    assert_eq!(connect(&mut fleet, 2, 2, "a").unwrap().replaced_stream, Some(1));
    assert_eq!(fleet.disconnect(Duration::from_secs(3), 1), None);
    assert_eq!(fleet.len(), 1);
    assert_eq!(fleet.disconnect(Duration::from_secs(3), 2), Some(0));
}

#[test]
fn rejects_a_second_proxy_of_a_contested_name() {
    let mut fleet = Fleet::new(9);
    for stream in 0..5 {
        connect(&mut fleet, 1, stream, "a").unwrap();
    }
    assert!(matches!(connect(&mut fleet, 2, 9, "a"), Err(JoinError::Contested { replacements: 4, .. })));
    assert_eq!(fleet.id_on_stream(4), Some(0), "the connected proxy stays connected");
    assert!(connect(&mut fleet, 12, 10, "a").is_ok());
}

#[test]
fn acknowledgement_answers_all_requests_up_to_its_version() {
    let mut fleet = Fleet::new(9);
    connect(&mut fleet, 1, 1, "a").unwrap();
    let proxy = fleet.get_mut(0).unwrap();
    let request = |version: u64| AcknowledgementRequest {
        version,
        number: version as u16 + 100,
        at: Duration::from_secs(version),
    };
    (3..6).for_each(|version| proxy.request_acknowledgement(request(version)));
    assert_eq!(fleet.acknowledge(1, 4), [request(3), request(4)]);
    assert_eq!(fleet.acknowledge(1, 2), []);
    assert_eq!(fleet.get(0).unwrap().acknowledged_version, 4);
    assert_eq!(fleet.acknowledge(7, 5), [], "no such stream");
}
