//! The command line: subcommands, flags and their dispatch. `--help` prints the doc comments of the arguments.

mod check;
mod export;
mod import;
mod inspect;
mod operate;
mod rehearse;
mod state;

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use clap::{Parser, Subcommand, ValueEnum};
use serde_json::Value;
use tracing_subscriber::EnvFilter;

use crate::{platform, run};
use export::ExportTarget;
use import::ImportSource;
use inspect::TablesVerb;
use operate::{OverrideTerms, ScopeArgs};
use rehearse::RehearseArgs;
use state::StateVerb;

/// The exit code for a check, a rehearsal or a strict import that did not pass, and for differences that were found.
const EXIT_NOT_PASSED: u8 = 3;
/// The log filter used unless the environment sets one.
const DEFAULT_LOG_FILTER: &str = "info";

#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Exit codes: 0 success; 1 failure, with the reason on standard error; \
    2 invalid command line or settings; 3 a rehearsal, a check of tables or of state, or a strict \
    import did not pass, or differences were found."
)]
pub struct Cli {
    /// Format of the log
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    /// Prints a value as JSON, or as human-readable text.
    fn print(self, value: &Value, text: impl FnOnce(&Value) -> String) {
        match self {
            OutputFormat::Json => println!("{value:#}"),
            OutputFormat::Text => print!("{}", text(value)),
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run a governor: SIGHUP reloads its settings, SIGTERM stops it
    #[command(after_help = "Example: wrenthread run deploy/settings.star")]
    Run {
        settings: PathBuf,
        /// Replace the decision module by this faulty decider, or (`none`) switch the guard off
        #[cfg(feature = "suspect")]
        #[arg(long)]
        suspect: Vec<String>,
    },
    /// Run a governor that speaks the platform's protocol, configured by the environment variables RELAY_NAME,
    /// RELAY_LISTEN, RELAY_DISCOVERY and RELAY_CONFIG: SIGHUP reloads the configuration, SIGTERM stops it
    Node,
    /// Evaluate a settings script and print the settings, or all errors in it
    #[command(after_help = "Example: wrenthread check deploy/settings.star --output json")]
    Check {
        settings: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Show the status of a running governor: its proxies, replicas and admission levels
    #[command(after_help = "Example: wrenthread status --at 127.0.0.1:15011")]
    Status {
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        /// Show the other governors as seen by this one instead
        #[arg(long)]
        governors: bool,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Move all proxies of a governor to the other governors before it is stopped; it keeps running until then
    #[command(after_help = "Example: wrenthread drain-governor --at 127.0.0.1:15011 --wait 60")]
    DrainGovernor {
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        /// How long to wait for the drain to complete, in seconds; it continues after that
        #[arg(long, default_value = "60")]
        wait: f64,
        /// End the drain and accept proxies again
        #[arg(long)]
        undo: bool,
    },
    /// Show what a running governor's guard refused for a proxy or a replica, and a replica's load and ejection reason
    #[command(after_help = "Example: wrenthread why relay-3")]
    Why {
        /// Name of a proxy or a replica
        name: String,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Show one proxy's tables, their versions, or the differences between two versions
    #[command(subcommand_precedence_over_arg = true)]
    #[command(after_help = "Examples:\n  wrenthread tables relay-3\n  wrenthread tables relay-3 history\n  \
        wrenthread tables relay-3 diff 41 57\n  wrenthread tables relay-3 check wanted.json\n  \
        wrenthread tables check all.json --against friday.json")]
    Tables {
        /// The proxy; may be omitted only before `check`, where the file names the proxies
        proxy: Option<String>,
        #[command(subcommand)]
        verb: Option<TablesVerb>,
        /// The governor's HTTP port
        #[arg(long, global = true, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, global = true, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Write a recording of a running governor's state as one line of JSON; `tables check` can check tables against it
    #[command(after_help = "Example: wrenthread record > friday.json")]
    Record {
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Roll proxies' tables back to a version, less the entries that the rules forbid now
    #[command(after_help = "Example: wrenthread rollback 41 --all --why 'hall north is overrun' --for 900")]
    Rollback {
        version: u64,
        #[command(flatten)]
        scope: ScopeArgs,
        #[arg(long)]
        why: String,
        /// Duration in seconds
        #[arg(long = "for", value_name = "LASTS", default_value = "900")]
        seconds: f64,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Freeze proxies' present tables for a while, less the entries that the rules forbid
    #[command(after_help = "Example: wrenthread pin --proxy relay-3 --why 'its link is measured' --for 300")]
    Pin {
        #[command(flatten)]
        scope: ScopeArgs,
        #[arg(long)]
        why: String,
        /// Duration in seconds
        #[arg(long = "for", value_name = "LASTS", default_value = "900")]
        seconds: f64,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Exclude a replica from the tables of all proxies of this governor for a while
    #[command(after_help = "Example: wrenthread exclude worker-07 --why 'its disk is full' --for 600")]
    Exclude {
        replica: String,
        #[command(flatten)]
        terms: OverrideTerms,
    },
    /// Multiply a replica's weights by a factor for a while, in all tables that the module decides
    #[command(after_help = "Example: wrenthread weight worker-07 0.5 --why 'half its cores are gone'")]
    Weight {
        replica: String,
        /// The factor, from 0.01 to 100
        factor: f64,
        #[command(flatten)]
        terms: OverrideTerms,
    },
    /// Release frozen tables: the governor's present tables are sent again
    #[command(after_help = "Example: wrenthread release --proxy relay-3")]
    Release {
        #[command(flatten)]
        scope: ScopeArgs,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Convert the configuration of other proxies into settings and a roster, and list what could not be
    /// converted
    Import {
        #[command(subcommand)]
        source: ImportSource,
    },
    /// Show, verify, export, import or compact the state that a governor stores across restarts
    State {
        #[command(subcommand)]
        verb: StateVerb,
    },
    /// Run an agent for a proxy that can't fetch tables from a governor by itself
    Export {
        #[command(subcommand)]
        target: ExportTarget,
    },
    /// Read settings with limits on memory and time, and write them, or the errors, as JSON
    #[command(hide = true)]
    ReadSettings { settings: PathBuf },
    /// Rehearse a day of failures with simulated proxies and replicas, and judge it by their network traffic
    #[command(after_help = "Example: wrenthread rehearse bad-day --seed 3\nDays: bad-day, short, takeover, \
        split, stall, roll, dark, friday, imported, storms, storms-bare")]
    Rehearse(RehearseArgs),
}

impl Cli {
    /// Initializes logging to standard error.
    pub fn init_logging(&self) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| DEFAULT_LOG_FILTER.into());
        let logs = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr)
            .with_ansi(std::io::stderr().is_terminal());
        match self.log {
            LogFormat::Text => logs.init(),
            LogFormat::Json => logs.json().init(),
        }
    }

    /// Runs the subcommand.
    ///
    /// # Errors
    /// The subcommand failed.
    pub fn run(self) -> Result<ExitCode> {
        match self.command {
            #[cfg(not(feature = "suspect"))]
            Command::Run { settings } => run::run(&settings, &[])?,
            #[cfg(feature = "suspect")]
            Command::Run { settings, suspect } => run::run(&settings, &suspect)?,
            Command::Node => platform::run()?,
            Command::Check { settings, output } => check::check(&settings, output)?,
            Command::ReadSettings { settings } => check::read_settings(&settings)?,
            Command::Status { at, governors: true, output } => inspect::governors(&at, output)?,
            Command::Status { at, governors: false, output } => inspect::status(&at, output)?,
            Command::Why { name, at, output } => inspect::refusals(&at, &name, output)?,
            Command::Tables { proxy, verb, at, output } => {
                return inspect::tables(&at, proxy.as_deref(), verb, output);
            }
            Command::Record { at } => inspect::record(&at)?,
            Command::DrainGovernor { at, undo: false, wait } => operate::drain(&at, wait)?,
            Command::DrainGovernor { at, undo: true, .. } => operate::end_drain(&at)?,
            Command::Rollback { version, scope, why, seconds, at, output } => {
                operate::rollback(&at, scope, version, operate::Freeze { why, seconds }, output)?;
            }
            Command::Pin { scope, why, seconds, at } => {
                operate::pin(&at, scope, operate::Freeze { why, seconds })?;
            }
            Command::Release { scope, at } => operate::release(&at, scope)?,
            Command::Exclude { replica, terms } => terms.apply(&replica, None)?,
            Command::Weight { replica, factor, terms } => terms.apply(&replica, Some(factor))?,
            Command::Import { source } => return source.run(),
            Command::State { verb } => return verb.run(),
            Command::Export { target } => target.run()?,
            Command::Rehearse(rehearsal) => return rehearsal.run(),
        }
        Ok(ExitCode::SUCCESS)
    }
}
