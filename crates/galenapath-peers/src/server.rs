//! The server side of the peer plane.

use crate::PeerRequest;
use crate::codec::NamedMessagePack;
use crate::generated::{BackendsWire, ConfigWire, ExchangeWire, HandOverWire};
use crate::rpc::Peer;
use flume::{Receiver, Sender};
use futures::StreamExt;
use log::warn;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Maximum size of a message from a peer, in bytes; a larger one closes the connection.
pub(crate) const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Maximum number of connections from peers; more than the instances of any supported deployment.
const MAX_CONNECTIONS: usize = 2_048;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Clone)]
struct Handler {
    requests: Sender<PeerRequest>,
}

impl Handler {
    /// Forwards a request to the instance and waits for the reply. An instance that is stopping
    /// never replies; the call then ends by the peer's deadline.
    async fn forward<T>(&self, request: PeerRequest, replies: Receiver<T>) -> T {
        if self.requests.send_async(request).await.is_err() {
            return std::future::pending().await;
        }
        match replies.recv_async().await {
            Ok(reply) => reply,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Peer for Handler {
    async fn exchange(self, _: Context, updates: ExchangeWire) -> ExchangeWire {
        let (reply, replies) = flume::bounded(1);
        self.forward(PeerRequest::Exchange { updates, reply }, replies).await
    }

    async fn config(self, _: Context, after: u64) -> ConfigWire {
        let (reply, replies) = flume::bounded(1);
        self.forward(PeerRequest::Config { after, reply }, replies).await
    }

    async fn backends(self, _: Context, after: u64) -> BackendsWire {
        let (reply, replies) = flume::bounded(1);
        self.forward(PeerRequest::Backends { after, reply }, replies).await
    }

    async fn hand_over(self, _: Context, outcomes: HandOverWire) -> bool {
        let (reply, replies) = flume::bounded(1);
        self.forward(PeerRequest::HandOver { outcomes, reply }, replies).await
    }
}

/// Accepts connections from peers until the runtime stops; one task per connection.
pub(crate) async fn serve(listener: TcpListener, requests: Sender<PeerRequest>) {
    // Each connection's task holds a clone, so the strong count limits the connections.
    let connections = std::rc::Rc::new(());
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(e) => {
                warn!(error:% = e; "failed to accept a connection from a peer");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if std::rc::Rc::strong_count(&connections) > MAX_CONNECTIONS {
            warn!("connection from a peer closed: too many connections");
            continue;
        }
        let _ = io.set_nodelay(true);
        let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME);
        let framed = frame(io, codec);
        let transport = tarpc::serde_transport::new(framed, NamedMessagePack);
        let handler = Handler { requests: requests.clone() };
        let guard = connections.clone();
        spawn_local(async move {
            let _guard = guard;
            BaseChannel::with_defaults(transport)
                .execute(handler.serve())
                .for_each(|response| async move {
                    spawn_local(response);
                })
                .await;
        });
    }
}

fn frame(
    io: tokio::net::TcpStream,
    codec: tarpc::tokio_util::codec::LengthDelimitedCodec,
) -> tarpc::tokio_util::codec::Framed<
    tokio::net::TcpStream,
    tarpc::tokio_util::codec::LengthDelimitedCodec,
> {
    tarpc::tokio_util::codec::Framed::new(io, codec)
}
