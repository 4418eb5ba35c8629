//! The command line: its verbs and flags, and what each verb does. Doc comments of arguments are what `--help` prints.

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

/// The exit code of a check, a rehearsal or a strict import that did not pass, and of something that differs.
const EXIT_NOT_PASSED: u8 = 3;
/// What is logged unless the environment says otherwise.
const DEFAULT_LOG_FILTER: &str = "info";

#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Exit codes: 0 done; 1 it failed, with the reason on standard error; \
    2 the command line or the settings are wrong; 3 a rehearsal, a check of tables or of state, or a strict \
    import did not pass, or something differs."
)]
pub struct Cli {
    /// How logs are written
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
    /// Prints a value as JSON, or as the text for people.
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
        /// Put a decider that has gone wrong in the module's place, or (`none`) switch the guard off
        #[cfg(feature = "suspect")]
        #[arg(long)]
        suspect: Vec<String>,
    },
    /// Run a governor by the platform's protocol, as its variables RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY
    /// and RELAY_CONFIG say: SIGHUP reads the configuration again, SIGTERM stops it
    Node,
    /// Say what a settings script comes to, or all that is wrong with it
    #[command(after_help = "Example: wrenthread check deploy/settings.star --output json")]
    Check {
        settings: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Ask a running governor who holds what: proxies, replicas, levels
    #[command(after_help = "Example: wrenthread status --at 127.0.0.1:15011")]
    Status {
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        /// Say which governors it sees instead
        #[arg(long)]
        governors: bool,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Hand all proxies of a governor over to the others, ahead of its end; it runs on until stopped
    #[command(after_help = "Example: wrenthread drain-governor --at 127.0.0.1:15011 --wait 60")]
    DrainGovernor {
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        /// How long it may take, in seconds; the drain goes on behind it
        #[arg(long, default_value = "60")]
        wait: f64,
        /// Take proxies again
        #[arg(long)]
        undo: bool,
    },
    /// Ask a running governor why a proxy or a replica is told, or sent, what it is: refusals of the guard
    #[command(after_help = "Example: wrenthread why relay-3")]
    Why {
        /// A proxy's or a replica's name
        name: String,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Ask a running governor for one proxy's tables, their versions, and what differs between two
    #[command(subcommand_precedence_over_arg = true)]
    #[command(after_help = "Examples:\n  wrenthread tables relay-3\n  wrenthread tables relay-3 history\n  \
        wrenthread tables relay-3 diff 41 57\n  wrenthread tables relay-3 check wanted.json\n  \
        wrenthread tables check all.json --against friday.json")]
    Tables {
        /// Left out only before `check`, where the file names them
        proxy: Option<String>,
        #[command(subcommand)]
        verb: Option<TablesVerb>,
        /// The governor's HTTP port
        #[arg(long, global = true, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, global = true, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Write what a running governor knows as one line of JSON, for tables to be tried against later
    #[command(after_help = "Example: wrenthread record > friday.json")]
    Record {
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Step back: have proxies told what they were told as of a version, less what the rules forbid now
    #[command(after_help = "Example: wrenthread rollback 41 --all --why 'hall north is overrun' --for 900")]
    Rollback {
        version: u64,
        #[command(flatten)]
        scope: ScopeArgs,
        #[arg(long)]
        why: String,
        /// How long, in seconds
        #[arg(long = "for", value_name = "LASTS", default_value = "900")]
        seconds: f64,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, value_enum, default_value = "text")]
        output: OutputFormat,
    },
    /// Have proxies keep the tables of now for a while, less what the rules forbid
    #[command(after_help = "Example: wrenthread pin --proxy relay-3 --why 'its link is measured' --for 300")]
    Pin {
        #[command(flatten)]
        scope: ScopeArgs,
        #[arg(long)]
        why: String,
        /// How long, in seconds
        #[arg(long = "for", value_name = "LASTS", default_value = "900")]
        seconds: f64,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Have all proxies told here send nothing to a replica for a while
    #[command(after_help = "Example: wrenthread exclude worker-07 --why 'its disk is full' --for 600")]
    Exclude {
        replica: String,
        #[command(flatten)]
        terms: OverrideTerms,
    },
    /// Have a replica's weights multiplied for a while, in whatever the module decides
    #[command(after_help = "Example: wrenthread weight worker-07 0.5 --why 'half its cores are gone'")]
    Weight {
        replica: String,
        /// From 0.01 to 100
        factor: f64,
        #[command(flatten)]
        terms: OverrideTerms,
    },
    /// End holds: the governor's present tables are told again
    #[command(after_help = "Example: wrenthread release --proxy relay-3")]
    Release {
        #[command(flatten)]
        scope: ScopeArgs,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Turn the configuration of other proxies into settings and a roster, and say what could not be carried
    /// over
    Import {
        #[command(subcommand)]
        source: ImportSource,
    },
    /// What a governor keeps beyond its life, in the folder that its settings name
    State {
        #[command(subcommand)]
        verb: StateVerb,
    },
    /// Have proxies follow that can't by themselves
    Export {
        #[command(subcommand)]
        target: ExportTarget,
    },
    /// Read settings within bounds, and write what they came to as JSON
    #[command(hide = true)]
    ReadSettings { settings: PathBuf },
    /// Rehearse a bad day on stand-in relays and workers, and judge it by what crossed the sockets
    #[command(after_help = "Example: wrenthread rehearse bad-day --seed 3\nDays: bad-day, short, takeover, \
        split, stall, roll, dark, friday, imported, storms, storms-bare")]
    Rehearse(RehearseArgs),
}

impl Cli {
    /// Has logs written to standard error.
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

    /// Does what the verb says.
    ///
    /// # Errors
    /// Why it failed.
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
