//! What a backend server says of itself in an answer, beside its load: that it leaves, for how long it wants
//! nothing, and how many requests a second it takes.

use crate::fleet::Notices;
use crate::instance::Instance;
use crate::notices::limit_note;
use crate::service::Service;
use galenapath_http::ResponseHead;
use galenapath_policy::LineKind;
use galenapath_policy::place::RateLimit;
use galenapath_protocol::{BackendId, Micros};
use http::StatusCode;
use http::header::{HeaderName, RETRY_AFTER};
use std::time::Duration;

/// What a server says that does not leave, where it says anything.
const NOT_LEAVING: &str = "0";

/// What an answer is to, and how. Only one with success shows by what it leaves out that the server no longer
/// says it: refusals and failures may be written by another part of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answered {
    /// A request, with success.
    Request,
    /// A request, in any other way.
    RequestFailed,
    /// A question.
    Question,
}

impl Answered {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Request | Self::RequestFailed => "request",
            Self::Question => "question",
        }
    }
}

/// The head of an answer of the server `id`.
pub(crate) struct Answer<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) service: &'a Service,
    pub(crate) id: &'a BackendId,
    pub(crate) head: &'a ResponseHead,
    pub(crate) answered: Answered,
    /// When that was sent which it answers.
    pub(crate) sent_at: Micros,
}

impl Answer<'_> {
    /// Takes note of what the server says, and tells the other instances what is news to them as well.
    pub(crate) fn note(&self) {
        self.note_leaving();
        self.note_pause();
        self.note_rate_limit();
    }

    fn note_leaving(&self) {
        let instance = self.instance;
        let told = self.head.headers.get(&instance.names.leaving);
        let is_leaving = told.is_some_and(|told| told != NOT_LEAVING);
        if is_leaving && instance.hear_leaving(self.service, self.id, self.answered.as_str()) {
            instance.state.borrow_mut().leaving.heard(instance.now(), self.id);
            instance.tell(&Notices { leaving: vec![self.id.hash()], ..Notices::default() });
        }
    }

    /// A server that turns something away says for how long it wants nothing from this instance alone.
    fn note_pause(&self) {
        if self.head.status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let Some(span) = pause(self.head) else { return };
        let (instance, id) = (self.instance, self.id);
        let is_news = self.service.placement.borrow_mut().pause(instance.now(), id, span);
        if is_news && instance.may_log(LineKind::Peer) {
            let (for_ms, told_by) = (span.0 / 1_000, self.answered.as_str());
            log::info!(server:% = id, for_ms, told_by; "server wants nothing");
        }
    }

    fn note_rate_limit(&self) {
        let instance = self.instance;
        let name = &instance.names.rate_limit;
        let per_second = rate_limit(name, self.head);
        let said_at = match (per_second, self.answered) {
            (Some(_), _) => instance.now(),
            // Written after the request came: a limit that was named since then holds.
            (None, Answered::Request) if !self.head.headers.contains_key(name) => self.sent_at,
            (None, _) => return,
        };
        let word = RateLimit { per_second, stated_at: said_at };
        if instance.hear_limit(self.service, self.id, word, self.answered.as_str()) {
            let limits = vec![limit_note(instance.now(), self.id, word)];
            instance.tell(&Notices { limits, ..Notices::default() });
        }
    }
}

/// Time for which the server wants nothing, where it says so.
fn pause(head: &ResponseHead) -> Option<Micros> {
    let text = head.headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(Micros::from)
}

/// Requests a second that the server takes from all instances together, where it names them.
fn rate_limit(name: &HeaderName, head: &ResponseHead) -> Option<f64> {
    let text = head.headers.get(name)?.to_str().ok()?;
    let per_second: f64 = text.trim().parse().ok()?;
    (per_second.is_finite() && per_second >= 0.0).then_some(per_second)
}
