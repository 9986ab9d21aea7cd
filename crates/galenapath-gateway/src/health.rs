//! Asking a backend server for its load.

use crate::instance::Instance;
use crate::reply;
use crate::said::{Answer, Answered};
use crate::service::Service;
use crate::usage::Flow;
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimes, HttpError, ResponseHead, put_request,
    response_framing,
};
use galenapath_policy::LineKind;
use galenapath_policy::place::LoadObservation;
use galenapath_protocol::{BackendId, Micros};
use http::header::{HOST, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use std::time::Duration;

/// Largest head of an answer, in bytes.
pub(crate) const HEAD_LIMIT: usize = 8 * 1024;

/// Times for an answer; whoever asks sets a shorter limit.
const TIMES: HeadTimes = HeadTimes { idle: Duration::from_secs(1), head: Duration::from_secs(1) };

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// What a backend server said.
pub(crate) struct Health {
    /// Its load, where it tells.
    pub(crate) sighting: Option<LoadObservation>,
    /// Whether another server has the address.
    pub(crate) is_other: bool,
    /// The connection, where it can be used again.
    pub(crate) connection: Option<Connection>,
    /// Idle time after which the server closes it, where it says.
    pub(crate) stated_idle: Option<Micros>,
}

/// Asks the server behind `connection` and takes note of what it says. Its status is not believed:
/// servers that are well may say that they are not, and the reverse.
pub(crate) async fn ask(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    mut connection: Connection,
) -> Result<Health, HttpError> {
    let mut headers = HeaderMap::new();
    if let Some(host) = host(service, id) {
        headers.insert(HOST, host);
    }
    let path = service.spec.borrow().health_path.clone();
    // An instance that waits for its processor reads the answer late: what it says was true when the
    // question went out at the earliest.
    let asked_at = instance.now();
    put_request(connection.output(), &Method::GET, &path, &headers, &[], Framing::None);
    connection.flush().await?;
    let head = connection.read_response(TIMES).await?;
    let framing = response_framing(&Method::GET, head.status, &head.headers)?;
    let mut body = BodyState::new(framing);
    while connection.read_body(&mut body).await?.is_some() {}
    instance.usage.count(Flow::Question, service.is_home(id), connection.take_carried());
    service.placement.borrow_mut().mark_reachable(id);
    let is_other = is_other(instance, service, id, &head);
    if !is_other {
        note_warmth(instance, service, id, &head);
        let (head, answered, sent_at) = (&head, Answered::Question, asked_at);
        Answer { instance, service, id, head, answered, sent_at }.note();
    }
    let closes = reply::closes(&head.headers) || framing == Framing::UntilClose;
    let is_clean = !closes && !connection.has_unread();
    Ok(Health {
        sighting: note(instance, service, id, &head, asked_at),
        is_other,
        connection: is_clean.then_some(connection),
        stated_idle: reply::stated_idle(&head.headers),
    })
}

fn host(service: &Service, id: &BackendId) -> Option<HeaderValue> {
    HeaderValue::from_str(&service.address(id)?.to_string()).ok()
}

fn is_other(instance: &Instance, service: &Service, id: &BackendId, head: &ResponseHead) -> bool {
    let told = head.headers.get(&instance.names.server_id);
    let listed = service.listed_id(id);
    let is_other = told.is_some_and(|told| listed.is_none_or(|listed| told != &*listed.0))
        || head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_other {
        log::info!(server:% = id; "another server has the address");
        service.placement.borrow_mut().mark_leaving(id);
    }
    is_other
}

/// Takes note of how much longer the server stays cold, where it says so, and tells others what is news.
fn note_warmth(instance: &Instance, service: &Service, id: &BackendId, head: &ResponseHead) {
    let told = head.headers.get(&instance.names.cold_ms).and_then(|value| value.to_str().ok());
    let told_ms = told.and_then(|text| text.trim().parse::<f64>().ok());
    // No time at all, or one that no clock holds, tells nothing.
    let left = told_ms.and_then(|ms| Duration::try_from_secs_f64(ms / MS_PER_S).ok());
    let Some(left) = left.map(Micros::from) else { return };
    let news = service.placement.borrow_mut().set_cold(instance.now(), id, left);
    let Some(cold_until) = news else { return };
    instance.share_warmth(service, id, cold_until);
    if instance.may_log(LineKind::Peer) {
        let cold_ms = left.0 / 1_000;
        log::info!(server:% = id, cold_ms; "server cold or warm");
    }
}

/// Takes note of the load that comes with the answer to a question and was true at `at`, and tells others
/// what is news.
fn note(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
    at: Micros,
) -> Option<LoadObservation> {
    let sighting = read(instance, head, at)?;
    if service.see(instance, id, sighting) {
        instance.share_load(service, id, sighting);
    }
    Some(sighting)
}

/// Takes note of the load that comes with the answer to a request; returns it where it is news. The
/// others are told once it is clear whether a request that waits here takes the slot.
pub(crate) fn note_answer(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
) -> Option<LoadObservation> {
    service.placement.borrow_mut().mark_reachable(id);
    let sighting = read(instance, head, instance.now())?;
    service.see(instance, id, sighting).then_some(sighting)
}

fn read(instance: &Instance, head: &ResponseHead, at: Micros) -> Option<LoadObservation> {
    let text = head.headers.get(&instance.names.load)?.to_str().ok()?;
    Some(LoadObservation { at, report: instance.dialect.load(text)? })
}
