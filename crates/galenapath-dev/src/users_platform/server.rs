//! A backend server that signs its answers and tells its load and the pace of its machine.

use super::cold::Cold;
use super::limit::Limit;
use super::pause::Pause;
use super::serve::serve;
use super::thread::listen;
use monoio::net::TcpStream;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which a crashed server is down.
pub(super) const DOWN: Duration = Duration::from_secs(1);

/// What a server does wrong with requests; its health answers stay good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerTrouble {
    /// Nothing.
    #[default]
    None,
    /// Refuses and says that it did not run the request.
    Shed,
    /// Runs the request and closes without an answer.
    Mute,
    /// Runs the request and never answers.
    Hang,
    /// Fails with status 500.
    Errors,
    /// Answers without a signature.
    Unsigned,
    /// Answers with a length and breaks off.
    BreaksOff,
    /// Sends a second answer after the first.
    Extra,
    /// Sends the answer to another request first.
    Foreign,
    /// Says 503 without saying that it did not run the request.
    Busy,
    /// Belongs to another service now.
    Other,
    /// Crashes when it begins to run a request whose path names `poison`, and is back after a second.
    CrashesOnPoison,
    /// Closes a connection that was idle for 300 ms when the next request comes on it.
    ForgetsIdle,
}

/// A request that a server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Method and path.
    pub line: String,
    /// The caller's identifier.
    pub id: String,
    /// Milliseconds left, as told.
    pub left_ms: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// What a server is and has got.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) id: String,
    pub(super) trouble: ServerTrouble,
    pub(super) work: Duration,
    /// Pace of the machine in percent.
    pub(super) pace: u32,
    pub(super) body: usize,
    /// Time for which a new connection waits before it is served.
    pub(super) greeting: Duration,
    pub(super) running: u32,
    pub(super) seen: Vec<Seen>,
    pub(super) probes: usize,
    pub(super) connections: usize,
    pub(super) cancelled: usize,
    /// Until when the server is down.
    pub(super) down_until: Option<Instant>,
    pub(super) cold: Cold,
    pub(super) crashes: usize,
    pub(super) limit: Limit,
    pub(super) pause: Pause,
    pub(super) is_leaving: bool,
    /// Whether answers to questions say of limit and leaving what those to requests say.
    pub(super) tells_askers: bool,
}

impl Inner {
    /// Counts a request; the server crashes when it is cold and gets too many.
    pub(super) fn press(&mut self) {
        let now = Instant::now();
        self.limit.press(now);
        if self.cold.press(now) {
            self.crashes += 1;
            self.down_until = Some(now + DOWN);
        }
    }
}

/// A running server.
#[derive(Clone, Debug)]
pub struct ServerStandIn {
    inner: Arc<Mutex<Inner>>,
    address: SocketAddr,
}

impl ServerStandIn {
    /// Starts a server with six slots whose work takes `work`.
    ///
    /// # Errors
    ///
    /// When no address can be had.
    pub fn start(id: &str, work: Duration) -> io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner {
            id: id.to_owned(),
            trouble: ServerTrouble::None,
            work,
            pace: 100,
            body: 20,
            greeting: Duration::ZERO,
            running: 0,
            seen: Vec::new(),
            probes: 0,
            connections: 0,
            cancelled: 0,
            down_until: None,
            cold: Cold::default(),
            crashes: 0,
            limit: Limit::default(),
            pause: Pause::default(),
            is_leaving: false,
            tells_askers: false,
        }));
        let shared = Arc::clone(&inner);
        let address = listen(move || {
            move |io: TcpStream| {
                monoio::spawn(serve(Arc::clone(&shared), io));
            }
        })?;
        Ok(Self { inner, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The server's entry in the store, and its key.
    pub fn entry(&self, service: &str, state: &str) -> (String, Value) {
        let id = self.lock().id.clone();
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "d1",
            "version": "v1", "capacity": 6, "state": state, "warmup_left_ms": 0, "sequence": 1,
        });
        (format!("servers/{id}"), entry)
    }

    /// The same of a run that started at `started`, in Unix milliseconds.
    pub fn entry_of_run(&self, service: &str, state: &str, started: u64) -> (String, Value) {
        let (key, mut entry) = self.entry(service, state);
        entry["born"] = json!(started);
        (key, entry)
    }

    /// Sets what it does wrong.
    pub fn set_trouble(&self, trouble: ServerTrouble) {
        self.lock().trouble = trouble;
    }

    /// Sets how long its work takes.
    pub fn set_work(&self, work: Duration) {
        self.lock().work = work;
    }

    /// Sets the pace of its machine in percent; work that begins takes so much longer.
    pub fn set_pace(&self, pace: u32) {
        self.lock().pace = pace;
    }

    /// Turns it cold for `left`: it says so to those that ask, and crashes when it gets many more than
    /// `per_second` requests a second.
    pub fn turn_cold(&self, left: Duration, per_second: f64) {
        self.lock().cold.begin(Instant::now() + left, per_second);
    }

    /// Most requests that came within a second while it was cold.
    pub fn most_cold(&self) -> usize {
        self.lock().cold.most()
    }

    /// How often it crashed because it was cold and got too many requests.
    pub fn crashes(&self) -> usize {
        self.lock().crashes
    }

    /// Names a limit of requests a second in its answers to requests, or none any more.
    pub fn set_limit(&self, per_second: Option<f64>) {
        self.lock().limit.set(per_second);
    }

    /// Says for how long it wants nothing with each request that it turns away with status 503, or no more.
    pub fn set_pause(&self, stated: Option<Duration>) {
        self.lock().pause.state(stated);
    }

    /// Requests and questions that came while it wanted nothing.
    pub fn arrivals_in_pause(&self) -> usize {
        self.lock().pause.arrivals()
    }

    /// Says in its answers to requests that it leaves, or no more.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
    }

    /// Says in its answers to questions as well whether it leaves and what limit it names.
    pub fn tell_askers(&self) {
        self.lock().tells_askers = true;
    }

    /// Most requests that came within four seconds while it named a limit.
    pub fn most_limited(&self) -> usize {
        self.lock().limit.most()
    }

    /// Requests that came although the limit that it named left no room for them.
    pub fn overruns(&self) -> usize {
        self.lock().limit.overruns()
    }

    /// Sets the length of its answers.
    pub fn set_body(&self, bytes: usize) {
        self.lock().body = bytes;
    }

    /// Lets new connections wait for `greeting` before they are served, as at a server without a free slot.
    pub fn set_greeting(&self, greeting: Duration) {
        self.lock().greeting = greeting;
    }

    /// Connections opened to it.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Requests that it ran.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Health answers so far.
    pub fn probes(&self) -> usize {
        self.lock().probes
    }

    /// Requests whose connection closed before they were done.
    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

pub(super) fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}
