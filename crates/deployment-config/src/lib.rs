//! The object that a governor is told its settings by, as the simulator's first message and the platform's
//! configuration hold it: read here, and nowhere a second time.

use std::time::Duration;

use serde_json::{Map, Value};
use thiserror::Error;
use wrenthread::types::{
    AdmissionControl, DeduplicationScope, Idempotency, LoadField, MessageLimit, RetryPolicy, Settings,
    TrafficClass,
};

/// What is wrong with a field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldError {
    #[error("`{0}` is not a whole number")]
    NotWholeNumber(String),
    #[error("`{0}` is not a number from 0 on")]
    NotNonNegative(String),
    #[error("`{0}` is too large")]
    TooLarge(String),
    #[error("`{0}` is not a text")]
    NotText(String),
    #[error("`{0}`, or an entry of it, is no object")]
    NotObject(String),
}

impl From<FieldError> for String {
    fn from(fault: FieldError) -> String {
        fault.to_string()
    }
}

/// What the object says: what the rules need, and the names by which the platform knows its parts.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentConfig {
    pub settings: Settings,
    pub zone_names: Vec<String>,
    /// In the order of the settings' groups.
    pub class_names: Vec<String>,
    /// In the order of the settings' load fields.
    pub load_field_names: Vec<String>,
}

/// The fields of one message, read by name.
pub struct Fields<'a>(pub &'a Map<String, Value>);

impl<'a> Fields<'a> {
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    /// A count, which may come as 3.0 from a writer that knows one kind of number only.
    pub fn count(&self, name: &str) -> Result<u64, FieldError> {
        let number = self.non_negative(name).ok().filter(|number| number.fract() == 0.0 && *number < 9e15);
        number.map(|number| number as u64).ok_or_else(|| FieldError::NotWholeNumber(name.into()))
    }

    pub fn non_negative(&self, name: &str) -> Result<f64, FieldError> {
        let number = self.get(name).and_then(Value::as_f64).filter(|number| *number >= 0.0);
        number.ok_or_else(|| FieldError::NotNonNegative(name.into()))
    }

    /// What is absent is `other`; what is of another type is not, or the rules would go by what is usual.
    fn optional<T>(
        &self,
        name: &str,
        other: T,
        read: impl Fn(&Self, &str) -> Result<T, FieldError>,
    ) -> Result<T, FieldError> {
        if self.get(name).is_some() { read(self, name) } else { Ok(other) }
    }

    pub fn integer<T: TryFrom<u64>>(&self, name: &str) -> Result<T, FieldError> {
        T::try_from(self.count(name)?).map_err(|_| FieldError::TooLarge(name.into()))
    }

    pub fn micros(&self, name: &str) -> Result<Duration, FieldError> {
        self.count(name).map(Duration::from_micros)
    }

    pub fn number_or(&self, name: &str, other: f64) -> f64 {
        self.get(name).and_then(Value::as_f64).filter(|x| x.is_finite()).unwrap_or(other)
    }

    pub fn is_true(&self, name: &str) -> bool {
        self.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    pub fn text(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).and_then(Value::as_str).ok_or_else(|| FieldError::NotText(name.into()))
    }

    pub fn text_or_empty(&self, name: &str) -> &'a str {
        self.text(name).unwrap_or_default()
    }

    pub fn object_or_empty(&self, name: &str) -> Fields<'a> {
        static NOTHING: std::sync::LazyLock<Map<String, Value>> = std::sync::LazyLock::new(Map::new);
        Fields(self.get(name).and_then(Value::as_object).unwrap_or(&NOTHING))
    }

    /// As [`Fields::object_or_empty`], where what is no object is not taken for an absent one.
    fn section(&self, name: &str) -> Result<Fields<'a>, FieldError> {
        let object = self.get(name).is_none_or(Value::is_object);
        if object { Ok(self.object_or_empty(name)) } else { Err(FieldError::NotObject(name.into())) }
    }

    pub fn array_or_empty(&self, name: &str) -> &'a [Value] {
        self.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
}

/// Reads what a governor is told first. What it does not know it leaves out, and what may be missing stands
/// as where there is none of it.
///
/// Errors: a group without its spans, or that is no object; a part or a figure of another type.
pub fn read(info: &Fields) -> Result<DeploymentConfig, FieldError> {
    let (extra, rules) = (info.section("extra")?, info.section("rules")?);
    let (limits, penalties) = (info.section("limits")?, info.section("penalties")?);
    let own_zone = extra.array_or_empty("class_own_zone");
    let groups = info.array_or_empty("categories").iter().enumerate().map(|(place, group)| {
        let group = Fields(group.as_object().ok_or(FieldError::NotObject("categories".into()))?);
        let window = group.optional("key_ttl_us", Duration::ZERO, Fields::micros)?;
        let by = match group.text_or_empty("group") {
            "all" => DeduplicationScope::All,
            "cell" => DeduplicationScope::SameCell,
            _ => DeduplicationScope::SameZone,
        };
        Ok(TrafficClass {
            idempotency: match group.text_or_empty("effect") {
                "retryable" => Idempotency::Idempotent,
                "dedup" => Idempotency::IdempotentWithKey { scope: by, window },
                _ => Idempotency::NotIdempotent,
            },
            latency_objective: group.micros("objective_us")?,
            request_deadline: group.micros("deadline_us")?,
            priority_weight: group.optional("worth", 1.0, Fields::non_negative)?,
            same_zone_only: own_zone.get(place).and_then(Value::as_bool).unwrap_or(false),
        })
    });
    let groups = groups.collect::<Result<Vec<_>, FieldError>>()?;
    let report = info.section("report")?;
    let load_fields = report.array_or_empty("fields").iter().map(|field| match field.as_str() {
        Some("inflight") => LoadField::InFlight,
        Some("queue") => LoadField::Queued,
        Some("latency_ms") => LoadField::ServiceMillis,
        _ => LoadField::Other,
    });
    let cap = extra.optional("update_cap", 0, Fields::count)? as usize;
    let over = extra.optional("messages_over_us", None, |fields, name| fields.micros(name).map(Some))?;
    let settings = Settings {
        governor_count: info.optional("siblings", 1, Fields::count)?,
        classes: groups,
        key_slices: extra.optional("shards", 0, Fields::count)?,
        proxy_count: extra.optional("agents", 1, Fields::count)?,
        default_table_size: extra.optional("bootstrap", u64::MAX, Fields::count)? as usize,
        initial_capacity_fraction: rules.optional("cold_from", 1.0, Fields::non_negative)?,
        slow_start_duration: rules.optional("warm_after_us", Duration::ZERO, Fields::micros)?,
        proxies_eject_locally: extra.optional("ejects", 0, Fields::count)? > 0,
        report_interval: extra.optional("cycle_us", Duration::from_secs(1), Fields::micros)?,
        entries_per_second: extra.optional("channel_rate", f64::MAX, Fields::non_negative)?,
        message_overhead_entries: extra.optional("per_message", 0.0, Fields::non_negative)?,
        max_queued_entries: extra.optional("most_waiting", f64::MAX, Fields::non_negative)?,
        max_transit_delay: extra.optional("worst_transit_us", Duration::ZERO, Fields::micros)?,
        message_limit: over.filter(|_| cap > 0).map(|interval| MessageLimit { messages: cap, interval }),
        admission_control: match extra.text_or_empty("level_kind") {
            "ratio" => AdmissionControl::Fraction,
            "rps" => AdmissionControl::Rate,
            _ => AdmissionControl::Unsupported,
        },
        default_retry_policy: match extra.optional("retry_default", 2, Fields::count)? {
            0 => RetryPolicy::Never,
            1 => RetryPolicy::IfNotExecuted,
            _ => RetryPolicy::OnAnyFailure,
        },
        cross_zone_cost: penalties.optional("cross_zone", 0.0, Fields::non_negative)?,
        health_check_cost: limits.is_true("probes").then(|| penalties.number_or("probe", 0.0)),
        load_fields: load_fields.collect(),
    };
    let texts =
        |row: &[Value]| row.iter().map(|name| name.as_str().unwrap_or_default().to_string()).collect();
    let named = info
        .array_or_empty("categories")
        .iter()
        .map(|group| group["name"].as_str().unwrap_or_default().to_string());
    Ok(DeploymentConfig {
        settings,
        zone_names: texts(info.array_or_empty("zones")),
        class_names: named.collect(),
        load_field_names: texts(report.array_or_empty("fields")),
    })
}

#[cfg(test)]
mod tests;
