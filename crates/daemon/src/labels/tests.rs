//! The labels are fixed as those of commit b735929, whatever the variants are called.

use wrenthread_membership::messages::MemberState;

use super::*;

#[test]
fn labels_of_refusal_reasons_are_stable() {
    let labels = [
        (RefusalReason::NoRoute, "Bare"),
        (RefusalReason::AllEntriesClosed, "Draining"),
        (RefusalReason::NoRouteInZone, "ZoneBare"),
        (RefusalReason::OutOfZone, "OutOfZone"),
        (RefusalReason::InvalidWeight, "Weight"),
        (RefusalReason::WeightRatio, "Wire"),
        (RefusalReason::InvalidAdmissionFraction, "Level"),
        (RefusalReason::UnsafeRetryPolicy, "Tries"),
        (RefusalReason::TooManyDecisions, "Flood"),
        (RefusalReason::TooManyEjections, "Withdrawn"),
        (RefusalReason::ColdOverload, "Cold"),
        (RefusalReason::WarmOverload, "Over"),
        (RefusalReason::ShiftTooLarge, "Sweep"),
        (RefusalReason::TooManyEntries, "Lines"),
    ];
    for (reason, label) in labels {
        assert_eq!(refusal_reason(reason), label);
    }
}

#[test]
fn labels_of_refusal_outcomes_are_stable() {
    let labels = [
        (RefusalOutcome::Corrected, "corrected"),
        (RefusalOutcome::Kept, "kept"),
        (RefusalOutcome::LastResort, "lastresort"),
        (RefusalOutcome::LetThrough, "letthrough"),
    ];
    for (outcome, label) in labels {
        assert_eq!(refusal_outcome(outcome), label);
    }
}

#[test]
fn labels_of_member_states_are_stable() {
    let labels = [
        (MemberState::Alive, "alive"),
        (MemberState::Suspect, "suspect"),
        (MemberState::Dead, "dead"),
        (MemberState::Left, "left"),
    ];
    for (state, label) in labels {
        assert_eq!(state.name(), label);
    }
}

#[test]
fn labels_of_replica_phases_are_stable() {
    let labels = [
        (RecordedPhase::Ready, "ready"),
        (RecordedPhase::Draining, "draining"),
        (RecordedPhase::Gone, "gone"),
    ];
    for (phase, label) in labels {
        assert_eq!(replica_phase(phase), label);
    }
}
