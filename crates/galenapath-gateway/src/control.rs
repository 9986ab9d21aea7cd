//! Serves the control listeners: readiness, instance addresses and metrics.

use crate::addresses;
use crate::dialect::ControlRequest;
use crate::instance::{Instance, Stage};
use bytes::Bytes;
use galenapath_http::{
    Connection, Framing, HeadTimeouts, RequestHead, has_connection_option, put_response,
};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, StatusCode, Version};
use monoio::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of the head of a control request, in bytes.
const HEAD_LIMIT: usize = 8 * 1024;

/// Timeouts for one control request.
const TIMEOUTS: HeadTimeouts =
    HeadTimeouts { idle: Duration::from_secs(10), head: Duration::from_secs(2) };

/// Pause after a failed accept, which avoids a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long input is still read and discarded while a connection closes. It would reset the
/// connection otherwise, and the last answers could be lost.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

const METRICS_PATH: &str = "/metrics";

struct Reply {
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
}

/// Serves control requests on `listener` for as long as the instance runs.
pub(crate) async fn serve(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                monoio::spawn(serve_connection(Rc::clone(&instance), io));
            }
            Err(e) => {
                log::warn!(error:% = e; "control connection was not accepted");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(instance: Rc<Instance>, io: TcpStream) {
    let mut connection = Connection::new(io, HEAD_LIMIT);
    serve_requests(&instance, &mut connection).await;
    connection.close(CLOSE_TIMEOUT).await;
}

/// Serves requests until the connection has to be closed.
async fn serve_requests(instance: &Instance, connection: &mut Connection) {
    while let Ok(head) = connection.read_request(TIMEOUTS).await {
        let reply = answer(instance, &head);
        let is_last = head.version != Version::HTTP_11
            || has_connection_option(&head.headers, "close")
            || instance.stage.get() == Stage::Closing;
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
        if is_last {
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        let framing = match reply.body.len() {
            0 => Framing::None,
            n => Framing::Length(n as u64),
        };
        put_response(connection.output(), reply.status, &headers, framing, true);
        if head.method != Method::HEAD {
            connection.output().extend_from_slice(&reply.body);
        }
        if connection.flush().await.is_err() || is_last {
            return;
        }
    }
}

fn answer(instance: &Instance, head: &RequestHead) -> Reply {
    let json = |status, body| Reply { status, content_type: "application/json", body };
    if head.uri.path() == METRICS_PATH {
        instance.refresh_gauges();
        let body = instance.metrics.page().into();
        return Reply { status: StatusCode::OK, content_type: "text/plain; version=0.0.4", body };
    }
    match instance.dialect.parse_control_request(&head.uri) {
        Some(ControlRequest::Ready) if instance.is_ready() => json(StatusCode::OK, Bytes::new()),
        Some(ControlRequest::Ready) => json(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Some(ControlRequest::Addresses(query)) => {
            let addresses = addresses::addresses_for_caller(instance, &query.domain);
            if addresses.is_empty() {
                return json(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            let keep_for = instance.settings().keep_addresses;
            json(StatusCode::OK, instance.dialect.encode_addresses(&addresses, keep_for))
        }
        None => json(StatusCode::NOT_FOUND, Bytes::new()),
    }
}
