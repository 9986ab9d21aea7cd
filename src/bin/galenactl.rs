//! The operators' command line of galenapath.

use clap::Parser;
use galenapath_ctl::{Options, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("galenactl: {e}");
            e.status().into()
        }
    }
}
