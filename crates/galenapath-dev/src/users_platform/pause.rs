//! Pause of a server: it rejects requests and states for how long it asks for none.

use std::time::{Duration, Instant};

/// Time after a rejection until arrivals are counted, so that those already on their way do not
/// count.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Pause that a server states, and the requests and load queries received during it.
#[derive(Debug, Default)]
pub(super) struct Pause {
    /// Duration stated with each rejection.
    stated: Option<Duration>,
    counts_from: Option<Instant>,
    until: Option<Instant>,
    arrivals: usize,
}

impl Pause {
    /// Sets the duration stated with each rejection; `None` states none.
    pub(super) fn set_stated(&mut self, stated: Option<Duration>) {
        self.stated = stated;
    }

    /// Starts or extends the pause as a request is rejected; returns the header value to send.
    pub(super) fn begin(&mut self) -> Option<String> {
        let stated = self.stated?;
        let now = Instant::now();
        self.counts_from.get_or_insert(now + SETTLING_TIME);
        self.until = self.until.max(Some(now + stated));
        Some(stated.as_secs_f64().to_string())
    }

    /// Records a request or a load query.
    pub(super) fn record_arrival(&mut self) {
        let now = Instant::now();
        let has_settled = self.counts_from.is_some_and(|from| now >= from);
        let is_over = self.until.is_none_or(|until| now >= until);
        if is_over {
            self.counts_from = None;
        } else if has_settled {
            self.arrivals += 1;
        }
    }

    /// Returns the number of requests and load queries received during pauses.
    pub(super) fn arrivals(&self) -> usize {
        self.arrivals
    }
}
