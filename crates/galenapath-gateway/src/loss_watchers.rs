//! Notifies requests in flight when their server is found unreachable.
//!
//! Load pattern: many servers disappear at once without closing their connections. Elapsed time
//! alone shows late that a request is lost: where work takes a second, its hedge is sent when the
//! target has nearly passed. Failed probes show sooner that the server is unreachable.

use futures::channel::oneshot;
use galenapath_protocol::{BackendId, FastMap};
use std::cell::RefCell;

/// Requests to be notified when their server is found unreachable.
#[derive(Default)]
pub(crate) struct LossWatchers {
    /// Invariant: no empty lists.
    waiting: RefCell<FastMap<BackendId, Vec<oneshot::Sender<()>>>>,
}

impl LossWatchers {
    /// Returns a receiver that resolves when the server is found unreachable.
    pub(crate) fn watch(&self, id: &BackendId) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        let at_server = waiting.entry(id.clone()).or_default();
        at_server.retain(|tx| !tx.is_canceled());
        at_server.push(tx);
        rx
    }

    /// Notifies the requests at a server that has been found unreachable.
    pub(crate) fn notify(&self, id: &BackendId) {
        let at_server = self.waiting.borrow_mut().remove(id).unwrap_or_default();
        for tx in at_server {
            // Fails if the request has ended in the meantime.
            let _ = tx.send(());
        }
    }

    /// Removes ended requests and servers that are no longer listed.
    pub(crate) fn retain(&self, is_listed: impl Fn(&BackendId) -> bool) {
        self.waiting.borrow_mut().retain(|id, at_server| {
            at_server.retain(|tx| !tx.is_canceled());
            is_listed(id) && !at_server.is_empty()
        });
    }
}
