//! Stand-in for the key-value service, over HTTP.

use super::kv_fault::KvFault;
use super::kv_state::KvState;
use super::thread::{ListenerThread, listen, wait_forever};
use crate::wire::{Conn, Framing, WireError, answer_head};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use monoio::net::TcpStream;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which a waiting watch checks for changes.
const WATCH_POLL: Duration = Duration::from_millis(2);

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 2 << 20;

/// Time after which a stale read is answered.
const STALE_READ_DELAY: Duration = Duration::from_millis(400);

#[derive(Debug, Default)]
struct Inner {
    state: KvState,
    /// By port, since each instance of a test uses its own address.
    faults: Vec<(u16, KvFault)>,
    calls: Vec<String>,
    page: usize,
    /// Copy that the service comes back from.
    backup: KvState,
    /// The state before the service came back, if it has.
    former: Option<KvState>,
    /// A change to apply just before the next read of a prefix.
    pending_change: Option<PendingChange>,
}

#[derive(Debug)]
struct PendingChange {
    prefix: String,
    key: String,
    value: Option<Vec<u8>>,
}

impl Inner {
    /// The state that an address with this fault answers from.
    fn state_for(&mut self, fault: KvFault) -> &mut KvState {
        match (fault, &mut self.former) {
            (KvFault::Former, Some(former)) => former,
            _ => &mut self.state,
        }
    }
}

/// A running key-value service.
#[derive(Clone, Debug)]
pub struct KvStandIn {
    inner: Arc<Mutex<Inner>>,
    threads: Arc<Mutex<Vec<ListenerThread>>>,
}

impl Default for KvStandIn {
    fn default() -> Self {
        let inner = Inner { page: 500, ..Inner::default() };
        Self { inner: Arc::new(Mutex::new(inner)), threads: Arc::default() }
    }
}

impl KvStandIn {
    /// Listens on a further address, which can have its own fault, for as long as a clone of this
    /// exists.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub fn listen(&self) -> io::Result<SocketAddr> {
        let inner = Arc::clone(&self.inner);
        let thread = listen(move || {
            move |io: TcpStream| {
                monoio::spawn(serve(Arc::clone(&inner), io));
            }
        })?;
        let address = thread.address;
        self.threads.lock().unwrap_or_else(PoisonError::into_inner).push(thread);
        Ok(address)
    }

    /// Writes a JSON value, as the operator or a backend server does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes arbitrary bytes, as any other program may.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.lock().state.change(key, Some(value.to_vec()));
    }

    /// Returns the revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.lock().state.revision
    }

    /// Returns the keys under `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().state.keys(prefix)
    }

    /// Removes a key.
    pub fn delete(&self, key: &str) {
        self.lock().state.change(key, None);
    }

    /// Discards the history of all changes so far.
    pub fn discard_history(&self) {
        self.lock().state.discard_history();
    }

    /// Makes a copy of the current state.
    pub fn back_up(&self) {
        let mut inner = self.lock();
        inner.backup = inner.state.clone();
    }

    /// Comes back from the last copy: what was written since is lost, and its revisions are given
    /// out again.
    pub fn restore_backup(&self) {
        let mut inner = self.lock();
        inner.former = Some(inner.state.clone());
        let backup = inner.backup.clone();
        inner.state.restore(backup);
    }

    /// Writes a JSON value into the state before the service came back.
    pub fn put_former(&self, key: &str, value: &Value) {
        if let Some(former) = &mut self.lock().former {
            former.change(key, Some(value.to_string().into_bytes()));
        }
    }

    /// Writes again what the operator and the servers stated last before the store came back,
    /// except for what they have stated since.
    pub fn write_again(&self) {
        self.lock().state.write_again();
    }

    /// Sets the number of items in a page.
    pub fn set_page(&self, page: usize) {
        self.lock().page = page;
    }

    /// Changes a key just before the next read of the keys under `prefix`; removes it if `value` is
    /// `None`.
    pub fn change_before_read(&self, prefix: &str, key: &str, value: Option<&Value>) {
        let value = value.map(|value| value.to_string().into_bytes());
        self.lock().pending_change =
            Some(PendingChange { prefix: prefix.to_owned(), key: key.to_owned(), value });
    }

    /// Sets the fault of one address.
    pub fn set_fault(&self, address: SocketAddr, fault: KvFault) {
        let mut inner = self.lock();
        inner.faults.retain(|(port, _)| *port != address.port());
        inner.faults.push((address.port(), fault));
    }

    /// Returns method and path of every call so far.
    pub fn calls(&self) -> Vec<String> {
        self.lock().calls.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(inner: Arc<Mutex<Inner>>, io: TcpStream) {
    let port = io.local_addr().map(|address| address.port()).unwrap_or(0);
    let mut conn = Conn::new(io);
    while serve_one(&inner, port, &mut conn).await.is_ok() {}
}

async fn serve_one(inner: &Mutex<Inner>, port: u16, conn: &mut Conn) -> Result<(), WireError> {
    let head = conn.read_request().await?;
    let mut framing = Framing::of_request(&head.headers);
    let body = conn.read_body(&mut framing, BODY_LIMIT).await?;
    let path = head.uri.path().to_owned();
    let query = Query::parse(head.uri.query().unwrap_or_default());
    lock(inner).calls.push(format!("{} {path}", head.method));
    let fault = fault_at(inner, port);
    let (status, answer) = match fault {
        KvFault::None | KvFault::Deaf | KvFault::StaleReads | KvFault::Former
            if path == "/-/kv-watch" =>
        {
            watch(inner, port, &query).await?
        }
        KvFault::Mute if path == "/-/kv-watch" => wait_forever().await,
        KvFault::StaleReads if path == "/-/kv-range" && query.may_be_stale => {
            monoio::time::sleep(STALE_READ_DELAY).await;
            let inner = lock(inner);
            (StatusCode::OK, inner.backup.range(&query.prefix, &query.after, inner.page))
        }
        KvFault::None | KvFault::Deaf | KvFault::Mute | KvFault::StaleReads | KvFault::Former => {
            call(&mut lock(inner), fault, &path, &query, &body)
        }
        KvFault::Busy => (StatusCode::SERVICE_UNAVAILABLE, json!({})),
        KvFault::Limited => (StatusCode::TOO_MANY_REQUESTS, json!({})),
        KvFault::Reset => return Err(WireError::Closed),
        KvFault::Silent => wait_forever().await,
    };
    let body = answer.to_string();
    let length = body.len().to_string();
    // A watch may have been answered by another state than it began with.
    let fault = fault_at(inner, port);
    let era = lock(inner).state_for(fault).era.to_string();
    let headers = [
        ("content-type", "application/json"),
        ("content-length", length.as_str()),
        ("store-era", era.as_str()),
    ];
    conn.write(answer_head(status, &headers) + &body).await
}

fn fault_at(inner: &Mutex<Inner>, port: u16) -> KvFault {
    let inner = lock(inner);
    let found = inner.faults.iter().find(|(at, _)| *at == port);
    found.map(|(_, fault)| *fault).unwrap_or_default()
}

fn call(
    inner: &mut Inner,
    fault: KvFault,
    path: &str,
    query: &Query,
    body: &[u8],
) -> (StatusCode, Value) {
    match path {
        "/-/kv-key" => match inner.state_for(fault).get(&query.key) {
            Some(item) => (StatusCode::OK, item),
            None => (StatusCode::NOT_FOUND, json!({})),
        },
        "/-/kv-range" => {
            if let Some(PendingChange { key, value, .. }) =
                inner.pending_change.take_if(|pending_change| pending_change.prefix == query.prefix)
            {
                inner.state.change(&key, value);
            }
            let page = inner.page;
            (StatusCode::OK, inner.state_for(fault).range(&query.prefix, &query.after, page))
        }
        "/-/kv-txn" => {
            let txn: Value = serde_json::from_slice(body).unwrap_or_default();
            for put in txn["puts"].as_array().into_iter().flatten() {
                let key = put["key"].as_str().unwrap_or_default();
                let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
                inner.state_for(fault).change(key, Some(value.unwrap_or_default()));
            }
            (StatusCode::OK, json!({ "revision": inner.state_for(fault).revision }))
        }
        _ => (StatusCode::NOT_FOUND, json!({})),
    }
}

async fn watch(
    inner: &Mutex<Inner>,
    port: u16,
    query: &Query,
) -> Result<(StatusCode, Value), WireError> {
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    let after = query.after.parse().unwrap_or(0);
    loop {
        let fault = fault_at(inner, port);
        let is_watch_blocked = fault == KvFault::Deaf;
        if is_watch_blocked && Instant::now() >= until {
            return Ok((StatusCode::GONE, json!({})));
        }
        if !is_watch_blocked {
            let mut inner = lock(inner);
            let state = inner.state_for(fault);
            let Some(events) = state.events(&query.prefix, after) else {
                return Ok((StatusCode::GONE, json!({})));
            };
            if !events.is_empty() || Instant::now() >= until {
                let answer = json!({ "events": events, "current_rev": state.revision });
                return Ok((StatusCode::OK, answer));
            }
        }
        monoio::time::sleep(WATCH_POLL).await;
        match fault_at(inner, port) {
            KvFault::Silent | KvFault::Mute => wait_forever().await,
            KvFault::Reset => return Err(WireError::Closed),
            KvFault::None
            | KvFault::Deaf
            | KvFault::Busy
            | KvFault::Limited
            | KvFault::StaleReads
            | KvFault::Former => {}
        }
    }
}

#[derive(Debug, Default)]
struct Query {
    key: String,
    prefix: String,
    after: String,
    wait_ms: u64,
    may_be_stale: bool,
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for pair in text.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = unescape(value);
            match name {
                "key" => query.key = value,
                "prefix" => query.prefix = value,
                "after" => query.after = value,
                "serializable" => query.may_be_stale = value == "1",
                "wait_ms" => query.wait_ms = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        query
    }
}

fn unescape(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
