//! Classifies a late, rejected or failed request under exactly one cause.

use super::request_end::RequestEnd;
use serde::Serialize;
use std::fmt;

/// Why a request was late, rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Rejected: its predicted wait was too long.
    NoRoom,
    /// Rejected for its predicted wait, and it had arrived after its target: an earlier attempt of
    /// its caller was rejected or cut off.
    NoRoomAgain,
    /// Rejected: most servers of its service were in evacuated failure domains.
    Evacuated,
    /// Rejected: most servers of its service were warming up and accepted few requests.
    ServersCold,
    /// Rejected: most servers of its service had stated a rate limit.
    ServersLimited,
    /// Rejected: most servers of its service had paused requests from the instance.
    ServersPaused,
    /// Rejected: there was no server to send it to.
    NoServer,
    /// Rejected: a server that appeared to be free shed it, and no retry was left.
    Shed,
    /// Rejected: it is a crash suspect.
    CrashesServers,
    /// Failed: the server answered with its own error.
    ServerError,
    /// Failed: the connection broke or the answer could not be forwarded.
    BadAnswer,
    /// Failed: no answer within the timeout of its caller or route.
    Timeout,
    /// Failed: its caller disconnected.
    CallerLeft,
    /// Failed: the instance ended before its answer was sent.
    CutByStop,
    /// Late: its target had passed when it arrived.
    CameLate,
    /// Late: it was sent more than once, as a retry or a hedge.
    SentAgain,
    /// Late because of the time spent on load queries to servers that turned out to be slow, full
    /// or silent.
    PassedOver,
    /// Late because of its wait for a server.
    Waited,
    /// Late: sent to a server that was known to be slow.
    SlowServer,
    /// Late: it occupied the last slot of a server, or waited there.
    LastSlot,
    /// Late although it had a slot on a server without slowdown: the request took much work, or a
    /// slow period of the server began after the send.
    Work,
    /// None of the other causes.
    Unknown,
}

impl Cause {
    /// Determines the cause for a request that was not answered within its target.
    pub fn classify(ended: &RequestEnd) -> Self {
        let fields = &ended.fields;
        if ended.is_answered() {
            return Self::classify_late(ended);
        }
        match fields.outcome.as_str() {
            "no_room" | "no_server" if ended.count_steps("withdrawn") > 0 => Self::Evacuated,
            "no_room" | "no_server" if ended.count_steps("cold") > 0 => Self::ServersCold,
            "no_room" | "no_server" if ended.count_steps("limited") > 0 => Self::ServersLimited,
            "no_room" | "no_server" if ended.count_steps("paused") > 0 => Self::ServersPaused,
            "no_room" if ended.arrived_late() => Self::NoRoomAgain,
            "no_room" => Self::NoRoom,
            "no_server" | "unreachable" => Self::NoServer,
            "refused" | "other_server" => Self::Shed,
            "crashes_servers" => Self::CrashesServers,
            "timeout" => Self::Timeout,
            "caller_left" => Self::CallerLeft,
            "server_error" | "answered" => Self::ServerError,
            "broken" | "unsigned" | "unidentified" | "foreign" | "not_http" | "encoded"
            | "bad_framing" | "unproven_refusal" => Self::BadAnswer,
            _ => Self::Unknown,
        }
    }

    fn classify_late(ended: &RequestEnd) -> Self {
        let fields = &ended.fields;
        if ended.arrived_late() {
            return Self::CameLate;
        }
        let over_ms = fields.took_ms.saturating_sub(fields.target_ms);
        let is_enough = |ms: u64| ms > 0 && ms >= over_ms;
        let Some(known) = ended.load_at_last_send() else { return Self::Unknown };
        if ended.count_steps("sent") > 1 {
            Self::SentAgain
        } else if is_enough(fields.waited_ms) {
            Self::Waited
        } else if is_enough(ended.passed_over_ms()) {
            Self::PassedOver
        } else if known.is_slow() {
            Self::SlowServer
        } else if known.is_last_slot() {
            Self::LastSlot
        } else {
            Self::Work
        }
    }

    /// Its description in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "rejected: no room",
            Self::NoRoomAgain => "rejected: no room, arrived after its target",
            Self::Evacuated => "rejected: failure domain evacuated",
            Self::ServersCold => "rejected: servers warming up",
            Self::ServersLimited => "rejected: servers at rate limits",
            Self::ServersPaused => "rejected: servers paused",
            Self::NoServer => "rejected: no server",
            Self::Shed => "rejected: shed by a server",
            Self::CrashesServers => "rejected: crash suspect",
            Self::ServerError => "failed: server error",
            Self::BadAnswer => "failed: answer lost or invalid",
            Self::Timeout => "failed: no answer in time",
            Self::CallerLeft => "failed: caller disconnected",
            Self::CutByStop => "failed: cut by the end of its instance",
            Self::CameLate => "late: arrived after its target",
            Self::SentAgain => "late: sent more than once",
            Self::PassedOver => "late: queried servers were unfit",
            Self::Waited => "late: waited for a server",
            Self::SlowServer => "late: slow server",
            Self::LastSlot => "late: last slot",
            Self::Work => "late: work, or a new slow period",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
