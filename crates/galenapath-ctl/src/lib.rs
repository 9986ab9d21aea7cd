//! The operators' command line: reads its arguments, asks an entry instance, prints the answer.

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
