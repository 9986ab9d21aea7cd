//! Claims of caller-chosen keys in the store.

use super::plane::ControlPlane;
use crate::shared::ClaimRequest;
use bytes::Bytes;
use galenapath_filings::{ClaimId, ClaimResult};
use galenapath_platform::{Lease, Platform, PlatformError};
use galenapath_protocol::{Incarnation, Micros, Verdict};
use std::cell::RefCell;
use std::rc::Rc;

/// The lease with which new claims are written, and the time until which it is used for them. A
/// lease lasts for the time that a claim must remain plus the time that the lease is used for new
/// claims, so that the last claim written with it also remains long enough.
#[derive(Default)]
pub(super) struct ClaimLease {
    current: RefCell<Option<(Lease, Micros)>>,
}

/// Claims a key in the store and replies with the result.
pub(super) async fn serve(plane: Rc<ControlPlane>, lease: Rc<ClaimLease>, request: ClaimRequest) {
    let result = claim(&plane, &lease, &request).await;
    // Fails only if the request that needed the claim has ended.
    let _ = request.reply.try_send(result);
}

async fn claim(plane: &ControlPlane, lease: &ClaimLease, request: &ClaimRequest) -> ClaimResult {
    let Ok(lease) = current_lease(plane, lease, request).await else {
        return ClaimResult::StoreDown;
    };
    let value = Bytes::from(encode_claim(plane.shared.incarnation, request.claim));
    let result = plane.platform.claim(&request.key, &lease, value).await;
    plane.count_call("claim", &result);
    match result {
        Ok(true) => read_back(plane, request, ClaimResult::Won).await,
        Ok(false) => read_back(plane, request, ClaimResult::Unknown).await,
        Err(PlatformError { verdict: Verdict::NotRun, .. }) => ClaimResult::StoreDown,
        Err(_) => read_back(plane, request, ClaimResult::Unknown).await,
    }
}

/// Reads back which claim holds the key. A lease can hold a key for several claims of this
/// incarnation, so granted claims are read back too. Returns `otherwise` if the key cannot be read
/// or holds no valid claim.
async fn read_back(
    plane: &ControlPlane,
    request: &ClaimRequest,
    otherwise: ClaimResult,
) -> ClaimResult {
    let result = plane.platform.read(&request.key).await;
    plane.count_call("read", &result);
    let holder =
        result.ok().and_then(|read| read.entry).and_then(|entry| decode_claim(&entry.value));
    match holder {
        Some((incarnation, claim))
            if incarnation == plane.shared.incarnation && claim == request.claim =>
        {
            ClaimResult::Won
        }
        Some((incarnation, claim)) => ClaimResult::Lost { incarnation, claim },
        None => otherwise,
    }
}

async fn current_lease(
    plane: &ControlPlane,
    lease: &ClaimLease,
    request: &ClaimRequest,
) -> Result<Lease, PlatformError> {
    let now = plane.now();
    if let Some((lease, until)) = &*lease.current.borrow()
        && now < *until
    {
        return Ok(lease.clone());
    }
    let result = plane.platform.lease((request.lease + request.lease_max_use).into()).await;
    plane.count_call("lease", &result);
    let new = result?;
    *lease.current.borrow_mut() = Some((new.clone(), now + request.lease_max_use));
    Ok(new)
}

fn encode_claim(incarnation: Incarnation, claim: ClaimId) -> String {
    format!("{incarnation} {}", claim.0)
}

fn decode_claim(value: &[u8]) -> Option<(Incarnation, ClaimId)> {
    let text = std::str::from_utf8(value).ok()?;
    let (incarnation, claim) = text.split_once(' ')?;
    Some((incarnation.parse().ok()?, ClaimId(claim.parse().ok()?)))
}
