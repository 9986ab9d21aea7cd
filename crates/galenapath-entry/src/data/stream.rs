//! Requests with large bodies, which are streamed to the backend server as they come.
//!
//! Such a request is sent once: its body cannot be had a second time.

use super::attempt::{
    Fault, Reply, Rest, Target, can_reuse, outcome_of, read_final_head, take_report, time_left,
};
use super::call::Call;
use super::caller::{Caller, read_piece};
use super::pace::Pace;
use super::permit::{InFlight, Permit};
use super::prepare::Prepared;
use super::refusal;
use super::relay::{self, Told, within_pause};
use super::request::RequestMeta;
use bytes::Bytes;
use futures::future::{Either, select};
use galenapath_http::{BodyState, HttpError, RequestHead, put_request, response_framing};
use galenapath_policy::Outcome;
use galenapath_protocol::Verdict;
use std::pin::pin;

/// Longest time to connect to a backend server.
const CONNECT_LIMIT: std::time::Duration = std::time::Duration::from_millis(1_200);

/// Serves a request whose body is streamed; `start` has been read of it already.
pub(super) async fn serve(
    call: &Call,
    caller: &mut Caller,
    head: RequestHead,
    start: Bytes,
    state: BodyState,
) -> Result<(), HttpError> {
    // After a refusal the rest of the body is not read.
    let keep_alive = std::mem::replace(&mut caller.keep_alive, false);
    let Call { plane, service, meta, trace } = call;
    let req = Prepared::new(plane, meta, head, Bytes::new());
    let permit = match Permit::acquire(call).await {
        Ok(permit) => permit,
        Err(rejection) => return call.refuse(caller, &refusal::turn_away(&rejection)).await,
    };
    let chosen = service.state.borrow_mut().balancer.choose(plane.now(), &[]);
    let Some((slot, backend)) = chosen.and_then(|s| Some((s, service.backend(s)?))) else {
        permit.finish(Outcome::Shed);
        return call.refuse(caller, &refusal::no_backend(Verdict::NotRun)).await;
    };
    let in_flight = InFlight::start(&permit, slot);
    trace.borrow_mut().attempts = meta.attempts.max(1);
    let target = Target { plane, service, slot, backend: &backend, deadline: meta.deadline };
    match send(&target, caller, meta, &req, start, state).await {
        Ok(reply) => {
            caller.keep_alive = keep_alive;
            trace.borrow_mut().answered(&backend.id, reply.status);
            call.observe_latency();
            let (status, outcome) = (reply.status, outcome_of(reply.status));
            let sent = relay::send(caller, &Told::answered(call, &backend.id), reply).await;
            in_flight.finish(outcome);
            permit.finish(outcome);
            call.ended(status.as_u16(), Verdict::Answered, "answered");
            sent
        }
        Err(fault) => {
            trace.borrow_mut().failed(&backend.id, &fault);
            in_flight.finish(fault.outcome());
            permit.finish(fault.outcome());
            call.refuse(caller, &refusal::failed(&fault, Verdict::NotRun)).await
        }
    }
}

async fn send(
    target: &Target<'_>,
    caller: &mut Caller,
    meta: &RequestMeta,
    req: &Prepared,
    start: Bytes,
    mut state: BodyState,
) -> Result<Reply, Fault> {
    let limit = time_left(target).min(CONNECT_LIMIT);
    let mut connection = target.backend.pool.checkout(limit).await.map_err(Fault::Connect)?;
    caller.ask_for_body().await.map_err(Fault::Caller)?;
    let framing = meta.framing;
    put_request(connection.output(), &req.method, &req.path, &req.headers, &[], framing);
    within_pause(connection.write_body(framing, &start)).await.map_err(Fault::Http)?;
    let pause = target.plane.shared.settings.limits.idle_timeout;
    let mut pace = Pace::default();
    loop {
        let piece = read_piece(&mut caller.connection, &mut state, pause);
        let Some(piece) = piece.await.map_err(Fault::Caller)? else { break };
        within_pause(connection.write_body(framing, &piece)).await.map_err(Fault::Http)?;
        pace.passed(piece.len()).await;
    }
    within_pause(connection.finish_body(framing)).await.map_err(Fault::Http)?;
    let head = {
        let head = monoio::time::timeout(time_left(target), read_final_head(&mut connection));
        let gone = pin!(caller.connection.closed());
        match select(pin!(head), gone).await {
            Either::Left((head, _)) => head.map_err(|_| Fault::TimedOut)?.map_err(Fault::Http)?,
            Either::Right(_) => return Err(Fault::Caller(HttpError::Closed)),
        }
    };
    take_report(target, &head.headers);
    let framing = response_framing(&req.method, head.status, &head.headers).map_err(Fault::Http)?;
    let state = BodyState::new(framing);
    let rest = if state.is_complete() {
        if can_reuse(framing, head.version, &head.headers) {
            connection.give_back();
        }
        None
    } else {
        Some(Rest { connection, state })
    };
    Ok(Reply { status: head.status, headers: head.headers, framing, start: Bytes::new(), rest })
}
