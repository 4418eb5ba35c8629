//! Ownership of proxies, for use where no governor can be asked: the order in which a proxy prefers
//! governors, the shared keys, and signed proofs of which governor's tables a proxy holds. No I/O, no clock.
//! See `docs/design/takeover.md`.

use crate::table_versions::{hex, unhex};

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 32;
/// Maximum length of a key's name, in characters.
const MAX_KEY_NAME: usize = 32;
/// Length of a message authentication code, in bytes.
const MAC_BYTES: usize = 32;
/// Maximum length of a signed proof, in bytes.
const MAX_PROOF_BYTES: usize = 2048;

/// The order in which a proxy prefers governors, best first, by rendezvous hashing of both names. The proxies
/// of a dead governor spread evenly over the others, no other proxy moves, and each proxy returns to the same
/// governor later.
///
/// Returns indices into `governors`.
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
    // Governors with equal names keep the order of the list.
    ranked.sort_by_key(|index| (std::cmp::Reverse(score(governors[*index])), *index));
    ranked
}

/// A claim about which governor's tables a proxy holds, and in which version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipClaim {
    /// The name of the governor.
    pub governor: String,
    /// The epoch of that governor, which numbers its runs.
    pub epoch: u64,
    /// The version of the tables.
    pub version: u64,
    /// The proxy that the tables were sent to: a claim is valid for this proxy only.
    pub proxy: String,
}

/// A named secret that all governors share. Two live keys allow a rotation: the first one signs, and all are
/// accepted.
#[derive(Clone, PartialEq, Eq)]
pub struct SigningKey {
    id: String,
    key: [u8; 32],
}

impl std::fmt::Debug for SigningKey {
    /// Omits the secret, which must not appear in logs.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Key({})", self.id)
    }
}

/// Why a key can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key's name has characters or a length that a proof can't contain.
    #[error("the name of a key must have 1 to 32 letters, digits, `-` or `_`")]
    InvalidName,
    /// The secret is so short that it could be guessed: the key's name and the length of the secret in bytes.
    #[error("the secret of key `{0}` has {1} bytes; at least 32 are required")]
    SecretTooShort(String, usize),
}

impl SigningKey {
    /// Creates a key from a secret of at least 32 bytes.
    ///
    /// # Errors
    /// The name is invalid, or the secret is too short.
    pub fn new(id: &str, secret: &[u8]) -> Result<SigningKey, KeyError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if id.is_empty() || id.len() > MAX_KEY_NAME || !id.chars().all(allowed) {
            return Err(KeyError::InvalidName);
        }
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyError::SecretTooShort(id.into(), secret.len()));
        }
        Ok(SigningKey { id: id.into(), key: blake3::derive_key("wrenthread 2026 claims", secret) })
    }
}

/// Why a proof or a sealed datagram is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProofError {
    /// It is malformed.
    #[error("it is malformed")]
    Malformed,
    /// It names a key that is not in use.
    #[error("it is signed with a key that is not in use")]
    UnknownKey,
    /// It was signed with another secret, or modified.
    #[error("its signature is wrong")]
    InvalidSignature,
    /// It was issued to another proxy.
    #[error("it was issued to another proxy")]
    OtherProxy,
}

// ---- datagrams between governors

/// Seals a datagram between governors as `LENGTH NAME MAC BODY`. This authenticates the sender and does not
/// encrypt the body.
pub fn seal(key: &SigningKey, body: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(1 + key.id.len() + MAC_BYTES + body.len());
    sealed.push(key.id.len() as u8);
    sealed.extend_from_slice(key.id.as_bytes());
    sealed.extend_from_slice(datagram_mac(key, body).as_bytes());
    sealed.extend_from_slice(body);
    sealed
}

/// Returns the body of a datagram that was sealed with any live key. There is no protection against replays:
/// a receiver must tolerate copies anyway.
///
/// # Errors
/// As [`ProofError`].
pub fn unseal<'a>(keys: &[SigningKey], sealed: &'a [u8]) -> Result<&'a [u8], ProofError> {
    let (length, rest) = sealed.split_first().ok_or(ProofError::Malformed)?;
    let (id, rest) = rest.split_at_checked(usize::from(*length)).ok_or(ProofError::Malformed)?;
    let (mac, body) = rest.split_at_checked(MAC_BYTES).ok_or(ProofError::Malformed)?;
    let key = keys.iter().find(|key| key.id.as_bytes() == id).ok_or(ProofError::UnknownKey)?;
    let mac = blake3::Hash::from_slice(mac).map_err(|_| ProofError::Malformed)?;
    // `blake3::Hash` compares in constant time, so the duration does not reveal how much of the code was
    // right.
    if datagram_mac(key, body) == mac { Ok(body) } else { Err(ProofError::InvalidSignature) }
}

/// The MAC of a datagram covers a leading zero byte. A proof is text and never contains one, so no MAC is
/// valid for both.
fn datagram_mac(key: &SigningKey, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.key);
    hasher.update(&[0]).update(body).finalize()
}

// ---- proofs of ownership

/// Signs a claim as `KEY.GOVERNOR.EPOCH.VERSION.PROXY.MAC`. Names are in hexadecimal, so that nothing needs
/// quoting.
pub fn sign(key: &SigningKey, claim: &OwnershipClaim) -> String {
    let governor = hex(claim.governor.as_bytes());
    let proxy = hex(claim.proxy.as_bytes());
    let text = format!("{}.{governor}.{:x}.{:x}.{proxy}", key.id, claim.epoch, claim.version);
    let mac = blake3::keyed_hash(&key.key, text.as_bytes());
    format!("{text}.{}", mac.to_hex())
}

/// Verifies a proxy's signed proof and returns its claim.
///
/// # Errors
/// As [`ProofError`]. A claim that is not proven must not be used.
pub fn verify(keys: &[SigningKey], proxy: &str, signed: &str) -> Result<OwnershipClaim, ProofError> {
    if signed.len() > MAX_PROOF_BYTES {
        return Err(ProofError::Malformed);
    }
    let (text, mac) = signed.rsplit_once('.').ok_or(ProofError::Malformed)?;
    let parts: Vec<&str> = text.split('.').collect();
    let [id, governor, epoch, version, owned_proxy] = parts[..] else { return Err(ProofError::Malformed) };
    let key = keys.iter().find(|key| key.id == id).ok_or(ProofError::UnknownKey)?;
    let mac = blake3::Hash::from_hex(mac).map_err(|_| ProofError::Malformed)?;
    // Compared in constant time, so that the duration does not reveal how much of the code was right.
    if blake3::keyed_hash(&key.key, text.as_bytes()) != mac {
        return Err(ProofError::InvalidSignature);
    }
    let name =
        |text| unhex(text).and_then(|bytes| String::from_utf8(bytes).ok()).ok_or(ProofError::Malformed);
    let number = |text| u64::from_str_radix(text, 16).map_err(|_| ProofError::Malformed);
    let claim = OwnershipClaim {
        governor: name(governor)?,
        epoch: number(epoch)?,
        version: number(version)?,
        proxy: name(owned_proxy)?,
    };
    if claim.proxy == proxy { Ok(claim) } else { Err(ProofError::OtherProxy) }
}

#[cfg(test)]
mod tests;
