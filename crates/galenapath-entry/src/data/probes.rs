//! Probes of load where traffic brings no fresh reports, and upkeep of the connections.

use super::attempt::{Target, read_final_head, take_report};
use super::plane::DataPlane;
use super::service::Service;
use galenapath_http::{Framing, HttpError, put_request};
use galenapath_policy::BackendHandle;
use galenapath_protocol::Micros;
use http::{HeaderMap, Method};
use std::rc::Rc;
use std::time::Duration;

/// Where backend servers tell their load.
const PROBE_PATH: &str = "/.well-known/load";

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two sweeps of idle connections.
const SWEEP_TICKS: u32 = 20;

/// Longest time for a probe.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Sends probes that are due and closes idle connections, for as long as the instance runs.
pub(super) async fn run(plane: Rc<DataPlane>) {
    let mut ticks = 0_u32;
    loop {
        monoio::time::sleep(TICK).await;
        ticks = ticks.wrapping_add(1);
        let config = plane.shared.config.load_full();
        let mut connections = 0;
        for service in plane.services() {
            service.refresh(&plane, &config);
            service.poll(plane.now());
            send_due(&plane, &service);
            if ticks.is_multiple_of(SWEEP_TICKS) {
                connections += service.sweep();
            }
        }
        if ticks.is_multiple_of(SWEEP_TICKS) {
            let connections = i64::try_from(connections).unwrap_or(i64::MAX);
            plane.shared.metrics.backend_connections.set(connections);
            plane.filings.borrow_mut().expire(plane.now());
        }
    }
}

fn send_due(plane: &Rc<DataPlane>, service: &Rc<Service>) {
    loop {
        let slot = service.state.borrow_mut().balancer.next_probe(plane.now());
        let Some(slot) = slot else { return };
        plane.shared.metrics.probes.inc();
        let (plane, service) = (Rc::clone(plane), Rc::clone(service));
        monoio::spawn(async move {
            let sent = monoio::time::timeout(PROBE_LIMIT, probe(&plane, &service, slot)).await;
            if !matches!(sent, Ok(Ok(()))) {
                plane.shared.metrics.fault("probe_failed");
            }
        });
    }
}

async fn probe(plane: &DataPlane, service: &Service, slot: BackendHandle) -> Result<(), HttpError> {
    let Some(backend) = service.backend(slot) else { return Ok(()) };
    let mut connection = backend.pool.checkout(PROBE_LIMIT).await?;
    let headers = HeaderMap::new();
    put_request(connection.output(), &Method::HEAD, PROBE_PATH, &headers, &[], Framing::None);
    connection.flush().await?;
    let head = read_final_head(&mut connection).await?;
    let deadline = plane.now() + Micros::from(PROBE_LIMIT);
    take_report(&Target { plane, service, slot, backend: &backend, deadline }, &head.headers);
    connection.give_back();
    Ok(())
}
