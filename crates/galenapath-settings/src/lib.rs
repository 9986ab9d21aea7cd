//! Settings of an entry instance: the TOML file, its checks and its errors.

#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated;

pub use generated::SettingsWire;
