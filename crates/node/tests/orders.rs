//! Histories of what may happen to a governor on the platform, in any order, against a model that reads only
//! what went in and what came out (`orders/world.rs`).

#[path = "orders/world.rs"]
mod world;

use std::time::Duration;

use proptest::prelude::*;
use world::{Object, Step, World};

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let object = prop_oneof![
        6 => Just(Object::Sound),
        1 => Just(Object::Whole),
        1 => Just(Object::Behind),
        1 => Just(Object::Spoilt),
        1 => Just(Object::Garbage),
    ];
    let step = prop_oneof![
        3 => (0u16..5, any::<bool>(), proptest::option::of(0usize..8))
            .prop_map(|(proxy, fresh, shut)| Step::Join { proxy, fresh, shut }),
        1 => (0u16..5).prop_map(Step::Accept),
        1 => (0usize..4).prop_map(Step::JoinAccepted),
        1 => (0usize..32).prop_map(Step::End),
        3 => ((0usize..32), 0u8..4).prop_map(|(of, how)| Step::Ack(of, how)),
        3 => ((0usize..32), 0u64..20, 0usize..200)
            .prop_map(|(of, flows, cut)| Step::Rate(of, flows, cut)),
        2 => (0usize..8, 0u64..20, any::<bool>()).prop_map(|(at, tries, drop)| Step::Met(at, tries, drop)),
        2 => (0usize..8).prop_map(Step::Drain),
        1 => (0usize..8).prop_map(Step::Remove),
        2 => any::<bool>().prop_map(Step::Add),
        5 => (0usize..3, object).prop_map(|(back, object)| Step::Tell(back, object)),
        1 => Just(Step::Move),
        1 => (0u64..10).prop_map(Step::Restart),
        1 => (100u64..6000).prop_map(Step::Stall),
        6 => (50u64..2500).prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..80)
}

fn play(steps: &[Step]) -> Result<(), String> {
    let mut world = World::new();
    for (at, step) in steps.iter().enumerate() {
        world.take(step).map_err(|why| format!("step {at}, {step:?}: {why}"))?;
    }
    // In the end all is told, and everybody is served as it should be.
    world.settle().map_err(|why| format!("in the end: {why}"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]
    #[test]
    fn any_order_keeps_the_rules(steps in steps()) {
        play(&steps).map_err(TestCaseError::fail)?;
    }
}

fn kept(steps: &[Step]) {
    play(steps).unwrap();
}

const JOIN: Step = Step::Join { proxy: 1, fresh: false, shut: None };

#[test]
fn a_drain_for_a_replica_that_was_never_listed_changes_nothing() {
    // It is added and drained before anything of it is told: one object tells of the drain alone.
    kept(&[
        JOIN,
        Step::Pass(500),
        Step::Add(false),
        Step::Drain(7),
        Step::Tell(0, Object::Sound),
        Step::Pass(2500),
    ]);
}

#[test]
fn an_answer_from_the_replaced_stream_counts_for_nobody() {
    let mut world = World::new();
    for step in [JOIN, Step::Pass(500), JOIN, Step::Pass(500)] {
        world.take(&step).unwrap();
    }
    assert!(world.answer(0, 0), "the older stream was owed something");
    world.take(&Step::Pass(500)).unwrap();
    assert_eq!(world.faults("late: said on a stream"), 1);
}

#[test]
fn a_governor_that_stood_still_ends_no_stream_for_silence() {
    let mut world = World::new();
    for step in
        [JOIN, Step::Join { proxy: 2, fresh: false, shut: None }, Step::Pass(500), Step::Stall(60_000)]
    {
        world.take(&step).unwrap();
    }
    assert_eq!(world.live(), 2);
}

#[test]
fn names_are_forgotten_as_years_of_deploys_go_by() {
    let mut world = World::new();
    world.take(&JOIN).unwrap();
    for round in 0..400 {
        let drained = 4 + round - usize::from(round > 0);
        let steps = [
            Step::Add(true),
            Step::Tell(0, Object::Sound),
            Step::Remove(drained),
            Step::Tell(0, Object::Sound),
        ];
        for step in steps.into_iter().chain([Step::Rate(0, 3, 0), Step::Pass(2000)]) {
            world.take(&step).unwrap();
        }
    }
    assert!(world.names() < 150, "{}", world.names());
    assert!(world.now() > Duration::from_secs(700));
}
