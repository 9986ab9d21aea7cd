//! Connections that end before all requests on them have their answers, and answers whose delivery
//! is in doubt.

use crate::answer::{RequestEnd, record_end};
use crate::call::{Call, Hop};
use crate::instance::Instance;
use crate::logging::id_text;
use crate::open::OpenRequest;
use galenapath_http::{CloseEnd, HttpError};
use galenapath_policy::LogLineKind;
use http::{HeaderValue, StatusCode};
use std::io::ErrorKind;

/// Status in the log of a request whose caller left before the answer.
const CALLER_LEFT_STATUS: u16 = 499;

/// Outcome in the log and the metrics of such a request.
const CALLER_LEFT: &str = "caller_left";

/// How a connection ended before the requests on it had their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Departure {
    /// The caller shut down its sending side, or closed the connection.
    EndOfInput,
    /// The caller reset the connection.
    Reset,
    /// The connection failed in another way.
    Failed,
    /// The answer to a request ahead of them could not be sent completely.
    AnswerAheadFailed,
}

impl Departure {
    /// Classifies an error of reading from the caller.
    pub(crate) fn from_read(e: &HttpError) -> Self {
        match e {
            HttpError::Closed | HttpError::Truncated => Self::EndOfInput,
            HttpError::Io(e) if e.kind() == ErrorKind::ConnectionReset => Self::Reset,
            _ => Self::Failed,
        }
    }

    /// Name in the steps of requests and in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::EndOfInput => "caller_end_of_input",
            Self::Reset => "caller_reset",
            Self::Failed => "caller_connection_failed",
            Self::AnswerAheadFailed => "answer_ahead_failed",
        }
    }
}

/// Updates the metrics and writes the log line of a request whose connection ended before its
/// answer.
pub(crate) fn record_departure(call: &Call, departure: Departure) {
    let status = StatusCode::from_u16(CALLER_LEFT_STATUS).unwrap_or(StatusCode::BAD_GATEWAY);
    let (verdict, outcome) = (call.verdict(), CALLER_LEFT);
    count(&call.instance, departure);
    call.add_step(departure.as_str());
    record_end(call, &RequestEnd { status, outcome, verdict, retry_after: None });
}

/// The same for a request that has not been read completely.
pub(crate) fn record_departure_while_reading(
    instance: &Instance,
    id: Option<&HeaderValue>,
    target: &str,
    departure: Departure,
) {
    count(instance, departure);
    if !instance.may_log(LogLineKind::Failure) {
        return;
    }
    let (status, stage) = (CALLER_LEFT_STATUS, instance.stage.get().as_str());
    let (request, steps) = (id_text(id), departure.as_str());
    log::info!(request, target, status, reason = CALLER_LEFT, stage, steps; "request rejected");
}

fn count(instance: &Instance, departure: Departure) {
    let stage = instance.stage.get().as_str();
    instance.metrics.open.departures.with_label_values(&[departure.as_str(), stage]).inc();
}

/// Records that the kernel did not take the answer to the request `id`, or not all of it.
pub(crate) fn record_unsent(instance: &Instance, id: Option<&HeaderValue>, e: &HttpError) {
    instance.metrics.open.undelivered.with_label_values(&["unsent"]).inc();
    if !instance.may_log(LogLineKind::Failure) {
        return;
    }
    let (request, stage) = (id_text(id), instance.stage.get().as_str());
    log::info!(request, stage, error:% = e; "answer not sent completely");
}

/// Records how the connection ended that was closed after the answer to `open`. Unless the caller
/// closed it as well, it may not have received the whole answer.
pub(crate) fn record_close(instance: &Instance, open: &OpenRequest, end: CloseEnd) {
    let why = match end {
        CloseEnd::PeerClosed => return,
        CloseEnd::Failed => "failed",
        CloseEnd::TimedOut => "timed_out",
        CloseEnd::TooMuchInput => "too_much_input",
    };
    instance.metrics.open.undelivered.with_label_values(&[why]).inc();
    let Some(info) = open.info().filter(|_| instance.may_log(LogLineKind::Failure)) else { return };
    let (request, stage) = (id_text(info.id.as_ref()), instance.stage.get().as_str());
    let route = info.route.as_ref().map_or("-", |route| route.name.as_str());
    let server = info.hop.as_ref().map_or("-", Hop::name);
    let age_ms = (instance.now() - info.since).0 / 1_000;
    log::info!(request, route, server, age_ms, stage, why; "caller did not confirm its answer");
}
