//! Serves the connections of the stand-in, one task for each.

use super::catalog::Registered;
use super::faults::Faults;
use super::options::StoreOptions;
use super::reply::Reply;
use super::routes::Route;
use super::state::State;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use http::{StatusCode, header};
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::body::BodyExt;
use monoio_http::common::request::Request;
use monoio_http::h1::codec::ServerCodec;
use monoio_http::h1::codec::decoder::FillPayload;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest value of a key, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Interval of checks for expired sessions and due changes of the list.
const SWEEP_PERIOD: Duration = Duration::from_millis(10);

type Shared = Rc<RefCell<State>>;

/// Serves connections and never returns; needs a monoio runtime with a timer.
pub async fn serve(listener: TcpListener, options: StoreOptions) {
    let state = Rc::new(RefCell::new(State::new(options, Instant::now())));
    monoio::spawn(sweep(state.clone()));
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            monoio::spawn(connection(stream, state.clone()));
        }
    }
}

async fn sweep(state: Shared) {
    loop {
        monoio::time::sleep(SWEEP_PERIOD).await;
        state.borrow_mut().sweep(Instant::now());
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Shared);

impl OpenConnection {
    fn new(state: Shared) -> Self {
        state.borrow_mut().counters.connections += 1;
        Self(state)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.borrow_mut().counters.connections -= 1;
    }
}

async fn connection(stream: TcpStream, state: Shared) {
    let _open_connection = OpenConnection::new(state.clone());
    let mut codec = ServerCodec::new(stream);
    while let Some(Ok(req)) = codec.next().await {
        let Some((parts, body)) = read_request(&mut codec, req).await else { return };
        let reply = match Route::parse(&parts.method, &parts.uri) {
            Some(route) => handle(&state, route, body).await,
            None => Reply::text(StatusCode::NOT_FOUND, "unknown call"),
        };
        let Reply::Answer(answer) = reply else { return };
        let response: http::Response<_> = answer.into();
        if codec.send_and_flush(response).await.is_err() {
            return;
        }
    }
}

async fn read_request(
    codec: &mut ServerCodec<TcpStream>,
    req: Request,
) -> Option<(http::request::Parts, Bytes)> {
    let (parts, body) = req.into_parts();
    let len = parts.headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    if len.is_some_and(|len: usize| len > MAX_VALUE_BYTES) {
        let answer = Reply::text(StatusCode::PAYLOAD_TOO_LARGE, "value exceeds 1 MiB");
        if let Reply::Answer(answer) = answer {
            let _ = codec.send_and_flush(http::Response::from(answer)).await;
        }
        return None;
    }
    codec.fill_payload().await.ok()?;
    let body = body.bytes().await.ok()?;
    Some((parts, body))
}

async fn handle(state: &Shared, route: Route, body: Bytes) -> Reply {
    let Some(kind) = route.kind() else { return administer(state, &route, &body) };
    *state.borrow_mut().counters.calls.entry(kind).or_default() += 1;
    if let Some(reply) = admit(state, kind.is_write()).await {
        return reply;
    }
    let reply = execute(state, route, body).await;
    let mut state = state.borrow_mut();
    if kind.is_write() && state.faults.down_after_write {
        state.faults.down_after_write = false;
        state.faults.down = true;
        state.fault_waiters.wake();
    }
    if kind.is_write() && state.faults.lose_replies.take_next() {
        state.counters.lost_replies += 1;
        return Reply::Close;
    }
    reply
}

/// Applies faults and rate limits; returns `Some` if the call must have no effect.
async fn admit(state: &Shared, is_write: bool) -> Option<Reply> {
    let pause = {
        let state = state.borrow();
        Duration::from_millis(state.options.call_ms + state.faults.slow_ms)
    };
    monoio::time::sleep(pause).await;
    loop {
        let fault_change = {
            let mut state = state.borrow_mut();
            if state.faults.down {
                state.counters.dropped += 1;
                return Some(Reply::Close);
            }
            state.faults.frozen.then(|| state.fault_waiters.wait())
        };
        match fault_change {
            Some(fault_change) => drop(fault_change.await),
            None => break,
        }
    }
    let mut state = state.borrow_mut();
    if state.faults.deny.rejects(is_write) {
        state.counters.denied += 1;
        return Some(Reply::text(StatusCode::INTERNAL_SERVER_ERROR, "denied"));
    }
    let now = Instant::now();
    let is_admitted = if is_write { state.writes.try_take(now) } else { state.reads.try_take(now) };
    if !is_admitted {
        state.counters.limited += 1;
        return Some(Reply::text(StatusCode::TOO_MANY_REQUESTS, "rate limit"));
    }
    None
}

fn administer(state: &Shared, route: &Route, body: &[u8]) -> Reply {
    let mut state = state.borrow_mut();
    match route {
        Route::SetFaults => match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                state.set_faults(faults);
                Reply::json(&state.faults)
            }
            Err(e) => Reply::text(StatusCode::BAD_REQUEST, e.to_string()),
        },
        Route::GetFaults => Reply::json(&state.faults),
        _ => Reply::json(&state.counters),
    }
}

async fn execute(state: &Shared, route: Route, body: Bytes) -> Reply {
    match route {
        Route::Read { key } => read(&state.borrow(), &key),
        Route::Watch { key, after, wait } => watch(state, &key, after, wait).await,
        Route::List { service } => list(&state.borrow(), &service),
        Route::ListWatch { service, after, wait } => list_watch(state, &service, after, wait).await,
        write => execute_write(&mut state.borrow_mut(), write, body),
    }
}

fn execute_write(state: &mut State, route: Route, body: Bytes) -> Reply {
    let now = Instant::now();
    match route {
        Route::Swap { key, expected } => {
            let done = state.kv.swap(&key, expected, body);
            state.wake_key(&key);
            Reply::boolean(done)
        }
        Route::Claim { key, session } => {
            let done = state.kv.claim(&key, &session, body);
            state.wake_key(&key);
            Reply::boolean(done)
        }
        Route::SessionCreate => create_session(state, &body, now),
        Route::SessionRenew { id } => match state.kv.renew_session(&id, now) {
            true => Reply::json(&json!([{ "ID": id }])),
            false => Reply::text(StatusCode::NOT_FOUND, "no such session"),
        },
        Route::Register => match serde_json::from_slice::<Registered>(&body) {
            Ok(instance) => {
                state.catalog.register(instance, now);
                state.sweep(now);
                Reply::text(StatusCode::OK, "")
            }
            Err(e) => Reply::text(StatusCode::BAD_REQUEST, e.to_string()),
        },
        Route::Deregister { id } => {
            state.catalog.deregister(&id, now);
            state.sweep(now);
            Reply::text(StatusCode::OK, "")
        }
        _ => Reply::text(StatusCode::NOT_FOUND, "not a write"),
    }
}

fn create_session(state: &mut State, body: &[u8], now: Instant) -> Reply {
    let wire: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let ttl = wire["TTL"].as_str().and_then(|text| humantime::parse_duration(text).ok());
    let Some(ttl) = ttl else { return Reply::text(StatusCode::BAD_REQUEST, "no TTL") };
    let id = state.kv.create_session(ttl, now);
    Reply::json(&json!({ "ID": id }))
}

fn read(state: &State, key: &str) -> Reply {
    let position = state.kv.position(key);
    let Some(entry) = state.kv.get(key) else {
        return Reply::text(StatusCode::NOT_FOUND, "").with_index(position);
    };
    let mut wire = json!({
        "Key": key,
        "Flags": 0,
        "LockIndex": entry.lock_index,
        "CreateIndex": entry.create_index,
        "ModifyIndex": entry.modify_index,
        "Value": STANDARD.encode(&entry.value),
    });
    if let Some(session) = &entry.session {
        wire["Session"] = json!(session);
    }
    Reply::json(&json!([wire])).with_index(position)
}

async fn watch(state: &Shared, key: &str, after: u64, wait: Duration) -> Reply {
    let changed = |state: &State| state.kv.position(key) > after;
    let register = |state: &mut State| state.key_waiters.entry(key.to_owned()).or_default().wait();
    match wait_for_change(state, wait, changed, register).await {
        true => read(&state.borrow(), key),
        false => Reply::Close,
    }
}

fn list(state: &State, service: &str) -> Reply {
    let instances = state.catalog.list(service);
    let wires: Vec<_> =
        instances.iter().map(|instance| json!({ "Service": instance, "Checks": [] })).collect();
    Reply::json(&wires).with_index(state.catalog.position())
}

async fn list_watch(state: &Shared, service: &str, after: u64, wait: Duration) -> Reply {
    let changed = |state: &State| state.catalog.position() > after;
    let register = |state: &mut State| state.list_waiters.wait();
    match wait_for_change(state, wait, changed, register).await {
        true => list(&state.borrow(), service),
        false => Reply::Close,
    }
}

/// Waits until `changed` returns `true` or `wait` has passed; returns `false` if the store went
/// down meanwhile.
async fn wait_for_change(
    state: &Shared,
    wait: Duration,
    changed: impl Fn(&State) -> bool,
    register: impl Fn(&mut State) -> futures::channel::oneshot::Receiver<()>,
) -> bool {
    let deadline = Instant::now() + wait;
    state.borrow_mut().counters.waiting += 1;
    while Instant::now() < deadline && !state.borrow().faults.down && !changed(&state.borrow()) {
        let (change, fault) = {
            let mut state = state.borrow_mut();
            (register(&mut state), state.fault_waiters.wait())
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let either = futures::future::select(change.fuse(), fault.fuse());
        let _ = monoio::time::timeout(time_left, either).await;
    }
    let mut state = state.borrow_mut();
    state.counters.waiting -= 1;
    !state.faults.down
}
