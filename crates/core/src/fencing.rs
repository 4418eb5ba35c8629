//! Fencing, at the proxy: which governor's updates it accepts. A governor that stalled and wakes with old updates,
//! and two governors that both believe they own a proxy, are fenced off here. See `docs/design/takeover.md`.

use std::collections::BTreeMap;

/// Governors whose epochs are remembered. There are never so many; a made-up name in each update would fill the
/// memory.
const MAX_GOVERNORS: usize = 64;

/// Why an update is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// It comes from a governor that is not followed.
    #[error("it comes from another governor than the one that is followed")]
    NotFollowed,
    /// It comes from an older epoch than one that was accepted.
    #[error("it comes from an older life of its governor than one that was heeded")]
    OlderLife,
    /// It is older than one that was accepted in the same epoch.
    #[error("it is older than one of the same life that was heeded")]
    OlderVersion,
    /// It was sent before the present stream began.
    #[error("it was said on an older stream")]
    OlderStream,
}

/// The fencing token of an update: ordered by epoch, then by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct FencingToken {
    epoch: u64,
    version: u64,
}

/// Accepts updates of one governor's one epoch at a time, and of each governor never an older epoch than the newest
/// that was ever accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FencingState {
    following: Option<String>,
    /// The newest that was accepted of each governor.
    newest: BTreeMap<String, FencingToken>,
    /// The newest that was accepted of the governor that is followed, before its present stream began.
    before_stream: Option<FencingToken>,
}

impl FencingState {
    /// From now on updates of this governor are accepted, and no other's; a new stream of its begins. What it sent
    /// on an older one doesn't count again: each join gets a version of its own, beyond all that was sent before.
    pub fn follow(&mut self, governor: &str) {
        self.before_stream = self.newest.get(governor).copied();
        self.following = Some(governor.into());
    }

    /// Accepts an update, or fences it off. Within an epoch versions never go back, and on one stream the same
    /// version may come in several pieces.
    ///
    /// # Errors
    /// Why it is fenced off; nothing is changed then.
    pub fn accept(&mut self, governor: &str, epoch: u64, version: u64) -> Result<(), FencingError> {
        if self.following.as_deref() != Some(governor) {
            return Err(FencingError::NotFollowed);
        }
        if let Some(newest) = self.newest.get(governor) {
            if epoch < newest.epoch {
                return Err(FencingError::OlderLife);
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
