//! The listening side of the plane.

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

/// Largest message taken from a peer, in bytes; above it the connection is closed.
pub(crate) const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Most connections from peers; above any number of instances designed for.
const MAX_CONNECTIONS: usize = 2_048;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone)]
struct Handler {
    requests: Sender<PeerRequest>,
}

impl Handler {
    /// Passes a request on and waits for its reply. An instance that is stopping never replies;
    /// the peer's own deadline ends its call then.
    async fn ask<T>(&self, request: PeerRequest, replies: Receiver<T>) -> T {
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
    async fn exchange(self, _: Context, news: ExchangeWire) -> ExchangeWire {
        let (reply, replies) = flume::bounded(1);
        self.ask(PeerRequest::Exchange { updates: news, reply }, replies).await
    }

    async fn config(self, _: Context, after: u64) -> ConfigWire {
        let (reply, replies) = flume::bounded(1);
        self.ask(PeerRequest::Config { after, reply }, replies).await
    }

    async fn backends(self, _: Context, after: u64) -> BackendsWire {
        let (reply, replies) = flume::bounded(1);
        self.ask(PeerRequest::Backends { after, reply }, replies).await
    }

    async fn hand_over(self, _: Context, outcomes: HandOverWire) -> bool {
        let (reply, replies) = flume::bounded(1);
        self.ask(PeerRequest::HandOver { outcomes, reply }, replies).await
    }
}

/// Accepts peers until the runtime stops; one task per connection.
pub(crate) async fn serve(listener: TcpListener, requests: Sender<PeerRequest>) {
    let connections = std::rc::Rc::new(());
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(e) => {
                warn!(error:% = e; "cannot accept a peer");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if std::rc::Rc::strong_count(&connections) > MAX_CONNECTIONS {
            warn!("too many connections from peers");
            continue;
        }
        let _ = io.set_nodelay(true);
        let mut codec = tarpc::tokio_util::codec::LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME);
        let framed = codec_framed(io, codec);
        let transport = tarpc::serde_transport::new(framed, NamedMessagePack);
        let handler = Handler { requests: requests.clone() };
        let held = connections.clone();
        spawn_local(async move {
            let _held = held;
            BaseChannel::with_defaults(transport)
                .execute(handler.serve())
                .for_each(|response| async move {
                    spawn_local(response);
                })
                .await;
        });
    }
}

fn codec_framed(
    io: tokio::net::TcpStream,
    codec: tarpc::tokio_util::codec::LengthDelimitedCodec,
) -> tarpc::tokio_util::codec::Framed<
    tokio::net::TcpStream,
    tarpc::tokio_util::codec::LengthDelimitedCodec,
> {
    tarpc::tokio_util::codec::Framed::new(io, codec)
}
