//! The subcommands that change a running governor: `drain-governor`, `rollback`, `pin`, `release`, `exclude`,
//! `weight`.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use serde_json::{Value, json};

use super::OutputFormat;
use crate::admin_client::{get, post};
use crate::render;

/// How often the progress of a drain is polled.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

// The tables that an operation applies to. (No doc comment: `--help` would print it as that of the verb.)
#[derive(clap::Args)]
#[group(required = true, multiple = false)]
pub struct ScopeArgs {
    #[arg(long)]
    proxy: Option<String>,
    #[arg(long)]
    group: Option<String>,
    #[arg(long)]
    all: bool,
}

impl ScopeArgs {
    /// The request fields that select the tables.
    fn request(self) -> Value {
        json!({"proxy": self.proxy, "group": self.group, "all": self.all.then_some(true)})
    }
}

/// How long tables are frozen, and why.
pub struct Freeze {
    pub why: String,
    pub seconds: f64,
}

/// How long an override lasts, and why.
#[derive(clap::Args)]
pub struct OverrideTerms {
    #[arg(long, required_unless_present = "undo")]
    why: Option<String>,
    /// Duration in seconds
    #[arg(long = "for", value_name = "LASTS", default_value = "900")]
    seconds: f64,
    /// End the override
    #[arg(long)]
    undo: bool,
    /// The governor's HTTP port
    #[arg(long, default_value = "127.0.0.1:15011")]
    at: String,
}

impl OverrideTerms {
    /// Sets or ends an override of a replica. `weight` is the factor for its weights; `None` excludes the replica.
    pub fn apply(&self, replica: &str, weight: Option<f64>) -> Result<()> {
        let request = json!({
            "replica": replica, "weight": weight, "why": self.why, "for_s": self.seconds, "undo": self.undo,
        });
        let outcome = post(&self.at, "/override", &request)?;
        let seconds = self.seconds;
        match (outcome["ended"].as_bool(), outcome["refused"].as_u64()) {
            (Some(false), _) => println!("{replica} has no override"),
            (Some(true), _) => println!("override of {replica} ended"),
            (None, Some(0) | None) => println!("{replica} is overridden for {seconds} s"),
            (None, Some(refused)) => println!(
                "{replica} is overridden for {seconds} s, but the guard refused {refused} of the resulting changes \
                 (see `why`)"
            ),
        }
        Ok(())
    }
}

pub fn rollback(
    at: &str,
    scope: ScopeArgs,
    version: u64,
    freeze: Freeze,
    output: OutputFormat,
) -> Result<()> {
    let outcome = request_rollback(at, scope, version.into(), freeze)?;
    output.print(&outcome, render::rollback);
    Ok(())
}

/// Freezes tables by rolling back to the current version.
pub fn pin(at: &str, scope: ScopeArgs, freeze: Freeze) -> Result<()> {
    let mut status = get(at, "/status")?;
    let version = status["governor"]["version"].take();
    let outcome = request_rollback(at, scope, version, freeze)?;
    print!("{}", render::rollback(&outcome));
    Ok(())
}

fn request_rollback(at: &str, scope: ScopeArgs, version: Value, freeze: Freeze) -> Result<Value> {
    let mut request = scope.request();
    request["version"] = version;
    request["why"] = freeze.why.into();
    request["for_s"] = freeze.seconds.into();
    post(at, "/rollback", &request)
}

pub fn release(at: &str, scope: ScopeArgs) -> Result<()> {
    let outcome = post(at, "/release", &scope.request())?;
    println!("{} tables are released", outcome["released"]);
    Ok(())
}

/// Drains a governor and waits until it has no proxies left.
///
/// # Errors
/// No governor answers at the address, or proxies are left after `max_seconds`.
pub fn drain(at: &str, max_seconds: f64) -> Result<()> {
    let started_at = Instant::now();
    let mut governors = post(at, "/drain", &json!({"draining": true}))?;
    let joined_before = render::cell(&governors["joined"]);
    while governors["joined"] != 0 {
        if started_at.elapsed().as_secs_f64() > max_seconds {
            let left = &governors["joined"];
            bail!(
                "{left} of {joined_before} proxies are still connected after {max_seconds} s; the drain continues"
            );
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
        governors = get(at, "/governors")?;
    }
    let name = render::cell(&governors["name"]);
    let elapsed_seconds = started_at.elapsed().as_secs_f64();
    println!("governor {name} has handed over {joined_before} proxies in {elapsed_seconds:.1} s");
    Ok(())
}

/// Ends the drain of a governor.
///
/// # Errors
/// No governor answers at the address.
pub fn end_drain(at: &str) -> Result<()> {
    let governors = post(at, "/drain", &json!({"draining": false}))?;
    println!("governor {} accepts proxies again", render::cell(&governors["name"]));
    Ok(())
}
