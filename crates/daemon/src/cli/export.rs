//! `export`: runs agents for proxies that can't fetch tables from a governor by themselves.

use std::path::PathBuf;

use anyhow::{Result, bail};
use clap::Subcommand;
use wrenthread_settings::Settings;

use crate::admin_client::get;
use crate::{export, run};

#[derive(Subcommand)]
pub enum ExportTarget {
    /// Write upstream blocks to a file that nginx includes; each update replaces the whole file (`nginx(...)` in the
    /// settings)
    #[command(after_help = "Examples:\n  \
        wrenthread export nginx deploy/settings.star --name nginx-1 --zone north\n  \
        wrenthread export nginx deploy/settings.star --print relay-3")]
    Nginx(NginxExport),
}

impl ExportTarget {
    pub fn run(self) -> Result<()> {
        match self {
            ExportTarget::Nginx(export) => export.run(),
        }
    }
}

// (No doc comment: `--help` would print it as that of the verb.)
#[derive(clap::Args)]
pub struct NginxExport {
    settings: PathBuf,
    /// The proxy name of this nginx
    #[arg(long, required_unless_present = "print")]
    name: Option<String>,
    /// Its zone; may be omitted if there is only one
    #[arg(long)]
    zone: Option<String>,
    /// Requests per second that it usually receives
    #[arg(long, default_value = "1")]
    usual: f64,
    /// The governor's long-poll port, as http://HOST:PORT; default: the one in the settings
    #[arg(long)]
    at: Option<String>,
    /// Exit once the file is written and nginx has loaded it
    #[arg(long)]
    once: bool,
    /// Print the blocks for a connected proxy's present tables and exit
    #[arg(long)]
    print: Option<String>,
}

impl NginxExport {
    fn run(self) -> Result<()> {
        let settings = run::load_settings(&self.settings)?;
        if let Some(proxy) = &self.print {
            let tables = get(&settings.http_address.to_string(), &format!("/tables/{proxy}"))?;
            print!("{}", export::format_upstream_blocks(&tables)?);
            return Ok(());
        }
        let zone = self.zone(&settings)?;
        let governor_url = self.governor_url(&settings)?;
        let identity = wrenthread_client::ProxyIdentity {
            name: self.name.unwrap_or_default(),
            zone,
            requests_per_second: self.usual,
        };
        export::run(&settings, export::AgentIdentity { identity, governor_url }, self.once)
    }

    fn zone(&self, settings: &Settings) -> Result<String> {
        match (&self.zone, settings.zones.as_slice()) {
            (Some(zone), _) => Ok(zone.clone()),
            (None, [only]) => Ok(only.clone()),
            (None, zones) => bail!("no zone given; set `--zone` to one of {}", zones.join(", ")),
        }
    }

    fn governor_url(&self, settings: &Settings) -> Result<String> {
        match (&self.at, settings.long_poll_address) {
            (Some(at), _) => Ok(at.trim_end_matches('/').to_string()),
            (None, Some(at)) => Ok(format!("http://{at}")),
            (None, None) => bail!("the settings have no `poll` address; set `--at`"),
        }
    }
}
