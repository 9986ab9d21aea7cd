//! Forwarding of a filing to the instance that may run it.
//!
//! Only the incarnation that a key names runs the filing; any other instance forwards it there. If
//! that incarnation has ended or cannot be reached, the filing is forwarded to its successors,
//! which received its outcomes at a planned stop and never dispatch its keys. A filing is forwarded
//! at most once: an instance that receives a forwarded filing answers from what it knows.

use super::answer::OwnAnswer;
use super::attempt::read_final_head;
use super::attempt::{BUFFERED_ANSWER_BYTES, Reply};
use super::call::Call;
use super::caller::Caller;
use super::open::Phase;
use super::plane::DataPlane;
use super::prepare::Prepared;
use super::relay::AnswerMeta;
use super::request::{RequestMeta, header_number, header_text};
use super::{error_answers, headers, relay};
use bytes::BytesMut;
use galenapath_filings::successors;
use galenapath_http::{BodyState, Connection, Framing, HttpError, put_request, response_framing};
use galenapath_membership::Member;
use galenapath_protocol::{
    ATTEMPT_HEADER, BackendId, HOPS_HEADER, IDEMPOTENCY_KEY_HEADER, Incarnation, Micros,
    VERDICT_HEADER, Verdict, WORKSPACE_HEADER,
};
use http::StatusCode;
use monoio::net::TcpStream;
use std::time::Duration;

/// Number of successors that are asked for an outcome. At a planned stop, outcomes are handed over
/// to the same number of successors.
pub const SUCCESSOR_COUNT: usize = 2;

/// Maximum time to connect to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the head of another instance's answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time after which a caller whose filing may have run should resend it with the same key.
const RESEND_AFTER: Micros = Micros::from_secs(2);

/// Maximum size of the answer to a forwarded filing.
const MAX_FORWARDED_BYTES: usize = 16 * BUFFERED_ANSWER_BYTES;

/// Forwards a filing and relays the answer.
pub(super) async fn serve(
    call: &Call,
    caller: &mut Caller,
    req: &Prepared,
    incarnation: Incarnation,
) -> Result<(), HttpError> {
    let Call { plane, meta, trace, .. } = call;
    if !call.ends_in_time() {
        return call.end_with(caller, &error_answers::cut_by_stop(true)).await;
    }
    let mut holders = if meta.hops == 0 { holders(plane, incarnation) } else { Vec::new() };
    holders.reverse();
    while let Some(member) = holders.pop() {
        let name = BackendId(format!("instance {}", member.id).into());
        call.open.mark_sent(plane.now(), &name);
        match forward(plane, meta, req, &member).await {
            Ok(reply) => {
                trace.borrow_mut().record_answer(&name, reply.status);
                // The incarnation itself knows what became of the key. A successor may not have
                // received the outcome that the next one has.
                let is_final = member.incarnation == incarnation
                    || verdict_of(&reply) != Verdict::MayHaveRun
                    || holders.is_empty();
                if is_final {
                    return relay_reply(call, caller, &name, reply).await;
                }
            }
            Err(e) => {
                log::warn!(request:% = meta.id, to:% = name.0, error:% = e; "forward failed");
                trace.borrow_mut().record_failure(&name, &e);
            }
        }
    }
    let answer = OwnAnswer::may_have_run(
        StatusCode::GATEWAY_TIMEOUT,
        "owner_gone",
        "the instance that may run this key cannot be reached; the filing may have run",
    );
    call.end_with(caller, &answer.with_retry_after(RESEND_AFTER)).await
}

/// Relays another instance's answer.
async fn relay_reply(
    call: &Call,
    caller: &mut Caller,
    name: &BackendId,
    reply: Reply,
) -> Result<(), HttpError> {
    let (status, verdict) = (reply.status, verdict_of(&reply));
    call.open.set_phase(Phase::Answering);
    call.record_end(status.as_u16(), verdict, "passed on");
    let attempts = header_number(&reply.headers, ATTEMPT_HEADER).unwrap_or(1);
    let attempts = u32::try_from(attempts).unwrap_or(u32::MAX);
    let time_left = Duration::from(call.meta.deadline - call.plane.now());
    let id = call.meta.id;
    let answer_meta = AnswerMeta { id, backend: name, verdict, attempts, time_left };
    relay::send(caller, &answer_meta, reply).await
}

/// Returns the instances to forward to, in order: the incarnation itself unless it is known to have
/// ended, and its successors.
fn holders(plane: &DataPlane, incarnation: Incarnation) -> Vec<Member> {
    let view = plane.shared.members.load();
    let usable: Vec<Incarnation> = view.usable.iter().map(|m| m.incarnation).collect();
    let successors = successors(incarnation, &usable, SUCCESSOR_COUNT);
    std::iter::once(incarnation)
        .chain(successors)
        .filter(|holder| *holder != plane.shared.incarnation)
        .filter_map(|holder| view.find_reachable(holder).cloned())
        .collect()
}

fn verdict_of(reply: &Reply) -> Verdict {
    match header_text(&reply.headers, VERDICT_HEADER) {
        Some("answered") => Verdict::Answered,
        Some("not-run") => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

async fn forward(
    plane: &DataPlane,
    meta: &RequestMeta,
    req: &Prepared,
    member: &Member,
) -> Result<Reply, HttpError> {
    let timed_out = |_| HttpError::Io(std::io::ErrorKind::TimedOut.into());
    let connect = TcpStream::connect(member.caller_address);
    let io = monoio::time::timeout(CONNECT_TIMEOUT, connect).await.map_err(timed_out)??;
    let mut connection = Connection::new(io, MAX_HEAD_BYTES);
    let timeout = Duration::from(meta.deadline - plane.now());
    let exchange = exchange(&mut connection, plane, meta, req);
    monoio::time::timeout(timeout, exchange).await.map_err(timed_out)?
}

async fn exchange(
    connection: &mut Connection,
    plane: &DataPlane,
    meta: &RequestMeta,
    req: &Prepared,
) -> Result<Reply, HttpError> {
    let mut head = req.headers.clone();
    headers::set_deadline(&mut head, meta.deadline - plane.now());
    headers::set(&mut head, "host", &meta.class.service);
    headers::set(&mut head, ATTEMPT_HEADER, &meta.attempts.max(1).to_string());
    headers::set(&mut head, HOPS_HEADER, &(meta.hops + 1).to_string());
    headers::set(&mut head, WORKSPACE_HEADER, &meta.workspace);
    headers::set(&mut head, IDEMPOTENCY_KEY_HEADER, meta.key.as_deref().unwrap_or_default());
    let framing = req.framing();
    put_request(connection.output(), &req.method, &req.path, &head, &[], framing);
    connection.write_body(framing, &req.body).await?;
    connection.finish_body(framing).await?;
    let answer = read_final_head(connection).await?;
    let framing = response_framing(&req.method, answer.status, &answer.headers)?;
    let mut state = BodyState::new(framing);
    let mut start = BytesMut::new();
    while let Some(piece) = connection.read_body(&mut state).await? {
        start.extend_from_slice(&piece);
        if start.len() > MAX_FORWARDED_BYTES {
            return Err(HttpError::BadFraming("the answer is too large to be passed on"));
        }
    }
    Ok(Reply {
        status: answer.status,
        headers: answer.headers,
        framing: Framing::None,
        start: start.freeze(),
        rest: None,
    })
}
