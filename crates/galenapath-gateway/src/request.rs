//! A caller's request.

use crate::body::Body;
use crate::dialect::HeaderNames;
use crate::fleet::REQUEST_HEADER;
use crate::quota::QuotaCharge;
use galenapath_filings::Fingerprint;
use galenapath_http::{Framing, RequestHead, strip_hop_by_hop};
use galenapath_policy::CallerAttempt;
use galenapath_protocol::Micros;
use galenapath_routes::{Route, Workspace};
use http::Method;
use http::header::{
    AUTHORIZATION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use std::sync::Arc;

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another instance that forwarded it, after it had sent it to servers `sends` times.
    Peer {
        /// Sends to servers.
        sends: u32,
    },
}

/// A request that has been read completely.
pub(crate) struct Request {
    /// Number of the request within this incarnation of the instance.
    pub(crate) ticket: u64,
    /// Identifier set by the caller.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path: String,
    /// Headers for the backend server, except those that are set for each send.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    pub(crate) route: Arc<Route>,
    /// Workspace that the request belongs to; `None` if it needs none.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Charge to the quota of the workspace, if that has one.
    pub(crate) charge: Option<QuotaCharge>,
    /// Priority among the requests that wait for a server; 0 is the most urgent.
    pub(crate) rank: u32,
    /// Identifies requests for the same work.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the caller has sent the same request before.
    pub(crate) caller_attempt: CallerAttempt,
    /// Whether it came from a caller or from another instance.
    pub(crate) origin: Origin,
    /// When the caller's first attempt arrived, as far as known.
    pub(crate) first_at: Micros,
    /// When the head was read.
    pub(crate) arrived: Micros,
    /// The latency target, counted from the caller's first attempt.
    pub(crate) target_at: Micros,
    /// The earlier of the caller's and the route's timeout.
    pub(crate) deadline: Micros,
    /// The caller's timeout.
    pub(crate) caller_deadline: Micros,
}

impl Request {
    /// Framing of the body sent to a backend server.
    pub(crate) fn framing(&self) -> Framing {
        match self.body.len() {
            0 => Framing::None,
            n => Framing::Length(n as u64),
        }
    }

    /// The identifier for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Path and query of a head.
pub(crate) fn path(head: &RequestHead) -> String {
    head.uri.path_and_query().map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned())
}

/// The caller timeout stated in the headers.
pub(crate) fn caller_timeout(names: &HeaderNames, headers: &HeaderMap) -> Option<Micros> {
    let text = headers.get(&names.time_left_ms)?.to_str().ok()?;
    let ms: f64 = text.trim().parse().ok()?;
    (ms >= 0.0 && ms.is_finite()).then_some(Micros((ms * 1_000.0) as u64))
}

/// Removes the headers that are not forwarded to a backend server.
pub(crate) fn server_headers(names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers.remove(&names.expected_server);
    headers.remove(REQUEST_HEADER);
    headers
}

/// Like [`server_headers`], where the configuration has workspaces: the key is not forwarded, and
/// the workspace is the one that holds it, whatever the caller sent.
pub(crate) fn keyed_headers(
    names: &HeaderNames,
    headers: HeaderMap,
    workspace: Option<&Workspace>,
) -> HeaderMap {
    let mut headers = server_headers(names, headers);
    headers.remove(AUTHORIZATION);
    headers.remove(&names.workspace);
    if let Some(workspace) = workspace {
        set_header(&mut headers, &names.workspace, &workspace.name);
    }
    headers
}

/// Sets a header; logs a value that is not valid in a header.
pub(crate) fn set_header(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(e) => log::warn!(header:% = name, error:% = e; "invalid header value"),
    }
}
