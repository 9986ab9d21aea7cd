//! A backend server that signs its answers and tells its load and the pace of its machine.

use super::cold::Cold;
use super::limit::Limit;
use super::pause::Pause;
use super::thread::{listen, never};
use crate::wire::{Conn, Framing, WireError, answer_head};
use http::{HeaderMap, StatusCode};
use monoio::net::TcpStream;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Largest body that is read.
const BODY_LIMIT: usize = 8 << 20;

/// Idle time after which a server that forgets does so.
const IDLE: Duration = Duration::from_millis(300);

/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_secs(1);

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

#[derive(Debug)]
struct Inner {
    id: String,
    trouble: ServerTrouble,
    work: Duration,
    /// Pace of the machine in percent.
    pace: u32,
    body: usize,
    /// Time for which a new connection waits before it is served.
    greeting: Duration,
    running: u32,
    seen: Vec<Seen>,
    probes: usize,
    connections: usize,
    cancelled: usize,
    /// Until when the server is down.
    down_until: Option<Instant>,
    cold: Cold,
    crashes: usize,
    limit: Limit,
    pause: Pause,
    is_leaving: bool,
    /// Whether answers to questions say of limit and leaving what those to requests say.
    tells_askers: bool,
}

impl Inner {
    /// Counts a request; the server crashes when it is cold and gets too many.
    fn press(&mut self) {
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

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a running request; dropping it takes it off.
struct Running<'a>(&'a Mutex<Inner>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        lock(self.0).running -= 1;
    }
}

async fn serve(inner: Arc<Mutex<Inner>>, io: TcpStream) {
    let greeting = {
        let mut inner = lock(&inner);
        inner.connections += 1;
        inner.greeting
    };
    monoio::time::sleep(greeting).await;
    let mut conn = Conn::new(io);
    let mut used = Instant::now();
    while serve_one(&inner, &mut conn, used).await.is_ok() {
        used = Instant::now();
    }
}

async fn serve_one(inner: &Mutex<Inner>, conn: &mut Conn, used: Instant) -> Result<(), WireError> {
    let head = conn.read_request().await?;
    let mut framing = Framing::of_request(&head.headers);
    let body = conn.read_body(&mut framing, BODY_LIMIT).await?;
    let trouble = lock(inner).trouble;
    if lock(inner).down_until.is_some_and(|until| Instant::now() < until) {
        return Err(WireError::Closed);
    }
    if trouble == ServerTrouble::ForgetsIdle && used.elapsed() > IDLE {
        return Err(WireError::Closed);
    }
    lock(inner).pause.arrived();
    if head.uri.path() == "/health" {
        lock(inner).probes += 1;
        return health(inner, conn).await;
    }
    let told = |name: &str| text(&head.headers, name).to_owned();
    let id = told("x-attempt-id");
    let expected = told("x-expected-instance");
    if trouble == ServerTrouble::Other || (!expected.is_empty() && expected != lock(inner).id) {
        return plain(conn, StatusCode::MISDIRECTED_REQUEST, &[("x-instance-id", "i-other")]).await;
    }
    if trouble == ServerTrouble::Shed {
        let mut headers = vec![("x-not-executed", "1")];
        headers.extend(leaving(inner));
        let pause = lock(inner).pause.begin();
        headers.extend(pause.as_deref().map(|seconds| ("retry-after", seconds)));
        return plain(conn, StatusCode::SERVICE_UNAVAILABLE, &headers).await;
    }
    let line = format!("{} {}", head.method, head.uri);
    let left_ms = told("x-request-deadline-ms").parse().unwrap_or(0);
    let work = {
        let mut inner = lock(inner);
        inner.press();
        if inner.down_until.is_some_and(|until| Instant::now() < until) {
            return Err(WireError::Closed);
        }
        inner.seen.push(Seen { line, id: id.clone(), left_ms, body });
        inner.running += 1;
        inner.work * inner.pace / 100
    };
    let running = Running(inner);
    if trouble == ServerTrouble::CrashesOnPoison && head.uri.path().contains("poison") {
        lock(inner).down_until = Some(Instant::now() + DOWN);
        return Err(WireError::Closed);
    }
    run(inner, conn, work).await?;
    drop(running);
    answer(inner, conn, trouble, &id).await
}

/// Works, unless the connection closes first.
async fn run(inner: &Mutex<Inner>, conn: &mut Conn, work: Duration) -> Result<(), WireError> {
    let worked = std::pin::pin!(monoio::time::sleep(work));
    let closed = std::pin::pin!(conn.closed());
    match futures::future::select(worked, closed).await {
        futures::future::Either::Left(_) => Ok(()),
        futures::future::Either::Right(_) => {
            lock(inner).cancelled += 1;
            Err(WireError::Closed)
        }
    }
}

async fn answer(
    inner: &Mutex<Inner>,
    conn: &mut Conn,
    trouble: ServerTrouble,
    id: &str,
) -> Result<(), WireError> {
    let body = "x".repeat(lock(inner).body);
    let good = whole(inner, StatusCode::OK, id, &body);
    match trouble {
        ServerTrouble::Mute => Err(WireError::Closed),
        ServerTrouble::Hang => never().await,
        ServerTrouble::Errors => {
            conn.write(whole(inner, StatusCode::INTERNAL_SERVER_ERROR, id, "failed")).await
        }
        ServerTrouble::Busy => {
            let pause = lock(inner).pause.begin();
            let headers: Vec<_> = pause.iter().map(|s| ("retry-after", s.as_str())).collect();
            plain(conn, StatusCode::SERVICE_UNAVAILABLE, &headers).await
        }
        ServerTrouble::Unsigned => plain(conn, StatusCode::OK, &[("x-attempt-id", id)]).await,
        ServerTrouble::BreaksOff => {
            conn.write(good[..good.len() - 1].to_owned()).await?;
            Err(WireError::Closed)
        }
        ServerTrouble::Extra => conn.write(good.clone() + &good).await,
        ServerTrouble::Foreign => {
            conn.write(whole(inner, StatusCode::OK, "another", "not yours") + &good).await
        }
        ServerTrouble::None
        | ServerTrouble::Shed
        | ServerTrouble::Other
        | ServerTrouble::CrashesOnPoison
        | ServerTrouble::ForgetsIdle => conn.write(good).await,
    }
}

fn whole(inner: &Mutex<Inner>, status: StatusCode, id: &str, body: &str) -> String {
    let load = load(inner);
    let length = body.len().to_string();
    let mut headers = vec![
        ("x-attempt-id", id),
        ("x-response-signature", "3e1b.07"),
        ("x-backend-load", load.as_str()),
        ("content-length", length.as_str()),
    ];
    let limit = lock(inner).limit.text();
    headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
    headers.extend(leaving(inner));
    answer_head(status, &headers) + body
}

async fn plain(
    conn: &mut Conn,
    status: StatusCode,
    headers: &[(&str, &str)],
) -> Result<(), WireError> {
    let mut all = vec![("content-length", "0")];
    all.extend_from_slice(headers);
    conn.write(answer_head(status, &all)).await
}

async fn health(inner: &Mutex<Inner>, conn: &mut Conn) -> Result<(), WireError> {
    let load = load(inner);
    let (id, cold_ms) = {
        let inner = lock(inner);
        (inner.id.clone(), inner.cold.left().as_millis().to_string())
    };
    let mut headers = vec![
        ("x-instance-id", id.as_str()),
        ("x-backend-load", load.as_str()),
        ("x-warmup-ms", cold_ms.as_str()),
    ];
    let leaving = leaving(inner);
    let limit = lock(inner).limit.text();
    if lock(inner).tells_askers {
        headers.extend(leaving);
        headers.extend(limit.as_deref().map(|limit| ("server-limit", limit)));
    }
    let status = leaving.map_or(StatusCode::OK, |_| StatusCode::SERVICE_UNAVAILABLE);
    plain(conn, status, &headers).await
}

/// The header of a server that leaves.
fn leaving(inner: &Mutex<Inner>) -> Option<(&'static str, &'static str)> {
    lock(inner).is_leaving.then_some(("server-leaving", "1"))
}

fn load(inner: &Mutex<Inner>) -> String {
    let inner = lock(inner);
    format!("{},0,6,{}", inner.running, inner.pace)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}
