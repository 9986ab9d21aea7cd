//! Load queries to backend servers, and load reports in their answers.

use crate::instance::Instance;
use crate::reach;
use crate::reply;
use crate::server_answer::{AnswerKind, ServerAnswer};
use crate::service::Service;
use crate::usage::Flow;
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimeouts, HttpError, ResponseHead, put_request,
    response_framing,
};
use galenapath_policy::LogLineKind;
use galenapath_policy::place::LoadObservation;
use galenapath_policy::reach::{Exchange, NoAnswer};
use galenapath_protocol::{BackendId, Micros};
use http::header::{HOST, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use monoio::net::TcpStream;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of the head of an answer, in bytes.
pub(crate) const HEAD_LIMIT: usize = 8 * 1024;

/// Maximum size of the body of an answer, in bytes. It is not used, and a faulty server may send one
/// without end.
const BODY_LIMIT: usize = 64 * 1024;

/// Upper limits on the time for an answer; [`LoadQuery::timeout`] is shorter.
const TIMES: HeadTimeouts =
    HeadTimeouts { idle: Duration::from_secs(1), head: Duration::from_secs(1) };

const MS_PER_S: f64 = 1_000.0;

/// A backend server's answer to a load query.
pub(crate) struct LoadQueryAnswer {
    /// The server's load, if it reports one.
    pub(crate) observation: Option<LoadObservation>,
    /// Whether a different server has the address.
    pub(crate) is_other: bool,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<Connection>,
    /// Idle time after which the server closes the connection, if it states one.
    pub(crate) stated_idle: Option<Micros>,
}

/// Why a server is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A regular probe.
    Probe,
    /// A query just before a request is sent.
    Send,
    /// To find out whether the server has crashed.
    Crash,
    /// To find out whether the path to the server is good.
    Check,
    /// The same, on behalf of another instance.
    CheckForOther,
}

impl Purpose {
    /// Its label in the metric of connections opened.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Send => "question",
            Self::Crash => "crash",
            Self::Check | Self::CheckForOther => "check",
        }
    }
}

/// A load query to be sent.
pub(crate) struct LoadQuery<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) service: &'a Service,
    pub(crate) id: &'a BackendId,
    pub(crate) address: SocketAddr,
    pub(crate) purpose: Purpose,
    /// Time after which the query counts as unanswered.
    pub(crate) timeout: Duration,
}

impl LoadQuery<'_> {
    /// Sends the query on the connection `kept`, or on a new one if that is missing or fails, and
    /// records whether the server answered.
    pub(crate) async fn send(
        &self,
        kept: Option<Connection>,
    ) -> Result<LoadQueryAnswer, HttpError> {
        let started_at = self.instance.now();
        let is_new_connection = Cell::new(kept.is_none());
        let sending = async {
            if let Some(kept) = kept
                && let Ok(answer) = self.send_on(kept).await
            {
                return Ok(answer);
            }
            is_new_connection.set(true);
            self.instance.count_connect(self.purpose.as_str());
            let io = TcpStream::connect_addr(self.address).await?;
            self.send_on(Connection::new(io, HEAD_LIMIT)).await
        };
        let result = monoio::time::timeout(self.timeout, sending).await;
        let result = result.unwrap_or_else(|_| Err(HttpError::HeadTimeout));
        let exchange = Exchange { started_at, is_new_connection: is_new_connection.get() };
        match &result {
            Ok(answer) if answer.is_other => {}
            Ok(_) => self.service.record_answer(self.instance, self.id, exchange),
            // A server that this instance does not use is not its concern.
            Err(_) if self.purpose == Purpose::CheckForOther && !self.is_in_use() => {}
            Err(e) => {
                self.service.record_no_answer(self.instance, self.id, exchange, no_answer(e));
            }
        }
        result
    }

    fn is_in_use(&self) -> bool {
        self.service.contacts.borrow().has(self.id)
    }

    async fn send_on(&self, connection: Connection) -> Result<LoadQueryAnswer, HttpError> {
        query(self.instance, self.service, self.id, connection).await
    }
}

/// How a server failed to answer a query.
pub(crate) fn no_answer(error: &HttpError) -> NoAnswer {
    match error {
        HttpError::Io(e) => reach::no_answer(e),
        _ => NoAnswer::Lost,
    }
}

/// Queries the load of the server on `connection` and applies everything that the answer reports.
/// Its status code is ignored, because healthy servers may report that they are unhealthy, and the
/// reverse.
async fn query(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    mut connection: Connection,
) -> Result<LoadQueryAnswer, HttpError> {
    let mut headers = HeaderMap::new();
    if let Some(host) = host(service, id) {
        headers.insert(HOST, host);
    }
    let path = service.spec.borrow().health_path.clone();
    // The observation is dated to the query: an instance short of processor time may read the
    // answer long after the load was as reported.
    let queried_at = instance.now();
    put_request(connection.output(), &Method::GET, &path, &headers, &[], Framing::None);
    connection.flush().await?;
    let head = connection.read_final_response(TIMES).await?;
    let framing = response_framing(&Method::GET, head.status, &head.headers)?;
    let mut body = BodyState::new(framing);
    connection.skip_body(&mut body, BODY_LIMIT).await?;
    instance.usage.count(Flow::Query, service.is_local(id), connection.take_byte_count());
    let is_other = is_other(instance, service, id, &head);
    if !is_other {
        apply_warm_up(instance, service, id, &head);
        let (head, kind, sent_at) = (&head, AnswerKind::LoadQuery, queried_at);
        ServerAnswer { instance, service, id, head, kind, sent_at }.apply();
    }
    let closes = reply::closes(&head.headers) || framing == Framing::UntilClose;
    // A second copy of a rejection would prove of the next request that it has not run.
    let is_rejected = head.headers.contains_key(&instance.names.not_run);
    let is_clean = !closes && !is_rejected && !connection.has_unread();
    Ok(LoadQueryAnswer {
        observation: apply_load(instance, service, id, &head, queried_at),
        is_other,
        connection: is_clean.then_some(connection),
        stated_idle: reply::stated_idle(&head.headers),
    })
}

fn host(service: &Service, id: &BackendId) -> Option<HeaderValue> {
    HeaderValue::from_str(&service.address(id)?.to_string()).ok()
}

fn is_other(instance: &Instance, service: &Service, id: &BackendId, head: &ResponseHead) -> bool {
    let stated = head.headers.get(&instance.names.server_id);
    let listed = service.listed_id(id);
    let is_other = stated.is_some_and(|stated| listed.is_none_or(|listed| stated != &*listed.0))
        || head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_other {
        log::info!(server:% = id; "address belongs to another server");
        service.placement.borrow_mut().mark_leaving(id);
    }
    is_other
}

/// Applies the time for which the server states that it stays cold, if any, and shares changes with
/// the other instances.
fn apply_warm_up(instance: &Instance, service: &Service, id: &BackendId, head: &ResponseHead) {
    let stated = head.headers.get(&instance.names.cold_ms).and_then(|value| value.to_str().ok());
    let stated_ms = stated.and_then(|text| text.trim().parse::<f64>().ok());
    // Negative and overflowing values and those that are not numbers are ignored.
    let left = stated_ms.and_then(|ms| Duration::try_from_secs_f64(ms / MS_PER_S).ok());
    let Some(left) = left.map(Micros::from) else { return };
    let changed = service.placement.borrow_mut().set_cold(instance.now(), id, left);
    let Some(cold_until) = changed else { return };
    instance.share_warmth(service, id, cold_until);
    if instance.may_log(LogLineKind::Peer) {
        let cold_ms = left.0 / 1_000;
        log::info!(server:% = id, cold_ms; "server warm-up changed");
    }
}

/// Applies the load report in the answer to a load query, dated to `at`, and shares changes with
/// the other instances.
fn apply_load(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
    at: Micros,
) -> Option<LoadObservation> {
    let observation = read_load(instance, head, at)?;
    if service.observe_load(instance, id, observation) {
        instance.share_load(service, id, observation);
    }
    Some(observation)
}

/// Applies the load report in the answer to a request; returns it if it is an update. It is shared
/// with the other instances only once it is known whether a request waiting here takes the slot.
pub(crate) fn apply_answer_load(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
) -> Option<LoadObservation> {
    let observation = read_load(instance, head, instance.now())?;
    service.observe_load(instance, id, observation).then_some(observation)
}

fn read_load(instance: &Instance, head: &ResponseHead, at: Micros) -> Option<LoadObservation> {
    let text = head.headers.get(&instance.names.load)?.to_str().ok()?;
    Some(LoadObservation { at, report: instance.dialect.parse_load(text)? })
}
