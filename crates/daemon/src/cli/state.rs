//! `state`: what a governor stores in the folder that its settings name.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::Subcommand;

use super::{EXIT_NOT_PASSED, OutputFormat};
use crate::{render, state};

#[derive(Subcommand)]
pub enum StateVerb {
    /// What is there; the governor may run on
    Show {
        folder: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Whether all of it is whole
    Verify { folder: PathBuf },
    /// Write all of it as JSON, as a copy to keep; the governor may run on
    Export { folder: PathBuf },
    /// Put an export in the place of all that is there; no governor may have the folder
    Import { folder: PathBuf, file: PathBuf },
    /// Fold the journal into a new snapshot; no governor may have the folder
    Compact { folder: PathBuf },
}

impl StateVerb {
    pub fn run(self) -> Result<ExitCode> {
        match self {
            StateVerb::Show { folder, output } => output.print(&state::show(&folder)?, state::summary),
            StateVerb::Verify { folder } => {
                let shown = state::show(&folder)?;
                print!("{}", state::summary(&shown));
                if !render::is_empty_list(&shown["losses"]) {
                    return Ok(ExitCode::from(EXIT_NOT_PASSED));
                }
            }
            StateVerb::Export { folder } => println!("{:#}", state::show(&folder)?),
            StateVerb::Import { folder, file } => println!("{} entries", state::import(&folder, &file)?),
            StateVerb::Compact { folder } => {
                let sizes = state::compact(&folder)?;
                println!("{} bytes, and {} in the journal", sizes.entry_bytes, sizes.journal_bytes);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
