//! A server that names a rate limit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of its limit over which a server gets too many requests.
const OVER: f64 = 1.5;

/// Requests beyond that part.
const SLACK: f64 = 5.0;

/// Span over which requests count.
const SPAN: Duration = Duration::from_secs(4);

/// Time after it first names its limit from which requests count: those that were on their way came before.
const SETTLES: Duration = Duration::from_millis(500);

/// The limit that a server names, and what it got meanwhile.
#[derive(Debug, Default)]
pub(super) struct Limit {
    per_second: Option<f64>,
    counts_from: Option<Instant>,
    /// When requests of the last span came.
    came: VecDeque<Instant>,
    most: usize,
    overruns: usize,
}

impl Limit {
    /// Names a limit of requests a second, or none any more.
    pub(super) fn set(&mut self, per_second: Option<f64>) {
        self.per_second = per_second;
        self.counts_from = per_second.map(|_| Instant::now() + SETTLES);
        self.came.clear();
    }

    /// The limit as the server names it.
    pub(super) fn text(&self) -> Option<String> {
        self.per_second.map(|limit| limit.to_string())
    }

    /// Most requests that came within the span.
    pub(super) fn most(&self) -> usize {
        self.most
    }

    /// Requests that came although the limit left no room for them.
    pub(super) fn overruns(&self) -> usize {
        self.overruns
    }

    /// Counts a request.
    pub(super) fn press(&mut self, now: Instant) {
        let Some(per_second) = self.per_second else { return };
        if self.counts_from.is_none_or(|from| now < from) {
            return;
        }
        self.came.push_back(now);
        while self.came.front().is_some_and(|at| now - *at > SPAN) {
            self.came.pop_front();
        }
        self.most = self.most.max(self.came.len());
        let allowed = per_second * SPAN.as_secs_f64() * OVER + SLACK;
        self.overruns += usize::from(self.came.len() as f64 > allowed);
    }
}
