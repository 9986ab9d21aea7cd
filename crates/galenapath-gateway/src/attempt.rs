//! One send of a request to one backend server.

use crate::call::Call;
use crate::crash;
use crate::exchange::take_retry;
use crate::fitness;
use crate::health;
use crate::in_flight::InFlight;
use crate::reply::{self, HeadVerdict, Reply, Rest};
use crate::request::set;
use crate::said::{Answer, Answered};
use crate::usage::Flow;
use galenapath_http::{
    BodyState, Connection, Framing, HttpError, ResponseHead, put_request, response_framing,
};
use galenapath_protocol::{BackendId, Verdict};
use http::StatusCode;
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a connection: far more than a crossing and a handshake take, less than a caller
/// can spare.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// Largest head of an answer, in bytes.
pub(crate) const HEAD_LIMIT: usize = 16 * 1024;

/// Why a send has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No connection; nothing was sent.
    Unreachable,
    /// The server says that it did not run the request.
    Refused,
    /// Another server has the address and did not run the request.
    OtherServer,
    /// The server turned out to be slow or full just before the request was sent.
    Unfit,
    /// What is known of the server is old, and no more questions to it are left: it looks better than
    /// others to all instances, which have just sent their requests there.
    NotAsked,
    /// The connection broke after the request was sent.
    Broken,
    /// An answer that must not be passed on.
    Bad(&'static str),
}

impl Fault {
    /// Whether the request may have run.
    pub(crate) const fn verdict(self) -> Verdict {
        match self {
            Self::Unreachable
            | Self::Refused
            | Self::OtherServer
            | Self::Unfit
            | Self::NotAsked => Verdict::NotRun,
            Self::Broken | Self::Bad(_) => Verdict::MayHaveRun,
        }
    }

    /// Short name for logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::OtherServer => "other_server",
            Self::Unfit => "unfit",
            Self::NotAsked => "not_asked",
            Self::Broken => "broken",
            Self::Bad(why) => why,
        }
    }

    /// Weight of the failure in the choice of servers; one is a plain failure.
    pub(crate) const fn weight(self) -> f32 {
        match self {
            Self::Refused => 0.3,
            Self::Unfit | Self::NotAsked => 0.0,
            Self::Unreachable | Self::OtherServer | Self::Broken | Self::Bad(_) => 1.0,
        }
    }
}

/// Sends the request to the server of `in_flight` and reads its answer.
pub(crate) async fn attempt(call: &Call, in_flight: InFlight) -> Result<Reply, Fault> {
    let started = call.instance.now();
    let result = send(call, &in_flight).await;
    let took = call.instance.now() - started;
    call.note_attempt(&in_flight, took, &result);
    match &result {
        Ok(_) => {
            let (now, request) = (call.instance.now(), call.req.fingerprint);
            call.instance.suspects.borrow_mut().answered(now, request);
        }
        Err(Fault::Broken) => crash::note_broken(call, &in_flight.server),
        Err(_) => {}
    }
    result
}

async fn send(call: &Call, in_flight: &InFlight) -> Result<Reply, Fault> {
    let (service, server) = (&call.service, &in_flight.server);
    let address = service.address(server).ok_or(Fault::Unreachable)?;
    // Nor is a server asked that wants nothing.
    if !service.may_send(&call.instance, server, in_flight.started) {
        return Err(Fault::Unfit);
    }
    let (mut connection, is_kept) = fitness::connect_fit(call, in_flight, address).await?;
    // What it takes may have changed meanwhile, or its failure domain may have been evacuated.
    if !service.may_send(&call.instance, server, in_flight.started) {
        return Err(Fault::Unfit);
    }
    let listed_id = service.listed_id(server).ok_or(Fault::Unreachable)?;
    put_head(call, &listed_id, &mut connection);
    in_flight.sent();
    call.sent(&in_flight.server);
    let mut sent_at = call.instance.now();
    let head = exchange_head(call, &mut connection).await;
    let head = match head {
        // The server closed a kept connection while the request was on its way to it.
        Err(HttpError::Closed | HttpError::Io(_))
            // It may have arrived all the same, so that it counts as a retry.
            if is_kept
                && call.req.route.kind.is_idempotent()
                && service.send_again(&call.instance, server)
                && take_retry(call) =>
        {
            connection = connect(call, address).await?;
            put_head(call, &listed_id, &mut connection);
            sent_at = call.instance.now();
            exchange_head(call, &mut connection).await
        }
        head => head,
    };
    let (head, verdict) = head.map_err(|e| broken(&e))?;
    if let Some(answered) = answered(verdict, head.status) {
        in_flight.told.set(health::note_answer(&call.instance, service, server, &head));
        let (instance, id, head) = (&call.instance, server, &head);
        Answer { instance, service, id, head, answered, sent_at }.note();
    }
    match verdict {
        HeadVerdict::NotRun => call.not_run(),
        HeadVerdict::OtherServer => {
            call.not_run();
            service.placement.borrow_mut().mark_leaving(server);
            return Err(Fault::OtherServer);
        }
        HeadVerdict::Foreign => return Err(Fault::Bad("foreign")),
        HeadVerdict::Bad(why) => return Err(Fault::Bad(why)),
        HeadVerdict::Answer => {}
    }
    let reply = read_reply(call, in_flight, connection, head).await;
    match verdict {
        HeadVerdict::NotRun => Err(Fault::Refused),
        _ => reply,
    }
}

/// How the server that the request was sent to has answered; `None` where another one wrote the answer.
fn answered(verdict: HeadVerdict, status: StatusCode) -> Option<Answered> {
    match verdict {
        HeadVerdict::Answer if status.is_success() => Some(Answered::Request),
        HeadVerdict::Answer | HeadVerdict::NotRun | HeadVerdict::Foreign | HeadVerdict::Bad(_) => {
            Some(Answered::RequestFailed)
        }
        HeadVerdict::OtherServer => None,
    }
}

fn broken(e: &HttpError) -> Fault {
    match e {
        HttpError::BadHead(_) | HttpError::BadFraming(_) | HttpError::HeadTooLarge { .. } => {
            Fault::Bad("not_http")
        }
        _ => Fault::Broken,
    }
}

/// Opens a connection.
pub(crate) async fn connect(call: &Call, address: SocketAddr) -> Result<Connection, Fault> {
    call.instance.count_connect("request");
    let connecting = TcpStream::connect_addr(address);
    match monoio::time::timeout(CONNECT_TIME, connecting).await {
        Ok(Ok(io)) => Ok(Connection::new(io, HEAD_LIMIT)),
        Ok(Err(_)) | Err(_) => Err(Fault::Unreachable),
    }
}

/// Writes head and body of a request that only the server `listed_id` may run into the connection's buffer.
fn put_head(call: &Call, listed_id: &BackendId, connection: &mut Connection) {
    let names = &call.instance.names;
    let mut headers = call.req.headers.clone();
    let left = call.req.deadline - call.instance.now();
    set(&mut headers, &names.time_left_ms, &(left.0 / 1_000).to_string());
    set(&mut headers, &names.expected_server, &listed_id.0);
    let framing = call.req.framing();
    let out = connection.output();
    put_request(out, &call.req.method, &call.req.path, &headers, &[], framing);
    out.extend_from_slice(&call.req.body);
}

async fn exchange_head(
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
) -> Result<Reply, Fault> {
    let framing = response_framing(&call.req.method, head.status, &head.headers)
        .map_err(|_| Fault::Bad("bad_framing"))?;
    let mut body = BodyState::new(framing);
    let start = reply::read_start(&mut connection, &mut body).await.map_err(|e| broken(&e))?;
    let is_home = call.service.is_home(&in_flight.server);
    call.instance.usage.count(Flow::Request, is_home, connection.take_carried());
    let stated = reply::stated_idle(&head.headers);
    let closes = reply::closes(&head.headers) || framing == Framing::UntilClose;
    let rest = if body.is_complete() {
        if !closes && !connection.has_unread() {
            let now = call.instance.now();
            call.service.keep_connection(now, &in_flight.server, connection, stated);
        }
        None
    } else {
        Some(Rest { connection, body, is_home })
    };
    Ok(Reply {
        status: head.status,
        headers: reply::passed_on(&call.instance.names, head.headers),
        framing,
        start,
        rest,
    })
}
