//! Admission of a filing by its key. It may have to wait for the same filing to end if that is
//! already running, and for the store if the caller chose the key.

use super::plane::DataPlane;
use super::prepare::Prepared;
use super::request::RequestMeta;
use crate::shared::{ClaimRequest, ControlEvent};
use futures::channel::oneshot;
use galenapath_filings::{ClaimId, ClaimResult, FilingDecision, FilingKey, RecordId};
use std::time::Duration;

/// Maximum wait of a resend for the running filing.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Maximum number of resends that wait for one filing; further ones are answered immediately that
/// it is in progress.
const MAX_WAITERS: usize = 8;

/// Decides whether and how a filing runs, after the waits that this needs.
pub(super) async fn admit(
    plane: &DataPlane,
    meta: &RequestMeta,
    key: &FilingKey,
    req: &Prepared,
) -> FilingDecision {
    let mut decision = plane.filings.borrow_mut().admit(plane.now(), key, req.fingerprint);
    // One wait for a running filing and one claim, each followed by another decision.
    for _ in 0..3 {
        decision = match decision {
            FilingDecision::InProgress(id) => {
                if !wait(plane, meta, id).await {
                    return decision;
                }
                plane.filings.borrow_mut().admit(plane.now(), key, req.fingerprint)
            }
            FilingDecision::Claim(claim) => {
                let result = claim_in_store(plane, key, claim).await;
                plane.filings.borrow_mut().apply_claim_result(plane.now(), claim, result)
            }
            other => return other,
        };
    }
    decision
}

/// Waits for the end of a running filing; returns `false` if it does not end in time or too many
/// resends are waiting.
async fn wait(plane: &DataPlane, meta: &RequestMeta, id: RecordId) -> bool {
    let (tx, rx) = oneshot::channel();
    {
        let mut waiters = plane.filing_waiters.borrow_mut();
        let waiting = waiters.entry(id).or_default();
        waiting.retain(|tx| !tx.is_canceled());
        if waiting.len() >= MAX_WAITERS {
            return false;
        }
        waiting.push(tx);
    }
    let timeout = Duration::from(meta.deadline - plane.now()).min(MAX_WAIT);
    matches!(monoio::time::timeout(timeout, rx).await, Ok(Ok(())))
}

/// Wakes the resends that wait for a filing that has ended.
pub(super) fn wake(plane: &DataPlane, id: RecordId) {
    let waiting = plane.filing_waiters.borrow_mut().remove(&id).unwrap_or_default();
    for tx in waiting {
        // Fails only if the resend has stopped waiting.
        let _ = tx.send(());
    }
}

/// Requests the control thread to write a claim to the store, and waits for the result.
async fn claim_in_store(plane: &DataPlane, key: &FilingKey, claim: ClaimId) -> ClaimResult {
    let (reply, rx) = flume::bounded(1);
    let request = ClaimRequest {
        key: key.claim_path(),
        claim,
        lease: plane.filings.borrow().claim_lease(),
        lease_max_use: plane.filings.borrow().claim_lease_max_use(),
        reply,
    };
    if plane.events.try_send(ControlEvent::Claim(request)).is_err() {
        return ClaimResult::StoreDown;
    }
    // If the control thread does not reply, it may still have started the write.
    rx.recv_async().await.unwrap_or(ClaimResult::Unknown)
}
