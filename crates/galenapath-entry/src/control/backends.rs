//! The backend servers from peers, for an instance that starts while the platform is down.

use super::plane::ControlPlane;
use galenapath_peers::{BackendWire, BackendsWire, PeerCall};
use galenapath_platform::{
    DOMAIN_META, ListedInstance, SERVICE_META, STARTED_META, STATE_LEAVING, STATE_META,
};
use galenapath_protocol::FastMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time given to the platform before peers are asked, and between two peers.
const PAUSE: Duration = Duration::from_millis(500);

/// Value of the state of a server that takes requests.
const STATE_LIVE: &str = "live";

/// Asks peers, one after the other, until some list of backend servers is known. The platform's
/// own list replaces it as soon as it can be read.
pub(super) async fn pull_until_known(plane: Rc<ControlPlane>) {
    for turn in 0_usize.. {
        monoio::time::sleep(PAUSE).await;
        if plane.shared.fleet.load().version > 0 {
            return;
        }
        let Some(to) = peer(&plane, turn) else { continue };
        let Some(listed) = pull(&plane, to).await else { continue };
        // The platform may have answered during the call.
        if plane.shared.fleet.load().version == 0 {
            log::info!(peer:% = to, backends = listed.len(); "backend servers learned from a peer");
            *plane.backends.borrow_mut() = listed;
            plane.publish_fleet();
        }
    }
}

fn peer(plane: &ControlPlane, turn: usize) -> Option<SocketAddr> {
    let own = plane.shared.incarnation;
    let members = plane.members.borrow();
    let peers: Vec<SocketAddr> =
        members.usable().filter(|m| m.incarnation != own).map(|m| m.peers).collect();
    peers.get(turn % peers.len().max(1)).copied()
}

/// The list of one peer; `None` where it has none or does not answer.
async fn pull(plane: &ControlPlane, to: SocketAddr) -> Option<Vec<ListedInstance>> {
    let (reply, answer) = flume::bounded(1);
    plane.wiring.calls.send_async(PeerCall::Backends { to, reply }).await.ok()?;
    let wire = answer.recv_async().await.ok()?.ok()?;
    let listed: Vec<ListedInstance> = wire.backends.iter().filter_map(from_wire).collect();
    (!listed.is_empty()).then_some(listed)
}

/// The backend servers for a peer.
pub(super) fn document(plane: &ControlPlane) -> BackendsWire {
    BackendsWire { backends: plane.backends.borrow().iter().map(to_wire).collect() }
}

fn to_wire(listed: &ListedInstance) -> BackendWire {
    BackendWire {
        id: listed.id.clone(),
        address: listed.address.to_string(),
        service: listed.service().unwrap_or_default().to_owned(),
        domain: listed.domain().unwrap_or_default().to_owned(),
        started: listed.started(),
        leaving: listed.leaving(),
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
