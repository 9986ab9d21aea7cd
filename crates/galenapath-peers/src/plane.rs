//! The plane's thread.

use crate::{PeerCall, PeerRequest, pool, server};
use flume::{Receiver, Sender};
use std::io;
use std::net::{SocketAddr, TcpListener};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Most calls and requests that wait between the plane and the rest of the instance.
const QUEUE: usize = 1_024;

/// The instance's end of the plane. Dropping `calls` stops the plane's thread.
pub struct PeerPlane {
    /// Calls to peers go in here.
    pub calls: Sender<PeerCall>,
    /// Calls from peers come out here.
    pub requests: Receiver<PeerRequest>,
    /// The address that peers reach.
    pub address: SocketAddr,
}

/// Starts the plane on `listener`.
///
/// # Errors
///
/// When the listener cannot be used or the thread cannot be started.
pub fn start(listener: TcpListener) -> io::Result<PeerPlane> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let (calls, calls_rx) = flume::bounded(QUEUE);
    let (requests_tx, requests) = flume::bounded(QUEUE);
    let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
    let run = move || {
        LocalSet::new().block_on(&runtime, async {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    drop(tokio::task::spawn_local(server::serve(listener, requests_tx)))
                }
                Err(e) => log::error!(error:% = e; "peers cannot be served"),
            }
            pool::run(calls_rx).await;
        });
    };
    std::thread::Builder::new().name("peers".into()).spawn(run)?;
    Ok(PeerPlane { calls, requests, address })
}
