//! Which addresses to use: asks the instances and keeps the answer as long as it is valid.

use crate::wire::exchange;
use monoio::time::{sleep, timeout};
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest wait for an instance that is asked for addresses.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before an instance is asked again while it starts.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// An answer is used at least this long, so that a failing instance is not asked per request.
const LEAST_VALID: Duration = Duration::from_millis(200);

/// Answer to `GET /v1/entries`.
#[derive(Deserialize)]
struct EntriesWire {
    entries: Vec<EntryWire>,
    valid_for_ms: u64,
    #[serde(default)]
    key_prefix: String,
}

#[derive(Deserialize)]
struct EntryWire {
    address: SocketAddr,
}

/// Addresses in the order in which to try them.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// First choice first.
    pub addresses: Vec<SocketAddr>,
    /// What a key must begin with.
    pub key_prefix: String,
}

/// Addresses for one service.
pub struct Entries {
    service: String,
    seeds: Vec<SocketAddr>,
    state: RefCell<State>,
}

struct State {
    route: Rc<Route>,
    valid_until: Instant,
    /// Seed to ask next; moves on when one does not answer.
    next_seed: usize,
    asking: bool,
}

impl Entries {
    /// Asks `seeds` about `service`, beginning with number `first`.
    pub fn asking(service: &str, seeds: &[SocketAddr], first: usize) -> Self {
        let route = Route { addresses: seeds.to_vec(), key_prefix: String::new() };
        Self::with(service, seeds, route, first, Instant::now())
    }

    /// Uses `addresses` and asks nobody.
    pub fn fixed(service: &str, addresses: &[SocketAddr]) -> Self {
        let route = Route { addresses: addresses.to_vec(), key_prefix: String::new() };
        let for_ever = Instant::now() + Duration::from_secs(24 * 3600);
        Self::with(service, &[], route, 0, for_ever)
    }

    fn with(
        service: &str,
        seeds: &[SocketAddr],
        route: Route,
        next_seed: usize,
        valid_until: Instant,
    ) -> Self {
        let state = State { route: Rc::new(route), valid_until, next_seed, asking: false };
        Self { service: service.to_owned(), seeds: seeds.to_vec(), state: RefCell::new(state) }
    }

    /// The current route; one caller renews it when it is no longer valid.
    pub async fn route(&self) -> Rc<Route> {
        let must_ask = {
            let mut state = self.state.borrow_mut();
            let due = Instant::now() >= state.valid_until && !state.asking;
            state.asking |= due;
            due
        };
        if must_ask {
            self.renew().await;
        }
        Rc::clone(&self.state.borrow().route)
    }

    /// Asks for addresses until an instance answers or each was asked once.
    pub async fn renew(&self) {
        let path = format!("/v1/entries?service={}", self.service);
        for _ in 0..self.seeds.len() {
            let seed = self.seeds[self.state.borrow().next_seed % self.seeds.len()];
            if let Some(answer) = ask(seed, &path).await {
                self.accept(answer);
                break;
            }
            self.state.borrow_mut().next_seed += 1;
        }
        let mut state = self.state.borrow_mut();
        state.asking = false;
        state.valid_until = state.valid_until.max(Instant::now() + LEAST_VALID);
    }

    fn accept(&self, answer: EntriesWire) {
        let addresses = answer.entries.into_iter().map(|entry| entry.address).collect();
        let mut state = self.state.borrow_mut();
        state.route = Rc::new(Route { addresses, key_prefix: answer.key_prefix });
        state.valid_until = Instant::now() + Duration::from_millis(answer.valid_for_ms);
    }
}

/// Waits until each of `seeds` has an answer for `service`; `false` once `limit` is over.
pub async fn wait_known(service: &str, seeds: &[SocketAddr], limit: Duration) -> bool {
    let began = Instant::now();
    let path = format!("/v1/entries?service={service}");
    for seed in seeds {
        while ask(*seed, &path).await.is_none() {
            if began.elapsed() >= limit {
                return false;
            }
            sleep(ASK_PAUSE).await;
        }
    }
    true
}

async fn ask(seed: SocketAddr, path: &str) -> Option<EntriesWire> {
    let answer = timeout(ASK_TIMEOUT, exchange(seed, "GET", path, b"")).await.ok()?.ok()?;
    let wire: EntriesWire = serde_json::from_slice(&answer.body).ok()?;
    (answer.status.is_success() && !wire.entries.is_empty()).then_some(wire)
}
