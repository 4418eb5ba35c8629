//! `import`: converts the configuration of other proxies into settings and a roster.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use clap::{Subcommand, ValueEnum};

use super::{EXIT_NOT_PASSED, OutputFormat};
use crate::nginx;

#[derive(Subcommand)]
pub enum ImportSource {
    /// Import nginx's upstream and location blocks; each pool of replicas gets a folder of its own
    #[command(after_help = "Examples:\n  wrenthread import nginx /etc/nginx/nginx.conf --output fleets/\n  \
        wrenthread import nginx nginx.conf --diff fleets/\n  wrenthread import nginx --explain slow_start")]
    Nginx(NginxImport),
}

impl ImportSource {
    pub fn run(self) -> Result<ExitCode> {
        match self {
            ImportSource::Nginx(import) => import.run(),
        }
    }
}

#[derive(Clone, Copy, ValueEnum)]
enum ZoneRule {
    /// All replicas are in one zone
    One,
    /// A zone per network: the first three numbers of an IPv4 address, or the first four groups of an IPv6 address
    Network,
}

// (No doc comment: `--help` would print it as that of the verb.)
#[derive(clap::Args)]
pub struct NginxImport {
    #[arg(required_unless_present = "explain")]
    file: Option<PathBuf>,
    /// Folder for settings and rosters; nothing is written without it
    #[arg(long)]
    output: Option<PathBuf>,
    /// Format of the report on all directives
    #[arg(long, value_enum, default_value = "text")]
    report: OutputFormat,
    /// Fail if a directive that affects routing can't be converted
    #[arg(long)]
    strict: bool,
    /// Explain how a kind of directive is converted
    #[arg(long)]
    explain: Option<String>,
    /// Show the differences from an earlier import's folder or from the governor at an address
    #[arg(long)]
    diff: Option<String>,
    /// How replicas are assigned to zones
    #[arg(long, value_enum, default_value = "one")]
    zones: ZoneRule,
    /// Number of proxies that will connect, over all governors
    #[arg(long, default_value = "16")]
    proxies: u64,
    #[arg(long, default_value = "1")]
    governors: u64,
    /// Ports of the first fleet, as gRPC,HTTP,long-poll; each further fleet's ports are ten higher
    #[arg(long, value_delimiter = ',', default_value = "15010,15011,15012")]
    ports: Vec<u16>,
}

impl NginxImport {
    fn run(&self) -> Result<ExitCode> {
        if let Some(directive) = &self.explain {
            let (value, text) = nginx::explain(directive)?;
            self.report.print(&value, |_| text);
            return Ok(ExitCode::SUCCESS);
        }
        let import = self.import()?;
        if let Some(against) = &self.diff {
            return self.print_differences(&import, against);
        }
        self.report.print(&import.report(), |_| import.summary());
        if self.strict && import.routing_losses() > 0 {
            eprintln!("{} directives that affect routing can't be converted", import.routing_losses());
            return Ok(ExitCode::from(EXIT_NOT_PASSED));
        }
        if let Some(folder) = &self.output {
            for path in import.write(folder)? {
                eprintln!("{}", path.display());
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    fn import(&self) -> Result<nginx::Import> {
        let zones = match self.zones {
            ZoneRule::One => wrenthread_nginx::fleet::ZoneAssignment::One,
            ZoneRule::Network => wrenthread_nginx::fleet::ZoneAssignment::Network,
        };
        let [grpc, http, long_poll] = self.ports[..] else {
            bail!("`--ports` takes three ports: gRPC,HTTP,long-poll")
        };
        let terms = wrenthread_nginx::write::DeploymentTerms {
            proxies: self.proxies,
            governors: self.governors,
            ports: (grpc, http, long_poll),
        };
        let file = self.file.as_deref().context("no configuration file given")?;
        nginx::import(file, zones, terms)
    }

    fn print_differences(&self, import: &nginx::Import, against: &str) -> Result<ExitCode> {
        let differences = import.differences(against)?;
        self.report.print(&differences, nginx::format_differences);
        match nginx::has_differences(&differences) {
            true => Ok(ExitCode::from(EXIT_NOT_PASSED)),
            false => Ok(ExitCode::SUCCESS),
        }
    }
}
