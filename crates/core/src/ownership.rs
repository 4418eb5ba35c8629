//! Whose care a proxy is in, where nobody can be asked: to which governor it goes, whose orders it heeds, how
//! it shows whose orders it holds, and when it goes home. No I/O, no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::table_versions::{hex, unhex};

/// The order in which a proxy dials governors: best first, by rendezvous hashing of both names. A dead
/// governor's proxies spread evenly over the others, nobody else moves, and each comes home to the same one.
pub fn ranking(proxy: &str, governors: &[&str]) -> Vec<usize> {
    let score = |governor: &str| {
        let mut hasher = blake3::Hasher::new_derive_key("wrenthread 2026 rendezvous");
        for text in [proxy, governor] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        *hasher.finalize().as_bytes()
    };
    let mut ranked: Vec<usize> = (0..governors.len()).collect();
    // Two of one name stand in the order in which they are stated.
    ranked.sort_by_key(|place| (std::cmp::Reverse(score(governors[*place])), *place));
    ranked
}

/// Whose orders a proxy holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipClaim {
    pub governor: String,
    /// The governor's life.
    pub epoch: u64,
    pub version: u64,
    /// The proxy that was given them: a claim is no other's.
    pub proxy: String,
}

/// A secret that all governors share, by its name. Two live ones make a change of keys possible: the first
/// signs, all are believed.
#[derive(Clone, PartialEq, Eq)]
pub struct SigningKey {
    id: String,
    key: [u8; 32],
}

impl std::fmt::Debug for SigningKey {
    /// Without the secret: keys must not show in logs.
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "Key({})", self.id)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("a key's name has 1 to 32 letters, digits, `-` or `_`")]
    Name,
    #[error("the secret of key `{0}` has {1} bytes; it takes 32 at least")]
    Short(String, usize),
}

impl SigningKey {
    /// A key from a secret of any length from 32 bytes on.
    ///
    /// Errors: a name that could not stand in a claim, a secret that could be guessed.
    pub fn new(id: &str, secret: &[u8]) -> Result<SigningKey, KeyError> {
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if id.is_empty() || id.len() > 32 || !id.chars().all(fits) {
            return Err(KeyError::Name);
        }
        if secret.len() < 32 {
            return Err(KeyError::Short(id.into(), secret.len()));
        }
        Ok(SigningKey { id: id.into(), key: blake3::derive_key("wrenthread 2026 claims", secret) })
    }
}

/// What governors say to each other, sealed: `LENGTH NAME MAC BODY`. It shows who may speak, and hides
/// nothing.
pub fn seal(key: &SigningKey, body: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(33 + key.id.len() + body.len());
    sealed.push(key.id.len() as u8);
    sealed.extend_from_slice(key.id.as_bytes());
    sealed.extend_from_slice(talk_mac(key, body).as_bytes());
    sealed.extend_from_slice(body);
    sealed
}

/// The body of what was sealed with any live key. An old one is as good as a new one: who hears it must bear
/// copies anyhow.
///
/// Errors: as [`ProofError`].
pub fn unseal<'a>(keys: &[SigningKey], sealed: &'a [u8]) -> Result<&'a [u8], ProofError> {
    let (length, rest) = sealed.split_first().ok_or(ProofError::Unclear)?;
    let (id, rest) = rest.split_at_checked(usize::from(*length)).ok_or(ProofError::Unclear)?;
    let (mac, body) = rest.split_at_checked(32).ok_or(ProofError::Unclear)?;
    let key = keys.iter().find(|key| key.id.as_bytes() == id).ok_or(ProofError::Key)?;
    let mac = blake3::Hash::from_slice(mac).map_err(|_| ProofError::Unclear)?;
    if talk_mac(key, body) == mac { Ok(body) } else { Err(ProofError::Signature) }
}

/// A claim is text: no body that begins with a zero is ever one.
fn talk_mac(key: &SigningKey, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.key);
    hasher.update(&[0]).update(body).finalize()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProofError {
    #[error("it is no claim")]
    Unclear,
    #[error("it is signed with a key that is not live")]
    Key,
    #[error("its signature is not right")]
    Signature,
    #[error("it is another proxy's")]
    NotItsOwn,
}

/// No claim is longer.
const LONGEST: usize = 2048;

/// Signs a claim: `KEY.GOVERNOR.EPOCH.VERSION.PROXY.MAC`, names in hexadecimal, so that nothing needs
/// quoting.
pub fn sign(key: &SigningKey, claim: &OwnershipClaim) -> String {
    let (governor, proxy) = (hex(claim.governor.as_bytes()), hex(claim.proxy.as_bytes()));
    let said = format!("{}.{governor}.{:x}.{:x}.{proxy}", key.id, claim.epoch, claim.version);
    let mac = blake3::keyed_hash(&key.key, said.as_bytes());
    format!("{said}.{}", mac.to_hex())
}

/// What a signed claim of a proxy says.
///
/// Errors: as [`ProofError`]; a claim that is not proven tells nothing.
pub fn prove(keys: &[SigningKey], proxy: &str, signed: &str) -> Result<OwnershipClaim, ProofError> {
    if signed.len() > LONGEST {
        return Err(ProofError::Unclear);
    }
    let (said, mac) = signed.rsplit_once('.').ok_or(ProofError::Unclear)?;
    let parts: Vec<&str> = said.split('.').collect();
    let [id, governor, epoch, version, of] = parts[..] else { return Err(ProofError::Unclear) };
    let key = keys.iter().find(|key| key.id == id).ok_or(ProofError::Key)?;
    let mac = blake3::Hash::from_hex(mac).map_err(|_| ProofError::Unclear)?;
    // Compared in a time that does not tell how much of it was right.
    if blake3::keyed_hash(&key.key, said.as_bytes()) != mac {
        return Err(ProofError::Signature);
    }
    let name = |text| unhex(text).and_then(|bytes| String::from_utf8(bytes).ok()).ok_or(ProofError::Unclear);
    let number = |text| u64::from_str_radix(text, 16).map_err(|_| ProofError::Unclear);
    let claim = OwnershipClaim {
        governor: name(governor)?,
        epoch: number(epoch)?,
        version: number(version)?,
        proxy: name(of)?,
    };
    if claim.proxy == proxy { Ok(claim) } else { Err(ProofError::NotItsOwn) }
}

/// Why an order is not heeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    #[error("it comes from another governor than the one that is followed")]
    NotFollowed,
    #[error("it comes from an older life of its governor than one that was heeded")]
    OlderLife,
    #[error("it is older than one of the same life that was heeded")]
    OlderVersion,
    #[error("it was said on an older stream")]
    OlderStream,
}

/// At the proxy: whose orders it heeds. One governor's one life at a time, and of each governor never an
/// older life than the newest that was ever heeded; so two that both believe they own a proxy, and one that
/// stalls and wakes with old orders, do no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FencingState {
    following: Option<String>,
    newest: BTreeMap<String, (u64, u64)>,
    /// The newest that was heeded of the one that is followed, before its stream of now began.
    before: Option<(u64, u64)>,
}

/// Governors whose lives a fence remembers. There are never so many; a made-up name in each order would fill
/// it.
const MOST_GOVERNORS: usize = 64;

impl FencingState {
    /// From now on this governor's orders count, and no other's; a new stream of its begins. What it said on
    /// an older one doesn't count again: each join gets a version of its own, beyond all that was said
    /// before.
    pub fn follow(&mut self, governor: &str) {
        self.before = self.newest.get(governor).copied();
        self.following = Some(governor.into());
    }

    /// Takes an order in, or refuses it. Within a life versions never go back, and on one stream the same may
    /// come in several pieces.
    pub fn accept(&mut self, governor: &str, epoch: u64, version: u64) -> Result<(), FencingError> {
        if self.following.as_deref() != Some(governor) {
            return Err(FencingError::NotFollowed);
        }
        match self.newest.get(governor) {
            Some((newest, _)) if epoch < *newest => return Err(FencingError::OlderLife),
            Some((newest, heeded)) if epoch == *newest && version < *heeded => {
                return Err(FencingError::OlderVersion);
            }
            _ if self.before.is_some_and(|(before, heeded)| epoch == before && version <= heeded) => {
                return Err(FencingError::OlderStream);
            }
            _ => {}
        }
        if self.newest.len() >= MOST_GOVERNORS && !self.newest.contains_key(governor) {
            self.newest.retain(|known, _| self.following.as_deref() == Some(known));
        }
        self.newest.insert(governor.into(), (epoch, version));
        Ok(())
    }
}

/// When a proxy that lives elsewhere goes home.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Failback {
    steady: Duration,
    delay: Duration,
    well_since: Option<Duration>,
}

impl Failback {
    /// `steady`: its home must have answered for so long without a break; then it goes within `over`, at a
    /// moment that its name settles, so that a fleet comes home evenly and the same way each time.
    pub fn new(proxy: &str, steady: Duration, over: Duration) -> Self {
        let hash = blake3::derive_key("wrenthread 2026 homeward", proxy.as_bytes());
        let part = u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]]);
        let delay = over.mul_f64(f64::from(part) / f64::from(u32::MAX));
        Failback { steady, delay, well_since: None }
    }

    /// Its home was asked, and answered or did not.
    pub fn asked(&mut self, now: Duration, answered: bool) {
        self.well_since = if answered { self.well_since.or(Some(now)) } else { None };
    }

    /// When it goes, as far as is known.
    pub fn goes_at(&self) -> Option<Duration> {
        self.well_since.map(|since| since + self.steady + self.delay)
    }

    pub fn goes(&self, now: Duration) -> bool {
        self.goes_at().is_some_and(|at| now >= at)
    }
}

/// Which governor a proxy dials next, and when it leaves one for its home.
///
/// A governor that can't be had is passed over for the next in rank; after the last it begins anew at home.
/// So a proxy whose governors are all dead goes round until one is back.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GovernorSelector {
    ranking: Vec<usize>,
    at: usize,
    /// Its governors sent it where it is: it stays there until that one is lost, or sends it on.
    placed: bool,
    homeward: Failback,
}

impl GovernorSelector {
    /// `governors`: their names, the same list at every proxy; empty is of no use, and dials the first for
    /// ever.
    pub fn new(proxy: &str, governors: &[&str], steady: Duration, over: Duration) -> Self {
        let ranking = ranking(proxy, governors);
        GovernorSelector { ranking, at: 0, placed: false, homeward: Failback::new(proxy, steady, over) }
    }

    /// The governor to dial, by its place in the list.
    pub fn current(&self) -> usize {
        self.ranking.get(self.at).copied().unwrap_or(0)
    }

    pub fn home(&self) -> usize {
        self.ranking.first().copied().unwrap_or(0)
    }

    pub fn is_home(&self) -> bool {
        self.at == 0
    }

    /// The governor dialled can't be had, or its stream is over.
    pub fn connection_lost(&mut self) {
        self.at = (self.at + 1) % self.ranking.len().max(1);
        self.placed = false;
    }

    /// The governor sends it on: to another by its place in the list, or (none, or one that is not listed
    /// here) away to whoever is next.
    ///
    /// Who is placed doesn't go home by itself: its home may have sent it away for being overrun, and would
    /// again. *Harm:* if governors can't talk any more, it stays where it is placed.
    pub fn redirected(&mut self, to: Option<usize>) {
        match to.and_then(|to| self.ranking.iter().position(|place| *place == to)) {
            Some(at) => (self.at, self.placed) = (at, true),
            None => self.connection_lost(),
        }
        self.homeward.well_since = None;
    }

    /// Its home was asked whether it is there. Whether it goes there now.
    pub fn home_checked(&mut self, now: Duration, answered: bool) -> bool {
        if self.is_home() || self.placed {
            return false;
        }
        self.homeward.asked(now, answered);
        let goes = self.homeward.goes(now);
        if goes {
            self.at = 0;
            self.homeward.asked(now, false);
        }
        goes
    }
}

#[cfg(test)]
mod tests;
