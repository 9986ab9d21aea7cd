//! Stand-ins of the platform, its backend servers and its callers, for the cases under `review/`.
//! They use the standard library only.

pub mod backend;
pub mod client;
pub mod gateway;
pub mod http;
pub mod net;
pub mod record;
pub mod store;

/// Whether the case runs with its disruption: `TROUBLE=0` leaves it out.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Ends the process with the status that `run.sh` passes on: 0 if the rule held, 1 if it was broken,
/// 2 if the case could not run.
pub fn finish(result: std::io::Result<Outcome>) -> std::process::ExitCode {
    match result {
        Ok(Outcome::Held) => std::process::ExitCode::from(0),
        Ok(Outcome::Broken) => std::process::ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            std::process::ExitCode::from(2)
        }
    }
}
