//! A caller: sends a request, comes back when told to, goes elsewhere when a connection breaks.

use super::attempt::{Attempt, Request, RequestSpec};
use super::entries::{Entries, Route};
use super::options::{ClassLoad, Options};
use super::pool::Pool;
use super::told::Told;
use monoio::time::{sleep, timeout};
use std::time::Duration;

/// What the callers of one class share.
pub struct Callers {
    pub(super) class: ClassLoad,
    pub(super) opts: Options,
    /// One for each instance that is asked, taken in turn: callers are spread over the instances.
    pub(super) entries: Vec<Entries>,
    pub(super) pool: Pool,
    /// Keeps keys and paths of different runs apart.
    pub(super) run: u64,
}

impl Callers {
    /// Sends request number `index` until it has an end.
    pub async fn call(&self, index: u64) -> Told {
        let turn = usize::try_from(index).unwrap_or(0) % self.entries.len();
        let route = self.entries[turn].route().await;
        let req = self.request(index, &route);
        let mut told = Told::new(req.spec());
        let mut next = 0;
        for attempt in 1..=self.opts.attempts {
            // The key stays bound to the first route; only the order of addresses moves on.
            let addr = route.addresses[next % route.addresses.len()];
            let end = self.attempt(&req, addr).await;
            told.record(end);
            match end {
                Attempt::NotRun(Some(after)) if attempt < self.opts.attempts => sleep(after).await,
                Attempt::Broken => next += 1,
                _ => break,
            }
        }
        told
    }

    async fn attempt(&self, req: &Request, addr: std::net::SocketAddr) -> Attempt {
        delay(self.opts.delay).await;
        let sent = timeout(self.opts.patience, req.send(&self.pool, addr)).await;
        delay(self.opts.delay).await;
        sent.unwrap_or(Attempt::Broken)
    }

    fn request(&self, index: u64, route: &Route) -> Request {
        let class = &self.class;
        let joint = if class.path.contains('?') { '&' } else { '?' };
        let mut path = format!("{}{joint}nonce={:x}-{index}", class.path, self.run);
        if let Some(bytes) = class.bytes {
            path.push_str(&format!("&bytes={bytes}"));
        }
        let key = match class.filing {
            true => format!("{}{:x}-{}-{index}", route.key_prefix, self.run, class.name),
            false => String::new(),
        };
        let body = vec![b'x'; class.body];
        Request::new(RequestSpec {
            method: class.method.clone(),
            service: class.service.clone(),
            path,
            key,
            bytes: class.bytes,
            deadline_ms: class.deadline_ms,
            body,
        })
    }
}

/// Sleeps, unless there is nothing to sleep: a timer costs up to a millisecond.
async fn delay(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}
