//! An event that happens once and that any number of tasks wait for.

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;
use std::cell::RefCell;

/// An event that happens once.
pub(super) struct Event {
    /// Dropped when the event happens.
    tx: RefCell<Option<oneshot::Sender<()>>>,
    rx: Shared<oneshot::Receiver<()>>,
}

impl Event {
    pub(super) fn new() -> Self {
        let (tx, rx) = oneshot::channel();
        Self { tx: RefCell::new(Some(tx)), rx: rx.shared() }
    }

    /// Lets the event happen.
    pub(super) fn set(&self) {
        self.tx.borrow_mut().take();
    }

    /// Resolves when the event has happened.
    pub(super) fn wait(&self) -> Shared<oneshot::Receiver<()>> {
        self.rx.clone()
    }
}
