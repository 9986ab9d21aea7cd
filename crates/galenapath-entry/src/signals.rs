//! Handling of SIGTERM and SIGINT.

use crate::EntryError;
use error_stack::{Report, ResultExt};
use nix::sys::signal::{SigSet, Signal};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const WHAT: EntryError = EntryError::Start("signal handling");

fn stop_signals() -> SigSet {
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGTERM);
    signals.add(Signal::SIGINT);
    signals
}

/// Stop signals that the process has received.
#[derive(Clone, Debug, Default)]
pub struct StopSignals {
    /// Whether one has arrived that was not taken yet.
    pending: Arc<AtomicBool>,
    /// Whether one has ever arrived.
    arrived: Arc<AtomicBool>,
}

impl StopSignals {
    /// Installs the handlers. The signals are blocked on the calling thread and on all that it starts;
    /// the one that calls [`Self::receive_here`] handles them.
    ///
    /// # Errors
    ///
    /// If they cannot be installed.
    pub fn install() -> Result<Self, Report<EntryError>> {
        let signals = Self::default();
        stop_signals().thread_block().change_context(WHAT)?;
        for signal in [SIGTERM, SIGINT] {
            for flag in [&signals.arrived, &signals.pending] {
                signal_hook::flag::register(signal, Arc::clone(flag)).change_context(WHAT)?;
            }
        }
        Ok(signals)
    }

    /// Handles the signals on the calling thread. Whatever it receives after a signal, it knows of the
    /// signal; another thread may be notified of it later.
    ///
    /// # Errors
    ///
    /// If the thread's signals cannot be changed.
    pub fn receive_here() -> Result<(), Report<EntryError>> {
        stop_signals().thread_unblock().change_context(WHAT)
    }

    /// Returns whether a signal has arrived since the last call.
    pub fn take(&self) -> bool {
        self.pending.swap(false, Ordering::AcqRel)
    }

    /// Returns whether a signal has arrived, also before the stop that it begins.
    pub fn has_arrived(&self) -> bool {
        self.arrived.load(Ordering::Acquire)
    }
}
