//! Single requests of a scenario, sent in the background.

use super::error::ScenarioError;
use super::line::Line;
use super::process::POLL;
use crate::load::{Attempt, Outcome, Pool, Request, RequestSpec};
use crate::wire::exchange;
use monoio::time::{sleep, timeout};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Answers of at least this many bytes are read on a separate thread.
const OWN_THREAD_MIN_BYTES: u64 = 1 << 20;

/// Limit for an answer to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that was sent once, without retries.
pub struct SentRequest {
    /// Contents of the request.
    pub spec: RequestSpec,
    end: Arc<Mutex<Option<RequestEnd>>>,
    has_begun: Arc<AtomicBool>,
}

/// Result of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// Result as its caller knows it.
    pub attempt: Attempt,
    /// Time from sending to the end.
    pub took: Duration,
    /// When it ended.
    pub at: Instant,
}

impl SentRequest {
    /// Sends `spec` to `addr` on a separate connection, in the background.
    pub fn start(spec: RequestSpec, addr: SocketAddr) -> Self {
        let end = Arc::default();
        let result = Arc::clone(&end);
        let req = Request::new(spec.clone());
        let has_begun = req.begun_flag();
        if spec.bytes.is_some_and(|bytes| bytes >= OWN_THREAD_MIN_BYTES) {
            send_on_thread(req, addr, result);
        } else {
            monoio::spawn(send(req, addr, result));
        }
        Self { spec, end, has_begun }
    }

    /// Returns whether a part of the answer's body has arrived.
    pub fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Returns the result if the request has ended.
    pub fn ended(&self) -> Option<RequestEnd> {
        *self.end.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the request ends, for `limit` at most.
    pub async fn wait(&self, limit: Duration) -> Result<Attempt, ScenarioError> {
        let began = Instant::now();
        loop {
            if let Some(end) = self.ended() {
                return Ok(end.attempt);
            }
            if began.elapsed() >= limit {
                return Err(ScenarioError::Timeout {
                    condition: format!("the answer to {}", self.spec.path),
                    seen: "none".to_owned(),
                    limit_ms: limit.as_millis(),
                });
            }
            sleep(POLL).await;
        }
    }
}

async fn send(req: Request, addr: SocketAddr, end: Arc<Mutex<Option<RequestEnd>>>) {
    let began = Instant::now();
    let pool = Pool::default();
    let attempt = timeout(ANSWER_TIMEOUT, req.send(&pool, addr)).await;
    let attempt = attempt.unwrap_or(Attempt::Broken);
    let ended = RequestEnd { attempt, took: began.elapsed(), at: Instant::now() };
    *end.lock().unwrap_or_else(PoisonError::into_inner) = Some(ended);
}

/// Sends a request on a separate thread. Reading and checking a body of hundreds of megabytes on
/// the runtime's thread would delay the other callers and distort their latencies.
fn send_on_thread(req: Request, addr: SocketAddr, end: Arc<Mutex<Option<RequestEnd>>>) {
    std::thread::spawn(move || {
        let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
        match runtime {
            Ok(mut runtime) => runtime.block_on(send(req, addr, end)),
            // The request never ends then, and a step that waits for it times out.
            Err(e) => eprintln!("cannot start the runtime of a request: {e}"),
        }
    });
}

/// Parses the request of `send ID INSTANCE METHOD SERVICE PATH [key=auto|TEXT] [deadline_ms=…]
/// [bytes=…] [same_path=yes]`. Unless `same_path` is set, a nonce makes the path unique.
pub async fn read_spec(
    line: &Line,
    addr: SocketAddr,
    unique: &str,
) -> Result<RequestSpec, ScenarioError> {
    let service = line.word(4).to_owned();
    let number = |name| line.option(name).and_then(|text| text.parse::<u64>().ok());
    let separator = if line.word(5).contains('?') { '&' } else { '?' };
    let mut path = match line.option("same_path") {
        Some(_) => line.word(5).to_owned(),
        None => format!("{}{separator}nonce={unique}", line.word(5)),
    };
    if let Some(bytes) = number("bytes") {
        path.push_str(&format!("&bytes={bytes}"));
    }
    let key = match line.option("key") {
        None => String::new(),
        Some("auto") => format!("{}{unique}", key_prefix(addr, &service).await?),
        Some(text) => format!("{text}-{unique}"),
    };
    Ok(RequestSpec {
        method: line.word(3).to_owned(),
        service,
        path,
        key,
        bytes: number("bytes"),
        deadline_ms: number("deadline_ms"),
        body: line.option("body").unwrap_or("").as_bytes().to_vec(),
    })
}

async fn key_prefix(addr: SocketAddr, service: &str) -> Result<String, ScenarioError> {
    let path = format!("/v1/entries?service={service}");
    let answer = exchange(addr, "GET", &path, b"").await;
    let answer = answer.map_err(ScenarioError::call("requesting addresses"))?;
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let prefix = value["key_prefix"].as_str();
    prefix.map(str::to_owned).ok_or_else(|| {
        let got = format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body));
        ScenarioError::Unexpected { expected: "an address answer".to_owned(), got }
    })
}

/// Returns the name of an outcome in scenarios.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::MayHaveRun => "may-have-run",
        Outcome::Failed => "failed",
        Outcome::Broken => "broken",
        Outcome::Wrong => "wrong",
        Outcome::Unsent => "unsent",
    }
}
