//! The clock of an instance.

use galenapath_protocol::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Time that the clock shows at the start of the process, so that moments before it can be told.
const AT_START: Micros = Micros::from_secs(1_000);

/// A clock that no step of the time of day moves and that counts the time during which the machine
/// was suspended: a deadline goes on while the machine sleeps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Time now.
    pub(crate) fn now(self) -> Micros {
        AT_START + (since_boot() - self.origin)
    }

    /// Time since the start.
    pub(crate) fn age(self) -> Micros {
        self.now() - AT_START
    }
}

fn since_boot() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Micros(seconds * 1_000_000 + nanos / 1_000)
}
