//! Exchange of the list of backend servers between peers. An instance that does not watch the
//! platform's list receives its changes this way; an instance that starts while the platform is
//! unavailable receives the whole list.

use super::plane::ControlPlane;
use galenapath_membership::ListDelta;
use galenapath_peers::{BackendWire, BackendsWire, PeerCall};
use galenapath_platform::{
    DOMAIN_META, ListedInstance, SERVICE_META, STARTED_META, STATE_LEAVING, STATE_META,
};
use galenapath_protocol::FastMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// State of a server that accepts requests.
const STATE_LIVE: &str = "live";

/// Fetches and applies the changes that the peer at `from` has beyond this instance's list. Does
/// nothing if changes are already being fetched from a peer.
pub(super) async fn fetch(plane: Rc<ControlPlane>, from: SocketAddr) {
    if plane.is_fetching_backends.replace(true) {
        return;
    }
    let delta = request_changes(&plane, from).await;
    plane.is_fetching_backends.set(false);
    let Some(delta) = delta else { return };
    let (to, changes) = (delta.to, delta.put.len() + delta.removed.len());
    if plane.backends.borrow_mut().apply(delta) {
        log::debug!(peer:% = from, position = to, changes; "backend servers updated from a peer");
        plane.publish_fleet();
    }
}

async fn request_changes(
    plane: &ControlPlane,
    to: SocketAddr,
) -> Option<ListDelta<ListedInstance>> {
    let after = plane.backends.borrow().position();
    let (reply, answer) = flume::bounded(1);
    plane.wiring.calls.send_async(PeerCall::Backends { to, after, reply }).await.ok()?;
    let wire = answer.recv_async().await.ok()?.ok()?;
    let put = wire.put.iter().filter_map(from_wire);
    let put: BTreeMap<String, ListedInstance> = put.map(|b| (b.id.clone(), b)).collect();
    Some(ListDelta { from: wire.from, to: wire.to, put, removed: wire.removed })
}

/// Returns the changes that a peer whose list is at position `after` lacks.
pub(super) fn changes_after(plane: &ControlPlane, after: u64) -> BackendsWire {
    match plane.backends.borrow().delta_after(after) {
        Some(delta) => BackendsWire {
            from: delta.from,
            to: delta.to,
            put: delta.put.values().map(to_wire).collect(),
            removed: delta.removed,
        },
        None => BackendsWire { from: after, to: after, put: Vec::new(), removed: Vec::new() },
    }
}

fn to_wire(listed: &ListedInstance) -> BackendWire {
    BackendWire {
        id: listed.id.clone(),
        address: listed.address.to_string(),
        service: listed.service().unwrap_or_default().to_owned(),
        domain: listed.domain().unwrap_or_default().to_owned(),
        started: listed.started(),
        leaving: listed.is_leaving(),
    }
}

fn from_wire(wire: &BackendWire) -> Option<ListedInstance> {
    let state = if wire.leaving { STATE_LEAVING } else { STATE_LIVE };
    let mut meta: FastMap<String, String> = FastMap::default();
    let mut set = |key: &str, value: String| meta.insert(key.to_owned(), value);
    set(SERVICE_META, wire.service.clone());
    set(DOMAIN_META, wire.domain.clone());
    set(STARTED_META, wire.started.to_string());
    set(STATE_META, state.to_owned());
    Some(ListedInstance { id: wire.id.clone(), address: wire.address.parse().ok()?, meta })
}
