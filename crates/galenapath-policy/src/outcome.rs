//! How a request that was sent to a backend server ended.

/// The end of one request on a backend server, as the instance saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A complete answer came back.
    Answered,
    /// The backend server turned the request away because of its own load.
    Shed,
    /// A failure that came sooner than work takes; says nothing about spare capacity.
    FastFailure,
    /// Any other failure.
    Failure,
    /// No answer within the time allowed.
    TimedOut,
    /// The caller went away first.
    Cancelled,
}
