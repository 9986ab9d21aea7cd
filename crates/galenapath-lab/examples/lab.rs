//! Simulates the gateway's decisions on a deployment and prints the outcomes of the requests.
//!
//!     cargo run --release -p galenapath-lab --example lab -- run FILE --seeds 8 --without sharing
//!     cargo run --release -p galenapath-lab --example lab -- ablate FILE --seeds 16
//!     cargo run --release -p galenapath-lab --example lab -- sensitivity FILE --seeds 32

#![allow(clippy::print_stdout, reason = "a command-line tool")]

use clap::{Parser, Subcommand};
use galenapath_lab::{Deployment, Policy, Report, Switch, Threshold, simulate, simulate_oracle};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

#[derive(Parser)]
#[command(about = "Simulates the gateway's decisions in virtual time")]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates one policy and the oracle.
    Run {
        /// The deployment file.
        file: PathBuf,
        /// Number of seeds, counted from 1.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// Mechanisms to disable.
        #[arg(long, value_delimiter = ',')]
        without: Vec<Switch>,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Simulates with each threshold halved and doubled in turn.
    Sensitivity {
        /// The deployment file.
        file: PathBuf,
        /// Number of seeds, counted from 1.
        #[arg(long, default_value_t = 32)]
        seeds: u64,
    },
    /// Simulates with each mechanism disabled in turn.
    Ablate {
        /// The deployment file.
        file: PathBuf,
        /// Number of seeds, counted from 1.
        #[arg(long, default_value_t = 16)]
        seeds: u64,
    },
}

fn main() -> ExitCode {
    match run(Options::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Run { file, seeds, without, json } => {
            let deployment = Deployment::read(&file)?;
            let policy = Policy::without(&without);
            let reports = all_seeds(seeds, |seed| simulate(&deployment, seed, &policy));
            let oracle = all_seeds(seeds, |seed| simulate_oracle(&deployment, seed));
            if json {
                println!("{}", serde_json::to_string_pretty(&reports)?);
                return Ok(());
            }
            println!("{HEADING}");
            println!("{}", Row::new("policy", &reports, None));
            println!("{}", Row::new("oracle", &oracle, Some(&reports)));
            print_windows(&reports, &oracle);
        }
        Command::Sensitivity { file, seeds } => {
            let deployment = Deployment::read(&file)?;
            let shipping = Policy::default();
            let baseline = all_seeds(seeds, |seed| simulate(&deployment, seed, &shipping));
            println!("{HEADING}");
            println!("{}", Row::new("whole", &baseline, None));
            for threshold in Threshold::all() {
                for (name, factor) in [("half", 0.5), ("twice", 2.0)] {
                    let policy = shipping.scaled(*threshold, factor);
                    let reports = all_seeds(seeds, |seed| simulate(&deployment, seed, &policy));
                    println!(
                        "{}",
                        Row::new(&format!("{name} {threshold:?}"), &reports, Some(&baseline))
                    );
                }
            }
        }
        Command::Ablate { file, seeds } => {
            let deployment = Deployment::read(&file)?;
            let baseline = all_seeds(seeds, |seed| simulate(&deployment, seed, &Policy::default()));
            println!("{HEADING}");
            println!("{}", Row::new("whole", &baseline, None));
            for switch in Switch::all() {
                let policy = Policy::without(&[*switch]);
                let reports = all_seeds(seeds, |seed| simulate(&deployment, seed, &policy));
                let name = format!("without {switch}");
                println!("{}", Row::new(&name, &reports, Some(&baseline)));
            }
            let oracle = all_seeds(seeds, |seed| simulate_oracle(&deployment, seed));
            println!("{}", Row::new("oracle", &oracle, Some(&baseline)));
        }
    }
    Ok(())
}

/// Runs all seeds, distributed over one thread per core.
fn all_seeds(seeds: u64, run_seed: impl Fn(u64) -> Report + Sync) -> Vec<Report> {
    let cores = thread::available_parallelism().map_or(1, usize::from) as u64;
    let run_seed = &run_seed;
    let mut reports: Vec<(u64, Report)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..cores)
            .map(|worker| {
                scope.spawn(move || {
                    let own = (1..=seeds).filter(|seed| seed % cores == worker);
                    own.map(|seed| (seed, run_seed(seed))).collect::<Vec<_>>()
                })
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    reports.sort_by_key(|(seed, _)| *seed);
    reports.into_iter().map(|(_, report)| report).collect()
}

const HEADING: &str = "                      in target    late refused  worst 2 s  questions  probes  shed  difference, +- its error";

/// One row of the table: means over all seeds.
#[derive(Serialize)]
struct Row {
    name: String,
    in_target: f64,
    late: f64,
    refused: f64,
    worst: f64,
    questions: f64,
    probes: f64,
    shed: f64,
    /// Mean difference of the share in target from the baseline with the same seed.
    difference: Option<Difference>,
}

/// A mean difference over all seeds and its standard error.
#[derive(Serialize)]
struct Difference {
    mean: f64,
    error: f64,
}

impl Row {
    fn new(name: &str, reports: &[Report], baseline: Option<&[Report]>) -> Self {
        let mean = |of: &dyn Fn(&Report) -> f64| {
            reports.iter().map(of).sum::<f64>() / reports.len().max(1) as f64
        };
        let request_count = |report: &Report| report.totals.request_count().max(1) as f64;
        Self {
            name: name.to_owned(),
            in_target: mean(&|r| r.totals.share_in_target()),
            late: mean(&|r| r.totals.late as f64 / request_count(r)),
            refused: mean(&|r| r.totals.refused as f64 / request_count(r)),
            worst: mean(&|r| r.worst().map_or(0.0, |w| w.totals.share_in_target())),
            questions: mean(&|r| r.questions as f64 / request_count(r)),
            probes: mean(&|r| r.probes as f64 / request_count(r)),
            shed: mean(&|r| r.shed as f64 / request_count(r)),
            difference: baseline.map(|baseline| difference(reports, baseline)),
        }
    }
}

fn difference(reports: &[Report], baseline: &[Report]) -> Difference {
    let pairs = reports.iter().zip(baseline);
    let each: Vec<f64> =
        pairs.map(|(a, b)| a.totals.share_in_target() - b.totals.share_in_target()).collect();
    let count = each.len().max(1) as f64;
    let mean = each.iter().sum::<f64>() / count;
    let variance = each.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    Difference { mean, error: (variance / count).sqrt() }
}

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { name, in_target, late, refused, worst, questions, probes, shed, difference } =
            self;
        write!(f, "{name:<22}{in_target:>9.4}{late:>8.4}{refused:>8.4}{worst:>11.4}")?;
        write!(f, "{questions:>11.2}{probes:>8.2}{shed:>6.3}")?;
        match difference {
            Some(Difference { mean, error }) => write!(f, "  {mean:+.4} +- {error:.4}"),
            None => Ok(()),
        }
    }
}

fn print_windows(reports: &[Report], oracle: &[Report]) {
    println!("\nfrom second  in target  oracle");
    let count = reports.iter().map(|report| report.windows.len()).max().unwrap_or(0);
    for index in 0..count {
        let mean = |reports: &[Report]| {
            let windows = reports.iter().filter_map(|report| report.windows.get(index));
            let shares: Vec<f64> = windows.map(|w| w.totals.share_in_target()).collect();
            shares.iter().sum::<f64>() / shares.len().max(1) as f64
        };
        println!("{:>11}{:>11.4}{:>8.4}", 2 * index, mean(reports), mean(oracle));
    }
}
