//! Claims of callers' own keys in the store.

use super::plane::ControlPlane;
use crate::shared::ClaimRequest;
use bytes::Bytes;
use galenapath_filings::{ClaimId, ClaimResult};
use galenapath_platform::{Lease, Platform, PlatformError};
use galenapath_protocol::{Incarnation, Micros, Verdict};
use std::cell::RefCell;
use std::rc::Rc;

/// The lease that new claims are written with, and until when it is used for them. It is taken
/// for longer than a claim has to stand, so that the last claim written with it stands as long.
#[derive(Default)]
pub(super) struct ClaimLease {
    current: RefCell<Option<(Lease, Micros)>>,
}

/// Claims a key and replies with the store's word.
pub(super) async fn serve(plane: Rc<ControlPlane>, lease: Rc<ClaimLease>, request: ClaimRequest) {
    let result = claim(&plane, &lease, &request).await;
    // The request that asked may have ended.
    let _ = request.reply.try_send(result);
}

async fn claim(plane: &ControlPlane, lease: &ClaimLease, request: &ClaimRequest) -> ClaimResult {
    let Ok(lease) = current_lease(plane, lease, request).await else {
        return ClaimResult::StoreDown;
    };
    let value = Bytes::from(claim_text(plane.shared.incarnation, request.claim));
    let result = plane.platform.claim(&request.key, &lease, value).await;
    plane.count_call("claim", &result);
    match result {
        Ok(true) => read_back(plane, request, ClaimResult::Won).await,
        Ok(false) => read_back(plane, request, ClaimResult::Unknown).await,
        Err(PlatformError { verdict: Verdict::NotRun, .. }) => ClaimResult::StoreDown,
        Err(_) => read_back(plane, request, ClaimResult::Unknown).await,
    }
}

/// Reads who holds the key. A lease can hold a key for several claims of this incarnation, so even
/// a claim that was granted is read back.
async fn read_back(
    plane: &ControlPlane,
    request: &ClaimRequest,
    otherwise: ClaimResult,
) -> ClaimResult {
    let result = plane.platform.read(&request.key).await;
    plane.count_call("read", &result);
    let held = result.ok().and_then(|read| read.entry).and_then(|entry| parse(&entry.value));
    match held {
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

fn claim_text(incarnation: Incarnation, claim: ClaimId) -> String {
    format!("{incarnation} {}", claim.0)
}

fn parse(value: &[u8]) -> Option<(Incarnation, ClaimId)> {
    let text = std::str::from_utf8(value).ok()?;
    let (incarnation, claim) = text.split_once(' ')?;
    Some((incarnation.parse().ok()?, ClaimId(claim.parse().ok()?)))
}
