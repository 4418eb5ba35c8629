//! Messages into calls, each field checked: a spoilt one tells of nothing, and its neighbours count.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Map, Value};
use thiserror::Error;
use wrenthread::types::{DemandStatistics, ProxyConnection, ProxyId, ReplicaId, ReplicaStatistics};
use wrenthread_deployment_config::DeploymentConfig;

/// What one message says.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Ping,
    /// The collector of a zone.
    Collector {
        zone: usize,
    },
    ProxyConnected(ProxyConnection),
    ReplicaStatistics(ReplicaStatistics),
    DemandStatistics(DemandStatistics),
    Acknowledged {
        proxy: ProxyId,
        nonce: u16,
        latency: Duration,
    },
}

/// Why a message tells of nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// No further use can be made of what says so.
    #[error("not a message: {0}")]
    Unreadable(String),
    #[error("`{0}` is missing, of another type or out of range")]
    InvalidField(&'static str),
    #[error("`{0}` names nothing that is known")]
    UnknownName(&'static str),
}

/// Sums are gathered every second or so; where they had to wait they cover more, but not minutes.
const MAX_INTERVAL_MILLIS: f64 = 120_000.0;
/// More than any proxy or replica can have had in a second. It guards against counts that would drown what is
/// true; it would harm where a zone sends a replica more than that.
const MAX_REQUESTS_PER_SECOND: f64 = 100_000.0;

/// Reads the platform's messages by the names that the settings give.
pub struct Decoder {
    zones: BTreeMap<String, usize>,
    groups: BTreeMap<String, usize>,
    load: Vec<String>,
    proxies: u64,
    answer_most: f64,
}

struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn text(&self, name: &'static str) -> Result<&'a str, DecodeError> {
        self.0.get(name).and_then(Value::as_str).ok_or(DecodeError::InvalidField(name))
    }

    fn number(&self, name: &'static str, most: f64) -> Result<f64, DecodeError> {
        let number = self.0.get(name).and_then(Value::as_f64).filter(|it| (0.0..=most).contains(it));
        number.ok_or(DecodeError::InvalidField(name))
    }

    /// A count may come as 3.0 from a writer that knows only one kind of number.
    fn whole(&self, name: &'static str, most: f64) -> Result<u64, DecodeError> {
        let number = self.number(name, most)?;
        if number.fract() == 0.0 { Ok(number as u64) } else { Err(DecodeError::InvalidField(name)) }
    }

    fn millis(&self, name: &'static str, most: f64) -> Result<Duration, DecodeError> {
        Ok(Duration::from_secs_f64(self.number(name, most)? / 1000.0))
    }

    fn flag(&self, name: &'static str) -> Result<bool, DecodeError> {
        match self.0.get(name) {
            None | Some(Value::Null) => Ok(false),
            Some(value) => value.as_bool().ok_or(DecodeError::InvalidField(name)),
        }
    }

    /// Tries or flows, those without a good answer, and the span they are summed over. Tries that failed are
    /// among the tries (`among`); flows that were not answered may have come in an earlier span.
    fn sums(&self, among: bool) -> Result<(u64, u64, Duration), DecodeError> {
        let span = self.millis("interval", MAX_INTERVAL_MILLIS)?;
        if span.is_zero() {
            return Err(DecodeError::InvalidField("interval"));
        }
        let most = (MAX_REQUESTS_PER_SECOND * span.as_secs_f64()).max(MAX_REQUESTS_PER_SECOND);
        let total = self.whole("total", most)?;
        Ok((total, self.whole("errors", if among { total as f64 } else { most })?, span))
    }
}

impl Decoder {
    pub fn new(info: &DeploymentConfig) -> Self {
        let places =
            |names: &[String]| names.iter().cloned().enumerate().map(|(at, name)| (name, at)).collect();
        let expiry =
            info.settings.classes.iter().map(|group| group.request_deadline).max().unwrap_or(Duration::MAX);
        Decoder {
            zones: places(&info.zone_names),
            groups: places(&info.class_names),
            load: info.load_field_names.clone(),
            proxies: info.settings.proxy_count,
            answer_most: 2000.0 * expiry.as_secs_f64(), // noise is on top of what a client waits for
        }
    }

    /// Reads one message. `replica` gives the name of a replica that the list has, or lately had.
    ///
    /// Errors: what can't be read at all, or is spoilt.
    pub fn decode(
        &self,
        frame: &[u8],
        replica: impl Fn(&str) -> Option<ReplicaId>,
    ) -> Result<Message, DecodeError> {
        let whole = match serde_json::from_slice(frame) {
            Ok(Value::Object(whole)) => whole,
            Ok(_) => return Err(DecodeError::Unreadable("no object".into())),
            Err(error) => return Err(DecodeError::Unreadable(error.to_string())),
        };
        let fields = Fields(&whole);
        match fields.text("@type")? {
            "PING" => Ok(Message::Ping),
            "SOURCE" => Ok(Message::Collector { zone: self.zone(&fields)? }),
            "SUBSCRIBE" => Ok(Message::ProxyConnected(ProxyConnection {
                proxy: self.proxy(&fields)?,
                zone: self.zone(&fields)?,
                requests_per_second: fields.number("w", MAX_REQUESTS_PER_SECOND)?,
                holds_default_table: fields.flag("cold")?,
            })),
            "ACK" => Ok(Message::Acknowledged {
                proxy: self.proxy(&fields)?,
                nonce: fields.whole("nonce", f64::from(u16::MAX))? as u16,
                latency: fields.millis("latency", MAX_INTERVAL_MILLIS)?,
            }),
            "LOAD" => {
                let (tries, dropped, span) = fields.sums(true)?;
                let answered = tries > dropped;
                let mean = match fields.0.get("rtt") {
                    None | Some(Value::Null) if !answered => Duration::ZERO,
                    _ => fields.millis("rtt", self.answer_most)?,
                };
                Ok(Message::ReplicaStatistics(ReplicaStatistics {
                    zone: self.zone(&fields)?,
                    replica: replica(fields.text("endpoint")?).ok_or(DecodeError::UnknownName("endpoint"))?,
                    attempts: tries,
                    failed: dropped,
                    mean_latency: Some(mean).filter(|mean| answered && !mean.is_zero()),
                    interval: span,
                    load: self.load(&fields)?,
                }))
            }
            "RATE" => {
                let (flows, dropped, span) = fields.sums(false)?;
                let group =
                    self.groups.get(fields.text("route")?).ok_or(DecodeError::UnknownName("route"))?;
                Ok(Message::DemandStatistics(DemandStatistics {
                    proxy: self.proxy(&fields)?,
                    class: *group,
                    requests: flows,
                    failed: dropped,
                    interval: span,
                }))
            }
            _ => Err(DecodeError::UnknownName("@type")),
        }
    }

    fn zone(&self, fields: &Fields) -> Result<usize, DecodeError> {
        let zone = self.zones.get(fields.text("locality")?);
        zone.copied().ok_or(DecodeError::UnknownName("locality"))
    }

    fn proxy(&self, fields: &Fields) -> Result<ProxyId, DecodeError> {
        let proxy = fields.whole("node", f64::from(ProxyId::MAX))?;
        if proxy < self.proxies { Ok(proxy as ProxyId) } else { Err(DecodeError::UnknownName("node")) }
    }

    /// The report's values in the settings' order, up to the first that is absent: absent is not 0, and what
    /// follows would stand in its place.
    fn load(&self, fields: &Fields) -> Result<Vec<f64>, DecodeError> {
        let report = match fields.0.get("metrics") {
            None | Some(Value::Null) => return Ok(Vec::new()),
            Some(report) => report.as_object().ok_or(DecodeError::InvalidField("metrics"))?,
        };
        let mut load = Vec::new();
        for name in &self.load {
            match report.get(name) {
                None | Some(Value::Null) => break,
                Some(value) => {
                    let value = value.as_f64().filter(|it| (0.0..=1e9).contains(it));
                    load.push(value.ok_or(DecodeError::InvalidField("metrics"))?);
                }
            }
        }
        Ok(load)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn decoder() -> Decoder {
        let info = serde_json::json!({
            "categories": [{"name": "find", "deadline_us": 5000000, "objective_us": 2000000}],
            "extra": {"agents": 20}, "zones": ["a", "b"], "report": {"fields": ["queue", "latency_ms"]},
        });
        let info = info.as_object().expect("an object").clone();
        Decoder::new(
            &wrenthread_deployment_config::read(&wrenthread_deployment_config::Fields(&info))
                .expect("it is whole"),
        )
    }

    fn read(text: &str) -> Result<Message, DecodeError> {
        decoder().decode(text.as_bytes(), |name| (name == "r1").then(|| name.into()))
    }

    const LOAD: &str = r#"{"@type":"LOAD","locality":"b","endpoint":"r1","total":4,"errors":1,
        "rtt":41.5,"interval":500.0,"metrics":{"latency_ms":7,"queue":2}}"#;
    const RATE: &str = r#"{"@type":"RATE","node":17,"route":"find","total":19,"errors":0,"interval":1000.0}"#;

    #[test]
    fn a_load_report_stands_in_the_settings_order() {
        let Ok(Message::ReplicaStatistics(met)) = read(LOAD) else { panic!("{:?}", read(LOAD)) };
        assert_eq!((met.zone, met.attempts, met.failed, &*met.replica), (1, 4, 1, "r1"));
        assert_eq!(
            (met.mean_latency, met.interval),
            (Some(Duration::from_micros(41500)), Duration::from_millis(500))
        );
        assert_eq!(met.load, [2.0, 7.0]);
        let Ok(Message::ReplicaStatistics(met)) = read(&LOAD.replace("\"queue\":2", "\"qps\":2")) else {
            panic!("not read")
        };
        assert!(met.load.is_empty(), "an absent value is not 0, nor another's");
    }

    #[test]
    fn each_spoilt_field_is_named() {
        for (from, to, fault) in [
            ("\"total\":4", "\"total\":-4", DecodeError::InvalidField("total")),
            ("\"total\":4", "\"total\":4.5", DecodeError::InvalidField("total")),
            ("\"total\":4", "\"total\":1e300", DecodeError::InvalidField("total")),
            ("\"errors\":1", "\"errors\":5", DecodeError::InvalidField("errors")),
            ("\"errors\":1,", "", DecodeError::InvalidField("errors")),
            ("41.5", "\"41.5\"", DecodeError::InvalidField("rtt")),
            ("41.5", "1e9", DecodeError::InvalidField("rtt")),
            ("500.0", "0", DecodeError::InvalidField("interval")),
            ("\"b\"", "\"c\"", DecodeError::UnknownName("locality")),
            ("r1", "r2", DecodeError::UnknownName("endpoint")),
            ("\"queue\":2", "\"queue\":-2", DecodeError::InvalidField("metrics")),
            ("LOAD", "WHAT", DecodeError::UnknownName("@type")),
        ] {
            assert_eq!(read(&LOAD.replace(from, to)), Err(fault), "{from} {to}");
        }
        assert_eq!(read(&RATE.replace("17", "20")), Err(DecodeError::UnknownName("node")));
        assert_eq!(read(&RATE.replace("find", "lose")), Err(DecodeError::UnknownName("route")));
        assert!(matches!(read("{\"@type\":"), Err(DecodeError::Unreadable(_))));
        assert!(matches!(
            read(RATE),
            Ok(Message::DemandStatistics(DemandStatistics { proxy: 17, class: 0, requests: 19, .. }))
        ));
    }

    #[test]
    fn flows_of_an_earlier_span_may_be_dropped_in_this_one() {
        let late = RATE.replace("\"total\":19,\"errors\":0", "\"total\":0,\"errors\":2");
        assert!(matches!(
            read(&late),
            Ok(Message::DemandStatistics(DemandStatistics { requests: 0, failed: 2, .. }))
        ));
        assert_eq!(read(&late.replace(":2", ":2e9")), Err(DecodeError::InvalidField("errors")));
    }

    proptest! {
        #[test]
        fn no_input_panics(at in 0usize..150, with in any::<Vec<u8>>(), load in any::<bool>()) {
            let mut bytes = if load { LOAD } else { RATE }.as_bytes().to_vec();
            let at = at.min(bytes.len());
            let until = (at + with.len()).min(bytes.len());
            bytes.splice(at..until, with);
            let _ = decoder().decode(&bytes, |name| Some(name.into()));
        }
    }
}
