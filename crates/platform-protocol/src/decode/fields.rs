//! Reads the fields of one message, and checks their types and ranges.

use std::time::Duration;

use serde_json::{Map, Value};

use super::{DecodeError, wire};

/// The longest valid report interval. Reports cover about a second, or more if they were delayed, but not minutes.
pub const MAX_INTERVAL_MILLIS: f64 = 120_000.0;
/// The largest valid request rate. No proxy or replica can reach it; it keeps a wrong count from outweighing correct
/// ones.
pub const MAX_REQUESTS_PER_SECOND: f64 = 100_000.0;

/// The fields of one message.
pub struct MessageFields<'a> {
    fields: &'a Map<String, Value>,
}

impl<'a> MessageFields<'a> {
    pub fn new(fields: &'a Map<String, Value>) -> Self {
        MessageFields { fields }
    }

    /// The field's value; `None` if it is absent or null.
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.fields.get(name).filter(|value| !value.is_null())
    }

    pub fn text(&self, name: &'static str) -> Result<&'a str, DecodeError> {
        self.get(name).and_then(Value::as_str).ok_or(DecodeError::InvalidField(name))
    }

    /// A number from 0 to `max`.
    pub fn number(&self, name: &'static str, max: f64) -> Result<f64, DecodeError> {
        let number = self.get(name).and_then(Value::as_f64);
        number.filter(|number| (0.0..=max).contains(number)).ok_or(DecodeError::InvalidField(name))
    }

    /// A count up to `max`. It may be written as 3.0, since some JSON writers have only one number type.
    pub fn count(&self, name: &'static str, max: f64) -> Result<u64, DecodeError> {
        let number = self.number(name, max)?;
        if number.fract() == 0.0 { Ok(number as u64) } else { Err(DecodeError::InvalidField(name)) }
    }

    /// A number of milliseconds up to `max_millis`.
    pub fn millis(&self, name: &'static str, max_millis: f64) -> Result<Duration, DecodeError> {
        Ok(Duration::from_secs_f64(self.number(name, max_millis)? / 1000.0))
    }

    /// A boolean; false if it is absent.
    pub fn flag(&self, name: &'static str) -> Result<bool, DecodeError> {
        self.get(name).map_or(Some(false), Value::as_bool).ok_or(DecodeError::InvalidField(name))
    }

    /// The interval that a report covers; 0 is invalid.
    pub fn interval(&self) -> Result<Duration, DecodeError> {
        let interval = self.millis(wire::INTERVAL_MILLIS, MAX_INTERVAL_MILLIS)?;
        if interval.is_zero() { Err(DecodeError::InvalidField(wire::INTERVAL_MILLIS)) } else { Ok(interval) }
    }
}

/// The largest valid count in a report over `interval`.
pub fn max_count(interval: Duration) -> f64 {
    (MAX_REQUESTS_PER_SECOND * interval.as_secs_f64()).max(MAX_REQUESTS_PER_SECOND)
}
