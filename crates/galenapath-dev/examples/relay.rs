//! Minimal HTTP relay built on monoio-http, as a baseline for the overhead of an entry instance.
//!
//! It supports requests without a body and answers with a length, and makes no load balancing
//! decisions: connections to the backend servers are used in turn.
//!
//! `cargo run --release -p galenapath-dev --example relay -- --to 127.0.0.1:9001`

use bytes::Bytes;
use clap::Parser;
use http::Response;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use monoio_http::common::body::Body;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::h1::codec::{ClientCodec, ServerCodec};
use monoio_http::h1::payload::{FixedPayload, Payload};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;

/// Minimal HTTP relay.
#[derive(Parser)]
struct Options {
    /// A backend server; repeat for more.
    #[arg(long = "to", required = true)]
    to: Vec<SocketAddr>,
}

/// Idle connections to the backend servers.
struct Pool {
    servers: RefCell<VecDeque<SocketAddr>>,
    idle: RefCell<VecDeque<ClientCodec<TcpStream>>>,
}

impl Pool {
    async fn take(&self) -> io::Result<ClientCodec<TcpStream>> {
        if let Some(codec) = self.idle.borrow_mut().pop_front() {
            return Ok(codec);
        }
        self.servers.borrow_mut().rotate_left(1);
        let server = self.servers.borrow()[0];
        let io = TcpStream::connect(server).await?;
        io.set_nodelay(true)?;
        Ok(ClientCodec::new(io))
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let opts = Options::parse();
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        println!("listening {}", listener.local_addr()?);
        io::stdout().flush()?;
        let pool =
            Rc::new(Pool { servers: RefCell::new(opts.to.into()), idle: RefCell::default() });
        loop {
            let (io, _) = listener.accept().await?;
            io.set_nodelay(true)?;
            monoio::spawn(serve(io, Rc::clone(&pool)));
        }
    })
}

async fn serve(io: TcpStream, pool: Rc<Pool>) {
    let mut caller = ServerCodec::new(io);
    while let Some(Ok(req)) = caller.next().await {
        let Some(response) = relay(req, &pool).await else { return };
        if caller.send_and_flush(response).await.is_err() {
            return;
        }
    }
}

async fn relay(req: Request, pool: &Pool) -> Option<Response<Payload<Bytes, HttpError>>> {
    let mut server = pool.take().await.ok()?;
    server.send_and_flush(req).await.ok()?;
    let (head, body) = server.next().await?.ok()?.into_parts();
    let data = body.with_io(&mut server).next_data().await;
    pool.idle.borrow_mut().push_back(server);
    let payload = match data {
        Some(data) => Payload::Fixed(FixedPayload::new(data.ok()?)),
        None => Payload::None,
    };
    Some(Response::from_parts(head, payload))
}
