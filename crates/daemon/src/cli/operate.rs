//! The verbs that have a running governor do something: `drain-governor`, `rollback`, `pin`, `release`, `exclude`,
//! `weight`.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use serde_json::{Value, json};

use super::OutputFormat;
use crate::admin_client::{get, post};
use crate::render;

/// How often a drain is looked at until it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

// Whose tables are meant. (No doc comment: `--help` would print it as that of the verb.)
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
    /// The fields of a request that say whose tables are meant.
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
    /// How long, in seconds
    #[arg(long = "for", value_name = "LASTS", default_value = "900")]
    seconds: f64,
    /// End what was said of it
    #[arg(long)]
    undo: bool,
    /// The governor's HTTP port
    #[arg(long, default_value = "127.0.0.1:15011")]
    at: String,
}

impl OverrideTerms {
    /// Overrides a replica, or ends that. `weight`: the factor of its weights; none excludes it.
    pub fn apply(&self, replica: &str, weight: Option<f64>) -> Result<()> {
        let request = json!({
            "replica": replica, "weight": weight, "why": self.why, "for_s": self.seconds, "undo": self.undo,
        });
        let outcome = post(&self.at, "/override", &request)?;
        let seconds = self.seconds;
        match (outcome["ended"].as_bool(), outcome["refused"].as_u64()) {
            (Some(false), _) => println!("nothing was said of {replica}"),
            (Some(true), _) => println!("{replica} is as the module has it again"),
            (None, Some(0) | None) => println!("{replica} is overridden for {seconds} s"),
            (None, Some(refused)) => println!(
                "{replica} is overridden for {seconds} s, but the guard refuses {refused} of what follows \
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

/// Rolls back to the version of now.
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

/// Has a governor hand its proxies over, and waits until it has none.
///
/// # Errors
/// No governor answers there; proxies are left after the time.
pub fn drain(at: &str, max_seconds: f64) -> Result<()> {
    let began = Instant::now();
    let mut governors = post(at, "/drain", &json!({"draining": true}))?;
    let joined_before = render::cell(&governors["joined"]);
    while governors["joined"] != 0 {
        if began.elapsed().as_secs_f64() > max_seconds {
            let left = &governors["joined"];
            bail!(
                "{left} of {joined_before} proxies are still there after {max_seconds} s; the drain goes on"
            );
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
        governors = get(at, "/governors")?;
    }
    let name = render::cell(&governors["name"]);
    let took = began.elapsed().as_secs_f64();
    println!("governor {name} has handed over {joined_before} proxies in {took:.1} s");
    Ok(())
}

/// Has a governor take proxies again.
///
/// # Errors
/// No governor answers there.
pub fn end_drain(at: &str) -> Result<()> {
    let governors = post(at, "/drain", &json!({"draining": false}))?;
    println!("governor {} takes proxies again", render::cell(&governors["name"]));
    Ok(())
}
