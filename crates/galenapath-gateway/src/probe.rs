//! Load probes to backend servers.
//!
//! Each server is probed by one instance, which tells the others. Every instance works out the same
//! assignment from the members that it knows.

use crate::instance::{Instance, sleep};
use crate::service::Service;
use bytes::BytesMut;
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimes, HttpError, ResponseHead, put_request,
    response_framing,
};
use galenapath_policy::place::Sighting;
use galenapath_protocol::{BackendId, FastMap, Incarnation, Micros, hash64};
use http::{HeaderMap, HeaderValue, Method};
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two probes of one server: five in a slow spell of half a second.
const PERIOD: Micros = Micros::from_millis(100);

/// Time between two probes of a server that tells no load: they only show that it is there.
const SILENT_PERIOD: Micros = Micros::from_secs(1);

/// Time between two looks at which probes are due.
const LOOK: Micros = Micros::from_millis(20);

/// Time between two looks at who probes which server.
const REASSIGN: Micros = Micros::from_millis(250);

/// Longest time for a probe: the load is told at once, so that a later answer means a server that
/// is gone or frozen.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Largest head of an answer, in bytes.
const HEAD_LIMIT: usize = 8 * 1024;

/// Failed probes in a row after which the server counts as out of reach.
const FAILURES: u32 = 2;

/// What a probe keeps between two exchanges with one server.
struct Target {
    service: Rc<Service>,
    id: BackendId,
    address: SocketAddr,
    due: Micros,
    connection: Option<Connection>,
    is_running: bool,
    failures: u32,
}

type Targets = Rc<std::cell::RefCell<FastMap<BackendId, Target>>>;

/// Probes the servers that fall to this instance, for as long as it runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    let targets = Targets::default();
    let mut assigned_at = Micros::ZERO;
    loop {
        sleep(LOOK).await;
        let now = instance.now();
        if now - assigned_at >= REASSIGN {
            assigned_at = now;
            assign(&instance, &targets);
        }
        for id in due(&targets, now) {
            monoio::spawn(probe(Rc::clone(&instance), Rc::clone(&targets), id));
        }
    }
}

/// Takes over the servers that fall to this instance and leaves the others.
fn assign(instance: &Instance, targets: &Targets) {
    let members: Vec<Incarnation> = {
        let beats = instance.beats.borrow();
        let others = beats.peers().filter(|p| p.is_usable()).map(|p| p.member.incarnation);
        others.chain([instance.incarnation]).collect()
    };
    let mut mine: FastMap<BackendId, (Rc<Service>, SocketAddr)> = FastMap::default();
    for service in instance.services.borrow().values() {
        service.pools.prune(instance.now());
        for (id, address) in service.servers() {
            let seed = hash64(0, id.0.as_bytes());
            let score = |member: &Incarnation| hash64(seed, &member.0.to_le_bytes());
            if members.iter().max_by_key(|m| score(m)) == Some(&instance.incarnation) {
                mine.insert(id, (Rc::clone(service), address));
            }
        }
    }
    let mut targets = targets.borrow_mut();
    targets.retain(|id, target| mine.get(id).is_some_and(|(_, at)| *at == target.address));
    for (id, (service, address)) in mine {
        targets.entry(id.clone()).or_insert_with(|| Target {
            service,
            id,
            address,
            due: Micros::ZERO,
            connection: None,
            is_running: false,
            failures: 0,
        });
    }
}

fn due(targets: &Targets, now: Micros) -> Vec<BackendId> {
    let mut targets = targets.borrow_mut();
    let mut due = Vec::new();
    for target in targets.values_mut().filter(|t| !t.is_running && t.due <= now) {
        target.is_running = true;
        target.due = now + PERIOD;
        due.push(target.id.clone());
    }
    due
}

async fn probe(instance: Rc<Instance>, targets: Targets, id: BackendId) {
    let Some((service, address, kept)) = targets
        .borrow_mut()
        .get_mut(&id)
        .map(|target| (Rc::clone(&target.service), target.address, target.connection.take()))
    else {
        return;
    };
    let result = monoio::time::timeout(TIMEOUT, exchange(&service, address, kept)).await;
    let result = result.unwrap_or_else(|_| Err(HttpError::HeadTimeout));
    let label = if result.is_ok() { "answered" } else { "failed" };
    instance.metrics.probes.with_label_values(&[label]).inc();
    let mut targets = targets.borrow_mut();
    let Some(target) = targets.get_mut(&id) else { return };
    target.is_running = false;
    match result {
        Ok((head, connection)) => {
            target.connection = connection;
            if target.failures >= FAILURES {
                log::info!(server:% = id; "server answers probes again");
            }
            target.failures = 0;
            let tells_load = note_answer(&instance, &service, &id, &head);
            if !tells_load {
                target.due = instance.now() + SILENT_PERIOD;
            }
        }
        Err(e) => {
            target.failures += 1;
            let now = instance.now();
            if target.failures == FAILURES {
                log::info!(server:% = id, address:% = address, error:% = e; "server out of reach");
            }
            if target.failures >= FAILURES {
                service.placement.borrow_mut().not_reached(now, &id);
                instance.share_failure(&id, 1.0);
            }
        }
    }
}

/// Takes note of an answer; returns whether it told the load.
fn note_answer(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    head: &ResponseHead,
) -> bool {
    let names = &instance.names;
    let is_other = head.headers.get(&names.server_id).is_some_and(|told| told != id.0.as_str());
    if is_other {
        log::info!(server:% = id; "another server has the address");
        service.placement.borrow_mut().mark_leaving(id);
        return true;
    }
    service.placement.borrow_mut().reached(id);
    let text = head.headers.get(&names.load).and_then(|value| value.to_str().ok());
    let Some(report) = text.and_then(|text| instance.dialect.load(text)) else { return false };
    let sighting = Sighting { at: instance.now(), report };
    if service.see(instance, id, sighting) {
        instance.share_load(id, sighting);
    }
    true
}

async fn exchange(
    service: &Service,
    address: SocketAddr,
    kept: Option<Connection>,
) -> Result<(ResponseHead, Option<Connection>), HttpError> {
    if let Some(connection) = kept
        && let Ok(answer) = ask(service, address, connection).await
    {
        return Ok(answer);
    }
    let io = TcpStream::connect_addr(address).await?;
    ask(service, address, Connection::new(io, HEAD_LIMIT)).await
}

async fn ask(
    service: &Service,
    address: SocketAddr,
    mut connection: Connection,
) -> Result<(ResponseHead, Option<Connection>), HttpError> {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(http::header::HOST, host);
    }
    let path = service.spec.borrow().health_path.clone();
    let out: &mut BytesMut = connection.output();
    put_request(out, &Method::GET, &path, &headers, &[], Framing::None);
    connection.flush().await?;
    let times = HeadTimes { idle: TIMEOUT, head: TIMEOUT };
    let head = connection.read_response(times).await?;
    let framing = response_framing(&Method::GET, head.status, &head.headers)?;
    let mut body = BodyState::new(framing);
    while connection.read_body(&mut body).await?.is_some() {}
    let closes = crate::reply::closes(&head.headers) || framing == Framing::UntilClose;
    let is_clean = !closes && !connection.has_unread();
    Ok((head, is_clean.then_some(connection)))
}
