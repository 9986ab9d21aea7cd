//! Plays decisions on a deployment and prints what callers got.
//!
//!     cargo run --release -p galenapath-lab --example lab -- run FILE --seeds 8 --without sharing
//!     cargo run --release -p galenapath-lab --example lab -- ablate FILE --seeds 16
//!     cargo run --release -p galenapath-lab --example lab -- sensitivity FILE --seeds 32

#![allow(clippy::print_stdout, reason = "a command-line tool")]

use clap::{Parser, Subcommand};
use galenapath_lab::{Deployment, Knob, Policy, Report, Switch, play, play_oracle};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

#[derive(Parser)]
#[command(about = "Plays the gateway's decisions in virtual time")]
struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one policy and the oracle.
    Run {
        /// The deployment.
        file: PathBuf,
        /// Seeds to play, from 1 on.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// Mechanisms to go without.
        #[arg(long, value_delimiter = ',')]
        without: Vec<Switch>,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Plays with each threshold halved and doubled in turn.
    Sensitivity {
        /// The deployment.
        file: PathBuf,
        /// Seeds to play, from 1 on.
        #[arg(long, default_value_t = 32)]
        seeds: u64,
    },
    /// Plays with each mechanism off in turn.
    Ablate {
        /// The deployment.
        file: PathBuf,
        /// Seeds to play, from 1 on.
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
            let reports = all_seeds(seeds, |seed| play(&deployment, seed, &policy));
            let oracle = all_seeds(seeds, |seed| play_oracle(&deployment, seed));
            if json {
                println!("{}", serde_json::to_string_pretty(&reports)?);
                return Ok(());
            }
            println!("{HEAD}");
            println!("{}", Row::new("policy", &reports, None));
            println!("{}", Row::new("oracle", &oracle, Some(&reports)));
            print_windows(&reports, &oracle);
        }
        Command::Sensitivity { file, seeds } => {
            let deployment = Deployment::read(&file)?;
            let shipping = Policy::default();
            let whole = all_seeds(seeds, |seed| play(&deployment, seed, &shipping));
            println!("{HEAD}");
            println!("{}", Row::new("whole", &whole, None));
            for knob in Knob::all() {
                for (name, factor) in [("half", 0.5), ("twice", 2.0)] {
                    let policy = shipping.scaled(*knob, factor);
                    let reports = all_seeds(seeds, |seed| play(&deployment, seed, &policy));
                    println!("{}", Row::new(&format!("{name} {knob:?}"), &reports, Some(&whole)));
                }
            }
        }
        Command::Ablate { file, seeds } => {
            let deployment = Deployment::read(&file)?;
            let whole = all_seeds(seeds, |seed| play(&deployment, seed, &Policy::default()));
            println!("{HEAD}");
            println!("{}", Row::new("whole", &whole, None));
            for switch in Switch::all() {
                let policy = Policy::without(&[*switch]);
                let reports = all_seeds(seeds, |seed| play(&deployment, seed, &policy));
                let name = format!("without {switch}");
                println!("{}", Row::new(&name, &reports, Some(&whole)));
            }
            let oracle = all_seeds(seeds, |seed| play_oracle(&deployment, seed));
            println!("{}", Row::new("oracle", &oracle, Some(&whole)));
        }
    }
    Ok(())
}

/// Plays all seeds, each on a thread of its own as far as there are cores.
fn all_seeds(seeds: u64, one: impl Fn(u64) -> Report + Sync) -> Vec<Report> {
    let cores = thread::available_parallelism().map_or(1, usize::from) as u64;
    let one = &one;
    let mut reports: Vec<(u64, Report)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..cores)
            .map(|worker| {
                scope.spawn(move || {
                    let own = (1..=seeds).filter(|seed| seed % cores == worker);
                    own.map(|seed| (seed, one(seed))).collect::<Vec<_>>()
                })
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    reports.sort_by_key(|(seed, _)| *seed);
    reports.into_iter().map(|(_, report)| report).collect()
}

const HEAD: &str = "                      in target    late refused  worst 2 s  questions  probes  shed  difference, +- its error";

/// Means over seeds.
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
    /// Of the share in target from that of the plays it is held against, seed by seed, with its standard
    /// error.
    difference: Option<Difference>,
}

#[derive(Serialize)]
struct Difference {
    mean: f64,
    error: f64,
}

impl Row {
    fn new(name: &str, reports: &[Report], against: Option<&[Report]>) -> Self {
        let mean = |of: &dyn Fn(&Report) -> f64| {
            reports.iter().map(of).sum::<f64>() / reports.len().max(1) as f64
        };
        let asked = |report: &Report| report.totals.asked().max(1) as f64;
        Self {
            name: name.to_owned(),
            in_target: mean(&|r| r.totals.share_in_target()),
            late: mean(&|r| r.totals.late as f64 / asked(r)),
            refused: mean(&|r| r.totals.refused as f64 / asked(r)),
            worst: mean(&|r| r.worst().map_or(0.0, |w| w.totals.share_in_target())),
            questions: mean(&|r| r.questions as f64 / asked(r)),
            probes: mean(&|r| r.probes as f64 / asked(r)),
            shed: mean(&|r| r.shed as f64 / asked(r)),
            difference: against.map(|against| difference(reports, against)),
        }
    }
}

fn difference(reports: &[Report], against: &[Report]) -> Difference {
    let pairs = reports.iter().zip(against);
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
