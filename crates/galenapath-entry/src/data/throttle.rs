//! Throttling of large bodies on the data thread, which serves all requests.
//!
//! Load pattern: large transfers beside lookups, on an instance that gets little processor time. A
//! task is not interrupted as long as its reads and writes succeed immediately, so a large transfer
//! delays all other requests. In addition, the scheduler of a busy machine delays a thread that is
//! always busy.
//!
//! A stream therefore pauses regularly, for longer than the processor time that the thread has
//! used. Pauses of a fixed 1 ms are too short: with a load of 10 on 8 cores, the scenario
//! transfer-among-lookups failed with them in 3 of 3 runs, and in none of 3 with these pauses.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Bytes after which a stream pauses. A thread on an idle processor takes about 0.1 ms for them.
const PAUSE_EVERY_BYTES: usize = 256 * 1024;

/// Minimum pause. It limits one stream to 250 MB/s.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Pause as a multiple of the processor time that the thread has used since the last pause. Streams
/// leave at least half of the thread's time to other requests.
const PAUSE_PER_CPU_TIME: u32 = 2;

/// Counts the bytes of a stream and pauses it regularly.
#[derive(Default)]
pub(super) struct StreamThrottle {
    bytes_since_pause: usize,
    /// Processor time of the thread at the end of the last pause.
    cpu_time_at_pause: Option<Duration>,
}

impl StreamThrottle {
    /// Records that `bytes` were passed on, and pauses if a pause is due.
    pub(super) async fn record(&mut self, bytes: usize) {
        let before = *self.cpu_time_at_pause.get_or_insert_with(thread_cpu_time);
        self.bytes_since_pause += bytes;
        if self.bytes_since_pause < PAUSE_EVERY_BYTES {
            return;
        }
        self.bytes_since_pause = 0;
        let pause = thread_cpu_time().saturating_sub(before) * PAUSE_PER_CPU_TIME;
        monoio::time::sleep(pause.max(MIN_PAUSE)).await;
        self.cpu_time_at_pause = Some(thread_cpu_time());
    }
}

/// Returns the processor time that this thread has used.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
