//! Validation of the fields of one section: checks their types and fills in defaults.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use super::Validator;
use crate::error::Problem;
use crate::schema::{self, DefaultValue, Field, FieldType};
use crate::script::Call;

/// The validated fields of a section, including defaults.
pub(crate) struct Fields {
    /// The line of the section; 0 if the script does not contain it.
    pub(crate) line: usize,
    values: Map<String, Value>,
}

impl Fields {
    pub(crate) fn value(&self, name: &str) -> Option<&Value> {
        self.values.get(name)
    }

    pub(crate) fn number(&self, name: &str) -> f64 {
        self.value(name).and_then(Value::as_f64).unwrap_or_default()
    }

    pub(crate) fn integer(&self, name: &str) -> u64 {
        self.number(name) as u64
    }

    pub(crate) fn boolean(&self, name: &str) -> bool {
        self.value(name).and_then(Value::as_bool).unwrap_or_default()
    }

    pub(crate) fn text(&self, name: &str) -> Option<String> {
        self.value(name).and_then(Value::as_str).map(str::to_string)
    }

    pub(crate) fn text_list(&self, name: &str) -> Vec<String> {
        let texts = self.value(name).and_then(Value::as_array).into_iter().flatten();
        texts.filter_map(Value::as_str).map(str::to_string).collect()
    }
}

impl Validator<'_> {
    /// Validates the fields of a section, which the script may omit.
    pub(crate) fn fields(&mut self, section: &str, call: Option<&Call>) -> Fields {
        let line = call.map_or(0, |call| call.line);
        let section_title = match call {
            Some(call) if !call.name.is_empty() => format!("{section} {}", call.name),
            _ => section.to_string(),
        };
        let section_schema = schema::section(section).unwrap_or(&schema::SETTINGS_SECTIONS[0]);
        let mut values = Map::new();
        for field in section_schema.fields {
            let given = call.and_then(|call| call.fields.get(field.name)).filter(|value| !value.is_null());
            match field_value(&section_title, field, given) {
                Ok(Some(value)) => drop(values.insert(field.name.into(), value)),
                Ok(None) => {}
                Err(problem) => self.report(line, problem),
            }
        }
        Fields { line, values }
    }
}

/// The value of a field, or its default; `None` for an optional field that is not set.
fn field_value(section_title: &str, field: &Field, given: Option<&Value>) -> Result<Option<Value>, Problem> {
    let section = section_title.to_string();
    if let Some(value) = given {
        if accepts(&field.field_type, value) {
            return Ok(Some(value.clone()));
        }
        return Err(Problem::WrongValue {
            section,
            field: field.name,
            value: value.clone(),
            expected: field.field_type,
        });
    }
    match field.default {
        DefaultValue::Required => Err(Problem::MissingValue {
            section,
            field: field.name,
            description: field.description,
            expected: field.field_type,
        }),
        DefaultValue::Unset => Ok(None),
        DefaultValue::Number(number) => Ok(Some(number.into())),
        DefaultValue::Boolean(flag) => Ok(Some(flag.into())),
        DefaultValue::Text(text) => Ok(Some(text.into())),
    }
}
fn accepts(field_type: &FieldType, value: &Value) -> bool {
    match field_type {
        FieldType::Number { min, max } | FieldType::Seconds { min, max } => is_within(value, *min, *max),
        FieldType::Integer { min, max } => value.is_u64() && is_within(value, *min as f64, *max as f64),
        FieldType::Boolean => value.is_boolean(),
        FieldType::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        FieldType::TextList => value.as_array().is_some_and(|texts| are_distinct_texts(texts)),
        FieldType::OneOf(names) => value.as_str().is_some_and(|text| names.contains(&text)),
    }
}

fn is_within(value: &Value, min: f64, max: f64) -> bool {
    value.as_f64().is_some_and(|number| (min..=max).contains(&number))
}

fn are_distinct_texts(values: &[Value]) -> bool {
    let texts = values.iter().filter_map(Value::as_str).filter(|text| !text.is_empty());
    let distinct: BTreeSet<&str> = texts.collect();
    distinct.len() == values.len()
}
