//! Why an attempt at a backend server, or at another instance, got no usable answer.

use galenapath_http::HttpError;
use galenapath_protocol::Verdict;

/// Why an attempt got no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The server reported that it did not run the request.
    Rejected,
    /// A different server has the address; it did not run the request.
    OtherServer,
    /// Just before the send, the server was found slow, full or closed to requests, or did not
    /// answer the load query in time.
    Unfit,
    /// The load observation is stale and the query budget for the server is spent. Such a server
    /// looks better than the others to every instance, and all have just sent requests to it.
    QueryBudgetSpent,
    /// The request has become known to crash servers, so it was not sent.
    CrashesServers,
    /// This process may end before the request does, so it was not sent.
    Stopping,
    /// The connection broke after the request was sent.
    Broken,
    /// No connection to another instance could be opened; nothing was forwarded.
    PeerUnreachable,
    /// Another instance reported that the request has not run.
    PeerRejected,
    /// Another instance reported that the request failed and may have run.
    PeerFailed,
    /// The connection to another instance broke after the request was forwarded.
    PeerLost,
    /// The answer is invalid and must not be forwarded.
    InvalidAnswer(&'static str),
}

impl AttemptError {
    /// Whether the request may have run.
    pub(crate) const fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable
            | Self::Rejected
            | Self::OtherServer
            | Self::Unfit
            | Self::QueryBudgetSpent
            | Self::CrashesServers
            | Self::Stopping
            | Self::PeerUnreachable
            | Self::PeerRejected => Verdict::NotRun,
            Self::Broken | Self::InvalidAnswer(_) | Self::PeerFailed | Self::PeerLost => {
                Verdict::MayHaveRun
            }
        }
    }

    /// Short name for logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Rejected => "refused",
            Self::OtherServer => "other_server",
            Self::Unfit => "unfit",
            Self::QueryBudgetSpent => "not_asked",
            Self::CrashesServers => "crashes_servers",
            Self::Stopping => "stopping",
            Self::Broken => "broken",
            Self::PeerUnreachable => "peer_unreachable",
            Self::PeerRejected => "peer_rejected",
            Self::PeerFailed => "peer_failed",
            Self::PeerLost => "peer_lost",
            Self::InvalidAnswer(why) => why,
        }
    }

    /// Weight of the error in the selection of servers; 1.0 is an ordinary failure.
    pub(crate) const fn weight(self) -> f32 {
        match self {
            Self::Rejected => 0.3,
            Self::Unfit
            | Self::QueryBudgetSpent
            | Self::CrashesServers
            | Self::Stopping
            | Self::PeerUnreachable
            | Self::PeerRejected
            | Self::PeerFailed
            | Self::PeerLost => 0.0,
            Self::Unreachable | Self::OtherServer | Self::Broken | Self::InvalidAnswer(_) => 1.0,
        }
    }
}

impl From<&HttpError> for AttemptError {
    fn from(e: &HttpError) -> Self {
        match e {
            HttpError::BadHead(_)
            | HttpError::BadFraming(_)
            | HttpError::HeadTooLarge { .. }
            | HttpError::BodyTooLarge { .. } => Self::InvalidAnswer("not_http"),
            _ => Self::Broken,
        }
    }
}
