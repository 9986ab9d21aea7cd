//! Serves one request: selects a server, sends the request, and retries where allowed.

use crate::attempt_error::AttemptError;
use crate::call::Call;
use crate::crash;
use crate::forwarding::{self, ForwardTarget};
use crate::hedge::{attempt_hedged, attempt_once};
use crate::in_flight::InFlight;
use crate::instance::sleep;
use crate::reply::Reply;
use crate::request_failure::{RequestFailure, failure, failure_after, failure_without_server};
use crate::waiting::NoServer;
use futures::future::{Either, select};
use galenapath_membership::Peer;
use galenapath_policy::place::{PlacementRequest, QueueEntry};
use galenapath_protocol::{Micros, Verdict};
use galenapath_routes::RouteKind;
use http::StatusCode;
use std::pin::pin;

/// Time until the deadline below which a request is no longer sent, because its answer would be
/// late.
pub(crate) const MIN_TIME_TO_SEND: Micros = Micros::from_millis(10);

/// Interval at which a request looks whether other instances reach the servers of its service.
const VERDICT_POLL_PERIOD: Micros = Micros::from_millis(5);

/// Serves the request until its deadline, or until it has to be answered because the instance stops.
pub(crate) async fn run(call: &Call) -> Result<Reply, RequestFailure> {
    let _suspect_run = match crash::check_suspect(call) {
        Ok(suspect_run) => suspect_run,
        Err(retry_after) => {
            let failure = failure(call, "crashes_servers", StatusCode::BAD_GATEWAY);
            return Err(RequestFailure { retry_after: Some(retry_after), ..failure });
        }
    };
    let attempts = pin!(monoio::time::timeout(call.time_left().into(), run_attempts(call)));
    match select(attempts, call.instance.stop.answers_due()).await {
        Either::Left((Ok(result), _)) => result,
        Either::Left((Err(_), _)) => Err(failure(call, "timeout", StatusCode::GATEWAY_TIMEOUT)),
        Either::Right(_) => Err(failure(call, "stopping", StatusCode::BAD_GATEWAY)),
    }
}

/// Where a request goes next.
pub(crate) enum Next {
    Server(InFlight),
    /// Another instance.
    Peer(ForwardTarget),
}

async fn run_attempts(call: &Call) -> Result<Reply, RequestFailure> {
    // A server's error answer, returned if no further attempt succeeds.
    let mut fallback = None;
    loop {
        let result = match select_next(call).await {
            Ok(Next::Server(in_flight)) => attempt_at(call, in_flight).await,
            Ok(Next::Peer(target)) => forwarding::forward(call, target).await,
            Err(no_server) => return fallback.ok_or(failure_without_server(call, no_server)),
        };
        let error = match result {
            Ok(reply) if !should_retry_answer(call, &reply) => return Ok(reply),
            Ok(reply) => {
                fallback = Some(reply);
                None
            }
            Err(error) => Some(error),
        };
        if !may_try_again(call, error) {
            return fallback.ok_or(failure_after(call, error));
        }
    }
}

/// Selects a server, or another instance if none of the servers that this one reaches can take the
/// request.
async fn select_next(call: &Call) -> Result<Next, NoServer> {
    wait_for_verdict(call).await;
    if let Some(target) = forwarding::target_if_nothing_reached(call) {
        return Ok(Next::Peer(target));
    }
    match place(call).await {
        Ok(in_flight) => Ok(Next::Server(in_flight)),
        Err(no_server) => forwarding::target_if_impaired(call).map(Next::Peer).ok_or(no_server),
    }
}

/// Waits while the service has stalled and other instances are being asked whether they reach its
/// servers. A request that was sent now would most likely be lost.
async fn wait_for_verdict(call: &Call) {
    let has_peers = || call.instance.membership.borrow().peers().any(Peer::is_usable);
    let is_verdict_due =
        || call.service.contacts.borrow().is_verdict_due(call.instance.now()) && has_peers();
    while is_verdict_due() && call.time_left() > MIN_TIME_TO_SEND {
        sleep(VERDICT_POLL_PERIOD).await;
    }
}

async fn attempt_at(call: &Call, in_flight: InFlight) -> Result<Reply, AttemptError> {
    let server = in_flight.server.clone();
    call.tried.borrow_mut().push(server.clone());
    let result = match call.req.route.kind {
        RouteKind::NonIdempotent | RouteKind::Upload => attempt_once(call, in_flight).await,
        RouteKind::Idempotent | RouteKind::Download => attempt_hedged(call, in_flight).await,
    };
    if matches!(result, Err(AttemptError::Unfit | AttemptError::QueryBudgetSpent)) {
        call.tried.borrow_mut().retain(|tried| *tried != server);
        call.unfit.borrow_mut().push(server);
    }
    result
}

async fn place(call: &Call) -> Result<InFlight, NoServer> {
    let began = call.instance.now();
    let req = &call.req;
    // The observations of the other servers are older, so those may have improved since.
    let (tried, unfit) = (call.tried.borrow().clone(), call.unfit.borrow().clone());
    let entry = QueueEntry {
        ticket: req.ticket,
        rank: req.rank,
        workspace: req.workspace.as_ref().map(|workspace| workspace.id),
        arrived: req.arrived,
        target: req.target_at,
        deadline: req.deadline,
        has_exclusions: !(tried.is_empty() && unfit.is_empty()),
    };
    let is_large = req.route.kind.is_large();
    call.service.placement.borrow_mut().assume_work(req.route.target.into());
    let placement_request = PlacementRequest { entry, tried, unfit, is_large };
    let result = call.service.place(&call.instance, placement_request).await;
    if let Ok(in_flight) = &result {
        // One that is selected again was the only one left, so all may be.
        let is_again = call.unfit.borrow().contains(&in_flight.server);
        call.unfit.borrow_mut().retain(|_| !is_again);
    }
    call.waited.set(call.waited.get() + (call.instance.now() - began));
    result
}

/// Whether the request is retried although the server has answered.
fn should_retry_answer(call: &Call, reply: &Reply) -> bool {
    call.req.route.kind.is_idempotent() && reply.status.is_server_error() && reply.rest.is_none()
}

/// Whether another attempt is allowed after `error`, or after an error answer if that is `None`.
fn may_try_again(call: &Call, error: Option<AttemptError>) -> bool {
    let is_allowed = match error.map(AttemptError::verdict) {
        Some(Verdict::NotRun) => {
            call.verdict() == Verdict::NotRun || call.req.route.kind.is_idempotent()
        }
        _ => call.req.route.kind.is_idempotent(),
    };
    if !is_allowed
        || error == Some(AttemptError::CrashesServers)
        || call.time_left() < MIN_TIME_TO_SEND
        || !call.can_end_in_time()
    {
        return false;
    }
    // Nothing was sent, so this counts neither as an attempt nor as a retry.
    if matches!(
        error,
        Some(AttemptError::Unreachable | AttemptError::Unfit | AttemptError::QueryBudgetSpent)
    ) {
        return true;
    }
    if matches!(error, Some(AttemptError::PeerUnreachable | AttemptError::PeerRejected))
        && call.sends() == 0
    {
        return true;
    }
    call.sends() < call.req.route.max_attempts && take_retry(call)
}

/// Takes a retry out of the service's retry budget, if any is left.
pub(crate) fn take_retry(call: &Call) -> bool {
    let now = call.instance.now();
    let is_taken = call.service.retries.borrow_mut().try_retry_for(now, call.req.caller_attempt);
    if !is_taken {
        call.add_step("retry_budget_spent ");
    }
    is_taken
}
