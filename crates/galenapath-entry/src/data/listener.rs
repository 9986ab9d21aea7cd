//! Accepting connections from callers.

use super::commands::{self, DataCommand};
use super::plane::DataPlane;
use super::{caller, probes};
use flume::Receiver;
use futures::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a further connection after which the listener's queue counts as empty.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(5);

/// Maximum time for which the listener's queue is emptied. Further connections may arrive.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(50);

/// Serves callers on `listener` until the instance closes it, and the connections for as long as
/// the instance runs.
pub async fn serve(plane: Rc<DataPlane>, listener: TcpListener, commands: Receiver<DataCommand>) {
    monoio::spawn(commands::run(Rc::clone(&plane), commands));
    monoio::spawn(probes::run(Rc::clone(&plane)));
    let max_connections =
        i64::try_from(plane.shared.settings.limits.caller_connections).unwrap_or(i64::MAX);
    let accepting = plane.stopping.accept();
    loop {
        let accepted = pin!(listener.accept());
        match select(accepted, plane.stopping.closing.wait()).await {
            Either::Left((Ok((io, _)), _)) => serve_connection(&plane, io, max_connections),
            Either::Left((Err(e), _)) => {
                log::warn!(error:% = e; "failed to accept a connection from a caller");
                plane.shared.metrics.count_fault("accept_failed");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => break,
        }
    }
    // Callers that have connected already are served. Closing the listener would reset them.
    let end = Instant::now() + MAX_QUEUE_TIME;
    while Instant::now() < end
        && let Ok(Ok((io, _))) = monoio::time::timeout(QUEUE_TIMEOUT, listener.accept()).await
    {
        serve_connection(&plane, io, max_connections);
    }
    drop(listener);
    drop(accepting);
    std::future::pending().await
}

fn serve_connection(plane: &Rc<DataPlane>, io: TcpStream, max_connections: i64) {
    let connections = &plane.shared.metrics.caller_connections;
    if connections.get() >= max_connections {
        plane.shared.metrics.count_fault("too_many_callers");
        return;
    }
    connections.inc();
    let plane = Rc::clone(plane);
    monoio::spawn(async move {
        caller::serve(Rc::clone(&plane), io).await;
        plane.shared.metrics.caller_connections.dec();
    });
}
