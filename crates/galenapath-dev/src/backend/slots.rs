//! Concurrency slots of a backend server, with a bounded queue of waiting requests.

use futures::channel::oneshot;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use thiserror::Error;

/// Error of [`Slots::acquire`]: all slots are in use and the queue is full.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("all slots are in use and the queue is full")]
pub struct Full;

/// Slots of one backend server, assigned in order of arrival.
pub struct Slots {
    limit: usize,
    queue_limit: usize,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Slots in use; at most `limit`.
    running: usize,
    /// Waiting requests, oldest first; non-empty only while `running == limit`.
    waiting: VecDeque<oneshot::Sender<SlotGuard>>,
}

/// A slot in use; dropping it passes the slot to the next waiting request or frees it.
pub struct SlotGuard {
    slots: Rc<Slots>,
}

impl Slots {
    /// Creates `limit` slots with a queue of at most `queue_limit` waiting requests.
    pub fn new(limit: usize, queue_limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, queue_limit, state: RefCell::default() })
    }

    /// Returns the number of slots in use.
    pub fn running(&self) -> usize {
        self.state.borrow().running
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.state.borrow().waiting.iter().filter(|tx| !tx.is_canceled()).count()
    }

    /// Returns the number of slots.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Waits for a slot, or fails immediately if the queue is full. Dropping the future leaves the
    /// queue.
    pub async fn acquire(self: &Rc<Self>) -> Result<SlotGuard, Full> {
        let rx = {
            let mut state = self.state.borrow_mut();
            if state.running < self.limit {
                state.running += 1;
                return Ok(SlotGuard { slots: Rc::clone(self) });
            }
            state.waiting.retain(|tx| !tx.is_canceled());
            if state.waiting.len() >= self.queue_limit {
                return Err(Full);
            }
            let (tx, rx) = oneshot::channel();
            state.waiting.push_back(tx);
            rx
        };
        rx.await.map_err(|_| Full)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let next = {
            let mut state = self.slots.state.borrow_mut();
            state.running -= 1;
            let next = state.waiting.pop_front();
            if next.is_some() {
                state.running += 1;
            }
            next
        };
        if let Some(tx) = next {
            // If the waiter has left, sending returns the guard; dropping it serves the next
            // waiter.
            let _ = tx.send(Self { slots: Rc::clone(&self.slots) });
        }
    }
}
