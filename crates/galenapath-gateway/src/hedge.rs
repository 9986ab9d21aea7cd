//! Sends a request to the server selected for it, and a hedge if the answer is late.

use crate::attempt::attempt;
use crate::attempt_error::AttemptError;
use crate::call::Call;
use crate::crash;
use crate::exchange::{MIN_TIME_TO_SEND, Next, take_retry};
use crate::forwarding;
use crate::in_flight::InFlight;
use crate::instance::sleep;
use crate::reply::Reply;
use futures::future::{Either, select};
use galenapath_policy::place::hedging;
use galenapath_protocol::{BackendId, Micros, Verdict};
use std::pin::pin;

/// Failure weight of a server that has not answered for long; 1.0 is an ordinary failure.
const SILENCE_WEIGHT: f32 = 0.6;

/// Interval at which a request whose hedge was not sent looks for another way.
const HEDGE_POLL_PERIOD: Micros = Micros::from_millis(25);

/// Sends a non-idempotent request. If the server does not answer for long, this is reported to the
/// other instances so that they avoid it.
pub(crate) async fn attempt_once(call: &Call, in_flight: InFlight) -> Result<Reply, AttemptError> {
    let server = in_flight.server.clone();
    let sent = pin!(attempt(call, in_flight));
    let silence = pin!(sleep(silent_after(call)));
    match select(sent, silence).await {
        Either::Left((result, _)) => result,
        Either::Right(((), sent)) => {
            report_silence(call, &server);
            sent.await
        }
    }
}

/// Sends an idempotent request, and a hedge if the answer is late. The first answer is used and the
/// other send is cancelled.
pub(crate) async fn attempt_hedged(
    call: &Call,
    in_flight: InFlight,
) -> Result<Reply, AttemptError> {
    let server = in_flight.server.clone();
    let first = pin!(attempt(call, in_flight));
    let hedging = pin!(wait_for_hedge(call, &server));
    let (hedge, first) = match select(first, hedging).await {
        Either::Left((result, _)) => return result,
        Either::Right((hedge, first)) => (hedge, first),
    };
    let Some(hedge) = hedge else {
        return wait_or_forward(call, first, || may_hedge(call) && take_retry(call)).await;
    };
    call.instance.metrics.hedges.inc();
    call.add_step("copy ");
    let second = pin!(attempt_next(call, hedge));
    match select(first, second).await {
        Either::Left((Ok(reply), _)) | Either::Right((Ok(reply), _)) => Ok(reply),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(error), first)) if error.verdict() == Verdict::NotRun => {
            // The hedge that was not sent has taken its retry already.
            wait_or_forward(call, first, || true).await
        }
        Either::Right((Err(_), first)) => first.await,
    }
}

/// Waits for the answer to the first send, of which there is no hedge. Once it turns out that this
/// instance has lost its paths to the servers, the request is forwarded if `may_forward`.
async fn wait_or_forward(
    call: &Call,
    mut first: impl Future<Output = Result<Reply, AttemptError>> + Unpin,
    may_forward: impl Fn() -> bool,
) -> Result<Reply, AttemptError> {
    let target = loop {
        match select(first, pin!(sleep(HEDGE_POLL_PERIOD))).await {
            Either::Left((result, _)) => return result,
            Either::Right(((), waiting)) => first = waiting,
        }
        if let Some(target) = forwarding::target_if_nothing_reached(call) {
            break target;
        }
    };
    if !may_forward() {
        return first.await;
    }
    match select(first, pin!(forwarding::forward(call, target))).await {
        Either::Left((Ok(reply), _)) | Either::Right((Ok(reply), _)) => Ok(reply),
        Either::Left((Err(_), hedge)) => hedge.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

async fn attempt_next(call: &Call, next: Next) -> Result<Reply, AttemptError> {
    match next {
        Next::Server(in_flight) => attempt(call, in_flight).await,
        Next::Peer(target) => forwarding::forward(call, target).await,
    }
}

/// Waits until a hedge may be sent or the server is found unreachable, and selects where the hedge
/// goes; `None` if there is to be no hedge.
async fn wait_for_hedge(call: &Call, server: &BackendId) -> Option<Next> {
    let work = call.service.placement.borrow().work();
    let early = hedging::early_after(work, call.time_left_to_target());
    let late = hedging::late_after(work);
    let is_lost = call.service.wait_for_loss(server, early).await;
    let is_ample = call.service.retries.borrow_mut().is_ample(call.instance.now());
    if (is_lost || is_ample)
        && let Some(hedge) = place_hedge(call)
    {
        return Some(hedge);
    }
    call.service.wait_for_loss(server, late - early).await;
    if let Some(hedge) = place_hedge(call) {
        return Some(hedge);
    }
    sleep(hedging::silent_after(work) - late).await;
    report_silence(call, server);
    place_hedge(call)
}

/// Whether time and attempts allow another send.
fn may_hedge(call: &Call) -> bool {
    call.time_left() > MIN_TIME_TO_SEND
        && call.sends() < call.req.route.max_attempts
        && !crash::is_known_to_crash_servers(call)
        && call.can_end_in_time()
}

/// Selects a server for a hedge, or another instance if this one reaches none, if time, attempts and
/// the retry budget allow it.
fn place_hedge(call: &Call) -> Option<Next> {
    if !may_hedge(call) {
        return None;
    }
    let is_large = call.req.route.kind.is_large();
    let tried = call.tried.borrow().clone();
    if let Some(target) = forwarding::target_if_nothing_reached(call) {
        return take_retry(call).then_some(Next::Peer(target));
    }
    // The budget comes first: placing a hedge counts a send at its server.
    if !call.service.has_server_for_hedge(&call.instance, &tried, is_large) || !take_retry(call) {
        return None;
    }
    let hedge = call.service.place_hedge(&call.instance, &tried, is_large)?;
    call.tried.borrow_mut().push(hedge.server.clone());
    Some(Next::Server(hedge))
}

fn silent_after(call: &Call) -> Micros {
    hedging::silent_after(call.service.placement.borrow().work())
}

fn report_silence(call: &Call, server: &BackendId) {
    let now = call.instance.now();
    // The paths to the server may be gone: nothing else shows it while the request waits.
    call.service.record_overdue(&call.instance, server, now - silent_after(call));
    call.service.placement.borrow_mut().record_failure(now, server, SILENCE_WEIGHT);
    call.instance.share_no_answer(&call.service, server, SILENCE_WEIGHT);
    call.add_step("silent ");
}
