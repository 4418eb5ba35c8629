//! Stand-in workers: work, a queue, a cold start, and the ways in which they go wrong.
//!
//! A try is a line `FLOW GROUP` on a connection of its own; the answer is `ok WAITING`, `refused` (it never
//! ran), or `bad` (it ran, and its effect with it).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use wrenthread_settings::day::Day;

use crate::event_log::{Tape, What, capacity};

/// Flows worked on at once.
const HANDS: usize = 2;
/// Flows that may wait before further ones are refused.
const QUEUE: usize = 30;

/// How a replica behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// It serves requests.
    Well,
    /// It takes requests and never answers.
    Silent,
    /// It answers each request with an error at once.
    QuickErrors,
}

/// The process that runs under a worker's name and address; a restart makes a new one.
struct Process {
    started: Option<f64>,
    hands: Semaphore,
    waiting: Cell<usize>,
}

/// A stand-in replica.
pub struct Worker {
    /// Its number.
    pub place: usize,
    /// Its name in roster and tables.
    pub id: String,
    /// Where it listens.
    pub address: String,
    day: Rc<Day>,
    tape: Tape,
    mode: Cell<Mode>,
    process: RefCell<Rc<Process>>,
}

impl Worker {
    /// Starts a worker, warm.
    ///
    /// Errors: no socket on loopback.
    pub async fn start(place: usize, day: Rc<Day>, tape: Tape) -> Result<Rc<Worker>> {
        // On a day that is imported, zones are told by the networks of addresses.
        let host =
            if day.nginx { format!("{}.1", day.halls[place % day.halls.len()]) } else { "127.0.0.1".into() };
        let listener = TcpListener::bind(format!("{host}:0")).await.context("a worker's socket")?;
        let process = Process { started: None, hands: Semaphore::new(HANDS), waiting: Cell::new(0) };
        let address = listener.local_addr()?.to_string();
        let worker = Rc::new(Worker {
            place,
            id: if day.nginx { address.clone() } else { format!("worker-{place:02}") },
            address,
            day,
            tape,
            mode: Cell::new(Mode::Well),
            process: RefCell::new(Rc::new(process)),
        });
        worker.tape.add(What::Started { worker: place, cold: false });
        let this = worker.clone();
        tokio::task::spawn_local(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let this = this.clone();
                // A client that goes away takes nothing back: the work is done all the same.
                tokio::task::spawn_local(async move { drop(this.serve(connection).await) });
            }
        });
        Ok(worker)
    }

    /// Has it behave so from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// A new process under the same name: cold, and without what the old one had in hand.
    pub fn restart(&self) {
        let process =
            Process { started: Some(self.tape.now()), hands: Semaphore::new(HANDS), waiting: Cell::new(0) };
        self.process.borrow().hands.close();
        *self.process.borrow_mut() = Rc::new(process);
        self.tape.add(What::Started { worker: self.place, cold: true });
    }

    /// When its process started, in seconds of the log; none if that is long ago.
    pub fn started(&self) -> Option<f64> {
        self.process.borrow().started
    }

    async fn serve(&self, connection: TcpStream) -> Result<()> {
        let mut connection = BufReader::new(connection);
        let mut line = String::new();
        connection.read_line(&mut line).await?;
        let (flow, group) = line.trim().split_once(' ').context("FLOW GROUP")?;
        let (flow, group) = (flow.parse::<u64>()?, group.parse::<usize>()?);
        self.tape.add(What::Got { flow, worker: self.place });
        let process = self.process.borrow().clone();
        match self.mode.get() {
            Mode::Silent => {
                // The connection stands, and nothing ever comes.
                tokio::time::sleep(Duration::from_secs(30)).await;
                return Ok(());
            }
            Mode::QuickErrors => {
                tokio::time::sleep(Duration::from_millis(2)).await;
                self.tape.add(What::Effect { flow, worker: self.place, group });
                return Ok(connection.write_all(b"bad\n").await?);
            }
            Mode::Well => {}
        }
        if process.waiting.get() >= QUEUE {
            return Ok(connection.write_all(b"refused\n").await?);
        }
        process.waiting.set(process.waiting.get() + 1);
        let hand = process.hands.acquire().await;
        process.waiting.set(process.waiting.get() - 1);
        let Ok(_hand) = hand else { return Ok(()) };
        let age = process.started.map_or(f64::MAX, |at| self.tape.now() - at);
        // Somewhat uneven work, the same for a flow wherever it runs.
        let uneven = 0.7 + 0.6 * (flow.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / f64::from(1 << 24);
        let work = HANDS as f64 / self.day.worker_flows_per_s * uneven / capacity(&self.day, age);
        tokio::time::sleep(Duration::from_secs_f64(work)).await;
        if process.hands.is_closed() {
            return Ok(());
        }
        self.tape.add(What::Effect { flow, worker: self.place, group });
        let waiting = process.waiting.get();
        Ok(connection.write_all(format!("ok {waiting}\n").as_bytes()).await?)
    }
}
