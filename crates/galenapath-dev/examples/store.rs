//! Stand-in for the platform's key-value service; see `galenapath_dev::store`.
//!
//! `cargo run -p galenapath-dev --example store -- --listen 127.0.0.1:8500`

use clap::Parser;
use galenapath_dev::store::{StoreOptions, serve};
use monoio::net::TcpListener;
use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;

/// Stand-in for the platform's key-value service and list of instances.
#[derive(Parser)]
struct Options {
    /// Address to listen on; port 0 selects a free port. Printed as `listening ADDR`.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(flatten)]
    store: StoreOptions,
}

fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse();
    let mut runtime =
        monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(options.listen)?;
        println!("listening {}", listener.local_addr()?);
        std::io::stdout().flush()?;
        serve(listener, options.store).await;
        Ok(())
    })
}
