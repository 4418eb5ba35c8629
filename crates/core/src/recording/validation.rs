//! Checks that a recording is complete and its values are possible.

use std::collections::BTreeSet;
use std::sync::Arc;

use wrenthread::types::{ClassSet, ProxyId};

use super::{FORMAT_VERSION, RecordedLimits, RecordedProxy, RecordedReplica, Recording};

/// Upper limit of the number of replicas.
const MAX_REPLICAS: usize = 100_000;

/// Why a recording can't be used for a dry run.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RecordingError {
    /// It has another format version than [`FORMAT_VERSION`].
    #[error("the recording has format {form}; this version reads format {FORMAT_VERSION}")]
    UnsupportedFormat {
        /// The format version that it has.
        form: u32,
    },
    /// It has more replicas or proxies than a governor supports.
    #[error("the recording has more {kind} than a governor supports")]
    TooMany {
        /// `replicas` or `proxies`.
        kind: &'static str,
    },
    /// A replica or a proxy has a zone index that is out of range.
    #[error("{kind} `{name}` has zone index {zone}; the number of zones is {zone_count}")]
    ZoneOutOfRange {
        /// Replica or proxy.
        kind: &'static str,
        /// Its name.
        name: Arc<str>,
        /// The index of its zone.
        zone: usize,
        /// Number of zones of the recording.
        zone_count: usize,
    },
    /// A figure is negative or not finite.
    #[error("{kind} `{name}` has the figure `{figure}`, which is negative or not finite")]
    InvalidFigure {
        /// The kind of object that has the figure.
        kind: &'static str,
        /// Its name.
        name: Arc<str>,
        /// The figure.
        figure: f64,
    },
    /// A name occurs twice.
    #[error("{kind} `{name}` occurs twice")]
    DuplicateName {
        /// Replica or proxy.
        kind: &'static str,
        /// The name.
        name: Arc<str>,
    },
    /// A proxy or the limits have values for another number of traffic classes than the recording.
    #[error("`{name}` has entries for {given} groups; the number of groups is {expected}")]
    ClassCountMismatch {
        /// A proxy's name, or `limits`.
        name: Arc<str>,
        /// The number of classes for which it has values.
        given: usize,
        /// Number of traffic classes of the recording.
        expected: usize,
    },
}

impl Recording {
    pub(super) fn validate(&self) -> Result<(), RecordingError> {
        if self.form != FORMAT_VERSION {
            return Err(RecordingError::UnsupportedFormat { form: self.form });
        }
        if self.replicas.len() > MAX_REPLICAS {
            return Err(RecordingError::TooMany { kind: "replicas" });
        }
        if self.proxies.len() > usize::from(ProxyId::MAX) {
            return Err(RecordingError::TooMany { kind: "proxies" });
        }
        self.limits.validate(self.groups.len())?;
        self.validate_replicas()?;
        self.validate_proxies()?;
        for observed in &self.throughput {
            validate_figure("replica", &observed.replica, observed.per_second)?;
        }
        Ok(())
    }

    fn validate_replicas(&self) -> Result<(), RecordingError> {
        let mut names = BTreeSet::new();
        for replica in &self.replicas {
            replica.validate(self.zones.len())?;
            if !names.insert(&replica.id) {
                return Err(RecordingError::DuplicateName { kind: "replica", name: replica.id.clone() });
            }
        }
        Ok(())
    }

    fn validate_proxies(&self) -> Result<(), RecordingError> {
        let mut names = BTreeSet::new();
        for proxy in &self.proxies {
            proxy.validate(self.zones.len(), self.groups.len())?;
            if !names.insert(&proxy.name) {
                return Err(RecordingError::DuplicateName { kind: "proxy", name: proxy.name.clone() });
            }
        }
        Ok(())
    }
}

impl RecordedLimits {
    fn validate(&self, class_count: usize) -> Result<(), RecordingError> {
        let name: Arc<str> = "limits".into();
        for given in [self.same_zone_only.len(), self.not_idempotent.len()] {
            if given != class_count || class_count > ClassSet::BITS as usize {
                return Err(RecordingError::ClassCountMismatch { name, given, expected: class_count });
            }
        }
        for figure in [self.initial_capacity_fraction, self.slow_start_seconds, self.max_entries] {
            validate_figure("the recording's", &name, figure)?;
        }
        Ok(())
    }
}

impl RecordedReplica {
    fn validate(&self, zone_count: usize) -> Result<(), RecordingError> {
        validate_zone("replica", &self.id, self.zone, zone_count)?;
        validate_figure("replica", &self.id, self.weight)?;
        validate_figure("replica", &self.id, self.age_seconds.unwrap_or(0.0))
    }
}

impl RecordedProxy {
    fn validate(&self, zone_count: usize, class_count: usize) -> Result<(), RecordingError> {
        validate_zone("proxy", &self.name, self.zone, zone_count)?;
        if self.classes.len() != class_count {
            return Err(RecordingError::ClassCountMismatch {
                name: self.name.clone(),
                given: self.classes.len(),
                expected: class_count,
            });
        }
        for class in &self.classes {
            validate_figure("proxy", &self.name, class.requests_per_second)?;
        }
        Ok(())
    }
}

fn validate_zone(
    kind: &'static str,
    name: &Arc<str>,
    zone: usize,
    zone_count: usize,
) -> Result<(), RecordingError> {
    if zone < zone_count {
        return Ok(());
    }
    Err(RecordingError::ZoneOutOfRange { kind, name: name.clone(), zone, zone_count })
}

fn validate_figure(kind: &'static str, name: &Arc<str>, figure: f64) -> Result<(), RecordingError> {
    if figure.is_finite() && figure >= 0.0 {
        return Ok(());
    }
    Err(RecordingError::InvalidFigure { kind, name: name.clone(), figure })
}
