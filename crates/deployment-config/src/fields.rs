//! Reads the fields of a JSON object by name, and checks their types.

use std::sync::LazyLock;
use std::time::Duration;

use serde_json::{Map, Value};
use thiserror::Error;

/// Counts must be below this limit: an `f64` may not represent larger ones exactly.
const MAX_COUNT: f64 = 9e15;

static EMPTY: LazyLock<Map<String, Value>> = LazyLock::new(Map::new);

/// Why a field is invalid; each variant contains the field's name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldError {
    /// The field is missing, of another type, negative, fractional or too large to be exact.
    #[error("`{0}` is not a whole number")]
    NotWholeNumber(String),
    /// The field is missing, of another type or negative.
    #[error("`{0}` is not a non-negative number")]
    NotNonNegative(String),
    /// The value exceeds the range of the type that it is read into.
    #[error("`{0}` is too large")]
    TooLarge(String),
    /// The field is missing or of another type.
    #[error("`{0}` is not a string")]
    NotText(String),
    /// The field, or one of its entries, is of another type.
    #[error("`{0}` or one of its entries is not an object")]
    NotObject(String),
}

/// Reads the fields of one JSON object. A null field counts as absent.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'a> {
    object: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// Creates a reader for the fields of `object`.
    pub fn new(object: &'a Map<String, Value>) -> Self {
        Fields { object }
    }

    /// Returns the field's value, or `None` if it is absent or null.
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.object.get(name).filter(|value| !value.is_null())
    }

    /// Reads a count. It may be written as 3.0, since some JSON writers have only one number type.
    ///
    /// # Errors
    ///
    /// The field is absent or not a count.
    pub fn count(&self, name: &str) -> Result<u64, FieldError> {
        match self.non_negative(name) {
            Ok(number) if number.fract() == 0.0 && number < MAX_COUNT => Ok(number as u64),
            _ => Err(FieldError::NotWholeNumber(name.into())),
        }
    }

    /// Reads a non-negative number.
    ///
    /// # Errors
    ///
    /// The field is absent or not a non-negative number.
    pub fn non_negative(&self, name: &str) -> Result<f64, FieldError> {
        let number = self.get(name).and_then(Value::as_f64).filter(|number| *number >= 0.0);
        number.ok_or_else(|| FieldError::NotNonNegative(name.into()))
    }

    /// Reads a count that fits the type `T`.
    ///
    /// # Errors
    ///
    /// The field is absent, not a count or too large for `T`.
    pub fn integer<T: TryFrom<u64>>(&self, name: &str) -> Result<T, FieldError> {
        T::try_from(self.count(name)?).map_err(|_| FieldError::TooLarge(name.into()))
    }

    /// Reads a whole number of microseconds.
    ///
    /// # Errors
    ///
    /// The field is absent or not a count.
    pub fn micros(&self, name: &str) -> Result<Duration, FieldError> {
        self.count(name).map(Duration::from_micros)
    }

    /// Returns the field if it is a finite number, or else `default`.
    pub fn number_or(&self, name: &str, default: f64) -> f64 {
        self.get(name).and_then(Value::as_f64).filter(|number| number.is_finite()).unwrap_or(default)
    }

    /// Whether the field is `true`.
    pub fn is_true(&self, name: &str) -> bool {
        self.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Reads a string.
    ///
    /// # Errors
    ///
    /// The field is absent or not a string.
    pub fn text(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).and_then(Value::as_str).ok_or_else(|| FieldError::NotText(name.into()))
    }

    /// Returns the field if it is a string, or else the empty string.
    pub fn text_or_empty(&self, name: &str) -> &'a str {
        self.text(name).unwrap_or_default()
    }

    /// Returns the field if it is an object, or else an empty object.
    pub fn object_or_empty(&self, name: &str) -> Fields<'a> {
        Fields::new(self.get(name).and_then(Value::as_object).unwrap_or(&EMPTY))
    }

    /// Returns the field if it is an array, or else an empty array.
    pub fn array_or_empty(&self, name: &str) -> &'a [Value] {
        self.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// Reads an object, which is empty if the field is absent.
    pub(crate) fn section(&self, name: &str) -> Result<Fields<'a>, FieldError> {
        match self.get(name) {
            Some(value) if !value.is_object() => Err(FieldError::NotObject(name.into())),
            _ => Ok(self.object_or_empty(name)),
        }
    }

    /// Reads the field with `read`, or returns `default` if it is absent. A field of another type is an error, as using
    /// the default would silently ignore the configured value.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        default: T,
        read: impl Fn(&Self, &str) -> Result<T, FieldError>,
    ) -> Result<T, FieldError> {
        if self.get(name).is_some() { read(self, name) } else { Ok(default) }
    }
}
