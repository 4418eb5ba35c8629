//! Ownership of proxies, where no governor can be asked: the order of governors for a proxy, the shared keys, and
//! signed proofs of whose tables a proxy holds. No I/O, no clock. See `docs/design/takeover.md`.

use crate::table_versions::{hex, unhex};

/// Bytes of a secret, at least.
const MIN_SECRET_BYTES: usize = 32;
/// Characters of a key's name.
const MAX_KEY_NAME: usize = 32;
/// Bytes of a message authentication code.
const MAC_BYTES: usize = 32;
/// No signed proof is longer, in bytes.
const MAX_PROOF_BYTES: usize = 2048;

/// The order in which a proxy prefers governors: best first, by rendezvous hashing of both names. A dead governor's
/// proxies spread evenly over the others, nobody else moves, and each comes back to the same one.
///
/// Returns places in `governors`.
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
    // Two of one name stand in the order in which they are listed.
    ranked.sort_by_key(|place| (std::cmp::Reverse(score(governors[*place])), *place));
    ranked
}

/// Whose tables a proxy holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipClaim {
    /// The name of the governor.
    pub governor: String,
    /// The number of that governor's run.
    pub epoch: u64,
    /// The version of the tables.
    pub version: u64,
    /// The proxy that was given them: a claim is no other's.
    pub proxy: String,
}

/// A secret that all governors share, by its name. Two live ones make a rotation possible: the first signs, all are
/// accepted.
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

/// Why a key can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Its name could not stand in a proof.
    #[error("a key's name has 1 to 32 letters, digits, `-` or `_`")]
    Name,
    /// The key's name and the length of its secret, which could be guessed.
    #[error("the secret of key `{0}` has {1} bytes; it takes 32 at least")]
    Short(String, usize),
}

impl SigningKey {
    /// A key from a secret of at least 32 bytes.
    ///
    /// # Errors
    /// A name that could not stand in a proof, a secret that could be guessed.
    pub fn new(id: &str, secret: &[u8]) -> Result<SigningKey, KeyError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if id.is_empty() || id.len() > MAX_KEY_NAME || !id.chars().all(allowed) {
            return Err(KeyError::Name);
        }
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyError::Short(id.into(), secret.len()));
        }
        Ok(SigningKey { id: id.into(), key: blake3::derive_key("wrenthread 2026 claims", secret) })
    }
}

/// Why a proof or a sealed body is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProofError {
    /// It can't be read.
    #[error("it is no claim")]
    Unclear,
    /// It names a key that is not live.
    #[error("it is signed with a key that is not live")]
    Key,
    /// It was signed with another secret, or changed.
    #[error("its signature is not right")]
    Signature,
    /// It was given to another proxy.
    #[error("it is another proxy's")]
    NotItsOwn,
}

// ---- datagrams between governors

/// Seals a datagram between governors: `LENGTH NAME MAC BODY`. That authenticates the sender, and hides nothing.
pub fn seal(key: &SigningKey, body: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(1 + key.id.len() + MAC_BYTES + body.len());
    sealed.push(key.id.len() as u8);
    sealed.extend_from_slice(key.id.as_bytes());
    sealed.extend_from_slice(datagram_mac(key, body).as_bytes());
    sealed.extend_from_slice(body);
    sealed
}

/// The body of what was sealed with any live key. An old one is as good as a new one: a receiver must bear copies
/// anyhow.
///
/// # Errors
/// As [`ProofError`].
pub fn unseal<'a>(keys: &[SigningKey], sealed: &'a [u8]) -> Result<&'a [u8], ProofError> {
    let (length, rest) = sealed.split_first().ok_or(ProofError::Unclear)?;
    let (id, rest) = rest.split_at_checked(usize::from(*length)).ok_or(ProofError::Unclear)?;
    let (mac, body) = rest.split_at_checked(MAC_BYTES).ok_or(ProofError::Unclear)?;
    let key = keys.iter().find(|key| key.id.as_bytes() == id).ok_or(ProofError::Key)?;
    let mac = blake3::Hash::from_slice(mac).map_err(|_| ProofError::Unclear)?;
    // Compared in a time that does not tell how much of it was right, as `blake3::Hash` does.
    if datagram_mac(key, body) == mac { Ok(body) } else { Err(ProofError::Signature) }
}

/// A proof is text: no body that begins with a zero is ever one.
fn datagram_mac(key: &SigningKey, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.key);
    hasher.update(&[0]).update(body).finalize()
}

// ---- proofs of ownership

/// Signs a claim: `KEY.GOVERNOR.EPOCH.VERSION.PROXY.MAC`, names in hexadecimal, so that nothing needs quoting.
pub fn sign(key: &SigningKey, claim: &OwnershipClaim) -> String {
    let governor = hex(claim.governor.as_bytes());
    let proxy = hex(claim.proxy.as_bytes());
    let text = format!("{}.{governor}.{:x}.{:x}.{proxy}", key.id, claim.epoch, claim.version);
    let mac = blake3::keyed_hash(&key.key, text.as_bytes());
    format!("{text}.{}", mac.to_hex())
}

/// The claim of a proxy's signed proof.
///
/// # Errors
/// As [`ProofError`]; a claim that is not proven counts for nothing.
pub fn prove(keys: &[SigningKey], proxy: &str, signed: &str) -> Result<OwnershipClaim, ProofError> {
    if signed.len() > MAX_PROOF_BYTES {
        return Err(ProofError::Unclear);
    }
    let (text, mac) = signed.rsplit_once('.').ok_or(ProofError::Unclear)?;
    let parts: Vec<&str> = text.split('.').collect();
    let [id, governor, epoch, version, owned_proxy] = parts[..] else { return Err(ProofError::Unclear) };
    let key = keys.iter().find(|key| key.id == id).ok_or(ProofError::Key)?;
    let mac = blake3::Hash::from_hex(mac).map_err(|_| ProofError::Unclear)?;
    // Compared in a time that does not tell how much of it was right.
    if blake3::keyed_hash(&key.key, text.as_bytes()) != mac {
        return Err(ProofError::Signature);
    }
    let name = |text| unhex(text).and_then(|bytes| String::from_utf8(bytes).ok()).ok_or(ProofError::Unclear);
    let number = |text| u64::from_str_radix(text, 16).map_err(|_| ProofError::Unclear);
    let claim = OwnershipClaim {
        governor: name(governor)?,
        epoch: number(epoch)?,
        version: number(version)?,
        proxy: name(owned_proxy)?,
    };
    if claim.proxy == proxy { Ok(claim) } else { Err(ProofError::NotItsOwn) }
}

#[cfg(test)]
mod tests;
