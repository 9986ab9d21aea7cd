//! Telling peers of an accepted change before the operator is answered.
//!
//! The store may go away, and this instance too, a moment after the answer. A change that only the
//! two of them know would then be out of force until the store comes back.

use super::gossip;
use super::plane::ControlPlane;
use galenapath_config::Version;
use galenapath_membership::Member;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for peers to confirm. They need two round trips of a few milliseconds; one that is
/// paused or cut off learns later, from any peer or from the store.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a peer to pull the configuration before it is asked again.
const PULL_TIME: Duration = Duration::from_millis(10);

/// Tells every usable peer of `version`; the number of instances that have it, this one included.
pub(super) async fn spread(plane: &Rc<ControlPlane>, version: Version) -> u32 {
    let own = plane.shared.incarnation;
    let peers: Vec<Member> =
        plane.members.borrow().usable().filter(|m| m.incarnation != own).cloned().collect();
    let told: Vec<_> = peers
        .into_iter()
        .map(|peer| monoio::spawn(confirm(Rc::clone(plane), peer, version)))
        .collect();
    let mut known_by = 1;
    for confirmed in told {
        known_by += u32::from(confirmed.await);
    }
    known_by
}

async fn confirm(plane: Rc<ControlPlane>, peer: Member, version: Version) -> bool {
    let until_known = async {
        loop {
            let _ = gossip::exchange(&plane, peer.peer_address, peer.incarnation).await;
            if plane.peer_version(peer.incarnation) >= Some(version) {
                return;
            }
            monoio::time::sleep(PULL_TIME).await;
        }
    };
    monoio::time::timeout(SPREAD_TIMEOUT, until_known).await.is_ok()
}
