//! Sends a request to one backend server and reads its answer.

use crate::attempt_error::AttemptError;
use crate::call::Call;
use crate::crash::{self, Running};
use crate::exchange::take_retry;
use crate::fitness;
use crate::in_flight::InFlight;
use crate::load_query;
use crate::reach::no_answer;
use crate::reply::{self, HeadVerdict, RemainingBody, Reply};
use crate::request::set_header;
use crate::server_answer::{AnswerKind, ServerAnswer};
use crate::usage::Flow;
use galenapath_http::{
    BodyState, Connection, Framing, HttpError, ResponseHead, put_request, response_framing,
};
use galenapath_policy::reach::{Exchange, NoAnswer};
use galenapath_protocol::BackendId;
use http::StatusCode;
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

/// Well above a cross-domain round trip plus handshake, and less than a caller can spare.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of the head of an answer, in bytes.
pub(crate) const HEAD_LIMIT: usize = 16 * 1024;

/// Sends the request to the server of `in_flight` and reads its answer.
pub(crate) async fn attempt(call: &Call, in_flight: InFlight) -> Result<Reply, AttemptError> {
    let started = call.instance.now();
    let result = send(call, &in_flight).await;
    let took = call.instance.now() - started;
    call.record_attempt(&in_flight, took, &result);
    if let Ok(Reply { status, rest: None, .. }) = &result {
        crash::record_answer(call, *status);
    }
    result
}

async fn send(call: &Call, in_flight: &InFlight) -> Result<Reply, AttemptError> {
    let (service, server) = (&call.service, &in_flight.server);
    let address = service.address(server).ok_or(AttemptError::Unreachable)?;
    // Checked here as well, so that a server that accepts no requests gets no load query.
    check_send(call, in_flight)?;
    let kept_or_new = fitness::connect_if_fit(call, in_flight, address).await?;
    // Meanwhile the server may have paused, started to drain, turned cold or stated a rate limit,
    // or its failure domain may have been evacuated, or the request may have crashed other servers.
    check_send(call, in_flight)?;
    let listed_id = service.listed_id(server).ok_or(AttemptError::Unreachable)?;
    let running = Running::begin(call, server);
    let mut result = exchange(call, in_flight, kept_or_new, Addressee { address, listed_id }).await;
    match &mut result {
        Ok(Reply { rest: Some(rest), .. }) => rest.running = Some(running),
        Ok(_) | Err(AttemptError::Rejected | AttemptError::OtherServer) => running.end(),
        Err(AttemptError::Broken) => running.lose(),
        // The server may still be at work on it.
        Err(_) => {}
    }
    result
}

/// The server that a request is sent to.
struct Addressee {
    address: SocketAddr,
    /// Identity under which it is listed.
    listed_id: BackendId,
}

/// Sends the request on a connection that is kept or new, and reads the answer.
async fn exchange(
    call: &Call,
    in_flight: &InFlight,
    (mut connection, mut is_reused): (Connection, bool),
    to: Addressee,
) -> Result<Reply, AttemptError> {
    let (service, server) = (&call.service, &in_flight.server);
    write_request(call, &to.listed_id, &mut connection);
    in_flight.mark_sent();
    let _outstanding = call.record_send(&in_flight.server);
    let mut sent_at = call.instance.now();
    let mut head = send_and_read_head(call, &mut connection).await;
    if is_connection_lost(&head) && is_reused && may_resend(call, server) {
        connection = reconnect(call, server, to.address).await?;
        is_reused = false;
        write_request(call, &to.listed_id, &mut connection);
        call.record_resend();
        sent_at = call.instance.now();
        head = send_and_read_head(call, &mut connection).await;
    }
    let (head, verdict) = head.map_err(|e| AttemptError::from(&e))?;
    if !matches!(verdict, HeadVerdict::OtherServer) {
        let exchange = Exchange { started_at: sent_at, is_new_connection: !is_reused };
        service.record_answer(&call.instance, server, exchange);
    }
    if let Some(kind) = answer_kind(verdict, head.status) {
        in_flight.answer_load.set(load_query::apply_answer_load(
            &call.instance,
            service,
            server,
            &head,
        ));
        let (instance, id, head) = (&call.instance, server, &head);
        ServerAnswer { instance, service, id, head, kind, sent_at }.apply();
    }
    match verdict {
        HeadVerdict::NotRun => call.record_not_run(),
        HeadVerdict::OtherServer => {
            call.record_not_run();
            service.placement.borrow_mut().mark_leaving(server);
            return Err(AttemptError::OtherServer);
        }
        HeadVerdict::Foreign => return Err(AttemptError::InvalidAnswer("foreign")),
        HeadVerdict::Invalid(why) => return Err(AttemptError::InvalidAnswer(why)),
        HeadVerdict::Answer => {}
    }
    let reply = read_reply(call, in_flight, connection, head).await;
    match verdict {
        HeadVerdict::NotRun => Err(AttemptError::Rejected),
        _ => reply,
    }
}

/// Checks whether the request and its server are still as they were when the server was selected.
fn check_send(call: &Call, in_flight: &InFlight) -> Result<(), AttemptError> {
    if crash::is_known_to_crash_servers(call) {
        return Err(AttemptError::CrashesServers);
    }
    if !call.can_end_in_time() {
        return Err(AttemptError::Stopping);
    }
    match call.service.may_send(&call.instance, &in_flight.server, in_flight.snapshot) {
        true => Ok(()),
        false => Err(AttemptError::Unfit),
    }
}

/// Whether the connection ended before the head of an answer. The server may have closed a reused
/// connection while the request was in transit.
fn is_connection_lost<T>(head: &Result<T, HttpError>) -> bool {
    matches!(head, Err(HttpError::Closed | HttpError::Io(_)))
}

/// Whether a request whose reused connection ended may be sent to the same server again. It may
/// have arrived nevertheless, so that counts as a retry.
fn may_resend(call: &Call, server: &BackendId) -> bool {
    call.req.route.kind.is_idempotent()
        && !crash::is_known_to_crash_servers(call)
        && call.can_end_in_time()
        && call.service.try_count_resend(&call.instance, server)
        && take_retry(call)
}

/// Opens a connection for a request that was sent before. If the server cannot be reached any more,
/// the first send counts: the request may have run, and the server may have crashed under it.
async fn reconnect(
    call: &Call,
    server: &BackendId,
    address: SocketAddr,
) -> Result<Connection, AttemptError> {
    connect(call, server, address).await.map_err(|_| AttemptError::Broken)
}

/// Classifies the answer to a request; `None` if a server other than the addressed one sent it.
fn answer_kind(verdict: HeadVerdict, status: StatusCode) -> Option<AnswerKind> {
    match verdict {
        HeadVerdict::Answer if status.is_success() => Some(AnswerKind::RequestSucceeded),
        HeadVerdict::Answer
        | HeadVerdict::NotRun
        | HeadVerdict::Foreign
        | HeadVerdict::Invalid(_) => Some(AnswerKind::RequestFailed),
        HeadVerdict::OtherServer => None,
    }
}

/// Opens a connection to a server for a request within [`CONNECT_TIMEOUT`].
pub(crate) async fn connect(
    call: &Call,
    server: &BackendId,
    address: SocketAddr,
) -> Result<Connection, AttemptError> {
    call.instance.count_connect("request");
    let started_at = call.instance.now();
    let connecting = TcpStream::connect_addr(address);
    match monoio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(io)) => Ok(Connection::new(io, HEAD_LIMIT)),
        failed => {
            let how = failed.ok().and_then(Result::err).map_or(NoAnswer::Lost, |e| no_answer(&e));
            let exchange = Exchange { started_at, is_new_connection: true };
            call.service.record_no_answer(&call.instance, server, exchange, how);
            Err(AttemptError::Unreachable)
        }
    }
}

/// Writes the request into the connection's buffer, addressed so that only the server `listed_id`
/// may run it.
fn write_request(call: &Call, listed_id: &BackendId, connection: &mut Connection) {
    let names = &call.instance.names;
    let mut headers = call.req.headers.clone();
    let left = call.req.deadline - call.instance.now();
    set_header(&mut headers, &names.time_left_ms, &(left.0 / 1_000).to_string());
    set_header(&mut headers, &names.expected_server, &listed_id.0);
    let framing = call.req.framing();
    let out = connection.output();
    put_request(out, &call.req.method, &call.req.path, &headers, &[], framing);
    out.extend_from_slice(&call.req.body);
}

async fn send_and_read_head(
    call: &Call,
    connection: &mut Connection,
) -> Result<(ResponseHead, HeadVerdict), HttpError> {
    connection.flush().await?;
    let names = &call.instance.names;
    reply::read_head(connection, names, &call.req.method, call.req.id.as_ref()).await
}

async fn read_reply(
    call: &Call,
    in_flight: &InFlight,
    mut connection: Connection,
    head: ResponseHead,
) -> Result<Reply, AttemptError> {
    let framing = response_framing(&call.req.method, head.status, &head.headers)
        .map_err(|_| AttemptError::InvalidAnswer("bad_framing"))?;
    let mut body = BodyState::new(framing);
    let start = reply::read_start(call, &mut connection, &mut body).await;
    let start = start.map_err(|e| AttemptError::from(&e))?;
    let is_local = call.service.is_local(&in_flight.server);
    call.instance.usage.count(Flow::Request, is_local, connection.take_byte_count());
    let stated = reply::stated_idle(&head.headers);
    // A second copy of an answer that names no request could not be told from the answer to the
    // next one.
    let is_identified = head.headers.contains_key(&call.instance.names.request_id);
    let closes = !is_identified || reply::closes(&head.headers) || framing == Framing::UntilClose;
    let rest = if body.is_complete() {
        if !closes && !connection.has_unread() {
            let now = call.instance.now();
            call.service.keep_connection(now, &in_flight.server, connection, stated);
        }
        None
    } else {
        Some(RemainingBody { connection, body, is_local, running: None, is_lost: false })
    };
    Ok(Reply {
        status: head.status,
        headers: reply::caller_headers(&call.instance.names, head.headers),
        framing,
        start,
        rest,
    })
}
