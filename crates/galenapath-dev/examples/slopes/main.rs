//! Measures how the cost of an instance grows with the number of instances, backend servers,
//! requests, classes and members.
//!
//! Starts the release programs on loopback and writes tables (TSV) and plots (SVG):
//! `cargo run --release -p galenapath-dev --example slopes -- --out docs/plots`

mod deployment;
mod in_process;
mod plot;
mod proc_files;
mod requests;
mod sizes;
mod sockets;
mod table;

use clap::Parser;
use monoio::{LegacyDriver, RuntimeBuilder};
use std::error::Error;
use std::path::PathBuf;

/// Measures how the cost of an instance grows with the size of the deployment.
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
    #[arg(long, value_delimiter = ',', default_value = "36,2000,4000,8000")]
    backends: Vec<usize>,
    /// Requests per second, spread over three instances.
    #[arg(long, value_delimiter = ',', default_value = "500,1000,2000")]
    rates: Vec<usize>,
    /// Numbers of classes, measured in this process.
    #[arg(long, value_delimiter = ',', default_value = "175,700,1400,4200")]
    classes: Vec<usize>,
    /// Numbers of members, measured in this process.
    #[arg(long, value_delimiter = ',', default_value = "16,64,200,400")]
    members: Vec<usize>,
    /// Skip measurements that start processes.
    #[arg(long)]
    in_process: bool,
    /// Measure only the cost of requests.
    #[arg(long)]
    requests: bool,
}

fn main() -> Result<(), Box<dyn Error>> {
    let opts = Options::parse();
    std::fs::create_dir_all(&opts.out)?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    if !opts.requests {
        in_process(&opts)?;
    }
    if !opts.in_process {
        runtime.block_on(processes(&opts))?;
    }
    Ok(())
}

fn in_process(opts: &Options) -> Result<(), Box<dyn Error>> {
    let classes = in_process::by_classes(&opts.classes)?;
    table::write(&opts.out.join("classes.tsv"), &classes)?;
    plot::classes(&opts.out, &classes)?;
    let members = in_process::by_members(&opts.members);
    table::write(&opts.out.join("members.tsv"), &members)?;
    plot::members(&opts.out, &members)
}

async fn processes(opts: &Options) -> Result<(), Box<dyn Error>> {
    let requests = requests::by_rate(&opts.programs, &opts.rates).await?;
    table::write(&opts.out.join("requests.tsv"), &requests)?;
    plot::requests(&opts.out, &requests)?;
    if opts.requests {
        return Ok(());
    }
    let fleet = sizes::by_instances(&opts.programs, &opts.instances).await?;
    table::write(&opts.out.join("instances.tsv"), &fleet)?;
    plot::instances(&opts.out, &fleet)?;
    let lists = sizes::by_backends(&opts.programs, &opts.backends).await?;
    table::write(&opts.out.join("backends.tsv"), &lists)?;
    plot::backends(&opts.out, &lists)
}
