//! The backend servers of all services, according to the platform's list.

use galenapath_membership::LeavingMarks;
use galenapath_platform::ListedInstance;
use galenapath_protocol::{BackendId, DomainId, FastMap};
use std::net::SocketAddr;

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetBackend {
    /// Name in the platform's list.
    pub id: BackendId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain; empty if the list does not contain it.
    pub domain: DomainId,
    /// Start of the server's current process run, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Whether it is leaving, according to the list or to a leaving mark.
    pub is_leaving: bool,
}

/// All backend servers, grouped by service.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Incremented with each change that this instance observes.
    pub version: u64,
    services: FastMap<String, Vec<FleetBackend>>,
}

impl Fleet {
    /// Groups the platform's list by service. Entries without a service are skipped.
    pub fn from_list<'a>(
        version: u64,
        list: impl Iterator<Item = &'a ListedInstance>,
        marks: &LeavingMarks,
    ) -> Self {
        let mut services: FastMap<String, Vec<FleetBackend>> = FastMap::default();
        for listed in list {
            let Some(service) = listed.service() else { continue };
            let backend = to_backend(listed, marks);
            match services.get_mut(service) {
                Some(backends) => backends.push(backend),
                None => drop(services.insert(service.to_owned(), vec![backend])),
            }
        }
        Self { version, services }
    }

    /// Returns the backend servers of a service; empty for an unknown service.
    pub fn backends(&self, service: &str) -> &[FleetBackend] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

fn to_backend(listed: &ListedInstance, marks: &LeavingMarks) -> FleetBackend {
    let id = BackendId(listed.id.as_str().into());
    let started = listed.started();
    FleetBackend {
        is_leaving: listed.is_leaving() || marks.is_leaving(&id, started),
        id,
        address: listed.address,
        domain: DomainId(listed.domain().unwrap_or_default().into()),
        started,
    }
}
