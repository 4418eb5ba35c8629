use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn actions(of: &mut Migrations, now: Duration) -> Vec<MigrationAction> {
    std::iter::from_fn(|| of.next_action(now)).collect()
}

/// Delivers the messages of one side to the other, if `delivers` returns true for the index of the message.
fn deliver(
    sent: Vec<MigrationAction>,
    to: &mut Migrations,
    now: Duration,
    answer: OfferAnswer,
    delivers: impl Fn(usize) -> bool,
) {
    for (index, action) in sent.into_iter().enumerate() {
        let MigrationAction::Send { body, .. } = action else { continue };
        if !delivers(index) {
            continue;
        }
        match body {
            MessageBody::Offer(part) => {
                to.handle_offer(now, "g0", &part, |_| answer == OfferAnswer::Accepted);
            }
            MessageBody::Accept { offer_id, proxy } => {
                to.handle_answer(now, "g1", offer_id, &proxy, OfferAnswer::Accepted);
            }
            MessageBody::Decline { offer_id, proxy } => {
                to.handle_answer(now, "g1", offer_id, &proxy, OfferAnswer::Declined);
            }
            _ => {}
        }
    }
}

fn part(offer_id: u64, proxy: &str, part_index: u16, part_count: u16, bytes: &[u8]) -> OfferPart {
    OfferPart { offer_id, proxy: proxy.into(), part_index, part_count, bytes: bytes.to_vec() }
}

const ACCEPTED: OfferAnswer = OfferAnswer::Accepted;
const DECLINED: OfferAnswer = OfferAnswer::Declined;

#[test]
fn state_is_transferred_in_parts_despite_loss_and_duplication() {
    let (mut sender, mut receiver) = (Migrations::new(7), Migrations::new(0));
    let bytes: Vec<u8> = (0..5000u32).map(|n| n as u8).collect();
    sender.offer(ms(0), "p", "g1", bytes.clone());
    assert!(sender.is_unavailable(ms(0), "p") && sender.outgoing_to("g1") == 1);
    let first = actions(&mut sender, ms(0));
    assert_eq!(first.len(), 6);
    deliver(first, &mut receiver, ms(1), ACCEPTED, |index| index != 2);
    assert_eq!(actions(&mut receiver, ms(1)), [], "an incomplete offer was answered");
    assert_eq!(sender.next_deadline(), Some(ms(400)));
    let resent = actions(&mut sender, ms(400));
    deliver(resent.clone(), &mut receiver, ms(401), ACCEPTED, |index| index >= 2);
    deliver(resent, &mut receiver, ms(402), DECLINED, |_| true);
    let answers = actions(&mut receiver, ms(402));
    let answered_again = answers.len() > 1 && receiver.expected_proxies() == 1;
    assert!(answered_again, "duplicates must be answered like the original");
    deliver(answers, &mut sender, ms(403), ACCEPTED, |_| true);
    let moved = MigrationAction::MoveProxy { proxy: "p".into(), to: "g1".into() };
    assert_eq!(actions(&mut sender, ms(403)), [moved], "the proxy must be moved once");
    assert!(sender.is_unavailable(ms(404), "p") && !sender.is_unavailable(ms(4000), "p"));
    let state = receiver.proxy_connected(ms(500), "p").unwrap();
    assert_eq!((state.bytes, state.age, state.from.as_str()), (bytes, ms(499), "g0"));
    assert_eq!(receiver.proxy_connected(ms(500), "p"), None);
}

#[test]
fn a_declined_proxy_stays_and_is_offered_again_only_after_a_while() {
    let (mut sender, mut receiver) = (Migrations::new(0), Migrations::new(0));
    sender.offer(ms(0), "p", "g1", vec![1]);
    deliver(actions(&mut sender, ms(0)), &mut receiver, ms(1), DECLINED, |_| true);
    let answers = actions(&mut receiver, ms(1));
    assert!(matches!(answers[..], [MigrationAction::Send { body: MessageBody::Decline { .. }, .. }]));
    assert_eq!(receiver.expected_proxies(), 0);
    deliver(answers, &mut sender, ms(2), ACCEPTED, |_| true);
    assert_eq!(actions(&mut sender, ms(2)), []);
    assert_eq!(sender.outgoing_count(), 0);
    assert_eq!(receiver.proxy_connected(ms(3), "p"), None);
    assert!(sender.is_unavailable(ms(2), "p") && !sender.is_unavailable(ms(3100), "p"));
}

#[test]
fn late_answers_and_those_of_other_governors_move_no_proxy() {
    let mut sender = Migrations::new(0);
    sender.offer(ms(0), "p", "g1", vec![1]);
    sender.handle_answer(ms(1), "g2", 1, "p", ACCEPTED);
    sender.handle_answer(ms(1), "g1", 1, "q", ACCEPTED);
    sender.proxy_disconnected("p");
    sender.handle_answer(ms(2), "g1", 1, "p", ACCEPTED);
    let is_move = |action: &MigrationAction| matches!(action, MigrationAction::MoveProxy { .. });
    assert!(!actions(&mut sender, ms(2)).iter().any(is_move));
    sender.offer(ms(10), "p", "g1", vec![1]);
    let sent: usize = (1..10).map(|turn| actions(&mut sender, ms(10 + 400 * turn)).len()).sum();
    // The first attempt, three retries, and the report that the offer was not answered.
    assert_eq!((sent, sender.outgoing_count()), (1 + 3 + 1, 0));
    sender.handle_answer(ms(9000), "g1", 2, "p", ACCEPTED);
    assert_eq!(actions(&mut sender, ms(9000)), []);
}

#[test]
fn incomplete_invalid_and_outdated_offers_do_not_fill_the_receiver() {
    let mut receiver = Migrations::new(0);
    for n in 0..2000 {
        receiver.handle_offer(ms(0), "g0", &part(n, &format!("p{n}"), 0, 2, &[0; 900]), |_| true);
    }
    receiver.handle_offer(ms(0), "g0", &part(3000, "odd", 3, 2, &[]), |_| true);
    receiver.handle_offer(ms(0), "g0", &part(3000, "odd", 0, 0, &[]), |_| true);
    receiver.handle_offer(ms(0), "g0", &part(3000, "odd", 0, 9000, &[]), |_| true);
    assert_eq!(receiver.incoming.len(), MAX_INCOMING_OFFERS);
    let first = receiver.next_action(ms(0));
    assert!(matches!(first, Some(MigrationAction::Send { body: MessageBody::Decline { .. }, .. })));
    receiver.handle_offer(ms(20_000), "g0", &part(1, "p", 0, 1, &[1]), |expected| expected == 0);
    assert_eq!(
        (receiver.incoming.len(), receiver.expected_proxies()),
        (1, 1),
        "the old offers must have expired"
    );
    // A delayed older offer of the same proxy is ignored; a newer one replaces the offer.
    receiver.handle_offer(ms(20_000), "g0", &part(0, "p", 0, 1, &[2]), |_| true);
    receiver.handle_offer(ms(20_000), "g0", &part(2, "p", 0, 1, &[3]), |_| true);
    assert_eq!(receiver.proxy_connected(ms(20_001), "p").unwrap().bytes, [3]);
}
