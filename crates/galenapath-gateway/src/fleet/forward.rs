//! What goes with a request that an instance forwards to another one, and with its answer, in one
//! header each.

use super::convert::millis;
use super::generated::{ForwardResultWire, ForwardWire};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use galenapath_policy::CallerAttempt;
use galenapath_protocol::{Incarnation, Micros, Verdict};
use http::HeaderValue;
use http::header::HeaderName;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Header of a forwarded request.
pub(crate) const REQUEST_HEADER: HeaderName = HeaderName::from_static("galenapath-forward");

/// Header of the answer to a forwarded request.
pub(crate) const RESULT_HEADER: HeaderName = HeaderName::from_static("galenapath-forward-result");

/// What goes with a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ForwardHead {
    /// The instance that forwards it.
    pub(crate) from: Incarnation,
    /// The instance that it is forwarded to. Another one may have its address by now.
    pub(crate) to: Incarnation,
    /// Name of its route.
    pub(crate) route: String,
    /// Service that was selected for it.
    pub(crate) service: String,
    /// Name of its workspace; `None` if it needs none.
    pub(crate) workspace: Option<String>,
    /// Whether the caller has sent it before.
    pub(crate) attempt: CallerAttempt,
    /// How often it has been sent to servers.
    pub(crate) sends: u32,
    /// Time until its deadline.
    pub(crate) left: Micros,
    /// Time until its latency target; zero once that has passed.
    pub(crate) target: Micros,
}

/// What goes with the answer to a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwardResult {
    /// Whether the request may have run; `Answered` if the answer is a server's.
    pub(crate) verdict: Verdict,
    /// How often the request has been sent to servers, by both instances.
    pub(crate) sends: u32,
}

impl From<&ForwardHead> for ForwardWire {
    fn from(head: &ForwardHead) -> Self {
        Self {
            from: head.from.0,
            is_repeated: head.attempt == CallerAttempt::Repeated,
            left_ms: millis(head.left),
            route: head.route.clone(),
            sends: head.sends,
            service: head.service.clone(),
            target_ms: millis(head.target),
            to: head.to.0,
            workspace: head.workspace.clone().unwrap_or_default(),
        }
    }
}

impl From<ForwardWire> for ForwardHead {
    fn from(wire: ForwardWire) -> Self {
        let attempt = if wire.is_repeated { CallerAttempt::Repeated } else { CallerAttempt::First };
        Self {
            from: Incarnation(wire.from),
            to: Incarnation(wire.to),
            route: wire.route,
            service: wire.service,
            workspace: Some(wire.workspace).filter(|name| !name.is_empty()),
            attempt,
            sends: wire.sends,
            left: Micros::from_millis(u64::from(wire.left_ms)),
            target: Micros::from_millis(u64::from(wire.target_ms)),
        }
    }
}

impl From<ForwardResult> for ForwardResultWire {
    fn from(result: ForwardResult) -> Self {
        Self {
            is_answered: result.verdict == Verdict::Answered,
            may_have_run: result.verdict != Verdict::NotRun,
            sends: result.sends,
        }
    }
}

impl From<ForwardResultWire> for ForwardResult {
    fn from(wire: ForwardResultWire) -> Self {
        let verdict = match (wire.is_answered, wire.may_have_run) {
            (true, _) => Verdict::Answered,
            (false, true) => Verdict::MayHaveRun,
            (false, false) => Verdict::NotRun,
        };
        Self { verdict, sends: wire.sends }
    }
}

impl ForwardHead {
    /// The value of [`REQUEST_HEADER`].
    pub(crate) fn to_header(&self) -> Option<HeaderValue> {
        encode(&ForwardWire::from(self))
    }

    /// Reads the value of [`REQUEST_HEADER`].
    pub(crate) fn from_header(value: &HeaderValue) -> Option<Self> {
        decode::<ForwardWire>(value).map(Into::into)
    }
}

impl ForwardResult {
    /// The value of [`RESULT_HEADER`].
    pub(crate) fn to_header(self) -> Option<HeaderValue> {
        encode(&ForwardResultWire::from(self))
    }

    /// Reads the value of [`RESULT_HEADER`].
    pub(crate) fn from_header(value: &HeaderValue) -> Option<Self> {
        decode::<ForwardResultWire>(value).map(Into::into)
    }
}

fn encode<T: Serialize>(wire: &T) -> Option<HeaderValue> {
    let bytes = rmp_serde::to_vec(wire)
        .inspect_err(|e| log::error!(error:% = e; "failed to encode a forwarded request"))
        .ok()?;
    HeaderValue::from_str(&URL_SAFE_NO_PAD.encode(bytes)).ok()
}

fn decode<T: DeserializeOwned>(value: &HeaderValue) -> Option<T> {
    let bytes = URL_SAFE_NO_PAD.decode(value.as_bytes()).ok()?;
    rmp_serde::from_slice(&bytes)
        .inspect_err(|e| log::debug!(error:% = e; "failed to decode a forwarded request"))
        .ok()
}
