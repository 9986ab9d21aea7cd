//! Accepting connections from callers.

use super::commands::{self, DataCommand};
use super::plane::DataPlane;
use super::{caller, probes};
use flume::Receiver;
use monoio::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves callers on `listener` for as long as the instance runs.
pub async fn serve(plane: Rc<DataPlane>, listener: TcpListener, commands: Receiver<DataCommand>) {
    monoio::spawn(commands::run(Rc::clone(&plane), commands));
    monoio::spawn(probes::run(Rc::clone(&plane)));
    let max_connections =
        i64::try_from(plane.shared.settings.limits.caller_connections).unwrap_or(i64::MAX);
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(e) => {
                log::warn!(error:% = e; "failed to accept a connection from a caller");
                plane.shared.metrics.count_fault("accept_failed");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connections = &plane.shared.metrics.caller_connections;
        if connections.get() >= max_connections {
            plane.shared.metrics.count_fault("too_many_callers");
            continue;
        }
        connections.inc();
        let plane = Rc::clone(&plane);
        monoio::spawn(async move {
            caller::serve(Rc::clone(&plane), io).await;
            plane.shared.metrics.caller_connections.dec();
        });
    }
}
