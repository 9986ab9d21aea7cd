//! Server state reported in a backend server's answers, apart from its load: whether it is leaving,
//! for how long it pauses requests, and its rate limit.

use crate::fleet::Notices;
use crate::instance::Instance;
use crate::notices::limit_note;
use crate::service::Service;
use galenapath_http::ResponseHead;
use galenapath_policy::LogLineKind;
use galenapath_policy::place::RateLimit;
use galenapath_protocol::{BackendId, Micros};
use http::StatusCode;
use http::header::{HeaderName, RETRY_AFTER};
use std::time::Duration;

/// Value of the leaving header while the server is not leaving.
const NOT_LEAVING: &str = "0";

/// What an answer responds to, and with which result. Only in the successful answer to a request
/// does a missing header mean that the server no longer states its value: rejections and errors may
/// be written by another component of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// A successful answer to a request.
    RequestSucceeded,
    /// Any other answer to a request.
    RequestFailed,
    /// An answer to a load query.
    LoadQuery,
}

impl AnswerKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::RequestSucceeded | Self::RequestFailed => "request",
            Self::LoadQuery => "question",
        }
    }
}

/// The head of an answer of the server `id`.
pub(crate) struct ServerAnswer<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) service: &'a Service,
    pub(crate) id: &'a BackendId,
    pub(crate) head: &'a ResponseHead,
    pub(crate) kind: AnswerKind,
    /// When the answered request or load query was sent.
    pub(crate) sent_at: Micros,
}

impl ServerAnswer<'_> {
    /// Applies the reported state and broadcasts updates that concern the other instances.
    pub(crate) fn apply(&self) {
        self.apply_leaving();
        self.apply_pause();
        self.apply_rate_limit();
    }

    fn apply_leaving(&self) {
        let instance = self.instance;
        let value = self.head.headers.get(&instance.names.leaving);
        let is_leaving = value.is_some_and(|value| value != NOT_LEAVING);
        if is_leaving && instance.apply_leaving(self.service, self.id, self.kind.as_str()) {
            instance.state.borrow_mut().leaving.record_direct(instance.now(), self.id);
            instance.broadcast_notices(&Notices {
                leaving: vec![self.id.hash()],
                ..Notices::default()
            });
        }
    }

    /// A server that rejects a request may state for how long it pauses. The pause applies to this
    /// instance only.
    fn apply_pause(&self) {
        if self.head.status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let Some(span) = pause(self.head) else { return };
        let (instance, id) = (self.instance, self.id);
        let is_update = self.service.placement.borrow_mut().pause(instance.now(), id, span);
        if is_update && instance.may_log(LogLineKind::Peer) {
            let (for_ms, told_by) = (span.0 / 1_000, self.kind.as_str());
            log::info!(server:% = id, for_ms, told_by; "server paused");
        }
    }

    fn apply_rate_limit(&self) {
        let instance = self.instance;
        let name = &instance.names.rate_limit;
        let per_second = rate_limit(name, self.head);
        let said_at = match (per_second, self.kind) {
            (Some(_), _) => instance.now(),
            // The server may have stated a limit since the request was sent; that one stays in
            // force.
            (None, AnswerKind::RequestSucceeded) if !self.head.headers.contains_key(name) => {
                self.sent_at
            }
            (None, _) => return,
        };
        let limit = RateLimit { per_second, stated_at: said_at };
        if instance.apply_rate_limit(self.service, self.id, limit, self.kind.as_str()) {
            let limits = vec![limit_note(instance.now(), self.id, limit)];
            instance.broadcast_notices(&Notices { limits, ..Notices::default() });
        }
    }
}

/// Time for which the server pauses requests, if it states one.
fn pause(head: &ResponseHead) -> Option<Micros> {
    let text = head.headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(Micros::from)
}

/// The server's rate limit in requests per second from all instances together, if it states one.
fn rate_limit(name: &HeaderName, head: &ResponseHead) -> Option<f64> {
    let text = head.headers.get(name)?.to_str().ok()?;
    let per_second: f64 = text.trim().parse().ok()?;
    (per_second.is_finite() && per_second >= 0.0).then_some(per_second)
}
