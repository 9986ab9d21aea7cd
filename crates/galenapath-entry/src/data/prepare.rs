//! A request in the form that is sent to backend servers.

use super::headers;
use super::plane::DataPlane;
use super::request::RequestMeta;
use bytes::Bytes;
use galenapath_filings::Fingerprint;
use galenapath_http::{Framing, RequestHead};
use http::{HeaderMap, Method};

/// A request whose body is buffered, so that it can be sent more than once.
pub(super) struct Prepared {
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: String,
    /// Headers for the backend server.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Hash of the service, method, path and body; equal for equal requests.
    pub(super) fingerprint: Fingerprint,
}

impl Prepared {
    /// Converts a caller's request into the one that is sent to backend servers.
    pub(super) fn new(
        plane: &DataPlane,
        meta: &RequestMeta,
        head: RequestHead,
        body: Bytes,
    ) -> Self {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let mut headers = head.headers;
        headers::strip(&mut headers);
        headers::add_request(&mut headers, meta.id, meta.deadline - plane.now());
        let fingerprint = Fingerprint::of(&meta.class.service, head.method.as_str(), &path, &body);
        Self { method: head.method, path, headers, body, fingerprint }
    }

    /// Returns the framing of the body.
    pub(super) fn framing(&self) -> Framing {
        match self.body.len() {
            0 => Framing::None,
            n => Framing::Length(n as u64),
        }
    }
}
