//! A proxy changes hands: what is known of it goes ahead, and its stream moves once the other said yes.
//!
//! Offer, accept (or decline), move. Nothing is agreed on beyond that: whoever has a proxy's stream has its
//! care, and a proxy that is moved goes where it is sent or, if that can't be had, to the next in its own
//! order. So a message lost costs time, a copy is answered as its original was, and one that comes late finds
//! an offer that is over, and does nothing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::messages::MessageBody;

/// Offers open at a time.
const MAX_OPEN_OFFERS: usize = 16;
/// An offer without an answer is said again after so long, so many times in all.
const OFFER_RETRY_INTERVAL: Duration = Duration::from_millis(400);
const MAX_OFFER_ATTEMPTS: u32 = 4;
/// A proxy whose offer came to nothing is left alone for so long.
const OFFER_BACKOFF: Duration = Duration::from_secs(3);
/// Bytes of a part: with head and seal it must fit a datagram.
const MAX_PART_BYTES: usize = 900;
/// The most that is known of a proxy, in parts. What is larger is not sent ahead.
pub const MAX_PARTS: usize = 64;
/// What was sent ahead is kept for so long for a proxy that does not come, for so many proxies.
const TRANSFERRED_STATE_TTL: Duration = Duration::from_secs(15);
const MAX_INCOMING_OFFERS: usize = 512;
/// And bytes in all.
const MAX_INCOMING_BYTES: usize = 8 << 20;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OutgoingOffer {
    proxy: String,
    to: String,
    state: Vec<u8>,
    resend_at: Duration,
    attempts: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct IncomingOffer {
    from: String,
    offer_id: u64,
    parts: BTreeMap<u16, Vec<u8>>,
    part_count: u16,
    received_at: Duration,
    accepted: bool,
}

/// What a handover comes to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MigrationAction {
    Send(String, MessageBody),
    /// Send the proxy there.
    MoveProxy {
        proxy: String,
        to: String,
    },
    /// Nobody answered.
    OfferUnanswered {
        proxy: String,
        to: String,
    },
}

/// All proxies of a governor that are on their way, out and in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Migrations {
    outgoing: BTreeMap<u64, OutgoingOffer>,
    backoff_until: BTreeMap<String, Duration>,
    incoming: BTreeMap<String, IncomingOffer>,
    last_offer_id: u64,
    actions: VecDeque<MigrationAction>,
}

/// What was sent ahead of a proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferredState {
    pub from: String,
    pub bytes: Vec<u8>,
    /// How long it has been here.
    pub held_for: Duration,
}

impl Migrations {
    /// Numbers of offers begin beyond `numbers`: a later life's must not be taken for an earlier one's.
    pub fn new(numbers: u64) -> Self {
        Migrations { last_offer_id: numbers, ..Migrations::default() }
    }

    // ---- the giver

    /// Whether one more offer may be made now.
    pub fn can_offer(&self) -> bool {
        self.outgoing.len() < MAX_OPEN_OFFERS
    }

    /// Whether a proxy is on its way out, or its last offer came to nothing a moment ago.
    pub fn is_unavailable(&self, now: Duration, proxy: &str) -> bool {
        self.outgoing.values().any(|one| one.proxy == proxy)
            || self.backoff_until.get(proxy).is_some_and(|until| now < *until)
    }

    /// Whether a proxy is offered to somebody, and not answered yet.
    pub fn is_offered(&self, proxy: &str) -> bool {
        self.outgoing.values().any(|one| one.proxy == proxy)
    }

    /// Offers a proxy, with what is known of it. Too much of that, and it goes without.
    pub fn offer(&mut self, now: Duration, proxy: &str, to: &str, mut bytes: Vec<u8>) {
        if bytes.len() > MAX_PART_BYTES * MAX_PARTS {
            bytes.clear();
        }
        self.last_offer_id += 1;
        let (proxy, to) = (proxy.to_string(), to.to_string());
        let offered =
            OutgoingOffer { proxy, to, state: bytes, resend_at: now + OFFER_RETRY_INTERVAL, attempts: 1 };
        self.send_offer(self.last_offer_id, &offered);
        self.outgoing.insert(self.last_offer_id, offered);
    }

    fn send_offer(&mut self, number: u64, offered: &OutgoingOffer) {
        let parts: Vec<&[u8]> =
            if offered.state.is_empty() { vec![&[]] } else { offered.state.chunks(MAX_PART_BYTES).collect() };
        let of = parts.len() as u16;
        for (part, bytes) in parts.into_iter().enumerate() {
            let (proxy, bytes) = (offered.proxy.clone(), bytes.to_vec());
            let body = MessageBody::Offer { number, proxy, part: part as u16, parts: of, bytes };
            self.actions.push_back(MigrationAction::Send(offered.to.clone(), body));
        }
    }

    /// An answer to an offer. One that is over, or another's, does nothing.
    pub fn handle_answer(&mut self, now: Duration, from: &str, number: u64, proxy: &str, yes: bool) {
        let meant = |one: &OutgoingOffer| one.to == from && one.proxy == proxy;
        if !self.outgoing.get(&number).is_some_and(meant) {
            return;
        }
        if let Some(OutgoingOffer { proxy, to, .. }) = self.outgoing.remove(&number) {
            // Who was told to go and stays has not heard it, and is asked again.
            self.backoff_until.insert(proxy.clone(), now + OFFER_BACKOFF);
            if yes {
                self.actions.push_back(MigrationAction::MoveProxy { proxy, to });
            }
        }
    }

    /// A proxy's stream is over: there is nothing left to hand over.
    pub fn proxy_disconnected(&mut self, proxy: &str) {
        self.outgoing.retain(|_, one| one.proxy != proxy);
        self.backoff_until.remove(proxy);
    }

    /// Proxies that are on their way to a governor.
    pub fn outgoing_to(&self, to: &str) -> usize {
        self.outgoing.values().filter(|one| one.to == to).count()
    }

    pub fn outgoing_count(&self) -> usize {
        self.outgoing.len()
    }

    // ---- the taker

    /// A part of an offer. Once all are there, `admits` says whether the proxy may come; until then nothing
    /// is answered.
    #[allow(clippy::too_many_arguments)]
    pub fn handle_offer(
        &mut self,
        now: Duration,
        from: &str,
        number: u64,
        proxy: &str,
        part: u16,
        parts: u16,
        bytes: &[u8],
        admits: impl FnOnce(usize) -> bool,
    ) {
        self.expire(now);
        if parts == 0 || usize::from(parts) > MAX_PARTS || part >= parts || bytes.len() > MAX_PART_BYTES {
            return;
        }
        let known = self.incoming.get(proxy).filter(|one| one.from == from);
        if known.is_some_and(|one| one.offer_id > number) {
            // An older offer of the same proxy, late.
            return;
        }
        if known.is_none_or(|one| one.offer_id < number) {
            let size: usize = self.incoming.values().flat_map(|one| one.parts.values()).map(Vec::len).sum();
            if self.incoming.len() >= MAX_INCOMING_OFFERS || size > MAX_INCOMING_BYTES {
                return self.decline(from, number, proxy);
            }
            let (from, parts_of) = (from.to_string(), BTreeMap::new());
            let coming = IncomingOffer {
                from,
                offer_id: number,
                parts: parts_of,
                part_count: parts,
                received_at: now,
                accepted: false,
            };
            self.incoming.insert(proxy.to_string(), coming);
        }
        let expected = self.expected_proxies();
        let Some(coming) = self.incoming.get_mut(proxy).filter(|one| one.part_count == parts) else { return };
        coming.parts.insert(part, bytes.to_vec());
        if coming.parts.len() < usize::from(parts) {
            return;
        }
        if !coming.accepted && !admits(expected) {
            self.incoming.remove(proxy);
            return self.decline(from, number, proxy);
        }
        coming.accepted = true;
        let body = MessageBody::Accept { number, proxy: proxy.to_string() };
        self.actions.push_back(MigrationAction::Send(from.to_string(), body));
    }

    fn decline(&mut self, from: &str, number: u64, proxy: &str) {
        let body = MessageBody::Decline { number, proxy: proxy.to_string() };
        self.actions.push_back(MigrationAction::Send(from.to_string(), body));
    }

    /// Proxies that were told they may come, and are not here yet.
    pub fn expected_proxies(&self) -> usize {
        self.incoming.values().filter(|one| one.accepted).count()
    }

    /// A proxy has come: what was sent ahead, if all of it was.
    pub fn proxy_connected(&mut self, now: Duration, proxy: &str) -> Option<TransferredState> {
        self.expire(now);
        let coming =
            self.incoming.remove(proxy).filter(|one| one.parts.len() == usize::from(one.part_count))?;
        let bytes: Vec<u8> = coming.parts.into_values().flatten().collect();
        let waited = now.saturating_sub(coming.received_at);
        (!bytes.is_empty()).then_some(TransferredState { from: coming.from, bytes, held_for: waited })
    }

    fn expire(&mut self, now: Duration) {
        self.incoming.retain(|_, one| now < one.received_at + TRANSFERRED_STATE_TTL);
    }

    // ---- steps

    /// The next thing to do, until there is none.
    pub fn next_action(&mut self, now: Duration) -> Option<MigrationAction> {
        if self.actions.is_empty() {
            self.backoff_until.retain(|_, until| now < *until);
            let due: Vec<u64> = self
                .outgoing
                .iter()
                .filter(|(_, one)| now >= one.resend_at)
                .map(|(number, _)| *number)
                .collect();
            for number in due {
                let Some(mut one) = self.outgoing.remove(&number) else { continue };
                if one.attempts >= MAX_OFFER_ATTEMPTS {
                    self.backoff_until.insert(one.proxy.clone(), now + OFFER_BACKOFF);
                    self.actions.push_back(MigrationAction::OfferUnanswered { proxy: one.proxy, to: one.to });
                    continue;
                }
                (one.attempts, one.resend_at) = (one.attempts + 1, now + OFFER_RETRY_INTERVAL);
                self.send_offer(number, &one);
                self.outgoing.insert(number, one);
            }
        }
        self.actions.pop_front()
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.outgoing.values().map(|one| one.resend_at).chain(self.backoff_until.values().copied()).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    fn steps(of: &mut Migrations, now: Duration) -> Vec<MigrationAction> {
        std::iter::from_fn(|| of.next_action(now)).collect()
    }

    /// Says what one side said to the other, if `heard`.
    fn carry(
        said: Vec<MigrationAction>,
        to: &mut Migrations,
        now: Duration,
        yes: bool,
        heard: impl Fn(usize) -> bool,
    ) {
        for (place, one) in said.into_iter().enumerate() {
            let MigrationAction::Send(_, body) = one else { continue };
            if !heard(place) {
                continue;
            }
            match body {
                MessageBody::Offer { number, proxy, part, parts, bytes } => {
                    to.handle_offer(now, "g0", number, &proxy, part, parts, &bytes, |_| yes);
                }
                MessageBody::Accept { number, proxy } => to.handle_answer(now, "g1", number, &proxy, true),
                MessageBody::Decline { number, proxy } => to.handle_answer(now, "g1", number, &proxy, false),
                _ => {}
            }
        }
    }

    #[test]
    fn what_is_known_goes_ahead_in_parts_though_some_are_lost_and_doubled() {
        let (mut giver, mut taker) = (Migrations::new(7), Migrations::new(0));
        let bytes: Vec<u8> = (0..5000u32).map(|n| n as u8).collect();
        giver.offer(ms(0), "p", "g1", bytes.clone());
        assert!(giver.is_unavailable(ms(0), "p") && giver.outgoing_to("g1") == 1);
        let first = steps(&mut giver, ms(0));
        assert_eq!(first.len(), 6);
        carry(first, &mut taker, ms(1), true, |place| place != 2);
        assert_eq!(steps(&mut taker, ms(1)), [], "a part is missing");
        assert_eq!(giver.next_deadline(), Some(ms(400)));
        let again = steps(&mut giver, ms(400));
        carry(again.clone(), &mut taker, ms(401), true, |place| place >= 2);
        carry(again, &mut taker, ms(402), false, |_| true);
        let yes = steps(&mut taker, ms(402));
        assert!(yes.len() > 1 && taker.expected_proxies() == 1, "copies are answered as their original was");
        carry(yes, &mut giver, ms(403), true, |_| true);
        let moved = MigrationAction::MoveProxy { proxy: "p".into(), to: "g1".into() };
        assert_eq!(steps(&mut giver, ms(403)), [moved], "once");
        assert!(giver.is_unavailable(ms(404), "p") && !giver.is_unavailable(ms(4000), "p"));
        let ahead = taker.proxy_connected(ms(500), "p").unwrap();
        assert_eq!((ahead.bytes, ahead.held_for, ahead.from.as_str()), (bytes, ms(499), "g0"));
        assert_eq!(taker.proxy_connected(ms(500), "p"), None);
    }

    #[test]
    fn who_is_declined_stays_and_is_left_alone_for_a_while() {
        let (mut giver, mut taker) = (Migrations::new(0), Migrations::new(0));
        giver.offer(ms(0), "p", "g1", vec![1]);
        carry(steps(&mut giver, ms(0)), &mut taker, ms(1), false, |_| true);
        let no = steps(&mut taker, ms(1));
        assert!(
            matches!(no[..], [MigrationAction::Send(_, MessageBody::Decline { .. })])
                && taker.expected_proxies() == 0
        );
        carry(no, &mut giver, ms(2), true, |_| true);
        assert_eq!(
            (steps(&mut giver, ms(2)), giver.outgoing_count(), taker.proxy_connected(ms(3), "p")),
            (vec![], 0, None)
        );
        assert!(giver.is_unavailable(ms(2), "p") && !giver.is_unavailable(ms(3100), "p"));
    }

    #[test]
    fn an_answer_that_comes_late_or_from_another_moves_nobody() {
        let mut giver = Migrations::new(0);
        giver.offer(ms(0), "p", "g1", vec![1]);
        giver.handle_answer(ms(1), "g2", 1, "p", true);
        giver.handle_answer(ms(1), "g1", 1, "q", true);
        giver.proxy_disconnected("p");
        giver.handle_answer(ms(2), "g1", 1, "p", true);
        assert!(!steps(&mut giver, ms(2)).iter().any(|one| matches!(one, MigrationAction::MoveProxy { .. })));
        giver.offer(ms(10), "p", "g1", vec![1]);
        let said: usize = (1..10).map(|turn| steps(&mut giver, ms(10 + 400 * turn)).len()).sum();
        // Once at the beginning, thrice again, and then that nobody answered.
        assert_eq!((said, giver.outgoing_count()), (1 + 3 + 1, 0));
        giver.handle_answer(ms(9000), "g1", 2, "p", true);
        assert_eq!(steps(&mut giver, ms(9000)), []);
    }

    #[test]
    fn a_taker_is_not_filled_by_offers_that_come_to_nothing() {
        let mut taker = Migrations::new(0);
        for n in 0..2000 {
            taker.handle_offer(ms(0), "g0", n, &format!("p{n}"), 0, 2, &[0; 900], |_| true);
        }
        taker.handle_offer(ms(0), "g0", 3000, "odd", 3, 2, &[], |_| true);
        taker.handle_offer(ms(0), "g0", 3000, "odd", 0, 0, &[], |_| true);
        taker.handle_offer(ms(0), "g0", 3000, "odd", 0, 9000, &[], |_| true);
        assert_eq!(taker.incoming.len(), MAX_INCOMING_OFFERS);
        assert!(matches!(
            taker.next_action(ms(0)),
            Some(MigrationAction::Send(_, MessageBody::Decline { .. }))
        ));
        taker.handle_offer(ms(20_000), "g0", 1, "p", 0, 1, &[1], |expected| expected == 0);
        assert_eq!((taker.incoming.len(), taker.expected_proxies()), (1, 1), "the old ones are forgotten");
        // An older offer of the same proxy, late, is not answered; a newer one takes its place.
        taker.handle_offer(ms(20_000), "g0", 0, "p", 0, 1, &[2], |_| true);
        taker.handle_offer(ms(20_000), "g0", 2, "p", 0, 1, &[3], |_| true);
        assert_eq!(taker.proxy_connected(ms(20_001), "p").unwrap().bytes, [3]);
    }
}
