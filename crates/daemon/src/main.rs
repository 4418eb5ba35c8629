//! `wrenthread`: a control service that hands weights to plain proxies.

mod clock;
mod dry_run;
mod export;
mod host;
mod http;
mod membership;
mod nginx;
mod platform;
mod render;
mod roster_file;
mod run;
mod state;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand, ValueEnum};

#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Exit codes: 0 done; 1 it failed, with the reason on standard error; \
    2 the command line or the settings are wrong; 3 a rehearsal, a check of tables or of state, or a strict \
    import did not pass, or something differs."
)]
struct Cli {
    /// How logs are written
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogForm,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Output {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum Fronts {
    Grpc,
    Poll,
    Mixed,
}

#[derive(Subcommand)]
enum Versions {
    /// The versions that are kept
    History,
    /// What differs between two of them
    Diff { one: u64, other: u64 },
    /// What the guard would refuse of tables in a file, as `--output json` tells them (one proxy's, or a
    /// list of such); nothing takes effect
    Check {
        file: PathBuf,
        /// A governor's HTTP port, or a recording's file; the governor of `--at` otherwise
        #[arg(long)]
        against: Option<String>,
    },
}

/// How long an override lasts, and why.
#[derive(clap::Args)]
struct Said {
    #[arg(long, required_unless_present = "undo")]
    why: Option<String>,
    /// How long, in seconds
    #[arg(long = "for", default_value = "900")]
    lasts: f64,
    /// End what was said of it
    #[arg(long)]
    undo: bool,
    /// The governor's HTTP port
    #[arg(long, default_value = "127.0.0.1:15011")]
    at: String,
}

impl Said {
    fn say(&self, replica: &str, weight: Option<f64>) -> Result<()> {
        let asked = serde_json::json!({
            "replica": replica, "weight": weight, "why": self.why, "for_s": self.lasts, "undo": self.undo,
        });
        let told = render::fetch(&self.at, "/override", Some(&asked))?;
        match (told["ended"].as_bool(), told["refused"].as_u64()) {
            (Some(false), _) => println!("nothing was said of {replica}"),
            (Some(true), _) => println!("{replica} is as the module has it again"),
            (None, Some(0) | None) => println!("{replica} is overridden for {} s", self.lasts),
            (None, Some(refused)) => println!(
                "{replica} is overridden for {} s, but the guard refuses {refused} of what follows \
                 (see `why`)",
                self.lasts
            ),
        }
        Ok(())
    }
}

#[derive(Clone, Copy, ValueEnum)]
enum ZoneRule {
    /// All in one zone
    One,
    /// By the network of the address: the first three numbers, or four groups
    Network,
}

#[derive(Subcommand)]
enum Source {
    /// nginx's upstream and location blocks; a folder for each pool of replicas
    #[command(after_help = "Examples:\n  wrenthread import nginx /etc/nginx/nginx.conf --output fleets/\n  \
        wrenthread import nginx nginx.conf --diff fleets/\n  wrenthread import nginx --explain slow_start")]
    Nginx(Nginx),
}

#[derive(Subcommand)]
enum Kept {
    /// What is there; the governor may run on
    Show {
        folder: PathBuf,
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
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

impl Kept {
    fn carry_out(self) -> Result<ExitCode> {
        match self {
            Kept::Show { folder, output } => {
                let shown = state::show(&folder)?;
                print(output, &shown, || state::summary(&shown));
            }
            Kept::Verify { folder } => {
                let shown = state::show(&folder)?;
                print!("{}", state::summary(&shown));
                if shown["losses"].as_array().is_none_or(|losses| !losses.is_empty()) {
                    return Ok(ExitCode::from(3));
                }
            }
            Kept::Export { folder } => println!("{:#}", state::show(&folder)?),
            Kept::Import { folder, file } => println!("{} entries", state::import(&folder, &file)?),
            Kept::Compact { folder } => {
                let (bytes, journal) = state::compact(&folder)?;
                println!("{bytes} bytes, and {journal} in the journal");
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

#[derive(Subcommand)]
enum Target {
    /// An nginx: upstream blocks in a file that it includes, replaced whole (`nginx(...)` in the settings)
    #[command(after_help = "Examples:\n  \
        wrenthread export nginx deploy/settings.star --name nginx-1 --zone north\n  \
        wrenthread export nginx deploy/settings.star --print relay-3")]
    Nginx(Export),
}

#[derive(clap::Args)]
struct Export {
    settings: PathBuf,
    /// The nginx's name among proxies
    #[arg(long, required_unless_present = "print")]
    name: Option<String>,
    /// Its zone; the only one, where there is one
    #[arg(long)]
    zone: Option<String>,
    /// Flows a second that it ordinarily receives
    #[arg(long, default_value = "1")]
    usual: f64,
    /// The governor's long-poll port, as http://HOST:PORT; else as the settings say
    #[arg(long)]
    at: Option<String>,
    /// End once the file is written and read
    #[arg(long)]
    once: bool,
    /// Print the blocks of a joined proxy's present tables instead, and follow nobody
    #[arg(long)]
    print: Option<String>,
}

impl Export {
    fn carry_out(self) -> Result<()> {
        let settings = run::load(&self.settings)?;
        if let Some(proxy) = &self.print {
            let tables = render::fetch(&settings.http.to_string(), &format!("/tables/{proxy}"), None)?;
            print!("{}", export::print(&tables)?);
            return Ok(());
        }
        let zone = match (self.zone, settings.zones.as_slice()) {
            (Some(zone), _) => zone,
            (None, [only]) => only.clone(),
            (None, zones) => anyhow::bail!("which zone? `--zone`, of {}", zones.join(", ")),
        };
        let at = match (self.at, settings.poll) {
            (Some(at), _) => at.trim_end_matches('/').to_string(),
            (None, Some(at)) => format!("http://{at}"),
            (None, None) => anyhow::bail!("the settings have no `poll` to listen on: say `--at`"),
        };
        let who = wrenthread_client::Who { name: self.name.unwrap_or_default(), zone, usual: self.usual };
        export::run(&settings, export::Place { who, at }, self.once)
    }
}

#[derive(clap::Args)]
struct Nginx {
    #[arg(required_unless_present = "explain")]
    file: Option<PathBuf>,
    /// Write settings and rosters here; nothing is written without it
    #[arg(long)]
    output: Option<PathBuf>,
    /// How the account of all directives is given
    #[arg(long, value_enum, default_value = "text")]
    report: Output,
    /// Fail where something that bears on routing is not carried over
    #[arg(long)]
    strict: bool,
    /// Say what becomes of a kind of directive
    #[arg(long)]
    explain: Option<String>,
    /// Say what differs from an earlier import's folder, or from the governor at an address
    #[arg(long)]
    diff: Option<String>,
    /// How zones are told
    #[arg(long, value_enum, default_value = "one")]
    zones: ZoneRule,
    /// Proxies that will follow, of all governors together
    #[arg(long, default_value = "16")]
    proxies: u64,
    #[arg(long, default_value = "1")]
    governors: u64,
    /// Ports of the first fleet, as gRPC,HTTP,long-poll; each further one has those ten higher
    #[arg(long, value_delimiter = ',', default_value = "15010,15011,15012")]
    ports: Vec<u16>,
}

impl Nginx {
    fn carry_out(&self) -> Result<ExitCode> {
        if let Some(name) = &self.explain {
            let (value, text) = nginx::explain(name)?;
            print(self.report, &value, || text);
            return Ok(ExitCode::SUCCESS);
        }
        let zones = match self.zones {
            ZoneRule::One => wrenthread_nginx::fleet::Zones::One,
            ZoneRule::Network => wrenthread_nginx::fleet::Zones::Network,
        };
        let [grpc, http, poll] = self.ports[..] else { anyhow::bail!("`--ports` takes three") };
        let terms = wrenthread_nginx::write::Terms {
            proxies: self.proxies,
            governors: self.governors,
            ports: (grpc, http, poll),
        };
        let file = self.file.as_deref().context("which file?")?;
        let import = nginx::import(file, zones, terms)?;
        if let Some(against) = &self.diff {
            let differences = import.difference(against)?;
            print(self.report, &differences, || nginx::differences(&differences));
            return Ok(if nginx::any(&differences) { ExitCode::from(3) } else { ExitCode::SUCCESS });
        }
        print(self.report, &import.report(), || import.summary());
        if self.strict && import.losses() > 0 {
            eprintln!("{} directives that bear on routing are not carried over", import.losses());
            return Ok(ExitCode::from(3));
        }
        if let Some(folder) = &self.output {
            for path in import.write(folder)? {
                eprintln!("{}", path.display());
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

#[derive(clap::Args)]
#[group(required = true, multiple = false)]
struct Scope {
    #[arg(long)]
    proxy: Option<String>,
    #[arg(long)]
    group: Option<String>,
    #[arg(long)]
    all: bool,
}

impl Scope {
    fn said(self) -> serde_json::Value {
        serde_json::json!({"proxy": self.proxy, "group": self.group, "all": self.all.then_some(true)})
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
        output: Output,
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
        output: Output,
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
        output: Output,
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
        what: Option<Versions>,
        /// The governor's HTTP port
        #[arg(long, global = true, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, global = true, value_enum, default_value = "text")]
        output: Output,
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
        scope: Scope,
        #[arg(long)]
        why: String,
        /// How long, in seconds
        #[arg(long = "for", default_value = "900")]
        lasts: f64,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Have proxies keep the tables of now for a while, less what the rules forbid
    #[command(after_help = "Example: wrenthread pin --proxy relay-3 --why 'its link is measured' --for 300")]
    Pin {
        #[command(flatten)]
        scope: Scope,
        #[arg(long)]
        why: String,
        /// How long, in seconds
        #[arg(long = "for", default_value = "900")]
        lasts: f64,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Have all proxies told here send nothing to a replica for a while
    #[command(after_help = "Example: wrenthread exclude worker-07 --why 'its disk is full' --for 600")]
    Exclude {
        replica: String,
        #[command(flatten)]
        said: Said,
    },
    /// Have a replica's weights multiplied for a while, in whatever the module decides
    #[command(after_help = "Example: wrenthread weight worker-07 0.5 --why 'half its cores are gone'")]
    Weight {
        replica: String,
        /// From 0.01 to 100
        factor: f64,
        #[command(flatten)]
        said: Said,
    },
    /// End holds: the governor's present tables are told again
    #[command(after_help = "Example: wrenthread release --proxy relay-3")]
    Release {
        #[command(flatten)]
        scope: Scope,
        /// The governor's HTTP port
        #[arg(long, default_value = "127.0.0.1:15011")]
        at: String,
    },
    /// Turn the configuration of other proxies into settings and a roster, and say what could not be carried
    /// over
    Import {
        #[command(subcommand)]
        from: Source,
    },
    /// What a governor keeps beyond its life, in the folder that its settings name
    State {
        #[command(subcommand)]
        what: Kept,
    },
    /// Have proxies follow that can't by themselves
    Export {
        #[command(subcommand)]
        to: Target,
    },
    /// Read settings within bounds, and write what they came to as JSON
    #[command(hide = true)]
    ReadSettings { settings: PathBuf },
    /// Rehearse a bad day on stand-in relays and workers, and judge it by what crossed the sockets
    #[command(after_help = "Example: wrenthread rehearse bad-day --seed 3\nDays: bad-day, short, takeover, \
        split, stall, roll, dark, friday, imported, storms, storms-bare")]
    Rehearse {
        day: String,
        /// Seeds; each is a day of its own
        #[arg(long = "seed", default_value = "1")]
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
        #[arg(long, conflicts_with = "no_refusals")]
        refusals_most: Option<u64>,
        /// Keep the tape, one JSON line a message, in this folder
        #[arg(long)]
        tape: Option<PathBuf>,
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
}

fn logs(form: LogForm) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let logs = logs.with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()));
    match form {
        LogForm::Text => logs.init(),
        LogForm::Json => logs.json().init(),
    }
}

fn print(output: Output, value: &serde_json::Value, text: impl FnOnce() -> String) {
    match output {
        Output::Json => println!("{value:#}"),
        Output::Text => print!("{}", text()),
    }
}

fn carry_out(command: Command) -> Result<ExitCode> {
    match command {
        #[cfg(not(feature = "suspect"))]
        Command::Run { settings } => run::run(&settings, &[])?,
        #[cfg(feature = "suspect")]
        Command::Run { settings, suspect } => run::run(&settings, &suspect)?,
        Command::Node => platform::run()?,
        Command::Check { settings, output } => {
            let settings = run::load(&settings)?;
            let text = render::settings(&settings)?;
            print(output, &serde_json::to_value(&settings)?, || text);
        }
        Command::ReadSettings { settings } => {
            wrenthread_settings::bound_process()?;
            println!("{}", serde_json::to_string(&wrenthread_settings::load(&settings))?);
        }
        Command::Status { at, governors: true, output } => {
            let seen = render::fetch(&at, "/governors", None)?;
            print(output, &seen, || render::governors(&seen));
        }
        Command::Why { name, at, output } => {
            let why = render::fetch(&at, &format!("/why/{name}"), None)?;
            print(output, &why, || render::why(&why));
        }
        Command::DrainGovernor { at, wait, undo } => render::drain(&at, wait, undo)?,
        Command::Status { at, governors: false, output } => {
            let status = render::fetch(&at, "/status", None)?;
            print(output, &status, || render::status(&status));
        }
        Command::Tables { proxy, what, at, output } => {
            if let Some(Versions::Check { file, against }) = what {
                let would = dry_run::tried(&file, proxy.as_deref(), against.as_deref().unwrap_or(&at))?;
                print(output, &would, || render::would(&would));
                if would["refused"].as_array().is_none_or(|refused| !refused.is_empty()) {
                    return Ok(ExitCode::from(3));
                }
                return Ok(ExitCode::SUCCESS);
            }
            let proxy = proxy.context("whose tables? `wrenthread tables PROXY`")?;
            let fetch = |more: &str| render::fetch(&at, &format!("/tables/{proxy}{more}"), None);
            match what {
                Some(Versions::History) => {
                    let history = fetch("/history")?;
                    print(output, &history, || render::history(&history));
                }
                Some(Versions::Diff { one, other }) => {
                    let diff = fetch(&format!("/diff/{one}/{other}"))?;
                    print(output, &diff, || render::diff(&diff));
                }
                Some(Versions::Check { .. }) | None => {
                    let tables = fetch("")?;
                    print(output, &tables, || render::tables(&tables));
                }
            }
        }
        Command::Record { at } => {
            println!("{}", render::fetch(&at, "/recording", None)?);
        }
        Command::Rollback { version, scope, why, lasts, at, output } => {
            let mut asked = scope.said();
            (asked["version"], asked["why"], asked["for_s"]) = (version.into(), why.into(), lasts.into());
            let rolled = render::fetch(&at, "/rollback", Some(&asked))?;
            print(output, &rolled, || render::rolled(&rolled));
        }
        Command::Pin { scope, why, lasts, at } => {
            let status = render::fetch(&at, "/status", None)?;
            let mut asked = scope.said();
            asked["version"] = status["governor"]["version"].clone();
            (asked["why"], asked["for_s"]) = (why.into(), lasts.into());
            print!("{}", render::rolled(&render::fetch(&at, "/rollback", Some(&asked))?));
        }
        Command::Exclude { replica, said } => said.say(&replica, None)?,
        Command::Weight { replica, factor, said } => said.say(&replica, Some(factor))?,
        Command::Release { scope, at } => {
            let released = render::fetch(&at, "/release", Some(&scope.said()))?;
            println!("{} tables are released", released["released"]);
        }
        Command::Import { from: Source::Nginx(nginx) } => return nginx.carry_out(),
        Command::State { what } => return what.carry_out(),
        Command::Export { to: Target::Nginx(export) } => export.carry_out()?,
        Command::Rehearse { day, seeds, front, suspect, no_refusals, refusals_most, tape, output } => {
            let most = refusals_most.or(no_refusals.then_some(0));
            return rehearse(&day, &seeds, front, &suspect, most, tape, output);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn rehearse(
    day: &str,
    seeds: &[u64],
    front: Fronts,
    suspect: &[String],
    refusals_most: Option<u64>,
    tape: Option<PathBuf>,
    output: Output,
) -> Result<ExitCode> {
    let program = std::env::current_exe()?;
    let fronts = match front {
        Fronts::Grpc => wrenthread_rehearsal::Fronts::Grpc,
        Fronts::Poll => wrenthread_rehearsal::Fronts::Poll,
        Fronts::Mixed => wrenthread_rehearsal::Fronts::Mixed,
    };
    let mut passed = true;
    let wrongs = suspect.iter().flat_map(|kind| ["--suspect".to_string(), kind.clone()]);
    let program = wrenthread_rehearsal::Program { path: program, wrongs: wrongs.collect() };
    for seed in seeds {
        let verdict = wrenthread_rehearsal::rehearse(&program, day, *seed, fronts, tape.as_deref())?;
        passed &= verdict.passed();
        if let Some(most) = refusals_most.filter(|most| verdict.refused() > *most) {
            eprintln!("{day}, seed {seed}: {} tables were refused; {most} may be", verdict.refused());
            passed = false;
        }
        print(output, &serde_json::to_value(&verdict)?, || verdict.to_string());
    }
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    logs(cli.log);
    match carry_out(cli.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("wrenthread: {error:#}");
            let settings = error.downcast_ref::<wrenthread_settings::SettingErrors>().is_some();
            let told = error.downcast_ref::<platform::config::ConfigError>().is_some();
            if settings || told { ExitCode::from(2) } else { ExitCode::FAILURE }
        }
    }
}
