//! Listener whose connections are served by a runtime on a dedicated thread.

use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

/// Interval at which a listener checks whether it has to close or to open again.
pub(super) const DOWN_POLL: Duration = Duration::from_millis(2);

/// Starts a thread that listens on a free loopback address and passes each connection to the
/// handler that `make_handler` creates; returns the address. The thread ends with the process.
///
/// # Errors
///
/// Fails if no runtime can be built or no address bound.
pub(super) fn listen<F, S>(make_handler: F) -> io::Result<SocketAddr>
where
    F: FnOnce() -> S + Send + 'static,
    S: Fn(TcpStream) + 'static,
{
    listen_while_up(make_handler, || false)
}

/// Like [`listen`]; while `is_down` holds, the address refuses connections.
///
/// # Errors
///
/// Fails if no runtime can be built or no address bound.
pub(super) fn listen_while_up<F, S, D>(make_handler: F, is_down: D) -> io::Result<SocketAddr>
where
    F: FnOnce() -> S + Send + 'static,
    S: Fn(TcpStream) + 'static,
    D: Fn() -> bool + Send + 'static,
{
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        if let Err(e) = run(&tx, make_handler, &is_down) {
            // Sending fails only if the starting thread already received the address.
            let _ = tx.send(Err(e));
        }
    });
    rx.recv().map_err(io::Error::other)?
}

fn run<F, S>(
    tx: &mpsc::Sender<io::Result<SocketAddr>>,
    make_handler: F,
    is_down: &dyn Fn() -> bool,
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
        loop {
            if is_down() {
                drop(listener);
                while is_down() {
                    monoio::time::sleep(DOWN_POLL).await;
                }
                listener = TcpListener::bind(address)?;
            }
            if let Ok(accepted) = monoio::time::timeout(DOWN_POLL, listener.accept()).await {
                handle(accepted?.0);
            }
        }
    })
}

/// Waits forever. Uses a timer, because the runtime drops a task that nothing can wake.
pub(super) async fn wait_forever<T>() -> T {
    loop {
        monoio::time::sleep(Duration::from_secs(3_600)).await;
    }
}
