//! Which workspace a request belongs to.
//!
//! An instance that may lag behind the operator does not deny a key: the key may have been added a
//! moment ago. It answers that the request has not run and when to come back, and the caller finds
//! an instance that knows the key.

use crate::answer::LocalAnswer;
use crate::instance::Instance;
use galenapath_membership::Peer;
use galenapath_protocol::Micros;
use galenapath_routes::{KeyDigest, Route, RouteTable, Workspace};
use http::StatusCode;
use http::header::{AUTHORIZATION, HeaderMap};
use std::sync::Arc;

/// Scheme of the `Authorization` header, compared without regard to case.
const SCHEME: &[u8] = b"bearer";

/// Time without a sign of the store, from it or from other instances, after which an instance may
/// lag behind. The store answers a running watcher every 0.4 s.
const STORE_SILENCE: Micros = Micros::from_secs(2);

/// `Retry-After` of an instance that may lag behind: about the time for which a change spreads.
const BEHIND_RETRY_AFTER: Micros = Micros::from_millis(200);

/// The digest of the key in a request's headers; `None` without a usable key. Several
/// `Authorization` headers are no key, because a server behind could use another one of them.
pub(crate) fn key_digest(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return None };
    let value = value.as_bytes().trim_ascii();
    let scheme_len = value.iter().position(|b| *b == b' ')?;
    let (scheme, key) = value.split_at(scheme_len);
    let key = key.trim_ascii_start();
    let is_usable = scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty();
    is_usable.then(|| KeyDigest::of(key))
}

/// Decides whether a request on `route` may be served, and for which workspace: `None` where the
/// configuration has no workspaces, and for requests without a valid key on public routes.
pub(crate) fn authorize(
    instance: &Instance,
    table: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Workspace>>, LocalAnswer> {
    if !table.requires_key() {
        return Ok(None);
    }
    let workspace = key_digest(headers).and_then(|key| table.workspace(&key));
    if workspace.is_none() && !route.is_public {
        return Err(denial(instance));
    }
    if workspace.is_some() && is_revocation_unknown(instance) {
        return Err(unavailable("key_not_confirmed"));
    }
    Ok(workspace.cloned())
}

fn denial(instance: &Instance) -> LocalAnswer {
    if instance.may_lag_behind(STORE_SILENCE) {
        return unavailable("key_not_known_yet");
    }
    LocalAnswer::new(StatusCode::UNAUTHORIZED, "unknown_key")
}

fn unavailable(reason: &'static str) -> LocalAnswer {
    LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(BEHIND_RETRY_AFTER)
}

/// Whether the operator wants removed keys to end strictly, and this instance may have missed a
/// removal.
fn is_revocation_unknown(instance: &Instance) -> bool {
    let strict = instance.settings().workspaces.revoke_within;
    strict.is_some_and(|limit| instance.may_lag_behind(limit.into()))
}

impl Instance {
    /// Whether the operator may have changed the configuration without this instance knowing: the
    /// store has answered neither it nor an instance that reaches it for `silence`, or another
    /// instance has a newer version.
    pub(crate) fn may_lag_behind(&self, silence: Micros) -> bool {
        let own = self.state.borrow().table().version();
        let is_ahead = |peer: &Peer| peer.is_up() && peer.status.config_version > own;
        self.store_follow.get().silence(self.now()) > silence
            || self.membership.borrow().peers().any(is_ahead)
    }
}
