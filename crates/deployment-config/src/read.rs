//! Reads the settings object, section by section.

use std::time::Duration;

use serde_json::Value;
use wrenthread::types::{
    AdmissionControl, DeduplicationScope, Idempotency, LoadField, MessageLimit, RetryPolicy, Settings,
    TrafficClass,
};

use crate::fields::{FieldError, Fields};
use crate::{DeploymentConfig, wire};

/// The default of [`Settings::report_interval`].
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The platform's number for [`RetryPolicy::OnAnyFailure`], which is also the default.
const RETRY_ON_ANY_FAILURE: u64 = 2;

/// Reads a deployment's settings object. Unknown fields are ignored. An absent field gets the value for a deployment
/// without the feature that it configures.
///
/// # Errors
///
/// A class is not an object, or has no latency objective or request deadline; or a section or a number is of another
/// type.
pub fn read(config: &Fields) -> Result<DeploymentConfig, FieldError> {
    let sections = Sections::read(config)?;
    let classes = classes(config, &sections)?;
    let report = config.section(wire::REPORT)?;
    let message_limit = message_limit(&sections.extra)?;
    Ok(DeploymentConfig {
        settings: settings(config, &sections, classes, load_fields(&report), message_limit)?,
        zone_names: strings(config.array_or_empty(wire::ZONES)),
        class_names: object_names(config.array_or_empty(wire::CLASSES)),
        load_field_names: strings(report.array_or_empty(wire::LOAD_FIELDS)),
    })
}

struct Sections<'a> {
    extra: Fields<'a>,
    rules: Fields<'a>,
    limits: Fields<'a>,
    penalties: Fields<'a>,
}

impl<'a> Sections<'a> {
    fn read(config: &Fields<'a>) -> Result<Self, FieldError> {
        Ok(Sections {
            extra: config.section(wire::EXTRA)?,
            rules: config.section(wire::RULES)?,
            limits: config.section(wire::LIMITS)?,
            penalties: config.section(wire::PENALTIES)?,
        })
    }
}

fn settings(
    config: &Fields,
    sections: &Sections,
    classes: Vec<TrafficClass>,
    load_fields: Vec<LoadField>,
    message_limit: Option<MessageLimit>,
) -> Result<Settings, FieldError> {
    let Sections { extra, rules, limits, penalties } = sections;
    let may_check_health = limits.is_true(wire::HEALTH_CHECKS_ALLOWED);
    let health_check_cost = penalties.number_or(wire::HEALTH_CHECK_COST, 0.0);
    Ok(Settings {
        governor_count: config.optional(wire::GOVERNOR_COUNT, 1, Fields::count)?,
        classes,
        key_slices: extra.optional(wire::KEY_SLICES, 0, Fields::count)?,
        proxy_count: extra.optional(wire::PROXY_COUNT, 1, Fields::count)?,
        default_table_size: extra.optional(wire::DEFAULT_TABLE_SIZE, u64::MAX, Fields::count)? as usize,
        initial_capacity_fraction: rules.optional(
            wire::INITIAL_CAPACITY_FRACTION,
            1.0,
            Fields::non_negative,
        )?,
        slow_start_duration: rules.optional(
            wire::SLOW_START_DURATION_MICROS,
            Duration::ZERO,
            Fields::micros,
        )?,
        proxies_eject_locally: extra.optional(wire::LOCAL_EJECTION, 0, Fields::count)? > 0,
        report_interval: extra.optional(
            wire::REPORT_INTERVAL_MICROS,
            DEFAULT_REPORT_INTERVAL,
            Fields::micros,
        )?,
        entries_per_second: extra.optional(wire::ENTRIES_PER_SECOND, f64::MAX, Fields::non_negative)?,
        message_overhead_entries: extra.optional(wire::MESSAGE_OVERHEAD, 0.0, Fields::non_negative)?,
        max_queued_entries: extra.optional(wire::MAX_QUEUED_ENTRIES, f64::MAX, Fields::non_negative)?,
        max_transit_delay: extra.optional(wire::MAX_TRANSIT_DELAY_MICROS, Duration::ZERO, Fields::micros)?,
        message_limit,
        admission_control: admission_control(extra),
        default_retry_policy: default_retry_policy(extra)?,
        cross_zone_cost: penalties.optional(wire::CROSS_ZONE_COST, 0.0, Fields::non_negative)?,
        health_check_cost: may_check_health.then_some(health_check_cost),
        load_fields,
    })
}

fn classes(config: &Fields, sections: &Sections) -> Result<Vec<TrafficClass>, FieldError> {
    let same_zone_only = sections.extra.array_or_empty(wire::SAME_ZONE_ONLY);
    let mut classes = Vec::new();
    for (index, class) in config.array_or_empty(wire::CLASSES).iter().enumerate() {
        let object = class.as_object().ok_or_else(|| FieldError::NotObject(wire::CLASSES.into()))?;
        let same_zone_only = same_zone_only.get(index).and_then(Value::as_bool).unwrap_or(false);
        classes.push(class_settings(&Fields::new(object), same_zone_only)?);
    }
    Ok(classes)
}

fn class_settings(class: &Fields, same_zone_only: bool) -> Result<TrafficClass, FieldError> {
    Ok(TrafficClass {
        idempotency: idempotency(class)?,
        latency_objective: class.micros(wire::LATENCY_OBJECTIVE_MICROS)?,
        request_deadline: class.micros(wire::REQUEST_DEADLINE_MICROS)?,
        priority_weight: class.optional(wire::PRIORITY_WEIGHT, 1.0, Fields::non_negative)?,
        same_zone_only,
    })
}

fn idempotency(class: &Fields) -> Result<Idempotency, FieldError> {
    let window = class.optional(wire::DEDUPLICATION_WINDOW_MICROS, Duration::ZERO, Fields::micros)?;
    let scope = match class.text_or_empty(wire::DEDUPLICATION_SCOPE) {
        wire::SCOPE_ALL => DeduplicationScope::All,
        wire::SCOPE_CELL => DeduplicationScope::SameCell,
        _ => DeduplicationScope::SameZone,
    };
    Ok(match class.text_or_empty(wire::IDEMPOTENCY) {
        wire::IDEMPOTENT => Idempotency::Idempotent,
        wire::IDEMPOTENT_WITH_KEY => Idempotency::IdempotentWithKey { scope, window },
        _ => Idempotency::NotIdempotent,
    })
}

fn load_fields(report: &Fields) -> Vec<LoadField> {
    let fields = report.array_or_empty(wire::LOAD_FIELDS).iter();
    let load_fields = fields.map(|field| match field.as_str() {
        Some(wire::LOAD_IN_FLIGHT) => LoadField::InFlight,
        Some(wire::LOAD_QUEUED) => LoadField::Queued,
        Some(wire::LOAD_SERVICE_MILLIS) => LoadField::ServiceMillis,
        _ => LoadField::Other,
    });
    load_fields.collect()
}

/// Reads the message limit: `None` unless both the number of messages and the interval are configured.
fn message_limit(extra: &Fields) -> Result<Option<MessageLimit>, FieldError> {
    let messages = extra.optional(wire::MESSAGE_LIMIT, 0, Fields::count)? as usize;
    let interval = extra
        .optional(wire::MESSAGE_LIMIT_INTERVAL_MICROS, None, |extra, name| extra.micros(name).map(Some))?;
    Ok(interval.filter(|_| messages > 0).map(|interval| MessageLimit { messages, interval }))
}

fn admission_control(extra: &Fields) -> AdmissionControl {
    match extra.text_or_empty(wire::ADMISSION_CONTROL) {
        wire::ADMISSION_BY_FRACTION => AdmissionControl::Fraction,
        wire::ADMISSION_BY_RATE => AdmissionControl::Rate,
        _ => AdmissionControl::Unsupported,
    }
}

fn default_retry_policy(extra: &Fields) -> Result<RetryPolicy, FieldError> {
    let number = extra.optional(wire::DEFAULT_RETRY_POLICY, RETRY_ON_ANY_FAILURE, Fields::count)?;
    Ok(match number {
        0 => RetryPolicy::Never,
        1 => RetryPolicy::IfNotExecuted,
        _ => RetryPolicy::OnAnyFailure,
    })
}

/// Returns the strings of an array, with the empty string in place of any other value.
fn strings(values: &[Value]) -> Vec<String> {
    values.iter().map(|value| value.as_str().unwrap_or_default().to_string()).collect()
}

/// Returns the names of an array of objects, with the empty string for an object without a name.
fn object_names(values: &[Value]) -> Vec<String> {
    values.iter().map(|value| value[wire::NAME].as_str().unwrap_or_default().to_string()).collect()
}
