//! The galenapath executable: runs an entry instance or a gateway instance.

use clap::{Args, Parser, Subcommand};
use galenapath_adapter::{KvStore, PlatformDialect};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Entry instance of galenapath: receives callers' requests and forwards each to a backend server
/// that meets the target of its class.
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    after_help = "Example:\n  galenapath --settings entry-1.toml\n\n\
                  Exit codes: 0 stopped as planned, 1 could not run, 2 settings cannot be used."
)]
struct Options {
    #[command(flatten)]
    entry: Option<Start>,
    #[command(subcommand)]
    role: Option<Role>,
}

#[derive(Subcommand)]
enum Role {
    /// Serve the routes of a configuration that operators keep in the platform's store
    Gateway(Start),
}

#[derive(Args)]
struct Start {
    /// Settings file (TOML)
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    match (options.role, options.entry) {
        (Some(Role::Gateway(start)), _) => run_gateway(&start),
        (None, Some(start)) => run_entry(&start),
        (None, None) => {
            eprintln!("galenapath: --settings FILE is missing; see galenapath --help");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn run_entry(start: &Start) -> ExitCode {
    let settings = match galenapath_settings::load(&start.settings) {
        Ok(settings) => settings,
        Err(e) => return report_bad_settings(&e),
    };
    if start.check_settings {
        return report_good_settings(start);
    }
    let result = galenapath_entry::start_logging(settings.log_level)
        .and_then(|()| galenapath_entry::run(settings));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_failure(&format!("{e:#}")),
    }
}

fn run_gateway(start: &Start) -> ExitCode {
    let settings = match galenapath_settings::load_gateway(&start.settings) {
        Ok(settings) => settings,
        Err(e) => return report_bad_settings(&e),
    };
    if start.check_settings {
        return report_good_settings(start);
    }
    let store = KvStore::new(settings.platform, settings.platform_timeout);
    let file = start.settings.clone();
    let read = Box::new(move || galenapath_settings::load_gateway(&file));
    let result = galenapath_gateway::start_logging(settings.log_level)
        .and_then(|()| galenapath_gateway::run(settings, Box::new(PlatformDialect), store, read));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_failure(&format!("{e:#}")),
    }
}

fn report_bad_settings(e: &galenapath_settings::SettingsError) -> ExitCode {
    eprintln!("galenapath: {e}");
    ExitCode::from(EXIT_BAD_SETTINGS)
}

fn report_good_settings(start: &Start) -> ExitCode {
    println!("{}: settings are good", start.settings.display());
    ExitCode::SUCCESS
}

fn report_failure(e: &str) -> ExitCode {
    eprintln!("galenapath: {e}");
    ExitCode::FAILURE
}
