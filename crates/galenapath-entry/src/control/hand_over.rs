//! Hand-over of the outcomes of filings to successors at a planned stop.

use super::plane::ControlPlane;
use crate::data::{DataCommand, SUCCESSOR_COUNT};
use futures::future::{join_all, select};
use galenapath_filings::{HandOverEntry, KeyId, successors};
use galenapath_peers::{HandOverWire, PeerCall};
use galenapath_protocol::{FastSet, Incarnation};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// Maximum size of the outcomes in one message, in bytes. Their text form is more than twice as
/// long, and peers accept messages of up to eight megabytes.
const MAX_PART_BYTES: usize = 1 << 20;

/// Number of parts in a row that a successor may fail to accept. Each failure takes the timeout of
/// a call.
const MAX_FAILURES: u32 = 2;

/// Time for which a successor is waited for once another one has accepted all outcomes.
const STRAGGLER_TIME: Duration = Duration::from_millis(200);

/// Interval at which it is checked whether a successor has accepted all outcomes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The outcomes that have been handed over so far.
#[derive(Default)]
pub(super) struct HandOver {
    /// Keys whose outcomes a successor has accepted. Never borrowed across an await.
    done: RefCell<FastSet<KeyId>>,
}

impl HandOver {
    /// Hands the outcomes that are known now, and were not handed over yet, to the successors.
    /// From then on, no new filing is taken.
    pub(super) async fn run(&self, plane: &ControlPlane) {
        let (reply, rx) = flume::bounded(1);
        if plane.wiring.commands.try_send(DataCommand::HandOver { reply }).is_err() {
            return;
        }
        let Ok(mut outcomes) = rx.recv_async().await else { return };
        outcomes.retain(|outcome| !self.done.borrow().contains(&outcome.key));
        let usable: Vec<_> = plane.members.borrow().usable().map(|m| m.incarnation).collect();
        let parts = HandOverEntry::split(outcomes, MAX_PART_BYTES);
        let successors = successors(plane.shared.incarnation, &usable, SUCCESSOR_COUNT);
        let is_held = Cell::new(false);
        // Side by side, so that one that does not answer takes no time from the other.
        let (held, parts) = (&is_held, &parts);
        let sends = successors.into_iter().map(|to| async move {
            if self.send_outcomes(plane, to, parts).await {
                held.set(true);
            }
        });
        let straggler = async {
            while !is_held.get() {
                monoio::time::sleep(POLL_INTERVAL).await;
            }
            monoio::time::sleep(STRAGGLER_TIME).await;
        };
        select(join_all(sends), pin!(straggler)).await;
    }

    /// Sends the outcomes to a successor; returns whether it accepted all of them.
    async fn send_outcomes(
        &self,
        plane: &ControlPlane,
        to: Incarnation,
        parts: &[Vec<HandOverEntry>],
    ) -> bool {
        let to = plane.members.borrow().find(to).map(|member| member.peer_address);
        let Some(to) = to.filter(|_| !parts.is_empty()) else { return false };
        let (mut taken, mut failures) = (0, 0);
        for part in parts {
            if send_part(plane, to, part).await {
                self.done.borrow_mut().extend(part.iter().map(|outcome| outcome.key));
                (taken, failures) = (taken + 1, 0);
                continue;
            }
            failures += 1;
            if failures >= MAX_FAILURES {
                break;
            }
        }
        log::info!(to:% = to, parts = parts.len(), taken; "outcomes handed over");
        taken == parts.len()
    }
}

/// Sends one part of the outcomes; returns whether the successor accepted it.
async fn send_part(plane: &ControlPlane, to: SocketAddr, part: &[HandOverEntry]) -> bool {
    let outcomes = galenapath_peers::encode_hand_over(plane.shared.incarnation, part);
    let (reply, answer) = flume::bounded(1);
    let call = PeerCall::HandOver { to, outcomes, reply };
    let is_sent = plane.wiring.calls.send_async(call).await.is_ok();
    is_sent && matches!(answer.recv_async().await, Ok(Ok(true)))
}

/// Passes the outcomes handed over by an incarnation that is stopping to the data thread. Returns
/// whether they were accepted.
pub(super) fn apply_hand_over(plane: &ControlPlane, wire: &HandOverWire) -> bool {
    let Ok(outcomes) = galenapath_peers::decode_hand_over(wire) else {
        plane.shared.metrics.count_fault("bad_hand_over");
        return false;
    };
    let from = Incarnation(wire.incarnation);
    plane.wiring.commands.try_send(DataCommand::ApplyHandOver { from, outcomes }).is_ok()
}
