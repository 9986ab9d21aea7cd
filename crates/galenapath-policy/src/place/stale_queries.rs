//! Whether load queries to servers with stale observations are worthwhile.
//!
//! Load pattern: callers move to one failure domain whose servers fill up, while servers of other
//! domains have free slots but no recent observations. If these were assumed to be as slow as the
//! average server, which a few slow ones make much slower than most servers are, they would get no
//! requests, and requests would wait for the servers with recent observations.
//!
//! Load pattern: all domains are full. Each query to a server with a stale observation finds it
//! full or slow, and requests spend their time on cross-domain queries instead of waiting for the
//! next local slot.
//!
//! The results of the queries show which of the two cases holds.

/// Weight of one result in the moving average.
const RESULT_WEIGHT: f32 = 1.0 / 16.0;

/// Success rate from which further queries are worthwhile: a query costs one or two cross-domain
/// trips, and a wait given up in vain costs a position in the queue.
const MIN_SUCCESS_RATE: f32 = 0.6;

/// Results of queries to servers with stale observations.
#[derive(Clone, Copy, Debug)]
pub(super) struct StaleQueries {
    /// Moving average of the fraction of servers that could take the request.
    success_rate: f32,
}

impl Default for StaleQueries {
    fn default() -> Self {
        Self { success_rate: 1.0 }
    }
}

impl StaleQueries {
    /// Whether the next query is worthwhile.
    pub(super) fn are_worthwhile(self) -> bool {
        self.success_rate >= MIN_SUCCESS_RATE
    }

    /// Records whether a queried server with a stale observation could take the request.
    pub(super) fn record(&mut self, is_good: bool) {
        let result = if is_good { 1.0 } else { 0.0 };
        self.success_rate += RESULT_WEIGHT * (result - self.success_rate);
    }
}
