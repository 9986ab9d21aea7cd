//! Rate limits that servers state.
//!
//! Load pattern: an overloaded server states in its answers how many requests per second it accepts
//! from all instances together, a small fraction of what its slots could run. Its load reports look
//! as free as before, so a choice by load and slowdown alone would not reduce its requests. An
//! instance learns of the limit only from answers and from other instances, and does not know what
//! the others have sent within the last tenth of a second. The limit is therefore split equally
//! among so few instances that each may send at least one request per second
//! ([`limit_share`](crate::measure::limit_share)), and the others send nothing: a smaller share
//! would have to be rounded up to one request, and hundreds of these are many times the limit.

use super::placement::Placement;
use super::server::Server;
use crate::measure::{LimitShare, TokenBucket};
use galenapath_protocol::{BackendId, Micros};

/// Relative change of a limit that counts as an update.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// Seconds of its share that an instance may accumulate, or one request.
const BURST_SECS: f32 = 0.1;

/// Lowest rate, in requests per second, that is sent to a rate-limited server. Without answers no
/// instance would learn that the limit has ended.
const MIN_RATE: f64 = 0.25;

/// Age up to which a statement is repeated to instances that may have missed it. No statement in
/// use is older, since there is at least one answer every four seconds.
const MAX_REPEAT_AGE: Micros = Micros::from_secs(30);

/// Time after the end of a limit for which the end is repeated.
const ENDED_REPORT_PERIOD: Micros = Micros::from_secs(10);

/// Time without confirmation after which a limit ends: the instances that could confirm it send no
/// requests there.
const LIMIT_EXPIRY: Micros = Micros::from_secs(60);

/// A server's statement of the requests per second that it accepts from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The limit; `None` if there is none.
    pub per_second: Option<f64>,
    /// When the server stated it.
    pub stated_at: Micros,
}

/// Known state of a server's rate limit.
#[derive(Clone, Debug)]
pub(super) struct RateLimitState {
    /// The newest statement; `None` before the first one.
    latest: Option<RateLimit>,
    /// When the server or another instance last confirmed the statement.
    confirmed_at: Micros,
    /// When this instance learned that the limit had ended; `None` before that, and while there is
    /// one.
    ended_at: Option<Micros>,
    share: LimitShare,
    /// Invariant: created without tokens whenever this instance had no share before.
    budget: TokenBucket,
}

impl Default for RateLimitState {
    fn default() -> Self {
        Self {
            latest: None,
            confirmed_at: Micros::ZERO,
            ended_at: None,
            share: LimitShare::NONE,
            budget: TokenBucket::empty(Micros::ZERO, 0.0, BURST_SECS),
        }
    }
}

impl RateLimitState {
    pub(super) fn per_second(&self) -> Option<f64> {
        self.latest?.per_second
    }

    /// Returns the limit with no share for this instance.
    pub(super) fn without_share(self) -> Self {
        Self { share: LimitShare::NONE, ..self }
    }

    /// Whether this instance has a share of the limit.
    pub(super) fn has_share(&self) -> bool {
        self.share.part > 0.0
    }

    /// Whether the server accepts one more request of this instance now.
    pub(super) fn has_budget(&self, now: Micros) -> bool {
        self.per_second().is_none() || (self.has_share() && self.budget.has_token(now))
    }

    /// Time until the server accepts one more request of this instance; `None` if the instance has
    /// no share.
    pub(super) fn time_until_budget(&self, now: Micros) -> Option<Micros> {
        match self.per_second() {
            None => Some(Micros::ZERO),
            Some(_) => self.has_share().then(|| self.budget.time_until_token(now)),
        }
    }

    /// Counts a request if the server has a rate limit; returns whether it has.
    pub(super) fn count(&mut self, now: Micros) -> bool {
        let is_limited = self.per_second().is_some();
        if is_limited {
            self.budget.take(now);
        }
        is_limited
    }

    /// Adds a statement of the server; returns whether it is an update.
    fn update(&mut self, now: Micros, limit: RateLimit) -> bool {
        let before = self.per_second();
        if before.is_some() == limit.per_second.is_some() {
            self.confirmed_at = now;
        }
        if self.latest.is_some_and(|latest| latest.stated_at > limit.stated_at) {
            return false;
        }
        self.latest = Some(limit);
        self.confirmed_at = now;
        if before.is_none() || limit.per_second.is_none() {
            self.share = LimitShare::NONE;
        }
        self.ended_at = match (before, limit.per_second) {
            (_, Some(_)) => None,
            (Some(_), None) => Some(now),
            (None, None) => self.ended_at,
        };
        is_update(before, limit.per_second)
    }

    /// Sets this instance's share of the limit.
    fn assign(&mut self, now: Micros, share: LimitShare) {
        let limit = self.per_second().unwrap_or(0.0).max(MIN_RATE);
        let rate = limit * share.part;
        if !self.has_share() {
            self.budget = TokenBucket::empty(now, rate, BURST_SECS);
        }
        self.budget.set_rate(now, rate);
        self.share = share;
    }

    /// Whether the statement is reported to others: there is a limit, or it ended within
    /// [`ENDED_REPORT_PERIOD`].
    fn is_reportable(&self, now: Micros) -> bool {
        let has_just_ended = self.ended_at.is_some_and(|at| now - at < ENDED_REPORT_PERIOD);
        self.per_second().is_some() || has_just_ended
    }

    /// Drops a limit that was not confirmed within [`LIMIT_EXPIRY`].
    fn expire(&mut self, now: Micros) {
        if self.per_second().is_some() && now - self.confirmed_at >= LIMIT_EXPIRY {
            self.latest = None;
            self.share = LimitShare::NONE;
        }
    }

    /// The statement to report to instances that may have missed it.
    fn reportable(&self, now: Micros) -> Option<RateLimit> {
        let limit = self.latest.filter(|_| self.is_reportable(now))?;
        (now - limit.stated_at < MAX_REPEAT_AGE).then_some(limit)
    }
}

fn is_update(before: Option<f64>, now: Option<f64>) -> bool {
    match (before, now) {
        (Some(before), Some(now)) => (before - now).abs() > MIN_RELATIVE_CHANGE * before.max(now),
        (None, None) => false,
        (Some(_), None) | (None, Some(_)) => true,
    }
}

impl Server {
    pub(super) fn is_limited(&self) -> bool {
        self.limited.per_second().is_some()
    }

    /// Number of the given `slots` that requests can use at once within the rate limit, where each
    /// takes `work`.
    pub(super) fn slots_within_limit(&self, slots: f32, work: Micros) -> f32 {
        let seconds = work.0 as f32 / 1e6;
        let max_slots = self.limited.per_second().map(|limit| limit.max(MIN_RATE) as f32 * seconds);
        max_slots.map_or(slots, |max_slots| max_slots.min(slots))
    }
}

impl Placement {
    /// Adds a server's statement of its rate limit; returns whether it is an update.
    pub fn update_limit(&mut self, now: Micros, id: &BackendId, limit: RateLimit) -> bool {
        match self.server_mut(id) {
            Some(server) => server.limited.update(now, limit),
            None => {
                if limit.per_second.is_some() {
                    self.delisted.entry(now, id).limited.update(now, limit);
                }
                false
            }
        }
    }

    /// Sets this instance's share of the limit of each rate-limited server.
    pub fn assign_limit_shares(
        &mut self,
        now: Micros,
        share: impl Fn(&BackendId, f64) -> LimitShare,
    ) {
        for server in self.servers.iter_mut().filter(|server| server.limited.is_reportable(now)) {
            server.limited.expire(now);
            let per_second = server.limited.per_second().unwrap_or(0.0);
            server.limited.assign(now, share(&server.id, per_second));
        }
    }

    /// The statements to report to an instance that has just become ready.
    pub fn reportable_limits(&self, now: Micros) -> Vec<(BackendId, RateLimit)> {
        let reportable =
            |server: &Server| Some((server.id.clone(), server.limited.reportable(now)?));
        self.servers.iter().filter_map(reportable).collect()
    }

    /// The statements that this instance repeats to all others.
    pub fn limits_to_repeat(&self, now: Micros) -> Vec<(BackendId, RateLimit)> {
        let is_broadcaster =
            |id: &BackendId| self.server(id).is_some_and(|s| s.limited.share.is_broadcaster);
        let mut reportable = self.reportable_limits(now);
        reportable.retain(|(id, _)| is_broadcaster(id));
        reportable
    }

    /// Number of rate-limited servers.
    pub fn limited_count(&self) -> usize {
        self.servers.iter().filter(|server| server.is_limited()).count()
    }

    /// Whether a server has stated a rate limit.
    pub fn is_limited(&self, id: &BackendId) -> bool {
        self.server(id).is_some_and(Server::is_limited)
    }

    /// Charges a load query to the rate limit of the server, if there is one. Returns false if the
    /// limit leaves no room for it or the server is paused.
    pub fn try_take_query(&mut self, now: Micros, id: &BackendId) -> bool {
        let Some(server) = self.server_mut(id) else { return false };
        let has_budget = !server.is_paused(now) && server.limited.has_budget(now);
        if has_budget {
            server.limited.count(now);
        }
        has_budget
    }
}
