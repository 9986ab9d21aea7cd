//! Messages between instances as used in the code.

use super::generated::DatagramWire;
use galenapath_filings::Fingerprint;
use galenapath_membership::{Heartbeat, Member};
use galenapath_policy::quota::UsageNote;
use galenapath_protocol::{Incarnation, LoadReport, Micros};

/// Version of the message format; datagrams of another version are ignored.
const FORMAT_VERSION: u8 = 2;

/// A datagram between instances.
#[derive(Clone, Debug)]
pub(crate) enum Datagram {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// An instance introduces itself and requests the known members.
    Hello(Member),
    /// Members known to the sender.
    Members {
        /// The members.
        members: Vec<Member>,
        /// Those of them that the store does not answer.
        store_failing: Vec<Incarnation>,
    },
    /// Load observations and failures of backend servers.
    Loads(Loads),
    /// Statements of backend servers about themselves.
    Notices(Notices),
    /// What the sender has charged to the quotas of workspaces.
    Usage {
        /// The sender.
        from: Incarnation,
        /// One note for each workspace.
        notes: Vec<UsageNote>,
    },
    /// The sender is about to exit.
    End(Incarnation),
    /// Asks whether the receiver reaches servers that do not answer the sender.
    PathQuery {
        /// The sender.
        from: Incarnation,
        /// Short forms of the servers' identities.
        servers: Vec<u32>,
    },
    /// The answer to that.
    PathReport(PathReport),
}

/// Which servers an instance reaches on new connections.
#[derive(Clone, Debug)]
pub(crate) struct PathReport {
    /// The instance.
    pub(crate) from: Incarnation,
    /// Whether other servers answer it, so that those which it does not reach have failed.
    pub(crate) has_paths: bool,
    /// Servers that it reaches.
    pub(crate) reached: Vec<ReachedNote>,
    /// Short forms of the identities of those that do not answer it.
    pub(crate) unreached: Vec<u32>,
}

/// A server that an instance has reached on a new connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReachedNote {
    /// Short form of the server's identity.
    pub(crate) server: u32,
    /// Time since then when this was sent.
    pub(crate) age: Micros,
}

/// Updates on backend servers that the sender has just observed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    pub(crate) loads: Vec<LoadNote>,
    pub(crate) failures: Vec<FailureNote>,
    pub(crate) crashes: Vec<CrashNote>,
    pub(crate) warmth: Vec<WarmthNote>,
}

impl Loads {
    /// Whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty()
            && self.failures.is_empty()
            && self.crashes.is_empty()
            && self.warmth.is_empty()
    }
}

/// Statements of backend servers in their answers, apart from their loads, and requests that crash
/// servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    pub(crate) limits: Vec<LimitNote>,
    /// Hashes of the IDs of servers that are leaving.
    pub(crate) leaving: Vec<u64>,
    /// Requests known to crash servers, by the time since the last crash.
    pub(crate) rejected: Vec<RequestNote>,
    /// Requests that the receiver takes for the cause of crashes, by the time since a server
    /// answered them.
    pub(crate) served: Vec<RequestNote>,
}

impl Notices {
    /// Whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.limits.is_empty()
            && self.leaving.is_empty()
            && self.rejected.is_empty()
            && self.served.is_empty()
    }
}

/// A request and the age of an event: its last crash, or its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestNote {
    pub(crate) request: Fingerprint,
    /// Time from the event to when this was sent.
    pub(crate) age: Micros,
}

/// One backend server's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitNote {
    /// Hash of the server's identity.
    pub(crate) server: u64,
    /// Requests a second that it accepts from all instances together; `None` if it no longer has a
    /// limit.
    pub(crate) per_second: Option<f64>,
    /// Age of the server's statement when this was sent.
    pub(crate) age: Micros,
}

/// A request that was running on a backend server when it crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashNote {
    /// Hash of the server's identity.
    pub(crate) server: u64,
    pub(crate) request: Fingerprint,
}

/// One backend server's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadNote {
    /// Short form of the server's identity.
    pub(crate) server: u32,
    /// Age of the observation when it was sent.
    pub(crate) age: Micros,
    pub(crate) report: LoadReport,
}

/// A backend server that has turned cold or is no longer cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmthNote {
    /// Short form of the server's identity.
    pub(crate) server: u32,
    /// Time for which it stays cold; zero if it is no longer cold.
    pub(crate) left: Micros,
}

/// Failed requests of one backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureNote {
    /// Short form of the server's identity.
    pub(crate) server: u32,
    /// Sum of the weights of the failures; an ordinary failure counts one.
    pub(crate) weight: f32,
}

/// Encodes a datagram.
pub(crate) fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    let wire = DatagramWire::from(datagram);
    if let Err(e) = rmp_serde::encode::write(&mut bytes, &wire) {
        log::error!(error:% = e; "failed to encode a datagram");
    }
    bytes
}

/// Decodes a datagram.
///
/// # Errors
///
/// A description of what is wrong with it, for the log.
pub(crate) fn decode(bytes: &[u8]) -> Result<Datagram, String> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, rest)) => {
            let wire: DatagramWire = rmp_serde::from_slice(rest).map_err(|e| e.to_string())?;
            Datagram::try_from(wire)
        }
        Some((format, _)) => Err(format!("unknown format version {format}")),
        None => Err("empty".into()),
    }
}
