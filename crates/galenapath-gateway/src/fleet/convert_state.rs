//! Conversions between the wire types and the types used in the code, for the state that instances
//! fetch from each other.

use super::convert::millis;
use super::generated::{EvacuationWire, ListedServerWire, RemovalWire};
use galenapath_protocol::{BackendId, DomainId, Micros};
use galenapath_routes::{Evacuation, ListedServer, Removal, ServerRecord, ServerState, StartedAt};
use std::time::Duration;

impl From<&Evacuation> for EvacuationWire {
    fn from(evacuation: &Evacuation) -> Self {
        let Evacuation { domain, revision, is_in_force } = evacuation;
        Self { domain: domain.0.to_string(), revision: *revision, in_force: *is_in_force }
    }
}

impl From<EvacuationWire> for Evacuation {
    fn from(wire: EvacuationWire) -> Self {
        let EvacuationWire { domain, revision, in_force } = wire;
        Self { domain: DomainId(domain.into()), revision, is_in_force: in_force }
    }
}

impl From<ListedServer> for ListedServerWire {
    fn from(listed: ListedServer) -> Self {
        let ListedServer { revision, record, expires_in } = listed;
        Self {
            id: record.id.0.to_string(),
            started: record.started.0,
            service: record.service.to_string(),
            address: record.address.to_string(),
            domain: record.domain.0.to_string(),
            slots: record.slots,
            leaving: record.state == ServerState::Leaving,
            cold_ms: millis(record.cold_for.into()),
            revision,
            lapses_ms: expires_in.map_or(0, |left| millis(left).max(1)),
        }
    }
}

impl TryFrom<ListedServerWire> for ListedServer {
    type Error = String;

    fn try_from(wire: ListedServerWire) -> Result<Self, String> {
        let address = wire.address.parse().map_err(|e| format!("`{}`: {e}", wire.address))?;
        let state = if wire.leaving { ServerState::Leaving } else { ServerState::Ready };
        let expires_in_ms = u64::from(wire.lapses_ms);
        Ok(Self {
            revision: wire.revision,
            record: ServerRecord {
                id: BackendId(wire.id.into()),
                started: StartedAt(wire.started),
                service: wire.service.into(),
                address,
                domain: DomainId(wire.domain.into()),
                slots: wire.slots,
                state,
                cold_for: Duration::from_millis(u64::from(wire.cold_ms)),
            },
            expires_in: (expires_in_ms > 0).then_some(Micros::from_millis(expires_in_ms)),
        })
    }
}

impl From<Removal> for RemovalWire {
    fn from(removal: Removal) -> Self {
        Self { id: removal.id.0.to_string(), revision: removal.revision }
    }
}

impl From<RemovalWire> for Removal {
    fn from(wire: RemovalWire) -> Self {
        Self { revision: wire.revision, id: BackendId(wire.id.into()) }
    }
}
