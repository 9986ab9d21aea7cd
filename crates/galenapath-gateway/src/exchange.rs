//! Serves one request: selects a server, sends the request, and retries or hedges where allowed.

use crate::attempt::{AttemptError, attempt};
use crate::call::Call;
use crate::crash;
use crate::forwarding::{self, ForwardTarget};
use crate::in_flight::InFlight;
use crate::instance::sleep;
use crate::reply::Reply;
use crate::waiting::NoServer;
use futures::future::{Either, select};
use galenapath_membership::Peer;
use galenapath_policy::place::{PlacementRequest, QueueEntry, hedging};
use galenapath_protocol::{BackendId, Micros, Verdict};
use galenapath_routes::RouteKind;
use http::StatusCode;
use std::pin::pin;

/// `Retry-After` if no server can be reached; about the time until a crashed server is excluded.
const NO_SERVER_RETRY_AFTER: Micros = Micros::from_millis(250);

/// `Retry-After` if a server rejected a request although it appeared to have room and the retry
/// budget is spent. Short, because other servers may accept the request at once.
const REJECTED_RETRY_AFTER: Micros = Micros::from_millis(25);

/// Failure weight of a server that has not answered for long; 1.0 is an ordinary failure.
const SILENCE_WEIGHT: f32 = 0.6;

/// Time until the deadline below which a request is no longer sent, because its answer would be
/// late.
const MIN_TIME_TO_SEND: Micros = Micros::from_millis(10);

/// Interval at which a request looks whether other instances reach the servers of its service.
const VERDICT_POLL_PERIOD: Micros = Micros::from_millis(5);

/// Interval at which a request whose hedge was not sent looks for another way.
const HEDGE_POLL_PERIOD: Micros = Micros::from_millis(25);

/// The end of a request without a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestFailure {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) verdict: Verdict,
    /// When the caller may retry; only set if the request has not run.
    pub(crate) retry_after: Option<Micros>,
}

/// Serves the request until its deadline.
pub(crate) async fn run(call: &Call) -> Result<Reply, RequestFailure> {
    let _suspect_run = match crash::check_suspect(call) {
        Ok(suspect_run) => suspect_run,
        Err(retry_after) => {
            let failure = failure(call, "crashes_servers", StatusCode::BAD_GATEWAY);
            return Err(RequestFailure { retry_after: Some(retry_after), ..failure });
        }
    };
    match monoio::time::timeout(call.time_left().into(), run_attempts(call)).await {
        Ok(result) => result,
        Err(_) => Err(failure(call, "timeout", StatusCode::GATEWAY_TIMEOUT)),
    }
}

/// The failure for `reason`: status 503 if the request has not run, `may_have_run` otherwise.
fn failure(call: &Call, reason: &'static str, may_have_run: StatusCode) -> RequestFailure {
    match call.verdict() {
        Verdict::NotRun => RequestFailure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            verdict: Verdict::NotRun,
            retry_after: Some(NO_SERVER_RETRY_AFTER),
        },
        verdict => RequestFailure { status: may_have_run, reason, verdict, retry_after: None },
    }
}

/// The failure of a request that must not be retried after `error`.
fn failure_after(call: &Call, error: Option<AttemptError>) -> RequestFailure {
    let reason = error.map_or("server_error", AttemptError::as_str);
    let mut failure = failure(call, reason, StatusCode::BAD_GATEWAY);
    failure.retry_after = failure.retry_after.map(|usual| match error {
        Some(AttemptError::Rejected) => REJECTED_RETRY_AFTER,
        Some(AttemptError::CrashesServers) => crash::rejected_for(call).unwrap_or(usual),
        Some(AttemptError::PeerRejected) => call.peer_retry_after.get().unwrap_or(usual),
        _ => usual,
    });
    failure
}

/// Where a request goes next.
enum Next {
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

/// The failure of a request for which there is no server.
fn failure_without_server(call: &Call, no_server: NoServer) -> RequestFailure {
    add_shortage_step(call);
    match no_server {
        NoServer::Rejected(rejection) => {
            let predicted_ms = rejection.predicted_wait.0 / 1_000;
            call.add_step(&format!("refused:predicted{predicted_ms}ms "));
            let mut failure = failure(call, "no_room", StatusCode::BAD_GATEWAY);
            failure.retry_after = failure.retry_after.map(|_| rejection.retry_after);
            failure
        }
        NoServer::Unavailable => {
            let mut failure = failure(call, "no_server", StatusCode::BAD_GATEWAY);
            failure.retry_after =
                failure.retry_after.map(|usual| time_until_accepting(call).unwrap_or(usual));
            failure
        }
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
    // Servers just found unfit are excluded at first: the observations of the others are older, so
    // those may have improved since.
    let excluded: Vec<BackendId> =
        call.tried.borrow().iter().chain(&*call.unfit.borrow()).cloned().collect();
    let entry = QueueEntry {
        ticket: req.ticket,
        rank: req.rank,
        workspace: req.workspace.as_ref().map(|workspace| workspace.id),
        arrived: req.arrived,
        target: req.target_at,
        deadline: req.deadline,
        has_exclusions: !excluded.is_empty(),
    };
    let is_large = req.route.kind.is_large();
    call.service.placement.borrow_mut().assume_work(req.route.target.into());
    let placement_request = PlacementRequest { entry, tried: excluded, is_large };
    let mut result = call.service.place(&call.instance, placement_request).await;
    if matches!(result, Err(NoServer::Unavailable)) && !call.unfit.take().is_empty() {
        let placement_request =
            PlacementRequest { entry, tried: call.tried.borrow().clone(), is_large };
        result = call.service.place(&call.instance, placement_request).await;
    }
    call.waited.set(call.waited.get() + (call.instance.now() - began));
    result
}

/// Time until a server accepts requests again; `None` if that is unknown or a server accepts now.
fn time_until_accepting(call: &Call) -> Option<Micros> {
    let placement = call.service.placement.borrow();
    let wait = placement.time_until_accepting(call.instance.now(), &[])?;
    (wait > Micros::ZERO).then_some(wait)
}

/// Adds the reason why most servers get no requests to the steps in the log line.
fn add_shortage_step(call: &Call) {
    let shortage = call.service.placement.borrow().shortage(call.instance.now());
    if let Some(shortage) = shortage {
        call.add_step(&format!("{} ", shortage.as_str()));
    }
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

/// Sends a non-idempotent request. If the server does not answer for long, this is reported to the
/// other instances so that they avoid it.
async fn attempt_once(call: &Call, in_flight: InFlight) -> Result<Reply, AttemptError> {
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
async fn attempt_hedged(call: &Call, in_flight: InFlight) -> Result<Reply, AttemptError> {
    let server = in_flight.server.clone();
    let first = pin!(attempt(call, in_flight));
    let hedging = pin!(wait_for_hedge(call, &server));
    let (hedge, first) = match select(first, hedging).await {
        Either::Left((result, _)) => return result,
        Either::Right((hedge, first)) => (hedge, first),
    };
    let Some(hedge) = hedge else { return first.await };
    call.instance.metrics.hedges.inc();
    call.add_step("copy ");
    let second = pin!(attempt_next(call, hedge));
    match select(first, second).await {
        Either::Left((Ok(reply), _)) | Either::Right((Ok(reply), _)) => Ok(reply),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(error), first)) if error.verdict() == Verdict::NotRun => {
            wait_or_forward(call, first).await
        }
        Either::Right((Err(_), first)) => first.await,
    }
}

/// Waits for the answer to the first send. The hedge was not sent: it is forwarded once it turns out
/// that this instance has lost its paths to the servers.
async fn wait_or_forward(
    call: &Call,
    mut first: impl Future<Output = Result<Reply, AttemptError>> + Unpin,
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

/// Selects a server for a hedge, or another instance if this one reaches none, if time, attempts and
/// the retry budget allow it.
fn place_hedge(call: &Call) -> Option<Next> {
    let has_time = call.time_left() > MIN_TIME_TO_SEND;
    if !has_time
        || call.sends() >= call.req.route.max_attempts
        || crash::is_known_to_crash_servers(call)
    {
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
    call.service.placement.borrow_mut().record_failure(now, server, SILENCE_WEIGHT);
    call.instance.share_no_answer(&call.service, server, SILENCE_WEIGHT);
    call.add_step("silent ");
}
