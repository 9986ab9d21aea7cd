//! The operators' command line `galenactl`: parses the arguments, runs a command against an entry
//! instance or on local files, and prints the result.

pub mod causes;
mod classes;
mod client;
mod error;
mod logs;
mod options;
mod output;
mod reports;
mod run;
mod settings;
pub mod trace;

pub use error::{CtlError, ExitStatus};
pub use options::{Options, OutputFormat};
pub use run::run;
