//! Stand-in for a backend server that signs its answers and reports its load and the slowdown of
//! its machine.

use super::cold::Cold;
use super::limit::Limit;
use super::pause::Pause;
use super::serve::serve;
use super::server_fault::ServerFault;
use super::thread::{CrashNotices, ListenerThread, listen_while_up};
use futures::channel::mpsc::{self, UnboundedSender};
use monoio::net::TcpStream;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time that a crashed server stays down.
pub const DOWNTIME: Duration = Duration::from_secs(1);

/// A request that a server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Method and path.
    pub line: String,
    /// Identifier of the attempt, as set by the caller.
    pub id: String,
    /// Remaining deadline in milliseconds, as sent by the caller.
    pub left_ms: u64,
    /// Request body.
    pub body: Vec<u8>,
    /// Name of the workspace, as set by the instance.
    pub workspace: Option<String>,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
    /// When the work began.
    pub began: Instant,
    /// When the work ended; `None` while it runs, and if its connection closed before.
    pub ended: Option<Instant>,
}

/// State of a server and records of what it received.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) id: String,
    pub(super) fault: ServerFault,
    pub(super) work: Duration,
    /// Slowdown of the machine in percent: 200 means that work takes twice as long.
    pub(super) slowdown: u32,
    pub(super) body: usize,
    /// Delay before a new connection is served.
    pub(super) accept_delay: Duration,
    pub(super) running: u32,
    pub(super) executed: Vec<ExecutedRequest>,
    pub(super) probes: usize,
    pub(super) connections: usize,
    pub(super) cancelled: usize,
    /// Connections on which bytes without end are being sent.
    pub(super) endless: usize,
    /// Time until which the server is down after a crash.
    down_until: Option<Instant>,
    /// Notifies the listener of crashes.
    crash_notices: UnboundedSender<()>,
    pub(super) cold: Cold,
    pub(super) crashes: usize,
    /// When the server first got too many requests while cold.
    overloaded_at: Option<Instant>,
    pub(super) limit: Limit,
    pub(super) pause: Pause,
    pub(super) is_leaving: bool,
    /// Whether answers to load queries state the rate limit and leaving, as those to requests do.
    pub(super) reports_state_in_probes: bool,
}

impl Inner {
    /// Whether the server is down after a crash.
    pub(super) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Crashes the server: it is down for [`DOWNTIME`].
    pub(super) fn crash(&mut self) {
        self.down_until = Some(Instant::now() + DOWNTIME);
        // Fails only once the listener has ended.
        let _ = self.crash_notices.unbounded_send(());
    }

    /// Records a request; the server crashes if it is cold and receives too many.
    pub(super) fn record_request(&mut self) {
        let now = Instant::now();
        self.limit.record_request(now);
        if self.cold.record_request(now) {
            self.crashes += 1;
            self.overloaded_at.get_or_insert(now);
            self.crash();
        }
    }
}

/// A running server stand-in. It ends once all clones of this are dropped.
#[derive(Clone, Debug)]
pub struct ServerStandIn {
    inner: Arc<Mutex<Inner>>,
    thread: ListenerThread,
}

impl ServerStandIn {
    /// Starts a server with six slots, whose requests take `work`.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub fn start(id: &str, work: Duration) -> io::Result<Self> {
        let (crash_notices, crashes): CrashNotices = mpsc::unbounded();
        let inner = Arc::new(Mutex::new(Inner {
            id: id.to_owned(),
            fault: ServerFault::None,
            work,
            slowdown: 100,
            body: 20,
            accept_delay: Duration::ZERO,
            running: 0,
            executed: Vec::new(),
            probes: 0,
            connections: 0,
            cancelled: 0,
            endless: 0,
            down_until: None,
            crash_notices,
            cold: Cold::default(),
            crashes: 0,
            overloaded_at: None,
            limit: Limit::default(),
            pause: Pause::default(),
            is_leaving: false,
            reports_state_in_probes: false,
        }));
        let (shared, state) = (Arc::clone(&inner), Arc::clone(&inner));
        let handler = move || {
            move |io: TcpStream| {
                monoio::spawn(serve(Arc::clone(&shared), io));
            }
        };
        let thread = listen_while_up(handler, crashes, move || lock(&state).is_down())?;
        Ok(Self { inner, thread })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.thread.address
    }

    /// Returns the key and the value of the server's entry in the store.
    pub fn entry(&self, service: &str, state: &str) -> (String, Value) {
        let id = self.lock().id.clone();
        let entry = json!({
            "service": service, "address": self.thread.address.to_string(), "zone": "d1",
            "version": "v1", "capacity": 6, "state": state, "warmup_left_ms": 0, "sequence": 1,
        });
        (format!("servers/{id}"), entry)
    }

    /// Returns the same for a process run that started at `started`, in Unix milliseconds.
    pub fn entry_of_run(&self, service: &str, state: &str, started: u64) -> (String, Value) {
        let (key, mut entry) = self.entry(service, state);
        entry["born"] = json!(started);
        (key, entry)
    }

    /// Sets the fault in force.
    pub fn set_fault(&self, fault: ServerFault) {
        self.lock().fault = fault;
    }

    /// Sets the work time of a request.
    pub fn set_work(&self, work: Duration) {
        self.lock().work = work;
    }

    /// Sets the slowdown of the machine in percent of the usual work time, for requests that start
    /// later.
    pub fn set_slowdown(&self, percent: u32) {
        self.lock().slowdown = percent;
    }

    /// Makes the server cold for `duration`: it reports so in answers to load queries, and crashes
    /// if it receives many more than `per_second` requests per second.
    pub fn set_cold(&self, duration: Duration, per_second: f64) {
        self.lock().cold.begin(Instant::now() + duration, per_second);
    }

    /// Returns the most requests received within one second while cold.
    pub fn peak_rate_while_cold(&self) -> usize {
        self.lock().cold.peak_rate()
    }

    /// Returns the number of crashes caused by too many requests while cold.
    pub fn crashes(&self) -> usize {
        self.lock().crashes
    }

    /// Returns when the first of these crashes was.
    pub fn overloaded_at(&self) -> Option<Instant> {
        self.lock().overloaded_at
    }

    /// Sets the rate limit in requests per second that answers to requests state; `None` removes
    /// it.
    pub fn set_limit(&self, per_second: Option<f64>) {
        self.lock().limit.set(per_second);
    }

    /// Sets the pause that each answer with status 503 states; `None` states none.
    pub fn set_pause(&self, stated: Option<Duration>) {
        self.lock().pause.set_stated(stated);
    }

    /// Returns the number of requests and load queries received during stated pauses.
    pub fn arrivals_in_pause(&self) -> usize {
        self.lock().pause.arrivals()
    }

    /// Sets whether answers to requests state that the server is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
    }

    /// Makes answers to load queries state leaving and the rate limit as well.
    pub fn report_state_in_probes(&self) {
        self.lock().reports_state_in_probes = true;
    }

    /// Returns the most requests received within four seconds while a limit was stated.
    pub fn peak_requests_while_limited(&self) -> usize {
        self.lock().limit.peak_requests()
    }

    /// Returns the number of requests received beyond what the stated limit allowed.
    pub fn overruns(&self) -> usize {
        self.lock().limit.overruns()
    }

    /// Sets the length of the answer bodies, in bytes.
    pub fn set_body(&self, bytes: usize) {
        self.lock().body = bytes;
    }

    /// Sets the delay before a new connection is served, as on a server without a free slot.
    pub fn set_accept_delay(&self, accept_delay: Duration) {
        self.lock().accept_delay = accept_delay;
    }

    /// Returns the number of connections opened to the server.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Returns the requests that the server ran.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.lock().executed.clone()
    }

    /// Returns the number of load queries received.
    pub fn probes(&self) -> usize {
        self.lock().probes
    }

    /// Returns the number of requests whose connection closed while they ran.
    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    /// Returns the number of connections on which bytes without end are being sent.
    pub fn endless(&self) -> usize {
        self.lock().endless
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

pub(super) fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}
