//! Encodes decisions as replies to the simulator. The field names of replies occur only here.
//!
//! Fields are in alphabetical order.

use std::io::{self, Write};

use serde::Serialize;
use wrenthread::types::{ClassSet, Decision, ProxyId, RetryPolicy, TableId};

/// Table number that denotes all connected proxies in [`Reply::Admit`].
const ALL_PROXIES: TableId = TableId::MAX;
/// Handle of a governor's only timer.
const TIMER_HANDLE: u64 = 0;

/// One line of output.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Reply<'a> {
    Admit { class_bits: ClassSet, governor_id: u64, let_in: f64, on_failure: u8, tbl: TableId },
    Assign { governor_id: u64, replica: &'a str, tbl: TableId, weight: f64 },
    Bind { class_bits: ClassSet, forwarder: ProxyId, governor_id: u64, tbl: TableId },
    HoldBack { governor_id: u64, replica: &'a str, set: bool },
    Ok {},
    Schedule { governor_id: u64, handle: u64, wait_us: u64 },
    Seal { governor_id: u64, set: bool, version: u16 },
    Touch { governor_id: u64, replica: &'a str },
    Watch { governor_id: u64, set: bool },
}

/// Writes a governor's subscription to replica lists.
///
/// # Errors
///
/// Returns the errors of the output.
pub fn write_subscription(governor_id: u64, output: &mut impl Write) -> io::Result<()> {
    write_reply(&Reply::Watch { governor_id, set: true }, output)
}

/// Ends the reply to a batch.
///
/// # Errors
///
/// Returns the errors of the output.
pub fn write_end(output: &mut impl Write) -> io::Result<()> {
    write_reply(&Reply::Ok {}, output)?;
    output.flush()
}

/// Writes one decision of a governor.
///
/// # Errors
///
/// Returns the errors of the output.
pub fn write_decision(governor_id: u64, decision: &Decision, output: &mut impl Write) -> io::Result<()> {
    let reply = match decision {
        Decision::ScheduleTick(after) => {
            Reply::Schedule { governor_id, handle: TIMER_HANDLE, wait_us: after.as_micros() as u64 }
        }
        Decision::SetEjected { replica, ejected } => Reply::HoldBack { governor_id, replica, set: *ejected },
        Decision::UpdateTable { table, entries } => {
            for entry in entries {
                let replica = &entry.replica;
                let assign = Reply::Assign { governor_id, replica, tbl: *table, weight: entry.weight };
                write_reply(&assign, output)?;
            }
            return Ok(());
        }
        Decision::AssignTable { proxy, table, classes } => {
            Reply::Bind { class_bits: *classes, forwarder: *proxy, governor_id, tbl: *table }
        }
        Decision::SetAdmission { classes, fraction, retry_policy } => Reply::Admit {
            class_bits: *classes,
            governor_id,
            let_in: *fraction,
            on_failure: retry_number(*retry_policy),
            tbl: ALL_PROXIES,
        },
        Decision::RequestAcknowledgement(number) => Reply::Seal { governor_id, set: false, version: *number },
        Decision::CheckHealth(replica) => Reply::Touch { governor_id, replica },
    };
    write_reply(&reply, output)
}

fn retry_number(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::OnAnyFailure => 2,
    }
}

fn write_reply(reply: &Reply, output: &mut impl Write) -> io::Result<()> {
    serde_json::to_writer(&mut *output, reply)?;
    output.write_all(b"\n")
}
