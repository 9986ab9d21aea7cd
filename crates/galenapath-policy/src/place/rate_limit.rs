//! How many requests a server gets that names a rate limit.

use super::placement::Placement;
use super::server::Server;
use galenapath_protocol::{BackendId, Micros};

/// Part of a limit by which it has to change to be news.
const OTHER_LIMIT: f64 = 0.1;

/// What a server said of the requests a second that it takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The limit; `None` where it named none.
    pub per_second: Option<f64>,
    /// When it said so.
    pub said_at: Micros,
}

/// What is known of a server's rate limit.
#[derive(Clone, Debug, Default)]
pub(super) struct Limited {
    /// The newest word; `None` before the first one.
    word: Option<RateLimit>,
}

impl Limited {
    pub(super) fn per_second(&self) -> Option<f64> {
        self.word?.per_second
    }
}

fn is_news(before: Option<f64>, now: Option<f64>) -> bool {
    match (before, now) {
        (Some(before), Some(now)) => (before - now).abs() > OTHER_LIMIT * before.max(now),
        (None, None) => false,
        (Some(_), None) | (None, Some(_)) => true,
    }
}

impl Server {
    /// Takes in what the server said; returns whether it is news.
    fn hear_limit(&mut self, word: RateLimit) -> bool {
        let known = self.limited.word;
        if known.is_some_and(|known| known.said_at > word.said_at) {
            return false;
        }
        self.limited.word = Some(word);
        is_news(known.and_then(|known| known.per_second), word.per_second)
    }
}

impl Placement {
    /// Takes in what a server said of its rate limit; returns whether it is news.
    pub fn hear_limit(&mut self, id: &BackendId, word: RateLimit) -> bool {
        self.server_mut(id).is_some_and(|server| server.hear_limit(word))
    }

    /// Servers that name a rate limit.
    pub fn limited_count(&self) -> usize {
        self.servers.iter().filter(|server| server.limited.per_second().is_some()).count()
    }
}
