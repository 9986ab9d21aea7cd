//! Addresses to send to: queried from the instances and cached while valid.

use crate::wire::exchange;
use monoio::time::{sleep, timeout};
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time-out of a query for addresses.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next query to an instance that is still starting.
const QUERY_PAUSE: Duration = Duration::from_millis(50);
/// Shortest validity of the cached addresses, so that a failing instance is not queried for each
/// request.
const MIN_VALIDITY: Duration = Duration::from_millis(200);

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

/// Addresses in the order in which to try them, and the key prefix that belongs to them.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Most preferred address first.
    pub addresses: Vec<SocketAddr>,
    /// Prefix that every idempotency key must have.
    pub key_prefix: String,
}

/// Cached addresses for one service.
pub struct Entries {
    service: String,
    seeds: Vec<SocketAddr>,
    state: RefCell<State>,
}

struct State {
    route: Rc<Route>,
    valid_until: Instant,
    /// Index of the seed to query next; incremented when a seed does not answer.
    next_seed: usize,
    is_refreshing: bool,
}

impl Entries {
    /// Queries `seeds` for the addresses of `service`, starting with the seed at index `first`.
    pub fn with_seeds(service: &str, seeds: &[SocketAddr], first: usize) -> Self {
        let route = Route { addresses: seeds.to_vec(), key_prefix: String::new() };
        Self::with(service, seeds, route, first, Instant::now())
    }

    /// Uses `addresses` without any query.
    pub fn fixed(service: &str, addresses: &[SocketAddr]) -> Self {
        let route = Route { addresses: addresses.to_vec(), key_prefix: String::new() };
        let valid_until = Instant::now() + Duration::from_secs(24 * 3600);
        Self::with(service, &[], route, 0, valid_until)
    }

    fn with(
        service: &str,
        seeds: &[SocketAddr],
        route: Route,
        next_seed: usize,
        valid_until: Instant,
    ) -> Self {
        let state = State { route: Rc::new(route), valid_until, next_seed, is_refreshing: false };
        Self { service: service.to_owned(), seeds: seeds.to_vec(), state: RefCell::new(state) }
    }

    /// Returns the current route. If it is no longer valid, one caller refreshes it; callers that
    /// arrive meanwhile use the old one.
    pub async fn route(&self) -> Rc<Route> {
        let must_refresh = {
            let mut state = self.state.borrow_mut();
            let is_due = Instant::now() >= state.valid_until && !state.is_refreshing;
            state.is_refreshing |= is_due;
            is_due
        };
        if must_refresh {
            self.refresh().await;
        }
        Rc::clone(&self.state.borrow().route)
    }

    /// Queries the seeds in turn until one answers or each was queried once.
    pub async fn refresh(&self) {
        let path = format!("/v1/entries?service={}", self.service);
        for _ in 0..self.seeds.len() {
            let seed = self.seeds[self.state.borrow().next_seed % self.seeds.len()];
            if let Some(answer) = query_addresses(seed, &path).await {
                self.apply_answer(answer);
                break;
            }
            self.state.borrow_mut().next_seed += 1;
        }
        let mut state = self.state.borrow_mut();
        state.is_refreshing = false;
        state.valid_until = state.valid_until.max(Instant::now() + MIN_VALIDITY);
    }

    fn apply_answer(&self, answer: EntriesWire) {
        let addresses = answer.entries.into_iter().map(|entry| entry.address).collect();
        let mut state = self.state.borrow_mut();
        state.route = Rc::new(Route { addresses, key_prefix: answer.key_prefix });
        state.valid_until = Instant::now() + Duration::from_millis(answer.valid_for_ms);
    }
}

/// Waits until each of `seeds` answers for `service`; returns `false` if `limit` passes first.
pub async fn wait_until_known(service: &str, seeds: &[SocketAddr], limit: Duration) -> bool {
    let began = Instant::now();
    let path = format!("/v1/entries?service={service}");
    for seed in seeds {
        while query_addresses(*seed, &path).await.is_none() {
            if began.elapsed() >= limit {
                return false;
            }
            sleep(QUERY_PAUSE).await;
        }
    }
    true
}

async fn query_addresses(seed: SocketAddr, path: &str) -> Option<EntriesWire> {
    let answer = timeout(QUERY_TIMEOUT, exchange(seed, "GET", path, b"")).await.ok()?.ok()?;
    let wire: EntriesWire = serde_json::from_slice(&answer.body).ok()?;
    (answer.status.is_success() && !wire.entries.is_empty()).then_some(wire)
}
