//! Notices that are sent several times, because a datagram may be lost.
//!
//! Load pattern: a request crashes a server, and its caller sends it again at once, through any
//! instance. A link loses some packets. An instance that misses the notice of the crash learns of it
//! with the next report of what all know, a second later, and passes the request on until then.

use galenapath_protocol::Micros;

/// Times after the first send at which a notice is sent again: after a burst of losses, and long before
/// what all know is reported.
const REPEATED_AFTER: [Micros; 2] = [Micros::from_millis(60), Micros::from_millis(200)];

#[derive(Clone, Debug)]
struct Pending<T> {
    notice: T,
    first_at: Micros,
    /// How often it has been sent.
    sends: usize,
}

impl<T> Pending<T> {
    /// When it is sent next; `None` if that has been done often enough.
    fn due_at(&self) -> Option<Micros> {
        match self.sends {
            0 => Some(self.first_at),
            sends => REPEATED_AFTER.get(sends - 1).map(|after| self.first_at + *after),
        }
    }
}

/// Notices that still have to be sent, some of them again.
#[derive(Clone, Debug)]
pub struct RepeatedNotices<T> {
    /// Invariant: none has been sent as often as it has to be.
    pending: Vec<Pending<T>>,
}

impl<T> Default for RepeatedNotices<T> {
    fn default() -> Self {
        Self { pending: Vec::new() }
    }
}

impl<T: Clone> RepeatedNotices<T> {
    /// Adds a notice, which is due at once.
    pub fn add(&mut self, now: Micros, notice: T) {
        self.pending.push(Pending { notice, first_at: now, sends: 0 });
    }

    /// Whether no notice has to be sent, now or later.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The notices that have to be sent now.
    pub fn take_due(&mut self, now: Micros) -> Vec<T> {
        let mut due = Vec::new();
        for pending in &mut self.pending {
            if pending.due_at().is_some_and(|at| at <= now) {
                pending.sends += 1;
                due.push(pending.notice.clone());
            }
        }
        self.pending.retain(|pending| pending.due_at().is_some());
        due
    }
}
