//! Requests that may run more than once: lookups and transfers whose request body is at hand.

use super::answer::OwnAnswer;
use super::attempt::Fault;
use super::caller::Caller;
use super::dispatch::{Dispatch, Served};
use super::ending::{observe_latency, outcome_of, refuse, remember};
use super::explain::Trace;
use super::permit::Permit;
use super::plane::DataPlane;
use super::prepare::Prepared;
use super::relay::Told;
use super::request::RequestMeta;
use super::service::Service;
use super::{refusal, relay};
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{HttpError, RequestHead};
use galenapath_policy::{Outcome, Slot};
use galenapath_protocol::Verdict;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

/// Serves a request that may run more than once.
pub(super) async fn serve(
    plane: &Rc<DataPlane>,
    caller: &mut Caller,
    service: &Rc<Service>,
    meta: &RequestMeta,
    head: RequestHead,
    body: Bytes,
) -> Result<(), HttpError> {
    let req = Prepared::new(plane, meta, head, body);
    let trace = RefCell::new(Trace::new(meta.id));
    let result = {
        let work = pin!(run(plane, service, meta, &req, &trace));
        let gone = pin!(caller.connection.closed());
        match select(work, gone).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    let trace = trace.into_inner();
    match result {
        None => {
            plane.shared.metrics.fault("caller_gone");
            remember(plane, meta, trace, 0, Verdict::MayHaveRun, "the caller went away");
            Err(HttpError::Truncated)
        }
        Some(Ok((permit, served))) => relay(plane, caller, meta, trace, permit, served).await,
        Some(Err(answer)) => refuse(plane, caller, meta, trace, &answer).await,
    }
}

async fn relay(
    plane: &Rc<DataPlane>,
    caller: &mut Caller,
    meta: &RequestMeta,
    trace: Trace,
    permit: Permit,
    served: Served,
) -> Result<(), HttpError> {
    let status = served.reply.status;
    observe_latency(plane, meta);
    // A whole answer frees the backend server now; a large one when its last byte has come.
    let is_whole = served.reply.rest.is_none();
    let outcome = outcome_of(status);
    let held = if is_whole {
        served.in_flight.finish(outcome);
        permit.finish(outcome);
        None
    } else {
        Some((served.in_flight, permit))
    };
    let told = Told {
        id: meta.id,
        backend: &served.backend,
        verdict: Verdict::Answered,
        attempts: trace.attempts,
    };
    let sent = relay::send(caller, &told, served.reply).await;
    if let Some((in_flight, permit)) = held {
        let outcome = if sent.is_ok() { outcome } else { Outcome::Cancelled };
        in_flight.finish(outcome);
        permit.finish(outcome);
    }
    let reason = if sent.is_ok() { "answered" } else { "the answer broke off" };
    remember(plane, meta, trace, status.as_u16(), Verdict::Answered, reason);
    sent
}

/// Lets the request in and tries backend servers until one answers or the rules end it.
async fn run(
    plane: &Rc<DataPlane>,
    service: &Rc<Service>,
    meta: &RequestMeta,
    req: &Prepared,
    trace: &RefCell<Trace>,
) -> Result<(Permit, Served), OwnAnswer> {
    let dispatch = Dispatch::new(plane, service, meta, req, trace)?;
    let permit = Permit::acquire(plane, service, meta)
        .await
        .map_err(|rejection| refusal::turn_away(&rejection))?;
    trace.borrow_mut().waited = permit.waited;
    service.state.borrow_mut().retries.first_try(plane.now());
    match try_until_answered(&dispatch, &permit).await {
        Ok(served) => Ok((permit, served)),
        Err(failure) => {
            permit.finish(failure.outcome);
            dispatch.peers_told().await;
            Err(failure.answer)
        }
    }
}

/// A request that no backend server answered.
struct Unanswered {
    answer: OwnAnswer,
    outcome: Outcome,
}

async fn try_until_answered(
    dispatch: &Dispatch<'_>,
    permit: &Permit,
) -> Result<Served, Unanswered> {
    let mut ran = Verdict::NotRun;
    loop {
        let Some(slot) = dispatch.choose() else {
            return Err(Unanswered { answer: refusal::no_backend(ran), outcome: Outcome::Shed });
        };
        match try_hedged(dispatch, permit, slot).await {
            Ok(served) => {
                // A server that fails fast is tried past, but its answer is an answer.
                let is_final = !served.reply.status.is_server_error()
                    || served.reply.rest.is_some()
                    || !dispatch.may_go_on(Verdict::MayHaveRun);
                if is_final {
                    return Ok(served);
                }
                served.in_flight.finish(Outcome::FastFailure);
                ran = Verdict::MayHaveRun;
            }
            Err(fault) => {
                if !dispatch.may_go_on(fault.verdict()) {
                    let answer = refusal::failed(&fault, ran);
                    return Err(Unanswered { answer, outcome: fault.outcome() });
                }
                ran = refusal::worst(ran, fault.verdict());
            }
        }
    }
}

/// Tries the backend server in `slot`, and a second one when the first is slower than most: the
/// first answer wins and the other attempt is cancelled, which closes its connection.
async fn try_hedged(dispatch: &Dispatch<'_>, permit: &Permit, slot: Slot) -> Result<Served, Fault> {
    let started = dispatch.plane.now();
    let first = pin!(dispatch.attempt(permit, slot, || true));
    let Some(delay) = dispatch.hedge_delay() else { return first.await };
    let first = match select(first, pin!(monoio::time::sleep(delay))).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), first)) => first,
    };
    if !dispatch.may_hedge(started) {
        return first.await;
    }
    let Some(other) = dispatch.choose().filter(|other| *other != slot) else {
        return first.await;
    };
    let second = pin!(dispatch.attempt(permit, other, || true));
    match select(first, second).await {
        Either::Left((Ok(served), _)) | Either::Right((Ok(served), _)) => Ok(served),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}
