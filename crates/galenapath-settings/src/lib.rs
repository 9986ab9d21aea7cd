//! Settings of an entry instance: the TOML file, its checks and its errors.

mod checked;
mod error;
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated;
mod load;

pub use checked::{Instance, Limits, Listen, Platform, Settings};
pub use error::SettingsError;
pub use generated::{ExperimentWireChoice as Choice, LogWireLevel as LogLevel, SettingsWire};
pub use load::{load, parse};
