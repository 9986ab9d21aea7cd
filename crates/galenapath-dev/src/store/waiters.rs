//! Watches that wait for a change.

use futures::channel::oneshot;

/// Wakes the watches that wait on one thing.
#[derive(Default)]
pub(super) struct Waiters {
    waiting: Vec<oneshot::Sender<()>>,
}

impl Waiters {
    /// Resolves at the next call of [`Waiters::wake`].
    pub(super) fn wait(&mut self) -> oneshot::Receiver<()> {
        self.waiting.retain(|tx| !tx.is_canceled());
        let (tx, rx) = oneshot::channel();
        self.waiting.push(tx);
        rx
    }

    pub(super) fn wake(&mut self) {
        for tx in self.waiting.drain(..) {
            // A watch that has given up needs no waking.
            let _ = tx.send(());
        }
    }
}
