//! Tasks that wait for a change.

use futures::channel::oneshot;

/// Set of tasks that wait for the same change.
#[derive(Default)]
pub(super) struct Waiters {
    waiting: Vec<oneshot::Sender<()>>,
}

impl Waiters {
    /// Returns a receiver that completes at the next call of [`Waiters::wake`].
    pub(super) fn wait(&mut self) -> oneshot::Receiver<()> {
        self.waiting.retain(|tx| !tx.is_canceled());
        let (tx, rx) = oneshot::channel();
        self.waiting.push(tx);
        rx
    }

    pub(super) fn wake(&mut self) {
        for tx in self.waiting.drain(..) {
            // Sending fails only if the task no longer waits.
            let _ = tx.send(());
        }
    }
}
