//! The process of the stand-ins: binds all addresses, then serves until it is stopped.

use super::admin::{self, Admin};
use super::options::Options;
use super::registration::{deregister, keep_registered};
use super::server::Server;
use futures::future::join_all;
use monoio::net::TcpListener;
use monoio::time::sleep;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval of checks for the stop flag and for the end of the running requests.
const STOP_POLL: Duration = Duration::from_millis(20);

fn open_execution_log(path: &Path) -> io::Result<Rc<File>> {
    OpenOptions::new().create(true).append(true).open(path).map(Rc::new)
}

/// The servers of one process, bound and serving.
pub struct Process {
    opts: Rc<Options>,
    servers: Vec<Rc<Server>>,
    admin: SocketAddr,
}

impl Process {
    /// Binds every address of `opts` and spawns the tasks that serve them.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub fn start(opts: Options) -> io::Result<Self> {
        let opts = Rc::new(opts);
        let keys = Rc::default();
        let log = opts.executions.as_deref().map(open_execution_log).transpose()?;
        let mut servers = Vec::new();
        for spec in &opts.servers {
            let listener = TcpListener::bind(spec.listen)?;
            let addr = listener.local_addr()?;
            let server =
                Server::new(spec.clone(), addr, Rc::clone(&opts), Rc::clone(&keys), log.clone());
            monoio::spawn(Rc::clone(&server).run(listener));
            if let Some(store) = opts.store {
                monoio::spawn(keep_registered(Rc::clone(&server), store));
            }
            servers.push(server);
        }
        let listener = TcpListener::bind(opts.admin)?;
        let admin = listener.local_addr()?;
        let target = Rc::new(Admin { servers: servers.clone(), keys });
        monoio::spawn(admin::serve(target, listener));
        Ok(Self { opts, servers, admin })
    }

    /// Returns name and address of each server, then of the admin interface.
    pub fn addresses(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let servers = self.servers.iter().map(|server| (server.spec.name.as_str(), server.addr));
        servers.chain([("admin", self.admin)])
    }

    /// Serves until `stop` is set, then announces that the servers are leaving, finishes the
    /// running requests, deregisters the servers and returns.
    pub async fn run(self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            sleep(STOP_POLL).await;
        }
        self.servers.iter().for_each(|server| server.begin_leaving());
        while !self.servers.iter().all(|server| server.has_left()) {
            sleep(STOP_POLL).await;
        }
        if let Some(store) = self.opts.store {
            join_all(self.servers.iter().map(|server| deregister(server, store))).await;
        }
    }
}
