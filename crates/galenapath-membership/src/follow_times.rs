//! The times on the path of a change from the store to the last instance.
//!
//! Load pattern: instances that the store stops to answer, in turn or all at once, while changes go
//! on. Each step that detects this takes some time, and their sum has to stay below the time within
//! which a change takes effect. So all of them are parts of that time.

use galenapath_protocol::Micros;

/// Longest wait of a watch. Longer ones would save few calls.
const MAX_WATCH_WAIT: Micros = Micros::from_millis(1_400);

/// Calls of the store a second that all instances together make while it answers none of them. A fleet
/// must not ask a store that fails as one.
const MAX_RETRIES_PER_S: u64 = 48;

const MICROS_PER_S: u64 = 1_000_000;

/// Longest time between two checks of the role.
const MAX_ROLE_CHECK: Micros = Micros::from_millis(200);

/// The times, derived from the time within which a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTimes {
    /// Time without a known answer of the store to any instance from which on nobody is taken to
    /// follow it.
    pub max_silence: Micros,
    /// Time for an answer of the store to a call that does not wait for changes.
    pub call_timeout: Micros,
    /// Shortest time from a failed call of an instance to its next one, while nobody is taken to
    /// follow the store.
    pub retry_pause: Micros,
    /// Time for which a watch waits for changes.
    pub watch_wait: Micros,
    /// Time between two checks of the role.
    pub role_check: Micros,
}

impl FollowTimes {
    /// The times with which a change takes effect within `apply_within`.
    pub fn within(apply_within: Micros) -> Self {
        let part = |parts: u64, of: u64| Micros(apply_within.0 * parts / of);
        Self {
            max_silence: part(1, 2),
            call_timeout: part(3, 10),
            retry_pause: part(1, 4),
            watch_wait: part(7, 10).min(MAX_WATCH_WAIT),
            role_check: part(1, 10).min(MAX_ROLE_CHECK),
        }
    }

    /// Time from a failed call of an instance to its next one at the most, while nobody is taken to
    /// follow the store. In a large fleet it is longer: there, one of the instances that the store
    /// answers again asks soon, although each single one does not.
    pub fn retry_pause_of(&self, fleet: usize) -> Micros {
        self.retry_pause.max(Micros(fleet as u64 * MICROS_PER_S / MAX_RETRIES_PER_S))
    }

    /// Longest time from the moment in which the store can answer an instance again to that
    /// instance's call, where nobody else follows the store and [`Self::retry_pause`] holds. A call
    /// may still hang on the path as it was, and the silence may just have begun.
    pub fn until_asked(&self) -> Micros {
        self.max_silence.max(self.call_timeout + self.retry_pause) + self.role_check
    }
}
