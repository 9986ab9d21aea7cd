//! Commands that other threads send to the data thread.

use super::crash;
use super::explain::Explanation;
use super::open::OpenCounts;
use super::plane::DataPlane;
use flume::{Receiver, Sender};
use galenapath_filings::{HandOverEntry, SuspectReport};
use galenapath_protocol::{Incarnation, Micros};
use std::rc::Rc;

/// A command to the data thread.
pub enum DataCommand {
    /// Returns the explanation of a request.
    Explain {
        /// Identifier of the request.
        id: String,
        /// Receives the explanation, or `None` if the request is not in the history.
        reply: Sender<Option<Explanation>>,
    },
    /// Merges what another instance knows of crash suspects.
    MergeSuspects(Vec<SuspectReport>),
    /// Applies the filing outcomes handed over by an incarnation that is stopping.
    ApplyHandOver {
        /// The incarnation that is stopping.
        from: Incarnation,
        /// The outcomes of its filings.
        outcomes: Vec<HandOverEntry>,
    },
    /// Answers all requests in progress at `answer_by` at the latest, because the instance is
    /// stopping.
    BeginStop {
        /// When requests in progress are answered.
        answer_by: Micros,
    },
    /// Closes the listener and idle connections, and rejects new filings.
    Close,
    /// Returns the number of open requests.
    CountOpen {
        /// Receives the number.
        reply: Sender<OpenCounts>,
    },
    /// Names the requests that are still open in the log, because the process ends.
    LogOpen {
        /// Receives a message once that is done.
        reply: Sender<()>,
    },
    /// Returns the known outcomes of filings, for a planned stop. New filings are rejected from
    /// then on.
    HandOver {
        /// Receives the outcomes.
        reply: Sender<Vec<HandOverEntry>>,
    },
}

/// Executes commands until all senders are dropped.
pub(super) async fn run(plane: Rc<DataPlane>, commands: Receiver<DataCommand>) {
    while let Ok(command) = commands.recv_async().await {
        execute(&plane, command);
    }
}

/// Has the requests that are still in progress at `answer_by` answered then.
async fn answer_all_at(plane: Rc<DataPlane>, answer_by: Micros) {
    monoio::time::sleep((answer_by - plane.now()).into()).await;
    plane.stopping.last_answers.set();
}

/// Executes one command. A reply that has no receiver any more is dropped.
fn execute(plane: &Rc<DataPlane>, command: DataCommand) {
    let now = plane.now();
    match command {
        DataCommand::Explain { id, reply } => {
            let _ = reply.try_send(plane.history.borrow().find(&id).cloned());
        }
        DataCommand::MergeSuspects(reports) => crash::merge_suspects(plane, &reports),
        DataCommand::ApplyHandOver { from, outcomes } => {
            plane.filings.borrow_mut().apply_hand_over(now, from, outcomes);
        }
        DataCommand::BeginStop { answer_by } => {
            monoio::spawn(answer_all_at(Rc::clone(plane), answer_by));
        }
        DataCommand::Close => {
            plane.filings.borrow_mut().begin_stop();
            plane.stopping.closing.set();
        }
        DataCommand::CountOpen { reply } => {
            let mut open = plane.open.count();
            open.is_accepting = plane.stopping.is_accepting();
            let _ = reply.try_send(open);
        }
        DataCommand::LogOpen { reply } => {
            plane.open.log(now);
            let _ = reply.try_send(());
        }
        DataCommand::HandOver { reply } => {
            let _ = reply.try_send(plane.filings.borrow_mut().hand_over());
        }
    }
}
