//! What the other threads ask of the data thread.

use super::explain::Explanation;
use super::plane::DataPlane;
use flume::{Receiver, Sender};
use galenapath_filings::{HandOverEntry, SuspectReport};
use galenapath_protocol::Incarnation;
use std::rc::Rc;

/// A question or an order to the data thread.
pub enum DataCommand {
    /// Explain a request.
    Explain {
        /// Its identifier.
        id: String,
        /// Where the explanation goes; `None` where the request is not remembered.
        reply: Sender<Option<Explanation>>,
    },
    /// Take in what a peer knows of suspects.
    Suspects(Vec<SuspectReport>),
    /// Take over the outcomes of an incarnation that stops.
    Adopt {
        /// The incarnation.
        from: Incarnation,
        /// Its outcomes.
        outcomes: Vec<HandOverEntry>,
    },
    /// Take no new filings, because the instance is stopping.
    BeginStop,
    /// Tell how many requests are being served.
    InProgress {
        /// Where the number goes.
        reply: Sender<usize>,
    },
    /// Give up all filings and tell their outcomes.
    HandOver {
        /// Where they go.
        reply: Sender<Vec<HandOverEntry>>,
    },
}

/// Carries out commands until the senders are gone.
pub(super) async fn run(plane: Rc<DataPlane>, commands: Receiver<DataCommand>) {
    while let Ok(command) = commands.recv_async().await {
        carry_out(&plane, command);
    }
}

/// Replies are dropped where the asker has gone.
fn carry_out(plane: &DataPlane, command: DataCommand) {
    let now = plane.now();
    match command {
        DataCommand::Explain { id, reply } => {
            let _ = reply.try_send(plane.history.borrow().find(&id).cloned());
        }
        DataCommand::Suspects(news) => plane.suspects.borrow_mut().merge(now, &news),
        DataCommand::Adopt { from, outcomes } => {
            plane.filings.borrow_mut().apply_hand_over(now, from, outcomes);
        }
        DataCommand::BeginStop => plane.filings.borrow_mut().begin_stop(),
        DataCommand::InProgress { reply } => {
            let _ = reply.try_send(plane.in_progress());
        }
        DataCommand::HandOver { reply } => {
            let _ = reply.try_send(plane.filings.borrow_mut().hand_over());
        }
    }
}
