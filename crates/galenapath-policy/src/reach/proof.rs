//! What failed tries show of an instance's own paths.
//!
//! Load pattern: a request crashes the servers of a service one after the other until none is left.
//! No instance reaches one of them then. If that alone made an instance doubt its own paths, the crash
//! of the last server would never count, and the request would be run again by each server that
//! starts.
//!
//! A refused connection is an answer of the server's machine. A firewall gives it as well, so a server
//! of another service has to answer besides; one that hangs or resets shows nothing.

use galenapath_protocol::Micros;

/// How a server failed to answer on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The connection was refused.
    Refused,
    /// It hung, or broke.
    Lost,
}

/// A new connection to a server, or a query on it, that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedTry {
    /// When it began.
    pub began: Micros,
    /// How it failed.
    pub how: NoAnswer,
}

/// Whether an answer of another service's server shows that an instance has paths to the servers of
/// a service: all of those tried have failed, the one in question and `others`.
pub fn is_shown_by_other_services(server: NoAnswer, others: &[NoAnswer]) -> bool {
    let mut all = others.iter().chain([&server]);
    others.is_empty() || all.all(|how| *how == NoAnswer::Refused)
}
