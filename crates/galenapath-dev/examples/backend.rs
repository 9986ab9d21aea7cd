//! Stand-in for backend servers; see `galenapath_dev::backend`.
//!
//! `cargo run -p galenapath-dev --example backend -- --server name=b1,service=lookup,domain=d1`

use clap::Parser;
use galenapath_dev::backend::{Options, Process};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

fn main() -> io::Result<()> {
    let opts = Options::parse();
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(signal_hook::consts::SIGINT, Arc::clone(&stop))?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let process = Process::start(opts)?;
        for (name, addr) in process.addresses() {
            println!("listening {name} {addr}");
        }
        process.run(stop).await;
        Ok(())
    })
}
