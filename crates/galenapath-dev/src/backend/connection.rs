//! Serves one connection: reads requests, runs them in slots and answers them.

use super::answer::{self, ConnectionAction};
use super::server::{Server, sleep_nonzero};
use super::slots::{Full, SlotGuard};
use crate::wire::{Conn, Framing, WireError};
use futures::future::{Either, select};
use galenapath_protocol::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, hash64};
use monoio::time::sleep;
use monoio_http::common::request::RequestHead;
use std::io::Write;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Path of load queries, which are answered with the load report alone and take no slot.
pub const PROBE_PATH: &str = "/.well-known/load";

/// Largest request body in bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// A request with the fields that the stand-in uses.
pub struct Job {
    /// Request head.
    pub head: RequestHead,
    /// Path with query.
    pub path: String,
    /// Idempotency key; empty if there is none.
    pub key: String,
    /// Hash of the request body.
    pub body_hash: u64,
    deadline: Instant,
}

impl Job {
    async fn read(conn: &mut Conn) -> Result<Self, WireError> {
        let head = conn.read_request().await?;
        let began = Instant::now();
        let body = conn.read_body(&mut Framing::of_request(&head.headers), BODY_LIMIT).await?;
        let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
        let time_limit =
            text(DEADLINE_HEADER).parse().map_or(DEFAULT_DEADLINE, Duration::from_millis);
        Ok(Self {
            path: head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned(),
            key: text(IDEMPOTENCY_KEY_HEADER).to_owned(),
            body_hash: hash64(0, &body),
            deadline: began + time_limit,
            head,
        })
    }

    /// Returns a numeric query parameter, such as `bytes=65536` or `work_ms=20`.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let query = self.head.uri.query()?;
        let field = query.split('&').find_map(|field| field.strip_prefix(name));
        field?.strip_prefix('=')?.parse().ok()
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// How one step of a request ended.
enum StepResult<T> {
    Done(T),
    /// The caller closed its connection.
    Cancelled,
    /// The deadline passed.
    Expired,
}

/// Serves `conn` until either side closes it.
pub async fn serve(mut conn: Conn, server: &Rc<Server>) -> Result<(), WireError> {
    server.apply_accept_time().await;
    loop {
        let job = Job::read(&mut conn).await?;
        server.wait_while_frozen().await;
        server.apply_delay().await;
        let action = if job.head.uri.path() == PROBE_PATH {
            count_probe(server);
            answer::send_report(&mut conn, server).await?
        } else {
            run(&mut conn, server, &job).await?
        };
        match action {
            ConnectionAction::Close => return Ok(()),
            ConnectionAction::KeepAlive => {}
        }
    }
}

async fn run(
    conn: &mut Conn,
    server: &Rc<Server>,
    job: &Job,
) -> Result<ConnectionAction, WireError> {
    count_request(server);
    if server.faults.borrow().fail_fast {
        return answer::send_failure(conn, server).await;
    }
    let guard = match run_until_deadline(conn, job, server.slots.acquire()).await {
        StepResult::Done(Ok(guard)) => guard,
        StepResult::Done(Err(Full)) => {
            server.counters.borrow_mut().shed += 1;
            return answer::send_shed(conn, server).await;
        }
        StepResult::Cancelled => return Ok(cancelled(server)),
        StepResult::Expired => {
            server.counters.borrow_mut().expired += 1;
            return answer::send_expired(conn, server, true).await;
        }
    };
    work(conn, server, job, guard).await
}

async fn work(
    conn: &mut Conn,
    server: &Rc<Server>,
    job: &Job,
    guard: SlotGuard,
) -> Result<ConnectionAction, WireError> {
    count_execution(server, job);
    let time = server.work_time(job.query_number("work_ms"));
    if crashes_server(server, job) {
        sleep_nonzero(time).await;
        server.crash_now();
        return Ok(ConnectionAction::Close);
    }
    match run_until_deadline(conn, job, sleep_nonzero(time)).await {
        StepResult::Done(()) => {}
        StepResult::Cancelled => return Ok(cancelled(server)),
        StepResult::Expired => {
            server.counters.borrow_mut().expired += 1;
            return answer::send_expired(conn, server, false).await;
        }
    }
    server.wait_while_frozen().await;
    answer::send_success(conn, server, job, guard).await
}

/// Runs `step` until it completes, the caller closes the connection or the deadline passes.
async fn run_until_deadline<T>(
    conn: &mut Conn,
    job: &Job,
    step: impl Future<Output = T>,
) -> StepResult<T> {
    let step = pin!(step);
    let closed = pin!(conn.wait_closed());
    let expired = pin!(sleep(job.time_left()));
    match select(step, select(closed, expired)).await {
        Either::Left((value, _)) => StepResult::Done(value),
        Either::Right((Either::Left(_), _)) => StepResult::Cancelled,
        Either::Right((Either::Right(_), _)) => StepResult::Expired,
    }
}

fn count_probe(server: &Server) {
    let rate = server.probe_rate.borrow_mut().record(Instant::now());
    let mut counters = server.counters.borrow_mut();
    counters.probes += 1;
    counters.probes_a_second_most = counters.probes_a_second_most.max(rate);
}

fn count_request(server: &Server) {
    let mut counters = server.counters.borrow_mut();
    counters.requests += 1;
    if let Some(since) = server.leaving.get() {
        counters.last_request_after_leaving_ms = Some(since.elapsed().as_millis() as u64);
    }
}

fn count_execution(server: &Server, job: &Job) {
    server.counters.borrow_mut().executions += 1;
    if !job.key.is_empty() {
        server.keys.borrow_mut().record(&job.key);
    }
    if let Some(mut log) = server.log.as_deref() {
        // One write per line leaves only whole lines in the file when the process is killed. An
        // error is ignored: if the disk is full, the test fails on the missing lines.
        let line = format!("{}\t{}\t{}\n", server.spec.name, job.key, job.path);
        let _ = log.write_all(line.as_bytes());
    }
}

fn cancelled(server: &Server) -> ConnectionAction {
    server.counters.borrow_mut().cancelled += 1;
    ConnectionAction::Close
}

fn crashes_server(server: &Server, job: &Job) -> bool {
    server.faults.borrow().crash_on.as_ref().is_some_and(|marker| job.path.contains(marker))
}
