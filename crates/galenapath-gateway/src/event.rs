//! An event of the instance that many connections wait for.

use futures::channel::oneshot::{self, Receiver, Sender};
use futures::future::{FutureExt, Shared};
use std::cell::Cell;

/// Resolves once the event has happened. An idle connection holds one, so it is small.
pub(crate) type Happened = Shared<Receiver<()>>;

/// Something that happens once.
pub(crate) struct Event {
    /// Taken when it happens.
    tx: Cell<Option<Sender<()>>>,
    rx: Happened,
}

impl Default for Event {
    fn default() -> Self {
        let (tx, rx) = oneshot::channel();
        Self { tx: Cell::new(Some(tx)), rx: rx.shared() }
    }
}

impl Event {
    /// Wakes all that wait for it. Has no effect when it has happened already.
    pub(crate) fn fire(&self) {
        drop(self.tx.take());
    }

    /// Waits until it has happened.
    pub(crate) fn happened(&self) -> Happened {
        self.rx.clone()
    }
}
