//! Checks, by a load query just before the send, that the selected server is still fit for the
//! request.
//!
//! Load pattern: slowdowns that begin within the time of a request, slots that other instances
//! fill, and servers without a free slot, where a new connection waits for one. A load query to
//! such a server must not hold up the request, which moves to another server; the connection is
//! opened all the same, for the next request.

use crate::attempt::connect;
use crate::attempt_error::AttemptError;
use crate::call::Call;
use crate::in_flight::InFlight;
use crate::instance::{Instance, sleep};
use crate::load_query::{LoadQuery, LoadQueryAnswer, Purpose};
use crate::service::Service;
use futures::channel::oneshot;
use galenapath_http::Connection;
use galenapath_protocol::{BackendId, Micros};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle time up to which a connection is reused for a non-idempotent request without a load query
/// first. If the server has just closed the connection, it is unknown whether the request ran.
const MAX_TRUSTED_IDLE: Micros = Micros::from_millis(100);

/// Age up to which a load observation is used without a new query. A server turns slow within this
/// time in one of two hundred cases; a cross-domain round trip takes a few milliseconds.
const MAX_TRUSTED_LOAD_AGE: Micros = Micros::from_millis(8);

/// Time after which a load query is abandoned and its connection closed.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether a server is queried for its load before a request is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryDecision {
    /// The observation is fresh, the service reports no load, or the server has a rate limit.
    NotNeeded,
    /// A query has been taken out of the budget.
    Allowed,
    /// The query budget is spent.
    BudgetSpent,
}

fn query_decision(call: &Call, server: &BackendId) -> QueryDecision {
    let (now, service) = (call.instance.now(), &call.service);
    let observation = service.placement.borrow().last_observation(server);
    let is_fresh = observation.is_some_and(|seen| now - seen.at <= MAX_TRUSTED_LOAD_AGE);
    // A query counts towards the rate limit of a server that states one, and few other instances
    // send requests to such a server.
    if is_fresh || !service.reports_load(now) || service.is_limited(server) {
        QueryDecision::NotNeeded
    } else if service.try_take_query(now, server) {
        QueryDecision::Allowed
    } else {
        QueryDecision::BudgetSpent
    }
}

/// Returns a connection to the server, and whether it is reused from an earlier request. Queries
/// the server's load first if the load observation is stale, or if the request is non-idempotent
/// and the connection has been idle for too long.
pub(crate) async fn connect_if_fit(
    call: &Call,
    in_flight: &InFlight,
    address: SocketAddr,
) -> Result<(Connection, bool), AttemptError> {
    let (service, server) = (&call.service, &in_flight.server);
    let decision = query_decision(call, server);
    if decision == QueryDecision::BudgetSpent && call.may_reselect() {
        return Err(AttemptError::QueryBudgetSpent);
    }
    if decision == QueryDecision::BudgetSpent && !is_waiting_over(call, server).await {
        return Err(AttemptError::Unfit);
    }
    let now = call.instance.now();
    let kept = service.take_connection(now, server);
    let is_non_idempotent = !call.req.route.kind.is_idempotent();
    let is_idle_too_long =
        is_non_idempotent && kept.as_ref().is_some_and(|kept| kept.idle > MAX_TRUSTED_IDLE);
    let may_check_connection = || {
        service.reports_load(now)
            && !service.is_limited(server)
            && service.try_take_query(now, server)
    };
    let must_query = decision == QueryDecision::Allowed
        || (decision == QueryDecision::NotNeeded && is_idle_too_long && may_check_connection());
    if !must_query {
        return match kept.filter(|_| !is_idle_too_long) {
            Some(kept) => Ok((kept.connection, true)),
            None => Ok((connect(call, server, address).await?, false)),
        };
    }
    let kept = kept.map(|kept| kept.connection);
    let answer = query_load(call, server, address, kept).await?;
    check_fitness(call, in_flight, address, answer).await
}

/// Whether the server keeps no earlier exchange waiting, or answers it now. A request that is sent to
/// a server which has not answered just before would most likely be lost.
async fn is_waiting_over(call: &Call, server: &BackendId) -> bool {
    let is_waiting = || call.service.contacts.borrow().is_waiting(server);
    if is_waiting() {
        sleep(call.instance.query_timeout()).await;
    }
    !is_waiting()
}

/// Queries the server's load. The query continues in the background if it takes too long for this
/// request.
async fn query_load(
    call: &Call,
    server: &BackendId,
    address: SocketAddr,
    kept: Option<Connection>,
) -> Result<LoadQueryAnswer, AttemptError> {
    let instance = &call.instance;
    let timeout = instance.query_timeout();
    let sent_at = instance.now();
    let (tx, rx) = oneshot::channel();
    monoio::spawn(run_query(
        Rc::clone(instance),
        Rc::clone(&call.service),
        server.clone(),
        address,
        kept,
        tx,
    ));
    match monoio::time::timeout(timeout.into(), rx).await {
        Ok(Ok(LoadQueryAnswer { is_other: true, .. })) => Err(AttemptError::OtherServer),
        Ok(Ok(answer)) => Ok(answer),
        // Only the regular probes decide whether a server is unreachable.
        Ok(Err(_)) | Err(_) => {
            call.service.record_overdue(instance, server, sent_at);
            Err(AttemptError::Unfit)
        }
    }
}

/// Runs one load query and passes the answer to the waiting request. If that has moved on, the
/// connection is kept, so that the next query need not wait for one.
async fn run_query(
    instance: Rc<Instance>,
    service: Rc<Service>,
    server: BackendId,
    address: SocketAddr,
    kept: Option<Connection>,
    tx: oneshot::Sender<LoadQueryAnswer>,
) {
    let is_reused = kept.is_some();
    let sent_at = instance.now();
    let query = LoadQuery {
        instance: &instance,
        service: &service,
        id: &server,
        address,
        purpose: Purpose::Send,
        timeout: QUERY_TIMEOUT,
    };
    let Ok(answer) = query.send(kept).await else { return };
    if is_reused {
        instance.record_query_time(instance.now() - sent_at);
    }
    instance.metrics.probes.with_label_values(&["before_send"]).inc();
    if answer.observation.is_none() {
        service.record_missing_load(instance.now());
    }
    if let Err(LoadQueryAnswer { connection: Some(connection), stated_idle, .. }) = tx.send(answer)
    {
        service.keep_connection(instance.now(), &server, connection, stated_idle);
    }
}

/// Returns the connection of the load query, or a new one, if the server is fit for the request.
async fn check_fitness(
    call: &Call,
    in_flight: &InFlight,
    address: SocketAddr,
    LoadQueryAnswer { connection, stated_idle, .. }: LoadQueryAnswer,
) -> Result<(Connection, bool), AttemptError> {
    let (now, server) = (call.instance.now(), &in_flight.server);
    let is_fit = call.service.placement.borrow().is_fit(now, server, in_flight.snapshot);
    if !is_fit && call.may_reselect() {
        if let Some(connection) = connection {
            call.service.keep_connection(now, server, connection, stated_idle);
        }
        return Err(AttemptError::Unfit);
    }
    match connection {
        Some(connection) => Ok((connection, true)),
        None => Ok((connect(call, server, address).await?, false)),
    }
}
