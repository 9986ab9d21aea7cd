//! How many requests come in a second.

use galenapath_protocol::Micros;

/// Length of one count. Callers keep an address answer about as long.
const WINDOW: Micros = Micros::from_secs(1);

/// Requests of the last whole second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    began: Micros,
    count: u32,
    before: u32,
}

impl Rate {
    /// Counts one request.
    pub(crate) fn counted(self, now: Micros) -> Self {
        let moved = self.moved(now);
        Self { count: moved.count + 1, ..moved }
    }

    /// Requests a second, the larger of the last whole second and this one so far.
    pub(crate) fn per_second(self, now: Micros) -> u32 {
        let moved = self.moved(now);
        moved.before.max(moved.count)
    }

    fn moved(self, now: Micros) -> Self {
        let age = now - self.began;
        if age < WINDOW {
            return self;
        }
        let before = if age < Micros(WINDOW.0 * 2) { self.count } else { 0 };
        Self { began: now, count: 0, before }
    }
}
