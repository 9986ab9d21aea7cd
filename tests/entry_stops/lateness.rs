//! How late threads run on this machine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time for which the watching thread sleeps.
const SLEEP: Duration = Duration::from_millis(5);

/// Threads that wait for a processor one after the other for one request: its caller's, the two of the
/// instance and the server's, each on the way there and back.
const THREADS: u32 = 8;

/// A thread that measures how late it wakes up.
pub struct Lateness {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl Lateness {
    pub fn watch() -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let watched = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || {
            let mut most = Duration::ZERO;
            while !watched.load(Ordering::Relaxed) {
                let began = Instant::now();
                std::thread::sleep(SLEEP);
                most = most.max(began.elapsed() - SLEEP);
            }
            most
        });
        Self { is_over, thread }
    }

    /// Until when after the signal a request is early enough to be answered: `limit` on a machine whose
    /// threads run at once, earlier by their lateness, and never before `least`.
    pub fn early_until(self, limit: Duration, least: Duration) -> Duration {
        self.is_over.store(true, Ordering::Relaxed);
        let late = self.thread.join().unwrap() * THREADS;
        limit.saturating_sub(late).max(least)
    }
}
