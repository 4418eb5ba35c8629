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
pub enum Fault {
    #[error("`{0}` is not a whole number")]
    Whole(String),
    #[error("`{0}` is not a number from 0 on")]
    Figure(String),
    #[error("`{0}` is too large")]
    Large(String),
    #[error("`{0}` is not a text")]
    Text(String),
    #[error("`{0}`, or an entry of it, is no object")]
    Object(String),
}

impl From<Fault> for String {
    fn from(fault: Fault) -> String {
        fault.to_string()
    }
}

/// What the object says: what the rules need, and the names by which the platform knows its parts.
#[derive(Debug, Clone, PartialEq)]
pub struct Info {
    pub settings: Settings,
    pub zones: Vec<String>,
    /// In the order of the settings' groups.
    pub groups: Vec<String>,
    /// In the order of the settings' load fields.
    pub load: Vec<String>,
}

/// The fields of one message, read by name.
pub struct Fields<'a>(pub &'a Map<String, Value>);

impl<'a> Fields<'a> {
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    /// A count, which may come as 3.0 from a writer that knows one kind of number only.
    pub fn whole(&self, name: &str) -> Result<u64, Fault> {
        let number = self.figure(name).ok().filter(|number| number.fract() == 0.0 && *number < 9e15);
        number.map(|number| number as u64).ok_or_else(|| Fault::Whole(name.into()))
    }

    pub fn figure(&self, name: &str) -> Result<f64, Fault> {
        let number = self.get(name).and_then(Value::as_f64).filter(|number| *number >= 0.0);
        number.ok_or_else(|| Fault::Figure(name.into()))
    }

    /// What is absent is `other`; what is of another type is not, or the rules would go by what is usual.
    fn or<T>(
        &self,
        name: &str,
        other: T,
        read: impl Fn(&Self, &str) -> Result<T, Fault>,
    ) -> Result<T, Fault> {
        if self.get(name).is_some() { read(self, name) } else { Ok(other) }
    }

    pub fn small<T: TryFrom<u64>>(&self, name: &str) -> Result<T, Fault> {
        T::try_from(self.whole(name)?).map_err(|_| Fault::Large(name.into()))
    }

    pub fn span(&self, name: &str) -> Result<Duration, Fault> {
        self.whole(name).map(Duration::from_micros)
    }

    pub fn number(&self, name: &str, other: f64) -> f64 {
        self.get(name).and_then(Value::as_f64).filter(|x| x.is_finite()).unwrap_or(other)
    }

    pub fn flag(&self, name: &str) -> bool {
        self.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    pub fn text(&self, name: &str) -> Result<&'a str, Fault> {
        self.get(name).and_then(Value::as_str).ok_or_else(|| Fault::Text(name.into()))
    }

    pub fn word(&self, name: &str) -> &'a str {
        self.text(name).unwrap_or_default()
    }

    pub fn part(&self, name: &str) -> Fields<'a> {
        static NOTHING: std::sync::LazyLock<Map<String, Value>> = std::sync::LazyLock::new(Map::new);
        Fields(self.get(name).and_then(Value::as_object).unwrap_or(&NOTHING))
    }

    /// As [`Fields::part`], where what is no object is not taken for an absent one.
    fn section(&self, name: &str) -> Result<Fields<'a>, Fault> {
        let object = self.get(name).is_none_or(Value::is_object);
        if object { Ok(self.part(name)) } else { Err(Fault::Object(name.into())) }
    }

    pub fn row(&self, name: &str) -> &'a [Value] {
        self.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
}

/// Reads what a governor is told first. What it does not know it leaves out, and what may be missing stands
/// as where there is none of it.
///
/// Errors: a group without its spans, or that is no object; a part or a figure of another type.
pub fn read(info: &Fields) -> Result<Info, Fault> {
    let (extra, rules) = (info.section("extra")?, info.section("rules")?);
    let (limits, penalties) = (info.section("limits")?, info.section("penalties")?);
    let own_zone = extra.row("class_own_zone");
    let groups = info.row("categories").iter().enumerate().map(|(place, group)| {
        let group = Fields(group.as_object().ok_or(Fault::Object("categories".into()))?);
        let window = group.or("key_ttl_us", Duration::ZERO, Fields::span)?;
        let by = match group.word("group") {
            "all" => DeduplicationScope::All,
            "cell" => DeduplicationScope::SameCell,
            _ => DeduplicationScope::SameZone,
        };
        Ok(TrafficClass {
            idempotency: match group.word("effect") {
                "retryable" => Idempotency::Idempotent,
                "dedup" => Idempotency::IdempotentWithKey { scope: by, window },
                _ => Idempotency::NotIdempotent,
            },
            latency_objective: group.span("objective_us")?,
            request_deadline: group.span("deadline_us")?,
            priority_weight: group.or("worth", 1.0, Fields::figure)?,
            same_zone_only: own_zone.get(place).and_then(Value::as_bool).unwrap_or(false),
        })
    });
    let groups = groups.collect::<Result<Vec<_>, Fault>>()?;
    let report = info.section("report")?;
    let load_fields = report.row("fields").iter().map(|field| match field.as_str() {
        Some("inflight") => LoadField::InFlight,
        Some("queue") => LoadField::Queued,
        Some("latency_ms") => LoadField::ServiceMillis,
        _ => LoadField::Other,
    });
    let cap = extra.or("update_cap", 0, Fields::whole)? as usize;
    let over = extra.or("messages_over_us", None, |fields, name| fields.span(name).map(Some))?;
    let settings = Settings {
        governor_count: info.or("siblings", 1, Fields::whole)?,
        classes: groups,
        key_slices: extra.or("shards", 0, Fields::whole)?,
        proxy_count: extra.or("agents", 1, Fields::whole)?,
        default_table_size: extra.or("bootstrap", u64::MAX, Fields::whole)? as usize,
        initial_capacity_fraction: rules.or("cold_from", 1.0, Fields::figure)?,
        slow_start_duration: rules.or("warm_after_us", Duration::ZERO, Fields::span)?,
        proxies_eject_locally: extra.or("ejects", 0, Fields::whole)? > 0,
        report_interval: extra.or("cycle_us", Duration::from_secs(1), Fields::span)?,
        entries_per_second: extra.or("channel_rate", f64::MAX, Fields::figure)?,
        message_overhead_entries: extra.or("per_message", 0.0, Fields::figure)?,
        max_queued_entries: extra.or("most_waiting", f64::MAX, Fields::figure)?,
        max_transit_delay: extra.or("worst_transit_us", Duration::ZERO, Fields::span)?,
        message_limit: over.filter(|_| cap > 0).map(|interval| MessageLimit { messages: cap, interval }),
        admission_control: match extra.word("level_kind") {
            "ratio" => AdmissionControl::Fraction,
            "rps" => AdmissionControl::Rate,
            _ => AdmissionControl::Unsupported,
        },
        default_retry_policy: match extra.or("retry_default", 2, Fields::whole)? {
            0 => RetryPolicy::Never,
            1 => RetryPolicy::IfNotExecuted,
            _ => RetryPolicy::OnAnyFailure,
        },
        cross_zone_cost: penalties.or("cross_zone", 0.0, Fields::figure)?,
        health_check_cost: limits.flag("probes").then(|| penalties.number("probe", 0.0)),
        load_fields: load_fields.collect(),
    };
    let texts =
        |row: &[Value]| row.iter().map(|name| name.as_str().unwrap_or_default().to_string()).collect();
    let named =
        info.row("categories").iter().map(|group| group["name"].as_str().unwrap_or_default().to_string());
    Ok(Info {
        settings,
        zones: texts(info.row("zones")),
        groups: named.collect(),
        load: texts(report.row("fields")),
    })
}

#[cfg(test)]
mod tests;
