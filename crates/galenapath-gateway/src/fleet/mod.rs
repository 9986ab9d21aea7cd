//! Messages between instances and the tasks that send and receive them.

mod convert;
mod convert_notes;
mod convert_state;
mod forward;
#[allow(missing_docs, dead_code, clippy::pedantic)]
#[rustfmt::skip]
mod generated;
mod joining;
mod message;
mod pull;
mod tasks;

pub(crate) use forward::{ForwardHead, ForwardResult, REQUEST_HEADER, RESULT_HEADER};
pub(crate) use joining::{join, request_members};
pub(crate) use message::{
    CrashNote, Datagram, FailureNote, LimitNote, LoadNote, Loads, Notices, PathReport, ReachedNote,
    RequestNote, WarmthNote, encode,
};
pub(crate) use pull::serve_peers;
pub(crate) use tasks::{broadcast_end, broadcast_heartbeat, receive, run};
