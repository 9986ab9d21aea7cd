//! Load generator; see `galenapath_dev::load`.
//!
//! `cargo run -p galenapath-dev --example load -- --entry 127.0.0.1:7001 \
//! --class name=lookup,service=timetable,rate=200,target_ms=50`

use clap::Parser;
use galenapath_dev::load::{Options, run, table};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io;

fn main() -> io::Result<()> {
    let opts = Options::parse();
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    let reports = runtime.block_on(run(&opts));
    let rows: Vec<_> = reports.into_iter().map(|report| report.row).collect();
    if !opts.json {
        print!("{}", table(&rows));
        return Ok(());
    }
    for row in &rows {
        println!("{}", serde_json::to_string(row)?);
    }
    Ok(())
}
