//! The signals that the process receives.

use crate::GatewayError;
use error_stack::{Report, ResultExt};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A signal that stops the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopSignal {
    Terminate,
    Interrupt,
}

impl StopSignal {
    /// Name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
        }
    }
}

/// Signals received by the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals {
    terminate: Arc<AtomicBool>,
    interrupt: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// A stop signal that has arrived since the last call.
    pub(crate) fn take_stop(&self) -> Option<StopSignal> {
        if self.terminate.swap(false, Ordering::Relaxed) {
            return Some(StopSignal::Terminate);
        }
        self.interrupt.swap(false, Ordering::Relaxed).then_some(StopSignal::Interrupt)
    }

    /// Whether a stop signal has arrived that was not taken yet.
    pub(crate) fn has_stop(&self) -> bool {
        self.terminate.load(Ordering::Relaxed) || self.interrupt.load(Ordering::Relaxed)
    }

    /// Whether a reload signal has arrived since the last call.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub(crate) fn install() -> Result<Self, Report<GatewayError>> {
        const WHAT: GatewayError = GatewayError::Start("signal handling");
        let signals = Self::default();
        let flags = [
            (SIGTERM, &signals.terminate),
            (SIGINT, &signals.interrupt),
            (SIGHUP, &signals.reload),
        ];
        for (signal, flag) in flags {
            signal_hook::flag::register(signal, Arc::clone(flag)).change_context(WHAT)?;
        }
        Ok(signals)
    }
}
