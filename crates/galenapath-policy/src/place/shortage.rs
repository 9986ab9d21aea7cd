//! Why a service has few available servers, for the log.

use super::placement::Placement;
use galenapath_protocol::Micros;

/// What keeps most servers of a service from getting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Their failure domains are evacuated.
    Withdrawn,
    /// They are cold and can take few requests.
    Cold,
    /// They have stated a rate limit.
    Limited,
    /// They are paused for this instance.
    Paused,
}

impl Shortage {
    /// Its name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Withdrawn => "withdrawn",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Paused => "paused",
        }
    }
}

impl Placement {
    /// Returns what keeps half of the servers or more from getting requests, if anything does.
    pub fn shortage(&self, now: Micros) -> Option<Shortage> {
        let is_most = |count: usize| count > 0 && 2 * count >= self.servers.len();
        let withdrawn = self.servers.iter().filter(|server| server.is_withdrawn).count();
        if is_most(withdrawn) {
            return Some(Shortage::Withdrawn);
        }
        if is_most(self.cold_count(now)) {
            return Some(Shortage::Cold);
        }
        if is_most(self.limited_count()) {
            return Some(Shortage::Limited);
        }
        is_most(self.paused_count(now)).then_some(Shortage::Paused)
    }
}
