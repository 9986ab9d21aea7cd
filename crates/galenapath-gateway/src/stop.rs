//! Signal handling and planned stops.

use crate::instance::{Instance, Stage, sleep, sleep_to_next};
use crate::{GatewayError, fleet, usage};
use error_stack::{Report, ResultExt};
use galenapath_protocol::Micros;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Interval at which signals and requests in progress are checked.
const CHECK_PERIOD: Micros = Micros::from_millis(100);

/// Time for which a leaving instance still accepts connections. Callers keep an address answer
/// three times as long as it states, and then need a moment to connect.
const ACCEPT_WHILE_LEAVING: Micros = Micros::from_millis(3_500);

/// Time before the end of the grace period at which the process ends even if requests are in
/// progress.
const EXIT_MARGIN: Micros = Micros::from_millis(300);

/// Signals received by the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
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
        for signal in [SIGTERM, SIGINT] {
            let flag = Arc::clone(&signals.stop);
            signal_hook::flag::register(signal, flag).change_context(WHAT)?;
        }
        let flag = Arc::clone(&signals.reload);
        signal_hook::flag::register(SIGHUP, flag).change_context(WHAT)?;
        Ok(signals)
    }
}

/// Waits for a stop signal and then drains requests in progress. Returns when the process may end.
pub(crate) async fn run(instance: &Rc<Instance>, signals: &Signals) {
    while !signals.stop.load(Ordering::Relaxed) {
        sleep_to_next(instance, CHECK_PERIOD).await;
    }
    let began = instance.now();
    let in_progress = instance.in_progress.get();
    log::info!(in_progress; "stop begins");
    instance.stage.set(Stage::Leaving);
    fleet::broadcast_heartbeat(instance);
    let max_duration = Micros::from(instance.settings().grace) - EXIT_MARGIN;
    let accept_until = began + ACCEPT_WHILE_LEAVING.min(max_duration);
    while instance.now() < accept_until {
        sleep(CHECK_PERIOD).await;
    }
    instance.stage.set(Stage::Closing);
    while instance.in_progress.get() > 0 && instance.now() - began < max_duration {
        sleep(CHECK_PERIOD).await;
    }
    fleet::broadcast_end(instance);
    let took_ms = (instance.now() - began).0 / 1_000;
    let remaining = instance.in_progress.get();
    usage::log_totals(instance);
    log::info!(took_ms, in_progress = remaining; "stopped");
}
