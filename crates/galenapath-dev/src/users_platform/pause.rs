//! A server that turns requests away and says for how long it wants nothing.

use std::time::{Duration, Instant};

/// Time after its answer from which what comes counts: that was not on its way before.
const SETTLES: Duration = Duration::from_millis(500);

/// For how long a server wants nothing, and what it got meanwhile.
#[derive(Debug, Default)]
pub(super) struct Pause {
    /// What it says with each request that it turns away.
    stated: Option<Duration>,
    counts_from: Option<Instant>,
    until: Option<Instant>,
    arrivals: usize,
}

impl Pause {
    /// Says so from now on with each request that it turns away, or no more.
    pub(super) fn state(&mut self, stated: Option<Duration>) {
        self.stated = stated;
    }

    /// It turns a request away now; returns what it says.
    pub(super) fn begin(&mut self) -> Option<String> {
        let stated = self.stated?;
        let now = Instant::now();
        self.counts_from.get_or_insert(now + SETTLES);
        self.until = self.until.max(Some(now + stated));
        Some(stated.as_secs_f64().to_string())
    }

    /// Counts a request or a question.
    pub(super) fn arrived(&mut self) {
        let now = Instant::now();
        let has_settled = self.counts_from.is_some_and(|from| now >= from);
        let is_over = self.until.is_none_or(|until| now >= until);
        if is_over {
            self.counts_from = None;
        } else if has_settled {
            self.arrivals += 1;
        }
    }

    /// Requests and questions that came while it wanted nothing.
    pub(super) fn arrivals(&self) -> usize {
        self.arrivals
    }
}
