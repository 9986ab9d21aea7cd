//! Requests that may run more than once: lookups and transfers whose request body is at hand.

use super::answer::OwnAnswer;
use super::attempt::{Fault, outcome_of};
use super::call::Call;
use super::caller::Caller;
use super::dispatch::{Dispatch, Served};
use super::permit::Permit;
use super::prepare::Prepared;
use super::relay::Told;
use super::{refusal, relay};
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{HttpError, RequestHead};
use galenapath_policy::{BackendHandle, Outcome};
use galenapath_protocol::Verdict;
use std::pin::pin;

/// Serves a request that may run more than once.
pub(super) async fn serve(
    call: &Call,
    caller: &mut Caller,
    head: RequestHead,
    body: Bytes,
) -> Result<(), HttpError> {
    let req = Prepared::new(&call.plane, &call.meta, head, body);
    let result = {
        let work = pin!(run(call, &req));
        let gone = pin!(caller.connection.closed());
        match select(work, gone).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    match result {
        None => {
            call.plane.shared.metrics.fault("caller_gone");
            call.ended(0, Verdict::MayHaveRun, "the caller went away");
            Err(HttpError::Truncated)
        }
        Some(Ok((permit, served))) => relay(call, caller, permit, served).await,
        Some(Err(answer)) => call.refuse(caller, &answer).await,
    }
}

async fn relay(
    call: &Call,
    caller: &mut Caller,
    permit: Permit,
    served: Served,
) -> Result<(), HttpError> {
    call.observe_latency();
    let status = served.reply.status;
    let outcome = outcome_of(status);
    let told = Told::answered(call, &served.backend);
    // A whole answer frees the backend server now; a large one when its last byte has come.
    let held = if served.reply.rest.is_none() {
        served.in_flight.finish(outcome);
        permit.finish(outcome);
        None
    } else {
        Some((served.in_flight, permit))
    };
    let sent = relay::send(caller, &told, served.reply).await;
    if let Some((in_flight, permit)) = held {
        let outcome = if sent.is_ok() { outcome } else { Outcome::Cancelled };
        in_flight.finish(outcome);
        permit.finish(outcome);
    }
    let reason = if sent.is_ok() { "answered" } else { "the answer broke off" };
    call.ended(status.as_u16(), Verdict::Answered, reason);
    sent
}

/// Lets the request in and tries backend servers until one answers or the rules end it.
async fn run(call: &Call, req: &Prepared) -> Result<(Permit, Served), OwnAnswer> {
    let dispatch = Dispatch::new(call, req)?;
    let permit = Permit::acquire(call).await.map_err(|rejection| refusal::turn_away(&rejection))?;
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
async fn try_hedged(
    dispatch: &Dispatch<'_>,
    permit: &Permit,
    slot: BackendHandle,
) -> Result<Served, Fault> {
    let started = dispatch.call.plane.now();
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
