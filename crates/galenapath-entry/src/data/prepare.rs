//! A request as it goes to a backend server.

use super::headers;
use super::plane::DataPlane;
use super::request::RequestMeta;
use bytes::Bytes;
use galenapath_filings::Fingerprint;
use galenapath_http::{Framing, RequestHead};
use http::{HeaderMap, Method};

/// A request whose body is at hand, so that it can be sent again.
pub(super) struct Prepared {
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: String,
    /// Headers that pass to the backend server.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Hash of what makes two requests the same work.
    pub(super) fingerprint: Fingerprint,
}

impl Prepared {
    /// Turns a caller's request into the one that backend servers get.
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

    /// How the body is framed.
    pub(super) fn framing(&self) -> Framing {
        match self.body.len() {
            0 => Framing::None,
            n => Framing::Length(n as u64),
        }
    }
}
