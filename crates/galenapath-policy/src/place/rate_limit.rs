//! How many requests a server gets that names a rate limit.
//!
//! Load pattern: a server in need says in its answers how many requests a second it takes from all instances
//! together, a small part of what its slots would bear. It looks as free as before, so that a choice by load
//! and pace sends it as much as ever. An instance hears of the limit only from answers and from others, and
//! knows nothing of what the others have sent within the last tenth of a second. So the limit is split
//! in equal parts among so few instances that each may send a request a second or more
//! ([`limit_share`](crate::measure::limit_share)), and the others leave the server alone: any part that is
//! less would have to be rounded up to a request, and hundreds of those are many times the limit.

use super::placement::Placement;
use super::server::Server;
use crate::measure::{LimitShare, TokenBucket};
use galenapath_protocol::{BackendId, Micros};

/// Part of a limit by which it has to change to be news.
const OTHER_LIMIT: f64 = 0.1;

/// Seconds of its part that an instance saves up, or one request.
const SAVED: f32 = 0.1;

/// Least requests a second to a server whose limit is lower: without an answer nobody would learn that it
/// has ended.
const LEAST_RATE: f64 = 0.25;

/// Age up to which what a server said is told again to instances that may have missed it. Older than any
/// that is in use: there is one answer in four seconds at the least.
const TOLD_AGAIN_FOR: Micros = Micros::from_secs(30);

/// Time after the end of a limit for which the end is told again.
const END_TOLD_AGAIN_FOR: Micros = Micros::from_secs(10);

/// Time without a word after which a limit counts as ended: whoever could confirm it sends nothing there.
const LAPSES_AFTER: Micros = Micros::from_secs(60);

/// What a server said of the requests a second that it takes from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The limit; `None` where it named none.
    pub per_second: Option<f64>,
    /// When it said so.
    pub said_at: Micros,
}

/// What is known of a server's rate limit.
#[derive(Clone, Debug)]
pub(super) struct Limited {
    /// The newest word; `None` before the first one.
    word: Option<RateLimit>,
    /// When the server or another instance last said the same.
    confirmed_at: Micros,
    /// When it was last heard that the limit has ended; `None` before that, and while there is one.
    ended_at: Option<Micros>,
    share: LimitShare,
    /// Invariant: empty whenever the part that falls to this instance was nothing before.
    budget: TokenBucket,
}

impl Default for Limited {
    fn default() -> Self {
        Self {
            word: None,
            confirmed_at: Micros::ZERO,
            ended_at: None,
            share: LimitShare::NONE,
            budget: TokenBucket::empty(Micros::ZERO, 0.0, SAVED),
        }
    }
}

impl Limited {
    pub(super) fn per_second(&self) -> Option<f64> {
        self.word?.per_second
    }

    /// The same while no part of the limit falls to this instance.
    pub(super) fn without_share(self) -> Self {
        Self { share: LimitShare::NONE, ..self }
    }

    /// Whether a part of the limit falls to this instance.
    pub(super) fn is_ours(&self) -> bool {
        self.share.part > 0.0
    }

    /// Whether the server can take one more request of this instance now.
    pub(super) fn has_room(&self, now: Micros) -> bool {
        self.per_second().is_none() || (self.is_ours() && self.budget.has_token(now))
    }

    /// Time until it takes one more request of this instance; `None` where no part of the limit falls to it.
    pub(super) fn room_in(&self, now: Micros) -> Option<Micros> {
        match self.per_second() {
            None => Some(Micros::ZERO),
            Some(_) => self.is_ours().then(|| self.budget.time_until_token(now)),
        }
    }

    /// Counts a request where the server names a limit; returns whether it does.
    pub(super) fn count(&mut self, now: Micros) -> bool {
        let is_limited = self.per_second().is_some();
        if is_limited {
            self.budget.take(now);
        }
        is_limited
    }

    /// Takes in what the server said; returns whether it is news.
    fn hear(&mut self, now: Micros, word: RateLimit) -> bool {
        let before = self.per_second();
        if before.is_some() == word.per_second.is_some() {
            self.confirmed_at = now;
        }
        if self.word.is_some_and(|known| known.said_at > word.said_at) {
            return false;
        }
        self.word = Some(word);
        self.confirmed_at = now;
        if before.is_none() || word.per_second.is_none() {
            self.share = LimitShare::NONE;
        }
        self.ended_at = match (before, word.per_second) {
            (_, Some(_)) => None,
            (Some(_), None) => Some(now),
            (None, None) => self.ended_at,
        };
        is_news(before, word.per_second)
    }

    /// Takes over which part of the limit falls to this instance.
    fn assign(&mut self, now: Micros, share: LimitShare) {
        let limit = self.per_second().unwrap_or(0.0).max(LEAST_RATE);
        let rate = limit * share.part;
        if !self.is_ours() {
            self.budget = TokenBucket::empty(now, rate, SAVED);
        }
        self.budget.set_rate(now, rate);
        self.share = share;
    }

    /// Whether others are to hear what the server said, or what it did say until lately.
    fn is_told(&self, now: Micros) -> bool {
        let has_just_ended = self.ended_at.is_some_and(|at| now - at < END_TOLD_AGAIN_FOR);
        self.per_second().is_some() || has_just_ended
    }

    /// Forgets a limit that nobody has confirmed for long.
    fn lapse(&mut self, now: Micros) {
        if self.per_second().is_some() && now - self.confirmed_at >= LAPSES_AFTER {
            self.word = None;
            self.share = LimitShare::NONE;
        }
    }

    /// What others hear of it that may have missed it.
    fn told(&self, now: Micros) -> Option<RateLimit> {
        let word = self.word.filter(|_| self.is_told(now))?;
        (now - word.said_at < TOLD_AGAIN_FOR).then_some(word)
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
    pub(super) fn is_limited(&self) -> bool {
        self.limited.per_second().is_some()
    }

    /// Slots that requests can be in at once where each takes `work`, of `slots`.
    pub(super) fn slots_within_limit(&self, slots: f32, work: Micros) -> f32 {
        let seconds = work.0 as f32 / 1e6;
        let most = self.limited.per_second().map(|limit| limit.max(LEAST_RATE) as f32 * seconds);
        most.map_or(slots, |most| most.min(slots))
    }
}

impl Placement {
    /// Takes in what a server said of its rate limit; returns whether it is news.
    pub fn hear_limit(&mut self, now: Micros, id: &BackendId, word: RateLimit) -> bool {
        match self.server_mut(id) {
            Some(server) => server.limited.hear(now, word),
            None => {
                if word.per_second.is_some() {
                    self.absent.of(now, id).limited.hear(now, word);
                }
                false
            }
        }
    }

    /// Takes over which part falls to this instance of the limit of each server that names one.
    pub fn share_limits(&mut self, now: Micros, share: impl Fn(&BackendId, f64) -> LimitShare) {
        for server in self.servers.iter_mut().filter(|server| server.limited.is_told(now)) {
            server.limited.lapse(now);
            let per_second = server.limited.per_second().unwrap_or(0.0);
            server.limited.assign(now, share(&server.id, per_second));
        }
    }

    /// What the servers said of their limits that an instance is to hear which has just become ready.
    pub fn limits_told(&self, now: Micros) -> Vec<(BackendId, RateLimit)> {
        let told = |server: &Server| Some((server.id.clone(), server.limited.told(now)?));
        self.servers.iter().filter_map(told).collect()
    }

    /// What of that this instance is to tell all others again.
    pub fn limits_told_again(&self, now: Micros) -> Vec<(BackendId, RateLimit)> {
        let is_broadcaster =
            |id: &BackendId| self.server(id).is_some_and(|s| s.limited.share.is_broadcaster);
        let mut told = self.limits_told(now);
        told.retain(|(id, _)| is_broadcaster(id));
        told
    }

    /// Servers that name a rate limit.
    pub fn limited_count(&self) -> usize {
        self.servers.iter().filter(|server| server.is_limited()).count()
    }

    /// Whether a server names a rate limit.
    pub fn is_limited(&self, id: &BackendId) -> bool {
        self.server(id).is_some_and(Server::is_limited)
    }

    /// Takes a question to a server out of what the server takes, where it names a limit; false where that
    /// leaves no room for one, or the server wants nothing for now.
    pub fn take_question(&mut self, now: Micros, id: &BackendId) -> bool {
        let Some(server) = self.server_mut(id) else { return false };
        let has_room = !server.is_paused(now) && server.limited.has_room(now);
        if has_room {
            server.limited.count(now);
        }
        has_room
    }
}
