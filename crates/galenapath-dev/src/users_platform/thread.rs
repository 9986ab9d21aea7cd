//! A listener whose connections are served by a runtime on a thread of its own.

use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

/// Starts a thread that gives each connection on a free loopback address to `serve`; returns the
/// address. The thread ends with the process.
///
/// # Errors
///
/// When no runtime or address can be had.
pub(super) fn listen<F, S>(make: F) -> io::Result<SocketAddr>
where
    F: FnOnce() -> S + Send + 'static,
    S: Fn(TcpStream) + 'static,
{
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        if let Err(e) = run(&tx, make) {
            // The starting thread has its address already, or gets the error.
            let _ = tx.send(Err(e));
        }
    });
    rx.recv().map_err(io::Error::other)?
}

fn run<F, S>(tx: &mpsc::Sender<io::Result<SocketAddr>>, make: F) -> io::Result<()>
where
    F: FnOnce() -> S,
    S: Fn(TcpStream),
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async move {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        // Nobody waits any more where the starting thread has gone.
        let _ = tx.send(listener.local_addr());
        let serve = make();
        loop {
            serve(listener.accept().await?.0);
        }
    })
}

/// Waits for ever. A timer holds the task: the runtime drops one that nothing can wake.
pub(super) async fn never<T>() -> T {
    loop {
        monoio::time::sleep(Duration::from_secs(3_600)).await;
    }
}
