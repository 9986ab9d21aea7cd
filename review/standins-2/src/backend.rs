//! Stand-in of a backend server: slots, a signature, its load, and a record of what it ran.

use crate::http::{Conn, answer};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identifier of the attempt.
    pub id: String,
    pub service: String,
    pub server: String,
    pub began: Instant,
}

/// Requests that a server runs at a time.
const SLOTS: usize = 6;

/// Requests that may wait for one.
const QUEUE: usize = 12;

/// Time that an answer to a health check takes.
const HEALTH_TIME: Duration = Duration::from_millis(1);

/// What the servers ran, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A backend server. Clones share it.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    work: Duration,
    load: Arc<(Mutex<Load>, Condvar)>,
    runs: Runs,
    has_ended: Arc<AtomicBool>,
}

impl Backend {
    pub fn start(id: &str, service: &str, work: Duration, runs: &Runs) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            work,
            load: Arc::default(),
            runs: Arc::clone(runs),
            has_ended: Arc::default(),
        };
        let shared = backend.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                if shared.has_ended() {
                    return;
                }
                let backend = shared.clone();
                thread::spawn(move || backend.serve(io));
            }
        });
        Ok(backend)
    }

    /// Key and value of its entry in the store.
    pub fn entry(&self, zone: &str, state: &str) -> (String, String) {
        let Self { id, service, address, .. } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"capacity\":{SLOTS},\"state\":\"{state}\",\"warmup_left_ms\":0,\
             \"sequence\":1}}"
        );
        (format!("servers/{id}"), value)
    }

    /// Ends the server once its connections are idle.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    fn serve(&self, io: TcpStream) {
        let mut conn = Conn::new(io);
        while let Ok(request) = conn.read(false) {
            if self.has_ended() {
                return;
            }
            let bytes = if request.path() == "/health" {
                thread::sleep(HEALTH_TIME);
                let headers =
                    [("X-Instance-Id", self.id.as_str()), ("X-Backend-Load", &self.load_text())];
                answer(200, &headers, b"")
            } else if request.header("x-expected-instance").is_some_and(|id| id != self.id) {
                answer(421, &[("X-Instance-Id", &self.id), ("X-Not-Executed", "1")], b"")
            } else {
                match request.header("x-attempt-id") {
                    Some(id) => self.run(id),
                    None => answer(400, &[("X-Not-Executed", "1")], b""),
                }
            };
            if conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn load_text(&self) -> String {
        let load = self.load.0.lock().unwrap();
        format!("{},{},{SLOTS},100", load.running, load.waiting)
    }

    /// Runs a request once a slot is free, or rejects it.
    fn run(&self, id: &str) -> Vec<u8> {
        let (lock, freed) = &*self.load;
        let mut load = lock.lock().unwrap();
        if load.running >= SLOTS {
            if load.waiting >= QUEUE {
                return answer(503, &[("X-Attempt-Id", id), ("X-Not-Executed", "1")], b"");
            }
            load.waiting += 1;
            load = freed.wait_while(load, |load| load.running >= SLOTS).unwrap();
            load.waiting -= 1;
        }
        load.running += 1;
        drop(load);
        self.runs.lock().unwrap().push(Run {
            id: id.to_owned(),
            service: self.service.clone(),
            server: self.id.clone(),
            began: Instant::now(),
        });
        thread::sleep(self.work);
        lock.lock().unwrap().running -= 1;
        freed.notify_one();
        let headers = [
            ("X-Attempt-Id", id),
            ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("X-Backend-Load", &self.load_text()),
        ];
        answer(200, &headers, format!("{} ran {id}", self.id).as_bytes())
    }
}
