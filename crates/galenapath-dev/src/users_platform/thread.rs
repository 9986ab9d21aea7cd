//! Listener whose connections are served by a runtime on a dedicated thread.

use futures::StreamExt;
use futures::channel::{mpsc as events, oneshot};
use futures::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, mpsc};
use std::time::Duration;

/// Interval at which a listener that is down checks whether it has to open again.
pub(super) const DOWN_POLL: Duration = Duration::from_millis(2);

/// A thread that listens on an address. It ends, with all its connections, once all clones of this
/// are dropped.
#[derive(Clone, Debug)]
pub(super) struct ListenerThread {
    pub(super) address: SocketAddr,
    _end: Arc<oneshot::Sender<()>>,
}

/// The two ends of the notices by which a listener learns that it has to close.
pub(super) type CrashNotices = (events::UnboundedSender<()>, events::UnboundedReceiver<()>);

/// Starts a thread that listens on a free loopback address and passes each connection to the
/// handler that `make_handler` creates.
///
/// # Errors
///
/// Fails if no runtime can be built or no address bound.
pub(super) fn listen<F, S>(make_handler: F) -> io::Result<ListenerThread>
where
    F: FnOnce() -> S + Send + 'static,
    S: Fn(TcpStream) + 'static,
{
    let (never, crashes): CrashNotices = events::unbounded();
    // Owns the sender, because a channel without one is at its end.
    let is_down = move || never.is_closed();
    listen_while_up(make_handler, crashes, is_down)
}

/// Like [`listen`]; when `crashes` has a notice, the address refuses connections for as long as
/// `is_down` holds.
///
/// # Errors
///
/// Fails if no runtime can be built or no address bound.
pub(super) fn listen_while_up<F, S, D>(
    make_handler: F,
    crashes: events::UnboundedReceiver<()>,
    is_down: D,
) -> io::Result<ListenerThread>
where
    F: FnOnce() -> S + Send + 'static,
    S: Fn(TcpStream) + 'static,
    D: Fn() -> bool + Send + 'static,
{
    let (tx, rx) = mpsc::channel();
    let (end, ended) = oneshot::channel();
    std::thread::spawn(move || {
        if let Err(e) = run(&tx, make_handler, crashes, &is_down, ended) {
            // Sending fails only if the starting thread already received the address.
            let _ = tx.send(Err(e));
        }
    });
    let address = rx.recv().map_err(io::Error::other)??;
    Ok(ListenerThread { address, _end: Arc::new(end) })
}

fn run<F, S>(
    tx: &mpsc::Sender<io::Result<SocketAddr>>,
    make_handler: F,
    mut crashes: events::UnboundedReceiver<()>,
    is_down: &dyn Fn() -> bool,
    ended: oneshot::Receiver<()>,
) -> io::Result<()>
where
    F: FnOnce() -> S,
    S: Fn(TcpStream),
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async move {
        let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        // Sending fails only if the starting thread has ended.
        let _ = tx.send(Ok(address));
        let handle = make_handler();
        let serving = pin!(async {
            loop {
                let accepted = {
                    let accepting = pin!(listener.accept());
                    match select(accepting, crashes.select_next_some()).await {
                        Either::Left((accepted, _)) => Some(accepted?),
                        Either::Right(_) => None,
                    }
                };
                if let Some((io, _)) = accepted {
                    handle(io);
                    continue;
                }
                drop(listener);
                while is_down() {
                    monoio::time::sleep(DOWN_POLL).await;
                }
                listener = TcpListener::bind(address)?;
            }
        });
        match select(serving, ended).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Ok(()),
        }
    })
}

/// Waits forever. Uses a timer, because the runtime drops a task that nothing can wake.
pub(super) async fn wait_forever<T>() -> T {
    loop {
        monoio::time::sleep(Duration::from_secs(3_600)).await;
    }
}
