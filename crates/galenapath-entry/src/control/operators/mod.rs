//! HTTP server for operators, health checks and metrics, on a separate address.

mod answer;
mod changes;
mod views;

use super::plane::ControlPlane;
use answer::Answer;
use galenapath_config::wire::ErrorCodeWire;
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimeouts, HttpError, RequestHead, put_response,
    request_framing,
};
use http::{Method, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum size of a request body, in bytes. The largest change request is smaller.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum time for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeouts of an operator's connection.
const TIMEOUTS: HeadTimeouts =
    HeadTimeouts { idle: Duration::from_secs(60), head: Duration::from_secs(10) };

/// Serves operators until the process ends.
pub(super) async fn serve(plane: Rc<ControlPlane>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => drop(monoio::spawn(serve_connection(Rc::clone(&plane), io))),
            Err(e) => log::warn!(error:% = e; "cannot accept an operator connection"),
        }
    }
}

async fn serve_connection(plane: Rc<ControlPlane>, io: TcpStream) {
    let mut connection = Connection::new(io, MAX_HEAD_BYTES);
    while let Ok(head) = connection.read_request(TIMEOUTS).await {
        let _in_progress = plane.begin_operator_request();
        if serve_request(&plane, &mut connection, &head).await.is_err() {
            return;
        }
    }
}

async fn serve_request(
    plane: &Rc<ControlPlane>,
    connection: &mut Connection,
    head: &RequestHead,
) -> Result<(), HttpError> {
    let framing = request_framing(head.version, &head.headers)?;
    let body = monoio::time::timeout(BODY_TIMEOUT, read_body(connection, framing)).await;
    let Some(body) = body.map_err(|_| HttpError::HeadTimeout)?? else {
        let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        let answer = Answer::error(status, ErrorCodeWire::Invalid, message);
        write_answer(connection, &answer).await?;
        return Err(HttpError::Closed);
    };
    let answer = route(plane, head, &body).await;
    write_answer(connection, &answer).await
}

/// Reads the whole body; `None` if it is too large.
async fn read_body(
    connection: &mut Connection,
    framing: Framing,
) -> Result<Option<Vec<u8>>, HttpError> {
    let mut state = BodyState::new(framing);
    let mut body = Vec::new();
    while let Some(piece) = connection.read_body(&mut state).await? {
        if body.len() + piece.len() > MAX_BODY_BYTES {
            return Ok(None);
        }
        body.extend_from_slice(&piece);
    }
    Ok(Some(body))
}

async fn route(plane: &Rc<ControlPlane>, head: &RequestHead, body: &[u8]) -> Answer {
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::GET, "/healthz") => Answer::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => readiness(plane),
        (&Method::GET, "/metrics") => metrics(plane),
        (&Method::GET, "/v1/classes") => views::classes(plane),
        (&Method::GET, "/v1/status") => views::status(plane),
        (&Method::GET, "/v1/audit") => match parse_after(head.uri.query()) {
            Some(after) => views::audit(plane, after).await,
            None => {
                let message = "`after` must be a version, such as /v1/audit?after=40".to_owned();
                Answer::error(StatusCode::BAD_REQUEST, ErrorCodeWire::Invalid, message)
            }
        },
        (&Method::POST, "/v1/changes") => changes::handle_change(plane, &head.headers, body).await,
        (&Method::GET, path) if path.starts_with("/v1/requests/") => {
            views::explain(plane, path.trim_start_matches("/v1/requests/")).await
        }
        _ => {
            let message = format!("there is no {} {path}", head.method);
            Answer::error(StatusCode::NOT_FOUND, ErrorCodeWire::NotFound, message)
        }
    }
}

fn readiness(plane: &ControlPlane) -> Answer {
    match plane.shared.is_ready() {
        true => Answer::text(StatusCode::OK, "ready\n"),
        false => Answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn metrics(plane: &ControlPlane) -> Answer {
    let content_type = "text/plain; version=0.0.4";
    let body = plane.shared.metrics.render();
    Answer { status: StatusCode::OK, content_type, body, retry_after_s: None }
}

/// Returns the version in the query `after=VERSION`: 0 if there is no query, `None` if it is
/// invalid.
fn parse_after(query: Option<&str>) -> Option<u64> {
    match query {
        None | Some("") => Some(0),
        Some(query) => query.strip_prefix("after=")?.parse().ok(),
    }
}

async fn write_answer(connection: &mut Connection, answer: &Answer) -> Result<(), HttpError> {
    let framing = Framing::Length(answer.body.len() as u64);
    put_response(connection.output(), answer.status, &answer.headers(), framing, true);
    connection.write_body(framing, &answer.body).await?;
    connection.finish_body(framing).await
}
