//! Reads a JSON object's fields by name, each checked for its type.

use std::sync::LazyLock;
use std::time::Duration;

use serde_json::{Map, Value};
use thiserror::Error;

/// Counts from here on are not exact in a double.
const MAX_COUNT: f64 = 9e15;

static EMPTY: LazyLock<Map<String, Value>> = LazyLock::new(Map::new);

/// What is wrong with a field; each variant holds its name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldError {
    /// It is missing, of another type, negative or a fraction.
    #[error("`{0}` is not a whole number")]
    NotWholeNumber(String),
    /// It is missing, of another type or negative.
    #[error("`{0}` is not a number from 0 on")]
    NotNonNegative(String),
    /// It is over what its type holds.
    #[error("`{0}` is too large")]
    TooLarge(String),
    /// It is missing or of another type.
    #[error("`{0}` is not a text")]
    NotText(String),
    /// It, or an entry of it, is of another type.
    #[error("`{0}`, or an entry of it, is no object")]
    NotObject(String),
}

/// The fields of one object. A field that is null counts as absent.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'a> {
    object: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// The fields of this object.
    pub fn new(object: &'a Map<String, Value>) -> Self {
        Fields { object }
    }

    /// The field's value, if it is there.
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.object.get(name).filter(|value| !value.is_null())
    }

    /// A count, which may come as 3.0 from a writer that knows one kind of number only.
    ///
    /// # Errors
    ///
    /// It is absent or no count.
    pub fn count(&self, name: &str) -> Result<u64, FieldError> {
        match self.non_negative(name) {
            Ok(number) if number.fract() == 0.0 && number < MAX_COUNT => Ok(number as u64),
            _ => Err(FieldError::NotWholeNumber(name.into())),
        }
    }

    /// A number from 0 on.
    ///
    /// # Errors
    ///
    /// It is absent or no such number.
    pub fn non_negative(&self, name: &str) -> Result<f64, FieldError> {
        let number = self.get(name).and_then(Value::as_f64).filter(|number| *number >= 0.0);
        number.ok_or_else(|| FieldError::NotNonNegative(name.into()))
    }

    /// A count that fits its type.
    ///
    /// # Errors
    ///
    /// It is absent, no count or too large.
    pub fn integer<T: TryFrom<u64>>(&self, name: &str) -> Result<T, FieldError> {
        T::try_from(self.count(name)?).map_err(|_| FieldError::TooLarge(name.into()))
    }

    /// A whole number of microseconds.
    ///
    /// # Errors
    ///
    /// It is absent or no count.
    pub fn micros(&self, name: &str) -> Result<Duration, FieldError> {
        self.count(name).map(Duration::from_micros)
    }

    /// A finite number, or `default` in place of anything else.
    pub fn number_or(&self, name: &str, default: f64) -> f64 {
        self.get(name).and_then(Value::as_f64).filter(|number| number.is_finite()).unwrap_or(default)
    }

    /// Whether the field is true.
    pub fn is_true(&self, name: &str) -> bool {
        self.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    /// A text.
    ///
    /// # Errors
    ///
    /// It is absent or no text.
    pub fn text(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).and_then(Value::as_str).ok_or_else(|| FieldError::NotText(name.into()))
    }

    /// A text, or the empty one in place of anything else.
    pub fn text_or_empty(&self, name: &str) -> &'a str {
        self.text(name).unwrap_or_default()
    }

    /// An object, or the empty one in place of anything else.
    pub fn object_or_empty(&self, name: &str) -> Fields<'a> {
        Fields::new(self.get(name).and_then(Value::as_object).unwrap_or(&EMPTY))
    }

    /// An array, or the empty one in place of anything else.
    pub fn array_or_empty(&self, name: &str) -> &'a [Value] {
        self.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }

    /// An object, or the empty one if it is absent.
    pub(crate) fn section(&self, name: &str) -> Result<Fields<'a>, FieldError> {
        match self.get(name) {
            Some(value) if !value.is_object() => Err(FieldError::NotObject(name.into())),
            _ => Ok(self.object_or_empty(name)),
        }
    }

    /// What `read` gives, or `default` if the field is absent. A field of another type is an error: the decision module
    /// would go by the default where something else was meant.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        default: T,
        read: impl Fn(&Self, &str) -> Result<T, FieldError>,
    ) -> Result<T, FieldError> {
        if self.get(name).is_some() { read(self, name) } else { Ok(default) }
    }
}
