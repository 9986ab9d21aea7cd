//! Stand-in for the platform's store: reads, watches and writes as the users' pages describe them.

use crate::http::{Conn, Head, answer};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Interval at which a waiting watch looks for events.
const WATCH_POLL: Duration = Duration::from_millis(2);

/// Items in a page.
const PAGE: usize = 500;

struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
}

struct Inner {
    revision: u64,
    /// Values are kept in base64.
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
    calls: u64,
}

impl Inner {
    fn change(&mut self, key: &str, value: Option<String>) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(text) => {
                self.items.insert(key.to_owned(), (revision, text.clone()));
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push(Change { revision, key: key.to_owned(), value });
    }
}

/// A running store. It loses nothing, and answers every call.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store at `ip`.
    pub fn start(ip: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let inner = Inner { revision: 100, items: BTreeMap::new(), history: Vec::new(), calls: 0 };
        let inner = Arc::new(Mutex::new(inner));
        let shared = Arc::clone(&inner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let inner = Arc::clone(&shared);
                thread::spawn(move || serve(&inner, stream));
            }
        });
        Ok(Self { inner, address })
    }

    /// Writes a value; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        lock(&self.inner).change(key, Some(encode(value.as_bytes())));
    }

    /// Removes a key; the return is the acknowledgement.
    pub fn delete(&self, key: &str) {
        lock(&self.inner).change(key, None);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.inner).calls
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(inner: &Mutex<Inner>, stream: TcpStream) {
    let mut conn = Conn::new(stream);
    while let Ok(Some(head)) = conn.read_head() {
        let Ok(body) = conn.read_body(&head) else { return };
        thread::sleep(ANSWER_TIME);
        lock(inner).calls += 1;
        let (status, json) = call(inner, &head, &String::from_utf8_lossy(&body));
        let bytes = answer(status, &[("Content-Type", "application/json")], &json);
        if conn.write(&bytes).is_err() {
            return;
        }
    }
}

fn call(inner: &Mutex<Inner>, head: &Head, body: &str) -> (&'static str, String) {
    let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
    match path {
        "/-/kv-key" => {
            let inner = lock(inner);
            let key = field(query, "key");
            match inner.items.get(&key) {
                Some((revision, value)) => ("200 OK", item(&key, *revision, value)),
                None => ("404 Not Found", "{}".to_owned()),
            }
        }
        "/-/kv-range" => ("200 OK", range(&lock(inner), query)),
        "/-/kv-watch" => ("200 OK", watch(inner, query)),
        "/-/kv-txn" => {
            let mut inner = lock(inner);
            let keys = quoted_after(body, "\"key\":");
            let values = quoted_after(body, "\"value\":");
            for (key, value) in keys.into_iter().zip(values) {
                inner.change(&key, Some(value));
            }
            ("200 OK", format!("{{\"revision\":{}}}", inner.revision))
        }
        _ => ("404 Not Found", "{}".to_owned()),
    }
}

fn range(inner: &Inner, query: &str) -> String {
    let (prefix, after) = (field(query, "prefix"), field(query, "after"));
    let found: Vec<String> = inner
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .map(|(key, (revision, value))| item(key, *revision, value))
        .collect();
    let has_more = found.len() > PAGE;
    let items = found[..found.len().min(PAGE)].join(",");
    format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{}}}", inner.revision)
}

fn watch(inner: &Mutex<Inner>, query: &str) -> String {
    let prefix = field(query, "prefix");
    let after: u64 = field(query, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(field(query, "wait_ms").parse().unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        {
            let inner = lock(inner);
            let is_new = |c: &&Change| c.revision > after && c.key.starts_with(&prefix);
            let events: Vec<String> = inner.history.iter().filter(is_new).map(event).collect();
            if !events.is_empty() || Instant::now() >= until {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"current_rev\":{}}}", inner.revision);
            }
        }
        thread::sleep(WATCH_POLL);
    }
}

fn event(change: &Change) -> String {
    match &change.value {
        Some(value) => item(&change.key, change.revision, value),
        None => {
            let Change { key, revision, .. } = change;
            format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease\":0}}"
    )
}

/// The value of a field of a query, decoded.
fn field(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(n, _)| *n == name).map_or("", |(_, value)| value);
    let (bytes, mut decoded, mut at) = (value.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// The quoted texts that follow each `name` in a JSON document without escapes.
fn quoted_after(text: &str, name: &str) -> Vec<String> {
    let parts = text.split(name).skip(1);
    parts.filter_map(|part| part.split('"').nth(1).map(str::to_owned)).collect()
}

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
