//! One server: its address, connections, slots, faults and counters.

use super::connection;
use super::counters::{Counters, KeyCounts, PeakRate};
use super::faults::{Faults, ReportFault};
use super::options::{Options, ServerSpec};
use super::slots::Slots;
use super::work::Work;
use crate::wire::Conn;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{Either, Shared, select};
use galenapath_protocol::LoadReport;
use monoio::net::TcpListener;
use monoio::time::sleep;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often a frozen server looks whether it has been thawed.
const THAW_POLL: Duration = Duration::from_millis(2);
/// Age that a late load report reaches before it is renewed.
const LATE_REPORT_AGE: Duration = Duration::from_secs(1);
/// Work takes this many times as long right after a start; the factor falls to 1 in a straight line.
const COLD_FACTOR: f64 = 3.0;

/// Ends every connection of a server when it is sent.
type Crash = Shared<oneshot::Receiver<()>>;

/// A backend server of this process.
pub struct Server {
    /// As given on the command line.
    pub spec: ServerSpec,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its slots.
    pub slots: Rc<Slots>,
    /// What is wrong with it.
    pub faults: RefCell<Faults>,
    /// What it did.
    pub counters: RefCell<Counters>,
    /// Probes of the last second.
    pub probe_rate: RefCell<PeakRate>,
    /// Executions per key, shared by all servers of the process.
    pub keys: Rc<RefCell<KeyCounts>>,
    /// Where executions are written, if anywhere; shared likewise.
    pub log: Option<Rc<File>>,
    /// Start of the process's run, milliseconds since the Unix epoch.
    pub started_ms: u128,
    /// One-way delay.
    pub delay: Duration,
    /// When it began to leave.
    pub leaving: Cell<Option<Instant>>,
    opts: Rc<Options>,
    rng: RefCell<StdRng>,
    started: Cell<Instant>,
    late_report: Cell<(Instant, LoadReport)>,
    crash: RefCell<Option<oneshot::Sender<()>>>,
}

impl Server {
    /// A healthy server that listens on `addr`.
    pub fn new(
        spec: ServerSpec,
        addr: SocketAddr,
        opts: Rc<Options>,
        keys: Rc<RefCell<KeyCounts>>,
        log: Option<Rc<File>>,
    ) -> Rc<Self> {
        let seed = galenapath_protocol::hash64(opts.seed, spec.name.as_bytes());
        let now = Instant::now();
        Rc::new(Self {
            addr,
            slots: Slots::new(opts.slots, opts.room),
            faults: RefCell::default(),
            counters: RefCell::default(),
            probe_rate: RefCell::default(),
            keys,
            log,
            started_ms: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis()),
            delay: spec.delay.unwrap_or(opts.delay),
            leaving: Cell::new(None),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            started: Cell::new(now),
            late_report: Cell::new((now, LoadReport { slots: 1, ..LoadReport::default() })),
            crash: RefCell::new(None),
            spec,
            opts,
        })
    }

    /// Serves for ever; starts again some time after each crash.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let bound = listener.take().map_or_else(|| TcpListener::bind(self.addr), Ok);
            if let Ok(bound) = bound {
                let (tx, rx) = oneshot::channel();
                *self.crash.borrow_mut() = Some(tx);
                self.started.set(Instant::now());
                let crash = rx.shared();
                let accept = pin!(self.accept(bound, crash.clone()));
                select(accept, crash).await;
            }
            sleep(self.opts.restart_after).await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: TcpListener, crash: Crash) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(THAW_POLL).await;
                continue;
            };
            self.thaw().await;
            if self.counters.borrow().connections_open >= self.opts.connections {
                self.counters.borrow_mut().connections_refused += 1;
                continue;
            }
            let open = OpenGuard::new(Rc::clone(self));
            let crash = crash.clone();
            monoio::spawn(async move {
                let serve = pin!(connection::serve(Conn::new(stream), &open.server));
                // An error ends the connection, which is all that a caller is owed.
                if let Either::Left((Err(_) | Ok(()), _)) = select(serve, crash).await {}
            });
        }
    }

    /// Ends all connections and the listener at once.
    pub fn crash_now(&self) {
        self.counters.borrow_mut().crashes += 1;
        if let Some(tx) = self.crash.borrow_mut().take() {
            // A server that is down already has nobody to tell.
            let _ = tx.send(());
        }
    }

    /// Waits while the server is frozen.
    pub async fn thaw(&self) {
        while self.faults.borrow().freeze {
            sleep(THAW_POLL).await;
        }
    }

    /// Waits as long as the way between callers and the server takes.
    pub async fn pass_way(&self) {
        wait(self.delay).await;
    }

    /// Waits as long as opening a connection takes.
    pub async fn open_connection(&self) {
        wait(self.opts.accept_time).await;
    }

    /// Begins to leave; later calls change nothing.
    pub fn leave(&self) {
        if self.leaving.get().is_none() {
            self.leaving.set(Some(Instant::now()));
        }
    }

    /// Whether the announced leave is long enough ago and nothing runs.
    pub fn has_left(&self) -> bool {
        let idle = self.slots.running() == 0 && self.slots.waiting() == 0;
        idle && self.leaving.get().is_some_and(|since| since.elapsed() >= self.opts.leave_after)
    }

    /// Work time of a request that asks for `fixed_ms`, or for none.
    pub fn work_time(&self, fixed_ms: Option<u64>) -> Duration {
        let work = self.spec.work.unwrap_or(self.opts.work);
        let base = match fixed_ms {
            Some(ms) => Duration::from_millis(ms),
            None => work_sample(work, &self.rng),
        };
        base.mul_f64(self.faults.borrow().straggle_factor * self.cold_factor())
    }

    fn cold_factor(&self) -> f64 {
        let age = self.started.get().elapsed();
        if age >= self.opts.cold_start {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.opts.cold_start.as_secs_f64();
        1.0 + (COLD_FACTOR - 1.0) * left
    }

    /// The load report that goes with an answer now.
    pub fn report(&self) -> LoadReport {
        let honest = LoadReport {
            in_flight: self.slots.running() as u32,
            waiting: self.slots.waiting() as u32,
            slots: self.slots.limit() as u32,
            leaving: self.leaving.get().is_some(),
            pace: 0,
        };
        match self.faults.borrow().reports {
            ReportFault::None => honest,
            ReportFault::Lie => LoadReport { in_flight: 0, waiting: 0, ..honest },
            ReportFault::Late => self.late(honest),
        }
    }

    fn late(&self, honest: LoadReport) -> LoadReport {
        let (at, old) = self.late_report.get();
        if at.elapsed() >= LATE_REPORT_AGE {
            self.late_report.set((Instant::now(), honest));
        }
        LoadReport { slots: honest.slots, ..old }
    }
}

fn work_sample(work: Work, rng: &RefCell<StdRng>) -> Duration {
    work.sample(&mut *rng.borrow_mut())
}

/// Counts a connection as open until it is dropped.
struct OpenGuard {
    server: Rc<Server>,
}

impl OpenGuard {
    fn new(server: Rc<Server>) -> Self {
        {
            let mut counters = server.counters.borrow_mut();
            counters.connections += 1;
            counters.connections_open += 1;
            counters.connections_most = counters.connections_most.max(counters.connections_open);
        }
        Self { server }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.server.counters.borrow_mut().connections_open -= 1;
    }
}

/// Waits; not at all for no time, since timers are no finer than a millisecond.
pub async fn wait(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}
