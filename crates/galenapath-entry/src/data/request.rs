//! What is known of a request before it is let in.

use galenapath_config::Class;
use galenapath_http::{Framing, RequestHead};
use galenapath_protocol::{
    ATTEMPT_HEADER, DEADLINE_HEADER, HOPS_HEADER, IDEMPOTENCY_KEY_HEADER, Incarnation, Micros,
    WORKSPACE_HEADER,
};
use http::HeaderMap;
use std::fmt;
use std::sync::Arc;

/// Workspace of callers that name none.
const DEFAULT_WORKSPACE: &str = "default";

/// Longest name of a workspace, in bytes; longer ones are cut.
const WORKSPACE_LEN: usize = 64;

/// Time for a request whose caller sets no deadline.
const DEFAULT_TIME: Micros = Micros::from_secs(10);

/// Time for a transfer whose caller sets no deadline.
const DEFAULT_TRANSFER_TIME: Micros = Micros::from_secs(300);

/// Longest time that a caller may ask for.
const MOST_TIME: Micros = Micros::from_secs(3_600);

/// Identifier of a request, unique over all instances: `<incarnation>-<number>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestId {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
}

impl RequestId {
    /// Reads an identifier's text form.
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

/// A request with its class.
pub(super) struct RequestMeta {
    pub(super) id: RequestId,
    /// Number of the request on this instance; also its admission ticket.
    pub(super) number: u64,
    /// Its class.
    pub(super) class: Arc<Class>,
    /// The caller's workspace.
    pub(super) workspace: String,
    /// When its head had arrived.
    pub(super) arrived: Micros,
    /// When the caller gives up.
    pub(super) deadline: Micros,
    /// Idempotency key, where the caller sent one.
    pub(super) key: Option<String>,
    /// Entry instances that the request has passed.
    pub(super) hops: u32,
    /// Attempts made on it so far by those that it has passed; zero from a caller.
    pub(super) attempts: u32,
    /// Where its body ends.
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
        let workspace = text(&head.headers, WORKSPACE_HEADER).unwrap_or(DEFAULT_WORKSPACE);
        let is_transfer = class.kind == galenapath_config::ClassKind::Transfer;
        let time = if is_transfer { DEFAULT_TRANSFER_TIME } else { DEFAULT_TIME };
        let asked = number(&head.headers, DEADLINE_HEADER).map(Micros::from_millis);
        Self {
            id,
            number: id.number,
            workspace: cut(workspace, WORKSPACE_LEN).to_owned(),
            arrived,
            deadline: arrived + asked.unwrap_or(time).min(MOST_TIME),
            key: text(&head.headers, IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
            hops: number(&head.headers, HOPS_HEADER)
                .map_or(0, |hops| u32::try_from(hops).unwrap_or(u32::MAX)),
            attempts: number(&head.headers, ATTEMPT_HEADER)
                .map_or(0, |count| u32::try_from(count).unwrap_or(u32::MAX)),
            framing,
            class,
        }
    }
}

/// Value of a header, where it is text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Value of a header, where it is a whole number that a span in milliseconds can hold.
pub(super) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    let number: u32 = text(headers, name)?.parse().ok()?;
    Some(u64::from(number))
}

fn cut(text: &str, most: usize) -> &str {
    let end = (0..=most.min(text.len())).rev().find(|&at| text.is_char_boundary(at));
    &text[..end.unwrap_or(0)]
}
