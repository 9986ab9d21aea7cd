//! HTTP for operators, health checks and metrics, on an address of its own.

use super::plane::ControlPlane;
use galenapath_http::{
    Connection, Framing, HeadTimes, HttpError, RequestHead, put_response, request_framing,
};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Largest head of a request, in bytes.
const HEAD_LIMIT: usize = 16 * 1024;

/// Times of an operator's connection.
const TIMES: HeadTimes = HeadTimes { idle: Duration::from_secs(60), head: Duration::from_secs(10) };

/// Serves operators for as long as the instance runs.
pub(super) async fn serve(plane: Rc<ControlPlane>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => drop(monoio::spawn(connection(Rc::clone(&plane), io))),
            Err(e) => log::warn!(error:% = e; "cannot accept an operator"),
        }
    }
}

async fn connection(plane: Rc<ControlPlane>, io: TcpStream) {
    let mut connection = Connection::new(io, HEAD_LIMIT);
    while let Ok(head) = connection.read_request(TIMES).await {
        if request(&plane, &mut connection, &head).await.is_err() {
            return;
        }
    }
}

async fn request(
    plane: &ControlPlane,
    connection: &mut Connection,
    head: &RequestHead,
) -> Result<(), HttpError> {
    if request_framing(head.version, &head.headers)? != Framing::None {
        return Err(HttpError::BadFraming("no body is expected"));
    }
    let (status, content_type, body) = match (&head.method, head.uri.path()) {
        (&Method::GET, "/healthz") => (StatusCode::OK, "text/plain", b"ok\n".to_vec()),
        (&Method::GET, "/readyz") if plane.shared.is_ready() => {
            (StatusCode::OK, "text/plain", b"ready\n".to_vec())
        }
        (&Method::GET, "/readyz") => {
            (StatusCode::SERVICE_UNAVAILABLE, "text/plain", b"not ready\n".to_vec())
        }
        (&Method::GET, "/metrics") => {
            (StatusCode::OK, "text/plain; version=0.0.4", plane.shared.metrics.render())
        }
        _ => (StatusCode::NOT_FOUND, "text/plain", b"no such page\n".to_vec()),
    };
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    let framing = Framing::Length(body.len() as u64);
    put_response(connection.output(), status, &headers, framing, true);
    connection.write_body(framing, &body).await?;
    connection.finish_body(framing).await
}
