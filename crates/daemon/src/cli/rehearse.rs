//! `rehearse`: runs a day of failures with simulated proxies and replicas.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::ValueEnum;
use wrenthread_rehearsal::Program;

use super::{EXIT_NOT_PASSED, OutputFormat};

#[derive(Clone, Copy, ValueEnum)]
enum Fronts {
    Grpc,
    Poll,
    Mixed,
}

impl From<Fronts> for wrenthread_rehearsal::Fronts {
    fn from(fronts: Fronts) -> Self {
        match fronts {
            Fronts::Grpc => wrenthread_rehearsal::Fronts::Grpc,
            Fronts::Poll => wrenthread_rehearsal::Fronts::Poll,
            Fronts::Mixed => wrenthread_rehearsal::Fronts::Mixed,
        }
    }
}

// (No doc comment: `--help` would print it as that of the verb.)
#[derive(clap::Args)]
pub struct RehearseArgs {
    day: String,
    /// Seed of the rehearsal; may be repeated, each seed is a rehearsal of its own
    #[arg(long = "seed", value_name = "SEEDS", default_value = "1")]
    seeds: Vec<u64>,
    /// The front that the proxies connect by
    #[arg(long, value_enum, default_value = "grpc")]
    front: Fronts,
    /// Inject this fault into the governors' decisions; needs a program built with the feature `suspect`
    #[arg(long, hide = !cfg!(feature = "suspect"))]
    suspect: Vec<String>,
    /// Fail if the guard refused anything: the unmodified module has nothing refused on a day within its
    /// capacity
    #[arg(long)]
    no_refusals: bool,
    /// Fail if the guard refused more tables than this
    #[arg(long = "refusals-most", value_name = "REFUSALS_MOST", conflicts_with = "no_refusals")]
    max_refusals: Option<u64>,
    /// Write a log of all messages to this folder, one JSON line per message
    #[arg(long)]
    tape: Option<PathBuf>,
    #[arg(long, value_enum, default_value = "text")]
    output: OutputFormat,
}

impl RehearseArgs {
    pub fn run(&self) -> Result<ExitCode> {
        let faults = self.suspect.iter().flat_map(|kind| ["--suspect".to_string(), kind.clone()]);
        let program = Program { path: std::env::current_exe()?, fault_arguments: faults.collect() };
        let mut passed = true;
        for seed in &self.seeds {
            passed &= self.rehearse(&program, *seed)?;
        }
        match passed {
            true => Ok(ExitCode::SUCCESS),
            false => Ok(ExitCode::from(EXIT_NOT_PASSED)),
        }
    }

    /// Runs the rehearsal with this seed and returns whether it passed.
    fn rehearse(&self, program: &Program, seed: u64) -> Result<bool> {
        let (day, fronts) = (&self.day, self.front.into());
        let verdict = wrenthread_rehearsal::rehearse(program, day, seed, fronts, self.tape.as_deref())?;
        let mut passed = verdict.passed();
        let max_refusals = self.max_refusals.or(self.no_refusals.then_some(0));
        if let Some(max) = max_refusals.filter(|max| verdict.refused() > *max) {
            eprintln!(
                "{day}, seed {seed}: the guard refused {} tables; the limit is {max}",
                verdict.refused()
            );
            passed = false;
        }
        self.output.print(&serde_json::to_value(&verdict)?, |_| verdict.to_string());
        Ok(passed)
    }
}
