//! Whether the server chosen for a request is still what it was taken for, asked just before the send.
//!
//! Load pattern: a pace that changes within a request, slots that other instances fill, and servers
//! without a free slot, at which a new connection waits for one. A question there must not hold the
//! request, which goes on elsewhere while the connection is opened for the next one.

use crate::attempt::{Fault, HEAD_LIMIT, connect};
use crate::call::Call;
use crate::health::{self, Health};
use crate::in_flight::InFlight;
use crate::instance::Instance;
use crate::service::Service;
use futures::channel::oneshot;
use galenapath_http::{Connection, HttpError};
use galenapath_protocol::{BackendId, Micros};
use galenapath_routes::RouteKind;
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle time up to which a kept connection carries a request that must not run twice without a
/// question before it: one that the server has just closed would leave open whether it ran.
const FRESH_IDLE: Micros = Micros::from_millis(100);

/// Age up to which a load is trusted without asking again. A server turns slow between two moments
/// this far apart once in two hundred times; a crossing takes a few milliseconds.
const FRESH_LOAD: Micros = Micros::from_millis(8);

/// Longest time for a question, after which its connection is given up.
const ASK_TIME: Duration = Duration::from_millis(150);

/// Whether a server is asked for its load before a request goes there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asking {
    /// What is known is fresh, or the service tells no load.
    Needless,
    /// A question has been taken out of the budget.
    Allowed,
    /// The budget is spent.
    Spent,
}

fn asking(call: &Call, server: &BackendId) -> Asking {
    let (now, service) = (call.instance.now(), &call.service);
    let seen = service.placement.borrow().seen(server);
    let is_fresh = seen.is_some_and(|seen| now - seen.at <= FRESH_LOAD);
    // A question takes from what a server bears that names a limit, and few others send there.
    if is_fresh || !service.tells_load(now) || service.is_limited(server) {
        Asking::Needless
    } else if service.take_probe(now, server) {
        Asking::Allowed
    } else {
        Asking::Spent
    }
}

/// A connection to the server, and whether it was kept from an earlier request. Asks the server for
/// its load first where what is known is too old to trust a request to it, or the kept connection
/// too old to trust it a request that must not run twice.
pub(crate) async fn connect_fit(
    call: &Call,
    in_flight: &InFlight,
    address: SocketAddr,
) -> Result<(Connection, bool), Fault> {
    let (service, server) = (&call.service, &in_flight.server);
    let asking = asking(call, server);
    if asking == Asking::Spent && call.may_choose_anew() {
        return Err(Fault::NotAsked);
    }
    let now = call.instance.now();
    let kept = service.take_connection(now, server).await;
    let is_once = call.req.route.kind == RouteKind::NonIdempotent;
    let is_old = is_once && kept.as_ref().is_some_and(|kept| kept.idle > FRESH_IDLE);
    let may_ask_more = || {
        service.tells_load(now) && !service.is_limited(server) && service.take_probe(now, server)
    };
    let asks =
        asking == Asking::Allowed || (asking == Asking::Needless && is_old && may_ask_more());
    if !asks {
        return match kept.filter(|_| !is_old) {
            Some(kept) => Ok((kept.connection, true)),
            None => Ok((connect(call, address).await?, false)),
        };
    }
    let kept = kept.map(|kept| kept.connection);
    let health = ask(call, server, address, kept).await?;
    judge_fitness(call, in_flight, address, health).await
}

/// Asks the server for its load.
async fn ask(
    call: &Call,
    server: &BackendId,
    address: SocketAddr,
    kept: Option<Connection>,
) -> Result<Health, Fault> {
    let instance = &call.instance;
    let patience = instance.query_timeout();
    let (tx, rx) = oneshot::channel();
    monoio::spawn(question(
        Rc::clone(instance),
        Rc::clone(&call.service),
        server.clone(),
        address,
        kept,
        tx,
    ));
    match monoio::time::timeout(patience.into(), rx).await {
        Ok(Ok(Health { is_other: true, .. })) => Err(Fault::OtherServer),
        Ok(Ok(health)) => Ok(health),
        // Whether the server is out of reach is for the regular probes to say.
        Ok(Err(_)) | Err(_) => Err(Fault::Unfit),
    }
}

/// One question to a server; its answer goes to whoever still waits for it. Otherwise the connection is
/// kept, so that the next question need not wait until it is open.
async fn question(
    instance: Rc<Instance>,
    service: Rc<Service>,
    server: BackendId,
    address: SocketAddr,
    kept: Option<Connection>,
    tx: oneshot::Sender<Health>,
) {
    let asking = exchange(&instance, &service, &server, address, kept);
    let Ok(Ok(health)) = monoio::time::timeout(ASK_TIME, asking).await else { return };
    instance.metrics.probes.with_label_values(&["before_send"]).inc();
    if health.sighting.is_none() {
        service.told_no_load(instance.now());
    }
    if let Err(Health { connection: Some(connection), stated_idle, .. }) = tx.send(health) {
        service.keep_connection(instance.now(), &server, connection, stated_idle);
    }
}

/// Asks on the kept connection, or on a new one where there is none or the server has closed it.
async fn exchange(
    instance: &Instance,
    service: &Service,
    server: &BackendId,
    address: SocketAddr,
    kept: Option<Connection>,
) -> Result<Health, HttpError> {
    if let Some(kept) = kept {
        let asked_at = instance.now();
        if let Ok(health) = health::ask(instance, service, server, kept).await {
            instance.record_query_time(instance.now() - asked_at);
            return Ok(health);
        }
    }
    instance.count_connect("question");
    let io = TcpStream::connect_addr(address).await?;
    health::ask(instance, service, server, Connection::new(io, HEAD_LIMIT)).await
}

async fn judge_fitness(
    call: &Call,
    in_flight: &InFlight,
    address: SocketAddr,
    Health { connection, stated_idle, .. }: Health,
) -> Result<(Connection, bool), Fault> {
    let (now, server) = (call.instance.now(), &in_flight.server);
    let is_fit = call.service.placement.borrow().is_fit(now, server, in_flight.started);
    if !is_fit && call.may_choose_anew() {
        if let Some(connection) = connection {
            call.service.keep_connection(now, server, connection, stated_idle);
        }
        return Err(Fault::Unfit);
    }
    match connection {
        Some(connection) => Ok((connection, true)),
        None => Ok((connect(call, address).await?, false)),
    }
}
