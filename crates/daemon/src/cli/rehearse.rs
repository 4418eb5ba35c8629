//! `rehearse`: a bad day on stand-in proxies and replicas.

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
    /// Seeds; each is a day of its own
    #[arg(long = "seed", value_name = "SEEDS", default_value = "1")]
    seeds: Vec<u64>,
    /// By which fronts the relays follow
    #[arg(long, value_enum, default_value = "grpc")]
    front: Fronts,
    /// Have the governors decide wrongly; the program must have been built with the feature `suspect`
    #[arg(long, hide = !cfg!(feature = "suspect"))]
    suspect: Vec<String>,
    /// Fail where the guard refused anything: with the module as it is, on a day that it can bear,
    /// nothing is
    #[arg(long)]
    no_refusals: bool,
    /// Fail where the guard refused more than so many tables
    #[arg(long = "refusals-most", value_name = "REFUSALS_MOST", conflicts_with = "no_refusals")]
    max_refusals: Option<u64>,
    /// Keep the tape, one JSON line a message, in this folder
    #[arg(long)]
    tape: Option<PathBuf>,
    #[arg(long, value_enum, default_value = "text")]
    output: OutputFormat,
}

impl RehearseArgs {
    pub fn run(&self) -> Result<ExitCode> {
        let faults = self.suspect.iter().flat_map(|kind| ["--suspect".to_string(), kind.clone()]);
        let program = Program { path: std::env::current_exe()?, wrongs: faults.collect() };
        let mut passed = true;
        for seed in &self.seeds {
            passed &= self.rehearse(&program, *seed)?;
        }
        match passed {
            true => Ok(ExitCode::SUCCESS),
            false => Ok(ExitCode::from(EXIT_NOT_PASSED)),
        }
    }

    /// Whether the day with this seed passed.
    fn rehearse(&self, program: &Program, seed: u64) -> Result<bool> {
        let (day, fronts) = (&self.day, self.front.into());
        let verdict = wrenthread_rehearsal::rehearse(program, day, seed, fronts, self.tape.as_deref())?;
        let mut passed = verdict.passed();
        let max_refusals = self.max_refusals.or(self.no_refusals.then_some(0));
        if let Some(max) = max_refusals.filter(|max| verdict.refused() > *max) {
            eprintln!("{day}, seed {seed}: {} tables were refused; {max} may be", verdict.refused());
            passed = false;
        }
        self.output.print(&serde_json::to_value(&verdict)?, |_| verdict.to_string());
        Ok(passed)
    }
}
