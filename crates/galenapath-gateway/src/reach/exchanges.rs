//! Records which servers answer this instance, and applies that to their placement.

use crate::instance::Instance;
use crate::service::Service;
use galenapath_policy::reach::{Exchange, NoAnswer};
use galenapath_protocol::{BackendId, Micros};
use std::io;

/// How a server failed to answer on a new connection.
pub(crate) fn no_answer(error: &io::Error) -> NoAnswer {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => NoAnswer::Refused,
        _ => NoAnswer::Lost,
    }
}

impl Service {
    /// Marks a server that answers no probes as unreachable and notifies its requests.
    pub(crate) fn mark_unreachable(&self, now: Micros, id: &BackendId) {
        self.placement.borrow_mut().mark_unreachable(now, id);
        self.loss_watchers.notify(id);
    }

    /// Records that the server answered.
    pub(crate) fn record_answer(&self, instance: &Instance, id: &BackendId, exchange: Exchange) {
        self.contacts.borrow_mut().record_answer(instance.now(), id, exchange);
        let mut placement = self.placement.borrow_mut();
        placement.mark_reachable(id);
        if exchange.is_new_connection {
            placement.set_connectable(id, true);
        }
    }

    /// Records that the server did not answer, or that no connection could be opened.
    pub(crate) fn record_no_answer(
        &self,
        instance: &Instance,
        id: &BackendId,
        exchange: Exchange,
        how: NoAnswer,
    ) {
        let (is_silent, is_unconnectable) = {
            let mut contacts = self.contacts.borrow_mut();
            contacts.record_failure(id, exchange);
            contacts.record_how(id, how);
            (contacts.is_silent(id), contacts.is_unconnectable(id))
        };
        if is_silent {
            self.mark_unreachable(instance.now(), id);
        }
        if is_unconnectable {
            self.placement.borrow_mut().set_connectable(id, false);
        }
        instance.reach.wake();
    }

    /// Records that an exchange with the server, begun at `started_at`, takes longer than usual.
    pub(crate) fn record_overdue(&self, instance: &Instance, id: &BackendId, started_at: Micros) {
        self.contacts.borrow_mut().record_overdue(id, started_at);
        instance.reach.wake();
    }

    /// Waits for `span`, or until the server is found unreachable; returns whether it was.
    pub(crate) async fn wait_for_loss(&self, id: &BackendId, span: Micros) -> bool {
        matches!(monoio::time::timeout(span.into(), self.loss_watchers.watch(id)).await, Ok(Ok(())))
    }
}
