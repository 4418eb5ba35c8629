//! Migration of a proxy from one governor to another. The proxy's state is transferred with the offer, and its stream
//! is ended once the other governor has accepted.
//!
//! The steps are offer, accept (or decline) and move. Governors agree on nothing else: the governor that has a proxy's
//! stream is responsible for the proxy, and a proxy whose destination does not answer connects to the next governor in
//! its own ranking. Therefore a lost message only causes a delay, a duplicate is answered like the original, and an
//! answer to a closed offer is ignored.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::messages::{MessageBody, OfferPart};

/// Maximum number of open offers to other governors.
const MAX_OPEN_OFFERS: usize = 16;
/// How long to wait for the answer to an offer before it is sent again.
const OFFER_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// How often an offer is sent, including the first time.
const MAX_OFFER_ATTEMPTS: u32 = 4;
/// How long after the end of an offer the proxy is not offered again.
const OFFER_BACKOFF: Duration = Duration::from_secs(3);
/// Maximum size of a part, in bytes. With its header and seal it fits into one datagram.
const MAX_PART_BYTES: usize = 900;
/// Maximum number of parts of one proxy's state. Larger state is not transferred.
pub const MAX_PARTS: usize = 64;
/// How long transferred state is kept for a proxy that does not connect.
const TRANSFERRED_STATE_TTL: Duration = Duration::from_secs(15);
/// Maximum number of proxies for which transferred state is kept.
const MAX_INCOMING_OFFERS: usize = 512;
/// Maximum total size of the transferred state that is kept, in bytes.
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

impl IncomingOffer {
    fn is_complete(&self) -> bool {
        self.parts.len() == usize::from(self.part_count)
    }

    fn size(&self) -> usize {
        self.parts.values().map(Vec::len).sum()
    }
}

/// The answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferAnswer {
    /// The other governor accepts the proxy.
    Accepted,
    /// The other governor declines the proxy for now.
    Declined,
}

/// What the owner of [`Migrations`] has to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MigrationAction {
    /// Send a message to another governor.
    Send {
        /// The receiver's name.
        to: String,
        /// The message.
        body: MessageBody,
    },
    /// End the proxy's stream and redirect the proxy.
    MoveProxy {
        /// The proxy's name.
        proxy: String,
        /// The destination's name.
        to: String,
    },
    /// Log that an offer was not answered, despite retries.
    OfferUnanswered {
        /// The proxy's name.
        proxy: String,
        /// The governor that the proxy was offered to.
        to: String,
    },
}

/// All migrations of one governor, outgoing and incoming.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Migrations {
    /// Open offers to other governors, by offer id.
    outgoing: BTreeMap<u64, OutgoingOffer>,
    /// When each proxy may be offered again.
    backoff_until: BTreeMap<String, Duration>,
    /// Offers from other governors, by proxy.
    incoming: BTreeMap<String, IncomingOffer>,
    last_offer_id: u64,
    actions: VecDeque<MigrationAction>,
}

/// The state of a proxy that another governor transferred before the proxy connected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferredState {
    /// The governor that offered the proxy.
    pub from: String,
    /// The encoded state.
    pub bytes: Vec<u8>,
    /// Time since the first part of the state was received.
    pub age: Duration,
}

impl Migrations {
    /// Creates the state without any migration. Offer ids start above `last_offer_id`, so that a restarted governor
    /// does not reuse its earlier ids.
    pub fn new(last_offer_id: u64) -> Self {
        Migrations { last_offer_id, ..Migrations::default() }
    }

    // ---- outgoing

    /// Whether another offer may be made now.
    pub fn can_offer(&self) -> bool {
        self.outgoing.len() < MAX_OPEN_OFFERS
    }

    /// Whether a proxy can't be offered now, because an offer is open or ended recently.
    pub fn is_unavailable(&self, now: Duration, proxy: &str) -> bool {
        self.is_offered(proxy) || self.backoff_until.get(proxy).is_some_and(|until| now < *until)
    }

    /// Whether there is an open offer of the proxy.
    pub fn is_offered(&self, proxy: &str) -> bool {
        self.outgoing.values().any(|offer| offer.proxy == proxy)
    }

    /// Offers a proxy to another governor, with its encoded state. State that needs more than [`MAX_PARTS`] parts is
    /// left out.
    pub fn offer(&mut self, now: Duration, proxy: &str, to: &str, mut state: Vec<u8>) {
        if state.len() > MAX_PART_BYTES * MAX_PARTS {
            state.clear();
        }
        self.last_offer_id += 1;
        let offer = OutgoingOffer {
            proxy: proxy.to_string(),
            to: to.to_string(),
            state,
            resend_at: now + OFFER_RETRY_INTERVAL,
            attempts: 1,
        };
        self.send_offer(self.last_offer_id, &offer);
        self.outgoing.insert(self.last_offer_id, offer);
    }

    fn send_offer(&mut self, offer_id: u64, offer: &OutgoingOffer) {
        let mut chunks: Vec<&[u8]> = offer.state.chunks(MAX_PART_BYTES).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let part_count = chunks.len() as u16;
        for (part_index, bytes) in chunks.into_iter().enumerate() {
            let part = OfferPart {
                offer_id,
                proxy: offer.proxy.clone(),
                part_index: part_index as u16,
                part_count,
                bytes: bytes.to_vec(),
            };
            self.send(&offer.to, MessageBody::Offer(part));
        }
    }

    /// Handles the answer to an offer. An answer to a closed offer, or from a governor that the offer was not sent to,
    /// is ignored.
    pub fn handle_answer(
        &mut self,
        now: Duration,
        from: &str,
        offer_id: u64,
        proxy: &str,
        answer: OfferAnswer,
    ) {
        let matches = |offer: &OutgoingOffer| offer.to == from && offer.proxy == proxy;
        if !self.outgoing.get(&offer_id).is_some_and(matches) {
            return;
        }
        let Some(offer) = self.outgoing.remove(&offer_id) else { return };
        // If an accepted proxy stays connected, it missed the redirect; it is offered again after the backoff.
        self.backoff_until.insert(offer.proxy.clone(), now + OFFER_BACKOFF);
        if answer == OfferAnswer::Accepted {
            self.actions.push_back(MigrationAction::MoveProxy { proxy: offer.proxy, to: offer.to });
        }
    }

    /// Closes the offer of a proxy whose stream to this governor ended.
    pub fn proxy_disconnected(&mut self, proxy: &str) {
        self.outgoing.retain(|_, offer| offer.proxy != proxy);
        self.backoff_until.remove(proxy);
    }

    /// Returns the number of proxies with an open offer to the governor `to`.
    pub fn outgoing_to(&self, to: &str) -> usize {
        self.outgoing.values().filter(|offer| offer.to == to).count()
    }

    /// Returns the number of proxies with an open offer.
    pub fn outgoing_count(&self) -> usize {
        self.outgoing.len()
    }

    // ---- incoming

    /// Handles a part of an offer. The offer is answered once it is complete: `admits` is called with the number of
    /// expected proxies and returns whether to accept.
    pub fn handle_offer(
        &mut self,
        now: Duration,
        from: &str,
        part: &OfferPart,
        admits: impl FnOnce(usize) -> bool,
    ) {
        self.expire(now);
        if !is_valid(part) {
            return;
        }
        let OfferPart { offer_id, proxy, part_count, .. } = part;
        let existing = self.incoming.get(proxy).filter(|offer| offer.from == from);
        let existing_id = existing.map(|offer| offer.offer_id);
        if existing_id.is_some_and(|existing_id| existing_id > *offer_id) {
            // This is a delayed part of an earlier offer.
            return;
        }
        if existing_id.is_none_or(|existing_id| existing_id < *offer_id) {
            if !self.has_room_for_incoming() {
                return self.decline(from, part);
            }
            self.incoming.insert(
                proxy.clone(),
                IncomingOffer {
                    from: from.to_string(),
                    offer_id: *offer_id,
                    parts: BTreeMap::new(),
                    part_count: *part_count,
                    received_at: now,
                    accepted: false,
                },
            );
        }
        let expected_proxies = self.expected_proxies();
        let Some(offer) = self.incoming.get_mut(proxy).filter(|offer| offer.part_count == *part_count) else {
            return;
        };
        offer.parts.insert(part.part_index, part.bytes.clone());
        if !offer.is_complete() {
            return;
        }
        if !offer.accepted && !admits(expected_proxies) {
            self.incoming.remove(proxy);
            return self.decline(from, part);
        }
        offer.accepted = true;
        self.send(from, MessageBody::Accept { offer_id: *offer_id, proxy: proxy.clone() });
    }

    fn has_room_for_incoming(&self) -> bool {
        let bytes: usize = self.incoming.values().map(IncomingOffer::size).sum();
        self.incoming.len() < MAX_INCOMING_OFFERS && bytes <= MAX_INCOMING_BYTES
    }

    fn decline(&mut self, from: &str, part: &OfferPart) {
        let body = MessageBody::Decline { offer_id: part.offer_id, proxy: part.proxy.clone() };
        self.send(from, body);
    }

    fn send(&mut self, to: &str, body: MessageBody) {
        self.actions.push_back(MigrationAction::Send { to: to.to_string(), body });
    }

    /// Returns the number of accepted proxies that have not connected yet.
    pub fn expected_proxies(&self) -> usize {
        self.incoming.values().filter(|offer| offer.accepted).count()
    }

    /// Closes the incoming offer of a proxy that connected. Returns its transferred state if that is complete and not
    /// empty.
    pub fn proxy_connected(&mut self, now: Duration, proxy: &str) -> Option<TransferredState> {
        self.expire(now);
        let offer = self.incoming.remove(proxy).filter(IncomingOffer::is_complete)?;
        let bytes: Vec<u8> = offer.parts.into_values().flatten().collect();
        if bytes.is_empty() {
            return None;
        }
        let age = now.saturating_sub(offer.received_at);
        Some(TransferredState { from: offer.from, bytes, age })
    }

    fn expire(&mut self, now: Duration) {
        self.incoming.retain(|_, offer| now < offer.received_at + TRANSFERRED_STATE_TTL);
    }

    // ---- actions

    /// Returns the next action, or `None` if there is nothing to do now.
    pub fn next_action(&mut self, now: Duration) -> Option<MigrationAction> {
        if self.actions.is_empty() {
            self.backoff_until.retain(|_, until| now < *until);
            self.resend_offers(now);
        }
        self.actions.pop_front()
    }

    fn resend_offers(&mut self, now: Duration) {
        let due = |offer: &OutgoingOffer| now >= offer.resend_at;
        let due_ids: Vec<u64> =
            self.outgoing.iter().filter(|(_, offer)| due(offer)).map(|(offer_id, _)| *offer_id).collect();
        for offer_id in due_ids {
            let Some(mut offer) = self.outgoing.remove(&offer_id) else { continue };
            if offer.attempts >= MAX_OFFER_ATTEMPTS {
                self.backoff_until.insert(offer.proxy.clone(), now + OFFER_BACKOFF);
                let action = MigrationAction::OfferUnanswered { proxy: offer.proxy, to: offer.to };
                self.actions.push_back(action);
                continue;
            }
            offer.attempts += 1;
            offer.resend_at = now + OFFER_RETRY_INTERVAL;
            self.send_offer(offer_id, &offer);
            self.outgoing.insert(offer_id, offer);
        }
    }

    /// Returns the earliest time at which [`Migrations::next_action`] may have something to do without new input, if
    /// any.
    pub fn next_deadline(&self) -> Option<Duration> {
        let resends = self.outgoing.values().map(|offer| offer.resend_at);
        resends.chain(self.backoff_until.values().copied()).min()
    }
}

fn is_valid(part: &OfferPart) -> bool {
    let count_is_valid = part.part_count != 0 && usize::from(part.part_count) <= MAX_PARTS;
    count_is_valid && part.part_index < part.part_count && part.bytes.len() <= MAX_PART_BYTES
}

#[cfg(test)]
mod tests;
