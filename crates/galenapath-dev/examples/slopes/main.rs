//! Slopes of an instance's cost by the number of instances and backend servers.
//!
//! Starts the shipped programs on loopback, measures, and writes tables (TSV) and plots (SVG):
//! `cargo run --release -p galenapath-dev --example slopes -- --out docs/plots`

mod deployment;
mod plot;
mod proc_files;
mod sizes;
mod sockets;
mod table;

use clap::Parser;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::error::Error;
use std::path::PathBuf;

/// Measures slopes.
#[derive(Parser)]
struct Options {
    /// Directory with the release build of the programs.
    #[arg(long, default_value = "target/release")]
    programs: PathBuf,
    /// Directory for tables and plots.
    #[arg(long)]
    out: PathBuf,
    /// Numbers of instances, with 36 backend servers.
    #[arg(long, value_delimiter = ',', default_value = "4,8,16,32,64")]
    instances: Vec<usize>,
    /// Numbers of backend servers, with 4 instances.
    #[arg(long, value_delimiter = ',', default_value = "36,1000,2000,4000,8000")]
    backends: Vec<usize>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let opts = Options::parse();
    std::fs::create_dir_all(&opts.out)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let fleet = sizes::by_instances(&opts.programs, &opts.instances).await?;
        table::write(&opts.out.join("instances.tsv"), &fleet)?;
        plot::instances(&opts.out, &fleet)?;
        let lists = sizes::by_backends(&opts.programs, &opts.backends).await?;
        table::write(&opts.out.join("backends.tsv"), &lists)?;
        plot::backends(&opts.out, &lists)?;
        Ok(())
    })
}
