//! The monotonic clock of an instance.

use galenapath_protocol::Micros;
use rustix::time::{ClockId, clock_gettime};

/// Reading of the clock at its start; above zero, so that earlier times can be represented.
const START: Micros = Micros::from_secs(1_000);

/// A clock that is unaffected by changes of the system time and includes time in suspend, because
/// deadlines keep running while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Micros,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Current time.
    pub(crate) fn now(self) -> Micros {
        START + (since_boot() - self.origin)
    }

    /// Time since the start.
    pub(crate) fn uptime(self) -> Micros {
        self.now() - START
    }
}

fn since_boot() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Micros(seconds * 1_000_000 + nanos / 1_000)
}
