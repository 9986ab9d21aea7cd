//! The count of attempts that travels with a call and back with its answer, in
//! [`ATTEMPT_HEADER`](galenapath_protocol::ATTEMPT_HEADER).

/// Attempts made on one call, as one instance in the chain knows them.
///
/// A call carries the count of attempts so far; an answer carries the highest count that any level
/// below has reached. A level that takes both in never repeats what the level below has used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCount {
    /// Attempts known so far, the running one included. At least one.
    made: u32,
}

impl AttemptCount {
    /// The count that came with the call; zero and one both mean a first attempt.
    pub fn received(count: u32) -> Self {
        Self { made: count.max(1) }
    }

    /// The count to send along with the running attempt.
    pub fn made(self) -> u32 {
        self.made
    }

    /// Takes in the count that came back with an answer.
    pub fn reported(&mut self, count: u32) {
        self.made = self.made.max(count);
    }

    /// Notes that a further attempt starts.
    pub fn again(&mut self) {
        self.made = self.made.saturating_add(1);
    }
}
