//! Load probes to backend servers.
//!
//! Each server is probed by one of the instances that serve callers, which tells the others. Every instance
//! works out the same assignment from the members that it knows. When a server is due, placement says by
//! what is known of it.

use crate::health::{self, Health};
use crate::instance::{Instance, Stage, sleep_to_next};
use crate::service::Service;
use galenapath_http::{Connection, HttpError};
use galenapath_membership::{Beats, Peer};
use galenapath_policy::measure::{
    LimitShare, Prober, limit_share, probing_instance, warming_instance,
};
use galenapath_protocol::{BackendId, FastMap, Micros};
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time after the first failed probe until the next one: requests are at the server.
const AFTER_FIRST_FAILURE: Micros = Micros::from_millis(20);

/// Time after further failed probes until the next one.
const AFTER_FAILURE: Micros = Micros::from_millis(200);

/// Time between two probes of a server that tells no load: they only show that it is there.
const SILENT_PERIOD: Micros = Micros::from_secs(1);

/// Time between two looks at which probes are due.
const LOOK: Micros = Micros::from_millis(15);

/// Time after the start of an instance for which it probes nobody: it does not know all others yet.
const SETTLES_WITHIN: Micros = Micros::from_secs(1);

/// Time between two looks at who probes which server.
const REASSIGN: Micros = Micros::from_millis(250);

/// Longest time for a probe: the load is told at once, so that a later answer means a server that
/// is gone or frozen.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Failed probes in a row after which the server counts as out of reach.
const FAILURES: u32 = 2;

/// What a probe keeps between two exchanges with one server.
struct Target {
    service: Rc<Service>,
    id: BackendId,
    address: SocketAddr,
    /// Until when it is not probed, because a probe failed or it tells no load.
    not_before: Micros,
    is_running: bool,
    failures: u32,
}

type Targets = Rc<std::cell::RefCell<FastMap<BackendId, Target>>>;

/// Probes the servers that fall to this instance, for as long as it runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    let targets = Targets::default();
    let mut assigned_at = Micros::ZERO;
    loop {
        // Most instances of a large fleet have nothing to probe.
        let is_idle = targets.borrow().is_empty();
        sleep_to_next(&instance, if is_idle { REASSIGN } else { LOOK }).await;
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
    let (now, shares) = (instance.now(), instance.ask_shares());
    for service in instance.services.borrow().values() {
        service.prune_connections(now);
        service.share_probes(now, shares);
        service.share_retries(instance);
    }
    let mine = if may_probe(instance) { mine(instance) } else { FastMap::default() };
    share_scarce(instance);
    let mut targets = targets.borrow_mut();
    targets.retain(|id, target| mine.get(id).is_some_and(|(_, at)| *at == target.address));
    for (id, (service, address)) in mine {
        targets.entry(id.clone()).or_insert_with(|| Target {
            service,
            id,
            address,
            not_before: Micros::ZERO,
            is_running: false,
            failures: 0,
        });
    }
}

/// Whether this instance is one of those that probe: it serves callers, or nobody does.
fn may_probe(instance: &Instance) -> bool {
    let is_settled = instance.clock.age() >= SETTLES_WITHIN;
    is_settled && (instance.vitals().serves_callers || !is_anyone_serving(instance))
}

fn is_anyone_serving(instance: &Instance) -> bool {
    let beats = instance.beats.borrow();
    beats.peers().any(|peer| peer.is_usable() && peer.vitals.serves_callers)
}

/// Takes over what falls to this instance of the servers that take few requests: which cold ones it warms, and
/// its parts of the rate limits that servers name.
pub(crate) fn share_scarce(instance: &Instance) {
    let (now, own) = (instance.now(), instance.incarnation);
    let beats = instance.beats.borrow();
    // An instance that is cut off takes servers over from others that it does not hear, and which send on.
    // One that stops has left its part to others, if there are any.
    let is_replaced = instance.stage.get() >= Stage::Leaving && beats.peers().any(Peer::is_usable);
    let may_send = may_probe(instance) && !beats.is_doubtful() && !is_replaced;
    let probing = probing(instance, &beats);
    for service in instance.services.borrow().values() {
        let domain = |id: &BackendId| service.domain(id).filter(|_| may_send);
        let is_ours = |id: &BackendId| {
            domain(id).is_some_and(|domain| warming_instance(&probing, &domain, id) == Some(own))
        };
        let share = |id: &BackendId, per_second: f64| {
            let share = |domain| limit_share(&probing, &domain, id, own, per_second);
            domain(id).map_or(LimitShare::NONE, share)
        };
        let mut placement = service.placement.borrow_mut();
        placement.assign_warming(now, is_ours);
        placement.assign_limit_shares(now, share);
    }
}

/// The instances that probe, this one included.
fn probing<'a>(instance: &Instance, beats: &'a Beats) -> Vec<Prober<'a>> {
    let is_anyone = instance.vitals().serves_callers || is_anyone_serving(instance);
    let others = beats.peers().filter(|peer| peer.is_usable());
    let others = others.filter(|peer| !is_anyone || peer.vitals.serves_callers);
    let mut probing: Vec<Prober<'_>> = others
        .map(|peer| Prober {
            incarnation: peer.member.incarnation,
            domain: &peer.member.domain,
            is_cross_domain: peer.vitals.crosses,
        })
        .collect();
    probing.push(Prober {
        incarnation: instance.incarnation,
        domain: beats.domain(),
        is_cross_domain: instance.vitals().crosses,
    });
    probing
}

/// The servers that fall to this instance, which probes.
fn mine(instance: &Instance) -> FastMap<BackendId, (Rc<Service>, SocketAddr)> {
    let beats = instance.beats.borrow();
    let probing = probing(instance, &beats);
    let mut mine = FastMap::default();
    for service in instance.services.borrow().values() {
        service.refresh(instance);
        for server in service.servers() {
            if probing_instance(&probing, &server.domain, &server.id) == Some(instance.incarnation)
            {
                mine.insert(server.id, (Rc::clone(service), server.address));
            }
        }
    }
    mine
}

fn due(targets: &Targets, now: Micros) -> Vec<BackendId> {
    let mut targets = targets.borrow_mut();
    let mut due = Vec::new();
    for target in targets.values_mut().filter(|target| target.is_due(now)) {
        if !target.service.placement.borrow_mut().try_take_query(now, &target.id) {
            continue;
        }
        target.is_running = true;
        due.push(target.id.clone());
    }
    due
}

impl Target {
    fn is_due(&self, now: Micros) -> bool {
        !self.is_running
            && self.not_before <= now
            && self.service.placement.borrow().next_probe_at(now, &self.id) <= now
    }
}

async fn probe(instance: Rc<Instance>, targets: Targets, id: BackendId) {
    let Some((service, address)) =
        targets.borrow().get(&id).map(|target| (Rc::clone(&target.service), target.address))
    else {
        return;
    };
    let kept = service.take_connection(instance.now(), &id).await.map(|kept| kept.connection);
    let result =
        monoio::time::timeout(TIMEOUT, exchange(&instance, &service, &id, address, kept)).await;
    let result = result.unwrap_or_else(|_| Err(HttpError::HeadTimeout));
    let label = if result.is_ok() { "answered" } else { "failed" };
    instance.metrics.probes.with_label_values(&[label]).inc();
    let mut targets = targets.borrow_mut();
    let Some(target) = targets.get_mut(&id) else { return };
    target.is_running = false;
    match result {
        Ok(health) => {
            if let Some(connection) = health.connection {
                service.keep_connection(instance.now(), &id, connection, health.stated_idle);
            }
            if target.failures >= FAILURES {
                log::info!(server:% = id; "server answers probes again");
            }
            target.failures = 0;
            if health.sighting.is_none() {
                target.not_before = instance.now() + SILENT_PERIOD;
            }
        }
        Err(e) => {
            target.failures += 1;
            let now = instance.now();
            let is_first = target.failures == 1;
            target.not_before = now + if is_first { AFTER_FIRST_FAILURE } else { AFTER_FAILURE };
            if target.failures == FAILURES {
                log::info!(server:% = id, address:% = address, error:% = e; "server out of reach");
            }
            if target.failures >= FAILURES {
                service.lost(now, &id);
                instance.share_failure(&service, &id, 1.0);
            }
        }
    }
}

async fn exchange(
    instance: &Instance,
    service: &Service,
    id: &BackendId,
    address: SocketAddr,
    kept: Option<Connection>,
) -> Result<Health, HttpError> {
    if let Some(connection) = kept
        && let Ok(health) = health::ask(instance, service, id, connection).await
    {
        return Ok(health);
    }
    instance.count_connect("probe");
    let io = TcpStream::connect_addr(address).await?;
    let connection = Connection::new(io, health::HEAD_LIMIT);
    health::ask(instance, service, id, connection).await
}
