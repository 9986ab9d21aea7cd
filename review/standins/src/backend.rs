//! Stand-in for a backend server.

use crate::http::{Conn, Head, answer};
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a request waits for a slot.
const SLOT_POLL: Duration = Duration::from_millis(1);

/// What a backend server is like.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its identity.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it processes concurrently.
    pub slots: usize,
    /// Requests that it queues.
    pub queue: usize,
    /// How long work takes.
    pub work: Duration,
    /// Whether its answers state its load.
    pub tells_load: bool,
    /// Faults that it has from the start.
    pub faults: Faults,
}

/// Faults of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of the requests that it rejects although it has room.
    pub shed: f64,
    /// Share of its answers of which an extra copy arrives late, where the answer to the next request
    /// on the connection is expected.
    pub extra: f64,
}

/// A request that a backend server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The identifier of the caller's attempt.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
    /// Where it came from.
    pub from: Option<SocketAddr>,
    /// Whether the server ended before the work did.
    pub is_cut: bool,
}

struct Shared {
    spec: Spec,
    running: AtomicUsize,
    waiting: AtomicUsize,
    rejections: AtomicUsize,
    extras: AtomicUsize,
    faults: Mutex<Faults>,
    chance: Mutex<u64>,
    is_ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    open: Mutex<Vec<TcpStream>>,
}

/// A running backend server.
#[derive(Clone)]
pub struct Backend {
    shared: Arc<Shared>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Backend {
    /// Starts a server at `ip`.
    pub fn start(ip: Ipv4Addr, spec: Spec) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let faults = Mutex::new(spec.faults);
        let seed = spec.id.bytes().fold(11, |seed: u64, byte| seed * 31 + u64::from(byte));
        let shared = Arc::new(Shared {
            spec,
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            rejections: AtomicUsize::new(0),
            extras: AtomicUsize::new(0),
            faults,
            chance: Mutex::new(seed),
            is_ended: AtomicBool::new(false),
            runs: Mutex::default(),
            open: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let (Ok(copy), Ok(mut open)) = (stream.try_clone(), accepting.open.lock()) {
                    open.push(copy);
                }
                let shared = Arc::clone(&accepting);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Self { shared, address })
    }

    /// The key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.shared.spec.id)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let Spec { service, domain, slots, .. } = &self.shared.spec;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{domain}\",\
             \"version\":\"v1\",\"capacity\":{slots},\"state\":\"{state}\",\
             \"warmup_left_ms\":0,\"sequence\":1}}",
            self.address
        )
    }

    /// Its identity.
    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    /// The requests that it has begun to run.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Number of requests that it has rejected.
    pub fn rejections(&self) -> usize {
        self.shared.rejections.load(Ordering::SeqCst)
    }

    /// Number of extra copies that it has sent.
    pub fn extras(&self) -> usize {
        self.shared.extras.load(Ordering::SeqCst)
    }

    /// Ends the server: it accepts nothing any more, and its connections close.
    pub fn end(&self) {
        self.shared.is_ended.store(true, Ordering::SeqCst);
        // The listener closes once its thread sees another connection.
        let _ = TcpStream::connect(self.address);
        let open = self.shared.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Shared {
    fn serve(&self, stream: TcpStream) {
        let from = stream.peer_addr().ok();
        let mut conn = Conn::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(head)) = conn.read_head() {
            if conn.read_body(&head).is_err() {
                return;
            }
            // Late, at the point where the answer to this request is expected.
            if let Some(extra) = extra.take() {
                self.extras.fetch_add(1, Ordering::SeqCst);
                if conn.write(&extra).is_err() {
                    return;
                }
            }
            let bytes = if head.target() == "/health" {
                self.health()
            } else if head.get("x-expected-instance").is_some_and(|id| id != self.spec.id) {
                let headers = [("X-Instance-Id", self.spec.id.as_str()), ("X-Not-Executed", "1")];
                answer("421 Misdirected Request", &headers, "")
            } else {
                let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
                let is_shed = self.happens(faults.shed);
                let bytes = if !is_shed && self.take_slot() {
                    self.run(&head, from)
                } else {
                    self.rejections.fetch_add(1, Ordering::SeqCst);
                    self.reject()
                };
                extra = self.happens(faults.extra).then(|| bytes.clone());
                bytes
            };
            if self.is_ended.load(Ordering::SeqCst) || conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    /// Whether something of this probability happens now.
    fn happens(&self, share: f64) -> bool {
        let mut state = self.chance.lock().unwrap_or_else(PoisonError::into_inner);
        *state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((*state >> 33) as f64) < share * f64::from(1_u32 << 31)
    }

    /// The answer to a request that has not run, as the users' examples show it.
    fn reject(&self) -> Vec<u8> {
        let load = self.load();
        let mut headers = vec![("X-Not-Executed", "1")];
        if self.spec.tells_load {
            headers.push(("X-Backend-Load", load.as_str()));
        }
        answer("503 Service Unavailable", &headers, "")
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let waiting = self.waiting.load(Ordering::SeqCst);
        format!("{running},{waiting},{}", self.spec.slots)
    }

    fn health(&self) -> Vec<u8> {
        let load = self.load();
        let mut headers = vec![("X-Instance-Id", self.spec.id.as_str())];
        if self.spec.tells_load {
            headers.push(("X-Backend-Load", load.as_str()));
        }
        answer("200 OK", &headers, "")
    }

    /// Takes a slot, after a wait in the queue if necessary; false if the queue is full.
    fn take_slot(&self) -> bool {
        if self.try_slot() {
            return true;
        }
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= self.spec.queue {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        while !self.try_slot() {
            thread::sleep(SLOT_POLL);
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        true
    }

    fn try_slot(&self) -> bool {
        let slots = self.spec.slots;
        let take = |running: usize| (running < slots).then_some(running + 1);
        self.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }

    fn run(&self, head: &Head, from: Option<SocketAddr>) -> Vec<u8> {
        let id = head.get("x-attempt-id").unwrap_or("-").to_owned();
        let index = {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.push(Run { id: id.clone(), at: Instant::now(), from, is_cut: false });
            runs.len() - 1
        };
        thread::sleep(self.spec.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_ended.load(Ordering::SeqCst) {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs[index].is_cut = true;
        }
        let load = self.load();
        let mut headers = vec![
            ("X-Attempt-Id", id.as_str()),
            ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        if self.spec.tells_load {
            headers.push(("X-Backend-Load", load.as_str()));
        }
        answer("200 OK", &headers, &format!("done {id}"))
    }
}
