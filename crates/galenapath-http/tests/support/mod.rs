//! A connection whose peer sends given pieces and then closes the connection.

use galenapath_http::{BodyState, Connection, Framing, HeadTimeouts, HttpError};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::task::Poll;
use std::time::Duration;

/// Head limit of the connections under test, in bytes.
pub const HEAD_LIMIT: usize = 4 * 1024;

/// Timeouts that no test is expected to reach.
pub const TIMEOUTS: HeadTimeouts =
    HeadTimeouts { idle: Duration::from_secs(5), head: Duration::from_secs(5) };

/// Runs `work` on a connection whose peer sends `pieces` one by one and then closes it.
pub fn receive<T>(pieces: Vec<Vec<u8>>, work: impl AsyncFnOnce(Connection) -> T) -> T {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (io, _) = listener.accept().await.unwrap();
        monoio::spawn(async move {
            peer.set_nodelay(true).unwrap();
            for piece in pieces {
                // The reader may have stopped and closed the connection.
                if peer.write_all(piece).await.0.is_err() {
                    return;
                }
                yield_now().await;
            }
            let _ = peer.shutdown().await;
        });
        work(Connection::new(io, HEAD_LIMIT)).await
    })
}

/// Yields once to the other tasks.
async fn yield_now() {
    let mut is_second = false;
    std::future::poll_fn(|cx| {
        if std::mem::replace(&mut is_second, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Reads a whole body with `framing` from the connection.
#[allow(dead_code)]
pub async fn read_whole(
    connection: &mut Connection,
    framing: Framing,
) -> Result<Vec<u8>, HttpError> {
    let mut state = BodyState::new(framing);
    let mut body = Vec::new();
    while let Some(piece) = connection.read_body(&mut state).await? {
        body.extend_from_slice(&piece);
    }
    Ok(body)
}

/// Splits `bytes` into pieces of the given lengths, which are repeated until the end.
#[allow(dead_code)]
pub fn split(bytes: &[u8], lengths: &[usize]) -> Vec<Vec<u8>> {
    let mut pieces = Vec::new();
    let mut rest = bytes;
    for length in lengths.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, after) = rest.split_at((*length).clamp(1, rest.len()));
        pieces.push(piece.to_vec());
        rest = after;
    }
    pieces
}
