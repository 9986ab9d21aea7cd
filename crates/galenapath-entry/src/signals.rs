//! SIGTERM and SIGINT.

use crate::EntryError;
use error_stack::{Report, ResultExt};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// A channel that gets a message for each SIGTERM or SIGINT.
///
/// # Errors
///
/// When the handlers cannot be installed.
pub fn stop_requests() -> Result<flume::Receiver<()>, Report<EntryError>> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).change_context(EntryError::Start("signal handling"))?;
    let (tx, rx) = flume::unbounded();
    let wait = move || {
        for _ in signals.forever() {
            if tx.send(()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(wait)
        .change_context(EntryError::Start("signal handling"))?;
    Ok(rx)
}
