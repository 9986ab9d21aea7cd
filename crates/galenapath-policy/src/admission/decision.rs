//! Decisions of admission control.

use super::offer::Ticket;
use galenapath_protocol::Micros;

/// The decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a backend server now.
    Start,
    /// Keep the request in the queue; a [`QueuedDecision`] follows.
    Wait,
    /// Answer the caller now; the request was not run.
    Reject(Rejection),
}

/// Why a request is rejected and when the caller may send it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: RejectReason,
    /// Time from now after which the caller may send the request again.
    pub retry_after: Micros,
}

/// Reason for a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The queue is full.
    QueueFull,
    /// The predicted wait is too long for the class's target or the caller's deadline.
    WontMeetTarget,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The workspace has more than its share of the queued requests while requests have to be
    /// rejected.
    OverShare,
    /// The instance is draining and accepts no new requests.
    Draining,
}

/// The final decision on a request that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuedDecision {
    /// Send the request to a backend server now.
    Start(Ticket),
    /// Answer the caller now; the request was not run.
    Reject(Ticket, Rejection),
}

impl QueuedDecision {
    /// Returns the ticket of the request.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Start(ticket) | Self::Reject(ticket, _) => *ticket,
        }
    }
}
