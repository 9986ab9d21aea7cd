//! Progress of a planned stop on the data thread.

use super::event::Event;
use std::cell::Cell;
use std::rc::Rc;

/// Progress of a planned stop.
pub(super) struct Stopping {
    /// The listener and idle connections are closed.
    pub(super) closing: Event,
    /// Requests in progress are answered now, because the process is about to end.
    pub(super) last_answers: Event,
    /// Number of connections, and of listeners, that have not acted on `closing` yet.
    accepting: Cell<usize>,
}

impl Stopping {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self { closing: Event::new(), last_answers: Event::new(), accepting: Cell::new(0) })
    }

    /// Counts a connection or a listener that may take a request until the guard is dropped.
    pub(super) fn accept(self: &Rc<Self>) -> Accepting {
        self.accepting.set(self.accepting.get() + 1);
        Accepting(Rc::clone(self))
    }

    /// Returns whether a connection or a listener may take a request.
    pub(super) const fn is_accepting(&self) -> bool {
        self.accepting.get() > 0
    }
}

/// Guard of a connection or a listener that may take a request.
pub(super) struct Accepting(Rc<Stopping>);

impl Drop for Accepting {
    fn drop(&mut self) {
        self.0.accepting.set(self.0.accepting.get() - 1);
    }
}
