//! The subcommands that query a running governor: `status`, `why`, `tables`, `record`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::Subcommand;

use super::{EXIT_NOT_PASSED, OutputFormat};
use crate::admin_client::get;
use crate::{dry_run, render};

#[derive(Subcommand)]
pub enum TablesVerb {
    /// List the retained versions
    History,
    /// Show the differences between two versions
    Diff { one: u64, other: u64 },
    /// Show what the guard would refuse of the tables in a file, without applying them; the format is that of
    /// `--output json`, for one proxy or a list of proxies
    Check {
        file: PathBuf,
        /// A governor's HTTP port or the file of a recording; default: the governor at `--at`
        #[arg(long)]
        against: Option<String>,
    },
}

pub fn status(at: &str, output: OutputFormat) -> Result<()> {
    output.print(&get(at, "/status")?, render::status);
    Ok(())
}

pub fn governors(at: &str, output: OutputFormat) -> Result<()> {
    output.print(&get(at, "/governors")?, render::governors);
    Ok(())
}

pub fn refusals(at: &str, name: &str, output: OutputFormat) -> Result<()> {
    output.print(&get(at, &format!("/why/{name}"))?, render::refusals);
    Ok(())
}

pub fn record(at: &str) -> Result<()> {
    println!("{}", get(at, "/recording")?);
    Ok(())
}

pub fn tables(
    at: &str,
    proxy: Option<&str>,
    verb: Option<TablesVerb>,
    output: OutputFormat,
) -> Result<ExitCode> {
    if let Some(TablesVerb::Check { file, against }) = verb {
        return check_tables(&file, proxy, against.as_deref().unwrap_or(at), output);
    }
    let proxy = proxy.context("no proxy given; usage: `wrenthread tables PROXY`")?;
    match verb {
        Some(TablesVerb::History) => {
            output.print(&get(at, &format!("/tables/{proxy}/history"))?, render::history);
        }
        Some(TablesVerb::Diff { one, other }) => {
            output.print(&get(at, &format!("/tables/{proxy}/diff/{one}/{other}"))?, render::diff);
        }
        Some(TablesVerb::Check { .. }) | None => {
            output.print(&get(at, &format!("/tables/{proxy}"))?, render::tables);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn check_tables(file: &Path, proxy: Option<&str>, against: &str, output: OutputFormat) -> Result<ExitCode> {
    let outcome = dry_run::check(file, proxy, against)?;
    output.print(&outcome, render::dry_run);
    match render::is_empty_list(&outcome["refused"]) {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(EXIT_NOT_PASSED)),
    }
}
