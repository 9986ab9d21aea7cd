//! Messages as the code works with them.

use super::generated::DatagramWire;
use galenapath_filings::Fingerprint;
use galenapath_membership::{Beat, Member};
use galenapath_protocol::{Incarnation, LoadReport, Micros};

/// Version of the messages; datagrams of another version are left alone.
const FORMAT: u8 = 2;

/// A datagram between instances.
#[derive(Clone, Debug)]
pub(crate) enum Datagram {
    /// A heartbeat.
    Beat(Beat),
    /// An instance tells who it is and asks who is there.
    Hello(Member),
    /// Who is there.
    Members(Vec<Member>),
    /// What was seen of backend servers.
    Loads(Loads),
    /// What backend servers have said of themselves.
    Notices(Notices),
    /// The sender ends now.
    End(Incarnation),
}

/// What an instance has just seen of backend servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    pub(crate) loads: Vec<LoadNote>,
    pub(crate) failures: Vec<FailureNote>,
    pub(crate) crashes: Vec<CrashNote>,
    pub(crate) warmth: Vec<WarmthNote>,
}

impl Loads {
    /// Whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty()
            && self.failures.is_empty()
            && self.crashes.is_empty()
            && self.warmth.is_empty()
    }
}

/// What backend servers have said of themselves in their answers, beside their loads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    pub(crate) limits: Vec<LimitNote>,
    /// Hashes of the identities of those that leave.
    pub(crate) leaving: Vec<u64>,
}

impl Notices {
    /// Whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty()
    }
}

/// One backend server's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LimitNote {
    /// Hash of the server's identity.
    pub(crate) server: u64,
    /// Requests a second that it takes from all instances together; `None` where it names no limit any more.
    pub(crate) per_second: Option<f64>,
    /// Age of its word when this was sent.
    pub(crate) age: Micros,
}

/// A request that ran on a backend server when it crashed.
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
    /// Age when it was sent.
    pub(crate) age: Micros,
    pub(crate) report: LoadReport,
}

/// A backend server that has turned cold, or is cold no more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmthNote {
    /// Short form of the server's identity.
    pub(crate) server: u32,
    /// How much longer it stays cold; zero for one that is cold no more.
    pub(crate) left: Micros,
}

/// Failures of one backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureNote {
    /// Short form of the server's identity.
    pub(crate) server: u32,
    /// One for a plain failure.
    pub(crate) weight: f32,
}

/// The bytes of a datagram.
pub(crate) fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    let wire = DatagramWire::from(datagram);
    if let Err(e) = rmp_serde::encode::write(&mut bytes, &wire) {
        log::error!(error:% = e; "a datagram cannot be encoded");
    }
    bytes
}

/// Reads a datagram.
///
/// # Errors
///
/// What is wrong with it, for the log.
pub(crate) fn decode(bytes: &[u8]) -> Result<Datagram, String> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => {
            let wire: DatagramWire = rmp_serde::from_slice(rest).map_err(|e| e.to_string())?;
            Datagram::try_from(wire)
        }
        Some((format, _)) => Err(format!("format {format}")),
        None => Err("empty".into()),
    }
}
