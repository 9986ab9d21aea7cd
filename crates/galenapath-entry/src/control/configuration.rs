//! The configuration: following the store, and peers that are ahead.

use super::plane::ControlPlane;
use galenapath_config::{
    ApplyOutcome, AuditPage, Config, HEAD_KEY, Head, TailLimits, Version, decode_head, decode_page,
    decode_snapshot, encode_head, encode_page, encode_snapshot, snapshot_key,
};
use galenapath_peers::{ConfigWire, PeerCall};
use galenapath_platform::{Platform, StoreIndex};
use galenapath_protocol::{Incarnation, Micros, hash64};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Instances that watch the head. One would do; three, so that two may be paused or cut off from
/// the store. With every instance watching, the calls would grow with the fleet.
const WATCHERS: usize = 3;

/// Seed of the order in which instances watch.
const WATCH_SEED: u64 = 0x636f_6e66_6967;

/// Longest wait of a watch. A waiting watch counts as a call, so longer waits cost less.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time between two looks at whether it is this instance's turn to watch.
const REVIEW_PAUSE: Duration = Duration::from_secs(1);

/// Longest time that an instance which does not watch goes without a read of its own, in case that
/// every watcher is cut off from the store and from its peers.
const READ_PERIOD: Micros = Micros::from_secs(300);

/// Pause after a failed call, so that a store that is down is not hammered.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Follows the head of the configuration in the store: reads it at the start, then watches it where
/// this instance is one of the few that do. The others learn from their peers.
pub(super) async fn follow(plane: Rc<ControlPlane>) {
    let mut after = StoreIndex(0);
    let mut read_at: Option<Micros> = None;
    loop {
        let watches = is_watcher(&plane);
        plane.store_use.watching.set(watches);
        let due = read_at.is_none_or(|at| plane.now() - at >= READ_PERIOD);
        let seen = match (watches, due) {
            (true, _) => look(&plane, after, WATCH_WAIT).await,
            (false, true) => look(&plane, StoreIndex(0), Duration::ZERO).await,
            (false, false) => {
                monoio::time::sleep(REVIEW_PAUSE).await;
                continue;
            }
        };
        match seen {
            Some(position) => {
                after = position;
                read_at = Some(plane.now());
            }
            None => monoio::time::sleep(FAILURE_PAUSE).await,
        }
    }
}

/// Whether this instance is among the first of the usable ones in a random order that all share.
pub(super) fn is_watcher(plane: &ControlPlane) -> bool {
    let rank = |incarnation: Incarnation| hash64(WATCH_SEED, &incarnation.0.to_be_bytes());
    let own = rank(plane.shared.incarnation);
    let members = plane.members.borrow();
    members.usable().filter(|member| rank(member.incarnation) < own).count() < WATCHERS
}

/// Watches the head once; the position to watch from next, `None` where the store did not answer.
async fn look(plane: &ControlPlane, after: StoreIndex, wait: Duration) -> Option<StoreIndex> {
    let result = plane.platform.watch(HEAD_KEY, after, wait).await;
    plane.count_call("watch", &result);
    let read = result.ok()?;
    let Some(entry) = read.entry else { return Some(read.position) };
    match decode_head(&entry.value) {
        Ok(head) => take_head(plane, head).await,
        Err(e) => {
            log::error!(error:% = e; "the configuration in the store cannot be read");
            plane.shared.metrics.fault("bad_configuration");
        }
    }
    Some(read.position)
}

/// Takes over a head from the store, with its snapshot where that is needed.
async fn take_head(plane: &ControlPlane, head: Head) {
    let applied = plane.replica.borrow_mut().apply(head.clone());
    match applied {
        ApplyOutcome::Gap { snapshot } => {
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
pub(super) fn settle(plane: &ControlPlane, applied: &ApplyOutcome) {
    match applied {
        ApplyOutcome::Advanced { .. } => plane.publish_config(),
        ApplyOutcome::Stale | ApplyOutcome::Gap { .. } => {}
        ApplyOutcome::Diverged => {
            log::error!("a configuration was offered that contradicts the one in force");
            plane.shared.metrics.fault("configuration_diverged");
        }
    }
}

/// Takes over what the peer at `from`, which is ahead, has beyond this instance's version.
pub(super) async fn pull(plane: Rc<ControlPlane>, from: SocketAddr) {
    let (reply, answer) = flume::bounded(1);
    let after = plane.replica.borrow().version().0;
    let call = PeerCall::Config { to: from, after, reply };
    if plane.wiring.calls.send_async(call).await.is_err() {
        return;
    }
    let Ok(Ok(wire)) = answer.recv_async().await else { return };
    let Some(applied) = take_document(&plane, &wire) else {
        plane.shared.metrics.fault("bad_peer_configuration");
        return;
    };
    settle(&plane, &applied);
}

/// Takes over a peer's document; `None` where it cannot be read.
fn take_document(plane: &ControlPlane, wire: &ConfigWire) -> Option<ApplyOutcome> {
    if let Some(records) = &wire.records {
        let page = decode_page(records.as_bytes()).ok()?;
        return Some(plane.replica.borrow_mut().extend(&page.records, TailLimits::DEFAULT));
    }
    let head = decode_head(wire.head.as_ref()?.as_bytes()).ok()?;
    let config = decode_snapshot(wire.snapshot.as_ref()?.as_bytes()).ok()?;
    Some(plane.replica.borrow_mut().apply_from(&Arc::new(config), head))
}

/// The configuration for a peer at version `after`: the records that it lacks where the tail has
/// them all, so that a change costs its own size and not the configuration's.
pub(super) fn document(plane: &ControlPlane, after: Version) -> ConfigWire {
    let replica = plane.replica.borrow();
    let head = replica.chain().head();
    let text = |bytes: Result<Vec<u8>, serde_json::Error>| String::from_utf8(bytes.ok()?).ok();
    if after >= head.before_tail() {
        let newer = head.tail().iter().filter(|record| record.version > after);
        let page = AuditPage { records: newer.cloned().collect() };
        return ConfigWire { records: text(encode_page(&page)), head: None, snapshot: None };
    }
    let snapshot = text(encode_snapshot(replica.config()));
    ConfigWire { records: None, head: text(encode_head(head)), snapshot }
}
