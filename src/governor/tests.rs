//! Unit tests of the governor. Each test builds the state it needs and calls one function.

use super::admission_control::{ClassAdmission, LastCut, LatencySum, QUEUE_DRAINING_FRACTION};
use super::arithmetic::get_or_default;
use super::critical_set::Reward;
use super::default_tables::{Staleness, ZoneScope};
use super::ejection::FIRST_EJECTION;
use super::flush_limiter::{FlushLimit, Urgency};
use super::load_model::{Flow, FlowGroup, LoadModel, ReplicaCapacity, ReplicaRate, ReplicaShare};
use super::outlier_detection::Outlier;
use super::proxy_state::{DefaultTableContents, DefaultTableSample};
use super::replica_state::ZoneObservation;
use super::send_queue::SentBatch;
use super::table_updates::{Assignment, Recipients};
use super::tables::RouteScope::{self, AnyZone, OwnZone};
use super::tables::{TableKey, Weights};
use super::water_filling::{Bin, water_fill};
use super::*;
use crate::types::{
    AdmissionControl, HeldTables, Idempotency, LoadField, MessageLimit, ProxyConnection, RetryPolicy,
    TableEntry, TableId, TrafficClass,
};

mod admission_control;
mod critical_set;
mod default_tables;
mod ejection;
mod fixtures;
mod flush_limiter;
mod health;
mod outlier_detection;
mod publishing;
mod readmissions;
mod roster;
mod slow_start;
mod statistics;
mod table_updates;
