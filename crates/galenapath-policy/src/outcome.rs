//! How a request that was sent to a backend server ended.

/// How a request on a backend server ended, as the instance observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A complete answer was received.
    Answered,
    /// The backend server rejected the request without running it.
    Shed,
    /// An error or a closed connection, faster than the work could have been done; it is no sign of
    /// spare capacity.
    FastFailure,
    /// The connection was lost or the answer was incomplete.
    Failure,
    /// No answer arrived within the time allowed.
    TimedOut,
    /// The caller disconnected, or another attempt was answered first.
    Cancelled,
}
