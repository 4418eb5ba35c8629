//! Fencing at the proxy: which governor's updates it accepts. This rejects old updates of a governor that
//! stalled and resumes, and updates of one of two governors that both believe they own the proxy. See
//! `docs/design/takeover.md`.

use std::collections::BTreeMap;

/// Maximum number of governors whose epochs are remembered, far above the number of real ones: otherwise
/// updates with a made-up name each would fill the memory.
const MAX_GOVERNORS: usize = 64;

/// Why an update is not accepted.
///
/// The texts are part of responses and must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// It comes from a governor that the proxy does not follow.
    #[error("it comes from another governor than the one that is followed")]
    NotFollowed,
    /// It has an older epoch than an update that was accepted.
    #[error("it comes from an older life of its governor than one that was heeded")]
    OlderEpoch,
    /// It has an older version than an update that was accepted in the same epoch.
    #[error("it is older than one of the same life that was heeded")]
    OlderVersion,
    /// It was sent before the current stream began.
    #[error("it was said on an older stream")]
    OlderStream,
}

/// The fencing token of an update: ordered by epoch, then by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct FencingToken {
    epoch: u64,
    version: u64,
}

/// Accepts updates of one epoch of one governor at a time, and never updates of an epoch older than the
/// newest that was accepted of that governor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FencingState {
    following: Option<String>,
    /// The newest token that was accepted of each governor.
    newest: BTreeMap<String, FencingToken>,
    /// The newest token that was accepted of the followed governor before its current stream began.
    before_stream: Option<FencingToken>,
}

impl FencingState {
    /// Follows this governor from now on, over a new stream, and rejects updates of all others. Updates that
    /// it sent on an earlier stream are not accepted again: each join gets a new version, above all versions
    /// sent before.
    pub fn follow(&mut self, governor: &str) {
        self.before_stream = self.newest.get(governor).copied();
        self.following = Some(governor.into());
    }

    /// Accepts or rejects an update. Versions never decrease within an epoch. On one stream, a version may
    /// arrive in several pieces.
    ///
    /// # Errors
    /// Why the update is rejected. The state is unchanged then.
    pub fn accept(&mut self, governor: &str, epoch: u64, version: u64) -> Result<(), FencingError> {
        if self.following.as_deref() != Some(governor) {
            return Err(FencingError::NotFollowed);
        }
        if let Some(newest) = self.newest.get(governor) {
            if epoch < newest.epoch {
                return Err(FencingError::OlderEpoch);
            }
            if epoch == newest.epoch && version < newest.version {
                return Err(FencingError::OlderVersion);
            }
        }
        if self.before_stream.is_some_and(|before| epoch == before.epoch && version <= before.version) {
            return Err(FencingError::OlderStream);
        }
        if self.newest.len() >= MAX_GOVERNORS && !self.newest.contains_key(governor) {
            self.newest.retain(|known, _| self.following.as_deref() == Some(known));
        }
        self.newest.insert(governor.into(), FencingToken { epoch, version });
        Ok(())
    }
}

#[cfg(test)]
mod tests;
