//! Takes requests that other instances forward.

use crate::answer::LocalAnswer;
use crate::fleet::{ForwardHead, REQUEST_HEADER};
use crate::instance::Instance;
use crate::intake::{Admitted, Target};
use galenapath_http::RequestHead;
use galenapath_policy::CallerAttempt;
use galenapath_protocol::Micros;
use galenapath_routes::RouteMatch;
use http::StatusCode;
use std::sync::Arc;

/// What another instance has established of a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Forwarded {
    /// The service selected for it.
    pub(crate) service: String,
    /// How often it has been sent to servers.
    pub(crate) sends: u32,
    /// Whether the caller has sent it before.
    pub(crate) attempt: CallerAttempt,
    /// Time until the latency target when it arrived here.
    pub(crate) target: Micros,
}

/// Admits a request that another instance forwards. Only instances that are known here may do so,
/// and only to this process run.
///
/// # Errors
///
/// The answer to a request that is not served here; it has not run.
pub(crate) fn admit(
    instance: &Instance,
    head: &RequestHead,
    arrived: Micros,
) -> Result<Admitted, LocalAnswer> {
    let forward = head.headers.get(REQUEST_HEADER).and_then(ForwardHead::from_header);
    let forward = forward.filter(|forward| is_from_peer(instance, forward));
    let Some(forward) = forward else {
        return Err(LocalAnswer::new(StatusCode::FORBIDDEN, "not_a_peer"));
    };
    let unavailable = |reason| LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, reason);
    let target = find_target(instance, head, &forward).ok_or(unavailable("other_configuration"))?;
    let deadline = arrived + forward.left.min(target.route.timeout.into());
    instance.check_time(&target.route, deadline)?;
    let forwarded = Forwarded {
        service: forward.service,
        sends: forward.sends,
        attempt: forward.attempt,
        target: forward.target,
    };
    Ok(Admitted::forwarded(target, arrived, forward.left, deadline, forwarded))
}

fn is_from_peer(instance: &Instance, forward: &ForwardHead) -> bool {
    let membership = instance.membership.borrow();
    let mut peers = membership.peers();
    forward.to == instance.incarnation && peers.any(|peer| peer.member.incarnation == forward.from)
}

/// Finds the route and the workspace that the other instance has established; `None` if the
/// configuration here has others for the request.
fn find_target(instance: &Instance, head: &RequestHead, forward: &ForwardHead) -> Option<Target> {
    let state = instance.state.borrow();
    let table = state.table();
    let host = galenapath_http::request_host(head).ok()?;
    let RouteMatch::Route(route) = table.find(host, head.uri.path()) else { return None };
    let is_same = route.name == forward.route
        && route.services.iter().any(|part| part.service == forward.service);
    if !is_same {
        return None;
    }
    let workspace = match &forward.workspace {
        Some(name) => Some(table.workspaces().find(|workspace| workspace.name == *name)?.clone()),
        None if table.requires_key() && !route.is_public => return None,
        None => None,
    };
    Some(Target { route: Arc::clone(route), workspace })
}
