//! Signals, and a planned stop.

use crate::instance::{Instance, Stage, sleep, sleep_to_next};
use crate::{GatewayError, fleet, usage};
use error_stack::{Report, ResultExt};
use galenapath_protocol::Micros;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Time between two looks at whether a signal has come.
const LOOK: Micros = Micros::from_millis(100);

/// Time for which an instance that leaves still takes new connections: callers keep an address
/// answer three times as long as they are told, and then need a moment to connect.
const STILL_TAKES: Micros = Micros::from_millis(3_500);

/// Time before the end of the grace at which the process ends whatever is still in progress.
const RESERVE: Micros = Micros::from_millis(300);

/// Signals that have come.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Whether the signal to read the settings again has come since the last call.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// When a handler cannot be installed.
    pub(crate) fn install() -> Result<Self, Report<GatewayError>> {
        const WHAT: GatewayError = GatewayError::Start("signal handling");
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            let flag = Arc::clone(&signals.stop);
            signal_hook::flag::register(signal, flag).change_context(WHAT)?;
        }
        let flag = Arc::clone(&signals.reload);
        signal_hook::flag::register(SIGHUP, flag).change_context(WHAT)?;
        Ok(signals)
    }
}

/// Waits for the signal to stop and then for what is in progress. Returns when the process may end.
pub(crate) async fn run(instance: &Rc<Instance>, signals: &Signals) {
    while !signals.stop.load(Ordering::Relaxed) {
        sleep_to_next(instance, LOOK).await;
    }
    let began = instance.now();
    let in_progress = instance.in_progress.get();
    log::info!(in_progress; "stop begins");
    instance.stage.set(Stage::Leaving);
    fleet::announce(instance);
    let most = Micros::from(instance.settings().grace) - RESERVE;
    let takes_until = began + STILL_TAKES.min(most);
    while instance.now() < takes_until {
        sleep(LOOK).await;
    }
    instance.stage.set(Stage::Closing);
    while instance.in_progress.get() > 0 && instance.now() - began < most {
        sleep(LOOK).await;
    }
    fleet::tell_end(instance);
    let took_ms = (instance.now() - began).0 / 1_000;
    let left = instance.in_progress.get();
    usage::note(instance);
    log::info!(took_ms, in_progress = left; "stopped");
}
