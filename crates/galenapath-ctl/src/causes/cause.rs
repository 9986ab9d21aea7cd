//! The one cause that a request is counted under.

use super::ended::Ended;
use serde::Serialize;
use std::fmt;

/// Why a request was late, refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Refused: its wait would have been too long.
    NoRoom,
    /// Refused, and it had come after its target: its caller had been refused or cut off before.
    NoRoomAgain,
    /// Refused: most servers of its service are in failure domains that are evacuated.
    Evacuated,
    /// Refused: most servers of its service are cold and can take few requests.
    ServersCold,
    /// Refused: most servers of its service name a rate limit.
    ServersLimited,
    /// Refused: most servers of its service wanted nothing from the instance for a while.
    ServersPaused,
    /// Refused: there was no server to send it to.
    NoServer,
    /// Refused: a server that seemed free did not take it, and no retry was left.
    Shed,
    /// Refused: it is taken to crash servers.
    CrashesServers,
    /// Failed: the server's own error.
    ServerError,
    /// Failed: the connection broke or the answer could not be passed on.
    BadAnswer,
    /// Failed: no answer within the time of its caller or route.
    Timeout,
    /// Failed: its caller left.
    CallerLeft,
    /// Late: its target had passed when it came.
    CameLate,
    /// Late: it was sent more than once, after a fault or as a copy.
    SentAgain,
    /// Late by the time that it spent at servers which turned out slow, full or silent.
    PassedOver,
    /// Late by its wait for a server.
    Waited,
    /// Late: sent to a server that was known to be slow.
    SlowServer,
    /// Late: it took the last slot of a server, or waited there.
    LastSlot,
    /// Late although it had a slot and a server at its usual pace: its work, or a spell that began just
    /// then.
    Work,
    /// None of these.
    Unknown,
}

impl Cause {
    /// The cause of a request that was not answered in target.
    pub fn of(ended: &Ended) -> Self {
        let fields = &ended.fields;
        if ended.is_answered() {
            return Self::of_late(ended);
        }
        match fields.outcome.as_str() {
            "no_room" | "no_server" if ended.count("withdrawn") > 0 => Self::Evacuated,
            "no_room" | "no_server" if ended.count("cold") > 0 => Self::ServersCold,
            "no_room" | "no_server" if ended.count("limited") > 0 => Self::ServersLimited,
            "no_room" | "no_server" if ended.count("paused") > 0 => Self::ServersPaused,
            "no_room" if ended.came_late() => Self::NoRoomAgain,
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

    fn of_late(ended: &Ended) -> Self {
        let fields = &ended.fields;
        if ended.came_late() {
            return Self::CameLate;
        }
        let over_ms = fields.took_ms.saturating_sub(fields.target_ms);
        let is_enough = |ms: u64| ms > 0 && ms >= over_ms;
        let Some(known) = ended.known() else { return Self::Unknown };
        if ended.count("sent") > 1 {
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

    /// Its name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "refused: no room",
            Self::NoRoomAgain => "refused: no room, came after its target",
            Self::Evacuated => "refused: failure domain evacuated",
            Self::ServersCold => "refused: servers cold",
            Self::ServersLimited => "refused: servers name rate limits",
            Self::ServersPaused => "refused: servers want nothing for a while",
            Self::NoServer => "refused: no server",
            Self::Shed => "refused: shed by a server",
            Self::CrashesServers => "refused: crashes servers",
            Self::ServerError => "failed: error of the server",
            Self::BadAnswer => "failed: answer lost or bad",
            Self::Timeout => "failed: no answer in time",
            Self::CallerLeft => "failed: caller left",
            Self::CameLate => "late: came after its target",
            Self::SentAgain => "late: sent more than once",
            Self::PassedOver => "late: servers passed over",
            Self::Waited => "late: waited",
            Self::SlowServer => "late: slow server",
            Self::LastSlot => "late: last slot",
            Self::Work => "late: work, or a spell just begun",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
