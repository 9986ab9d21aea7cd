//! Admission of a filing's key, with the waits that it may need: for the same filing that is
//! already running, and for the store when the caller chose the key.

use super::plane::DataPlane;
use super::prepare::Prepared;
use super::request::RequestMeta;
use crate::shared::{ClaimRequest, ControlEvent};
use futures::channel::oneshot;
use galenapath_filings::{ClaimId, ClaimResult, FilingDecision, FilingKey, RecordId};
use std::time::Duration;

/// Longest wait of a resend for the filing that is running.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Most resends that wait for one filing; further ones are told to come back.
const MOST_WAITERS: usize = 8;

/// Admits a filing.
pub(super) async fn admit(
    plane: &DataPlane,
    meta: &RequestMeta,
    key: &FilingKey,
    req: &Prepared,
) -> FilingDecision {
    let mut admit = plane.filings.borrow_mut().admit(plane.now(), key, req.fingerprint);
    // One wait for a running filing, one claim, and the look after each.
    for _ in 0..3 {
        admit = match admit {
            FilingDecision::InProgress(id) => {
                if !wait(plane, meta, id).await {
                    return admit;
                }
                plane.filings.borrow_mut().admit(plane.now(), key, req.fingerprint)
            }
            FilingDecision::Claim(claim) => {
                let result = ask_store(plane, key, claim).await;
                plane.filings.borrow_mut().apply_claim_result(plane.now(), claim, result)
            }
            other => return other,
        };
    }
    admit
}

/// Waits for the end of a running filing; `false` where that takes too long.
async fn wait(plane: &DataPlane, meta: &RequestMeta, id: RecordId) -> bool {
    let (tx, rx) = oneshot::channel();
    {
        let mut waiters = plane.filing_waiters.borrow_mut();
        let waiting = waiters.entry(id).or_default();
        waiting.retain(|tx| !tx.is_canceled());
        if waiting.len() >= MOST_WAITERS {
            return false;
        }
        waiting.push(tx);
    }
    let left = Duration::from(meta.deadline - plane.now()).min(LONGEST_WAIT);
    matches!(monoio::time::timeout(left, rx).await, Ok(Ok(())))
}

/// Wakes those who wait for a filing that has ended.
pub(super) fn wake(plane: &DataPlane, id: RecordId) {
    let waiting = plane.filing_waiters.borrow_mut().remove(&id).unwrap_or_default();
    for tx in waiting {
        // A waiter that gave up needs no word.
        let _ = tx.send(());
    }
}

/// Has the control thread write a claim to the store.
async fn ask_store(plane: &DataPlane, key: &FilingKey, claim: ClaimId) -> ClaimResult {
    let (reply, rx) = flume::bounded(1);
    let request = ClaimRequest {
        path: key.claim_path(),
        claim,
        lease: plane.filings.borrow().claim_lease(),
        lease_use: plane.filings.borrow().claim_lease_max_use(),
        reply,
    };
    if plane.events.try_send(ControlEvent::Claim(request)).is_err() {
        return ClaimResult::StoreDown;
    }
    // The control thread may have started the write when it fails to reply.
    rx.recv_async().await.unwrap_or(ClaimResult::Unknown)
}
