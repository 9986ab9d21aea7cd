//! Timeout of a load query.
//!
//! Load pattern: all slots of a server are taken, so that a query on a new connection waits for
//! one; or the server hangs. Servers with a free slot answer within one trip between failure
//! domains. A request that waits for a tenth of a second or longer loses a quarter of its target
//! before it is sent; at 1.5 times the usual load that is one request in twenty. A fixed timeout
//! does not work, however: an instance with little processor time reads timely answers late and
//! would pass over every server. The timeout therefore follows the answer times on connections
//! that are already open, like the retransmission timeout of a transport: the mean plus four mean
//! deviations.

use galenapath_protocol::Micros;

/// Lower bound: several trips between failure domains and a little processor time.
const MIN_TIMEOUT: Micros = Micros::from_millis(15);

/// Upper bound: an instance that has used up its share of the processor reads answers up to a tenth
/// of a second late.
const MAX_TIMEOUT: Micros = Micros::from_millis(150);

/// Mean deviations above the mean that an answer may take, as in RFC 6298.
const DEVIATIONS: f32 = 4.0;

/// Weight of one sample in the mean, as in RFC 6298.
const MEAN_WEIGHT: f32 = 1.0 / 8.0;

/// Weight of one sample in the mean deviation, as in RFC 6298.
const DEVIATION_WEIGHT: f32 = 1.0 / 4.0;

/// Moving average of the answer times of load queries, and of their deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueryTimes {
    /// Mean, in microseconds.
    mean: f32,
    /// Mean deviation, in microseconds.
    deviation: f32,
}

impl QueryTimes {
    /// Returns the averages with one more answer time included.
    #[must_use]
    pub fn with_sample(self, took: Micros) -> Self {
        let error = took.0 as f32 - self.mean;
        Self {
            mean: self.mean + MEAN_WEIGHT * error,
            deviation: self.deviation + DEVIATION_WEIGHT * (error.abs() - self.deviation),
        }
    }

    /// How long a request waits for the answer to its load query.
    pub fn timeout(self) -> Micros {
        let limit = self.mean + DEVIATIONS * self.deviation;
        Micros(limit as u64).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
