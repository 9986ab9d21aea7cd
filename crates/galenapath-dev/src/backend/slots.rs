//! The slots of a backend server and the bounded room in which requests wait for one.

use futures::channel::oneshot;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use thiserror::Error;

/// Every slot is taken and the waiting room is full.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("no slot and no room to wait")]
pub struct Full;

/// Slots of one backend server, given out in order of arrival.
pub struct Slots {
    limit: usize,
    room: usize,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Slots given out; at most `limit`.
    running: usize,
    /// Requests that wait, oldest first; non-empty only while `running == limit`.
    waiting: VecDeque<oneshot::Sender<SlotGuard>>,
}

/// A slot in use; dropping it passes it to the next request or frees it.
pub struct SlotGuard {
    slots: Rc<Slots>,
}

impl Slots {
    /// `limit` slots and room for `room` waiting requests.
    pub fn new(limit: usize, room: usize) -> Rc<Self> {
        Rc::new(Self { limit, room, state: RefCell::default() })
    }

    /// Slots in use.
    pub fn running(&self) -> usize {
        self.state.borrow().running
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.state.borrow().waiting.iter().filter(|tx| !tx.is_canceled()).count()
    }

    /// Number of slots.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Waits for a slot, or fails at once when there is no room. Dropping the future gives up the
    /// place.
    pub async fn acquire(self: &Rc<Self>) -> Result<SlotGuard, Full> {
        let rx = {
            let mut state = self.state.borrow_mut();
            if state.running < self.limit {
                state.running += 1;
                return Ok(SlotGuard { slots: Rc::clone(self) });
            }
            state.waiting.retain(|tx| !tx.is_canceled());
            if state.waiting.len() >= self.room {
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
            // A waiter that has gone away hands the guard back; dropping it serves the next one.
            let _ = tx.send(Self { slots: Rc::clone(&self.slots) });
        }
    }
}
