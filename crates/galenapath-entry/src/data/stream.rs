//! Serving requests with large bodies, which are streamed to the backend server as they arrive.
//!
//! Such a request is never retried, because its body is not kept.

use super::attempt::{
    AttemptError, Reply, Rest, Target, apply_report, can_reuse, outcome_of, read_final_head,
    time_left,
};
use super::call::Call;
use super::caller::Caller;
use super::error_answers;
use super::open::Phase;
use super::permit::{InFlight, Permit};
use super::prepare::Prepared;
use super::relay::{self, AnswerMeta, with_idle_timeout};
use super::request_body::read_piece;
use super::throttle::StreamThrottle;
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{BodyState, HttpError, RequestHead, put_request, response_framing};
use galenapath_policy::Outcome;
use galenapath_protocol::Verdict;
use std::pin::pin;

/// Maximum time to connect to a backend server.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_200);

/// Serves a request whose body is streamed; `start` is the part of it that was read already.
pub(super) async fn serve(
    call: &Call,
    caller: &mut Caller,
    head: RequestHead,
    start: Bytes,
    state: BodyState,
) -> Result<(), HttpError> {
    // The connection is closed if the request is rejected, because the rest of the body stays
    // unread.
    let keep_alive = std::mem::replace(&mut caller.keep_alive, false);
    let Call { plane, service, meta, open, trace } = call;
    let req = Prepared::new(plane, meta, head, Bytes::new());
    let permit = match Permit::acquire(call).await {
        Ok(permit) => permit,
        Err(rejection) => {
            return call.end_with(caller, &error_answers::admission_rejected(&rejection)).await;
        }
    };
    let chosen = service.state.borrow_mut().balancer.choose(plane.now(), &[]);
    let Some((handle, backend)) = chosen.and_then(|s| Some((s, service.backend(s)?))) else {
        permit.finish(Outcome::Shed);
        return call.end_with(caller, &error_answers::no_backend(Verdict::NotRun)).await;
    };
    let in_flight = InFlight::start(&permit, handle);
    trace.borrow_mut().attempt_count = meta.attempts.max(1);
    let target = Target { plane, service, handle, backend: &backend, deadline: meta.deadline };
    match send(&target, caller, call, &req, start, state).await {
        Ok(reply) => {
            caller.keep_alive = keep_alive;
            trace.borrow_mut().record_answer(&backend.id, reply.status);
            call.observe_latency();
            open.set_phase(Phase::Answering);
            let (status, outcome) = (reply.status, outcome_of(reply.status));
            let sent = relay::send(caller, &AnswerMeta::answered(call, &backend.id), reply).await;
            in_flight.finish(outcome);
            permit.finish(outcome);
            call.record_end(status.as_u16(), Verdict::Answered, "answered");
            sent
        }
        Err(error) => {
            trace.borrow_mut().record_failure(&backend.id, &error);
            in_flight.finish(error.outcome());
            permit.finish(error.outcome());
            call.end_with(caller, &error_answers::failed(&error, Verdict::NotRun)).await
        }
    }
}

async fn send(
    target: &Target<'_>,
    caller: &mut Caller,
    call: &Call,
    req: &Prepared,
    start: Bytes,
    mut state: BodyState,
) -> Result<Reply, AttemptError> {
    let timeout = time_left(target).min(CONNECT_TIMEOUT);
    let mut connection =
        target.backend.pool.checkout(timeout).await.map_err(AttemptError::Connect)?;
    caller.send_continue().await.map_err(AttemptError::Caller)?;
    if !call.ends_in_time() {
        connection.return_to_pool();
        return Err(AttemptError::Stopping);
    }
    let framing = call.meta.framing;
    call.open.mark_sent(call.plane.now(), &target.backend.id);
    put_request(connection.output(), &req.method, &req.path, &req.headers, &[], framing);
    with_idle_timeout(connection.write_body(framing, &start)).await.map_err(AttemptError::Http)?;
    let idle_timeout = target.plane.shared.settings.limits.idle_timeout;
    let mut throttle = StreamThrottle::default();
    loop {
        let piece = read_piece(&mut caller.connection, &mut state, idle_timeout);
        let Some(piece) = piece.await.map_err(AttemptError::Caller)? else { break };
        with_idle_timeout(connection.write_body(framing, &piece))
            .await
            .map_err(AttemptError::Http)?;
        throttle.record(piece.len()).await;
    }
    with_idle_timeout(connection.finish_body(framing)).await.map_err(AttemptError::Http)?;
    let head = {
        let head = monoio::time::timeout(time_left(target), read_final_head(&mut connection));
        let caller_closed = pin!(caller.gone());
        match select(pin!(head), caller_closed).await {
            Either::Left((head, _)) => {
                head.map_err(|_| AttemptError::TimedOut)?.map_err(AttemptError::Http)?
            }
            Either::Right(_) => return Err(AttemptError::Caller(HttpError::Closed)),
        }
    };
    apply_report(target, &head.headers);
    let framing =
        response_framing(&req.method, head.status, &head.headers).map_err(AttemptError::Http)?;
    let state = BodyState::new(framing);
    let rest = if state.is_complete() {
        if can_reuse(framing, head.version, &head.headers) {
            connection.return_to_pool();
        }
        None
    } else {
        Some(Rest { connection, state, running: None })
    };
    Ok(Reply { status: head.status, headers: head.headers, framing, start: Bytes::new(), rest })
}
