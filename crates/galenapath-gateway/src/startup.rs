//! Delays requests that arrive while an instance starts.
//!
//! Load pattern: all instances fail at the same moment and start again together. Callers whose
//! connections broke reconnect at once, most of them with their last attempt, in the 0.1 s in which
//! an instance already listens but does not know the configuration and servers yet. Rejected
//! requests would be lost. The missing data arrives from the store or another instance within
//! 0.2 s.

use crate::instance::{Instance, sleep};
use galenapath_protocol::Micros;

/// Time after the start during which requests wait for the configuration and servers. An instance
/// without them by then reaches neither the store nor other instances, so that its callers are
/// better served elsewhere.
const STARTUP_PERIOD: Micros = Micros::from_secs(1);

/// A request waits for at most its caller timeout divided by this; the rest is left for its work.
const MAX_WAIT_DIVISOR: u64 = 4;

const POLL_INTERVAL: Micros = Micros::from_millis(5);

/// Waits until the instance knows the configuration and servers, for a limited part of
/// `caller_timeout` and only shortly after the start.
pub(crate) async fn wait_until_known(instance: &Instance, caller_timeout: Micros) {
    let latest = instance.now() + Micros(caller_timeout.0 / MAX_WAIT_DIVISOR);
    while !instance.state.borrow().is_known()
        && instance.clock.uptime() < STARTUP_PERIOD
        && instance.now() < latest
    {
        sleep(POLL_INTERVAL).await;
    }
}
