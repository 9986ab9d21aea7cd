//! Listener whose connections are served by a runtime on a dedicated thread.

use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

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
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        if let Err(e) = run(&tx, make_handler) {
            // Sending fails only if the starting thread already received the address.
            let _ = tx.send(Err(e));
        }
    });
    rx.recv().map_err(io::Error::other)?
}

fn run<F, S>(tx: &mpsc::Sender<io::Result<SocketAddr>>, make_handler: F) -> io::Result<()>
where
    F: FnOnce() -> S,
    S: Fn(TcpStream),
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async move {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        // Sending fails only if the starting thread has ended.
        let _ = tx.send(listener.local_addr());
        let handle = make_handler();
        loop {
            handle(listener.accept().await?.0);
        }
    })
}

/// Waits forever. Uses a timer, because the runtime drops a task that nothing can wake.
pub(super) async fn wait_forever<T>() -> T {
    loop {
        monoio::time::sleep(Duration::from_secs(3_600)).await;
    }
}
