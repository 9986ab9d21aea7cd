//! What admission answers.

use super::offer::Ticket;
use galenapath_protocol::Micros;

/// The answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a backend server now.
    Start,
    /// Keep the request; a [`Step`] follows.
    Wait,
    /// Answer the caller now; the request was not run.
    Reject(Rejection),
}

/// Why a request is turned away and when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: RejectReason,
    /// Time after which the caller may send the request again, from now.
    pub retry_after: Micros,
}

/// Reason for a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The queue holds as many requests as it may.
    QueueFull,
    /// The predicted wait leaves too little time for the class's target or the caller's deadline.
    WontMeetTarget,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The workspace holds more than its share of a full queue.
    OverShare,
    /// The instance is leaving and takes no new requests.
    Draining,
}

/// The final step of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the request to a backend server now.
    Start(Ticket),
    /// Answer the caller now; the request was not run.
    Reject(Ticket, Rejection),
}

impl Step {
    /// The request that the step is about.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Start(ticket) | Self::Reject(ticket, _) => *ticket,
        }
    }
}
