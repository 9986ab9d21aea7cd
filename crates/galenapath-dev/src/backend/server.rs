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

/// Interval at which a frozen server checks whether the fault was cleared.
const FREEZE_POLL: Duration = Duration::from_millis(2);
/// Age at which a load report delayed by [`ReportFault::Late`] is replaced.
const LATE_REPORT_AGE: Duration = Duration::from_secs(1);
/// Factor by which work takes longer right after a start; it falls linearly to 1.
const COLD_FACTOR: f64 = 3.0;

/// Completes when the server crashes; ends its listener and connections.
type Crash = Shared<oneshot::Receiver<()>>;

/// One backend server of this process.
pub struct Server {
    /// Specification from the command line.
    pub spec: ServerSpec,
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Concurrency slots.
    pub slots: Rc<Slots>,
    /// Faults in force.
    pub faults: RefCell<Faults>,
    /// Counters of this server.
    pub counters: RefCell<Counters>,
    /// Load queries of the last second.
    pub probe_rate: RefCell<PeakRate>,
    /// Executions per key, shared by all servers of the process.
    pub keys: Rc<RefCell<KeyCounts>>,
    /// File to which executions are written, if any; shared by all servers of the process.
    pub log: Option<Rc<File>>,
    /// Start of the process run, in milliseconds since the Unix epoch.
    pub started_ms: u128,
    /// Simulated one-way delay between callers and this server.
    pub delay: Duration,
    /// Time at which the server began to leave.
    pub leaving: Cell<Option<Instant>>,
    opts: Rc<Options>,
    rng: RefCell<StdRng>,
    started: Cell<Instant>,
    late_report: Cell<(Instant, LoadReport)>,
    crash: RefCell<Option<oneshot::Sender<()>>>,
}

impl Server {
    /// Creates a healthy server that listens on `addr`.
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

    /// Serves connections and restarts [`Options::restart_after`] after each crash; never returns.
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
                sleep(FREEZE_POLL).await;
                continue;
            };
            self.wait_while_frozen().await;
            if self.counters.borrow().connections_open >= self.opts.connections {
                self.counters.borrow_mut().connections_refused += 1;
                continue;
            }
            let open = OpenGuard::new(Rc::clone(self));
            let crash = crash.clone();
            monoio::spawn(async move {
                let serve = pin!(connection::serve(Conn::new(stream), &open.server));
                // An error ends the connection; it needs no other handling.
                if let Either::Left((Err(_) | Ok(()), _)) = select(serve, crash).await {}
            });
        }
    }

    /// Crashes the server: closes the listener and all connections immediately.
    pub fn crash_now(&self) {
        self.counters.borrow_mut().crashes += 1;
        if let Some(tx) = self.crash.borrow_mut().take() {
            // Sending fails only if the server is down already.
            let _ = tx.send(());
        }
    }

    /// Waits while the fault `freeze` is set.
    pub async fn wait_while_frozen(&self) {
        while self.faults.borrow().freeze {
            sleep(FREEZE_POLL).await;
        }
    }

    /// Waits for the simulated one-way delay.
    pub async fn apply_delay(&self) {
        sleep_nonzero(self.delay).await;
    }

    /// Waits for the simulated time to accept a connection.
    pub async fn apply_accept_time(&self) {
        sleep_nonzero(self.opts.accept_time).await;
    }

    /// Starts leaving; later calls have no effect.
    pub fn begin_leaving(&self) {
        if self.leaving.get().is_none() {
            self.leaving.set(Some(Instant::now()));
        }
    }

    /// Returns whether [`Options::leave_after`] has passed since leaving began and no request runs
    /// or waits.
    pub fn has_left(&self) -> bool {
        let idle = self.slots.running() == 0 && self.slots.waiting() == 0;
        idle && self.leaving.get().is_some_and(|since| since.elapsed() >= self.opts.leave_after)
    }

    /// Returns the work time of a request: `fixed_ms` if the request states it, or a random one.
    pub fn work_time(&self, fixed_ms: Option<u64>) -> Duration {
        let work = self.spec.work.unwrap_or(self.opts.work);
        let base = match fixed_ms {
            Some(ms) => Duration::from_millis(ms),
            None => sample_work(work, &self.rng),
        };
        base.mul_f64(self.faults.borrow().straggle_factor * self.cold_factor())
    }

    fn cold_factor(&self) -> f64 {
        let age = self.started.get().elapsed();
        if age >= self.opts.cold_start {
            return 1.0;
        }
        let remaining = 1.0 - age.as_secs_f64() / self.opts.cold_start.as_secs_f64();
        1.0 + (COLD_FACTOR - 1.0) * remaining
    }

    /// Returns the load report to send with an answer.
    pub fn report(&self) -> LoadReport {
        let actual = LoadReport {
            in_flight: self.slots.running() as u32,
            waiting: self.slots.waiting() as u32,
            slots: self.slots.limit() as u32,
            leaving: self.leaving.get().is_some(),
            pace: 0,
        };
        match self.faults.borrow().reports {
            ReportFault::None => actual,
            ReportFault::Lie => LoadReport { in_flight: 0, waiting: 0, ..actual },
            ReportFault::Late => self.delayed_report(actual),
        }
    }

    fn delayed_report(&self, actual: LoadReport) -> LoadReport {
        let (at, old) = self.late_report.get();
        if at.elapsed() >= LATE_REPORT_AGE {
            self.late_report.set((Instant::now(), actual));
        }
        LoadReport { slots: actual.slots, ..old }
    }
}

fn sample_work(work: Work, rng: &RefCell<StdRng>) -> Duration {
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

/// Sleeps unless `time` is zero: the timer has a resolution of one millisecond, so that even an
/// empty sleep could take that long.
pub async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}
