//! Requests that come while an instance starts.
//!
//! Load pattern: all instances are lost at the same moment and start together. Callers whose connections
//! broke come again at once, most of them with their last try, in the tenth of a second in which an
//! instance listens already and does not know configuration and servers yet. Refused, they are lost;
//! what is missing comes within two tenths of a second from the store or another instance.

use crate::instance::{Instance, sleep};
use galenapath_protocol::Micros;

/// Time after the start for which requests wait for what the instance lacks: an instance that knows
/// nothing by then cannot reach anybody, and callers do better elsewhere.
const KNOWN_WITHIN: Micros = Micros::from_secs(1);

/// Part of its time, one in so many, that a request waits at the most: the rest is for its work.
const PART: u64 = 4;

/// Time between two looks.
const LOOK: Micros = Micros::from_millis(5);

/// Lets a request whose caller waits for `told` wait until the instance knows enough to serve it, if that
/// may be soon.
pub(crate) async fn wait_until_known(instance: &Instance, told: Micros) {
    let most = instance.now() + Micros(told.0 / PART);
    while !instance.state.borrow().is_known()
        && instance.clock.age() < KNOWN_WITHIN
        && instance.now() < most
    {
        sleep(LOOK).await;
    }
}
