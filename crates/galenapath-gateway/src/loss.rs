//! Telling requests at a server that it is out of reach.
//!
//! Load pattern: many servers vanish at once without a sign. Time alone tells late that a request has gone
//! with one: where work takes a second, its copy leaves when the target is nearly over. A server that
//! answers no probe either says it sooner.

use futures::channel::oneshot;
use galenapath_protocol::{BackendId, FastMap};
use std::cell::RefCell;

/// Requests at servers, which wait to hear that theirs is out of reach.
#[derive(Default)]
pub(crate) struct Losses {
    /// Invariant: no empty lists.
    waiting: RefCell<FastMap<BackendId, Vec<oneshot::Sender<()>>>>,
}

impl Losses {
    /// Resolves when the server is found out of reach.
    pub(crate) fn of(&self, id: &BackendId) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        let at_server = waiting.entry(id.clone()).or_default();
        at_server.retain(|tx| !tx.is_canceled());
        at_server.push(tx);
        rx
    }

    /// A server has been found out of reach.
    pub(crate) fn tell(&self, id: &BackendId) {
        let at_server = self.waiting.borrow_mut().remove(id).unwrap_or_default();
        for tx in at_server {
            // Whoever waited may have its answer by now.
            let _ = tx.send(());
        }
    }

    /// Leaves out servers that are gone.
    pub(crate) fn retain(&self, is_there: impl Fn(&BackendId) -> bool) {
        self.waiting.borrow_mut().retain(|id, at_server| {
            at_server.retain(|tx| !tx.is_canceled());
            is_there(id) && !at_server.is_empty()
        });
    }
}
