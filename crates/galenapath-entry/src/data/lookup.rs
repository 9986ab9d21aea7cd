//! Serving idempotent requests: lookups, and transfers whose request body is buffered.

use super::answer::OwnAnswer;
use super::attempt::{AttemptError, outcome_of};
use super::call::Call;
use super::caller::Caller;
use super::dispatch::{Dispatch, Served};
use super::open::Phase;
use super::permit::Permit;
use super::prepare::Prepared;
use super::relay::AnswerMeta;
use super::{error_answers, relay};
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{HttpError, RequestHead};
use galenapath_policy::{BackendHandle, Outcome};
use galenapath_protocol::Verdict;
use std::pin::pin;

/// Serves an idempotent request.
pub(super) async fn serve(
    call: &Call,
    caller: &mut Caller,
    head: RequestHead,
    body: Bytes,
) -> Result<(), HttpError> {
    let req = Prepared::new(&call.plane, &call.meta, head, body);
    let result = {
        let work = pin!(run(call, &req));
        let caller_closed = pin!(caller.gone());
        match select(work, caller_closed).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    match result {
        None => {
            call.plane.shared.metrics.count_fault("caller_gone");
            call.record_end(0, Verdict::MayHaveRun, "the caller went away");
            Err(HttpError::Truncated)
        }
        Some(Ok((permit, served))) => relay(call, caller, permit, served).await,
        Some(Err(answer)) => call.end_with(caller, &answer).await,
    }
}

async fn relay(
    call: &Call,
    caller: &mut Caller,
    permit: Permit,
    served: Served,
) -> Result<(), HttpError> {
    call.observe_latency();
    call.open.set_phase(Phase::Answering);
    let status = served.reply.status;
    let outcome = outcome_of(status);
    let answer_meta = AnswerMeta::answered(call, &served.backend);
    // A buffered answer releases the backend server now, a large one after its last byte.
    let held = if served.reply.rest.is_none() {
        served.in_flight.finish(outcome);
        permit.finish(outcome);
        None
    } else {
        Some((served.in_flight, permit))
    };
    let sent = relay::send(caller, &answer_meta, served.reply).await;
    if let Some((in_flight, permit)) = held {
        let outcome = if sent.is_ok() { outcome } else { Outcome::Cancelled };
        in_flight.finish(outcome);
        permit.finish(outcome);
    }
    let reason = if sent.is_ok() { "answered" } else { "the answer broke off" };
    call.record_end(status.as_u16(), Verdict::Answered, reason);
    sent
}

/// Waits for admission and tries backend servers until one answers or no retry is allowed.
async fn run(call: &Call, req: &Prepared) -> Result<(Permit, Served), OwnAnswer> {
    let dispatch = Dispatch::new(call, req)?;
    let permit = Permit::acquire(call)
        .await
        .map_err(|rejection| error_answers::admission_rejected(&rejection))?;
    // The wait may have taken long. What is admitted is not sent, so it takes no server's time.
    if !call.ends_in_time() {
        permit.finish(Outcome::Cancelled);
        return Err(error_answers::stopping());
    }
    match try_until_answered(&dispatch, &permit).await {
        Ok(served) => Ok((permit, served)),
        Err(failure) => {
            permit.finish(failure.outcome);
            dispatch.wait_for_peers().await;
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
        let Some(handle) = dispatch.choose() else {
            return Err(Unanswered {
                answer: error_answers::no_backend(ran),
                outcome: Outcome::Shed,
            });
        };
        match try_hedged(dispatch, permit, handle).await {
            Ok(served) => {
                // A server error is retried, but is relayed if no retry is allowed.
                let is_final = !served.reply.status.is_server_error()
                    || served.reply.rest.is_some()
                    || !dispatch.try_retry(Verdict::MayHaveRun);
                if is_final {
                    return Ok(served);
                }
                served.in_flight.finish(Outcome::FastFailure);
                ran = Verdict::MayHaveRun;
            }
            Err(error) => {
                if !dispatch.try_retry(error.verdict()) {
                    let answer = error_answers::failed(&error, ran);
                    return Err(Unanswered { answer, outcome: error.outcome() });
                }
                ran = error_answers::worse(ran, error.verdict());
            }
        }
    }
}

/// Tries the backend server `handle`, and hedges with a second one if the first is slower than
/// most. The first answer is returned; the other attempt is cancelled, which closes its connection.
async fn try_hedged(
    dispatch: &Dispatch<'_>,
    permit: &Permit,
    handle: BackendHandle,
) -> Result<Served, AttemptError> {
    let started = dispatch.call.plane.now();
    let first = pin!(dispatch.attempt(permit, handle, || Ok(())));
    let Some(delay) = dispatch.hedge_delay() else { return first.await };
    let first = match select(first, pin!(monoio::time::sleep(delay))).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), first)) => first,
    };
    if !dispatch.try_hedge(started) {
        return first.await;
    }
    let Some(other) = dispatch.choose().filter(|other| *other != handle) else {
        return first.await;
    };
    let second = pin!(dispatch.attempt(permit, other, || Ok(())));
    match select(first, second).await {
        Either::Left((Ok(served), _)) | Either::Right((Ok(served), _)) => Ok(served),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}
