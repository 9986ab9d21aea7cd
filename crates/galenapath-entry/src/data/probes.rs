//! Periodic tasks of the data thread: probes of the load of backend servers whose reports are
//! stale, looks at servers that may be running abandoned requests, and expiry of idle connections and
//! filing records.

use super::attempt::{Target, apply_report, read_final_head};
use super::plane::DataPlane;
use super::pool::MAX_HEAD_BYTES;
use super::running;
use super::service::Service;
use galenapath_http::{Connection, Framing, HttpError, ResponseHead, put_request};
use galenapath_policy::BackendHandle;
use galenapath_protocol::Micros;
use http::{HeaderMap, Method};
use monoio::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Path on which backend servers report their load.
const PROBE_PATH: &str = "/.well-known/load";

/// Time between two checks for probes that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticks between two sweeps of idle connections and filing records.
const SWEEP_TICKS: u32 = 20;

/// Maximum time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the periodic tasks for as long as the instance runs.
pub(super) async fn run(plane: Rc<DataPlane>) {
    let mut ticks = 0_u32;
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
        ticks = ticks.wrapping_add(1);
        let config = plane.shared.config.load_full();
        let mut connections = 0;
        for service in plane.services() {
            service.refresh(&plane, &config);
            service.poll(plane.now());
            send_due_probes(&plane, &service);
            running::look_at_abandoned(&plane, &service);
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

fn send_due_probes(plane: &Rc<DataPlane>, service: &Rc<Service>) {
    loop {
        let handle = service.state.borrow_mut().balancer.next_probe(plane.now());
        let Some(handle) = handle else { return };
        plane.shared.metrics.probes.inc();
        let (plane, service) = (Rc::clone(plane), Rc::clone(service));
        monoio::spawn(async move {
            let sent = monoio::time::timeout(PROBE_TIMEOUT, probe(&plane, &service, handle)).await;
            if !matches!(sent, Ok(Ok(()))) {
                plane.shared.metrics.count_fault("probe_failed");
            }
        });
    }
}

async fn probe(
    plane: &DataPlane,
    service: &Service,
    handle: BackendHandle,
) -> Result<(), HttpError> {
    let Some(backend) = service.backend(handle) else { return Ok(()) };
    let mut connection = backend.pool.checkout(PROBE_TIMEOUT).await?;
    let head = query(&mut connection).await?;
    let deadline = plane.now() + Micros::from(PROBE_TIMEOUT);
    apply_report(&Target { plane, service, handle, backend: &backend, deadline }, &head.headers);
    connection.return_to_pool();
    Ok(())
}

/// Queries the load of the server at `address` on a connection of its own.
///
/// # Errors
///
/// If the server cannot be connected to or does not answer.
pub(super) async fn query_load(address: SocketAddr) -> Result<ResponseHead, HttpError> {
    let io = TcpStream::connect(address).await?;
    query(&mut Connection::new(io, MAX_HEAD_BYTES)).await
}

async fn query(connection: &mut Connection) -> Result<ResponseHead, HttpError> {
    let headers = HeaderMap::new();
    put_request(connection.output(), &Method::HEAD, PROBE_PATH, &headers, &[], Framing::None);
    connection.flush().await?;
    read_final_head(connection).await
}
