//! A planned stop.
//!
//! The instance leaves the address answers first, then waits until its callers have moved and its
//! requests have ended, hands the outcomes of its filings to its successors and goes.

use super::plane::ControlPlane;
use super::{gossip, lists};
use crate::data::{DataCommand, SUCCESSOR_COUNT};
use crate::shared::Stage;
use galenapath_filings::{HandOver, successors};
use galenapath_peers::{HandOverWire, PeerCall};
use galenapath_protocol::Incarnation;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which a leaving instance still takes new requests, so that callers that hold an
/// address answer are not refused: an answer is kept for five seconds, and gossip takes one more.
const GRACE: Duration = Duration::from_secs(6);

/// Most bytes of outcomes in one message. Their text form is more than twice as long, and peers
/// take messages of eight megabytes.
const PART_BYTES: usize = 1 << 20;

/// Time between two looks at the requests in progress.
const POLL: Duration = Duration::from_millis(20);

/// Waits for a signal to stop and carries out the stop. A second signal ends the waits.
pub(super) async fn wait_and_drain(plane: &Rc<ControlPlane>) {
    let _ = plane.wiring.stops.recv_async().await;
    let limit = plane.shared.settings.limits.drain_timeout;
    log::info!(limit:? = limit; "stopping");
    let end = Instant::now() + limit;
    plane.shared.set_stage(Stage::Leaving);
    plane.members.borrow_mut().leave(plane.now());
    plane.publish_members();
    let told = Rc::clone(plane);
    monoio::spawn(async move { gossip::tell_all(&told).await });
    lists::announce_leaving(plane).await;
    wait(plane, GRACE.min(limit / 2)).await;
    plane.shared.set_stage(Stage::Draining);
    let _ = plane.wiring.commands.send_async(DataCommand::BeginStop).await;
    while Instant::now() < end && in_progress(plane).await > 0 {
        wait(plane, POLL).await;
    }
    hand_over(plane).await;
    lists::withdraw(plane).await;
    log::info!(in_progress = in_progress(plane).await; "stopped");
}

/// Sleeps, but not past a second signal.
async fn wait(plane: &ControlPlane, time: Duration) {
    let _ = monoio::time::timeout(time, plane.wiring.stops.recv_async()).await;
}

async fn in_progress(plane: &ControlPlane) -> usize {
    let (reply, rx) = flume::bounded(1);
    if plane.wiring.commands.send_async(DataCommand::InProgress { reply }).await.is_err() {
        return 0;
    }
    rx.recv_async().await.unwrap_or(0)
}

/// Gives the outcomes of the own filings to the successors.
async fn hand_over(plane: &ControlPlane) {
    let (reply, rx) = flume::bounded(1);
    if plane.wiring.commands.send_async(DataCommand::HandOver { reply }).await.is_err() {
        return;
    }
    let Ok(outcomes) = rx.recv_async().await else { return };
    let own = plane.shared.incarnation;
    let usable: Vec<_> = plane.members.borrow().usable().map(|m| m.incarnation).collect();
    let parts = HandOver::parts(outcomes, PART_BYTES);
    for successor in successors(own, &usable, SUCCESSOR_COUNT) {
        let to = plane.members.borrow().find(successor).map(|member| member.peer_address);
        let Some(to) = to else { continue };
        let mut taken = 0;
        for part in &parts {
            taken += usize::from(send_part(plane, to, part).await);
        }
        log::info!(to:% = to, parts = parts.len(), taken; "outcomes handed over");
    }
}

async fn send_part(plane: &ControlPlane, to: SocketAddr, part: &[HandOver]) -> bool {
    let outcomes = galenapath_peers::hand_over(plane.shared.incarnation, part);
    let (reply, answer) = flume::bounded(1);
    let call = PeerCall::HandOver { to, outcomes, reply };
    let is_sent = plane.wiring.calls.send_async(call).await.is_ok();
    is_sent && matches!(answer.recv_async().await, Ok(Ok(true)))
}

/// Takes over the outcomes of an incarnation that stops.
pub(super) fn adopt(plane: &ControlPlane, wire: &HandOverWire) -> bool {
    let Ok(outcomes) = galenapath_peers::outcomes(wire) else {
        plane.shared.metrics.count_fault("bad_hand_over");
        return false;
    };
    let from = Incarnation(wire.incarnation);
    plane.wiring.commands.try_send(DataCommand::ApplyHandOver { from, outcomes }).is_ok()
}
