//! The entry instance of galenapath.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Entry instance of galenapath: takes callers' requests and gets each to a backend server that
/// meets its class's target.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  galenapath --settings entry-1.toml\n\n\
                  Exit codes: 0 stopped as planned, 1 could not run, 2 settings cannot be used."
)]
struct Options {
    /// Settings file (TOML)
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let settings = match galenapath_settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("galenapath: {e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check_settings {
        println!("{}: settings are good", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let result = galenapath_entry::start_logging(settings.log_level)
        .and_then(|()| galenapath_entry::run(settings));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("galenapath: {e:#}");
            ExitCode::FAILURE
        }
    }
}
