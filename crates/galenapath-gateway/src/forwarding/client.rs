//! Forwards a request to another instance and reads the answer.

use super::ForwardTarget;
use crate::attempt::HEAD_LIMIT;
use crate::attempt_error::AttemptError;
use crate::call::{Call, Hop};
use crate::crash;
use crate::fleet::{ForwardHead, ForwardResult, REQUEST_HEADER, RESULT_HEADER};
use crate::instance::Instance;
use crate::reply::{self, RemainingBody, Reply};
use crate::usage::Flow;
use galenapath_http::{
    BodyState, Connection, HeadTimeouts, HttpError, ResponseHead, put_request, response_framing,
};
use galenapath_protocol::{Micros, Verdict};
use http::header::{HeaderMap, RETRY_AFTER};
use monoio::net::TcpStream;
use std::time::Duration;

/// Well above a round trip between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Upper limits on the time for the answer's head; the deadline of the request ends it earlier.
const HEAD_TIMEOUTS: HeadTimeouts =
    HeadTimeouts { idle: Duration::from_secs(600), head: Duration::from_secs(2) };

/// Idle time up to which a connection is used for a request that may run only once. If the other
/// instance has just ended, it is unknown whether the request ran.
const MAX_TRUSTED_IDLE: Micros = Micros::from_millis(100);

/// Forwards the request to `target` and reads the answer.
pub(crate) async fn forward(call: &Call, target: ForwardTarget) -> Result<Reply, AttemptError> {
    let began = call.instance.now();
    call.forwarded_to.borrow_mut().push(target.id);
    let result = send(call, &target).await;
    let outcome = match &result {
        Ok(_) => "answered",
        Err(error) => error.as_str(),
    };
    let took = call.instance.now() - began;
    call.add_step(&format!("forwarded:{}:{outcome}:{}ms ", target.name, took.0 / 1_000));
    call.instance.metrics.forwards.with_label_values(&[outcome]).inc();
    let mut contacts = call.service.contacts.borrow_mut();
    match result {
        Ok(_) => {
            contacts.record_help(target.id, true);
            call.record_answer_from(Hop::Peer(target.name.clone()));
        }
        Err(AttemptError::PeerRejected) => contacts.record_help(target.id, false),
        Err(AttemptError::PeerUnreachable | AttemptError::PeerLost) => {
            contacts.remove_helper(target.id);
        }
        Err(_) => {}
    }
    result
}

async fn send(call: &Call, target: &ForwardTarget) -> Result<Reply, AttemptError> {
    if crash::is_known_to_crash_servers(call) {
        return Err(AttemptError::CrashesServers);
    }
    if !call.can_end_in_time() {
        return Err(AttemptError::Stopping);
    }
    let mut connection = connect(call, target).await?;
    write_request(call, target, &mut connection);
    let _outstanding = call.record_forward(&target.name);
    let head = send_and_read_head(&mut connection).await;
    let is_local = call.instance.membership.borrow().is_local(&target.address);
    call.instance.usage.count(Flow::Forward, is_local, connection.take_byte_count());
    let head = head.map_err(|_| AttemptError::PeerLost)?;
    let result = head.headers.get(RESULT_HEADER).and_then(ForwardResult::from_header);
    let result = result.filter(|_| is_answer_to(call, &head)).ok_or(AttemptError::PeerLost)?;
    call.set_sends(result.sends);
    if result.verdict == Verdict::NotRun {
        call.record_not_run();
    }
    let retry_after = retry_after(&head.headers);
    let reply = read_reply(call, target, connection, head).await?;
    match result.verdict {
        Verdict::Answered => Ok(reply),
        Verdict::MayHaveRun => Err(AttemptError::PeerFailed),
        Verdict::NotRun => {
            call.peer_retry_after.set(retry_after);
            Err(AttemptError::PeerRejected)
        }
    }
}

/// Whether the answer names no request, or this one.
fn is_answer_to(call: &Call, head: &ResponseHead) -> bool {
    let echoed = head.headers.get(&call.instance.names.request_id);
    echoed.is_none() || echoed == call.req.id.as_ref()
}

/// Time after which the other instance wants the caller to come back.
fn retry_after(headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(Micros::from)
}

/// Takes a kept connection to the other instance, or opens one.
async fn connect(call: &Call, target: &ForwardTarget) -> Result<Connection, AttemptError> {
    let instance: &Instance = &call.instance;
    let kept = instance.forward_pools.take(instance.now(), &target.address);
    let is_trusted = |idle: Micros| call.req.route.kind.is_idempotent() || idle <= MAX_TRUSTED_IDLE;
    if let Some(kept) = kept.filter(|kept| is_trusted(kept.idle)) {
        return Ok(kept.connection);
    }
    let connecting = TcpStream::connect_addr(target.address);
    match monoio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(io)) => Ok(Connection::new(io, HEAD_LIMIT)),
        Ok(Err(_)) | Err(_) => Err(AttemptError::PeerUnreachable),
    }
}

fn write_request(call: &Call, target: &ForwardTarget, connection: &mut Connection) {
    let req = &call.req;
    let head = ForwardHead {
        from: call.instance.incarnation,
        to: target.id,
        route: req.route.name.clone(),
        service: call.service.name.clone(),
        workspace: req.workspace.as_ref().map(|workspace| workspace.name.clone()),
        attempt: req.caller_attempt,
        sends: call.sends(),
        left: call.time_left(),
        target: call.time_left_to_target(),
    };
    let mut headers = req.headers.clone();
    if let Some(value) = head.to_header() {
        headers.insert(REQUEST_HEADER, value);
    }
    let out = connection.output();
    put_request(out, &req.method, &req.path, &headers, &[], req.framing());
    out.extend_from_slice(&req.body);
}

async fn send_and_read_head(connection: &mut Connection) -> Result<ResponseHead, HttpError> {
    connection.flush().await?;
    connection.read_final_response(HEAD_TIMEOUTS).await
}

async fn read_reply(
    call: &Call,
    target: &ForwardTarget,
    mut connection: Connection,
    head: ResponseHead,
) -> Result<Reply, AttemptError> {
    let lost = |_| AttemptError::PeerLost;
    let framing = response_framing(&call.req.method, head.status, &head.headers).map_err(lost)?;
    let mut body = BodyState::new(framing);
    let start = reply::read_start(call, &mut connection, &mut body).await;
    let start = start.map_err(lost)?;
    let instance = &call.instance;
    let is_local = instance.membership.borrow().is_local(&target.address);
    instance.usage.count(Flow::Forward, is_local, connection.take_byte_count());
    let closes = reply::closes(&head.headers);
    let rest = if body.is_complete() {
        if !closes && !connection.has_unread() {
            instance.forward_pools.keep(instance.now(), &target.address, connection, None);
        }
        None
    } else {
        Some(RemainingBody { connection, body, is_local, running: None, is_lost: false })
    };
    let headers = reply::caller_headers(&instance.names, head.headers);
    Ok(Reply { status: head.status, headers, framing, start, rest })
}
