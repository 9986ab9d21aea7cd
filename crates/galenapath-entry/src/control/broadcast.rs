//! Notifies peers of an accepted change before the operator receives the answer.
//!
//! The store and this instance may both fail shortly after the answer. If only they had the change,
//! it would not be in force until the store is available again.

use super::gossip;
use super::plane::ControlPlane;
use galenapath_config::Version;
use galenapath_membership::Member;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time to wait for the peers' confirmations. A peer needs two round trips of a few
/// milliseconds. A peer that is paused or cut off learns the change later, from any peer or from
/// the store.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a peer has to fetch the configuration before its version is checked again.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(10);

/// Notifies all usable peers of `version`. Returns the number of instances that are known to have
/// it, including this one.
pub(super) async fn broadcast_version(plane: &Rc<ControlPlane>, version: Version) -> u32 {
    let own = plane.shared.incarnation;
    let peers: Vec<Member> =
        plane.members.borrow().usable().filter(|m| m.incarnation != own).cloned().collect();
    let confirmations: Vec<_> = peers
        .into_iter()
        .map(|peer| monoio::spawn(confirm(Rc::clone(plane), peer, version)))
        .collect();
    let mut known_by = 1;
    for confirmation in confirmations {
        known_by += u32::from(confirmation.await);
    }
    known_by
}

/// Returns whether the peer has confirmed `version` within the timeout.
async fn confirm(plane: Rc<ControlPlane>, peer: Member, version: Version) -> bool {
    let until_known = async {
        loop {
            let _ = gossip::exchange(&plane, peer.peer_address, peer.incarnation).await;
            if plane.peer_version(peer.incarnation) >= Some(version) {
                return;
            }
            monoio::time::sleep(CONFIRM_INTERVAL).await;
        }
    };
    monoio::time::timeout(CONFIRM_TIMEOUT, until_known).await.is_ok()
}
