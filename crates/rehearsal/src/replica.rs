//! Stand-in replicas with simulated work, a queue, a cold start and fault modes.
//!
//! An attempt is a line `REQUEST CLASS` on a connection of its own. The answer is `ok QUEUED`, `refused` (the
//! request was not executed) or `bad` (it failed after it was executed).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use wrenthread_settings::day::Day;

use crate::event_log::{Event, EventLog, capacity};

/// Requests executed concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 2;
/// Queued requests beyond which further ones are refused.
const MAX_QUEUED_REQUESTS: usize = 30;

/// How a replica behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// It serves requests.
    Healthy,
    /// It accepts requests and never answers.
    Silent,
    /// It answers each request with an error at once.
    QuickErrors,
}

/// The process of a replica. A restart replaces it under the same name and address.
struct Process {
    started: Option<f64>,
    slots: Semaphore,
    queued: Cell<usize>,
}

/// A stand-in replica.
pub struct Replica {
    /// Index in the fleet.
    pub index: usize,
    /// The name in roster and tables.
    pub id: String,
    /// The address where it listens.
    pub address: String,
    day: Rc<Day>,
    event_log: EventLog,
    mode: Cell<Mode>,
    process: RefCell<Rc<Process>>,
}

impl Replica {
    /// Starts a replica, already warm.
    ///
    /// Errors: the socket on loopback cannot be bound.
    pub async fn start(index: usize, day: Rc<Day>, event_log: EventLog) -> Result<Rc<Replica>> {
        // With an nginx import, zones are derived from the networks of the addresses.
        let host =
            if day.nginx { format!("{}.1", day.zones[index % day.zones.len()]) } else { "127.0.0.1".into() };
        let listener = TcpListener::bind(format!("{host}:0"))
            .await
            .context("cannot bind a replica's listening socket")?;
        let process =
            Process { started: None, slots: Semaphore::new(MAX_CONCURRENT_REQUESTS), queued: Cell::new(0) };
        let address = listener.local_addr()?.to_string();
        let replica = Rc::new(Replica {
            index,
            id: if day.nginx { address.clone() } else { format!("worker-{index:02}") },
            address,
            day,
            event_log,
            mode: Cell::new(Mode::Healthy),
            process: RefCell::new(Rc::new(process)),
        });
        replica.event_log.record(Event::Started { replica: index, cold: false });
        let this = replica.clone();
        tokio::task::spawn_local(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let this = this.clone();
                // The work goes on if the client disconnects.
                tokio::task::spawn_local(async move { drop(this.serve(connection).await) });
            }
        });
        Ok(replica)
    }

    /// Sets the mode for later requests.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Replaces the process with a cold one. Requests in progress are lost.
    pub fn restart(&self) {
        let process = Process {
            started: Some(self.event_log.now()),
            slots: Semaphore::new(MAX_CONCURRENT_REQUESTS),
            queued: Cell::new(0),
        };
        self.process.borrow().slots.close();
        *self.process.borrow_mut() = Rc::new(process);
        self.event_log.record(Event::Started { replica: self.index, cold: true });
    }

    /// When the process started, in seconds of the event log; none if it was started warm.
    pub fn started(&self) -> Option<f64> {
        self.process.borrow().started
    }

    async fn serve(&self, connection: TcpStream) -> Result<()> {
        let mut connection = BufReader::new(connection);
        let mut line = String::new();
        connection.read_line(&mut line).await?;
        let (request, class) =
            line.trim().split_once(' ').context("malformed attempt; expected `REQUEST CLASS`")?;
        let (request, class) = (request.parse::<u64>()?, class.parse::<usize>()?);
        self.event_log.record(Event::AttemptReceived { request, replica: self.index });
        let process = self.process.borrow().clone();
        match self.mode.get() {
            Mode::Silent => {
                // Keeps the connection open without an answer.
                tokio::time::sleep(Duration::from_secs(30)).await;
                return Ok(());
            }
            Mode::QuickErrors => {
                tokio::time::sleep(Duration::from_millis(2)).await;
                self.event_log.record(Event::EffectApplied { request, replica: self.index, class });
                return Ok(connection.write_all(b"bad\n").await?);
            }
            Mode::Healthy => {}
        }
        if process.queued.get() >= MAX_QUEUED_REQUESTS {
            return Ok(connection.write_all(b"refused\n").await?);
        }
        process.queued.set(process.queued.get() + 1);
        let permit = process.slots.acquire().await;
        process.queued.set(process.queued.get() - 1);
        let Ok(_permit) = permit else { return Ok(()) };
        let age = process.started.map_or(f64::MAX, |at| self.event_log.now() - at);
        // The work varies between requests, but is the same for a request on every replica.
        let work_factor =
            0.7 + 0.6 * (request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / f64::from(1 << 24);
        let duration = MAX_CONCURRENT_REQUESTS as f64 / self.day.worker_capacity * work_factor
            / capacity(&self.day, age);
        tokio::time::sleep(Duration::from_secs_f64(duration)).await;
        if process.slots.is_closed() {
            return Ok(());
        }
        self.event_log.record(Event::EffectApplied { request, replica: self.index, class });
        let queued = process.queued.get();
        Ok(connection.write_all(format!("ok {queued}\n").as_bytes()).await?)
    }
}
