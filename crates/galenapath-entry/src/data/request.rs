//! Properties of a request that are known before admission.

use galenapath_config::Class;
use galenapath_http::{Framing, RequestHead};
use galenapath_protocol::{
    ATTEMPT_HEADER, DEADLINE_HEADER, HOPS_HEADER, IDEMPOTENCY_KEY_HEADER, Incarnation, Micros,
    WORKSPACE_HEADER,
};
use http::HeaderMap;
use std::fmt;
use std::sync::Arc;

/// Workspace of requests that state none.
const DEFAULT_WORKSPACE: &str = "default";

/// Maximum length of a workspace's name; longer names are truncated.
const MAX_WORKSPACE_BYTES: usize = 64;

/// Caller timeout of a request that states no deadline.
const DEFAULT_TIMEOUT: Micros = Micros::from_secs(10);

/// Caller timeout of a transfer that states no deadline.
const DEFAULT_TRANSFER_TIMEOUT: Micros = Micros::from_secs(300);

/// Maximum caller timeout; longer ones are reduced to it.
const MAX_TIMEOUT: Micros = Micros::from_secs(3_600);

/// Identifier of a request, unique over all instances. Its text form is `<incarnation>-<number>`,
/// with a hexadecimal number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestId {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
}

impl RequestId {
    /// Parses the text form of an identifier.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let (incarnation, number) = text.split_once('-')?;
        let number = u64::from_str_radix(number, 16).ok()?;
        Some(Self { incarnation: incarnation.parse().ok()?, number })
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.incarnation, self.number)
    }
}

/// Properties of a request of a known class.
pub(super) struct RequestMeta {
    pub(super) id: RequestId,
    /// Number of the request on this instance; also its admission ticket.
    pub(super) number: u64,
    /// Its class.
    pub(super) class: Arc<Class>,
    /// The caller's workspace.
    pub(super) workspace: String,
    /// Time at which its head had arrived.
    pub(super) arrived: Micros,
    /// Time at which the caller gives up.
    pub(super) deadline: Micros,
    /// Idempotency key, if the caller sent one.
    pub(super) key: Option<String>,
    /// Number of entry instances that have forwarded the request.
    pub(super) hops: u32,
    /// Attempts already made, as stated in the request; zero if it states none.
    pub(super) attempts: u32,
    /// Framing of its body.
    pub(super) framing: Framing,
}

impl RequestMeta {
    pub(super) fn new(
        id: RequestId,
        class: Arc<Class>,
        arrived: Micros,
        head: &RequestHead,
        framing: Framing,
    ) -> Self {
        let workspace = header_text(&head.headers, WORKSPACE_HEADER).unwrap_or(DEFAULT_WORKSPACE);
        let is_transfer = class.kind == galenapath_config::ClassKind::Transfer;
        let default_timeout = if is_transfer { DEFAULT_TRANSFER_TIMEOUT } else { DEFAULT_TIMEOUT };
        let requested = header_number(&head.headers, DEADLINE_HEADER).map(Micros::from_millis);
        Self {
            id,
            number: id.number,
            workspace: truncate(workspace, MAX_WORKSPACE_BYTES).to_owned(),
            arrived,
            deadline: arrived + requested.unwrap_or(default_timeout).min(MAX_TIMEOUT),
            key: header_text(&head.headers, IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
            hops: header_number(&head.headers, HOPS_HEADER)
                .map_or(0, |hops| u32::try_from(hops).unwrap_or(u32::MAX)),
            attempts: header_number(&head.headers, ATTEMPT_HEADER)
                .map_or(0, |count| u32::try_from(count).unwrap_or(u32::MAX)),
            framing,
            class,
        }
    }
}

/// Returns the value of a header, if it is text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Returns the value of a header, if it is an integer of at most 32 bits, which can be converted
/// from milliseconds to microseconds without overflow.
pub(super) fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    let number: u32 = header_text(headers, name)?.parse().ok()?;
    Some(u64::from(number))
}

/// Truncates a text to at most `max_bytes`, at a character boundary.
fn truncate(text: &str, max_bytes: usize) -> &str {
    let end = (0..=max_bytes.min(text.len())).rev().find(|&at| text.is_char_boundary(at));
    &text[..end.unwrap_or(0)]
}
