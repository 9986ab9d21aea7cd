//! Handling of SIGTERM and SIGINT.

use crate::EntryError;
use error_stack::{Report, ResultExt};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Returns a channel that receives a message for each SIGTERM or SIGINT.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
pub fn stop_requests() -> Result<flume::Receiver<()>, Report<EntryError>> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).change_context(EntryError::Start("signal handling"))?;
    let (tx, rx) = flume::unbounded();
    let forward = move || {
        for _ in signals.forever() {
            if tx.send(()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(forward)
        .change_context(EntryError::Start("signal handling"))?;
    Ok(rx)
}
