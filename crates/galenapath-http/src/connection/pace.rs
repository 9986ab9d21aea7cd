//! Pauses between the pieces of a body.
//!
//! The runtime neither interrupts a task whose reads never have to wait nor lets timers expire while
//! one can run. Load pattern: a server sends chunks of a few bytes faster than they are read. A
//! quarter of a megabyte of them is some ten thousand pieces, and until they are read no deadline
//! of any request would be kept.

use std::time::Duration;

/// Pieces after which the reader pauses.
const PIECES: u32 = 256;

/// The pause. With pieces of 16 KiB it allows 4 GB/s.
const PAUSE: Duration = Duration::from_millis(1);

/// Pieces read since the last pause.
#[derive(Debug, Default)]
pub(super) struct Pace(u32);

impl Pace {
    /// Counts a piece, and pauses first if that is due. Cancel-safe.
    pub(super) async fn begin_piece(&mut self) {
        if self.0 >= PIECES {
            monoio::time::sleep(PAUSE).await;
            self.0 = 0;
        }
        self.0 += 1;
    }
}
