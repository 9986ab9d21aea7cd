//! How much of a service an instance reaches.

use super::contact::PathState;

/// Number of servers by the state of the paths to them. Servers that no instance reaches do not
/// count: they have failed, or have left without notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathSummary {
    /// Servers that answer.
    pub open: usize,
    /// Servers that answer on open connections only.
    pub closing: usize,
    /// Servers that do not answer this instance, and no other one as far as known.
    pub silent: usize,
    /// Servers that answer other instances, but not this one.
    pub cut_off: usize,
}

impl PathSummary {
    pub(super) fn with(mut self, state: PathState) -> Self {
        match state {
            PathState::Unknown => {}
            PathState::Open => self.open += 1,
            PathState::Closing => self.closing += 1,
            PathState::Silent => self.silent += 1,
            PathState::CutOff => self.cut_off += 1,
        }
        self
    }

    /// The same with `count` of the silent servers cut off.
    pub(super) fn with_silent_cut_off(mut self, count: usize) -> Self {
        self.silent -= count;
        self.cut_off += count;
        self
    }

    /// The sum of two.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            open: self.open + other.open,
            closing: self.closing + other.closing,
            silent: self.silent + other.silent,
            cut_off: self.cut_off + other.cut_off,
        }
    }

    /// Whether no server answers this instance, though some answer others.
    pub const fn is_nothing_reached(&self) -> bool {
        self.cut_off > 0 && self.open == 0 && self.closing == 0
    }

    /// Whether there are servers that other instances reach and this one does not, or only on
    /// connections that are still open.
    pub const fn is_impaired(&self) -> bool {
        self.cut_off + self.closing > 0
    }

    /// Whether this instance reaches less than half of the servers that it could use.
    pub const fn is_most_lost(&self) -> bool {
        self.cut_off + self.closing > self.open
    }

    /// Whether this instance reaches at least three quarters of the servers that it could use.
    pub const fn is_most_reached(&self) -> bool {
        3 * (self.cut_off + self.closing) <= self.open
    }
}
