//! Command-line options of the stand-in.

use clap::Args;

/// Limits and delays of the store; the defaults are the platform's.
#[derive(Args, Clone, Debug)]
pub struct StoreOptions {
    /// Maximum number of writes per second; further ones are answered with 429.
    #[arg(long, default_value_t = 500)]
    pub writes_per_s: u32,
    /// Maximum number of reads per second, including watches; further ones are answered with 429.
    #[arg(long, default_value_t = 2_000)]
    pub reads_per_s: u32,
    /// Time in milliseconds until a change is visible in the list of instances.
    #[arg(long, default_value_t = 0)]
    pub list_lag_ms: u64,
    /// Time in milliseconds that each call takes.
    #[arg(long, default_value_t = 2)]
    pub call_ms: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self { writes_per_s: 500, reads_per_s: 2_000, list_lag_ms: 0, call_ms: 2 }
    }
}
