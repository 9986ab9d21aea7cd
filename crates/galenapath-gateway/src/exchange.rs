//! The way of one request: find a server, send, and go on elsewhere where that is allowed.

use crate::attempt::{Fault, attempt};
use crate::call::Call;
use crate::crash;
use crate::in_flight::InFlight;
use crate::instance::sleep;
use crate::reply::Reply;
use crate::waiting::NoServer;
use futures::future::{Either, select};
use galenapath_policy::place::{Entry, Wanted, copies};
use galenapath_protocol::{BackendId, Micros, Verdict};
use galenapath_routes::RouteKind;
use http::StatusCode;
use std::pin::pin;

/// Time after which a caller is told to come back where no server can be reached: about the time
/// that a crashed server takes to be left out.
const NO_SERVER_RETRY: Micros = Micros::from_millis(250);

/// Time after which a caller is told to come back whose request a server has refused although it had
/// room, and for which the retry budget is spent: others may take it at once.
const REFUSED_RETRY: Micros = Micros::from_millis(25);

/// Weight of a server's silence beside a plain failure.
const SILENCE_WEIGHT: f32 = 0.6;

/// Time left below which a request is not sent any more: it could only end late.
const LEAST_LEFT: Micros = Micros::from_millis(10);

/// A request that ends without a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) verdict: Verdict,
    /// When the caller may come back; only for what has not run.
    pub(crate) retry_after: Option<Micros>,
}

/// Serves the request until its final answer is due.
pub(crate) async fn run(call: &Call) -> Result<Reply, Failure> {
    let _trial = match crash::clear(call) {
        Ok(trial) => trial,
        Err(retry_after) => {
            let failure = ended(call, "crashes_servers", StatusCode::BAD_GATEWAY);
            return Err(Failure { retry_after: Some(retry_after), ..failure });
        }
    };
    match monoio::time::timeout(call.left().into(), try_until_final(call)).await {
        Ok(result) => result,
        Err(_) => Err(ended(call, "timeout", StatusCode::GATEWAY_TIMEOUT)),
    }
}

/// The failure that tells the truth about whether the request has run.
fn ended(call: &Call, reason: &'static str, may_have_run: StatusCode) -> Failure {
    match call.verdict() {
        Verdict::NotRun => Failure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            verdict: Verdict::NotRun,
            retry_after: Some(NO_SERVER_RETRY),
        },
        verdict => Failure { status: may_have_run, reason, verdict, retry_after: None },
    }
}

/// The failure of a request that must not be sent again after `fault`.
fn ended_by(call: &Call, fault: Option<Fault>) -> Failure {
    let reason = fault.map_or("server_error", Fault::as_str);
    let mut failure = ended(call, reason, StatusCode::BAD_GATEWAY);
    if fault == Some(Fault::Refused) {
        failure.retry_after = failure.retry_after.map(|_| REFUSED_RETRY);
    }
    failure
}

async fn try_until_final(call: &Call) -> Result<Reply, Failure> {
    // An answer that is worse than another try and better than nothing.
    let mut fallback = None;
    loop {
        let in_flight = match place(call).await {
            Ok(in_flight) => in_flight,
            Err(NoServer::Refused(refusal)) => {
                note_shortage(call);
                call.note(&format!("refused:predicted{}ms ", refusal.predicted.0 / 1_000));
                let mut failure = ended(call, "no_room", StatusCode::BAD_GATEWAY);
                failure.retry_after = failure.retry_after.map(|_| refusal.retry_after);
                return fallback.ok_or(failure);
            }
            Err(NoServer::Nowhere) => {
                note_shortage(call);
                let mut failure = ended(call, "no_server", StatusCode::BAD_GATEWAY);
                failure.retry_after =
                    failure.retry_after.map(|usual| back_in(call).unwrap_or(usual));
                return fallback.ok_or(failure);
            }
        };
        let server = in_flight.server.clone();
        call.tried.borrow_mut().push(server.clone());
        let result = match call.req.route.kind {
            RouteKind::NonIdempotent => attempt_once(call, in_flight).await,
            RouteKind::Idempotent | RouteKind::Download => attempt_copied(call, in_flight).await,
        };
        let fault = match result {
            Ok(reply) if !is_worth_another(call, &reply) => return Ok(reply),
            Ok(reply) => {
                fallback = Some(reply);
                None
            }
            Err(fault) => Some(fault),
        };
        if matches!(fault, Some(Fault::Unfit | Fault::NotAsked)) {
            call.tried.borrow_mut().retain(|tried| *tried != server);
            call.unfit.borrow_mut().push(server);
        }
        if !may_go_on(call, fault) {
            return fallback.ok_or(ended_by(call, fault));
        }
    }
}

async fn place(call: &Call) -> Result<InFlight, NoServer> {
    let began = call.instance.now();
    let req = &call.req;
    // What is known of the others is older, so that they may be better by now.
    let passed_over: Vec<BackendId> =
        call.tried.borrow().iter().chain(&*call.unfit.borrow()).cloned().collect();
    let entry = Entry {
        ticket: req.ticket,
        rank: req.route.rank,
        arrived: req.arrived,
        target: req.target_at,
        deadline: req.deadline,
        is_picky: !passed_over.is_empty(),
    };
    let is_large = req.route.kind == RouteKind::Download;
    call.service.placement.borrow_mut().assume_work(req.route.target.into());
    let wanted = Wanted { entry, tried: passed_over, is_large };
    let mut result = call.service.place(&call.instance, wanted).await;
    if matches!(result, Err(NoServer::Nowhere)) && !call.unfit.take().is_empty() {
        let wanted = Wanted { entry, tried: call.tried.borrow().clone(), is_large };
        result = call.service.place(&call.instance, wanted).await;
    }
    call.waited.set(call.waited.get() + (call.instance.now() - began));
    result
}

/// Time until a server takes the request when its caller comes back, where all have said that it is later.
fn back_in(call: &Call) -> Option<Micros> {
    let placement = call.service.placement.borrow();
    let left = placement.takes_one_in(call.instance.now(), &[])?;
    (left > Micros::ZERO).then_some(left)
}

/// Says in the log what keeps most of the servers from getting requests.
fn note_shortage(call: &Call) {
    let shortage = call.service.placement.borrow().shortage(call.instance.now());
    if let Some(shortage) = shortage {
        call.note(&format!("{} ", shortage.as_str()));
    }
}

/// Whether another server is asked although this one has answered.
fn is_worth_another(call: &Call, reply: &Reply) -> bool {
    call.req.route.kind.is_idempotent() && reply.status.is_server_error() && reply.rest.is_none()
}

/// Whether the request may be sent once more after `fault`, or after an answer without one.
fn may_go_on(call: &Call, fault: Option<Fault>) -> bool {
    let is_allowed = match fault.map(Fault::verdict) {
        Some(Verdict::NotRun) => {
            call.verdict() == Verdict::NotRun || call.req.route.kind.is_idempotent()
        }
        _ => call.req.route.kind.is_idempotent(),
    };
    if !is_allowed || call.left() < LEAST_LEFT {
        return false;
    }
    // A server that the request never went to counts neither as an attempt nor as a retry.
    if matches!(fault, Some(Fault::Unreachable | Fault::Unfit | Fault::NotAsked)) {
        return true;
    }
    call.sends() < call.req.route.max_attempts && take_retry(call)
}

pub(crate) fn take_retry(call: &Call) -> bool {
    let now = call.instance.now();
    let is_taken = call.service.retries.borrow_mut().try_retry_for(now, call.req.chance);
    if !is_taken {
        call.note("retry_budget_spent ");
    }
    is_taken
}

/// One send of a request that must not run twice. Where the server is silent for long, others are
/// told to avoid it.
async fn attempt_once(call: &Call, in_flight: InFlight) -> Result<Reply, Fault> {
    let server = in_flight.server.clone();
    let sent = pin!(attempt(call, in_flight));
    let silence = pin!(sleep(silent_after(call)));
    match select(sent, silence).await {
        Either::Left((result, _)) => result,
        Either::Right(((), sent)) => {
            note_silence(call, &server);
            sent.await
        }
    }
}

/// Sends a request that may be repeated, and a copy of it where the answer is late: the first answer
/// wins and the other send is cancelled.
async fn attempt_copied(call: &Call, in_flight: InFlight) -> Result<Reply, Fault> {
    let server = in_flight.server.clone();
    let first = pin!(attempt(call, in_flight));
    let copying = pin!(wait_for_copy(call, &server));
    let (copy, first) = match select(first, copying).await {
        Either::Left((result, _)) => return result,
        Either::Right((copy, first)) => (copy, first),
    };
    let Some(copy) = copy else { return first.await };
    call.instance.metrics.hedges.inc();
    call.note("copy ");
    let second = pin!(attempt(call, copy));
    match select(first, second).await {
        Either::Left((Ok(reply), _)) | Either::Right((Ok(reply), _)) => Ok(reply),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

/// Waits until a copy may go out, or the server is found out of reach, and places it; `None` where there is
/// none to come.
async fn wait_for_copy(call: &Call, server: &BackendId) -> Option<InFlight> {
    let work = call.service.placement.borrow().work();
    let early = copies::early_after(work, call.left_for_target());
    let late = copies::late_after(work);
    let is_lost = call.service.lost_within(server, early).await;
    let is_ample = call.service.retries.borrow_mut().is_ample(call.instance.now());
    if (is_lost || is_ample)
        && let Some(copy) = place_copy(call)
    {
        return Some(copy);
    }
    call.service.lost_within(server, late - early).await;
    if let Some(copy) = place_copy(call) {
        return Some(copy);
    }
    sleep(copies::silent_after(work) - late).await;
    note_silence(call, server);
    place_copy(call)
}

fn place_copy(call: &Call) -> Option<InFlight> {
    let has_time = call.left() > LEAST_LEFT;
    if !has_time || call.sends() >= call.req.route.max_attempts {
        return None;
    }
    let is_large = call.req.route.kind == RouteKind::Download;
    let tried = call.tried.borrow().clone();
    let copy = call.service.place_copy(&call.instance, &tried, is_large)?;
    if !take_retry(call) {
        return None;
    }
    call.tried.borrow_mut().push(copy.server.clone());
    Some(copy)
}

fn silent_after(call: &Call) -> Micros {
    copies::silent_after(call.service.placement.borrow().work())
}

fn note_silence(call: &Call, server: &BackendId) {
    let now = call.instance.now();
    call.service.placement.borrow_mut().failed(now, server, SILENCE_WEIGHT);
    call.instance.share_failure(&call.service, server, SILENCE_WEIGHT);
    call.note("silent ");
}
