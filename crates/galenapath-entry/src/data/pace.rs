//! How fast a large body passes through the thread that serves everybody.
//!
//! Load pattern: large transfers beside lookups, on an instance with little of a processor. As long as
//! reads and writes succeed at once a task is not interrupted, and a thread that is always busy is the one
//! that a busy machine lets wait. So a stream rests now and then, for longer than the thread has worked.
//! On eight cores with a load of ten, the scenario transfer-among-lookups failed three times in three with
//! rests of a fixed millisecond, and never in three with these.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Bytes after which a stream rests: they take an unhurried thread about 0.1 ms.
const REST_BYTES: usize = 256 * 1024;

/// Shortest rest. One stream then passes 250 MB a second at most.
const LEAST_REST: Duration = Duration::from_millis(1);

/// Rest for each part of processor time that the thread has used since the last one: streams leave half
/// of the thread and more to others.
const REST_FOR_WORK: u32 = 2;

/// Counts the bytes of a stream and rests when it is time.
#[derive(Default)]
pub(super) struct Pace {
    since_rest: usize,
    /// Processor time of the thread at the end of the last rest.
    worked: Option<Duration>,
}

impl Pace {
    /// Notes that `bytes` were passed on.
    pub(super) async fn passed(&mut self, bytes: usize) {
        let before = *self.worked.get_or_insert_with(worked);
        self.since_rest += bytes;
        if self.since_rest < REST_BYTES {
            return;
        }
        self.since_rest = 0;
        let rest = worked().saturating_sub(before) * REST_FOR_WORK;
        monoio::time::sleep(rest.max(LEAST_REST)).await;
        self.worked = Some(worked());
    }
}

/// Processor time that this thread has used.
fn worked() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
