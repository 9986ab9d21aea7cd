//! The longest of recent durations.

use galenapath_protocol::Micros;

/// Time over which one maximum is taken. Two of them count, so that a long duration counts for at
/// least this time.
const WINDOW: Micros = Micros::from_secs(30);

/// The longest duration within the last one to two windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecentMax {
    /// Longest in the current window; zero without a sample.
    current: Micros,
    /// Longest in the window before.
    previous: Micros,
    /// Start of the current window.
    began: Micros,
}

impl RecentMax {
    /// Returns the maximum with one more duration included.
    #[must_use]
    pub fn with_sample(self, now: Micros, duration: Micros) -> Self {
        let turned = self.turned(now);
        Self { current: turned.current.max(duration), ..turned }
    }

    /// The longest duration; zero without a sample in the last windows.
    pub fn get(self, now: Micros) -> Micros {
        let turned = self.turned(now);
        turned.current.max(turned.previous)
    }

    /// The maximum as of `now`, after as many windows as have ended.
    fn turned(self, now: Micros) -> Self {
        let age = now - self.began;
        if age < WINDOW {
            return self;
        }
        let previous = if age < WINDOW + WINDOW { self.current } else { Micros::ZERO };
        Self { current: Micros::ZERO, previous, began: now }
    }
}
