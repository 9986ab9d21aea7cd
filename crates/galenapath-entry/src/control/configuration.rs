//! Keeps the configuration up to date, from the store and from peers that have a newer version.

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

/// Number of instances that watch the head in the store. One would suffice; with three, two may be
/// paused or cut off from the store. If every instance watched, the number of calls would grow with
/// the number of instances.
const WATCHER_COUNT: usize = 3;

/// Hash seed of the order by which watchers are selected.
const WATCHER_SEED: u64 = 0x636f_6e66_6967;

/// Maximum time that the store may hold a watch call open. Each watch call counts as one read
/// however long it waits, so a longer wait causes fewer reads.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which an instance that is not a watcher checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of an instance that is not a watcher. The reads are needed in case all
/// watchers are cut off from the store and from their peers.
const READ_PERIOD: Micros = Micros::from_secs(300);

/// Delay after a failed call, to limit the load on a store that is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Follows the head of the configuration in the store: reads it at the start, then watches it if
/// this instance is a watcher. Other instances learn changes from their peers.
pub(super) async fn follow(plane: Rc<ControlPlane>) {
    let mut after = StoreIndex(0);
    let mut read_at: Option<Micros> = None;
    loop {
        let is_watcher = is_watcher(&plane);
        plane.store_usage.is_watching.set(is_watcher);
        let is_due = read_at.is_none_or(|at| plane.now() - at >= READ_PERIOD);
        let position = match (is_watcher, is_due) {
            (true, _) => watch_head(&plane, after, WATCH_TIMEOUT).await,
            (false, true) => watch_head(&plane, StoreIndex(0), Duration::ZERO).await,
            (false, false) => {
                monoio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
        };
        match position {
            Some(position) => {
                after = position;
                read_at = Some(plane.now());
            }
            None => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns whether this instance is a watcher. The watchers are the first `WATCHER_COUNT` usable
/// instances in a pseudorandom order that is the same on all instances.
pub(super) fn is_watcher(plane: &ControlPlane) -> bool {
    let rank = |incarnation: Incarnation| hash64(WATCHER_SEED, &incarnation.0.to_be_bytes());
    let own = rank(plane.shared.incarnation);
    let members = plane.members.borrow();
    members.usable().filter(|member| rank(member.incarnation) < own).count() < WATCHER_COUNT
}

/// Makes one watch call for the head. Returns the position from which to watch next, or `None` if
/// the store did not answer.
async fn watch_head(plane: &ControlPlane, after: StoreIndex, wait: Duration) -> Option<StoreIndex> {
    let result = plane.platform.watch(HEAD_KEY, after, wait).await;
    plane.count_call("watch", &result);
    let read = result.ok()?;
    let Some(entry) = read.entry else { return Some(read.position) };
    match decode_head(&entry.value) {
        Ok(head) => apply_head(plane, head).await,
        Err(e) => {
            log::error!(error:% = e; "cannot decode the configuration in the store");
            plane.shared.metrics.count_fault("bad_configuration");
        }
    }
    Some(read.position)
}

/// Applies a head from the store. Reads its snapshot if the records in the head do not continue the
/// version that this instance has.
async fn apply_head(plane: &ControlPlane, head: Head) {
    let applied = plane.replica.borrow_mut().apply(head.clone());
    match applied {
        ApplyOutcome::Gap { snapshot } => {
            let Some(config) = read_snapshot(plane, snapshot).await else { return };
            let applied = plane.replica.borrow_mut().apply_from(&config, head);
            handle_apply_outcome(plane, &applied);
        }
        outcome => handle_apply_outcome(plane, &outcome),
    }
}

/// Reads a snapshot from the store; `None` if it cannot be read or decoded.
pub(super) async fn read_snapshot(plane: &ControlPlane, version: Version) -> Option<Arc<Config>> {
    let result = plane.platform.read(&snapshot_key(version)).await;
    plane.count_call("read", &result);
    let entry = result.ok()?.entry?;
    match decode_snapshot(&entry.value) {
        Ok(config) => Some(Arc::new(config)),
        Err(e) => {
            log::error!(version = version.0, error:% = e; "cannot decode a configuration snapshot");
            None
        }
    }
}

/// Publishes the configuration if the replica advanced, and reports a diverged configuration.
pub(super) fn handle_apply_outcome(plane: &ControlPlane, outcome: &ApplyOutcome) {
    match outcome {
        ApplyOutcome::Advanced { .. } => plane.publish_config(),
        ApplyOutcome::Stale | ApplyOutcome::Gap { .. } => {}
        ApplyOutcome::Diverged => {
            log::error!("a received configuration contradicts the one in force");
            plane.shared.metrics.count_fault("configuration_diverged");
        }
    }
}

/// Fetches and applies the changes that the peer at `from` has beyond this instance's version.
pub(super) async fn fetch(plane: Rc<ControlPlane>, from: SocketAddr) {
    let (reply, answer) = flume::bounded(1);
    let after = plane.replica.borrow().version().0;
    let call = PeerCall::Config { to: from, after, reply };
    if plane.wiring.calls.send_async(call).await.is_err() {
        return;
    }
    let Ok(Ok(wire)) = answer.recv_async().await else { return };
    let Some(applied) = apply_document(&plane, &wire) else {
        plane.shared.metrics.count_fault("bad_peer_configuration");
        return;
    };
    handle_apply_outcome(&plane, &applied);
}

/// Applies a configuration document from a peer; `None` if it cannot be decoded.
fn apply_document(plane: &ControlPlane, wire: &ConfigWire) -> Option<ApplyOutcome> {
    if let Some(records) = &wire.records {
        let page = decode_page(records.as_bytes()).ok()?;
        return Some(plane.replica.borrow_mut().extend(&page.records, TailLimits::DEFAULT));
    }
    let head = decode_head(wire.head.as_ref()?.as_bytes()).ok()?;
    let config = decode_snapshot(wire.snapshot.as_ref()?.as_bytes()).ok()?;
    Some(plane.replica.borrow_mut().apply_from(&Arc::new(config), head))
}

/// Returns the configuration document for a peer at version `after`. It contains only the missing
/// records if the tail has all of them, so that the cost of sending a change depends on the size of
/// the change and not on that of the whole configuration.
pub(super) fn document_after(plane: &ControlPlane, after: Version) -> ConfigWire {
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
