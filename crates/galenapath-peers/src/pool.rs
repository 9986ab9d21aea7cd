//! The client side of the peer plane: one task and at most one connection per peer.

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

/// Timeout of a call, including the connection setup. Longer than the latency between regions,
/// shorter than two probe intervals.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// An idle connection to a peer is closed after this time, so that an instance does not hold
/// connections to peers that have stopped. Longer than a round of probes through 520 instances,
/// since otherwise each probe would need a new connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Maximum number of calls queued for one peer.
const MAX_QUEUED_CALLS: usize = 64;

impl PeerCall {
    const fn peer_address(&self) -> SocketAddr {
        match self {
            Self::Exchange { to, .. }
            | Self::Config { to, .. }
            | Self::Backends { to, .. }
            | Self::HandOver { to, .. } => *to,
        }
    }

    fn fail(self, e: PeerError) {
        // The caller may have stopped waiting; the error is then discarded.
        match self {
            Self::Exchange { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Config { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Backends { reply, .. } => drop(reply.try_send(Err(e))),
            Self::HandOver { reply, .. } => drop(reply.try_send(Err(e))),
        }
    }
}

/// Dispatches calls to the tasks of their peers until the instance drops its sender.
pub(crate) async fn run(calls: Receiver<PeerCall>) {
    let mut peers: FastMap<SocketAddr, Sender<PeerCall>> = FastMap::default();
    while let Ok(call) = calls.recv_async().await {
        let to = call.peer_address();
        peers.retain(|_, tx| !tx.is_disconnected());
        let tx = peers.entry(to).or_insert_with(|| spawn_peer(to));
        if let Err(e) = tx.try_send(call) {
            e.into_inner().fail(PeerError::QueueFull { to });
        }
    }
}

fn spawn_peer(to: SocketAddr) -> Sender<PeerCall> {
    let (tx, rx) = flume::bounded(MAX_QUEUED_CALLS);
    spawn_local(make_calls(to, rx));
    tx
}

/// Makes the calls to one peer one after another; ends after [`IDLE_TIMEOUT`] without a call.
async fn make_calls(to: SocketAddr, calls: Receiver<PeerCall>) {
    let mut client = None;
    while let Ok(Ok(call)) = tokio::time::timeout(IDLE_TIMEOUT, calls.recv_async()).await {
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

/// Makes one call; returns whether the connection can be reused.
async fn perform(client: &PeerClient, to: SocketAddr, call: PeerCall, deadline: Instant) -> bool {
    let mut cx = context::current();
    cx.deadline = deadline;
    match call {
        PeerCall::Exchange { updates, reply, .. } => {
            send_reply(to, client.exchange(cx, updates).await, &reply)
        }
        PeerCall::Backends { after, reply, .. } => {
            send_reply(to, client.backends(cx, after).await, &reply)
        }
        PeerCall::Config { after, reply, .. } => {
            send_reply(to, client.config(cx, after).await, &reply)
        }
        PeerCall::HandOver { outcomes, reply, .. } => {
            send_reply(to, client.hand_over(cx, outcomes).await, &reply)
        }
    }
}

/// Sends the result of a call to its caller; returns whether the call succeeded.
fn send_reply<T>(
    to: SocketAddr,
    result: Result<T, RpcError>,
    reply: &Sender<Result<T, PeerError>>,
) -> bool {
    let is_ok = result.is_ok();
    let result = result.map_err(|e| no_answer(to, &e.to_string()));
    drop(reply.try_send(result));
    is_ok
}

fn no_answer(to: SocketAddr, reason: &str) -> PeerError {
    PeerError::NoAnswer { to, reason: reason.to_owned() }
}
