//! A caller: sends a request, retries after the stated time if it did not run, and tries the next
//! address if the connection broke.

use super::attempt::{Attempt, Request, RequestSpec};
use super::caller_result::CallerResult;
use super::entries::{Entries, Route};
use super::options::{ClassLoad, Options};
use super::pool::Pool;
use monoio::time::{sleep, timeout};
use std::time::Duration;

/// State shared by the callers of one class.
pub struct Callers {
    pub(super) class: ClassLoad,
    pub(super) opts: Options,
    /// One for each instance that is queried for addresses, used in turn to spread the callers over
    /// the instances.
    pub(super) entries: Vec<Entries>,
    pub(super) pool: Pool,
    /// Random number that makes keys and paths unique to this run.
    pub(super) run: u64,
}

impl Callers {
    /// Sends request number `index` and retries it until it has an outcome or no attempts are left.
    pub async fn call(&self, index: u64) -> CallerResult {
        let entry_index = usize::try_from(index).unwrap_or(0) % self.entries.len();
        let route = self.entries[entry_index].route().await;
        let req = self.request(index, &route);
        let mut result = CallerResult::new(req.spec());
        let mut address_index = 0;
        for attempt in 1..=self.opts.attempts {
            // The key carries the prefix of the first route, so retries only change the address.
            let addr = route.addresses[address_index % route.addresses.len()];
            let end = self.attempt(&req, addr).await;
            result.record(end);
            match end {
                Attempt::NotRun(Some(after)) if attempt < self.opts.attempts => sleep(after).await,
                Attempt::Broken => address_index += 1,
                _ => break,
            }
        }
        result
    }

    async fn attempt(&self, req: &Request, addr: std::net::SocketAddr) -> Attempt {
        delay(self.opts.delay).await;
        let result = timeout(self.opts.attempt_timeout, req.send(&self.pool, addr)).await;
        delay(self.opts.delay).await;
        result.unwrap_or(Attempt::Broken)
    }

    fn request(&self, index: u64, route: &Route) -> Request {
        let class = &self.class;
        let separator = if class.path.contains('?') { '&' } else { '?' };
        let mut path = format!("{}{separator}nonce={:x}-{index}", class.path, self.run);
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

/// Sleeps unless `time` is zero: a timer adds up to one millisecond.
async fn delay(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}
