//! Settings of entry and gateway instances: reading and validating the TOML files.

mod entry;
mod error;
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated;
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated_gateway;
mod gateway;
mod load;
mod validate;

pub use entry::{Instance, Limits, Listen, Platform, Settings};
pub use error::SettingsError;
pub use gateway::{
    GatewayListen, GatewayLogLevel, GatewaySettings, RetrySettings, WorkspaceSettings,
    load_gateway, parse_gateway,
};
pub use generated::{
    ExperimentWireChoice as BalancingPolicy, LogWireLevel as LogLevel, SettingsWire,
};
pub use load::{load, parse};
