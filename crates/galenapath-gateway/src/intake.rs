//! Decides from its head whether a request is served, before its body is read.

use crate::access;
use crate::answer::LocalAnswer;
use crate::body::Body;
use crate::forwarding::Forwarded;
use crate::instance::Instance;
use crate::quota::{self, QuotaCharge};
use crate::request::{self, Origin, Request};
use crate::route_state::RouteState;
use galenapath_filings::Fingerprint;
use galenapath_http::{BadRequest, RequestHead, request_host};
use galenapath_policy::CallerAttempt;
use galenapath_protocol::Micros;
use galenapath_routes::{Route, RouteMatch, Workspace};
use http::StatusCode;
use std::rc::Rc;
use std::sync::Arc;

/// `Retry-After` of answers from an instance that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Micros = Micros::from_millis(200);

/// `Retry-After` for a route that cannot be used; the operator has to correct it.
const UNUSABLE_ROUTE_RETRY_AFTER: Micros = Micros::from_secs(1);

/// Caller timeout assumed for callers that state none; the route's timeout applies as well.
const DEFAULT_CALLER_TIMEOUT: Micros = Micros::from_secs(60);

/// The route and the workspace of a request.
pub(crate) struct Target {
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Option<Arc<Workspace>>,
}

impl Target {
    /// Rank of the request: the workspace's priority goes before the route's.
    fn rank(&self) -> u32 {
        const HALF_BITS: u32 = 16;
        const MAX: u32 = (1 << HALF_BITS) - 1;
        let route = self.route.rank;
        let first = self.workspace.as_ref().and_then(|workspace| workspace.rank).unwrap_or(route);
        first.min(MAX) << HALF_BITS | route.min(MAX)
    }
}

/// A request that will be served once its body has been read.
pub(crate) struct Admitted {
    target: Target,
    charge: Option<QuotaCharge>,
    arrived: Micros,
    caller_timeout: Micros,
    /// Time by which the request has to be answered.
    pub(crate) deadline: Micros,
    from: AdmittedFrom,
}

/// Where an admitted request comes from.
enum AdmittedFrom {
    /// A caller. Holds the state of the route, of the version under which it was admitted.
    Caller(Rc<RouteState>),
    /// Another instance, which has established the rest.
    Peer(Forwarded),
}

impl Admitted {
    /// A request that another instance forwards. Its quota has been charged there.
    pub(crate) const fn forwarded(
        target: Target,
        arrived: Micros,
        left: Micros,
        deadline: Micros,
        forwarded: Forwarded,
    ) -> Self {
        let (charge, caller_timeout) = (None, left);
        let from = AdmittedFrom::Peer(forwarded);
        Self { target, charge, arrived, caller_timeout, deadline, from }
    }

    /// The route of the request.
    pub(crate) const fn route(&self) -> &Arc<Route> {
        &self.target.route
    }

    /// Selects the service for the request.
    pub(crate) fn pick_service(&self) -> String {
        match &self.from {
            AdmittedFrom::Caller(state) => state.pick_service().to_owned(),
            AdmittedFrom::Peer(forwarded) => forwarded.service.clone(),
        }
    }
}

/// The caller's timeout.
pub(crate) fn caller_timeout(instance: &Instance, head: &RequestHead) -> Micros {
    request::caller_timeout(&instance.names, &head.headers).unwrap_or(DEFAULT_CALLER_TIMEOUT)
}

/// Finds the route and the workspace of a request. Changes nothing, so that a request that is not
/// served yet can be looked at.
pub(crate) fn find_target(instance: &Instance, head: &RequestHead) -> Result<Target, LocalAnswer> {
    let host = match request_host(head) {
        Ok(host) => host,
        Err(BadRequest::Version) => {
            let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
            return Err(LocalAnswer::new(status, BadRequest::Version.as_str()));
        }
        Err(bad) => return Err(LocalAnswer::new(StatusCode::BAD_REQUEST, bad.as_str())),
    };
    let state = instance.state.borrow();
    let unavailable = |reason| LocalAnswer::new(StatusCode::SERVICE_UNAVAILABLE, reason);
    if state.config().is_none() {
        return Err(unavailable("no_configuration").with_retry_after(NO_CONFIG_RETRY_AFTER));
    }
    let table = state.table();
    let route = match table.find(host, head.uri.path()) {
        RouteMatch::Route(route) => route,
        RouteMatch::Unusable => {
            return Err(unavailable("unusable_route").with_retry_after(UNUSABLE_ROUTE_RETRY_AFTER));
        }
        RouteMatch::None => return Err(LocalAnswer::new(StatusCode::NOT_FOUND, "no_route")),
    };
    let workspace = access::authorize(instance, table, route, &head.headers)?;
    Ok(Target { route: Arc::clone(route), workspace })
}

/// Admits a request whose head arrived at `arrived`, if it can end in time: charges it to its
/// workspace's quota.
pub(crate) fn admit(
    instance: &Rc<Instance>,
    target: Target,
    arrived: Micros,
    caller_timeout: Micros,
) -> Result<Admitted, LocalAnswer> {
    let deadline = arrived + caller_timeout.min(target.route.timeout.into());
    instance.check_time(&target.route, deadline)?;
    let charge = match &target.workspace {
        Some(workspace) => quota::charge(instance, workspace)?,
        None => None,
    };
    let state = instance.state.borrow().route_state(&target.route, instance.incarnation.0);
    let from = AdmittedFrom::Caller(state);
    Ok(Admitted { target, charge, arrived, caller_timeout, deadline, from })
}

/// Builds the request of an admitted head and its body.
pub(crate) fn request(
    instance: &Instance,
    admitted: Admitted,
    head: RequestHead,
    body: Body,
) -> Request {
    let path = request::path(&head);
    let target = &admitted.target;
    let fingerprint = Fingerprint::of(&target.route.host, head.method.as_str(), &path, &body);
    // Equal requests of two workspaces may concern different data.
    let fingerprint = match &target.workspace {
        Some(workspace) => fingerprint.of_caller(&workspace.name),
        None => fingerprint,
    };
    let History { first_at, attempt, target_at } = history(instance, &admitted, fingerprint);
    let origin = match &admitted.from {
        AdmittedFrom::Caller(_) => Origin::Caller,
        AdmittedFrom::Peer(forwarded) => Origin::Peer { sends: forwarded.sends },
    };
    let rank = target.rank();
    let requires_key = instance.state.borrow().table().requires_key();
    let headers = match requires_key {
        true => request::keyed_headers(&instance.names, head.headers, target.workspace.as_deref()),
        false => request::server_headers(&instance.names, head.headers),
    };
    let caller_deadline = admitted.arrived + admitted.caller_timeout;
    let Admitted { target, charge, arrived, deadline, .. } = admitted;
    Request {
        ticket: instance.next_request_number(),
        id: headers.get(&instance.names.request_id).cloned(),
        path,
        fingerprint,
        caller_attempt: attempt,
        origin,
        first_at,
        method: head.method,
        headers,
        body,
        route: target.route,
        workspace: target.workspace,
        charge,
        rank,
        arrived,
        target_at,
        deadline,
        caller_deadline,
    }
}

/// A caller's attempts at a request, as far as known.
struct History {
    /// When the first one arrived.
    first_at: Micros,
    /// Whether this one is a repetition.
    attempt: CallerAttempt,
    /// The latency target, counted from the first one.
    target_at: Micros,
}

fn history(instance: &Instance, admitted: &Admitted, fingerprint: Fingerprint) -> History {
    let arrived = admitted.arrived;
    let state = match &admitted.from {
        AdmittedFrom::Caller(state) => state,
        AdmittedFrom::Peer(forwarded) => {
            let target_at = arrived + forwarded.target;
            return History { first_at: arrived, attempt: forwarded.attempt, target_at };
        }
    };
    let failed_first = instance.failed_requests.borrow_mut().take(arrived, fingerprint.0);
    let first_at = failed_first.unwrap_or(arrived);
    let attempt =
        if failed_first.is_some() { CallerAttempt::Repeated } else { CallerAttempt::First };
    let target_at = state.target_at(arrived, first_at, admitted.caller_timeout);
    History { first_at, attempt, target_at }
}
