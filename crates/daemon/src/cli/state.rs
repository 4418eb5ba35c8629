//! `state`: inspects and maintains the state folder that a governor's settings name.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::Subcommand;

use super::{EXIT_NOT_PASSED, OutputFormat};
use crate::{render, state};

#[derive(Subcommand)]
pub enum StateVerb {
    /// Show what is stored; the governor may be running
    Show {
        folder: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Check that the stored state is complete and undamaged
    Verify { folder: PathBuf },
    /// Write all of it as JSON, for a backup; the governor may be running
    Export { folder: PathBuf },
    /// Replace everything stored by an export; no governor may be using the folder
    Import { folder: PathBuf, file: PathBuf },
    /// Merge the journal into a new snapshot; no governor may be using the folder
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
                println!("entries: {} bytes, journal: {} bytes", sizes.entry_bytes, sizes.journal_bytes);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
