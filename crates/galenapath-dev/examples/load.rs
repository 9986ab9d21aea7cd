//! Load generator; see `galenapath_dev::load`.
//!
//! `cargo run -p galenapath-dev --example load -- --entry 127.0.0.1:7001 \
//! --class name=lookup,service=timetable,rate=200,target_ms=50`

use clap::Parser;
use galenapath_dev::load::{Options, Row, problems, repeated_keys, run, table};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io;
use std::process::ExitCode;

fn main() -> io::Result<ExitCode> {
    let opts = Options::parse();
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let reports = runtime.block_on(run(&opts));
    let rows: Vec<_> = reports.into_iter().map(|report| report.row).collect();
    print(&opts, &rows)?;
    if !opts.check {
        return Ok(ExitCode::SUCCESS);
    }
    let mut found = problems(&rows);
    match runtime.block_on(repeated_keys(&opts.admins)) {
        Ok(0) => {}
        Ok(n) => found.push(format!("{n} filings ran more than once")),
        Err(e) => found.push(format!("reading the counters of a backend stand-in: {e}")),
    }
    found.iter().for_each(|line| eprintln!("{line}"));
    Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print(opts: &Options, rows: &[Row]) -> io::Result<()> {
    if !opts.json {
        print!("{}", table(rows));
        return Ok(());
    }
    for row in rows {
        println!("{}", serde_json::to_string(row)?);
    }
    Ok(())
}
