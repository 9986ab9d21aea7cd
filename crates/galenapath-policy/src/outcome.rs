//! How a request that was sent to a backend server ended.

/// The end of one request on a backend server, as the instance saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A complete answer came back.
    Answered,
    /// The backend server refused the request without running it.
    Shed,
    /// An error, or a close, faster than work can be done; says nothing about spare capacity.
    FastFailure,
    /// The connection or the answer broke off.
    Failure,
    /// No answer within the time allowed.
    TimedOut,
    /// The caller went away, or another try answered first.
    Cancelled,
}
