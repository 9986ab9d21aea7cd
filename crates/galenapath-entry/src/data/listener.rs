//! Accepting callers.

use super::commands::{self, DataCommand};
use super::plane::DataPlane;
use super::{caller, probes};
use flume::Receiver;
use monoio::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers on `listener` for as long as the instance runs.
pub async fn serve(plane: Rc<DataPlane>, listener: TcpListener, commands: Receiver<DataCommand>) {
    monoio::spawn(commands::run(Rc::clone(&plane), commands));
    monoio::spawn(probes::run(Rc::clone(&plane)));
    let most = i64::try_from(plane.shared.settings.limits.caller_connections).unwrap_or(i64::MAX);
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(e) => {
                log::warn!(error:% = e; "cannot accept a caller");
                plane.shared.metrics.fault("accept_failed");
                monoio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let connections = &plane.shared.metrics.caller_connections;
        if connections.get() >= most {
            plane.shared.metrics.fault("too_many_callers");
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
