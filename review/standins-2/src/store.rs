//! Stand-in of the platform's metadata store: items, pages and watches.

use crate::http::{Conn, Message, answer};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Event {
    key: String,
    /// `None` if the key was removed.
    value: Option<Vec<u8>>,
    revision: u64,
    at: Instant,
}

/// Items by key, with the revision of each.
type Items = BTreeMap<String, (Vec<u8>, u64)>;

#[derive(Default)]
struct State {
    items: Items,
    events: Vec<Event>,
    revision: u64,
    /// How long an answer takes.
    delay: Duration,
    /// How old the state is that a read with `serializable` shows.
    lag: Duration,
}

impl State {
    /// The items as they were `lag` ago, and the revision at that time.
    fn past(&self) -> (Items, u64) {
        let mut items = Items::new();
        let mut revision = START_REVISION;
        for event in self.events.iter().filter(|event| event.at.elapsed() >= self.lag) {
            revision = event.revision;
            match &event.value {
                Some(value) => {
                    items.insert(event.key.clone(), (value.clone(), revision));
                }
                None => {
                    items.remove(&event.key);
                }
            }
        }
        (items, revision)
    }
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// Items in one page.
const PAGE: usize = 500;

/// Revision before the first change; above zero, as on a store that has been in use.
const START_REVISION: u64 = 100;

/// How long an answer takes when the store is not slow.
pub const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { state: Arc::default(), address: listener.local_addr()? };
        {
            let mut state = store.state.0.lock().unwrap();
            state.revision = START_REVISION;
            state.delay = ANSWER_TIME;
        }
        let shared = store.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(io));
            }
        });
        Ok(store)
    }

    /// Writes an item; returns its revision. The write is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value.as_bytes().to_vec()))
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    /// Sets how long an answer takes.
    pub fn set_delay(&self, delay: Duration) {
        self.state.0.lock().unwrap().delay = delay;
    }

    /// Sets how old the state is that a read with `serializable` shows.
    pub fn set_lag(&self, lag: Duration) {
        self.state.0.lock().unwrap().lag = lag;
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state.items.insert(key.to_owned(), (value.clone(), revision)),
            None => state.items.remove(key),
        };
        let at = Instant::now();
        state.events.push(Event { key: key.to_owned(), value, revision, at });
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, io: TcpStream) {
        let mut conn = Conn::new(io);
        while let Ok(request) = conn.read(false) {
            let (status, body) = self.answer(&request);
            let delay = self.state.0.lock().unwrap().delay;
            thread::sleep(delay);
            let headers = [("Content-Type", "application/json")];
            if conn.write(&answer(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        match (request.method(), request.path()) {
            ("GET", "/-/kv-key") => self.key(&request.query("key")),
            ("GET", "/-/kv-range") => (200, self.range(request)),
            ("GET", "/-/kv-watch") => (200, self.watch(request)),
            ("POST", "/-/kv-txn") => (200, self.txn(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some((value, revision)) => (200, item(key, value, *revision)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Message) -> String {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let (items, revision) = {
            let state = self.state.0.lock().unwrap();
            match request.query("serializable").as_str() {
                "1" => state.past(),
                _ => (state.items.clone(), state.revision),
            }
        };
        let matching: Vec<_> = items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str())
            .collect();
        let page: Vec<String> = matching
            .iter()
            .take(PAGE)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let (page, has_more) = (page.join(","), matching.len() > PAGE);
        format!("{{\"items\":[{page}],\"has_more\":{has_more},\"current_rev\":{revision}}}")
    }

    fn watch(&self, request: &Message) -> String {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let after: u64 = after.parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(event_text)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Applies the writes of a transaction. Only unconditional writes are sent here.
    fn txn(&self, body: &[u8]) -> String {
        let text = String::from_utf8_lossy(body).into_owned();
        let field = |from: &str, name: &str| {
            let at = from.find(&format!("\"{name}\":\""))? + name.len() + 4;
            Some(from[at..].split('"').next()?.to_owned())
        };
        let mut revision = self.state.0.lock().unwrap().revision;
        if let (Some(key), Some(value)) = (field(&text, "key"), field(&text, "value")) {
            revision = self.change(&key, Some(from_base64(&value)));
        }
        format!("{{\"revision\":{revision}}}")
    }
}

fn item(key: &str, value: &[u8], revision: u64) -> String {
    let value = to_base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease\":0}}"
    )
}

fn event_text(event: &Event) -> String {
    match &event.value {
        Some(value) => item(&event.key, value, event.revision),
        None => {
            format!(
                "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                event.key, event.revision
            )
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, b| word << 8 | u32::from(*b));
        let word = word << (8 * (3 - part.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= part.len() { digit } else { '=' });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|b| DIGITS.iter().position(|digit| *digit == b))
        .map(|digit| digit as u32)
        .collect();
    let mut bytes = Vec::new();
    for part in digits.chunks(4) {
        let word = part.iter().fold(0, |word, digit| word << 6 | digit) << (6 * (4 - part.len()));
        let all = [(word >> 16) as u8, (word >> 8) as u8, word as u8];
        bytes.extend_from_slice(&all[..part.len().saturating_sub(1)]);
    }
    bytes
}
