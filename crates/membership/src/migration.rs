//! A proxy changes hands: what is known of it goes ahead, and its stream moves once the other said yes.
//!
//! Offer, accept (or decline), move. Nothing is agreed on beyond that: whoever has a proxy's stream has its
//! care, and a proxy that is moved goes where it is sent or, if that can't be had, to the next in its own
//! order. So a message lost costs time, a copy is answered as its original was, and one that comes late finds
//! an offer that is over, and does nothing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::messages::Body;

/// Offers open at a time.
const AT_ONCE: usize = 16;
/// An offer without an answer is said again after so long, so many times in all.
const AGAIN: Duration = Duration::from_millis(400);
const TIMES: u32 = 4;
/// A proxy whose offer came to nothing is left alone for so long.
const REST: Duration = Duration::from_secs(3);
/// Bytes of a part: with head and seal it must fit a datagram.
const PART: usize = 900;
/// The most that is known of a proxy, in parts. What is larger is not sent ahead.
pub const MOST_PARTS: usize = 64;
/// What was sent ahead is kept for so long for a proxy that does not come, for so many proxies.
const COMING: Duration = Duration::from_secs(15);
const MOST_COMING: usize = 512;
/// And bytes in all.
const MOST_BYTES: usize = 8 << 20;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Offered {
    proxy: String,
    to: String,
    bytes: Vec<u8>,
    due: Duration,
    times: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Coming {
    from: String,
    number: u64,
    parts: BTreeMap<u16, Vec<u8>>,
    of: u16,
    since: Duration,
    accepted: bool,
}

/// What a handover comes to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Out {
    Say(String, Body),
    /// Send the proxy there.
    Move {
        proxy: String,
        to: String,
    },
    /// Nobody answered.
    Unanswered {
        proxy: String,
        to: String,
    },
}

/// All proxies of a governor that are on their way, out and in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Handover {
    offered: BTreeMap<u64, Offered>,
    resting: BTreeMap<String, Duration>,
    coming: BTreeMap<String, Coming>,
    numbers: u64,
    out: VecDeque<Out>,
}

/// What was sent ahead of a proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ahead {
    pub from: String,
    pub bytes: Vec<u8>,
    /// How long it has been here.
    pub waited: Duration,
}

impl Handover {
    /// Numbers of offers begin beyond `numbers`: a later life's must not be taken for an earlier one's.
    pub fn new(numbers: u64) -> Self {
        Handover { numbers, ..Handover::default() }
    }

    // ---- the giver

    /// Whether one more offer may be made now.
    pub fn has_room(&self) -> bool {
        self.offered.len() < AT_ONCE
    }

    /// Whether a proxy is on its way out, or its last offer came to nothing a moment ago.
    pub fn is_busy(&self, now: Duration, proxy: &str) -> bool {
        self.offered.values().any(|one| one.proxy == proxy)
            || self.resting.get(proxy).is_some_and(|until| now < *until)
    }

    /// Whether a proxy is offered to somebody, and not answered yet.
    pub fn is_offered(&self, proxy: &str) -> bool {
        self.offered.values().any(|one| one.proxy == proxy)
    }

    /// Offers a proxy, with what is known of it. Too much of that, and it goes without.
    pub fn offer(&mut self, now: Duration, proxy: &str, to: &str, mut bytes: Vec<u8>) {
        if bytes.len() > PART * MOST_PARTS {
            bytes.clear();
        }
        self.numbers += 1;
        let (proxy, to) = (proxy.to_string(), to.to_string());
        let offered = Offered { proxy, to, bytes, due: now + AGAIN, times: 1 };
        self.say(self.numbers, &offered);
        self.offered.insert(self.numbers, offered);
    }

    fn say(&mut self, number: u64, offered: &Offered) {
        let parts: Vec<&[u8]> =
            if offered.bytes.is_empty() { vec![&[]] } else { offered.bytes.chunks(PART).collect() };
        let of = parts.len() as u16;
        for (part, bytes) in parts.into_iter().enumerate() {
            let (proxy, bytes) = (offered.proxy.clone(), bytes.to_vec());
            let body = Body::Offer { number, proxy, part: part as u16, parts: of, bytes };
            self.out.push_back(Out::Say(offered.to.clone(), body));
        }
    }

    /// An answer to an offer. One that is over, or another's, does nothing.
    pub fn answered(&mut self, now: Duration, from: &str, number: u64, proxy: &str, yes: bool) {
        let meant = |one: &Offered| one.to == from && one.proxy == proxy;
        if !self.offered.get(&number).is_some_and(meant) {
            return;
        }
        if let Some(Offered { proxy, to, .. }) = self.offered.remove(&number) {
            // Who was told to go and stays has not heard it, and is asked again.
            self.resting.insert(proxy.clone(), now + REST);
            if yes {
                self.out.push_back(Out::Move { proxy, to });
            }
        }
    }

    /// A proxy's stream is over: there is nothing left to hand over.
    pub fn gone(&mut self, proxy: &str) {
        self.offered.retain(|_, one| one.proxy != proxy);
        self.resting.remove(proxy);
    }

    /// Proxies that are on their way to a governor.
    pub fn on_way_to(&self, to: &str) -> usize {
        self.offered.values().filter(|one| one.to == to).count()
    }

    pub fn on_way(&self) -> usize {
        self.offered.len()
    }

    // ---- the taker

    /// A part of an offer. Once all are there, `admits` says whether the proxy may come; until then nothing
    /// is answered.
    #[allow(clippy::too_many_arguments)]
    pub fn offered(
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
        if parts == 0 || usize::from(parts) > MOST_PARTS || part >= parts || bytes.len() > PART {
            return;
        }
        let known = self.coming.get(proxy).filter(|one| one.from == from);
        if known.is_some_and(|one| one.number > number) {
            // An older offer of the same proxy, late.
            return;
        }
        if known.is_none_or(|one| one.number < number) {
            let size: usize = self.coming.values().flat_map(|one| one.parts.values()).map(Vec::len).sum();
            if self.coming.len() >= MOST_COMING || size > MOST_BYTES {
                return self.no(from, number, proxy);
            }
            let (from, parts_of) = (from.to_string(), BTreeMap::new());
            let coming = Coming { from, number, parts: parts_of, of: parts, since: now, accepted: false };
            self.coming.insert(proxy.to_string(), coming);
        }
        let expected = self.expected();
        let Some(coming) = self.coming.get_mut(proxy).filter(|one| one.of == parts) else { return };
        coming.parts.insert(part, bytes.to_vec());
        if coming.parts.len() < usize::from(parts) {
            return;
        }
        if !coming.accepted && !admits(expected) {
            self.coming.remove(proxy);
            return self.no(from, number, proxy);
        }
        coming.accepted = true;
        let body = Body::Accept { number, proxy: proxy.to_string() };
        self.out.push_back(Out::Say(from.to_string(), body));
    }

    fn no(&mut self, from: &str, number: u64, proxy: &str) {
        let body = Body::Decline { number, proxy: proxy.to_string() };
        self.out.push_back(Out::Say(from.to_string(), body));
    }

    /// Proxies that were told they may come, and are not here yet.
    pub fn expected(&self) -> usize {
        self.coming.values().filter(|one| one.accepted).count()
    }

    /// A proxy has come: what was sent ahead, if all of it was.
    pub fn came(&mut self, now: Duration, proxy: &str) -> Option<Ahead> {
        self.expire(now);
        let coming = self.coming.remove(proxy).filter(|one| one.parts.len() == usize::from(one.of))?;
        let bytes: Vec<u8> = coming.parts.into_values().flatten().collect();
        let waited = now.saturating_sub(coming.since);
        (!bytes.is_empty()).then_some(Ahead { from: coming.from, bytes, waited })
    }

    fn expire(&mut self, now: Duration) {
        self.coming.retain(|_, one| now < one.since + COMING);
    }

    // ---- steps

    /// The next thing to do, until there is none.
    pub fn step(&mut self, now: Duration) -> Option<Out> {
        if self.out.is_empty() {
            self.resting.retain(|_, until| now < *until);
            let due: Vec<u64> =
                self.offered.iter().filter(|(_, one)| now >= one.due).map(|(number, _)| *number).collect();
            for number in due {
                let Some(mut one) = self.offered.remove(&number) else { continue };
                if one.times >= TIMES {
                    self.resting.insert(one.proxy.clone(), now + REST);
                    self.out.push_back(Out::Unanswered { proxy: one.proxy, to: one.to });
                    continue;
                }
                (one.times, one.due) = (one.times + 1, now + AGAIN);
                self.say(number, &one);
                self.offered.insert(number, one);
            }
        }
        self.out.pop_front()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.offered.values().map(|one| one.due).chain(self.resting.values().copied()).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    fn steps(of: &mut Handover, now: Duration) -> Vec<Out> {
        std::iter::from_fn(|| of.step(now)).collect()
    }

    /// Says what one side said to the other, if `heard`.
    fn carry(said: Vec<Out>, to: &mut Handover, now: Duration, yes: bool, heard: impl Fn(usize) -> bool) {
        for (place, one) in said.into_iter().enumerate() {
            let Out::Say(_, body) = one else { continue };
            if !heard(place) {
                continue;
            }
            match body {
                Body::Offer { number, proxy, part, parts, bytes } => {
                    to.offered(now, "g0", number, &proxy, part, parts, &bytes, |_| yes);
                }
                Body::Accept { number, proxy } => to.answered(now, "g1", number, &proxy, true),
                Body::Decline { number, proxy } => to.answered(now, "g1", number, &proxy, false),
                _ => {}
            }
        }
    }

    #[test]
    fn what_is_known_goes_ahead_in_parts_though_some_are_lost_and_doubled() {
        let (mut giver, mut taker) = (Handover::new(7), Handover::new(0));
        let bytes: Vec<u8> = (0..5000u32).map(|n| n as u8).collect();
        giver.offer(ms(0), "p", "g1", bytes.clone());
        assert!(giver.is_busy(ms(0), "p") && giver.on_way_to("g1") == 1);
        let first = steps(&mut giver, ms(0));
        assert_eq!(first.len(), 6);
        carry(first, &mut taker, ms(1), true, |place| place != 2);
        assert_eq!(steps(&mut taker, ms(1)), [], "a part is missing");
        assert_eq!(giver.next_due(), Some(ms(400)));
        let again = steps(&mut giver, ms(400));
        carry(again.clone(), &mut taker, ms(401), true, |place| place >= 2);
        carry(again, &mut taker, ms(402), false, |_| true);
        let yes = steps(&mut taker, ms(402));
        assert!(yes.len() > 1 && taker.expected() == 1, "copies are answered as their original was");
        carry(yes, &mut giver, ms(403), true, |_| true);
        let moved = Out::Move { proxy: "p".into(), to: "g1".into() };
        assert_eq!(steps(&mut giver, ms(403)), [moved], "once");
        assert!(giver.is_busy(ms(404), "p") && !giver.is_busy(ms(4000), "p"));
        let ahead = taker.came(ms(500), "p").unwrap();
        assert_eq!((ahead.bytes, ahead.waited, ahead.from.as_str()), (bytes, ms(499), "g0"));
        assert_eq!(taker.came(ms(500), "p"), None);
    }

    #[test]
    fn who_is_declined_stays_and_is_left_alone_for_a_while() {
        let (mut giver, mut taker) = (Handover::new(0), Handover::new(0));
        giver.offer(ms(0), "p", "g1", vec![1]);
        carry(steps(&mut giver, ms(0)), &mut taker, ms(1), false, |_| true);
        let no = steps(&mut taker, ms(1));
        assert!(matches!(no[..], [Out::Say(_, Body::Decline { .. })]) && taker.expected() == 0);
        carry(no, &mut giver, ms(2), true, |_| true);
        assert_eq!((steps(&mut giver, ms(2)), giver.on_way(), taker.came(ms(3), "p")), (vec![], 0, None));
        assert!(giver.is_busy(ms(2), "p") && !giver.is_busy(ms(3100), "p"));
    }

    #[test]
    fn an_answer_that_comes_late_or_from_another_moves_nobody() {
        let mut giver = Handover::new(0);
        giver.offer(ms(0), "p", "g1", vec![1]);
        giver.answered(ms(1), "g2", 1, "p", true);
        giver.answered(ms(1), "g1", 1, "q", true);
        giver.gone("p");
        giver.answered(ms(2), "g1", 1, "p", true);
        assert!(!steps(&mut giver, ms(2)).iter().any(|one| matches!(one, Out::Move { .. })));
        giver.offer(ms(10), "p", "g1", vec![1]);
        let said: usize = (1..10).map(|turn| steps(&mut giver, ms(10 + 400 * turn)).len()).sum();
        // Once at the beginning, thrice again, and then that nobody answered.
        assert_eq!((said, giver.on_way()), (1 + 3 + 1, 0));
        giver.answered(ms(9000), "g1", 2, "p", true);
        assert_eq!(steps(&mut giver, ms(9000)), []);
    }

    #[test]
    fn a_taker_is_not_filled_by_offers_that_come_to_nothing() {
        let mut taker = Handover::new(0);
        for n in 0..2000 {
            taker.offered(ms(0), "g0", n, &format!("p{n}"), 0, 2, &[0; 900], |_| true);
        }
        taker.offered(ms(0), "g0", 3000, "odd", 3, 2, &[], |_| true);
        taker.offered(ms(0), "g0", 3000, "odd", 0, 0, &[], |_| true);
        taker.offered(ms(0), "g0", 3000, "odd", 0, 9000, &[], |_| true);
        assert_eq!(taker.coming.len(), MOST_COMING);
        assert!(matches!(taker.step(ms(0)), Some(Out::Say(_, Body::Decline { .. }))));
        taker.offered(ms(20_000), "g0", 1, "p", 0, 1, &[1], |expected| expected == 0);
        assert_eq!((taker.coming.len(), taker.expected()), (1, 1), "the old ones are forgotten");
        // An older offer of the same proxy, late, is not answered; a newer one takes its place.
        taker.offered(ms(20_000), "g0", 0, "p", 0, 1, &[2], |_| true);
        taker.offered(ms(20_000), "g0", 2, "p", 0, 1, &[3], |_| true);
        assert_eq!(taker.came(ms(20_001), "p").unwrap().bytes, [3]);
    }
}
