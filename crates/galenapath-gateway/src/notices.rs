//! What a backend server says of itself in its answers, beside its load, and what instances tell each other
//! of it.
//!
//! Whoever hears something new tells all instances that serve callers at once. One of them tells it again now
//! and then, for those that have missed it or have begun to serve since.

use crate::fleet::{self, Datagram, LimitNote, Notices};
use crate::instance::{Instance, sleep_to_next};
use crate::probe;
use crate::service::Service;
use crate::usage::Flow;
use galenapath_http::ResponseHead;
use galenapath_policy::LineKind;
use galenapath_policy::place::RateLimit;
use galenapath_protocol::{BackendId, Micros};
use http::StatusCode;
use http::header::{HeaderName, RETRY_AFTER};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two tellings of what is no news.
const TELL_AGAIN: Micros = Micros::from_secs(2);

/// Most notes in one datagram, so that it fits one packet.
const MOST_NOTES: usize = 50;

/// What a server says that does not leave, where it says anything.
const NOT_LEAVING: &str = "0";

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
    note_leaving(instance, service, id, head, answered);
    note_pause(instance, service, id, head, answered);
    note_rate_limit(instance, service, id, head, answered, sent_at);
}

/// Takes note of a server that has turned something away and says for how long it wants nothing. That holds
/// for this instance alone.
fn note_pause(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
    answered: Answered,
) {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let Some(span) = pause(head) else { return };
    let is_news = service.placement.borrow_mut().pause(instance.now(), id, span);
    if is_news && instance.may_log(LineKind::Peer) {
        let (for_ms, told_by) = (span.0 / 1_000, answered.as_str());
        log::info!(server:% = id, for_ms, told_by; "server wants nothing");
    }
}

/// Time for which the server wants nothing, where it says so.
fn pause(head: &ResponseHead) -> Option<Micros> {
    let text = head.headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(Micros::from)
}

/// Takes note of the rate limit that a server names, or of its end.
fn note_rate_limit(
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
    if instance.hear_limit(service, id, word, answered.as_str()) {
        let limits = vec![limit_note(instance.now(), id, word)];
        instance.tell(&Notices { limits, ..Notices::default() });
    }
}

/// Takes note of a server that says that it leaves.
fn note_leaving(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
    answered: Answered,
) {
    let told = head.headers.get(&instance.names.leaving);
    let is_leaving = told.is_some_and(|told| told != NOT_LEAVING);
    if is_leaving && instance.hear_leaving(service, id, answered.as_str()) {
        instance.state.borrow_mut().leaving.heard(instance.now(), id);
        instance.tell(&Notices { leaving: vec![id.hash()], ..Notices::default() });
    }
}

/// Requests a second that the server takes from all instances together, where it names them.
fn rate_limit(name: &HeaderName, head: &ResponseHead) -> Option<f64> {
    let text = head.headers.get(name)?.to_str().ok()?;
    let per_second: f64 = text.trim().parse().ok()?;
    (per_second.is_finite() && per_second >= 0.0).then_some(per_second)
}

fn limit_note(now: Micros, id: &BackendId, word: RateLimit) -> LimitNote {
    let RateLimit { per_second, said_at } = word;
    LimitNote { server: id.hash(), per_second, age: now - said_at }
}

impl Instance {
    /// Takes in what a server said of its rate limit; returns whether it is news.
    fn hear_limit(
        &self,
        service: &Service,
        id: &BackendId,
        word: RateLimit,
        told_by: &'static str,
    ) -> bool {
        if !service.placement.borrow_mut().hear_limit(self.now(), id, word) {
            return false;
        }
        probe::share_scarce(self);
        if self.may_log(LineKind::Peer) {
            let (is_limited, limit) = (word.per_second.is_some(), word.per_second.unwrap_or(0.0));
            log::info!(server:% = id, is_limited, limit, told_by; "rate limit of a server");
        }
        true
    }

    /// Takes in that a server leaves; returns whether it is news.
    fn hear_leaving(&self, service: &Service, id: &BackendId, told_by: &'static str) -> bool {
        if !self.state.borrow_mut().leaving.add(self.now(), id) {
            return false;
        }
        service.placement.borrow_mut().mark_leaving(id);
        if self.may_log(LineKind::Peer) {
            log::info!(server:% = id, told_by; "server says that it leaves");
        }
        true
    }

    /// Takes in what another instance has heard from servers.
    pub(crate) fn take_notices(&self, notices: &Notices) {
        let now = self.now();
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            for note in &notices.limits {
                let Some(id) = service.by_hash(note.server) else { continue };
                let word = RateLimit { per_second: note.per_second, said_at: now - note.age };
                self.hear_limit(&service, &id, word, "peer");
            }
            for id in notices.leaving.iter().filter_map(|hash| service.by_hash(*hash)) {
                self.hear_leaving(&service, &id, "peer");
            }
        }
    }

    /// Tells the instances that serve callers what servers have said.
    fn tell(&self, notices: &Notices) {
        if notices.is_empty() {
            return;
        }
        let to: Vec<SocketAddr> = {
            let beats = self.beats.borrow();
            let serving = beats.peers().filter(|p| p.is_up() && p.vitals.serves_callers);
            serving.map(|peer| peer.member.peers).collect()
        };
        for part in split(notices) {
            let datagram = fleet::encode(&Datagram::Notices(part));
            to.iter().for_each(|address| self.send(*address, &datagram, Flow::Loads));
        }
    }

    /// What falls to this instance to be told again.
    fn told_again(&self) -> Notices {
        let now = self.now();
        let leaving =
            self.state.borrow_mut().leaving.told_again(now).map(BackendId::hash).collect();
        let mut notices = Notices { leaving, ..Notices::default() };
        for service in self.services.borrow().values() {
            let limits = service.placement.borrow().limits_told_again(now);
            notices.limits.extend(limits.iter().map(|(id, word)| limit_note(now, id, *word)));
        }
        notices
    }
}

/// The notices in parts that fit a datagram each.
fn split(notices: &Notices) -> Vec<Notices> {
    let limits = notices.limits.chunks(MOST_NOTES);
    let limits = limits.map(|part| Notices { limits: part.to_vec(), ..Notices::default() });
    let leaving = notices.leaving.chunks(MOST_NOTES);
    let leaving = leaving.map(|part| Notices { leaving: part.to_vec(), ..Notices::default() });
    limits.chain(leaving).collect()
}

/// Tells now and then what servers have said and is no news any more, for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        sleep_to_next(&instance, TELL_AGAIN).await;
        instance.tell(&instance.told_again());
    }
}
