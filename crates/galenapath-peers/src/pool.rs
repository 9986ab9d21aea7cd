//! The calling side of the plane: one task and at most one connection per peer.

use crate::PeerError;
use crate::call::PeerCall;
use crate::codec::NamedMessagePack;
use crate::rpc::PeerClient;
use crate::server::MAX_FRAME;
use flume::{Receiver, Sender};
use galenapath_protocol::FastMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarpc::client::{Config, RpcError};
use tarpc::context;
use tarpc::serde_transport::tcp;
use tokio::task::spawn_local;

/// Longest time for a call, connecting included. Longer than a crossing between regions, shorter
/// than two probe intervals.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// An idle connection to a peer is closed after this time, so that an instance does not hold
/// connections to peers that are gone. Longer than a round of probes through 520 instances, or each
/// probe would need a new connection.
const IDLE: Duration = Duration::from_secs(300);

/// Most calls waiting for one peer.
const QUEUE: usize = 64;

impl PeerCall {
    const fn to(&self) -> SocketAddr {
        match self {
            Self::Exchange { to, .. }
            | Self::Config { to, .. }
            | Self::Backends { to, .. }
            | Self::HandOver { to, .. } => *to,
        }
    }

    fn fail(self, e: PeerError) {
        // The asker may have gone; then nobody needs the error.
        match self {
            Self::Exchange { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Config { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Backends { reply, .. } => drop(reply.try_send(Err(e))),
            Self::HandOver { reply, .. } => drop(reply.try_send(Err(e))),
        }
    }
}

/// Hands calls to the tasks of their peers until the instance drops its sender.
pub(crate) async fn run(calls: Receiver<PeerCall>) {
    let mut peers: FastMap<SocketAddr, Sender<PeerCall>> = FastMap::default();
    while let Ok(call) = calls.recv_async().await {
        let to = call.to();
        peers.retain(|_, tx| !tx.is_disconnected());
        let tx = peers.entry(to).or_insert_with(|| spawn_peer(to));
        if let Err(e) = tx.try_send(call) {
            e.into_inner().fail(no_answer(to, "too many calls wait for it"));
        }
    }
}

fn spawn_peer(to: SocketAddr) -> Sender<PeerCall> {
    let (tx, rx) = flume::bounded(QUEUE);
    spawn_local(peer(to, rx));
    tx
}

/// Serves the calls to one peer, one after the other, until there are none for a while.
async fn peer(to: SocketAddr, calls: Receiver<PeerCall>) {
    let mut client = None;
    while let Ok(Ok(call)) = tokio::time::timeout(IDLE, calls.recv_async()).await {
        let deadline = Instant::now() + CALL_TIMEOUT;
        if client.is_none() {
            match connect(to).await {
                Ok(connected) => client = Some(connected),
                Err(e) => {
                    call.fail(e);
                    continue;
                }
            }
        }
        let Some(connected) = &client else { continue };
        if !perform(connected, to, call, deadline).await {
            client = None;
        }
    }
}

async fn connect(to: SocketAddr) -> Result<PeerClient, PeerError> {
    let unreachable = |reason: String| PeerError::Unreachable { to, reason };
    let mut connect = tcp::connect(to, NamedMessagePack::default);
    connect.config_mut().max_frame_length(MAX_FRAME);
    let transport = tokio::time::timeout(CALL_TIMEOUT, connect)
        .await
        .map_err(|_| unreachable("timed out".into()))?
        .map_err(|e| unreachable(e.to_string()))?;
    let new = PeerClient::new(Config::default(), transport);
    spawn_local(new.dispatch);
    Ok(new.client)
}

/// Makes one call; returns whether the connection is still good.
async fn perform(client: &PeerClient, to: SocketAddr, call: PeerCall, deadline: Instant) -> bool {
    let mut cx = context::current();
    cx.deadline = deadline;
    match call {
        PeerCall::Exchange { updates: news, reply, .. } => {
            settle(to, client.exchange(cx, news).await, &reply)
        }
        PeerCall::Backends { after, reply, .. } => {
            settle(to, client.backends(cx, after).await, &reply)
        }
        PeerCall::Config { after, reply, .. } => settle(to, client.config(cx, after).await, &reply),
        PeerCall::HandOver { outcomes, reply, .. } => {
            settle(to, client.hand_over(cx, outcomes).await, &reply)
        }
    }
}

fn settle<T>(
    to: SocketAddr,
    result: Result<T, RpcError>,
    reply: &Sender<Result<T, PeerError>>,
) -> bool {
    let is_good = result.is_ok();
    let result = result.map_err(|e| no_answer(to, &e.to_string()));
    drop(reply.try_send(result));
    is_good
}

fn no_answer(to: SocketAddr, reason: &str) -> PeerError {
    PeerError::NoAnswer { to, reason: reason.to_owned() }
}
