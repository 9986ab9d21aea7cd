//! The thread of the peer plane.

use crate::{PeerCall, PeerRequest, pool, server};
use flume::{Receiver, Sender};
use std::io;
use std::net::{SocketAddr, TcpListener};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Capacity of each of the two queues between the peer plane and the rest of the instance.
const QUEUE_CAPACITY: usize = 1_024;

/// The instance's handle to the peer plane. Dropping `calls` stops its thread.
pub struct PeerPlane {
    /// Sends calls to peers.
    pub calls: Sender<PeerCall>,
    /// Receives calls from peers.
    pub requests: Receiver<PeerRequest>,
    /// The address at which peers connect.
    pub address: SocketAddr,
}

/// Starts the peer plane on `listener`.
///
/// # Errors
///
/// If the listener cannot be used or the thread cannot be started.
pub fn start(listener: TcpListener) -> io::Result<PeerPlane> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let (calls, calls_rx) = flume::bounded(QUEUE_CAPACITY);
    let (requests_tx, requests) = flume::bounded(QUEUE_CAPACITY);
    let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
    let run = move || {
        LocalSet::new().block_on(&runtime, async {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    drop(tokio::task::spawn_local(server::serve(listener, requests_tx)))
                }
                Err(e) => log::error!(error:% = e; "cannot listen for peers"),
            }
            pool::run(calls_rx).await;
        });
    };
    std::thread::Builder::new().name("peers".into()).spawn(run)?;
    Ok(PeerPlane { calls, requests, address })
}
