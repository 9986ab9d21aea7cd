//! The attempt count of a call, sent with the request and returned with the answer in
//! [`ATTEMPT_HEADER`](galenapath_protocol::ATTEMPT_HEADER).

/// Number of attempts made on one call along the call chain, as known at one level of it.
///
/// A request carries the number of attempts so far; an answer carries the highest number that any
/// downstream level has reached. A level that merges both does not retry when the levels below it
/// have used up the attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCount {
    /// Known attempts, including the running one. At least one.
    made: u32,
}

impl AttemptCount {
    /// Creates the count from the one received with the request; zero and one both mean a first
    /// attempt.
    pub fn received(count: u32) -> Self {
        Self { made: count.max(1) }
    }

    /// Returns the count to send with the running attempt.
    pub fn made(self) -> u32 {
        self.made
    }

    /// Merges the count received with an answer.
    pub fn merge_reported(&mut self, count: u32) {
        self.made = self.made.max(count);
    }

    /// Counts the start of another attempt.
    pub fn increment(&mut self) {
        self.made = self.made.saturating_add(1);
    }
}
