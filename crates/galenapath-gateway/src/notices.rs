//! What a backend server says of itself in its answers, beside its load.

use crate::instance::Instance;
use crate::service::Service;
use galenapath_http::ResponseHead;
use galenapath_policy::LineKind;
use galenapath_policy::place::RateLimit;
use galenapath_protocol::{BackendId, Micros};
use http::header::HeaderName;

/// How far an answer speaks for its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answered {
    /// A request; what it leaves out the server no longer says.
    Request,
    /// A request, in a way that cannot be passed on; what it leaves out tells nothing.
    RequestBadly,
    /// A question; what it leaves out tells nothing.
    Question,
}

impl Answered {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Request | Self::RequestBadly => "request",
            Self::Question => "question",
        }
    }
}

/// Takes note of what the server `id` says with an answer to what was sent to it at `sent_at`.
pub(crate) fn note(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
    answered: Answered,
    sent_at: Micros,
) {
    let per_second = rate_limit(&instance.names.rate_limit, head);
    let is_named = head.headers.contains_key(&instance.names.rate_limit);
    let said_at = match (per_second, answered) {
        (Some(_), _) => instance.now(),
        // Written after the request came: a limit that was named since then holds.
        (None, Answered::Request) if !is_named => sent_at,
        (None, _) => return,
    };
    let word = RateLimit { per_second, said_at };
    if !service.placement.borrow_mut().hear_limit(id, word) {
        return;
    }
    if instance.may_log(LineKind::Peer) {
        let (told_by, limit) = (answered.as_str(), per_second.unwrap_or(0.0));
        let is_limited = per_second.is_some();
        log::info!(server:% = id, is_limited, limit, told_by; "rate limit of a server");
    }
}

/// Requests a second that the server takes from all instances together, where it names them.
fn rate_limit(name: &HeaderName, head: &ResponseHead) -> Option<f64> {
    let text = head.headers.get(name)?.to_str().ok()?;
    let per_second: f64 = text.trim().parse().ok()?;
    (per_second.is_finite() && per_second >= 0.0).then_some(per_second)
}
