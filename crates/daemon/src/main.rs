//! `wrenthread`: a control service that sends load-balancing weights to proxies.

mod admin_client;
mod cli;
mod clock;
mod datagrams;
mod dry_run;
mod export;
mod host;
mod http;
mod labels;
mod migration;
mod nginx;
mod platform;
mod render;
mod roster_file;
mod run;
mod state;

use std::process::ExitCode;

use clap::Parser;

/// The exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    cli.init_logging();
    match cli.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("wrenthread: {error:#}");
            exit_code(&error)
        }
    }
}

fn exit_code(error: &anyhow::Error) -> ExitCode {
    let wrong_settings = error.is::<wrenthread_settings::SettingErrors>();
    let wrong_configuration = error.is::<platform::config::ConfigError>();
    match wrong_settings || wrong_configuration {
        true => ExitCode::from(EXIT_USAGE),
        false => ExitCode::FAILURE,
    }
}
