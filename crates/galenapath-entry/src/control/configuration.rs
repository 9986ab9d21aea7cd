//! The configuration: following the store, and peers that are ahead.

use super::plane::ControlPlane;
use galenapath_config::{
    Applied, Config, HEAD_KEY, Head, Version, decode_head, decode_snapshot, encode_head,
    encode_snapshot, snapshot_key,
};
use galenapath_peers::{ConfigWire, PeerCall};
use galenapath_platform::{Platform, StoreIndex};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a watch. A waiting watch counts as a call, so longer waits cost less.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Pause after a failed call, so that a store that is down is not hammered.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Follows the head of the configuration in the store.
pub(super) async fn follow(plane: Rc<ControlPlane>) {
    let mut after = StoreIndex(0);
    loop {
        let result = plane.platform.watch(HEAD_KEY, after, WATCH_WAIT).await;
        plane.count_call("watch", &result);
        let Ok(read) = result else {
            monoio::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        after = read.position;
        let Some(entry) = read.entry else {
            monoio::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        match decode_head(&entry.value) {
            Ok(head) => take_head(&plane, head).await,
            Err(e) => {
                log::error!(error:% = e; "the configuration in the store cannot be read");
                plane.shared.metrics.fault("bad_configuration");
            }
        }
    }
}

/// Takes over a head from the store, with its snapshot where that is needed.
async fn take_head(plane: &ControlPlane, head: Head) {
    let applied = plane.replica.borrow_mut().apply(head.clone());
    match applied {
        Applied::Gap { snapshot } => {
            let Some(config) = read_snapshot(plane, snapshot).await else { return };
            let applied = plane.replica.borrow_mut().apply_from(&config, head);
            settle(plane, &applied);
        }
        applied => settle(plane, &applied),
    }
}

pub(super) async fn read_snapshot(plane: &ControlPlane, version: Version) -> Option<Arc<Config>> {
    let result = plane.platform.read(&snapshot_key(version)).await;
    plane.count_call("read", &result);
    let entry = result.ok()?.entry?;
    match decode_snapshot(&entry.value) {
        Ok(config) => Some(Arc::new(config)),
        Err(e) => {
            log::error!(version = version.0, error:% = e; "a snapshot cannot be read");
            None
        }
    }
}

/// Publishes what has become of the replica.
pub(super) fn settle(plane: &ControlPlane, applied: &Applied) {
    match applied {
        Applied::Advanced { .. } => plane.publish_config(),
        Applied::Stale | Applied::Gap { .. } => {}
        Applied::Diverged => {
            log::error!("a configuration was offered that contradicts the one in force");
            plane.shared.metrics.fault("configuration_diverged");
        }
    }
}

/// Takes over the configuration of the peer at `from`, which is ahead.
pub(super) async fn pull(plane: Rc<ControlPlane>, from: SocketAddr) {
    let (reply, answer) = flume::bounded(1);
    if plane.wiring.calls.send_async(PeerCall::Config { to: from, reply }).await.is_err() {
        return;
    }
    let Ok(Ok(wire)) = answer.recv_async().await else { return };
    let head = decode_head(wire.head.as_bytes());
    let config = decode_snapshot(wire.snapshot.as_bytes());
    let (Ok(head), Ok(config)) = (head, config) else {
        plane.shared.metrics.fault("bad_peer_configuration");
        return;
    };
    let applied = plane.replica.borrow_mut().apply_from(&Arc::new(config), head);
    settle(&plane, &applied);
}

/// The configuration for a peer.
pub(super) fn document(plane: &ControlPlane) -> ConfigWire {
    let replica = plane.replica.borrow();
    let text = |bytes: Result<Vec<u8>, serde_json::Error>| {
        bytes.ok().and_then(|bytes| String::from_utf8(bytes).ok()).unwrap_or_default()
    };
    ConfigWire {
        head: text(encode_head(replica.chain().head())),
        snapshot: text(encode_snapshot(replica.config())),
    }
}
