//! Backend servers as they register with the platform.

use galenapath_protocol::{BackendId, DomainId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and then stops.
    Leaving,
}

/// When the process of a backend server started, in Unix milliseconds of its own clock; zero if it
/// does not report it. A process that starts later under the same identity is another run, which
/// keeps no state of the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartedAt(pub u64);

/// One run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Identity under which the platform lists it; may stay the same after a restart.
    pub id: BackendId,
    /// When this run started.
    pub started: StartedAt,
    /// Service that it provides.
    pub service: Arc<str>,
    /// Address that it listens on. May belong to another server once this one is gone.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Requests that it runs at once; at least one.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Remaining warm-up time when the record was written.
    pub cold_for: Duration,
}

impl ServerRecord {
    /// Identity of this run. All state kept about a server belongs to one run: a restart under the
    /// same identity begins without any.
    pub fn run_id(&self) -> BackendId {
        match self.started {
            StartedAt(0) => self.id.clone(),
            StartedAt(ms) => BackendId(format!("{}@{ms}", self.id.0).into()),
        }
    }

    /// Whether the server has become cold or has warmed up since it wrote `before`.
    pub fn has_warm_up_changed(&self, before: &Self) -> bool {
        self.cold_for > before.cold_for || (self.cold_for.is_zero() && !before.cold_for.is_zero())
    }

    /// Whether the two are equal except for the remaining warm-up time, which every entry of a cold
    /// server updates.
    pub fn is_same_except_warm_up(&self, other: &Self) -> bool {
        Self { cold_for: other.cold_for, ..self.clone() } == *other
    }
}
