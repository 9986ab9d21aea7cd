//! Thresholds of reachability.

use galenapath_protocol::Micros;

/// Thresholds of reachability.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachConfig {
    /// Failed exchanges in a row after which a server counts as silent. One is not enough: links
    /// lose packets, and a server resets connections while it has too many.
    pub silent_after: u32,
    /// Number of servers that have to keep exchanges waiting, all of which began after the last answer
    /// of any server, for the service to count as stalled; all servers if it has fewer.
    pub stalled_after: usize,
    /// Time within which other instances are expected to have answered whether they reach the servers of a
    /// service that has stalled.
    pub stall_verdict: Micros,
    /// Time for which a contact with a server counts. Longer than the pauses between the requests
    /// of a service that is hardly used.
    pub retention: Micros,
    /// Time for which it counts that another instance reached a server. Spans several questions.
    pub evidence_ttl: Micros,
    /// Number of instances known to reach servers that this one does not, from which on the next question
    /// has time: one of them may stop.
    pub enough_helpers: usize,
    /// Requests in a row that another instance rejects after which no more are forwarded to it until
    /// it has reached a server again: it may have lost its own paths, or is at its limit.
    pub max_rejections: u32,
    /// Delays before each further check of a server that did not answer; the last one repeats. The
    /// first ones are short because callers wait, the last one bounds the time until a path that is
    /// back is noticed.
    pub check_delays: [Micros; 4],
    /// Delays before the other instances are asked again about a server that does not answer; the
    /// last one repeats.
    pub question_delays: [Micros; 3],
}

impl Default for ReachConfig {
    fn default() -> Self {
        Self {
            silent_after: 2,
            stalled_after: 3,
            stall_verdict: Micros::from_millis(120),
            retention: Micros::from_secs(10),
            evidence_ttl: Micros::from_secs(5),
            enough_helpers: 2,
            max_rejections: 3,
            check_delays: [
                Micros::ZERO,
                Micros::from_millis(100),
                Micros::from_millis(250),
                Micros::from_millis(500),
            ],
            question_delays: [Micros::ZERO, Micros::from_millis(300), Micros::from_secs(1)],
        }
    }
}
